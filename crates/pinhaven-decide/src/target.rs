//! State of one target as this entry knows it, from reports that may be out of date and from its own requests.
//!
//! The state has three parts: the exact number of this entry's own requests in flight; the load from other entries,
//! which decays from the last report towards the service's mean as the report ages; and the time that own requests
//! have been in flight, which reveals a sudden slowdown before any answer arrives.

mod eligibility;

use crate::atomic::AtomicF32;
use crate::cold::ColdPace;
use crate::crashes::CrashCount;
use crate::orders::AnswerOrders;
use crate::orders::CachedClosedUntil;
use crate::orders::OrderState;
use crate::report::LoadReport;
use crate::speed::ReportedSpeed;
use crate::speed::ServiceSpeed;
use pinhaven_bundle::Target;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Weight of a new latency in the recent latency of a target.
const LATENCY_WEIGHT: f32 = 0.3;
/// Age at which half of a recorded latency excess has decayed, in milliseconds. The next sample replaces an older
/// latency.
const LATENCY_HALF_LIFE_MS: f32 = 200.0;
/// Age at which half of a failure penalty has decayed, in milliseconds.
const PENALTY_HALF_LIFE_MS: f32 = 500.0;
/// Duration of the warm-up, until a target gets its full share.
const WARM_UP: Microseconds = Microseconds::from_ms(2_000);
/// Share of a target at the beginning of its warm-up.
const WARM_SHARE_MIN: f32 = 0.1;
/// Maximum age of a recent report, in mean durations of a speed.
const RECENT_SPEED_DURATIONS: f32 = 2.0;
/// Upper bound of that age, in milliseconds, because the speeds of a service whose targets have never changed may
/// begin to change.
const RECENT_MAX_MS: f32 = 2_000.0;
/// Age from which a request counts as overdue, in typical times.
const OVERDUE_TYPICAL_TIMES: f32 = 2.0;

/// State of a target at one entry.
#[derive(Debug)]
pub struct TargetState {
    address: TargetAddress,
    failure_domain: FailureDomain,
    id: Option<TargetId>,
    incarnation: Option<TargetIncarnation>,
    slots: f32,
    speed: ReportedSpeed,
    direct_report_at_us: AtomicU64,
    peers_in_flight: AtomicU32,
    /// Time until which the target is cold: slow, and able to bear few requests.
    cold_until_us: AtomicU64,
    cold_pace: ColdPace,
    in_flight: AtomicU32,
    start_sum_us: AtomicU64,
    peer_load: AtomicF32,
    reported_at_us: AtomicU64,
    latency_ms: AtomicF32,
    latency_at_us: AtomicU64,
    responded_at_us: AtomicU64,
    penalty: AtomicF32,
    penalty_at_us: AtomicU64,
    /// When the warm-up began, in which the target's share grows; 0 for none.
    warm_up_from_us: AtomicU64,
    pub(crate) consecutive_failures: AtomicU32,
    pub(crate) ejections: AtomicU32,
    pub(crate) ejected_until_us: AtomicU64,
    is_leaving: AtomicBool,
    is_domain_drained: AtomicBool,
    /// Orders, shared by all states of this run so that they survive a temporary absence from the list.
    orders: Arc<OrderState>,
    closed_until: CachedClosedUntil,
    is_owned: AtomicBool,
    crashes: CrashCount,
    /// Maximum number of this entry's requests in flight at the target.
    in_flight_max: AtomicU32,
}

