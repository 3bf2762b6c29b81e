//! The settings of an entry instance.
//!
//! An entry reads its settings once, at its start. [`read_settings`] checks all of them and returns every fault; the
//! entry starts nothing if there is any fault.

use pinhaven_bundle::TrustedSigner;
use pinhaven_document::Document;
use pinhaven_document::Fault;
use pinhaven_types::CrossingCost;
use pinhaven_types::FailureDomain;
use pinhaven_types::InstanceId;
use pinhaven_types::Region;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of worker threads.
const WORKER_THREADS_MAX: usize = 64;

/// Settings of one entry instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance_id: InstanceId,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain, for deployments with several regions.
    #[serde(default)]
    pub region: Option<Region>,
    /// Resources of the instance; callers are steered to the instances with the most resources.
    #[serde(default)]
    pub resources: ResourceSettings,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which other entries connect.
    pub peer_address: SocketAddr,
    /// Address at which other entries reach this entry, if it differs from the address at which the entry listens.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the platform's table service; not used with `discovery`.
    #[serde(default = "no_address")]
    pub table_address: SocketAddr,
    /// Address of the platform's object store; not used with `discovery`.
    #[serde(default = "no_address")]
    pub object_address: SocketAddr,
    /// Set if the configuration, the targets and the peers are all discovered through one store.
    #[serde(default)]
    pub discovery: Option<DiscoverySettings>,
    /// Address to which metrics are sent as StatsD datagrams; without an address no metrics are sent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Persons whose signatures on bundles are accepted. Empty with `discovery`, where the store accepts writes from
    /// operators only.
    #[serde(default)]
    pub trusted_signers: Vec<TrustedSigner>,
    /// Peer addresses of other entries to contact while the platform is down.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Number of threads that serve requests.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Maximum total size of the bodies held in memory, in bytes.
    #[serde(default = "default_body_memory_bytes")]
    pub body_memory_bytes: u64,
    /// Maximum number of requests in flight.
    #[serde(default = "default_requests_most")]
    pub requests_most: u32,
    /// Maximum number of records of once-only requests held in memory.
    #[serde(default = "default_ledger_records")]
    pub ledger_records: usize,
    /// Duration of an epoch of once-only records, in milliseconds.
    #[serde(default = "default_ledger_epoch_ms")]
    pub ledger_epoch_ms: u64,
    /// Maximum number of claims that this entry writes a second, for once-only requests without a home.
    #[serde(default = "default_claim_writes_per_second")]
    pub claim_writes_per_second: u32,
    /// Deadline of one call to the platform, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// Interval between polls of the head of the bundle history, in milliseconds.
    #[serde(default = "default_head_poll_ms")]
    pub head_poll_ms: u64,
    /// Interval at which an entry exchanges state with one of its peers, in milliseconds.
    #[serde(default = "default_gossip_ms")]
    pub gossip_ms: u64,
    /// Age of the process, in milliseconds, up to which requests wait for the state needed to serve them.
    #[serde(default = "default_start_wait_ms")]
    pub start_wait_ms: u64,
    /// Time after which an idle or half-sent caller connection is closed, in milliseconds.
    #[serde(default = "default_caller_idle_ms")]
    pub caller_idle_ms: u64,
    /// Maximum rest that a target may request, in milliseconds; a longer rest is shortened to this time.
    #[serde(default = "default_target_rest_most_ms")]
    pub target_rest_most_ms: u64,
    /// Whether callers may use HTTP/2; a connection takes less memory without HTTP/2.
    #[serde(default = "default_caller_http2")]
    pub caller_http2: bool,
    /// Maximum time that a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_stop_most_ms")]
    pub stop_most_ms: u64,
    /// How expensive it is to send a request to a target of another failure domain, as a factor from 0 (only the delay
    /// of the network) to 10. Without it, targets of other domains count as slower by a tenth.
    #[serde(default)]
    pub crossing_cost: Option<CrossingCost>,
    /// Whether answers to callers name the entries of the caller's failure domain first, and others only as far as
    /// needed; all entries must have the same value.
    #[serde(default)]
    pub near_entries_first: bool,
    /// Format, levels and sampling of logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Discovery of configuration, targets and peers through one store, and the limits that the deployment sets.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address that serves readiness checks.
    pub ready_address: SocketAddr,
    /// Address at which callers ask which entries to use.
    pub directory_address: SocketAddr,
    /// Maximum time that callers may cache an address answer, in milliseconds.
    pub address_keep_most_ms: u64,
    /// Maximum number of probes a second that all entries together may send to one target.
    pub probes_per_second_most: u32,
    /// Maximum number of added attempts of all entries together, as a share of the requests of a service.
    pub added_attempts_share: f64,
    /// Number of added attempts allowed in each window beyond `added_attempts_share`.
    pub added_attempts_extra: f64,
    /// Time between the signal to stop and the end of the process, in milliseconds.
    pub stop_grace_ms: u64,
}

/// Resources of an instance.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResourceSettings {
    /// Number of processor cores that the entry may use, possibly fractional.
    pub processor_cores: f64,
    /// Speed of these cores relative to a usual core (1.0).
    pub processor_speed: f64,
    /// Capacity of the network link, in megabits a second.
    pub link_mbps: f64,
}

