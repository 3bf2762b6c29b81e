//! When a target would answer, and which one would answer first.
//!
//! The forecast for a target is the time that the request's work takes at the speed which its last
//! report leads one to expect, plus the time until a slot is free. What all entries have under way
//! there is known from their own counts, so a slot that is taken is not taken for a free one.
//!
//! A nearly full target may slow down all that it works on. That delay is measured, and a request is
//! charged for the delay that it would bring to the others there.

use crate::event::ChoiceFacts;
use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::sync::Arc;

/// Targets that one pick looks at, so that its cost does not grow with the service: of the entry's own,
/// and of the others.
const OWN_LOOKS_MAX: usize = 48;
const OTHER_LOOKS_MAX: usize = 32;
/// Use of a target's slots from which it counts as nearly full.
const CROWDED_FROM: f32 = 0.8;
/// How many times longer work takes at a target that has just started. Targets say how long they
/// are slow, not by how much; twice was seen.
const COLD_FACTOR: f32 = 2.0;
/// Forecasts that differ by less than this share count as equal and are decided by lot, so that
/// entries with the same view don't all go to the same target.
const LOT_SHARE: f32 = 0.05;
/// Weight of a target's use among equal forecasts.
const USE_WEIGHT: f32 = 0.10;
/// What a target in another failure domain is charged, as a share of the work: the way there costs
/// time and paid traffic.
const FAR_SHARE: f32 = 0.10;
/// The least that it is charged, in milliseconds.
const FAR_LEAST_MS: f32 = 2.0;
/// What a target that another entry owns is charged, as a share of the work. What others have
/// under way there is known late, and it is they who need it when their own are full.
const NOT_OWNED_SHARE: f32 = 0.15;
/// Slots of a target that are left to its owner: others hear of a slot that came free when it may be
/// taken again.
const LEFT_TO_OWNER: f32 = 1.0;
/// A target that is slower than this is spare: a request that can still meet its aim does not go there
/// while it may wait, so that one which can't takes nothing from others.
const SPARE_SLOWDOWN: f32 = 2.0;
/// Share of the usable slots at targets of usual speed that must be free for those to be spare too.
const SPARE_FREE_SHARE: f32 = 0.35;
/// Share of the work of a late request that a slow target may still have to do once it is fast again. A
/// late answer is worth a tenth or a fifth of one in time, and something for being one at all.
const SPARE_USUAL_SHARE: f32 = 0.45;
/// How much more the last slots of targets must bring than they cost the others there.
const CROWDING_GAIN: f32 = 1.05;
/// Age from which the lack of reports makes a target suspect, in milliseconds; several rounds of
/// probes are missing then.
const SILENT_AFTER_MS: f32 = 400.0;
/// Silence past that which counts as the work once more, in milliseconds.
const SILENT_PER_WORK_MS: f32 = 200.0;
/// The most that silence counts, in times the work.
const SILENT_MOST: f32 = 10.0;

/// A target and when it would answer.
#[derive(Debug)]
pub(crate) struct Forecast {
    pub(crate) target: Arc<TargetState>,
    /// Time until the answer, in milliseconds.
    pub(crate) answer_ms: f32,
    /// Requests that it holds, from all entries.
    pub(crate) load: f32,
    /// The slowdown that was expected.
    pub(crate) slowdown: f32,
    /// Time until the answer if the target is as fast as usual, where nothing is known of its speed.
    hopeful_ms: Option<f32>,
}

/// Which targets a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Those with a usable slot free.
    Any,
    /// Those with a slot free that requests in time don't need.
    Spare,
}

impl Forecast {
    /// What decided the choice.
    pub(crate) fn facts(&self, now: Microseconds) -> ChoiceFacts {
        let reported = self.target.reported_speed();
        ChoiceFacts {
            answer_ms: self.answer_ms,
            load: self.load,
            slowdown: self.slowdown,
            report_age_ms: reported.map(|(_, at)| now.saturating_sub(at).as_ms()),
        }
    }

    /// Time until the answer by which it is decided whether the request is sent at all, in milliseconds.
    /// A guess is no reason to refuse: an entry that nobody has told of speeds lately would refuse all.
    pub(crate) fn admission_ms(&self) -> f32 {
        self.hopeful_ms.unwrap_or(self.answer_ms)
    }

    /// Whether the request would make the target nearly full.
    pub(crate) fn is_crowded(&self) -> bool {
        is_crowded(&self.target, self.load)
    }
}

/// The forecast for one target.
pub(crate) fn forecast(
    service: &ServiceState,
    target: &Arc<TargetState>,
    now: Microseconds,
    work_ms: f32,
) -> Forecast {
    let load = load_of(target, now);
    let slowdown = target.expected_slowdown(now, &service.speed);
    let run_ms = run_ms(service, target, now, work_ms, load, slowdown);
    let queued = (load + 1.0 - target.slots()).max(0.0);
    let with_queue = |run_ms: f32| run_ms + queued * run_ms / target.slots();
    let is_guess = !target.has_recent_report(now, &service.speed);
    let hopeful_ms = is_guess.then(|| run_ms_at_usual(service, target, now, work_ms, load));
    Forecast {
        target: Arc::clone(target),
        answer_ms: with_queue(run_ms),
        load,
        slowdown,
        hopeful_ms: hopeful_ms.map(with_queue),
    }
}

