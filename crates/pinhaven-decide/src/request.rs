//! The life of one request, from its arrival to its final answer.
//!
//! A driver keeps one [`RequestState`] a request and hands it each [`Event`]; the [`Step`] that comes
//! back says what to do and when to call again if nothing happens before. The rules:
//!
//! - An attempt that is proved not to have run may be followed by another, whatever the request.
//! - An attempt whose fate is unknown is followed by another only if the request may be repeated.
//! - Added attempts are paid for from budgets, and from what the caller left of its own.
//! - A request that is given up on is refused in the same step, never later.

use crate::availability::Availability;
use crate::choice::Choice;
use crate::choice::Wanted;
use crate::choice::choose;
use crate::event::Action;
use crate::event::Attempt;
use crate::event::AttemptId;
use crate::event::ChoiceFacts;
use crate::event::Event;
use crate::event::Step;
use crate::progress::Progress;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::route::RouteState;
use crate::service::ServiceState;
use crate::target::TargetState;
use crate::waiting::PRIORITY_MAX;
use pinhaven_bundle::Policy;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::TargetAddress;
use pinhaven_types::require_promise;
use std::sync::Arc;

/// Attempts without a connection that cost nothing of what may be added.
pub(crate) const UNSENT_MOST: u32 = 3;

/// Attempts that a request may make when its caller names no number.
pub const ATTEMPTS_DEFAULT: u32 = 3;
/// The longest wait at this entry, in typical times.
const WAIT_MAX: f32 = 4.0;
/// The longest queue at a target that a request joins, in typical times.
const QUEUE_MAX: f32 = 4.0;
/// Share of the remaining time that may be spent on waiting.
const WAIT_SHARE_MAX: f32 = 0.5;
/// Use of the entry from which the lowest priority is refused.
const ENTRY_USE_LOWEST: f32 = 0.6;

/// What is known of a request when it arrives.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts {
    /// Whether it may be run more than once.
    pub is_repeatable: bool,
    /// Whether its body is held whole, so that it can be sent again.
    pub is_replayable: bool,
    /// When its caller stops waiting.
    pub deadline: Microseconds,
    /// Attempts that it may make in all.
    pub attempts_most: u32,
    /// Share of what the entry can hold that is in use, from 0 to 1.
    pub entry_use: f32,
    /// Importance from 0 (refused first) to 3, where its route says; else the service's.
    pub priority: Option<u8>,
    /// How long its caller has waited before, on tries that failed.
    pub waited: Microseconds,
}

impl RequestFacts {
    /// The facts of a request with its body at hand.
    pub fn new(is_repeatable: bool, deadline: Microseconds) -> Self {
        Self {
            is_repeatable,
            is_replayable: true,
            deadline,
            attempts_most: ATTEMPTS_DEFAULT,
            entry_use: 0.0,
            priority: None,
            waited: Microseconds::ZERO,
        }
    }
}

/// An attempt as the request remembers it.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) id: AttemptId,
    pub(crate) target: Arc<TargetState>,
    pub(crate) at: Microseconds,
    pub(crate) is_ended: bool,
    /// How far the target has come with it; kept by the forecasting policy.
    pub(crate) progress: Option<Progress>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    New,
    Waiting { until: Microseconds },
    UnderWay,
    Over,
}

/// A request's own state.
#[derive(Debug)]
pub struct RequestState {
    pub(crate) facts: RequestFacts,
    pub(crate) route: Option<Arc<RouteState>>,
    pub(crate) arrived: Microseconds,
    pub(crate) phase: Phase,
    pub(crate) sent: Vec<Sent>,
    pub(crate) tried: Vec<TargetAddress>,
    pub(crate) may_have_run: bool,
    /// Attempts that were never sent, as no connection came up.
    pub(crate) unsent: u32,
    pub(crate) hedge_at: Option<Microseconds>,
    pub(crate) has_outlasted: bool,
}

impl RequestState {
    /// A request that has not arrived yet.
    pub fn new(facts: RequestFacts) -> Self {
        Self {
            facts,
            route: None,
            arrived: Microseconds::ZERO,
            phase: Phase::New,
            sent: Vec::new(),
            tried: Vec::new(),
            may_have_run: false,
            unsent: 0,
            hedge_at: None,
            has_outlasted: false,
        }
    }

    /// The same on a route.
    pub fn with_route(mut self, route: Arc<RouteState>) -> Self {
        self.route = Some(route);
        self
    }

    /// Whether the request has its final answer.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// The time within which an answer is worth all it can be, from the caller's first try on.
    pub(crate) fn aim(&self) -> Microseconds {
        match &self.route {
            Some(route) => route.aim(),
            None => self.facts.deadline.saturating_sub(self.arrived),
        }
    }

    /// What is left of the aim at `now`, in milliseconds.
    pub(crate) fn to_aim_ms(&self, now: Microseconds) -> f32 {
        let aim_at = self.arrived.plus(self.aim());
        let spent = now.plus(self.facts.waited);
        aim_at.saturating_sub(spent).as_ms() as f32
    }

