//! What an entry knows of one service, shared by all its requests.

use crate::admission::InFlightLimit;
use crate::atomic::AtomicF32;
use crate::atomic::LearnedMedian;
use crate::availability::RetryStagger;
use crate::budget::TokenBudget;
use crate::health;
use crate::hedge::HedgeDelay;
use crate::lapsed_orders::LapsedOrders;
use crate::recent_runs::RecentRuns;
use crate::report::LoadReport;
use crate::service_targets::PreviousTargets;
use crate::service_targets::build_targets;
use crate::speed::ServiceSpeed;
use crate::target::TargetState;
use crate::waiting::Waiting;
use arc_swap::ArcSwap;
use pinhaven_bundle::Policy;
use pinhaven_bundle::Service;
use pinhaven_bundle::TargetState as BundledTargetState;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Added attempts that may come at once before the budget's share limits them.
const BUDGET_CAPACITY: f32 = 20.0;
/// Weight of one answer in the service's typical time.
const TYPICAL_WEIGHT: f32 = 0.01;
/// How many times longer work is thought to take at a nearly full target before it was measured.
const CROWDING_INITIAL: f32 = 1.2;
/// How sure that is, in samples.
const CROWDING_INITIAL_SAMPLES: u32 = 4;
/// Time since this entry knows the service during which the last slots of targets are left empty whatever is
/// thought of them. After an outage of all entries six of ten requests of the first second were begun at
/// nearly full targets, where work took 1.7 times as long. Credit of the two seconds after the outage: 0.879
/// to 0.894 (15 runs without processor time).
const CROWDING_CAUTION_PERIOD: Microseconds = Microseconds::from_ms(1_000);
/// What they are thought to cost then.
const CROWDING_CAUTION_MIN: f32 = 1.6;
/// Age of a report at which a target should be asked for its speed, as a share of the typical time of
/// requests. A choice is wrong when the speed has changed since the report, or changes while the request
/// works; asking much more often than that would mend the smaller of the two.
const REPORT_AGE_TYPICAL_SHARE: f32 = 0.6;
/// The same as a share of the time that a speed lasts: requests that begin at a target which has turned slow
/// since are late where work keeps its speed. Where a speed lasts 0.4 s, answers within the aim rise from
/// 0.945 to 0.958 of the requests of a calm day, for 0.6 times more probes.
const REPORT_AGE_DURATION_SHARE: f32 = 0.08;
/// The least and the most of that age, in milliseconds.
const REPORT_AGE_RANGE_MS: (f32, f32) = (20.0, 90.0);
/// Slowdown from which a target counts as slow in a summary.
const SLOW_SLOWDOWN_MIN: f32 = 2.0;
/// Weight of one report in the mean load of the others.
const PEER_LOAD_WEIGHT: f32 = 0.02;
/// Weight of one request in the share that is refused.
const REFUSED_WEIGHT: f32 = 0.02;
/// The shortest time that a refused caller is sent away for, in milliseconds.
const RETRY_AFTER_MIN_MS: f32 = 100.0;
/// The longest, in milliseconds.
const RETRY_AFTER_MAX_MS: f32 = 60_000.0;

/// A service as one entry sees it.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    policy: Policy,
    slots: f32,
    connections_per_target: u32,
    priority: u8,
    domain: Option<FailureDomain>,
    targets: Vec<Arc<TargetState>>,
    /// Those that this entry owns.
    owned: ArcSwap<Vec<Arc<TargetState>>>,
    listed: Vec<BundledTargetState>,
    recent_runs: RecentRuns,
    lapsed_orders: LapsedOrders,
    in_flight: AtomicU32,
    pub(crate) waiting: Waiting,
    pub(crate) speed: ServiceSpeed,
    pub(crate) crowding: LearnedMedian,
    first_seen_at: Microseconds,
    typical_ms: AtomicF32,
    mean_peer_load: AtomicF32,
    refused_share: AtomicF32,
    pub(crate) retry_stagger: RetryStagger,
    pub(crate) limit: InFlightLimit,
    pub(crate) hedge_delay: HedgeDelay,
    pub(crate) hedge_budget: TokenBudget,
    pub(crate) retry_budget: TokenBudget,
    pub(crate) round_robin_position: AtomicU32,
    pub(crate) ejection_lock: Mutex<()>,
    pub(crate) hedges: AtomicU64,
    pub(crate) retries: AtomicU64,
    pub(crate) ejections: AtomicU64,
}

