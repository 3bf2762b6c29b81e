//! Time until a version is in force at all entries.

use super::MeasureSettings;
use super::median_with_range;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_stand_in::platform::PlatformFaults;
use serde_json::json;
use std::time::Instant;

/// Number of entries, as in each of the users' deployments.
const ENTRIES: usize = 18;

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let service = ServicePlan::new("quote", 30, 6, 20.0);
    let plan = LabPlan::new(ENTRIES, vec![service]);
    // The default values of these settings.
    let plan = plan.with_settings(json!({"head_poll_ms": 1_000, "gossip_ms": 1_000}));
    let mut lab = Lab::start(plan).await?;
    let states = [
        ("well", PlatformFaults::default()),
        (
            "500 ms an answer",
            PlatformFaults {
                delay_ms: 500,
                ..PlatformFaults::default()
            },
        ),
        (
            "20% of calls hang",
            PlatformFaults {
                hang_percent: 20,
                ..PlatformFaults::default()
            },
        ),
    ];
    let mut rows = Vec::new();
    for (state, faults) in states {
        let mut times = Vec::new();
        for _ in 0..settings.runs {
            lab.set_platform_faults(&PlatformFaults::default()).await;
            let bundle = lab.bundle();
            lab.roll(&bundle)?;
            lab.set_platform_faults(&faults).await;
            let started_at = Instant::now();
            lab.wait_until_all_have(lab.version()).await?;
            times.push(started_at.elapsed().as_secs_f64() * 1_000.0);
        }
        lab.set_platform_faults(&PlatformFaults::default()).await;
        rows.push(vec![
            ENTRIES.to_string(),
            state.to_owned(),
            median_with_range(&times),
        ]);
    }
    let heads = ["entries", "platform", "in force at all after ms"];
    publish(&settings.folder, "spread", &heads, &rows)
}
