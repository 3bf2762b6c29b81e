//! Requests that wait at this entry: their number by priority, and their order within a route.

use pinhaven_types::Microseconds;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Number of priorities, from 0 (refused first) to 3 (refused last).
pub const PRIORITY_COUNT: usize = 4;
/// Highest priority.
pub(crate) const PRIORITY_MAX: u8 = PRIORITY_COUNT as u8 - 1;

/// Number of waiting requests of a service, by priority.
#[derive(Debug)]
pub(crate) struct Waiting([AtomicU32; PRIORITY_COUNT]);

impl Waiting {
    pub(crate) fn new() -> Self {
        Self([const { AtomicU32::new(0) }; PRIORITY_COUNT])
    }

    pub(crate) fn begin(&self, priority: u8) {
        self.counter(priority).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, priority: u8) {
        self.counter(priority).fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of waiting requests of all priorities.
    pub(crate) fn count(&self) -> u32 {
        self.0
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// Highest priority that has a waiting request.
    pub(crate) fn most_urgent(&self) -> Option<u8> {
        let has_waiting = |priority: &usize| self.0[*priority].load(Ordering::Relaxed) > 0;
        (0..PRIORITY_COUNT)
            .rev()
            .find(has_waiting)
            .map(|priority| priority as u8)
    }

    fn counter(&self, priority: u8) -> &AtomicU32 {
        &self.0[usize::from(priority.min(PRIORITY_MAX))]
    }
}

/// Times at which the callers of a route's waiting requests made their first try.
///
/// The earliest time is also available without the lock, so that requests which don't wait never take it.
#[derive(Debug)]
pub(crate) struct WaitingSince {
    counts: Mutex<BTreeMap<Microseconds, u32>>,
    earliest_us: AtomicU64,
}

impl WaitingSince {
    /// Value of the earliest time while no request waits.
    const NONE_US: u64 = u64::MAX;

    pub(crate) fn new() -> Self {
        Self {
            counts: Mutex::default(),
            earliest_us: AtomicU64::new(Self::NONE_US),
        }
    }

    pub(crate) fn begin(&self, first_try_at: Microseconds) {
        let mut counts = self.lock();
        *counts.entry(first_try_at).or_default() += 1;
        self.refresh_earliest(&counts);
    }

    pub(crate) fn end(&self, first_try_at: Microseconds) {
        let mut counts = self.lock();
        if let Some(count) = counts.get_mut(&first_try_at) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&first_try_at);
            }
        }
        self.refresh_earliest(&counts);
    }

    /// The earliest first try; `None` if no request waits.
    pub(crate) fn earliest(&self) -> Option<Microseconds> {
        let earliest_us = self.earliest_us.load(Ordering::Relaxed);
        (earliest_us != Self::NONE_US).then_some(Microseconds::new(earliest_us))
    }

    fn refresh_earliest(&self, counts: &BTreeMap<Microseconds, u32>) {
        let earliest = counts.keys().next();
        let earliest_us = earliest.map_or(Self::NONE_US, |earliest| earliest.count());
        self.earliest_us.store(earliest_us, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Microseconds, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
