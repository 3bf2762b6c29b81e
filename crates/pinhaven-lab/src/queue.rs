//! Event queue for emulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Event with its time. Events with equal times are ordered by `number`, the order in which they were scheduled.
struct Scheduled<Event> {
    at_us: u64,
    number: u64,
    event: Event,
}

impl<Event> PartialEq for Scheduled<Event> {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl<Event> Eq for Scheduled<Event> {}

impl<Event> PartialOrd for Scheduled<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Scheduled<Event> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// Queue of scheduled events, ordered by time.
pub(crate) struct Queue<Event> {
    events: BinaryHeap<Reverse<Scheduled<Event>>>,
    scheduled: u64,
}

impl<Event> Default for Queue<Event> {
    fn default() -> Self {
        Self {
            events: BinaryHeap::new(),
            scheduled: 0,
        }
    }
}

impl<Event> Queue<Event> {
    /// Schedules an event at a time in microseconds of emulated time.
    pub(crate) fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.events.push(Reverse(Scheduled {
            at_us,
            number,
            event,
        }));
    }

    /// Removes the next event and returns it with its time, in microseconds.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse(next) = self.events.pop()?;
        Some((next.at_us, next.event))
    }
}
