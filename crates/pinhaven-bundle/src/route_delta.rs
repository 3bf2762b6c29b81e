//! The difference between the routes of two versions.
//!
//! Routes are told apart by host and path prefix. That leads to the same body only where both versions
//! list them in the order of these names, each once; [`sort_routes`] brings them into it.

use crate::HostRoutes;
use crate::PathRoute;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Routes that are new, changed or gone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDelta {
    /// Routes that are new or changed, by host; a new host stands here also without any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<HostRoutes>,
    /// Routes that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<RemovedRoutes>,
    /// Hosts that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed_hosts: Vec<String>,
}

/// Routes of a host that are gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RemovedRoutes {
    host: String,
    path_prefixes: Vec<String>,
}

/// Routes by host and path prefix.
type RoutesByName = BTreeMap<String, BTreeMap<String, PathRoute>>;

impl RouteDelta {
    /// The difference, or `None` where only whole lists lead from the one to the other.
    pub fn between(from: &[HostRoutes], to: &[HostRoutes]) -> Option<Self> {
        if !is_sorted(from) || !is_sorted(to) {
            return (from == to).then(Self::default);
        }
        let old = borrowed_by_name(from);
        let new = borrowed_by_name(to);
        let changed = to.iter().filter_map(|host| changed_of(host, &old));
        let removed = from.iter().filter_map(|host| removed_of(host, &new));
        let gone = from.iter().filter(|host| !new.contains_key(&*host.host));
        Some(Self {
            changed: changed.collect(),
            removed: removed.collect(),
            removed_hosts: gone.map(|host| host.host.clone()).collect(),
        })
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty() && self.removed_hosts.is_empty()
    }

    /// Routes and hosts that it names.
    pub fn size(&self) -> usize {
        let changed = self.changed.iter().map(|host| 1 + host.paths.len());
        let removed = self.removed.iter().map(|host| host.path_prefixes.len());
        changed.chain(removed).sum::<usize>() + self.removed_hosts.len()
    }

    /// The routes that it leads to.
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

/// Brings routes into the order of their names, in which a difference can name single ones. Of two with one
/// name the first stays first.
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

/// The routes of a host that are new or changed; `None` when there are none and the host is known.
fn changed_of(host: &HostRoutes, old: &BorrowedByName<'_>) -> Option<HostRoutes> {
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

/// The routes of a host that are gone while it stays.
fn removed_of(host: &HostRoutes, new: &BorrowedByName<'_>) -> Option<RemovedRoutes> {
    let kept = new.get(&*host.host)?;
    let prefixes = host.paths.iter().map(|route| &route.path_prefix);
    let gone = prefixes.filter(|prefix| !kept.contains_key(&***prefix));
    let path_prefixes: Vec<String> = gone.cloned().collect();
    (!path_prefixes.is_empty()).then(|| RemovedRoutes {
        host: host.host.clone(),
        path_prefixes,
    })
}
