//! The tail under faults, for each policy.

use super::MeasureSettings;
use super::publish;
use super::with_spread;
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

/// Entries, as many as leave the machine room for callers and targets.
pub(super) const ENTRIES: usize = 6;
/// Mean time of a request, in milliseconds.
pub(super) const MEAN_MS: f64 = 20.0;
/// Time at the start of a run whose requests are not counted, in milliseconds.
const WARM_UP_MS: u64 = 1_500;
/// Share of requests that may not be repeated, in percent.
const ONCE_PERCENT: u8 = 20;
/// How often the moving slowness moves, in milliseconds.
const MOVE_MS: u64 = 200;
/// How much slower a slow target is.
const SLOW_FACTOR: f64 = 10.0;

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    Nothing,
    OneSlow,
    MovingSlow,
    FailingFast,
    Draining,
    DomainGone,
}

pub(super) struct Scenario {
    pub(super) name: &'static str,
    load: f64,
    trouble: Trouble,
}

const SCENARIOS: [Scenario; 10] = [
    scenario("steady 50%", 0.5, Trouble::Nothing),
    scenario("steady 70%", 0.7, Trouble::Nothing),
    scenario("steady 90%", 0.9, Trouble::Nothing),
    scenario("one slow 70%", 0.7, Trouble::OneSlow),
    scenario("moving slow 50%", 0.5, Trouble::MovingSlow),
    scenario("moving slow 70%", 0.7, Trouble::MovingSlow),
    scenario("moving slow 90%", 0.9, Trouble::MovingSlow),
    scenario("failing fast 70%", 0.7, Trouble::FailingFast),
    scenario("third draining 50%", 0.5, Trouble::Draining),
    scenario("domain gone 50%", 0.5, Trouble::DomainGone),
];

pub(super) const fn scenario(name: &'static str, load: f64, trouble: Trouble) -> Scenario {
    Scenario {
        name,
        load,
        trouble,
    }
}

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
    /// The fields of the service that make up the policy.
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

/// A deployment's size.
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

/// Targets of the service.
pub(super) const TARGETS: u64 = 30;

/// The figures of one case over its runs.
#[derive(Default)]
pub(super) struct Figures {
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
            if !settings.wants(&name) {
                continue;
            }
            let mut figures = Figures::default();
            for seed in 1..=settings.runs {
                prepare(&mut lab, &case.fields()).await?;
                one_run(&lab, settings, size, scenario, seed, &mut figures).await;
            }
            eprintln!("{name}: 99.9th {}", with_spread(&figures.p999));
            rows.push(row(size, scenario, case, &figures));
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

/// Puts a policy in force and all targets right again.
pub(super) async fn prepare(lab: &mut Lab, fields: &Value) -> Result<(), LabError> {
    for target in lab.targets(0) {
        lab.set_target_faults(*target, &TargetFaults::default())
            .await;
    }
    let mut bundle = lab.bundle();
    let targets = bundle["services"][0]["targets"].take();
    // Targets that drained in the run before come back only by being listed anew.
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

pub(super) async fn one_run(
    lab: &Lab,
    settings: &MeasureSettings,
    size: &Size,
    scenario: &Scenario,
    seed: u64,
    figures: &mut Figures,
) {
    let capacity_per_s = TARGETS as f64 * size.slots as f64 * 1_000.0 / MEAN_MS;
    let seeds = lab.caller_addresses().await;
    let rate = capacity_per_s * scenario.load;
    let run_ms = settings.run_ms + WARM_UP_MS;
    let mut caller = CallerSettings::new(seeds, size.name, rate, run_ms);
    caller.warm_up_ms = WARM_UP_MS;
    caller.once_percent = ONCE_PERCENT;
    caller.seed = seed;
    let before = totals(lab).await;
    let caller = spawn(Caller::new(caller).run());
    sleep_ms(WARM_UP_MS / 2).await;
    make_trouble(lab, scenario.trouble, run_ms - WARM_UP_MS / 2).await;
    let report = caller.await;
    let after = totals(lab).await;
    figures.add(&report, &before, &after, run_ms);
}

async fn make_trouble(lab: &Lab, trouble: Trouble, time_ms: u64) {
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
    match trouble {
        Trouble::Nothing => {}
        Trouble::OneSlow => set(&targets[..1], slow).await,
        Trouble::FailingFast => set(&targets[..1], failing).await,
        Trouble::Draining => set(&targets[..targets.len() / 3], draining).await,
        Trouble::DomainGone => {
            let gone: Vec<SocketAddr> = targets.iter().copied().step_by(3).collect();
            set(&gone, failing).await;
        }
        Trouble::MovingSlow => {
            for step in 0..time_ms / MOVE_MS {
                let slowed = &targets[step as usize * 7 % targets.len()..][..1];
                set(slowed, slow.clone()).await;
                sleep_ms(MOVE_MS).await;
                set(slowed, TargetFaults::default()).await;
            }
        }
    }
}

/// Counters of all entries together.
struct Totals {
    requests: f64,
    added_attempts: f64,
    probes: f64,
    connections: f64,
}

async fn totals(lab: &Lab) -> Totals {
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

impl Figures {
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

fn row(size: &Size, scenario: &Scenario, case: &PolicyCase, figures: &Figures) -> Vec<String> {
    let mut cells = vec![
        size.name.to_owned(),
        scenario.name.to_owned(),
        case.name.to_owned(),
    ];
    let all = [
        &figures.p50,
        &figures.p99,
        &figures.p999,
        &figures.once_p99,
        &figures.once_p999,
        &figures.in_time,
        &figures.added_attempts,
        &figures.probes,
        &figures.connections,
    ];
    cells.extend(all.map(|figures| with_spread(figures)));
    cells
}
