//! The forecasting policy: where a request goes, when it waits, is hedged or refused.

mod common;

use common::at_ms;
use common::service_with;
use pinhaven_decide::Action;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::LoadReport;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RouteState;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::Split;
use pinhaven_decide::Step;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;
use std::sync::Arc;

/// Work of a request at a target of usual speed until it was measured: a third of the aim.
const AIM_MS: u64 = 300;
/// An aim of requests that are done before a target's speed changes.
const SHORT_AIM_MS: u64 = 120;
/// An aim of requests that take longer than that.
const LONG_AIM_MS: u64 = 900;

fn service(targets: u16, slots: u32) -> Arc<ServiceState> {
    let fields = json!({"policy": "forecast", "slots": slots, "hedge_budget_percent": 20.0});
    let service = service_with(targets, fields);
    Arc::new(ServiceState::new(&service, None, at_ms(0)))
}

fn report(service: &ServiceState, target: usize, time_ms: u64, slowdown: f32) {
    let report = LoadReport {
        slowdown: Some(slowdown),
        ..LoadReport::default()
    };
    service.record_report(&service.targets()[target], at_ms(time_ms), &report);
}

struct Driven {
    service: Arc<ServiceState>,
    request: RequestState,
    random: fastrand::Rng,
    /// Attempts under way, by number.
    attempts: Vec<Option<Attempt>>,
    step: Step,
}

impl Driven {
    fn new(service: &Arc<ServiceState>, is_repeatable: bool, time_ms: u64) -> Self {
        Self::with_facts(service, time_ms, |facts| {
            facts.is_repeatable = is_repeatable
        })
    }

    fn with_facts(
        service: &Arc<ServiceState>,
        time_ms: u64,
        change: impl FnOnce(&mut RequestFacts),
    ) -> Self {
        Self::with_aim(service, time_ms, AIM_MS, change)
    }

    fn with_aim(
        service: &Arc<ServiceState>,
        time_ms: u64,
        aim_ms: u64,
        change: impl FnOnce(&mut RequestFacts),
    ) -> Self {
        let mut facts = RequestFacts::new(true, at_ms(time_ms + 2_000));
        change(&mut facts);
        let route = Arc::new(RouteState::new(aim_ms));
        let mut driven = Self {
            service: Arc::clone(service),
            request: RequestState::new(facts).with_route(route),
            random: fastrand::Rng::with_seed(9),
            attempts: Vec::new(),
            step: Step::default(),
        };
        driven.handle(time_ms, Event::Arrived);
        driven
    }

    fn handle(&mut self, time_ms: u64, event: Event) {
        let now = at_ms(time_ms);
        self.step = self
            .request
            .handle(&self.service, now, &mut self.random, event);
        for action in std::mem::take(&mut self.step.actions) {
            match action {
                Action::Send(attempt) => self.attempts.push(Some(attempt)),
                Action::Cancel(id) => self.attempts[id.0 as usize] = None,
                other => self.step.actions.push(other),
            }
        }
    }

    /// Lets time pass to `until_ms`, looking whenever the request asks to.
    fn wait(&mut self, until_ms: u64) {
        while let Some(wake_at) = self.step.wake_at.filter(|at| *at <= at_ms(until_ms)) {
            let wake_ms = wake_at.saturating_sub(at_ms(0)).count().div_ceil(1_000);
            self.handle(wake_ms, Event::TimeCame);
        }
    }

    fn target(&self, attempt: usize) -> usize {
        let address = self.attempts[attempt].as_ref().unwrap().target.address();
        let targets = self.service.targets();
        targets
            .iter()
            .position(|target| target.address() == address)
            .unwrap()
    }

    fn answer(&mut self, attempt: usize, time_ms: u64) {
        let id = self.attempts[attempt].take().unwrap().id;
        let outcome = AttemptOutcome::Answered {
            is_server_error: false,
            report: None,
        };
        self.handle(
            time_ms,
            Event::AttemptEnded {
                attempt: id,
                outcome,
            },
        );
    }

