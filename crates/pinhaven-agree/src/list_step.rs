//! Differences between consecutive lists of targets, for peers that have an earlier list.
//!
//! A change affects few of many targets. A peer names the list that it has by its digest. An entry that
//! has all steps since that list sends the steps; any other entry sends the whole list.

use crate::listed_target::ListedTarget;
use crate::listed_target::TargetList;
use displaydoc::Display as DisplayDoc;
use pinhaven_types::TargetId;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Maximum number of targets that the retained steps may name together. Covers some minutes in which
/// all targets of a service are replaced.
const CHANGES_MAX: usize = 4_096;

/// A list with its digest, which is expensive to compute for a large list.
#[derive(Clone, Copy)]
pub(crate) struct DigestedList<'list> {
    pub(crate) list: &'list TargetList,
    pub(crate) digest: u64,
}

/// Difference between a list and its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStep {
    /// Digest of the list that the step applies to.
    from: u64,
    /// Digest of the list that the step leads to.
    to: u64,
    /// Targets that are new or changed.
    changed: Vec<ListedTarget>,
    /// Targets that were removed.
    removed: Vec<TargetId>,
    /// Ids whose store entries belong to other writers; `None` if the set did not change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    foreign_ids: Option<BTreeSet<TargetId>>,
}

impl ListStep {
    /// The step between two lists.
    pub(crate) fn between(from: DigestedList<'_>, to: DigestedList<'_>) -> Self {
        let (from_digest, to_digest) = (from.digest, to.digest);
        let (from, to) = (from.list, to.list);
        let changed = to
            .targets
            .values()
            .filter(|target| from.targets.get(&target.id) != Some(target));
        let removed = from
            .targets
            .keys()
            .filter(|id| !to.targets.contains_key(*id));
        Self {
            from: from_digest,
            to: to_digest,
            changed: changed.cloned().collect(),
            removed: removed.cloned().collect(),
            foreign_ids: (from.foreign_ids != to.foreign_ids).then(|| to.foreign_ids.clone()),
        }
    }

    /// Number of targets and ids that the step names.
    fn size(&self) -> usize {
        let foreign_ids = self.foreign_ids.as_ref().map_or(0, BTreeSet::len);
        self.changed.len() + self.removed.len() + foreign_ids
    }

    fn apply(self, list: &mut TargetList) {
        for id in &self.removed {
            list.targets.remove(id);
        }
        let changed = self.changed.into_iter();
        let named = changed.map(|target| (target.id.clone(), target));
        list.targets.extend(named);
        if let Some(foreign_ids) = self.foreign_ids {
            list.foreign_ids = foreign_ids;
        }
    }
}

/// The steps from a list that the requesting entry has to the list of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSteps {
    /// Revision of the list that the steps lead to.
    pub revision: u64,
    /// The steps; each applies to the list that the previous one leads to.
    pub steps: Vec<ListStep>,
}

/// Why steps cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum ListStepError {
    /// the steps apply to the list {from:016x}, but the known list is {held:016x}
    WrongStart {
        /// Digest of the list that a step applies to.
        from: u64,
        /// Digest of the known list.
        held: u64,
    },
    /// the steps lead to the list {found:016x} instead of {expected:016x}
    WrongEnd {
        /// Digest of the resulting list.
        found: u64,
        /// Digest that the steps announced.
        expected: u64,
    },
}

impl std::error::Error for ListStepError {}

impl ListSteps {
    /// Applies the steps to the list `held`, which has the digest `held_digest`.
    ///
    /// # Errors
    ///
    /// [`ListStepError`] when the steps apply to another list or do not lead to the list that they
    /// announce.
    pub fn apply(self, held: &TargetList, held_digest: u64) -> Result<TargetList, ListStepError> {
        let mut digest = held_digest;
        let mut list = held.clone();
        list.revision = self.revision;
        for step in self.steps {
            if step.from != digest {
                return Err(ListStepError::WrongStart {
                    from: step.from,
                    held: digest,
                });
            }
            digest = step.to;
            step.apply(&mut list);
        }
        let found = list.digest();
        match found == digest {
            true => Ok(list),
            false => Err(ListStepError::WrongEnd {
                found,
                expected: digest,
            }),
        }
    }
}

/// The latest steps; each applies to the list that the previous one leads to, and the last one leads to
/// the current list.
#[derive(Debug, Default)]
pub(crate) struct RecentSteps(VecDeque<ListStep>);

impl RecentSteps {
    /// Adds the step that leads to the current list.
    pub(crate) fn push(&mut self, step: ListStep) {
        if step.from == step.to {
            return;
        }
        if self.0.back().is_some_and(|last| last.to != step.from) {
            self.0.clear();
        }
        self.0.push_back(step);
        while self.0.iter().map(ListStep::size).sum::<usize>() > CHANGES_MAX {
            self.0.pop_front();
        }
    }

    /// The steps from the list with `digest` to the current list; `None` when some of the steps are
    /// missing.
    pub(crate) fn since(&self, digest: u64) -> Option<Vec<ListStep>> {
        // The same list may have occurred several times; the steps from its last occurrence are the
        // shortest way.
        let first = self.0.iter().rposition(|step| step.from == digest)?;
        Some(self.0.iter().skip(first).cloned().collect())
    }
}
