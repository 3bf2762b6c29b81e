//! The last differences between versions, kept for peers.

use pinhaven_bundle::BundleDelta;
use pinhaven_types::BundleVersion;
use std::collections::VecDeque;

/// Differences that are kept for peers.
const DELTAS_KEPT: usize = 64;
/// Services and routes that they may name together, so that a series of large changes does not fill the memory. A
/// route takes some 300 bytes.
const CHANGES_KEPT: usize = 8_192;

/// The last differences, each leading to the start of the next, the last to the version in force.
#[derive(Default)]
pub(crate) struct RecentDeltas(VecDeque<BundleDelta>);

impl RecentDeltas {
    /// Adds the difference that leads to the version in force now.
    pub(crate) fn push(&mut self, delta: BundleDelta) {
        if self.0.back().is_some_and(|last| last.to != delta.from) {
            self.0.clear();
        }
        self.0.push_back(delta);
        while self.0.len() > DELTAS_KEPT || self.changes() > CHANGES_KEPT {
            self.0.pop_front();
        }
    }

    fn changes(&self) -> usize {
        self.0.iter().map(BundleDelta::size).sum()
    }

    /// The differences that lead from a version to the one in force.
    pub(crate) fn since(&self, version: BundleVersion) -> Option<Vec<&BundleDelta>> {
        let first = self.0.iter().position(|delta| delta.from == version)?;
        Some(self.0.iter().skip(first).collect())
    }
}
