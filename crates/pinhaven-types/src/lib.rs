//! Typed ids, sizes and rates, and the promises (invariants counted at run time) that all crates share.
//!
//! Each id is a separate type, so that the compiler rejects an id that is passed as the wrong parameter. `Display`
//! writes an id and `FromStr` parses it.

mod api_key;
mod crossing_cost;
mod digest;
mod incarnation;
mod name;
mod promise;
mod quantity;
mod request_fingerprint;
mod target_incarnation;

pub use api_key::ApiKey;
pub use api_key::KeyDigest;
pub use api_key::ParseKeyDigestError;
pub use api_key::ParseKeyError;
pub use crossing_cost::CrossingCost;
pub use digest::Digest;
pub use incarnation::Incarnation;
pub use name::FailureDomain;
pub use name::InstanceId;
pub use name::OperationId;
pub use name::OrganisationName;
pub use name::ParseNameError;
pub use name::Region;
pub use name::RouteName;
pub use name::ServiceName;
pub use name::SignerName;
pub use name::TargetId;
pub use promise::Promise;
pub use promise::promise_check_count;
pub use promise::promise_violation_count;
pub use promise::promise_violations;
pub use promise::require_promise;
pub use quantity::BundleVersion;
pub use quantity::Microseconds;
pub use quantity::ParseQuantityError;
pub use quantity::Percent;
pub use quantity::RequestRate;
pub use quantity::TargetAddress;
pub use request_fingerprint::RequestFingerprint;
pub use target_incarnation::TargetIncarnation;

/// Advice on how to resolve an error.
pub trait Help {
    /// Text that says how the reader can resolve the error.
    fn help(&self) -> &'static str;
}
