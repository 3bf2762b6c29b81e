//! HTTP listeners for readiness, metrics and entry addresses, separate from the listener for requests.
//!
//! The readiness listener also serves the metrics. The directory listener answers callers that ask which
//! entries to use.

use crate::callers::address;
use crate::entry::Entry;
use crate::error::EntryError;
use crate::error::EntryStep;
use crate::listening::listen;
use crate::watch::counters::Count;
use crate::watch::metrics_text;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use pinhaven_agree::MemberState;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use std::future::Future;
use std::sync::Arc;

/// Maximum number of concurrent connections of each listener.
const CONNECTIONS_MAX: usize = 1_000;
/// Maximum idle time of a connection, in milliseconds. Clients ask again within a few seconds, or not for
/// a long time.
const IDLE_MAX_MS: u64 = 6_000;

/// Serves readiness, metrics and entry addresses if the `discovery` settings are present.
///
/// # Errors
///
/// [`EntryError`] if listening at one of the addresses fails.
pub(crate) fn serve_directory(entry: &Arc<Entry>) -> Result<(), EntryError> {
    let Some(discovery) = &entry.settings.discovery else {
        return Ok(());
    };
    let settings = HttpServerSettings {
        idle_ms: IDLE_MAX_MS,
        connections_max: CONNECTIONS_MAX,
        allows_http2: false,
    };
    let ready = listen(
        EntryStep::ListenForReadiness,
        discovery.ready_address,
        settings,
    )?;
    serve(ready, entry, answer_ready);
    let directory = listen(
        EntryStep::ListenForAddresses,
        discovery.directory_address,
        settings,
    )?;
    serve(directory, entry, answer_addresses);
    Ok(())
}

fn serve(
    server: HttpServer,
    entry: &Arc<Entry>,
    answer: fn(&Entry, &Request<Incoming>) -> Response<AnyBody>,
) {
    let entry = Arc::clone(entry);
    spawn(async move {
        let handler = move |request| answer_at_once(Arc::clone(&entry), answer, request);
        server.serve(handler).await;
    })
    .detach();
}

fn answer_at_once(
    entry: Arc<Entry>,
    answer: fn(&Entry, &Request<Incoming>) -> Response<AnyBody>,
    request: Request<Incoming>,
) -> impl Future<Output = Response<AnyBody>> + Send {
    std::future::ready(answer(&entry, &request))
}

fn answer_ready(entry: &Entry, request: &Request<Incoming>) -> Response<AnyBody> {
    if request.uri().path() == metrics_text::PATH {
        return with_status(StatusCode::OK, metrics_text::text(entry));
    }
    let is_known_path = request.uri().path() == entry.dialect.ready_path();
    let status = match entry.state() {
        _ if !is_known_path => StatusCode::NOT_FOUND,
        MemberState::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    with_status(status, Bytes::new())
}

fn answer_addresses(entry: &Entry, request: &Request<Incoming>) -> Response<AnyBody> {
    entry.counters.add(Count::Addresses);
    let Some(question) = entry.dialect.read_address_query(request.uri()) else {
        return with_status(StatusCode::NOT_FOUND, Bytes::new());
    };
    let (entries, keep_ms) = address::select_entries(entry, &question);
    if entries.is_empty() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let body = entry.dialect.write_entries(&entries, keep_ms);
    let mut response = with_status(StatusCode::OK, body);
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

fn with_status(status: StatusCode, body: impl Into<Bytes>) -> Response<AnyBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    response
}