/// Targets of a service, and why requests can't go to some of them; one may count for several reasons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetSummary {
    /// All that are known.
    pub all: u32,
    /// Those that are leaving.
    pub leaving: u32,
    /// Those that rest.
    pub resting: u32,
    /// Those that are ejected for failing.
    pub ejected: u32,
    /// Those that are thought to work at less than half their usual speed.
    pub slow: u32,
    /// Those whose slots are all taken.
    pub full: u32,
}

/// Added attempts and ejections of a service since the entry began with its bundle version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceCounts {
    /// Hedges sent.
    pub hedges: u64,
    /// Retries sent.
    pub retries: u64,
    /// Targets ejected.
    pub ejections: u64,
}

impl ServiceState {
    /// The state of a service in a new bundle version. Targets that `previous` had are taken over
    /// with all that is known of them; other targets are cold when there was a `previous`.
    pub fn new(service: &Service, previous: Option<&Self>, now: Microseconds) -> Self {
        let typical_ms = service.typical_ms as f32;
        let recent_runs = previous
            .map(|previous| previous.recent_runs.at_version_end(&previous.targets, now))
            .unwrap_or_default();
        let lapsed_orders = previous
            .map(|previous| {
                previous
                    .lapsed_orders
                    .at_version_end(&previous.targets, now)
            })
            .unwrap_or_default();
        let previous_targets = PreviousTargets {
            previous,
            recent_runs: &recent_runs,
            lapsed_orders: &lapsed_orders,
        };
        let targets = build_targets(service, &previous_targets, now);
        let connections_per_target = (service.connections / service.entries_most).max(1);
        let entries = service.entries_named.min(service.entries_most) as f32;
        let capacity = targets.len() as f32 * service.slots as f32;
        let limit_max = targets.len() as f32 * connections_per_target as f32;
        let state = Self {
            name: service.name.clone(),
            policy: service.policy,
            slots: service.slots as f32,
            connections_per_target,
            priority: service.priority,
            domain: None,
            targets,
            owned: ArcSwap::default(),
            listed: service.targets.iter().map(|target| target.state).collect(),
            recent_runs,
            lapsed_orders,
            in_flight: AtomicU32::new(0),
            waiting: Waiting::new(),
            speed: ServiceSpeed::new(),
            crowding: LearnedMedian::new(CROWDING_INITIAL, CROWDING_INITIAL_SAMPLES),
            first_seen_at: previous.map_or(now, |previous| previous.first_seen_at),
            typical_ms: AtomicF32::new(typical_ms),
            mean_peer_load: AtomicF32::new(0.0),
            refused_share: AtomicF32::new(0.0),
            retry_stagger: RetryStagger::default(),
            limit: InFlightLimit::new(capacity / entries, limit_max),
            hedge_delay: HedgeDelay::new(
                service.hedge_budget_percent.fraction(),
                typical_ms,
                service.deadline_ms as f32,
            ),
            hedge_budget: TokenBudget::new(
                service.hedge_budget_percent.fraction(),
                BUDGET_CAPACITY,
            ),
            retry_budget: TokenBudget::new(
                service.retry_budget_percent.fraction(),
                BUDGET_CAPACITY,
            ),
            round_robin_position: AtomicU32::new(0),
            ejection_lock: Mutex::new(()),
            hedges: AtomicU64::new(0),
            retries: AtomicU64::new(0),
            ejections: AtomicU64::new(0),
        };
        if let Some(previous) = previous {
            state.take_over(previous);
            state.mark_missing_leaving(previous);
        }
        state.refresh_owned();
        state
    }

    fn take_over(&self, previous: &Self) {
        self.typical_ms.set(previous.typical_ms.get());
        self.mean_peer_load.set(previous.mean_peer_load.get());
        self.limit.take_over(&previous.limit);
        self.hedge_delay.take_over(&previous.hedge_delay);
        self.speed.take_over(&previous.speed);
        self.crowding.take_over(&previous.crowding);
        self.hedge_budget.take_over(&previous.hedge_budget);
        self.retry_budget.take_over(&previous.retry_budget);
    }

    /// Marks targets that are gone as leaving: requests that began with `previous` choose among its
    /// targets until they end.
    fn mark_missing_leaving(&self, previous: &Self) {
        let retained: HashSet<*const TargetState> = self.targets.iter().map(Arc::as_ptr).collect();
        let is_missing = |target: &&Arc<TargetState>| !retained.contains(&Arc::as_ptr(target));
        for target in previous.targets.iter().filter(is_missing) {
            target.mark_leaving();
        }
    }

