//! Names of header fields, and helpers to read and remove them.

use http::HeaderMap;
use http::HeaderName;
use http::header;
use http_body::Body;

/// Remaining time that the sender waits, in milliseconds.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("pinhaven-deadline-ms");
/// Number of attempts that the receiver may still make.
pub(crate) const ATTEMPTS_LEFT: HeaderName = HeaderName::from_static("pinhaven-attempts-left");
/// Home of a once-only request.
pub(crate) const HOME: HeaderName = HeaderName::from_static("pinhaven-home");
/// Sequence number of the caller's sending of a once-only request, starting at 1.
pub(crate) const SENDING: HeaderName = HeaderName::from_static("pinhaven-sending");
/// Whether a request ran: `run`, `not-run` or `unknown`.
pub(crate) const RUN: HeaderName = HeaderName::from_static("pinhaven-run");
/// Time to wait before a retry, in milliseconds; `Retry-After` carries the same time in whole seconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("pinhaven-retry-after-ms");
/// Organisation of the caller, on requests to targets.
pub(crate) const ORGANISATION: HeaderName = HeaderName::from_static("pinhaven-organisation");
/// Key of a once-only request, from the IETF draft "The Idempotency-Key HTTP Header Field".
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id that matches an answer to its request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Load report of a target (ORCA).
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");

/// Fields that apply to one connection and must not be forwarded.
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

/// Removes the fields that apply to one connection, including those that `Connection` lists.
pub(crate) fn remove_connection_fields(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&CONNECTION_FIELDS) {
        headers.remove(name);
    }
}

/// Removes a `Content-Length` that is not the length of `body`, which then decides alone how the message is framed. Returns
/// whether there was one. The field stays with an empty body, where it may be the length that another request would get.
pub(crate) fn remove_wrong_length(headers: &mut HeaderMap, body: &impl Body) -> bool {
    if body.is_end_stream() {
        return false;
    }
    let declared = parse_number(headers, &header::CONTENT_LENGTH);
    if declared == Ok(body.size_hint().exact()) {
        return false;
    }
    headers.remove(header::CONTENT_LENGTH).is_some()
}

/// Returns the value of a field as a number; `Ok(None)` if the field is absent.
///
/// # Errors
///
/// If the field is present and not a number.
pub(crate) fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, ()> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ())?;
    text.trim().parse().map(Some).map_err(|_| ())
}
