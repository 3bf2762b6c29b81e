//! Probability that an attempt is answered in time, where work retains the speed at which it started.
//!
//! An attempt belongs to one of two groups: at usual speed its duration is distributed around the work of the
//! route, at a slow target it is several times as long. The elapsed time separates the groups: the longer an
//! attempt exceeds the work of the route, the more likely its target is slow. The probability rises long before
//! the aim has passed, while there is still time for another attempt.

use crate::speed::ServiceSpeed;

/// Slope at which the logistic curve approximates the cumulative normal distribution best.
const LOGISTIC_SLOPE: f32 = 1.702;

/// Work statistics of a route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkEstimate {
    /// Median work at a target of usual speed, in milliseconds.
    pub(crate) median_ms: f32,
    /// Standard deviation of the logarithm of the work.
    pub(crate) spread: f32,
}

impl WorkEstimate {
    /// Probability that work which takes `factor` times as long is not done after `time_ms`.
    fn survival_chance(&self, time_ms: f32, factor: f32) -> f32 {
        let log_ratio = (time_ms.max(0.1) / (self.median_ms * factor)).ln() / self.spread;
        1.0 / (1.0 + (LOGISTIC_SLOPE * log_ratio).exp())
    }

    /// Time that the work exceeds with probability `chance` at a target of usual speed, in milliseconds.
    pub(crate) fn exceeded_with(&self, chance: f32) -> f32 {
        let log_ratio = (1.0 / chance - 1.0).ln() / LOGISTIC_SLOPE;
        self.median_ms * (log_ratio * self.spread).exp()
    }

    /// Probability that an attempt is not answered within another `left_ms` milliseconds, given that it has been in
    /// flight for `time_ms` milliseconds and started at a target with the expected `slowdown`.
    pub(crate) fn miss_chance(
        &self,
        time_ms: f32,
        left_ms: f32,
        slowdown: f32,
        speed: &ServiceSpeed,
    ) -> f32 {
        let slow = speed.slow_factor();
        let slow_share = speed.slow_chance(slowdown);
        let still_fast = (1.0 - slow_share) * self.survival_chance(time_ms, 1.0);
        let still_slow = slow_share * self.survival_chance(time_ms, slow);
        let end_ms = time_ms + left_ms.max(0.0);
        let late_fast = (1.0 - slow_share) * self.survival_chance(end_ms, 1.0);
        let late_slow = slow_share * self.survival_chance(end_ms, slow);
        (late_fast + late_slow) / (still_fast + still_slow).max(f32::MIN_POSITIVE)
    }
}
