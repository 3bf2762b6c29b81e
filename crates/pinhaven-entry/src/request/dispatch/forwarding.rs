//! Carries out the forwarding of a request to another entry.

use super::RequestDriver;
use crate::request::answer_body::GuardedBody;
use crate::request::forward::ForwardEnd;
use crate::request::forward::prepare_forward;
use crate::request::forward::run_forward;
use crate::watch::counters::Count;
use crate::watch::latencies::Outcome;
use crate::wire::problem::Problem;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use pinhaven_agree::ServiceKey;
use pinhaven_decide::Event;
use pinhaven_decide::ForwardOutcome;
use pinhaven_record::TraceEvent;
use pinhaven_runtime::AnyBody;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::sync::Arc;

impl RequestDriver<'_> {
    /// Forwards the request to another entry that reaches the targets.
    pub(super) fn forward(&mut self, attempts_max: u32) {
        let (entry, service) = (&self.job.entry, &self.job.service);
        let key = ServiceKey::new(&service.config.name);
        let forwarder = entry.choose_forwarder(service, key, &self.asked);
        let prepared = forwarder.zip(prepare_forward(self.job, attempts_max));
        let Some((forwarder, prepared)) = prepared else {
            let end = ForwardEnd::without_answer(ForwardOutcome::NotTaken);
            self.forward = Some(Box::pin(std::future::ready(end)));
            return;
        };
        entry.counters.add(Count::ForwardSent);
        self.asked.push(forwarder.incarnation);
        let forwarding = run_forward(Arc::clone(entry), forwarder, prepared);
        self.forward = Some(Box::pin(forwarding));
        let peer = forwarder.peer_address.to_string();
        self.add_trace(TraceEvent::Forwarded { peer });
    }

    /// Drops a forwarding in flight, which cancels the request at the other entry.
    pub(super) fn cancel_forward(&mut self) {
        self.forward = None;
        self.add_trace(TraceEvent::ForwardCancelled);
    }

    /// Counts and records the end of a forwarding, and returns the event for the request's state.
    pub(super) fn finish_forward(&mut self, end: ForwardEnd) -> Event {
        self.forward = None;
        let ForwardEnd { outcome, answer } = end;
        let (count, name) = match outcome {
            ForwardOutcome::NotTaken => (Count::ForwardNotTaken, "not_taken"),
            ForwardOutcome::Refused { .. } => (Count::ForwardRefused, "refused"),
            ForwardOutcome::Broken => (Count::ForwardBroken, "broken"),
            ForwardOutcome::Answered => (Count::ForwardAnswered, "answered"),
        };
        self.job.entry.counters.add(count);
        let status = answer.as_ref().map(|answer| answer.status().as_u16());
        self.add_trace(TraceEvent::ForwardEnded {
            outcome: name,
            status,
        });
        self.forwarded_answer = answer;
        Event::ForwardEnded { outcome }
    }

    /// Builds the caller's answer from the answer of another entry.
    pub(super) fn deliver_forwarded(&mut self) -> Response<AnyBody> {
        let answer = self.forwarded_answer.take();
        let has_answer = require_promise(Promise::WholeOwnAnswer, answer.is_some(), || {
            "the forwarding has no answer".to_owned()
        });
        let Some(answer) = answer.filter(|_| has_answer) else {
            return Problem::unknown(StatusCode::BAD_GATEWAY, "broken", "the answer was lost")
                .into_response();
        };
        self.outcome = Outcome::Answered;
        self.job.entry.counters.add(Count::Answered);
        self.add_trace(TraceEvent::ForwardDelivered {
            status: answer.status().as_u16(),
        });
        let guard = std::mem::take(&mut self.request_guard);
        answer.map(|body| GuardedBody::new(body, guard).boxed_unsync())
    }
}
