//! Monotonic clock of an entry.

use pinhaven_types::Microseconds;
use std::time::Duration;
use std::time::Instant;

/// Time of the clock at the start of the process. Greater than zero, so that zero can stand for "never".
const START: Microseconds = Microseconds::from_ms(3_600_000);

/// Monotonic clock that starts with the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The current time.
    pub(crate) fn now(&self) -> Microseconds {
        START.plus(Microseconds::new(self.started.elapsed().as_micros() as u64))
    }

    /// Time since the start of the entry.
    pub(crate) fn age(&self) -> Microseconds {
        self.now().saturating_sub(START)
    }

    /// The instant at which the clock shows `time`.
    pub(crate) fn instant_of(&self, time: Microseconds) -> Instant {
        self.started + Duration::from_micros(time.saturating_sub(START).count())
    }
}
