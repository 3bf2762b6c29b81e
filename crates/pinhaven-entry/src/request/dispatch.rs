//! Driving a request to its final answer.
//!
//! Events go to a [`RequestState`], and the actions that come back are carried out.

use crate::callers::hold::CallerHold;
use crate::callers::job::Job;
use crate::request::answer_body::AnswerBody;
use crate::request::answer_body::Held;
use crate::request::attempt::Answer;
use crate::request::attempt::AttemptEnd;
use crate::request::attempt::request_for;
use crate::request::attempt::run_attempt;
use crate::request::subject::Subject;
use crate::targets::pool::PooledSender;
use crate::watch::counters::Count;
use crate::watch::latencies::Outcome;
use crate::wire::header;
use crate::wire::problem::Problem;
use event_listener::EventListener;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use pinhaven_decide::Action;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Refusal;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::Step;
use pinhaven_decide::TargetState;
use pinhaven_record::Chosen;
use pinhaven_record::TargetCounts;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;
use pinhaven_runtime::AnyBody;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

/// Drives a request to its final answer.
pub(crate) async fn dispatch(job: &Job, hold: CallerHold) -> Response<AnyBody> {
    let facts = RequestFacts {
        is_repeatable: job.is_repeatable,
        is_replayable: job.body.is_replayable(),
        deadline: job.deadline,
        attempts_max: job
            .attempts_most
            .unwrap_or(RequestFacts::new(true, job.deadline).attempts_max),
        entry_utilization: job.entry.use_share(),
        priority: job.routed.config().map(|route| route.priority),
        prior_wait: job.waited,
    };
    let mut request = RequestState::new(facts);
    if let Some(route) = &job.routed.route {
        request = request.with_route(Arc::clone(&route.state));
    }
    let mut run = Run {
        job,
        request,
        random: fastrand::Rng::new(),
        under_way: Vec::new(),
        answers: Vec::new(),
        hold,
        began: job.entry.now(),
        may_have_run: false,
        outcome: Outcome::CallerLeft,
        trace: Trace::default(),
    };
    run.drive().await
}

/// An attempt's future, with the place that it holds.
struct UnderWay {
    attempt: Attempt,
    outcome: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
}

struct Run<'job> {
    job: &'job Job,
    request: RequestState,
    random: fastrand::Rng,
    under_way: Vec<UnderWay>,
    answers: Vec<(Attempt, Answer)>,
    hold: CallerHold,
    began: Microseconds,
    /// Whether a target may have run it in an attempt that has ended.
    may_have_run: bool,
    outcome: Outcome,
    trace: Trace,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.request.is_over() {
            self.note(TraceEvent::CallerLeft);
        }
        self.record();
        // A caller that leaves drops this future: its place at the entry and at the targets is free.
        let event = Event::CallerLeft;
        self.handle(event);
        let places = self.under_way.len() + self.answers.len();
        self.under_way.clear();
        self.answers.clear();
        self.job.service.place_freed.notify(places.max(1));
    }
}

