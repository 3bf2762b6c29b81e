//! Entries, targets and callers in emulated time. The entries' decisions are the product's own; what is
//! emulated is what they meet.

use super::entry::CALLER_WAYS_MS;
use super::entry::EmulatedEntry;
use super::entry::FIRST_PORT;
use super::entry::START_MS;
use super::entry::entry_of;
use super::orders::orders_of;
use super::outcome::Outcome;
use super::outcome::Tally;
use super::plan::Change;
use super::plan::EmulationPlan;
use super::queue::Queue;
use super::queue::What;
use super::target::EmulatedTarget;
use super::target::Taken;
use super::target::Work;
use pinhaven_decide::Action;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Refusal;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RunState;
use pinhaven_types::Microseconds;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// Way between an entry and a target, in milliseconds.
const WAY_MS: f64 = 0.7;
/// Spread of the work of one kind (sigma of its logarithm).
const WORK_SIGMA: f64 = 0.3;
/// Times that a caller comes back after a refusal.
const COMEBACKS: u32 = 2;
/// Time between two looks for targets to ask, in milliseconds.
const PROBE_TICK_MS: f64 = 15.0;

/// One request of a caller, over all its tries.
struct Call {
    kind: usize,
    entry: usize,
    first_ms: f64,
    tries: u32,
    state: RequestState,
    attempts: HashMap<u32, (Attempt, usize)>,
    wants_place: bool,
    is_over: bool,
}

