//! Mapping between the facts that an entry works with and their names and forms on the wire.
//!
//! Examples of facts are a caller's deadline and a target's proof that it did not run a request. A [`Dialect`] reads
//! such facts from header fields and writes them there. [`OwnDialect`] uses the product's own names; a deployment whose
//! callers and targets use other names implements its own dialect.

use crate::wire::header;
use crate::wire::load_report;
use crate::wire::rest::ReceivedOrders;
use crate::wire::rest::read_rest;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::AUTHORIZATION;
use http::header::RETRY_AFTER;
use pinhaven_bundle::Service;
use pinhaven_decide::LoadReport;
use pinhaven_decide::RunState;
use pinhaven_runtime::AnyBody;
use pinhaven_types::ApiKey;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::OrganisationName;
use pinhaven_types::Region;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use serde::Serialize;
use std::net::SocketAddr;

/// Limits that a caller sets for its request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerFacts {
    /// Time that the caller waits for an answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Maximum number of attempts for the request.
    pub attempts_max: Option<u32>,
}

/// A header field of a request that can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadField {
    /// Reason of the refusal, in answers and metrics.
    pub reason: &'static str,
    /// Description of the expected value.
    pub expected: &'static str,
}

/// Facts sent to a target with a request.
#[derive(Debug, Clone)]
pub struct AttemptFacts<'job> {
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Maximum number of attempts that downstream services may make.
    pub attempts_left: u32,
    /// Id of the target that the request is sent to, if known.
    pub target: Option<&'job TargetId>,
    /// Unique id of the attempt.
    pub attempt_id: &'job str,
    /// Organisation of the caller, if the version in force lists organisations.
    pub organisation: Option<&'job OrganisationName>,
}

/// Facts that a target sends with an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerFacts {
    /// Whether the answer proves that the target did not run the request and will not run it.
    pub is_not_run: bool,
    /// Whether another target has the target's address now.
    pub is_other_target: bool,
    /// Whether the answer carries all header fields that a target's own answer has.
    pub is_genuine: bool,
    /// Whether callers would conclude from the status that the request did not run, although the answer doesn't prove
    /// it.
    pub lacks_not_run_proof: bool,
    /// Load of the target.
    pub report: Option<LoadReport>,
    /// Number of added attempts that remain for the request, if the answer states one.
    pub attempts_left: Option<u32>,
}

/// A caller's query for the entries that it may use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Service that the caller wants to reach, if the answer depends on the service.
    pub service: Option<ServiceName>,
    /// Failure domain of the caller.
    pub domain: Option<FailureDomain>,
    /// Region of the caller.
    pub region: Option<Region>,
}

/// An entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NamedEntry {
    /// Address at which the entry accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
    /// Home to set in once-only requests sent to the entry.
    pub home: String,
}

/// Header fields, paths and bodies as used by one kind of deployment.
pub trait Dialect: Send + Sync {
    /// Returns the id that the caller gave its request, for the record.
    fn request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Reads the limits that a caller sets.
    ///
    /// # Errors
    ///
    /// [`BadField`] if a field is present and can't be parsed.
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerFacts, BadField>;

    /// Reads the key of a request; `None` if the request has no credentials.
    ///
    /// # Errors
    ///
    /// [`BadField`] if the credentials are not exactly one well-formed key.
    fn read_key(&self, headers: &HeaderMap) -> Result<Option<ApiKey>, BadField> {
        read_bearer_key(headers)
    }

    /// Field in which targets receive the name of the caller's organisation.
    fn organisation_field(&self) -> HeaderName;

    /// Writes the facts of an attempt into the headers of a caller's request. Returns the id that the answer must
    /// carry, if any.
    fn write_attempt(
        &self,
        headers: &mut HeaderMap,
        facts: &AttemptFacts<'_>,
    ) -> Option<HeaderValue>;

    /// Whether an answer belongs to the request with the given id.
    fn is_answer_to(
        &self,
        headers: &HeaderMap,
        id: Option<&HeaderValue>,
        service: &Service,
    ) -> bool;

