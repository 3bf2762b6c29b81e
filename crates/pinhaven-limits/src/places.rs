//! Places in a queue of future tokens, which refused requests get.
//!
//! Callers that come back at the time of their place find a token, because requests sent for the first time leave it to
//! them. A caller may come back at another entry, where the same number of places is due on average.

use pinhaven_types::Microseconds;
use std::collections::VecDeque;

/// Maximum time until a place is due.
pub(crate) const AHEAD_MAX: Microseconds = Microseconds::from_ms(5_000);
/// Minimum time until a place is due.
const AHEAD_MIN: Microseconds = Microseconds::from_ms(20);
/// Time for which a place is kept after it was due. Callers come back some time after it.
const KEPT_FOR: Microseconds = Microseconds::from_ms(500);

/// Places that were given and not yet used.
#[derive(Debug, Default)]
pub(crate) struct Places {
    due: VecDeque<Microseconds>,
}

impl Places {
    /// Gives a place at `first` or `spacing` after the last place, whichever is later. Returns the time until then.
    pub(crate) fn give(
        &mut self,
        first: Microseconds,
        spacing: Microseconds,
        now: Microseconds,
    ) -> Microseconds {
        let next = self.due.back().map_or(first, |last| last.plus(spacing));
        let ahead = next.max(first).saturating_sub(now).max(AHEAD_MIN);
        if ahead > AHEAD_MAX {
            return AHEAD_MAX;
        }
        self.due.push_back(now.plus(ahead));
        ahead
    }

    /// Number of places that are due and not yet used.
    pub(crate) fn due(&mut self, now: Microseconds) -> usize {
        let kept_from = now.saturating_sub(KEPT_FOR);
        while self.due.front().is_some_and(|due| *due < kept_from) {
            self.due.pop_front();
        }
        self.due.partition_point(|due| *due <= now)
    }

    /// Uses a place that is due, if there is one.
    pub(crate) fn take(&mut self, now: Microseconds) {
        if self.due.front().is_some_and(|due| *due <= now) {
            self.due.pop_front();
        }
    }

    /// Removes all places.
    pub(crate) fn clear(&mut self) {
        self.due.clear();
    }
}
