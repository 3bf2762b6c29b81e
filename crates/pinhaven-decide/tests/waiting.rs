//! The order in which waiting requests of a route are sent.

mod common;

use common::at_ms;
use common::driven::AIM_MS;
use common::driven::Driven;
use common::driven::service;
use common::state_with;
use pinhaven_decide::Action;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::Step;
use serde_json::json;
use std::sync::Arc;

/// A request of a shared route, with the default facts.
fn arrive(service: &Arc<ServiceState>, route: &Arc<RouteState>, time_ms: u64) -> Driven {
    Driven::on_route(service, route, time_ms, |_| {})
}

fn offers_capacity(step: &Step) -> bool {
    let is_offer = |action: &Action| matches!(action, Action::OfferCapacity);
    step.actions.iter().any(is_offer)
}

/// Guards against a request that is refused after it waited while later ones took each slot that was freed.
#[test]
fn a_request_leaves_a_free_slot_to_one_that_has_waited_longer() {
    let service = service(1, 1);
    let route = Arc::new(RouteState::new(AIM_MS));
    let mut running = arrive(&service, &route, 1_000);
    let mut first = arrive(&service, &route, 1_001);
    let mut second = arrive(&service, &route, 1_002);
    running.answer(0, 1_010);

    let mut later = arrive(&service, &route, 1_011);
    assert!(later.attempts.is_empty(), "a newcomer overtook");
    assert!(offers_capacity(&later.step) && later.step.awaits_capacity);
    second.handle(1_012, Event::CapacityFreed);
    assert!(second.attempts.is_empty(), "a waiting request overtook");
    assert!(offers_capacity(&second.step));

    first.handle(1_013, Event::CapacityFreed);
    assert_eq!(first.attempts.len(), 1);
    first.answer(0, 1_014);
    later.handle(1_015, Event::CapacityFreed);
    assert!(later.attempts.is_empty(), "a later request overtook");
    second.handle(1_016, Event::CapacityFreed);
    second.answer(0, 1_017);
    later.handle(1_018, Event::CapacityFreed);
    assert_eq!(later.attempts.len(), 1);
}

#[test]
fn a_caller_that_was_refused_before_goes_ahead_of_callers_that_came_later() {
    let service = service(1, 1);
    let route = Arc::new(RouteState::new(AIM_MS));
    let mut running = arrive(&service, &route, 1_000);
    let mut newcomer = arrive(&service, &route, 1_005);
    let mut returned = Driven::on_route(&service, &route, 1_006, |facts| {
        facts.prior_wait = Microseconds::from_ms(50);
    });
    running.answer(0, 1_010);
    newcomer.handle(1_011, Event::CapacityFreed);
    assert!(newcomer.attempts.is_empty());
    returned.handle(1_012, Event::CapacityFreed);
    assert_eq!(returned.attempts.len(), 1);
}

/// A slot that is only good enough for a later request must not stay empty.
#[test]
fn a_request_takes_a_slot_that_one_which_has_waited_longer_can_not_use() {
    let service = service(1, 1);
    let route = Arc::new(RouteState::new(AIM_MS));
    let mut running = arrive(&service, &route, 1_000);
    // This caller has waited so long on earlier tries that even the target's usual speed is too slow to meet the aim.
    let waited_ms = AIM_MS * 9 / 10;
    let mut late = Driven::on_route(&service, &route, 1_001, |facts| {
        facts.prior_wait = Microseconds::from_ms(waited_ms);
    });
    assert!(late.attempts.is_empty() && late.step.awaits_capacity);
    running.answer(0, 1_010);
    let newcomer = arrive(&service, &route, 1_011);
    assert_eq!(newcomer.attempts.len(), 1);
    late.handle(1_012, Event::CallerLeft);
}

