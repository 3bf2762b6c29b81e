//! The fields of a bundle.

use crate::HostRoutes;
use crate::Organisation;
use crate::RequestLimits;
use pinhaven_types::BundleVersion;
use pinhaven_types::FailureDomain;
use pinhaven_types::Percent;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;

/// One version of the whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version of this bundle: the version in force plus one.
    pub version: BundleVersion,
    /// How load is measured.
    #[serde(default)]
    pub measuring: Measuring,
    /// Time that callers may cache an address answer, in milliseconds.
    #[serde(default = "default_address_keep_ms")]
    pub address_keep_ms: u64,
    /// The services, each with its targets.
    pub services: Vec<Service>,
    /// Hosts whose requests are routed by path; the `hosts` of a service need no entry here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostRoutes>,
    /// Limits on the size of requests and on the time that connections are idle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<RequestLimits>,
    /// Failure domains whose targets receive nothing.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub drained_domains: BTreeSet<FailureDomain>,
    /// Organisations whose callers authenticate with keys. Without this list requests need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<Organisation>>,
}

/// How the load of targets is measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Measuring {
    /// Maximum number of entries that probe at a time; each target is probed by one of them.
    pub seats: u32,
    /// Window over which the measuring budget applies, in milliseconds.
    pub window_ms: u64,
}

impl Default for Measuring {
    fn default() -> Self {
        Self {
            seats: 4,
            window_ms: 10_000,
        }
    }
}

/// A service, its targets and the limits of its requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, unique in the bundle.
    pub name: ServiceName,
    /// Values of the `Host` header that select this service.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Number of requests that a target processes concurrently.
    pub slots: u32,
    /// Maximum number of connections to one target from all entries together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Maximum number of entries that share the connections of a target.
    #[serde(default = "default_entries_most")]
    pub entries_most: u32,
    /// Number of entries that an address answer names; with fewer entries, the counts of each entry are more accurate.
    #[serde(default = "default_entries_named")]
    pub entries_named: u32,
    /// Deadline of a request that specifies none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Typical duration of a request, in milliseconds; used until the duration has been measured.
    #[serde(default = "default_typical_ms")]
    pub typical_ms: u64,
    /// Importance from 0 (refused first) to 3 (refused last).
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Policy for choosing a target.
    #[serde(default)]
    pub policy: Policy,
    /// Maximum hedges, in percent of requests.
    #[serde(default = "default_hedge_budget")]
    pub hedge_budget_percent: Percent,
    /// Maximum retries, in percent of requests.
    #[serde(default = "default_retry_budget")]
    pub retry_budget_percent: Percent,
    /// Maximum share of a target's slot time that measuring may cost.
    #[serde(default = "default_measuring_budget")]
    pub measuring_budget_percent: Percent,
    /// Slot time that one probe costs, in milliseconds.
    #[serde(default = "default_probe_cost_ms")]
    pub probe_cost_ms: u64,
    /// Slot time that a new connection costs, in milliseconds.
    #[serde(default = "default_connection_cost_ms")]
    pub connection_cost_ms: u64,
    /// Path of a target's load report; without a path no probes are sent.
    #[serde(default)]
    pub probe_path: Option<String>,
    /// Statuses by which a target reports that it did not execute a request.
    #[serde(default)]
    pub not_run_statuses: Vec<u16>,
    /// Whether an answer must echo the `X-Request-Id` of its request.
    #[serde(default)]
    pub require_echo: bool,
    /// Whether an answer may have no length and end when its connection closes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unbounded_answers: bool,
    /// Maximum size of a body that is buffered for another attempt, in bytes.
    #[serde(default = "default_replay_bytes")]
    pub replay_bytes: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Limit of the requests to targets that are cold, that is, slow after a start or once again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_limit: Option<ColdLimit>,
    /// Rules for which requests may be repeated; the first matching route applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Targets of the service; empty if its targets are discovered.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// What a cold target bears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdLimit {
    /// Maximum rate of requests to one target from all entries together.
    pub requests_per_s: f64,
    /// Time for which a target is cold after a start, in milliseconds.
    pub duration_ms: u64,
}

