//! Latency that an entry adds to a request.
//!
//! A caller sends requests to the same targets directly and through an entry. The two paths alternate in short
//! slices of one run, so that other load on the machine affects both.

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

/// Requests per second, up to about half of what one entry thread can serve.
const RATES_PER_S: [f64; 3] = [500.0, 2_000.0, 4_000.0];
/// Numbers of worker threads of the entry.
const THREADS: [usize; 3] = [1, 2, 4];
/// Length of a slice with requests on one path, in milliseconds.
const SLICE_MS: u64 = 1_000;
/// Duration of a request at a target, in milliseconds.
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
        measure_rates(settings, &lab, threads, &mut rows).await;
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

async fn measure_rates(
    settings: &MeasureSettings,
    lab: &Lab,
    threads: usize,
    rows: &mut Vec<Vec<String>>,
) {
    for rate in RATES_PER_S {
        let slices = (settings.run_ms / SLICE_MS).max(2) * settings.runs;
        let mut direct = Vec::new();
        let mut through_entry = Vec::new();
        let cpu_before = lab.entries_cpu_s();
        let mut answered = 0;
        for slice in 0..slices {
            direct.push(run_slice(lab, rate, slice, true).await);
            let report = run_slice(lab, rate, slice, false).await;
            answered += report.repeatable.answered;
            through_entry.push(report);
        }
        let cpu_us = (lab.entries_cpu_s() - cpu_before) * 1_000_000.0 / answered.max(1) as f64;
        let mut cells = vec![threads.to_string()];
        cells.extend(row(rate, &direct, &through_entry, cpu_us));
        rows.push(cells);
    }
}

async fn run_slice(lab: &Lab, rate: f64, seed: u64, is_direct: bool) -> CallerReport {
    let seeds = lab.caller_addresses().await;
    let mut caller = CallerSettings::new(seeds, "echo", rate, SLICE_MS);
    caller.seed = seed;
    caller.warm_up_ms = SLICE_MS / 5;
    if is_direct {
        caller.direct = lab.targets(0).to_vec();
    }
    Caller::new(caller).run().await
}

fn row(
    rate: f64,
    direct: &[CallerReport],
    through_entry: &[CallerReport],
    cpu_us: f64,
) -> Vec<String> {
    let percentiles = |reports: &[CallerReport]| {
        let median_of = |pick: fn(&CallerReport) -> f64| {
            median(&reports.iter().map(pick).collect::<Vec<f64>>())
        };
        [
            median_of(|report| report.repeatable.p50_ms),
            median_of(|report| report.repeatable.p99_ms),
            median_of(|report| report.repeatable.p999_ms),
        ]
    };
    let (direct, through_entry) = (percentiles(direct), percentiles(through_entry));
    let text = |f: [f64; 3]| format!("{:.2}/{:.2}/{:.2}", f[0], f[1], f[2]);
    vec![
        format!("{rate:.0}"),
        format!("{:.2}", through_entry[0] - direct[0]),
        format!("{:.2}", through_entry[1] - direct[1]),
        format!("{:.2}", through_entry[2] - direct[2]),
        text(direct),
        text(through_entry),
        format!("{cpu_us:.0}"),
    ]
}
