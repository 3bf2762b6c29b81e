//! Soak test: a long run of real processes with random kills, pauses, planned stops, platform outages, lost answers,
//! competing rolls by two operators, and misbehaving targets.
//!
//! The seed determines the faults and their order, so that a run with the same seed repeats the schedule. The command
//! prints the seed with the results.

use crate::check::broken_promises;
use crate::check::faults_of_report;
use crate::lab::Lab;
use crate::lab::LabError;
use crate::plan::LabPlan;
use crate::plan::ServicePlan;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerReport;
use pinhaven_stand_in::caller::CallerSettings;
use pinhaven_stand_in::platform::PlatformFaults;
use pinhaven_stand_in::target::TargetFaults;
use serde_json::json;
use std::time::Duration;

/// Number of entries.
const ENTRIES: usize = 5;
/// Number of targets.
const TARGETS: u64 = 8;
/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 700;
/// Requests per second of each caller.
const RATE_PER_S: f64 = 150.0;
/// Share of once-only requests, in percent.
const ONCE_PERCENT: u8 = 50;
/// Maximum duration of a planned stop.
const STOP_MAX: Duration = Duration::from_secs(20);
/// Duration of the load after the last fault is cleared, in milliseconds.
const QUIET_MS: u64 = 2_000;

/// Result of a soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Description of each step.
    pub steps: Vec<String>,
    /// Violated checks.
    pub faults: Vec<String>,
    /// Report of the caller that names a home.
    pub with_home: CallerReport,
    /// Report of the caller that names no home.
    pub without_home: CallerReport,
}

