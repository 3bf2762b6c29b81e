//! How far an entry is behind the newest version that it knows to exist, and why.
//!
//! An entry learns of a version from the store or from a peer before it has the body of the version.
//! The entry is behind until that body is in force. The last failure to fetch the body is recorded, so
//! that logs and metrics distinguish an entry that does not know of a version from an entry that cannot
//! fetch it.

use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

/// Maximum number of missing versions that are remembered with the time at which this entry learned of
/// them.
const MISSING_MAX: usize = 64;

/// Versions that an entry knows of, in force or not.
#[derive(Debug, Clone, Default)]
pub struct VersionLag {
    in_force: BundleVersion,
    /// Versions that are known but not in force, and the time at which this entry learned of each.
    missing: BTreeMap<BundleVersion, Microseconds>,
    known: BundleVersion,
    failed_tries: u32,
    last_failure: Option<String>,
}

impl VersionLag {
    /// Records that a version exists.
    pub fn record_known(&mut self, version: BundleVersion, now: Microseconds) {
        self.known = self.known.max(version);
        if version <= self.in_force || self.missing.contains_key(&version) {
            return;
        }
        if self.missing.len() >= MISSING_MAX {
            // The oldest missing version determines how long this entry has been behind, so the newest
            // one is removed.
            self.missing.pop_last();
        }
        self.missing.insert(version, now);
    }

    /// Records that a version is in force at this entry.
    pub fn put_in_force(&mut self, version: BundleVersion) {
        self.in_force = self.in_force.max(version);
        self.known = self.known.max(version);
        let in_force = self.in_force;
        self.missing.retain(|missing, _| *missing > in_force);
        self.failed_tries = 0;
        self.last_failure = None;
    }

    /// Records a failed attempt to fetch a newer version. Returns whether to log the failure: true for
    /// the first failure and each time the number of failures has doubled, so that repeated failures do
    /// not fill the log.
    pub fn record_failure(&mut self, reason: String) -> bool {
        self.failed_tries = self.failed_tries.saturating_add(1);
        self.last_failure = Some(reason);
        self.failed_tries.is_power_of_two()
    }

    /// The newest version known to exist.
    pub fn known(&self) -> BundleVersion {
        self.known
    }

    /// How long this entry has known of a version that it lacks; `None` when it has the newest known
    /// version.
    pub fn behind_for(&self, now: Microseconds) -> Option<Microseconds> {
        let first = self.missing.values().min()?;
        Some(now.saturating_sub(*first))
    }

    /// Number of failed attempts since a version was last put in force.
    pub fn failed_tries(&self) -> u32 {
        self.failed_tries
    }

    /// Reason of the last failed attempt.
    pub fn last_failure(&self) -> Option<&str> {
        self.last_failure.as_deref()
    }
}
