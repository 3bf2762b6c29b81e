//! Time that an entry adds to a call.
//!
//! The same caller goes to the same targets straight and through an entry, in turn within one run, so
//! that whatever else the machine does falls on both.

use super::MeasureSettings;
use super::median;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerReport;
use pinhaven_stand_in::caller::CallerSettings;
use serde_json::json;

/// Requests a second, about half of what one entry thread carries.
const RATES_PER_S: [f64; 3] = [500.0, 2_000.0, 4_000.0];
/// Threads of the entry.
const THREADS: [usize; 3] = [1, 2, 4];
/// Length of one turn, in milliseconds.
const TURN_MS: u64 = 1_000;
/// Time of a request at a target, in milliseconds.
const MEAN_MS: f64 = 1.0;

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let service = ServicePlan::new("echo", 6, 64, MEAN_MS)
        .with_bundle(json!({"hedge_budget_percent": 0, "entries_named": 1}));
    let mut service = service;
    service.sigma = 0.0;
    let mut rows = Vec::new();
    for threads in THREADS {
        let plan = LabPlan::new(1, vec![service.clone()]);
        let plan = plan.with_settings(json!({"worker_threads": threads}));
        let lab = Lab::start(plan).await?;
        run_threads(settings, &lab, threads, &mut rows).await;
    }
    publish(
        &settings.folder,
        "added",
        &[
            "entry threads",
            "requests/s",
            "added p50 ms",
            "added p99 ms",
            "added p99.9 ms",
            "straight p50/p99/p99.9 ms",
            "through p50/p99/p99.9 ms",
            "entry CPU us/request",
        ],
        &rows,
    )
}

async fn run_threads(
    settings: &MeasureSettings,
    lab: &Lab,
    threads: usize,
    rows: &mut Vec<Vec<String>>,
) {
    for rate in RATES_PER_S {
        let turns = (settings.run_ms / TURN_MS).max(2) * settings.runs;
        let mut direct = Vec::new();
        let mut through = Vec::new();
        let cpu_before = lab.entries_cpu_s();
        let mut answered = 0;
        for turn in 0..turns {
            direct.push(one_turn(lab, rate, turn, true).await);
            let report = one_turn(lab, rate, turn, false).await;
            answered += report.repeatable.answered;
            through.push(report);
        }
        let cpu_us = (lab.entries_cpu_s() - cpu_before) * 1_000_000.0 / answered.max(1) as f64;
        let mut cells = vec![threads.to_string()];
        cells.extend(row(rate, &direct, &through, cpu_us));
        rows.push(cells);
    }
}

async fn one_turn(lab: &Lab, rate: f64, seed: u64, is_direct: bool) -> CallerReport {
    let seeds = lab.caller_addresses().await;
    let mut caller = CallerSettings::new(seeds, "echo", rate, TURN_MS);
    caller.seed = seed;
    caller.warm_up_ms = TURN_MS / 5;
    if is_direct {
        caller.direct = lab.targets(0).to_vec();
    }
    Caller::new(caller).run().await
}

fn row(rate: f64, direct: &[CallerReport], through: &[CallerReport], cpu_us: f64) -> Vec<String> {
    let figures = |reports: &[CallerReport]| {
        let of = |pick: fn(&CallerReport) -> f64| {
            median(&reports.iter().map(pick).collect::<Vec<f64>>())
        };
        [
            of(|report| report.repeatable.p50_ms),
            of(|report| report.repeatable.p99_ms),
            of(|report| report.repeatable.p999_ms),
        ]
    };
    let (direct, through) = (figures(direct), figures(through));
    let text = |f: [f64; 3]| format!("{:.2}/{:.2}/{:.2}", f[0], f[1], f[2]);
    vec![
        format!("{rate:.0}"),
        format!("{:.2}", through[0] - direct[0]),
        format!("{:.2}", through[1] - direct[1]),
        format!("{:.2}", through[2] - direct[2]),
        text(direct),
        text(through),
        format!("{cpu_us:.0}"),
    ]
}
