//! Loss of all targets of a service at one entry, and forwarding of requests to entries that reach them.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::service;
use pinhaven_decide::Action;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Connectivity;
use pinhaven_decide::ConnectivityChange;
use pinhaven_decide::CrashJudgement;
use pinhaven_decide::Event;
use pinhaven_decide::ForwardOutcome;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use pinhaven_types::TargetAddress;

/// Typical time of a request in these tests, in milliseconds.
const TYPICAL_MS: f32 = 100.0;

fn target(number: u16) -> TargetAddress {
    format!("127.0.0.1:{}", 9_000 + number).parse().unwrap()
}

/// Makes connectivity lost at `time_ms`.
fn lose(service: &ServiceState, time_ms: u64) {
    let connectivity = service.connectivity();
    let change = connectivity.record_check_failed(at_ms(time_ms), at_ms(time_ms));
    assert_eq!(change, Some(ConnectivityChange::Lost));
}

fn end_attempt(driven: &mut Driven, time_ms: u64, outcome: AttemptOutcome) {
    let last = driven.attempts.len() - 1;
    let attempt = driven.attempts[last].take().unwrap().id;
    driven.handle(time_ms, Event::AttemptEnded { attempt, outcome });
}

/// Whether the last step forwards the request.
fn forwards(driven: &Driven) -> bool {
    let actions = driven.step.actions.iter();
    actions
        .filter(|action| matches!(action, Action::Forward { .. }))
        .count()
        == 1
}

fn end_forward(driven: &mut Driven, time_ms: u64, outcome: ForwardOutcome) {
    driven.handle(time_ms, Event::ForwardEnded { outcome });
}

#[test]
fn connectivity_is_lost_only_after_a_check_in_which_no_target_is_heard() {
    let connectivity = Connectivity::default();
    connectivity.record_heard(at_ms(0));
    connectivity.record_failed(target(1));
    // Another target may still be heard.
    assert_eq!(connectivity.begin_check(at_ms(50), TYPICAL_MS), None);
    assert_eq!(connectivity.begin_check(at_ms(100), TYPICAL_MS), Some(4));
    // A check is under way.
    assert_eq!(connectivity.begin_check(at_ms(150), TYPICAL_MS), None);
    let failed = || connectivity.record_check_failed(at_ms(100), at_ms(400));
    assert_eq!(failed(), Some(ConnectivityChange::Lost));
    assert_eq!(failed(), None);
    let lost_for = Microseconds::from_ms(600);
    let change = connectivity.record_heard(at_ms(1_000));
    assert_eq!(change, Some(ConnectivityChange::Regained(lost_for)));
}

#[test]
fn a_target_heard_during_a_check_proves_connectivity() {
    let connectivity = Connectivity::default();
    connectivity.record_failed(target(1));
    assert!(connectivity.begin_check(at_ms(100), TYPICAL_MS).is_some());
    connectivity.record_heard(at_ms(200));
    let change = connectivity.record_check_failed(at_ms(100), at_ms(400));
    assert_eq!(change, None);
    assert!(!connectivity.is_lost());
}

#[test]
fn unanswered_requests_lead_to_a_check_also_if_no_connection_fails() {
    let connectivity = Connectivity::default();
    connectivity.record_heard(at_ms(0));
    connectivity.record_sent(at_ms(10));
    connectivity.record_sent(at_ms(250));
    assert_eq!(connectivity.begin_check(at_ms(300), TYPICAL_MS), None);
    assert_eq!(connectivity.begin_check(at_ms(310), TYPICAL_MS), Some(4));
}

#[test]
fn a_request_at_an_entry_without_targets_is_forwarded_at_once() {
    let service = service(4, 4);
    lose(&service, 0);
    service.connectivity().set_reached_by_peer(true);
    for is_repeatable in [true, false] {
        let mut driven = Driven::new(&service, is_repeatable, 10);
        assert!(driven.attempts.is_empty());
        assert!(forwards(&driven));
        end_forward(&mut driven, 60, ForwardOutcome::Answered);
        assert!(matches!(
            driven.step.actions[..],
            [Action::DeliverForwarded]
        ));
    }
}

#[test]
fn a_request_that_no_entry_can_serve_is_refused_at_once() {
    let service = service(4, 4);
    lose(&service, 0);
    let driven = Driven::new(&service, true, 10);
    assert_eq!(driven.refusal(), Some(RefusalReason::Unreachable));
}

/// Guards against requests that entries pass round while no entry reaches the targets.
#[test]
fn a_forwarded_request_is_not_forwarded_again() {
    let service = service(4, 4);
    lose(&service, 0);
    service.connectivity().set_reached_by_peer(true);
    let driven = Driven::with_facts(&service, 10, |facts| facts.is_forwarded = true);
    assert_eq!(driven.refusal(), Some(RefusalReason::Unreachable));
}

