//! A caller's request, from its head to the decision how it is dispatched.

use crate::address;
use crate::body::BodyLimits;
use crate::body::RequestBody;
use crate::body::take_body;
use crate::counters::Count;
use crate::dispatch::dispatch;
use crate::entry::BodyMemory;
use crate::entry::Entry;
use crate::entry::InFlight;
use crate::header;
use crate::once;
use crate::problem::Problem;
use crate::snapshot::ServiceEntry;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use pinhaven_types::Microseconds;
use std::sync::Arc;

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
