//! Requests that wait at this entry: their number by urgency, and their order within a route.
//!
//! After a burst, most of the requests that wait are late: their callers were refused and have come back. They wait for
//! slots that requests within their aims don't need, so they don't take precedence over requests that need a slot.

use crate::forecast::TargetFilter;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Highest priority of an organisation or a route; the lowest is 0.
pub(crate) const PRIORITY_MAX: u8 = 3;
/// Number of priorities.
const PRIORITY_COUNT: usize = PRIORITY_MAX as usize + 1;
/// Number of levels of urgency: the priority of the organisation and, within it, that of the route.
pub const URGENCY_COUNT: usize = PRIORITY_COUNT * PRIORITY_COUNT;
/// Priority of requests whose organisation has none, and of requests without an organisation.
const ORGANISATION_PRIORITY_DEFAULT: u8 = 2;

/// Urgency of a request, from the priorities of its organisation and its route.
pub(crate) fn urgency(organisation_priority: Option<u8>, route_priority: u8) -> u8 {
    let organisation_priority = organisation_priority.unwrap_or(ORGANISATION_PRIORITY_DEFAULT);
    organisation_priority.min(PRIORITY_MAX) * PRIORITY_COUNT as u8
        + route_priority.min(PRIORITY_MAX)
}

/// Number of waiting requests of a service.
#[derive(Debug)]
pub(crate) struct Waiting {
    /// Requests that wait for any slot, by urgency.
    for_any_slot: [AtomicU32; URGENCY_COUNT],
    /// Requests that wait for a spare slot.
    for_spare_slot: AtomicU32,
    /// Requests that wait for a slot in their failure domain and could be sent to another one.
    for_near_slot: AtomicU32,
}

impl Waiting {
    pub(crate) fn new() -> Self {
        Self {
            for_any_slot: [const { AtomicU32::new(0) }; URGENCY_COUNT],
            for_spare_slot: AtomicU32::new(0),
            for_near_slot: AtomicU32::new(0),
        }
    }

    pub(crate) fn begin(&self, urgency: u8, filter: TargetFilter) {
        self.counter(urgency, filter)
            .fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, urgency: u8, filter: TargetFilter) {
        self.counter(urgency, filter)
            .fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of all waiting requests.
    pub(crate) fn count(&self) -> u32 {
        let others = [&self.for_spare_slot, &self.for_near_slot];
        let counters = self.for_any_slot.iter().chain(others);
        counters.map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Number of requests that wait for a slot in their failure domain.
    pub(crate) fn count_near(&self) -> u32 {
        self.for_near_slot.load(Ordering::Relaxed)
    }

    /// Highest urgency of the requests that wait for any slot.
    pub(crate) fn most_urgent(&self) -> Option<u8> {
        let has_waiting = |urgency: &usize| self.for_any_slot[*urgency].load(Ordering::Relaxed) > 0;
        (0..URGENCY_COUNT)
            .rev()
            .find(has_waiting)
            .map(|urgency| urgency as u8)
    }

    fn counter(&self, urgency: u8, filter: TargetFilter) -> &AtomicU32 {
        match filter {
            TargetFilter::Any => &self.for_any_slot[usize::from(urgency).min(URGENCY_COUNT - 1)],
            TargetFilter::Spare => &self.for_spare_slot,
            TargetFilter::Near => &self.for_near_slot,
        }
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
