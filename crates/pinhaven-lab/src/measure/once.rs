//! Both ways to dispatch once-only requests: with a home, and by a claim at the platform.

use super::MeasureSettings;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerSettings;
use pinhaven_stand_in::platform::PlatformFaults;
use serde_json::json;

/// Entries.
const ENTRIES: usize = 3;
/// Mean time of a request, in milliseconds.
const MEAN_MS: f64 = 5.0;
/// Requests a second.
const RATES_PER_S: [f64; 2] = [50.0, 1_000.0];
/// Claims that all entries together write a second at the most; the platform takes several hundred.
const CLAIMS_PER_S: u32 = 300;
/// Time that the platform takes for an answer, in milliseconds: well, and slow.
const PLATFORM_MS: [u64; 2] = [5, 100];

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut service = ServicePlan::new("booking", 12, 6, MEAN_MS);
    service.sigma = 0.0;
    let claims = json!({"claim_writes_per_second": CLAIMS_PER_S / ENTRIES as u32});
    let plan = LabPlan::new(ENTRIES, vec![service]).with_settings(claims);
    let lab = Lab::start(plan).await?;
    let mut rows = Vec::new();
    let well = PLATFORM_MS.map(|delay_ms| {
        let faults = PlatformFaults {
            delay_ms,
            ..PlatformFaults::default()
        };
        (format!("{delay_ms} ms an answer"), faults)
    });
    let down = PlatformFaults {
        table_down: true,
        ..PlatformFaults::default()
    };
    let states = well.into_iter().chain([("down".to_owned(), down)]);
    for (state, faults) in states {
        lab.set_platform_faults(&faults).await;
        for names_home in [true, false] {
            for rate in RATES_PER_S {
                rows.push(one_case(&lab, settings, &state, names_home, rate).await);
            }
        }
        lab.set_platform_faults(&PlatformFaults::default()).await;
    }
    publish(
        &settings.folder,
        "once",
        &[
            "platform",
            "way",
            "requests/s",
            "answered %",
            "p50 ms",
            "p99 ms",
            "refused for",
        ],
        &rows,
    )
}

async fn one_case(
    lab: &Lab,
    settings: &MeasureSettings,
    state: &str,
    names_home: bool,
    rate: f64,
) -> Vec<String> {
    let seeds = lab.caller_addresses().await;
    let mut caller = CallerSettings::new(seeds, "booking", rate, settings.run_ms);
    caller.once_percent = 100;
    caller.names_home = names_home;
    let report = Caller::new(caller).run().await.once;
    let reasons: Vec<String> = report
        .refused
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    vec![
        state.to_owned(),
        if names_home { "home" } else { "claim" }.to_owned(),
        format!("{rate:.0}"),
        format!(
            "{:.1}",
            report.answered as f64 * 100.0 / report.sent.max(1) as f64
        ),
        format!("{:.2}", report.p50_ms),
        format!("{:.2}", report.p99_ms),
        reasons.join("; "),
    ]
}
