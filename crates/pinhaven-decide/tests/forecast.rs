//! Tests the forecasting policy: which target a request goes to, and when it waits or is refused.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::LONG_AIM_MS;
use common::driven::SHORT_AIM_MS;
use common::driven::report;
use common::driven::service;
use common::service_with;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;

#[test]
fn a_request_goes_to_the_target_that_reports_a_usual_speed() {
    let service = service(3, 4);
    for (target, slowdown) in [7.0, 1.0, 7.0].into_iter().enumerate() {
        report(&service, target, 1_000, slowdown);
    }
    for _ in 0..20 {
        let driven = Driven::new(&service, true, 1_010);
        assert_eq!(driven.target(0), 1);
    }
}

#[test]
fn an_old_report_counts_for_little() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 7.0);
    report(&service, 1, 1_000, 1.0);
    report(&service, 0, 9_000, 1.5);
    // The report of the other target is eight seconds old and says nothing about its present speed.
    let driven = Driven::new(&service, true, 9_010);
    assert_eq!(driven.target(0), 0);
}

#[test]
fn an_entry_without_recent_speed_reports_sends_and_does_not_refuse() {
    let service = service(3, 4);
    // All targets were slow long ago, with a mean slowdown of three.
    for time_ms in (0..20_000).step_by(20) {
        for target in 0..3 {
            report(&service, target, time_ms, 3.0);
        }
    }
    let driven = Driven::new(&service, true, 30_000);
    assert_eq!(driven.attempts.len(), 1);
    // With recent reports of the slowdown, a request waits for a target to become fast.
    for target in 0..3 {
        report(&service, target, 30_000, 3.0);
    }
    let driven = Driven::new(&service, true, 30_001);
    assert_eq!(driven.attempts.len(), 0);
}

#[test]
fn an_entry_knows_its_own_targets_among_many() {
    let service = service(600, 4);
    for target in [7, 300, 599] {
        service.targets()[target].set_owned(true);
    }
    service.refresh_owned();
    for _ in 0..20 {
        let driven = Driven::new(&service, true, 1_000);
        assert!([7, 300, 599].contains(&driven.target(0)));
    }
}

#[test]
fn requests_of_other_entries_take_slots_too() {
    let service = service(2, 4);
    service.targets()[0].record_peer_in_flight(0, 4);
    for _ in 0..10 {
        let driven = Driven::new(&service, true, 1_000);
        assert_eq!(driven.target(0), 1);
    }
    service.targets()[0].record_peer_in_flight(4, 0);
    service.targets()[1].record_peer_in_flight(0, 4);
    let driven = Driven::new(&service, true, 1_000);
    assert_eq!(driven.target(0), 0);
}

#[test]
fn a_request_without_a_slot_waits_for_a_short_share_of_its_aim_and_is_refused() {
    let service = service(1, 1);
    let _running = Driven::new(&service, true, 1_000);
    let mut waiting = Driven::new(&service, true, 1_000);
    assert!(waiting.attempts.is_empty());
    assert!(waiting.step.awaits_capacity);
    assert_eq!(service.waiting(), 1);
    waiting.wait(1_040);
    assert_eq!(waiting.refusal(), None);
    waiting.wait(1_075);
    assert_eq!(waiting.refusal(), Some(RefusalReason::Overloaded));
    assert_eq!(service.waiting(), 0);
}

#[test]
fn freed_capacity_goes_to_the_more_urgent_request() {
    let service = service(1, 1);
    let mut running = Driven::new(&service, true, 1_000);
    let priority = |priority| move |facts: &mut RequestFacts| facts.priority = Some(priority);
    let mut low = Driven::with_facts(&service, 1_000, priority(1));
    let mut high = Driven::with_facts(&service, 1_000, priority(2));
    running.answer(0, 1_010);
    low.handle(1_010, Event::CapacityFreed);
    assert!(
        low.attempts.is_empty(),
        "the more urgent request still waits"
    );
    high.handle(1_010, Event::CapacityFreed);
    assert_eq!(high.attempts.len(), 1);
}