    /// Lets the target turn slow and report it at `slow_ms`, and the answer come at `time_ms`.
    fn answer_with(&mut self, attempt: usize, slow_ms: u64, time_ms: u64, slowdown: f32) {
        let target = self.target(attempt);
        let id = self.attempts[attempt].take().unwrap().id;
        report(&self.service, target, slow_ms, slowdown);
        let outcome = AttemptOutcome::Answered {
            is_server_error: false,
            report: Some(LoadReport {
                slowdown: Some(slowdown),
                ..LoadReport::default()
            }),
        };
        self.handle(
            time_ms,
            Event::AttemptEnded {
                attempt: id,
                outcome,
            },
        );
    }

    fn refusal(&self) -> Option<RefusalReason> {
        self.step.actions.iter().find_map(|action| match action {
            Action::Refuse(refusal) => {
                assert_eq!(refusal.run_state, RunState::NotRun);
                assert!(refusal.retry_after_ms > 0);
                Some(refusal.reason)
            }
            _ => None,
        })
    }
}

#[test]
fn a_request_goes_to_the_target_that_says_it_is_fast() {
    let service = service(3, 4);
    for (target, slowdown) in [7.0, 1.0, 7.0].into_iter().enumerate() {
        report(&service, target, 1_000, slowdown);
    }
    for _ in 0..20 {
        let driven = Driven::new(&service, true, 1_010);
        assert_eq!(driven.target(0), 1);
    }
}

#[test]
fn an_old_report_counts_for_little() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 7.0);
    report(&service, 1, 1_000, 1.0);
    report(&service, 0, 9_000, 1.5);
    // The other's report is eight seconds old; it may be anything by now.
    let driven = Driven::new(&service, true, 9_010);
    assert_eq!(driven.target(0), 0);
}

#[test]
fn an_entry_that_was_told_of_no_speed_lately_sends_and_does_not_refuse() {
    let service = service(3, 4);
    // All were slow once, long ago; on average they are three times as slow as usual.
    for time_ms in (0..20_000).step_by(20) {
        for target in 0..3 {
            report(&service, target, time_ms, 3.0);
        }
    }
    let driven = Driven::new(&service, true, 30_000);
    assert_eq!(driven.attempts.len(), 1);
    // While that is known it waits for one to turn fast.
    for target in 0..3 {
        report(&service, target, 30_000, 3.0);
    }
    let driven = Driven::new(&service, true, 30_001);
    assert_eq!(driven.attempts.len(), 0);
}

#[test]
fn an_entry_knows_its_own_targets_among_many() {
    let service = service(600, 4);
    for target in [7, 300, 599] {
        service.targets()[target].set_owned(true);
    }
    service.find_owned();
    for _ in 0..20 {
        let driven = Driven::new(&service, true, 1_000);
        assert!([7, 300, 599].contains(&driven.target(0)));
    }
}

#[test]
fn requests_of_other_entries_take_slots_too() {
    let service = service(2, 4);
    service.targets()[0].record_peer_in_flight(0, 4);
    for _ in 0..10 {
        let driven = Driven::new(&service, true, 1_000);
        assert_eq!(driven.target(0), 1);
    }
    service.targets()[0].record_peer_in_flight(4, 0);
    service.targets()[1].record_peer_in_flight(0, 4);
    let driven = Driven::new(&service, true, 1_000);
    assert_eq!(driven.target(0), 0);
}

#[test]
fn a_request_without_a_slot_waits_for_a_short_share_of_its_aim_and_is_refused() {
    let service = service(1, 1);
    let _holder = Driven::new(&service, true, 1_000);
    let mut waiting = Driven::new(&service, true, 1_000);
    assert!(waiting.attempts.is_empty());
    assert!(waiting.step.wants_place);
    assert_eq!(service.waiting(), 1);
    waiting.wait(1_040);
    assert_eq!(waiting.refusal(), None);
    waiting.wait(1_075);
    assert_eq!(waiting.refusal(), Some(RefusalReason::Overloaded));
    assert_eq!(service.waiting(), 0);
}