    /// Name of the service.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// The targets, in the bundle's order.
    pub fn targets(&self) -> &[Arc<TargetState>] {
        &self.targets
    }

    /// How the version listed each of them.
    pub(crate) fn listed(&self) -> &[BundledTargetState] {
        &self.listed
    }

    /// The targets that this entry owns, as they were last found.
    pub(crate) fn owned(&self) -> Arc<Vec<Arc<TargetState>>> {
        self.owned.load_full()
    }

    /// Whether this entry owns any target.
    pub(crate) fn has_owned(&self) -> bool {
        !self.owned.load().is_empty()
    }

    /// Finds the targets that this entry owns, after it was said of some that it does or does not.
    pub fn refresh_owned(&self) {
        let is_owned = |target: &&Arc<TargetState>| target.is_owned();
        let owned = self.targets.iter().filter(is_owned).cloned().collect();
        self.owned.store(Arc::new(owned));
    }

    /// The target at an address.
    pub fn target(&self, address: TargetAddress) -> Option<&Arc<TargetState>> {
        self.targets
            .iter()
            .find(|target| target.address() == address)
    }

    /// Requests of the service that are at targets.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests of the service that wait at this entry.
    pub fn waiting(&self) -> u32 {
        self.waiting.count()
    }

    /// The most urgent priority of which a request waits at this entry.
    pub fn most_urgent_waiting(&self) -> Option<u8> {
        self.waiting.most_urgent()
    }

    /// Requests that this entry keeps in flight at the most.
    pub fn in_flight_limit(&self) -> f32 {
        self.limit.get()
    }

    /// Delay of a hedge.
    pub fn hedge_delay(&self) -> Microseconds {
        self.hedge_delay.delay()
    }

    /// Added attempts and ejections so far.
    pub fn counts(&self) -> ServiceCounts {
        ServiceCounts {
            hedges: self.hedges.load(Ordering::Relaxed),
            retries: self.retries.load(Ordering::Relaxed),
            ejections: self.ejections.load(Ordering::Relaxed),
        }
    }

    /// Takes in a load report that came by another way than a reply: a probe or another entry.
    pub fn record_report(&self, target: &TargetState, now: Microseconds, report: &LoadReport) {
        let peer_load = target.record_report(now, report);
        self.mean_peer_load.blend(peer_load, PEER_LOAD_WEIGHT);
        if let Some(slowdown) = report.slowdown {
            target.record_direct_speed(now, slowdown, &self.speed);
        }
    }

    /// Takes in what another entry heard of a target's speed at `at`. Returns whether it is news.
    pub fn record_speed(&self, target: &TargetState, at: Microseconds, slowdown: f32) -> bool {
        target.record_speed(at, slowdown, &self.speed)
    }

    /// How many targets there are and why requests can't go to some of them, for the record.
    pub fn summary(&self, now: Microseconds) -> TargetSummary {
        let mut summary = TargetSummary::default();
        for target in &self.targets {
            summary.all += 1;
            let held = target.in_flight() + target.peers_in_flight();
            let slowdown = target.expected_slowdown(now, &self.speed);
            summary.leaving += u32::from(target.is_leaving());
            summary.resting += u32::from(target.rests_until(now).is_some());
            summary.ejected += u32::from(target.is_ejected(now));
            summary.slow += u32::from(slowdown >= SLOW_SLOWDOWN_MIN);
            summary.full += u32::from(held as f32 >= target.slots());
        }
        summary
    }

    /// Share of the slots of all targets that take work at `now` that requests of all entries hold, as far as is known.
    pub fn utilization(&self, now: Microseconds) -> f32 {
        let (mut held, mut slots) = (0.0, 0.0);
        for target in self.targets.iter().filter(|target| !target.is_closed(now)) {
            held += (target.in_flight() + target.peers_in_flight()) as f32;
            slots += target.slots();
        }
        if slots > 0.0 { held / slots } else { 0.0 }
    }

    /// How long a target's speed lasts on average, in milliseconds.
    pub fn speed_duration_ms(&self) -> f32 {
        self.speed.lasting_ms()
    }

    /// The age of a report at which a target should be asked for its speed.
    pub fn desired_report_age(&self) -> Microseconds {
        let age_ms = (self.typical_ms() * REPORT_AGE_TYPICAL_SHARE)
            .min(self.speed_duration_ms() * REPORT_AGE_DURATION_SHARE)
            .clamp(REPORT_AGE_RANGE_MS.0, REPORT_AGE_RANGE_MS.1);
        Microseconds::new((age_ms * 1_000.0) as u64)
    }

