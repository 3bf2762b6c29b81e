//! Tail latency under faults, for each policy.

use super::MeasureSettings;
use super::median_with_range;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerReport;
use pinhaven_stand_in::caller::CallerSettings;
use pinhaven_stand_in::target::TargetFaults;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;

/// Number of entries; leaves processor time of the machine for callers and targets.
pub(super) const ENTRIES: usize = 6;
/// Mean duration of a request at a target, in milliseconds.
pub(super) const MEAN_MS: f64 = 20.0;
/// Time at the start of a run during which requests are not counted, in milliseconds.
const WARM_UP_MS: u64 = 1_500;
/// Share of once-only requests, in percent.
const ONCE_PERCENT: u8 = 20;
/// Time for which each target is slow in [`Fault::MovingSlow`], in milliseconds.
const SLOW_TARGET_INTERVAL_MS: u64 = 200;
/// Factor by which requests take longer at a slow target.
const SLOW_FACTOR: f64 = 10.0;

/// Fault that is injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Nothing,
    OneSlow,
    MovingSlow,
    FailingFast,
    Draining,
    DomainFailing,
}

/// Load and fault of a measurement, with the name in the table.
pub(super) struct Scenario {
    pub(super) name: &'static str,
    load: f64,
    fault: Fault,
}

const SCENARIOS: [Scenario; 10] = [
    scenario("steady 50%", 0.5, Fault::Nothing),
    scenario("steady 70%", 0.7, Fault::Nothing),
    scenario("steady 90%", 0.9, Fault::Nothing),
    scenario("one slow 70%", 0.7, Fault::OneSlow),
    scenario("moving slow 50%", 0.5, Fault::MovingSlow),
    scenario("moving slow 70%", 0.7, Fault::MovingSlow),
    scenario("moving slow 90%", 0.9, Fault::MovingSlow),
    scenario("failing fast 70%", 0.7, Fault::FailingFast),
    scenario("third draining 50%", 0.5, Fault::Draining),
    scenario("domain gone 50%", 0.5, Fault::DomainFailing),
];

pub(super) const fn scenario(name: &'static str, load: f64, fault: Fault) -> Scenario {
    Scenario { name, load, fault }
}

/// Settings of a policy under measurement, with the name in the table.
struct PolicyCase {
    name: &'static str,
    policy: &'static str,
    hedges: f64,
    entries_named: usize,
}

const POLICIES: [PolicyCase; 7] = [
    policy("random", "random", 0.0, ENTRIES),
    policy("round robin", "round_robin", 0.0, ENTRIES),
    policy("least in flight", "least_in_flight", 0.0, ENTRIES),
    policy("two choices", "two_choices", 0.0, ENTRIES),
    policy("pinhaven unhedged unsteered", "pinhaven", 0.0, ENTRIES),
    policy("pinhaven unhedged", "pinhaven", 0.0, 3),
    policy("pinhaven", "pinhaven", 4.0, 3),
];

impl PolicyCase {
    /// Fields of the service in the bundle that set the policy.
    fn fields(&self) -> Value {
        json!({
            "policy": self.policy,
            "hedge_budget_percent": self.hedges,
            "entries_named": self.entries_named,
        })
    }
}

const fn policy(
    name: &'static str,
    policy: &'static str,
    hedges: f64,
    entries_named: usize,
) -> PolicyCase {
    PolicyCase {
        name,
        policy,
        hedges,
        entries_named,
    }
}

/// Service of a deployment, with the number of slots of each target.
pub(super) struct Size {
    pub(super) name: &'static str,
    pub(super) slots: usize,
}

const SIZES: [Size; 2] = [
    Size {
        name: "quote",
        slots: 6,
    },
    Size {
        name: "booking",
        slots: 3,
    },
];

/// Number of targets of the service.
pub(super) const TARGETS: u64 = 30;

/// Results of all runs of one case.
#[derive(Default)]
pub(super) struct Samples {
    p50: Vec<f64>,
    pub(super) p99: Vec<f64>,
    pub(super) p999: Vec<f64>,
    once_p99: Vec<f64>,
    pub(super) once_p999: Vec<f64>,
    in_time: Vec<f64>,
    added_attempts: Vec<f64>,
    pub(super) probes: Vec<f64>,
    connections: Vec<f64>,
}

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    for size in &SIZES {
        run_size(settings, size).await?;
    }
    Ok(())
}

async fn run_size(settings: &MeasureSettings, size: &Size) -> Result<(), LabError> {
    let service = ServicePlan::new(size.name, TARGETS, size.slots, MEAN_MS);
    let mut lab = Lab::start(LabPlan::new(ENTRIES, vec![service])).await?;
    let mut rows = Vec::new();
    for scenario in &SCENARIOS {
        for case in &POLICIES {
            let name = format!("{} {}: {}", size.name, scenario.name, case.name);
            if !settings.includes_case(&name) {
                continue;
            }
            let mut samples = Samples::default();
            for seed in 1..=settings.runs {
                prepare(&mut lab, &case.fields()).await?;
                measure_run(&lab, settings, size, scenario, seed, &mut samples).await;
            }
            eprintln!("{name}: 99.9th {}", median_with_range(&samples.p999));
            rows.push(row(size, scenario, case, &samples));
        }
    }
    publish(
        &settings.folder,
        &format!("choice-{}", size.name),
        &[
            "service",
            "case",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "once p99 ms",
            "once p99.9 ms",
            "in time %",
            "added attempts %",
            "probes/s",
            "connections/s",
        ],
        &rows,
    )
}

