//! Directives of a target, as read from its answers: a rest, and that the target leaves.

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::DATE;
use http::header::RETRY_AFTER;
use httpdate::parse_http_date;
use pinhaven_decide::AnswerOrders;
use pinhaven_types::Microseconds;
use std::time::Duration;
use std::time::SystemTime;

/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;

/// Rest that an answer asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReceivedRest {
    /// Length of the rest; the longest if the answer states several.
    pub duration: Option<Microseconds>,
    /// Whether a field is invalid.
    pub has_bad_field: bool,
}

/// Directives of an answer, and whether all of them are valid.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReceivedOrders {
    /// Directives that are valid.
    pub orders: AnswerOrders,
    /// Whether the answer asks for a rest by an invalid field.
    pub has_bad_rest: bool,
}

impl ReceivedOrders {
    /// Creates the directives of a target. `leaves` says whether the target leaves.
    pub fn new(leaves: bool, rest: ReceivedRest) -> Self {
        Self {
            orders: AnswerOrders {
                leaves,
                rest: rest.duration,
            },
            has_bad_rest: rest.has_bad_field,
        }
    }
}

/// Reads the rest that an answer asks for: `Retry-After` (RFC 9110, 10.2.3) on a 503, either in seconds, optionally
/// with a fraction, or as a date, which is relative to the answer's own `Date`. On any other status the field concerns
/// only the request and asks for no rest.
pub fn read_rest(status: StatusCode, headers: &HeaderMap) -> ReceivedRest {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return ReceivedRest::default();
    }
    let answer_date = headers.get(DATE).and_then(parse_date);
    let mut rest = ReceivedRest::default();
    for value in headers.get_all(RETRY_AFTER) {
        match parse_seconds(value).or_else(|| parse_date_offset(value, answer_date?)) {
            Some(duration) => rest.duration = rest.duration.max(Some(duration)),
            None => rest.has_bad_field = true,
        }
    }
    rest
}

fn parse_seconds(value: &HeaderValue) -> Option<Microseconds> {
    let text = value.to_str().ok()?.trim();
    let is_number = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Some(Microseconds::new((seconds * SECOND_US) as u64))
}

fn parse_date_offset(value: &HeaderValue, answer_date: SystemTime) -> Option<Microseconds> {
    let rest = parse_date(value)?.duration_since(answer_date);
    let rest = rest.unwrap_or(Duration::ZERO);
    Some(Microseconds::new(rest.as_micros() as u64))
}

fn parse_date(value: &HeaderValue) -> Option<SystemTime> {
    parse_http_date(value.to_str().ok()?).ok()
}
