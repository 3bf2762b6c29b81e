//! Goodput below, at and above capacity.

use super::MeasureSettings;
use super::median;
use super::median_with_range;
use super::plot;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerSettings;

/// Number of entries.
const ENTRIES: usize = 6;
/// Number of targets of the service.
const TARGETS: u64 = 15;
/// Maximum number of requests that a target works on at a time.
const SLOTS: usize = 6;
/// Mean duration of a request at a target, in milliseconds; long enough for the machine to generate five times
/// the capacity.
const MEAN_MS: f64 = 60.0;
/// Loads as a share of capacity, in order; the last one follows the overload and shows the recovery.
const LOADS: [f64; 7] = [0.7, 0.9, 1.0, 1.2, 2.0, 5.0, 0.7];
/// Time at the start of a run during which requests are not counted, in milliseconds.
const WARM_UP_MS: u64 = 1_500;

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let service = ServicePlan::new("quote", TARGETS, SLOTS, MEAN_MS);
    let lab = Lab::start(LabPlan::new(ENTRIES, vec![service])).await?;
    let capacity_per_s = TARGETS as f64 * SLOTS as f64 * 1_000.0 / MEAN_MS;
    let mut rows = Vec::new();
    let mut points = Vec::new();
    for load in LOADS {
        let (mut goodput, mut p99, mut p999, mut refusal_ms) = (vec![], vec![], vec![], vec![]);
        let mut not_in_time = Vec::new();
        for seed in 1..=settings.runs {
            let seeds = lab.caller_addresses().await;
            let run_ms = settings.run_ms + WARM_UP_MS;
            let mut caller = CallerSettings::new(seeds, "quote", capacity_per_s * load, run_ms);
            caller.warm_up_ms = WARM_UP_MS;
            caller.seed = seed;
            let report = Caller::new(caller).run().await.repeatable;
            let seconds = settings.run_ms as f64 / 1_000.0;
            goodput.push(report.in_time as f64 / seconds);
            p99.push(report.p99_ms);
            p999.push(report.p999_ms);
            refusal_ms.push(report.refusal_most_ms);
            not_in_time
                .push((report.sent - report.in_time) as f64 * 100.0 / report.sent.max(1) as f64);
        }
        points.push((load, median(&goodput)));
        rows.push(vec![
            format!("{load}"),
            format!("{:.0}", capacity_per_s * load),
            median_with_range(&goodput),
            format!("{:.1}", median(&not_in_time)),
            median_with_range(&p99),
            median_with_range(&p999),
            median_with_range(&refusal_ms),
        ]);
    }
    points.sort_by(|a: &(f64, f64), b| a.0.total_cmp(&b.0));
    plot::draw(
        &settings.folder.join("overload.svg"),
        "Answers in time against the load",
        ("load, of capacity", "answers in time a second"),
        &[plot::Line {
            name: "goodput".to_owned(),
            points,
        }],
    )?;
    publish(
        &settings.folder,
        "overload",
        &[
            "load",
            "requests/s",
            "answers in time/s",
            "not answered in time %",
            "p99 ms",
            "p99.9 ms",
            "slowest refusal ms",
        ],
        &rows,
    )
}
