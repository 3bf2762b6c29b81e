//! Notification of waiting tasks, highest priority first.
//!
//! Each notification is for one unit of something that several tasks wait for. Tasks of one priority are notified in
//! the order in which they began to listen.

use event_listener::Event;
use event_listener::EventListener;
use event_listener::IntoNotification as _;

/// An event with one list of listeners for each of `PRIORITIES` priorities, from 0 (notified last).
pub struct PriorityEvent<const PRIORITIES: usize>([Event; PRIORITIES]);

impl<const PRIORITIES: usize> Default for PriorityEvent<PRIORITIES> {
    fn default() -> Self {
        Self(std::array::from_fn(|_| Event::new()))
    }
}

impl<const PRIORITIES: usize> PriorityEvent<PRIORITIES> {
    /// Listens for a notification, starting with this call rather than with the first poll. Priorities above the
    /// highest count as the highest.
    ///
    /// A listener that is dropped after its notification passes the notification on.
    pub fn listen(&self, priority: u8) -> EventListener {
        self.of(priority).listen()
    }

    /// Notifies one listener of a priority, unless one has been notified and has not run since.
    ///
    /// For a task that passes a notification on. If it listens itself, it calls this first, so that it can't be the
    /// one that is notified.
    pub fn pass_on(&self, priority: u8) {
        self.of(priority).notify(1);
    }

    /// Notifies `count` listeners that have not been notified yet, or all if there are fewer.
    pub fn notify(&self, count: usize) {
        let mut remaining = count;
        for event in self.0.iter().rev() {
            if remaining == 0 {
                return;
            }
            // A listener that was notified before and has not run since is about to use another unit.
            remaining -= event.notify(remaining.additional()).min(remaining);
        }
    }

    fn of(&self, priority: u8) -> &Event {
        &self.0[usize::from(priority).min(PRIORITIES - 1)]
    }
}