/// State of a target, for display and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Address where the target listens.
    pub address: TargetAddress,
    /// Failure domain of the target.
    pub failure_domain: FailureDomain,
    /// Requests of this entry in flight at the target.
    pub in_flight: u32,
    /// Estimated requests of other entries at the target.
    pub peer_load: f32,
    /// Recent latency, in milliseconds.
    pub latency_ms: f32,
    /// Whether the target is ejected for failing.
    pub is_ejected: bool,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Whether the target's failure domain is drained.
    pub is_domain_drained: bool,
    /// Whether the target is cold.
    pub is_cold: bool,
    /// Whether this entry owns the target.
    pub is_owned: bool,
    /// Remaining time of the rest that the target asked for, in milliseconds.
    pub rests_for_ms: Option<f64>,
    /// Slowdown relative to the usual speed, as last reported.
    pub slowdown: f32,
    /// Age of that report, in milliseconds; `None` if there is none.
    pub report_age_ms: Option<f64>,
}

impl TargetState {
    /// Creates the state of a target first seen at `now`. If `warm_up_from` is set, a warm-up begins at that time, in
    /// which the share of the target grows.
    pub fn new(
        target: &Target,
        slots: u32,
        now: Microseconds,
        warm_up_from: Option<Microseconds>,
    ) -> Self {
        Self {
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            id: target.id.clone(),
            incarnation: target.incarnation,
            slots: target.slots.unwrap_or(slots) as f32,
            speed: ReportedSpeed::unknown(),
            direct_report_at_us: AtomicU64::new(0),
            peers_in_flight: AtomicU32::new(0),
            cold_until_us: AtomicU64::new(
                now.plus(Microseconds::from_ms(target.warm_up_ms)).count(),
            ),
            cold_pace: ColdPace::default(),
            in_flight: AtomicU32::new(0),
            start_sum_us: AtomicU64::new(0),
            peer_load: AtomicF32::new(0.0),
            reported_at_us: AtomicU64::new(0),
            latency_ms: AtomicF32::new(0.0),
            latency_at_us: AtomicU64::new(0),
            responded_at_us: AtomicU64::new(0),
            penalty: AtomicF32::new(0.0),
            penalty_at_us: AtomicU64::new(0),
            warm_up_from_us: AtomicU64::new(warm_up_from.map_or(0, |since| since.count().max(1))),
            consecutive_failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until_us: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_domain_drained: AtomicBool::new(false),
            orders: Arc::default(),
            closed_until: CachedClosedUntil::new(OrderState::default().closed_until()),
            is_owned: AtomicBool::new(false),
            crashes: CrashCount::default(),
            in_flight_max: AtomicU32::new(u32::MAX),
        }
    }

    /// Limits a restarted target to one request of this entry, and one more for each successful answer, so that a
    /// target that crashes repeatedly gets no more work than it answers.
    pub(crate) fn with_slow_start(mut self) -> Self {
        self.in_flight_max = AtomicU32::new(1);
        self
    }

    /// Address where the target listens.
    pub fn address(&self) -> TargetAddress {
        self.address
    }

    /// Failure domain of the target.
    pub fn failure_domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    /// Id of the target, if known.
    pub fn id(&self) -> Option<&TargetId> {
        self.id.as_ref()
    }

    /// Id of the target, or its address if it has no id.
    pub fn name(&self) -> String {
        let id = self.id.as_ref().map(ToString::to_string);
        id.unwrap_or_else(|| self.address.to_string())
    }

    /// Run of the target, if it publishes its start time.
    pub fn incarnation(&self) -> Option<TargetIncarnation> {
        self.incarnation
    }

    /// Whether `described` is the same run of the same target. A description without an incarnation matches any run:
    /// lists from entries of older versions omit the incarnation, and the state must survive them.
    pub fn is_same_run(&self, described: &Target) -> bool {
        let is_different_run =
            described.incarnation.is_some() && described.incarnation != self.incarnation;
        self.id == described.id && !is_different_run
    }

    /// Short key by which entries identify the target among themselves; `None` without an id. The key covers the run,
    /// so that a late update about an earlier run matches no target.
    pub fn key(&self) -> Option<u32> {
        let id = self.id.as_ref()?.as_str().as_bytes();
        let digest = match self.incarnation {
            Some(incarnation) => Digest::of_parts(&[id, incarnation.to_string().as_bytes()]),
            None => Digest::of(id),
        };
        Some(digest.short() as u32)
    }

