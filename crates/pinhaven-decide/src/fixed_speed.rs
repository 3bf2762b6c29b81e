//! Estimates whether work retains the speed at which it started.
//!
//! Work may run at the current speed of its target, or at the speed at which it started until it ends, for example
//! if the resources of a request are allotted at its start. Which of the two applies to a service is learned from
//! its answers. The difference matters in an overload: a request of half a second that starts at a slow target and
//! retains that speed occupies a slot for seconds, although the target is fast again long before. Avoiding slow
//! targets then lets more of these requests be answered in time.

use crate::atomic::AtomicF32;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Minimum weight of one answer in the estimate. The first answers weigh more: the second raises the estimate to
/// two thirds.
const SAMPLE_WEIGHT_MIN: f32 = 0.05;
/// Number of answers below which both assumptions count as equally likely for work that would start at a slow
/// target. To assume the current speed wrongly is the more expensive error: the request occupies a slot for longer
/// by the slowdown factor of the target.
const SAMPLES_MIN: u32 = 8;
/// Range of the estimate over which the weight of the initial speed rises from 0 to 1; the weight is 0 below, because
/// some answers are misleading, namely those whose target changed its speed unnoticed or was slowed down by other
/// requests.
const UNCERTAIN_RANGE: (f32, f32) = (0.15, 1.0);
/// Minimum ratio between the durations that the two assumptions predict for an answer to be used as a sample.
const DURATION_RATIO_MIN: f32 = 1.4;

/// Work that a target has done on a request, in milliseconds at usual speed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletedWork {
    /// Work done if it runs at the current speed of the target.
    pub(crate) at_current_speed_ms: f32,
    /// Work done if it retains the speed at which it started.
    pub(crate) at_initial_speed_ms: f32,
}

/// Probability that work retains the speed at which it started, learned from answers. Work is assumed to run at
/// the current speed of its target until the first sample.
#[derive(Debug)]
pub(crate) struct FixedSpeedEstimate {
    share: AtomicF32,
    samples: AtomicU32,
}

impl FixedSpeedEstimate {
    pub(crate) fn new() -> Self {
        Self {
            share: AtomicF32::new(0.0),
            samples: AtomicU32::new(0),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.share.set(previous.share.get());
        let samples = previous.samples.load(Ordering::Relaxed);
        self.samples.store(samples, Ordering::Relaxed);
    }

    /// Whether work is more likely to retain its initial speed than to run at the current speed of its target.
    pub(crate) fn is_likely(&self) -> bool {
        self.share.get() > 0.5
    }

    /// Records an answer to a request for which `work_ms` was expected.
    pub(crate) fn record(&self, work_ms: f32, done: CompletedWork) {
        if log_distance(done.at_current_speed_ms, done.at_initial_speed_ms)
            < DURATION_RATIO_MIN.ln()
        {
            return;
        }
        let current_distance = log_distance(done.at_current_speed_ms, work_ms);
        let initial_distance = log_distance(done.at_initial_speed_ms, work_ms);
        let sample = if initial_distance < current_distance {
            1.0
        } else {
            0.0
        };
        let before = self.samples.fetch_add(1, Ordering::Relaxed);
        let weight = 1.0 / (before as f32 + 2.0);
        self.share.blend(sample, weight.max(SAMPLE_WEIGHT_MIN));
    }

    /// Returns the mean of two figures, weighted by the probability that work retains its initial speed.
    pub(crate) fn blend(&self, if_at_current_speed: f32, if_at_initial_speed: f32) -> f32 {
        let (from, to) = UNCERTAIN_RANGE;
        let weight = ((self.share.get() - from) / (to - from)).clamp(0.0, 1.0);
        if_at_current_speed + (if_at_initial_speed - if_at_current_speed) * weight
    }

    /// Returns the weighted mean of two durations of work that would start now. With few samples, the result is at
    /// least the unweighted mean.
    pub(crate) fn blend_for_start(
        &self,
        at_current_speed_ms: f32,
        at_initial_speed_ms: f32,
    ) -> f32 {
        let weighted_ms = self.blend(at_current_speed_ms, at_initial_speed_ms);
        if self.samples.load(Ordering::Relaxed) < SAMPLES_MIN {
            return weighted_ms.max((at_current_speed_ms + at_initial_speed_ms) / 2.0);
        }
        weighted_ms
    }
}

/// Distance between two durations, as the absolute logarithm of their ratio.
fn log_distance(left_ms: f32, right_ms: f32) -> f32 {
    (left_ms.max(0.1) / right_ms.max(0.1)).ln().abs()
}
