//! Names of the rows and objects that pinhaven keeps at the platform.

use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;

/// Row of the newest bundle version.
pub const BUNDLE_HEAD: &str = "pinhaven/bundle/head";
/// Start of the rows of entry instances.
pub const ENTRY_PREFIX: &str = "pinhaven/entries/";
/// Start of the rows of measuring seats.
pub const SEAT_PREFIX: &str = "pinhaven/seats/";
/// Start of the rows of once-only claims.
pub const CLAIM_PREFIX: &str = "pinhaven/claims/";
/// Start of the platform's own rows of target instances.
pub const TARGET_PREFIX: &str = "platform/instances/";

/// Row of one version in the history.
pub fn bundle_history(version: BundleVersion) -> String {
    format!("pinhaven/bundle/history/{:012}", version.number())
}

/// Object of a bundle's canonical body.
pub fn bundle_object(digest: Digest) -> String {
    format!("pinhaven/bundle/{digest}")
}

/// Object of the difference that leads from the version before to this one. It is named by the body's
/// digest too, so that operators who race for a version don't write the same object.
pub fn bundle_delta_object(version: BundleVersion, digest: Digest) -> String {
    format!("pinhaven/bundle/delta/{version}-{digest}")
}
