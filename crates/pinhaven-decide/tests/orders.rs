//! Orders that targets send with their answers: to leave, or to rest.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::report;
use common::driven::service;
use common::state_with;
use pinhaven_bundle::Service;
use pinhaven_decide::Action;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::Refusal;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::TargetClosed;
use serde_json::json;
use std::sync::Arc;

const EARLIER: u64 = 1_764_720_000_000;
const LATER: u64 = EARLIER + 60_000;
const LEAVES: AnswerOrders = AnswerOrders {
    leaves: true,
    rest: None,
};

const POLICIES: [&str; 6] = [
    "random",
    "round_robin",
    "least_in_flight",
    "two_choices",
    "pinhaven",
    "forecast",
];

fn rest_of(rest_ms: u64) -> AnswerOrders {
    AnswerOrders {
        leaves: false,
        rest: Some(Microseconds::from_ms(rest_ms)),
    }
}

/// Makes some targets ask for a rest at `time_ms`.
fn rest(service: &ServiceState, targets: &[usize], time_ms: u64, rest_ms: u64) {
    for target in targets {
        service.targets()[*target].record_orders(&rest_of(rest_ms), at_ms(time_ms));
    }
}

fn refusal_of(request: &Driven) -> Refusal {
    match request.step.actions.as_slice() {
        [Action::Refuse(refusal)] => *refusal,
        other => panic!("no refusal: {other:?}"),
    }
}

fn shed() -> AttemptOutcome {
    AttemptOutcome::Shed { report: None }
}

fn end(request: &mut Driven, attempt: usize, time_ms: u64, outcome: AttemptOutcome) {
    let attempt = request.attempts[attempt].take().unwrap().id;
    request.handle(time_ms, Event::AttemptEnded { attempt, outcome });
}

/// The service without any target.
fn empty_list() -> Service {
    let mut service = listed(EARLIER);
    service.targets.clear();
    service
}

/// A service with one target in the given run.
fn listed(incarnation: u64) -> Service {
    let service = json!({
        "name": "quote", "hosts": ["quote"], "slots": 6, "policy": "forecast",
        "targets": [{
            "id": "i-1", "address": "127.0.0.1:9000", "failure_domain": "domain-0",
            "incarnation": incarnation,
        }],
    });
    serde_json::from_value(service).unwrap()
}

fn state_of(service: &Service, previous: Option<&ServiceState>, time_ms: u64) -> Arc<ServiceState> {
    Arc::new(ServiceState::new(service, previous, at_ms(time_ms)))
}

#[test]
fn a_target_that_says_that_it_leaves_is_chosen_no_more() {
    let service = service(2, 4);
    let changes = service.targets()[0].record_orders(&LEAVES, at_ms(0));
    assert!(changes.leaves);
    let repeated = service.targets()[0].record_orders(&LEAVES, at_ms(5));
    assert!(!repeated.leaves, "a repeated order is not a change");
    for time_ms in 10..30 {
        let request = Driven::new(&service, true, time_ms);
        assert_eq!(request.target(0), 1);
        report(&service, 0, time_ms, 1.0);
    }
}

#[test]
fn no_later_list_that_names_a_target_as_live_outweighs_its_own_word() {
    let first = state_of(&listed(EARLIER), None, 0);
    first.targets()[0].record_orders(&LEAVES, at_ms(10));
    let mut updated = listed(EARLIER);
    updated.slots = 5;
    let second = state_of(&updated, Some(&first), 1_000);
    assert!(second.targets()[0].is_leaving());
    let restarted = state_of(&listed(LATER), Some(&second), 2_000);
    assert!(
        !restarted.targets()[0].is_leaving(),
        "a later run has its own orders"
    );
}

#[test]
fn a_target_that_rests_is_chosen_by_no_policy() {
    for policy in POLICIES {
        let service = state_with(3, json!({"policy": policy}));
        rest(&service, &[0, 2], 0, 3_000);
        let mut random = fastrand::Rng::with_seed(4);
        for time_ms in 1..40 {
            let facts = RequestFacts::new(true, at_ms(time_ms + 2_000));
            let mut request = RequestState::new(facts);
            let step = request.handle(&service, at_ms(time_ms), &mut random, Event::Arrived);
            for action in step.actions {
                if let Action::Send(attempt) = action {
                    let address = attempt.target.address();
                    assert_eq!(address, service.targets()[1].address(), "{policy}");
                }
            }
        }
    }
}

