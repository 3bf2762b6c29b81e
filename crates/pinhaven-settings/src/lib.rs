//! The settings of an entry instance.
//!
//! They are read once, at the start, and checked whole: [`read_settings`] returns every fault, and
//! nothing is started while there is one.

use pinhaven_bundle::TrustedSigner;
use pinhaven_document::Document;
use pinhaven_document::Fault;
use pinhaven_types::FailureDomain;
use pinhaven_types::InstanceId;
use pinhaven_types::Region;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most threads that an entry may be given.
const WORKER_THREADS_MAX: usize = 64;

/// Settings of one entry instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance_id: InstanceId,
    /// Where the instance stands.
    pub failure_domain: FailureDomain,
    /// The region that this failure domain belongs to, where there are several.
    #[serde(default)]
    pub region: Option<Region>,
    /// What the instance has; callers are steered to those that have most.
    #[serde(default)]
    pub resources: ResourceSettings,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// Where other entries reach this one, if that is another address than the one it listens at.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// The platform's table service; not used with `discovery`.
    #[serde(default = "no_address")]
    pub table_address: SocketAddr,
    /// The platform's object store; not used with `discovery`.
    #[serde(default = "no_address")]
    pub object_address: SocketAddr,
    /// Set when the configuration, the targets and the peers are all found through one store.
    #[serde(default)]
    pub discovery: Option<DiscoverySettings>,
    /// Where metrics are sent as StatsD datagrams; none are sent without it.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Persons whose sign-off counts; none with `discovery`, where the store takes only the
    /// operators' writes.
    #[serde(default)]
    pub trusted_signers: Vec<TrustedSigner>,
    /// Peer addresses of other entries to ask when the platform is down.
    #[serde(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Threads that serve requests.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Bodies held in memory at a time, in bytes.
    #[serde(default = "default_body_memory_bytes")]
    pub body_memory_bytes: u64,
    /// Requests in flight at a time.
    #[serde(default = "default_requests_most")]
    pub requests_most: u32,
    /// Records of once-only requests held at a time.
    #[serde(default = "default_ledger_records")]
    pub ledger_records: usize,
    /// How long an epoch of once-only records lasts, in milliseconds.
    #[serde(default = "default_ledger_epoch_ms")]
    pub ledger_epoch_ms: u64,
    /// Claims of once-only requests without a home that this entry writes a second.
    #[serde(default = "default_claim_writes_per_second")]
    pub claim_writes_per_second: u32,
    /// Deadline of one call to the platform, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// How often the head of the bundle history is looked at, in milliseconds.
    #[serde(default = "default_head_poll_ms")]
    pub head_poll_ms: u64,
    /// How often an entry talks to one peer, in milliseconds.
    #[serde(default = "default_gossip_ms")]
    pub gossip_ms: u64,
    /// Age of the process up to which requests wait for this entry to know what it needs, in milliseconds.
    #[serde(default = "default_start_wait_ms")]
    pub start_wait_ms: u64,
    /// How long an idle or half-sent caller connection is kept, in milliseconds.
    #[serde(default = "default_caller_idle_ms")]
    pub caller_idle_ms: u64,
    /// The longest rest that a target may ask for, in milliseconds; a longer one counts as this long.
    #[serde(default = "default_target_rest_most_ms")]
    pub target_rest_most_ms: u64,
    /// Whether callers may speak HTTP/2; without it a connection takes less memory.
    #[serde(default = "default_caller_http2")]
    pub caller_http2: bool,
    /// The longest that a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_stop_most_ms")]
    pub stop_most_ms: u64,
    /// How logs are written.
    #[serde(default)]
    pub log: LogSettings,
}

/// How an entry finds everything through one store, and what the deployment allows.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// The store.
    pub store_address: SocketAddr,
    /// Where readiness is asked for.
    pub ready_address: SocketAddr,
    /// Where callers ask which entries to use.
    pub directory_address: SocketAddr,
    /// The longest that callers keep an address answer, in milliseconds.
    pub address_keep_most_ms: u64,
    /// Probes that all entries together may send to one target, in a second.
    pub probes_per_second_most: u32,
    /// Added attempts that all entries together may make, as a share of a service's requests.
    pub added_attempts_share: f64,
    /// Added attempts on top of that share in each window.
    pub added_attempts_extra: f64,
    /// The time between the word to stop and the end of the process, in milliseconds.
    pub stop_grace_ms: u64,
}

/// What an instance has.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResourceSettings {
    /// Processor cores that the entry may use; parts of one count.
    pub processor_cores: f64,
    /// How many times faster than usual these cores are.
    pub processor_speed: f64,
    /// What its network link carries, in megabits a second.
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

/// How logs are written.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: LogFormat,
    /// Level of each part, by its prefix.
    pub levels: BTreeMap<String, String>,
    /// One in so many of the requests that went as they should is recorded, the same ones at every
    /// entry; 0 for none. Others are always recorded.
    pub plain_one_in: u64,
    /// Lines that wait to be written, in bytes; beyond that the least important are dropped.
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

/// Form of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs, an object a line.
    Json,
}

/// Reads settings and checks them.
///
/// # Errors
///
/// All faults that were found; at least one.
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

/// Stands for an address that was not given.
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

/// Entries that start together know all that they need within 0.2 to 0.45 s.
const fn default_start_wait_ms() -> u64 {
    500
}

const fn default_caller_idle_ms() -> u64 {
    30_000
}

/// Targets ask for seconds. One that asks for an hour by mistake is asked again after 5 min.
const fn default_target_rest_most_ms() -> u64 {
    300_000
}

const fn default_caller_http2() -> bool {
    true
}

const fn default_stop_most_ms() -> u64 {
    60_000
}
