//! Handling of ended attempts: sends another attempt, delivers the answer or refuses the request.

use crate::event::Action;
use crate::event::AttemptId;
use crate::event::AttemptOutcome;
use crate::forecast::TargetFilter;
use crate::refusal::Refusal;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::report::LoadReport;
use crate::request::EventHandler;
use crate::request::Phase;
use crate::request::UNSENT_ATTEMPTS_MAX;
use crate::target::TargetState;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl EventHandler<'_> {
    /// Sends the request to another target after an attempt that was not sent. No retry budget is used, because no
    /// target received the earlier attempt.
    fn send_elsewhere(&mut self) -> bool {
        let is_late = self.now >= self.request.facts.deadline || self.may_outlast_stop();
        if !self.request.facts.is_replayable || is_late {
            return false;
        }
        let Some(forecast) = self.earliest(TargetFilter::Any) else {
            return false;
        };
        let facts = forecast.facts(self.now);
        self.send(forecast.target, Some(facts));
        true
    }

    /// Handles an attempt that was not sent. If no further attempt is possible, refuses the request with `reason`.
    fn attempt_not_sent(&mut self, reason: RefusalReason) {
        self.request.unsent += 1;
        if self.service.connectivity().is_doubtful() && self.forward() {
            return;
        }
        if self.uses_forecast()
            && self.request.unsent <= UNSENT_ATTEMPTS_MAX
            && self.send_elsewhere()
        {
            return;
        }
        self.retry_or_refuse(reason);
    }

    pub(crate) fn attempt_ended(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(sent) = self.request.sent.get_mut(attempt.0 as usize) else {
            return;
        };
        if sent.is_ended {
            return;
        }
        sent.is_ended = true;
        let target = Arc::clone(&sent.target);
        let latency = self.now.saturating_sub(sent.at);
        match outcome {
            AttemptOutcome::NotSent => {
                self.service.record_failure(&target, self.now);
                self.attempt_not_sent(RefusalReason::Unreachable);
            }
            AttemptOutcome::TargetClosed => {
                let reason = self.unavailable_until(self.now);
                self.attempt_not_sent(reason.unwrap_or(RefusalReason::Shed));
            }
            AttemptOutcome::HeldBack { retry_after_ms } => {
                if !self.request.has_attempt_in_flight() {
                    self.hold_back(retry_after_ms);
                }
            }
            AttemptOutcome::Shed { report } => {
                self.record_shed(&target, report);
                self.retry_or_refuse(RefusalReason::Shed);
            }
            AttemptOutcome::Broken => {
                self.request.may_have_run = true;
                self.service.record_failure(&target, self.now);
                self.retry_or_refuse(RefusalReason::Broken);
            }
            AttemptOutcome::Answered {
                is_server_error: true,
                ..
            } => {
                self.request.may_have_run = true;
                self.service.record_failure(&target, self.now);
                self.retry_or_deliver(attempt);
            }
            AttemptOutcome::Answered { report, .. } => {
                self.service
                    .record_answer(&target, self.now, latency, report.as_ref());
                self.learn_work(attempt, report.as_ref());
                self.deliver(attempt);
            }
        }
    }

    fn record_shed(&mut self, target: &TargetState, report: Option<LoadReport>) {
        if let Some(report) = &report {
            self.service.record_report(target, self.now, report);
            self.service
                .limit
                .record(report, self.service.slots(), self.service.in_flight());
        }
        target.add_penalty(self.now, self.service.slots());
    }

    /// Whether the request may be sent again, budgets aside.
    fn may_retry(&self) -> bool {
        let facts = &self.request.facts;
        let is_safe = facts.is_repeatable || !self.request.may_have_run;
        let has_time = self.now < facts.deadline && !self.may_outlast_stop();
        is_safe && facts.is_replayable && self.has_attempts_left() && has_time
    }

    /// Takes a retry from the budgets of the service. Returns whether they allow it.
    pub(crate) fn take_retry(&self) -> bool {
        let priority = self.request.priority(self.service);
        let hedges = self.uses_forecast().then_some(&self.service.hedge_budget);
        self.service.retry_budget.take(priority, hedges, self.now)
    }

    /// Sends the request again if it may be, a target takes it and the budgets allow it. Returns whether it was sent.
    pub(crate) fn retry(&mut self) -> bool {
        if !self.may_retry() {
            return false;
        }
        let target = if self.uses_forecast() {
            let earliest = self.earliest(TargetFilter::Any);
            let forecast = earliest.or_else(|| self.earliest(TargetFilter::Spare));
            forecast.map(|forecast| {
                let facts = forecast.facts(self.now);
                (forecast.target, Some(facts))
            })
        } else {
            self.choose().map(|choice| (choice.target, None))
        };
        // A retry without a target would use up the budget of another request.
        let Some((target, chosen)) = target.filter(|_| self.take_retry()) else {
            return false;
        };
        self.service.retries.fetch_add(1, Ordering::Relaxed);
        self.send(target, chosen);
        true
    }

    fn retry_or_refuse(&mut self, reason: RefusalReason) {
        if self.request.has_attempt_in_flight() || self.retry() {
            return;
        }
        self.refuse(reason);
    }

    fn retry_or_deliver(&mut self, attempt: AttemptId) {
        let is_repeatable = self.request.facts.is_repeatable;
        if is_repeatable && (self.request.has_attempt_in_flight() || self.retry()) {
            return;
        }
        self.deliver(attempt);
    }

    fn deliver(&mut self, attempt: AttemptId) {
        self.request.may_have_run = true;
        self.finish();
        self.actions.push(Action::Deliver(attempt));
    }

    /// Refuses a request that crashes targets, also if other entries sent it to those targets. Another target would
    /// crash too instead of answering.
    pub(crate) fn hold_back(&mut self, retry_after_ms: u64) {
        self.refuse_until(RefusalReason::HeldBack, Some(retry_after_ms));
    }

    pub(crate) fn refuse(&mut self, reason: RefusalReason) {
        if self.may_forward_instead(reason) && self.forward() {
            return;
        }
        self.refuse_until(reason, None);
    }

    pub(crate) fn refuse_until(&mut self, reason: RefusalReason, retry_after_ms: Option<u64>) {
        let run_state = self.request.run_state();
        let is_overload = matches!(reason, RefusalReason::Overloaded | RefusalReason::EntryFull);
        if is_overload {
            self.service.record_admission(true);
        }
        self.finish();
        require_promise(
            Promise::NotRun,
            run_state != RunState::NotRun || !self.request.may_have_run,
            || "a request that may have run was reported as not run".to_owned(),
        );
        let retry_after_ms = retry_after_ms.unwrap_or_else(|| self.retry_after_ms(reason));
        self.actions.push(Action::Refuse(Refusal {
            reason,
            run_state,
            retry_after_ms,
        }));
    }

    pub(crate) fn caller_left(&mut self) {
        self.end_wait();
        self.finish();
    }

    pub(crate) fn entry_stopping(&mut self) {
        self.end_wait();
        self.refuse(RefusalReason::EntryStopping);
    }

    /// Cancels all attempts in flight and ends the request.
    pub(crate) fn finish(&mut self) {
        if !self.request.sent.is_empty() && !self.request.has_outlasted_hedge_delay {
            self.service.hedge_delay.record(false);
        }
        for sent in &mut self.request.sent {
            if sent.is_ended {
                continue;
            }
            sent.is_ended = true;
            self.request.may_have_run = true;
            let age = self.now.saturating_sub(sent.at);
            sent.target.record_censored(self.now, age);
            self.actions.push(Action::Cancel(sent.id));
        }
        if std::mem::take(&mut self.request.forward.is_in_flight) {
            self.request.may_have_run = true;
            self.actions.push(Action::CancelForward);
        }
        self.request.hedge_at = None;
        self.request.phase = Phase::Over;
    }
}
