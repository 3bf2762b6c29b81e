//! Answers callers that ask which entries to use.
//!
//! `GET /.well-known/pinhaven/entries?service=NAME&domain=NAME` returns the entries for a service, the
//! nearest first, each with the home that once-only requests sent to the entry carry. The
//! `Cache-Control` header says how long the caller may cache the answer.

use crate::entry::Entry;
use crate::watch::counters::Count;
use crate::wire::dialect::AddressQuery;
use crate::wire::dialect::NamedEntry;
use crate::wire::dialect::query_value;
use crate::wire::problem::Problem;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use pinhaven_agree::Epoch;
use pinhaven_agree::Home;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_bundle::Bundle;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use serde::Serialize;
use std::sync::Arc;

/// Latency objective of which two additional round trips of about 20 ms are a small part, in milliseconds.
const LONG_AIM_MS: u64 = 200;
/// Maximum lifetime of address answers where every latency objective is at least [`LONG_AIM_MS`], in
/// milliseconds. The loss of an entry is detected after 1 to 2 s, and answers that live no longer than
/// that hardly prolong the time in which callers try the lost entry.
const SHORT_LIFETIME_MS: u64 = 2_000;

#[derive(Serialize)]
struct AddressAnswer {
    service: String,
    version: u64,
    keep_ms: u64,
    entries: Vec<NamedEntry>,
}

/// Answers a request for the entries of a service.
pub(crate) fn answer<B>(entry: &Arc<Entry>, request: &Request<B>) -> Response<AnyBody> {
    entry.counters.add(Count::Addresses);
    match find_entries(entry, request) {
        Ok(answer) => to_response(&answer),
        Err(problem) => problem.into_response(),
    }
}

fn find_entries<B>(entry: &Entry, request: &Request<B>) -> Result<AddressAnswer, Problem> {
    if request.method() != Method::GET {
        return Err(Problem::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "bad_method",
            "ask for entries with GET",
        ));
    }
    let query = request.uri().query().unwrap_or_default();
    let service: Option<ServiceName> = query_value(query, "service");
    let domain: Option<FailureDomain> = query_value(query, "domain");
    let snapshot = entry.snapshot.load();
    let config = service
        .as_ref()
        .and_then(|name| snapshot.services.get(name));
    let Some(config) = config else {
        return Err(Problem::not_run(
            StatusCode::NOT_FOUND,
            "unknown_service",
            "name a service of the bundle in the query: ?service=NAME",
        ));
    };
    let config = &config.config;
    let now = entry.now();
    let members = entry.members.lock();
    let entries_max = config.entries_named as usize;
    let rows = members.entries_for(&config.name, domain.as_ref(), entries_max, now);
    record_named(entry, &members, &rows, now);
    if rows.is_empty() {
        return Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_entry",
            "no entry is ready",
        ));
    }
    Ok(AddressAnswer {
        service: config.name.to_string(),
        version: snapshot.version.number(),
        keep_ms: snapshot.bundle().address_keep_ms,
        entries: rows.into_iter().map(named_entry).collect(),
    })
}

/// Selects the entries that a caller is steered to, those of its failure domain first. Returns them with
/// the time for which the caller may cache the answer, in milliseconds.
pub(crate) fn select_entries(entry: &Entry, question: &AddressQuery) -> (Vec<NamedEntry>, u64) {
    let members = entry.members.lock();
    let (region, domain) = (question.region.as_ref(), question.domain.as_ref());
    let now = entry.now();
    let rows = members.named_for(region, domain, fastrand::f32, now);
    record_named(entry, &members, &rows, now);
    let keep_ms = answer_lifetime_ms(entry.snapshot.load().bundle());
    (rows.into_iter().map(named_entry).collect(), keep_ms)
}

/// Records how long each named entry has been silent.
fn record_named(entry: &Entry, members: &Membership, named: &[&MemberRow], now: Microseconds) {
    let silences = named
        .iter()
        .filter_map(|row| members.silence(row.incarnation, now));
    for silence in silences {
        let duration_ms = silence.duration.as_ms() as u64;
        let source = silence.last_source.name();
        entry.named_silences.record(source, "named", duration_ms);
    }
}

/// How long a caller may cache an address answer, in milliseconds.
///
/// A caller whose cached answer has expired asks again before its next request, which costs two round
/// trips. A caller that uses an outdated answer tries lost entries, at a cost of one second each. Short
/// lifetimes are therefore better where the round trips are a small part of every latency objective.
pub(crate) fn answer_lifetime_ms(bundle: &Bundle) -> u64 {
    let routes = bundle.hosts.iter().flat_map(|host| &host.paths);
    let shortest_aim_ms = routes.map(|route| route.aim_ms).min();
    match shortest_aim_ms {
        Some(aim_ms) if aim_ms >= LONG_AIM_MS => bundle.address_keep_ms.min(SHORT_LIFETIME_MS),
        _ => bundle.address_keep_ms,
    }
}

fn named_entry(row: &MemberRow) -> NamedEntry {
    debug_assert_eq!(row.state, MemberState::Ready);
    let home = Home {
        incarnation: row.incarnation,
        epoch: Epoch(row.epoch),
    };
    NamedEntry {
        address: row.caller_address,
        failure_domain: row.failure_domain.clone(),
        home: home.to_string(),
    }
}

fn to_response(answer: &AddressAnswer) -> Response<AnyBody> {
    let body = match serde_json::to_vec(answer) {
        Ok(body) => body,
        Err(error) => {
            return Problem::not_run(
                StatusCode::INTERNAL_SERVER_ERROR,
                "not_written",
                error.to_string(),
            )
            .into_response();
        }
    };
    let mut response = Response::new(whole_body(body));
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let cache_control = format!("max-age={}", answer.keep_ms / 1_000);
    if let Ok(cache_control) = HeaderValue::from_str(&cache_control) {
        headers.insert(http::header::CACHE_CONTROL, cache_control);
    }
    response
}
