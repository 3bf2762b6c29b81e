//! A caller's request, from its head to its final answer.
//!
//! [`answer_caller`] finds the service and takes the body in; [`dispatch`] drives the decisions:
//! it hands events to a [`RequestState`] and carries the actions out.

use crate::address;
use crate::body::AnswerBody;
use crate::body::BodyLimits;
use crate::body::Held;
use crate::body::RequestBody;
use crate::body::is_bounded;
use crate::body::take_body;
use crate::counters::Count;
use crate::entry::BodyMemory;
use crate::entry::Entry;
use crate::entry::InFlight;
use crate::header;
use crate::load_report;
use crate::once;
use crate::pool;
use crate::pool::ReturnSender;
use crate::pool::Sender;
use crate::pool::Sent;
use crate::problem::Problem;
use crate::snapshot::ServiceEntry;
use event_listener::EventListener;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use pinhaven_decide::Action;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::LoadReport;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RunState;
use pinhaven_decide::Step;
use pinhaven_runtime::AnyBody;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::TargetAddress;
use pinhaven_types::require_promise;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

/// Connections that closed while idle and that one attempt may meet.
const STALE_CONNECTIONS_MAX: usize = 8;
/// The longest deadline that a caller may name, in milliseconds.
const DEADLINE_MS_MAX: u64 = 600_000;

/// A request whose service and deadline are known.
pub(crate) struct Job {
    pub(crate) entry: Arc<Entry>,
    pub(crate) service: Arc<ServiceEntry>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) deadline: Microseconds,
    pub(crate) is_repeatable: bool,
    pub(crate) attempts_most: Option<u32>,
    pub(crate) body: RequestBody,
}

/// What is held until the caller has its whole answer.
#[derive(Default)]
pub(crate) struct CallerHold {
    /// The request's place among those under way.
    pub(crate) _in_flight: Option<InFlight>,
    /// The memory of its body.
    pub(crate) _memory: Option<BodyMemory>,
}

/// Answers one request of a caller.
pub(crate) async fn answer_caller(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    if request.uri().path() == address::PATH {
        return address::answer(&entry, &request);
    }
    let in_flight = entry.enter();
    entry.counters.add(Count::Requests);
    let is_keyed = request.headers().contains_key(header::IDEMPOTENCY_KEY);
    let keyed_headers = is_keyed.then(|| request.headers().clone());
    match take_request(&entry, request).await {
        Err(problem) => match keyed_headers {
            Some(headers) => once::without_proof(&headers, problem).into_response(),
            None => problem.into_response(),
        },
        Ok((job, memory)) => {
            let hold = CallerHold {
                _in_flight: Some(in_flight),
                _memory: memory,
            };
            if job.headers.contains_key(header::IDEMPOTENCY_KEY) && !job.is_repeatable {
                once::answer(job, hold).await
            } else {
                dispatch(&job, hold).await
            }
        }
    }
}

async fn take_request(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
) -> Result<(Job, Option<BodyMemory>), Problem> {
    let (head, body) = request.into_parts();
    let service = find_service(entry, &head)?;
    let config = &service.config;
    let method = head.method.as_str();
    let path = head.uri.path();
    let is_repeatable = config.is_repeatable(method, path);
    let has_key = head.headers.contains_key(header::IDEMPOTENCY_KEY);
    if config
        .route_for(method, path)
        .is_some_and(|r| r.key_required)
        && !has_key
    {
        entry.counters.add(Count::KeyMissing);
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "key_missing",
            "this route takes only requests with an Idempotency-Key",
        ));
    }
    let deadline_ms = deadline_ms(entry, &head.headers)?.unwrap_or(config.deadline_ms);
    let deadline = entry.now().plus(Microseconds::from_ms(deadline_ms));
    let attempts_most = attempts_most(entry, &head.headers)?;
    let limits = BodyLimits {
        held_bytes: if has_key && !is_repeatable {
            once::body_bytes_most(config)
        } else {
            config.replay_bytes
        },
        taken_bytes: config.body_bytes,
    };
    let taken = async { Some(take_body(entry, body, limits).await) };
    let out_of_time = async {
        async_io::Timer::at(entry.clock.instant_of(deadline)).await;
        None
    };
    let Some(taken) = futures_lite::future::or(taken, out_of_time).await else {
        entry.counters.add(Count::BodyCut);
        return Err(Problem::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_slow",
            "the body had not come by the deadline",
        ));
    };
    let (body, memory) = taken?;
    let job = Job {
        entry: Arc::clone(entry),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        deadline,
        is_repeatable,
        attempts_most,
        body,
        service,
    };
    Ok((job, memory))
}

