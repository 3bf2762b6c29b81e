//! How many claims may be written.

use parking_lot::Mutex;
use pinhaven_types::Microseconds;

/// Limits how many claims are written a second.
pub(crate) struct ClaimRate {
    spacing: Microseconds,
    next_at: Mutex<Microseconds>,
    burst: Microseconds,
}

impl ClaimRate {
    pub(crate) fn new(per_second: u32) -> Self {
        let spacing = Microseconds::new(1_000_000 / u64::from(per_second.max(1)));
        Self {
            spacing,
            next_at: Mutex::new(Microseconds::ZERO),
            burst: Microseconds::from_ms(1_000),
        }
    }

    /// Takes the right to one write; `false` when there is none now.
    pub(crate) fn take(&self, now: Microseconds) -> bool {
        let mut next_at = self.next_at.lock();
        let from = (*next_at).max(now.saturating_sub(self.burst));
        if from > now {
            return false;
        }
        *next_at = from.plus(self.spacing);
        true
    }
}