#[test]
fn neither_a_retry_nor_a_hedge_goes_to_a_target_that_rests() {
    let service = service(3, 4);
    let mut retried = Driven::new(&service, false, 0);
    let first = retried.target(0);
    let others: Vec<usize> = (0..3).filter(|target| *target != first).collect();
    rest(&service, &others, 1, 3_000);
    end(&mut retried, 0, 2, shed());
    let refusal = refusal_of(&retried);
    assert_eq!(refusal.run_state, RunState::NotRun);
    for (is_resting, attempts) in [(false, 2), (true, 1)] {
        let service = self::service(2, 4);
        let mut hedged = Driven::new(&service, true, 0);
        let holder = hedged.target(0);
        if is_resting {
            rest(&service, &[1 - holder], 1, 3_000);
        }
        report(&service, holder, 20, 9.0);
        hedged.wait(290);
        assert_eq!(hedged.attempts.len(), attempts, "rests: {is_resting}");
    }
}

#[test]
fn a_request_whose_target_closes_before_it_is_sent_goes_elsewhere_and_nobody_is_blamed() {
    let service = service(2, 4);
    let mut request = Driven::new(&service, false, 0);
    let first = request.target(0);
    rest(&service, &[first], 1, 3_000);
    end(&mut request, 0, 2, AttemptOutcome::TargetClosed);
    assert_eq!(request.target(1), 1 - first);
    assert_eq!(
        service.counts().retries,
        0,
        "takes nothing from the retry budget"
    );
    rest(&service, &[1 - first], 3, 2_000);
    end(&mut request, 1, 3, AttemptOutcome::TargetClosed);
    let refusal = refusal_of(&request);
    assert_eq!(refusal.reason, RefusalReason::Resting);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert_eq!(refusal.retry_after_ms, 2_000);
}

#[test]
fn a_longer_rest_extends_a_shorter_one_and_never_the_reverse() {
    let service = service(1, 4);
    let target = &service.targets()[0];
    let until_ms = |time_ms| target.rests_until(at_ms(time_ms));
    assert!(
        target
            .record_orders(&rest_of(3_000), at_ms(0))
            .rests_until
            .is_some()
    );
    assert!(
        target
            .record_orders(&rest_of(200), at_ms(100))
            .rests_until
            .is_none()
    );
    assert_eq!(until_ms(1_000), Some(at_ms(3_000)));
    target.record_orders(&rest_of(3_000), at_ms(2_000));
    let until = at_ms(5_000);
    assert_eq!(
        target.send_permit(at_ms(4_999)).unwrap_err(),
        TargetClosed::Resting { until }
    );
    assert!(target.send_permit(at_ms(5_000)).is_ok());
}

#[test]
fn after_its_rest_a_target_gets_more_only_as_it_answers() {
    let service = service(1, 6);
    rest(&service, &[0], 0, 1_000);
    let mut first = Driven::new(&service, true, 1_000);
    assert_eq!(first.attempts.len(), 1);
    let mut second = Driven::new(&service, true, 1_001);
    assert!(
        second.attempts.is_empty(),
        "the second request waits for the first answer"
    );
    first.answer(0, 1_030);
    second.wait(1_050);
    let third = Driven::new(&service, true, 1_051);
    assert_eq!((second.attempts.len(), third.attempts.len()), (1, 1));
}

#[test]
fn while_all_targets_rest_callers_are_told_at_once_when_the_first_rest_ends_and_not_all_the_same() {
    for policy in POLICIES {
        let service = state_with(2, json!({"policy": policy}));
        rest(&service, &[0], 0, 5_000);
        rest(&service, &[1], 0, 3_000);
        let delays_ms: Vec<u64> = (0..20)
            .map(|number| {
                let refusal = refusal_of(&Driven::new(&service, number % 2 == 0, 1_000));
                assert_eq!(refusal.reason, RefusalReason::Resting, "{policy}");
                assert_eq!(refusal.run_state, RunState::NotRun);
                refusal.retry_after_ms
            })
            .collect();
        assert_eq!(delays_ms[0], 2_000, "{policy}");
        assert!(
            delays_ms.is_sorted() && delays_ms[19] > delays_ms[0],
            "{policy}: {delays_ms:?}"
        );
    }
}

#[test]
fn a_request_waits_for_a_rest_that_ends_soon_and_is_not_queued_past_any_other() {
    let service = service(2, 4);
    rest(&service, &[0], 0, 30);
    rest(&service, &[1], 0, 3_000);
    let mut waiting = Driven::new(&service, true, 0);
    assert!(waiting.attempts.is_empty() && waiting.step.actions.is_empty());
    waiting.wait(50);
    assert_eq!(waiting.target(0), 0);
    // A request that waits when all targets begin to rest is refused at the next check.
    let busy = self::service(1, 1);
    let _holder = Driven::new(&busy, true, 0);
    let mut queued = Driven::new(&busy, true, 1);
    assert!(queued.step.awaits_capacity);
    rest(&busy, &[0], 2, 3_000);
    queued.wait(20);
    assert_eq!(refusal_of(&queued).reason, RefusalReason::Resting);
}

