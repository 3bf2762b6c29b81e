//! The status of an entry for operators, served as JSON on the entry's peer address.
//!
//! `GET /status` returns an [`InstanceStatus`]; the `instances`, `targets` and `bundle status` commands read it.

use crate::entry::Entry;
use http::Response;
use http::StatusCode;
use pinhaven_agree::MemberRow;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::promise_check_count;
use pinhaven_types::promise_violation_count;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Path that serves the status.
pub(crate) const PATH: &str = "/status";

/// Status of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Row that the entry publishes about itself.
    pub own: MemberRow,
    /// Bundle versions that the entry knows.
    #[serde(default)]
    pub versions: VersionStatus,
    /// Requests in flight.
    pub in_flight: u32,
    /// Number of records of once-only requests.
    pub ledger_records: usize,
    /// Measuring seat that the entry holds, if any.
    pub seat: Option<u32>,
    /// All counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Check counts of the promises by name.
    pub promises: BTreeMap<String, PromiseStatus>,
    /// Failure domains that operators have drained.
    #[serde(default)]
    pub drained_domains: BTreeSet<FailureDomain>,
    /// Organisations and their use, the largest first.
    #[serde(default)]
    pub organisations: Vec<OrganisationStatus>,
    /// Other entries as this entry sees them.
    pub members: Vec<MemberStatus>,
    /// Services and their targets as this entry sees them.
    pub services: Vec<ServiceStatus>,
}

/// Bundle version that an entry has in force, and how far the entry is behind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VersionStatus {
    /// Version in force.
    pub in_force: u64,
    /// Newest known version.
    pub known: u64,
    /// Time since the entry learned of a version that it lacks, in milliseconds; `None` if it has the newest.
    pub behind_ms: Option<f64>,
    /// Number of failed attempts to fetch the newest version.
    pub failed_tries: u32,
    /// Reason of the last failure.
    pub last_failure: Option<String>,
}

/// Check counts of a promise.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PromiseStatus {
    /// Number of checks.
    pub checks: u64,
    /// Number of checks that found the promise broken.
    pub broken: u64,
}

/// Use that an organisation makes of the entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Name of the organisation.
    pub name: String,
    /// Limit over all entries, in requests per second; `None` for no limit.
    pub limit_per_s: Option<f64>,
    /// Recent rate of the admitted requests at all entries, in requests per second, as far as this entry knows.
    pub used_per_s: f64,
    /// Requests that this entry refused because of the limit.
    pub refused: u64,
    /// Whether the organisation was at its limit at this entry in the last seconds.
    pub is_at_limit: bool,
}

/// Status of another entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Row last received about the entry.
    pub row: MemberRow,
    /// Whether heartbeats of the entry still arrive.
    pub is_live: bool,
}

/// Status of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// Requests of this entry in flight at the service's targets.
    pub in_flight: u32,
    /// Requests that wait for capacity.
    pub waiting: u32,
    /// Maximum number of requests in flight.
    pub limit: f32,
    /// Delay of a hedge, in milliseconds.
    pub hedge_delay_ms: f64,
    /// Number of hedges sent.
    pub hedges: u64,
    /// Number of retries sent.
    pub retries: u64,
    /// Number of ejections of targets so far.
    pub ejections: u64,
    /// Time since any target of the service was heard, in milliseconds; `None` if none ever was.
    #[serde(default)]
    pub heard_age_ms: Option<f64>,
    /// Number of targets that failed since.
    #[serde(default)]
    pub failed_targets: u32,
    /// Whether the entry reaches no target of the service.
    #[serde(default)]
    pub is_lost: bool,
    /// Whether another entry reaches the targets.
    #[serde(default)]
    pub is_reached_by_peer: bool,
    /// Targets of the service.
    pub targets: Vec<TargetStatus>,
}

