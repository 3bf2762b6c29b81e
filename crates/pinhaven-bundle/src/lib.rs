//! Configuration bundle: the services, their targets and routes, and the limits of requests.
//!
//! Operators write a bundle as JSON with comments. [`check`] reports every fault at once. A checked bundle has one
//! canonical form, so that every reader computes the same digest and verifies the same signature, including a reader
//! that built the body from an older version and a difference.

mod canonical;
mod check;
mod difference;
mod organisation;
mod package;
mod route;
mod route_delta;
mod schema;
mod sign;

pub use canonical::CanonicalBundle;
pub use check::check;
pub use check::read_bundle;
pub use difference::BundleDelta;
pub use difference::DeltaError;
pub use difference::describe_changes;
pub use organisation::Organisation;
pub use organisation::OrganisationDelta;
pub use organisation::RateLimit;
pub use package::BundlePackage;
pub use package::PackageContent;
pub use package::PackageError;
pub use package::UnpackedPackage;
pub use route::HostRoutes;
pub use route::PathRoute;
pub use route::RequestKind;
pub use route::RequestLimits;
pub use route::SplitPart;
pub use route_delta::RouteDelta;
pub use route_delta::sort_routes;
pub use schema::Bundle;
pub use schema::ColdLimit;
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
