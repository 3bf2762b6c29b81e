//! Calls to the store during an outage, after lost notifications and over slow links.

use pinhaven_agree::RetryBackoff;
use pinhaven_agree::StoreLag;
use pinhaven_agree::pause_after_answer;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;

const OUTAGE: Microseconds = Microseconds::from_ms(3_000);

/// Number of calls that an entry makes during an outage, with the mean jitter.
fn calls_in_outage(rank: u32) -> u32 {
    let mut backoff = RetryBackoff::default();
    let mut elapsed = Microseconds::ZERO;
    let mut calls = 0;
    while elapsed < OUTAGE {
        calls += 1;
        elapsed = elapsed.plus(backoff.next_delay(rank, 0.5));
    }
    calls
}

#[test]
fn the_first_entries_notice_the_return_of_the_store_within_a_second() {
    for rank in 0..8 {
        let mut backoff = RetryBackoff::default();
        for _ in 0..10 {
            assert!(backoff.next_delay(rank, 0.5) <= Microseconds::from_ms(1_000));
        }
    }
}

#[test]
fn the_more_entries_fail_the_less_each_of_the_later_ones_calls() {
    let first = calls_in_outage(0);
    let all: u32 = (0..100).map(calls_in_outage).sum();
    assert!(first >= 4, "{first}");
    assert!(all < 300, "{all} calls of 100 entries in an outage of 3 s");
}

#[test]
fn a_version_that_many_peers_advertise_is_expected_from_the_store_once() {
    let mut lag = StoreLag::default();
    let (third, fourth) = (BundleVersion::new(3), BundleVersion::new(4));
    let expected = (0..50).filter(|_| lag.expect_version(third)).count();
    assert_eq!(expected, 1);
    assert!(lag.lacks(third));
    lag.record_store_version(third);
    assert!(!lag.lacks(third));
    assert!(lag.expect_version(fourth));
    assert!(
        !lag.expect_version(third),
        "a version that the store delivered is not expected"
    );
}

#[test]
fn a_newer_version_from_the_store_stands_for_those_before() {
    let mut lag = StoreLag::default();
    lag.record_store_version(BundleVersion::new(9));
    assert!(!lag.expect_version(BundleVersion::new(8)));
    assert!(!lag.lacks(BundleVersion::new(8)));
}

#[test]
fn a_store_that_fills_the_link_is_asked_again_after_a_while() {
    // (whether the change was already available, transfer time in ms, pause in ms)
    let table = [
        (false, 10, 0),
        (false, 5_000, 0),
        (true, 10, 0),
        (true, 500, 0),
        (true, 1_000, 3_000),
        (true, 5_000, 15_000),
        (true, 20_000, 30_000),
    ];
    for (was_available, transfer_ms, pause_ms) in table {
        let pause = pause_after_answer(was_available, Microseconds::from_ms(transfer_ms));
        assert_eq!(
            pause,
            Microseconds::from_ms(pause_ms),
            "{was_available}, {transfer_ms} ms"
        );
    }
}