    /// Number of requests that the target works on at a time.
    pub fn slots(&self) -> f32 {
        self.slots
    }

    /// Requests of this entry in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests of other entries in flight at the target, as they last advertised.
    pub fn peers_in_flight(&self) -> u32 {
        self.peers_in_flight.load(Ordering::Relaxed)
    }

    /// Records that another entry now has `after` requests in flight at the target instead of `before`.
    pub fn record_peer_in_flight(&self, before: u32, after: u32) {
        if after >= before {
            self.peers_in_flight
                .fetch_add(after - before, Ordering::Relaxed);
        } else {
            self.peers_in_flight
                .fetch_sub(before - after, Ordering::Relaxed);
        }
    }

    /// Last reported slowdown and its time; `None` if there is none.
    pub fn reported_speed(&self) -> Option<(f32, Microseconds)> {
        self.speed.last()
    }

    /// Last slowdown that the target reported to this entry directly, and its time. Reports received from peers are
    /// excluded, so that entries don't relay a report in circles.
    pub fn directly_reported_speed(&self) -> Option<(f32, Microseconds)> {
        let direct_at_us = self.direct_report_at_us.load(Ordering::Relaxed);
        let last = self.speed.last();
        last.filter(|(_, at)| at.count() == direct_at_us)
    }

    /// Records the slowdown that the target reported to this entry at `now`.
    pub(crate) fn record_direct_speed(
        &self,
        now: Microseconds,
        slowdown: f32,
        service: &ServiceSpeed,
    ) {
        if self.record_speed(now, slowdown, service) {
            self.direct_report_at_us
                .store(now.count(), Ordering::Relaxed);
        }
    }

    /// Records the slowdown that the target reported at `at`. Returns whether the report is new.
    pub(crate) fn record_speed(
        &self,
        at: Microseconds,
        slowdown: f32,
        service: &ServiceSpeed,
    ) -> bool {
        self.speed.record(at, slowdown, service)
    }

    /// The expected slowdown at `now`.
    pub(crate) fn expected_slowdown(&self, now: Microseconds, service: &ServiceSpeed) -> f32 {
        self.speed.expected(now, service)
    }

    /// Whether the last report is recent enough that the speed may be unchanged.
    pub(crate) fn has_recent_report(&self, now: Microseconds, service: &ServiceSpeed) -> bool {
        let age = self.speed.last().map(|(_, at)| now.saturating_sub(at));
        let recent_ms = (service.mean_duration_ms() * RECENT_SPEED_DURATIONS).min(RECENT_MAX_MS);
        age.is_some_and(|age| age.as_ms() as f32 <= recent_ms)
    }

    /// Whether the target is cold at `now`, after a start or because it turned cold again.
    pub fn is_cold(&self, now: Microseconds) -> bool {
        now.count() < self.cold_until_us.load(Ordering::Relaxed)
    }

    /// Time until the target is warm; zero if it is.
    pub fn cold_left(&self, now: Microseconds) -> Microseconds {
        let until = Microseconds::new(self.cold_until_us.load(Ordering::Relaxed));
        until.saturating_sub(now)
    }

    /// Records that the target itself reported at `now` for how much longer it is cold. Returns whether it has turned cold.
    pub fn record_cold(&self, now: Microseconds, left: Microseconds) -> bool {
        let until = now.plus(left);
        let previous_us = self.cold_until_us.swap(until.count(), Ordering::Relaxed);
        left > Microseconds::ZERO && previous_us <= now.count()
    }

    /// Records that the target may be cold until a time, as another entry knows or as is assumed.
    pub fn extend_cold(&self, until: Microseconds) {
        self.cold_until_us
            .fetch_max(until.count(), Ordering::Relaxed);
    }

    pub(crate) fn cold_pace(&self) -> &ColdPace {
        &self.cold_pace
    }

