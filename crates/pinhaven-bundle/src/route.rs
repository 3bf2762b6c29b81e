//! Routes: which requests of a host go to which services, and what each may cost in time.
//!
//! The route of a request is the one of its host with the longest `path_prefix` that begins the path.
//! A route divides its requests among its parts in proportion to their weights, whatever the parts
//! have room for: what does not fit a part is refused, never moved to another.

use pinhaven_types::RouteName;
use pinhaven_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// The routes of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoutes {
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// The routes.
    pub paths: Vec<PathRoute>,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathRoute {
    /// Name, for logs and metrics.
    pub name: RouteName,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// The longest that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is worth all it can be, in milliseconds.
    pub aim_ms: u64,
    /// Importance from 0 (refused first) to 3 (refused last).
    pub priority: u8,
    /// Targets that one request may be sent to.
    pub attempts_most: u32,
    /// The services that share its requests; one, or several with weights.
    pub split: Vec<SplitPart>,
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the other parts'.
    pub weight: f64,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// It may run at most once, and its body is large.
    Upload,
}

impl RequestKind {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        self == Self::Idempotent
    }
}

/// What a request may bring and how long a connection may rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: u64,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// How long a head may take to come, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a caller's connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}