/// The target that is expected to answer first among those of the lane; `None` when there is none.
pub(crate) fn earliest(
    service: &ServiceState,
    now: Microseconds,
    random: &mut fastrand::Rng,
    work_ms: f32,
    tried: &[TargetAddress],
    lane: Lane,
) -> Option<Forecast> {
    let targets = service.targets();
    if targets.is_empty() {
        return None;
    }
    let own = service.owned();
    let own_start = random.usize(..own.len().max(1));
    let own_looks = from(&own, own_start).take(OWN_LOOKS_MAX);
    let start = random.usize(..targets.len());
    let others = from(targets, start).filter(|target| !target.is_owned());
    let looked_at = own_looks.chain(others.take(OTHER_LOOKS_MAX));
    let mut earliest: Option<(f32, Forecast)> = None;
    let mut use_of_usual = Use::default();
    for target in looked_at {
        if !is_usable(service, target, now, tried) {
            continue;
        }
        let forecast = forecast(service, target, now, work_ms);
        let is_spare = forecast.slowdown >= SPARE_SLOWDOWN;
        let slots = usable_slots(service, target, now);
        if !is_spare {
            use_of_usual.add(&forecast, slots);
        }
        if forecast.load >= slots || (lane == Lane::Spare && !is_spare) {
            continue;
        }
        let rank_ms = rank_ms(service, &forecast, now, work_ms);
        let rank_ms = rank_ms * (1.0 + LOT_SHARE * random.f32());
        if earliest.as_ref().is_none_or(|(least, _)| rank_ms < *least) {
            earliest = Some((rank_ms, forecast));
        }
    }
    if lane == Lane::Spare && use_of_usual.free_share() > SPARE_FREE_SHARE {
        return self::earliest(service, now, random, work_ms, tried, Lane::Any);
    }
    if lane == Lane::Spare {
        earliest.take_if(|(_, forecast)| {
            service.speed.usual_share(work_ms, forecast.slowdown) > SPARE_USUAL_SHARE
        });
    }
    earliest.map(|(_, forecast)| forecast)
}

/// All targets, beginning with the one at `start`.
fn from(targets: &[Arc<TargetState>], start: usize) -> impl Iterator<Item = &Arc<TargetState>> {
    targets[start..].iter().chain(&targets[..start])
}

/// Slots of some targets and how many of them are taken.
#[derive(Debug, Default)]
struct Use {
    slots: f32,
    taken: f32,
}

impl Use {
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

/// Slots of a target that are worth using. Where a nearly full target slows down so much that it does
/// less in all, its last slots stay empty. That holds for slow targets too: they turn fast again, and
/// then work on what they have.
fn usable_slots(service: &ServiceState, target: &TargetState, now: Microseconds) -> f32 {
    let slots = target.slots();
    let uncrowded = (slots * CROWDED_FROM).ceil() - 1.0;
    let is_crowding_worth_it = slots / service.admission_crowding(now) > uncrowded * CROWDING_GAIN;
    let usable = if is_crowding_worth_it || uncrowded < 1.0 {
        slots
    } else {
        uncrowded
    };
    let is_overfilling_cheap = usable == slots;
    if target.is_owned() || !service.has_owned() || is_overfilling_cheap {
        usable
    } else {
        (usable - LEFT_TO_OWNER).max(1.0)
    }
}

/// Requests that a target holds from all entries, with a penalty for recent failures.
fn load_of(target: &TargetState, now: Microseconds) -> f32 {
    let in_flight = target.in_flight() + target.peers_in_flight();
    in_flight as f32 + target.penalty_at(now)
}

/// Whether a target that holds `load` requests would be nearly full with one more.
fn is_crowded(target: &TargetState, load: f32) -> bool {
    is_nearly_full(target, load + 1.0)
}

/// Whether a target that holds `load` requests is nearly full.
pub(crate) fn is_nearly_full(target: &TargetState, load: f32) -> bool {
    load >= target.slots() * CROWDED_FROM
}

fn run_ms(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    work_ms: f32,
    load: f32,
    slowdown: f32,
) -> f32 {
    let work_ms = run_ms_at_usual(service, target, now, work_ms, load);
    service.speed.time_for(work_ms, slowdown)
}

fn run_ms_at_usual(
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

/// What targets are compared by, in milliseconds: the forecast, and what the choice costs others.
fn rank_ms(service: &ServiceState, forecast: &Forecast, now: Microseconds, work_ms: f32) -> f32 {
    let target = &forecast.target;
    let mut rank_ms = forecast.answer_ms;
    if forecast.is_crowded() {
        rank_ms += (service.crowding.get() - 1.0) * work_ms * forecast.load;
    }
    if !service.is_near(target) {
        rank_ms += (work_ms * FAR_SHARE).max(FAR_LEAST_MS);
    }
    if !target.is_owned() {
        rank_ms += work_ms * NOT_OWNED_SHARE;
    }
    rank_ms += work_ms * silence(target, now);
    rank_ms * (1.0 + USE_WEIGHT * forecast.load / target.slots())
}

/// How suspect a target is for saying nothing, in times the work.
fn silence(target: &TargetState, now: Microseconds) -> f32 {
    let Some((_, at)) = target.reported_speed() else {
        return 0.0;
    };
    let age_ms = now.saturating_sub(at).as_ms() as f32;
    ((age_ms - SILENT_AFTER_MS) / SILENT_PER_WORK_MS).clamp(0.0, SILENT_MOST)
}

fn is_usable(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    tried: &[TargetAddress],
) -> bool {
    target.is_eligible(now, service.connections_per_target()) && !tried.contains(&target.address())
}
