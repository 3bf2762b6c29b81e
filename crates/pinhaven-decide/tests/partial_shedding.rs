//! Targets that turn away a part of their requests while their reports are good.
//!
//! Replays a load of 500 requests a second on 300 targets of which each turns away 55 of 100 requests at random, as in a
//! fault of a release that all targets got at once. The budgets are those of a deployment that allows one added attempt
//! for five requests, and an entry's part of its burst.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::report;
use common::driven::service;
use common::service_with;
use pinhaven_decide::Action;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of targets.
const TARGETS: u16 = 300;
/// Share of attempts that are turned away.
const TURNED_AWAY: f32 = 0.55;
/// Number of requests, and time between two of them.
const REQUESTS: u64 = 4_000;
const INTERVAL_MS: u64 = 2;
/// Work of a request and its aim.
const WORK_MS: u64 = 700;
const AIM_MS: u64 = 2_000;
/// Number of requests between two reports of all targets.
const REPORT_EVERY: u64 = 25;
/// Budgets, in percent of requests.
const HEDGES_PERCENT: f64 = 13.0;
const RETRIES_PERCENT: f64 = 5.0;
/// Burst of hedges and of retries.
const BURST: f32 = 20.0;
/// Priorities of the more and the less urgent requests, which alternate.
const URGENT: u8 = 2;
const LESS_URGENT: u8 = 1;

/// Requests that ended at their first or second attempt, and those that were refused, by priority.
#[derive(Debug, Default, Clone, Copy)]
struct Ends {
    first: u32,
    second: u32,
    refused: u32,
}

fn loaded_service() -> Arc<ServiceState> {
    let fields = json!({
        "policy": "forecast", "slots": 6,
        "hedge_budget_percent": HEDGES_PERCENT, "retry_budget_percent": RETRIES_PERCENT,
    });
    let service = Arc::new(ServiceState::new(
        &service_with(TARGETS, fields),
        None,
        at_ms(0),
    ));
    service.set_added_attempt_burst(BURST, BURST);
    service
}

/// A request that is not over, with the time at which each of its attempts ends and whether it is turned away.
struct Live {
    request: Driven,
    priority: u8,
    attempts: Vec<(u64, bool)>,
}

impl Live {
    /// Advances the request to `time_ms`. Returns how it ended, if it did: the attempt that was answered, or `None` for
    /// a refusal.
    fn advance(&mut self, time_ms: u64, random: &mut fastrand::Rng) -> Option<Option<usize>> {
        self.request.wait(time_ms);
        loop {
            while self.attempts.len() < self.request.attempts.len() {
                let is_turned_away = random.f32() < TURNED_AWAY;
                let duration_ms = if is_turned_away { 1 } else { WORK_MS };
                self.attempts.push((time_ms + duration_ms, is_turned_away));
            }
            if self.request.refusal().is_some() {
                return Some(None);
            }
            let is_over = |index: &usize| {
                self.request.attempts[*index].is_some() && self.attempts[*index].0 <= time_ms
            };
            let index = (0..self.attempts.len()).find(is_over)?;
            if !self.attempts[index].1 {
                self.request.answer(index, time_ms);
                return Some(Some(index));
            }
            let ended = Event::AttemptEnded {
                attempt: self.request.attempts[index].take().unwrap().id,
                outcome: AttemptOutcome::Shed { report: None },
            };
            self.request.handle(time_ms, ended);
        }
    }
}

