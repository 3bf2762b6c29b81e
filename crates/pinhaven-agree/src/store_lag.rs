//! Detection of a store that no longer delivers new versions to an entry.
//!
//! The connection of a call that waits for changes can fail without an error. A version that peers have
//! and the store has not delivered reveals such a failure.

use pinhaven_types::BundleVersion;

/// Newest version from the store and newest version expected from it.
#[derive(Debug, Default)]
pub struct StoreLag {
    from_store: BundleVersion,
    expected: BundleVersion,
}

impl StoreLag {
    /// Records a version that the store itself delivered.
    pub fn record_store_version(&mut self, version: BundleVersion) {
        self.from_store = self.from_store.max(version);
    }

    /// Records that a peer has a version. Returns whether the caller must check that the store delivers
    /// the version, which is true once per version, however many peers advertise the version.
    pub fn expect_version(&mut self, version: BundleVersion) -> bool {
        let is_new = version > self.expected && self.lacks(version);
        self.expected = self.expected.max(version);
        is_new
    }

    /// Whether the store has delivered neither `version` nor a newer one.
    pub fn lacks(&self, version: BundleVersion) -> bool {
        self.from_store < version
    }
}
