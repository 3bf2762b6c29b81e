//! What an entry tells operators, as JSON on its peer address.
//!
//! `GET /status` is answered there; the `instances`, `targets` and `bundle status` commands read it.

use crate::entry::Entry;
use http::Response;
use http::StatusCode;
use pinhaven_agree::MemberRow;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::Promise;
use pinhaven_types::promise_check_count;
use pinhaven_types::promise_violation_count;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Where the status is asked for.
pub(crate) const PATH: &str = "/status";

/// All that an entry tells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// What it says of itself.
    pub own: MemberRow,
    /// The versions that it knows of.
    #[serde(default)]
    pub versions: VersionStatus,
    /// Requests under way.
    pub in_flight: u32,
    /// Records of once-only requests.
    pub ledger_records: usize,
    /// The measuring seat it holds.
    pub seat: Option<u32>,
    /// All counters by name.
    pub counters: BTreeMap<String, u64>,
    /// The promises and how often they were looked at.
    pub promises: BTreeMap<String, PromiseStatus>,
    /// The other entries as it sees them.
    pub members: Vec<MemberStatus>,
    /// The services and their targets as it sees them.
    pub services: Vec<ServiceStatus>,
}

/// Which version an entry has, and how far it is behind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The version in force.
    pub in_force: u64,
    /// The newest that it knows to exist.
    pub known: u64,
    /// How long it has known of one that it lacks, in milliseconds; nothing when it has the newest.
    pub behind_ms: Option<f64>,
    /// Tries to get it that failed.
    pub failed_tries: u32,
    /// Why the last one failed.
    pub last_failure: Option<String>,
}

/// How a promise fares.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PromiseStatus {
    /// How often it was looked at.
    pub checks: u64,
    /// How often it did not hold.
    pub broken: u64,
}

/// Another entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// What was last heard of it.
    pub row: MemberRow,
    /// Whether its heart beats.
    pub is_live: bool,
}

/// A service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: String,
    /// Requests at its targets.
    pub in_flight: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Requests kept in flight at the most.
    pub limit: f32,
    /// Delay of a hedge, in milliseconds.
    pub hedge_delay_ms: f64,
    /// Hedges sent.
    pub hedges: u64,
    /// Retries sent.
    pub retries: u64,
    /// Targets ejected so far.
    pub ejections: u64,
    /// Its targets.
    pub targets: Vec<TargetStatus>,
}

/// A target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Where it listens.
    pub address: String,
    /// Where it stands.
    pub failure_domain: String,
    /// Requests of this entry at it.
    pub in_flight: u32,
    /// Requests of others that it is thought to hold.
    pub others: f32,
    /// Its recent latency, in milliseconds.
    pub latency_ms: f32,
    /// `live`, `ejected`, `resting` or `leaving`.
    pub state: String,
    /// What is left of the rest that it asked for, in milliseconds.
    #[serde(default)]
    pub rests_for_ms: Option<f64>,
    /// How many times longer than usual work takes there, as it last said.
    #[serde(default)]
    pub slowdown: f32,
    /// Age of that word, in milliseconds; nothing when it never said any.
    #[serde(default)]
    pub report_age_ms: Option<f64>,
}

/// Answers the question for the status.
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
    let others = members.peers().map(|member| MemberStatus {
        row: member.row.clone(),
        is_live: members.is_live(member, now),
    });
    let others = others.collect();
    drop(members);
    InstanceStatus {
        own,
        versions: versions_of(entry),
        in_flight: entry.in_flight(),
        ledger_records: entry.ledger.lock().record_count(),
        seat: entry.seats.lock().seat(now),
        counters: entry.counters.all(),
        promises: promises(),
        members: others,
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
        rests_for_ms: view.rests_for_ms,
        slowdown: view.slowdown,
        report_age_ms: view.report_age_ms,
    }
}
