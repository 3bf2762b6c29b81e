//! Forwarding of a request to another entry, which reaches the targets of the request's service.

use crate::callers::job::Job;
use crate::entry::Entry;
use crate::request::answer_body::BODY_SILENCE_MAX;
use crate::request::answer_body::BUFFERED_BYTES_MAX;
use crate::request::answer_body::collect_answer;
use crate::wire::fields::from_fields;
use crate::wire::fields::to_fields;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt as _;
use pinhaven_agree::Forwarder;
use pinhaven_decide::ForwardOutcome;
use pinhaven_decide::RunState;
use pinhaven_peer::ForwardAnswer;
use pinhaven_peer::ForwardHead;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::SilenceLimited;
use pinhaven_runtime::whole_body;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Timeout for another entry to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How a forwarding ended, with the answer if there is one.
pub(crate) struct ForwardEnd {
    pub(crate) outcome: ForwardOutcome,
    pub(crate) answer: Option<Response<AnyBody>>,
}

impl ForwardEnd {
    pub(crate) fn without_answer(outcome: ForwardOutcome) -> Self {
        Self {
            outcome,
            answer: None,
        }
    }
}

/// A request that is ready to be forwarded.
pub(crate) struct PreparedForward {
    head: ForwardHead,
    body: AnyBody,
    deadline: Instant,
    answer_ends_at: Option<Instant>,
}

/// Builds the message of a forwarding; `None` if the body can't be sent again.
pub(crate) fn prepare_forward(job: &Job, attempts_max: u32) -> Option<PreparedForward> {
    let left = job.deadline.saturating_sub(job.entry.now());
    let head = ForwardHead {
        service: job.service.config.name.to_string(),
        method: job.method.to_string(),
        host: job.host().unwrap_or_default().to_owned(),
        path_and_query: job.uri.path_and_query()?.as_str().to_owned(),
        headers: to_fields(&job.headers),
        left_ms: left.as_ms() as u64,
        prior_wait_ms: job.prior_wait.as_ms() as u64,
        attempts_max,
        version: job.entry.snapshot.load().version.number(),
        organisation: job.organisation_name(),
    };
    let body = job.body.to_send()?;
    let deadline = job.entry.clock.instant_of(job.deadline);
    Some(PreparedForward {
        head,
        body,
        deadline,
        answer_ends_at: job.answer_ends_at(),
    })
}

/// Forwards a request and waits for its answer: all of a small answer, the head of a large answer.
pub(crate) async fn run_forward(
    entry: Arc<Entry>,
    forwarder: Forwarder,
    prepared: PreparedForward,
) -> ForwardEnd {
    let PreparedForward {
        head,
        body,
        deadline,
        answer_ends_at,
    } = prepared;
    let address = forwarder.peer_address;
    let forwarded = entry.peers.forward(address, CONNECT_TIMEOUT, head, body);
    match forwarded.await {
        Ok((answer, body)) => receive_answer(answer, body, deadline, answer_ends_at).await,
        Err(error) => {
            log::debug!(target: "forward", "{error}.");
            ForwardEnd::without_answer(match error.is_not_sent() {
                true => ForwardOutcome::NotTaken,
                false => ForwardOutcome::Broken,
            })
        }
    }
}

async fn receive_answer(
    answer: ForwardAnswer,
    body: AnyBody,
    deadline: Instant,
    ends_at: Option<Instant>,
) -> ForwardEnd {
    if !answer.declined.is_empty() {
        log::debug!(target: "forward", "Another entry declined a request: {}.", answer.declined);
        return ForwardEnd::without_answer(ForwardOutcome::NotTaken);
    }
    if answer.is_refusal {
        return ForwardEnd::without_answer(ForwardOutcome::Refused {
            run_state: run_state_from_name(&answer.run),
            retry_after_ms: answer.retry_after_ms,
        });
    }
    let status = u16::try_from(answer.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let Some(status) = status else {
        return ForwardEnd::without_answer(ForwardOutcome::Broken);
    };
    let headers = from_fields(answer.headers);
    let Some(body) = buffer_if_small(&headers, body).await else {
        return ForwardEnd::without_answer(ForwardOutcome::Broken);
    };
    let ends_at = ends_at.filter(|_| !headers.contains_key(CONTENT_LENGTH));
    let body = SilenceLimited::new(body, deadline, BODY_SILENCE_MAX)
        .with_end(ends_at)
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    ForwardEnd {
        outcome: ForwardOutcome::Answered,
        answer: Some(response),
    }
}

/// Receives a small body in full, so that the request can be sent again if its answer is truncated. Returns `None` if
/// it is truncated.
async fn buffer_if_small(headers: &HeaderMap, body: AnyBody) -> Option<AnyBody> {
    let declared = headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    if declared.is_none_or(|bytes| bytes > BUFFERED_BYTES_MAX) {
        return Some(body);
    }
    let whole = collect_answer(body, BUFFERED_BYTES_MAX as usize).await?;
    Some(whole_body(whole))
}

/// Run state with a name. An unknown name, from another release, leaves open whether the request ran.
fn run_state_from_name(name: &str) -> RunState {
    let states = [RunState::Run, RunState::NotRun];
    let known = states.into_iter().find(|state| state.name() == name);
    known.unwrap_or(RunState::Unknown)
}
