//! Typed ids, sizes and rates, and the counted promises that every crate shares.
//!
//! An id that is only a string can be handed to the wrong parameter without the compiler noticing.
//! Each id here is a type of its own, printed by `Display` and read back by `FromStr`.

mod digest;
mod incarnation;
mod name;
mod promise;
mod quantity;
mod request_fingerprint;
mod target_incarnation;

pub use digest::Digest;
pub use incarnation::Incarnation;
pub use name::FailureDomain;
pub use name::InstanceId;
pub use name::OperationId;
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

/// Advice that goes with an error.
pub trait Help {
    /// What the reader can do about the error.
    fn help(&self) -> &'static str;
}
