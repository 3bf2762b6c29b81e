//! Handles a caller's request from its head to the decision how the request is dispatched.

use crate::callers::address;
use crate::callers::admission::Admission;
use crate::callers::authentication::authenticate;
use crate::callers::authentication::take_credentials;
use crate::callers::body::BodyLimits;
use crate::callers::body::receive_body;
use crate::callers::job::Job;
use crate::callers::request_guard::RequestGuard;
use crate::callers::routes::Routed;
use crate::entry::BodyMemory;
use crate::entry::Entry;
use crate::once_only::execute;
use crate::request::dispatch::dispatch;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::snapshot::Snapshot;
use crate::watch::counters::Count;
use crate::wire::dialect;
use crate::wire::dialect::CallerFacts;
use crate::wire::header;
use crate::wire::problem::Problem;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use pinhaven_agree::MemberState;
use pinhaven_bundle::Organisation;
use pinhaven_bundle::PathRoute;
use pinhaven_record::Importance;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::CallerAddress;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::sync::Arc;
use std::sync::OnceLock;

/// Time reserved for a final answer to reach its caller, in milliseconds. One way usually takes 8 ms, and
/// timers fire late.
const RETURN_TRIP_MS: u64 = 25;
/// The reserved return trip is at most the deadline divided by this number.
const RETURN_TRIP_DIVISOR: u64 = 10;
/// Maximum deadline that a caller may set, in milliseconds.
const DEADLINE_MS_MAX: u64 = 600_000;

