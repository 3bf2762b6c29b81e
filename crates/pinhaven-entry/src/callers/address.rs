//! The answer to callers who ask which entries to use.
//!
//! `GET /.well-known/pinhaven/entries?service=NAME&domain=NAME` names the entries of a service, the
//! nearest first, each with the home that once-only requests sent to it carry. `Cache-Control` says how
//! long the answer may be kept.

use crate::entry::Entry;
use crate::watch::counters::Count;
use crate::wire::dialect::AddressQuestion;
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
use pinhaven_bundle::Bundle;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::FailureDomain;
use pinhaven_types::ServiceName;
use serde::Serialize;
use std::sync::Arc;

/// Aim from which two more round trips of some 20 ms are a small part of it, in milliseconds.
const LONG_AIM_MS: u64 = 200;
/// How long answers are kept where all aims are at least that long, in milliseconds. An entry that is lost
/// is noticed after 1 to 2 s; answers that live no longer than that hardly add to it.
const KEEP_SHORT_MS: u64 = 2_000;

#[derive(Serialize)]
struct AddressAnswer {
    service: String,
    version: u64,
    keep_ms: u64,
    entries: Vec<NamedEntry>,
}

/// Answers the question.
pub(crate) fn answer<B>(entry: &Arc<Entry>, request: &Request<B>) -> Response<AnyBody> {
    entry.counters.add(Count::Addresses);
    match find(entry, request) {
        Ok(answer) => to_response(&answer),
        Err(problem) => problem.into_response(),
    }
}

fn find<B>(entry: &Entry, request: &Request<B>) -> Result<AddressAnswer, Problem> {
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
    let named = config.entries_named as usize;
    let rows = members.entries_for(&config.name, domain.as_ref(), named, now);
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

/// The entries that a caller is steered to, those of its failure domain first, and how long it may keep
/// the answer, in milliseconds.
pub(crate) fn select_entries(entry: &Entry, question: &AddressQuestion) -> (Vec<NamedEntry>, u64) {
    let members = entry.members.lock();
    let (region, domain) = (question.region.as_ref(), question.domain.as_ref());
    let rows = members.named_for(region, domain, fastrand::f32, entry.now());
    let keep_ms = keep_ms(entry.snapshot.load().bundle());
    (rows.into_iter().map(named_entry).collect(), keep_ms)
}

/// How long an address answer may be kept, in milliseconds.
///
/// A caller whose answer has run out asks again before its request, which costs it two round trips. One
/// that keeps an answer for long tries entries that are gone, a second each. Where the trips are a small
/// part of every aim, short lives are better.
fn keep_ms(bundle: &Bundle) -> u64 {
    let routes = bundle.hosts.iter().flat_map(|host| &host.paths);
    let shortest_aim_ms = routes.map(|route| route.aim_ms).min();
    match shortest_aim_ms {
        Some(aim_ms) if aim_ms >= LONG_AIM_MS => bundle.address_keep_ms.min(KEEP_SHORT_MS),
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
    let keep = format!("max-age={}", answer.keep_ms / 1_000);
    if let Ok(keep) = HeaderValue::from_str(&keep) {
        headers.insert(http::header::CACHE_CONTROL, keep);
    }
    response
}
