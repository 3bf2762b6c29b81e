//! Growth of resource use with the number of targets, changes and once-only records, for the capacity page.

use super::MeasureSettings;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerSettings;
use serde_json::Value;
use serde_json::json;
use std::time::Instant;

/// Numbers of services in the bundle.
const SERVICES: [usize; 4] = [19, 190, 950, 1_900];
/// Number of targets of each service.
const TARGETS_PER_SERVICE: usize = 8;
/// Number of versions that are rolled out after the first.
const CHANGES: usize = 5;
/// Interval between two changes, in milliseconds.
const CHANGE_EVERY_MS: u64 = 2_500;
/// Once-only requests per second that fill the ledger.
const ONCE_RATE_PER_S: f64 = 1_500.0;
/// Time for memory use to settle after a version, in milliseconds.
const SETTLE_MS: u64 = 500;

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    bundle_slopes(settings).await?;
    ledger_slope(settings).await
}

async fn bundle_slopes(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut rows = Vec::new();
    for services in SERVICES {
        let plan = LabPlan::new(2, vec![ServicePlan::new("quote", 1, 6, 5.0)]);
        let plan = plan.with_settings(json!({"head_poll_ms": 1_000, "gossip_ms": 1_000}));
        let mut lab = Lab::start(plan).await?;
        let bundle = large_bundle(&lab, services, 0);
        let whole_bytes = bundle.to_string().len();
        lab.roll(&bundle)?;
        lab.wait_until_in_force().await?;
        sleep_ms(SETTLE_MS).await;
        // The entries' status isn't read during the workload, because a status request costs more than a change.
        let idle = usage_in(&lab, async || sleep_ms(settings.run_ms).await).await;
        let mut bundles = Vec::new();
        for change in 1..=CHANGES {
            let bundle = large_bundle(&lab, services, change);
            bundles.push(lab.sign(&bundle, "operator")?);
            lab.set_version(lab.version() + 1);
        }
        let changed = usage_in(&lab, async || {
            for signed in &bundles {
                // A refused roll is detected at the end, because the last version is then not in force.
                let _ = lab.roll_signed(signed);
                sleep_ms(CHANGE_EVERY_MS).await;
            }
        })
        .await;
        lab.wait_until_in_force().await?;
        let idle_share = changed.seconds / idle.seconds;
        let changes = CHANGES as f64;
        // Both entries apply each change. Their idle use over the same time is subtracted.
        let cpu_ms = (changed.cpu_s - idle.cpu_s * idle_share) * 1_000.0 / (2.0 * changes);
        let bytes = (changed.peer_bytes - idle.peer_bytes * idle_share) / changes;
        let idle_percent = idle.cpu_s * 100.0 / (2.0 * idle.seconds);
        rows.push(vec![
            services.to_string(),
            (services * TARGETS_PER_SERVICE).to_string(),
            format!("{:.0}", whole_bytes as f64 / 1_000.0),
            format!("{:.1}", lab.entry_memory_mb()),
            format!("{idle_percent:.2}"),
            format!("{cpu_ms:.1}"),
            format!("{bytes:.0}"),
        ]);
    }
    publish(
        &settings.folder,
        "slopes-bundle",
        &[
            "services",
            "targets",
            "bundle KB",
            "entry memory MB",
            "idle CPU % of a core",
            "CPU ms a change and entry",
            "peer bytes a change",
        ],
        &rows,
    )
}

fn large_bundle(lab: &Lab, services: usize, change: usize) -> Value {
    let mut bundle = lab.bundle();
    let Some(all) = bundle["services"].as_array_mut() else {
        return bundle;
    };
    for service in 0..services {
        let targets: Vec<Value> = (0..TARGETS_PER_SERVICE)
            .map(|target| {
                let number = service * TARGETS_PER_SERVICE + target;
                let address = format!("10.{}.{}.1:80", number / 250, number % 250);
                json!({"address": address, "failure_domain": format!("domain-{}", target % 3)})
            })
            .collect();
        // With each change, another service has the shorter deadline.
        let deadline_ms = if service == change { 900 } else { 1_000 };
        all.push(json!({
            "name": format!("service-{service}"),
            "hosts": [format!("service-{service}")],
            "slots": 6,
            "deadline_ms": deadline_ms,
            "targets": targets,
        }));
    }
    bundle
}

async fn ledger_slope(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut service = ServicePlan::new("booking", 12, 6, 2.0);
    service.sigma = 0.0;
    let lab = Lab::start(LabPlan::new(1, vec![service])).await?;
    let mut rows = Vec::new();
    let first_mb = lab.entry_memory_mb();
    for _ in 0..3 {
        let seeds = lab.caller_addresses().await;
        let mut caller = CallerSettings::new(seeds, "booking", ONCE_RATE_PER_S, settings.run_ms);
        caller.once_percent = 100;
        Caller::new(caller).run().await;
        let statuses = lab.statuses().await;
        let records: usize = statuses.iter().map(|status| status.ledger_records).sum();
        let growth_mb = lab.entry_memory_mb() - first_mb;
        rows.push(vec![
            records.to_string(),
            format!("{growth_mb:.1}"),
            format!("{:.0}", growth_mb * 1e6 / records.max(1) as f64),
        ]);
    }
    publish(
        &settings.folder,
        "slopes-ledger",
        &["records", "memory grown MB", "bytes a record"],
        &rows,
    )
}

/// Resources that the entries used during a workload.
struct Usage {
    seconds: f64,
    cpu_s: f64,
    peer_bytes: f64,
}

async fn usage_in(lab: &Lab, workload: impl AsyncFnOnce()) -> Usage {
    let bytes_before = lab.counter("peer.bytes").await as f64;
    let cpu_before = lab.entries_cpu_s();
    let started_at = Instant::now();
    workload().await;
    let seconds = started_at.elapsed().as_secs_f64();
    let cpu_s = lab.entries_cpu_s() - cpu_before;
    let peer_bytes = lab.counter("peer.bytes").await as f64 - bytes_before;
    Usage {
        seconds,
        cpu_s,
        peer_bytes,
    }
}
