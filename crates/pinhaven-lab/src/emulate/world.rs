//! Entries, targets and callers in emulated time. Emulated entries decide with the code of real entries;
//! everything around the decision code is emulated.

mod changes;
mod domain_changes;

use self::domain_changes::Direction;
use super::entry::CALLER_ROUND_TRIP_MS;
use super::entry::EmulatedEntry;
use super::entry::FIRST_PORT;
use super::entry::START_MS;
use super::entry::new_entry;
use super::orders::orders_of;
use super::outcome::Outcome;
use super::outcome::Tally;
use super::plan::Change;
use super::plan::EmulationPlan;
use super::queue::EmulatedEvent;
use super::queue::Queue;
use super::shared::load_factor;
use super::slot_use::SlotUse;
use super::target::Admission;
use super::target::EmulatedTarget;
use super::target::Work;
use pinhaven_decide::Action;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::OrganisationShare;
use pinhaven_decide::Refusal;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RunState;
use pinhaven_types::Microseconds;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// One-way network delay between an entry and a target, in milliseconds.
const TARGET_DELAY_MS: f64 = 0.7;
/// Standard deviation of the logarithm of a request's work.
const WORK_SIGMA: f64 = 0.3;
/// Interval between checks for targets to probe, in milliseconds.
const PROBE_CHECK_INTERVAL_MS: f64 = 15.0;

/// A caller's request, with its retries after refusals.
struct Call {
    kind: usize,
    /// Failure domain of the caller.
    domain: usize,
    organisation: Option<usize>,
    entry: usize,
    started_ms: f64,
    tries: u32,
    state: RequestState,
    attempts: HashMap<u32, (Attempt, usize)>,
    awaits_capacity: bool,
    is_over: bool,
}

/// State of an emulation run.
pub(super) struct World<'plan> {
    plan: &'plan EmulationPlan,
    random: fastrand::Rng,
    now_ms: f64,
    queue: Queue,
    targets: Vec<EmulatedTarget>,
    entries: Vec<EmulatedEntry>,
    calls: Vec<Call>,
    /// Requests that have passed on the notification of freed capacity that is being handled.
    passed_on: Vec<usize>,
    tally: Tally,
}

impl<'plan> World<'plan> {
    pub(super) fn new(plan: &'plan EmulationPlan) -> Self {
        let mut random = fastrand::Rng::with_seed(plan.seed);
        let slow_share = plan.target.slow_share;
        let targets =
            (0..plan.targets).map(|_| EmulatedTarget::new(plan.target, random.f64() < slow_share));
        Self {
            targets: targets.collect(),
            entries: (0..plan.entries)
                .map(|entry| {
                    let start = Microseconds::new((START_MS * 1_000.0) as u64);
                    new_entry(plan, entry, start)
                })
                .collect(),
            plan,
            random,
            now_ms: 0.0,
            queue: Queue::default(),
            calls: Vec::new(),
            passed_on: Vec::new(),
            tally: Tally::new(plan),
        }
    }

    /// Runs the plan to its end.
    pub(super) fn run(mut self) -> Tally {
        self.schedule_initial_events();
        while let Some((at_us, event)) = self.queue.next() {
            self.now_ms = at_us as f64 / 1_000.0;
            self.handle_event(event);
        }
        for entry in &self.entries {
            self.tally.count_added(entry.service.counts());
        }
        self.tally
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_arrival();
        self.schedule_in(self.plan.update_interval_ms, EmulatedEvent::SendUpdates);
        if self.plan.probe_ms > 0.0 {
            self.schedule_in(PROBE_CHECK_INTERVAL_MS, EmulatedEvent::ProbeTargets);
        }
        for target in 0..self.plan.targets {
            let in_ms = self.sample_exponential(self.plan.target.speed_change_ms);
            self.schedule_in(in_ms, EmulatedEvent::SpeedChanges(target));
        }
        for change in &self.plan.changes {
            match *change {
                Change::TargetsLeave { share, at_ms } => {
                    self.schedule_in(at_ms, EmulatedEvent::TargetsLeave(share));
                }
                Change::EntriesRestart { at_ms } => {
                    self.schedule_in(at_ms, EmulatedEvent::EntriesRestart);
                }
                _ => {}
            }
        }
        self.schedule_domain_changes();
        if self.plan.cold.is_some() {
            self.schedule_in(0.0, EmulatedEvent::ColdTargetsChange(0));
        }
    }

