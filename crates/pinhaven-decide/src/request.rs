//! State machine of one request, from its arrival to its final answer.
//!
//! A driver holds one [`RequestState`] per request and passes each [`Event`] to it. The returned [`Step`] contains the
//! actions to perform and the time of the next timer event. The rules:
//!
//! - After an attempt that certainly did not run, any request may be sent again.
//! - After an attempt that may have run, only a repeatable request may be sent again.
//! - Added attempts are limited by the budgets of the service and by the number of attempts that the caller allows.
//! - A request at an entry that reaches no target is forwarded once to an entry that does.
//! - A request that can't be served any more is refused in the step in which this is determined.

use crate::availability::Availability;
use crate::choice::Choice;
use crate::choice::ChoiceConstraints;
use crate::choice::choose;
use crate::event::Action;
use crate::event::Attempt;
use crate::event::AttemptId;
use crate::event::ChoiceFacts;
use crate::event::Event;
use crate::event::Step;
use crate::fair_share::OrganisationShare;
use crate::forecast::TargetFilter;
use crate::forwarding::ForwardState;
use crate::progress::Progress;
use crate::refusal::RefusalReason;
use crate::refusal::RunState;
use crate::route::RouteState;
use crate::service::ServiceState;
use crate::stopping::StopPlan;
use crate::target::TargetState;
use crate::waiting::PRIORITY_MAX;
use crate::waiting::urgency;
use pinhaven_bundle::Policy;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::TargetAddress;
use pinhaven_types::require_promise;
use std::sync::Arc;

/// Maximum number of unsent attempts per request that don't count as added attempts.
pub(crate) const UNSENT_ATTEMPTS_MAX: u32 = 3;

/// Maximum number of attempts of a request whose caller states no maximum.
pub const ATTEMPTS_DEFAULT: u32 = 3;
/// Maximum wait at this entry, in typical times.
const WAIT_FACTOR_MAX: f32 = 4.0;
/// Maximum predicted wait in the queue of a target to which a request is sent, in typical times.
const QUEUE_WAIT_FACTOR_MAX: f32 = 4.0;
/// Maximum share of the time to the deadline that a request may wait.
const WAIT_SHARE_MAX: f32 = 0.5;
/// Utilization of the entry from which requests of the lowest priority are refused, from 0 to 1.
const LOWEST_PRIORITY_UTILIZATION_MAX: f32 = 0.6;

/// Properties of a request that are known on its arrival.
#[derive(Debug, Clone, Copy)]
pub struct RequestFacts {
    /// Whether the request may be run more than once.
    pub is_repeatable: bool,
    /// Whether the complete body is buffered, so that the request can be sent again.
    pub is_replayable: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Microseconds,
    /// Maximum number of attempts, the first included.
    pub attempts_max: u32,
    /// Utilization of the entry, from 0 to 1.
    pub entry_utilization: f32,
    /// Priority that the route sets, from 0 (refused first) to 3; `None` for the priority of the service.
    pub priority: Option<u8>,
    /// Time that the caller has already spent on earlier tries that failed.
    pub prior_wait: Microseconds,
    /// Size of the request's body as far as it is known, in bytes.
    pub body_bytes: u64,
    /// Organisation of the caller, if the caller has one.
    pub organisation: Option<OrganisationShare>,
    /// Whether another entry forwarded the request, so that it must not be forwarded again.
    pub is_forwarded: bool,
}

impl RequestFacts {
    /// Creates the facts of a request whose body is buffered, with defaults for the other properties.
    pub fn new(is_repeatable: bool, deadline: Microseconds) -> Self {
        Self {
            is_repeatable,
            is_replayable: true,
            deadline,
            attempts_max: ATTEMPTS_DEFAULT,
            entry_utilization: 0.0,
            priority: None,
            prior_wait: Microseconds::ZERO,
            body_bytes: 0,
            organisation: None,
            is_forwarded: false,
        }
    }
}

