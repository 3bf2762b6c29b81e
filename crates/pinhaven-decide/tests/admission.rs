//! Admission: when a request is sent, when it waits at the entry and when it is refused.
//!
//! The tests guard against requests that wait until their deadline instead of being refused early, capacity that is
//! lost when a request ends, and refused callers that all retry at the same time.

mod common;

use common::Driven;
use common::at_ms;
use common::good;
use common::state_with;
use pinhaven_decide::Event;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;

fn arrive(service: &Arc<ServiceState>, facts: RequestFacts) -> (Driven, common::Outcome) {
    let mut driven = Driven::new(service, facts);
    let outcome = driven.handle(0, Event::Arrived);
    (driven, outcome)
}

#[test]
fn a_request_whose_deadline_has_passed_is_refused_as_not_run() {
    let service = state_with(3, json!({}));
    let (_, outcome) = arrive(&service, RequestFacts::new(true, at_ms(0)));
    let refusal = outcome.refused.unwrap();
    assert_eq!(refusal.reason, RefusalReason::DeadlinePast);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn a_busy_entry_refuses_low_priorities_first() {
    // (priority, utilization of the entry, whether the request is refused)
    let table = [
        (0, 0.5, false),
        (0, 0.7, true),
        (1, 0.7, false),
        (2, 0.9, true),
        (3, 0.99, false),
        (3, 1.0, true),
    ];
    for (priority, entry_utilization, is_refused) in table {
        let service = state_with(3, json!({"priority": priority}));
        let mut facts = RequestFacts::new(true, at_ms(1_000));
        facts.entry_utilization = entry_utilization;
        let (_held, outcome) = arrive(&service, facts);
        let reason = outcome.refused.map(|refusal| refusal.reason);
        let expected = is_refused.then_some(RefusalReason::EntryFull);
        assert_eq!(
            reason, expected,
            "priority {priority} at {entry_utilization}"
        );
    }
}

/// Sends requests until no further one is sent; returns the requests in flight.
fn fill(service: &Arc<ServiceState>) -> Vec<Driven> {
    let mut held = Vec::new();
    loop {
        let (mut driven, outcome) = arrive(service, RequestFacts::new(true, at_ms(1_000)));
        if outcome.sent == 0 {
            driven.handle(0, Event::CallerLeft);
            return held;
        }
        held.push(driven);
    }
}

#[test]
fn a_request_that_finds_no_place_waits_and_is_sent_when_one_is_freed() {
    let service = state_with(1, json!({"slots": 4, "entries_named": 1}));
    let mut held = fill(&service);
    let (mut waiting, outcome) = arrive(&service, RequestFacts::new(true, at_ms(1_000)));
    assert!(outcome.awaits_capacity, "{outcome:?}");
    held.pop();
    let outcome = waiting.handle(5, Event::CapacityFreed);
    assert_eq!(outcome.sent, 1);
}

#[test]
fn a_wait_ends_in_a_refusal_long_before_the_deadline() {
    let service = state_with(1, json!({"slots": 4, "entries_named": 1}));
    let _held = fill(&service);
    let (mut waiting, outcome) = arrive(&service, RequestFacts::new(true, at_ms(1_000)));
    let wake_at = outcome.wake_at.unwrap();
    assert!(wake_at <= at_ms(200), "{wake_at}");
    let refusal = waiting.handle(200, Event::TimerFired).refused.unwrap();
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert_eq!(service.waiting(), 0);
}

#[test]
fn a_request_that_can_not_wait_is_refused_at_once() {
    let service = state_with(1, json!({"slots": 4, "entries_named": 1}));
    let _held = fill(&service);
    let mut waiting = Vec::new();
    let refusal = loop {
        let (driven, outcome) = arrive(&service, RequestFacts::new(true, at_ms(1_000)));
        if let Some(refusal) = outcome.refused {
            break refusal;
        }
        waiting.push(driven);
        assert!(waiting.len() < 1_000);
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let (_, outcome) = arrive(&service, RequestFacts::new(true, at_ms(10)));
    assert_eq!(outcome.refused.unwrap().reason, RefusalReason::NoTimeLeft);
}

#[test]
fn a_caller_that_leaves_gives_its_place_back() {
    let service = state_with(1, json!({"slots": 4, "entries_named": 1}));
    let mut held = fill(&service);
    let (mut waiting, _) = arrive(&service, RequestFacts::new(true, at_ms(1_000)));
    assert_eq!(service.waiting(), 1);
    waiting.handle(1, Event::CallerLeft);
    assert_eq!(service.waiting(), 0);
    let before = service.in_flight();
    held[0].handle(1, Event::CallerLeft);
    assert_eq!(service.in_flight(), before - 1);
}

#[test]
fn refused_callers_are_sent_away_for_different_times() {
    let service = state_with(1, json!({"slots": 4, "entries_named": 1}));
    let _held = fill(&service);
    let times: BTreeSet<u64> = (0..50)
        .filter_map(|seed| {
            let mut driven = Driven::new(&service, RequestFacts::new(true, at_ms(10)));
            driven.random = fastrand::Rng::with_seed(seed);
            let refusal = driven.handle(0, Event::Arrived).refused?;
            Some(refusal.retry_after_ms)
        })
        .collect();
    assert!(times.len() > 25, "{times:?}");
    assert!(times.first().unwrap() * 2 <= times.last().unwrap() * 3);
}

#[test]
fn long_queues_shrink_the_limit_and_room_lets_it_grow() {
    let service = state_with(10, json!({"entries_named": 1}));
    let first = service.in_flight_limit();
    answer_many(&service, 200, 12);
    let shrunk = service.in_flight_limit();
    assert!(shrunk < first * 0.6, "{first} to {shrunk}");
    answer_many(&service, 2_000, 0);
    assert!(service.in_flight_limit() > shrunk * 1.5);
}

/// Keeps the limit in use while requests are answered with `waiting` requests in the report.
fn answer_many(service: &Arc<ServiceState>, count: u32, waiting: u32) {
    let mut held = Vec::new();
    for _ in 0..count {
        let (driven, outcome) = arrive(service, RequestFacts::new(true, at_ms(1_000)));
        if outcome.sent == 0 {
            let Some(mut oldest) = (!held.is_empty()).then(|| held.remove(0)) else {
                continue;
            };
            let oldest: &mut Driven = &mut oldest;
            oldest.end(20, 0, good(6, waiting));
            continue;
        }
        held.push(driven);
    }
}