#[test]
fn entries_that_do_not_take_a_request_are_followed_by_others_up_to_a_limit() {
    let service = service(4, 4);
    lose(&service, 0);
    service.connectivity().set_reached_by_peer(true);
    let mut driven = Driven::new(&service, false, 10);
    for _ in 0..2 {
        assert!(forwards(&driven));
        end_forward(&mut driven, 20, ForwardOutcome::NotTaken);
    }
    assert!(forwards(&driven));
    end_forward(&mut driven, 20, ForwardOutcome::NotTaken);
    assert_eq!(driven.refusal(), Some(RefusalReason::Unreachable));
}

#[test]
fn a_request_that_may_have_run_elsewhere_is_not_forwarded_again_unless_it_may_be_repeated() {
    let service = service(4, 4);
    lose(&service, 0);
    service.connectivity().set_reached_by_peer(true);
    let mut driven = Driven::new(&service, false, 10);
    end_forward(&mut driven, 20, ForwardOutcome::Broken);
    let [Action::Refuse(refusal)] = &driven.step.actions[..] else {
        panic!("{:?}", driven.step.actions);
    };
    assert_eq!(refusal.run_state, RunState::Unknown);
    let mut driven = Driven::new(&service, true, 10);
    end_forward(&mut driven, 20, ForwardOutcome::Broken);
    assert!(forwards(&driven));
}

#[test]
fn a_request_that_a_target_may_have_run_is_not_forwarded_unless_it_may_be_repeated() {
    for is_repeatable in [true, false] {
        let service = service(4, 4);
        service.connectivity().set_reached_by_peer(true);
        let mut driven = Driven::new(&service, is_repeatable, 10);
        lose(&service, 20);
        driven.handle(20, Event::ConnectivityLost);
        assert_eq!(forwards(&driven), is_repeatable);
    }
}

#[test]
fn a_request_is_forwarded_after_two_targets_failed_and_none_was_heard() {
    let service = service(4, 4);
    service.connectivity().set_reached_by_peer(true);
    let mut driven = Driven::new(&service, false, 10);
    service.connectivity().record_failed(target(0));
    end_attempt(&mut driven, 310, AttemptOutcome::NotSent);
    assert_eq!(driven.attempts.len(), 2);
    service.connectivity().record_failed(target(1));
    end_attempt(&mut driven, 610, AttemptOutcome::NotSent);
    assert!(forwards(&driven));
}

#[test]
fn a_refusal_of_the_other_entry_reaches_the_caller_with_its_time_to_come_back() {
    let service = service(4, 4);
    lose(&service, 0);
    service.connectivity().set_reached_by_peer(true);
    let mut driven = Driven::new(&service, false, 10);
    let outcome = ForwardOutcome::Refused {
        run_state: RunState::NotRun,
        retry_after_ms: 730,
    };
    end_forward(&mut driven, 20, outcome);
    let [Action::Refuse(refusal)] = &driven.step.actions[..] else {
        panic!("{:?}", driven.step.actions);
    };
    assert_eq!(refusal.reason, RefusalReason::ForwardRefused);
    assert_eq!(refusal.retry_after_ms, 730);
}

#[test]
fn a_caller_that_leaves_ends_the_forwarding() {
    let service = service(4, 4);
    lose(&service, 0);
    service.connectivity().set_reached_by_peer(true);
    let mut driven = Driven::new(&service, false, 10);
    driven.handle(20, Event::CallerLeft);
    assert!(matches!(driven.step.actions[..], [Action::CancelForward]));
}

/// Guards against lost links that count as crashes of targets, so that innocent requests are held back.
#[test]
fn lost_links_are_no_evidence_of_a_crash() {
    let connectivity = Connectivity::default();
    connectivity.record_heard(at_ms(0));
    let judge = |is_heard_by_peer, time_ms| {
        connectivity.judge_crash(at_ms(10), is_heard_by_peer, at_ms(time_ms))
    };
    assert_eq!(judge(true, 20), CrashJudgement::Undecided);
    connectivity.record_check_failed(at_ms(20), at_ms(50));
    assert_eq!(judge(false, 100), CrashJudgement::Undecided);
    assert_eq!(judge(true, 100), CrashJudgement::LinksLost);
    // If no other entry hears targets either, they are down.
    assert_eq!(judge(false, 1_510), CrashJudgement::Crashed);
    connectivity.record_heard(at_ms(60));
    assert_eq!(judge(true, 100), CrashJudgement::Crashed);
}

/// Guards against crashes that are recorded late in a small service, whose other target is down since an earlier one.
#[test]
fn a_crashed_target_is_compared_only_with_targets_that_are_not_known_to_be_down() {
    let service = service(2, 4);
    let [first, second] = service.targets() else {
        panic!("the service has two targets");
    };
    assert_eq!(service.targets_to_compare(second).count(), 1);
    first.record_crash(at_ms(10));
    assert_eq!(service.targets_to_compare(second).count(), 0);
    first.record_connection(at_ms(20));
    assert_eq!(service.targets_to_compare(second).count(), 1);
}
