//! Divides the requests of a route among services in proportion to weights.
//!
//! Requests are distributed by a low-discrepancy sequence rather than at random, so that the proportions hold over a
//! few hundred requests of one entry and not only over many thousands.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Fractional part of the golden ratio, in units of 2^-64. Its multiples fill the unit interval more evenly than
/// those of any other number.
const GOLDEN_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Weights and the current position in the sequence.
#[derive(Debug)]
pub struct Split {
    /// Cumulative sum of the weights up to and including each part, as a share of the total.
    bounds: Vec<f64>,
    position: AtomicU64,
}

impl Split {
    /// Creates a split with these weights. The sequence begins at `start`, which may be any number.
    pub fn new(weights: impl IntoIterator<Item = f64>, start: u64) -> Self {
        let mut sum = 0.0;
        let mut bounds: Vec<f64> = weights
            .into_iter()
            .map(|weight| {
                sum += weight.max(0.0);
                sum
            })
            .collect();
        for bound in &mut bounds {
            *bound /= sum;
        }
        Self {
            bounds,
            position: AtomicU64::new(start),
        }
    }

    /// Returns the index of the part that the next request belongs to.
    pub fn next_part(&self) -> usize {
        if self.bounds.len() <= 1 {
            return 0;
        }
        let position = self.position.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        let share = position as f64 / u64::MAX as f64;
        let part = self.bounds.iter().position(|bound| share < *bound);
        part.unwrap_or(self.bounds.len() - 1)
    }
}
