//! Tracks how fast targets work at present and how long a speed lasts.
//!
//! Targets share their instances with other software, so the speed of each target drops several times and recovers
//! within fractions of a second. A target reports its current slowdown. The weight of a report decreases with its
//! age relative to the mean duration of a speed, which is learned from successive reports rather than configured.
//! [`FixedSpeedEstimate`] estimates whether work runs at the current speed or retains its initial speed.

use crate::atomic::AtomicF32;
use crate::fixed_speed::FixedSpeedEstimate;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Assumed duration of a speed before any change was observed, in milliseconds.
const DURATION_INITIAL_MS: f32 = 500.0;
/// Minimum and maximum mean duration of a speed, in milliseconds. Below the minimum no report would arrive in time
/// to be used; above the maximum a report is practically certain.
const DURATION_RANGE_MS: (f32, f32) = (50.0, 60_000.0);
/// Ratio of two slowdowns from which they count as different speeds.
const CHANGE_FACTOR: f32 = 1.5;
/// Maximum interval between two reports that is used to learn the duration of a speed, in milliseconds. Over a
/// longer interval the speed may have changed and changed back.
const REPORT_GAP_MAX_MS: f32 = 400.0;
/// Observed time after which earlier observations are halved, in milliseconds summed over all targets.
const OBSERVED_MAX_MS: f32 = 60_000.0;
/// Number of changes assumed before the first observation, so that the first changes don't dominate the estimate.
const PRIOR_CHANGES: f32 = 4.0;
/// Assumed slowdown of slow targets before any was observed.
const SLOW_FACTOR_INITIAL: f32 = 4.0;
/// Weight of one report in the mean slowdown of slow targets.
const SLOW_FACTOR_WEIGHT: f32 = 0.02;
/// Minimum probability that work started at a slow target, for a target whose reports before and after the start
/// show no slowdown.
const SLOW_CHANCE_MIN: f32 = 0.02;
/// Weight of one report in the mean slowdown of a service.
const MEAN_WEIGHT: f32 = 0.01;

/// Last reported slowdown of one target.
#[derive(Debug)]
pub(crate) struct ReportedSpeed {
    slowdown: AtomicF32,
    at_us: AtomicU64,
}

impl ReportedSpeed {
    /// Creates the state of a target that has reported no speed yet.
    pub(crate) fn unknown() -> Self {
        Self {
            slowdown: AtomicF32::new(1.0),
            at_us: AtomicU64::new(0),
        }
    }

    /// Records a report that was made at `at`. Returns whether the report is newer than the last one.
    pub(crate) fn record(&self, at: Microseconds, slowdown: f32, service: &ServiceSpeed) -> bool {
        let before_us = self.at_us.load(Ordering::Relaxed);
        if at.count() <= before_us {
            return false;
        }
        let before = self.slowdown.get();
        self.slowdown.set(slowdown);
        self.at_us.store(at.count(), Ordering::Relaxed);
        if before_us > 0 {
            let gap_ms = (at.count() - before_us) as f32 / 1_000.0;
            service.record(before, slowdown, gap_ms);
        }
        true
    }

    /// The last reported slowdown and its time, or `None` before the first report.
    pub(crate) fn last(&self) -> Option<(f32, Microseconds)> {
        let at_us = self.at_us.load(Ordering::Relaxed);
        (at_us > 0).then(|| (self.slowdown.get(), Microseconds::new(at_us)))
    }

    /// Expected slowdown at `now`. Moves from the last report towards the mean of the service as the report ages.
    pub(crate) fn expected(&self, now: Microseconds, service: &ServiceSpeed) -> f32 {
        let mean = service.mean.get();
        let Some((slowdown, at)) = self.last() else {
            return mean;
        };
        let age_ms = now.saturating_sub(at).as_ms() as f32;
        let validity = (-age_ms / service.mean_duration_ms()).exp();
        mean + (slowdown - mean) * validity
    }
}

/// Speed statistics of all targets of a service.
#[derive(Debug)]
pub(crate) struct ServiceSpeed {
    /// Mean slowdown of all targets.
    mean: AtomicF32,
    /// Mean slowdown of slow targets.
    slow: AtomicF32,
    /// Total observed time, in milliseconds.
    observed_ms: AtomicF32,
    /// Number of changes of speed in the observed time.
    changes: AtomicF32,
    /// Estimate whether work retains the speed at which it started.
    pub(crate) fixed_speed: FixedSpeedEstimate,
}

