//! Test driver for a request under the forecasting policy.

use super::at_ms;
use super::service_with;
use pinhaven_decide::Action;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::LoadReport;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RouteState;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::Step;
use serde_json::json;
use std::sync::Arc;

/// Default aim of a request. Until its work is measured, the work at usual speed is estimated as a third of the aim.
pub const AIM_MS: u64 = 300;
/// Aim of requests that are short enough to end before the speed of a target changes.
pub const SHORT_AIM_MS: u64 = 120;
/// Aim of requests during which the speed of a target may change.
pub const LONG_AIM_MS: u64 = 900;

pub fn service(targets: u16, slots: u32) -> Arc<ServiceState> {
    let fields = json!({"policy": "forecast", "slots": slots, "hedge_budget_percent": 20.0});
    let service = service_with(targets, fields);
    Arc::new(ServiceState::new(&service, None, at_ms(0)))
}

pub fn report(service: &ServiceState, target: usize, time_ms: u64, slowdown: f32) {
    let report = LoadReport {
        slowdown: Some(slowdown),
        ..LoadReport::default()
    };
    service.record_report(&service.targets()[target], at_ms(time_ms), &report);
}

pub struct Driven {
    pub service: Arc<ServiceState>,
    pub request: RequestState,
    pub random: fastrand::Rng,
    /// Attempts by index; `None` for an attempt that has ended.
    pub attempts: Vec<Option<Attempt>>,
    pub step: Step,
}

impl Driven {
    pub fn new(service: &Arc<ServiceState>, is_repeatable: bool, time_ms: u64) -> Self {
        Self::with_facts(service, time_ms, |facts| {
            facts.is_repeatable = is_repeatable
        })
    }

    pub fn with_facts(
        service: &Arc<ServiceState>,
        time_ms: u64,
        change: impl FnOnce(&mut RequestFacts),
    ) -> Self {
        Self::with_aim(service, time_ms, AIM_MS, change)
    }

    pub fn with_aim(
        service: &Arc<ServiceState>,
        time_ms: u64,
        aim_ms: u64,
        change: impl FnOnce(&mut RequestFacts),
    ) -> Self {
        Self::on_route(service, &Arc::new(RouteState::new(aim_ms)), time_ms, change)
    }

    /// Creates a request of a route that it shares with others.
    pub fn on_route(
        service: &Arc<ServiceState>,
        route: &Arc<RouteState>,
        time_ms: u64,
        change: impl FnOnce(&mut RequestFacts),
    ) -> Self {
        let mut facts = RequestFacts::new(true, at_ms(time_ms + 2_000));
        change(&mut facts);
        let mut driven = Self {
            service: Arc::clone(service),
            request: RequestState::new(facts).with_route(Arc::clone(route)),
            random: fastrand::Rng::with_seed(9),
            attempts: Vec::new(),
            step: Step::default(),
        };
        driven.handle(time_ms, Event::Arrived);
        driven
    }

    pub fn handle(&mut self, time_ms: u64, event: Event) {
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

    /// Advances the time to `until_ms` and passes in the timer events that the request asks for.
    pub fn wait(&mut self, until_ms: u64) {
        while let Some(wake_at) = self.step.wake_at.filter(|at| *at <= at_ms(until_ms)) {
            let wake_ms = wake_at.saturating_sub(at_ms(0)).count().div_ceil(1_000);
            self.handle(wake_ms, Event::TimerFired);
        }
    }

    pub fn target(&self, attempt: usize) -> usize {
        let address = self.attempts[attempt].as_ref().unwrap().target.address();
        let targets = self.service.targets();
        targets
            .iter()
            .position(|target| target.address() == address)
            .unwrap()
    }

    pub fn answer(&mut self, attempt: usize, time_ms: u64) {
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

    /// Reports `slowdown` for the target of `attempt` at `slow_ms`, and answers the attempt at `time_ms`.
    pub fn answer_with(&mut self, attempt: usize, slow_ms: u64, time_ms: u64, slowdown: f32) {
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

    pub fn refusal(&self) -> Option<RefusalReason> {
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

/// Creates a service whose only target reports a slowdown shortly after the start of each of 20 requests and answers
/// each request after `took_ms`.
pub fn service_whose_work_took(took_ms: u64) -> Arc<ServiceState> {
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
