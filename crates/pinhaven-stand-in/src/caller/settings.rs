//! Settings of a stand-in caller.

use std::net::SocketAddr;

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Addresses of the entries that the caller resolves the service with at first.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of targets to call without an entry; if empty, requests go through entries.
    pub direct: Vec<SocketAddr>,
    /// Name of the service.
    pub service: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Failure domain of the caller.
    pub domain: String,
    /// Mean request rate, in requests per second.
    pub rate_per_s: f64,
    /// Duration of the sending phase, in milliseconds.
    pub duration_ms: u64,
    /// Initial period whose requests are excluded from the report, in milliseconds.
    pub warm_up_ms: u64,
    /// Share of once-only requests, in percent.
    pub once_percent: u8,
    /// Whether once-only requests carry the `pinhaven-home` header.
    pub names_home: bool,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body of a once-only request, in bytes.
    pub body_bytes: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl CallerSettings {
    /// Settings of a caller that sends `rate_per_s` requests per second to `service` for `duration_ms`.
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
