//! Learns the deadline with which callers of a route begin.
//!
//! Callers send the remaining time of their deadline with each retry. The deadline of a first attempt is therefore
//! one value that recurs, while the deadlines of retries are any values below it. The frequent values are counted
//! with the Misra-Gries algorithm, whose few counters retain every value that makes up more than a fifth of all
//! values. Three first attempts are enough to learn the initial deadline even if most requests are retries. Such a
//! load follows an outage of all entries, when a request whose aim has passed must not take a slot from a request
//! that can still meet its aim.

use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Number of values that are counted at the same time.
const COUNTERS: usize = 4;
/// Count from which a deadline is accepted as an initial deadline. Among a few thousand possible values in
/// milliseconds, two retries coincide now and then, three hardly ever.
const INITIAL_COUNT_MIN: u32 = 3;
/// Maximum count of a value, so that a change of the initial deadline is learned within a few hundred requests.
const COUNT_MAX: u32 = 200;

#[derive(Debug)]
struct Counter {
    deadline_us: AtomicU64,
    count: AtomicU32,
}

/// Counts of the most frequent deadlines. Concurrent updates may leave a count off by one.
#[derive(Debug)]
pub(crate) struct InitialDeadline([Counter; COUNTERS]);

impl InitialDeadline {
    /// Creates the counters without any deadline.
    pub(crate) fn new() -> Self {
        Self(std::array::from_fn(|_| Counter {
            deadline_us: AtomicU64::new(0),
            count: AtomicU32::new(0),
        }))
    }

    /// Counts a deadline.
    pub(crate) fn record(&self, deadline: Microseconds) {
        let is_same_deadline = |counter: &&Counter| {
            counter.deadline_us.load(Ordering::Relaxed) == deadline.count() && counter.count() > 0
        };
        if let Some(counter) = self.0.iter().find(is_same_deadline) {
            let count = (counter.count() + 1).min(COUNT_MAX);
            counter.count.store(count, Ordering::Relaxed);
            return;
        }
        if let Some(free) = self.0.iter().find(|counter| counter.count() == 0) {
            free.deadline_us.store(deadline.count(), Ordering::Relaxed);
            free.count.store(1, Ordering::Relaxed);
            return;
        }
        for counter in &self.0 {
            let count = counter.count().saturating_sub(1);
            counter.count.store(count, Ordering::Relaxed);
        }
    }

    /// The initial deadline, or `None` until a deadline has recurred often enough.
    pub(crate) fn initial(&self) -> Option<Microseconds> {
        let most_frequent = self.0.iter().max_by_key(|counter| counter.count())?;
        let deadline_us = most_frequent.deadline_us.load(Ordering::Relaxed);
        (most_frequent.count() >= INITIAL_COUNT_MIN).then(|| Microseconds::new(deadline_us))
    }

    /// Takes over the counts of `other`.
    pub(crate) fn take_over(&self, other: &Self) {
        for (own, theirs) in self.0.iter().zip(&other.0) {
            let deadline_us = theirs.deadline_us.load(Ordering::Relaxed);
            own.deadline_us.store(deadline_us, Ordering::Relaxed);
            own.count.store(theirs.count(), Ordering::Relaxed);
        }
    }
}

impl Counter {
    fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }
}
