//! Recent use of an organisation at one entry.
//!
//! Use is measured by an exponentially weighted sum, with a short history of its past values. The shares of the entries
//! are computed from past values, because the own use of an entry is known before that of its peers: in a sudden jump
//! of the load, an entry that compared present values would take its own share for most of the use.

use pinhaven_types::Microseconds;

/// Interval between two values.
pub(crate) const EPOCH: Microseconds = Microseconds::from_ms(250);
/// Time constant of the weighted sum, in seconds.
pub(crate) const TIME_CONSTANT_S: f64 = 2.0;
/// Number of values kept.
const HISTORY: usize = 4;

/// Weighted sum of the recent use, with its past values.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UseMeter {
    last_count: u32,
    values: [f64; HISTORY],
}

impl UseMeter {
    /// A meter that ignores the use before `count`.
    pub(crate) fn starting_at(count: u32) -> Self {
        Self {
            last_count: count,
            values: [0.0; HISTORY],
        }
    }

    /// Adds the use up to `count` after `elapsed_s`, at the end of an epoch.
    pub(crate) fn advance(&mut self, count: u32, elapsed_s: f64) {
        let added = f64::from(count.wrapping_sub(self.last_count) as i32).max(0.0);
        self.last_count = count;
        self.values.rotate_right(1);
        self.values[0] = self.values[1] * (-elapsed_s / TIME_CONSTANT_S).exp() + added;
    }

    /// Ignores the use between the last epoch and `count`.
    pub(crate) fn skip_to(&mut self, count: u32) {
        self.last_count = count;
    }

    /// Latest weighted sum.
    pub(crate) fn recent(&self) -> f64 {
        self.values[0]
    }

    /// Weighted sum before the last epochs.
    pub(crate) fn settled(&self) -> f64 {
        self.values[HISTORY - 1]
    }

    /// Mean rate of the latest weighted sum, in requests per second.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.values[0] / TIME_CONSTANT_S
    }
}
