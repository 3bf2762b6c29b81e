//! How long an entry waits before it asks the store again after a failure.
//!
//! In an outage all entries fail. The few that come first among them try on at a pace at which the
//! store's return is noticed within a second, and tell the others; those try seldom, so that the store
//! is not met by all at once.

use pinhaven_types::Microseconds;

/// Pause after a first failure.
const FIRST: Microseconds = Microseconds::from_ms(150);
/// The longest pause of those that come first. The store's return must be noticed within a second.
const MOST: Microseconds = Microseconds::from_ms(800);
/// Entries per step by which pauses get longer; the first so many try at the usual pace.
const RANKS_PER_STEP: u64 = 4;
/// How many times longer a pause gets at most. An entry that is alone in being cut off learns what it
/// needs from its peers, so this only bounds what happens when all that come before it are lost.
const STRETCH_MOST: u64 = 8;

/// A pause that grows with each failure in a row.
#[derive(Debug)]
pub struct RetryPause(Microseconds);

impl Default for RetryPause {
    fn default() -> Self {
        Self(FIRST)
    }
}

impl RetryPause {
    /// The pause before the next call of the entry that is `rank`th among those that ask. `draw` is a
    /// random number from 0 to 1.
    pub fn next(&mut self, rank: u32, draw: f64) -> Microseconds {
        let stretch = (u64::from(rank) / RANKS_PER_STEP).clamp(1, STRETCH_MOST);
        let usual = self.0.count() * stretch;
        self.0 = Microseconds::new(self.0.count() * 2).min(MOST);
        Microseconds::new(usual / 2 + (usual as f64 * draw) as u64)
    }
}
