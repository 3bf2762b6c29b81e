//! Parsing of the rest that a target asks for by `Retry-After`.
//!
//! Guards against a rest of the wrong length: from a fraction of a second or a date that is misread, from an invalid
//! field that is taken for a rest or hides a valid field, or from a `Retry-After` on a status where the field concerns
//! only the request.

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::DATE;
use http::header::RETRY_AFTER;
use pinhaven_entry::ReceivedRest;
use pinhaven_entry::read_rest;
use pinhaven_types::Microseconds;

const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
const NOON: &str = "Thu, 03 Dec 2026 12:00:00 GMT";
const TEN_SECONDS_LATER: &str = "Thu, 03 Dec 2026 12:00:10 GMT";

fn with_fields(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_bytes(value).unwrap());
    }
    headers
}

fn read_busy(values: &[&[u8]]) -> ReceivedRest {
    read_rest(BUSY, &with_fields(values))
}

fn ms(count: u64) -> Option<Microseconds> {
    Some(Microseconds::from_ms(count))
}

#[test]
fn seconds_are_read_with_and_without_a_fraction() {
    for (text, rest_ms) in [
        ("3", 3_000),
        ("0.25", 250),
        ("2.5", 2_500),
        ("0", 0),
        (" 7 ", 7_000),
    ] {
        let rest = read_busy(&[text.as_bytes()]);
        assert_eq!(
            (rest.duration, rest.has_bad_field),
            (ms(rest_ms), false),
            "{text}"
        );
    }
}

#[test]
fn a_date_counts_from_the_date_of_the_answer() {
    let mut headers = with_fields(&[TEN_SECONDS_LATER.as_bytes()]);
    assert!(
        read_rest(BUSY, &headers).has_bad_field,
        "the clock of the target is unknown without a Date"
    );
    headers.insert(DATE, HeaderValue::from_static(NOON));
    assert_eq!(read_rest(BUSY, &headers).duration, ms(10_000));
    headers.insert(RETRY_AFTER, HeaderValue::from_static(NOON));
    headers.insert(DATE, HeaderValue::from_static(TEN_SECONDS_LATER));
    assert_eq!(
        read_rest(BUSY, &headers).duration,
        ms(0),
        "the rest is over"
    );
}

#[test]
fn an_invalid_duration_is_ignored_and_reported() {
    let invalid: [&[u8]; 9] = [
        b"",
        b"-3",
        b"+3",
        b"soon",
        b"1e9",
        b"inf",
        b"NaN",
        b"1.2.3",
        b"\xff\xfe",
    ];
    for value in invalid {
        let rest = read_busy(&[value]);
        assert_eq!(
            (rest.duration, rest.has_bad_field),
            (None, true),
            "{value:?}"
        );
    }
}

#[test]
fn the_longest_of_several_counts_and_a_huge_one_is_no_error() {
    let rest = read_busy(&[b"1", b"soon", b"4", b"2"]);
    assert_eq!((rest.duration, rest.has_bad_field), (ms(4_000), true));
    let huge = "9".repeat(400);
    assert!(read_busy(&[huge.as_bytes()]).duration > ms(1_000_000_000));
}

#[test]
fn on_any_other_status_the_field_asks_for_no_rest() {
    let headers = with_fields(&[b"3"]);
    for status in [200, 202, 301, 429, 500, 502] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(read_rest(status, &headers), ReceivedRest::default());
    }
}