/// Answers a caller's request.
pub(crate) async fn answer_caller(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    if request.uri().path() == dialect::ADDRESS_PATH {
        return address::answer(&entry, &request);
    }
    let in_flight = entry.begin_request();
    entry.counters.add(Count::Requests);
    let id = entry
        .recorder
        .as_ref()
        .and_then(|_| entry.dialect.request_id(request.headers()));
    let is_keyed = request.headers().contains_key(header::IDEMPOTENCY_KEY);
    let keyed_sending = is_keyed.then(|| execute::sending_of(request.headers()));
    let mut response = match receive_request(&entry, request).await {
        Err(rejected) => {
            record_rejected(&entry, id.as_deref(), &rejected);
            let problem = rejected.problem;
            match keyed_sending {
                Some(sending) => execute::downgrade_unproven(sending, problem).into_response(),
                None => problem.into_response(),
            }
        }
        Ok((job, memory)) => {
            let guard = RequestGuard {
                _in_flight: Some(in_flight),
                _memory: memory,
            };
            if entry.keeps_once_keys() && is_keyed && !job.is_repeatable {
                execute::answer(job, guard).await
            } else {
                dispatch(&job, guard).await
            }
        }
    };
    if response.headers().contains_key(header::RETRY_AFTER_MS) {
        entry.dialect.pass_refusal(&mut response);
    }
    if entry.state() >= MemberState::Stopping {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// A request that was refused before it was dispatched.
struct Rejected {
    problem: Problem,
    /// Organisation of the caller, if it is known.
    organisation: Option<Arc<Organisation>>,
}

impl From<Problem> for Rejected {
    fn from(problem: Problem) -> Self {
        Self {
            problem,
            organisation: None,
        }
    }
}

/// Counts and records a request that was refused before it was dispatched.
fn record_rejected(entry: &Entry, id: Option<&str>, rejected: &Rejected) {
    let Rejected {
        problem,
        organisation,
    } = rejected;
    if let Some(organisation) = organisation {
        let counters = &entry.organisation_counters;
        counters.record_problem(organisation, problem);
    }
    let Some(recorder) = &entry.recorder else {
        return;
    };
    let now_us = entry.now().count();
    let mut trace = Trace::default();
    let event = TraceEvent::Refused {
        reason: problem.reason,
        run: problem.run_state.name(),
        status: problem.status.as_u16(),
        retry_after_ms: problem.retry_after_ms,
        waiting: 0,
        held_ms: 0.0,
        targets: None,
    };
    trace.add(now_us, event);
    let mut facts = vec![("version", entry.snapshot.load().version.to_string())];
    if let Some(organisation) = organisation {
        facts.push(("organisation", organisation.name.to_string()));
    }
    let id = id.unwrap_or_default();
    recorder.record_trace(trace, now_us, Importance::Failure, id, &facts);
}

/// A request that was assigned to a service and authenticated, and whose body has not arrived.
struct Received {
    head: Parts,
    body: Incoming,
    service: Arc<ServiceEntry>,
    routed: Routed,
    organisation: Option<Arc<Organisation>>,
}

async fn receive_request(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
) -> Result<(Job, Option<BodyMemory>), Rejected> {
    entry.wait_until_ready().await;
    let (mut head, body) = request.into_parts();
    let snapshot = entry.snapshot.load();
    require_version(entry, &snapshot)?;
    let organisation = match &snapshot.organisations {
        // Before a service is found: callers without a key neither learn which paths have routes, nor take a turn in the
        // split of a route.
        Some(organisations) => {
            let credentials = take_credentials(entry, &mut head.headers);
            let is_public = || is_public(&snapshot, &head);
            authenticate(entry, organisations, credentials, is_public)?
        }
        None => None,
    };
    let found = find_route(entry, &snapshot, &head);
    drop(snapshot);
    let reject = |problem| Rejected {
        problem,
        organisation: organisation.clone(),
    };
    let (service, routed) = found.map_err(reject)?;
    let received = Received {
        head,
        body,
        service,
        routed,
        organisation: organisation.clone(),
    };
    received.into_job(entry).await.map_err(reject)
}

impl Received {
    /// Checks the header and receives the body.
    async fn into_job(self, entry: &Arc<Entry>) -> Result<(Job, Option<BodyMemory>), Problem> {
        let Self {
            head,
            body,
            service,
            routed,
            organisation,
        } = self;
        let caller = head.extensions.get::<CallerAddress>().copied();
        let facts = read_caller(entry, &head.headers)?;
        let prior_wait = prior_wait(&facts, &routed);
        let admission = organisation
            .as_deref()
            .map(|organisation| {
                // A token that goes to a late request is lost to one that can be answered in time.
                let is_later_try = prior_wait > Microseconds::ZERO;
                let has_precedence = is_later_try && may_meet_aim(&routed, prior_wait);
                Admission::of_caller(entry, organisation, has_precedence)
            })
            .transpose()?;
        require_path(entry, &head)?;
        let has_key = head.headers.contains_key(header::IDEMPOTENCY_KEY);
        if routed.route.is_none() {
            require_key(entry, &service, &head, has_key)?;
        }
        let is_repeatable = match routed.config() {
            Some(route) => route.kind.is_repeatable(),
            None => service
                .config
                .is_repeatable(head.method.as_str(), head.uri.path()),
        };
        let deadline = entry
            .now()
            .plus(holding_time(&facts, routed.config(), &service));
        let keeps_key = entry.keeps_once_keys() && has_key && !is_repeatable;
        let limits = body_limits(entry, &service, keeps_key);
        let declared_bytes = body.size_hint().exact();
        let body = body.map_err(Into::into).boxed_unsync();
        let received = async { Some(receive_body(entry, body, declared_bytes, limits).await) };
        let out_of_time = async {
            async_io::Timer::at(entry.clock.instant_of(deadline)).await;
            None
        };
        let Some(received) = futures_lite::future::or(received, out_of_time).await else {
            entry.counters.add(Count::BodyCut);
            return Err(Problem::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "body_slow",
                "the body had not come by the deadline",
            ));
        };
        let (body, memory) = received?;
        let job = Job {
            entry: Arc::clone(entry),
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            organisation,
            admission,
            deadline,
            is_deadline_firm: facts.deadline_ms.is_some() || routed.route.is_some(),
            prior_wait,
            is_repeatable,
            is_forwarded: false,
            attempts_max: attempts_max(&facts, routed.config()),
            body,
            service,
            routed,
            caller,
            fingerprints: OnceLock::new(),
        };
        Ok((job, memory))
    }
}

/// How long the entry works on a request: at most the timeout of the request's route, and short enough
/// that the final answer reaches the caller before the caller gives up.
fn holding_time(
    facts: &CallerFacts,
    route: Option<&PathRoute>,
    service: &ServiceEntry,
) -> Microseconds {
    let holding_ms = match (facts.deadline_ms, route) {
        (Some(deadline_ms), Some(route)) => {
            let return_trip_ms = RETURN_TRIP_MS.min(deadline_ms / RETURN_TRIP_DIVISOR);
            (deadline_ms - return_trip_ms).min(route.timeout_ms)
        }
        (None, Some(route)) => route.timeout_ms,
        (Some(deadline_ms), None) => deadline_ms,
        (None, None) => service.config.deadline_ms,
    };
    Microseconds::from_ms(holding_ms)
}

fn prior_wait(facts: &CallerFacts, routed: &Routed) -> Microseconds {
    match (facts.deadline_ms, &routed.route) {
        (Some(deadline_ms), Some(route)) => {
            route.state.prior_wait(Microseconds::from_ms(deadline_ms))
        }
        _ => Microseconds::ZERO,
    }
}

/// Whether an answer within the aim of the route is still possible after this wait.
fn may_meet_aim(routed: &Routed, prior_wait: Microseconds) -> bool {
    let Some(route) = &routed.route else {
        return true;
    };
    let left = route.state.aim().saturating_sub(prior_wait);
    left.as_ms() > f64::from(route.state.work_ms())
}

fn attempts_max(facts: &CallerFacts, route: Option<&PathRoute>) -> Option<u32> {
    let route_max = route.map(|route| route.attempts_most);
    match (facts.attempts_max, route_max) {
        (Some(caller), Some(route)) => Some(caller.min(route)),
        (caller, route) => caller.or(route),
    }
}

fn body_limits(entry: &Entry, service: &ServiceEntry, keeps_key: bool) -> BodyLimits {
    let config = &service.config;
    let limits = entry.snapshot.load().limits();
    let accepted_bytes = limits.map_or(config.body_bytes, |limits| {
        limits.body_bytes.min(config.body_bytes)
    });
    BodyLimits {
        buffered_bytes: if keeps_key {
            execute::body_bytes_max(config)
        } else {
            config.replay_bytes
        },
        accepted_bytes,
    }
}

fn require_key(
    entry: &Entry,
    service: &ServiceEntry,
    head: &Parts,
    has_key: bool,
) -> Result<(), Problem> {
    let route = service
        .config
        .route_for(head.method.as_str(), head.uri.path());
    if has_key || !route.is_some_and(|route| route.key_required) {
        return Ok(());
    }
    entry.counters.add(Count::KeyMissing);
    Err(Problem::not_run(
        StatusCode::BAD_REQUEST,
        "key_missing",
        "this route takes only requests with an Idempotency-Key",
    ))
}

/// Rejects a request without a path, which no target can be sent: a request for a tunnel.
fn require_path(entry: &Entry, head: &Parts) -> Result<(), Problem> {
    if head.uri.path_and_query().is_some() {
        return Ok(());
    }
    entry.counters.add(Count::BadRequest);
    Err(Problem::not_run(
        StatusCode::METHOD_NOT_ALLOWED,
        "bad_method",
        format!("{} without a path is not forwarded", head.method),
    ))
}

fn host_of(head: &Parts) -> Option<&str> {
    let authority = head.uri.authority().map(|authority| authority.as_str());
    authority.or_else(|| head.headers.get(http::header::HOST)?.to_str().ok())
}

/// Refuses requests that come before any version is in force.
fn require_version(entry: &Entry, snapshot: &Snapshot) -> Result<(), Problem> {
    if snapshot.version > BundleVersion::NONE {
        return Ok(());
    }
    entry.counters.add(Count::NotReady);
    Err(Problem::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "this entry does not know the version in force yet",
    ))
}

