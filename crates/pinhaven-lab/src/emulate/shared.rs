//! Callers of several organisations that share the targets, and targets that turn cold.

use super::plan::Change;

/// An organisation of a plan.
#[derive(Debug, Clone, Copy)]
pub struct OrganisationPlan {
    /// Share of all requests at its usual load.
    pub share: f64,
    /// Weight in the division of scarce slots.
    pub weight: f64,
    /// Priority, which takes precedence over the priority of the kind of request.
    pub priority: Option<u8>,
}

/// Organisations of a plan with equal weights, of which the largest have several times the load of the smallest.
pub(super) fn organisations_of_falling_size(count: usize) -> Vec<OrganisationPlan> {
    let size = |number: usize| 1.0 / (number + 3) as f64;
    let sum: f64 = (0..count).map(size).sum();
    let plan = |number| OrganisationPlan {
        share: size(number) / sum,
        weight: size(number) / sum,
        priority: None,
    };
    (0..count).map(plan).collect()
}

/// Load of an organisation at a time, as a multiple of its usual load.
pub(super) fn load_factor(changes: &[Change], organisation: usize, now_ms: f64) -> f64 {
    let factors = changes.iter().filter_map(|change| match *change {
        Change::OrganisationBurst {
            organisation: number,
            factor,
            between_ms: (from, to),
        } if number == organisation && (from..to).contains(&now_ms) => Some(factor),
        _ => None,
    });
    factors.product()
}

/// Targets that are cold in turn: at any time, a share of all targets.
#[derive(Debug, Clone, Copy)]
pub struct ColdPlan {
    /// Share of the targets that are cold at a time.
    pub share: f64,
    /// Time for which a target stays cold, in milliseconds.
    pub duration_ms: u64,
    /// Requests that a cold target accepts per second. It rejects the others.
    pub requests_per_s: f64,
    /// Factor by which work takes longer at a cold target.
    pub factor: f64,
}

impl ColdPlan {
    /// Whether a target is among those that are cold in the period with a number.
    pub(super) fn is_cold(&self, target: usize, targets: usize, period: u64) -> bool {
        let groups = (1.0 / self.share).round().max(1.0) as usize;
        target * groups / targets == period as usize % groups
    }
}

/// Pace at which a cold target accepts requests.
#[derive(Debug, Default)]
pub(super) struct ColdPace {
    next_ms: f64,
}

impl ColdPace {
    /// Requests that a cold target accepts at once.
    const BURST: f64 = 2.0;

    pub(super) fn accepts(&mut self, plan: &ColdPlan, now_ms: f64) -> bool {
        let interval_ms = 1_000.0 / plan.requests_per_s;
        if self.next_ms > now_ms + interval_ms * (Self::BURST - 1.0) {
            return false;
        }
        self.next_ms = self.next_ms.max(now_ms) + interval_ms;
        true
    }
}
