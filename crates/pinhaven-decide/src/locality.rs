//! Choice between targets of the entry's own failure domain and of others, by what a crossing costs.
//!
//! Answers demand that is spread unevenly over failure domains, where traffic between domains is billed. A request stays
//! in its domain while a target there is expected to answer well within the aim, also after a short wait; the larger its
//! bodies, the more a crossing costs. When the targets of its domain would endanger the aim, it crosses at once. Requests
//! of a domain whose targets are full are divided over the other domains in proportion to their free slots: the domain
//! with the most free slots would otherwise get the requests of all entries, until their counts have reached each other.
//!
//! A request that waits for a target of its domain could be sent elsewhere. So it takes precedence over no other
//! request and gets no notification of freed capacity, but looks for a free slot at short intervals.

use crate::event::Action;
use crate::forecast;
use crate::forecast::CROWDED_UTILIZATION;
use crate::forecast::FAR_CANDIDATES_MAX;
use crate::forecast::Forecast;
use crate::forecast::NEAR_CANDIDATES_MAX;
use crate::forecast::OWN_CANDIDATES_MAX;
use crate::forecast::REMOTE_DOMAIN_MIN_MS;
use crate::forecast::SPARE_SLOWDOWN;
use crate::forecast::TIE_JITTER_SHARE;
use crate::forecast::TargetFilter;
use crate::request::EventHandler;
use crate::route::RouteState;
use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::CrossingCost;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Share of the time to the aim within which an answer is expected well within the aim. A request is sent up to 0.75;
/// the difference is for forecasts of crowded targets that turn out too low.
const NEAR_AIM_SHARE: f32 = 0.6;
/// Cost of a crossing with large bodies at a factor of 1, as a share of the time to the aim.
const COST_AIM_SHARE: f32 = 0.35;
/// Weight of a crossing without bodies, relative to one with large bodies. Headers cross too.
const BODILESS_WEIGHT: f32 = 0.25;
/// Size of the bodies at which a crossing costs the mean of one without and one with large bodies, in bytes.
const HALF_WEIGHT_BYTES: f32 = 8_000.0;
/// Maximum time from the arrival for which a request waits for a target of its failure domain, as a share of the aim.
const WAIT_AIM_SHARE_MAX: f32 = 0.10;
/// Interval at which a request that waits for a target of its failure domain looks for a free slot, in milliseconds.
const WAIT_STEP_MS: u64 = 4;
/// Number of targets of each other failure domain by which its free slots are estimated.
const DOMAIN_SAMPLE: usize = 12;

/// Cost of a crossing for one request at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Crossing {
    /// Cost in milliseconds of the answer time, the delay of the network included.
    cost_ms: f32,
    /// Maximum forecast with which a near target is preferred, in milliseconds.
    near_max_ms: f32,
}

impl Crossing {
    /// Cost for a request that has `left_ms` milliseconds to meet its aim and bodies of `body_bytes`.
    fn new(cost: CrossingCost, left_ms: f32, body_bytes: f32) -> Self {
        let size_share = body_bytes / (body_bytes + HALF_WEIGHT_BYTES);
        let weight = BODILESS_WEIGHT + (1.0 - BODILESS_WEIGHT) * size_share;
        let share = cost.factor() as f32 * weight * COST_AIM_SHARE;
        Self {
            cost_ms: REMOTE_DOMAIN_MIN_MS + share * left_ms,
            near_max_ms: NEAR_AIM_SHARE * left_ms,
        }
    }

    /// Cost of a crossing while the domain's own best target is this one.
    fn cost_beside(&self, near: &Forecast, now: Microseconds) -> f32 {
        let is_preferable = near.answer_ms <= self.near_max_ms
            && near.slowdown < SPARE_SLOWDOWN
            && !near.target.is_cold(now);
        match is_preferable {
            true => self.cost_ms,
            false => REMOTE_DOMAIN_MIN_MS,
        }
    }
}

/// Choice of the target for a request for which a crossing has a cost.
pub(crate) struct LocalChoice<'request> {
    pub(crate) service: &'request ServiceState,
    pub(crate) now: Microseconds,
    pub(crate) work_ms: f32,
    pub(crate) tried: &'request [TargetAddress],
    pub(crate) crossing: Crossing,
}

/// A target and its score without the cost of a crossing, in milliseconds.
type Scored = (f32, Forecast);