    fn schedule_in(&mut self, in_ms: f64, event: EmulatedEvent) {
        self.schedule_at_us(((self.now_ms + in_ms) * 1_000.0).ceil() as u64, event);
    }

    fn schedule_at_us(&mut self, at_us: u64, event: EmulatedEvent) {
        self.queue.schedule(at_us, event);
    }

    fn now(&self) -> Microseconds {
        Microseconds::new(((START_MS + self.now_ms) * 1_000.0) as u64)
    }

    fn sample_exponential(&mut self, mean_ms: f64) -> f64 {
        -mean_ms * (1.0 - self.random.f64()).ln()
    }

    /// Current load, in requests per millisecond.
    fn rate(&self) -> f64 {
        let plan = self.plan;
        let work_ms: f64 = plan
            .kinds
            .iter()
            .map(|kind| kind.share * kind.work_ms)
            .sum();
        let slots = plan.targets as f64 * plan.target.slots as f64 * (1.0 - plan.target.slow_share);
        let mut rate = plan.load * slots / work_ms;
        for change in &plan.changes {
            if let Change::Burst {
                factor,
                between_ms: (from, to),
            } = *change
                && (from..to).contains(&self.now_ms)
            {
                rate *= factor;
            }
        }
        let organisations = plan.organisations.iter().enumerate();
        let factor: f64 = organisations
            .map(|(number, organisation)| {
                organisation.share * load_factor(&plan.changes, number, self.now_ms)
            })
            .sum();
        if factor > 0.0 { rate * factor } else { rate }
    }

    fn schedule_arrival(&mut self) {
        let gap_ms = self.sample_exponential(1.0 / self.rate());
        self.schedule_in(gap_ms, EmulatedEvent::Arrival);
    }

    fn handle_event(&mut self, event: EmulatedEvent) {
        match event {
            EmulatedEvent::Arrival => self.request_arrived(),
            EmulatedEvent::CallerRetry(request) => self.begin_try(request),
            EmulatedEvent::AttemptArrives {
                request,
                attempt,
                target,
            } => self.attempt_arrived(request, attempt, target),
            EmulatedEvent::WorkFinishes { target, generation } => {
                self.work_finished(target, generation)
            }
            EmulatedEvent::AttemptEnds {
                request,
                attempt,
                outcome,
                orders,
            } => {
                self.apply_orders(request, attempt, &orders);
                self.attempt_ended(request, attempt, outcome);
            }
            EmulatedEvent::TimerFires(request) => {
                self.handle_request_event(request, Event::TimerFired)
            }
            EmulatedEvent::SpeedChanges(target) => self.change_speed(target),
            EmulatedEvent::SendUpdates => self.send_updates(),
            EmulatedEvent::ProbeTargets => self.probe_targets(),
            EmulatedEvent::TargetsLeave(share) => self.mark_leaving(share),
            EmulatedEvent::DomainChanges { change, begins } => self.change_domain(change, begins),
            EmulatedEvent::ColdTargetsChange(period) => self.change_cold_targets(period),
            EmulatedEvent::EntriesRestart => self.restart_entries(),
        }
    }

    fn is_running(&self) -> bool {
        self.now_ms < self.plan.length_ms
    }

    fn request_arrived(&mut self) {
        if !self.is_running() {
            return;
        }
        let kind = self.sample_kind();
        let domain = self.sample_domain();
        let organisation = self.sample_organisation();
        let entry = self.sample_entry(domain);
        let state = self.new_state((kind, organisation), entry, self.now_ms);
        self.calls.push(Call {
            kind,
            domain,
            organisation,
            entry,
            started_ms: self.now_ms,
            tries: 0,
            state,
            attempts: HashMap::new(),
            awaits_capacity: false,
            is_over: false,
        });
        self.begin_try(self.calls.len() - 1);
        self.schedule_arrival();
    }

    fn sample_kind(&mut self) -> usize {
        let mut remaining = self.random.f64();
        let kinds = &self.plan.kinds;
        let found = kinds.iter().position(|kind| {
            remaining -= kind.share;
            remaining < 0.0
        });
        found.unwrap_or(kinds.len() - 1)
    }

