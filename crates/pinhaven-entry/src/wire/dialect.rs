//! How requests and answers are spelled on the wire.
//!
//! The entry works with facts: how long a caller waits, whether a target proved that it did not run a
//! request. A [`Dialect`] reads these from header fields and writes them there. The entry has one of
//! its own; a deployment whose callers and targets use other names brings another.

use crate::wire::header;
use crate::wire::load_report;
use crate::wire::rest::ReceivedOrders;
use crate::wire::rest::read_rest;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::RETRY_AFTER;
use pinhaven_bundle::Service;
use pinhaven_decide::LoadReport;
use pinhaven_decide::RunState;
use pinhaven_runtime::AnyBody;
use pinhaven_types::FailureDomain;
use pinhaven_types::Region;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use serde::Serialize;
use std::net::SocketAddr;

/// What a caller says of its request besides the request itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerFacts {
    /// How long it waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Attempts that may be made in all.
    pub attempts_max: Option<u32>,
}

/// A field of a request that can't be understood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadField {
    /// Name of the problem, for answers and metrics.
    pub reason: &'static str,
    /// What should stand there.
    pub expected: &'static str,
}

/// What is said to a target along with a request.
#[derive(Debug, Clone)]
pub struct AttemptFacts<'job> {
    /// Time that is left for the answer, in milliseconds.
    pub left_ms: u64,
    /// Attempts that services further down may make.
    pub attempts_left: u32,
    /// The target that is meant, if its id is known.
    pub target: Option<&'job TargetId>,
    /// An id of the attempt that no other attempt has.
    pub attempt_id: &'job str,
}

/// What a target says along with an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerFacts {
    /// It proves that it did not run the request and will not.
    pub is_not_run: bool,
    /// Another target has its address now.
    pub is_other_target: bool,
    /// The answer carries all the marks that a target's own answer has.
    pub is_genuine: bool,
    /// Callers would take its status for the word that the request did not run, which the target has
    /// not said.
    pub lacks_not_run_proof: bool,
    /// Its load.
    pub report: Option<LoadReport>,
    /// Added attempts that are left, if it says so.
    pub attempts_left: Option<u32>,
}

/// What a caller asks who wants to know which entries to use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// The service it wants, where the answer depends on it.
    pub service: Option<ServiceName>,
    /// Where the caller stands.
    pub domain: Option<FailureDomain>,
    /// The region of that place.
    pub region: Option<Region>,
}

/// An entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NamedEntry {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The home that once-only requests sent to it carry.
    pub home: String,
}

/// Header fields, paths and bodies as one kind of deployment spells them.
pub trait Dialect: Send + Sync {
    /// The id that a caller gave its request, for the record.
    fn request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Reads what a caller says.
    ///
    /// # Errors
    ///
    /// [`BadField`] when a field is there and can't be understood.
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerFacts, BadField>;

    /// Writes what is said to a target into the headers of a caller's request. Returns the id that
    /// the answer must carry, if it must carry one.
    fn write_attempt(
        &self,
        headers: &mut HeaderMap,
        facts: &AttemptFacts<'_>,
    ) -> Option<HeaderValue>;

    /// Whether an answer belongs to the request with this id.
    fn is_answer_to(
        &self,
        headers: &HeaderMap,
        id: Option<&HeaderValue>,
        service: &Service,
    ) -> bool;

    /// Reads what a target says.
    fn read_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        service: &Service,
    ) -> AnswerFacts;

    /// Reads what a target asks for with an answer, whatever else is wrong with that.
    fn read_orders(&self, status: StatusCode, headers: &HeaderMap) -> ReceivedOrders;

    /// Prepares a target's answer for the caller whose request had these headers.
    fn pass_answer(&self, request: &HeaderMap, answer: &mut HeaderMap);

    /// Prepares an answer of the entry itself, which says in the product's own fields whether the
    /// request ran and when to come back.
    fn pass_refusal(&self, answer: &mut Response<AnyBody>);

    /// Reads a probe's answer; `None` when it holds no report.
    fn read_probe(&self, headers: &HeaderMap, body: &[u8]) -> Option<LoadReport>;

    /// The id of the target that answered a probe, if it says so.
    fn probed_target(&self, headers: &HeaderMap) -> Option<TargetId>;

    /// The run of the target that answered a probe, if it tells its start.
    fn probed_incarnation(&self, body: &[u8]) -> Option<TargetIncarnation>;

    /// Reads the question which entries to use; `None` when the request asks something else.
    fn read_address_query(&self, uri: &Uri) -> Option<AddressQuery>;

    /// Writes the answer to that question.
    fn write_entries(&self, entries: &[NamedEntry], keep_ms: u64) -> Vec<u8>;

    /// The path at which readiness is asked for.
    fn ready_path(&self) -> &str;
}

/// Where the product's own callers ask which entries to use.
pub(crate) const ADDRESS_PATH: &str = "/.well-known/pinhaven/entries";

/// The product's own dialect.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnDialect;

/// Where readiness is asked for.
const READY_PATH: &str = "/.well-known/pinhaven/ready";

