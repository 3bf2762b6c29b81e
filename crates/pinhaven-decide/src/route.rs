//! What an entry learns about one route: the work of its requests and the initial deadline of its callers.

use crate::atomic::AtomicF32;
use crate::atomic::LearnedMedian;
use crate::initial_deadline::InitialDeadline;
use crate::waiting::WaitingSince;
use crate::work_estimate::WorkEstimate;
use pinhaven_types::Microseconds;

/// Assumed work before the first answer, as a share of the route's aim.
const WORK_INITIAL_SHARE: f32 = 0.33;
/// Weight of the assumed work, in answers.
const WORK_INITIAL_SAMPLES: u32 = 4;
/// Minimum weight of one answer in the route's work.
const WORK_WEIGHT: f32 = 0.03;
/// Initial and minimum deviation of the work from its median, as the absolute logarithm of their ratio.
const DEVIATION_INITIAL: f32 = 0.25;
const DEVIATION_MIN: f32 = 0.05;
/// Median absolute deviation of a normal distribution, as a share of its standard deviation.
const MEDIAN_DEVIATION_SHARE: f32 = 0.674;
/// Multiple of the current estimate to which the work of one answer is limited, so that a few stuck requests don't
/// distort the estimate.
const WORK_SAMPLE_FACTOR_MAX: f32 = 3.0;
/// Minimum work, in milliseconds. With a work of zero, all targets would have the same forecast.
const WORK_MIN_MS: f32 = 0.2;
/// Weight of one answer in the mean size of the route's answers.
const ANSWER_BYTES_WEIGHT: f32 = 0.05;

/// State of a route in one entry.
#[derive(Debug)]
pub struct RouteState {
    aim: Microseconds,
    work_ms: LearnedMedian,
    /// Median deviation of the work from the median work, as the absolute logarithm of their ratio.
    deviation: LearnedMedian,
    initial_deadline: InitialDeadline,
    /// Mean size of the route's answers, in bytes.
    answer_bytes: AtomicF32,
    /// The route's requests that wait for capacity.
    pub(crate) waiting_since: WaitingSince,
}

impl RouteState {
    /// Creates the state of a route whose answers have full value within `aim_ms` milliseconds.
    pub fn new(aim_ms: u64) -> Self {
        Self {
            aim: Microseconds::from_ms(aim_ms),
            work_ms: LearnedMedian::new(
                (aim_ms as f32 * WORK_INITIAL_SHARE).max(WORK_MIN_MS),
                WORK_INITIAL_SAMPLES,
            ),
            deviation: LearnedMedian::new(DEVIATION_INITIAL, WORK_INITIAL_SAMPLES),
            initial_deadline: InitialDeadline::new(),
            answer_bytes: AtomicF32::new(0.0),
            waiting_since: WaitingSince::new(),
        }
    }

    /// Takes over what was learned about the route in an earlier version.
    pub fn with_learned(self, previous: &Self) -> Self {
        self.work_ms.take_over(&previous.work_ms);
        self.deviation.take_over(&previous.deviation);
        self.initial_deadline.take_over(&previous.initial_deadline);
        self.answer_bytes.set(previous.answer_bytes.get());
        self
    }

    /// Records the deadline of a request, and returns how long its caller has already waited on earlier failed
    /// attempts. Callers of a route begin with the same deadline and send the time that remains of it with each retry.
    pub fn prior_wait(&self, deadline: Microseconds) -> Microseconds {
        self.initial_deadline.record(deadline);
        let initial = self.initial_deadline.initial().unwrap_or(deadline);
        initial.saturating_sub(deadline)
    }

    /// The time within which an answer has its full value.
    pub fn aim(&self) -> Microseconds {
        self.aim
    }

    /// Time that a request takes at a target of usual speed, in milliseconds.
    pub fn work_ms(&self) -> f32 {
        self.work_ms.get()
    }

    /// Records the size of an answer's body.
    pub fn record_answer_bytes(&self, bytes: u64) {
        self.answer_bytes.blend(bytes as f32, ANSWER_BYTES_WEIGHT);
    }

    /// Usual size of the route's answers, in bytes.
    pub(crate) fn answer_bytes(&self) -> f32 {
        self.answer_bytes.get()
    }

    /// Work statistics of the route's requests.
    pub(crate) fn work(&self) -> WorkEstimate {
        WorkEstimate {
            median_ms: self.work_ms.get(),
            spread: self.deviation.get() / MEDIAN_DEVIATION_SHARE,
        }
    }

    /// Records that a request needed `work_ms` at a target of usual speed.
    pub(crate) fn record_work(&self, work_ms: f32) {
        let max_ms = self.work_ms.get() * WORK_SAMPLE_FACTOR_MAX;
        let sample_ms = work_ms.clamp(WORK_MIN_MS, max_ms);
        let deviation = (sample_ms / self.work_ms.get()).ln().abs();
        self.deviation
            .record(deviation.max(DEVIATION_MIN), WORK_WEIGHT);
        self.work_ms.record(sample_ms, WORK_WEIGHT);
    }
}
