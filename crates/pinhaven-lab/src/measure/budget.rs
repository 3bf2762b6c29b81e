//! The tail against the budget of measuring.

use super::MeasureSettings;
use super::choice::ENTRIES;
use super::choice::Figures;
use super::choice::MEAN_MS;
use super::choice::Size;
use super::choice::TARGETS;
use super::choice::Trouble;
use super::choice::one_run;
use super::choice::prepare;
use super::choice::scenario;
use super::median;
use super::plot;
use super::publish;
use super::with_spread;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use serde_json::json;

/// Budgets, in percent of a target's slot time.
const BUDGETS: [f64; 5] = [0.0, 0.25, 0.5, 1.0, 2.0];
/// Slot time of a probe with its connection, in milliseconds.
const PROBE_COST_MS: f64 = 7.0;
/// The deployment with fewer slots weighs the cost of measuring more.
const SIZE: Size = Size {
    name: "booking",
    slots: 3,
};

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let service = ServicePlan::new(SIZE.name, TARGETS, SIZE.slots, MEAN_MS);
    let mut lab = Lab::start(LabPlan::new(ENTRIES, vec![service])).await?;
    let scenarios = [
        scenario("one slow 30%", 0.3, Trouble::OneSlow),
        scenario("moving slow 70%", 0.7, Trouble::MovingSlow),
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
            let mut figures = Figures::default();
            for seed in 1..=settings.runs {
                prepare(&mut lab, &fields).await?;
                one_run(&lab, settings, &SIZE, scenario, seed, &mut figures).await;
            }
            points.push((budget, median(&figures.p999)));
            let slots = (TARGETS as usize * SIZE.slots) as f64;
            let spent = median(&figures.probes) * PROBE_COST_MS / 1_000.0 / slots;
            rows.push(vec![
                scenario.name.to_owned(),
                format!("{budget}"),
                format!("{:.3}", spent * 100.0),
                with_spread(&figures.probes),
                with_spread(&figures.p99),
                with_spread(&figures.p999),
                with_spread(&figures.once_p999),
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
