//! Owners of targets. The owner of a target probes the target's speed and prefers the target for its requests.
//!
//! Peers' counts of requests in flight are as old as their last update. An entry knows its own counts exactly, so
//! the delay does not matter while each entry sends only to targets that it owns. Targets of other owners are used
//! when the own targets are full or slow. The owner is in the target's failure domain if possible, to reduce the
//! traffic between domains.
//!
//! Every entry computes the owners by rendezvous hashing over the serving entries, without a message.

use crate::entry::Entry;
use crate::versions::snapshot::Snapshot;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;

/// Entries whose capacity is below that of the largest entry divided by this number own no targets: probing would
/// use most of their processor time.
const OWNER_CAPACITY_DIVISOR: u32 = 2;

/// An entry that may own targets.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Candidate {
    incarnation: Incarnation,
    failure_domain: FailureDomain,
}

/// Targets that this entry owns, cached while neither the candidates nor the targets change.
#[derive(Debug, Default)]
pub(crate) struct OwnedTargets {
    candidates: Vec<Candidate>,
    keys: Vec<u32>,
    own_keys: Vec<u32>,
}

impl OwnedTargets {
    /// Computes which targets of `snapshot` the entry owns, if the candidates or the targets have changed.
    pub(crate) fn refresh(&mut self, entry: &Entry, snapshot: &Snapshot) {
        let candidates = candidates(entry);
        let mut keys: Vec<u32> = snapshot.keyed_targets().keys().copied().collect();
        keys.sort_unstable();
        if candidates == self.candidates && keys == self.keys {
            return;
        }
        self.own_keys.clear();
        for (key, keyed) in snapshot.keyed_targets() {
            let owner = owner_of(*key, keyed.target.failure_domain(), &candidates);
            let is_owned = owner == Some(entry.incarnation);
            keyed.target.set_owned(is_owned);
            if is_owned {
                self.own_keys.push(*key);
            }
        }
        for service in snapshot.services.values() {
            service.state.refresh_owned();
        }
        self.candidates = candidates;
        self.keys = keys;
    }

    /// Keys of the owned targets.
    pub(crate) fn own_keys(&self) -> &[u32] {
        &self.own_keys
    }
}

/// The serving entries whose capacity is large enough to own targets.
fn candidates(entry: &Entry) -> Vec<Candidate> {
    let members = entry.members.lock();
    let serving = members.serving(entry.now());
    let largest = serving.iter().map(|row| row.capacity).max();
    let capacity_min = largest.unwrap_or_default().per_second() / OWNER_CAPACITY_DIVISOR;
    serving
        .into_iter()
        .filter(|row| row.capacity.per_second() >= capacity_min)
        .map(|row| Candidate {
            incarnation: row.incarnation,
            failure_domain: row.failure_domain.clone(),
        })
        .collect()
}

/// The owner of a target: the candidate with the lowest hash of target key and incarnation, among the candidates of
/// the target's failure domain if there are any.
fn owner_of(key: u32, domain: &FailureDomain, candidates: &[Candidate]) -> Option<Incarnation> {
    let rank = |candidate: &&Candidate| {
        let incarnation = candidate.incarnation.to_bytes();
        let digest = Digest::of_parts(&[&key.to_le_bytes(), &incarnation]);
        (candidate.failure_domain != *domain, digest.short())
    };
    let owner = candidates.iter().min_by_key(rank);
    owner.map(|candidate| candidate.incarnation)
}