/// A request's record of an attempt that it made.
#[derive(Debug)]
pub(crate) struct SentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) target: Arc<TargetState>,
    pub(crate) at: Microseconds,
    pub(crate) is_ended: bool,
    /// Estimated progress of the target with the attempt, under the forecasting policy only.
    pub(crate) progress: Option<Progress>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    New,
    Waiting {
        until: Microseconds,
        filter: TargetFilter,
    },
    InFlight,
    Over,
}

/// State of one request.
#[derive(Debug)]
pub struct RequestState {
    pub(crate) facts: RequestFacts,
    pub(crate) route: Option<Arc<RouteState>>,
    pub(crate) arrived: Microseconds,
    pub(crate) phase: Phase,
    pub(crate) sent: Vec<SentAttempt>,
    pub(crate) tried: Vec<TargetAddress>,
    pub(crate) may_have_run: bool,
    /// Number of attempts that were never sent, because no connection was established or the target had closed.
    pub(crate) unsent: u32,
    /// Whether the request has begun to wait for a target of its own failure domain.
    pub(crate) has_waited_near: bool,
    pub(crate) hedge_at: Option<Microseconds>,
    pub(crate) has_outlasted_hedge_delay: bool,
    pub(crate) forward: ForwardState,
    /// Planned stop of the entry, once it has begun.
    pub(crate) stop: Option<StopPlan>,
}

impl RequestState {
    /// Creates the state of a request before its [`Event::Arrived`].
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
            has_waited_near: false,
            hedge_at: None,
            has_outlasted_hedge_delay: false,
            forward: ForwardState::default(),
            stop: None,
        }
    }

    /// Sets the route of the request.
    pub fn with_route(mut self, route: Arc<RouteState>) -> Self {
        self.route = Some(route);
        self
    }

    /// Whether the request has its final answer.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// The latency objective (aim) of the request, measured from the caller's first try: the aim of the route, or the
    /// time to the deadline without a route.
    pub(crate) fn aim(&self) -> Microseconds {
        match &self.route {
            Some(route) => route.aim(),
            None => self.facts.deadline.saturating_sub(self.arrived),
        }
    }

    /// Time of the caller's first try, by this entry's clock.
    pub(crate) fn first_try_at(&self) -> Microseconds {
        self.arrived.saturating_sub(self.facts.prior_wait)
    }

    /// Time of the first try of a request of the same route that has waited longer than this one, if there is one.
    pub(crate) fn longest_waiting(&self) -> Option<Microseconds> {
        let earliest = self.route.as_ref()?.waiting_since.earliest()?;
        (earliest < self.first_try_at()).then_some(earliest)
    }

    /// Time left at `now` to meet the aim, in milliseconds.
    pub(crate) fn time_to_aim_ms(&self, now: Microseconds) -> f32 {
        let aim_at = self.arrived.plus(self.aim());
        let effective_now = now.plus(self.facts.prior_wait);
        aim_at.saturating_sub(effective_now).as_ms() as f32
    }

    /// Priority of the organisation, or of the route where the organisation has none.
    pub(crate) fn priority(&self, service: &ServiceState) -> u8 {
        let of_route = self.facts.priority.unwrap_or(service.priority());
        self.organisation_priority().unwrap_or(of_route)
    }

    fn organisation_priority(&self) -> Option<u8> {
        self.facts.organisation?.priority
    }

    /// Urgency of the request among those that wait: the priority of the organisation, then that of the route.
    pub fn urgency(&self, service: &ServiceState) -> u8 {
        let of_route = self.facts.priority.unwrap_or(service.priority());
        urgency(self.organisation_priority(), of_route)
    }

    /// Maximum number of attempts that downstream services may make for `attempt`, `attempt` included. Only the first
    /// attempt passes on the remaining attempts, because attempts would otherwise multiply with each level of services.
    pub fn downstream_attempts(&self, attempt: AttemptId) -> u32 {
        if attempt.0 > 0 {
            return 1;
        }
        let made = self.sent.len() as u32;
        self.facts.attempts_max.saturating_sub(made) + 1
    }

    /// Limits the further attempts to `left`, the number that a downstream service reports as remaining.
    pub fn limit_added_attempts(&mut self, left: u32) {
        let made = self.sent.len() as u32;
        self.facts.attempts_max = self.facts.attempts_max.min(made + left);
    }

    /// Whether the next timer event may send a hedge.
    pub fn is_hedge_due(&self, now: Microseconds) -> bool {
        self.hedge_at.is_some_and(|at| now >= at)
    }

    /// Sends no further hedges, because the caller's organisation has no tokens for them. Retries are not affected.
    pub fn withhold_hedges(&mut self) {
        self.hedge_at = None;
    }

    /// Sets the planned stop of the entry, which has begun.
    pub fn set_stop(&mut self, stop: StopPlan) {
        self.stop = Some(stop);
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(
        &mut self,
        service: &Arc<ServiceState>,
        now: Microseconds,
        random: &mut fastrand::Rng,
        event: Event,
    ) -> Step {
        let mut actions = Vec::new();
        let mut handler = EventHandler {
            request: self,
            service,
            now,
            random,
            actions: &mut actions,
        };
        handler.handle_event(event);
        Step {
            actions,
            wake_at: self.wake_at(),
            awaits_capacity: matches!(
                self.phase,
                Phase::Waiting { filter, .. } if filter != TargetFilter::Near
            ),
        }
    }

    fn wake_at(&self) -> Option<Microseconds> {
        match self.phase {
            Phase::New | Phase::Over => None,
            Phase::Waiting { until, .. } => Some(until.min(self.facts.deadline)),
            Phase::InFlight => {
                let hedge_at = self.hedge_at.unwrap_or(self.facts.deadline);
                Some(hedge_at.min(self.facts.deadline))
            }
        }
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.sent.iter().any(|sent| !sent.is_ended) || self.forward.is_in_flight
    }

    pub(crate) fn run_state(&self) -> RunState {
        if self.may_have_run || self.has_attempt_in_flight() {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }
}

/// Handler of one event: the request with the state that it reads and the actions that it adds.
pub(crate) struct EventHandler<'event> {
    pub(crate) request: &'event mut RequestState,
    pub(crate) service: &'event Arc<ServiceState>,
    pub(crate) now: Microseconds,
    pub(crate) random: &'event mut fastrand::Rng,
    pub(crate) actions: &'event mut Vec<Action>,
}

