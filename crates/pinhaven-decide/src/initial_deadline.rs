//! The deadline with which callers of a route begin.
//!
//! Callers name what is left of their deadline on each further try, so the deadline of a first try is one
//! value that comes again and again, and those of later tries are any below it. The frequent values are
//! counted in a few counters (Misra and Gries), which a value keeps that makes up more than a fifth of all.
//! So three first tries tell, also when most requests are later ones: that is the load after an outage of
//! all entries, and a request whose aim is past must not take a slot from one that can still meet it.

use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Values that are counted at the same time.
const COUNTERS: usize = 4;
/// Times that a deadline must have come to count as a first one. Two of a few thousand possible
/// milliseconds coincide now and then, three hardly.
const USUAL_FROM: u32 = 3;
/// The most that is counted, so that another usual deadline is learned within some hundred requests.
const COUNT_MOST: u32 = 200;

#[derive(Debug)]
struct Counter {
    deadline_us: AtomicU64,
    count: AtomicU32,
}

/// Counts of the most frequent deadlines. Counts that threads take at the same time may be off by one.
#[derive(Debug)]
pub(crate) struct InitialDeadline([Counter; COUNTERS]);

impl InitialDeadline {
    /// Nothing is known yet.
    pub(crate) fn new() -> Self {
        Self(std::array::from_fn(|_| Counter {
            deadline_us: AtomicU64::new(0),
            count: AtomicU32::new(0),
        }))
    }

    /// Counts a deadline.
    pub(crate) fn record(&self, deadline: Microseconds) {
        let is_it = |counter: &&Counter| {
            counter.deadline_us.load(Ordering::Relaxed) == deadline.count() && counter.count() > 0
        };
        if let Some(counter) = self.0.iter().find(is_it) {
            let count = (counter.count() + 1).min(COUNT_MOST);
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

    /// The deadline of a first try, if it has come often enough.
    pub(crate) fn initial(&self) -> Option<Microseconds> {
        let usual = self.0.iter().max_by_key(|counter| counter.count())?;
        let deadline_us = usual.deadline_us.load(Ordering::Relaxed);
        (usual.count() >= USUAL_FROM).then(|| Microseconds::new(deadline_us))
    }

    /// Goes on from what another has learned.
    pub(crate) fn take_over(&self, other: &Self) {
        for (own, others) in self.0.iter().zip(&other.0) {
            let deadline_us = others.deadline_us.load(Ordering::Relaxed);
            own.deadline_us.store(deadline_us, Ordering::Relaxed);
            own.count.store(others.count(), Ordering::Relaxed);
        }
    }
}

impl Counter {
    fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }
}
