//! Targets as the store lists them, and a list of them.

use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A target as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Its id.
    pub id: TargetId,
    /// Its run, if it tells its start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<TargetIncarnation>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: TargetAddress,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it was slow from its start when it was first listed, in milliseconds.
    pub warm_up_ms: u64,
}

/// All targets at one moment of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// The store's revision at that moment; a higher one is newer.
    pub revision: u64,
    /// The targets, by id.
    pub targets: BTreeMap<TargetId, ListedTarget>,
    /// Ids under which the store holds entries of other writers, which name no target.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub foreign_ids: BTreeSet<TargetId>,
}

impl TargetList {
    /// A list read at a revision.
    pub fn new(revision: u64, targets: impl IntoIterator<Item = ListedTarget>) -> Self {
        Self {
            revision,
            targets: targets
                .into_iter()
                .map(|target| (target.id.clone(), target))
                .collect(),
            foreign_ids: BTreeSet::new(),
        }
    }

    /// The same with ids under which other writers' entries stand.
    pub fn with_foreign_ids(mut self, ids: impl IntoIterator<Item = TargetId>) -> Self {
        self.foreign_ids.extend(ids);
        self
    }

    /// Digest of what matters to routing. Two lists with the same digest lead to the same choices.
    pub fn digest(&self) -> u64 {
        let targets = self.targets.values().map(|target| {
            let mut part = format!(
                "{} {} {} {} {}",
                target.id, target.service, target.address, target.slots, target.is_leaving
            );
            if let Some(incarnation) = target.incarnation {
                part.push_str(&format!(" {incarnation}"));
            }
            part
        });
        // What another entry keeps as lapsed ends with these, so it has to hear of them.
        let foreign = self.foreign_ids.iter().map(ToString::to_string);
        let parts: Vec<String> = targets.chain(foreign).collect();
        let parts: Vec<&[u8]> = parts.iter().map(String::as_bytes).collect();
        Digest::of_parts(&parts).short()
    }
}
