//! A service as requests see it: its configuration, the state of its targets and the connection pools.

use crate::targets::pool::TargetPool;
use crate::versions::snapshot::SnapshotContext;
use pinhaven_bundle::Service;
use pinhaven_bundle::Target;
use pinhaven_decide::ServiceState;
use pinhaven_decide::TargetState;
use pinhaven_decide::URGENCY_COUNT;
use pinhaven_runtime::PriorityEvent;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::collections::HashMap;
use std::sync::Arc;

/// Notifies requests that wait for capacity at the targets of a service. Each notification is for one free slot.
pub(crate) type CapacityFreed = PriorityEvent<URGENCY_COUNT>;

/// A service in one version.
pub(crate) struct ServiceEntry {
    pub(crate) config: Service,
    pub(crate) state: Arc<ServiceState>,
    pub(crate) pools: HashMap<TargetAddress, Arc<TargetPool>>,
    /// Notified when a request of the service releases capacity.
    pub(crate) capacity_freed: Arc<CapacityFreed>,
    /// Notified when this entry reaches no target of the service any more.
    pub(crate) connectivity_lost: Arc<event_listener::Event>,
}

impl ServiceEntry {
    /// What is known of the service, without its targets' connections.
    pub(crate) fn without_connections(&self) -> Self {
        Self {
            config: Service {
                targets: Vec::new(),
                ..self.config.clone()
            },
            state: Arc::clone(&self.state),
            pools: HashMap::new(),
            capacity_freed: Arc::clone(&self.capacity_freed),
            connectivity_lost: Arc::clone(&self.connectivity_lost),
        }
    }
}

/// Builds the entry of a service in a new version. Retains the state and the connections of the previous
/// version where they still apply.
pub(crate) fn build_service_entry(
    service: &Service,
    context: &SnapshotContext<'_>,
    previous: Option<&Arc<ServiceEntry>>,
    now: Microseconds,
) -> Arc<ServiceEntry> {
    if let Some(previous) = previous.filter(|previous| previous.config == *service) {
        return Arc::clone(previous);
    }
    let state = ServiceState::new(service, previous.map(|p| &*p.state), now)
        .with_domain(context.domain)
        .with_crossing_cost(context.crossing_cost);
    let known_targets = previous
        .iter()
        .flat_map(|previous| previous.state.targets());
    let known_targets: HashMap<TargetAddress, &Arc<TargetState>> = known_targets
        .map(|target| (target.address(), target))
        .collect();
    let pool_of = |target: &Target| {
        // Connections to another target that had the address before, or to an earlier run of the same
        // target, cannot be reused.
        let known = known_targets.get(&target.address);
        let is_same = known.is_some_and(|known| known.is_same_run(target));
        let pools = previous.map(|previous| &previous.pools);
        let pool = pools
            .filter(|_| is_same)
            .and_then(|pools| pools.get(&target.address));
        (target.address, pool.cloned().unwrap_or_default())
    };
    Arc::new(ServiceEntry {
        config: service.clone(),
        state: Arc::new(state),
        pools: service.targets.iter().map(pool_of).collect(),
        capacity_freed: previous
            .map(|previous| Arc::clone(&previous.capacity_freed))
            .unwrap_or_default(),
        connectivity_lost: previous
            .map(|previous| Arc::clone(&previous.connectivity_lost))
            .unwrap_or_default(),
    })
}
