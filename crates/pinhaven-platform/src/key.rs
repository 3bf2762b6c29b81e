//! Keys of the rows and objects that pinhaven stores at the platform.

use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;

/// Key of the row with the newest bundle version.
pub const BUNDLE_HEAD: &str = "pinhaven/bundle/head";
/// Key prefix of the rows of entry instances.
pub const ENTRY_PREFIX: &str = "pinhaven/entries/";
/// Key prefix of the rows of measuring seats.
pub const SEAT_PREFIX: &str = "pinhaven/seats/";
/// Key prefix of the rows of once-only claims.
pub const CLAIM_PREFIX: &str = "pinhaven/claims/";
/// Key prefix of the rows of target instances, which the platform writes.
pub const TARGET_PREFIX: &str = "platform/instances/";

/// Key of the row of a version in the history.
pub fn bundle_history(version: BundleVersion) -> String {
    format!("pinhaven/bundle/history/{:012}", version.number())
}

/// Key of the object with the canonical body of a bundle.
pub fn bundle_object(digest: Digest) -> String {
    format!("pinhaven/bundle/{digest}")
}

/// Key of the object with the difference from the previous version to `version`. The key includes the digest of the
/// body, so that operators who race to publish the same version don't write the same object.
pub fn bundle_delta_object(version: BundleVersion, digest: Digest) -> String {
    format!("pinhaven/bundle/delta/{version}-{digest}")
}