/// Guards against refused callers that come back late after a burst and hold freed slots back from the requests that
/// could still be in time.
#[test]
fn a_late_request_of_a_higher_priority_holds_back_no_slot_that_it_may_not_take() {
    let service = service(1, 1);
    let mut running = Driven::new(&service, true, 1_000);
    let late = Driven::with_aim(&service, 1_000, SHORT_AIM_MS, |facts| {
        facts.priority = Some(2);
        facts.prior_wait = Microseconds::from_ms(SHORT_AIM_MS + 100);
    });
    assert!(late.step.awaits_capacity);
    let mut in_time = Driven::with_aim(&service, 1_000, SHORT_AIM_MS, |facts| {
        facts.priority = Some(1);
    });
    assert!(in_time.step.awaits_capacity);
    assert_eq!(service.waiting(), 2);
    running.answer(0, 1_010);
    in_time.handle(1_010, Event::CapacityFreed);
    assert_eq!(in_time.attempts.len(), 1);
    assert_eq!(service.waiting(), 1);
}

#[test]
fn a_request_that_can_only_be_late_takes_no_slot_that_others_need() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 7.0);
    service.targets()[0].record_peer_in_flight(0, 3);
    // The caller has waited for longer than the aim, on earlier failed attempts.
    let late = Driven::with_aim(&service, 1_010, SHORT_AIM_MS, |facts| {
        facts.prior_wait = Microseconds::from_ms(SHORT_AIM_MS + 100);
    });
    assert_eq!(late.target(0), 1);
    let in_time = Driven::with_aim(&service, 1_010, SHORT_AIM_MS, |_| {});
    assert_eq!(in_time.target(0), 0);
}

#[test]
fn a_late_request_of_long_work_does_not_fill_a_slow_target_until_it_is_fast_again() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 7.0);
    service.targets()[0].record_peer_in_flight(0, 3);
    // A target stays slow for about 500 ms, in which it would do a fourth of this work.
    let late = Driven::with_aim(&service, 1_010, LONG_AIM_MS, |facts| {
        facts.prior_wait = Microseconds::from_ms(LONG_AIM_MS + 100);
        facts.deadline = at_ms(9_000);
    });
    assert!(
        late.attempts.is_empty(),
        "the work would be done after the target is fast again"
    );
    // While the fast target has enough free slots, a late request delays no other request.
    service.targets()[0].record_peer_in_flight(3, 0);
    let late = Driven::with_aim(&service, 1_020, LONG_AIM_MS, |facts| {
        facts.prior_wait = Microseconds::from_ms(LONG_AIM_MS + 100);
        facts.deadline = at_ms(9_000);
    });
    assert_eq!(late.target(0), 0);
}

#[test]
fn an_entry_goes_to_targets_of_its_own_first() {
    let service = service(3, 4);
    service.targets()[2].set_owned(true);
    service.refresh_owned();
    for target in 0..3 {
        report(&service, target, 1_000, 1.0);
    }
    for _ in 0..20 {
        let driven = Driven::new(&service, true, 1_001);
        assert_eq!(driven.target(0), 2);
    }
    // A slightly better forecast of another entry's target doesn't outweigh the ownership, a much better one does.
    report(&service, 2, 1_010, 3.0);
    let driven = Driven::new(&service, true, 1_011);
    assert_ne!(driven.target(0), 2);
}

#[test]
fn a_request_that_began_before_a_target_was_removed_does_not_go_there_any_more() {
    let two = service_with(2, json!({"policy": "forecast", "slots": 4}));
    let before = Arc::new(ServiceState::new(&two, None, at_ms(0)));
    let mut request = Driven::new(&before, true, 1_000);
    // The next list lacks the target to which the request was not sent.
    let mut one = two.clone();
    one.targets.remove(1 - request.target(0));
    let after = ServiceState::new(&one, Some(&before), at_ms(1_010));
    assert_eq!(after.targets().len(), 1);
    let outcome = AttemptOutcome::Shed { report: None };
    let id = request.attempts[0].take().unwrap().id;
    request.handle(
        1_020,
        Event::AttemptEnded {
            attempt: id,
            outcome,
        },
    );
    assert_eq!(
        request.attempts.len(),
        1,
        "there is no target for a second attempt"
    );
}

/// Load after an outage of all entries: callers of the last seconds retry at once with an entry that has learned
/// nothing yet.
#[test]
fn the_last_slots_stay_empty_in_the_first_second_of_an_entry() {
    for (age_ms, sent) in [(100, 2), (2_000, 3)] {
        let service = service(1, 3);
        report(&service, 0, age_ms, 1.0);
        let concurrent: Vec<Driven> = (0..3)
            .map(|_| Driven::new(&service, true, age_ms))
            .collect();
        let at_target = concurrent
            .iter()
            .filter(|driven| !driven.attempts.is_empty());
        assert_eq!(at_target.count(), sent, "{age_ms} ms old");
    }
}
