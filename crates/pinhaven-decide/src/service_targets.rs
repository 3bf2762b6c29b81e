//! The targets of a new version of a service, with the state of those that are known from the previous version.

use crate::lapsed_orders::LapsedOrders;
use crate::orders::AnswerOrders;
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

/// State of targets from before a new version.
pub(crate) struct PreviousTargets<'state> {
    pub(crate) previous: Option<&'state ServiceState>,
    pub(crate) recent_runs: &'state RecentRuns,
    pub(crate) lapsed_orders: &'state LapsedOrders,
}

/// Builds the states of the targets of `service` at `now`. Runs that are known retain their state.
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
    let warm_up_from = previous.map(|_| now);
    let build_state = |target: &Target| {
        let state = TargetState::new(target, service.slots, now, warm_up_from);
        let state = match lapsed_orders.find(target) {
            Some(orders) => state.with_orders(orders),
            None => state,
        };
        if let Some(until) = lapsed_orders.rest_of_uncertain_run(target, now) {
            let rest = Some(until.saturating_sub(now));
            let leaves = false;
            state.record_orders(&AnswerOrders { leaves, rest }, now);
        }
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

/// Whether operators have listed a target as live again that they had listed as leaving. A target that itself reported
/// that it leaves is not reinstated, however often later versions list it as live. Nor is a target with an incarnation:
/// the same run was live only before it left, so that `live` is out of date, and a restart has another incarnation.
fn is_reinstated(before: BundledTargetState, after: &Target) -> bool {
    let has_changed_to_live =
        before == BundledTargetState::Leaving && after.state == BundledTargetState::Live;
    has_changed_to_live && after.incarnation.is_none()
}
