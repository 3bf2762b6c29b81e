//! Events of emulated time, in their order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event and its time; those of one time come in the order in which they were planned.
struct Planned<Event> {
    at_us: u64,
    number: u64,
    event: Event,
}

impl<Event> PartialEq for Planned<Event> {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl<Event> Eq for Planned<Event> {}

impl<Event> PartialOrd for Planned<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Planned<Event> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// All events that are planned.
pub(crate) struct Queue<Event> {
    events: BinaryHeap<Reverse<Planned<Event>>>,
    planned: u64,
}

impl<Event> Default for Queue<Event> {
    fn default() -> Self {
        Self {
            events: BinaryHeap::new(),
            planned: 0,
        }
    }
}

impl<Event> Queue<Event> {
    /// Plans an event, in microseconds of emulated time.
    pub(crate) fn schedule(&mut self, at_us: u64, event: Event) {
        self.planned += 1;
        let number = self.planned;
        self.events.push(Reverse(Planned {
            at_us,
            number,
            event,
        }));
    }

    /// The next event and its time, in microseconds.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse(next) = self.events.pop()?;
        Some((next.at_us, next.event))
    }
}
