//! The choice of a target.
//!
//! Every policy does constant work: a pick looks at a fixed number of targets however many there are.
//! The baselines stay selectable, so that each claim about the policy in use can be measured against
//! them.

use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_bundle::Policy;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Targets that the default policy looks at.
const DRAWS: usize = 12;
/// Draws after which a baseline gives up finding a usable target.
const BASELINE_TRIES: usize = 64;
/// Weight of a recent latency in excess of the typical one.
const LATENCY_WEIGHT: f32 = 0.15;
/// The most that a recent latency counts, in typical times.
const LATENCY_EXCESS_MAX: f32 = 4.0;
/// Weight of an overdue request against one in flight.
const OVERDUE_WEIGHT: f32 = 1.0;
/// The same for a request that may not be repeated, as nothing can mend a bad choice.
const OVERDUE_WEIGHT_ONCE: f32 = 2.0;
/// The most that silence counts against a target for a request that may not be repeated.
const SILENCE_WEIGHT_ONCE: f32 = 0.2;
/// Silence that counts half of that, in typical times.
const SILENCE_HALF: f32 = 10.0;
/// Scores that differ by less than this are taken as equal, so that entries with the same stale view
/// don't all go to the target that is ahead by a hair.
const SCORE_STEP: f32 = 0.05;
/// Age at which half of a report has faded, in typical times.
const REPORT_HALF: f32 = 2.0;

/// A target and how loaded it is thought to be.
pub(crate) struct Choice {
    pub(crate) target: Arc<TargetState>,
    /// Requests that the target is thought to hold.
    pub(crate) load: f32,
}

/// What a pick must heed.
pub(crate) struct Wanted<'request> {
    /// Whether the request may be repeated.
    pub(crate) is_repeatable: bool,
    /// Targets that the request has been sent to.
    pub(crate) tried: &'request [TargetAddress],
}

/// Picks a target; `None` when none may take a request now.
pub(crate) fn choose(
    service: &ServiceState,
    now: Microseconds,
    random: &mut fastrand::Rng,
    wanted: &Wanted<'_>,
) -> Option<Choice> {
    let targets = service.targets();
    if targets.is_empty() {
        return None;
    }
    let usable = |target: &&Arc<TargetState>| is_usable(service, target, now, wanted);
    let chosen = match service.policy() {
        Policy::Random => (0..BASELINE_TRIES)
            .map(|_| &targets[random.usize(..targets.len())])
            .find(usable),
        Policy::RoundRobin => (0..BASELINE_TRIES)
            .map(|_| service.round_robin_position.fetch_add(1, Ordering::Relaxed))
            .map(|turn| &targets[turn as usize % targets.len()])
            .find(usable),
        Policy::LeastInFlight => {
            let start = random.usize(..targets.len());
            rotated(targets, start, targets.len())
                .filter(usable)
                .min_by_key(|target| target.in_flight())
        }
        Policy::TwoChoices => (0..BASELINE_TRIES)
            .map(|_| &targets[random.usize(..targets.len())])
            .filter(usable)
            .take(2)
            .min_by_key(|target| target.in_flight()),
        Policy::Pinhaven | Policy::Forecast => {
            return choose_by_score(service, now, random, wanted);
        }
    };
    let target = chosen?;
    let load = target.in_flight() as f32 + service.mean_peer_load();
    Some(Choice {
        target: Arc::clone(target),
        load,
    })
}

fn choose_by_score(
    service: &ServiceState,
    now: Microseconds,
    random: &mut fastrand::Rng,
    wanted: &Wanted<'_>,
) -> Option<Choice> {
    let targets = service.targets();
    let start = random.usize(..targets.len());
    if targets.len() <= DRAWS {
        return least_score(service, now, wanted, rotated(targets, start, targets.len()));
    }
    let drawn = (0..DRAWS).map(|_| &targets[random.usize(..targets.len())]);
    if let Some(choice) = least_score(service, now, wanted, drawn) {
        return Some(choice);
    }
    // All draws were unusable: look on in order, a bounded number of places.
    let next = rotated(targets, start, BASELINE_TRIES.min(targets.len()));
    least_score(service, now, wanted, next)
}

fn least_score<'targets>(
    service: &ServiceState,
    now: Microseconds,
    wanted: &Wanted<'_>,
    candidates: impl Iterator<Item = &'targets Arc<TargetState>>,
) -> Option<Choice> {
    let mut least: Option<(f32, f32, &Arc<TargetState>)> = None;
    for target in candidates {
        if !is_usable(service, target, now, wanted) {
            continue;
        }
        let (score, load) = score(service, target, now, wanted);
        if least.is_none_or(|(least_score, _, _)| score < least_score) {
            least = Some((score, load, target));
        }
    }
    let (_, load, target) = least?;
    Some(Choice {
        target: Arc::clone(target),
        load,
    })
}

/// `count` targets in order from `start`, beginning anew at the end.
fn rotated(
    targets: &[Arc<TargetState>],
    start: usize,
    count: usize,
) -> impl Iterator<Item = &Arc<TargetState>> {
    targets[start..].iter().chain(&targets[..start]).take(count)
}

fn is_usable(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    wanted: &Wanted<'_>,
) -> bool {
    target.is_eligible(now, service.connections_per_target())
        && !wanted.tried.contains(&target.address())
}

/// The score of a target, the lower the better, and the load it is thought to hold.
fn score(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    wanted: &Wanted<'_>,
) -> (f32, f32) {
    let typical_ms = service.typical_ms();
    let own = target.in_flight() as f32;
    let others = target.peer_load_at(now, service.mean_peer_load(), typical_ms * REPORT_HALF);
    let overdue = target.overdue(now, typical_ms);
    let load = own + others + target.penalty_at(now) + overdue * OVERDUE_WEIGHT;
    let mut score = (load + 1.0) / (service.slots() * target.warm_share(now));
    let excess = target.latency_excess(now, typical_ms);
    score += LATENCY_WEIGHT * excess.min(LATENCY_EXCESS_MAX);
    if !wanted.is_repeatable {
        score += (OVERDUE_WEIGHT_ONCE - OVERDUE_WEIGHT) * overdue / service.slots();
        let silence = target.silence_ms(now) / typical_ms;
        score += SILENCE_WEIGHT_ONCE * silence / (silence + SILENCE_HALF);
    }
    ((score / SCORE_STEP).floor(), load)
}
