//! The bundle: which services exist, which targets serve them and what a request may cost.
//!
//! Operators write a bundle as JSON with comments. [`check`] names every fault at once. A checked
//! bundle has one canonical form, so that a digest and a signature over it mean the same to every
//! reader, also to one that put the body together from an older version and a difference.

mod canonical;
mod check;
mod difference;
mod route;
mod schema;
mod sign;

pub use canonical::CanonicalBundle;
pub use check::check;
pub use check::read_bundle;
pub use difference::BundleDelta;
pub use difference::DeltaError;
pub use difference::describe_changes;
pub use route::HostRoutes;
pub use route::PathRoute;
pub use route::RequestKind;
pub use route::RequestLimits;
pub use route::SplitPart;
pub use schema::Bundle;
pub use schema::Measuring;
pub use schema::Policy;
pub use schema::Route;
pub use schema::Service;
pub use schema::Target;
pub use schema::TargetState;
pub use sign::BundleHead;
pub use sign::PrivateKey;
pub use sign::PublicKey;
pub use sign::SignError;
pub use sign::SignedBundle;
pub use sign::TrustedSigner;
pub use sign::verify_head;
