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

    /// Describes the organisation without its key digests.
    fn facts(&self) -> String {
        let keys = self.key_digests.len();
        format!(
            "{keys} keys, {}, {}",
            self.priority_fact(),
            self.limit_fact()
        )
    }

    fn priority_fact(&self) -> String {
        match self.priority {
            Some(priority) => format!("priority {priority}"),
            None => "priority of the route".to_owned(),
        }
    }

    fn limit_fact(&self) -> String {
        match self.limit {
            Some(RateLimit {
                requests_per_s,
                burst,
            }) => format!("limit {requests_per_s}/s, burst {burst}"),
            None => "no limit".to_owned(),
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

impl OrganisationDelta {
    /// Computes the difference; `None` if the newer version has no list of organisations.
    pub(crate) fn between(
        from: Option<&[Organisation]>,
        to: Option<&[Organisation]>,
    ) -> Option<Self> {
        let to = to?;
        let old = by_name(from.unwrap_or_default());
        let new = by_name(to);
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let changed = to
            .iter()
            .filter(|organisation| old.get(&organisation.name) != Some(organisation));
        Some(Self {
            changed: changed.cloned().collect(),
            removed: removed.copied().cloned().collect(),
        })
    }

    /// Number of organisations in the difference.
    pub(crate) fn size(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Describes the difference from the organisations in `held`, a line for each organisation, without key digests.
    pub(crate) fn describe(&self, held: &[Organisation]) -> impl Iterator<Item = String> {
        let held = by_name(held);
        let removed = self.removed.iter();
        let removed = removed.map(|name| format!("- organisation {name}"));
        let changed = self.changed.iter().map(move |organisation| {
            let name = &organisation.name;
            match held.get(name) {
                None => format!("+ organisation {name} {}", organisation.facts()),
                Some(old) => format!("~ organisation {name} {}", changed_facts(old, organisation)),
            }
        });
        removed.chain(changed)
    }

    /// Applies the difference to the organisations in `held`. They come out sorted by name, as in a canonical bundle.
    pub(crate) fn apply(self, held: Option<Vec<Organisation>>) -> Vec<Organisation> {
        if self.changed.is_empty() && self.removed.is_empty() {
            return held.unwrap_or_default();
        }
        let named = |organisation: Organisation| (organisation.name.clone(), organisation);
        let held = held.into_iter().flatten();
        let mut organisations: BTreeMap<OrganisationName, Organisation> = held.map(named).collect();
        for name in &self.removed {
            organisations.remove(name);
        }
        organisations.extend(self.changed.into_iter().map(named));
        organisations.into_values().collect()
    }
}

/// Describes what changed of an organisation.
fn changed_facts(old: &Organisation, new: &Organisation) -> String {
    let count_missing = |listed: &Organisation, other: &Organisation| {
        let missing = listed.key_digests.iter();
        missing
            .filter(|digest| !other.key_digests.contains(digest))
            .count()
    };
    let mut facts = Vec::new();
    let (added, removed) = (count_missing(new, old), count_missing(old, new));
    if (added, removed) != (0, 0) {
        facts.push(format!("+{added} -{removed} keys"));
    }
    if old.priority != new.priority {
        facts.push(new.priority_fact());
    }
    if old.limit != new.limit {
        facts.push(new.limit_fact());
    }
    facts.join(", ")
}

fn by_name(organisations: &[Organisation]) -> BTreeMap<&OrganisationName, &Organisation> {
    let named = organisations.iter();
    named
        .map(|organisation| (&organisation.name, organisation))
        .collect()
}
