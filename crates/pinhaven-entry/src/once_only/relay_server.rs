//! Server side of relaying: runs a once-only request that another entry relayed to this entry, its home.

use crate::callers::admission::Admission;
use crate::callers::authentication::remove_credentials;
use crate::callers::body::RequestBody;
use crate::callers::job::Job;
use crate::callers::request_guard::RequestGuard;
use crate::callers::routes::Routed;
use crate::entry::Entry;
use crate::once_only::execute;
use crate::once_only::relay_client::home_lost;
use crate::watch::counters::Count;
use crate::wire::fields::from_fields;
use crate::wire::fields::to_fields;
use crate::wire::problem::Problem;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use pinhaven_agree::Home;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_runtime::AnyBody;
use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use std::sync::Arc;
use std::sync::OnceLock;

/// Runs a relayed request and returns the answer in the form of the relay call.
pub(crate) async fn answer_relayed(
    entry: &Arc<Entry>,
    request: RelayOnceRequest,
) -> RelayOnceResponse {
    let response = match parse_relayed(entry, request) {
        Err(problem) => problem.into_response(),
        Ok(relayed) => {
            let hold = RequestGuard {
                _in_flight: Some(entry.begin_request()),
                _memory: None,
            };
            let Relayed {
                job,
                home,
                key,
                bytes,
            } = relayed;
            execute::run_at_home(job, hold, home.epoch, key, bytes).await
        }
    };
    to_answer(response).await
}

/// A relayed request with the fields of its call parsed.
struct Relayed {
    job: Job,
    home: Home,
    key: Digest,
    bytes: Bytes,
}

fn parse_relayed(entry: &Arc<Entry>, request: RelayOnceRequest) -> Result<Relayed, Problem> {
    let bad_relay = |detail: &str| {
        entry.counters.add(Count::BadRequest);
        Problem::not_run(StatusCode::BAD_REQUEST, "bad_relay", detail)
    };
    let home: Home = request.home.parse().map_err(|_| bad_relay("bad home"))?;
    if home.incarnation != entry.incarnation {
        return Err(home_lost(
            entry,
            "its home was replaced by another instance",
        ));
    }
    let name: ServiceName = request
        .service
        .parse()
        .map_err(|_| bad_relay("bad service"))?;
    let key: Digest = request
        .key_digest
        .parse()
        .map_err(|_| bad_relay("bad key"))?;
    let method = request
        .method
        .parse()
        .map_err(|_| bad_relay("bad method"))?;
    let uri = request
        .path_and_query
        .parse()
        .map_err(|_| bad_relay("bad path"))?;
    let snapshot = entry.snapshot.load();
    let service = snapshot.services.get(&name).cloned();
    let service = service.ok_or_else(|| bad_relay("unknown service"))?;
    let mut headers = from_fields(request.headers);
    let organisation = snapshot
        .organisation_of_message(&request.organisation, request.is_public)
        .map_err(|detail| {
            // The versions of the two entries differ, so that the caller can succeed shortly.
            entry.counters.add(Count::OrganisationUnknown);
            let problem = Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "organisation_unknown",
                detail,
            );
            execute::downgrade_unproven(execute::sending_of(&headers), problem)
        })?;
    if snapshot.organisations.is_some() {
        remove_credentials(entry, &mut headers);
    }
    let bytes = Bytes::from(request.body);
    let deadline = Microseconds::from_ms(request.deadline_ms);
    let admission = organisation
        .as_deref()
        .map(|organisation| Admission::of_message(entry, organisation));
    let job = Job {
        entry: Arc::clone(entry),
        admission,
        service,
        routed: Routed::default(),
        method,
        uri,
        headers,
        organisation,
        deadline: entry.now().plus(deadline),
        is_deadline_firm: true,
        prior_wait: Microseconds::ZERO,
        is_repeatable: false,
        is_forwarded: false,
        attempts_max: None,
        body: RequestBody::Whole(bytes.clone()),
        caller: None,
        fingerprints: OnceLock::new(),
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
    // The answer to a once-only request is already buffered completely, so reading it does not block.
    let body = body.collect().await.map(|body| body.to_bytes());
    RelayOnceResponse {
        status: u32::from(head.status.as_u16()),
        headers: to_fields(&head.headers),
        body: body.unwrap_or_default().to_vec(),
    }
}