/// Clears the faults of all targets and puts fields of the service in force.
pub(super) async fn prepare(lab: &mut Lab, fields: &Value) -> Result<(), LabError> {
    for target in lab.targets(0) {
        lab.set_target_faults(*target, &TargetFaults::default())
            .await;
    }
    let mut bundle = lab.bundle();
    let targets = bundle["services"][0]["targets"].take();
    // Targets that drained during the previous run return only after removal from the list and a new listing.
    bundle["services"][0]["targets"] = Value::Array(
        targets
            .as_array()
            .into_iter()
            .flatten()
            .map(|target| with_state(target, "leaving"))
            .collect(),
    );
    lab.roll(&bundle)?;
    lab.wait_until_in_force().await?;
    let mut bundle = lab.bundle();
    bundle["services"][0]["targets"] = targets;
    if let Some(fields) = fields.as_object() {
        for (name, value) in fields {
            bundle["services"][0][name] = value.clone();
        }
    }
    lab.roll(&bundle)?;
    lab.wait_until_in_force().await
}

fn with_state(target: &Value, state: &str) -> Value {
    let mut target = target.clone();
    target["state"] = json!(state);
    target
}

pub(super) async fn measure_run(
    lab: &Lab,
    settings: &MeasureSettings,
    size: &Size,
    scenario: &Scenario,
    seed: u64,
    samples: &mut Samples,
) {
    let capacity_per_s = TARGETS as f64 * size.slots as f64 * 1_000.0 / MEAN_MS;
    let seeds = lab.caller_addresses().await;
    let rate = capacity_per_s * scenario.load;
    let run_ms = settings.run_ms + WARM_UP_MS;
    let mut caller = CallerSettings::new(seeds, size.name, rate, run_ms);
    caller.warm_up_ms = WARM_UP_MS;
    caller.once_percent = ONCE_PERCENT;
    caller.seed = seed;
    let before = read_totals(lab).await;
    let caller = spawn(Caller::new(caller).run());
    sleep_ms(WARM_UP_MS / 2).await;
    inject_fault(lab, scenario.fault, run_ms - WARM_UP_MS / 2).await;
    let report = caller.await;
    let after = read_totals(lab).await;
    samples.add(&report, &before, &after, run_ms);
}

async fn inject_fault(lab: &Lab, fault: Fault, time_ms: u64) {
    let targets = lab.targets(0);
    let set = async |targets: &[SocketAddr], faults: TargetFaults| {
        for target in targets {
            lab.set_target_faults(*target, &faults).await;
        }
    };
    let slow = TargetFaults {
        slow_factor: SLOW_FACTOR,
        ..TargetFaults::default()
    };
    let failing = TargetFaults {
        fail_percent: 100,
        ..TargetFaults::default()
    };
    let draining = TargetFaults {
        draining: true,
        ..TargetFaults::default()
    };
    match fault {
        Fault::Nothing => {}
        Fault::OneSlow => set(&targets[..1], slow).await,
        Fault::FailingFast => set(&targets[..1], failing).await,
        Fault::Draining => set(&targets[..targets.len() / 3], draining).await,
        Fault::DomainFailing => {
            let domain: Vec<SocketAddr> = targets.iter().copied().step_by(3).collect();
            set(&domain, failing).await;
        }
        Fault::MovingSlow => {
            for step in 0..time_ms / SLOW_TARGET_INTERVAL_MS {
                let slowed = &targets[step as usize * 7 % targets.len()..][..1];
                set(slowed, slow.clone()).await;
                sleep_ms(SLOW_TARGET_INTERVAL_MS).await;
                set(slowed, TargetFaults::default()).await;
            }
        }
    }
}

/// Sums of the counters of all entries.
struct Totals {
    requests: f64,
    added_attempts: f64,
    probes: f64,
    connections: f64,
}

async fn read_totals(lab: &Lab) -> Totals {
    let statuses = lab.statuses().await;
    let sum = |name: &str| -> f64 {
        let counts = statuses.iter().filter_map(|s| s.counters.get(name));
        counts.sum::<u64>() as f64
    };
    let refused: f64 = [
        "refused.overloaded",
        "refused.no_time_left",
        "refused.no_target",
    ]
    .iter()
    .map(|name| sum(name))
    .sum();
    let first_attempts = sum("requests") - refused;
    Totals {
        requests: sum("requests"),
        added_attempts: sum("attempts") - first_attempts,
        probes: sum("probes"),
        connections: sum("connections"),
    }
}

impl Samples {
    fn add(&mut self, report: &CallerReport, before: &Totals, after: &Totals, run_ms: u64) {
        let all = &report.repeatable;
        self.p50.push(all.p50_ms);
        self.p99.push(all.p99_ms);
        self.p999.push(all.p999_ms);
        self.once_p99.push(report.once.p99_ms);
        self.once_p999.push(report.once.p999_ms);
        let sent = all.sent + report.once.sent;
        let in_time = all.in_time + report.once.in_time;
        self.in_time
            .push(in_time as f64 * 100.0 / sent.max(1) as f64);
        let requests = after.requests - before.requests;
        let added = after.added_attempts - before.added_attempts;
        self.added_attempts.push(added * 100.0 / requests.max(1.0));
        let seconds = run_ms as f64 / 1_000.0;
        self.probes.push((after.probes - before.probes) / seconds);
        self.connections
            .push((after.connections - before.connections) / seconds);
    }
}

fn row(size: &Size, scenario: &Scenario, case: &PolicyCase, samples: &Samples) -> Vec<String> {
    let mut cells = vec![
        size.name.to_owned(),
        scenario.name.to_owned(),
        case.name.to_owned(),
    ];
    let all = [
        &samples.p50,
        &samples.p99,
        &samples.p999,
        &samples.once_p99,
        &samples.once_p999,
        &samples.in_time,
        &samples.added_attempts,
        &samples.probes,
        &samples.connections,
    ];
    cells.extend(all.map(|samples| median_with_range(samples)));
    cells
}
