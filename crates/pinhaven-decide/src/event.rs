//! What happens to a request, and what is to be done about it.

use crate::refusal::Refusal;
use crate::report::LoadReport;
use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::Microseconds;
use std::sync::Arc;

/// Number of an attempt within its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u32);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// It was never sent; it did not run.
    NotSent,
    /// It was never sent, as its target began to leave or to rest after it was chosen.
    Closed,
    /// The target said that it did not run it.
    Shed {
        /// The report on the reply.
        report: Option<LoadReport>,
    },
    /// It was not sent, as the request crashes targets.
    HeldBack {
        /// When the request may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
    /// It broke after it was sent; nobody can tell whether it ran.
    Broken,
    /// It was answered.
    Answered {
        /// Whether the answer says that the target failed.
        is_server_error: bool,
        /// The report on the reply.
        report: Option<LoadReport>,
    },
}

/// Something that happened to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// It arrived.
    Arrived,
    /// It arrived and is known to crash targets.
    ArrivedHeldBack {
        /// When it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The time that the last step named has come.
    TimeCame,
    /// Another request of the service left its place.
    PlaceFreed,
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The caller left; nothing more need be answered.
    CallerLeft,
    /// The entry ends: the request must have its final answer now.
    EntryEnds,
}

/// What decided the choice of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceFacts {
    /// Time until the answer, as it was expected, in milliseconds.
    pub answer_ms: f32,
    /// Requests that the target was thought to hold.
    pub load: f32,
    /// How many times longer than usual work was thought to take there.
    pub slowdown: f32,
    /// Age of the target's last word on that, in milliseconds.
    pub report_age_ms: Option<f64>,
}

/// A request under way to a target; its place is given back when it is dropped.
#[derive(Debug)]
pub struct Attempt {
    /// Number within the request.
    pub id: AttemptId,
    /// The target.
    pub target: Arc<TargetState>,
    /// What decided the choice, where the policy forecasts.
    pub chosen: Option<ChoiceFacts>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) started: Microseconds,
}

impl Attempt {
    /// When it began.
    pub fn started(&self) -> Microseconds {
        self.started
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.service.end(&self.target, self.started);
    }
}

/// Something for the driver to do.
#[derive(Debug)]
pub enum Action {
    /// Send the request to the attempt's target.
    Send(Attempt),
    /// Give an attempt up and drop it.
    Cancel(AttemptId),
    /// Give the caller this attempt's answer.
    Deliver(AttemptId),
    /// Give the caller this refusal.
    Refuse(Refusal),
}

/// What to do, and when to call again.
#[derive(Debug, Default)]
pub struct Step {
    /// What to do now, in this order.
    pub actions: Vec<Action>,
    /// When to hand [`Event::TimeCame`] in if nothing else happens; `None` once the request is over.
    pub wake_at: Option<Microseconds>,
    /// Whether to hand [`Event::PlaceFreed`] in when a request of the service leaves its place.
    pub wants_place: bool,
}
