//! Forecasts when a target would answer a request, and chooses the target that is expected to answer first.
//!
//! The forecast for a target is the execution time of the request at the expected speed of the target plus the
//! time until a slot is free. The expected speed comes from the last report of the target. The number of requests
//! in flight at a target comes from the counts of all entries rather than from the reports of the target, so that
//! occupied slots are not mistaken for free ones.
//!
//! A nearly full target may slow down all requests that it executes. That slowdown is measured, and the score of a
//! target includes the delay that the new request would cause to the requests already there.

use crate::event::ChoiceFacts;
use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::sync::Arc;

/// Maximum number of targets examined per choice: of the entry's own targets, of the others in its failure domain, and
/// of the others elsewhere. Bounds the cost of a choice independently of the size of the service.
pub(crate) const OWN_CANDIDATES_MAX: usize = 48;
pub(crate) const NEAR_CANDIDATES_MAX: usize = 32;
pub(crate) const FAR_CANDIDATES_MAX: usize = 32;
/// Utilization of a target's slots from which the target counts as nearly full.
pub(crate) const CROWDED_UTILIZATION: f32 = 0.8;
/// Factor by which work takes longer at a target that has just started. Targets report how long they are slow
/// after a start, but not by how much.
const COLD_FACTOR: f32 = 2.0;
/// Relative difference below which scores count as equal. Random jitter decides between equal scores, so that
/// entries with the same state don't all choose the same target.
pub(crate) const TIE_JITTER_SHARE: f32 = 0.05;
/// Weight of a target's utilization in its score, which decides between targets with equal forecasts.
const UTILIZATION_WEIGHT: f32 = 0.10;
/// Cost of a target in another failure domain, as a share of the work: the network path there costs time and billed
/// traffic.
const REMOTE_DOMAIN_SHARE: f32 = 0.10;
/// Minimum cost of a target in another failure domain, in milliseconds.
pub(crate) const REMOTE_DOMAIN_MIN_MS: f32 = 2.0;
/// Cost of a target that another entry owns, as a share of the work. Updates about the requests that other
/// entries have in flight there arrive late, and the owner needs the target when its other targets are full.
const NOT_OWNED_SHARE: f32 = 0.15;
/// Slots of a target that only its owner uses. Other entries learn that a slot is free only after it may have
/// been occupied again.
const OWNER_RESERVED_SLOTS: f32 = 1.0;
/// Slowdown from which a target counts as spare. A request that can still meet its aim waits rather than go to a
/// spare target, so a request that can't meet its aim may use a spare target without delaying other requests.
pub(crate) const SPARE_SLOWDOWN: f32 = 2.0;
/// Share of the usable slots at targets of usual speed that must be free for these targets to count as spare too.
const SPARE_FREE_SHARE_MIN: f32 = 0.35;
/// Maximum share of a late request's work that a slow target may still have to do after it has become fast
/// again. A late answer is worth a tenth to a fifth of an answer in time, and more than a refusal.
const SPARE_CARRY_OVER_MAX: f32 = 0.45;
/// Factor by which the throughput of a full target must exceed its throughput with the last slots empty for these
/// slots to be used.
const CROWDING_GAIN: f32 = 1.05;
/// Report age from which a target is penalised for its silence, in milliseconds. Several rounds of probes are
/// missing at that age.
const SILENT_AFTER_MS: f32 = 400.0;
/// Silence beyond [`SILENT_AFTER_MS`] that adds one times the work to the score, in milliseconds.
const SILENT_PER_WORK_MS: f32 = 200.0;
/// Maximum penalty for silence, as a multiple of the work.
const SILENCE_MAX: f32 = 10.0;

/// A target with its expected answer time.
#[derive(Debug)]
pub(crate) struct Forecast {
    pub(crate) target: Arc<TargetState>,
    /// Time until the answer, in milliseconds.
    pub(crate) answer_ms: f32,
    /// Requests in flight at the target from all entries, plus a penalty for recent failures.
    pub(crate) load: f32,
    /// Expected slowdown of the target.
    pub(crate) slowdown: f32,
    /// Time until the answer if the target works at its usual speed, in milliseconds. `None` if the target has
    /// reported its speed recently.
    optimistic_ms: Option<f32>,
}

/// Which targets a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetFilter {
    /// Targets with a free usable slot.
    Any,
    /// Targets with a free slot that requests which can meet their aim don't need.
    Spare,
    /// Targets in the failure domain of the entry, for a request that could be sent to another domain.
    Near,
}

impl Forecast {
    /// The figures on which the choice is based.
    pub(crate) fn facts(&self, now: Microseconds) -> ChoiceFacts {
        let reported = self.target.reported_speed();
        ChoiceFacts {
            answer_ms: self.answer_ms,
            load: self.load,
            slowdown: self.slowdown,
            report_age_ms: reported.map(|(_, at)| now.saturating_sub(at).as_ms()),
        }
    }

