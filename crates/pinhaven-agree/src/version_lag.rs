//! How far an entry is behind the newest version that it knows to exist, and why.
//!
//! An entry learns of a version from the store or from a peer's word before it has its body. Until that body
//! is in force the entry is behind. What its last try to get it met is kept, so that logs and metrics can tell
//! an entry that never heard of a version from one that can't get it.

use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

/// Missing versions that are remembered with the time at which they were heard of.
const MISSING_MOST: usize = 64;

/// What an entry knows of versions, in force or not.
#[derive(Debug, Clone, Default)]
pub struct VersionLag {
    in_force: BundleVersion,
    /// Versions that are known and not in force, and when each was first heard of.
    missing: BTreeMap<BundleVersion, Microseconds>,
    known: BundleVersion,
    failed_tries: u32,
    last_failure: Option<String>,
}

impl VersionLag {
    /// Takes in that a version exists.
    pub fn record_known(&mut self, version: BundleVersion, now: Microseconds) {
        self.known = self.known.max(version);
        if version <= self.in_force || self.missing.contains_key(&version) {
            return;
        }
        if self.missing.len() >= MISSING_MOST {
            // The oldest says how long this entry has been behind.
            self.missing.pop_last();
        }
        self.missing.insert(version, now);
    }

    /// Takes in that a version is in force here.
    pub fn put_in_force(&mut self, version: BundleVersion) {
        self.in_force = self.in_force.max(version);
        self.known = self.known.max(version);
        let in_force = self.in_force;
        self.missing.retain(|missing, _| *missing > in_force);
        self.failed_tries = 0;
        self.last_failure = None;
    }

    /// Takes in that a try to get a newer version failed. Returns whether to tell it: the first, and then
    /// each time their number has doubled, so that an entry that can't get on does not fill its log.
    pub fn record_failure(&mut self, why: String) -> bool {
        self.failed_tries = self.failed_tries.saturating_add(1);
        self.last_failure = Some(why);
        self.failed_tries.is_power_of_two()
    }

    /// The newest version that is known to exist.
    pub fn known(&self) -> BundleVersion {
        self.known
    }

    /// How long this entry has known of a version that it does not have; `None` when it has the newest.
    pub fn behind_for(&self, now: Microseconds) -> Option<Microseconds> {
        let first = self.missing.values().min()?;
        Some(now.saturating_sub(*first))
    }

    /// Tries that failed since a version was last put in force.
    pub fn failed_tries(&self) -> u32 {
        self.failed_tries
    }

    /// Why the last of them failed.
    pub fn last_failure(&self) -> Option<&str> {
        self.last_failure.as_deref()
    }
}
