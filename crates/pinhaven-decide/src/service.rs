//! State of one service as this entry knows it, shared by all requests of the service.

use crate::admission::InFlightLimit;
use crate::atomic::AtomicF32;
use crate::atomic::LearnedMedian;
use crate::availability::RetryStagger;
use crate::budget::TokenBudget;
use crate::cold::ColdLimit;
use crate::connectivity::Connectivity;
use crate::fair_share::FairShare;
use crate::forecast::TargetFilter;
use crate::health;
use crate::hedge::HedgeDelay;
use crate::lapsed_orders::LapsedOrders;
use crate::locality::CrossingCounts;
use crate::locality::by_domain;
use crate::recent_runs::RecentRuns;
use crate::report::LoadReport;
use crate::retry_budget::RetryBudget;
use crate::service_targets::PreviousTargets;
use crate::service_targets::build_targets;
use crate::shortage::Shortage;
use crate::speed::ServiceSpeed;
use crate::target::TargetState;
use crate::waiting::Waiting;
use arc_swap::ArcSwap;
use pinhaven_bundle::Policy;
use pinhaven_bundle::Service;
use pinhaven_bundle::TargetState as BundledTargetState;
use pinhaven_types::CrossingCost;
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

/// Number of added attempts that may be sent in a burst before the budget's share limits them.
const BUDGET_CAPACITY: f32 = 20.0;
/// Weight of one answer in the service's typical time.
const TYPICAL_WEIGHT: f32 = 0.01;
/// Slowdown factor of a nearly full target, assumed until it has been observed.
const CROWDING_INITIAL: f32 = 1.2;
/// Weight of the initial factor, in samples.
const CROWDING_INITIAL_SAMPLES: u32 = 4;
/// Time after this entry first sees the service during which the last slots of targets are assumed to be expensive.
/// After an outage of all entries, six of ten requests of the first second would otherwise begin at nearly full
/// targets, where work takes 1.7 times as long.
const CROWDING_CAUTION_PERIOD: Microseconds = Microseconds::from_ms(1_000);
/// Minimum crowding factor during that period.
const CROWDING_CAUTION_MIN: f32 = 1.6;
/// Age of a report at which a target should be asked for its speed, as a share of the typical time of requests. A
/// choice is wrong if the speed has changed since the report or changes while the request runs. Asking much more often
/// would only make the first of these cases rarer, which at this age is already the rarer one.
const REPORT_AGE_TYPICAL_SHARE: f32 = 0.6;
/// Age of a report at which a target should be asked for its speed, as a share of the mean duration of a speed. Where
/// work keeps its initial speed, requests that begin at a target that has slowed down since its report are late. A
/// smaller share reduces their number and requires more probes.
const REPORT_AGE_DURATION_SHARE: f32 = 0.08;
/// Minimum and maximum of that age, in milliseconds.
const REPORT_AGE_RANGE_MS: (f32, f32) = (20.0, 90.0);
/// Slowdown from which a target counts as slow in a summary.
const SLOW_SLOWDOWN_MIN: f32 = 2.0;
/// Weight of one report in the mean load from other entries.
const PEER_LOAD_WEIGHT: f32 = 0.02;
/// Weight of one request in the share of refused requests.
const REFUSED_WEIGHT: f32 = 0.02;
/// Minimum retry delay of a refused caller, in milliseconds.
const RETRY_AFTER_MIN_MS: f32 = 100.0;
/// Maximum retry delay of a refused caller, in milliseconds.
const RETRY_AFTER_MAX_MS: f32 = 60_000.0;

