//! Orders of targets that are missing from the list.
//!
//! While the store is away entries lapse, and lists of peers may lack what others have. A target that comes back in the
//! same run has asked for what it asked for: it is as if it had been listed all the time.

use crate::orders::OrderState;
use crate::target::TargetState;
use pinhaven_bundle::Target;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::sync::Arc;

/// How long orders are remembered after their target was gone; an outage of the store is over by then.
const RETENTION: Microseconds = Microseconds::from_ms(600_000);
/// The most of them, the last gone first, so that a service whose targets come and go takes no more than 100 KB
/// (computed).
const RUNS_MAX: usize = 1_024;

/// The orders of one run that is gone.
#[derive(Debug, Clone)]
struct LapsedRun {
    id: TargetId,
    incarnation: Option<TargetIncarnation>,
    orders: Arc<OrderState>,
    lapsed_at: Microseconds,
}

/// The orders of runs that are gone, the first gone first.
#[derive(Debug, Clone, Default)]
pub(crate) struct LapsedOrders(Vec<LapsedRun>);

impl LapsedOrders {
    /// The same at the end of a version at `now`, with those of its targets that were asked something.
    pub(crate) fn at_version_end(&self, targets: &[Arc<TargetState>], now: Microseconds) -> Self {
        let recent = |run: &&LapsedRun| now.saturating_sub(run.lapsed_at) < RETENTION;
        let is_target = |run: &&LapsedRun| {
            let mut targets = targets.iter();
            targets.any(|target| Arc::ptr_eq(target.orders(), &run.orders))
        };
        let before = self.0.iter().filter(recent);
        let mut runs: Vec<LapsedRun> = before.filter(|run| !is_target(run)).cloned().collect();
        runs.extend(targets.iter().filter_map(|target| lapsed_run(target, now)));
        let surplus = runs.len().saturating_sub(RUNS_MAX);
        runs.drain(..surplus);
        Self(runs)
    }

    /// The orders of this run of a target, if it was there before.
    pub(crate) fn find(&self, target: &Target) -> Option<Arc<OrderState>> {
        let is_run = |run: &&LapsedRun| {
            Some(&run.id) == target.id.as_ref() && run.incarnation == target.incarnation
        };
        let run = self.0.iter().rev().find(is_run)?;
        Some(Arc::clone(&run.orders))
    }
}

/// The run of a target that has asked for something.
fn lapsed_run(target: &TargetState, now: Microseconds) -> Option<LapsedRun> {
    // Operators put a target without an id back by listing it again.
    let id = target.id()?.clone();
    let orders = target.orders();
    orders.closed_until().is_closed(now).then(|| LapsedRun {
        id,
        incarnation: target.incarnation(),
        orders: Arc::clone(orders),
        lapsed_at: now,
    })
}
