//! Targets that restart under the same id, as an entry sees them.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::report;
use pinhaven_bundle::Service;
use pinhaven_decide::Event;
use pinhaven_decide::ServiceState;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;

const EARLIER: u64 = 1_764_720_000_000;
const LATER: u64 = EARLIER + 60_000;

/// A service with one target in the given run and listed state.
fn service(incarnation: Option<u64>, state: &str) -> Service {
    let mut target = json!({
        "id": "i-1", "address": "127.0.0.1:9000", "failure_domain": "domain-0", "state": state,
    });
    if let Some(incarnation) = incarnation {
        target["incarnation"] = json!(incarnation);
    }
    with_targets([target])
}

fn with_targets(targets: impl IntoIterator<Item = Value>) -> Service {
    let targets: Vec<Value> = targets.into_iter().collect();
    let service = json!({
        "name": "quote", "hosts": ["quote"], "slots": 6, "typical_ms": 20, "policy": "forecast",
        "targets": targets,
    });
    serde_json::from_value(service).unwrap()
}

/// The state of a service, and its state in a later version.
fn two_versions(before: &Service, after: &Service) -> (Arc<ServiceState>, Arc<ServiceState>) {
    let before = Arc::new(ServiceState::new(before, None, at_ms(0)));
    let next = next_version(&before, after, 1_000);
    (before, next)
}

fn next_version(before: &Arc<ServiceState>, after: &Service, time_ms: u64) -> Arc<ServiceState> {
    Arc::new(ServiceState::new(after, Some(before), at_ms(time_ms)))
}

#[test]
fn nothing_that_was_known_of_an_earlier_run_sticks_to_a_later_one() {
    let before = Arc::new(ServiceState::new(
        &service(Some(EARLIER), "live"),
        None,
        at_ms(0),
    ));
    report(&before, 0, 10, 7.0);
    before.targets()[0].record_peer_in_flight(0, 6);
    before.targets()[0].mark_leaving();
    let after = next_version(&before, &service(Some(LATER), "live"), 1_000);
    let target = &after.targets()[0];
    assert!(!target.is_leaving());
    assert_eq!(target.peers_in_flight(), 0);
    assert_eq!(target.reported_speed(), None);
    assert!(
        before.targets()[0].is_leaving(),
        "requests that began earlier no longer choose it"
    );
}

#[test]
fn a_request_that_ends_at_an_earlier_run_is_not_counted_out_of_the_later_one() {
    let before = Arc::new(ServiceState::new(
        &service(Some(EARLIER), "live"),
        None,
        at_ms(0),
    ));
    let mut at_earlier = Driven::new(&before, false, 10);
    assert_eq!(at_earlier.attempts.len(), 1);
    let after = next_version(&before, &service(Some(LATER), "live"), 1_000);
    assert_eq!(after.targets()[0].in_flight(), 0);
    at_earlier.answer(0, 1_010);
    assert_eq!(after.targets()[0].in_flight(), 0);
    assert_eq!(before.targets()[0].in_flight(), 0);
}

#[test]
fn what_is_known_of_a_run_is_kept_while_it_lasts() {
    let (before, after) = two_versions(
        &service(Some(EARLIER), "live"),
        &service(Some(EARLIER), "live"),
    );
    assert!(Arc::ptr_eq(&before.targets()[0], &after.targets()[0]));
}

/// While new entries are rolled out, lists from entries of older versions, which omit the incarnation, alternate with
/// lists that contain it.
#[test]
fn what_is_known_of_a_run_is_kept_when_a_list_leaves_its_start_out() {
    let (before, without_start) =
        two_versions(&service(Some(EARLIER), "live"), &service(None, "live"));
    let with_start = next_version(&without_start, &service(Some(EARLIER), "live"), 2_000);
    let later = next_version(&without_start, &service(Some(LATER), "live"), 2_000);
    assert!(Arc::ptr_eq(
        &before.targets()[0],
        &without_start.targets()[0]
    ));
    assert!(Arc::ptr_eq(&before.targets()[0], &with_start.targets()[0]));
    assert!(!Arc::ptr_eq(&before.targets()[0], &later.targets()[0]));
}

