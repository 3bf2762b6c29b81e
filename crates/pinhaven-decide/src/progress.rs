//! Estimates how much of a request's work a target has done in one attempt.
//!
//! Depending on the service, work runs at the current speed of its target or retains the speed at which it
//! started. [`Progress`] tracks the work done under both assumptions, and [`ServiceSpeed`] estimates how likely
//! each assumption is. The speed at the start of an attempt is not known exactly: it is interpolated between the
//! last report before the start and the first report after it.

use crate::fixed_speed::CompletedWork;
use crate::forecast::Forecast;
use crate::speed::ServiceSpeed;
use crate::target::TargetState;
use crate::work_estimate::WorkEstimate;
use pinhaven_types::Microseconds;

/// Multiple of the route's work above which a request counts as stuck.
const STUCK_FACTOR: f32 = 2.0;
/// Minimum remaining work of a request, as a share of the expected work. Applies to a request that has already had
/// all of its expected work.
const REMAINING_SHARE_MIN: f32 = 0.3;
/// Maximum slowdown that counts as usual speed. Work is learned only from answers at usual speed.
const USUAL_SLOWDOWN: f32 = 1.3;

/// Work that a target has done in an attempt, estimated from the target's reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    began_at: Microseconds,
    /// Slowdown of the target when the attempt started.
    begin_slowdown: f32,
    /// The last report before the start, until [`Progress::interpolate_begin`] has used it together with the first
    /// report after the start.
    reported_before: Option<(f32, Microseconds)>,
    /// Work done if work runs at the current speed of the target, in milliseconds at usual speed.
    at_current_speed_ms: f32,
    /// Time of the last update of `at_current_speed_ms`.
    at: Microseconds,
    /// Slowdown of the target at time `at`.
    slowdown: f32,
    /// Whether the target was nearly full when the attempt was sent.
    pub(crate) is_crowded: bool,
    is_cold: bool,
    /// Whether the target was at its usual speed at every update.
    was_usual: bool,
}

impl Progress {
    pub(crate) fn begin(forecast: &Forecast, now: Microseconds) -> Self {
        Self {
            began_at: now,
            begin_slowdown: forecast.slowdown,
            reported_before: forecast.target.reported_speed(),
            at_current_speed_ms: 0.0,
            at: now,
            slowdown: forecast.slowdown,
            is_crowded: forecast.is_crowded(),
            is_cold: forecast.target.is_cold(now),
            was_usual: forecast.slowdown <= USUAL_SLOWDOWN,
        }
    }

    /// Advances the estimate to `now`, using the latest report of `target`.
    pub(crate) fn advance(
        &mut self,
        now: Microseconds,
        target: &TargetState,
        service: &ServiceSpeed,
    ) {
        self.interpolate_begin(target);
        let slowdown = target.expected_slowdown(now, service);
        let time_ms = now.saturating_sub(self.at).as_ms() as f32;
        let speed = (1.0 / self.slowdown.max(1.0) + 1.0 / slowdown.max(1.0)) / 2.0;
        self.at_current_speed_ms += time_ms * speed;
        self.at = now;
        self.slowdown = slowdown;
        self.was_usual &= slowdown <= USUAL_SLOWDOWN;
    }

    /// Interpolates the slowdown at the start between the last report before the start and the first report after
    /// it, weighted by how close each is to the start.
    fn interpolate_begin(&mut self, target: &TargetState) {
        let (Some((before, before_at)), Some((after, after_at))) =
            (self.reported_before, target.reported_speed())
        else {
            return;
        };
        if after_at <= self.began_at {
            return;
        }
        let before_ms = self.began_at.saturating_sub(before_at).as_ms() as f32;
        let after_ms = after_at.saturating_sub(self.began_at).as_ms() as f32;
        let share = before_ms / (before_ms + after_ms);
        self.begin_slowdown = before + (after - before) * share;
        self.reported_before = None;
    }

    /// Work done so far.
    pub(crate) fn done(&self) -> CompletedWork {
        let time_ms = self.at.saturating_sub(self.began_at).as_ms() as f32;
        CompletedWork {
            at_current_speed_ms: self.at_current_speed_ms,
            at_initial_speed_ms: time_ms / self.begin_slowdown.max(1.0),
        }
    }

    /// Expected time until the target answers, in milliseconds.
    pub(crate) fn time_left_ms(&self, work_ms: f32, service: &ServiceSpeed) -> f32 {
        let done = self.done();
        let at_current_speed_ms = service
            .time_at_current_speed(left_ms(done.at_current_speed_ms, work_ms), self.slowdown);
        let at_initial_speed_ms =
            left_ms(done.at_initial_speed_ms, work_ms) * self.begin_slowdown.max(1.0);
        service
            .fixed_speed
            .blend(at_current_speed_ms, at_initial_speed_ms)
    }

    /// Probability that the target does not answer within another `left_ms` milliseconds, if work retains the speed
    /// at which it started.
    pub(crate) fn miss_chance(
        &self,
        work: WorkEstimate,
        left_ms: f32,
        service: &ServiceSpeed,
    ) -> f32 {
        let time_ms = self.at.saturating_sub(self.began_at).as_ms() as f32;
        work.miss_chance(time_ms, left_ms, self.begin_slowdown, service)
    }

    /// Work that the answered request needed, in milliseconds at usual speed, or `None` if the answer doesn't allow
    /// an estimate. `is_crowded` says whether the target is nearly full at the end.
    pub(crate) fn observed_work_ms(&self, service: &ServiceSpeed, is_crowded: bool) -> Option<f32> {
        if self.is_cold {
            return None;
        }
        let done = self.done();
        if service.fixed_speed.is_likely() {
            return (self.begin_slowdown <= USUAL_SLOWDOWN).then_some(done.at_initial_speed_ms);
        }
        let is_conclusive = self.was_usual && is_crowded == self.is_crowded;
        is_conclusive.then_some(done.at_current_speed_ms)
    }
}

/// Work that remains after `done_ms` of `work_ms`, in milliseconds at usual speed. A stuck request is expected to need
/// as much work again as the target has already done.
fn left_ms(done_ms: f32, work_ms: f32) -> f32 {
    if done_ms > work_ms * STUCK_FACTOR {
        return done_ms;
    }
    (work_ms - done_ms).max(work_ms * REMAINING_SHARE_MIN)
}
