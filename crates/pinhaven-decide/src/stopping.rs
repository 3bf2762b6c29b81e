//! Decides which requests an entry that stops still takes.
//!
//! The load pattern is a planned stop under load: callers use a stopping entry until their cached address answers
//! expire, and the process ends at a fixed time, whatever its targets still work on. A request whose deadline comes
//! before that time is taken, because nothing of it can be cut. While callers can't know of the stop, a refusal costs
//! each of them a round trip, so that until then a request is also taken if its usual work ends in time. Any other
//! request is refused at once as not run, and its caller tries another entry.

use crate::request::EventHandler;
use pinhaven_types::Microseconds;

/// Maximum time after the signal in which callers count as not knowing of the stop. Callers bear that a stop breaks off
/// requests that they sent in its first 3 s; the difference is for requests in transit and for a signal handled late.
const UNNOTICED_MAX: Microseconds = Microseconds::from_ms(2_700);
/// Share of the grace period in which the entry accepts connections. The rest is for the longest requests.
const ACCEPT_SHARE: f64 = 0.45;
/// Time between the end of the stop and the end of the grace period.
const KILL_MARGIN: Microseconds = Microseconds::from_ms(300);
/// Time for sending the final answers to requests that are ended. Callers may be some 10 ms away.
const FINAL_ANSWERS: Microseconds = Microseconds::from_ms(150);
/// Probability with which the work of a request may take longer than assumed.
const LONGER_WORK_CHANCE: f32 = 0.02;

/// Times of a planned stop, by the clock of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    began: Microseconds,
    unnoticed_until: Microseconds,
    closes_at: Microseconds,
    ends_requests_at: Microseconds,
    ends_at: Microseconds,
}

impl StopPlan {
    /// Plans a stop of a process that is killed `grace` after the signal at `began`. Callers learn of the stop within
    /// `notice`.
    pub fn within_grace(began: Microseconds, grace: Microseconds, notice: Microseconds) -> Self {
        let accept = Microseconds::new((grace.count() as f64 * ACCEPT_SHARE) as u64);
        let unnoticed = notice.min(UNNOTICED_MAX).min(accept);
        let ends_at = began.plus(grace.saturating_sub(KILL_MARGIN));
        Self {
            began,
            unnoticed_until: began.plus(unnoticed),
            closes_at: began.plus(accept),
            ends_requests_at: ends_at.saturating_sub(FINAL_ANSWERS).max(began),
            ends_at,
        }
    }

    /// Plans a stop of a process that nobody kills. It accepts connections for `notice`, within which callers learn of
    /// the stop, and then waits at most `wait_max` for its requests.
    pub fn without_kill(began: Microseconds, notice: Microseconds, wait_max: Microseconds) -> Self {
        let closes_at = began.plus(notice);
        let ends_at = closes_at.plus(wait_max);
        Self {
            began,
            unnoticed_until: closes_at,
            closes_at,
            ends_requests_at: ends_at.saturating_sub(FINAL_ANSWERS).max(closes_at),
            ends_at,
        }
    }

    /// Time of the signal.
    pub fn began(&self) -> Microseconds {
        self.began
    }

    /// Time at which the entry stops accepting connections.
    pub fn closes_at(&self) -> Microseconds {
        self.closes_at
    }

    /// Time at which requests in flight get their final answer.
    pub fn ends_requests_at(&self) -> Microseconds {
        self.ends_requests_at
    }

    /// Time at which the entry ends.
    pub fn ends_at(&self) -> Microseconds {
        self.ends_at
    }

    /// Whether a request that arrived at `arrived` may be sent at `now`. Its usual work takes `usual_work`.
    pub fn may_send(
        &self,
        arrived: Microseconds,
        now: Microseconds,
        deadline: Microseconds,
        usual_work: Microseconds,
    ) -> bool {
        let is_certain_to_end = deadline <= self.ends_requests_at;
        let is_unnoticed = arrived <= self.unnoticed_until;
        is_certain_to_end || (is_unnoticed && now.plus(usual_work) <= self.ends_requests_at)
    }
}

impl EventHandler<'_> {
    /// Whether the stop of the entry may break the request off if it is sent now.
    pub(crate) fn may_outlast_stop(&self) -> bool {
        let request = &self.request;
        let Some(stop) = &request.stop else {
            return false;
        };
        let usual_work_ms = match &request.route {
            Some(route) => route.work().exceeded_with(LONGER_WORK_CHANCE),
            None => self.service.typical_ms(),
        };
        let usual_work = Microseconds::new((usual_work_ms * 1_000.0) as u64);
        let deadline = request.facts.deadline;
        !stop.may_send(request.arrived, self.now, deadline, usual_work)
    }
}