impl ServiceSpeed {
    pub(crate) fn new() -> Self {
        Self {
            mean: AtomicF32::new(1.0),
            slow: AtomicF32::new(SLOW_FACTOR_INITIAL),
            observed_ms: AtomicF32::new(DURATION_INITIAL_MS * PRIOR_CHANGES),
            changes: AtomicF32::new(PRIOR_CHANGES),
            fixed_speed: FixedSpeedEstimate::new(),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.mean.set(previous.mean.get());
        self.slow.set(previous.slow.get());
        self.observed_ms.set(previous.observed_ms.get());
        self.changes.set(previous.changes.get());
        self.fixed_speed.take_over(&previous.fixed_speed);
    }

    /// Mean slowdown of slow targets.
    pub(crate) fn slow_factor(&self) -> f32 {
        self.slow.get().max(CHANGE_FACTOR)
    }

    /// Probability that a target with the expected `slowdown` is slow.
    pub(crate) fn slow_chance(&self, slowdown: f32) -> f32 {
        let share = (slowdown - 1.0) / (self.slow_factor() - 1.0);
        share.clamp(SLOW_CHANCE_MIN, 1.0)
    }

    /// Expected duration of `work_ms` that starts at a target with this `slowdown`, in milliseconds.
    pub(crate) fn time_for(&self, work_ms: f32, slowdown: f32) -> f32 {
        let at_current_speed_ms = self.time_at_current_speed(work_ms, slowdown);
        let at_initial_speed_ms = work_ms * slowdown.max(1.0);
        self.fixed_speed
            .blend_for_start(at_current_speed_ms, at_initial_speed_ms)
    }

    /// Expected duration in milliseconds if work runs at the current speed of its target. The slowdown lasts for the
    /// mean duration of a speed.
    pub(crate) fn time_at_current_speed(&self, work_ms: f32, slowdown: f32) -> f32 {
        let mean_duration_ms = self.mean_duration_ms();
        if slowdown <= 1.0 || work_ms * slowdown <= mean_duration_ms {
            return work_ms * slowdown.max(1.0);
        }
        mean_duration_ms + (work_ms - mean_duration_ms / slowdown)
    }

    /// Expected time for which `work_ms` that starts at a target with this `slowdown` occupies a slot after the target
    /// has become fast again, as a share of the work. Requests that could be served in time lose only this time of the
    /// slot, because they don't use the target while it is slow.
    pub(crate) fn carry_over_share(&self, work_ms: f32, slowdown: f32) -> f32 {
        let slowdown = slowdown.max(1.0);
        let at_current_speed = tail_share(self.mean_duration_ms() / slowdown, work_ms);
        let at_initial_speed = slowdown * tail_share(self.mean_duration_ms(), work_ms * slowdown);
        self.fixed_speed.blend(at_current_speed, at_initial_speed)
    }

    /// Mean duration of a speed, in milliseconds.
    pub(crate) fn mean_duration_ms(&self) -> f32 {
        let mean_duration_ms = self.observed_ms.get() / self.changes.get();
        mean_duration_ms.clamp(DURATION_RANGE_MS.0, DURATION_RANGE_MS.1)
    }

    fn record(&self, before: f32, after: f32, gap_ms: f32) {
        self.mean.blend(after, MEAN_WEIGHT);
        if after >= CHANGE_FACTOR {
            self.slow.blend(after, SLOW_FACTOR_WEIGHT);
        }
        if gap_ms > REPORT_GAP_MAX_MS {
            return;
        }
        let has_changed = before > after * CHANGE_FACTOR || after > before * CHANGE_FACTOR;
        if self.observed_ms.get() > OBSERVED_MAX_MS {
            self.observed_ms.update(|observed_ms| observed_ms / 2.0);
            self.changes.update(|changes| (changes / 2.0).max(1.0));
        }
        self.observed_ms.update(|observed_ms| observed_ms + gap_ms);
        if has_changed {
            self.changes.update(|changes| changes + 1.0);
        }
    }
}

/// Expected share of `total_ms` that remains after an exponentially distributed time with the mean `first_ms`.
fn tail_share(first_ms: f32, total_ms: f32) -> f32 {
    let ratio = first_ms / total_ms.max(0.1);
    1.0 - ratio * (1.0 - (-1.0 / ratio).exp())
}
