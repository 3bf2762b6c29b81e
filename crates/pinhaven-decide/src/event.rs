//! Events that a driver passes to a request, and the actions that the request returns.

use crate::refusal::Refusal;
use crate::refusal::RunState;
use crate::report::LoadReport;
use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::Microseconds;
use std::sync::Arc;

/// Index of an attempt within its request, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u32);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The attempt was not sent, so the request did not run.
    NotSent,
    /// The attempt was not sent, because the target began to leave or to rest after it had been chosen.
    TargetClosed,
    /// The target refused the attempt and stated that it did not run the request.
    Shed {
        /// Load report on the answer.
        report: Option<LoadReport>,
    },
    /// The attempt was not sent, because the request crashes targets.
    HeldBack {
        /// Time until the request may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The attempt failed after it was sent; whether the request ran is unknown.
    Broken,
    /// The target answered.
    Answered {
        /// Whether the answer reports a failure of the target.
        is_server_error: bool,
        /// Load report on the answer.
        report: Option<LoadReport>,
    },
}

/// How the forwarding of a request to another entry ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The other entry did not take the request, so it did not run there.
    NotTaken,
    /// The other entry refused the request.
    Refused {
        /// Whether the request ran.
        run_state: RunState,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The connection to the other entry failed; whether the request ran is unknown.
    Broken,
    /// The other entry returned the answer of a target.
    Answered,
}

/// Something that happened to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// The request arrived.
    Arrived,
    /// The request arrived and is known to crash targets.
    ArrivedHeldBack {
        /// Time until the request may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The time in [`Step::wake_at`] of the previous step was reached.
    TimerFired,
    /// Another request of the service ended and freed capacity.
    CapacityFreed,
    /// An attempt ended.
    AttemptEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The forwarding of the request ended.
    ForwardEnded {
        /// Outcome of the forwarding.
        outcome: ForwardOutcome,
    },
    /// This entry reaches no target of the service any more.
    ConnectivityLost,
    /// The caller disconnected; no answer is needed any more.
    CallerLeft,
    /// The entry is stopping, and the request must get its final answer now.
    EntryStopping,
}

/// Figures on which the choice of a target was based.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceFacts {
    /// Expected time until the answer, in milliseconds.
    pub answer_ms: f32,
    /// Estimated number of requests at the target.
    pub load: f32,
    /// Expected slowdown: the factor by which work takes longer at the target than usual.
    pub slowdown: f32,
    /// Age of the target's latest report of its speed, in milliseconds.
    pub report_age_ms: Option<f64>,
}

/// An attempt in flight to a target. Dropping it releases its capacity at the target and the service.
#[derive(Debug)]
pub struct Attempt {
    /// Index within the request.
    pub id: AttemptId,
    /// Target of the attempt.
    pub target: Arc<TargetState>,
    /// Figures on which the choice was based, under the forecasting policy only.
    pub chosen: Option<ChoiceFacts>,
    pub(crate) service: Arc<ServiceState>,
    pub(crate) started: Microseconds,
}

impl Attempt {
    /// Time at which the attempt was sent.
    pub fn started(&self) -> Microseconds {
        self.started
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.service.end(&self.target, self.started);
    }
}

/// An action for the driver to perform.
#[derive(Debug)]
pub enum Action {
    /// Send the request to the attempt's target.
    Send(Attempt),
    /// Cancel the attempt and drop it.
    Cancel(AttemptId),
    /// Deliver the attempt's answer to the caller.
    Deliver(AttemptId),
    /// Forward the request to another entry that reaches the targets.
    Forward {
        /// Maximum number of attempts that the other entry may make.
        attempts_max: u32,
    },
    /// Cancel the forwarding and drop it.
    CancelForward,
    /// Deliver the answer of the forwarding to the caller.
    DeliverForwarded,
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// Pass in [`Event::CapacityFreed`] to a waiting request: this request leaves free capacity to one that has waited
    /// longer.
    OfferCapacity,
}

/// The result of handling one event.
#[derive(Debug, Default)]
pub struct Step {
    /// Actions to perform now, in order.
    pub actions: Vec<Action>,
    /// Time at which to pass in [`Event::TimerFired`] if no other event occurs before; `None` once the request is over.
    pub wake_at: Option<Microseconds>,
    /// Whether to pass in [`Event::CapacityFreed`] when another request of the service frees capacity.
    pub awaits_capacity: bool,
}
