//! Execution of once-only requests: requests that may not be repeated and carry an `Idempotency-Key`.
//!
//! Only the home of the key dispatches the request, whichever entry the caller sent it to. The home's
//! ledger records each key and its answer, so that a request that may have run is never dispatched again.
//! The dispatch continues after the caller disconnects, so that a later request with the
//! same key finds the answer.

use crate::callers::body::RequestBody;
use crate::callers::body::too_large;
use crate::callers::job::Job;
use crate::callers::request_guard::RequestGuard;
use crate::once_only::claims;
use crate::once_only::relay_client;
use crate::request::answer_body::collect_answer;
use crate::request::dispatch::dispatch;
use crate::watch::counters::Count;
use crate::wire::header;
use crate::wire::problem::Problem;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use pinhaven_agree::BeginOutcome;
use pinhaven_agree::Claim;
use pinhaven_agree::Epoch;
use pinhaven_agree::Home;
use pinhaven_agree::OnceFingerprint;
use pinhaven_agree::OnceKey;
use pinhaven_agree::Sending;
use pinhaven_agree::StoredAnswer;
use pinhaven_bundle::Service;
use pinhaven_decide::RunState;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_types::Digest;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;

/// Maximum body size of a once-only request, in bytes. The body is buffered completely.
const BODY_BYTES_MAX: u64 = 1024 * 1024;
/// Maximum size of the answer to a once-only request, in bytes. The answer is buffered completely.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Retry delay sent to callers whose request is in flight, in milliseconds.
const IN_FLIGHT_RETRY_MS: u64 = 200;

/// Maximum body size of a once-only request to `service`, in bytes.
pub(crate) fn body_bytes_max(service: &Service) -> u64 {
    service.body_bytes.min(BODY_BYTES_MAX)
}

/// Answers a once-only request: dispatches it if this entry is its home, otherwise relays it to the home.
pub(crate) async fn answer(job: Job, hold: RequestGuard) -> Response<AnyBody> {
    match find_home(&job).await {
        Err(problem) => downgrade_unproven(sending_of(&job.headers), problem).into_response(),
        Ok((home, key, bytes)) => {
            if home.incarnation == job.entry.incarnation {
                run_at_home(job, hold, home.epoch, key, bytes).await
            } else {
                relay_client::to_home(&job, home, key, bytes).await
            }
        }
    }
}

async fn find_home(job: &Job) -> Result<(Home, Digest, Bytes), Problem> {
    let RequestBody::Whole(bytes) = &job.body else {
        return Err(too_large(&job.entry, body_bytes_max(&job.service.config)));
    };
    let key = key_digest(job)?;
    let home = match job.headers.get(header::HOME) {
        None => claims::home_of(&job.entry, key).await?,
        Some(value) => parse_home(job, value)?,
    };
    Ok((home, key, bytes.clone()))
}

fn key_digest(job: &Job) -> Result<Digest, Problem> {
    let Some(key) = job.headers.get(header::IDEMPOTENCY_KEY) else {
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "key_missing",
            "the request has no Idempotency-Key",
        ));
    };
    Ok(Digest::of(key.as_bytes()))
}

fn parse_home(job: &Job, value: &HeaderValue) -> Result<Home, Problem> {
    let home = value.to_str().ok().and_then(|text| text.parse().ok());
    home.ok_or_else(|| {
        job.entry.counters.add(Count::BadRequest);
        Problem::not_run(
            StatusCode::BAD_REQUEST,
            "bad_home",
            "Pinhaven-Home is the `home` of an address answer",
        )
    })
}

/// Changes the run state of a refusal to "unknown" if the refused request is not known to be the first
/// sending. Used for refusals that no ledger record of the key supports: an earlier sending may still reach
/// the home and run, so "not run" is certain only for a first sending.
pub(crate) fn downgrade_unproven(sending: Option<Sending>, problem: Problem) -> Problem {
    let is_first = sending == Some(Sending::FIRST);
    if problem.run_state == RunState::NotRun && !is_first {
        problem.with_run_state(RunState::Unknown)
    } else {
        problem
    }
}

/// Sending number from the request's headers; `None` if it is missing or invalid.
pub(crate) fn sending_of(headers: &HeaderMap) -> Option<Sending> {
    let number = header::parse_number(headers, &header::SENDING).ok()??;
    u32::try_from(number).ok().map(Sending)
}

/// Runs a request whose home is this entry. The dispatch continues after the caller disconnects.
pub(crate) async fn run_at_home(
    job: Job,
    hold: RequestGuard,
    epoch: Epoch,
    key: Digest,
    bytes: Bytes,
) -> Response<AnyBody> {
    let fingerprint = fingerprint(&job, &bytes);
    let once_key = OnceKey {
        epoch,
        service: job.service.config.name.clone(),
        resource: resource(&job),
        key,
    };
    let sending = sending_of(&job.headers).unwrap_or(Sending::FIRST);
    let begin = job
        .entry
        .ledger
        .lock()
        .begin(once_key, sending, fingerprint);
    let claim = match begin {
        BeginOutcome::Dispatch(claim) => claim,
        other => return answer_without_dispatch(&job, other),
    };
    let (sender, receiver) = async_channel::bounded(1);
    spawn(async move {
        let response = dispatch_once(job, hold, claim).await;
        // This fails if the caller has disconnected; the ledger then holds the answer.
        let _ = sender.send(response).await;
    })
    .detach();
    match receiver.recv().await {
        Ok(response) => response,
        Err(_) => {
            Problem::unknown(StatusCode::BAD_GATEWAY, "broken", "the work ended").into_response()
        }
    }
}

