//! How far a target has come with an attempt.

use crate::forecast::Forecast;
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
    /// Work done, in milliseconds of a target of usual speed.
    pub(crate) done_ms: f32,
    /// When that was.
    at: Microseconds,
    /// The slowdown at that time.
    pub(crate) slowdown: f32,
    /// Whether the target was nearly full when the attempt was sent.
    pub(crate) is_crowded: bool,
    /// Whether the target was at its usual speed whenever it was looked at.
    pub(crate) is_usual: bool,
}

impl Progress {
    pub(crate) fn begin(forecast: &Forecast, now: Microseconds) -> Self {
        Self {
            done_ms: 0.0,
            at: now,
            slowdown: forecast.slowdown,
            is_crowded: forecast.is_crowded(),
            is_usual: forecast.slowdown <= USUAL_SLOWDOWN && !forecast.target.is_cold(now),
        }
    }

    /// Moves on to `now`, at which the target is slow by `slowdown`.
    pub(crate) fn advance(&mut self, now: Microseconds, slowdown: f32) {
        let time_ms = now.saturating_sub(self.at).as_ms() as f32;
        let speed = (1.0 / self.slowdown.max(1.0) + 1.0 / slowdown.max(1.0)) / 2.0;
        self.done_ms += time_ms * speed;
        self.at = now;
        self.slowdown = slowdown;
        self.is_usual &= slowdown <= USUAL_SLOWDOWN;
    }

    /// Work that is left, in milliseconds of a target of usual speed.
    pub(crate) fn left_ms(&self, work_ms: f32) -> f32 {
        if self.done_ms > work_ms * STUCK_FACTOR {
            return self.done_ms;
        }
        (work_ms - self.done_ms).max(work_ms * LEFT_LEAST_SHARE)
    }
}
