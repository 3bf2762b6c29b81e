//! Retries and refusals after failed attempts.
//!
//! The tests guard against a request that runs twice although it is not repeatable, a refusal that wrongly states that
//! the request did not run, and retries that multiply over several levels of services or exceed their budget. Besides
//! tables of cases, random sequences of events are run.

mod common;

use common::Driven;
use common::FAILED;
use common::at_ms;
use common::good;
use common::state_with;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RunState;
use pinhaven_types::promise_violations;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;

const SHED: AttemptOutcome = AttemptOutcome::Shed { report: None };

#[test]
fn a_failed_attempt_is_followed_as_the_table_says() {
    // (whether the request is repeatable, outcome of the first attempt, whether another attempt is sent)
    let table = [
        (true, AttemptOutcome::NotSent, true),
        (true, SHED, true),
        (true, AttemptOutcome::Broken, true),
        (true, FAILED, true),
        (false, AttemptOutcome::NotSent, true),
        (false, SHED, true),
        (false, AttemptOutcome::Broken, false),
        (false, FAILED, false),
    ];
    for (is_repeatable, ended, follows) in table {
        let service = state_with(4, json!({}));
        let facts = RequestFacts::new(is_repeatable, at_ms(1_000));
        let mut driven = Driven::new(&service, facts);
        driven.handle(0, Event::Arrived);
        let outcome = driven.end(5, 0, ended);
        assert_eq!(
            outcome.sent == 1,
            follows,
            "repeatable {is_repeatable}, {ended:?}: {outcome:?}"
        );
    }
}

#[test]
fn a_refusal_says_whether_the_request_ran() {
    // (whether the request is repeatable, outcome of the only attempt, run state in the refusal)
    let table = [
        (true, AttemptOutcome::NotSent, RunState::NotRun),
        (true, SHED, RunState::NotRun),
        (true, AttemptOutcome::Broken, RunState::Unknown),
        (false, AttemptOutcome::NotSent, RunState::NotRun),
        (false, SHED, RunState::NotRun),
        (false, AttemptOutcome::Broken, RunState::Unknown),
    ];
    for (is_repeatable, ended, said) in table {
        let service = state_with(4, json!({}));
        let mut facts = RequestFacts::new(is_repeatable, at_ms(1_000));
        facts.attempts_max = 1;
        let mut driven = Driven::new(&service, facts);
        driven.handle(0, Event::Arrived);
        let refusal = driven.end(5, 0, ended).refused.unwrap();
        assert_eq!(refusal.run_state, said, "{is_repeatable} {ended:?}");
        assert!(refusal.retry_after_ms > 0);
    }
}

#[test]
fn a_broken_attempt_keeps_the_outcome_unknown_though_the_next_was_not_sent() {
    let service = state_with(4, json!({}));
    let mut driven = Driven::repeatable(&service);
    driven.handle(0, Event::Arrived);
    driven.end(5, 0, AttemptOutcome::Broken);
    driven.end(6, 1, AttemptOutcome::NotSent);
    let refusal = driven.end(7, 2, AttemptOutcome::NotSent).refused.unwrap();
    assert_eq!(refusal.run_state, RunState::Unknown);
}

#[test]
fn the_deadline_ends_a_request_under_way_at_once_as_unknown() {
    let service = state_with(4, json!({"hedge_budget_percent": 0}));
    let mut driven = Driven::once(&service);
    let arrived = driven.handle(0, Event::Arrived);
    assert_eq!(arrived.wake_at, Some(at_ms(1_000)));
    let outcome = driven.handle(1_000, Event::TimerFired);
    let refusal = outcome.refused.unwrap();
    assert_eq!(refusal.reason, RefusalReason::DeadlineCame);
    assert_eq!(refusal.run_state, RunState::Unknown);
    assert_eq!(outcome.cancelled, 1);
}

#[test]
fn a_body_that_is_gone_is_never_sent_again() {
    let service = state_with(4, json!({}));
    let mut facts = RequestFacts::new(true, at_ms(1_000));
    facts.is_replayable = false;
    let mut driven = Driven::new(&service, facts);
    driven.handle(0, Event::Arrived);
    let hedge = driven.handle(200, Event::TimerFired);
    assert_eq!(hedge.sent, 0);
    let outcome = driven.end(201, 0, SHED);
    assert_eq!(outcome.refused.unwrap().reason, RefusalReason::Shed);
}

