//! Targets and lists of targets as the store returns them.

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

/// A target as listed in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Id of the target.
    pub id: TargetId,
    /// Run of the target, if the target reports its start time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<TargetIncarnation>,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address at which the target listens.
    pub address: TargetAddress,
    /// Failure domain in which the target runs.
    pub failure_domain: FailureDomain,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts no new work.
    pub is_leaving: bool,
    /// Remaining warm-up time when the target was first listed, in milliseconds.
    pub warm_up_ms: u64,
}

/// All targets at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// Revision of the store; a higher revision is newer.
    pub revision: u64,
    /// The targets, by id.
    pub targets: BTreeMap<TargetId, ListedTarget>,
    /// Ids under which the store holds data of other writers that describes no target.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub foreign_ids: BTreeSet<TargetId>,
}

impl TargetList {
    /// A list that was read at a revision of the store.
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

    /// Adds ids whose store entries belong to other writers.
    pub fn with_foreign_ids(mut self, ids: impl IntoIterator<Item = TargetId>) -> Self {
        self.foreign_ids.extend(ids);
        self
    }

    /// Digest of the properties that routing uses. Lists with the same digest lead to the same choices.
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
        // A peer retains a target whose store entry has lapsed, but removes the target at once if its id is foreign.
        // Peers must therefore notice a change of these ids.
        let foreign = self.foreign_ids.iter().map(ToString::to_string);
        let parts: Vec<String> = targets.chain(foreign).collect();
        let parts: Vec<&[u8]> = parts.iter().map(String::as_bytes).collect();
        Digest::of_parts(&parts).short()
    }
}