/// Guards against a rest that is lost because its target had restarted unnoticed: the rest is recorded for the earlier
/// run, and the later run begins without it.
#[test]
fn a_rest_recorded_after_the_list_last_named_the_run_binds_a_later_run() {
    for (case, recorded_ms, listed_ms, binds) in [
        ("the list is older than the order", 500, Some(400), true),
        (
            "the later run may not be registered yet",
            500,
            Some(1_500),
            true,
        ),
        (
            "the earlier run was listed long after",
            500,
            Some(4_000),
            false,
        ),
        ("nothing is known of the list", 500, None, false),
    ] {
        for lapses in [false, true] {
            let first = state_of(&listed(EARLIER), None, 0);
            rest(&first, &[0], recorded_ms, 60_000);
            if let Some(listed_ms) = listed_ms {
                first.targets()[0].record_listed(at_ms(listed_ms));
            }
            let previous = match lapses {
                true => state_of(&empty_list(), Some(&first), 5_000),
                false => first,
            };
            let later = state_of(&listed(LATER), Some(&previous), 6_000);
            let until = later.targets()[0].rests_until(at_ms(6_000));
            let expected = binds.then(|| at_ms(recorded_ms + 60_000));
            assert_eq!(until, expected, "{case}, lapses: {lapses}");
            assert!(!later.targets()[0].is_leaving());
        }
    }
}

#[test]
fn a_leave_of_an_uncertain_run_does_not_bind_a_later_run() {
    let first = state_of(&listed(EARLIER), None, 0);
    first.targets()[0].record_orders(&LEAVES, at_ms(500));
    first.targets()[0].record_listed(at_ms(400));
    let later = state_of(&listed(LATER), Some(&first), 6_000);
    assert!(later.targets()[0].send_permit(at_ms(6_000)).is_ok());
}

#[test]
fn a_service_whose_targets_leave_or_rest_waits_for_the_rest_alone() {
    let service = service(2, 4);
    service.targets()[0].record_orders(&LEAVES, at_ms(0));
    rest(&service, &[1], 0, 3_000);
    let refusal = refusal_of(&Driven::new(&service, true, 500));
    assert_eq!(refusal.reason, RefusalReason::Resting);
    assert_eq!(refusal.retry_after_ms, 2_500);
    service.targets()[1].record_orders(&LEAVES, at_ms(600));
    let refusal = refusal_of(&Driven::new(&service, true, 700));
    assert_eq!(refusal.reason, RefusalReason::NoTarget);
}

#[test]
fn a_rest_outlasts_new_lists_and_configurations_and_ends_with_the_run() {
    let first = state_of(&listed(EARLIER), None, 0);
    rest(&first, &[0], 10, 60_000);
    let mut updated = listed(EARLIER);
    updated.slots = 5;
    let second = state_of(&updated, Some(&first), 1_000);
    assert!(second.targets()[0].rests_until(at_ms(1_000)).is_some());
    let restarted = state_of(&listed(LATER), Some(&second), 2_000);
    assert!(restarted.targets()[0].send_permit(at_ms(2_000)).is_ok());
}

#[test]
fn a_target_that_lapses_and_comes_back_in_the_same_run_has_asked_for_the_same() {
    for orders in [LEAVES, rest_of(60_000)] {
        let mut known = state_of(&listed(EARLIER), None, 0);
        known.targets()[0].record_orders(&orders, at_ms(10));
        for round in 1..4 {
            let lapsed = state_of(&empty_list(), Some(&known), round * 2_000);
            known = state_of(&listed(EARLIER), Some(&lapsed), round * 2_000 + 1_000);
            let permit = known.targets()[0].send_permit(at_ms(round * 2_000 + 1_000));
            assert!(permit.is_err(), "{orders:?}, round {round}");
        }
        let restarted = state_of(&listed(LATER), Some(&known), 9_000);
        assert!(restarted.targets()[0].send_permit(at_ms(9_000)).is_ok());
    }
}

#[test]
fn what_is_remembered_of_targets_that_are_gone_ends_with_its_time() {
    let known = state_of(&listed(EARLIER), None, 0);
    known.targets()[0].record_orders(&rest_of(5_000), at_ms(10));
    let lapsed = state_of(&empty_list(), Some(&known), 1_000);
    let back = state_of(&listed(EARLIER), Some(&lapsed), 2_000);
    assert!(back.targets()[0].send_permit(at_ms(5_000)).is_err());
    assert!(back.targets()[0].send_permit(at_ms(5_010)).is_ok());
}
