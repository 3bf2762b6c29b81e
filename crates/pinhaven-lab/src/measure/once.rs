//! Once-only requests, dispatched in both ways: by their home entry, and by a claim in the platform's table.

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

/// Number of entries.
const ENTRIES: usize = 3;
/// Mean duration of a request at a target, in milliseconds.
const MEAN_MS: f64 = 5.0;
/// Requests per second.
const RATES_PER_S: [f64; 2] = [50.0, 1_000.0];
/// Maximum number of claims per second that all entries together write; the platform accepts several hundred.
const CLAIMS_PER_S_MAX: u32 = 300;
/// Delays of the platform's answers, in milliseconds: in normal operation, and slow.
const PLATFORM_DELAYS_MS: [u64; 2] = [5, 100];

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut service = ServicePlan::new("booking", 12, 6, MEAN_MS);
    service.sigma = 0.0;
    let claims = json!({"claim_writes_per_second": CLAIMS_PER_S_MAX / ENTRIES as u32});
    let plan = LabPlan::new(ENTRIES, vec![service]).with_settings(claims);
    let lab = Lab::start(plan).await?;
    let mut rows = Vec::new();
    let answering = PLATFORM_DELAYS_MS.map(|delay_ms| {
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
    let states = answering.into_iter().chain([("down".to_owned(), down)]);
    for (state, faults) in states {
        lab.set_platform_faults(&faults).await;
        for names_home in [true, false] {
            for rate in RATES_PER_S {
                rows.push(run_case(&lab, settings, &state, names_home, rate).await);
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

async fn run_case(
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