#[test]
fn requests_of_another_route_and_requests_that_gave_up_hold_nothing_back() {
    let service = service(1, 1);
    let route = Arc::new(RouteState::new(AIM_MS));
    let other_route = Arc::new(RouteState::new(AIM_MS));
    let mut running = arrive(&service, &route, 1_000);
    let _other = arrive(&service, &other_route, 1_001);
    let mut gave_up = arrive(&service, &route, 1_002);
    gave_up.handle(1_003, Event::CallerLeft);
    let mut refused = arrive(&service, &route, 1_004);
    refused.handle(1_005, Event::EntryStopping);
    running.answer(0, 1_010);
    let newcomer = arrive(&service, &route, 1_011);
    assert_eq!(newcomer.attempts.len(), 1);
}

#[test]
fn a_request_at_the_end_of_its_wait_is_not_refused_while_a_slot_is_free() {
    let service = service(1, 1);
    let route = Arc::new(RouteState::new(AIM_MS));
    let mut running = arrive(&service, &route, 1_000);
    let mut waiting = arrive(&service, &route, 1_001);
    // Its caller's first try was earlier, so it goes ahead although it arrived later.
    let _returned = Driven::on_route(&service, &route, 1_030, |facts| {
        facts.prior_wait = Microseconds::from_ms(40);
    });
    waiting.wait(1_050);
    running.answer(0, 1_052);
    waiting.wait(1_061);
    assert_eq!(waiting.refusal(), None);
    assert_eq!(waiting.attempts.len(), 1, "{:?}", waiting.step);
}

/// Guards against a slot that stays empty because the request that it is left to may not examine its target.
#[test]
fn among_many_targets_only_a_slot_that_every_choice_examines_is_left_to_others() {
    let targets = 200;
    let service = service(targets, 1);
    let route = Arc::new(RouteState::new(AIM_MS));
    for target in service.targets() {
        target.record_peer_in_flight(0, 1);
    }
    let waiting = arrive(&service, &route, 1_000);
    assert!(waiting.step.awaits_capacity);

    // Slots of targets that a choice examines by chance. Half of all targets, so that each choice finds one.
    let freed = service.targets().iter().step_by(2);
    freed.for_each(|target| target.record_peer_in_flight(1, 0));
    let finder = arrive(&service, &route, 1_001);
    assert_eq!(finder.attempts.len(), 1);

    // A slot of a target that this entry owns.
    for target in service.targets() {
        target.record_peer_in_flight(0, 1);
    }
    service.targets()[9].set_owned(true);
    service.refresh_owned();
    service.targets()[9].record_peer_in_flight(2, 0);
    let newcomer = arrive(&service, &route, 1_002);
    assert!(newcomer.attempts.is_empty());
    assert!(offers_capacity(&newcomer.step));
}

/// The policy without forecasts limits the requests in flight of the whole service.
#[test]
fn without_forecasts_a_request_leaves_freed_capacity_to_one_that_has_waited_longer() {
    let service = state_with(1, json!({"slots": 4, "entries_named": 1}));
    let route = Arc::new(RouteState::new(AIM_MS));
    let arrive = |time_ms| {
        let facts = RequestFacts::new(true, at_ms(1_000));
        let mut request = RequestState::new(facts).with_route(Arc::clone(&route));
        let mut random = fastrand::Rng::with_seed(3);
        let step = request.handle(&service, at_ms(time_ms), &mut random, Event::Arrived);
        (request, step)
    };
    let mut held = Vec::new();
    let mut first_waiting = loop {
        let (request, step) = arrive(0);
        if step.awaits_capacity {
            break request;
        }
        held.push(step);
    };
    held.pop();
    let (mut later, step) = arrive(1);
    assert!(offers_capacity(&step) && step.awaits_capacity, "{step:?}");
    let mut random = fastrand::Rng::with_seed(3);
    let step = later.handle(&service, at_ms(2), &mut random, Event::CapacityFreed);
    assert!(offers_capacity(&step) && step.awaits_capacity, "{step:?}");
    let step = first_waiting.handle(&service, at_ms(3), &mut random, Event::CapacityFreed);
    assert!(matches!(step.actions[..], [Action::Send(_)]), "{step:?}");
}