/// The whole emulation.
pub(super) struct World<'plan> {
    plan: &'plan EmulationPlan,
    random: fastrand::Rng,
    now_ms: f64,
    queue: Queue,
    targets: Vec<EmulatedTarget>,
    entries: Vec<EmulatedEntry>,
    calls: Vec<Call>,
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
                .map(|entry| entry_of(plan, entry))
                .collect(),
            plan,
            random,
            now_ms: 0.0,
            queue: Queue::default(),
            calls: Vec::new(),
            tally: Tally::new(plan),
        }
    }

    /// Plays the whole plan.
    pub(super) fn run(mut self) -> Tally {
        self.plan_first();
        while let Some((at_us, what)) = self.queue.next() {
            self.now_ms = at_us as f64 / 1_000.0;
            self.happen(what);
        }
        for entry in &self.entries {
            self.tally.count_added(entry.service.counts());
        }
        self.tally
    }

    fn plan_first(&mut self) {
        self.plan_arrival();
        self.plan_in(self.plan.update_interval_ms, What::News);
        if self.plan.probe_ms > 0.0 {
            self.plan_in(PROBE_TICK_MS, What::Probes);
        }
        for target in 0..self.plan.targets {
            let in_ms = self.draw_exponential(self.plan.target.speed_change_ms);
            self.plan_in(in_ms, What::SpeedChanges(target));
        }
        for change in &self.plan.changes {
            if let Change::TargetsLeave { share, at_ms } = *change {
                self.plan_in(at_ms, What::TargetsLeave(share));
            }
        }
    }

    fn plan_in(&mut self, in_ms: f64, what: What) {
        self.plan_at_us(((self.now_ms + in_ms) * 1_000.0).ceil() as u64, what);
    }

    fn plan_at_us(&mut self, at_us: u64, what: What) {
        self.queue.plan(at_us, what);
    }

    fn now(&self) -> Microseconds {
        Microseconds::new(((START_MS + self.now_ms) * 1_000.0) as u64)
    }

    fn draw_exponential(&mut self, mean_ms: f64) -> f64 {
        -mean_ms * (1.0 - self.random.f64()).ln()
    }

    /// Requests a millisecond at this moment.
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
        rate
    }

    fn plan_arrival(&mut self) {
        let gap_ms = self.draw_exponential(1.0 / self.rate());
        self.plan_in(gap_ms, What::Arrival);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrival => self.arrive(),
            What::Comeback(call) => self.begin_try(call),
            What::Reaches {
                request,
                attempt,
                target,
            } => self.reach(request, attempt, target),
            What::TargetEnds { target, generation } => self.target_ends(target, generation),
            What::Ended {
                request,
                attempt,
                outcome,
                orders,
            } => {
                self.hear_orders(request, attempt, &orders);
                self.attempt_ended(request, attempt, outcome);
            }
            What::Wake(call) => self.handle(call, Event::TimerFired),
            What::SpeedChanges(target) => self.change_speed(target),
            What::News => self.tell_news(),
            What::Probes => self.probe(),
            What::TargetsLeave(share) => self.leave(share),
        }
    }

    fn is_going_on(&self) -> bool {
        self.now_ms < self.plan.length_ms
    }

    fn arrive(&mut self) {
        if !self.is_going_on() {
            return;
        }
        let kind = self.draw_kind();
        let entry = self.random.usize(..self.entries.len());
        let state = self.new_state(kind, entry, self.now_ms);
        self.calls.push(Call {
            kind,
            entry,
            first_ms: self.now_ms,
            tries: 0,
            state,
            attempts: HashMap::new(),
            wants_place: false,
            is_over: false,
        });
        self.begin_try(self.calls.len() - 1);
        self.plan_arrival();
    }

    fn draw_kind(&mut self) -> usize {
        let mut left = self.random.f64();
        let kinds = &self.plan.kinds;
        let found = kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        found.unwrap_or(kinds.len() - 1)
    }

    fn new_state(&self, kind: usize, entry: usize, first_ms: f64) -> RequestState {
        let plan = &self.plan.kinds[kind];
        let waited_ms = self.now_ms - first_ms;
        let left_ms = plan.deadline_ms as f64 - waited_ms;
        let deadline = self
            .now()
            .plus(Microseconds::new((left_ms.max(0.0) * 1_000.0) as u64));
        let mut facts = RequestFacts::new(plan.is_repeatable, deadline);
        facts.priority = Some(plan.priority);
        facts.prior_wait = Microseconds::new((waited_ms * 1_000.0) as u64);
        RequestState::new(facts).with_route(Arc::clone(&self.entries[entry].routes[kind]))
    }

    fn begin_try(&mut self, call: usize) {
        let entry = self.random.usize(..self.entries.len());
        let (kind, first_ms) = (self.calls[call].kind, self.calls[call].first_ms);
        let state = self.new_state(kind, entry, first_ms);
        let call_state = &mut self.calls[call];
        call_state.entry = entry;
        call_state.tries += 1;
        call_state.state = state;
        self.handle(call, Event::Arrived);
    }

    /// Hands an event to a request and carries out what it says.
    fn handle(&mut self, number: usize, event: Event) {
        if self.calls[number].is_over {
            return;
        }
        let now = self.now();
        let call = &mut self.calls[number];
        let service = Arc::clone(&self.entries[call.entry].service);
        let step = call.state.handle(&service, now, &mut self.random, event);
        let wanted_place = std::mem::replace(&mut call.wants_place, step.awaits_capacity);
        if step.awaits_capacity && !wanted_place {
            let entry = call.entry;
            self.entries[entry].waiting.push_back(number);
        }
        for action in step.actions {
            match action {
                Action::Send(attempt) => self.send(number, attempt),
                Action::Cancel(id) => self.cancel(number, id),
                Action::Deliver(_) => self.end(number, Outcome::Answered),
                Action::Refuse(refusal) => self.refuse(number, &refusal),
            }
        }
        if let Some(at) = step.wake_at.filter(|_| !self.calls[number].is_over) {
            let at_us = at.count() - (START_MS * 1_000.0) as u64;
            self.plan_at_us(at_us, What::Wake(number));
        }
    }

    fn send(&mut self, request: usize, attempt: Attempt) {
        let target = usize::from(attempt.target.address().socket_address().port()) - FIRST_PORT;
        let id = attempt.id;
        self.calls[request].attempts.insert(id.0, (attempt, target));
        self.plan_in(
            WAY_MS,
            What::Reaches {
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
        self.targets[target].cancel(request, id);
        self.plan_end(target);
        self.free_place(self.calls[request].entry);
    }

    fn refuse(&mut self, number: usize, refusal: &Refusal) {
        let call = &self.calls[number];
        let plan = &self.plan.kinds[call.kind];
        let back_ms = refusal.retry_after_ms as f64;
        let has_time = self.now_ms + back_ms < call.first_ms + plan.deadline_ms as f64;
        let may_come_back = refusal.run_state == RunState::NotRun || plan.is_repeatable;
        if may_come_back && has_time && call.tries <= COMEBACKS {
            self.plan_in(back_ms, What::Comeback(number));
        } else {
            self.end(number, Outcome::Refused);
        }
    }

    fn end(&mut self, number: usize, outcome: Outcome) {
        let call = &mut self.calls[number];
        call.is_over = true;
        call.attempts.clear();
        let took_ms = self.now_ms - call.first_ms + CALLER_WAYS_MS;
        let (kind, entry, first_ms) = (call.kind, call.entry, call.first_ms);
        self.tally.count(kind, first_ms, took_ms, outcome);
        self.free_place(entry);
    }

    /// Lets the most urgent request that waits at an entry look again.
    fn free_place(&mut self, entry: usize) {
        let calls = &self.calls;
        let waits = |call: &usize| calls[*call].wants_place && !calls[*call].is_over;
        self.entries[entry].waiting.retain(waits);
        let urgency = |call: &usize| Reverse(self.plan.kinds[calls[*call].kind].priority);
        let first = self.entries[entry]
            .waiting
            .iter()
            .copied()
            .min_by_key(urgency);
        if let Some(first) = first {
            self.handle(first, Event::CapacityFreed);
        }
    }

    fn reach(&mut self, request: usize, attempt: AttemptId, target: usize) {
        if !self.calls[request].attempts.contains_key(&attempt.0) {
            return;
        }
        let pair = (self.calls[request].entry, target);
        self.tally.orders.arrive(pair, self.now_ms);
        if self.orders_of(target).rest.is_some() {
            self.advance(target);
            return self.turn_away(request, attempt, target);
        }
        let mean_ms = self.plan.kinds[self.calls[request].kind].work_ms;
        let left_ms = self.draw_work(mean_ms);
        self.advance(target);
        let taken = self.targets[target].take(Work {
            request,
            attempt,
            left_ms,
            factor: 1.0,
        });
        self.plan_end(target);
        if taken == Taken::TurnedAway {
            self.turn_away(request, attempt, target);
        }
    }

    fn turn_away(&mut self, request: usize, attempt: AttemptId, target: usize) {
        let report = Some(self.targets[target].report());
        let ended = What::Ended {
            request,
            attempt,
            outcome: AttemptOutcome::Shed { report },
            orders: self.orders_of(target),
        };
        self.plan_in(WAY_MS, ended);
    }

    /// What a target asks for now.
    fn orders_of(&self, target: usize) -> AnswerOrders {
        let number = (target, self.plan.targets);
        orders_of(&self.plan.changes, number, self.now_ms)
    }

    /// Takes in what a target asks for with an answer, unless the request was given up before.
    fn hear_orders(&mut self, request: usize, attempt: AttemptId, orders: &AnswerOrders) {
        let call = &self.calls[request];
        let Some((attempt, target)) = call.attempts.get(&attempt.0) else {
            return;
        };
        attempt.target.record_orders(orders, self.now());
        self.tally
            .orders
            .hear((call.entry, *target), orders, self.now_ms);
    }

    fn draw_work(&mut self, mean_ms: f64) -> f64 {
        // Two uniform draws give a normal one (Box and Muller).
        let radius = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random.f64()).cos();
        mean_ms * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp()
    }

    /// Brings a target up to now, and sends the answers of what is finished.
    fn advance(&mut self, target: usize) {
        let finished = self.targets[target].advance(self.now_ms);
        let report = Some(self.targets[target].report());
        for work in finished {
            let outcome = AttemptOutcome::Answered {
                is_server_error: false,
                report,
            };
            let ended = What::Ended {
                request: work.request,
                attempt: work.attempt,
                outcome,
                orders: self.orders_of(target),
            };
            self.plan_in(WAY_MS, ended);
        }
    }

    fn plan_end(&mut self, target: usize) {
        let generation = self.targets[target].generation;
        if let Some(at_ms) = self.targets[target].next_end_ms() {
            let in_ms = (at_ms - self.now_ms).max(0.0);
            self.plan_in(in_ms, What::TargetEnds { target, generation });
        }
    }

    fn target_ends(&mut self, target: usize, generation: u64) {
        if self.targets[target].generation != generation {
            return;
        }
        self.advance(target);
        self.plan_end(target);
    }

    fn attempt_ended(&mut self, request: usize, attempt: AttemptId, outcome: AttemptOutcome) {
        if self.calls[request].attempts.remove(&attempt.0).is_none() {
            return;
        }
        self.handle(request, Event::AttemptEnded { attempt, outcome });
        self.free_place(self.calls[request].entry);
    }

    fn change_speed(&mut self, target: usize) {
        if !self.is_going_on() {
            return;
        }
        self.advance(target);
        self.targets[target].change_speed(&mut self.random);
        self.plan_end(target);
        let in_ms = self.draw_exponential(self.plan.target.speed_change_ms);
        self.plan_in(in_ms, What::SpeedChanges(target));
    }

    /// Each entry tells the others what it has under way and what targets have told it.
    fn tell_news(&mut self) {
        if !self.is_going_on() {
            return;
        }
        for teller in 0..self.entries.len() {
            for target in 0..self.plan.targets {
                self.tell(teller, target);
            }
        }
        for entry in 0..self.entries.len() {
            self.free_place(entry);
        }
        self.plan_in(self.plan.update_interval_ms, What::News);
    }

    fn tell(&mut self, teller: usize, target: usize) {
        let now = self.now();
        let known = &self.entries[teller].service.targets()[target];
        let (in_flight, report) = (known.in_flight(), known.directly_reported_speed());
        let leaves = AnswerOrders {
            leaves: known.is_leaving(),
            rest: None,
        };
        let before = std::mem::replace(&mut self.entries[teller].told[target], in_flight);
        for (number, entry) in self.entries.iter().enumerate() {
            if number == teller {
                continue;
            }
            let heard = &entry.service.targets()[target];
            heard.record_peer_in_flight(before, in_flight);
            heard.record_orders(&leaves, now);
            if let Some((slowdown, at)) = report {
                entry.service.record_speed(heard, at, slowdown);
            }
        }
    }

    /// Each entry asks those of its targets whose last word is old.
    fn probe(&mut self) {
        if !self.is_going_on() {
            return;
        }
        let now = self.now();
        for target in 0..self.plan.targets {
            self.advance(target);
            self.plan_end(target);
            let service = &self.entries[target % self.entries.len()].service;
            let known = &service.targets()[target];
            let age = known
                .reported_speed()
                .map(|(_, at)| now.saturating_sub(at).as_ms());
            let is_due = age.is_none_or(|age| age >= self.plan.probe_ms);
            if is_due && known.send_permit(now).is_ok() {
                service.record_report(known, now, &self.targets[target].report());
            }
        }
        self.plan_in(PROBE_TICK_MS, What::Probes);
    }

    fn leave(&mut self, share: f64) {
        let count = (self.plan.targets as f64 * share) as usize;
        for entry in &self.entries {
            entry.service.targets()[..count]
                .iter()
                .for_each(|target| target.mark_leaving());
        }
    }
}