/// Runs a soak.
///
/// # Errors
///
/// [`LabError`] if the deployment can't be started.
pub async fn run(seed: u64, duration_ms: u64) -> Result<SoakReport, LabError> {
    let service = ServicePlan::new("quote", TARGETS, 3, 20.0);
    let settings = json!({"platform_timeout_ms": 500, "ledger_epoch_ms": 20_000});
    let plan = LabPlan::new(ENTRIES, vec![service]).with_seed(seed);
    let lab = Lab::start(plan.with_settings(settings)).await?;
    let seeds = lab.caller_addresses().await;
    let callers = [true, false].map(|names_home| {
        let mut settings = CallerSettings::new(seeds.clone(), "quote", RATE_PER_S, duration_ms);
        settings.once_percent = ONCE_PERCENT;
        settings.names_home = names_home;
        settings.seed = seed;
        spawn(Caller::new(settings).run())
    });
    let mut soak = Soak {
        lab,
        random: fastrand::Rng::with_seed(seed),
        entries: [EntryState::Running; ENTRIES],
        versions_seen: [0; ENTRIES],
        report: SoakReport::default(),
    };
    for _ in 0..duration_ms / STEP_MS {
        soak.step().await;
        soak.check_versions().await;
        sleep_ms(STEP_MS).await;
    }
    let [with_home, without_home] = callers;
    soak.recover().await;
    soak.report.with_home = with_home.await;
    soak.report.without_home = without_home.await;
    soak.finish().await;
    Ok(soak.report)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryState {
    Running,
    Paused,
    Dead,
}

struct Soak {
    lab: Lab,
    random: fastrand::Rng,
    entries: [EntryState; ENTRIES],
    /// Version last seen in force in the current process of each entry.
    versions_seen: [u64; ENTRIES],
    report: SoakReport,
}

impl Soak {
    async fn step(&mut self) {
        let index = self.random.usize(..ENTRIES);
        match self.random.u8(0..12) {
            0 => self.kill(index),
            1 => self.pause(index),
            2 => self.stop(index).await,
            3..=5 => self.restore_entry(index),
            6 => self.inject_platform_fault().await,
            7 => self.clear_platform_faults().await,
            8 => self.roll(),
            9 => self.roll_twice(),
            10 => self.inject_target_fault().await,
            _ => self.clear_target_faults().await,
        }
    }

    fn record_step(&mut self, step: String) {
        self.report.steps.push(step);
    }

    /// Whether an entry can be lost with at least one left running.
    fn can_lose_entry(&self) -> bool {
        let running = self.entries.iter().filter(|e| **e == EntryState::Running);
        running.count() > 1
    }

    fn kill(&mut self, index: usize) {
        if self.can_lose_entry() {
            self.record_step(format!("kill entry {index}"));
            self.lab.kill_entry(index);
            self.entries[index] = EntryState::Dead;
        }
    }

    fn pause(&mut self, index: usize) {
        if self.entries[index] == EntryState::Running && self.can_lose_entry() {
            self.record_step(format!("pause entry {index}"));
            self.lab.entry(index).pause();
            self.entries[index] = EntryState::Paused;
        }
    }

    async fn stop(&mut self, index: usize) {
        if self.entries[index] == EntryState::Running && self.can_lose_entry() {
            self.record_step(format!("planned stop of entry {index}"));
            self.lab.entry(index).terminate();
            let exit = self.lab.entry(index).wait(STOP_MAX).await;
            if exit != Some(true) {
                let fault = format!("the planned stop of entry {index} ended as {exit:?}");
                self.report.faults.push(fault);
            }
            self.lab.kill_entry(index);
            self.entries[index] = EntryState::Dead;
        }
    }

    fn restore_entry(&mut self, index: usize) {
        match self.entries[index] {
            EntryState::Running => return,
            EntryState::Paused => self.lab.entry(index).resume(),
            EntryState::Dead => {
                if let Err(error) = self.lab.start_entry(index) {
                    self.report.faults.push(error.to_string());
                }
                self.versions_seen[index] = 0;
            }
        }
        self.record_step(format!("restore entry {index}"));
        self.entries[index] = EntryState::Running;
    }

    async fn inject_platform_fault(&mut self) {
        let faults = match self.random.u8(0..5) {
            0 => PlatformFaults {
                table_down: true,
                ..PlatformFaults::default()
            },
            1 => PlatformFaults {
                object_down: true,
                ..PlatformFaults::default()
            },
            2 => PlatformFaults {
                table_down: true,
                object_down: true,
                ..PlatformFaults::default()
            },
            3 => PlatformFaults {
                delay_ms: 300,
                ..PlatformFaults::default()
            },
            _ => PlatformFaults {
                lost_answer_percent: 50,
                hang_percent: 20,
                ..PlatformFaults::default()
            },
        };
        self.record_step(format!("platform: {faults:?}"));
        self.lab.set_platform_faults(&faults).await;
    }

    async fn clear_platform_faults(&mut self) {
        self.record_step("platform: no faults".to_owned());
        self.lab
            .set_platform_faults(&PlatformFaults::default())
            .await;
    }

    fn roll(&mut self) {
        let bundle = self.bundle_with_new_deadline();
        let outcome = self.lab.roll(&bundle);
        self.record_step(format!("roll version {}: {outcome:?}", bundle["version"]));
        self.refresh_version();
    }

    /// Rolls the same version twice, as two competing operators do. At most one roll may succeed.
    fn roll_twice(&mut self) {
        let mut won = 0;
        for _ in 0..2 {
            let bundle = self.bundle_with_new_deadline();
            let signed = self.lab.sign(&bundle, "operator");
            won += u32::from(signed.is_ok_and(|file| self.lab.roll_signed(&file).is_ok()));
        }
        if won > 1 {
            self.report
                .faults
                .push("both competing rolls of a version succeeded".to_owned());
        }
        self.record_step(format!("competing rolls: {won} succeeded"));
        self.refresh_version();
    }

    fn bundle_with_new_deadline(&mut self) -> serde_json::Value {
        let mut bundle = self.lab.bundle();
        let deadline_ms = self.random.u64(900..1_100);
        bundle["services"][0]["deadline_ms"] = json!(deadline_ms);
        bundle
    }

    /// Refreshes the newest version from the platform, because a roll that failed may have taken effect.
    fn refresh_version(&mut self) {
        let history = self.lab.command(&["bundle", "status", "--format", "json"]);
        let rows: serde_json::Value =
            serde_json::from_str(&history.unwrap_or_default()).unwrap_or_default();
        if let Some(newest) = rows[0]["newest"].as_u64() {
            self.lab.set_version(newest);
        }
    }

    async fn inject_target_fault(&mut self) {
        let target = self.lab.targets(0)[self.random.usize(..TARGETS as usize)];
        let mut faults = TargetFaults::default();
        match self.random.u8(0..6) {
            0 => faults.slow_factor = 10.0,
            1 => faults.fail_percent = 100,
            2 => faults.cut_percent = 30,
            3 => faults.crossed_percent = 30,
            4 => faults.queue_most = 1,
            _ => faults.lying = true,
        }
        self.record_step(format!("target {target}: {faults:?}"));
        self.lab.set_target_faults(target, &faults).await;
    }

    async fn clear_target_faults(&mut self) {
        self.record_step("targets: no faults".to_owned());
        for target in self.lab.targets(0).to_vec() {
            self.lab
                .set_target_faults(target, &TargetFaults::default())
                .await;
        }
    }

    /// Checks that no entry returns to an older version while its process runs.
    async fn check_versions(&mut self) {
        for index in 0..ENTRIES {
            if self.entries[index] != EntryState::Running {
                continue;
            }
            let Some(status) = self.lab.status(index).await else {
                continue;
            };
            let version = status.own.version.number();
            if version < self.versions_seen[index] {
                let seen = self.versions_seen[index];
                let fault = format!("entry {index} returned from version {seen} to {version}");
                self.report.faults.push(fault);
            }
            self.versions_seen[index] = version;
        }
    }

    async fn recover(&mut self) {
        self.clear_platform_faults().await;
        self.clear_target_faults().await;
        for index in 0..ENTRIES {
            self.restore_entry(index);
        }
    }

    /// Checks that the deployment serves again after the faults and that all reports of callers are correct.
    async fn finish(&mut self) {
        self.refresh_version();
        let outcomes = [
            self.lab.wait_until_ready().await,
            self.lab.wait_until_in_force().await,
        ];
        for outcome in outcomes {
            if let Err(error) = outcome {
                self.report.faults.push(error.to_string());
            }
        }
        let seeds = self.lab.caller_addresses().await;
        let quiet = CallerSettings::new(seeds, "quote", RATE_PER_S, QUIET_MS);
        let quiet = Caller::new(quiet).run().await.repeatable;
        if quiet.answered * 100 < quiet.sent * 99 {
            let fault = format!(
                "{} of {} requests answered after the last fault was cleared",
                quiet.answered, quiet.sent
            );
            self.report.faults.push(fault);
        }
        let mut faults = Vec::new();
        for report in [&self.report.with_home, &self.report.without_home] {
            faults.extend(faults_of_report(&self.lab, 0, report).await);
        }
        faults.extend(broken_promises(&self.lab).await);
        self.report.faults.extend(faults);
    }
}
