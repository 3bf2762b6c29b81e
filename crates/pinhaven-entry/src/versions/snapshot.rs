//! Snapshot of the version in force with the current targets.
//!
//! Each request reads one snapshot, so that a request never sees parts of two versions. A new version or
//! a change of the targets replaces the snapshot as a whole.

use crate::callers::routes::RouteEntry;
use crate::callers::routes::RouteTable;
use crate::versions::organisations::OrganisationIndex;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::service_entry::build_service_entry;
use pinhaven_agree::ListedTarget;
use pinhaven_agree::TargetList;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::Organisation;
use pinhaven_bundle::RequestLimits;
use pinhaven_bundle::Service;
use pinhaven_bundle::Target;
use pinhaven_bundle::TargetState;
use pinhaven_types::BundleVersion;
use pinhaven_types::CrossingCost;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::OrganisationName;
use pinhaven_types::ServiceName;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::LazyLock;

/// Cache lifetime of address answers before any version is in force, in milliseconds.
const NO_BUNDLE_KEEP_MS: u64 = 1_000;

/// Time for which the state of a service is kept that no version names any more, as long as what its targets asked for.
const UNNAMED_RETENTION: Microseconds = Microseconds::from_ms(600_000);

/// The bundle before any version is in force.
static NO_BUNDLE: LazyLock<Bundle> = LazyLock::new(|| Bundle {
    version: BundleVersion::NONE,
    measuring: Default::default(),
    address_keep_ms: NO_BUNDLE_KEEP_MS,
    services: Vec::new(),
    hosts: Vec::new(),
    limits: None,
    drained_domains: BTreeSet::new(),
    organisations: None,
});

/// All services in one version, with the indexes for routing.
pub(crate) struct Snapshot {
    pub(crate) version: BundleVersion,
    body: Option<Arc<CanonicalBundle>>,
    pub(crate) services: HashMap<ServiceName, Arc<ServiceEntry>>,
    /// Services of earlier versions. A later version may name them again while their targets still leave or rest.
    unnamed: HashMap<ServiceName, UnnamedService>,
    hosts: HashMap<String, Arc<ServiceEntry>>,
    /// Shared by all snapshots of a version.
    routes: Arc<RouteTable>,
    /// Targets with an id, by the short key that identifies them in messages between entries.
    by_key: HashMap<u32, KeyedTarget>,
    /// Organisations of the version; `None` if requests need no key.
    pub(crate) organisations: Option<Arc<OrganisationIndex>>,
}

/// A service that the version does not name.
#[derive(Clone)]
struct UnnamedService {
    service: Arc<ServiceEntry>,
    since: Microseconds,
}

/// A target and its service.
#[derive(Clone)]
pub(crate) struct KeyedTarget {
    pub(crate) service: Arc<ServiceEntry>,
    pub(crate) target: Arc<pinhaven_decide::TargetState>,
}

/// Inputs of a snapshot besides the bundle.
#[derive(Clone, Copy)]
pub(crate) struct SnapshotContext<'entry> {
    /// Targets of the services with discovered targets.
    pub(crate) listed: &'entry TargetList,
    /// Failure domain of this entry.
    pub(crate) domain: &'entry FailureDomain,
    /// How expensive it is to send a request to another failure domain, if the operators set it.
    pub(crate) crossing_cost: Option<CrossingCost>,
}

impl Snapshot {
    /// The snapshot before any version is in force.
    pub(crate) fn empty() -> Self {
        Self {
            version: BundleVersion::NONE,
            body: None,
            services: HashMap::new(),
            unnamed: HashMap::new(),
            hosts: HashMap::new(),
            routes: Arc::default(),
            by_key: HashMap::new(),
            organisations: None,
        }
    }