    fn new_state(
        &self,
        (kind, organisation): (usize, Option<usize>),
        entry: usize,
        started_ms: f64,
    ) -> RequestState {
        let request_kind = &self.plan.kinds[kind];
        let waited_ms = self.now_ms - started_ms;
        let remaining_ms = request_kind.deadline_ms as f64 - waited_ms;
        let deadline = self
            .now()
            .plus(Microseconds::new((remaining_ms.max(0.0) * 1_000.0) as u64));
        let mut facts = RequestFacts::new(request_kind.is_repeatable, deadline);
        facts.priority = Some(request_kind.priority);
        if let Some(domains) = &self.plan.domains {
            facts.body_bytes = domains.bodies[kind].request_bytes;
        }
        facts.organisation = organisation.map(|number| OrganisationShare {
            key: number as u32,
            weight: self.plan.organisations[number].weight as f32,
            priority: self.plan.organisations[number].priority,
        });
        facts.prior_wait = Microseconds::new((waited_ms * 1_000.0) as u64);
        RequestState::new(facts).with_route(Arc::clone(&self.entries[entry].routes[kind]))
    }

    fn begin_try(&mut self, request: usize) {
        let entry = self.sample_entry(self.calls[request].domain);
        let call = &self.calls[request];
        let (kind, started_ms) = ((call.kind, call.organisation), call.started_ms);
        let state = self.new_state(kind, entry, started_ms);
        let call = &mut self.calls[request];
        call.entry = entry;
        call.tries += 1;
        call.state = state;
        self.handle_request_event(request, Event::Arrived);
    }

    /// Passes an event to the state of a request and carries out the resulting actions.
    fn handle_request_event(&mut self, request: usize, event: Event) {
        if self.calls[request].is_over {
            return;
        }
        let now = self.now();
        let call = &mut self.calls[request];
        let service = Arc::clone(&self.entries[call.entry].service);
        let step = call.state.handle(&service, now, &mut self.random, event);
        let was_waiting = std::mem::replace(&mut call.awaits_capacity, step.awaits_capacity);
        if step.awaits_capacity && !was_waiting {
            let entry = call.entry;
            self.entries[entry].waiting.push_back(request);
        }
        for action in step.actions {
            match action {
                Action::Send(attempt) => self.send(request, attempt),
                Action::Cancel(id) => self.cancel(request, id),
                Action::Deliver(_) => self.end(request, Outcome::Answered),
                Action::Refuse(refusal) => self.refuse(request, &refusal),
                Action::OfferCapacity => self.offer_capacity(request),
                // All emulated entries reach the targets.
                Action::Forward { .. } | Action::CancelForward | Action::DeliverForwarded => {}
            }
        }
        if let Some(at) = step.wake_at.filter(|_| !self.calls[request].is_over) {
            let at_us = at.count() - (START_MS * 1_000.0) as u64;
            self.schedule_at_us(at_us, EmulatedEvent::TimerFires(request));
        }
    }

    fn send(&mut self, request: usize, attempt: Attempt) {
        let target = usize::from(attempt.target.address().socket_address().port()) - FIRST_PORT;
        let id = attempt.id;
        self.count_crossing(request, target, Direction::Request);
        self.calls[request].attempts.insert(id.0, (attempt, target));
        self.schedule_in(
            TARGET_DELAY_MS,
            EmulatedEvent::AttemptArrives {
                request,
                attempt: id,
                target,
            },
        );
    }

    fn cancel(&mut self, request: usize, id: AttemptId) {
        let Some((attempt, target)) = self.calls[request].attempts.remove(&id.0) else {
            return;
        };
        drop(attempt);
        self.advance(target);
        let held_ms = self.targets[target].cancel(request, id);
        self.tally.slot_time.add(SlotUse::Cancelled, held_ms);
        self.schedule_finish(target);
        self.capacity_freed(self.calls[request].entry);
    }

    fn refuse(&mut self, request: usize, refusal: &Refusal) {
        self.tally.refusals += 1;
        let call = &self.calls[request];
        let request_kind = &self.plan.kinds[call.kind];
        let retry_after_ms = refusal.retry_after_ms as f64;
        let has_time =
            self.now_ms + retry_after_ms < call.started_ms + request_kind.deadline_ms as f64;
        let may_retry = refusal.run_state == RunState::NotRun || request_kind.is_repeatable;
        if may_retry && has_time && call.tries <= self.plan.caller_retries_max {
            self.tally.caller_retries += 1;
            self.schedule_in(retry_after_ms, EmulatedEvent::CallerRetry(request));
        } else {
            self.end(request, Outcome::Refused);
        }
    }