impl Default for ResourceSettings {
    fn default() -> Self {
        Self {
            processor_cores: default_worker_threads() as f64,
            processor_speed: 1.0,
            link_mbps: 1_000.0,
        }
    }
}

/// Format, levels and sampling of logs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of a log line.
    pub format: LogFormat,
    /// Log level of each part of the program, by prefix of its log target.
    pub levels: BTreeMap<String, String>,
    /// Sampling of requests without an anomaly: one in this many is recorded, and every entry samples the same
    /// requests; 0 records none. Requests with an anomaly are always recorded.
    pub plain_one_in: u64,
    /// Maximum size of the lines that wait to be written, in bytes; beyond it the least important lines are dropped.
    pub ring_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            levels: BTreeMap::new(),
            plain_one_in: 100,
            ring_bytes: 256 * 1024,
        }
    }
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs, one object a line.
    Json,
}

/// Decodes and checks settings.
///
/// # Errors
///
/// Returns all faults found, at least one.
pub fn read_settings(document: &Document) -> Result<Settings, Vec<Fault>> {
    let settings: Settings = document.decode().map_err(|fault| vec![fault])?;
    let faults = check(&settings, document);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

fn check(settings: &Settings, document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut require = |holds: bool, field: &str, message: &str, help: &str| {
        if !holds {
            faults.push(document.fault(field, message, help));
        }
    };
    let is_discovered = settings.discovery.is_some();
    require(
        is_discovered || settings.table_address != no_address(),
        "table_address",
        "the platform can't be reached",
        "write the address of the table service",
    );
    require(
        is_discovered || settings.object_address != no_address(),
        "object_address",
        "the platform can't be reached",
        "write the address of the object store",
    );
    if let Some(discovery) = &settings.discovery {
        require(
            (0.0..=1.0).contains(&discovery.added_attempts_share)
                && discovery.added_attempts_extra >= 0.0,
            "discovery.added_attempts_share",
            "this is no share of the requests",
            "write 0 to 1, and added_attempts_extra from 0 up",
        );
        require(
            discovery.stop_grace_ms > 0 && discovery.address_keep_most_ms > 0,
            "discovery.stop_grace_ms",
            "times must be above zero",
            "write the time in milliseconds, and address_keep_most_ms likewise",
        );
    }
    require(
        is_discovered || !settings.trusted_signers.is_empty(),
        "trusted_signers",
        "no bundle could ever be accepted",
        "name one signer or more with a public key",
    );
    require(
        (1..=WORKER_THREADS_MAX).contains(&settings.worker_threads),
        "worker_threads",
        "there can't be this many threads",
        "write 1 to 64",
    );
    require(
        settings.caller_address.port() == 0 || settings.caller_address != settings.peer_address,
        "peer_address",
        "callers and peers can't share an address",
        "write another port, or 0 for one that the system picks",
    );
    let resources = &settings.resources;
    let amounts = [
        ("resources.processor_cores", resources.processor_cores),
        ("resources.processor_speed", resources.processor_speed),
        ("resources.link_mbps", resources.link_mbps),
    ];
    for (field, amount) in amounts {
        require(
            amount.is_finite() && amount > 0.0,
            field,
            "an instance has some of it",
            "write a number above zero",
        );
    }
    let counts = [
        ("requests_most", u64::from(settings.requests_most)),
        ("body_memory_bytes", settings.body_memory_bytes),
        ("ledger_records", settings.ledger_records as u64),
        ("ledger_epoch_ms", settings.ledger_epoch_ms),
        ("platform_timeout_ms", settings.platform_timeout_ms),
        ("head_poll_ms", settings.head_poll_ms),
        ("gossip_ms", settings.gossip_ms),
        ("caller_idle_ms", settings.caller_idle_ms),
        ("stop_most_ms", settings.stop_most_ms),
        ("target_rest_most_ms", settings.target_rest_most_ms),
    ];
    for (field, count) in counts {
        require(count > 0, field, "it must be above zero", "write 1 or more");
    }
    for (part, level) in &settings.log.levels {
        require(
            ["off", "error", "warn", "info", "debug", "trace"].contains(&level.as_str()),
            &format!("log.levels.{part}"),
            "there is no such level",
            "write off, error, warn, info, debug or trace",
        );
    }
    faults
}

/// Placeholder for an address that is not set.
const fn no_address() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0)
}

const fn default_worker_threads() -> usize {
    2
}

const fn default_body_memory_bytes() -> u64 {
    64 * 1024 * 1024
}

const fn default_requests_most() -> u32 {
    10_000
}

const fn default_ledger_records() -> usize {
    100_000
}

const fn default_ledger_epoch_ms() -> u64 {
    60_000
}

const fn default_claim_writes_per_second() -> u32 {
    16
}

const fn default_platform_timeout_ms() -> u64 {
    1_000
}

const fn default_head_poll_ms() -> u64 {
    1_000
}

const fn default_gossip_ms() -> u64 {
    1_000
}

/// Entries that start at the same time have all required state within 0.2 to 0.45 s.
const fn default_start_wait_ms() -> u64 {
    500
}

const fn default_caller_idle_ms() -> u64 {
    30_000
}

/// Targets request rests of seconds. A target that requests an hour by mistake receives work again after 5 min.
const fn default_target_rest_most_ms() -> u64 {
    300_000
}

const fn default_caller_http2() -> bool {
    true
}

const fn default_stop_most_ms() -> u64 {
    60_000
}