    /// Time until the answer that decides whether the request is sent at all, in milliseconds. Without a recent
    /// report, the usual speed is assumed: an entry that has received no reports for a while would otherwise refuse
    /// all requests on the basis of a mean.
    pub(crate) fn admission_ms(&self) -> f32 {
        self.optimistic_ms.unwrap_or(self.answer_ms)
    }

    /// Whether the request would make the target nearly full.
    pub(crate) fn is_crowded(&self) -> bool {
        is_crowded(&self.target, self.load)
    }
}

/// Returns the forecast for one target.
pub(crate) fn forecast(
    service: &ServiceState,
    target: &Arc<TargetState>,
    now: Microseconds,
    work_ms: f32,
) -> Forecast {
    let load = load_of(target, now);
    let slowdown = target.expected_slowdown(now, &service.speed);
    let execution_ms = execution_ms(service, target, now, work_ms, load, slowdown);
    let queued = (load + 1.0 - target.slots()).max(0.0);
    let with_queue = |execution_ms: f32| execution_ms + queued * execution_ms / target.slots();
    let lacks_report = !target.has_recent_report(now, &service.speed);
    let optimistic_ms =
        lacks_report.then(|| execution_ms_at_usual_speed(service, target, now, work_ms, load));
    Forecast {
        target: Arc::clone(target),
        answer_ms: with_queue(execution_ms),
        load,
        slowdown,
        optimistic_ms: optimistic_ms.map(with_queue),
    }
}

/// Returns the target that is expected to answer first among those that `filter` admits, or `None` if there is
/// none.
pub(crate) fn earliest(
    service: &ServiceState,
    now: Microseconds,
    random: &mut fastrand::Rng,
    work_ms: f32,
    tried: &[TargetAddress],
    filter: TargetFilter,
) -> Option<Forecast> {
    let targets = service.targets();
    if targets.is_empty() {
        return None;
    }
    let own = service.owned();
    let own_start = random.usize(..own.len().max(1));
    // Closed targets often stand one after another, as the targets of a drained failure domain do.
    let is_open = |target: &&Arc<TargetState>| !target.is_closed(now);
    let own_candidates = rotated(&own, own_start).filter(is_open);
    let is_other = |target: &&Arc<TargetState>| !target.is_owned() && is_open(target);
    let [near, far] = [service.near(), service.far()].map(|targets| {
        let start = match targets.len() {
            0 => 0,
            len => random.usize(..len),
        };
        rotated(targets, start).filter(is_other)
    });
    let candidates = own_candidates
        .take(OWN_CANDIDATES_MAX)
        .chain(near.take(NEAR_CANDIDATES_MAX))
        .chain(far.take(FAR_CANDIDATES_MAX));
    let mut earliest: Option<(f32, Forecast)> = None;
    let mut usage_at_usual_speed = SlotUsage::default();
    for target in candidates {
        if !is_usable(service, target, now, tried) {
            continue;
        }
        let forecast = forecast(service, target, now, work_ms);
        let is_spare = forecast.slowdown >= SPARE_SLOWDOWN;
        let slots = usable_slots(service, target, now);
        if !is_spare {
            usage_at_usual_speed.add(&forecast, slots);
        }
        if forecast.load >= slots || (filter == TargetFilter::Spare && !is_spare) {
            continue;
        }
        let score_ms = score_ms(service, &forecast, now, work_ms);
        let score_ms = score_ms * (1.0 + TIE_JITTER_SHARE * random.f32());
        if earliest
            .as_ref()
            .is_none_or(|(lowest, _)| score_ms < *lowest)
        {
            earliest = Some((score_ms, forecast));
        }
    }
    if filter == TargetFilter::Spare && usage_at_usual_speed.free_share() > SPARE_FREE_SHARE_MIN {
        return self::earliest(service, now, random, work_ms, tried, TargetFilter::Any);
    }
    if filter == TargetFilter::Spare {
        earliest.take_if(|(_, forecast)| {
            service.speed.carry_over_share(work_ms, forecast.slowdown) > SPARE_CARRY_OVER_MAX
        });
    }
    earliest.map(|(_, forecast)| forecast)
}

/// Whether every choice among the targets of the service examines this one, rather than only those that happen to
/// include it in their sample.
pub(crate) fn is_always_examined(service: &ServiceState, target: &TargetState) -> bool {
    if target.is_owned() {
        return service.owned().len() <= OWN_CANDIDATES_MAX;
    }
    let (peers, examined_max) = match service.is_near(target) {
        true => (service.near(), NEAR_CANDIDATES_MAX),
        false => (service.far(), FAR_CANDIDATES_MAX),
    };
    let others = peers.iter().filter(|target| !target.is_owned());
    others.take(examined_max + 1).count() <= examined_max
}

/// Iterates over all targets, beginning with the target at index `start`.
pub(crate) fn rotated(
    targets: &[Arc<TargetState>],
    start: usize,
) -> impl Iterator<Item = &Arc<TargetState>> {
    targets[start..].iter().chain(&targets[..start])
}

