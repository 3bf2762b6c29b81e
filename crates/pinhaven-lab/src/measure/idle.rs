//! Memory, processor time and control traffic of an idle entry.

use super::MeasureSettings;
use super::publish;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_runtime::connect_stream;
use pinhaven_runtime::sleep_ms;
use serde_json::json;

/// Numbers of entries in the deployment.
const ENTRIES: [usize; 3] = [3, 9, 18];
/// Number of caller connections that are kept open at one entry.
const CONNECTIONS: usize = 2_000;

pub(super) async fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut rows = Vec::new();
    for entries in ENTRIES {
        let service = ServicePlan::new("quote", 30, 6, 20.0);
        let plan = LabPlan::new(entries, vec![service]);
        // The default values of these settings.
        let plan = plan.with_settings(json!({"head_poll_ms": 1_000, "gossip_ms": 1_000}));
        let lab = Lab::start(plan).await?;
        let cpu_before = lab.entries_cpu_s();
        let bytes_before = lab.counter("peer.bytes").await as f64;
        sleep_ms(settings.run_ms).await;
        let seconds = settings.run_ms as f64 / 1_000.0;
        let cpu = (lab.entries_cpu_s() - cpu_before) / seconds / entries as f64;
        // Sender and receiver both count a message, so the figure has both directions.
        let bytes =
            (lab.counter("peer.bytes").await as f64 - bytes_before) / seconds / entries as f64;
        let idle_mb = lab.entry_memory_mb();
        let connected_mb = memory_with_connections_mb(&lab).await;
        rows.push(vec![
            entries.to_string(),
            format!("{:.2}", cpu * 100.0),
            format!("{:.2}", bytes / 1_000.0),
            format!("{idle_mb:.1}"),
            format!("{connected_mb:.1}"),
        ]);
    }
    publish(
        &settings.folder,
        "idle",
        &[
            "entries",
            "CPU % of a core",
            "peer messages KB/s, both ways",
            "memory MB, most",
            "memory MB with 2000 connections",
        ],
        &rows,
    )
}

async fn memory_with_connections_mb(lab: &Lab) -> f64 {
    let addresses = lab.caller_addresses().await;
    let Some(address) = addresses.first() else {
        return 0.0;
    };
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.extend(connect_stream(*address).await.ok());
    }
    sleep_ms(500).await;
    lab.entry_memory_mb()
}