async fn dispatch_once(job: Job, hold: RequestGuard, claim: Claim) -> Response<AnyBody> {
    job.entry.counters.add(Count::OnceDispatched);
    let (head, body) = dispatch(&job, hold).await.into_parts();
    let run_state = head.headers.get(header::RUN).cloned();
    let body = collect_answer(body, ANSWER_BYTES_MAX).await;
    let mut ledger = job.entry.ledger.lock();
    let Some(body) = body else {
        ledger.settle_unknown(claim);
        return Problem::unknown(
            StatusCode::BAD_GATEWAY,
            "broken",
            "the target's answer did not come whole",
        )
        .into_response();
    };
    let has_run_state = |state: RunState| run_state.as_ref().is_some_and(|run| run == state.name());
    if has_run_state(RunState::Run) {
        let headers = head.headers.iter();
        ledger.settle_answered(
            claim,
            StoredAnswer {
                status: head.status.as_u16(),
                headers: headers
                    .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                    .collect(),
                body: body.to_vec(),
            },
        );
    } else if has_run_state(RunState::NotRun) {
        ledger.settle_not_run(claim);
    } else {
        ledger.settle_unknown(claim);
    }
    Response::from_parts(head, whole_body(body))
}

fn answer_without_dispatch(job: &Job, begin: BeginOutcome) -> Response<AnyBody> {
    let counters = &job.entry.counters;
    match begin {
        BeginOutcome::Answered(answer) => {
            counters.add(Count::OnceReplayed);
            stored_response(answer)
        }
        BeginOutcome::InFlight => {
            counters.add(Count::OnceInFlight);
            Problem::unknown(
                StatusCode::CONFLICT,
                "in_flight",
                "a request with this key is being worked on",
            )
            .with_retry_after_ms(IN_FLIGHT_RETRY_MS)
            .into_response()
        }
        BeginOutcome::AnsweredBefore => {
            counters.add(Count::OnceReplayed);
            Problem::unknown(
                StatusCode::CONFLICT,
                "answered_before",
                "the request with this key ran; its answer is no longer held",
            )
            .with_run_state(RunState::Run)
            .into_response()
        }
        BeginOutcome::OtherRequest => {
            counters.add(Count::OnceOtherRequest);
            Problem::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "key_reused",
                "this key belongs to another request",
            )
            .into_response()
        }
        BeginOutcome::RefusedBefore => {
            counters.add(Count::OnceReplayed);
            Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused_before",
                "this sending was refused and did not run; raise Pinhaven-Sending to try again",
            )
            .into_response()
        }
        BeginOutcome::Full => {
            counters.add(Count::OnceFull);
            let problem = Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "ledger_full",
                "this entry can't remember more keys now",
            );
            downgrade_unproven(sending_of(&job.headers), problem).into_response()
        }
        BeginOutcome::NeverIssued => {
            counters.add(Count::BadRequest);
            let problem = Problem::not_run(
                StatusCode::BAD_REQUEST,
                "bad_home",
                "this home was never given out",
            );
            downgrade_unproven(sending_of(&job.headers), problem).into_response()
        }
        BeginOutcome::Unknown | BeginOutcome::Forgotten => {
            counters.add(Count::OnceUnknown);
            Problem::unknown(
                StatusCode::BAD_GATEWAY,
                "outcome_unknown",
                "nobody can tell whether the request with this key ran",
            )
            .into_response()
        }
        BeginOutcome::Dispatch(_) => {
            require_promise(Promise::AtMostOnce, false, || {
                "a request that the ledger let through was answered without a dispatch".to_owned()
            });
            Problem::unknown(StatusCode::BAD_GATEWAY, "broken", "").into_response()
        }
    }
}

fn stored_response(answer: StoredAnswer) -> Response<AnyBody> {
    let mut response = Response::new(whole_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in answer.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Digest of the host and path of a request.
fn resource(job: &Job) -> Option<Digest> {
    let host = job.host()?.to_ascii_lowercase();
    let name = host.rsplit_once(':').map_or(&*host, |(name, _)| name);
    Some(Digest::of_parts(&[
        name.as_bytes(),
        job.uri.path().as_bytes(),
    ]))
}

/// Fingerprint of a request: method, path, credentials and body. The credentials are included so that a
/// caller that reuses another caller's key never receives the other caller's answer.
fn fingerprint(job: &Job, body: &Bytes) -> OnceFingerprint {
    let path = job.uri.path_and_query().map_or("/", |path| path.as_str());
    OnceFingerprint(Digest::of_parts(&[
        job.method.as_str().as_bytes(),
        path.as_bytes(),
        job.credentials(),
        body,
    ]))
}
