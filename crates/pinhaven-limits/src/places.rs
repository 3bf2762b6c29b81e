//! Places in a queue of future tokens, which refused requests get.
//!
//! Callers that come back at the time of their place find a token, because requests sent for the first time leave it to
//! them. A caller may come back at another entry, where the same number of places is due on average. Where callers don't
//! come back, the places that expire unused would keep first tries out, so only the observed share of them is reserved.

use pinhaven_types::Microseconds;
use std::collections::VecDeque;

/// Maximum time until a place is due.
pub(crate) const AHEAD_MAX: Microseconds = Microseconds::from_ms(5_000);
/// Minimum time until a place is due.
const AHEAD_MIN: Microseconds = Microseconds::from_ms(20);
/// Time for which a place is kept after it was due. Callers come back some time after it.
const KEPT_FOR: Microseconds = Microseconds::from_ms(500);

/// Weight of one place in the share of used places.
const USED_SHARE_STEP: f64 = 0.02;

/// Places that were given and not yet used.
#[derive(Debug)]
pub(crate) struct Places {
    due: VecDeque<Microseconds>,
    /// Share of the recent places that were used.
    used_share: f64,
}

impl Default for Places {
    fn default() -> Self {
        Self {
            due: VecDeque::new(),
            used_share: 1.0,
        }
    }
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

    /// Number of due places whose callers are expected to come back.
    pub(crate) fn due(&mut self, now: Microseconds) -> f64 {
        let kept_from = now.saturating_sub(KEPT_FOR);
        while self.due.front().is_some_and(|due| *due < kept_from) {
            self.due.pop_front();
            self.used_share *= 1.0 - USED_SHARE_STEP;
        }
        let due = self.due.partition_point(|due| *due <= now);
        due as f64 * self.used_share
    }

    /// Uses a place that is due, if there is one.
    pub(crate) fn take(&mut self, now: Microseconds) {
        if self.due.front().is_some_and(|due| *due <= now) {
            self.due.pop_front();
            self.used_share += (1.0 - self.used_share) * USED_SHARE_STEP;
        }
    }

    /// Removes all places.
    pub(crate) fn clear(&mut self) {
        self.due.clear();
    }
}
