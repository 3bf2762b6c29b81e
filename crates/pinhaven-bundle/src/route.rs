//! Routes: which requests of a host go to which services, with their time limits and priority.
//!
//! A request takes the route of its host with the longest `path_prefix` that begins its path. A route divides its
//! requests among its parts in proportion to their weights, whatever capacity the parts have: a request that exceeds
//! the capacity of its part is refused, never moved to another part.

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

/// A route: the requests of a host under one path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathRoute {
    /// Name of the route, for logs and metrics.
    pub name: RouteName,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Whether requests of the route may be repeated.
    pub kind: RequestKind,
    /// Maximum time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: time within which an answer has its full value, in milliseconds.
    pub aim_ms: u64,
    /// Importance from 0 (refused first) to 3 (refused last).
    pub priority: u8,
    /// Maximum number of targets to which one request may be sent.
    pub attempts_most: u32,
    /// Services that share the requests of the route, with their weights; at least one.
    pub split: Vec<SplitPart>,
    /// Whether requests need no key although the bundle lists organisations.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    /// Service that receives the part.
    pub service: ServiceName,
    /// Weight of the part relative to the other parts of the route.
    pub weight: f64,
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request may be executed at most once.
    NonIdempotent,
    /// The request may be executed at most once, and its body is large.
    Upload,
}

impl RequestKind {
    /// Whether a request may be executed more than once.
    pub fn is_repeatable(self) -> bool {
        self == Self::Idempotent
    }
}

/// Limits on the size of requests and on the time that connections are idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a caller's connection, in milliseconds.
    pub idle_timeout_ms: u64,
}
