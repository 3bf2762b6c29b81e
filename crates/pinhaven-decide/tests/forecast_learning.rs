//! Tests what the forecasting policy learns: speeds, work, the slowdown of full targets and initial deadlines.

mod common;

use common::at_ms;
use common::driven::AIM_MS;
use common::driven::Driven;
use common::driven::report;
use common::driven::service;
use common::driven::service_whose_work_took;
use common::service_with;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::LoadReport;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;

#[test]
fn the_last_slots_stay_empty_where_a_full_target_does_less_in_all() {
    let service = service(1, 3);
    // Requests at a full target take 1.7 times as long, and the target reports that it is full.
    for round in 0..300 {
        let start_ms = 1_000 + round * 1_000;
        report(&service, 0, start_ms, 1.0);
        let mut concurrent: Vec<Driven> = (0..3)
            .map(|_| Driven::new(&service, true, start_ms))
            .collect();
        concurrent.retain(|driven| !driven.attempts.is_empty());
        let is_full = concurrent.len() == 3;
        let took_ms = if is_full { 170 } else { 100 };
        for driven in &mut concurrent {
            report(&service, 0, start_ms + took_ms, 1.0);
            let id = driven.attempts[0].take().unwrap().id;
            let outcome = AttemptOutcome::Answered {
                is_server_error: false,
                report: Some(LoadReport {
                    running: if is_full { 3 } else { 2 },
                    slowdown: Some(1.0),
                    ..LoadReport::default()
                }),
            };
            driven.handle(
                start_ms + took_ms,
                Event::AttemptEnded {
                    attempt: id,
                    outcome,
                },
            );
        }
    }
    let concurrent: Vec<Driven> = (0..3)
        .map(|_| Driven::new(&service, true, 400_000))
        .collect();
    let sent = concurrent
        .iter()
        .filter(|driven| !driven.attempts.is_empty());
    assert_eq!(sent.count(), 2);
}

#[test]
fn a_request_waits_for_its_target_to_turn_fast_where_work_keeps_its_first_speed() {
    // One second of work takes five seconds at the slow target if it retains its initial speed, which exceeds the
    // aim, and less than two seconds if it speeds up when the target becomes fast.
    for (took_ms, sent) in [(100, 0), (480, 1)] {
        let service = service_whose_work_took(took_ms);
        report(&service, 0, 100_000, 5.0);
        let mut driven = Driven::with_aim(&service, 100_000, 3_000, |_| {});
        assert_eq!(driven.attempts.len(), sent, "answers after {took_ms} ms");
        report(&service, 0, 100_100, 1.0);
        driven.wait(100_120);
        assert_eq!(driven.attempts.len(), 1);
    }
}

#[test]
fn how_long_a_speed_lasts_is_learned_from_the_reports() {
    let service = service(1, 4);
    for step in 0..2_000 {
        // The speed changes every 200 ms.
        let slowdown = if (step / 4) % 2 == 0 { 1.0 } else { 7.0 };
        report(&service, 0, 1_000 + step * 50, slowdown);
    }
    let duration_ms = service.speed_duration_ms();
    assert!((150.0..250.0).contains(&duration_ms), "{duration_ms}");
}

#[test]
fn targets_are_asked_for_their_speed_the_more_often_the_shorter_it_lasts() {
    let fields = json!({"policy": "forecast", "slots": 4, "typical_ms": 500});
    let report_age_for_duration = |rounds: u64| {
        let service = Arc::new(ServiceState::new(
            &service_with(1, fields.clone()),
            None,
            at_ms(0),
        ));
        for step in 0..2_000 {
            let slowdown = if (step / rounds).is_multiple_of(2) {
                1.0
            } else {
                5.0
            };
            report(&service, 0, 1_000 + step * 50, slowdown);
        }
        service.desired_report_age()
    };
    assert_eq!(report_age_for_duration(200), Microseconds::from_ms(90));
    let short = report_age_for_duration(8);
    let expected = Microseconds::from_ms(25)..Microseconds::from_ms(40);
    assert!(expected.contains(&short), "{short}");
}

#[test]
fn the_prior_wait_of_a_caller_follows_from_its_deadline() {
    let route = RouteState::new(AIM_MS);
    let prior_wait = |deadline_ms| route.prior_wait(Microseconds::from_ms(deadline_ms));
    for _ in 0..30 {
        assert_eq!(prior_wait(1_200), Microseconds::ZERO);
    }
    assert_eq!(prior_wait(900), Microseconds::from_ms(300));
    assert_eq!(
        prior_wait(5_000),
        Microseconds::ZERO,
        "a caller with a longer deadline has not waited before"
    );
    // Callers switch to another initial deadline.
    for _ in 0..400 {
        prior_wait(800);
    }
    assert_eq!(prior_wait(700), Microseconds::from_ms(100));
}

#[test]
fn the_prior_wait_is_learned_soon_if_most_requests_are_retries() {
    // After an outage three of four requests are retries, each with the remaining time of its deadline.
    let route = RouteState::new(AIM_MS);
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..10 {
        for _ in 0..3 {
            route.prior_wait(Microseconds::from_ms(random.u64(300..3_700)));
        }
        route.prior_wait(Microseconds::from_ms(4_000));
    }
    let prior_wait = route.prior_wait(Microseconds::from_ms(2_500));
    assert_eq!(prior_wait, Microseconds::from_ms(1_500));
}
