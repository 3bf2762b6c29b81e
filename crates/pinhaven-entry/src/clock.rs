//! The entry's monotonic clock.

use pinhaven_types::Microseconds;
use std::time::Duration;
use std::time::Instant;

/// What the clock shows at the start. It is past zero so that "never" can be zero.
const START: Microseconds = Microseconds::from_ms(3_600_000);

/// A clock that only goes forward.
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

    pub(crate) fn now(&self) -> Microseconds {
        START.plus(Microseconds::new(self.started.elapsed().as_micros() as u64))
    }

    /// Time since the entry began.
    pub(crate) fn age(&self) -> Microseconds {
        self.now().saturating_sub(START)
    }

    /// The moment at which the clock will show `time`.
    pub(crate) fn instant_of(&self, time: Microseconds) -> Instant {
        self.started + Duration::from_micros(time.saturating_sub(START).count())
    }
}