#[test]
fn a_freed_place_goes_to_the_more_urgent_request() {
    let service = service(1, 1);
    let mut holder = Driven::new(&service, true, 1_000);
    let priority = |priority| move |facts: &mut RequestFacts| facts.priority = Some(priority);
    let mut low = Driven::with_facts(&service, 1_000, priority(1));
    let mut high = Driven::with_facts(&service, 1_000, priority(2));
    holder.answer(0, 1_010);
    low.handle(1_010, Event::PlaceFreed);
    assert!(low.attempts.is_empty(), "the more urgent one still waits");
    high.handle(1_010, Event::PlaceFreed);
    assert_eq!(high.attempts.len(), 1);
}

#[test]
fn a_request_that_can_only_be_late_takes_no_slot_that_others_need() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 7.0);
    service.targets()[0].record_peer_in_flight(0, 3);
    // Its caller has waited for longer than the aim, on tries that failed.
    let late = Driven::with_aim(&service, 1_010, SHORT_AIM_MS, |facts| {
        facts.waited = Microseconds::from_ms(SHORT_AIM_MS + 100);
    });
    assert_eq!(late.target(0), 1);
    let in_time = Driven::with_aim(&service, 1_010, SHORT_AIM_MS, |_| {});
    assert_eq!(in_time.target(0), 0);
}

#[test]
fn a_late_request_of_long_work_does_not_fill_a_slow_target_until_it_is_fast_again() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 7.0);
    service.targets()[0].record_peer_in_flight(0, 3);
    // A target is slow for some 500 ms, in which it would do a fourth of this work.
    let late = Driven::with_aim(&service, 1_010, LONG_AIM_MS, |facts| {
        facts.waited = Microseconds::from_ms(LONG_AIM_MS + 100);
        facts.deadline = at_ms(9_000);
    });
    assert!(late.attempts.is_empty(), "its work would be done later");
    // While others have room enough, nobody is harmed.
    service.targets()[0].record_peer_in_flight(3, 0);
    let late = Driven::with_aim(&service, 1_020, LONG_AIM_MS, |facts| {
        facts.waited = Microseconds::from_ms(LONG_AIM_MS + 100);
        facts.deadline = at_ms(9_000);
    });
    assert_eq!(late.target(0), 0);
}

#[test]
fn an_entry_goes_to_targets_of_its_own_first() {
    let service = service(3, 4);
    service.targets()[2].set_owned(true);
    service.find_owned();
    for target in 0..3 {
        report(&service, target, 1_000, 1.0);
    }
    for _ in 0..20 {
        let driven = Driven::new(&service, true, 1_001);
        assert_eq!(driven.target(0), 2);
    }
    // What is a little better elsewhere does not count, what is much better does.
    report(&service, 2, 1_010, 3.0);
    let driven = Driven::new(&service, true, 1_011);
    assert_ne!(driven.target(0), 2);
}

#[test]
fn a_request_that_began_before_a_target_was_gone_does_not_go_there_any_more() {
    let two = service_with(2, json!({"policy": "forecast", "slots": 4}));
    let before = Arc::new(ServiceState::new(&two, None, at_ms(0)));
    let mut request = Driven::new(&before, true, 1_000);
    // Wherever it went, the other target is missing from the next list.
    let mut one = two.clone();
    one.targets.remove(1 - request.target(0));
    let after = ServiceState::new(&one, Some(&before), at_ms(1_010));
    assert_eq!(after.targets().len(), 1);
    let outcome = AttemptOutcome::Shed { report: None };
    let id = request.attempts[0].take().unwrap().id;
    request.handle(
        1_020,
        Event::AttemptEnded {
            attempt: id,
            outcome,
        },
    );
    assert_eq!(
        request.attempts.len(),
        1,
        "there is no target for a second attempt"
    );
}

