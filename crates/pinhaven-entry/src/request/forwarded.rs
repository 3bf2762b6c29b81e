//! Serves requests that other entries forwarded to this entry because they reach no target themselves.
//!
//! A forwarded request is served like a caller's own and never forwarded again. What this entry certainly can't serve it
//! declines, so that the other entry can ask a third one.

use crate::callers::admission::Admission;
use crate::callers::authentication::remove_credentials;
use crate::callers::body::BodyLimits;
use crate::callers::body::RequestBody;
use crate::callers::body::receive_body;
use crate::callers::job::Job;
use crate::callers::request_guard::RequestGuard;
use crate::callers::routes::Routed;
use crate::entry::Entry;
use crate::request::dispatch::dispatch;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::snapshot::Snapshot;
use crate::watch::counters::Count;
use crate::wire::fields::from_fields;
use crate::wire::fields::to_fields;
use crate::wire::header;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::Uri;
use http::header::CONTENT_LENGTH;
use pinhaven_agree::MemberState;
use pinhaven_bundle::Organisation;
use pinhaven_decide::RunState;
use pinhaven_peer::ForwardAnswer;
use pinhaven_peer::ForwardHead;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_runtime::within;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

/// Why a forwarded request was not taken. It has not run here.
type Declined = &'static str;

/// Serves a forwarded request. Returns the head of the answer and its body.
pub(crate) async fn serve_forwarded(
    entry: &Arc<Entry>,
    head: ForwardHead,
    body: AnyBody,
) -> (ForwardAnswer, AnyBody) {
    entry.counters.add(Count::ForwardReceived);
    let in_flight = entry.begin_request();
    let forwarded = match parse_forwarded(entry, head) {
        Ok(forwarded) => forwarded,
        Err(declined) => return decline(entry, declined),
    };
    let declared_bytes = declared_bytes(&forwarded.headers);
    let limits = forwarded.body_limits();
    let left = forwarded.deadline.saturating_sub(entry.now());
    let receiving = receive_body(entry, body, declared_bytes, limits);
    let Some(received) = within(Duration::from_micros(left.count()), receiving).await else {
        return decline(entry, "the body came too late");
    };
    let service = Arc::clone(&forwarded.service);
    let response = match received {
        Ok((body, memory)) => {
            let guard = RequestGuard {
                _in_flight: Some(in_flight),
                _memory: memory,
            };
            let job = forwarded.into_job(entry, body);
            dispatch(&job, guard).await
        }
        Err(problem) => problem.into_response(),
    };
    to_answer(entry, &service, response)
}

/// A forwarded request with the fields of its message parsed.
struct Forwarded {
    service: Arc<ServiceEntry>,
    routed: Routed,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    organisation: Option<Arc<Organisation>>,
    deadline: Microseconds,
    prior_wait: Microseconds,
    attempts_max: u32,
}

fn parse_forwarded(entry: &Entry, head: ForwardHead) -> Result<Forwarded, Declined> {
    if entry.state() != MemberState::Ready {
        return Err("it is not ready or stops");
    }
    let snapshot = entry.snapshot.load();
    if snapshot.version < BundleVersion::new(head.version) {
        return Err("it has an older version");
    }
    let method = head.method.parse().map_err(|_| "bad method")?;
    let uri: Uri = head.path_and_query.parse().map_err(|_| "bad path")?;
    let name: ServiceName = head.service.parse().map_err(|_| "bad service")?;
    let (service, routed) = find_service(&snapshot, &head.host, uri.path(), &name)?;
    if service.state.connectivity().is_lost() {
        return Err("it reaches no target either");
    }
    let is_public = routed.config().is_some_and(|route| route.public);
    let organisation = snapshot.organisation_of_message(&head.organisation, is_public)?;
    let mut headers = from_fields(head.headers);
    if snapshot.organisations.is_some() {
        remove_credentials(entry, &mut headers);
    }
    Ok(Forwarded {
        organisation,
        service,
        routed,
        method,
        uri,
        headers,
        deadline: entry.now().plus(Microseconds::from_ms(head.left_ms)),
        prior_wait: Microseconds::from_ms(head.prior_wait_ms),
        attempts_max: head.attempts_max.max(1),
    })
}

