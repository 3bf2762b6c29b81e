//! Demo: a small deployment that serves requests end to end.

use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use crate::table::print_table;
use pinhaven_runtime::spawn;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerReport;
use pinhaven_stand_in::caller::CallerSettings;
use pinhaven_stand_in::caller::ClassReport;

/// Number of entries.
const ENTRIES: usize = 4;
/// Requests per second to each service.
const RATE_PER_S: f64 = 200.0;
/// Duration of the load, in milliseconds.
const DURATION_MS: u64 = 4_000;
/// Share of once-only requests, in percent.
const ONCE_PERCENT: u8 = 25;

/// Runs the demo and prints its results. Returns whether every answer was complete and belonged to its request, every
/// once-only request ran as often as reported, and no promise was broken.
///
/// # Errors
///
/// [`LabError`] if the deployment can't be started.
pub async fn run() -> Result<bool, LabError> {
    let services = vec![
        ServicePlan::new("quote", 6, 6, 10.0),
        ServicePlan::new("booking", 6, 3, 15.0),
    ];
    let names: Vec<String> = services
        .iter()
        .map(|service| service.name.clone())
        .collect();
    println!("Starting a platform, 12 targets and {ENTRIES} entries in 3 failure domains ...");
    let lab = Lab::start(LabPlan::new(ENTRIES, services)).await?;
    println!("{}", lab.command(&["bundle", "history"])?.trim_end());
    println!("{}", lab.command(&["instances"])?.trim_end());
    println!("Calling for {DURATION_MS} ms ...");
    let mut callers = Vec::new();
    let seeds = lab.caller_addresses().await;
    for (index, name) in names.iter().enumerate() {
        let mut settings = CallerSettings::new(seeds.clone(), name, RATE_PER_S, DURATION_MS);
        settings.once_percent = ONCE_PERCENT;
        settings.seed = index as u64 + 1;
        settings.domain = lab.plan().domains[index].clone();
        callers.push((name, spawn(Caller::new(settings).run())));
    }
    let mut rows = Vec::new();
    let mut is_clean = true;
    for (index, (name, caller)) in callers.into_iter().enumerate() {
        let report = caller.await;
        is_clean &= report.is_clean() && ran_once(&lab, index, &report).await;
        rows.push(row(name, "repeatable", &report.repeatable));
        rows.push(row(name, "once only", &report.once));
    }
    print_table(
        &[
            "service",
            "requests",
            "sent",
            "answered",
            "refused",
            "cut",
            "wrong",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "refused for",
        ],
        &rows,
    );
    let broken: u64 = lab.promises_broken().await.values().sum();
    println!("Promises seen broken: {broken}.");
    Ok(is_clean && broken == 0)
}

/// Whether every once-only request ran as often as reported to its caller.
async fn ran_once(lab: &Lab, service: usize, report: &CallerReport) -> bool {
    let runs = lab.runs(service).await;
    report.once_said.iter().all(|(key, reported)| {
        let count = runs.get(key).copied().unwrap_or_default();
        match reported.as_str() {
            "run" => count == 1,
            "not-run" => count == 0,
            _ => count <= 1,
        }
    })
}

fn row(service: &str, kind: &str, class: &ClassReport) -> Vec<String> {
    let refused: u64 = class.refused.values().sum();
    let reasons: Vec<String> = class
        .refused
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    vec![
        service.to_owned(),
        kind.to_owned(),
        class.sent.to_string(),
        class.answered.to_string(),
        refused.to_string(),
        class.cut.to_string(),
        class.wrong.to_string(),
        format!("{:.1}", class.p50_ms),
        format!("{:.1}", class.p99_ms),
        format!("{:.1}", class.p999_ms),
        reasons.join(", "),
    ]
}
