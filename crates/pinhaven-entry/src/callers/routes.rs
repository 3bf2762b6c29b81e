//! Finds the route of a request and the service to which the route sends the request.
//!
//! Routes name their services. What changes with the targets of a service is looked up for each request, so that a changed
//! list of targets leaves the routes as they are, however many there are.

use crate::versions::service_entry::ServiceEntry;
use pinhaven_bundle::HostRoutes;
use pinhaven_bundle::PathRoute;
use pinhaven_decide::RouteState;
use pinhaven_decide::Split;
use pinhaven_types::RouteName;
use pinhaven_types::ServiceName;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// A route and the services among which its requests are split.
pub(crate) struct RouteEntry {
    pub(crate) config: Arc<PathRoute>,
    pub(crate) state: Arc<RouteState>,
    split: Split,
}

impl RouteEntry {
    /// Returns the name of the service for the next request.
    pub(crate) fn next_service(&self) -> &ServiceName {
        &self.config.split[self.split.next_part()].service
    }

    /// Whether the route sends requests to the service with this name.
    pub(crate) fn has_service(&self, name: &ServiceName) -> bool {
        self.config.split.iter().any(|part| part.service == *name)
    }
}

/// The route of a request, if there is one.
#[derive(Clone, Default)]
pub(crate) struct Routed {
    /// The route; `None` if a host of the service matched or a peer relayed the request.
    pub(crate) route: Option<Arc<RouteEntry>>,
}

impl Routed {
    pub(crate) fn config(&self) -> Option<&PathRoute> {
        self.route.as_ref().map(|route| &*route.config)
    }
}

/// The routes of all hosts.
#[derive(Default)]
pub(crate) struct RouteTable {
    hosts: HashMap<String, HostTable>,
}

/// The routes of one host.
///
/// A lookup tries each prefix of the path that ends with a slash, the longest first, so that its cost hardly
/// depends on the number of routes. Comparing the path with one route after another would take time in
/// proportion to that number.
#[derive(Default)]
struct HostTable {
    /// Routes whose prefix ends with a slash, by prefix.
    by_prefix: HashMap<String, Arc<RouteEntry>>,
    /// Length of the longest prefix in `by_prefix`, in bytes. Longer prefixes of a path are not looked up,
    /// because a caller may send a path that consists of slashes only.
    prefix_bytes_max: usize,
    /// Routes whose prefix does not end with a slash, the longest prefixes first.
    without_slash: Vec<Arc<RouteEntry>>,
}

impl HostTable {
    /// Creates the table. Of several routes with the same prefix, the first is used.
    fn new(routes: impl IntoIterator<Item = Arc<RouteEntry>>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let prefix = &route.config.path_prefix;
            if prefix.ends_with('/') {
                table.prefix_bytes_max = table.prefix_bytes_max.max(prefix.len());
                table.by_prefix.entry(prefix.clone()).or_insert(route);
            } else {
                table.without_slash.push(route);
            }
        }
        let length = |route: &Arc<RouteEntry>| route.config.path_prefix.len();
        table
            .without_slash
            .sort_by_key(|route| Reverse(length(route)));
        table
    }

    /// Returns the route with the longest prefix that matches the path.
    fn find(&self, path: &str) -> Option<&Arc<RouteEntry>> {
        let path_bytes = path.as_bytes();
        let slashes = (0..path_bytes.len().min(self.prefix_bytes_max))
            .rev()
            .filter(|index| path_bytes[*index] == b'/');
        let mut prefixes = slashes.map(|index| &path[..=index]);
        let with_slash = prefixes.find_map(|prefix| self.by_prefix.get(prefix));
        let matches = |route: &&Arc<RouteEntry>| path.starts_with(&route.config.path_prefix);
        let without_slash = self.without_slash.iter().find(matches);
        let length = |route: &&Arc<RouteEntry>| route.config.path_prefix.len();
        without_slash
            .into_iter()
            .chain(with_slash)
            .max_by_key(length)
    }

    fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.by_prefix.values().chain(&self.without_slash)
    }
}

impl RouteTable {
    /// Creates the table of a bundle. A route takes over what the route of the same name in `previous` learned.
    pub(crate) fn new(
        hosts: &[HostRoutes],
        services: &HashMap<ServiceName, Arc<ServiceEntry>>,
        previous: &Self,
    ) -> Self {
        let learned: HashMap<&RouteName, &Arc<RouteState>> = previous
            .hosts
            .values()
            .flat_map(HostTable::routes)
            .map(|route| (&route.config.name, &route.state))
            .collect();
        let table = hosts.iter().map(|host| {
            let routes = host.paths.iter();
            let entries = routes.filter_map(|route| route_entry(route, services, &learned));
            (host.host.to_ascii_lowercase(), HostTable::new(entries))
        });
        Self {
            hosts: table.collect(),
        }
    }

    /// Returns the route for a path of a host, which must be in lower case.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        self.hosts.get(host)?.find(path)
    }

    /// Number of routes in the table.
    pub(crate) fn len(&self) -> usize {
        let hosts = self.hosts.values();
        hosts
            .map(|host| host.by_prefix.len() + host.without_slash.len())
            .sum()
    }

    /// Whether the table has the host, which must be in lower case.
    pub(crate) fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }
}

fn route_entry(
    config: &PathRoute,
    services: &HashMap<ServiceName, Arc<ServiceEntry>>,
    learned: &HashMap<&RouteName, &Arc<RouteState>>,
) -> Option<Arc<RouteEntry>> {
    let mut parts = config.split.iter();
    if config.split.is_empty() || !parts.all(|part| services.contains_key(&part.service)) {
        log::error!(target: "bundle", "Route {} has no service or an unknown service and is ignored.", config.name);
        return None;
    }
    let state = RouteState::new(config.aim_ms);
    let state = match learned.get(&config.name) {
        Some(previous) => state.with_learned(previous),
        None => state,
    };
    let weights = config.split.iter().map(|part| part.weight);
    Some(Arc::new(RouteEntry {
        config: Arc::new(config.clone()),
        state: Arc::new(state),
        split: Split::new(weights, fastrand::u64(..)),
    }))
}
