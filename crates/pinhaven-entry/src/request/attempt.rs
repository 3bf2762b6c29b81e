//! One attempt at one target.

use crate::callers::job::Job;
use crate::entry::Entry;
use crate::request::answer_body::ReceivedBody;
use crate::request::answer_body::is_bounded;
use crate::targets::orders::OrderSource;
use crate::targets::pool;
use crate::targets::pool::IDLE_MAX;
use crate::targets::pool::IDLE_MAX_ONCE;
use crate::targets::pool::SendResult;
use crate::targets::pool::Sender;
use crate::targets::pool::TargetPool;
use crate::versions::service_entry::ServiceEntry;
use crate::watch::counters::Count;
use crate::wire::dialect::AnswerFacts;
use crate::wire::dialect::AttemptFacts;
use crate::wire::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::response::Parts;
use hyper::body::Incoming;
use pinhaven_decide::Attempt;
use pinhaven_decide::TargetState;
use pinhaven_runtime::AnyBody;
use std::sync::Arc;
use std::time::Duration;

/// Connections that closed while idle and that one attempt may meet.
const STALE_CONNECTIONS_MAX: usize = 8;

/// An answer, with what came along.
pub(crate) struct Answer {
    pub(crate) head: Parts,
    pub(crate) body: ReceivedBody,
    pub(crate) sender: Sender,
    pub(crate) facts: AnswerFacts,
}

/// How an attempt ended, with its answer if there is one.
pub(crate) enum AttemptEnd {
    NotSent,
    /// It was not sent, as the target had begun to leave or to rest.
    Closed,
    /// It was not sent, as the request crashes targets.
    HeldBack {
        /// When it may be tried again, in milliseconds.
        for_ms: u64,
    },
    /// Another target has the address now and did not run the request.
    OtherTarget,
    Broken,
    /// The target has started again and knows nothing of the request, which it may have run before.
    Restarted,
    /// The answer ended before its declared end.
    Cut,
    /// The connection or the answer broke, and nobody listens at the target's address any more.
    Crashed,
    Answer(Box<Answer>),
}

/// A request ready to be sent, and the id that its answer must carry.
pub(crate) struct Prepared {
    request: Request<AnyBody>,
    id: Option<HeaderValue>,
    /// How long a connection may have been idle to be used for it.
    idle_most: Duration,
}

pub(crate) fn request_for(job: &Job, attempt: &Attempt, attempts_left: u32) -> Option<Prepared> {
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
    let number = job.entry.request_number();
    let incarnation = job.entry.incarnation.to_string();
    let attempt_id = format!("{}-{number}-{}", &incarnation[..12], attempt.id.0);
    let facts = AttemptFacts {
        left_ms: left.as_ms() as u64,
        attempts_left,
        target: attempt.target.id(),
        attempt_id: &attempt_id,
    };
    let id = job.entry.dialect.write_attempt(headers, &facts);
    let idle_most = if job.is_repeatable {
        IDLE_MAX
    } else {
        IDLE_MAX_ONCE
    };
    Some(Prepared {
        request,
        id,
        idle_most,
    })
}

/// Sends one attempt and waits for its answer: all of a small one, the head of a large one. Where either breaks,
/// waits for the word whether the target has crashed.
pub(crate) async fn run_attempt(
    entry: Arc<Entry>,
    service: Arc<ServiceEntry>,
    target: Arc<TargetState>,
    prepared: Prepared,
) -> AttemptEnd {
    let address = target.address();
    let pool = service.pools.get(&address).cloned().unwrap_or_default();
    let end = send_attempt(entry, service, &target, &pool, prepared).await;
    let is_broken = matches!(end, AttemptEnd::Broken | AttemptEnd::Cut);
    // A target that leaves ends as planned, also when it cuts what it had.
    if is_broken && !target.is_leaving() && pool.is_connection_refused(address).await {
        return AttemptEnd::Crashed;
    }
    end
}

