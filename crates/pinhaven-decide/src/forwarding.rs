//! Forwarding of requests to another entry while this entry reaches no target of the service.
//!
//! A request that no target received is forwarded at no cost to the budgets. One that a target may have received is
//! forwarded only if it may be repeated, as a retry. The other entry serves the request like its own, within the
//! attempts and the time that are left, and never forwards it again.

use crate::event::Action;
use crate::event::ForwardOutcome;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::request::EventHandler;
use crate::request::Phase;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;

/// Maximum number of other entries that are asked to take a request.
const FORWARDS_MAX: u32 = 3;

/// Forwardings of one request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ForwardState {
    pub(crate) is_in_flight: bool,
    /// Number of entries that were asked to take the request.
    asked: u32,
    /// Number of entries that took the request.
    pub(crate) sent: u32,
}

impl EventHandler<'_> {
    /// Whether another entry may serve a request that this entry would refuse for `reason`.
    pub(crate) fn may_forward_instead(&self, reason: RefusalReason) -> bool {
        let connectivity = self.service.connectivity();
        match reason {
            RefusalReason::Unreachable => true,
            RefusalReason::Broken => connectivity.is_lost() || connectivity.is_doubtful(),
            _ => false,
        }
    }

    /// Forwards the request if another entry reaches the targets, and the budgets allow it. Returns whether it was
    /// forwarded.
    pub(crate) fn forward(&mut self) -> bool {
        let request = &self.request;
        let is_unsent = request.sent.is_empty() && request.forward.asked == 0;
        let has_body = request.facts.is_replayable || is_unsent;
        if request.facts.is_forwarded
            || request.forward.is_in_flight
            || request.forward.asked >= FORWARDS_MAX
            || !has_body
            || self.now >= request.facts.deadline
            || !self.service.connectivity().is_reached_by_peer()
        {
            return false;
        }
        let attempts_max = self.attempts_left();
        if attempts_max == 0 {
            return false;
        }
        if request.run_state() != RunState::NotRun
            && !(request.facts.is_repeatable && self.take_retry())
        {
            return false;
        }
        let is_allowed =
            self.request.facts.is_repeatable || self.request.run_state() == RunState::NotRun;
        let holds = require_promise(Promise::AtMostOnce, is_allowed, || {
            "a request that may not be repeated would be forwarded after it was sent".to_owned()
        });
        if !holds {
            return false;
        }
        self.request.forward.is_in_flight = true;
        self.request.forward.asked += 1;
        self.request.forward.sent += 1;
        self.request.phase = Phase::InFlight;
        self.actions.push(Action::Forward { attempts_max });
        true
    }

    pub(crate) fn forward_ended(&mut self, outcome: ForwardOutcome) {
        if !std::mem::take(&mut self.request.forward.is_in_flight) {
            return;
        }
        match outcome {
            ForwardOutcome::NotTaken => {
                self.request.forward.sent -= 1;
                self.end_forward(RefusalReason::Unreachable, None);
            }
            ForwardOutcome::Refused {
                run_state: RunState::NotRun,
                retry_after_ms,
            } => self.end_forward(RefusalReason::ForwardRefused, Some(retry_after_ms)),
            ForwardOutcome::Refused { retry_after_ms, .. } => {
                self.request.may_have_run = true;
                self.end_forward(RefusalReason::Broken, Some(retry_after_ms));
            }
            ForwardOutcome::Broken => {
                self.request.may_have_run = true;
                self.end_forward(RefusalReason::Broken, None);
            }
            ForwardOutcome::Answered => {
                self.request.may_have_run = true;
                self.finish();
                self.actions.push(Action::DeliverForwarded);
            }
        }
    }

    /// Refuses the request after a forwarding without an answer, unless an attempt is in flight or another entry may
    /// take the request.
    fn end_forward(&mut self, reason: RefusalReason, retry_after_ms: Option<u64>) {
        if self.request.has_attempt_in_flight() {
            return;
        }
        match retry_after_ms {
            Some(_) => self.refuse_until(reason, retry_after_ms),
            None => self.refuse(reason),
        }
    }

    /// Forwards a request that waits, and one that is in flight and may be repeated.
    pub(crate) fn connectivity_lost(&mut self) {
        match self.request.phase {
            Phase::Waiting { .. } => {
                self.end_wait();
                self.refuse(RefusalReason::Unreachable);
            }
            Phase::InFlight if self.request.facts.is_repeatable => {
                self.forward();
            }
            _ => {}
        }
    }
}