impl Dialect for OwnDialect {
    fn request_id(&self, headers: &HeaderMap) -> Option<String> {
        let id = headers.get(header::REQUEST_ID)?;
        id.to_str().ok().map(ToOwned::to_owned)
    }

    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerFacts, BadField> {
        let deadline_ms =
            header::parse_number(headers, &header::DEADLINE_MS).map_err(|()| BadField {
                reason: "bad_deadline",
                expected: "Pinhaven-Deadline-Ms is a number of milliseconds",
            })?;
        let attempts =
            header::parse_number(headers, &header::ATTEMPTS_LEFT).map_err(|()| BadField {
                reason: "bad_attempts",
                expected: "Pinhaven-Attempts-Left is a whole number",
            })?;
        Ok(CallerFacts {
            deadline_ms,
            attempts_max: attempts.map(|n| u32::try_from(n.max(1)).unwrap_or(u32::MAX)),
        })
    }

    fn write_attempt(
        &self,
        headers: &mut HeaderMap,
        facts: &AttemptFacts<'_>,
    ) -> Option<HeaderValue> {
        headers.insert(header::DEADLINE_MS, facts.left_ms.into());
        headers.insert(header::ATTEMPTS_LEFT, facts.attempts_left.into());
        headers.remove(header::HOME);
        let id = HeaderValue::from_str(facts.attempt_id).ok()?;
        headers.insert(header::REQUEST_ID, id.clone());
        Some(id)
    }

    fn is_answer_to(
        &self,
        headers: &HeaderMap,
        id: Option<&HeaderValue>,
        service: &Service,
    ) -> bool {
        match headers.get(header::REQUEST_ID) {
            Some(echoed) => Some(echoed) == id,
            None => !service.require_echo,
        }
    }

    fn read_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        service: &Service,
    ) -> AnswerFacts {
        let attempts_left = header::parse_number(headers, &header::ATTEMPTS_LEFT)
            .ok()
            .flatten();
        AnswerFacts {
            is_not_run: service.not_run_statuses.contains(&status.as_u16()),
            is_other_target: false,
            is_genuine: true,
            lacks_not_run_proof: false,
            report: load_report::from_headers(headers),
            attempts_left: attempts_left.map(|left| u32::try_from(left).unwrap_or(u32::MAX)),
        }
    }

    fn read_orders(&self, status: StatusCode, headers: &HeaderMap) -> ReceivedOrders {
        let report = load_report::from_headers(headers);
        ReceivedOrders::new(
            report.is_some_and(|report| report.is_draining),
            read_rest(status, headers),
        )
    }

    fn pass_answer(&self, request: &HeaderMap, answer: &mut HeaderMap) {
        answer.remove(header::LOAD_REPORT);
        match request.get(header::REQUEST_ID) {
            Some(id) => answer.insert(header::REQUEST_ID, id.clone()),
            None => answer.remove(header::REQUEST_ID),
        };
        answer.insert(header::RUN, HeaderValue::from_static(RunState::Run.name()));
    }

    fn pass_refusal(&self, _answer: &mut Response<AnyBody>) {}

    fn read_probe(&self, _headers: &HeaderMap, body: &[u8]) -> Option<LoadReport> {
        load_report::from_json(body)
    }

    fn probed_target(&self, _headers: &HeaderMap) -> Option<TargetId> {
        None
    }

    fn probed_incarnation(&self, _body: &[u8]) -> Option<TargetIncarnation> {
        None
    }

    fn read_address_query(&self, uri: &Uri) -> Option<AddressQuery> {
        (uri.path() == ADDRESS_PATH).then(|| {
            let query = uri.query().unwrap_or_default();
            AddressQuery {
                service: query_value(query, "service"),
                domain: query_value(query, "domain"),
                region: query_value(query, "region"),
            }
        })
    }

    fn write_entries(&self, entries: &[NamedEntry], keep_ms: u64) -> Vec<u8> {
        let answer = serde_json::json!({"keep_ms": keep_ms, "entries": entries});
        answer.to_string().into_bytes()
    }

    fn ready_path(&self) -> &str {
        READY_PATH
    }
}

/// The value of a query parameter, if it is there and can be parsed.
pub fn query_value<T: std::str::FromStr>(query: &str, name: &str) -> Option<T> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// When a refusal of the entry tells its caller to come back, in milliseconds.
fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    header::parse_number(headers, &header::RETRY_AFTER_MS)
        .ok()
        .flatten()
}

/// Turns the product's own fields of a refusal into standard ones: 503 where the request did not run,
/// and when to come back in seconds, with fractions.
pub fn use_standard_fields(answer: &mut Response<AnyBody>) {
    let after_ms = retry_after_ms(answer.headers());
    let run = answer.headers_mut().remove(header::RUN);
    answer.headers_mut().remove(header::RETRY_AFTER_MS);
    let is_not_run = run.is_some_and(|run| run == RunState::NotRun.name());
    if is_not_run && answer.status().is_server_error() {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    let Some(after_ms) = after_ms else {
        return;
    };
    let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
}
