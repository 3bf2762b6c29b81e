//! Backoff of an entry's calls to the store after failures.
//!
//! During an outage of the store the calls of all entries fail. The first entries in rank retry often enough to notice
//! within a second that the store is available again, and advertise what they learn to the other entries. The entries
//! after them in rank retry rarely, so that the store is not overloaded by all entries at once when it returns.

use pinhaven_types::Microseconds;

/// Mean delay after a first failure.
const INITIAL_DELAY: Microseconds = Microseconds::from_ms(150);
/// Maximum mean delay of the first entries in rank. They must notice the return of the store within a second.
const DELAY_MAX: Microseconds = Microseconds::from_ms(800);
/// Number of ranks after which the delay factor increases by one.
const RANKS_PER_STEP: u64 = 4;
/// Maximum delay factor, which bounds the time until an entry notices the return of the store by itself. An entry that
/// loses its connection to the store gets what it needs from its peers, so the bound only matters when all entries
/// before it in rank are lost.
const RANK_FACTOR_MAX: u64 = 8;

/// Exponential backoff with jitter; the delay doubles with each consecutive failure.
#[derive(Debug)]
pub struct RetryBackoff(Microseconds);

impl Default for RetryBackoff {
    fn default() -> Self {
        Self(INITIAL_DELAY)
    }
}

impl RetryBackoff {
    /// Returns the delay before the next call and doubles the mean for the call after that. `rank` is the
    /// number of entries that rank before this one; `draw` is a random number from 0 to 1.
    pub fn next_delay(&mut self, rank: u32, draw: f64) -> Microseconds {
        let rank_factor = (u64::from(rank) / RANKS_PER_STEP).clamp(1, RANK_FACTOR_MAX);
        let mean_delay = self.0.count() * rank_factor;
        self.0 = Microseconds::new(self.0.count() * 2).min(DELAY_MAX);
        Microseconds::new(mean_delay / 2 + (mean_delay as f64 * draw) as u64)
    }
}
