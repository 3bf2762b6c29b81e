//! Names of header fields.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Time that the sender still waits, in milliseconds.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("pinhaven-deadline-ms");
/// Attempts that may be made from here on.
pub(crate) const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("pinhaven-attempts-left");
/// Home of a once-only request.
pub(crate) const HOME: HeaderName = HeaderName::from_static("pinhaven-home");
/// Number of the caller's sending of a once-only request, counted from 1.
pub(crate) const SENDING: HeaderName = HeaderName::from_static("pinhaven-sending");
/// Whether a request ran: `run`, `not-run` or `unknown`.
pub(crate) const RUN: HeaderName = HeaderName::from_static("pinhaven-run");
/// When to come back, in milliseconds; `Retry-After` says the same in seconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("pinhaven-retry-after-ms");
/// Key of a once-only request, from the IETF draft of that name.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id by which an answer is known to belong to its request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// A target's load report (ORCA).
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");

/// Fields that belong to one connection and are not passed on.
const CONNECTION_FIELDS: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the fields that belong to one connection.
pub(crate) fn remove_connection_fields(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_FIELDS) {
        headers.remove(name);
    }
}

/// The value of a field as a number; `Err` when it is there and is none.
pub(crate) fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, ()> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ())?;
    text.trim().parse().map(Some).map_err(|_| ())
}