    /// Sets how many added attempts this entry may make at once. What all entries may together is
    /// divided among them by whoever knows them.
    pub fn set_added_attempt_burst(&self, hedges: f32, retries: f32) {
        self.hedge_budget.set_capacity(hedges);
        self.retry_budget.set_capacity(retries);
    }

    /// The same as an entry in `domain` sees it.
    pub fn with_domain(mut self, domain: &FailureDomain) -> Self {
        self.domain = Some(domain.clone());
        self
    }

    /// Whether a target stands in this entry's failure domain, or that is not known.
    pub(crate) fn is_near(&self, target: &TargetState) -> bool {
        let domain = self.domain.as_ref();
        domain.is_none_or(|domain| domain == target.failure_domain())
    }

    pub(crate) fn count_hedge(&self) {
        self.hedges.fetch_add(1, Ordering::Relaxed);
    }

    /// How many times longer work is thought to take at a nearly full target, where it is decided whether to
    /// fill one.
    pub(crate) fn admission_crowding(&self, now: Microseconds) -> f32 {
        let learned = self.crowding.get();
        if now.saturating_sub(self.first_seen_at) < CROWDING_CAUTION_PERIOD {
            return learned.max(CROWDING_CAUTION_MIN);
        }
        learned
    }

    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    pub(crate) fn slots(&self) -> f32 {
        self.slots
    }

    pub(crate) fn priority(&self) -> u8 {
        self.priority
    }

    pub(crate) fn connections_per_target(&self) -> u32 {
        self.connections_per_target
    }

    /// Typical time of a request, in milliseconds.
    pub fn typical_ms(&self) -> f32 {
        self.typical_ms.get()
    }

    pub(crate) fn mean_peer_load(&self) -> f32 {
        self.mean_peer_load.get()
    }

    pub(crate) fn begin(&self, target: &TargetState, now: Microseconds) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        target.begin(now);
    }

    pub(crate) fn end(&self, target: &TargetState, started: Microseconds) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        target.end(started);
    }

    pub(crate) fn begin_wait(&self, priority: u8) {
        self.waiting.begin(priority);
    }

    pub(crate) fn end_wait(&self, priority: u8) {
        self.waiting.end(priority);
    }

    pub(crate) fn record_admission(&self, is_refused: bool) {
        let sample = if is_refused { 1.0 } else { 0.0 };
        self.refused_share.blend(sample, REFUSED_WEIGHT);
    }

    /// Takes an answer in: its time, and the report that came with it.
    pub(crate) fn record_answer(
        &self,
        target: &TargetState,
        now: Microseconds,
        latency: Microseconds,
        report: Option<&LoadReport>,
    ) {
        target.record_latency(now, latency);
        health::record_success(target, now);
        let mut queue_factor = 1.0;
        if let Some(report) = report {
            self.record_report(target, now, report);
            self.limit.record(report, self.slots, self.in_flight());
            queue_factor = (report.outstanding() as f32 / self.slots).max(1.0);
        }
        let service_ms = latency.as_ms() as f32 / queue_factor;
        self.typical_ms.blend(service_ms.max(0.1), TYPICAL_WEIGHT);
    }

    /// Takes a failure in.
    pub(crate) fn record_failure(&self, target: &TargetState, now: Microseconds) {
        if health::record_failure(self, target, now) {
            self.ejections.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Time until a target that holds `load` requests begins on another one, in milliseconds.
    pub(crate) fn predicted_wait_ms(&self, load: f32) -> f32 {
        (load + 1.0 - self.slots).max(0.0) * self.typical_ms() / self.slots
    }

    /// Time until a request that begins to wait at this entry is sent, in milliseconds.
    pub(crate) fn predicted_queue_wait_ms(&self) -> f32 {
        (self.waiting() + 1) as f32 * self.typical_ms() / self.limit.get()
    }

    /// When a refused caller should come back, in milliseconds: after the backlog has drained at the
    /// measured rate, longer the more are refused, and spread so that callers don't return together.
    pub(crate) fn retry_after_ms(&self, random: &mut fastrand::Rng) -> u64 {
        let backlog = self.waiting() as f32 + self.in_flight() as f32;
        let drain_ms = backlog * self.typical_ms() / self.limit.get();
        let accepted_share = (1.0 - self.refused_share.get()).max(0.02);
        let min_ms = (drain_ms / accepted_share).max(RETRY_AFTER_MIN_MS);
        let spread_ms = min_ms * (1.0 + random.f32());
        spread_ms.min(RETRY_AFTER_MAX_MS) as u64
    }
}
