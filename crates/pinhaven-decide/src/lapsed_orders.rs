//! Orders of targets that are missing from the list of targets.
//!
//! While the store is unavailable, store entries of targets expire and the targets lapse from the list, and the lists
//! of peers may lack targets that others contain. The orders of a run stay valid during its absence: a target that is
//! listed again in the same run is treated as if it had been listed all the time. A later run is bound only by a rest
//! that it may have asked for itself.

use crate::orders::OrderState;
use crate::target::TargetState;
use pinhaven_bundle::Target;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::sync::Arc;

/// How long orders are retained after their target has lapsed. Outages of the store are shorter.
const RETENTION: Microseconds = Microseconds::from_ms(600_000);
/// Maximum number of retained runs, which bounds the memory per service to 100 KB. The oldest are dropped first.
const RUNS_MAX: usize = 1_024;

/// Orders of one run that has lapsed.
#[derive(Debug, Clone)]
struct LapsedRun {
    id: TargetId,
    incarnation: Option<TargetIncarnation>,
    orders: Arc<OrderState>,
    lapsed_at: Microseconds,
}

/// Orders of lapsed runs, the oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct LapsedOrders(Vec<LapsedRun>);

impl LapsedOrders {
    /// The lapsed orders after a version ends at `now`: those retained so far, and those of the version's targets
    /// with orders in force.
    pub(crate) fn at_version_end(&self, targets: &[Arc<TargetState>], now: Microseconds) -> Self {
        let is_recent = |run: &&LapsedRun| now.saturating_sub(run.lapsed_at) < RETENTION;
        let is_listed = |run: &&LapsedRun| {
            let mut targets = targets.iter();
            targets.any(|target| Arc::ptr_eq(target.orders(), &run.orders))
        };
        let retained = self.0.iter().filter(is_recent);
        let mut runs: Vec<LapsedRun> = retained.filter(|run| !is_listed(run)).cloned().collect();
        runs.extend(targets.iter().filter_map(|target| lapsed_run(target, now)));
        let surplus = runs.len().saturating_sub(RUNS_MAX);
        runs.drain(..surplus);
        Self(runs)
    }

    /// The orders of this run of a target, if they are retained.
    pub(crate) fn find(&self, target: &Target) -> Option<Arc<OrderState>> {
        let is_run = |run: &&LapsedRun| {
            Some(&run.id) == target.id.as_ref() && run.incarnation == target.incarnation
        };
        let run = self.0.iter().rev().find(is_run)?;
        Some(Arc::clone(&run.orders))
    }

    /// The end of a rest that was recorded for an earlier run of the target and may be of this run.
    pub(crate) fn rest_of_uncertain_run(
        &self,
        target: &Target,
        now: Microseconds,
    ) -> Option<Microseconds> {
        let is_earlier = |run: &&LapsedRun| {
            Some(&run.id) == target.id.as_ref() && run.incarnation < target.incarnation
        };
        let earlier = self.0.iter().filter(is_earlier);
        let rests = earlier.filter_map(|run| run.orders.rest_of_uncertain_run(now));
        rests.max()
    }
}

/// The run of a target that has orders in force at `now`.
fn lapsed_run(target: &TargetState, now: Microseconds) -> Option<LapsedRun> {
    // Targets without an id can't be recognised; operators reinstate them by listing them as live.
    let id = target.id()?.clone();
    let orders = target.orders();
    orders.closed_until().is_closed(now).then(|| LapsedRun {
        id,
        incarnation: target.incarnation(),
        orders: Arc::clone(orders),
        lapsed_at: now,
    })
}
