//! How much of a link goes to giving versions to peers, and to how many at a time.
//!
//! When a version comes, all entries that lack it ask the few that have it. If all were served at once, their
//! parts would queue up behind each other at a small link, all would end late and none could give it on
//! meanwhile. So a package is paid for as a whole when it is begun: what was begun goes on at full speed, and
//! further askers are sent to others until it is paid off. Each that has got the version gives it on.

use pinhaven_types::Microseconds;

/// Share of the link that goes to it.
const LINK_SHARE: f64 = 0.5;
/// What may be begun at once after a quiet time, as the time in which that share of the link carries it.
const BURST: Microseconds = Microseconds::from_ms(50);
/// The longest that an asker is told to stay away.
pub const RETRY_DELAY_MAX: Microseconds = Microseconds::from_ms(500);
/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Microseconds in a second.
const MICROSECONDS: f64 = 1_000_000.0;

/// What may be given to peers.
#[derive(Debug)]
pub struct TransferBudget {
    bytes_per_s: f64,
    left_bytes: f64,
    filled_at: Microseconds,
}

impl TransferBudget {
    /// The budget of an instance with such a link, in megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        let bytes_per_s = link_mbps * BYTES_PER_MEGABIT * LINK_SHARE;
        Self {
            bytes_per_s,
            left_bytes: burst_bytes(bytes_per_s),
            filled_at: Microseconds::ZERO,
        }
    }

    /// Begins to give `bytes`. The budget may be overdrawn by one package, however large that is.
    ///
    /// # Errors
    ///
    /// How long the asker should stay away when those before it are not paid off yet.
    pub fn begin(&mut self, bytes: usize, now: Microseconds) -> Result<(), Microseconds> {
        let passed = now.saturating_sub(self.filled_at);
        let filled = passed.count() as f64 / MICROSECONDS * self.bytes_per_s;
        self.left_bytes = (self.left_bytes + filled).min(burst_bytes(self.bytes_per_s));
        self.filled_at = now;
        if self.left_bytes <= 0.0 {
            let until = -self.left_bytes / self.bytes_per_s * MICROSECONDS;
            return Err(
                Microseconds::new(until as u64).clamp(Microseconds::from_ms(1), RETRY_DELAY_MAX)
            );
        }
        self.left_bytes -= bytes as f64;
        Ok(())
    }
}

fn burst_bytes(bytes_per_s: f64) -> f64 {
    bytes_per_s * BURST.count() as f64 / MICROSECONDS
}
