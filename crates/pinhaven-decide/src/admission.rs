//! Admission: how many requests of a service this entry keeps in flight.
//!
//! Entries don't see each other, but each sees the targets' queues in the reports. Queues longer than
//! the slots make the limit shrink in proportion, room makes it grow by a constant, so that all
//! entries come to an even share without a message between them.

use crate::atomic::AtomicF32;
use crate::report::LoadReport;

/// Growth of the limit over a round of requests.
const GROWTH: f32 = 1.0;
/// Share of the limit that is given up over a round of requests that all met long queues.
const SHRINKAGE: f32 = 0.3;
/// The limit grows only while this share of it is in use.
const USE_TO_GROW: f32 = 0.7;
/// The smallest limit.
const LIMIT_MIN: f32 = 2.0;

/// A limit on requests in flight that finds its own size.
#[derive(Debug)]
pub(crate) struct InFlightLimit {
    limit: AtomicF32,
    most: f32,
}

impl InFlightLimit {
    pub(crate) fn new(first: f32, most: f32) -> Self {
        let most = most.max(LIMIT_MIN);
        Self {
            limit: AtomicF32::new(first.clamp(LIMIT_MIN, most)),
            most,
        }
    }

    pub(crate) fn get(&self) -> f32 {
        self.limit.get()
    }

    /// Takes in the queue that a request met.
    pub(crate) fn record(&self, report: &LoadReport, slots: f32, in_flight: u32) {
        let has_long_queue = report.waiting as f32 >= slots;
        let most = self.most;
        self.limit.update(|limit| {
            let changed = if has_long_queue {
                limit - SHRINKAGE
            } else if in_flight as f32 > limit * USE_TO_GROW {
                limit + GROWTH / limit
            } else {
                limit
            };
            changed.clamp(LIMIT_MIN, most)
        });
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.limit.set(previous.get().clamp(LIMIT_MIN, self.most));
    }
}
