//! How long an entry waits before it asks the store again after a failure.
//!
//! In an outage all entries fail. The few that come first among them try on at a pace at which the
//! store's return is noticed within a second, and tell the others; those try seldom, so that the store
//! is not met by all at once.

use pinhaven_types::Microseconds;

/// Pause after a first failure.
const INITIAL_DELAY: Microseconds = Microseconds::from_ms(150);
/// The longest pause of those that come first. The store's return must be noticed within a second.
const DELAY_MAX: Microseconds = Microseconds::from_ms(800);
/// Entries per step by which pauses get longer; the first so many try at the usual pace.
const RANKS_PER_STEP: u64 = 4;
/// How many times longer a pause gets at most. An entry that is alone in being cut off learns what it
/// needs from its peers, so this only bounds what happens when all that come before it are lost.
const RANK_FACTOR_MAX: u64 = 8;

/// A pause that grows with each failure in a row.
#[derive(Debug)]
pub struct RetryBackoff(Microseconds);

impl Default for RetryBackoff {
    fn default() -> Self {
        Self(INITIAL_DELAY)
    }
}

impl RetryBackoff {
    /// The pause before the next call of the entry that is `rank`th among those that ask. `draw` is a
    /// random number from 0 to 1.
    pub fn next_delay(&mut self, rank: u32, draw: f64) -> Microseconds {
        let stretch = (u64::from(rank) / RANKS_PER_STEP).clamp(1, RANK_FACTOR_MAX);
        let usual = self.0.count() * stretch;
        self.0 = Microseconds::new(self.0.count() * 2).min(DELAY_MAX);
        Microseconds::new(usual / 2 + (usual as f64 * draw) as u64)
    }
}