#[test]
fn a_repeatable_request_is_hedged_when_its_target_turns_slow() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 3.0);
    let mut driven = Driven::new(&service, true, 1_001);
    assert_eq!(driven.target(0), 0);
    for time_ms in (1_010..1_060).step_by(10) {
        report(&service, 0, time_ms, 9.0);
        report(&service, 1, time_ms, 1.0);
        driven.wait(time_ms);
    }
    assert_eq!(driven.attempts.len(), 2);
    assert_eq!(driven.target(1), 1);
    driven.answer(1, 1_160);
    assert!(
        driven.attempts[0].is_none(),
        "the slower attempt is cancelled"
    );
    assert_eq!(service.counts().hedges, 1);
}

#[test]
fn a_request_is_hedged_only_while_the_budget_has_something_left() {
    for (at_once, hedges) in [(1.0, 1), (0.0, 0)] {
        let service = service(2, 4);
        service.set_added_at_once(at_once, 0.0);
        report(&service, 0, 1_000, 1.0);
        report(&service, 1, 1_000, 3.0);
        let mut driven = Driven::new(&service, true, 1_001);
        for time_ms in (1_010..1_060).step_by(10) {
            report(&service, 0, time_ms, 9.0);
            report(&service, 1, time_ms, 1.0);
            driven.wait(time_ms);
        }
        assert_eq!(driven.attempts.len(), 1 + hedges, "{at_once} at once");
    }
}

#[test]
fn a_request_that_may_not_be_repeated_is_never_hedged() {
    let service = service(2, 4);
    report(&service, 0, 1_000, 1.0);
    report(&service, 1, 1_000, 3.0);
    let mut driven = Driven::new(&service, false, 1_001);
    for time_ms in (1_010..2_900).step_by(10) {
        report(&service, 0, time_ms, 9.0);
        report(&service, 1, time_ms, 1.0);
        driven.wait(time_ms);
    }
    assert_eq!(driven.attempts.len(), 1);
}

#[test]
fn an_attempt_without_a_connection_is_made_elsewhere_at_no_cost() {
    let service = service(4, 4);
    service.set_added_at_once(0.0, 0.0);
    let mut driven = Driven::with_facts(&service, 1_000, |facts| {
        facts.is_repeatable = false;
        facts.attempts_most = 1;
    });
    let first = driven.target(0);
    for attempt in 0..2 {
        let id = driven.attempts[attempt].take().unwrap().id;
        let outcome = AttemptOutcome::NotSent;
        driven.handle(
            1_300,
            Event::AttemptEnded {
                attempt: id,
                outcome,
            },
        );
    }
    assert_eq!(driven.attempts.len(), 3);
    assert_ne!(driven.target(2), first);
}

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