    fn end(&mut self, request: usize, outcome: Outcome) {
        let call = &mut self.calls[request];
        call.is_over = true;
        call.attempts.clear();
        let latency_ms = self.now_ms - call.started_ms + CALLER_ROUND_TRIP_MS;
        let (kind, entry, started_ms) =
            ((call.kind, call.organisation), call.entry, call.started_ms);
        let domain = call.domain;
        self.tally
            .count(kind, domain, started_ms, latency_ms, outcome);
        self.capacity_freed(entry);
    }

    /// Tells the waiting request with the highest priority at an entry, of several the one whose caller has waited
    /// longest, that capacity may be free.
    fn capacity_freed(&mut self, entry: usize) {
        self.passed_on.clear();
        self.notify_waiting(entry);
    }

    /// Tells another waiting request at the request's entry that the request leaves free capacity to it.
    fn offer_capacity(&mut self, request: usize) {
        if self.calls[request].organisation.is_none() {
            self.passed_on.clear();
        }
        self.passed_on.push(request);
        self.notify_waiting(self.calls[request].entry);
    }

    fn notify_waiting(&mut self, entry: usize) {
        let calls = &self.calls;
        let is_waiting =
            |request: &usize| calls[*request].awaits_capacity && !calls[*request].is_over;
        self.entries[entry].waiting.retain(is_waiting);
        let urgency = |request: &usize| {
            let call = &calls[*request];
            let started_us = (call.started_ms * 1_000.0) as u64;
            let urgency = call.state.urgency(&self.entries[entry].service);
            (Reverse(urgency), started_us)
        };
        let first = self.entries[entry]
            .waiting
            .iter()
            .copied()
            .filter(|request| !self.passed_on.contains(request))
            .min_by_key(urgency);
        if let Some(first) = first {
            self.handle_request_event(first, Event::CapacityFreed);
        }
    }

    fn attempt_arrived(&mut self, request: usize, attempt: AttemptId, target: usize) {
        if !self.calls[request].attempts.contains_key(&attempt.0) {
            return;
        }
        let pair = (self.calls[request].entry, target);
        self.tally.orders.record_arrival(pair, self.now_ms);
        if self.orders_of(target).rest.is_some() {
            self.advance(target);
            return self.reject(request, attempt, target);
        }
        let mean_ms = self.plan.kinds[self.calls[request].kind].work_ms;
        let remaining_ms = self.sample_work(mean_ms);
        self.advance(target);
        let admission = self.targets[target].admit(Work {
            request,
            attempt,
            remaining_ms,
            slowdown: 1.0,
            held_ms: 0.0,
        });
        self.schedule_finish(target);
        if admission == Admission::Rejected {
            self.reject(request, attempt, target);
        }
    }

    fn reject(&mut self, request: usize, attempt: AttemptId, target: usize) {
        let report = Some(self.targets[target].report());
        let ended = EmulatedEvent::AttemptEnds {
            request,
            attempt,
            outcome: AttemptOutcome::Shed { report },
            orders: self.orders_of(target),
        };
        self.schedule_in(TARGET_DELAY_MS, ended);
    }

    /// Orders that a target sends with an answer now.
    fn orders_of(&self, target: usize) -> AnswerOrders {
        let number_and_count = (target, self.plan.targets);
        orders_of(&self.plan.changes, number_and_count, self.now_ms)
    }

    /// Applies the orders of an answer, unless the attempt was cancelled before.
    fn apply_orders(&mut self, request: usize, attempt: AttemptId, orders: &AnswerOrders) {
        let call = &self.calls[request];
        let Some((attempt, target)) = call.attempts.get(&attempt.0) else {
            return;
        };
        attempt.target.record_orders(orders, self.now());
        self.tally
            .orders
            .record_orders((call.entry, *target), orders, self.now_ms);
    }

