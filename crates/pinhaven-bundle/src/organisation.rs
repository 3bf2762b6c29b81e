//! Organisations whose callers share the entries and targets: their keys, priority and rate limit.
//!
//! The limit holds for the requests of an organisation at all entries together. The differences between two versions
//! name only the organisations that changed, because a new version often adds or removes a single key.

use pinhaven_types::KeyDigest;
use pinhaven_types::OrganisationName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// An organisation whose callers authenticate with its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation, unique in the bundle. Targets receive it with each request.
    pub name: OrganisationName,
    /// Digests of the keys that callers of the organisation use; without any, none of its requests is accepted.
    #[serde(default)]
    pub key_digests: Vec<KeyDigest>,
    /// Importance from 0 (refused first) to 3 (refused last), which takes precedence over the priority of routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Limit of the organisation's requests at all entries together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
}

impl Organisation {
    /// Creates an organisation without keys, priority and limit.
    pub fn new(name: OrganisationName) -> Self {
        Self {
            name,
            key_digests: Vec::new(),
            priority: None,
            limit: None,
        }
    }
}

/// Limit of a rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub requests_per_s: f64,
    /// Number of requests beyond the rate that may come at once after a pause.
    pub burst: f64,
}

/// Difference between the organisations of two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDelta {
    /// Organisations that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<Organisation>,
    /// Names of the organisations that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<OrganisationName>,
}

type ByName = BTreeMap<OrganisationName, Organisation>;

impl OrganisationDelta {
    /// Computes the difference; `None` if the newer version has no list of organisations.
    pub(crate) fn between(
        from: Option<&Vec<Organisation>>,
        to: Option<&Vec<Organisation>>,
    ) -> Option<Self> {
        let old = by_name(from);
        let new = by_name(Some(to?));
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let removed = removed.cloned().collect();
        let changed = new
            .into_iter()
            .filter(|(name, organisation)| old.get(name) != Some(organisation))
            .map(|(_, organisation)| organisation);
        Some(Self {
            changed: changed.collect(),
            removed,
        })
    }

    /// Number of organisations in the difference.
    pub(crate) fn size(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Names of the organisations that are new or changed, and of those that were removed.
    pub(crate) fn names(&self) -> (impl Iterator<Item = &OrganisationName>, &[OrganisationName]) {
        let changed = self.changed.iter().map(|organisation| &organisation.name);
        (changed, &self.removed)
    }

    /// Applies the difference to the organisations in `held`.
    pub(crate) fn apply(self, held: Option<Vec<Organisation>>) -> Vec<Organisation> {
        let mut organisations = by_name(held.as_ref());
        for name in &self.removed {
            organisations.remove(name);
        }
        let changed = self.changed.into_iter();
        organisations.extend(changed.map(|organisation| (organisation.name.clone(), organisation)));
        organisations.into_values().collect()
    }
}

fn by_name(organisations: Option<&Vec<Organisation>>) -> ByName {
    organisations
        .into_iter()
        .flatten()
        .map(|organisation| (organisation.name.clone(), organisation.clone()))
        .collect()
}
