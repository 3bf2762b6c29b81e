//! What the tests with real processes share.
#![allow(dead_code)]

use pinhaven_lab::Lab;
use pinhaven_lab::LabPlan;
use pinhaven_lab::ServicePlan;
use pinhaven_lab::check::broken_promises;
use pinhaven_lab::check::faults_of_report;
use pinhaven_runtime::Task;
use pinhaven_runtime::run_with_threads;
use pinhaven_runtime::spawn;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerReport;
use pinhaven_stand_in::caller::CallerSettings;
use std::future::Future;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Threads of a test's own process.
const THREADS: usize = 2;

static TURN: Mutex<()> = Mutex::new(());

/// Runs a test that starts processes; one at a time, so that they don't slow each other down.
pub fn in_turn(test: impl Future<Output = ()>) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    run_with_threads(THREADS, test);
}

/// A service of 6 targets with 3 slots each and short requests.
pub fn quote() -> ServicePlan {
    let mut service = ServicePlan::new("quote", 6, 3, 10.0);
    service.sigma = 0.3;
    service
}

/// A deployment of 3 entries with that service.
pub async fn lab() -> Lab {
    start(LabPlan::new(3, vec![quote()])).await
}

pub async fn start(plan: LabPlan) -> Lab {
    Lab::start(plan)
        .await
        .unwrap_or_else(|error| panic!("{error}"))
}

/// A caller in the background: half of its requests may not be repeated.
pub async fn call(
    lab: &Lab,
    duration_ms: u64,
    change: impl FnOnce(&mut CallerSettings),
) -> Task<CallerReport> {
    let seeds = lab.caller_addresses().await;
    let mut settings = CallerSettings::new(seeds, "quote", 150.0, duration_ms);
    settings.once_percent = 50;
    settings.deadline_ms = 5_000;
    change(&mut settings);
    spawn(Caller::new(settings).run())
}

/// Fails the test unless everything that was said to callers was right.
pub async fn require_right(lab: &Lab, report: &CallerReport) {
    let mut faults = faults_of_report(lab, 0, report).await;
    faults.extend(broken_promises(lab).await);
    assert!(faults.is_empty(), "{faults:#?}");
}
