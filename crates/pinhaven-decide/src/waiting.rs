//! Requests that wait at this entry, counted by priority.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Number of priorities, from 0 (refused first) to 3 (refused last).
pub const PRIORITY_COUNT: usize = 4;
/// The highest priority.
pub(crate) const PRIORITY_MAX: u8 = PRIORITY_COUNT as u8 - 1;

/// How many requests wait.
#[derive(Debug)]
pub(crate) struct Waiting([AtomicU32; PRIORITY_COUNT]);

impl Waiting {
    pub(crate) fn new() -> Self {
        Self([const { AtomicU32::new(0) }; PRIORITY_COUNT])
    }

    pub(crate) fn begin(&self, priority: u8) {
        self.of(priority).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, priority: u8) {
        self.of(priority).fetch_sub(1, Ordering::Relaxed);
    }

    /// All that wait.
    pub(crate) fn count(&self) -> u32 {
        self.0
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// The highest priority of which one waits.
    pub(crate) fn most_urgent(&self) -> Option<u8> {
        let waits = |priority: &usize| self.0[*priority].load(Ordering::Relaxed) > 0;
        (0..PRIORITY_COUNT)
            .rev()
            .find(waits)
            .map(|priority| priority as u8)
    }

    fn of(&self, priority: u8) -> &AtomicU32 {
        &self.0[usize::from(priority.min(PRIORITY_MAX))]
    }
}