impl Run<'_> {
    async fn drive(&mut self) -> Response<AnyBody> {
        let mut step = self.arrive();
        loop {
            // Listening begins before the actions, so that no freed place is missed.
            let place = step
                .awaits_capacity
                .then(|| self.job.service.place_freed.listen(self.priority()));
            for action in std::mem::take(&mut step.actions) {
                match action {
                    Action::Send(attempt) => self.send(attempt),
                    Action::Cancel(id) => self.cancel(id),
                    Action::Deliver(id) => return self.deliver(id),
                    Action::Refuse(refusal) => return self.refuse(refusal),
                }
            }
            self.drop_answers();
            let event = self.next_event(&step, place).await;
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

    fn priority(&self) -> u8 {
        let route = self.job.routed.config();
        route.map_or(self.job.service.config.priority, |route| route.priority)
    }

    fn handle(&mut self, event: Event) -> Step {
        let now = self.job.entry.now();
        let service = &self.job.service.state;
        self.request.handle(service, now, &mut self.random, event)
    }

    fn refuse(&mut self, refusal: Refusal) -> Response<AnyBody> {
        self.outcome = Outcome::Refused;
        self.job.entry.counters.add_refusal(refusal.reason);
        let problem = Problem::from(refusal);
        self.note(TraceEvent::Refused {
            reason: refusal.reason.name(),
            run: refusal.run_state.name(),
            status: problem.status.as_u16(),
            retry_after_ms: refusal.retry_after_ms,
            waiting: self.job.service.state.waiting(),
            held_ms: self.job.entry.now().saturating_sub(self.began).as_ms(),
            targets: Some(self.target_counts()),
        });
        problem.into_response()
    }

    fn target_counts(&self) -> TargetCounts {
        let summary = self.job.service.state.summary(self.job.entry.now());
        TargetCounts {
            all: summary.all,
            leaving: summary.leaving,
            resting: summary.resting,
            ejected: summary.ejected,
            slow: summary.slow,
            full: summary.full,
        }
    }

    fn note(&mut self, event: TraceEvent) {
        if self.job.entry.recorder.is_some() {
            self.trace.add(self.job.entry.now().count(), event);
        }
    }

    /// Records what has happened to the request, once it is over.
    fn record(&mut self) {
        let entry = &self.job.entry;
        self.record_latency();
        let Some(subject) = Subject::new(self.job) else {
            return;
        };
        let trace = std::mem::take(&mut self.trace);
        let aim_us = self.job.routed.config().map(|route| route.aim_ms * 1_000);
        let took = entry.now().saturating_sub(self.began).plus(self.job.waited);
        let importance = trace.importance(took.count(), aim_us);
        subject.record_trace(entry, trace, importance);
    }

    fn record_latency(&self) {
        let route = self.job.routed.config().map(|route| route.name.as_str());
        let took = self.job.entry.now().saturating_sub(self.began);
        let times = &self.job.entry.request_times;
        let outcome = self.outcome.name();
        times.record(route.unwrap_or_default(), outcome, took.as_ms() as u64);
    }

    fn send(&mut self, attempt: Attempt) {
        // What is known of the request may have changed since it arrived, also by its own last attempt.
        let is_sent_on = self.may_have_run || !self.under_way.is_empty();
        if let Err(for_ms) = self.job.entry.permit(self.job, is_sent_on) {
            let end = AttemptEnd::HeldBack { for_ms };
            let outcome = Box::pin(std::future::ready(end));
            return self.under_way.push(UnderWay { attempt, outcome });
        }
        self.note(TraceEvent::Sent {
            attempt: attempt.id.0,
            chosen: chosen(&attempt),
        });
        self.job.entry.counters.add(Count::Attempts);
        let attempts = self.request.downstream_attempts(attempt.id);
        let outcome = match request_for(self.job, &attempt, attempts) {
            Some(prepared) => {
                let future = run_attempt(
                    Arc::clone(&self.job.entry),
                    Arc::clone(&self.job.service),
                    Arc::clone(&attempt.target),
                    prepared,
                );
                Box::pin(future) as Pin<Box<dyn Future<Output = AttemptEnd> + Send>>
            }
            None => Box::pin(std::future::ready(AttemptEnd::Broken)),
        };
        self.under_way.push(UnderWay { attempt, outcome });
    }

    fn cancel(&mut self, id: AttemptId) {
        self.note(TraceEvent::Cancelled { attempt: id.0 });
        self.under_way
            .retain(|under_way| under_way.attempt.id != id);
        self.job.service.place_freed.notify(1);
    }

    /// Drops answers that the step did not deliver, and with them their places.
    fn drop_answers(&mut self) {
        if !self.answers.is_empty() {
            self.answers.clear();
            self.job.service.place_freed.notify(1);
        }
    }

    /// Waits for the next thing to happen.
    async fn next_event(&mut self, step: &Step, mut place: Option<EventListener>) -> Event {
        let wake_at = step.wake_at.unwrap_or(self.job.deadline);
        let mut timer = async_io::Timer::at(self.job.entry.clock.instant_of(wake_at));
        let mut ending = std::pin::pin!(self.job.entry.ending.wait());
        let ended = poll_fn(|context| {
            for (index, under_way) in self.under_way.iter_mut().enumerate() {
                if let Poll::Ready(end) = under_way.outcome.as_mut().poll(context) {
                    return Poll::Ready(Ok((index, end)));
                }
            }
            if let Some(place) = &mut place
                && Pin::new(place).poll(context).is_ready()
            {
                return Poll::Ready(Err(Event::CapacityFreed));
            }
            if ending.as_mut().poll(context).is_ready() {
                return Poll::Ready(Err(Event::EntryStopping));
            }
            match Pin::new(&mut timer).poll(context) {
                Poll::Ready(_) => Poll::Ready(Err(Event::TimerFired)),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        match ended {
            Ok((index, end)) => self.ended(index, end),
            Err(event) => event,
        }
    }

    fn ended(&mut self, index: usize, end: AttemptEnd) -> Event {
        let UnderWay { attempt, .. } = self.under_way.swap_remove(index);
        let id = attempt.id;
        self.note_end(&attempt, &end);
        let outcome = match end {
            AttemptEnd::NotSent => {
                self.free_place(attempt, Count::AttemptNotSent);
                AttemptOutcome::NotSent
            }
            AttemptEnd::Closed => {
                self.free_place(attempt, Count::AttemptClosed);
                AttemptOutcome::TargetClosed
            }
            AttemptEnd::Crashed | AttemptEnd::Restarted => {
                self.may_have_run = true;
                self.record_crash(&attempt.target);
                self.free_place(attempt, Count::AttemptCrashed);
                AttemptOutcome::Broken
            }
            AttemptEnd::Broken | AttemptEnd::Cut => {
                self.may_have_run = true;
                self.free_place(attempt, Count::AttemptBroken);
                AttemptOutcome::Broken
            }
            AttemptEnd::HeldBack { for_ms } => {
                self.free_place(attempt, Count::AttemptHeldBack);
                let retry_after_ms = for_ms;
                AttemptOutcome::HeldBack { retry_after_ms }
            }
            AttemptEnd::OtherTarget => {
                // Nothing of ours runs at that address any more.
                attempt.target.mark_leaving();
                self.free_place(attempt, Count::AttemptMisdirected);
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

    fn note_end(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let (outcome, status) = match end {
            AttemptEnd::NotSent => ("not_sent", None),
            AttemptEnd::Closed => ("closed", None),
            AttemptEnd::HeldBack { .. } => ("held_back", None),
            AttemptEnd::OtherTarget => ("misdirected", None),
            AttemptEnd::Broken => ("broken", None),
            AttemptEnd::Crashed => ("crashed", None),
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
        let took = self.job.entry.now().saturating_sub(attempt.started());
        let times = &self.job.entry.attempt_times;
        times.record(&attempt.target.name(), outcome, took.as_ms() as u64);
        self.note(TraceEvent::Ended {
            attempt: attempt.id.0,
            outcome,
            status,
        });
    }

    /// Takes in that a target has crashed with the request under way.
    fn record_crash(&self, target: &TargetState) {
        self.job.entry.record_crash(self.job, target);
    }

    fn free_place(&self, attempt: Attempt, count: Count) {
        drop(attempt);
        self.job.entry.counters.add(count);
        self.job.service.place_freed.notify(1);
    }

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
            self.job.entry.watch_answer(self.job);
        }
        AttemptOutcome::Answered {
            is_server_error: answer.head.status.is_server_error(),
            report,
        }
    }

    fn deliver(&mut self, id: AttemptId) -> Response<AnyBody> {
        let position = self.answers.iter().position(|(a, _)| a.id == id);
        let own = require_promise(Promise::WholeOwnAnswer, position.is_some(), || {
            format!("attempt {} has no answer", id.0)
        });
        let Some(position) = position.filter(|_| own) else {
            return Problem::unknown(StatusCode::BAD_GATEWAY, "broken", "the answer was lost")
                .into_response();
        };
        let (attempt, answer) = self.answers.swap_remove(position);
        self.outcome = Outcome::Answered;
        self.job.entry.counters.add(Count::Answered);
        self.note(TraceEvent::Delivered {
            attempt: id.0,
            status: answer.head.status.as_u16(),
        });
        let pool = self.job.service.pools.get(&attempt.target.address());
        let held = Held {
            entry: Arc::clone(&self.job.entry),
            place_freed: Arc::clone(&self.job.service.place_freed),
            sender: PooledSender::new(pool.cloned().unwrap_or_default(), answer.sender),
            attempt: Some(attempt),
            subject: Subject::new(self.job),
            _hold: std::mem::take(&mut self.hold),
        };
        let mut head = answer.head;
        header::remove_connection_fields(&mut head.headers);
        let dialect = &self.job.entry.dialect;
        dialect.pass_answer(&self.job.headers, &mut head.headers);
        head.version = http::Version::default();
        Response::from_parts(head, AnswerBody::new(answer.body, held).boxed_unsync())
    }
}

/// What decided the choice of an attempt's target.
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