impl LocalChoice<'_> {
    /// Returns the target with the lowest score, or `None` if no target has a free slot.
    pub(crate) fn earliest(&self, random: &mut fastrand::Rng) -> Option<Forecast> {
        let Some((near_ms, near)) = self.best_near(random) else {
            return self.best_far(random).map(|(_, far)| far);
        };
        let cost_ms = self.crossing.cost_beside(&near, self.now);
        if near_ms <= self.work_ms + cost_ms {
            // No far target is better by the cost, because none takes less than the work.
            return Some(near);
        }
        match self.best_far(random) {
            Some((far_ms, far)) if far_ms + cost_ms < near_ms => Some(far),
            _ => Some(near),
        }
    }

    fn best_near(&self, random: &mut fastrand::Rng) -> Option<Scored> {
        let (service, now) = (self.service, self.now);
        let own = service.owned();
        let own_start = random.usize(..own.len().max(1));
        let near = service.near();
        let near_start = random.usize(..near.len().max(1));
        let is_open = |target: &&Arc<TargetState>| !target.is_closed(now);
        let own = forecast::rotated(&own, own_start)
            .filter(is_open)
            .filter(|target| service.is_near(target));
        let others = forecast::rotated(near, near_start)
            .filter(is_open)
            .filter(|target| !target.is_owned());
        let candidates = own
            .take(OWN_CANDIDATES_MAX)
            .chain(others.take(NEAR_CANDIDATES_MAX));
        self.best(candidates, random)
    }

    /// The best target of another failure domain, which is drawn in proportion to its free slots.
    fn best_far(&self, random: &mut fastrand::Rng) -> Option<Scored> {
        let starts: Vec<(usize, f32)> = self
            .service
            .far_by_domain()
            .iter()
            .map(|targets| {
                let start = random.usize(..targets.len().max(1));
                (start, self.free_slots(targets, start))
            })
            .collect();
        let mut remaining = random.f32() * starts.iter().map(|(_, free)| free).sum::<f32>();
        let domains = self.service.far_by_domain().iter().zip(&starts);
        for (targets, (start, free)) in domains {
            remaining -= free;
            if *free > 0.0 && remaining <= 0.0 {
                let drawn = self.best(self.open_from(targets, *start), random);
                if drawn
                    .as_ref()
                    .is_some_and(|(_, far)| far.answer_ms <= self.crossing.near_max_ms)
                {
                    return drawn;
                }
                break;
            }
        }
        // The drawn domain would miss the aim, or no target that was examined is free and of usual speed.
        let per_domain = FAR_CANDIDATES_MAX.div_ceil(starts.len().max(1));
        let domains = self.service.far_by_domain().iter().zip(&starts);
        let candidates = domains
            .flat_map(|(targets, (start, _))| self.open_from(targets, *start).take(per_domain));
        self.best(candidates, random)
    }

    fn open_from<'target>(
        &self,
        targets: &'target [Arc<TargetState>],
        start: usize,
    ) -> impl Iterator<Item = &'target Arc<TargetState>> {
        let now = self.now;
        forecast::rotated(targets, start)
            .filter(move |target| !target.is_closed(now))
            .take(FAR_CANDIDATES_MAX)
    }

    /// Estimates the free slots of a failure domain by the first targets from `start`.
    fn free_slots(&self, targets: &[Arc<TargetState>], start: usize) -> f32 {
        let (mut free, mut examined) = (0.0, 0);
        for target in forecast::rotated(targets, start).take(DOMAIN_SAMPLE) {
            examined += 1;
            let is_usual = !target.is_cold(self.now)
                && target.expected_slowdown(self.now, &self.service.speed) < SPARE_SLOWDOWN;
            if is_usual && forecast::is_usable(self.service, target, self.now, self.tried) {
                let usable = forecast::usable_slots(self.service, target, self.now);
                free += (usable - forecast::load_of(target, self.now)).max(0.0);
            }
        }
        free * targets.len() as f32 / examined.max(1) as f32
    }

    fn best<'target>(
        &self,
        candidates: impl Iterator<Item = &'target Arc<TargetState>>,
        random: &mut fastrand::Rng,
    ) -> Option<Scored> {
        let (service, now, work_ms) = (self.service, self.now, self.work_ms);
        let mut best: Option<Scored> = None;
        for target in candidates {
            if !forecast::is_usable(service, target, now, self.tried) {
                continue;
            }
            let forecast = forecast::forecast(service, target, now, work_ms);
            if forecast.load >= forecast::usable_slots(service, target, now) {
                continue;
            }
            let score_ms = forecast::score_with_ms(service, &forecast, now, work_ms, 0.0);
            let score_ms = score_ms * (1.0 + TIE_JITTER_SHARE * random.f32());
            if best.as_ref().is_none_or(|(lowest, _)| score_ms < *lowest) {
                best = Some((score_ms, forecast));
            }
        }
        best
    }
}

