//! Limit on the number of requests of a service that this entry has in flight.
//!
//! Entries don't coordinate their limits, but each entry sees the targets' queues in the load reports. The limit
//! follows additive increase and multiplicative decrease: over a round of requests it grows by a constant while queues
//! are short, and shrinks in proportion to its size while queues are at least as long as the number of slots. The
//! limits of all entries thereby converge to equal shares without any message between the entries.

use crate::atomic::AtomicF32;
use crate::report::LoadReport;

/// Increase of the limit over a round of requests, in requests. A round has as many requests as the limit.
const GROWTH: f32 = 1.0;
/// Share by which the limit decreases over a round of requests that all met long queues.
const SHRINKAGE: f32 = 0.3;
/// The limit grows only while more than this share of it is in use.
const GROWTH_USE_SHARE_MIN: f32 = 0.7;
/// Minimum limit, in requests.
const LIMIT_MIN: f32 = 2.0;

/// An adaptive limit on the number of requests in flight.
#[derive(Debug)]
pub(crate) struct InFlightLimit {
    limit: AtomicF32,
    max: f32,
}

impl InFlightLimit {
    pub(crate) fn new(initial: f32, max: f32) -> Self {
        let max = max.max(LIMIT_MIN);
        Self {
            limit: AtomicF32::new(initial.clamp(LIMIT_MIN, max)),
            max,
        }
    }

    pub(crate) fn get(&self) -> f32 {
        self.limit.get()
    }

    /// Adjusts the limit by the queue in the report on an answer.
    pub(crate) fn record(&self, report: &LoadReport, slots: f32, in_flight: u32) {
        let has_long_queue = report.waiting as f32 >= slots;
        let max = self.max;
        self.limit.update(|limit| {
            let changed = if has_long_queue {
                limit - SHRINKAGE
            } else if in_flight as f32 > limit * GROWTH_USE_SHARE_MIN {
                limit + GROWTH / limit
            } else {
                limit
            };
            changed.clamp(LIMIT_MIN, max)
        });
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.limit.set(previous.get().clamp(LIMIT_MIN, self.max));
    }
}
