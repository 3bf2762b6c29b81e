//! The difference between the routes of two versions of a bundle.
//!
//! A difference identifies routes by host and path prefix. Applying it reproduces the same body only if both versions
//! list each host and prefix once and in sorted order; [`sort_routes`] sorts them.

use crate::HostRoutes;
use crate::PathRoute;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Routes that are new, changed or removed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDelta {
    /// Routes that are new or changed, by host; a new host is listed even if it has no routes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<HostRoutes>,
    /// Routes that were removed from hosts that remain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<RemovedRoutes>,
    /// Hosts that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed_hosts: Vec<String>,
}

/// Removed routes of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RemovedRoutes {
    host: String,
    path_prefixes: Vec<String>,
}

/// Routes by host and path prefix.
type RoutesByName = BTreeMap<String, BTreeMap<String, PathRoute>>;

impl RouteDelta {
    /// Computes the difference; `None` if the lists differ and one of them is not sorted by unique names, so that only
    /// the complete new list reproduces the same body.
    pub fn between(from: &[HostRoutes], to: &[HostRoutes]) -> Option<Self> {
        if !is_sorted(from) || !is_sorted(to) {
            return (from == to).then(Self::default);
        }
        let old = borrowed_by_name(from);
        let new = borrowed_by_name(to);
        let changed = to.iter().filter_map(|host| changed_routes(host, &old));
        let removed = from.iter().filter_map(|host| removed_routes(host, &new));
        let removed_hosts = from.iter().filter(|host| !new.contains_key(&*host.host));
        Some(Self {
            changed: changed.collect(),
            removed: removed.collect(),
            removed_hosts: removed_hosts.map(|host| host.host.clone()).collect(),
        })
    }

    /// Whether the difference has no changes.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty() && self.removed_hosts.is_empty()
    }

    /// Number of routes and hosts in the difference.
    pub fn size(&self) -> usize {
        let changed = self.changed.iter().map(|host| 1 + host.paths.len());
        let removed = self.removed.iter().map(|host| host.path_prefixes.len());
        changed.chain(removed).sum::<usize>() + self.removed_hosts.len()
    }

    /// Applies the difference to the routes in `held`.
    pub(crate) fn apply(self, held: Vec<HostRoutes>) -> Vec<HostRoutes> {
        if self.is_empty() {
            return held;
        }
        let mut routes = owned_by_name(held);
        for host in &self.removed_hosts {
            routes.remove(host);
        }
        for removed in &self.removed {
            let Some(paths) = routes.get_mut(&removed.host) else {
                continue;
            };
            for prefix in &removed.path_prefixes {
                paths.remove(prefix);
            }
        }
        for changed in self.changed {
            let paths = changed.paths.into_iter();
            let named = paths.map(|route| (route.path_prefix.clone(), route));
            routes.entry(changed.host).or_default().extend(named);
        }
        let hosts = routes.into_iter().map(|(host, paths)| HostRoutes {
            host,
            paths: paths.into_values().collect(),
        });
        hosts.collect()
    }
}

/// Sorts routes by host and path prefix, so that a difference can identify single routes. The sort is stable: routes
/// with the same host and prefix retain their order.
pub fn sort_routes(hosts: &mut [HostRoutes]) {
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    for host in hosts {
        host.paths.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
    }
}

fn is_sorted(hosts: &[HostRoutes]) -> bool {
    let paths_are_sorted = |host: &HostRoutes| {
        host.paths
            .is_sorted_by(|a, b| a.path_prefix < b.path_prefix)
    };
    hosts.is_sorted_by(|a, b| a.host < b.host) && hosts.iter().all(paths_are_sorted)
}

type BorrowedByName<'bundle> = BTreeMap<&'bundle str, BTreeMap<&'bundle str, &'bundle PathRoute>>;

fn borrowed_by_name(hosts: &[HostRoutes]) -> BorrowedByName<'_> {
    let named = hosts.iter().map(|host| {
        let paths = host.paths.iter();
        let paths = paths.map(|route| (&*route.path_prefix, route));
        (&*host.host, paths.collect())
    });
    named.collect()
}

fn owned_by_name(hosts: Vec<HostRoutes>) -> RoutesByName {
    let named = hosts.into_iter().map(|host| {
        let paths = host.paths.into_iter();
        let paths = paths.map(|route| (route.path_prefix.clone(), route));
        (host.host, paths.collect())
    });
    named.collect()
}

/// New or changed routes of a host; `None` if there are none and the earlier version has the host.
fn changed_routes(host: &HostRoutes, old: &BorrowedByName<'_>) -> Option<HostRoutes> {
    let known = old.get(&*host.host);
    let is_known =
        |route: &&PathRoute| known.and_then(|known| known.get(&*route.path_prefix)) == Some(route);
    let paths = host.paths.iter().filter(|route| !is_known(route));
    let paths: Vec<PathRoute> = paths.cloned().collect();
    (known.is_none() || !paths.is_empty()).then(|| HostRoutes {
        host: host.host.clone(),
        paths,
    })
}

/// Removed routes of a host; `None` if there are none or if the host itself was removed.
fn removed_routes(host: &HostRoutes, new: &BorrowedByName<'_>) -> Option<RemovedRoutes> {
    let remaining = new.get(&*host.host)?;
    let prefixes = host.paths.iter().map(|route| &route.path_prefix);
    let removed = prefixes.filter(|prefix| !remaining.contains_key(&***prefix));
    let path_prefixes: Vec<String> = removed.cloned().collect();
    (!path_prefixes.is_empty()).then(|| RemovedRoutes {
        host: host.host.clone(),
        path_prefixes,
    })
}
