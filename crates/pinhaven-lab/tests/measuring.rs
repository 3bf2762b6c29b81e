//! The measuring budget with real processes: probes stay within it while entries are killed and paused, with more
//! entries than seats and with lost answers of the platform.

mod common;

use common::run_serially;
use common::start_lab;
use pinhaven_lab::LabPlan;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::platform::PlatformFaults;
use serde_json::json;

/// Length of the budget's window, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Number of slots of each target.
const SLOTS: u64 = 3;
/// Share of the targets' slot time that probes may use, in percent.
const BUDGET_PERCENT: u64 = 2;
/// Slot time charged for each probe with its connection, in milliseconds.
const PROBE_COST_MS: u64 = 7;

#[test]
fn probes_stay_within_the_budget_whatever_happens_to_the_entries() {
    run_serially(async {
        let fields = json!({"measuring_budget_percent": BUDGET_PERCENT});
        let service = common::quote_service().with_bundle(fields);
        let mut lab = start_lab(LabPlan::new(4, vec![service])).await;
        let mut bundle = lab.bundle();
        bundle["measuring"] = json!({"seats": 2, "window_ms": WINDOW_MS});
        lab.roll(&bundle).unwrap();
        lab.wait_until_in_force().await.unwrap();
        let have_probed = async || {
            let statuses = lab.statuses().await;
            statuses.iter().map(|s| s.counters["probes"]).sum::<u64>() > 20
        };
        lab.wait_for("probes to be sent", have_probed)
            .await
            .unwrap();
        lab.entry(0).pause();
        lab.kill_entry(1);
        sleep_ms(1_000).await;
        lab.start_entry(1).unwrap();
        sleep_ms(1_000).await;
        lab.entry(0).resume();
        let lossy = PlatformFaults {
            lost_answer_percent: 50,
            ..PlatformFaults::default()
        };
        lab.set_platform_faults(&lossy).await;
        sleep_ms(4_000).await;
        let allowed_ms = BUDGET_PERCENT * SLOTS * WINDOW_MS / 100;
        let mut probe_count = 0;
        for target in lab.targets(0) {
            let times = lab.target_counts(*target).await.probe_times_ms;
            probe_count += times.len();
            for window_start in &times {
                let in_window = times
                    .iter()
                    .filter(|time| (*window_start..window_start + WINDOW_MS).contains(time));
                let cost_ms = in_window.count() as u64 * PROBE_COST_MS;
                assert!(
                    cost_ms <= allowed_ms,
                    "{cost_ms} of {allowed_ms} ms: {times:?}"
                );
            }
        }
        assert!(probe_count > 0);
    });
}
