//! Rate limit of the claims that an entry writes to the platform's table.

use parking_lot::Mutex;
use pinhaven_types::Microseconds;

/// Rate limiter for claim writes. Unused writes accumulate over at most one second.
pub(crate) struct ClaimRate {
    /// Time between two writes at the full rate.
    spacing: Microseconds,
    /// Time from which the next write is allowed.
    next_at: Mutex<Microseconds>,
    /// Time over which unused writes accumulate.
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

    /// Consumes one write from the limit. Returns `false` if no write is allowed at `now`.
    pub(crate) fn take(&self, now: Microseconds) -> bool {
        let mut next_at = self.next_at.lock();
        let allowed_at = (*next_at).max(now.saturating_sub(self.burst));
        if allowed_at > now {
            return false;
        }
        *next_at = allowed_at.plus(self.spacing);
        true
    }
}
