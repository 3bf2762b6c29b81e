//! Share of an entry's link that is used to send versions to peers.
//!
//! A version is sent as a package: an encoding of its whole body, or of the deltas from a version that the peer holds.
//!
//! When a version appears, all entries that lack the version request it from the few that have it. If an entry
//! served all requests at once, the parts of all packages would queue behind each other on a slow link, all
//! transfers would end late, and until then no receiver could serve the version to others. So the whole
//! package is charged to the budget when its transfer begins. Transfers that have begun continue at full
//! speed. Until the budget has recovered, further peers are refused with a retry delay and ask other entries.
//! Each entry that has received the version serves it in turn.

use pinhaven_types::Microseconds;

/// Share of the link that transfers to peers may use.
const LINK_SHARE: f64 = 0.5;
/// Time in which `LINK_SHARE` of the link transfers a full budget, the maximum that accumulates while idle.
const BURST_DURATION: Microseconds = Microseconds::from_ms(50);
/// Maximum delay that a refused peer is given before it may retry.
pub const RETRY_DELAY_MAX: Microseconds = Microseconds::from_ms(500);
/// Bytes per second in 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Microseconds per second.
const MICROSECONDS_PER_S: f64 = 1_000_000.0;

/// Token bucket, in bytes, for the transfer of versions to peers.
#[derive(Debug)]
pub struct TransferBudget {
    bytes_per_s: f64,
    left_bytes: f64,
    refilled_at: Microseconds,
}

impl TransferBudget {
    /// Creates a full budget for an instance with a link of `link_mbps` megabits per second.
    pub fn new(link_mbps: f64) -> Self {
        let bytes_per_s = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE;
        Self {
            bytes_per_s,
            left_bytes: burst_bytes(bytes_per_s),
            refilled_at: Microseconds::ZERO,
        }
    }

    /// Charges the transfer of a package of `bytes`. One package may overdraw the budget, however large.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the peer may retry if earlier transfers still overdraw the budget.
    pub fn begin(&mut self, bytes: usize, now: Microseconds) -> Result<(), Microseconds> {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = elapsed.count() as f64 / MICROSECONDS_PER_S * self.bytes_per_s;
        self.left_bytes = (self.left_bytes + refill).min(burst_bytes(self.bytes_per_s));
        self.refilled_at = now;
        if self.left_bytes <= 0.0 {
            let retry_delay = -self.left_bytes / self.bytes_per_s * MICROSECONDS_PER_S;
            return Err(Microseconds::new(retry_delay as u64)
                .clamp(Microseconds::from_ms(1), RETRY_DELAY_MAX));
        }
        self.left_bytes -= bytes as f64;
        Ok(())
    }
}

fn burst_bytes(bytes_per_s: f64) -> f64 {
    bytes_per_s * BURST_DURATION.count() as f64 / MICROSECONDS_PER_S
}