/// Whether the route of a request needs no key.
fn is_public(snapshot: &Snapshot, head: &Parts) -> bool {
    let route = host_of(head).and_then(|host| snapshot.route_for(host, head.uri.path()));
    route.is_some_and(|route| route.config.public)
}

fn find_route(
    entry: &Entry,
    snapshot: &Snapshot,
    head: &Parts,
) -> Result<(Arc<ServiceEntry>, Routed), Problem> {
    let Some(host) = host_of(head) else {
        entry.counters.add(Count::BadRequest);
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "host_missing",
            "the request names no host",
        ));
    };
    let route = snapshot.route_for(host, head.uri.path());
    let service = match route {
        Some(route) => snapshot.services.get(route.next_service()),
        None => snapshot.service_for_host(host),
    };
    let Some(service) = service else {
        entry.counters.add(Count::UnknownService);
        return Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            "unknown_service",
            format!("no route takes this path of the host {host:?}"),
        ));
    };
    let route = route.map(Arc::clone);
    Ok((Arc::clone(service), Routed { route }))
}

fn read_caller(entry: &Entry, headers: &HeaderMap) -> Result<CallerFacts, Problem> {
    let facts = entry.dialect.read_caller(headers).map_err(|field| {
        entry.counters.add(Count::BadRequest);
        Problem::not_run(StatusCode::BAD_REQUEST, field.reason, field.expected)
    })?;
    if facts
        .deadline_ms
        .is_some_and(|deadline_ms| deadline_ms > DEADLINE_MS_MAX)
    {
        entry.counters.add(Count::BadRequest);
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "bad_deadline",
            format!("a deadline is a number from 0 to {DEADLINE_MS_MAX} milliseconds"),
        ));
    }
    Ok(facts)
}
