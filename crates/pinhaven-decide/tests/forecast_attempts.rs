//! Tests the forecasting policy: hedges and other added attempts.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::report;
use common::driven::service;
use common::driven::service_whose_work_took;
use common::service_with;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::ServiceState;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;
use std::sync::Arc;

#[test]
fn a_repeatable_request_is_hedged_when_its_target_turns_slow() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 3.0);
    let mut driven = Driven::new(&service, true, 1_001);
    assert_eq!(driven.target(0), 0);
    for time_ms in (1_010..1_060).step_by(10) {
        report(&service, 0, time_ms, 9.0);
        report(&service, 1, time_ms, 1.0);
        driven.wait(time_ms);
    }
    assert_eq!(driven.attempts.len(), 2);
    assert_eq!(driven.target(1), 1);
    driven.answer(1, 1_160);
    assert!(
        driven.attempts[0].is_none(),
        "the slower attempt is cancelled"
    );
    assert_eq!(service.counts().hedges, 1);
}

#[test]
fn a_request_is_hedged_only_while_the_budget_has_something_left() {
    for (burst, hedges) in [(1.0, 1), (0.0, 0)] {
        let service = service(2, 4);
        service.set_added_attempt_burst(burst, 0.0);
        report(&service, 0, 1_000, 1.0);
        report(&service, 1, 1_000, 3.0);
        let mut driven = Driven::new(&service, true, 1_001);
        for time_ms in (1_010..1_060).step_by(10) {
            report(&service, 0, time_ms, 9.0);
            report(&service, 1, time_ms, 1.0);
            driven.wait(time_ms);
        }
        assert_eq!(driven.attempts.len(), 1 + hedges, "burst of {burst}");
    }
}

#[test]
fn a_request_that_may_not_be_repeated_is_never_hedged() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 3.0);
    let mut driven = Driven::new(&service, false, 1_001);
    for time_ms in (1_010..2_900).step_by(10) {
        report(&service, 0, time_ms, 9.0);
        report(&service, 1, time_ms, 1.0);
        driven.wait(time_ms);
    }
    assert_eq!(driven.attempts.len(), 1);
    assert!(!driven.request.is_over(), "the only attempt continues");
}

#[test]
fn an_attempt_without_a_connection_is_made_elsewhere_at_no_cost() {
    let service = service(4, 4);
    service.set_added_attempt_burst(0.0, 0.0);
    let mut driven = Driven::with_facts(&service, 1_000, |facts| {
        facts.is_repeatable = false;
        facts.attempts_max = 1;
    });
    let first = driven.target(0);
    for attempt in 0..2 {
        let id = driven.attempts[attempt].take().unwrap().id;
        let outcome = AttemptOutcome::NotSent;
        driven.handle(
            1_300,
            Event::AttemptEnded {
                attempt: id,
                outcome,
            },
        );
    }
    assert_eq!(driven.attempts.len(), 3);
    assert_ne!(driven.target(2), first);
}

/// The added attempts of all entries together stay within the share of the requests plus the bursts of all entries,
/// in any window and for any distribution of the requests over the entries.
#[test]
fn added_attempts_of_all_entries_stay_within_what_they_share() {
    fn stays_within(requests: Vec<u8>) -> bool {
        let entries: Vec<Arc<ServiceState>> = (0..6).map(|_| service(4, 4)).collect();
        for entry in &entries {
            entry.set_added_attempt_burst(4.0, 0.0);
        }
        let mut hedges = 0;
        for (index, at) in requests.iter().enumerate() {
            let entry = &entries[usize::from(*at) % entries.len()];
            let start_ms = 1_000 + index as u64;
            report(entry, 0, start_ms, 1.0);
            for other in 1..4 {
                report(entry, other, start_ms, 3.0);
            }
            let mut driven = Driven::new(entry, true, start_ms);
            report(entry, 0, start_ms + 30, 30.0);
            report(entry, 1, start_ms + 30, 1.0);
            driven.wait(start_ms + 40);
            hedges += driven.attempts.len().saturating_sub(1);
        }
        hedges as f64 <= requests.len() as f64 * 0.2 + 6.0 * 4.0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 6))
        .tests(50)
        .quickcheck(stays_within as fn(Vec<u8>) -> bool);
}

#[test]
fn a_request_whose_attempt_broke_is_sent_to_no_more_targets_than_it_may() {
    let service = service_whose_work_took(100);
    let wide = service_with(
        4,
        json!({"policy": "forecast", "slots": 4, "hedge_budget_percent": 20.0}),
    );
    let service = Arc::new(ServiceState::new(&wide, Some(&service), at_ms(90_000)));
    let mut driven = Driven::with_facts(&service, 100_000, |facts| facts.attempts_max = 2);
    let id = driven.attempts[0].take().unwrap().id;
    let outcome = AttemptOutcome::Broken;
    driven.handle(
        100_005,
        Event::AttemptEnded {
            attempt: id,
            outcome,
        },
    );
    assert_eq!(driven.attempts.len(), 2, "the request is retried");
    driven.wait(101_000);
    assert_eq!(driven.attempts.len(), 2);
}

/// At low load, a target becomes slow about when a request starts there, while another target is idle and fast.
#[test]
fn a_request_that_may_have_begun_at_a_slow_target_is_hedged_while_that_can_be_in_time() {
    for (slowdown, attempts) in [(5.0, 2), (1.0, 1)] {
        let learned = service_whose_work_took(100);
        let fields = json!({"policy": "forecast", "slots": 4, "hedge_budget_percent": 20.0});
        let service = ServiceState::new(&service_with(2, fields), Some(&learned), at_ms(90_000));
        let service = Arc::new(service);
        service.set_added_attempt_burst(4.0, 0.0);
        for target in 0..2 {
            report(&service, target, 99_990, 1.0);
        }
        let mut driven = Driven::new(&service, true, 100_000);
        let started_at = driven.target(0);
        report(&service, started_at, 100_020, slowdown);
        report(&service, 1 - started_at, 100_020, 1.0);
        // Half of the aim has passed, and work that started at usual speed would most likely be done.
        driven.wait(100_150);
        assert_eq!(
            driven.attempts.len(),
            attempts,
            "reported slowdown {slowdown}"
        );
    }
}
