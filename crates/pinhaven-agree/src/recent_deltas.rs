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
#[derive(Debug, Default)]
pub struct RecentDeltas(VecDeque<BundleDelta>);

impl RecentDeltas {
    /// Adds the difference that leads to the version in force now.
    pub fn push(&mut self, delta: BundleDelta) {
        if self.0.back().is_some_and(|last| last.to != delta.from) {
            self.0.clear();
        }
        self.0.push_back(delta);
        self.shorten();
    }

    /// Puts the steps that led to the version in force in place of the one difference over all of them. Peers that
    /// hold a version in between can then be given differences too, and all entries have the same ones, so
    /// that a package begun at one can be finished at another.
    pub fn refine_last(&mut self, steps: Vec<BundleDelta>) {
        let (Some(last), Some(first), Some(end)) = (self.0.back(), steps.first(), steps.last())
        else {
            return;
        };
        if last.from == first.from && last.to == end.to {
            self.0.pop_back();
            self.0.extend(steps);
            self.shorten();
        }
    }

    fn shorten(&mut self) {
        while self.0.len() > DELTAS_KEPT || self.changes() > CHANGES_KEPT {
            self.0.pop_front();
        }
    }

    fn changes(&self) -> usize {
        self.0.iter().map(BundleDelta::size).sum()
    }

    /// The differences that lead from a version to the one in force.
    pub fn since(&self, version: BundleVersion) -> Option<Vec<&BundleDelta>> {
        let first = self.0.iter().position(|delta| delta.from == version)?;
        Some(self.0.iter().skip(first).collect())
    }
}
