//! When a service whose targets all leave, rest or stand in drained failure domains becomes available again, and when
//! its callers should retry.
//!
//! A request that no target can receive within its permitted wait is refused at once. The refusal names the end of
//! the first rest. Callers that retry at the same moment would overload the targets and cause the next rest, so each
//! refused caller gets a later time than the previous one. The interval between two callers is the mean time between
//! two requests that this entry sends.

use crate::service::ServiceState;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Maximum time over which the retries after a rest are spread, in milliseconds.
const STAGGER_MAX_MS: f32 = 60_000.0;

/// When any target of a service takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Now, unless the target is full or failing.
    Now,
    /// When the first rest ends.
    At(Microseconds),
    /// When operators restore the failure domains of its targets.
    Drained,
    /// Not before the list of targets changes.
    Unknown,
}

/// Counts the callers refused until the end of a rest, so that each gets a different time to retry.
#[derive(Debug, Default)]
pub(crate) struct RetryStagger {
    rest_ends_us: AtomicU64,
    refused: AtomicU32,
}

impl RetryStagger {
    /// Counts one more refusal until `rest_ends` and returns the number of earlier ones.
    fn count_refusal(&self, rest_ends: Microseconds) -> u32 {
        let previous_end_us = self.rest_ends_us.swap(rest_ends.count(), Ordering::Relaxed);
        if previous_end_us != rest_ends.count() {
            // Callers that are refused concurrently may get the same position.
            self.refused.store(0, Ordering::Relaxed);
        }
        self.refused.fetch_add(1, Ordering::Relaxed)
    }
}

impl ServiceState {
    /// When the first target takes requests.
    pub(crate) fn availability(&self, now: Microseconds) -> Availability {
        let mut first_available = Availability::Unknown;
        for target in self.targets() {
            if target.is_leaving() {
                continue;
            }
            if target.is_domain_drained() {
                if first_available == Availability::Unknown {
                    first_available = Availability::Drained;
                }
                continue;
            }
            let Some(until) = target.rests_until(now) else {
                return Availability::Now;
            };
            first_available = match first_available {
                Availability::At(earliest) => Availability::At(earliest.min(until)),
                _ => Availability::At(until),
            };
        }
        first_available
    }

    /// Time after which the next refused caller should retry when targets rest until `rest_ends`, in milliseconds.
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
