//! Helpers shared by the tests that start real processes.
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

/// Runtime threads of the test process.
const RUNTIME_THREADS: usize = 2;

/// Lock held by the test that is running.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Runs a test that starts processes. Such tests run one at a time so that they don't slow each other down.
pub fn run_serially(test: impl Future<Output = ()>) {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    run_with_threads(RUNTIME_THREADS, test);
}

/// A service of 6 targets with 3 slots each and a mean request duration of 10 ms.
pub fn quote_service() -> ServicePlan {
    let mut service = ServicePlan::new("quote", 6, 3, 10.0);
    service.sigma = 0.3;
    service
}

/// Starts a deployment of 3 entries with the service of [`quote_service`].
pub async fn start_default_lab() -> Lab {
    start_lab(LabPlan::new(3, vec![quote_service()])).await
}

/// Starts a deployment.
///
/// # Panics
///
/// Panics if the deployment can't be started.
pub async fn start_lab(plan: LabPlan) -> Lab {
    Lab::start(plan)
        .await
        .unwrap_or_else(|error| panic!("{error}"))
}

/// Starts a caller in the background that marks half of its requests as once-only.
pub async fn start_caller(
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

/// Fails the test if an answer or a run status given to a caller was wrong, or if a promise was broken.
pub async fn assert_no_faults(lab: &Lab, report: &CallerReport) {
    let mut faults = faults_of_report(lab, 0, report).await;
    faults.extend(broken_promises(lab).await);
    assert!(faults.is_empty(), "{faults:#?}");
}