    /// The snapshot of a bundle. Services that are unchanged since `previous` are reused, and the others keep their state.
    pub(crate) fn new(
        body: Arc<CanonicalBundle>,
        context: SnapshotContext<'_>,
        previous: &Self,
        now: Microseconds,
    ) -> Self {
        let bundle = body.bundle();
        let listed = group_by_service(context.listed);
        let mut services = HashMap::new();
        let mut hosts = HashMap::new();
        for service in &bundle.services {
            let service = with_listed_targets(service, &listed);
            let known = previous.known_service(&service.name);
            let entry = build_service_entry(&service, &context, known, now);
            for host in &service.hosts {
                hosts.insert(host.to_ascii_lowercase(), Arc::clone(&entry));
            }
            services.insert(service.name.clone(), entry);
        }
        let is_same_body = previous
            .body
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &body));
        let routes = match is_same_body {
            true => Arc::clone(&previous.routes),
            false => Arc::new(RouteTable::new(&bundle.hosts, &services, &previous.routes)),
        };
        let by_key = index_by_key(&services);
        let is_same_list = is_same_body || previous.bundle().organisations == bundle.organisations;
        let organisations = match is_same_list {
            true => previous.organisations.clone(),
            false => {
                let listed = bundle.organisations.as_deref();
                listed.map(|listed| Arc::new(OrganisationIndex::new(listed)))
            }
        };
        Self {
            version: bundle.version,
            body: Some(body),
            unnamed: previous.unnamed_beside(&services, now),
            services,
            hosts,
            routes,
            by_key,
            organisations,
        }
    }

    /// A service of this version, or of an earlier one.
    fn known_service(&self, name: &ServiceName) -> Option<&Arc<ServiceEntry>> {
        let unnamed = || Some(&self.unnamed.get(name)?.service);
        self.services.get(name).or_else(unnamed)
    }

    /// The services that the next version, with these services, does not name.
    fn unnamed_beside(
        &self,
        next: &HashMap<ServiceName, Arc<ServiceEntry>>,
        now: Microseconds,
    ) -> HashMap<ServiceName, UnnamedService> {
        let is_unnamed = |name: &ServiceName| !next.contains_key(name);
        let is_recent =
            |known: &UnnamedService| now.saturating_sub(known.since) < UNNAMED_RETENTION;
        let earlier = self.unnamed.iter();
        let earlier = earlier.filter(|(name, known)| is_unnamed(name) && is_recent(known));
        let removed = self.services.iter().filter(|(name, _)| is_unnamed(name));
        let removed = removed.map(|(name, service)| {
            let service = Arc::new(service.without_connections());
            let since = now;
            (name.clone(), UnnamedService { service, since })
        });
        earlier
            .map(|(name, known)| (name.clone(), known.clone()))
            .chain(removed)
            .collect()
    }

    /// Number of routes that were indexed for this snapshot and not taken from the previous one.
    pub(crate) fn routes_indexed_since(&self, previous: &Self) -> usize {
        match Arc::ptr_eq(&self.routes, &previous.routes) {
            true => 0,
            false => self.routes.len(),
        }
    }

    /// All targets with an id.
    pub(crate) fn keyed_targets(&self) -> &HashMap<u32, KeyedTarget> {
        &self.by_key
    }

    /// The body of the version; `None` before any version is in force.
    pub(crate) fn body(&self) -> Option<&Arc<CanonicalBundle>> {
        self.body.as_ref()
    }

    /// Limits of requests, if the operators have set any.
    pub(crate) fn limits(&self) -> Option<RequestLimits> {
        self.bundle().limits
    }

    /// The route for a path of a host. The host may include a port.
    pub(crate) fn route_for(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        if let Some(route) = self.routes.find(host, path) {
            return Some(route);
        }
        let host = host.to_ascii_lowercase();
        let without_port = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(name, _)| name);
        let host = if self.routes.has_host(&host) {
            &host
        } else {
            without_port
        };
        self.routes.find(host, path)
    }

    /// The bundle; an empty bundle before any version is in force.
    pub(crate) fn bundle(&self) -> &Bundle {
        match &self.body {
            Some(body) => body.bundle(),
            None => &NO_BUNDLE,
        }
    }

    /// The organisation of a request that another entry passes on; an empty name stands for none.
    ///
    /// # Errors
    ///
    /// Returns the reason if this version doesn't have the organisation, or requires one for a request whose route
    /// is not public.
    pub(crate) fn organisation_of_message(
        &self,
        name: &str,
        is_public: bool,
    ) -> Result<Option<Arc<Organisation>>, &'static str> {
        if name.is_empty() {
            return match self.organisations.is_none() || is_public {
                true => Ok(None),
                false => Err("its version requires a key"),
            };
        }
        let name: OrganisationName = name.parse().map_err(|_| "bad organisation")?;
        let organisations = self.organisations.as_ref();
        let organisation = organisations.and_then(|organisations| organisations.named(&name));
        let organisation = organisation.ok_or("its version has no such organisation")?;
        Ok(Some(Arc::clone(organisation)))
    }

    /// The service for a `Host` field, with or without a port.
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

/// Indexes the targets that have an id by their key.
fn index_by_key(services: &HashMap<ServiceName, Arc<ServiceEntry>>) -> HashMap<u32, KeyedTarget> {
    let mut by_key = HashMap::new();
    for service in services.values() {
        for target in service.state.targets() {
            let Some(key) = target.key() else {
                continue;
            };
            let keyed = KeyedTarget {
                service: Arc::clone(service),
                target: Arc::clone(target),
            };
            by_key.insert(key, keyed);
        }
    }
    by_key
}

/// Groups the listed targets by service.
fn group_by_service(listed: &TargetList) -> HashMap<&ServiceName, Vec<&ListedTarget>> {
    let mut services: HashMap<&ServiceName, Vec<&ListedTarget>> = HashMap::new();
    for target in listed.targets.values() {
        services.entry(&target.service).or_default().push(target);
    }
    services
}

/// Adds to a service the targets listed for it. If two targets have the same address, which happens only
/// while one replaces the other, a target that is not leaving takes precedence.
fn with_listed_targets(
    service: &Service,
    listed: &HashMap<&ServiceName, Vec<&ListedTarget>>,
) -> Service {
    let mut service = service.clone();
    let Some(listed) = listed.get(&service.name) else {
        return service;
    };
    let mut listed = listed.clone();
    listed.sort_by_key(|target| (target.address, target.is_leaving));
    listed.dedup_by_key(|target| target.address);
    service
        .targets
        .extend(listed.into_iter().map(to_bundle_target));
    service
}

fn to_bundle_target(listed: &ListedTarget) -> Target {
    Target {
        state: if listed.is_leaving {
            TargetState::Leaving
        } else {
            TargetState::Live
        },
        id: Some(listed.id.clone()),
        incarnation: listed.incarnation,
        slots: Some(listed.slots),
        warm_up_ms: listed.warm_up_ms,
        ..Target::new(listed.address, listed.failure_domain.clone())
    }
}