    pub(crate) fn priority(&self, service: &ServiceState) -> u8 {
        self.facts.priority.unwrap_or(service.priority())
    }

    /// Attempts that services further down may make for `attempt`, its own included. Only the first
    /// attempt hands its extra ones down, so that they don't multiply from level to level.
    pub fn attempts_to_hand_down(&self, attempt: AttemptId) -> u32 {
        if attempt.0 > 0 {
            return 1;
        }
        let made = self.sent.len() as u32;
        self.facts.attempts_most.saturating_sub(made) + 1
    }

    /// Takes in that a service further down has left only `left` added attempts.
    pub fn limit_added_attempts(&mut self, left: u32) {
        let made = self.sent.len() as u32;
        self.facts.attempts_most = self.facts.attempts_most.min(made + left);
    }

    /// Takes an event in and says what to do.
    pub fn handle(
        &mut self,
        service: &Arc<ServiceState>,
        now: Microseconds,
        random: &mut fastrand::Rng,
        event: Event,
    ) -> Step {
        let mut actions = Vec::new();
        let mut turn = Turn {
            request: self,
            service,
            now,
            random,
            actions: &mut actions,
        };
        turn.take(event);
        Step {
            actions,
            wake_at: self.wake_at(),
            wants_place: matches!(self.phase, Phase::Waiting { .. }),
        }
    }

    fn wake_at(&self) -> Option<Microseconds> {
        match self.phase {
            Phase::New | Phase::Over => None,
            Phase::Waiting { until } => Some(until.min(self.facts.deadline)),
            Phase::UnderWay => {
                let hedge_at = self.hedge_at.unwrap_or(self.facts.deadline);
                Some(hedge_at.min(self.facts.deadline))
            }
        }
    }

    pub(crate) fn is_under_way(&self) -> bool {
        self.sent.iter().any(|sent| !sent.is_ended)
    }

    pub(crate) fn run_state(&self) -> RunState {
        if self.may_have_run || self.is_under_way() {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }
}

/// One event being taken in.
pub(crate) struct Turn<'turn> {
    pub(crate) request: &'turn mut RequestState,
    pub(crate) service: &'turn Arc<ServiceState>,
    pub(crate) now: Microseconds,
    pub(crate) random: &'turn mut fastrand::Rng,
    pub(crate) actions: &'turn mut Vec<Action>,
}

