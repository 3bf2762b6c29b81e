//! One attempt at one target.

use crate::body::is_bounded;
use crate::counters::Count;
use crate::entry::Entry;
use crate::header;
use crate::load_report;
use crate::pool;
use crate::pool::Sender;
use crate::pool::Sent;
use crate::proxy::Job;
use crate::snapshot::ServiceEntry;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use pinhaven_decide::AttemptId;
use pinhaven_decide::LoadReport;
use pinhaven_runtime::AnyBody;
use pinhaven_types::TargetAddress;
use std::sync::Arc;

/// Connections that closed while idle and that one attempt may meet.
const STALE_CONNECTIONS_MAX: usize = 8;

/// A whole head of an answer, with what came along.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) sender: Sender,
    pub(crate) report: Option<LoadReport>,
}

/// How an attempt ended, with its answer if there is one.
pub(crate) enum AttemptEnd {
    NotSent,
    Broken,
    Answer(Answer),
}

/// A request ready to be sent, and the id that its answer must carry.
pub(crate) struct Prepared {
    request: Request<AnyBody>,
    id: HeaderValue,
}

pub(crate) fn request_for(job: &Job, attempt: AttemptId, attempts_left: u32) -> Option<Prepared> {
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
pub(crate) async fn run_attempt(
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
