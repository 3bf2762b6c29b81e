//! Target selection by the policies other than the forecasting one.
//!
//! Input are the targets of a service, the constraints of the request and a random generator; output is the chosen
//! target with its estimated load. The default policy scores a bounded number of targets, so that its cost does not
//! grow with the number of targets; of the baselines only `least_in_flight` examines all targets. The baselines
//! (random, round robin, least in flight, two choices) remain selectable to compare the default policy with them.

use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_bundle::Policy;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Number of targets that the default policy samples per choice.
const SAMPLE_SIZE: usize = 12;
/// Maximum number of targets that are examined to find a usable one.
const DRAWS_MAX: usize = 64;
/// Weight of the excess of a recent latency over the typical time.
const LATENCY_WEIGHT: f32 = 0.15;
/// Maximum excess of a recent latency that counts, in typical times.
const LATENCY_EXCESS_MAX: f32 = 4.0;
/// Weight of an overdue request relative to a request in flight.
const OVERDUE_WEIGHT: f32 = 1.0;
/// Weight of an overdue request where the request to send is not repeatable. The weight is higher because neither a
/// retry nor a hedge can compensate for a bad choice.
const OVERDUE_WEIGHT_ONCE: f32 = 2.0;
/// Maximum score that silence adds to a target for a request that is not repeatable.
const SILENCE_WEIGHT_ONCE: f32 = 0.2;
/// Silence that adds half of the maximum, in typical times.
const SILENCE_HALF: f32 = 10.0;
/// Scores are rounded down to multiples of this step. Entries with the same stale view would otherwise all choose the
/// target with a marginally lower score.
const SCORE_STEP: f32 = 0.05;
/// Age at which a load report has lost half of its weight, in typical times.
const REPORT_HALF_AGE: f32 = 2.0;

/// A chosen target and its estimated load.
pub(crate) struct Choice {
    pub(crate) target: Arc<TargetState>,
    /// Estimated number of requests at the target.
    pub(crate) load: f32,
}

/// Properties of a request that restrict the choice of a target.
pub(crate) struct ChoiceConstraints<'request> {
    /// Whether the request may be run more than once.
    pub(crate) is_repeatable: bool,
    /// Targets to which the request has been sent.
    pub(crate) tried: &'request [TargetAddress],
}

/// Chooses a target; `None` if no usable target was found.
pub(crate) fn choose(
    service: &ServiceState,
    now: Microseconds,
    random: &mut fastrand::Rng,
    constraints: &ChoiceConstraints<'_>,
) -> Option<Choice> {
    let targets = service.targets();
    if targets.is_empty() {
        return None;
    }
    let usable = |target: &&Arc<TargetState>| is_usable(service, target, now, constraints);
    let chosen = match service.policy() {
        Policy::Random => (0..DRAWS_MAX)
            .map(|_| &targets[random.usize(..targets.len())])
            .find(usable),
        Policy::RoundRobin => (0..DRAWS_MAX)
            .map(|_| service.round_robin_position.fetch_add(1, Ordering::Relaxed))
            .map(|position| &targets[position as usize % targets.len()])
            .find(usable),
        Policy::LeastInFlight => {
            let start = random.usize(..targets.len());
            rotated(targets, start, targets.len())
                .filter(usable)
                .min_by_key(|target| target.in_flight())
        }
        Policy::TwoChoices => (0..DRAWS_MAX)
            .map(|_| &targets[random.usize(..targets.len())])
            .filter(usable)
            .take(2)
            .min_by_key(|target| target.in_flight()),
        Policy::Pinhaven | Policy::Forecast => {
            return choose_by_score(service, now, random, constraints);
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
    constraints: &ChoiceConstraints<'_>,
) -> Option<Choice> {
    let targets = service.targets();
    let start = random.usize(..targets.len());
    if targets.len() <= SAMPLE_SIZE {
        return min_score(
            service,
            now,
            constraints,
            rotated(targets, start, targets.len()),
        );
    }
    let sample = (0..SAMPLE_SIZE).map(|_| &targets[random.usize(..targets.len())]);
    if let Some(choice) = min_score(service, now, constraints, sample) {
        return Some(choice);
    }
    // No sampled target is usable: examine a bounded number of targets in list order.
    let next = rotated(targets, start, DRAWS_MAX.min(targets.len()));
    min_score(service, now, constraints, next)
}

fn min_score<'targets>(
    service: &ServiceState,
    now: Microseconds,
    constraints: &ChoiceConstraints<'_>,
    candidates: impl Iterator<Item = &'targets Arc<TargetState>>,
) -> Option<Choice> {
    let mut best: Option<(f32, f32, &Arc<TargetState>)> = None;
    for target in candidates {
        if !is_usable(service, target, now, constraints) {
            continue;
        }
        let (score, load) = score(service, target, now, constraints);
        if best.is_none_or(|(min_score, _, _)| score < min_score) {
            best = Some((score, load, target));
        }
    }
    let (_, load, target) = best?;
    Some(Choice {
        target: Arc::clone(target),
        load,
    })
}

/// Returns `count` targets in list order from index `start`, wrapping around at the end.
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
    constraints: &ChoiceConstraints<'_>,
) -> bool {
    service.may_send_to(target, now) && !constraints.tried.contains(&target.address())
}

/// Returns the score of a target, where lower is better, and its estimated load.
fn score(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
    constraints: &ChoiceConstraints<'_>,
) -> (f32, f32) {
    let typical_ms = service.typical_ms();
    let own_load = target.in_flight() as f32;
    let peer_load =
        target.peer_load_at(now, service.mean_peer_load(), typical_ms * REPORT_HALF_AGE);
    let overdue = target.overdue(now, typical_ms);
    let load = own_load + peer_load + target.penalty_at(now) + overdue * OVERDUE_WEIGHT;
    let mut score = (load + 1.0) / (service.slots() * target.warm_share(now));
    let excess = target.latency_excess(now, typical_ms);
    score += LATENCY_WEIGHT * excess.min(LATENCY_EXCESS_MAX);
    if !constraints.is_repeatable {
        score += (OVERDUE_WEIGHT_ONCE - OVERDUE_WEIGHT) * overdue / service.slots();
        let silence = target.silence_ms(now) / typical_ms;
        score += SILENCE_WEIGHT_ONCE * silence / (silence + SILENCE_HALF);
    }
    ((score / SCORE_STEP).floor(), load)
}