/// Answers of a target that turns slow just after each request has begun, after `took_ms` each.
fn service_whose_work_took(took_ms: u64) -> Arc<ServiceState> {
    let service = service(1, 4);
    for round in 0..20 {
        let start_ms = 1_000 + round * 2_000;
        report(&service, 0, start_ms, 1.0);
        let mut driven = Driven::new(&service, false, start_ms);
        report(&service, 0, start_ms + 1, 1.0);
        driven.answer_with(0, start_ms + 5, start_ms + took_ms, 5.0);
    }
    service
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
    let lasting_ms = service.speed_lasts_ms();
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
        service.report_age_wanted()
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

/// Whatever the weights and wherever it begins, each part gets its share of a few hundred requests.
#[test]
fn a_split_keeps_its_weights_over_a_few_hundred_requests() {
    fn keeps(weights: Vec<u8>, start: u64) -> bool {
        let weights: Vec<f64> = weights.into_iter().take(5).map(f64::from).collect();
        let sum: f64 = weights.iter().sum();
        if sum <= 0.0 {
            return true;
        }
        let split = Split::new(weights.iter().copied(), start);
        let mut counts = vec![0; weights.len()];
        let requests = 300;
        for _ in 0..requests {
            counts[split.next_part()] += 1;
        }
        weights.iter().zip(counts).all(|(weight, count)| {
            let (share, expected) = (f64::from(count) / f64::from(requests), weight / sum);
            (share - expected).abs() < 0.02
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 5))
        .tests(2_000)
        .quickcheck(keeps as fn(Vec<u8>, u64) -> bool);
}

/// Added attempts of all entries together stay within the share of the requests and what all may send
/// at once, in any window, however the requests are spread over them.
#[test]
fn added_attempts_of_all_entries_stay_within_what_they_share() {
    fn stays_within(requests: Vec<u8>) -> bool {
        let entries: Vec<Arc<ServiceState>> = (0..6).map(|_| service(4, 4)).collect();
        for entry in &entries {
            entry.set_added_at_once(4.0, 0.0);
        }
        let mut hedges = 0;
        for (index, at) in requests.iter().enumerate() {
            let entry = &entries[usize::from(*at) % entries.len()];
            let start_ms = 1_000 + index as u64;
            report(entry, 0, start_ms, 1.0);
            for other in 1..4 {
                report(entry, other, start_ms, 3.0);
            }
            let mut driven = Driven::new(entry, true, start_ms);
            report(entry, 0, start_ms + 30, 30.0);
            report(entry, 1, start_ms + 30, 1.0);
            driven.wait(start_ms + 40);
            hedges += driven.attempts.len().saturating_sub(1);
        }
        hedges as f64 <= requests.len() as f64 * 0.2 + 6.0 * 4.0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 6))
        .tests(50)
        .quickcheck(stays_within as fn(Vec<u8>) -> bool);
}

/// Load after an outage of all entries: the callers of some seconds return at once to an entry that knows
/// nothing yet.
#[test]
fn the_last_slots_stay_empty_in_the_first_second_of_an_entry() {
    for (age_ms, sent) in [(100, 2), (2_000, 3)] {
        let service = service(1, 3);
        report(&service, 0, age_ms, 1.0);
        let together: Vec<Driven> = (0..3)
            .map(|_| Driven::new(&service, true, age_ms))
            .collect();
        let at_target = together.iter().filter(|driven| !driven.attempts.is_empty());
        assert_eq!(at_target.count(), sent, "{age_ms} ms old");
    }
}

#[test]
fn a_request_whose_attempt_broke_is_sent_to_no_more_targets_than_it_may() {
    let service = service_whose_work_took(100);
    let wide = service_with(
        4,
        json!({"policy": "forecast", "slots": 4, "hedge_budget_percent": 20.0}),
    );
    let service = Arc::new(ServiceState::new(&wide, Some(&service), at_ms(90_000)));
    let mut driven = Driven::with_facts(&service, 100_000, |facts| facts.attempts_most = 2);
    let id = driven.attempts[0].take().unwrap().id;
    let outcome = AttemptOutcome::Broken;
    driven.handle(
        100_005,
        Event::AttemptEnded {
            attempt: id,
            outcome,
        },
    );
    assert_eq!(driven.attempts.len(), 2, "it is tried again");
    driven.wait(101_000);
    assert_eq!(driven.attempts.len(), 2);
}

/// A calm moment: a target turns slow about when a request begins there, another one is idle and fast.
#[test]
fn a_request_that_may_have_begun_at_a_slow_target_is_hedged_while_that_can_be_in_time() {
    for (slowdown, attempts) in [(5.0, 2), (1.0, 1)] {
        let learned = service_whose_work_took(100);
        let fields = json!({"policy": "forecast", "slots": 4, "hedge_budget_percent": 20.0});
        let service = ServiceState::new(&service_with(2, fields), Some(&learned), at_ms(90_000));
        let service = Arc::new(service);
        service.set_added_at_once(4.0, 0.0);
        for target in 0..2 {
            report(&service, target, 99_990, 1.0);
        }
        let mut driven = Driven::new(&service, true, 100_000);
        let begun_at = driven.target(0);
        report(&service, begun_at, 100_020, slowdown);
        report(&service, 1 - begun_at, 100_020, 1.0);
        // Half of the aim has passed, and work that began at usual speed would mostly be done.
        driven.wait(100_150);
        assert_eq!(driven.attempts.len(), attempts, "said to be {slowdown}");
    }
}