/// Forecast for a slot that is not free yet, in milliseconds.
struct AfterWait {
    wait_ms: f32,
    /// Time from the end of the wait to the answer.
    answer_ms: f32,
    /// Time by which the request would delay those in the other slots of the target.
    delay_of_others_ms: f32,
}

impl EventHandler<'_> {
    /// Cost of a crossing for this request now; `None` if the operators set none.
    pub(crate) fn crossing(&self) -> Option<Crossing> {
        let cost = self.service.crossing_cost()?;
        let route = self.request.route.as_ref();
        let answer_bytes = route.map_or(0.0, |route| route.answer_bytes());
        let body_bytes = self.request.facts.body_bytes as f32 + answer_bytes;
        let left_ms = self.request.time_to_aim_ms(self.now);
        Some(Crossing::new(cost, left_ms, body_bytes))
    }

    /// Whether a target of the entry's failure domain is expected to answer well within the aim after a short wait, for
    /// a request that could be sent to `far` at once.
    pub(crate) fn prefers_wait_for_near(&self, far: &Forecast) -> bool {
        let Some(crossing) = self.crossing() else {
            return false;
        };
        if self.service.is_near(&far.target) || far.is_crowded() {
            // While slots are scarce in other domains too, one that is free now may be taken after the wait.
            return false;
        }
        let aim_ms = self.request.aim().as_ms() as f32;
        let waited_ms = self.now.saturating_sub(self.request.arrived).as_ms() as f32;
        let wait_max_ms = (aim_ms * WAIT_AIM_SHARE_MAX).min(crossing.cost_ms) - waited_ms;
        if wait_max_ms <= 0.0 {
            return false;
        }
        let Some(near) = self.near_after_wait() else {
            return false;
        };
        let near_ms = near.wait_ms + near.answer_ms;
        near.wait_ms <= wait_max_ms
            && near_ms <= crossing.near_max_ms
            && near_ms + near.delay_of_others_ms <= far.answer_ms + crossing.cost_ms
    }

    /// Whether a hedge may go to a target. Where a crossing has a cost, a hedge crosses only if it is expected to meet
    /// the aim there.
    pub(crate) fn may_hedge_at(&self, hedge: &Forecast) -> bool {
        if self.service.crossing_cost().is_none() || self.service.is_near(&hedge.target) {
            return true;
        }
        let left_ms = self.request.time_to_aim_ms(self.now);
        hedge.answer_ms + REMOTE_DOMAIN_MIN_MS <= left_ms
    }

    /// Forecast for the slot that one of this entry's own requests frees first at a near target of usual speed. `None` if
    /// this entry has no request there.
    fn near_after_wait(&self) -> Option<AfterWait> {
        let (service, now) = (self.service, self.now);
        let is_usual = |target: &&Arc<TargetState>| {
            !target.is_cold(now)
                && !target.is_closed(now)
                && !target.is_ejected(now)
                && target.expected_slowdown(now, &service.speed) < SPARE_SLOWDOWN
        };
        let own = service.owned();
        let others = service.near().iter().filter(|target| !target.is_owned());
        let examined = own
            .iter()
            .filter(|target| service.is_near(target))
            .take(OWN_CANDIDATES_MAX)
            .chain(others.take(NEAR_CANDIDATES_MAX));
        let (mut in_flight, mut usable) = (0, 0.0);
        for target in examined.filter(is_usual) {
            in_flight += target.in_flight();
            usable = forecast::usable_slots(service, target, now);
        }
        if in_flight == 0 {
            return None;
        }
        let (work_ms, crowding) = (self.work_ms(), service.crowding.get());
        let is_crowded = usable >= service.slots() * CROWDED_UTILIZATION;
        let (answer_ms, delay_of_others_ms) = match is_crowded {
            true => (
                work_ms * crowding,
                work_ms * (crowding - 1.0) * (usable - 1.0),
            ),
            false => (work_ms, 0.0),
        };
        let ahead = service.waiting.count_near() + 1;
        Some(AfterWait {
            wait_ms: ahead as f32 * work_ms * crowding / in_flight as f32,
            answer_ms,
            delay_of_others_ms,
        })
    }

    /// Makes the request wait for a target of the entry's failure domain.
    pub(crate) fn wait_for_near(&mut self) {
        let has_waited = std::mem::replace(&mut self.request.has_waited_near, true);
        if !has_waited && self.service.most_urgent_waiting().is_some() {
            // The request may have been notified of capacity that another one can use.
            self.actions.push(Action::OfferCapacity);
        }
        let until = self.now.plus(Microseconds::from_ms(WAIT_STEP_MS));
        self.begin_wait(until, TargetFilter::Near);
    }

    /// The route whose requests keep their order with this one while it waits. A request that waits for a near target
    /// has no place in the order, so that others of its route may be sent before it.
    pub(crate) fn route_to_wait_in(&self, filter: TargetFilter) -> Option<&RouteState> {
        let route = self.request.route.as_deref()?;
        (filter != TargetFilter::Near).then_some(route)
    }
}

