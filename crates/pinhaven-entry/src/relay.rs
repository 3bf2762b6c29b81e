//! Handing a once-only request to its home.

use crate::body::RequestBody;
use crate::counters::Count;
use crate::entry::Entry;
use crate::header;
use crate::hold::CallerHold;
use crate::job::Job;
use crate::once;
use crate::problem::Problem;
use crate::routes::Routed;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use pinhaven_agree::Home;
use pinhaven_agree::MemberState;
use pinhaven_decide::RunState;
use pinhaven_peer::Header;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Hands a request to its home and waits for the answer.
pub(crate) async fn to_home(job: &Job, home: Home, key: Digest, bytes: Bytes) -> Response<AnyBody> {
    job.entry.counters.add(Count::OnceRelayed);
    let Some(peer) = peer_of(&job.entry, home) else {
        return home_lost(&job.entry, "its home is gone or not known here").into_response();
    };
    let left = job.deadline.saturating_sub(job.entry.now());
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
        headers: to_fields(&job.headers),
        body: bytes.to_vec(),
        deadline_ms: left.as_ms() as u64,
    };
    let timeout = Duration::from_micros(left.count());
    match job.entry.peers.relay_once(peer, timeout, request).await {
        Ok(answer) => from_answer(answer),
        Err(error) => {
            log::warn!(target: "relay", "Relaying failed: {error}.");
            home_lost(&job.entry, "its home does not answer").into_response()
        }
    }
}

fn peer_of(entry: &Entry, home: Home) -> Option<SocketAddr> {
    let members = entry.members.lock();
    let member = members.member(home.incarnation)?;
    (member.row.state != MemberState::Gone).then_some(member.row.peer_address)
}

/// The home may have dispatched the request before it was lost, so nobody may dispatch it again.
fn home_lost(entry: &Entry, detail: &str) -> Problem {
    entry.counters.add(Count::OnceUnknown);
    Problem::unknown(StatusCode::BAD_GATEWAY, "outcome_unknown", detail)
}

/// Answers a request that another entry relayed.
pub(crate) async fn answer_relayed(
    entry: &Arc<Entry>,
    request: RelayOnceRequest,
) -> RelayOnceResponse {
    let response = match take_relayed(entry, request) {
        Err(problem) => problem.into_response(),
        Ok(relayed) => {
            let hold = CallerHold {
                _in_flight: Some(entry.enter()),
                _memory: None,
            };
            let Relayed {
                job,
                home,
                key,
                bytes,
            } = relayed;
            once::run_at_home(job, hold, home.epoch, key, bytes).await
        }
    };
    to_answer(response).await
}

struct Relayed {
    job: Job,
    home: Home,
    key: Digest,
    bytes: Bytes,
}

fn take_relayed(entry: &Arc<Entry>, request: RelayOnceRequest) -> Result<Relayed, Problem> {
    let bad = |what: &str| {
        entry.counters.add(Count::BadRequest);
        Problem::not_run(StatusCode::BAD_REQUEST, "bad_relay", what)
    };
    let home: Home = request.home.parse().map_err(|_| bad("bad home"))?;
    if home.incarnation != entry.incarnation {
        return Err(home_lost(
            entry,
            "its home was replaced by another instance",
        ));
    }
    let name: ServiceName = request.service.parse().map_err(|_| bad("bad service"))?;
    let key: Digest = request.key_digest.parse().map_err(|_| bad("bad key"))?;
    let method = request.method.parse().map_err(|_| bad("bad method"))?;
    let uri = request
        .path_and_query
        .parse()
        .map_err(|_| bad("bad path"))?;
    let snapshot = entry.snapshot.load();
    let service = snapshot.services.get(&name).cloned();
    let service = service.ok_or_else(|| bad("unknown service"))?;
    let bytes = Bytes::from(request.body);
    let deadline = Microseconds::from_ms(request.deadline_ms);
    let job = Job {
        entry: Arc::clone(entry),
        service,
        routed: Routed::default(),
        method,
        uri,
        headers: from_fields(request.headers),
        deadline: entry.now().plus(deadline),
        waited: Microseconds::ZERO,
        is_repeatable: false,
        attempts_most: None,
        body: RequestBody::Whole(bytes.clone()),
    };
    Ok(Relayed {
        job,
        home,
        key,
        bytes,
    })
}

async fn to_answer(response: Response<AnyBody>) -> RelayOnceResponse {
    let (head, body) = response.into_parts();
    // Answers of once-only requests are whole before they are relayed.
    let body = body.collect().await.map(|body| body.to_bytes());
    RelayOnceResponse {
        status: u32::from(head.status.as_u16()),
        headers: to_fields(&head.headers),
        body: body.unwrap_or_default().to_vec(),
    }
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

fn to_fields(headers: &HeaderMap) -> Vec<Header> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(field).collect()
}

fn from_fields(fields: Vec<Header>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        let name = HeaderName::try_from(field.name);
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
