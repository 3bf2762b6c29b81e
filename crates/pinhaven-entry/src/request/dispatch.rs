//! Event loop that drives a request to its final answer.
//!
//! The loop passes events (arrival, ends of attempts, timers, freed capacity) to a [`RequestState`] and carries out the
//! actions that the state returns: send or cancel an attempt, deliver an answer, or refuse the request. The request's
//! trace is recorded when the driver is dropped, so that it is recorded even if the caller disconnects.

mod charges;
mod forwarding;

use crate::callers::job::Job;
use crate::callers::request_guard::RequestGuard;
use crate::request::answer_body::AnswerBody;
use crate::request::answer_body::AnswerGuard;
use crate::request::attempt::Answer;
use crate::request::attempt::AttemptEnd;
use crate::request::attempt::prepare_request;
use crate::request::attempt::run_attempt;
use crate::request::forward::ForwardEnd;
use crate::request::record_context::RecordContext;
use crate::targets::pool::PooledSender;
use crate::watch::counters::Count;
use crate::watch::latencies::Outcome;
use crate::wire::header;
use crate::wire::problem::Problem;
use event_listener::EventListener;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use pinhaven_bundle::Organisation;
use pinhaven_decide::Action;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::OrganisationShare;
use pinhaven_decide::Refusal;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RunState;
use pinhaven_decide::Step;
use pinhaven_decide::TargetState;
use pinhaven_record::Chosen;
use pinhaven_record::TargetCounts;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;
use pinhaven_runtime::AnyBody;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

/// Drives a request to its final answer, which is a target's answer or a refusal.
pub(crate) async fn dispatch(job: &Job, request_guard: RequestGuard) -> Response<AnyBody> {
    let facts = RequestFacts {
        is_repeatable: job.is_repeatable,
        is_replayable: job.body.is_replayable(),
        deadline: job.deadline,
        attempts_max: job
            .attempts_max
            .unwrap_or(RequestFacts::new(true, job.deadline).attempts_max),
        entry_utilization: job.entry.utilization(),
        priority: job.routed.config().map(|route| route.priority),
        prior_wait: job.prior_wait,
        body_bytes: job.body.size_bytes(),
        organisation: job.organisation.as_deref().map(organisation_share),
        is_forwarded: job.is_forwarded,
    };
    let mut request = RequestState::new(facts);
    if let Some(route) = &job.routed.route {
        request = request.with_route(Arc::clone(&route.state));
    }
    let mut driver = RequestDriver {
        job,
        request,
        random: fastrand::Rng::new(),
        in_flight: Vec::new(),
        answers: Vec::new(),
        forward: None,
        forwarded_answer: None,
        asked: Vec::new(),
        connectivity_lost: job.service.connectivity_lost.listen(),
        request_guard,
        started_at: job.entry.now(),
        has_sent: false,
        may_have_run: false,
        outcome: Outcome::CallerLeft,
        trace: Trace::default(),
    };
    driver.drive().await
}

/// An attempt and the future of its outcome. The attempt holds capacity at its target until it is dropped.
struct AttemptInFlight {
    attempt: Attempt,
    outcome: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
}

/// What [`RequestDriver::next_event`] waits for.
enum Ended {
    /// The attempt at this index ended.
    Attempt(usize, AttemptEnd),
    /// The forwarding ended.
    Forward(ForwardEnd),
    /// Another event occurred.
    Other(Event),
}

/// State of a request that is being dispatched.
struct RequestDriver<'job> {
    job: &'job Job,
    request: RequestState,
    random: fastrand::Rng,
    in_flight: Vec<AttemptInFlight>,
    /// Answers received and not yet delivered; their attempts still hold capacity.
    answers: Vec<(Attempt, Answer)>,
    /// Future of the outcome of a forwarding in flight.
    forward: Option<Pin<Box<dyn Future<Output = ForwardEnd> + Send>>>,
    /// Answer of a forwarding that was not yet delivered.
    forwarded_answer: Option<Response<AnyBody>>,
    /// Entries that were asked to take the request.
    asked: Vec<Incarnation>,
    connectivity_lost: EventListener,
    request_guard: RequestGuard,
    started_at: Microseconds,
    /// Whether any attempt was made.
    has_sent: bool,
    /// Whether a target may have run the request in an attempt that has ended.
    may_have_run: bool,
    outcome: Outcome,
    trace: Trace,
}