impl Turn<'_> {
    fn take(&mut self, event: Event) {
        match (self.request.phase, event) {
            (Phase::Over, _) => {}
            (_, Event::CallerLeft) => self.caller_left(),
            (_, Event::EntryEnds) => self.entry_ends(),
            (Phase::New, Event::Arrived) => self.arrived(),
            (Phase::New, Event::ArrivedHeldBack { retry_after_ms }) => {
                self.request.arrived = self.now;
                self.hold_back(retry_after_ms);
            }
            (Phase::Waiting { .. }, Event::TimeCame | Event::PlaceFreed) if self.forecasts() => {
                self.look_again();
            }
            (Phase::Waiting { until }, Event::TimeCame) if self.now >= until => {
                self.end_wait();
                self.refuse(RefusalReason::Overloaded);
            }
            (Phase::Waiting { .. }, Event::PlaceFreed) => self.place_freed(),
            (Phase::UnderWay, Event::TimeCame) => self.time_came(),
            (_, Event::AttemptEnded { attempt, outcome }) => self.attempt_ended(attempt, outcome),
            _ => {}
        }
    }

    /// Whether the service's policy is the forecasting one.
    pub(crate) fn forecasts(&self) -> bool {
        self.service.policy() == Policy::Forecast
    }

    fn arrived(&mut self) {
        self.request.arrived = self.now;
        self.service.retry_budget.pay_in();
        if self.request.facts.is_repeatable {
            self.service.hedge_budget.pay_in();
        }
        if self.now >= self.request.facts.deadline {
            return self.refuse(RefusalReason::DeadlinePast);
        }
        let priority = self.request.priority(self.service);
        if self.request.facts.entry_use >= entry_use_most(priority) {
            return self.refuse(RefusalReason::EntryFull);
        }
        self.admit();
    }

    /// Sends the request, lets it wait, or refuses it.
    fn admit(&mut self) {
        if self.forecasts() {
            return self.admit_by_forecast();
        }
        let has_place = (self.service.in_flight() as f32) < self.service.in_flight_limit();
        if !has_place {
            return self.wait_or_refuse();
        }
        let Some(choice) = self.choose() else {
            return match self.closed_until(self.now) {
                Some(reason) => self.refuse(reason),
                None => self.wait_or_refuse(),
            };
        };
        if self.service.predicted_wait_ms(choice.load) > self.wait_allowed_ms(QUEUE_MAX) {
            return self.refuse(RefusalReason::Overloaded);
        }
        self.service.record_admission(false);
        self.send(choice.target, None);
    }

    /// Why no target could take the request before `until`, as all leave or rest; `None` where one may.
    pub(crate) fn closed_until(&self, until: Microseconds) -> Option<RefusalReason> {
        match self.service.availability(self.now) {
            Availability::Unknown => Some(RefusalReason::NoTarget),
            Availability::At(at) if at > until => Some(RefusalReason::Resting),
            Availability::At(_) | Availability::Now => None,
        }
    }

    fn wait_or_refuse(&mut self) {
        let allowed_ms = self.wait_allowed_ms(WAIT_MAX);
        if allowed_ms <= 0.0 {
            return self.refuse(RefusalReason::NoTimeLeft);
        }
        if self.service.predicted_queue_wait_ms() > allowed_ms {
            return self.refuse(RefusalReason::Overloaded);
        }
        let until = self
            .now
            .plus(Microseconds::new((allowed_ms * 1_000.0) as u64));
        let priority = self.request.priority(self.service);
        self.service.begin_wait(priority);
        self.request.phase = Phase::Waiting { until };
    }

    fn place_freed(&mut self) {
        let has_place = (self.service.in_flight() as f32) < self.service.in_flight_limit();
        if !has_place {
            return;
        }
        self.end_wait();
        self.admit();
    }

    pub(crate) fn end_wait(&mut self) {
        let priority = self.request.priority(self.service);
        self.service.end_wait(priority);
        self.request.phase = Phase::New;
    }

    /// Time that the request may still wait, in milliseconds.
    fn wait_allowed_ms(&self, most: f32) -> f32 {
        let left_ms = self.request.facts.deadline.saturating_sub(self.now).as_ms() as f32;
        let typical_ms = self.service.typical_ms();
        (left_ms - typical_ms)
            .min(left_ms * WAIT_SHARE_MAX)
            .min(typical_ms * most)
    }

    pub(crate) fn choose(&mut self) -> Option<Choice> {
        let wanted = Wanted {
            is_repeatable: self.request.facts.is_repeatable,
            tried: &self.request.tried,
        };
        choose(self.service, self.now, self.random, &wanted)
    }

    pub(crate) fn send(&mut self, target: Arc<TargetState>, chosen: Option<ChoiceFacts>) {
        let is_open = !target.is_closed(self.now);
        let holds = require_promise(Promise::LeavingTarget, is_open, || {
            format!("{} is leaving or rests and was chosen", target.address())
        });
        let once = self.request.facts.is_repeatable || self.request.run_state() == RunState::NotRun;
        let holds = holds
            && require_promise(Promise::AtMostOnce, once, || {
                "a request that may not be repeated would be sent again".to_owned()
            });
        if !holds {
            return self.refuse(RefusalReason::NoTarget);
        }
        let id = AttemptId(self.request.sent.len() as u32);
        self.service.begin(&target, self.now);
        self.request.tried.push(target.address());
        self.request.sent.push(Sent {
            id,
            target: Arc::clone(&target),
            at: self.now,
            is_ended: false,
            progress: None,
        });
        self.request.phase = Phase::UnderWay;
        if id.0 == 0 && !self.forecasts() {
            self.plan_hedge();
        }
        self.actions.push(Action::Send(Attempt {
            id,
            target,
            chosen,
            service: Arc::clone(self.service),
            started: self.now,
        }));
    }

    fn plan_hedge(&mut self) {
        let facts = &self.request.facts;
        if facts.is_repeatable && facts.is_replayable && facts.attempts_most > 1 {
            self.request.hedge_at = Some(self.now.plus(self.service.hedge_delay()));
        }
    }

    fn time_came(&mut self) {
        if self.now >= self.request.facts.deadline {
            return self.refuse(RefusalReason::DeadlineCame);
        }
        if self.request.hedge_at.is_some_and(|at| self.now >= at) {
            self.request.hedge_at = None;
            if self.forecasts() {
                self.look_at_attempts();
            } else {
                self.hedge();
            }
        }
    }

    fn hedge(&mut self) {
        self.request.has_outlasted = true;
        self.service.hedge_delay.record(true);
        if !self.has_attempts_left() {
            return;
        }
        let Some(choice) = self.choose() else {
            return;
        };
        if self.service.predicted_wait_ms(choice.load) > 0.0 {
            // Every target looked at has a queue: a hedge would only lengthen one.
            return;
        }
        if !self.service.hedge_budget.take() {
            return;
        }
        self.service.count_hedge();
        self.send(choice.target, None);
    }

    pub(crate) fn has_attempts_left(&self) -> bool {
        let mut made = self.request.sent.len() as u32;
        if self.forecasts() {
            made -= self.request.unsent.min(UNSENT_MOST);
        }
        made < self.request.facts.attempts_most
    }
}

/// Use of the entry up to which a priority is served.
fn entry_use_most(priority: u8) -> f32 {
    let step = (1.0 - ENTRY_USE_LOWEST) / f32::from(PRIORITY_MAX);
    ENTRY_USE_LOWEST + step * f32::from(priority.min(PRIORITY_MAX))
}
