//! When a service whose targets all leave or rest takes requests again, and when their callers should come back.
//!
//! A request that no target may get before it would be given up on anyway is refused at once. Its caller is told the end of
//! the first rest. Callers that come back together would press the targets into the next rest, so each is told a later moment
//! than the one before it, as far apart as this entry sent requests before.

use crate::service::ServiceState;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The longest time over which callers come back after a rest, in milliseconds.
const STAGGER_MAX_MS: f32 = 60_000.0;

/// When any target of a service takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Now, unless it is full or failing.
    Now,
    /// When the first rest ends.
    At(Microseconds),
    /// Not before the list of targets changes.
    Unknown,
}

/// Callers that were told to come back at the end of one rest.
#[derive(Debug, Default)]
pub(crate) struct RetryStagger {
    rest_ends_us: AtomicU64,
    refused: AtomicU32,
}

impl RetryStagger {
    /// How many callers were told of this end before.
    fn count_refusal(&self, rest_ends: Microseconds) -> u32 {
        let previous_end_us = self.rest_ends_us.swap(rest_ends.count(), Ordering::Relaxed);
        if previous_end_us != rest_ends.count() {
            // Callers that are told at the same time may get the same turn.
            self.refused.store(0, Ordering::Relaxed);
        }
        self.refused.fetch_add(1, Ordering::Relaxed)
    }
}

impl ServiceState {
    /// When any target takes requests.
    pub(crate) fn availability(&self, now: Microseconds) -> Availability {
        let mut opening = Availability::Unknown;
        for target in self.targets() {
            if target.is_leaving() {
                continue;
            }
            let Some(until) = target.rests_until(now) else {
                return Availability::Now;
            };
            opening = match opening {
                Availability::At(earliest) => Availability::At(earliest.min(until)),
                _ => Availability::At(until),
            };
        }
        opening
    }

    /// When the next caller should come back to targets that rest until `rest_ends`, in milliseconds.
    pub(crate) fn staggered_retry_after_ms(
        &self,
        now: Microseconds,
        rest_ends: Microseconds,
    ) -> u64 {
        let refused_before = self.retry_stagger.count_refusal(rest_ends);
        let interval_ms = self.typical_ms() / self.in_flight_limit();
        let stagger_ms = (refused_before as f32 * interval_ms).min(STAGGER_MAX_MS);
        let rest_us = rest_ends.saturating_sub(now).count();
        rest_us.div_ceil(1_000) + stagger_ms as u64
    }
}
