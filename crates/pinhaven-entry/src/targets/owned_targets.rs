//! The targets that this entry owns. The owner of a target probes the target's speed and prefers the target for its
//! requests.
//!
//! Peers' counts of requests in flight are as old as their last update. An entry knows its own counts exactly, so
//! the delay does not matter while each entry sends only to targets that it owns. Targets of other owners are used
//! when the own targets are full or slow.

use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::snapshot::Snapshot;
use pinhaven_agree::OwnedKeys;
use pinhaven_agree::OwnerCandidate;
use pinhaven_agree::ServiceKey;
use pinhaven_agree::UnassignedTarget;
use std::sync::Arc;

/// Entries whose capacity is below that of the largest entry divided by this number own no targets: probing would
/// use most of their processor time.
const OWNER_CAPACITY_DIVISOR: u32 = 2;

/// Targets that this entry owns, cached while neither the candidates nor the targets change.
pub(crate) struct OwnedTargets {
    keys: OwnedKeys,
    /// Snapshot whose targets were assigned last.
    snapshot: Option<Arc<Snapshot>>,
}

impl OwnedTargets {
    /// Creates the state of an entry that owns nothing yet.
    pub(crate) fn new(entry: &Entry) -> Self {
        Self {
            keys: OwnedKeys::new(entry.incarnation),
            snapshot: None,
        }
    }

    /// Computes which targets of `snapshot` the entry owns, if the candidates or the targets have changed.
    pub(crate) fn refresh(&mut self, entry: &Entry, snapshot: &Arc<Snapshot>) {
        let assigned = self.snapshot.as_ref();
        let has_new_targets = assigned.is_none_or(|assigned| !Arc::ptr_eq(assigned, snapshot));
        if has_new_targets {
            self.snapshot = Some(Arc::clone(snapshot));
        }
        let keyed = snapshot.keyed_targets().iter();
        let targets = keyed.map(|(key, keyed)| UnassignedTarget {
            key: *key,
            failure_domain: keyed.target.failure_domain(),
            service: ServiceKey::new(&keyed.service.config.name),
        });
        if !self
            .keys
            .assign(candidates(entry), has_new_targets, targets)
        {
            return;
        }
        for (key, keyed) in snapshot.keyed_targets() {
            keyed.target.set_owned(self.keys.contains(*key));
        }
        for service in snapshot.services.values() {
            service.state.refresh_owned();
        }
    }

    /// Keys of the owned targets.
    pub(crate) fn own_keys(&self) -> &[u32] {
        self.keys.keys()
    }

    /// Whether the entry owns the target with this key.
    pub(crate) fn contains(&self, key: u32) -> bool {
        self.keys.contains(key)
    }
}

impl Entry {
    /// Services whose targets this entry does not reach while another entry does.
    fn lost_services(&self) -> Vec<ServiceKey> {
        let snapshot = self.snapshot.load();
        let is_lost = |service: &&Arc<ServiceEntry>| {
            let connectivity = service.state.connectivity();
            connectivity.is_lost() && connectivity.is_reached_by_peer()
        };
        let lost = snapshot.services.values().filter(is_lost);
        lost.map(|service| ServiceKey::new(&service.config.name))
            .collect()
    }
}

/// The serving entries whose capacity is large enough to own targets.
fn candidates(entry: &Entry) -> Vec<OwnerCandidate> {
    let now = entry.now();
    let members = entry.members.lock();
    let reach = entry.reach.lock();
    let serving = members.serving(now);
    let largest = serving.iter().map(|row| row.capacity).max();
    let capacity_min = largest.unwrap_or_default().per_second() / OWNER_CAPACITY_DIVISOR;
    serving
        .into_iter()
        .filter(|row| row.capacity.per_second() >= capacity_min)
        .map(|row| {
            let unreached = match row.incarnation == entry.incarnation {
                true => entry.lost_services(),
                false => reach.lost_services(row.incarnation, now),
            };
            let candidate = OwnerCandidate::new(row.incarnation, row.failure_domain.clone());
            candidate.with_unreached(unreached)
        })
        .collect()
}
