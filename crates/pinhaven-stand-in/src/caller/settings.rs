//! How a stand-in caller behaves.

use std::net::SocketAddr;

/// What a caller does.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Entries to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Targets to call without an entry; entries are used when it is empty.
    pub direct: Vec<SocketAddr>,
    /// Name of the service.
    pub service: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Failure domain of the caller.
    pub domain: String,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Time during which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Time at the start whose requests are not counted, in milliseconds.
    pub warm_up_ms: u64,
    /// Share of requests that may not be repeated, in percent.
    pub once_percent: u8,
    /// Whether once-only requests name a home.
    pub names_home: bool,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Bytes in the body of a once-only request.
    pub body_bytes: usize,
    /// Seed of its randomness.
    pub seed: u64,
}

impl CallerSettings {
    /// A caller of a service that sends `rate_per_s` for `duration_ms`.
    pub fn new(seeds: Vec<SocketAddr>, service: &str, rate_per_s: f64, duration_ms: u64) -> Self {
        Self {
            seeds,
            direct: Vec::new(),
            service: service.to_owned(),
            host: service.to_owned(),
            domain: "none".to_owned(),
            rate_per_s,
            duration_ms,
            warm_up_ms: 0,
            once_percent: 0,
            names_home: true,
            deadline_ms: 1_000,
            body_bytes: 64,
            seed: 1,
        }
    }
}