/// Plays the load, with the priority that `priority_of` gives for the number of a request.
fn play(priority_of: impl Fn(u64) -> u8) -> BTreeMap<u8, Ends> {
    let service = loaded_service();
    let route = Arc::new(RouteState::new(AIM_MS));
    let mut random = fastrand::Rng::with_seed(38);
    let mut ends: BTreeMap<u8, Ends> = BTreeMap::new();
    let mut live: Vec<Live> = Vec::new();
    for number in 0..REQUESTS + AIM_MS {
        let time_ms = 2_000 + number * INTERVAL_MS;
        if number % REPORT_EVERY == 0 {
            for target in 0..usize::from(TARGETS) {
                report(&service, target, time_ms, 1.0);
            }
        }
        if number < REQUESTS {
            let priority = priority_of(number);
            let request = Driven::on_route(&service, &route, time_ms, |facts| {
                facts.attempts_max = 2;
                facts.priority = Some(priority);
                facts.deadline = at_ms(time_ms + 15_000);
            });
            live.push(Live {
                request,
                priority,
                attempts: Vec::new(),
            });
        }
        live.retain_mut(|live| {
            let end = live.advance(time_ms, &mut random);
            let ends = ends.entry(live.priority).or_default();
            match end {
                Some(Some(0)) => ends.first += 1,
                Some(Some(_)) => ends.second += 1,
                Some(None) => ends.refused += 1,
                None => return true,
            }
            false
        });
    }
    assert!(live.is_empty(), "{} requests are not over", live.len());
    ends
}

/// Guards against retries that are refused while the budget of hedges goes unused: a hedge makes an answer earlier, and
/// a retry makes one of a refusal.
#[test]
fn retries_use_what_hedges_leave_and_stay_within_both_budgets() {
    let ends = play(|_| URGENT)[&URGENT];
    assert_eq!(u64::from(ends.first + ends.second + ends.refused), REQUESTS);
    let both_percent = HEDGES_PERCENT + RETRIES_PERCENT;
    let budget = REQUESTS as f64 * both_percent / 100.0 + 2.0 * f64::from(BURST);
    // 45 of 100 second attempts are answered.
    let expected = budget * f64::from(1.0 - TURNED_AWAY);
    let second = f64::from(ends.second);
    assert!(
        second >= expected * 0.85,
        "{ends:?}, expected {expected:.0}"
    );
    assert!(
        second <= expected * 1.15,
        "{ends:?}, expected {expected:.0}"
    );
}

/// Guards against second attempts that go to whoever comes first.
#[test]
fn more_urgent_requests_get_the_second_attempts_while_there_are_too_few() {
    let ends = play(|number| match number % 2 {
        0 => URGENT,
        _ => LESS_URGENT,
    });
    let (urgent, less_urgent) = (ends[&URGENT], ends[&LESS_URGENT]);
    assert!(urgent.second >= 10 * less_urgent.second, "{ends:?}");
    assert!(urgent.refused < less_urgent.refused, "{ends:?}");
}

/// Guards against a budget that is used up by requests for which there is no second target.
#[test]
fn a_retry_without_a_target_leaves_the_budget_to_others() {
    let fields = json!({
        "policy": "forecast", "slots": 6, "hedge_budget_percent": 0, "retry_budget_percent": 5,
    });
    let service = Arc::new(ServiceState::new(&service_with(2, fields), None, at_ms(0)));
    service.set_added_attempt_burst(0.0, 1.0);
    let rest = Some(Microseconds::from_ms(100));
    let leaves = false;
    service.targets()[1].record_orders(&AnswerOrders { leaves, rest }, at_ms(2_000));
    for (time_ms, attempts) in [(2_010, 1), (2_200, 2)] {
        let mut request = Driven::new(&service, false, time_ms);
        let shed = Event::AttemptEnded {
            attempt: request.attempts[0].take().unwrap().id,
            outcome: AttemptOutcome::Shed { report: None },
        };
        request.handle(time_ms + 1, shed);
        assert_eq!(request.attempts.len(), attempts, "at {time_ms} ms");
    }
}