/// Status of a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Address where the target listens.
    pub address: String,
    /// Failure domain of the target.
    pub failure_domain: String,
    /// Requests of this entry in flight at the target.
    pub in_flight: u32,
    /// Estimated requests of other entries at the target.
    pub others: f32,
    /// Recent latency, in milliseconds.
    pub latency_ms: f32,
    /// State of the target: `live`, `ejected`, `resting`, `drained` or `leaving`.
    pub state: String,
    /// Whether this entry owns the target.
    #[serde(default)]
    pub is_owned: bool,
    /// Whether the target is cold: slow, and able to bear few requests.
    #[serde(default)]
    pub is_cold: bool,
    /// Remaining time of the rest that the target asked for, in milliseconds.
    #[serde(default)]
    pub rests_for_ms: Option<f64>,
    /// Slowdown relative to the usual speed, as the target last reported.
    #[serde(default)]
    pub slowdown: f32,
    /// Age of that report, in milliseconds; `None` if there is none.
    #[serde(default)]
    pub report_age_ms: Option<f64>,
}

/// Answers a request for the status.
pub(crate) fn answer(entry: &Entry) -> Response<AnyBody> {
    match serde_json::to_vec(&status_of(entry)) {
        Ok(bytes) => Response::new(whole_body(bytes)),
        Err(error) => {
            let mut response = Response::new(whole_body(error.to_string()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn status_of(entry: &Entry) -> InstanceStatus {
    let now = entry.now();
    let members = entry.members.lock();
    let own = members.own().clone();
    let peers = members.peers().map(|member| MemberStatus {
        row: member.row.clone(),
        is_live: members.is_live(member, now),
    });
    let peers = peers.collect();
    drop(members);
    InstanceStatus {
        own,
        versions: versions_of(entry),
        in_flight: entry.in_flight(),
        ledger_records: entry.ledger.lock().record_count(),
        seat: entry.seats.lock().seat(now),
        counters: entry.counters.all(),
        promises: promises(),
        drained_domains: entry.drained_domains(),
        organisations: entry.organisation_statuses(now),
        members: peers,
        services: services_of(entry),
    }
}

fn versions_of(entry: &Entry) -> VersionStatus {
    let in_force = entry.version.lock().version();
    let lag = entry.version_lag.lock();
    VersionStatus {
        in_force: in_force.number(),
        known: lag.known().number(),
        behind_ms: lag.behind_for(entry.now()).map(|behind| behind.as_ms()),
        failed_tries: lag.failed_tries(),
        last_failure: lag.last_failure().map(str::to_owned),
    }
}

fn promises() -> BTreeMap<String, PromiseStatus> {
    let status = |promise: Promise| PromiseStatus {
        checks: promise_check_count(promise),
        broken: promise_violation_count(promise),
    };
    Promise::ALL
        .into_iter()
        .map(|promise| (promise.name().to_owned(), status(promise)))
        .collect()
}

pub(crate) fn services_of(entry: &Entry) -> Vec<ServiceStatus> {
    let now = entry.now();
    let snapshot = entry.snapshot.load();
    let mut services: Vec<ServiceStatus> = snapshot
        .services
        .iter()
        .map(|(name, service)| {
            let state = &service.state;
            let counts = state.counts();
            ServiceStatus {
                name: name.to_string(),
                in_flight: state.in_flight(),
                waiting: state.waiting(),
                limit: state.in_flight_limit(),
                hedge_delay_ms: state.hedge_delay().as_ms(),
                hedges: counts.hedges,
                retries: counts.retries,
                ejections: counts.ejections,
                heard_age_ms: state.connectivity().heard_age(now).map(Microseconds::as_ms),
                failed_targets: state.connectivity().failed_targets(),
                is_lost: state.connectivity().is_lost(),
                is_reached_by_peer: state.connectivity().is_reached_by_peer(),
                targets: state
                    .targets()
                    .iter()
                    .map(|target| target_of(&target.view(now)))
                    .collect(),
            }
        })
        .collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    services
}

fn target_of(view: &pinhaven_decide::TargetView) -> TargetStatus {
    let state = if view.is_leaving {
        "leaving"
    } else if view.is_domain_drained {
        "drained"
    } else if view.rests_for_ms.is_some() {
        "resting"
    } else if view.is_ejected {
        "ejected"
    } else {
        "live"
    };
    TargetStatus {
        address: view.address.to_string(),
        failure_domain: view.failure_domain.to_string(),
        in_flight: view.in_flight,
        others: view.peer_load,
        latency_ms: view.latency_ms,
        state: state.to_owned(),
        is_owned: view.is_owned,
        is_cold: view.is_cold,
        rests_for_ms: view.rests_for_ms,
        slowdown: view.slowdown,
        report_age_ms: view.report_age_ms,
    }
}
