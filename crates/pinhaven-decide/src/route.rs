//! What an entry has learned of one route: how long its requests work.

use crate::atomic::LearnedMedian;
use crate::initial_deadline::InitialDeadline;
use crate::work_estimate::WorkEstimate;
use pinhaven_types::Microseconds;

/// Share of a route's aim that its work is thought to take until it has been measured.
const WORK_FIRST_SHARE: f32 = 0.33;
/// How sure that is, in answers.
const WORK_FIRST_SAMPLES: u32 = 4;
/// Weight of one answer in the route's work.
const WORK_WEIGHT: f32 = 0.03;
/// How far works are from the median until that has been measured, and the least, as logarithms.
const WORK_OFF_FIRST: f32 = 0.25;
const WORK_OFF_LEAST: f32 = 0.05;
/// Median distance from the mean in a normal distribution, as a share of its deviation.
const MEDIAN_OFF_SHARE: f32 = 0.674;
/// An answer counts for at most this many times the work so far, so that a few stuck requests don't
/// move it.
const WORK_SAMPLE_MOST: f32 = 3.0;
/// The shortest work, in milliseconds; a time of zero would make all targets alike.
const WORK_LEAST_MS: f32 = 0.2;

/// A route as one entry sees it.
#[derive(Debug)]
pub struct RouteState {
    aim: Microseconds,
    work_ms: LearnedMedian,
    /// Median of how far works are from the median work, as the absolute logarithm of their ratio.
    work_off: LearnedMedian,
    deadlines: InitialDeadline,
}

impl RouteState {
    /// A route whose answers are worth all they can be within `aim_ms`.
    pub fn new(aim_ms: u64) -> Self {
        Self {
            aim: Microseconds::from_ms(aim_ms),
            work_ms: LearnedMedian::new(
                (aim_ms as f32 * WORK_FIRST_SHARE).max(WORK_LEAST_MS),
                WORK_FIRST_SAMPLES,
            ),
            work_off: LearnedMedian::new(WORK_OFF_FIRST, WORK_FIRST_SAMPLES),
            deadlines: InitialDeadline::new(),
        }
    }

    /// The same with what was learned of the route in an earlier version.
    pub fn with_learned(self, previous: &Self) -> Self {
        self.work_ms.take_over(&previous.work_ms);
        self.work_off.take_over(&previous.work_off);
        self.deadlines.take_over(&previous.deadlines);
        self
    }

    /// Takes in the deadline of a request, and returns how long its caller has waited before, on
    /// tries that failed. Callers of a route begin with one deadline and name what is left of it on
    /// each further try.
    pub fn prior_wait(&self, deadline: Microseconds) -> Microseconds {
        self.deadlines.record(deadline);
        let usual = self.deadlines.initial().unwrap_or(deadline);
        usual.saturating_sub(deadline)
    }

    /// The time within which an answer is worth all it can be.
    pub fn aim(&self) -> Microseconds {
        self.aim
    }

    /// Time that a request works at a target of usual speed, in milliseconds.
    pub fn work_ms(&self) -> f32 {
        self.work_ms.get()
    }

    /// What is known of the work of its requests.
    pub(crate) fn work(&self) -> WorkEstimate {
        WorkEstimate {
            median_ms: self.work_ms.get(),
            spread: self.work_off.get() / MEDIAN_OFF_SHARE,
        }
    }

    /// Takes in that a request needed `work_ms` of a target of usual speed.
    pub(crate) fn record_work(&self, work_ms: f32) {
        let most_ms = self.work_ms.get() * WORK_SAMPLE_MOST;
        let sample_ms = work_ms.clamp(WORK_LEAST_MS, most_ms);
        let off = (sample_ms / self.work_ms.get()).ln().abs();
        self.work_off.record(off.max(WORK_OFF_LEAST), WORK_WEIGHT);
        self.work_ms.record(sample_ms, WORK_WEIGHT);
    }
}