impl Drop for RequestDriver<'_> {
    fn drop(&mut self) {
        if !self.request.is_over() {
            self.add_trace(TraceEvent::CallerLeft);
        }
        self.record();
        // A caller that disconnects drops this future, which releases the request's capacity at the entry and at its
        // targets.
        let event = Event::CallerLeft;
        self.handle(event);
        let attempt_count = self.in_flight.len() + self.answers.len();
        self.in_flight.clear();
        self.answers.clear();
        self.forward = None;
        // A request that ends without an attempt may have been notified of capacity that it did not use.
        let unused_notifications = usize::from(!self.has_sent);
        let freed = attempt_count + unused_notifications;
        self.job.service.capacity_freed.notify(freed);
    }
}

impl RequestDriver<'_> {
    async fn drive(&mut self) -> Response<AnyBody> {
        let mut step = self.arrive();
        let mut capacity = None;
        loop {
            let actions = std::mem::take(&mut step.actions);
            if actions
                .iter()
                .any(|action| matches!(action, Action::OfferCapacity))
            {
                // Before this request listens again, so that the offer does not return to it.
                self.job.service.capacity_freed.pass_on(self.urgency());
            }
            // Listens before the other actions are carried out, so that no notification of freed capacity is missed.
            // While the request goes on waiting, it keeps its listener and thereby its place among the waiting requests.
            capacity = match (step.awaits_capacity, capacity) {
                (false, _) => None,
                (true, Some(listener)) => Some(listener),
                (true, None) => Some(self.job.service.capacity_freed.listen(self.urgency())),
            };
            for action in actions {
                match action {
                    Action::Send(attempt) => self.send(attempt),
                    Action::Cancel(id) => self.cancel(id),
                    Action::Deliver(id) => return self.deliver(id),
                    Action::Refuse(refusal) => return self.refuse(refusal),
                    Action::Forward { attempts_max } => self.forward(attempts_max),
                    Action::CancelForward => self.cancel_forward(),
                    Action::DeliverForwarded => return self.deliver_forwarded(),
                    Action::OfferCapacity => {}
                }
            }
            self.drop_answers();
            let event = self.next_event(&step, &mut capacity).await;
            step = self.handle(event);
        }
    }

    fn arrive(&mut self) -> Step {
        let held_back = self.job.entry.held_back_for_ms(self.job);
        self.handle(match held_back {
            Some(retry_after_ms) => Event::ArrivedHeldBack { retry_after_ms },
            None => Event::Arrived,
        })
    }

    fn urgency(&self) -> u8 {
        self.request.urgency(&self.job.service.state)
    }

    fn handle(&mut self, event: Event) -> Step {
        let now = self.job.entry.now();
        let service = &self.job.service.state;
        self.withhold_hedges_over_limit(event, now);
        if let Some(stop) = self.job.entry.stop_plan.get() {
            self.request.set_stop(*stop);
        }
        self.request.handle(service, now, &mut self.random, event)
    }

    fn refuse(&mut self, refusal: Refusal) -> Response<AnyBody> {
        self.outcome = Outcome::Refused(refusal.reason);
        self.job.entry.counters.add_refusal(refusal.reason);
        if refusal.reason == RefusalReason::EntryStopping {
            self.log_ended_by_stop(refusal.run_state);
        }
        let problem = Problem::from(refusal);
        self.add_trace(TraceEvent::Refused {
            reason: refusal.reason.name(),
            run: refusal.run_state.name(),
            status: problem.status.as_u16(),
            retry_after_ms: refusal.retry_after_ms,
            waiting: self.job.service.state.waiting(),
            held_ms: self.job.entry.now().saturating_sub(self.started_at).as_ms(),
            targets: Some(self.target_counts()),
        });
        problem.into_response()
    }

    /// Logs a request that the stop of the entry ended, with its times relative to the signal.
    fn log_ended_by_stop(&self, run_state: RunState) {
        let Some(stop) = self.job.entry.stop_plan.get() else {
            return;
        };
        let began = stop.began();
        let left_ms = self.job.deadline.saturating_sub(self.job.entry.now());
        log::warn!(
            target: "stop",
            "Ended a request ({run_state}) that arrived {} ms before and {} ms after the signal, {} ms before its deadline.",
            began.saturating_sub(self.started_at).as_ms() as u64,
            self.started_at.saturating_sub(began).as_ms() as u64,
            left_ms.as_ms() as u64,
        );
    }

    fn target_counts(&self) -> TargetCounts {
        let now = self.job.entry.now();
        let state = &self.job.service.state;
        let summary = state.summary(now);
        let heard_age = state.connectivity().heard_age(now);
        TargetCounts {
            all: summary.all,
            leaving: summary.leaving,
            resting: summary.resting,
            ejected: summary.ejected,
            slow: summary.slow,
            full: summary.full,
            failed: state.connectivity().failed_targets(),
            heard_age_ms: heard_age.map(|age| age.as_ms() as u64),
        }
    }

    fn add_trace(&mut self, event: TraceEvent) {
        if self.job.entry.recorder.is_some() {
            self.trace.add(self.job.entry.now().count(), event);
        }
    }

    /// Records the latency and the trace of the request.
    fn record(&mut self) {
        let entry = &self.job.entry;
        self.record_latency();
        let Some(context) = RecordContext::new(self.job) else {
            return;
        };
        let trace = std::mem::take(&mut self.trace);
        let aim_us = self.job.routed.config().map(|route| route.aim_ms * 1_000);
        let elapsed = entry
            .now()
            .saturating_sub(self.started_at)
            .plus(self.job.prior_wait);
        let importance = trace.importance(elapsed.count(), aim_us);
        context.record_trace(entry, trace, importance);
    }

    fn record_latency(&self) {
        let route = self.job.routed.config().map(|route| route.name.as_str());
        let elapsed = self.job.entry.now().saturating_sub(self.started_at);
        let entry = &self.job.entry;
        entry.count_for_organisation(self.job, self.outcome, elapsed);
        let (times, outcome) = (&entry.request_times, self.outcome.name());
        times.record(route.unwrap_or_default(), outcome, elapsed.as_ms() as u64);
    }

    fn send(&mut self, attempt: Attempt) {
        self.has_sent = true;
        // The request may have become suspected of crashing targets since it arrived, also by its own last attempt.
        let is_further_target = self.may_have_run || !self.in_flight.is_empty();
        if let Err(for_ms) = self.job.entry.check_send(self.job, is_further_target) {
            let end = AttemptEnd::HeldBack { for_ms };
            let outcome = Box::pin(std::future::ready(end));
            return self.in_flight.push(AttemptInFlight { attempt, outcome });
        }
        self.add_trace(TraceEvent::Sent {
            attempt: attempt.id.0,
            chosen: chosen(&attempt),
        });
        self.job.entry.counters.add(Count::Attempts);
        self.charge_attempt();
        let attempts = self.request.downstream_attempts(attempt.id);
        let outcome = match prepare_request(self.job, &attempt, attempts) {
            Some(prepared) => {
                let future = run_attempt(
                    Arc::clone(&self.job.entry),
                    Arc::clone(&self.job.service),
                    Arc::clone(&attempt.target),
                    prepared,
                );
                Box::pin(future) as Pin<Box<dyn Future<Output = AttemptEnd> + Send>>
            }
            None => Box::pin(std::future::ready(AttemptEnd::NotSent)),
        };
        self.in_flight.push(AttemptInFlight { attempt, outcome });
    }

    fn cancel(&mut self, id: AttemptId) {
        self.add_trace(TraceEvent::Cancelled { attempt: id.0 });
        self.in_flight
            .retain(|in_flight| in_flight.attempt.id != id);
        self.job.service.capacity_freed.notify(1);
    }

    /// Drops answers that the last step did not deliver, and releases the capacity of their attempts.
    fn drop_answers(&mut self) {
        if !self.answers.is_empty() {
            self.answers.clear();
            self.job.service.capacity_freed.notify(1);
        }
    }

    /// Waits for the next event: the end of an attempt, freed capacity, the stop of the entry, or the step's timer
    /// (by default the deadline). If several are ready, the first in this order is returned.
    async fn next_event(&mut self, step: &Step, capacity: &mut Option<EventListener>) -> Event {
        let wake_at = step.wake_at.unwrap_or(self.job.deadline);
        let mut timer = async_io::Timer::at(self.job.entry.clock.instant_of(wake_at));
        let mut stopping = std::pin::pin!(self.job.entry.stop_signal.wait());
        let event = poll_fn(|context| {
            if let Some(forward) = &mut self.forward
                && let Poll::Ready(end) = forward.as_mut().poll(context)
            {
                return Poll::Ready(Ended::Forward(end));
            }
            for (index, attempt) in self.in_flight.iter_mut().enumerate() {
                if let Poll::Ready(end) = attempt.outcome.as_mut().poll(context) {
                    return Poll::Ready(Ended::Attempt(index, end));
                }
            }
            if let Some(listener) = capacity
                && Pin::new(listener).poll(context).is_ready()
            {
                *capacity = None;
                return Poll::Ready(Ended::Other(Event::CapacityFreed));
            }
            if stopping.as_mut().poll(context).is_ready() {
                return Poll::Ready(Ended::Other(Event::EntryStopping));
            }
            if Pin::new(&mut self.connectivity_lost)
                .poll(context)
                .is_ready()
            {
                self.connectivity_lost = self.job.service.connectivity_lost.listen();
                return Poll::Ready(Ended::Other(Event::ConnectivityLost));
            }
            match Pin::new(&mut timer).poll(context) {
                Poll::Ready(_) => Poll::Ready(Ended::Other(Event::TimerFired)),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        match event {
            Ended::Attempt(index, end) => self.finish_attempt(index, end),
            Ended::Forward(end) => self.finish_forward(end),
            Ended::Other(event) => event,
        }
    }

    /// Removes an attempt that has ended, counts and records its end, and returns the event for the request's state.
    fn finish_attempt(&mut self, index: usize, end: AttemptEnd) -> Event {
        let AttemptInFlight { attempt, .. } = self.in_flight.swap_remove(index);
        let id = attempt.id;
        self.add_end_trace(&attempt, &end);
        let outcome = match end {
            AttemptEnd::NotSent => {
                self.refund_attempt();
                self.release_capacity(attempt, Count::AttemptNotSent);
                AttemptOutcome::NotSent
            }
            AttemptEnd::TargetClosed => {
                self.refund_attempt();
                self.release_capacity(attempt, Count::AttemptClosed);
                AttemptOutcome::TargetClosed
            }
            AttemptEnd::Crashed { is_certain: false } => {
                self.may_have_run = true;
                self.job
                    .entry
                    .record_crash_if_reached(self.job, &attempt.target);
                self.release_capacity(attempt, Count::AttemptCrashed);
                AttemptOutcome::Broken
            }
            AttemptEnd::Crashed { is_certain: true } | AttemptEnd::Restarted => {
                self.may_have_run = true;
                self.record_crash(&attempt.target);
                self.release_capacity(attempt, Count::AttemptCrashed);
                AttemptOutcome::Broken
            }
            AttemptEnd::Broken | AttemptEnd::Cut => {
                self.may_have_run = true;
                self.release_capacity(attempt, Count::AttemptBroken);
                AttemptOutcome::Broken
            }
            AttemptEnd::HeldBack { for_ms } => {
                self.release_capacity(attempt, Count::AttemptHeldBack);
                let retry_after_ms = for_ms;
                AttemptOutcome::HeldBack { retry_after_ms }
            }
            AttemptEnd::OtherTarget(facts) => {
                require_promise(Promise::NotRun, facts.is_not_run, || {
                    format!("{} may have run the request", attempt.target.address())
                });
                // The attempt's target no longer runs at its address.
                attempt.target.mark_leaving();
                self.release_capacity(attempt, Count::AttemptMisdirected);
                AttemptOutcome::Shed { report: None }
            }
            AttemptEnd::Answer(answer) => {
                let outcome = self.outcome_of(&answer);
                self.answers.push((attempt, *answer));
                outcome
            }
        };
        Event::AttemptEnded {
            attempt: id,
            outcome,
        }
    }

    fn add_end_trace(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let (outcome, status) = match end {
            AttemptEnd::NotSent => ("not_sent", None),
            AttemptEnd::TargetClosed => ("closed", None),
            AttemptEnd::HeldBack { .. } => ("held_back", None),
            AttemptEnd::OtherTarget(_) => ("misdirected", None),
            AttemptEnd::Broken => ("broken", None),
            AttemptEnd::Crashed { .. } => ("crashed", None),
            AttemptEnd::Restarted => ("restarted", None),
            AttemptEnd::Cut => ("cut", None),
            AttemptEnd::Answer(answer) => {
                let status = answer.head.status;
                let outcome = match () {
                    () if answer.facts.is_not_run => "shed",
                    () if status.is_server_error() => "failed",
                    () => "answered",
                };
                (outcome, Some(status.as_u16()))
            }
        };
        let elapsed = self.job.entry.now().saturating_sub(attempt.started());
        let times = &self.job.entry.attempt_times;
        times.record(&attempt.target.name(), outcome, elapsed.as_ms() as u64);
        self.add_trace(TraceEvent::Ended {
            attempt: attempt.id.0,
            outcome,
            status,
        });
    }

    /// Records that a target has crashed with the request in flight.
    fn record_crash(&self, target: &TargetState) {
        self.job.entry.record_crash(self.job, target);
    }

    fn release_capacity(&self, attempt: Attempt, count: Count) {
        drop(attempt);
        self.job.entry.counters.add(count);
        self.job.service.capacity_freed.notify(1);
    }

    /// Derives the outcome of an attempt from its answer, and updates the request's state by the facts of the answer.
    fn outcome_of(&mut self, answer: &Answer) -> AttemptOutcome {
        let facts = &answer.facts;
        if let Some(left) = facts.attempts_left {
            self.request.limit_added_attempts(left);
        }
        let report = facts.report;
        if facts.is_not_run {
            self.job.entry.counters.add(Count::AttemptShed);
            return AttemptOutcome::Shed { report };
        }
        self.may_have_run = true;
        if !answer.head.status.is_server_error() {
            self.job.entry.record_success_evidence(self.job);
        }
        AttemptOutcome::Answered {
            is_server_error: answer.head.status.is_server_error(),
            report,
        }
    }

    /// Builds the caller's answer from the answer of the attempt `id`.
    fn deliver(&mut self, id: AttemptId) -> Response<AnyBody> {
        let position = self.answers.iter().position(|(a, _)| a.id == id);
        let has_answer = require_promise(Promise::WholeOwnAnswer, position.is_some(), || {
            format!("attempt {} has no answer", id.0)
        });
        let Some(position) = position.filter(|_| has_answer) else {
            return Problem::unknown(StatusCode::BAD_GATEWAY, "broken", "the answer was lost")
                .into_response();
        };
        let (attempt, answer) = self.answers.swap_remove(position);
        self.outcome = Outcome::Answered;
        self.job.entry.counters.add(Count::Answered);
        let bytes = http_body::Body::size_hint(&answer.body).lower();
        let service = &self.job.service.state;
        service.record_answer_bytes(&attempt.target, bytes);
        if let Some(route) = &self.job.routed.route {
            route.state.record_answer_bytes(bytes);
        }
        self.add_trace(TraceEvent::Delivered {
            attempt: id.0,
            status: answer.head.status.as_u16(),
        });
        let target = attempt.target.address();
        let pool = self.job.service.pools.get(&target);
        let guard = AnswerGuard {
            entry: Arc::clone(&self.job.entry),
            capacity_freed: Arc::clone(&self.job.service.capacity_freed),
            sender: PooledSender::new(pool.cloned().unwrap_or_default(), answer.sender),
            attempt: Some(attempt),
            record_context: RecordContext::new(self.job),
            _request_guard: std::mem::take(&mut self.request_guard),
        };
        let mut head = answer.head;
        if header::remove_wrong_length(&mut head.headers, &answer.body) {
            self.job.entry.counters.add(Count::AnswerMisframed);
            log::warn!(target: "proxy", "Target {target} sent an answer with chunks and a length beside them.");
        }
        header::remove_connection_fields(&mut head.headers);
        let dialect = &self.job.entry.dialect;
        dialect.pass_answer(&self.job.headers, &mut head.headers);
        head.version = http::Version::default();
        Response::from_parts(head, AnswerBody::new(answer.body, guard).boxed_unsync())
    }
}

/// Share of scarce slots of an organisation. Its limit is the weight.
fn organisation_share(organisation: &Organisation) -> OrganisationShare {
    let limit = organisation
        .limit
        .filter(|limit| limit.requests_per_s > 0.0);
    OrganisationShare {
        key: Digest::of_parts(&[organisation.name.as_str().as_bytes()]).short() as u32,
        weight: limit.map_or(1.0, |limit| limit.requests_per_s as f32),
        priority: organisation.priority,
    }
}

/// Facts that decided the choice of an attempt's target, for the record.
fn chosen(attempt: &Attempt) -> Chosen {
    let facts = attempt.chosen;
    Chosen {
        target: attempt.target.name(),
        forecast_ms: facts.map_or(0.0, |facts| facts.answer_ms),
        load: facts.map_or(0.0, |facts| facts.load),
        slowdown: facts.map_or(1.0, |facts| facts.slowdown),
        report_age_ms: facts.and_then(|facts| facts.report_age_ms),
    }
}
