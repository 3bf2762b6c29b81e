//! Tail latency against the measuring budget.

use super::MeasureSettings;
use super::choice::ENTRIES;
use super::choice::Fault;
use super::choice::MEAN_MS;
use super::choice::Samples;
use super::choice::Size;
use super::choice::TARGETS;
use super::choice::measure_run;
use super::choice::prepare;
use super::choice::scenario;
use super::median;
use super::median_with_range;
use super::plot;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use serde_json::json;

/// Measuring budgets, in percent of the slot time of targets.
const BUDGETS: [f64; 5] = [0.0, 0.25, 0.5, 1.0, 2.0];
/// Slot time that a probe and its connection use, in milliseconds.
const PROBE_COST_MS: f64 = 7.0;
/// Deployment with fewer slots per target, where the cost of measuring is a larger share.
const SIZE: Size = Size {
    name: "booking",
    slots: 3,
};

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let service = ServicePlan::new(SIZE.name, TARGETS, SIZE.slots, MEAN_MS);
    let mut lab = Lab::start(LabPlan::new(ENTRIES, vec![service])).await?;
    let scenarios = [
        scenario("one slow 30%", 0.3, Fault::OneSlow),
        scenario("moving slow 70%", 0.7, Fault::MovingSlow),
    ];
    let mut rows = Vec::new();
    let mut lines = Vec::new();
    for scenario in &scenarios {
        let mut points = Vec::new();
        for budget in BUDGETS {
            let fields = json!({
                "measuring_budget_percent": budget,
                "hedge_budget_percent": 4,
                "entries_named": 3,
            });
            let mut samples = Samples::default();
            for seed in 1..=settings.runs {
                prepare(&mut lab, &fields).await?;
                measure_run(&lab, settings, &SIZE, scenario, seed, &mut samples).await;
            }
            points.push((budget, median(&samples.p999)));
            let slots = (TARGETS as usize * SIZE.slots) as f64;
            let spent_share = median(&samples.probes) * PROBE_COST_MS / 1_000.0 / slots;
            rows.push(vec![
                scenario.name.to_owned(),
                format!("{budget}"),
                format!("{:.3}", spent_share * 100.0),
                median_with_range(&samples.probes),
                median_with_range(&samples.p99),
                median_with_range(&samples.p999),
                median_with_range(&samples.once_p999),
            ]);
        }
        lines.push(plot::Line {
            name: scenario.name.to_owned(),
            points,
        });
    }
    plot::draw(
        &settings.folder.join("budget.svg"),
        "99.9th percentile against the budget of measuring",
        ("budget, % of slot time", "99.9th percentile, ms"),
        &lines,
    )?;
    publish(
        &settings.folder,
        "budget",
        &[
            "case",
            "budget %",
            "spent %",
            "probes/s",
            "p99 ms",
            "p99.9 ms",
            "once p99.9 ms",
        ],
        &rows,
    )
}
