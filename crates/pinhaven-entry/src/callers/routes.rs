//! Finding the route of a request, and the service that its route sends it to.

use crate::versions::service_entry::ServiceEntry;
use pinhaven_bundle::HostRoutes;
use pinhaven_bundle::PathRoute;
use pinhaven_decide::RouteState;
use pinhaven_decide::Split;
use pinhaven_types::RouteName;
use pinhaven_types::ServiceName;
use std::collections::HashMap;
use std::sync::Arc;

/// A route with the services that share its requests.
pub(crate) struct RouteEntry {
    pub(crate) config: PathRoute,
    pub(crate) state: Arc<RouteState>,
    split: Split,
    services: Vec<Arc<ServiceEntry>>,
}

impl RouteEntry {
    /// The service that the next request goes to.
    pub(crate) fn next_service(&self) -> &Arc<ServiceEntry> {
        &self.services[self.split.next_part()]
    }
}

/// What a route says of a request.
#[derive(Clone, Default)]
pub(crate) struct Routed {
    /// The route, unless the request was routed by its service's own hosts.
    pub(crate) route: Option<Arc<RouteEntry>>,
}

impl Routed {
    pub(crate) fn config(&self) -> Option<&PathRoute> {
        self.route.as_ref().map(|route| &route.config)
    }
}

/// The routes of all hosts.
#[derive(Default)]
pub(crate) struct RouteTable {
    /// By host; of each host the longest prefixes first.
    hosts: HashMap<String, Vec<Arc<RouteEntry>>>,
}

impl RouteTable {
    /// The table of a bundle. What `previous` has learned of a route is kept by its name.
    pub(crate) fn new(
        hosts: &[HostRoutes],
        services: &HashMap<ServiceName, Arc<ServiceEntry>>,
        previous: &Self,
    ) -> Self {
        let learned: HashMap<&RouteName, &Arc<RouteState>> = previous
            .hosts
            .values()
            .flatten()
            .map(|route| (&route.config.name, &route.state))
            .collect();
        let table = hosts.iter().map(|host| {
            let mut routes: Vec<Arc<RouteEntry>> = host
                .paths
                .iter()
                .filter_map(|route| route_entry(route, services, &learned))
                .collect();
            routes.sort_by_key(|route| std::cmp::Reverse(route.config.path_prefix.len()));
            (host.host.to_ascii_lowercase(), routes)
        });
        Self {
            hosts: table.collect(),
        }
    }

    /// The route for a path of a host in lower case; `None` when there is none.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.config.path_prefix))
    }

    /// Whether any route is known for a host in lower case.
    pub(crate) fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }
}

fn route_entry(
    config: &PathRoute,
    services: &HashMap<ServiceName, Arc<ServiceEntry>>,
    learned: &HashMap<&RouteName, &Arc<RouteState>>,
) -> Option<Arc<RouteEntry>> {
    let parts: Option<Vec<Arc<ServiceEntry>>> = config
        .split
        .iter()
        .map(|part| services.get(&part.service).cloned())
        .collect();
    let Some(parts) = parts.filter(|parts| !parts.is_empty()) else {
        log::error!(target: "bundle", "Route {} names an unknown service.", config.name);
        return None;
    };
    let state = RouteState::new(config.aim_ms);
    let state = match learned.get(&config.name) {
        Some(previous) => state.with_learned(previous),
        None => state,
    };
    let weights = config.split.iter().map(|part| part.weight);
    Some(Arc::new(RouteEntry {
        config: config.clone(),
        state: Arc::new(state),
        split: Split::new(weights, fastrand::u64(..)),
        services: parts,
    }))
}
