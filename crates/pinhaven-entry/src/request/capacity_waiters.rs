//! Telling waiting requests that a place is free, the more urgent first.

use event_listener::Event;
use event_listener::EventListener;
use pinhaven_decide::PRIORITY_COUNT;

/// Those who wait for a place at a service's targets.
#[derive(Default)]
pub(crate) struct CapacityWaiters([Event; PRIORITY_COUNT]);

impl CapacityWaiters {
    /// Listens for a free place. Listening begins with this call.
    pub(crate) fn listen(&self, priority: u8) -> EventListener {
        self.0[usize::from(priority).min(PRIORITY_COUNT - 1)].listen()
    }

    /// Tells as many requests as there are places, the most urgent first.
    pub(crate) fn notify(&self, places: usize) {
        let mut left = places;
        for event in self.0.iter().rev() {
            if left == 0 {
                return;
            }
            left -= event.notify(left).min(left);
        }
    }
}
