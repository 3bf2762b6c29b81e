//! Requests at an entry that stops.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::service;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RouteState;
use pinhaven_decide::StopPlan;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use std::sync::Arc;

/// Aim of the route. Until answers arrive, its work is estimated as a third of the aim.
const AIM_MS: u64 = 900;
/// Time after the signal from which no request may be broken off that the entry took.
const EXCUSED_MS: u64 = 3_000;

/// Stop of a process that is killed `grace_ms` after the signal at time 0.
fn plan(grace_ms: u64, notice_ms: u64) -> StopPlan {
    let (grace, notice) = (
        Microseconds::from_ms(grace_ms),
        Microseconds::from_ms(notice_ms),
    );
    StopPlan::within_grace(at_ms(0), grace, notice)
}

fn ms_after_signal(time: Microseconds) -> u64 {
    time.saturating_sub(at_ms(0)).count() / 1_000
}

/// Passes in the arrival of a request at an entry that stops.
fn arrive(stop: StopPlan, time_ms: u64, deadline_ms: u64) -> Driven {
    let mut driven = Driven {
        service: service(2, 1),
        request: RequestState::new(RequestFacts::new(false, at_ms(time_ms + deadline_ms)))
            .with_route(Arc::new(RouteState::new(AIM_MS))),
        random: fastrand::Rng::with_seed(9),
        attempts: Vec::new(),
        step: Default::default(),
    };
    driven.request.set_stop(stop);
    driven.handle(time_ms, Event::Arrived);
    driven
}

/// Guards against requests that a stopping entry takes late in a long grace period and breaks off at its end.
#[test]
fn a_request_that_might_outlast_the_stop_is_refused_once_callers_know_of_the_stop() {
    let stop = plan(10_000, 2_600);
    let late = arrive(stop, 3_200, 8_000);
    assert_eq!(late.refusal(), Some(RefusalReason::StopTooNear));
    let short = arrive(stop, 3_200, 6_000);
    assert_eq!((short.refusal(), short.attempts.len()), (None, 1));
    let early = arrive(stop, 2_500, 8_000);
    assert_eq!((early.refusal(), early.attempts.len()), (None, 1));
}

/// Callers that can't know of the stop are served as long as the usual work of their requests ends in time.
#[test]
fn a_request_whose_usual_work_outlasts_the_stop_is_refused_from_the_signal_on() {
    // The work is assumed to take some 300 ms, and up to 600 ms.
    let stop = plan(1_200, 500);
    let taken = arrive(stop, 50, 8_000);
    assert_eq!((taken.refusal(), taken.attempts.len()), (None, 1));
    let refused = arrive(stop, 450, 8_000);
    assert_eq!(refused.refusal(), Some(RefusalReason::StopTooNear));
}

/// A request that waits for a slot is refused as not run while its caller can still be served elsewhere, instead of
/// being sent and broken off.
#[test]
fn a_request_that_waits_is_not_sent_when_its_usual_work_would_outlast_the_stop() {
    let service = service(1, 1);
    let route = Arc::new(RouteState::new(60_000));
    let on_route = |time_ms| Driven::on_route(&service, &route, time_ms, |_| {});
    let mut running = on_route(1_000);
    let mut waiting = on_route(1_001);
    assert!(waiting.step.awaits_capacity);
    waiting.request.set_stop(StopPlan::within_grace(
        at_ms(1_002),
        Microseconds::from_ms(1_500),
        Microseconds::from_ms(500),
    ));
    running.answer(0, 1_900);
    waiting.handle(1_901, Event::CapacityFreed);
    assert_eq!(waiting.refusal(), Some(RefusalReason::StopTooNear));
    assert_eq!(waiting.attempts.len(), 0);
}

#[test]
fn a_shed_attempt_is_not_repeated_when_the_work_would_outlast_the_stop() {
    let mut driven = Driven::with_aim(&service(2, 1), 1_000, 900, |_| {});
    let id = driven.attempts[0].take().unwrap().id;
    driven.request.set_stop(StopPlan::within_grace(
        at_ms(1_010),
        Microseconds::from_ms(600),
        Microseconds::from_ms(500),
    ));
    let outcome = AttemptOutcome::Shed { report: None };
    driven.handle(
        1_050,
        Event::AttemptEnded {
            attempt: id,
            outcome,
        },
    );
    assert_eq!(driven.attempts.len(), 1);
    assert_eq!(driven.refusal(), Some(RefusalReason::Shed));
}

/// For all grace periods and lifetimes of address answers: the stop ends before the process is killed, and a request
/// that arrives after the time for which stops may break requests off is taken only if it ends in time whatever its
/// work takes.
#[test]
fn no_grace_period_lets_a_request_in_that_may_be_broken_off_without_excuse() {
    fn holds(grace: u16, lifetime: u16, deadline: u16, arrives: u16, work: u16) -> bool {
        let grace_ms = 2_000 + u64::from(grace) % 58_001;
        let lifetime_ms = 500 + u64::from(lifetime) % 9_501;
        let deadline_ms = 200 + u64::from(deadline) % 29_801;
        let stop = plan(grace_ms, lifetime_ms);
        let arrives_ms = u64::from(arrives) % grace_ms;
        let (arrived, work) = (at_ms(arrives_ms), Microseconds::from_ms(u64::from(work)));
        let deadline = at_ms(arrives_ms + deadline_ms);
        let ends_ms = ms_after_signal(stop.ends_requests_at());
        let is_taken = stop.may_send(arrived, arrived, deadline, work);
        let may_be_cut = arrives_ms + deadline_ms > ends_ms;
        ms_after_signal(stop.ends_at()) < grace_ms
            && ends_ms < ms_after_signal(stop.ends_at())
            && stop.closes_at() < stop.ends_requests_at()
            && (!is_taken || !may_be_cut || arrives_ms < EXCUSED_MS)
            && (is_taken || may_be_cut)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1 << 16, 58))
        .tests(20_000)
        .quickcheck(holds as fn(u16, u16, u16, u16, u16) -> bool);
}

#[test]
fn a_stop_that_nobody_ends_takes_requests_until_callers_know_and_then_waits() {
    let notice = Microseconds::from_ms(600);
    let wait_max = Microseconds::from_ms(10_000);
    let stop = StopPlan::without_kill(at_ms(0), notice, wait_max);
    assert_eq!(ms_after_signal(stop.closes_at()), 600);
    assert_eq!(ms_after_signal(stop.ends_at()), 10_600);
    let work = Microseconds::from_ms(100);
    assert!(stop.may_send(at_ms(500), at_ms(500), at_ms(60_000), work));
    assert!(!stop.may_send(at_ms(700), at_ms(700), at_ms(60_000), work));
    assert!(stop.may_send(at_ms(700), at_ms(700), at_ms(10_000), work));
}