impl ServiceState {
    /// Sets how expensive it is to send a request to another failure domain. Without a cost, a target there counts as
    /// slower by a tenth.
    pub fn with_crossing_cost(mut self, cost: Option<CrossingCost>) -> Self {
        self.crossing_cost = cost;
        self
    }

    pub(crate) fn crossing_cost(&self) -> Option<CrossingCost> {
        self.crossing_cost
    }

    /// What entries sent to targets of their own failure domain and of others.
    pub fn crossings(&self) -> &CrossingCounts {
        &self.crossings
    }

    /// Records the size of the body of an answer that a target gave.
    pub fn record_answer_bytes(&self, target: &TargetState, body_bytes: u64) {
        self.crossings
            .record_answer(self.is_near(target), body_bytes);
    }

    /// The targets in other failure domains, by domain.
    pub(crate) fn far_by_domain(&self) -> &[Vec<Arc<TargetState>>] {
        &self.far_by_domain
    }
}

/// What a service sent to targets of this entry's failure domain and of others, and got from there.
#[derive(Debug, Default)]
pub struct CrossingCounts {
    near: SentCounters,
    far: SentCounters,
}

#[derive(Debug, Default)]
struct SentCounters {
    attempts: AtomicU64,
    request_bytes: AtomicU64,
    answer_bytes: AtomicU64,
}

/// Numbers of attempts and body bytes, since the start of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentCounts {
    /// Attempts sent.
    pub attempts: u64,
    /// Bytes of the request bodies.
    pub request_bytes: u64,
    /// Bytes of the delivered answers' bodies, as far as the answers declare them.
    pub answer_bytes: u64,
}

impl CrossingCounts {
    fn of(&self, is_near: bool) -> &SentCounters {
        if is_near { &self.near } else { &self.far }
    }

    pub(crate) fn record(&self, is_near: bool, body_bytes: u64) {
        let counters = self.of(is_near);
        counters.attempts.fetch_add(1, Ordering::Relaxed);
        counters
            .request_bytes
            .fetch_add(body_bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_answer(&self, is_near: bool, body_bytes: u64) {
        let counter = &self.of(is_near).answer_bytes;
        counter.fetch_add(body_bytes, Ordering::Relaxed);
    }

    /// What went to targets of this entry's failure domain.
    pub fn near(&self) -> SentCounts {
        self.near.get()
    }

    /// What went to targets of other failure domains.
    pub fn far(&self) -> SentCounts {
        self.far.get()
    }
}

impl SentCounters {
    fn get(&self) -> SentCounts {
        SentCounts {
            attempts: self.attempts.load(Ordering::Relaxed),
            request_bytes: self.request_bytes.load(Ordering::Relaxed),
            answer_bytes: self.answer_bytes.load(Ordering::Relaxed),
        }
    }
}

/// Groups targets by their failure domains.
pub(crate) fn by_domain(targets: &[Arc<TargetState>]) -> Vec<Vec<Arc<TargetState>>> {
    let mut domains: BTreeMap<&FailureDomain, Vec<Arc<TargetState>>> = BTreeMap::new();
    for target in targets {
        let domain = domains.entry(target.failure_domain()).or_default();
        domain.push(Arc::clone(target));
    }
    domains.into_values().collect()
}
