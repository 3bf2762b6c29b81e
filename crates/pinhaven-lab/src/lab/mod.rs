//! Lab: a running deployment of a platform, targets and entries.

mod bundles;
mod entries;
mod error;
mod fault;
mod observe;

pub use error::LabError;

use crate::plan::LabPlan;
use crate::process::Process;
use crate::process::sibling;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Small deployment of real processes, which are killed on drop.
pub struct Lab {
    plan: LabPlan,
    folder: PathBuf,
    platform: SocketAddr,
    _platform_process: Process,
    targets: Vec<Vec<SocketAddr>>,
    target_processes: Vec<Process>,
    entries: BTreeMap<String, Process>,
    peer_addresses: BTreeMap<String, SocketAddr>,
    first_caller_addresses: Vec<SocketAddr>,
    public_key: String,
    version: u64,
}

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

impl Lab {
    /// Starts all processes of a plan, rolls the first bundle and waits until all entries are ready.
    ///
    /// # Errors
    ///
    /// [`LabError`] if a process can't be started or does not become ready.
    pub async fn start(plan: LabPlan) -> Result<Self, LabError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("pinhaven-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(LabError::new)?;
        let (platform_process, addresses) =
            start_stand_in(&folder, "platform", vec!["platform".to_owned()])?;
        let platform = *addresses
            .first()
            .ok_or_else(|| LabError::new("the platform printed no address"))?;
        let mut lab = Self {
            plan,
            folder,
            platform,
            _platform_process: platform_process,
            targets: Vec::new(),
            target_processes: Vec::new(),
            entries: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            first_caller_addresses: Vec::new(),
            public_key: String::new(),
            version: 0,
        };
        lab.start_targets()?;
        lab.make_key()?;
        lab.roll(&lab.bundle())?;
        for index in 0..lab.plan.entries {
            lab.start_entry(index)?;
        }
        lab.wait_until_ready().await?;
        for row in lab.rows().await {
            let name = row.instance_id.to_string();
            lab.peer_addresses.insert(name, row.peer_address);
            lab.first_caller_addresses.push(row.caller_address);
        }
        Ok(lab)
    }

    fn start_targets(&mut self) -> Result<(), LabError> {
        for (index, service) in self.plan.services.iter().enumerate() {
            let arguments = [
                "targets".to_owned(),
                format!("--count={}", service.targets),
                format!("--slots={}", service.slots),
                format!("--mean-ms={}", service.mean_ms),
                format!("--sigma={}", service.sigma),
                format!("--seed={}", self.plan.seed * 100 + index as u64),
            ];
            let name = format!("targets-{}", service.name);
            let (process, addresses) = start_stand_in(&self.folder, &name, arguments.to_vec())?;
            self.target_processes.push(process);
            self.targets.push(addresses);
        }
        Ok(())
    }

    /// Plan of this lab.
    pub fn plan(&self) -> &LabPlan {
        &self.plan
    }

    /// Folder with settings, bundles and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Addresses of the targets of the service with an index in the plan.
    pub fn targets(&self, service: usize) -> &[SocketAddr] {
        &self.targets[service]
    }

    /// Version of the newest rolled bundle.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets the newest version, for a roll made without [`Lab::roll`].
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Runs a `pinhaven` command with the platform's address and returns the command's standard output.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's error output if the command fails.
    pub fn command(&self, words: &[&str]) -> Result<String, LabError> {
        let table = self.platform.to_string();
        let mut all = words.to_vec();
        all.extend(["--table", &table]);
        command(&all)
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // A folder that can't be removed stays in the system's temporary folder.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn start_stand_in(
    folder: &Path,
    name: &str,
    arguments: Vec<String>,
) -> Result<(Process, Vec<SocketAddr>), LabError> {
    let log = folder.join(format!("{name}.log"));
    let started = Process::start(&sibling("pinhaven-stand-in"), &arguments, &log, true);
    let (process, line) =
        started.map_err(|error| LabError::new(format!("starting {name}: {error}")))?;
    let addresses = serde_json::from_str(&line)
        .map_err(|error| LabError::new(format!("reading the addresses of {name}: {error}")))?;
    Ok((process, addresses))
}

fn command(words: &[&str]) -> Result<String, LabError> {
    let output = Command::new(sibling("pinhaven"))
        .args(words)
        .output()
        .map_err(LabError::new)?;
    if !output.status.success() {
        let text = String::from_utf8_lossy(&output.stderr);
        return Err(LabError::new(text.trim()));
    }
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}