/// State of a service at one entry.
#[derive(Debug)]
pub struct ServiceState {
    name: ServiceName,
    policy: Policy,
    slots: f32,
    connections_per_target: u32,
    priority: u8,
    domain: Option<FailureDomain>,
    targets: Vec<Arc<TargetState>>,
    /// Targets in this entry's failure domain; all targets if the domain is not known.
    near: Vec<Arc<TargetState>>,
    /// Targets in other failure domains.
    far: Vec<Arc<TargetState>>,
    /// The targets of `far`, by failure domain.
    pub(crate) far_by_domain: Vec<Vec<Arc<TargetState>>>,
    pub(crate) crossing_cost: Option<CrossingCost>,
    pub(crate) crossings: Arc<CrossingCounts>,
    /// Targets that this entry owns.
    owned: ArcSwap<Vec<Arc<TargetState>>>,
    listed: Vec<BundledTargetState>,
    cold_limit: Option<ColdLimit>,
    recent_runs: RecentRuns,
    lapsed_orders: LapsedOrders,
    connectivity: Arc<Connectivity>,
    in_flight: AtomicU32,
    pub(crate) waiting: Waiting,
    pub(crate) shortage: Shortage,
    pub(crate) fair_share: FairShare,
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
    pub(crate) retry_budget: RetryBudget,
    pub(crate) round_robin_position: AtomicU32,
    pub(crate) ejection_lock: Mutex<()>,
    pub(crate) hedges: AtomicU64,
    pub(crate) retries: AtomicU64,
    pub(crate) ejections: AtomicU64,
}

/// Number of targets of a service, and of those in states that restrict requests. A target may count in several
/// states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetSummary {
    /// All known targets.
    pub all: u32,
    /// Leaving targets.
    pub leaving: u32,
    /// Resting targets.
    pub resting: u32,
    /// Targets ejected for failing.
    pub ejected: u32,
    /// Targets whose expected speed is at most half their usual speed.
    pub slow: u32,
    /// Targets whose slots are all taken.
    pub full: u32,
}