/// Rule for which requests of a service may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method, or `*` for any method.
    pub method: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Whether a request without an `Idempotency-Key` is refused.
    #[serde(default)]
    pub key_required: bool,
}

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address at which the target listens.
    pub address: TargetAddress,
    /// Failure domain in which the target runs.
    pub failure_domain: FailureDomain,
    /// Whether the target accepts new work.
    #[serde(default)]
    pub state: TargetState,
    /// Id of the target, which distinguishes it from another target at the same address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<TargetId>,
    /// Run of the target, which distinguishes it from an earlier run with the same id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<TargetIncarnation>,
    /// Number of requests that the target processes concurrently, if it differs from `slots` of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Remaining warm-up time, in which the target is slow after its start, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warm_up_ms: u64,
}

impl Target {
    /// Creates a live target of which only the address and the failure domain are known.
    pub fn new(address: TargetAddress, failure_domain: FailureDomain) -> Self {
        Self {
            address,
            failure_domain,
            state: TargetState::Live,
            id: None,
            incarnation: None,
            slots: None,
            warm_up_ms: 0,
        }
    }
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target accepts new work.
    #[default]
    Live,
    /// The target finishes its requests and accepts no new work.
    Leaving,
}

/// Policy for choosing a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// A target chosen at random.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this entry in flight.
    LeastInFlight,
    /// Of two targets chosen at random, the one with fewer requests of this entry in flight.
    TwoChoices,
    /// The best of several random choices, scored by request counts, aged load reports and overdue requests.
    #[default]
    Pinhaven,
    /// The target with the earliest expected answer, from slots, reported speed and the counts of all entries.
    Forecast,
}

impl Bundle {
    /// Number of services, targets, routes and organisations in the bundle.
    pub fn size(&self) -> usize {
        let services = self
            .services
            .iter()
            .map(|service| 1 + service.targets.len());
        let routes = self.hosts.iter().map(|host| host.paths.len());
        let organisations = self.organisations.as_ref().map_or(0, Vec::len);
        services.chain(routes).sum::<usize>() + organisations
    }
}

impl Service {
    /// Creates a service without hosts and targets, with every other field at its default.
    pub fn new(name: ServiceName, slots: u32) -> Self {
        Self {
            name,
            hosts: Vec::new(),
            slots,
            connections: default_connections(),
            entries_most: default_entries_most(),
            entries_named: default_entries_named(),
            deadline_ms: default_deadline_ms(),
            typical_ms: default_typical_ms(),
            priority: default_priority(),
            policy: Policy::default(),
            hedge_budget_percent: default_hedge_budget(),
            retry_budget_percent: default_retry_budget(),
            measuring_budget_percent: default_measuring_budget(),
            probe_cost_ms: default_probe_cost_ms(),
            connection_cost_ms: default_connection_cost_ms(),
            probe_path: None,
            not_run_statuses: Vec::new(),
            require_echo: false,
            unbounded_answers: false,
            replay_bytes: default_replay_bytes(),
            body_bytes: default_body_bytes(),
            cold_limit: None,
            routes: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Whether a request may be repeated: as the first matching route says, otherwise by its method.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        match self.route_for(method, path) {
            Some(route) => route.repeatable,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE"),
        }
    }

    /// The first route that matches a method and path.
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| {
            (route.method == "*" || route.method == method) && path.starts_with(&route.path_prefix)
        })
    }
}

impl Bundle {
    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

const fn default_address_keep_ms() -> u64 {
    2_000
}

const fn default_connections() -> u32 {
    260
}

const fn default_entries_most() -> u32 {
    18
}

const fn default_entries_named() -> u32 {
    4
}

const fn default_deadline_ms() -> u64 {
    1_000
}

const fn default_typical_ms() -> u64 {
    20
}

const fn default_priority() -> u8 {
    2
}

const fn default_hedge_budget() -> Percent {
    Percent::new(4.0)
}

const fn default_retry_budget() -> Percent {
    Percent::new(10.0)
}

const fn default_measuring_budget() -> Percent {
    Percent::new(0.5)
}

const fn default_probe_cost_ms() -> u64 {
    6
}

const fn default_connection_cost_ms() -> u64 {
    1
}

const fn default_replay_bytes() -> u64 {
    64 * 1024
}

const fn default_body_bytes() -> u64 {
    64 * 1024 * 1024
}
