//! Failure domains that operators have drained: their targets receive nothing until operators restore the domain.
//!
//! The operators' orders are rows in the store. A [`DrainedDomains`] is the set of all orders in force at one revision of
//! the store. Entries that read the store pass the set on, and each entry keeps the set with the highest revision. An
//! order that was withdrawn can therefore not come back with a late message, and a withdrawal that arrives before its
//! order leaves nothing to undo.
//!
//! An entry that knows no set does not know which targets it may use. A set from a peer is as good as one from the store:
//! after a loss of all entries no peer has an earlier one.

use pinhaven_types::FailureDomain;
use std::collections::BTreeSet;

/// All drained failure domains at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainedDomains {
    /// Revision of the store; a higher revision is newer.
    pub revision: u64,
    /// The drained failure domains.
    pub domains: BTreeSet<FailureDomain>,
}

impl DrainedDomains {
    /// Creates the set of a revision.
    pub fn new(revision: u64, domains: impl IntoIterator<Item = FailureDomain>) -> Self {
        Self {
            revision,
            domains: domains.into_iter().collect(),
        }
    }

    /// Carries out the orders that were given up to a later revision.
    pub fn carry_out(&mut self, revision: u64, orders: impl IntoIterator<Item = DrainOrder>) {
        for order in orders {
            match order {
                DrainOrder::Drain(domain) => self.domains.insert(domain),
                DrainOrder::Restore(domain) => self.domains.remove(&domain),
            };
        }
        self.revision = revision;
    }
}

/// An operator's order about one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainOrder {
    /// The targets of the failure domain receive nothing from now on.
    Drain(FailureDomain),
    /// The failure domain is in use again.
    Restore(FailureDomain),
}

/// How a newer set differs from the one known before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainChange {
    /// Failure domains that have been drained.
    pub drained: Vec<FailureDomain>,
    /// Failure domains that have been restored.
    pub restored: Vec<FailureDomain>,
}

/// The drained failure domains as one entry knows them.
#[derive(Debug, Default)]
pub struct KnownDrains(Option<DrainedDomains>);

impl KnownDrains {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest known set, if any.
    pub fn newest(&self) -> Option<&DrainedDomains> {
        self.0.as_ref()
    }

    /// Whether any set is known.
    pub fn is_known(&self) -> bool {
        self.0.is_some()
    }

    /// Whether a failure domain is known to be drained.
    pub fn is_drained(&self, domain: &FailureDomain) -> bool {
        let known = self.0.as_ref();
        known.is_some_and(|known| known.domains.contains(domain))
    }

    /// Records a set from the store or a peer. Returns how it changes what was known; `None` if it is not newer or names
    /// the same failure domains.
    pub fn record(&mut self, set: DrainedDomains) -> Option<DrainChange> {
        let Some(known) = &self.0 else {
            let drained = set.domains.iter().cloned().collect();
            self.0 = Some(set);
            return Some(DrainChange {
                drained,
                restored: Vec::new(),
            });
        };
        if set.revision <= known.revision {
            return None;
        }
        let change = DrainChange {
            drained: set.domains.difference(&known.domains).cloned().collect(),
            restored: known.domains.difference(&set.domains).cloned().collect(),
        };
        self.0 = Some(set);
        (change != DrainChange::default()).then_some(change)
    }
}
