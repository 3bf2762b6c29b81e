//! An entry in emulated time: the product's own state of a service.

use super::plan::EmulationPlan;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use pinhaven_types::Microseconds;
use serde_json::json;
use std::collections::VecDeque;
use std::sync::Arc;

/// Way between a caller and an entry and back, in milliseconds; it counts against the aim.
pub(super) const CALLER_WAYS_MS: f64 = 17.0;
/// Where the emulated clock begins; zero means never in the product.
pub(super) const START_MS: f64 = 1_000_000.0;
/// Where emulated targets are said to listen: one address each.
pub(super) const FIRST_PORT: usize = 10_000;

/// An entry: its own view of the service and of the routes.
pub(super) struct EmulatedEntry {
    pub(super) service: Arc<ServiceState>,
    pub(super) routes: Vec<Arc<RouteState>>,
    pub(super) waiting: VecDeque<usize>,
    /// Counts that the others were told.
    pub(super) told: Vec<u32>,
}

/// An entry of a plan. Each owns every so many-th target.
pub(super) fn entry_of(plan: &EmulationPlan, number: usize) -> EmulatedEntry {
    let targets: Vec<serde_json::Value> = (0..plan.targets)
        .map(|target| {
            let address = format!("127.0.0.1:{}", FIRST_PORT + target);
            json!({"address": address, "failure_domain": format!("domain-{}", target % 3)})
        })
        .collect();
    let service = json!({
        "name": "emulated", "hosts": ["emulated"], "slots": plan.target.slots,
        "policy": plan.policy, "targets": targets, "entries_named": plan.entries,
        "hedge_budget_percent": 10.0, "retry_budget_percent": 10.0,
    });
    let service = serde_json::from_value(service)
        .unwrap_or_else(|error| unreachable!("the service is written above: {error}"));
    let state = ServiceState::new(
        &service,
        None,
        Microseconds::new((START_MS * 1_000.0) as u64),
    );
    for (target, known) in state.targets().iter().enumerate() {
        known.set_owned(target % plan.entries == number);
    }
    state.refresh_owned();
    EmulatedEntry {
        service: Arc::new(state),
        routes: plan
            .kinds
            .iter()
            .map(|kind| Arc::new(RouteState::new(kind.aim_ms - CALLER_WAYS_MS as u64)))
            .collect(),
        waiting: VecDeque::new(),
        told: vec![0; plan.targets],
    }
}