fn find_service(entry: &Entry, head: &Parts) -> Result<Arc<ServiceEntry>, Problem> {
    let host = head
        .uri
        .authority()
        .map(|authority| authority.as_str())
        .or_else(|| head.headers.get(http::header::HOST)?.to_str().ok());
    let Some(host) = host else {
        entry.counters.add(Count::BadRequest);
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "host_missing",
            "the request names no host",
        ));
    };
    let snapshot = entry.snapshot.load();
    if snapshot.version == pinhaven_types::BundleVersion::NONE {
        entry.counters.add(Count::NotReady);
        return Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "this entry does not know the version in force yet",
        ));
    }
    let Some(service) = snapshot.service_for_host(host) else {
        entry.counters.add(Count::UnknownService);
        return Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            "unknown_service",
            format!("no service has the host {host:?}"),
        ));
    };
    Ok(Arc::clone(service))
}

fn deadline_ms(entry: &Entry, headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    match header::number(headers, &header::DEADLINE_MS) {
        Ok(None) => Ok(None),
        Ok(Some(time_ms)) if time_ms <= DEADLINE_MS_MAX => Ok(Some(time_ms)),
        _ => {
            entry.counters.add(Count::BadRequest);
            Err(Problem::not_run(
                StatusCode::BAD_REQUEST,
                "bad_deadline",
                format!("Pinhaven-Deadline-Ms is a number from 0 to {DEADLINE_MS_MAX}"),
            ))
        }
    }
}

fn attempts_most(entry: &Entry, headers: &HeaderMap) -> Result<Option<u32>, Problem> {
    match header::number(headers, &header::ATTEMPTS_LEFT) {
        Ok(number) => Ok(number.map(|n| u32::try_from(n.max(1)).unwrap_or(u32::MAX))),
        Err(()) => {
            entry.counters.add(Count::BadRequest);
            Err(Problem::not_run(
                StatusCode::BAD_REQUEST,
                "bad_attempts",
                "Pinhaven-Attempts-Left is a whole number",
            ))
        }
    }
}

/// Drives a request to its final answer.
pub(crate) async fn dispatch(job: &Job, hold: CallerHold) -> Response<AnyBody> {
    let facts = RequestFacts {
        is_repeatable: job.is_repeatable,
        is_replayable: job.body.is_replayable(),
        deadline: job.deadline,
        attempts_most: job
            .attempts_most
            .unwrap_or(RequestFacts::new(true, job.deadline).attempts_most),
        entry_use: job.entry.use_share(),
    };
    let mut run = Run {
        job,
        request: RequestState::new(facts),
        random: fastrand::Rng::new(),
        under_way: Vec::new(),
        answers: Vec::new(),
        hold,
    };
    run.drive().await
}

/// An attempt's future, with the place that it holds.
struct UnderWay {
    attempt: Attempt,
    outcome: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
}

/// A whole head of an answer, with what came along.
struct Answer {
    response: Response<Incoming>,
    sender: Sender,
    report: Option<LoadReport>,
}

/// How an attempt ended, with its answer if there is one.
enum AttemptEnd {
    NotSent,
    Broken,
    Answer(Answer),
}

