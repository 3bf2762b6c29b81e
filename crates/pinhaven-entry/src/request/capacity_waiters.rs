//! Notification of requests that wait for capacity at the targets of a service.
//!
//! There is one event per priority. Freed capacity is offered to the highest priority with waiting requests first.

use event_listener::Event;
use event_listener::EventListener;
use pinhaven_decide::PRIORITY_COUNT;

/// Requests that wait for capacity at a service's targets, by priority.
#[derive(Default)]
pub(crate) struct CapacityWaiters([Event; PRIORITY_COUNT]);

impl CapacityWaiters {
    /// Listens for freed capacity, starting with this call rather than with the first poll.
    pub(crate) fn listen(&self, priority: u8) -> EventListener {
        self.0[usize::from(priority).min(PRIORITY_COUNT - 1)].listen()
    }

    /// Notifies at most `count` waiting requests, those of the highest priority first.
    pub(crate) fn notify(&self, count: usize) {
        let mut remaining = count;
        for event in self.0.iter().rev() {
            if remaining == 0 {
                return;
            }
            remaining -= event.notify(remaining).min(remaining);
        }
    }
}
