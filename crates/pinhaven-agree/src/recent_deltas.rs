//! The latest deltas between versions, retained for peers.

use pinhaven_bundle::BundleDelta;
use pinhaven_types::BundleVersion;
use std::collections::VecDeque;

/// Maximum number of retained deltas.
const DELTAS_MAX: usize = 64;
/// Maximum number of services and routes that the retained deltas may name together, which bounds the
/// memory for a series of large changes. A route takes about 300 bytes.
const CHANGES_MAX: usize = 8_192;

/// The latest deltas, each leading to the start of the next, and the last to the version in force.
#[derive(Debug, Default)]
pub struct RecentDeltas(VecDeque<BundleDelta>);

impl RecentDeltas {
    /// Adds the delta that leads to the version in force.
    pub fn push(&mut self, delta: BundleDelta) {
        if self.0.back().is_some_and(|last| last.to != delta.from) {
            self.0.clear();
        }
        self.0.push_back(delta);
        self.evict_oldest();
    }

    /// Replaces the last delta by the steps that it combines. Peers that hold a version in between can
    /// then be sent deltas too, and all entries have the same deltas, so that a peer that began to
    /// fetch a package from one entry can fetch the rest from another.
    pub fn refine_last(&mut self, steps: Vec<BundleDelta>) {
        let (Some(last), Some(first), Some(end)) = (self.0.back(), steps.first(), steps.last())
        else {
            return;
        };
        if last.from == first.from && last.to == end.to {
            self.0.pop_back();
            self.0.extend(steps);
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        while self.0.len() > DELTAS_MAX || self.change_count() > CHANGES_MAX {
            self.0.pop_front();
        }
    }

    fn change_count(&self) -> usize {
        self.0.iter().map(BundleDelta::size).sum()
    }

    /// The deltas that lead from `version` to the version in force; `None` when no retained delta starts at `version`.
    pub fn since(&self, version: BundleVersion) -> Option<Vec<&BundleDelta>> {
        let first = self.0.iter().position(|delta| delta.from == version)?;
        Some(self.0.iter().skip(first).collect())
    }
}
