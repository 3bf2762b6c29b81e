//! Execution of one attempt: a request is sent to one target, and the target's answer is received and checked.

use crate::callers::job::Job;
use crate::entry::Entry;
use crate::request::answer_body::ReceivedBody;
use crate::request::answer_body::is_bounded;
use crate::request::attribution::Attribution;
use crate::request::attribution::OwnFacts;
use crate::targets::orders::OrderSource;
use crate::targets::pool;
use crate::targets::pool::IDLE_MAX;
use crate::targets::pool::IDLE_MAX_ONCE;
use crate::targets::pool::SendResult;
use crate::targets::pool::Sender;
use crate::targets::pool::TargetPool;
use crate::versions::service_entry::ServiceEntry;
use crate::watch::counters::Count;
use crate::wire::dialect::AttemptFacts;
use crate::wire::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::response::Parts;
use pinhaven_decide::Attempt;
use pinhaven_decide::TargetState;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::EndlessBytes;
use pinhaven_runtime::IncomingAnswer;
use pinhaven_types::TargetAddress;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of stale connections, closed by the target while idle, that one attempt may encounter.
const STALE_CONNECTIONS_MAX: usize = 8;

/// Maximum number of other targets to which connections are opened after one has crashed.
const COMPARED_TARGETS: usize = 2;

/// An answer of a target, with the connection that it arrived on and the facts read from its head.
pub(crate) struct Answer {
    pub(crate) head: Parts,
    pub(crate) body: ReceivedBody,
    pub(crate) sender: Sender,
    pub(crate) facts: OwnFacts,
}

/// Outcome of an attempt, with the target's answer if there is one.
pub(crate) enum AttemptEnd {
    /// The request was not sent.
    NotSent,
    /// The request was not sent, because the target had begun to leave, or to rest (to refuse new work for a time).
    TargetClosed,
    /// The request was not sent, because it is suspected of crashing targets.
    HeldBack {
        /// Time until the request may be retried, in milliseconds.
        for_ms: u64,
    },
    /// Another target has the target's address now and did not run the request.
    OtherTarget(OwnFacts),
    /// Sending the request or receiving its answer failed, or the answer was rejected. The target may have run the
    /// request.
    Broken,
    /// The target has restarted and lost the request, which its earlier run may have executed.
    Restarted,
    /// The answer's body was truncated before any part of the answer was forwarded.
    Cut,
    /// The connection or the answer broke, and the target's address refuses connections since.
    Crashed {
        /// Whether another target of the service accepts connections, so that the links of this entry work.
        is_certain: bool,
    },
    /// The target's answer passed all checks.
    Answer(Box<Answer>),
}

/// Request ready to be sent, with the id that its answer must carry.
pub(crate) struct PreparedRequest {
    request: Request<AnyBody>,
    id: Option<HeaderValue>,
    /// Maximum idle time of a connection reused for this request.
    idle_max: Duration,
    deadline: Instant,
    /// Time after which no further part of an answer without a declared length is received.
    answer_ends_at: Option<Instant>,
}

/// Builds the request of an attempt; `None` if the body can't be sent again or a part of the URI is missing or invalid.
pub(crate) fn prepare_request(
    job: &Job,
    attempt: &Attempt,
    attempts_left: u32,
) -> Option<PreparedRequest> {
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
    let time_left = job.deadline.saturating_sub(job.entry.now());
    let number = job.entry.request_number();
    let incarnation = job.entry.incarnation.to_string();
    let attempt_id = format!("{}-{number}-{}", &incarnation[..12], attempt.id.0);
    let facts = AttemptFacts {
        left_ms: time_left.as_ms() as u64,
        attempts_left,
        target: attempt.target.id(),
        attempt_id: &attempt_id,
        organisation: job
            .organisation
            .as_ref()
            .map(|organisation| &organisation.name),
    };
    let id = job.entry.dialect.write_attempt(headers, &facts);
    let idle_max = if job.is_repeatable {
        IDLE_MAX
    } else {
        IDLE_MAX_ONCE
    };
    Some(PreparedRequest {
        request,
        id,
        idle_max,
        deadline: job.entry.clock.instant_of(job.deadline),
        answer_ends_at: job.answer_ends_at(),
    })
}

/// Sends one attempt and waits for its answer: all of a small answer, the head of a large answer. If sending or
/// receiving fails, checks whether the target refuses connections, which shows that the target has crashed.
pub(crate) async fn run_attempt(
    entry: Arc<Entry>,
    service: Arc<ServiceEntry>,
    target: Arc<TargetState>,
    prepared: PreparedRequest,
) -> AttemptEnd {
    let address = target.address();
    let pool = service.pools.get(&address).cloned().unwrap_or_default();
    let end = send_attempt(entry, Arc::clone(&service), &target, &pool, prepared).await;
    let is_broken = matches!(end, AttemptEnd::Broken | AttemptEnd::Cut);
    // The end of a leaving target is planned and is no crash, even if the target aborts its requests.
    if is_broken && !target.is_leaving() && pool.is_connection_refused(address).await {
        let is_certain = reaches_another_target(&service, &target).await;
        return AttemptEnd::Crashed { is_certain };
    }
    end
}

/// Whether another target of the service accepts a connection; also true if all others are known to be down. One that
/// has crashed before says nothing about the links of this entry.
async fn reaches_another_target(service: &ServiceEntry, crashed: &TargetState) -> bool {
    let others = service.state.targets_to_compare(crashed);
    let others = fastrand::choose_multiple(others, COMPARED_TARGETS);
    if others.is_empty() {
        return true;
    }
    for other in others {
        if let Some(pool) = service.pools.get(&other.address())
            && pool.accepts_connection(other.address()).await
        {
            return true;
        }
    }
    false
}