struct Run<'job> {
    job: &'job Job,
    request: RequestState,
    random: fastrand::Rng,
    under_way: Vec<UnderWay>,
    answers: Vec<(Attempt, Answer)>,
    hold: CallerHold,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
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
        let mut step = self.handle(Event::Arrived);
        loop {
            // Listening begins before the actions, so that no freed place is missed.
            let place = step
                .wants_place
                .then(|| self.job.service.place_freed.listen());
            for action in std::mem::take(&mut step.actions) {
                match action {
                    Action::Send(attempt) => self.send(attempt),
                    Action::Cancel(id) => self.cancel(id),
                    Action::Deliver(id) => return self.deliver(id),
                    Action::Refuse(refusal) => {
                        self.job.entry.counters.add_refusal(refusal.reason);
                        return Problem::from(refusal).into_response();
                    }
                }
            }
            self.drop_answers();
            let event = self.next_event(&step, place).await;
            step = self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) -> Step {
        let now = self.job.entry.now();
        let service = &self.job.service.state;
        self.request.handle(service, now, &mut self.random, event)
    }

    fn send(&mut self, attempt: Attempt) {
        self.job.entry.counters.add(Count::Attempts);
        let attempts = self.request.attempts_to_hand_down(attempt.id);
        let outcome = match request_for(self.job, attempt.id, attempts) {
            Some(prepared) => {
                let future = run_attempt(
                    Arc::clone(&self.job.entry),
                    Arc::clone(&self.job.service),
                    attempt.target.address(),
                    prepared,
                );
                Box::pin(future) as Pin<Box<dyn Future<Output = AttemptEnd> + Send>>
            }
            None => Box::pin(std::future::ready(AttemptEnd::Broken)),
        };
        self.under_way.push(UnderWay { attempt, outcome });
    }

    fn cancel(&mut self, id: AttemptId) {
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
        let ended = poll_fn(|context| {
            for (index, under_way) in self.under_way.iter_mut().enumerate() {
                if let Poll::Ready(end) = under_way.outcome.as_mut().poll(context) {
                    return Poll::Ready(Ok((index, end)));
                }
            }
            if let Some(place) = &mut place
                && Pin::new(place).poll(context).is_ready()
            {
                return Poll::Ready(Err(Event::PlaceFreed));
            }
            match Pin::new(&mut timer).poll(context) {
                Poll::Ready(_) => Poll::Ready(Err(Event::TimeCame)),
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
        let outcome = match end {
            AttemptEnd::NotSent => {
                self.free_place(attempt, Count::AttemptNotSent);
                AttemptOutcome::NotSent
            }
            AttemptEnd::Broken => {
                self.free_place(attempt, Count::AttemptBroken);
                AttemptOutcome::Broken
            }
            AttemptEnd::Answer(answer) => {
                let outcome = self.outcome_of(&answer);
                self.answers.push((attempt, answer));
                outcome
            }
        };
        Event::AttemptEnded {
            attempt: id,
            outcome,
        }
    }

    fn free_place(&self, attempt: Attempt, count: Count) {
        drop(attempt);
        self.job.entry.counters.add(count);
        self.job.service.place_freed.notify(1);
    }

    fn outcome_of(&mut self, answer: &Answer) -> AttemptOutcome {
        let headers = answer.response.headers();
        if let Ok(Some(left)) = header::number(headers, &header::ATTEMPTS_LEFT) {
            self.request.limit_added_attempts(left as u32);
        }
        let status = answer.response.status().as_u16();
        let report = answer.report;
        if self.job.service.config.not_run_statuses.contains(&status) {
            self.job.entry.counters.add(Count::AttemptShed);
            return AttemptOutcome::Shed { report };
        }
        AttemptOutcome::Answered {
            is_server_error: answer.response.status().is_server_error(),
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
        self.job.entry.counters.add(Count::Answered);
        let pool = self.job.service.pools.get(&attempt.target.address());
        let held = Held {
            entry: Arc::clone(&self.job.entry),
            place_freed: Arc::clone(&self.job.service.place_freed),
            sender: ReturnSender::new(pool.cloned().unwrap_or_default(), answer.sender),
            attempt: Some(attempt),
            _hold: std::mem::take(&mut self.hold),
        };
        let (mut head, body) = answer.response.into_parts();
        header::remove_connection_fields(&mut head.headers);
        head.headers.remove(header::LOAD_REPORT);
        restore_request_id(&self.job.headers, &mut head.headers);
        let run = HeaderValue::from_static(RunState::Run.name());
        head.headers.insert(header::RUN, run);
        head.version = http::Version::default();
        Response::from_parts(head, AnswerBody::new(body, held).boxed_unsync())
    }
}

/// Gives the caller the request id back that it had sent, and none of ours.
fn restore_request_id(request: &HeaderMap, response: &mut HeaderMap) {
    match request.get(header::REQUEST_ID) {
        Some(id) => response.insert(header::REQUEST_ID, id.clone()),
        None => response.remove(header::REQUEST_ID),
    };
}

/// A request ready to be sent, and the id that its answer must carry.
struct Prepared {
    request: Request<AnyBody>,
    id: HeaderValue,
}

fn request_for(job: &Job, attempt: AttemptId, attempts_left: u32) -> Option<Prepared> {
    let body = job.body.to_send()?;
    let mut request = Request::new(body);
    *request.method_mut() = job.method.clone();
    let path = job.uri.path_and_query()?;
    *request.uri_mut() = Uri::from(path.clone());
    let headers = request.headers_mut();
    headers.clone_from(&job.headers);
    header::remove_connection_fields(headers);
    if let Some(authority) = job.uri.authority() {
        let host = HeaderValue::from_str(authority.as_str()).ok()?;
        headers.insert(http::header::HOST, host);
    }
    let left = job.deadline.saturating_sub(job.entry.now());
    headers.insert(header::DEADLINE_MS, (left.as_ms() as u64).into());
    headers.insert(header::ATTEMPTS_LEFT, attempts_left.into());
    headers.remove(header::HOME);
    let number = job.entry.request_number();
    let incarnation = job.entry.incarnation.to_string();
    let text = format!("{}-{number}-{}", &incarnation[..12], attempt.0);
    let id = HeaderValue::from_str(&text).ok()?;
    headers.insert(header::REQUEST_ID, id.clone());
    Some(Prepared { request, id })
}

/// Sends one attempt and waits for the head of its answer.
async fn run_attempt(
    entry: Arc<Entry>,
    service: Arc<ServiceEntry>,
    target: TargetAddress,
    prepared: Prepared,
) -> AttemptEnd {
    let pool = service.pools.get(&target).cloned().unwrap_or_default();
    let Prepared { mut request, id } = prepared;
    for _ in 0..STALE_CONNECTIONS_MAX {
        let Ok(connected) = pool.connect(target).await else {
            return AttemptEnd::NotSent;
        };
        if connected.is_new {
            entry.counters.add(Count::Connections);
        }
        match pool::send(connected.sender, request).await {
            Sent::Answer(response, sender) => {
                return check_answer(&entry, &service, target, response, sender, &id);
            }
            Sent::Unsent(unsent) => request = *unsent,
            Sent::Broken(error) => {
                log::debug!(target: "proxy", "Sending to {target} broke: {error}.");
                return AttemptEnd::Broken;
            }
        }
    }
    AttemptEnd::NotSent
}

/// Takes an answer only if it belongs to the request and its end can be told from a cut.
fn check_answer(
    entry: &Entry,
    service: &ServiceEntry,
    target: TargetAddress,
    response: Response<Incoming>,
    sender: Sender,
    id: &HeaderValue,
) -> AttemptEnd {
    let report = load_report::from_headers(response.headers());
    let echoed = response.headers().get(header::REQUEST_ID);
    let is_own = match echoed {
        Some(echoed) => echoed == id,
        None => !service.config.require_echo,
    };
    if !is_own {
        entry.counters.add(Count::AttemptCrossed);
        // Whosever answer it is, the report on it is the target's.
        if let (Some(report), Some(state)) = (&report, service.state.target(target)) {
            service.state.record_report(state, entry.now(), report);
        }
        log::warn!(target: "proxy", "An answer belonged to another request; it was dropped.");
        return AttemptEnd::Broken;
    }
    if !is_bounded(response.headers(), response.body()) {
        entry.counters.add(Count::AttemptUnbounded);
        return AttemptEnd::Broken;
    }
    AttemptEnd::Answer(Answer {
        response,
        sender,
        report,
    })
}
