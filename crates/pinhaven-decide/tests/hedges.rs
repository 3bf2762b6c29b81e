//! Hedges: when a second attempt is sent while the first is in flight.
//!
//! The tests guard against hedges of requests that may run only once, and against hedges that add load to targets
//! that are already slow or have queues.

mod common;

use common::Driven;
use common::at_ms;
use common::good;
use common::state_with;
use pinhaven_decide::AttemptId;
use pinhaven_decide::Event;
use pinhaven_decide::RequestFacts;
use serde_json::json;

#[test]
fn a_request_that_outlasts_the_delay_is_hedged_at_another_target() {
    let service = state_with(4, json!({}));
    let mut driven = Driven::repeatable(&service);
    let arrived = driven.handle(0, Event::Arrived);
    let hedge_ms = (arrived.wake_at.unwrap().count() - at_ms(0).count()) / 1_000;
    let hedged = driven.handle(hedge_ms + 1, Event::TimerFired);
    assert_eq!(hedged.sent, 1);
    let [first, second] = &driven.under_way[..] else {
        panic!("two attempts are expected in flight");
    };
    assert_ne!(first.target.address(), second.target.address());
}

#[test]
fn the_first_answer_is_delivered_and_the_other_attempt_cancelled() {
    let service = state_with(4, json!({}));
    let mut driven = Driven::repeatable(&service);
    driven.handle(0, Event::Arrived);
    driven.handle(100, Event::TimerFired);
    let outcome = driven.end(110, 1, good(1, 0));
    assert_eq!(outcome.delivered, Some(AttemptId(1)));
    assert_eq!(outcome.cancelled, 1);
    assert_eq!(service.in_flight(), 0);
}

#[test]
fn a_request_that_may_not_be_repeated_is_never_hedged() {
    let service = state_with(4, json!({}));
    let mut driven = Driven::once(&service);
    driven.handle(0, Event::Arrived);
    for time_ms in [50, 100, 500, 900] {
        let outcome = driven.handle(time_ms, Event::TimerFired);
        assert_eq!(outcome.sent, 0);
        assert!(!outcome.is_final(), "the request ended early: {outcome:?}");
    }
}

#[test]
fn hedges_stay_within_their_share_though_everything_is_slow() {
    let service = state_with(30, json!({"hedge_budget_percent": 4}));
    let requests = 5_000_u64;
    let mut hedges = 0;
    for number in 0..requests {
        let time_ms = number * 100;
        let deadline = at_ms(time_ms + 1_000);
        let mut driven = Driven::new(&service, RequestFacts::new(true, deadline));
        driven.handle(time_ms, Event::Arrived);
        hedges += driven.handle(time_ms + 499, Event::TimerFired).sent;
        driven.end(time_ms + 500, 0, good(1, 0));
    }
    assert!(hedges as u64 <= requests * 4 / 100 + 20, "{hedges} hedges");
    assert!(hedges > 0);
}

#[test]
fn the_delay_settles_where_its_share_of_requests_outlasts_it() {
    let service = state_with(30, json!({"hedge_budget_percent": 4}));
    let mut random = fastrand::Rng::with_seed(5);
    let mut outlasted = 0;
    for number in 0..20_000_u64 {
        let time_ms = number * 10;
        let deadline = at_ms(time_ms + 1_000);
        let mut driven = Driven::new(&service, RequestFacts::new(true, deadline));
        driven.handle(time_ms, Event::Arrived);
        // Service times are distributed uniformly from 0 to 200 ms.
        let takes_ms = random.u64(0..200);
        let delay_ms = service.hedge_delay().count() / 1_000;
        if takes_ms > delay_ms {
            driven.handle(time_ms + delay_ms + 1, Event::TimerFired);
            outlasted += u64::from(number > 10_000);
        }
        driven.end(time_ms + takes_ms, 0, good(1, 0));
    }
    let share = outlasted as f64 / 10_000.0;
    assert!(
        (0.01..0.045).contains(&share),
        "{share} outlasted the delay"
    );
}

#[test]
fn no_hedge_joins_a_queue() {
    let service = state_with(2, json!({"slots": 1, "entries_named": 1}));
    let mut first = Driven::repeatable(&service);
    first.handle(0, Event::Arrived);
    let mut second = Driven::repeatable(&service);
    second.handle(0, Event::Arrived);
    assert_eq!(first.handle(100, Event::TimerFired).sent, 0);
}
