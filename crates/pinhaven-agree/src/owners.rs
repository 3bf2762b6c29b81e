//! Owners of targets: the entry that probes a target's speed and sends its requests there first.
//!
//! Every entry computes the owners by rendezvous hashing over the candidates, without a message. The owner is in the
//! target's failure domain if possible, to reduce the traffic between domains. An entry that reaches no target of a
//! service owns none of them: nobody would probe them, and the slots that others leave to the owner would stay empty.
//!
//! An entry that is no candidate owns nothing, whoever the owners are, and so computes none: at several hundred entries
//! and a thousand targets, the hashes would otherwise be much of what an entry does that stands by.

use crate::reach::ServiceKey;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;

/// An entry that may own targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
    /// Services whose targets the entry does not reach, in ascending order.
    pub unreached: Vec<ServiceKey>,
}

impl OwnerCandidate {
    /// Creates a candidate that reaches the targets of all services.
    pub fn new(incarnation: Incarnation, failure_domain: FailureDomain) -> Self {
        Self {
            incarnation,
            failure_domain,
            unreached: Vec::new(),
        }
    }

    /// Sets the services whose targets the entry does not reach.
    pub fn with_unreached(mut self, mut services: Vec<ServiceKey>) -> Self {
        services.sort_unstable();
        self.unreached = services;
        self
    }

    fn reaches(&self, service: ServiceKey) -> bool {
        self.unreached.binary_search(&service).is_err()
    }
}

/// A target that is to be assigned to an owner.
#[derive(Debug, Clone, Copy)]
pub struct UnassignedTarget<'target> {
    /// Key of the target.
    pub key: u32,
    /// Failure domain of the target.
    pub failure_domain: &'target FailureDomain,
    /// Service of the target.
    pub service: ServiceKey,
}

/// Keys of the targets that one entry owns.
#[derive(Debug)]
pub struct OwnedKeys {
    own: Incarnation,
    candidates: Vec<OwnerCandidate>,
    /// Owned keys, in ascending order.
    keys: Vec<u32>,
    hashed: u64,
}

impl OwnedKeys {
    /// Creates the state of an entry that owns nothing yet.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            candidates: Vec::new(),
            keys: Vec::new(),
            hashed: 0,
        }
    }

    /// Assigns the targets to the candidates. Does nothing if the candidates are the same and `has_new_targets` is
    /// `false`. Returns whether the owned keys were computed anew.
    pub fn assign<'target>(
        &mut self,
        candidates: Vec<OwnerCandidate>,
        has_new_targets: bool,
        targets: impl IntoIterator<Item = UnassignedTarget<'target>>,
    ) -> bool {
        if !has_new_targets && candidates == self.candidates {
            return false;
        }
        self.candidates = candidates;
        let mut candidates = self.candidates.iter();
        let may_own = candidates.any(|candidate| candidate.incarnation == self.own);
        if !may_own {
            let owned_before = std::mem::take(&mut self.keys);
            return !owned_before.is_empty();
        }
        let mut keys = Vec::new();
        for target in targets {
            if self.owner_of(target) == Some(self.own) {
                keys.push(target.key);
            }
        }
        keys.sort_unstable();
        self.keys = keys;
        true
    }

    /// The owned keys, in ascending order.
    pub fn keys(&self) -> &[u32] {
        &self.keys
    }

    /// Whether the entry owns the target with this key.
    pub fn contains(&self, key: u32) -> bool {
        self.keys.binary_search(&key).is_ok()
    }

    /// Number of hashes computed so far.
    pub fn hashed(&self) -> u64 {
        self.hashed
    }

    /// The owner of a target: the candidate with the lowest hash of target key and incarnation, among the candidates
    /// of the target's failure domain if there are any. Candidates that don't reach the target's service are left out,
    /// unless no candidate reaches it.
    fn owner_of(&mut self, target: UnassignedTarget<'_>) -> Option<Incarnation> {
        let domain = target.failure_domain;
        let rank = |candidate: &OwnerCandidate| {
            let is_near = candidate.failure_domain == *domain;
            (candidate.reaches(target.service), is_near)
        };
        let best_rank = self.candidates.iter().map(rank).max()?;
        let eligible = self
            .candidates
            .iter()
            .filter(|candidate| rank(candidate) == best_rank);
        let mut hashed = 0;
        let owner = eligible.min_by_key(|candidate| {
            hashed += 1;
            let incarnation = candidate.incarnation.to_bytes();
            Digest::of_parts(&[&target.key.to_le_bytes(), &incarnation]).short()
        });
        self.hashed += hashed;
        owner.map(|candidate| candidate.incarnation)
    }
}