impl EventHandler<'_> {
    fn handle_event(&mut self, event: Event) {
        match (self.request.phase, event) {
            (Phase::Over, _) => {}
            (_, Event::CallerLeft) => self.caller_left(),
            (_, Event::EntryStopping) => self.entry_stopping(),
            (Phase::New, Event::Arrived) => self.arrived(),
            (Phase::New, Event::ArrivedHeldBack { retry_after_ms }) => {
                self.request.arrived = self.now;
                self.hold_back(retry_after_ms);
            }
            (Phase::Waiting { .. }, Event::TimerFired | Event::CapacityFreed)
                if self.uses_forecast() =>
            {
                self.retry_admission();
            }
            (Phase::Waiting { until, .. }, Event::TimerFired) if self.now >= until => {
                self.end_wait();
                self.refuse(RefusalReason::Overloaded);
            }
            (Phase::Waiting { .. }, Event::CapacityFreed) => self.capacity_freed(),
            (Phase::InFlight, Event::TimerFired) => self.timer_fired(),
            (_, Event::AttemptEnded { attempt, outcome }) => self.attempt_ended(attempt, outcome),
            (_, Event::ForwardEnded { outcome }) => self.forward_ended(outcome),
            (_, Event::ConnectivityLost) => self.connectivity_lost(),
            _ => {}
        }
    }

    /// Whether the service uses the policy [`Policy::Forecast`].
    pub(crate) fn uses_forecast(&self) -> bool {
        self.service.policy() == Policy::Forecast
    }

    fn arrived(&mut self) {
        self.request.arrived = self.now;
        if !self.request.facts.is_forwarded {
            // The entry that received the request from its caller has added its share already.
            self.service.retry_budget.pay_in();
        }
        if self.request.facts.is_repeatable && !self.request.facts.is_forwarded {
            self.service.hedge_budget.pay_in();
        }
        if self.now >= self.request.facts.deadline {
            return self.refuse(RefusalReason::DeadlinePast);
        }
        let priority = self.request.priority(self.service);
        if self.request.facts.entry_utilization >= entry_utilization_max(priority) {
            return self.refuse(RefusalReason::EntryFull);
        }
        self.admit();
    }

    /// Sends the request, makes it wait or refuses it.
    pub(crate) fn admit(&mut self) {
        if self.may_outlast_stop() {
            return self.refuse(RefusalReason::StopTooNear);
        }
        if self.service.connectivity().is_lost() {
            return self.refuse(RefusalReason::Unreachable);
        }
        if self.uses_forecast() {
            return self.admit_by_forecast();
        }
        let has_capacity = (self.service.in_flight() as f32) < self.service.in_flight_limit();
        if !has_capacity {
            return self.wait_or_refuse();
        }
        if self.request.longest_waiting().is_some() {
            self.actions.push(Action::OfferCapacity);
            return self.wait_or_refuse();
        }
        let Some(choice) = self.choose() else {
            return match self.unavailable_until(self.now) {
                Some(reason) => self.refuse(reason),
                None => self.wait_or_refuse(),
            };
        };
        if self.service.predicted_wait_ms(choice.load) > self.wait_allowed_ms(QUEUE_WAIT_FACTOR_MAX)
        {
            return self.refuse(RefusalReason::Overloaded);
        }
        self.service.record_admission(false);
        self.send(choice.target, None);
    }

    /// Reason for which no target accepts requests by `until`; `None` if a target does.
    pub(crate) fn unavailable_until(&self, until: Microseconds) -> Option<RefusalReason> {
        match self.service.availability(self.now) {
            Availability::Unknown => Some(RefusalReason::NoTarget),
            Availability::Drained => Some(RefusalReason::Drained),
            Availability::At(at) if at > until => Some(RefusalReason::Resting),
            Availability::At(_) | Availability::Now => None,
        }
    }

    fn wait_or_refuse(&mut self) {
        let allowed_ms = self.wait_allowed_ms(WAIT_FACTOR_MAX);
        if allowed_ms <= 0.0 {
            return self.refuse(RefusalReason::NoTimeLeft);
        }
        if self.service.predicted_queue_wait_ms() > allowed_ms {
            return self.refuse(RefusalReason::Overloaded);
        }
        let until = self
            .now
            .plus(Microseconds::new((allowed_ms * 1_000.0) as u64));
        self.begin_wait(until, TargetFilter::Any);
    }

    /// Makes the request wait until a time or until capacity is freed at targets that `filter` admits.
    pub(crate) fn begin_wait(&mut self, until: Microseconds, filter: TargetFilter) {
        let urgency = self.request.urgency(self.service);
        self.service.begin_wait(urgency, filter);
        if let Some(share) = self.request.facts.organisation {
            self.service.fair_share.begin_wait(share, urgency, self.now);
        }
        if let Some(route) = self.route_to_wait_in(filter) {
            route.waiting_since.begin(self.request.first_try_at());
        }
        self.request.phase = Phase::Waiting { until, filter };
    }

    fn capacity_freed(&mut self) {
        let has_capacity = (self.service.in_flight() as f32) < self.service.in_flight_limit();
        if !has_capacity {
            return;
        }
        if self.request.longest_waiting().is_some() {
            return self.actions.push(Action::OfferCapacity);
        }
        self.end_wait();
        self.admit();
    }

    pub(crate) fn end_wait(&mut self) {
        let Phase::Waiting { filter, .. } = self.request.phase else {
            return;
        };
        let urgency = self.request.urgency(self.service);
        self.service.end_wait(urgency, filter);
        if let Some(share) = self.request.facts.organisation {
            self.service.fair_share.end_wait(share, urgency);
        }
        if let Some(route) = self.route_to_wait_in(filter) {
            route.waiting_since.end(self.request.first_try_at());
        }
        self.request.phase = Phase::New;
    }

    /// Time that the request may still wait, in milliseconds and at most `factor_max` typical times.
    fn wait_allowed_ms(&self, factor_max: f32) -> f32 {
        let left_ms = self.request.facts.deadline.saturating_sub(self.now).as_ms() as f32;
        let typical_ms = self.service.typical_ms();
        (left_ms - typical_ms)
            .min(left_ms * WAIT_SHARE_MAX)
            .min(typical_ms * factor_max)
    }

    pub(crate) fn choose(&mut self) -> Option<Choice> {
        let constraints = ChoiceConstraints {
            is_repeatable: self.request.facts.is_repeatable,
            tried: &self.request.tried,
        };
        choose(self.service, self.now, self.random, &constraints)
    }

    pub(crate) fn send(&mut self, target: Arc<TargetState>, chosen: Option<ChoiceFacts>) {
        let is_open = !target.is_closed(self.now);
        let holds = require_promise(Promise::LeavingTarget, is_open, || {
            format!(
                "{} was chosen although it leaves or rests, or its failure domain is drained",
                target.address()
            )
        });
        let may_send_again =
            self.request.facts.is_repeatable || self.request.run_state() == RunState::NotRun;
        let holds = holds
            && require_promise(Promise::AtMostOnce, may_send_again, || {
                "a request that may not be repeated would be sent again".to_owned()
            });
        if !holds {
            return self.refuse(RefusalReason::NoTarget);
        }
        let id = AttemptId(self.request.sent.len() as u32);
        self.service.begin(&target, self.now);
        self.service
            .crossings
            .record(self.service.is_near(&target), self.request.facts.body_bytes);
        if let Some(share) = self.request.facts.organisation {
            self.service.fair_share.record_use(share, self.now);
        }
        self.request.tried.push(target.address());
        self.request.sent.push(SentAttempt {
            id,
            target: Arc::clone(&target),
            at: self.now,
            is_ended: false,
            progress: None,
        });
        self.request.phase = Phase::InFlight;
        if id.0 == 0 && !self.uses_forecast() {
            self.schedule_hedge();
        }
        self.actions.push(Action::Send(Attempt {
            id,
            target,
            chosen,
            service: Arc::clone(self.service),
            started: self.now,
        }));
    }

    fn schedule_hedge(&mut self) {
        let facts = &self.request.facts;
        if facts.is_repeatable && facts.is_replayable && facts.attempts_max > 1 {
            self.request.hedge_at = Some(self.now.plus(self.service.hedge_delay()));
        }
    }

    fn timer_fired(&mut self) {
        if self.now >= self.request.facts.deadline {
            return self.refuse(RefusalReason::DeadlineCame);
        }
        if self.request.hedge_at.is_some_and(|at| self.now >= at) {
            self.request.hedge_at = None;
            if self.uses_forecast() {
                self.check_attempts();
            } else {
                self.hedge();
            }
        }
    }

    fn hedge(&mut self) {
        self.request.has_outlasted_hedge_delay = true;
        self.service.hedge_delay.record(true);
        if !self.has_attempts_left() {
            return;
        }
        let Some(choice) = self.choose() else {
            return;
        };
        if self.service.predicted_wait_ms(choice.load) > 0.0 {
            // All sampled targets have queues, and a hedge would lengthen one of them.
            return;
        }
        if !self.service.hedge_budget.take() {
            return;
        }
        self.service.count_hedge();
        self.send(choice.target, None);
    }

    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts_left() > 0
    }

    /// Number of attempts that may still be made.
    pub(crate) fn attempts_left(&self) -> u32 {
        let mut made = self.request.sent.len() as u32 + self.request.forward.sent;
        if self.uses_forecast() {
            made -= self.request.unsent.min(UNSENT_ATTEMPTS_MAX);
        }
        self.request.facts.attempts_max.saturating_sub(made)
    }
}

/// Utilization of the entry from which requests of a priority are refused.
fn entry_utilization_max(priority: u8) -> f32 {
    let step = (1.0 - LOWEST_PRIORITY_UTILIZATION_MAX) / f32::from(PRIORITY_MAX);
    LOWEST_PRIORITY_UTILIZATION_MAX + step * f32::from(priority.min(PRIORITY_MAX))
}
