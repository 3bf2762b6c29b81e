//! What a request's path reads: one snapshot of the version in force, replaced as a whole.

use crate::pool::TargetPool;
use event_listener::Event;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::Service;
use pinhaven_decide::ServiceState;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::LazyLock;

/// How long address answers would be kept before any version is known, in milliseconds.
const NO_BUNDLE_KEEP_MS: u64 = 1_000;

/// The bundle before any version is known.
static NO_BUNDLE: LazyLock<Bundle> = LazyLock::new(|| Bundle {
    version: BundleVersion::NONE,
    measuring: Default::default(),
    address_keep_ms: NO_BUNDLE_KEEP_MS,
    services: Vec::new(),
});

/// A service in one version.
pub(crate) struct ServiceEntry {
    pub(crate) config: Service,
    pub(crate) state: Arc<ServiceState>,
    pub(crate) pools: HashMap<TargetAddress, Arc<TargetPool>>,
    /// Notified when a request of the service leaves its place.
    pub(crate) place_freed: Arc<Event>,
}

/// All services in one version.
pub(crate) struct Snapshot {
    pub(crate) version: BundleVersion,
    body: Option<Arc<CanonicalBundle>>,
    pub(crate) services: HashMap<ServiceName, Arc<ServiceEntry>>,
    hosts: HashMap<String, Arc<ServiceEntry>>,
}

impl Snapshot {
    /// The snapshot before any version is known.
    pub(crate) fn empty() -> Self {
        Self {
            version: BundleVersion::NONE,
            body: None,
            services: HashMap::new(),
            hosts: HashMap::new(),
        }
    }

    /// The snapshot of a bundle. Services that are the same as before are taken over as they are.
    pub(crate) fn new(body: Arc<CanonicalBundle>, previous: &Self, now: Microseconds) -> Self {
        let bundle = body.bundle();
        let mut services = HashMap::new();
        let mut hosts = HashMap::new();
        for service in &bundle.services {
            let entry = service_entry(service, previous.services.get(&service.name), now);
            for host in &service.hosts {
                hosts.insert(host.to_ascii_lowercase(), Arc::clone(&entry));
            }
            services.insert(service.name.clone(), entry);
        }
        Self {
            version: bundle.version,
            body: Some(body),
            services,
            hosts,
        }
    }

    /// The bundle; an empty one before any version is known.
    pub(crate) fn bundle(&self) -> &Bundle {
        match &self.body {
            Some(body) => body.bundle(),
            None => &NO_BUNDLE,
        }
    }

    /// The service with this `Host`, with or without its port.
    pub(crate) fn service_for_host(&self, host: &str) -> Option<&Arc<ServiceEntry>> {
        if let Some(entry) = self.hosts.get(host) {
            return Some(entry);
        }
        let host = host.to_ascii_lowercase();
        let without_port = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(name, _)| name);
        self.hosts
            .get(&host)
            .or_else(|| self.hosts.get(without_port))
    }
}

fn service_entry(
    service: &Service,
    previous: Option<&Arc<ServiceEntry>>,
    now: Microseconds,
) -> Arc<ServiceEntry> {
    if let Some(previous) = previous.filter(|previous| previous.config == *service) {
        return Arc::clone(previous);
    }
    let state = ServiceState::new(service, previous.map(|p| &*p.state), now);
    let pool_of = |target: &pinhaven_bundle::Target| {
        let known = previous.and_then(|previous| previous.pools.get(&target.address));
        (target.address, known.cloned().unwrap_or_default())
    };
    Arc::new(ServiceEntry {
        config: service.clone(),
        state: Arc::new(state),
        pools: service.targets.iter().map(pool_of).collect(),
        place_freed: previous
            .map(|previous| Arc::clone(&previous.place_freed))
            .unwrap_or_default(),
    })
}
