//! Whether the store still tells an entry of new versions.
//!
//! A call that waits for changes may be dead without a sign of it. What shows it are versions that peers
//! have and that the store never brought.

use pinhaven_types::BundleVersion;

/// The versions that the store gave to an entry, against those that its peers have.
#[derive(Debug, Default)]
pub struct StoreLag {
    from_store: BundleVersion,
    expected: BundleVersion,
}

impl StoreLag {
    /// Takes in a version that the store itself gave.
    pub fn record_store_version(&mut self, version: BundleVersion) {
        self.from_store = self.from_store.max(version);
    }

    /// Takes in that a peer has a version. Returns whether the store has to be watched for it: once a
    /// version, however many peers tell of it and however often.
    pub fn expect_version(&mut self, version: BundleVersion) -> bool {
        let is_new = version > self.expected && self.lacks(version);
        self.expected = self.expected.max(version);
        is_new
    }

    /// Whether the store has not brought a version, nor a newer one.
    pub fn lacks(&self, version: BundleVersion) -> bool {
        self.from_store < version
    }
}
