//! A running lab.

use crate::plan::LabPlan;
use crate::process::Process;
use crate::process::sibling;
use bytes::Bytes;
use http::Request;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_entry::InstanceStatus;
use pinhaven_platform::ENTRY_PREFIX;
use pinhaven_platform::HttpTableService;
use pinhaven_platform::TableService;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::platform::PlatformFaults;
use pinhaven_stand_in::target::TargetCounts;
use pinhaven_stand_in::target::TargetFaults;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// How long a lab waits for something to come about.
const WAIT_MOST: Duration = Duration::from_secs(30);
/// How often it looks, in milliseconds.
const LOOK_MS: u64 = 20;
/// How long a call to a process may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// Name of the operator who signs the lab's bundles.
const SIGNER: &str = "operator";

/// Why a lab could not do something.
#[derive(Debug)]
pub struct LabError(String);

impl LabError {
    /// An error with a message.
    pub fn new(message: impl fmt::Display) -> Self {
        Self(message.to_string())
    }
}

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LabError {}

/// Processes that make up a small deployment.
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
    /// Starts everything that a plan names, rolls its first bundle and waits until it serves.
    ///
    /// # Errors
    ///
    /// [`LabError`] when a process can't be started or does not become ready.
    pub async fn start(plan: LabPlan) -> Result<Self, LabError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("pinhaven-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(LabError::new)?;
        let (platform_process, addresses) =
            start_stand_in(&folder, "platform", vec!["platform".to_owned()])?;
        let platform = *addresses
            .first()
            .ok_or_else(|| LabError::new("the platform told no address"))?;
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

    fn make_key(&mut self) -> Result<(), LabError> {
        let key = self.folder.join("operator.key");
        let key = key.display().to_string();
        self.public_key = command(&["bundle", "key", "--out", &key])?
            .trim()
            .to_owned();
        Ok(())
    }

    /// The plan.
    pub fn plan(&self) -> &LabPlan {
        &self.plan
    }

    /// Folder with settings, bundles and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Where the platform listens.
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Targets of the service with this index in the plan.
    pub fn targets(&self, service: usize) -> &[SocketAddr] {
        &self.targets[service]
    }

    /// Version of the last bundle that was rolled.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes over that another version is the newest.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// A bundle of the next version with all services of the plan.
    pub fn bundle(&self) -> Value {
        let services: Vec<Value> = self
            .plan
            .services
            .iter()
            .zip(&self.targets)
            .map(|(service, targets)| service.to_bundle(targets, &self.plan.domains))
            .collect();
        json!({
            "version": self.version + 1,
            "address_keep_ms": self.plan.address_keep_ms,
            "services": services,
        })
    }

    /// Signs a bundle off and rolls it.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's output when it is refused.
    pub fn roll(&mut self, bundle: &Value) -> Result<(), LabError> {
        let signed = self.sign(bundle, SIGNER)?;
        self.roll_signed(&signed)?;
        self.version = bundle["version"].as_u64().unwrap_or(self.version + 1);
        Ok(())
    }

    /// Signs a bundle off; gives the file with the signed bundle.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's output when it is refused.
    pub fn sign(&self, bundle: &Value, signer: &str) -> Result<PathBuf, LabError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.join(format!("bundle-{number}.json"));
        let signed = self.folder.join(format!("bundle-{number}.signed.json"));
        std::fs::write(&file, bundle.to_string()).map_err(LabError::new)?;
        let key = self.folder.join("operator.key");
        command(&[
            "bundle",
            "sign",
            &file.display().to_string(),
            "--signer",
            signer,
            "--key",
            &key.display().to_string(),
            "--out",
            &signed.display().to_string(),
        ])?;
        Ok(signed)
    }

    /// Rolls a signed bundle.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's output when it is refused.
    pub fn roll_signed(&self, signed: &Path) -> Result<(), LabError> {
        let table = self.platform.to_string();
        let signed = signed.display().to_string();
        command(&["bundle", "roll", &signed, "--table", &table])?;
        Ok(())
    }

    /// Runs a `pinhaven` command that needs the platform; gives its output.
    ///
    /// # Errors
    ///
    /// [`LabError`] with the command's output when it fails.
    pub fn command(&self, words: &[&str]) -> Result<String, LabError> {
        let table = self.platform.to_string();
        let mut all = words.to_vec();
        all.extend(["--table", &table]);
        command(&all)
    }

    /// Name of the entry with an index.
    pub fn entry_name(index: usize) -> String {
        format!("entry-{index}")
    }

    /// Starts the entry with an index, anew if it ran before.
    ///
    /// # Errors
    ///
    /// [`LabError`] when the process can't be started.
    pub fn start_entry(&mut self, index: usize) -> Result<(), LabError> {
        self.start_entry_process(index, &json!({}))
    }

    /// Starts an entry with more settings at a peer address that is known beforehand, so that it can
    /// be asked while the platform is down.
    ///
    /// # Errors
    ///
    /// [`LabError`] when the process can't be started.
    pub fn start_entry_with(
        &mut self,
        index: usize,
        settings: Value,
    ) -> Result<SocketAddr, LabError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(LabError::new)?;
        let address = listener.local_addr().map_err(LabError::new)?;
        drop(listener);
        let mut settings = settings;
        settings["peer_address"] = json!(address);
        self.start_entry_process(index, &settings)?;
        self.peer_addresses.insert(Self::entry_name(index), address);
        Ok(address)
    }

    /// Where the entry with an index listened for peers when the lab last looked.
    ///
    /// # Panics
    ///
    /// Panics when it was never ready.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.peer_addresses[&Self::entry_name(index)]
    }

    fn start_entry_process(&mut self, index: usize, more: &Value) -> Result<(), LabError> {
        let name = Self::entry_name(index);
        let domain = &self.plan.domains[index % self.plan.domains.len()];
        let mut settings = json!({
            "instance_id": name,
            "failure_domain": domain,
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "table_address": self.platform,
            "object_address": self.platform,
            "trusted_signers": [{"name": SIGNER, "public_key": self.public_key}],
            "head_poll_ms": 200,
            "gossip_ms": 200,
        });
        for fields in [&self.plan.settings, more] {
            if let (Some(all), Some(fields)) = (settings.as_object_mut(), fields.as_object()) {
                all.extend(fields.clone());
            }
        }
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).map_err(LabError::new)?;
        let arguments = [
            "entry".to_owned(),
            "--settings".to_owned(),
            file.display().to_string(),
        ];
        let log = self.folder.join(format!("{name}.log"));
        let (process, _) = Process::start(&sibling("pinhaven"), &arguments, &log, false)
            .map_err(|error| LabError::new(format!("starting {name}: {error}")))?;
        self.entries.insert(name, process);
        Ok(())
    }

    /// The process of the entry with an index.
    ///
    /// # Panics
    ///
    /// Panics when it was never started.
    pub fn entry(&mut self, index: usize) -> &mut Process {
        let name = Self::entry_name(index);
        let process = self.entries.get_mut(&name);
        process.unwrap_or_else(|| panic!("{name} was never started"))
    }

    /// The processes of all entries.
    pub fn entry_processes(&self) -> impl Iterator<Item = &Process> {
        self.entries.values()
    }

    /// Freezes, lets go or ends the targets of the service with this index.
    pub fn target_process(&mut self, service: usize) -> &mut Process {
        &mut self.target_processes[service]
    }

    /// Processor time of all entries so far, in seconds.
    pub fn entries_cpu_s(&self) -> f64 {
        let times = self.entry_processes().map(Process::cpu_time);
        times.map(|time| time.as_secs_f64()).sum()
    }

    /// Memory of the entry that holds most, in millions of bytes.
    pub fn entry_memory_mb(&self) -> f64 {
        let most = self.entry_processes().map(Process::memory_bytes).max();
        most.unwrap_or_default() as f64 / 1e6
    }

    /// A counter, summed over all entries that answer.
    pub async fn counter(&self, name: &str) -> u64 {
        let statuses = self.statuses().await;
        statuses.iter().filter_map(|s| s.counters.get(name)).sum()
    }

    /// Kills the entry with an index and forgets it.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries.remove(&Self::entry_name(index));
    }

    /// What the platform's list says of the entries.
    pub async fn rows(&self) -> Vec<MemberRow> {
        let table = HttpTableService::new(self.platform, CALL_TIMEOUT_MS);
        let rows = table.list(ENTRY_PREFIX).await.unwrap_or_default();
        rows.iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect()
    }

    /// What the platform's list says of the entry with an index.
    pub async fn row(&self, index: usize) -> Option<MemberRow> {
        let name = Self::entry_name(index);
        let rows = self.rows().await;
        rows.into_iter()
            .find(|row| row.instance_id.as_str() == name)
    }

    /// Where callers reach the entries that run; as they were at the start while the platform is down.
    pub async fn caller_addresses(&self) -> Vec<SocketAddr> {
        let rows = self.rows().await;
        if rows.is_empty() {
            return self.first_caller_addresses.clone();
        }
        rows.iter()
            .filter(|row| self.entries.contains_key(row.instance_id.as_str()))
            .map(|row| row.caller_address)
            .collect()
    }

    /// The status of the entry with an index, if it answers.
    pub async fn status(&self, index: usize) -> Option<InstanceStatus> {
        let row = self.row(index).await?;
        get(row.peer_address, "/status").await
    }

    /// The version in force at the entry that listens for peers at an address.
    pub async fn version_at(&self, peer: SocketAddr) -> Option<u64> {
        let status: InstanceStatus = get(peer, "/status").await?;
        Some(status.own.version.number())
    }

    /// The state of the entry that listens for peers at an address.
    pub async fn state_at(&self, peer: SocketAddr) -> Option<MemberState> {
        let status: InstanceStatus = get(peer, "/status").await?;
        Some(status.own.state)
    }

    /// The statuses of all entries that answer.
    pub async fn statuses(&self) -> Vec<InstanceStatus> {
        let mut statuses = Vec::new();
        for row in self.rows().await {
            let status: Option<InstanceStatus> = get(row.peer_address, "/status").await;
            let is_same = |s: &InstanceStatus| s.own.incarnation == row.incarnation;
            statuses.extend(status.filter(is_same));
        }
        statuses
    }

    /// Waits until every entry that runs is ready and knows all others.
    ///
    /// # Errors
    ///
    /// [`LabError`] when that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), LabError> {
        let count = self.entries.len();
        self.wait_for("all entries to be ready", async || {
            let statuses = self.statuses().await;
            let ready = statuses.iter().filter(|status| {
                let live = status
                    .members
                    .iter()
                    .filter(|m| m.is_live && m.row.state == MemberState::Ready);
                status.own.state == MemberState::Ready && live.count() + 1 >= count
            });
            ready.count() >= count
        })
        .await
    }

    /// Waits until the version that was rolled last is in force at every entry that runs.
    ///
    /// # Errors
    ///
    /// [`LabError`] when that takes too long.
    pub async fn wait_until_in_force(&self) -> Result<(), LabError> {
        let count = self.entries.len();
        let version = self.version;
        self.wait_for("the version to be in force", async || {
            let statuses = self.statuses().await;
            let with_it = statuses
                .iter()
                .filter(|status| status.own.version.number() >= version);
            with_it.count() >= count
        })
        .await
    }

    /// Waits until the entries of the start have a version, without asking the platform.
    ///
    /// # Errors
    ///
    /// [`LabError`] when that takes too long.
    pub async fn wait_until_all_have(&self, version: u64) -> Result<(), LabError> {
        self.wait_for("the version to be in force", async || {
            for peer in self.peer_addresses.values() {
                if self
                    .version_at(*peer)
                    .await
                    .is_none_or(|held| held < version)
                {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until something holds.
    ///
    /// # Errors
    ///
    /// [`LabError`] when that takes too long.
    pub async fn wait_for(
        &self,
        what: &str,
        mut holds: impl AsyncFnMut() -> bool,
    ) -> Result<(), LabError> {
        let began = Instant::now();
        while began.elapsed() < WAIT_MOST {
            if holds().await {
                return Ok(());
            }
            sleep_ms(LOOK_MS).await;
        }
        Err(LabError::new(format!(
            "waiting for {what} took too long; see the logs in {}",
            self.folder.display()
        )))
    }

    /// Sets what goes wrong at the platform.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) {
        put(self.platform, "/faults", faults).await;
    }

    /// Sets what goes wrong at one target.
    pub async fn set_target_faults(&self, target: SocketAddr, faults: &TargetFaults) {
        put(target, "/faults", faults).await;
    }

    /// What one target has done.
    pub async fn target_counts(&self, target: SocketAddr) -> TargetCounts {
        get(target, "/counts").await.unwrap_or_default()
    }

    /// How often each key ran, over all targets of a service.
    pub async fn runs(&self, service: usize) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for target in self.targets(service) {
            let at_target: BTreeMap<String, u32> = get(*target, "/runs").await.unwrap_or_default();
            for (key, count) in at_target {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// How often promises were seen broken, over all entries that answer.
    pub async fn promises_broken(&self) -> BTreeMap<String, u64> {
        let mut broken = BTreeMap::new();
        for status in self.statuses().await {
            for (name, promise) in status.promises {
                *broken.entry(name).or_default() += promise.broken;
            }
        }
        broken
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // A folder that can't be removed is left to the system's cleaning.
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
        .map_err(|error| LabError::new(format!("{name} told no addresses: {error}")))?;
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

async fn get<T: DeserializeOwned>(peer: SocketAddr, path: &str) -> Option<T> {
    let client = HttpClient::new(peer, CALL_TIMEOUT_MS);
    let request = Request::get(path).body(Bytes::new()).ok()?;
    let response = client.call(request).await.ok()?;
    serde_json::from_slice(response.body()).ok()
}

async fn put(peer: SocketAddr, path: &str, value: &impl serde::Serialize) {
    let client = HttpClient::new(peer, CALL_TIMEOUT_MS);
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    if let Ok(request) = Request::put(path).body(body) {
        // A test that relies on the fault sees that it is not there.
        let _ = client.call(request).await;
    }
}