    /// Whether this entry owns the target and sends requests there before other entries do.
    pub fn is_owned(&self) -> bool {
        self.is_owned.load(Ordering::Relaxed)
    }

    /// Sets whether this entry owns the target.
    pub fn set_owned(&self, is_owned: bool) {
        self.is_owned.store(is_owned, Ordering::Relaxed);
    }

    /// Whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Microseconds) -> bool {
        self.ejected_until_us.load(Ordering::Relaxed) > now.count()
    }

    /// A snapshot of the state at `now`.
    pub fn view(&self, now: Microseconds) -> TargetView {
        TargetView {
            address: self.address,
            failure_domain: self.failure_domain.clone(),
            in_flight: self.in_flight(),
            peer_load: self.peer_load.get(),
            latency_ms: self.latency_ms.get(),
            is_ejected: self.is_ejected(now),
            is_leaving: self.is_leaving(),
            is_domain_drained: self.is_domain_drained(),
            is_cold: self.is_cold(now),
            is_owned: self.is_owned(),
            rests_for_ms: self
                .rests_until(now)
                .map(|until| until.saturating_sub(now).as_ms()),
            slowdown: self.speed.last().map_or(1.0, |(slowdown, _)| slowdown),
            report_age_ms: self
                .speed
                .last()
                .map(|(_, at)| now.saturating_sub(at).as_ms()),
        }
    }

    /// Whether this entry may send one more request to the target, by its in-flight limit and the connections that it
    /// accepts.
    fn has_capacity(&self, connections_max: u32) -> bool {
        let in_flight_max = self.in_flight_max.load(Ordering::Relaxed);
        self.in_flight() < in_flight_max.min(connections_max)
    }

    /// Raises the in-flight limit by one after a successful answer, if there is a limit.
    pub(crate) fn raise_in_flight_max(&self) {
        let in_flight_max = self.in_flight_max.load(Ordering::Relaxed);
        if in_flight_max != u32::MAX {
            // Two concurrent answers may raise the limit only once.
            self.in_flight_max
                .store(in_flight_max + 1, Ordering::Relaxed);
        }
    }

    /// Counts a request as begun. The sum of start times is written first and read last, so that a racing reader sees
    /// requests as younger than they are, never older.
    pub(crate) fn begin(&self, now: Microseconds) {
        self.start_sum_us.fetch_add(now.count(), Ordering::Release);
        self.in_flight.fetch_add(1, Ordering::Release);
    }

    /// Counts a request as ended that was begun at `started`.
    pub(crate) fn end(&self, started: Microseconds) {
        self.in_flight.fetch_sub(1, Ordering::Release);
        self.start_sum_us
            .fetch_sub(started.count(), Ordering::Release);
    }

    /// Records a load report. Requests at the target beyond this entry's own count as peer load, which is returned.
    pub(crate) fn record_report(&self, now: Microseconds, report: &LoadReport) -> f32 {
        let peer_load = report.outstanding().saturating_sub(self.in_flight()) as f32;
        self.peer_load.set(peer_load);
        self.reported_at_us.store(now.count(), Ordering::Relaxed);
        let leaves = report.is_draining;
        self.record_orders(&AnswerOrders { leaves, rest: None }, now);
        peer_load
    }

    /// Records the latency of an answer.
    pub(crate) fn record_latency(&self, now: Microseconds, latency: Microseconds) {
        let sample = latency.as_ms() as f32;
        let weight = if self.age_ms(&self.latency_at_us, now) > LATENCY_HALF_LIFE_MS {
            1.0
        } else {
            LATENCY_WEIGHT
        };
        self.latency_ms.blend(sample, weight);
        self.latency_at_us.store(now.count(), Ordering::Relaxed);
    }

    /// Records that a request was abandoned at `age` without an answer. The age is a lower bound of its latency.
    pub(crate) fn record_censored(&self, now: Microseconds, age: Microseconds) {
        if age.as_ms() as f32 > self.latency_ms.get() {
            self.record_latency(now, age);
        }
    }

    /// Records the time of a successful answer.
    pub(crate) fn record_response(&self, now: Microseconds) {
        self.responded_at_us.store(now.count(), Ordering::Relaxed);
    }

    /// Adds to the penalty of a failing target, in requests.
    pub(crate) fn add_penalty(&self, now: Microseconds, requests: f32) {
        let remaining = self.penalty_at(now);
        self.penalty.set(remaining + requests);
        self.penalty_at_us.store(now.count(), Ordering::Relaxed);
    }

    /// Restarts the target's warm-up at `from`, with the minimum share.
    pub(crate) fn start_warm_up(&self, from: Microseconds) {
        self.warm_up_from_us
            .store(from.count().max(1), Ordering::Relaxed);
    }

    /// Whether the target has its full share at `now`.
    pub(crate) fn is_warm(&self, now: Microseconds) -> bool {
        self.warm_share(now) >= 1.0
    }

    /// Share of its slots that the target should be used at, from 0.1 to 1.
    pub(crate) fn warm_share(&self, now: Microseconds) -> f32 {
        let from = self.warm_up_from_us.load(Ordering::Relaxed);
        if from == 0 {
            return 1.0;
        }
        let age = now.count().saturating_sub(from) as f32;
        (age / WARM_UP.count() as f32).clamp(WARM_SHARE_MIN, 1.0)
    }

    pub(crate) fn penalty_at(&self, now: Microseconds) -> f32 {
        decay(
            self.penalty.get(),
            self.age_ms(&self.penalty_at_us, now),
            PENALTY_HALF_LIFE_MS,
        )
    }

    /// Requests of other entries at `now`, which decay from the last report to the service's mean.
    pub(crate) fn peer_load_at(&self, now: Microseconds, mean: f32, half_life_ms: f32) -> f32 {
        let difference = self.peer_load.get() - mean;
        mean + decay(
            difference,
            self.age_ms(&self.reported_at_us, now),
            half_life_ms,
        )
    }

    /// Excess of the recent latency over the typical one, as a multiple of the typical one.
    pub(crate) fn latency_excess(&self, now: Microseconds, typical_ms: f32) -> f32 {
        let excess = (self.latency_ms.get() / typical_ms - 1.0).max(0.0);
        decay(
            excess,
            self.age_ms(&self.latency_at_us, now),
            LATENCY_HALF_LIFE_MS,
        )
    }

    /// Total age of this entry's requests in flight beyond two typical times each, in typical times.
    pub(crate) fn overdue(&self, now: Microseconds, typical_ms: f32) -> f32 {
        let in_flight = self.in_flight.load(Ordering::Acquire);
        if in_flight == 0 {
            return 0.0;
        }
        let start_sum = self.start_sum_us.load(Ordering::Acquire);
        let now_sum = now.count().wrapping_mul(u64::from(in_flight));
        // A sum that another thread has already added to gives a negative age, which counts as zero.
        let age_sum_us = now_sum.wrapping_sub(start_sum) as i64;
        let age_sum = age_sum_us.max(0) as f32 / (typical_ms * 1_000.0);
        (age_sum - OVERDUE_TYPICAL_TIMES * in_flight as f32).max(0.0)
    }

    /// Time since the last successful answer, in milliseconds.
    pub(crate) fn silence_ms(&self, now: Microseconds) -> f32 {
        self.age_ms(&self.responded_at_us, now)
    }

    fn age_ms(&self, at_us: &AtomicU64, now: Microseconds) -> f32 {
        now.count().saturating_sub(at_us.load(Ordering::Relaxed)) as f32 / 1_000.0
    }
}

/// Hyperbolic decay: the remainder of `value` at an age, half of it at `half_life_ms`.
fn decay(value: f32, age_ms: f32, half_life_ms: f32) -> f32 {
    value * half_life_ms / (half_life_ms + age_ms)
}
