//! What the forecasting policy learns: speeds, work, the cost of full targets, deadlines of first tries.

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
    // Requests at a full target take 1.7 times as long, and it says that it is full.
    for round in 0..300 {
        let start_ms = 1_000 + round * 1_000;
        report(&service, 0, start_ms, 1.0);
        let mut together: Vec<Driven> = (0..3)
            .map(|_| Driven::new(&service, true, start_ms))
            .collect();
        together.retain(|driven| !driven.attempts.is_empty());
        let is_full = together.len() == 3;
        let took_ms = if is_full { 170 } else { 100 };
        for driven in &mut together {
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
    let together: Vec<Driven> = (0..3)
        .map(|_| Driven::new(&service, true, 400_000))
        .collect();
    let sent = together.iter().filter(|driven| !driven.attempts.is_empty());
    assert_eq!(sent.count(), 2);
}

#[test]
fn a_request_waits_for_its_target_to_turn_fast_where_work_keeps_its_first_speed() {
    // A second of work takes five at the slow target if it keeps that speed, which is past its aim, and
    // less than two if the target soon turns fast for it.
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
    let lasting_ms = service.speed_duration_ms();
    assert!((150.0..250.0).contains(&lasting_ms), "{lasting_ms}");
}

#[test]
fn targets_are_asked_for_their_speed_the_more_often_the_shorter_it_lasts() {
    let fields = json!({"policy": "forecast", "slots": 4, "typical_ms": 500});
    let age_where_speeds_last = |rounds: u64| {
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
    assert_eq!(age_where_speeds_last(200), Microseconds::from_ms(90));
    let short = age_where_speeds_last(8);
    let expected = Microseconds::from_ms(25)..Microseconds::from_ms(40);
    assert!(expected.contains(&short), "{short}");
}

#[test]
fn how_long_a_caller_has_waited_is_told_by_its_deadline() {
    let route = RouteState::new(AIM_MS);
    let waited = |deadline_ms| route.waited_before(Microseconds::from_ms(deadline_ms));
    for _ in 0..30 {
        assert_eq!(waited(1_200), Microseconds::ZERO);
    }
    assert_eq!(waited(900), Microseconds::from_ms(300));
    assert_eq!(
        waited(5_000),
        Microseconds::ZERO,
        "a patient caller has not waited"
    );
    // Another usual deadline is learned.
    for _ in 0..400 {
        waited(800);
    }
    assert_eq!(waited(700), Microseconds::from_ms(100));
}

#[test]
fn how_long_callers_have_waited_is_known_soon_where_most_come_back() {
    // After an outage three of four requests are further tries, each with what is left of its deadline.
    let route = RouteState::new(AIM_MS);
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..10 {
        for _ in 0..3 {
            route.waited_before(Microseconds::from_ms(random.u64(300..3_700)));
        }
        route.waited_before(Microseconds::from_ms(4_000));
    }
    let waited = route.waited_before(Microseconds::from_ms(2_500));
    assert_eq!(waited, Microseconds::from_ms(1_500));
}
