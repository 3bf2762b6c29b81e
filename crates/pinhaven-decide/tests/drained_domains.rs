//! Targets of drained failure domains: nothing is sent there, and the other targets carry the load.

mod common;

use common::Driven;
use common::FAILED;
use common::at_ms;
use common::good;
use common::state_with;
use pinhaven_decide::Event;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::TargetClosed;
use serde_json::json;

const POLICIES: [&str; 6] = [
    "random",
    "round_robin",
    "least_in_flight",
    "two_choices",
    "pinhaven",
    "forecast",
];

fn set_drained(service: &ServiceState, domain: &str, is_drained: bool) {
    let targets = service.targets().iter();
    for target in targets.filter(|target| target.failure_domain().as_str() == domain) {
        target.set_domain_drained(is_drained);
    }
}

fn is_in(request: &Driven, domain: &str) -> bool {
    let mut attempts = request.under_way.iter();
    attempts.any(|attempt| attempt.target.failure_domain().as_str() == domain)
}

#[test]
fn no_policy_chooses_a_target_of_a_drained_domain() {
    for policy in POLICIES {
        let service = state_with(9, json!({"policy": policy}));
        set_drained(&service, "domain-1", true);
        for time_ms in 0..200 {
            let mut request = Driven::repeatable(&service);
            request.handle(time_ms, Event::Arrived);
            assert!(!request.under_way.is_empty(), "{policy}");
            assert!(!is_in(&request, "domain-1"), "{policy}");
            request.end(time_ms + 10, 0, good(0, 0));
        }
    }
}

/// A request may have chosen its target when the order arrives; its attempt then asks for a permit in vain.
#[test]
fn no_permit_is_given_while_the_domain_is_drained() {
    let service = state_with(3, json!({}));
    let target = &service.targets()[1];
    assert!(target.send_permit(at_ms(0)).is_ok());
    set_drained(&service, "domain-1", true);
    let closed = target.send_permit(at_ms(1)).err();
    assert_eq!(closed, Some(TargetClosed::DomainDrained));
    set_drained(&service, "domain-1", false);
    assert!(target.send_permit(at_ms(2)).is_ok());
}

#[test]
fn while_all_domains_are_drained_requests_are_refused_at_once() {
    for policy in POLICIES {
        let service = state_with(6, json!({"policy": policy}));
        for domain in ["domain-0", "domain-1", "domain-2"] {
            set_drained(&service, domain, true);
        }
        let mut request = Driven::once(&service);
        let refusal = request.handle(0, Event::Arrived).refused.unwrap();
        assert_eq!(refusal.reason, RefusalReason::Drained, "{policy}");
        assert_eq!(refusal.run_state, RunState::NotRun);
        assert!(refusal.retry_after_ms >= 1_000, "{refusal:?}");
        set_drained(&service, "domain-0", false);
        let mut request = Driven::once(&service);
        assert_eq!(request.handle(1, Event::Arrived).sent, 1, "{policy}");
    }
}

/// Lists are in the order of addresses, so that the targets of a domain often stand one after another. Guards against a
/// sample that holds targets of the drained domain only.
#[test]
fn a_request_is_sent_at_once_although_most_of_the_listed_targets_are_drained() {
    let service = state_with(240, json!({"policy": "forecast"}));
    for target in &service.targets()[..180] {
        target.set_domain_drained(true);
    }
    for seed in 0..500 {
        let mut request = Driven::once(&service);
        request.random = fastrand::Rng::with_seed(seed);
        assert_eq!(request.handle(0, Event::Arrived).sent, 1, "seed {seed}");
        request.end(10, 0, good(0, 0));
    }
}

/// Guards against failing targets that get requests on because a drained domain uses up the share of targets that may be
/// ejected.
#[test]
fn a_failing_target_is_ejected_while_a_third_of_the_targets_is_drained() {
    let service = state_with(9, json!({}));
    set_drained(&service, "domain-1", true);
    let mut time_ms = 0;
    while service.counts().ejections == 0 {
        assert!(time_ms < 1_000, "no target was ejected");
        let mut request = Driven::once(&service);
        request.handle(time_ms, Event::Arrived);
        request.end(time_ms, 0, FAILED);
        time_ms += 1;
    }
}
