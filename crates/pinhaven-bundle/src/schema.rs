//! The fields of a bundle.

use crate::HostRoutes;
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

/// One version of the whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version that this bundle becomes, one more than the one in force.
    pub version: BundleVersion,
    /// How load is measured.
    #[serde(default)]
    pub measuring: Measuring,
    /// How long callers may keep an address answer, in milliseconds.
    #[serde(default = "default_address_keep_ms")]
    pub address_keep_ms: u64,
    /// The services, each with its targets.
    pub services: Vec<Service>,
    /// Hosts whose requests go by path; a service's own `hosts` need none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostRoutes>,
    /// What a request may bring and how long a connection may rest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<RequestLimits>,
}

/// How the load of targets is measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Measuring {
    /// How many entries at most probe at a time; each target is probed by one of them.
    pub seats: u32,
    /// The span over which the budget is kept, in milliseconds.
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

/// A service and what its requests may cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique in the bundle.
    pub name: ServiceName,
    /// Values of the `Host` header that mean this service.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Requests that a target works on at a time.
    pub slots: u32,
    /// Connections that a target takes from all entries together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// How many entries at most share the connections of a target.
    #[serde(default = "default_entries_most")]
    pub entries_most: u32,
    /// How many entries an address answer names; fewer make local counts truer.
    #[serde(default = "default_entries_named")]
    pub entries_named: u32,
    /// Deadline of a request that names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Typical time of a request, in milliseconds; used until it has been measured.
    #[serde(default = "default_typical_ms")]
    pub typical_ms: u64,
    /// Importance from 0 (refused first) to 3 (refused last).
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// How a target is chosen.
    #[serde(default)]
    pub policy: Policy,
    /// Hedges allowed, in percent of requests.
    #[serde(default = "default_hedge_budget")]
    pub hedge_budget_percent: Percent,
    /// Retries allowed, in percent of requests.
    #[serde(default = "default_retry_budget")]
    pub retry_budget_percent: Percent,
    /// Share of a target's slot time that measuring may cost.
    #[serde(default = "default_measuring_budget")]
    pub measuring_budget_percent: Percent,
    /// Slot time that a probe costs, in milliseconds.
    #[serde(default = "default_probe_cost_ms")]
    pub probe_cost_ms: u64,
    /// Slot time that a new connection costs, in milliseconds.
    #[serde(default = "default_connection_cost_ms")]
    pub connection_cost_ms: u64,
    /// Path of a target's load report; no probes are sent without it.
    #[serde(default)]
    pub probe_path: Option<String>,
    /// Statuses by which targets say that they did not run a request.
    #[serde(default)]
    pub not_run_statuses: Vec<u16>,
    /// Whether an answer must carry the request's `X-Request-Id` back.
    #[serde(default)]
    pub require_echo: bool,
    /// Whether an answer may end with its connection, without a length.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unbounded_answers: bool,
    /// The largest body kept for another attempt, in bytes.
    #[serde(default = "default_replay_bytes")]
    pub replay_bytes: u64,
    /// The largest body taken at all, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Which requests may be repeated; the first route that matches counts.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The targets; none for a service whose targets are discovered.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// Which requests may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method, or `*` for each.
    pub method: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Whether a request without an `Idempotency-Key` is turned away.
    #[serde(default)]
    pub key_required: bool,
}

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it listens.
    pub address: TargetAddress,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: TargetState,
    /// Its id, by which another target at the same address is told from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<TargetId>,
    /// Its run, by which it is told from an earlier one with its id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<TargetIncarnation>,
    /// Requests that it works on at a time, where that differs from the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// How much longer it is slow from its start, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warm_up_ms: u64,
}

impl Target {
    /// A live target of which no more is known than where it is.
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

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It takes new work.
    #[default]
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// How a target is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Any target, by lot.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of this entry.
    LeastInFlight,
    /// The better of two drawn by lot, by requests of this entry.
    TwoChoices,
    /// Counts, aged reports and overdue requests over several draws.
    #[default]
    Pinhaven,
    /// The earliest expected answer, from slots, reported speed and the counts of all entries.
    Forecast,
}

impl Bundle {
    /// Services, targets and routes that it names.
    pub fn size(&self) -> usize {
        let services = self
            .services
            .iter()
            .map(|service| 1 + service.targets.len());
        let routes = self.hosts.iter().map(|host| host.paths.len());
        services.chain(routes).sum()
    }
}

impl Service {
    /// A service without hosts and targets, with every other field at its default.
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
            routes: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Whether a request may be repeated: the first matching route, else by its method.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        match self.route_for(method, path) {
            Some(route) => route.repeatable,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE"),
        }
    }

    /// The first route that matches.
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
