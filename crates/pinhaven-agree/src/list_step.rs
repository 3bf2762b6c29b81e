//! What changed from one list of targets to the next, for peers that have the one and lack the other.
//!
//! A change touches few of many targets. Who asks says which list it has, by its digest; who has the steps from there
//! on gives those, and anybody else the whole list.

use crate::listed_target::ListedTarget;
use crate::listed_target::TargetList;
use displaydoc::Display as DisplayDoc;
use pinhaven_types::TargetId;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Targets that the kept steps may name together; those of some minutes of replacing all targets of a service.
const CHANGES_KEPT: usize = 4_096;

/// A list with its digest, which takes long to find for a large one.
#[derive(Clone, Copy)]
pub(crate) struct Digested<'list> {
    pub(crate) list: &'list TargetList,
    pub(crate) digest: u64,
}

/// What turns one list into the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStep {
    /// Digest of the list that it starts from.
    from: u64,
    /// Digest of the list that it leads to.
    to: u64,
    /// Targets that are new or changed.
    changed: Vec<ListedTarget>,
    /// Targets that are gone.
    removed: Vec<TargetId>,
    /// The ids under which entries of other writers stand, if they are others now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    foreign_ids: Option<BTreeSet<TargetId>>,
}

impl ListStep {
    /// The step between two lists.
    pub(crate) fn between(from: Digested<'_>, to: Digested<'_>) -> Self {
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

    /// Targets and ids that it names.
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

/// The steps to a peer's list from one that the asker has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSteps {
    /// Revision of the list that they lead to.
    pub revision: u64,
    /// The steps, each from where the one before it leads.
    pub steps: Vec<ListStep>,
}

/// Why steps can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum ListStepError {
    /// they start from the list {from:016x}, but {held:016x} is held
    WrongStart {
        /// Digest of the list that a step starts from.
        from: u64,
        /// Digest of the list that is held.
        held: u64,
    },
    /// they lead to the list {found:016x} where {told:016x} was told
    WrongEnd {
        /// Digest of what came out.
        found: u64,
        /// Digest that was told.
        told: u64,
    },
}

impl std::error::Error for ListStepError {}

impl ListSteps {
    /// The list that the steps lead to from the one that is held, which has this digest.
    ///
    /// # Errors
    ///
    /// [`ListStepError`] when they start or end elsewhere.
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
                told: digest,
            }),
        }
    }
}

/// The last steps, each from where the one before it leads, the last to the list that is held.
#[derive(Debug, Default)]
pub(crate) struct RecentSteps(VecDeque<ListStep>);

impl RecentSteps {
    /// Adds the step that leads to the list that is held now.
    pub(crate) fn push(&mut self, step: ListStep) {
        if step.from == step.to {
            return;
        }
        if self.0.back().is_some_and(|last| last.to != step.from) {
            self.0.clear();
        }
        self.0.push_back(step);
        while self.0.iter().map(ListStep::size).sum::<usize>() > CHANGES_KEPT {
            self.0.pop_front();
        }
    }

    /// The steps from a list with this digest on; `None` when they are not all here.
    pub(crate) fn since(&self, digest: u64) -> Option<Vec<ListStep>> {
        // A list may have been the same before; the shorter way is from its last time.
        let first = self.0.iter().rposition(|step| step.from == digest)?;
        Some(self.0.iter().skip(first).cloned().collect())
    }
}
