//! The chance that an attempt is answered in time, where work keeps the speed with which it began.
//!
//! An attempt is one of two kinds: at usual speed its work is spread around the route's, at a slow target
//! it takes several times as long. Which of the two it is shows in how long it has been under way: the longer
//! than the route's work, the likelier it is slow, long before its aim is past. By then it is too late for
//! another attempt.

use crate::speed::ServiceSpeed;

/// Slope of the logistic curve that comes nearest to the normal distribution.
const LOGISTIC_SLOPE: f32 = 1.702;

/// What is known of a route's work.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkEstimate {
    /// Its median at a target of usual speed, in milliseconds.
    pub(crate) median_ms: f32,
    /// Its spread, as the deviation of its logarithm.
    pub(crate) spread: f32,
}

impl WorkEstimate {
    /// Chance that work which takes `factor` times as long is not done after `time_ms`.
    fn outlasts(&self, time_ms: f32, factor: f32) -> f32 {
        let over = (time_ms.max(0.1) / (self.median_ms * factor)).ln() / self.spread;
        1.0 / (1.0 + (LOGISTIC_SLOPE * over).exp())
    }

    /// Chance that an attempt is not answered within another `left_ms`, when it has been under way for
    /// `time_ms` and began at a target of which `slowdown` was expected.
    pub(crate) fn miss_chance(
        &self,
        time_ms: f32,
        left_ms: f32,
        slowdown: f32,
        speed: &ServiceSpeed,
    ) -> f32 {
        let slow = speed.slow_factor();
        let slow_share = speed.slow_chance(slowdown);
        let still_fast = (1.0 - slow_share) * self.outlasts(time_ms, 1.0);
        let still_slow = slow_share * self.outlasts(time_ms, slow);
        let end_ms = time_ms + left_ms.max(0.0);
        let late_fast = (1.0 - slow_share) * self.outlasts(end_ms, 1.0);
        let late_slow = slow_share * self.outlasts(end_ms, slow);
        (late_fast + late_slow) / (still_fast + still_slow).max(f32::MIN_POSITIVE)
    }
}
