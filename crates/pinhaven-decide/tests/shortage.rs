//! A service that is short of capacity: which requests get its slots.

mod common;

use common::at_ms;
use common::driven::AIM_MS;
use common::driven::Driven;
use common::driven::service;
use pinhaven_decide::Action;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::OrganisationShare;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use std::sync::Arc;

const TARGETS: u16 = 4;

fn arrive(
    service: &Arc<ServiceState>,
    time_ms: u64,
    change: impl FnOnce(&mut RequestFacts),
) -> Driven {
    let route = Arc::new(RouteState::new(AIM_MS));
    Driven::on_route(service, &route, time_ms, change)
}

fn share(key: u32, weight: f32) -> Option<OrganisationShare> {
    Some(OrganisationShare {
        key,
        weight,
        priority: None,
    })
}

/// A service of four targets with one slot each whose slots are all in use, and the requests that hold them.
fn full_service(organisation: Option<OrganisationShare>) -> (Arc<ServiceState>, Vec<Driven>) {
    let service = service(TARGETS, 1);
    let running = (0..TARGETS).map(|_| {
        let set = |facts: &mut RequestFacts| facts.organisation = organisation;
        arrive(&service, 1_000, set)
    });
    let running: Vec<Driven> = running.collect();
    assert!(running.iter().all(|request| request.attempts.len() == 1));
    (service, running)
}

/// Lets requests arrive and leave every 20 ms, so that the service counts its slots in use.
fn count_slots(service: &Arc<ServiceState>, between_ms: std::ops::Range<u64>) {
    for time_ms in between_ms.step_by(20) {
        arrive(service, time_ms, |_| {}).handle(time_ms, Event::CallerLeft);
    }
}

/// Guards against policies for overloads that take effect at a full moment, or that stay in force afterwards.
#[test]
fn a_service_is_short_while_its_slots_stay_in_use_and_not_for_a_moment() {
    let (service, mut running) = full_service(None);
    count_slots(&service, 1_020..1_060);
    assert!(!service.is_short(), "short after 40 ms");
    count_slots(&service, 1_060..1_600);
    assert!(service.is_short());
    for request in &mut running[..2] {
        request.answer(0, 1_600);
    }
    count_slots(&service, 1_620..2_600);
    assert!(!service.is_short(), "short with half of the slots free");
}

/// Guards against several entries that choose the same free slot: their requests queue at its target.
#[test]
fn only_the_owner_uses_a_target_while_the_service_is_short() {
    let (service, mut running) = full_service(None);
    service.targets()[0].set_owned(true);
    service.refresh_owned();
    count_slots(&service, 1_020..1_600);
    let at_target = |running: &[Driven], target| {
        let holds = |request: &Driven| request.attempts[0].is_some() && request.target(0) == target;
        running.iter().position(holds).unwrap()
    };
    let of_other = at_target(&running, 1);
    running[of_other].answer(0, 1_600);
    let waiting = arrive(&service, 1_600, |_| {});
    assert!(
        waiting.attempts.is_empty(),
        "sent to another entry's target"
    );
    let of_own = at_target(&running[..], 0);
    running[of_own].answer(0, 1_610);
    assert_eq!(arrive(&service, 1_611, |_| {}).attempts.len(), 1);
}

/// Guards against late answers that hold slots which other requests need to meet their aims.
#[test]
fn a_request_that_can_not_meet_its_aim_is_refused_at_once_while_the_service_is_short() {
    let late = |facts: &mut RequestFacts| facts.prior_wait = Microseconds::from_ms(AIM_MS);
    let (service, _running) = full_service(None);
    assert_eq!(arrive(&service, 1_010, late).refusal(), None);
    count_slots(&service, 1_020..1_600);
    let refused = arrive(&service, 1_600, late).refusal();
    assert_eq!(refused, Some(RefusalReason::Overloaded));
    let in_time = arrive(&service, 1_600, |_| {});
    assert!(in_time.step.awaits_capacity);
}

/// Guards against callers that return while the service is still short, or all at the same time.
#[test]
fn refused_callers_return_over_a_time_as_long_as_the_shortage_has_lasted() {
    let late = |facts: &mut RequestFacts| facts.prior_wait = Microseconds::from_ms(AIM_MS);
    let (service, _running) = full_service(None);
    count_slots(&service, 1_020..2_600);
    let delays_ms = (0..20).map(|seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut facts = RequestFacts::new(true, at_ms(4_000));
        late(&mut facts);
        let mut state = RequestState::new(facts).with_route(Arc::new(RouteState::new(AIM_MS)));
        let step = state.handle(&service, at_ms(2_600), &mut random, Event::Arrived);
        match step.actions[..] {
            [Action::Refuse(refusal)] => refusal.retry_after_ms,
            _ => panic!("not refused"),
        }
    });
    let delays_ms: Vec<u64> = delays_ms.collect();
    let (min_ms, max_ms) = (delays_ms.iter().min(), delays_ms.iter().max());
    assert!(
        min_ms > Some(&1_300) && max_ms < Some(&3_000),
        "{delays_ms:?}"
    );
    assert!(
        max_ms > min_ms.map(|min_ms| min_ms + 500).as_ref(),
        "{delays_ms:?}"
    );
}

/// Serves one slot that becomes free to a request of an organisation that has used all slots, while a request of another
/// organisation waits. Returns whether the first organisation got the slot.
fn gets_slot_beside_other(weight: f32, is_short: bool) -> bool {
    let large = share(1, weight);
    let (service, mut running) = full_service(large);
    if is_short {
        count_slots(&service, 1_020..1_600);
    }
    let mut waiting = arrive(&service, 1_600, |facts| facts.organisation = share(2, 1.0));
    assert!(waiting.step.awaits_capacity);
    running[0].answer(0, 1_601);
    let second = arrive(&service, 1_602, |facts| facts.organisation = large);
    if second.attempts.is_empty() {
        let offers = |action: &Action| matches!(action, Action::OfferCapacity);
        assert!(second.step.actions.iter().any(offers));
        waiting.handle(1_603, Event::CapacityFreed);
        assert_eq!(waiting.attempts.len(), 1, "the slot stayed empty");
    }
    second.attempts.len() == 1
}

/// Guards against an organisation that delays others by its excess, and against a division by equal parts.
#[test]
fn an_organisation_beyond_its_share_leaves_free_slots_to_others_while_the_service_is_short() {
    assert!(!gets_slot_beside_other(1.0, true));
    assert!(gets_slot_beside_other(1.0, false), "not short");
    assert!(gets_slot_beside_other(50.0, true), "within its share");
}

/// Guards against the priority of a route that takes precedence over the priority of organisations.
#[test]
fn the_priority_of_organisations_precedes_that_of_routes() {
    let (service, mut running) = full_service(None);
    let with_priorities = |organisation: u8, route: u8| {
        move |facts: &mut RequestFacts| {
            facts.priority = Some(route);
            facts.organisation = Some(OrganisationShare {
                key: u32::from(organisation),
                weight: 1.0,
                priority: Some(organisation),
            });
        }
    };
    let mut urgent = arrive(&service, 1_010, with_priorities(3, 0));
    running[0].answer(0, 1_020);
    let other = arrive(&service, 1_021, with_priorities(1, 3));
    assert!(
        other.attempts.is_empty(),
        "took the slot of a more urgent request"
    );
    urgent.handle(1_022, Event::CapacityFreed);
    assert_eq!(urgent.attempts.len(), 1);
}