/// Number of slots of a set of targets, and how many of them are occupied.
#[derive(Debug, Default)]
struct SlotUsage {
    slots: f32,
    taken: f32,
}

impl SlotUsage {
    fn add(&mut self, forecast: &Forecast, slots: f32) {
        self.slots += slots;
        self.taken += forecast.load.min(slots);
    }

    fn free_share(&self) -> f32 {
        if self.slots > 0.0 {
            1.0 - self.taken / self.slots
        } else {
            0.0
        }
    }
}

/// Number of slots of a target that this entry may use.
pub(crate) fn usable_slots(service: &ServiceState, target: &TargetState, now: Microseconds) -> f32 {
    let usable = slots_worth_using(service, target, now);
    let are_all_slots_usable = usable == target.slots();
    let is_owner = target.is_owned() || !service.has_owned();
    if !is_owner && service.is_short() {
        // The owner has requests for the slot, and several entries would often choose it at the same time.
        return 0.0;
    }
    if is_owner || are_all_slots_usable {
        usable
    } else {
        (usable - OWNER_RESERVED_SLOTS).max(1.0)
    }
}

/// Number of slots of a target that are worth using. If a nearly full target slows down so much that its total
/// throughput falls, its last slots stay empty. This applies to slow targets too: when they become fast again,
/// they still execute the requests that they have accepted.
pub(crate) fn slots_worth_using(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
) -> f32 {
    let slots = target.slots();
    let uncrowded_slots = (slots * CROWDED_UTILIZATION).ceil() - 1.0;
    let is_filling_worthwhile =
        slots / service.admission_crowding(now) > uncrowded_slots * CROWDING_GAIN;
    if is_filling_worthwhile || uncrowded_slots < 1.0 {
        slots
    } else {
        uncrowded_slots
    }
}

/// Requests in flight at a target from all entries, plus a penalty for recent failures.
pub(crate) fn load_of(target: &TargetState, now: Microseconds) -> f32 {
    let in_flight = target.in_flight() + target.peers_in_flight();
    in_flight as f32 + target.penalty_at(now)
}

/// Whether a target with `load` requests in flight would be nearly full with one more.
fn is_crowded(target: &TargetState, load: f32) -> bool {
    is_nearly_full(target, load + 1.0)
}

/// Whether a target with `load` requests in flight is nearly full.
pub(crate) fn is_nearly_full(target: &TargetState, load: f32) -> bool {
    load >= target.slots() * CROWDED_UTILIZATION
}

fn execution_ms(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    work_ms: f32,
    load: f32,
    slowdown: f32,
) -> f32 {
    let work_ms = execution_ms_at_usual_speed(service, target, now, work_ms, load);
    service.speed.time_for(work_ms, slowdown)
}

fn execution_ms_at_usual_speed(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    work_ms: f32,
    load: f32,
) -> f32 {
    let mut work_ms = work_ms;
    if target.is_cold(now) {
        work_ms *= COLD_FACTOR;
    }
    work_ms *= 2.0 - target.warm_share(now);
    if is_crowded(target, load) {
        work_ms *= service.crowding.get();
    }
    work_ms
}

/// Returns the score by which targets are compared, in milliseconds: the forecast plus the cost of the choice to
/// other requests. The target with the lowest score is chosen.
fn score_ms(service: &ServiceState, forecast: &Forecast, now: Microseconds, work_ms: f32) -> f32 {
    let remote_ms = match service.is_near(&forecast.target) {
        true => 0.0,
        false => (work_ms * REMOTE_DOMAIN_SHARE).max(REMOTE_DOMAIN_MIN_MS),
    };
    score_with_ms(service, forecast, now, work_ms, remote_ms)
}

/// Returns the score of a target with `remote_ms` as the cost of its failure domain, in milliseconds.
pub(crate) fn score_with_ms(
    service: &ServiceState,
    forecast: &Forecast,
    now: Microseconds,
    work_ms: f32,
    remote_ms: f32,
) -> f32 {
    let target = &forecast.target;
    let mut score_ms = forecast.answer_ms;
    if forecast.is_crowded() {
        score_ms += (service.crowding.get() - 1.0) * work_ms * forecast.load;
    }
    score_ms += remote_ms;
    if !target.is_owned() {
        score_ms += work_ms * NOT_OWNED_SHARE;
    }
    score_ms += work_ms * silence(target, now);
    score_ms * (1.0 + UTILIZATION_WEIGHT * forecast.load / target.slots())
}

/// Returns the penalty for a target without recent reports, as a multiple of the work.
fn silence(target: &TargetState, now: Microseconds) -> f32 {
    let Some((_, at)) = target.reported_speed() else {
        return 0.0;
    };
    let age_ms = now.saturating_sub(at).as_ms() as f32;
    ((age_ms - SILENT_AFTER_MS) / SILENT_PER_WORK_MS).clamp(0.0, SILENCE_MAX)
}

pub(crate) fn is_usable(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    tried: &[TargetAddress],
) -> bool {
    service.may_send_to(target, now) && !tried.contains(&target.address())
}
