//! What a target asks for, as its answers spell it.

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

/// The rest that an answer asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReceivedRest {
    /// How long; the longest where it says several.
    pub duration: Option<Microseconds>,
    /// Whether a field could not be read.
    pub has_bad_field: bool,
}

/// What an answer asks for, and whether all of it could be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReceivedOrders {
    /// What could be read.
    pub orders: AnswerOrders,
    /// Whether a rest was asked for in a way that can't be read.
    pub has_bad_rest: bool,
}

impl ReceivedOrders {
    /// Of a target that leaves or does not, and asks for a rest.
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

/// Reads the rest that an answer asks for: `Retry-After` (RFC 9110, 10.2.3) on a 503, in seconds, also with a fraction, or
/// as a date, which counts from the answer's own `Date`. On other answers the field speaks of the request alone.
pub fn read_rest(status: StatusCode, headers: &HeaderMap) -> ReceivedRest {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return ReceivedRest::default();
    }
    let dated = headers.get(DATE).and_then(date);
    let mut rest = ReceivedRest::default();
    for value in headers.get_all(RETRY_AFTER) {
        match seconds(value).or_else(|| until(value, dated?)) {
            Some(time) => rest.duration = rest.duration.max(Some(time)),
            None => rest.has_bad_field = true,
        }
    }
    rest
}

fn seconds(value: &HeaderValue) -> Option<Microseconds> {
    let text = value.to_str().ok()?.trim();
    let is_number = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Some(Microseconds::new((seconds * SECOND_US) as u64))
}

fn until(value: &HeaderValue, dated: SystemTime) -> Option<Microseconds> {
    let rest = date(value)?.duration_since(dated);
    let rest = rest.unwrap_or(Duration::ZERO);
    Some(Microseconds::new(rest.as_micros() as u64))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    parse_http_date(value.to_str().ok()?).ok()
}