#[test]
fn retries_stay_within_their_share_of_requests() {
    let service = state_with(
        30,
        json!({"retry_budget_percent": 10, "hedge_budget_percent": 0}),
    );
    let mut added = 0;
    let requests = 5_000;
    for number in 0..requests {
        let time_ms = number * 2;
        let deadline = at_ms(time_ms + 1_000);
        let mut driven = Driven::new(&service, RequestFacts::new(true, deadline));
        driven.handle(time_ms, Event::Arrived);
        let mut attempt = 0;
        while !driven.under_way.is_empty() {
            let outcome = driven.end(time_ms + 1, attempt, AttemptOutcome::NotSent);
            added += outcome.sent;
            attempt += 1;
        }
    }
    // The bucket starts with 20 tokens.
    assert!(added as u64 <= requests / 10 + 20, "{added} added attempts");
}

#[test]
fn a_level_further_down_that_used_the_attempts_up_leaves_none() {
    let service = state_with(4, json!({}));
    let mut driven = Driven::repeatable(&service);
    driven.handle(0, Event::Arrived);
    driven.request.limit_added_attempts(0);
    let outcome = driven.end(5, 0, FAILED);
    assert_eq!(outcome.delivered, Some(AttemptId(0)));
}

#[test]
fn attempts_grow_with_depth_and_do_not_multiply() {
    // Every level fails. Each level passes on its remaining attempts and gets back how many are left. Without this
    // limit the number of attempts at the lowest level would grow exponentially with the number of levels.
    fn attempts_below(depth: u32, allowed: u32) -> (u32, u32) {
        if depth == 0 {
            return (1, allowed - 1);
        }
        let service = state_with(4, json!({}));
        let mut facts = RequestFacts::new(true, at_ms(1_000));
        facts.attempts_max = allowed;
        let mut driven = Driven::new(&service, facts);
        driven.handle(0, Event::Arrived);
        let mut total = 0;
        let mut attempt = 0;
        loop {
            let id = AttemptId(attempt);
            let (used, left) = attempts_below(depth - 1, driven.request.downstream_attempts(id));
            total += used;
            driven.request.limit_added_attempts(left);
            let outcome = driven.end(5, attempt, FAILED);
            if outcome.sent == 0 {
                let made = attempt + 1;
                return (total, allowed.saturating_sub(made).min(left));
            }
            attempt += 1;
        }
    }
    let (total, _) = attempts_below(22, 3);
    assert!(total <= 3, "{total} attempts at the lowest of 22 levels");
}

/// Drives one request with random events. Returns whether it ended at most once, was never reported as not run while it
/// may have run, and never had two attempts in flight unless it is repeatable.
fn one_random_request(seed: u64, is_repeatable: bool, events: Vec<u8>) -> bool {
    let service = state_with(3, json!({}));
    let mut driven = Driven::new(&service, RequestFacts::new(is_repeatable, at_ms(500)));
    driven.random = fastrand::Rng::with_seed(seed);
    let mut finals = 0;
    let mut possibly_ran = false;
    let mut time_ms = 0;
    let mut next = Event::Arrived;
    let mut events = events.iter();
    loop {
        let outcome = driven.handle(time_ms, next);
        if let Some(refusal) = outcome.refused {
            let said_not_run = refusal.run_state == RunState::NotRun;
            if said_not_run && (possibly_ran || !driven.under_way.is_empty()) {
                return false;
            }
        }
        finals += u32::from(outcome.is_final());
        let Some(draw) = events.next() else {
            break;
        };
        time_ms += u64::from(draw % 40);
        next = match (draw % 8, driven.under_way.is_empty()) {
            (0, _) => Event::TimerFired,
            (1, _) => Event::CapacityFreed,
            (_, true) => Event::TimerFired,
            (kind, false) => {
                let attempt = driven.under_way.remove(0);
                let outcome = match kind {
                    2 => AttemptOutcome::NotSent,
                    3 => SHED,
                    4 => AttemptOutcome::Broken,
                    5 => FAILED,
                    _ => good(1, 0),
                };
                possibly_ran |= !matches!(outcome, AttemptOutcome::NotSent | SHED);
                Event::AttemptEnded {
                    attempt: attempt.id,
                    outcome,
                }
            }
        };
        if !is_repeatable && driven.under_way.len() > 1 {
            return false;
        }
    }
    finals <= 1
}

#[test]
fn random_requests_end_once_and_never_say_not_run_wrongly() {
    let before = promise_violations();
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(60, 17))
        .quickcheck(one_random_request as fn(u64, bool, Vec<u8>) -> bool);
    assert_eq!(promise_violations(), before);
}
