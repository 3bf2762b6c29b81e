//! Client side of relaying: sends a once-only request to its home and returns the home's answer.
//!
//! If the home is unknown or does not answer, the outcome is reported as unknown: the home may have
//! dispatched the request, so no other entry may dispatch it again.

use crate::callers::job::Job;
use crate::entry::Entry;
use crate::watch::counters::Count;
use crate::wire::fields::from_fields;
use crate::wire::fields::to_fields;
use crate::wire::header;
use crate::wire::problem::Problem;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use pinhaven_agree::Home;
use pinhaven_agree::MemberState;
use pinhaven_decide::RunState;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::Digest;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends a request to its home and waits for the answer until the request's deadline.
pub(crate) async fn to_home(job: &Job, home: Home, key: Digest, bytes: Bytes) -> Response<AnyBody> {
    job.entry.counters.add(Count::OnceRelayed);
    let Some(peer) = peer_of(&job.entry, home) else {
        return home_lost(&job.entry, "its home is gone or not known here").into_response();
    };
    let mut headers = job.headers.clone();
    // The call has no authority, which HTTP/2 callers send in place of the field.
    if let Some(host) = job.host().and_then(|host| HeaderValue::from_str(host).ok()) {
        headers.insert(http::header::HOST, host);
    }
    let remaining = job.deadline.saturating_sub(job.entry.now());
    let request = RelayOnceRequest {
        home: home.to_string(),
        service: job.service.config.name.to_string(),
        key_digest: key.to_string(),
        method: job.method.to_string(),
        path_and_query: job
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        headers: to_fields(&headers),
        body: bytes.to_vec(),
        deadline_ms: remaining.as_ms() as u64,
        organisation: job.organisation_name(),
        is_public: job.routed.config().is_some_and(|route| route.public),
    };
    let timeout = Duration::from_micros(remaining.count());
    match job.entry.peers.relay_once(peer, timeout, request).await {
        Ok(answer) => from_answer(answer),
        Err(error) => {
            log::warn!(target: "relay", "Relaying a once-only request to its home failed: {error}.");
            home_lost(&job.entry, "its home does not answer").into_response()
        }
    }
}

fn peer_of(entry: &Entry, home: Home) -> Option<SocketAddr> {
    let members = entry.members.lock();
    let member = members.member(home.incarnation)?;
    (member.row.state != MemberState::Gone).then_some(member.row.peer_address)
}

/// Counts a request whose home is lost and returns the problem for it. The outcome is unknown: the home may
/// have dispatched the request before it was lost, so no other entry may dispatch it again.
pub(crate) fn home_lost(entry: &Entry, detail: &str) -> Problem {
    entry.counters.add(Count::OnceUnknown);
    Problem::unknown(StatusCode::BAD_GATEWAY, "outcome_unknown", detail)
}

fn from_answer(answer: RelayOnceResponse) -> Response<AnyBody> {
    let status = u16::try_from(answer.status).ok();
    let Some(status) = status.and_then(|status| StatusCode::from_u16(status).ok()) else {
        return Problem::unknown(
            StatusCode::BAD_GATEWAY,
            "broken",
            "the relay answered no status",
        )
        .with_run_state(RunState::Unknown)
        .into_response();
    };
    let mut response = Response::new(whole_body(answer.body));
    *response.status_mut() = status;
    *response.headers_mut() = from_fields(answer.headers);
    header::remove_connection_fields(response.headers_mut());
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}