/// Added attempts and ejections of a service since the entry adopted the current bundle version.
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
    /// Creates the state of a service in a new bundle version. Targets of `previous` retain their state; other targets
    /// begin a warm-up if there is a `previous`.
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
            near: targets.clone(),
            far: Vec::new(),
            far_by_domain: Vec::new(),
            crossing_cost: None,
            crossings: previous
                .map(|previous| Arc::clone(&previous.crossings))
                .unwrap_or_default(),
            targets,
            owned: ArcSwap::default(),
            listed: service.targets.iter().map(|target| target.state).collect(),
            cold_limit: ColdLimit::of(service),
            recent_runs,
            lapsed_orders,
            connectivity: previous
                .map(|previous| Arc::clone(&previous.connectivity))
                .unwrap_or_default(),
            in_flight: AtomicU32::new(0),
            waiting: Waiting::new(),
            shortage: Shortage::new(),
            fair_share: FairShare::default(),
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
            retry_budget: RetryBudget::new(
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
        self.shortage.take_over(&previous.shortage);
        self.fair_share.take_over(&previous.fair_share);
        self.speed.take_over(&previous.speed);
        self.crowding.take_over(&previous.crowding);
        self.hedge_budget.take_over(&previous.hedge_budget);
        self.retry_budget.take_over(&previous.retry_budget);
    }

    /// Marks targets of `previous` that are missing from this version as leaving: requests that began with `previous`
    /// choose among its targets until they end.
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

    /// State of each target as listed in this version, in the order of the targets.
    pub(crate) fn listed(&self) -> &[BundledTargetState] {
        &self.listed
    }

    /// The targets that this entry owns, as of the last [`refresh_owned`](Self::refresh_owned).
    pub(crate) fn owned(&self) -> Arc<Vec<Arc<TargetState>>> {
        self.owned.load_full()
    }

    /// Whether this entry owns any target.
    pub(crate) fn has_owned(&self) -> bool {
        !self.owned.load().is_empty()
    }

    /// Updates the list of owned targets after [`TargetState::set_owned`] was called.
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

    /// Targets whose reachability tells whether `crashed` has crashed or the links of this entry are lost: all others that
    /// are not known to be down.
    pub fn targets_to_compare(
        &self,
        crashed: &TargetState,
    ) -> impl Iterator<Item = &Arc<TargetState>> {
        let address = crashed.address();
        let others = self.targets.iter();
        others.filter(move |other| other.address() != address && !other.is_down())
    }

    /// Whether this entry reaches the targets.
    pub fn connectivity(&self) -> &Connectivity {
        &self.connectivity
    }

    /// Requests of the service that are in flight at targets.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests of the service that wait at this entry.
    pub fn waiting(&self) -> u32 {
        self.waiting.count()
    }

    /// The highest urgency of the requests that wait at this entry and may take any slot.
    pub fn most_urgent_waiting(&self) -> Option<u8> {
        self.waiting.most_urgent()
    }

    /// Maximum number of requests that this entry keeps in flight.
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

    /// Records a load report that this entry received from the target, with an answer or by a probe.
    pub fn record_report(&self, target: &TargetState, now: Microseconds, report: &LoadReport) {
        let peer_load = target.record_report(now, report);
        self.mean_peer_load.blend(peer_load, PEER_LOAD_WEIGHT);
        if let Some(slowdown) = report.slowdown {
            target.record_direct_speed(now, slowdown, &self.speed);
        }
    }

    /// Records the speed that a target reported to another entry at `at`. Returns whether the report is new.
    pub fn record_speed(&self, target: &TargetState, at: Microseconds, slowdown: f32) -> bool {
        target.record_speed(at, slowdown, &self.speed)
    }

    /// Counts the targets and those in states that restrict requests.
    pub fn summary(&self, now: Microseconds) -> TargetSummary {
        let mut summary = TargetSummary::default();
        for target in &self.targets {
            summary.all += 1;
            let outstanding = target.in_flight() + target.peers_in_flight();
            let slowdown = target.expected_slowdown(now, &self.speed);
            summary.leaving += u32::from(target.is_leaving());
            summary.resting += u32::from(target.rests_until(now).is_some());
            summary.ejected += u32::from(target.is_ejected(now));
            summary.slow += u32::from(slowdown >= SLOW_SLOWDOWN_MIN);
            summary.full += u32::from(outstanding as f32 >= target.slots());
        }
        summary
    }

    /// Share of slots held by the requests of all entries, as far as known, over all targets that take work at `now`.
    pub fn utilization(&self, now: Microseconds) -> f32 {
        let (mut outstanding, mut slots) = (0.0, 0.0);
        for target in self.targets.iter().filter(|target| !target.is_closed(now)) {
            outstanding += (target.in_flight() + target.peers_in_flight()) as f32;
            slots += target.slots();
        }
        if slots > 0.0 {
            outstanding / slots
        } else {
            0.0
        }
    }

    /// Mean duration of a target's speed, in milliseconds.
    pub fn speed_duration_ms(&self) -> f32 {
        self.speed.mean_duration_ms()
    }

    /// Age of a report at which a target should be asked for its speed.
    pub fn desired_report_age(&self) -> Microseconds {
        let age_ms = (self.typical_ms() * REPORT_AGE_TYPICAL_SHARE)
            .min(self.speed_duration_ms() * REPORT_AGE_DURATION_SHARE)
            .clamp(REPORT_AGE_RANGE_MS.0, REPORT_AGE_RANGE_MS.1);
        Microseconds::new((age_ms * 1_000.0) as u64)
    }

    /// Sets how many hedges and retries this entry may send in a burst. The caller divides the total of all entries
    /// among them.
    pub fn set_added_attempt_burst(&self, hedges: f32, retries: f32) {
        self.hedge_budget.set_capacity(hedges);
        self.retry_budget.set_capacity(retries);
    }

    /// Sets the failure domain of this entry.
    pub fn with_domain(mut self, domain: &FailureDomain) -> Self {
        self.domain = Some(domain.clone());
        let is_near = |target: &Arc<TargetState>| target.failure_domain() == domain;
        (self.near, self.far) = self.targets.iter().cloned().partition(is_near);
        self.far_by_domain = by_domain(&self.far);
        self
    }

    /// The targets in this entry's failure domain, in the bundle's order; all targets if the domain is not known.
    pub(crate) fn near(&self) -> &[Arc<TargetState>] {
        &self.near
    }

    /// The targets in other failure domains, in the bundle's order.
    pub(crate) fn far(&self) -> &[Arc<TargetState>] {
        &self.far
    }

    /// Whether a target is in this entry's failure domain, or the domain of this entry is unknown.
    pub(crate) fn is_near(&self, target: &TargetState) -> bool {
        let domain = self.domain.as_ref();
        domain.is_none_or(|domain| domain == target.failure_domain())
    }

    pub(crate) fn count_hedge(&self) {
        self.hedges.fetch_add(1, Ordering::Relaxed);
    }

    /// Slowdown factor of a nearly full target, for the decision whether to fill one.
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

    /// Typical time of a request, in milliseconds.
    pub fn typical_ms(&self) -> f32 {
        self.typical_ms.get()
    }

    pub(crate) fn mean_peer_load(&self) -> f32 {
        self.mean_peer_load.get()
    }

    /// Limit of the requests to cold targets, if the service sets one.
    pub(crate) fn cold_limit(&self) -> Option<&ColdLimit> {
        self.cold_limit.as_ref()
    }

    /// Whether this entry may send one more request to the target at `now`.
    pub(crate) fn may_send_to(&self, target: &TargetState, now: Microseconds) -> bool {
        target.is_eligible(now, self.connections_per_target) && self.has_cold_turn(target, now)
    }

    pub(crate) fn begin(&self, target: &TargetState, now: Microseconds) {
        self.take_cold_turn(target, now);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.connectivity.record_sent(now);
        target.begin(now);
    }

    pub(crate) fn end(&self, target: &TargetState, started: Microseconds) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        target.end(started);
    }

    pub(crate) fn begin_wait(&self, urgency: u8, filter: TargetFilter) {
        self.waiting.begin(urgency, filter);
    }

    pub(crate) fn end_wait(&self, urgency: u8, filter: TargetFilter) {
        self.waiting.end(urgency, filter);
    }

    pub(crate) fn record_admission(&self, is_refused: bool) {
        let sample = if is_refused { 1.0 } else { 0.0 };
        self.refused_share.blend(sample, REFUSED_WEIGHT);
    }

    /// Records an answer: its latency, and the load report that came with it.
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

    /// Records a failure of a target.
    pub(crate) fn record_failure(&self, target: &TargetState, now: Microseconds) {
        if health::record_failure(self, target, now) {
            self.ejections.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Predicted time until a target that holds `load` requests begins another one, in milliseconds.
    pub(crate) fn predicted_wait_ms(&self, load: f32) -> f32 {
        (load + 1.0 - self.slots).max(0.0) * self.typical_ms() / self.slots
    }

    /// Predicted time until a request that begins to wait at this entry is sent, in milliseconds.
    pub(crate) fn predicted_queue_wait_ms(&self) -> f32 {
        (self.waiting() + 1) as f32 * self.typical_ms() / self.limit.get()
    }

    /// Retry delay of a refused caller, in milliseconds: the time to drain the backlog at the measured rate, longer
    /// the more requests are refused, with jitter so that callers don't return together.
    pub(crate) fn retry_after_ms(&self, random: &mut fastrand::Rng) -> u64 {
        let backlog = self.waiting() as f32 + self.in_flight() as f32;
        let drain_ms = backlog * self.typical_ms() / self.limit.get();
        let accepted_share = (1.0 - self.refused_share.get()).max(0.02);
        let min_ms = (drain_ms / accepted_share).max(RETRY_AFTER_MIN_MS);
        let spread_ms = min_ms * (1.0 + random.f32());
        spread_ms.min(RETRY_AFTER_MAX_MS) as u64
    }
}