async fn send_attempt(
    entry: Arc<Entry>,
    service: Arc<ServiceEntry>,
    target: &TargetState,
    pool: &TargetPool,
    prepared: Prepared,
) -> AttemptEnd {
    let address = target.address();
    let Prepared {
        mut request,
        id,
        idle_most,
    } = prepared;
    for _ in 0..STALE_CONNECTIONS_MAX {
        let began = entry.now();
        let Ok(connected) = pool.connect(address, idle_most).await else {
            return AttemptEnd::NotSent;
        };
        if connected.is_new {
            target.record_connection(began);
            entry.counters.add(Count::Connections);
        }
        if entry.has_restarted(target) {
            return AttemptEnd::NotSent;
        }
        // The target may have asked to be left or let rest while the connection was made.
        let Ok(permit) = target.send_permit(entry.now()) else {
            pool.put(connected.sender);
            return AttemptEnd::Closed;
        };
        let sending = pool::send(permit, connected.sender, request);
        let Some(sent) = entry.unless_restarted(target, sending).await else {
            log::debug!(target: "proxy", "{address} started again with a request under way.");
            return AttemptEnd::Restarted;
        };
        match sent {
            SendResult::Answer(response, sender) => {
                let id = id.as_ref();
                return match check_answer(&entry, &service, target, &response, id) {
                    Ok(facts) => {
                        let receiving = receive(&entry, response, sender, facts);
                        let received = entry.unless_restarted(target, receiving).await;
                        received.unwrap_or(AttemptEnd::Restarted)
                    }
                    Err(end) => end,
                };
            }
            SendResult::Unsent(unsent) => request = *unsent,
            SendResult::Broken(error) => {
                log::debug!(target: "proxy", "Sending to {address} broke: {error}.");
                return AttemptEnd::Broken;
            }
        }
    }
    AttemptEnd::NotSent
}

/// Reads the head of an answer, and takes it only if it belongs to the request and its end can be told
/// from a cut.
fn check_answer(
    entry: &Entry,
    service: &ServiceEntry,
    target: &TargetState,
    response: &Response<Incoming>,
    id: Option<&HeaderValue>,
) -> Result<AnswerFacts, AttemptEnd> {
    let (status, headers) = (response.status(), response.headers());
    let facts = entry.dialect.read_answer(status, headers, &service.config);
    if facts.is_other_target {
        // The report is the other target's.
        return Err(AttemptEnd::OtherTarget);
    }
    // Whosever answer it is, and whatever is wrong with it, what the target asks for with it holds.
    let orders = entry.dialect.read_orders(status, headers);
    entry.apply_orders(service, target, &orders, OrderSource::Answer);
    if !entry.dialect.is_answer_to(headers, id, &service.config) {
        entry.counters.add(Count::AttemptCrossed);
        // Whosever answer it is, the report on it is the target's.
        if let Some(report) = &facts.report {
            service.state.record_report(target, entry.now(), report);
        }
        log::warn!(target: "proxy", "An answer belonged to another request; it was dropped.");
        return Err(AttemptEnd::Broken);
    }
    if facts.promises_too_much {
        entry.counters.add(Count::AttemptBroken);
        log::warn!(target: "proxy", "A target answered {status} without proof that it ran nothing.");
        return Err(AttemptEnd::Broken);
    }
    if status.is_success() && !facts.is_genuine {
        entry.counters.add(Count::AttemptForged);
        log::warn!(target: "proxy", "A success lacked the mark of a target's answer; it was dropped.");
        return Err(AttemptEnd::Broken);
    }
    if !service.config.unbounded_answers && !is_bounded(headers, response.body()) {
        entry.counters.add(Count::AttemptUnbounded);
        return Err(AttemptEnd::Broken);
    }
    Ok(facts)
}

/// Takes the body of an answer in.
async fn receive(
    entry: &Entry,
    response: Response<Incoming>,
    sender: Sender,
    facts: AnswerFacts,
) -> AttemptEnd {
    let (head, body) = response.into_parts();
    let Some(body) = ReceivedBody::receive(body).await else {
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
