//! An emulated entry, built on the service state and route state of real entries.

use super::plan::EmulationPlan;
use pinhaven_decide::ColdAccess;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use pinhaven_types::Microseconds;
use serde_json::json;
use std::collections::VecDeque;
use std::sync::Arc;

/// Network round trip between a caller and an entry, in milliseconds; counts against the aim.
pub(super) const CALLER_ROUND_TRIP_MS: f64 = 17.0;
/// Start of the emulated clock, in milliseconds; the decision code reads a time of 0 as "never".
pub(super) const START_MS: f64 = 1_000_000.0;
/// Port in the address of the first emulated target; the other targets have the ports that follow.
pub(super) const FIRST_PORT: usize = 10_000;

/// An emulated entry with its own view of the service and the routes.
pub(super) struct EmulatedEntry {
    pub(super) service: Arc<ServiceState>,
    pub(super) routes: Vec<Arc<RouteState>>,
    pub(super) waiting: VecDeque<usize>,
    /// Requests in flight per target, as last sent to the other entries.
    pub(super) advertised_in_flight: Vec<u32>,
}

/// Creates an entry of a plan. Targets are assigned to owners in turn, by their numbers.
pub(super) fn new_entry(plan: &EmulationPlan, number: usize, now: Microseconds) -> EmulatedEntry {
    let domains = plan.domains.as_ref().map_or(3, |plan| plan.domains);
    let targets: Vec<serde_json::Value> = (0..plan.targets)
        .map(|target| {
            let address = format!("127.0.0.1:{}", FIRST_PORT + target);
            json!({"address": address, "failure_domain": format!("domain-{}", target % domains)})
        })
        .collect();
    let service = json!({
        "name": "emulated", "hosts": ["emulated"], "slots": plan.target.slots,
        "policy": plan.policy, "targets": targets, "entries_named": plan.entries,
        "cold_limit": plan.cold.map(|cold| json!({
            "requests_per_s": cold.requests_per_s, "duration_ms": cold.duration_ms,
        })),
        "hedge_budget_percent": 10.0, "retry_budget_percent": 10.0,
    });
    let service = serde_json::from_value(service)
        .unwrap_or_else(|error| unreachable!("the service above must be valid: {error}"));
    let mut state = ServiceState::new(&service, None, now);
    state.set_cold_access(ColdAccess::Owner);
    if let Some(domains) = &plan.domains {
        let domain = format!("domain-{}", domains.domain_of(number));
        let domain = domain
            .parse()
            .unwrap_or_else(|error| unreachable!("the name above must be valid: {error}"));
        state = state
            .with_domain(&domain)
            .with_crossing_cost(domains.crossing_cost);
    }
    for (target, target_state) in state.targets().iter().enumerate() {
        target_state.set_owned(target % plan.entries == number);
    }
    state.refresh_owned();
    EmulatedEntry {
        service: Arc::new(state),
        routes: plan
            .kinds
            .iter()
            .map(|kind| Arc::new(RouteState::new(kind.aim_ms - CALLER_ROUND_TRIP_MS as u64)))
            .collect(),
        waiting: VecDeque::new(),
        advertised_in_flight: vec![0; plan.targets],
    }
}
