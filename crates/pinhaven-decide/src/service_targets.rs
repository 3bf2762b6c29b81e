//! The targets of a new version of a service: who is known from before, and what of it still holds.

use crate::lapsed_orders::GoneOrders;
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
pub(crate) struct Earlier<'state> {
    pub(crate) previous: Option<&'state ServiceState>,
    pub(crate) recent_runs: &'state RecentRuns,
    pub(crate) gone_orders: &'state GoneOrders,
}

/// The targets of `service` at `now`. Runs that are known are taken over with all that is known of them.
pub(crate) fn targets_of(
    service: &Service,
    earlier: &Earlier<'_>,
    now: Microseconds,
) -> Vec<Arc<TargetState>> {
    let Earlier {
        previous,
        recent_runs,
        gone_orders,
    } = earlier;
    let known: HashMap<TargetAddress, (&Arc<TargetState>, BundledTargetState)> = previous
        .iter()
        .flat_map(|previous| previous.targets().iter().zip(previous.listed()))
        .map(|(target, listed)| (target.address(), (target, *listed)))
        .collect();
    let cold_since = previous.map(|_| now);
    let new_state = |target: &Target| {
        let state = TargetState::new(target, service.slots, now, cold_since);
        let state = match gone_orders.of(target) {
            Some(orders) => state.with_orders(orders),
            None => state,
        };
        match recent_runs.has_earlier(target) {
            true => state.with_share_to_earn(),
            false => state,
        }
    };
    let target_of = |target: &Target| {
        let state = match known.get(&target.address) {
            Some((known, listed)) if known.is_same_run(target) && !comes_back(*listed, target) => {
                Arc::clone(known)
            }
            _ => Arc::new(new_state(target)),
        };
        if target.state == BundledTargetState::Leaving {
            state.leave();
        }
        state
    };
    service.targets.iter().map(target_of).collect()
}

/// Whether operators have put a target back that they had listed as leaving. A target that said so
/// itself stays away, however often later versions repeat that it is live. So does a run that left: that
/// it is live was said before.
fn comes_back(before: BundledTargetState, after: &Target) -> bool {
    let is_put_back =
        before == BundledTargetState::Leaving && after.state == BundledTargetState::Live;
    is_put_back && after.incarnation.is_none()
}
