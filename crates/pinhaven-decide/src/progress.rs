//! How far a target has come with an attempt.
//!
//! Two accounts are kept side by side, as work may follow its target's speed or keep the one with which
//! it began; [`ServiceSpeed`] says how likely each is. Which speed an attempt began with is not known
//! exactly: the last report before it and the first one after it are weighed by how near they are.

use crate::fixed_speed::CompletedWork;
use crate::forecast::Forecast;
use crate::speed::ServiceSpeed;
use crate::target::TargetState;
use crate::work_estimate::WorkEstimate;
use pinhaven_types::Microseconds;

/// Work past which a request counts as stuck, in times the work of its route.
const STUCK_FACTOR: f32 = 2.0;
/// What is left of a request that has had all of its expected work, as a share of that.
const LEFT_LEAST_SHARE: f32 = 0.3;
/// Speeds up to this count as usual, so that work can be learned from an answer.
const USUAL_SLOWDOWN: f32 = 1.3;

/// How far a target has come with an attempt, as far as its reports tell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    began_at: Microseconds,
    /// The slowdown with which it began.
    begin_slowdown: f32,
    /// The last report before it began, until one that was made after it has been weighed in.
    reported_before: Option<(f32, Microseconds)>,
    /// Work done if it follows the target's speed, in milliseconds of a target of usual speed.
    followed_ms: f32,
    /// When that was.
    at: Microseconds,
    /// The slowdown at that time.
    slowdown: f32,
    /// Whether the target was nearly full when the attempt was sent.
    pub(crate) is_crowded: bool,
    is_cold: bool,
    /// Whether the target was at its usual speed whenever it was looked at.
    was_usual: bool,
}

impl Progress {
    pub(crate) fn begin(forecast: &Forecast, now: Microseconds) -> Self {
        Self {
            began_at: now,
            begin_slowdown: forecast.slowdown,
            reported_before: forecast.target.reported_speed(),
            followed_ms: 0.0,
            at: now,
            slowdown: forecast.slowdown,
            is_crowded: forecast.is_crowded(),
            is_cold: forecast.target.is_cold(now),
            was_usual: forecast.slowdown <= USUAL_SLOWDOWN,
        }
    }

    /// Moves on to `now`, with what `target` has reported meanwhile.
    pub(crate) fn advance(
        &mut self,
        now: Microseconds,
        target: &TargetState,
        service: &ServiceSpeed,
    ) {
        self.weigh_begin(target);
        let slowdown = target.expected_slowdown(now, service);
        let time_ms = now.saturating_sub(self.at).as_ms() as f32;
        let speed = (1.0 / self.slowdown.max(1.0) + 1.0 / slowdown.max(1.0)) / 2.0;
        self.followed_ms += time_ms * speed;
        self.at = now;
        self.slowdown = slowdown;
        self.was_usual &= slowdown <= USUAL_SLOWDOWN;
    }

    /// Weighs the first report that was made after the beginning against the last one before it.
    fn weigh_begin(&mut self, target: &TargetState) {
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
            followed_ms: self.followed_ms,
            kept_ms: time_ms / self.begin_slowdown.max(1.0),
        }
    }

    /// Time until the target is expected to answer, in milliseconds.
    pub(crate) fn time_left_ms(&self, work_ms: f32, service: &ServiceSpeed) -> f32 {
        let done = self.done();
        let followed_ms =
            service.time_if_followed(left_ms(done.followed_ms, work_ms), self.slowdown);
        let kept_ms = left_ms(done.kept_ms, work_ms) * self.begin_slowdown.max(1.0);
        service.fixed_speed.blend(followed_ms, kept_ms)
    }

    /// Chance that the target does not answer within another `left_ms`, if work keeps its speed.
    pub(crate) fn miss_chance(
        &self,
        work: WorkEstimate,
        left_ms: f32,
        service: &ServiceSpeed,
    ) -> f32 {
        let time_ms = self.at.saturating_sub(self.began_at).as_ms() as f32;
        work.miss_chance(time_ms, left_ms, self.begin_slowdown, service)
    }

    /// The work that the request needed, in milliseconds of a target of usual speed, if its answer tells.
    /// `is_crowded` says whether the target is nearly full at the end.
    pub(crate) fn observed_work_ms(&self, service: &ServiceSpeed, is_crowded: bool) -> Option<f32> {
        if self.is_cold {
            return None;
        }
        let done = self.done();
        if service.fixed_speed.is_likely() {
            return (self.begin_slowdown <= USUAL_SLOWDOWN).then_some(done.kept_ms);
        }
        let is_told = self.was_usual && is_crowded == self.is_crowded;
        is_told.then_some(done.followed_ms)
    }
}

/// Work that is left when `done_ms` of `work_ms` are done, in milliseconds of a target of usual speed.
fn left_ms(done_ms: f32, work_ms: f32) -> f32 {
    if done_ms > work_ms * STUCK_FACTOR {
        return done_ms;
    }
    (work_ms - done_ms).max(work_ms * LEFT_LEAST_SHARE)
}
