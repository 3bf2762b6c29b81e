//! The forecasting policy: where a request goes, and when it waits or is refused.

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
fn a_request_goes_to_the_target_that_says_it_is_fast() {
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
    // The other's report is eight seconds old; it may be anything by now.
    let driven = Driven::new(&service, true, 9_010);
    assert_eq!(driven.target(0), 0);
}

#[test]
fn an_entry_that_was_told_of_no_speed_lately_sends_and_does_not_refuse() {
    let service = service(3, 4);
    // All were slow once, long ago; on average they are three times as slow as usual.
    for time_ms in (0..20_000).step_by(20) {
        for target in 0..3 {
            report(&service, target, time_ms, 3.0);
        }
    }
    let driven = Driven::new(&service, true, 30_000);
    assert_eq!(driven.attempts.len(), 1);
    // While that is known it waits for one to turn fast.
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
    let _holder = Driven::new(&service, true, 1_000);
    let mut waiting = Driven::new(&service, true, 1_000);
    assert!(waiting.attempts.is_empty());
    assert!(waiting.step.wants_place);
    assert_eq!(service.waiting(), 1);
    waiting.wait(1_040);
    assert_eq!(waiting.refusal(), None);
    waiting.wait(1_075);
    assert_eq!(waiting.refusal(), Some(RefusalReason::Overloaded));
    assert_eq!(service.waiting(), 0);
}

#[test]
fn a_freed_place_goes_to_the_more_urgent_request() {
    let service = service(1, 1);
    let mut holder = Driven::new(&service, true, 1_000);
    let priority = |priority| move |facts: &mut RequestFacts| facts.priority = Some(priority);
    let mut low = Driven::with_facts(&service, 1_000, priority(1));
    let mut high = Driven::with_facts(&service, 1_000, priority(2));
    holder.answer(0, 1_010);
    low.handle(1_010, Event::PlaceFreed);
    assert!(low.attempts.is_empty(), "the more urgent one still waits");
    high.handle(1_010, Event::PlaceFreed);
    assert_eq!(high.attempts.len(), 1);
}

#[test]
fn a_request_that_can_only_be_late_takes_no_slot_that_others_need() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 7.0);
    service.targets()[0].record_peer_in_flight(0, 3);
    // Its caller has waited for longer than the aim, on tries that failed.
    let late = Driven::with_aim(&service, 1_010, SHORT_AIM_MS, |facts| {
        facts.waited = Microseconds::from_ms(SHORT_AIM_MS + 100);
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
    // A target is slow for some 500 ms, in which it would do a fourth of this work.
    let late = Driven::with_aim(&service, 1_010, LONG_AIM_MS, |facts| {
        facts.waited = Microseconds::from_ms(LONG_AIM_MS + 100);
        facts.deadline = at_ms(9_000);
    });
    assert!(late.attempts.is_empty(), "its work would be done later");
    // While others have room enough, nobody is harmed.
    service.targets()[0].record_peer_in_flight(3, 0);
    let late = Driven::with_aim(&service, 1_020, LONG_AIM_MS, |facts| {
        facts.waited = Microseconds::from_ms(LONG_AIM_MS + 100);
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
    // What is a little better elsewhere does not count, what is much better does.
    report(&service, 2, 1_010, 3.0);
    let driven = Driven::new(&service, true, 1_011);
    assert_ne!(driven.target(0), 2);
}

#[test]
fn a_request_that_began_before_a_target_was_gone_does_not_go_there_any_more() {
    let two = service_with(2, json!({"policy": "forecast", "slots": 4}));
    let before = Arc::new(ServiceState::new(&two, None, at_ms(0)));
    let mut request = Driven::new(&before, true, 1_000);
    // Wherever it went, the other target is missing from the next list.
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

/// Load after an outage of all entries: the callers of some seconds return at once to an entry that knows
/// nothing yet.
#[test]
fn the_last_slots_stay_empty_in_the_first_second_of_an_entry() {
    for (age_ms, sent) in [(100, 2), (2_000, 3)] {
        let service = service(1, 3);
        report(&service, 0, age_ms, 1.0);
        let together: Vec<Driven> = (0..3)
            .map(|_| Driven::new(&service, true, age_ms))
            .collect();
        let at_target = together.iter().filter(|driven| !driven.attempts.is_empty());
        assert_eq!(at_target.count(), sent, "{age_ms} ms old");
    }
}