    fn sample_work(&mut self, mean_ms: f64) -> f64 {
        // The Box-Muller transform makes a normally distributed value from two uniform ones.
        let radius = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random.f64()).cos();
        mean_ms * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp()
    }

    /// Advances a target to the current time and sends the answers of finished requests.
    fn advance(&mut self, target: usize) {
        let finished = self.targets[target].advance(self.now_ms);
        let report = Some(self.targets[target].report());
        for work in finished {
            let slot_use = self.slot_use(work.request, work.attempt, target);
            self.tally.slot_time.add(slot_use, work.held_ms);
            let outcome = AttemptOutcome::Answered {
                is_server_error: false,
                report,
            };
            let ended = EmulatedEvent::AttemptEnds {
                request: work.request,
                attempt: work.attempt,
                outcome,
                orders: self.orders_of(target),
            };
            self.schedule_in(TARGET_DELAY_MS, ended);
        }
    }

    /// What the slot of an attempt was used for that finishes now.
    fn slot_use(&self, request: usize, attempt: AttemptId, target: usize) -> SlotUse {
        let call = &self.calls[request];
        let latency_ms = self.now_ms - call.started_ms + CALLER_ROUND_TRIP_MS;
        if self.targets[target].cold.is_some() {
            SlotUse::Cold
        } else if latency_ms > self.plan.kinds[call.kind].aim_ms as f64 {
            SlotUse::Late
        } else if attempt.0 > 0 {
            SlotUse::Added
        } else {
            SlotUse::InTime
        }
    }

    fn schedule_finish(&mut self, target: usize) {
        let generation = self.targets[target].generation;
        if let Some(at_ms) = self.targets[target].next_finish_ms() {
            let in_ms = (at_ms - self.now_ms).max(0.0);
            self.schedule_in(in_ms, EmulatedEvent::WorkFinishes { target, generation });
        }
    }

    fn work_finished(&mut self, target: usize, generation: u64) {
        if self.targets[target].generation != generation {
            return;
        }
        self.advance(target);
        self.schedule_finish(target);
    }

    fn attempt_ended(&mut self, request: usize, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some((_, target)) = self.calls[request].attempts.remove(&attempt.0) else {
            return;
        };
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.count_crossing(request, target, Direction::Answer);
        }
        self.handle_request_event(request, Event::AttemptEnded { attempt, outcome });
        self.capacity_freed(self.calls[request].entry);
    }

    fn change_speed(&mut self, target: usize) {
        if !self.is_running() {
            return;
        }
        self.advance(target);
        self.targets[target].change_speed(&mut self.random);
        self.schedule_finish(target);
        let in_ms = self.sample_exponential(self.plan.target.speed_change_ms);
        self.schedule_in(in_ms, EmulatedEvent::SpeedChanges(target));
    }

    /// Sends the in-flight counts and target reports of each entry to the other entries.
    fn send_updates(&mut self) {
        if !self.is_running() {
            return;
        }
        for sender in 0..self.entries.len() {
            for target in 0..self.plan.targets {
                self.send_update(sender, target);
            }
        }
        for entry in 0..self.entries.len() {
            self.capacity_freed(entry);
        }
        self.schedule_in(self.plan.update_interval_ms, EmulatedEvent::SendUpdates);
    }

    fn send_update(&mut self, sender: usize, target: usize) {
        let now = self.now();
        let own_state = &self.entries[sender].service.targets()[target];
        let (in_flight, report) = (own_state.in_flight(), own_state.directly_reported_speed());
        let leaves = AnswerOrders {
            leaves: own_state.is_leaving(),
            rest: None,
        };
        let previous = std::mem::replace(
            &mut self.entries[sender].advertised_in_flight[target],
            in_flight,
        );
        for (peer, entry) in self.entries.iter().enumerate() {
            if peer == sender {
                continue;
            }
            let peer_state = &entry.service.targets()[target];
            peer_state.record_peer_in_flight(previous, in_flight);
            peer_state.record_orders(&leaves, now);
            if let Some((slowdown, at)) = report {
                entry.service.record_speed(peer_state, at, slowdown);
            }
        }
    }

    /// Probes targets whose last report has reached the plan's probe age, each target by its owner.
    fn probe_targets(&mut self) {
        if !self.is_running() {
            return;
        }
        let now = self.now();
        for target in 0..self.plan.targets {
            self.advance(target);
            self.schedule_finish(target);
            let service = &self.entries[target % self.entries.len()].service;
            let target_state = &service.targets()[target];
            let age = target_state
                .reported_speed()
                .map(|(_, at)| now.saturating_sub(at).as_ms());
            let is_due = age.is_none_or(|age| age >= self.plan.probe_ms);
            if is_due && target_state.send_permit(now).is_ok() {
                service.record_report(target_state, now, &self.targets[target].report());
            }
        }
        self.schedule_in(PROBE_CHECK_INTERVAL_MS, EmulatedEvent::ProbeTargets);
    }
}