async fn send_attempt(
    entry: Arc<Entry>,
    service: Arc<ServiceEntry>,
    target: &TargetState,
    pool: &TargetPool,
    prepared: PreparedRequest,
) -> AttemptEnd {
    let address = target.address();
    let PreparedRequest {
        mut request,
        id,
        idle_max,
        deadline,
        answer_ends_at,
    } = prepared;
    for _ in 0..STALE_CONNECTIONS_MAX {
        let connect_started_at = entry.now();
        let Ok(connected) = pool.connect(address, idle_max).await else {
            service.state.connectivity().record_failed(address);
            return AttemptEnd::NotSent;
        };
        if connected.is_new {
            target.record_connection(connect_started_at);
            entry.counters.add(Count::Connections);
        }
        if entry.has_restarted(target) {
            return AttemptEnd::NotSent;
        }
        // The target may have begun to leave or to rest while the connection was established.
        let Ok(permit) = target.send_permit(entry.now()) else {
            pool.put(connected.sender);
            return AttemptEnd::TargetClosed;
        };
        let sending = pool::send(permit, connected.sender, request);
        let Some(sent) = entry.unless_restarted(target, sending).await else {
            log::debug!(target: "proxy", "Target {address} restarted with a request in flight.");
            return AttemptEnd::Restarted;
        };
        match sent {
            SendResult::Answer(response, sender) => {
                entry.record_heard(&service);
                let id = id.as_ref();
                return match check_answer(&entry, &service, target, &response, id) {
                    Ok(facts) => {
                        let body_limits = (deadline, answer_ends_at);
                        let receiving =
                            receive_answer(&entry, response, sender, facts, body_limits);
                        let received = entry.unless_restarted(target, receiving).await;
                        received.unwrap_or(AttemptEnd::Restarted)
                    }
                    Err(end) => end,
                };
            }
            SendResult::Unsent(unsent) => request = *unsent,
            SendResult::Broken(error) => {
                entry.count_endless(address, &error);
                service.state.connectivity().record_failed(address);
                log::debug!(target: "proxy", "Sending a request to {address} failed: {error}.");
                return AttemptEnd::Broken;
            }
        }
    }
    AttemptEnd::NotSent
}

impl Entry {
    /// Counts and logs an exchange that failed because the target sent bytes without end.
    pub(crate) fn count_endless(&self, target: TargetAddress, error: &(dyn Error + 'static)) {
        if EndlessBytes::caused(error) {
            self.counters.add(Count::AttemptEndless);
            log::warn!(target: "proxy", "Target {target} sends bytes without end.");
        }
    }
}

/// Reads the head of an answer, and accepts the answer only if it belongs to the request, is genuine, and has a body
/// whose truncation can be detected. The target's orders are applied even if the answer is rejected.
fn check_answer(
    entry: &Entry,
    service: &ServiceEntry,
    target: &TargetState,
    response: &Response<IncomingAnswer>,
    id: Option<&HeaderValue>,
) -> Result<OwnFacts, AttemptEnd> {
    let (status, headers) = (response.status(), response.headers());
    let attribution = Attribution::new(&*entry.dialect, &service.config, id, status, headers);
    let facts = match attribution {
        Attribution::Own(facts, told) => {
            entry.apply_orders(service, target, &told.orders, OrderSource::Answer);
            facts
        }
        Attribution::Foreign(told) => {
            entry.apply_orders(service, target, &told.orders, OrderSource::Answer);
            if let Some(report) = &told.report {
                service.state.record_report(target, entry.now(), report);
            }
            entry.counters.add(Count::AttemptCrossed);
            let address = target.address();
            log::warn!(target: "proxy", "Dropped a {status} answer of {address} that belongs to another request.");
            return Err(AttemptEnd::Broken);
        }
    };
    if facts.is_other_target {
        return Err(AttemptEnd::OtherTarget(facts));
    }
    if facts.lacks_not_run_proof {
        entry.counters.add(Count::AttemptBroken);
        log::warn!(target: "proxy", "Dropped a {status} answer without proof that the request did not run.");
        return Err(AttemptEnd::Broken);
    }
    if status.is_success() && !facts.is_genuine {
        entry.counters.add(Count::AttemptForged);
        log::warn!(target: "proxy", "Dropped a successful answer without the header fields of a target.");
        return Err(AttemptEnd::Broken);
    }
    if !service.config.unbounded_answers && !is_bounded(headers, response.body()) {
        entry.counters.add(Count::AttemptUnbounded);
        return Err(AttemptEnd::Broken);
    }
    Ok(facts)
}

/// Receives the body of an answer: a small body in full, a large body as a stream.
async fn receive_answer(
    entry: &Entry,
    response: Response<IncomingAnswer>,
    sender: Sender,
    facts: OwnFacts,
    (deadline, ends_at): (Instant, Option<Instant>),
) -> AttemptEnd {
    let (head, body) = response.into_parts();
    let Some(body) = ReceivedBody::receive(body, deadline, ends_at).await else {
        entry.counters.add(Count::AnswerCut);
        return AttemptEnd::Cut;
    };
    AttemptEnd::Answer(Box::new(Answer {
        head,
        body,
        sender,
        facts,
    }))
}
