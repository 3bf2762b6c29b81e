//! Number of requests that wait at this entry, by priority.

use std::sync::atomic::AtomicU32;
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