/// Finds the service of a forwarded request, which this entry's version must allow on the request's route.
fn find_service(
    snapshot: &Snapshot,
    host: &str,
    path: &str,
    name: &ServiceName,
) -> Result<(Arc<ServiceEntry>, Routed), Declined> {
    let unknown = "its version has no such route";
    if let Some(route) = snapshot.route_for(host, path) {
        let service = snapshot.services.get(name);
        let service = service.filter(|_| route.has_service(name)).ok_or(unknown)?;
        let route = Some(Arc::clone(route));
        return Ok((Arc::clone(service), Routed { route }));
    }
    let service = snapshot.service_for_host(host).ok_or(unknown)?;
    match service.config.name == *name {
        true => Ok((Arc::clone(service), Routed::default())),
        false => Err(unknown),
    }
}

impl Forwarded {
    fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            buffered_bytes: self.service.config.replay_bytes,
            // The other entry has checked the limits of the caller's body.
            accepted_bytes: u64::MAX,
        }
    }

    fn into_job(self, entry: &Arc<Entry>, body: RequestBody) -> Job {
        let is_repeatable = match self.routed.config() {
            Some(route) => route.kind.is_repeatable(),
            None => self
                .service
                .config
                .is_repeatable(self.method.as_str(), self.uri.path()),
        };
        // Without a route, the entry that forwarded the request ends its answer.
        let is_deadline_firm = self.routed.route.is_some();
        let organisation = self.organisation.as_deref();
        let admission = organisation.map(|organisation| Admission::of_message(entry, organisation));
        Job {
            entry: Arc::clone(entry),
            admission,
            service: self.service,
            routed: self.routed,
            method: self.method,
            uri: self.uri,
            headers: self.headers,
            organisation: self.organisation,
            deadline: self.deadline,
            is_deadline_firm,
            prior_wait: self.prior_wait,
            is_repeatable,
            is_forwarded: true,
            attempts_max: Some(self.attempts_max),
            body,
            caller: None,
            fingerprints: OnceLock::new(),
        }
    }
}

fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn decline(entry: &Entry, declined: Declined) -> (ForwardAnswer, AnyBody) {
    entry.counters.add(Count::ForwardDeclined);
    let answer = ForwardAnswer {
        declined: declined.to_owned(),
        ..ForwardAnswer::default()
    };
    (answer, whole_body(""))
}

/// Builds the message of an answer. A refusal for the lack of a reachable target becomes a decline.
fn to_answer(
    entry: &Entry,
    service: &ServiceEntry,
    response: Response<AnyBody>,
) -> (ForwardAnswer, AnyBody) {
    let (head, body) = response.into_parts();
    let retry_after_ms = header::parse_number(&head.headers, &header::RETRY_AFTER_MS);
    let Some(retry_after_ms) = retry_after_ms.ok().flatten() else {
        let answer = ForwardAnswer {
            status: u32::from(head.status.as_u16()),
            headers: to_fields(&head.headers),
            ..ForwardAnswer::default()
        };
        return (answer, body);
    };
    let run = head.headers.get(header::RUN);
    let run = run.and_then(|run| run.to_str().ok()).unwrap_or_default();
    let connectivity = service.state.connectivity();
    if run == RunState::NotRun.name() && (connectivity.is_lost() || connectivity.is_doubtful()) {
        return decline(entry, "it reached no target");
    }
    let answer = ForwardAnswer {
        is_refusal: true,
        run: run.to_owned(),
        retry_after_ms,
        status: u32::from(head.status.as_u16()),
        ..ForwardAnswer::default()
    };
    (answer, whole_body(""))
}