#[test]
fn a_stale_live_never_revives_a_run_that_left() {
    let (_, after) = two_versions(
        &service(Some(EARLIER), "leaving"),
        &service(Some(EARLIER), "live"),
    );
    assert!(after.targets()[0].is_leaving());
}

/// Operators can reinstate targets that publish no start time.
#[test]
fn a_target_without_a_start_comes_back_as_it_is_listed() {
    let (_, after) = two_versions(&service(None, "leaving"), &service(None, "live"));
    assert!(!after.targets()[0].is_leaving());
}

#[test]
fn the_key_of_a_target_covers_its_run() {
    let key_of = |incarnation| {
        let state = ServiceState::new(&service(incarnation, "live"), None, at_ms(0));
        state.targets()[0].key().unwrap()
    };
    assert_eq!(key_of(Some(EARLIER)), key_of(Some(EARLIER)));
    assert_ne!(key_of(Some(EARLIER)), key_of(Some(LATER)));
    assert_ne!(key_of(Some(EARLIER)), key_of(None));
}

/// Guards against a target that crashes with each request and gets a full share of the work after each start.
#[test]
fn a_target_that_started_again_gets_as_much_work_as_its_answers_earn() {
    let (_, after) = two_versions(
        &service(Some(EARLIER), "live"),
        &service(Some(LATER), "live"),
    );
    let mut first = Driven::new(&after, true, 1_010);
    assert_eq!(first.attempts.len(), 1);
    let mut second = Driven::new(&after, true, 1_010);
    assert!(
        second.attempts.is_empty(),
        "no request has been answered yet"
    );
    first.answer(0, 1_030);
    second.handle(1_030, Event::CapacityFreed);
    let third = Driven::new(&after, true, 1_030);
    assert_eq!((second.attempts.len(), third.attempts.len()), (1, 1));
    let fourth = Driven::new(&after, true, 1_030);
    assert!(
        fourth.attempts.is_empty(),
        "each answer permits one more request"
    );
}

#[test]
fn a_target_that_started_again_at_another_address_has_to_earn_its_share_too() {
    let mut moved = service(Some(LATER), "live");
    moved.targets[0].address = "127.0.0.1:9001".parse().unwrap();
    let (_, after) = two_versions(&service(Some(EARLIER), "live"), &moved);
    let _first = Driven::new(&after, true, 1_010);
    assert!(Driven::new(&after, true, 1_010).attempts.is_empty());
}

/// The list entry of a crashed target lapses before the target is back.
#[test]
fn a_target_that_was_missing_before_it_started_again_has_to_earn_its_share_too() {
    let (_, without_target) = two_versions(&service(Some(EARLIER), "live"), &with_targets([]));
    let after = next_version(&without_target, &service(Some(LATER), "live"), 9_000);
    let _first = Driven::new(&after, true, 9_010);
    assert!(Driven::new(&after, true, 9_010).attempts.is_empty());
    let much_later = next_version(&without_target, &service(Some(LATER), "live"), 90_000);
    let _first = Driven::new(&much_later, true, 90_010);
    assert_eq!(Driven::new(&much_later, true, 90_010).attempts.len(), 1);
}

#[test]
fn a_target_that_started_again_is_cold_for_a_while() {
    let steady = json!({
        "id": "i-2", "incarnation": EARLIER, "address": "127.0.0.1:9001", "failure_domain": "domain-0",
    });
    let with_steady = |incarnation| {
        let mut service = with_targets([steady.clone()]);
        service
            .targets
            .extend(self::service(incarnation, "live").targets);
        service
    };
    let (_, after) = two_versions(&with_steady(Some(EARLIER)), &with_steady(Some(LATER)));
    for _ in 0..20 {
        let driven = Driven::new(&after, true, 1_010);
        assert_eq!(driven.target(0), 0, "work takes longer at a cold target");
    }
}

#[test]
fn a_target_that_is_seen_for_the_first_time_has_nothing_to_earn() {
    let first = ServiceState::new(&service(Some(EARLIER), "live"), None, at_ms(0));
    let first = Arc::new(first);
    let _one = Driven::new(&first, true, 10);
    assert_eq!(Driven::new(&first, true, 10).attempts.len(), 1);
}