/// Guards against hedges that take what a request that was turned away needs.
#[test]
fn hedges_wait_while_retries_need_their_budget() {
    for (needs_retry, hedges) in [(false, 1), (true, 0)] {
        let service = service(4, 4);
        service.set_added_attempt_burst(10.0, 0.0);
        for target in 1..4 {
            report(&service, target, 1_000, 3.0);
        }
        report(&service, 0, 1_000, 1.0);
        let mut hedged = Driven::new(&service, true, 1_001);
        assert_eq!(hedged.target(0), 0);
        for time_ms in (1_010..1_060).step_by(10) {
            if needs_retry && time_ms == 1_010 {
                let mut turned_away = Driven::new(&service, false, time_ms);
                let shed = Event::AttemptEnded {
                    attempt: turned_away.attempts[0].take().unwrap().id,
                    outcome: AttemptOutcome::Shed { report: None },
                };
                turned_away.handle(time_ms, shed);
                assert_eq!(turned_away.attempts.len(), 2);
            }
            report(&service, 0, time_ms, 9.0);
            report(&service, 1, time_ms, 1.0);
            hedged.wait(time_ms);
        }
        assert_eq!(hedged.attempts.len(), 1 + hedges, "retries: {needs_retry}");
    }
}

/// A request of this priority that arrives at `time_ms` and is turned away by its first target. Returns whether it is
/// sent again.
fn is_sent_again(service: &Arc<ServiceState>, priority: u8, time_ms: u64) -> bool {
    let mut request = Driven::with_facts(service, time_ms, |facts| {
        facts.is_repeatable = false;
        facts.priority = Some(priority);
    });
    let shed = Event::AttemptEnded {
        attempt: request.attempts[0].take().unwrap().id,
        outcome: AttemptOutcome::Shed { report: None },
    };
    request.handle(time_ms + 1, shed);
    let is_sent_again = request.attempts.len() > 1;
    if is_sent_again {
        request.answer(1, time_ms + 2);
    }
    is_sent_again
}

/// Guards against a budget that less urgent requests have used up when a more urgent one needs a retry.
#[test]
fn less_urgent_requests_leave_half_of_the_budget_while_more_urgent_ones_need_it() {
    let fields = json!({
        "policy": "forecast", "slots": 6, "hedge_budget_percent": 0, "retry_budget_percent": 0.01,
    });
    let service = Arc::new(ServiceState::new(
        &service_with(TARGETS, fields),
        None,
        at_ms(0),
    ));
    service.set_added_attempt_burst(0.0, 8.0);
    assert!(is_sent_again(&service, URGENT, 2_000));
    let less_urgent = (0..8).filter(|n| is_sent_again(&service, LESS_URGENT, 2_010 + n * 10));
    assert_eq!(less_urgent.count(), 3, "of seven left, four are kept");
    let urgent = (0..8).filter(|n| is_sent_again(&service, URGENT, 2_200 + n * 10));
    assert_eq!(urgent.count(), 4);
}

/// Guards against callers that are sent away for as long as a backlog would take to drain where there is none: the
/// delay alone made most of their requests late.
#[test]
fn a_caller_that_was_turned_away_comes_back_at_once_if_and_only_if_slots_are_free() {
    for (in_flight, is_free) in [(1, true), (6, false)] {
        let service = loaded_service();
        service.set_added_attempt_burst(0.0, 0.0);
        for target in 0..usize::from(TARGETS) {
            report(&service, target, 2_000, 1.0);
        }
        let mut request = Driven::new(&service, false, 2_001);
        for target in service.targets() {
            target.record_peer_in_flight(0, in_flight);
        }
        let shed = Event::AttemptEnded {
            attempt: request.attempts[0].take().unwrap().id,
            outcome: AttemptOutcome::Shed { report: None },
        };
        request.handle(2_002, shed);
        let [Action::Refuse(refusal)] = request.step.actions.as_slice() else {
            panic!("no refusal: {:?}", request.step.actions);
        };
        assert_eq!(refusal.reason, RefusalReason::Shed);
        let delay_ms = refusal.retry_after_ms;
        assert_eq!(delay_ms < 50, is_free, "{in_flight} in flight: {delay_ms}");
        assert!(
            is_free || delay_ms >= 100,
            "{in_flight} in flight: {delay_ms}"
        );
    }
}

#[test]
fn less_urgent_requests_get_all_second_attempts_while_no_other_needs_one() {
    let ends = play(|_| LESS_URGENT)[&LESS_URGENT];
    let urgent = play(|_| URGENT)[&URGENT];
    assert_eq!(ends.second, urgent.second);
}
