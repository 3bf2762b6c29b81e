//! The targets of a new version of a service: who is known from before, and what of it still holds.

use crate::lapsed_orders::LapsedOrders;
use crate::recent_runs::RecentRuns;
use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_bundle::Service;
use pinhaven_bundle::Target;
use pinhaven_bundle::TargetState as BundledTargetState;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::collections::HashMap;
use std::sync::Arc;

/// What is known of targets from before a new version.
pub(crate) struct PreviousTargets<'state> {
    pub(crate) previous: Option<&'state ServiceState>,
    pub(crate) recent_runs: &'state RecentRuns,
    pub(crate) lapsed_orders: &'state LapsedOrders,
}

/// The targets of `service` at `now`. Runs that are known are taken over with all that is known of them.
pub(crate) fn build_targets(
    service: &Service,
    previous_targets: &PreviousTargets<'_>,
    now: Microseconds,
) -> Vec<Arc<TargetState>> {
    let PreviousTargets {
        previous,
        recent_runs,
        lapsed_orders,
    } = previous_targets;
    let known: HashMap<TargetAddress, (&Arc<TargetState>, BundledTargetState)> = previous
        .iter()
        .flat_map(|previous| previous.targets().iter().zip(previous.listed()))
        .map(|(target, listed)| (target.address(), (target, *listed)))
        .collect();
    let cold_since = previous.map(|_| now);
    let build_state = |target: &Target| {
        let state = TargetState::new(target, service.slots, now, cold_since);
        let state = match lapsed_orders.find(target) {
            Some(orders) => state.with_orders(orders),
            None => state,
        };
        match recent_runs.has_earlier_run(target) {
            true => state.with_slow_start(),
            false => state,
        }
    };
    let build_target = |target: &Target| {
        let state = match known.get(&target.address) {
            Some((known, listed))
                if known.is_same_run(target) && !is_reinstated(*listed, target) =>
            {
                Arc::clone(known)
            }
            _ => Arc::new(build_state(target)),
        };
        if target.state == BundledTargetState::Leaving {
            state.mark_leaving();
        }
        state
    };
    service.targets.iter().map(build_target).collect()
}

/// Whether operators have put a target back that they had listed as leaving. A target that said so
/// itself stays away, however often later versions repeat that it is live. So does a run that left: that
/// it is live was said before.
fn is_reinstated(before: BundledTargetState, after: &Target) -> bool {
    let has_changed_to_live =
        before == BundledTargetState::Leaving && after.state == BundledTargetState::Live;
    has_changed_to_live && after.incarnation.is_none()
}
