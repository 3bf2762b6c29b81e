//! Which entry owns a target: it asks the target how fast it is, and goes there first.
//!
//! Counts of requests under way are as old as the last round of news. While entries keep to targets of
//! their own, those counts don't matter, as each knows its own exactly; a target of another owner is for
//! when the own ones are full or slow. The owner stands in the target's failure domain where one can, so
//! that less crosses domains.

use crate::entry::Entry;
use crate::versions::snapshot::Snapshot;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;

/// Entries that carry less than this part of what the largest does own none: asking targets would
/// take the greater part of their processor.
const OWNER_CAPACITY_DIVISOR: u32 = 2;

/// An entry that may own targets.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Candidate {
    incarnation: Incarnation,
    failure_domain: FailureDomain,
}

/// The targets that an entry owns, for as long as the same entries serve the same targets.
#[derive(Debug, Default)]
pub(crate) struct OwnedTargets {
    candidates: Vec<Candidate>,
    keys: Vec<u32>,
    own_keys: Vec<u32>,
}

impl OwnedTargets {
    /// Brings up to date which targets `entry` owns.
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

    /// The keys of those targets.
    pub(crate) fn own_keys(&self) -> &[u32] {
        &self.own_keys
    }
}

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

/// The candidate that ranks first for a target, among those of the target's failure domain if there
/// are any.
fn owner_of(key: u32, domain: &FailureDomain, candidates: &[Candidate]) -> Option<Incarnation> {
    let rank = |candidate: &&Candidate| {
        let incarnation = candidate.incarnation.to_bytes();
        let digest = Digest::of_parts(&[&key.to_le_bytes(), &incarnation]);
        (candidate.failure_domain != *domain, digest.short())
    };
    let owner = candidates.iter().min_by_key(rank);
    owner.map(|candidate| candidate.incarnation)
}