    /// Reads the facts that a target sends with an answer.
    fn read_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        service: &Service,
    ) -> AnswerFacts;

    /// Reads the directives that a target sends with an answer, even if the answer is invalid otherwise.
    fn read_orders(&self, status: StatusCode, headers: &HeaderMap) -> ReceivedOrders;

    /// Prepares the headers of a target's answer for the caller whose request had the headers `request`.
    fn pass_answer(&self, request: &HeaderMap, answer: &mut HeaderMap);

    /// Prepares a refusal by the entry itself. The refusal states in the product's own fields whether the request ran
    /// and when to retry.
    fn pass_refusal(&self, answer: &mut Response<AnyBody>);

    /// Reads the load report of a probe's answer; `None` if the answer has none.
    fn read_probe(&self, headers: &HeaderMap, body: &[u8]) -> Option<LoadReport>;

    /// Reads for how much longer the target that answered a probe is cold; `None` if the answer does not say.
    fn read_cold(&self, _headers: &HeaderMap) -> Option<Microseconds> {
        None
    }

    /// Returns the id of the target that answered a probe, if the answer states one.
    fn probed_target(&self, headers: &HeaderMap) -> Option<TargetId>;

    /// Returns the incarnation of the target that answered a probe, if the answer states the start of its run.
    fn probed_incarnation(&self, body: &[u8]) -> Option<TargetIncarnation>;

    /// Reads a query for entry addresses; `None` if the request is for something else.
    fn read_address_query(&self, uri: &Uri) -> Option<AddressQuery>;

    /// Serializes the answer to a query for entry addresses, which the caller may cache for `keep_ms`.
    fn write_entries(&self, entries: &[NamedEntry], keep_ms: u64) -> Vec<u8>;

    /// Path of the readiness check.
    fn ready_path(&self) -> &str;
}

/// Path at which the product's own callers query entry addresses.
pub(crate) const ADDRESS_PATH: &str = "/.well-known/pinhaven/entries";

/// Dialect with the product's own names.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnDialect;

/// Path of the readiness check in the product's own dialect.
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

    fn organisation_field(&self) -> HeaderName {
        header::ORGANISATION
    }

    fn write_attempt(
        &self,
        headers: &mut HeaderMap,
        facts: &AttemptFacts<'_>,
    ) -> Option<HeaderValue> {
        headers.insert(header::DEADLINE_MS, facts.left_ms.into());
        headers.insert(header::ATTEMPTS_LEFT, facts.attempts_left.into());
        headers.remove(header::HOME);
        write_organisation(headers, header::ORGANISATION, facts.organisation);
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

/// Reads a key from `Authorization: Bearer KEY` (RFC 6750).
fn read_bearer_key(headers: &HeaderMap) -> Result<Option<ApiKey>, BadField> {
    let bad = BadField {
        reason: "bad_key",
        expected: "the Authorization field is given once and has the form 'Bearer KEY'",
    };
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad);
    }
    let text = value.to_str().map_err(|_| bad)?;
    let (scheme, key) = text.split_once(' ').ok_or(bad)?;
    if !scheme.eq_ignore_ascii_case("Bearer") {
        return Err(bad);
    }
    let key = key.trim_matches(' ').parse().map_err(|_| bad)?;
    Ok(Some(key))
}

/// Writes the name of the caller's organisation, if there is one, in place of anything in its field.
pub fn write_organisation(
    headers: &mut HeaderMap,
    field: HeaderName,
    organisation: Option<&OrganisationName>,
) {
    let name = organisation.and_then(|name| HeaderValue::from_str(name.as_str()).ok());
    if let Some(name) = name {
        headers.insert(field, name);
    }
}

/// Returns the value of a query parameter, if present and valid.
pub fn query_value<T: std::str::FromStr>(query: &str, name: &str) -> Option<T> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Returns the time after which a refusal by the entry asks its caller to retry, in milliseconds.
fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    header::parse_number(headers, &header::RETRY_AFTER_MS)
        .ok()
        .flatten()
}

/// Replaces the product's own fields of a refusal by standard ones: status 503 for a server error if the request did
/// not run, and `Retry-After` in seconds, with fractions.
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
