//! Entry processes of a lab: start, access and kill.

use super::Lab;
use super::LabError;
use super::bundles::SIGNER;
use crate::process::Process;
use crate::process::sibling;
use serde_json::Value;
use serde_json::json;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

impl Lab {
    /// Instance id of the entry with an index.
    pub fn entry_name(index: usize) -> String {
        format!("entry-{index}")
    }

    /// Starts the entry with an index, replacing an earlier process.
    ///
    /// # Errors
    ///
    /// [`LabError`] if the process can't be started.
    pub fn start_entry(&mut self, index: usize) -> Result<(), LabError> {
        self.start_entry_process(index, &json!({}))
    }

    /// Starts an entry with additional settings and returns its peer address. The address is chosen before the start,
    /// so that the entry can be queried while the platform is unavailable.
    ///
    /// # Errors
    ///
    /// [`LabError`] if the process can't be started.
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

    /// Last known peer address of the entry with an index.
    ///
    /// # Panics
    ///
    /// Panics if the entry's peer address was never known.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.peer_addresses[&Self::entry_name(index)]
    }

    pub(super) fn start_entry_process(
        &mut self,
        index: usize,
        overrides: &Value,
    ) -> Result<(), LabError> {
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
        for fields in [&self.plan.settings, overrides] {
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

    /// Process of the entry with an index.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not started.
    pub fn entry(&mut self, index: usize) -> &mut Process {
        let name = Self::entry_name(index);
        let process = self.entries.get_mut(&name);
        process.unwrap_or_else(|| panic!("{name} is not started"))
    }

    /// Processes of all entries.
    pub fn entry_processes(&self) -> impl Iterator<Item = &Process> {
        self.entries.values()
    }

    /// Process that runs all targets of the service with an index.
    pub fn target_process(&mut self, service: usize) -> &mut Process {
        &mut self.target_processes[service]
    }

    /// Total processor time of all entries so far, in seconds.
    pub fn entries_cpu_s(&self) -> f64 {
        let times = self.entry_processes().map(Process::cpu_time);
        times.map(|time| time.as_secs_f64()).sum()
    }

    /// Largest resident memory of an entry, in megabytes.
    pub fn entry_memory_mb(&self) -> f64 {
        let memory_max = self.entry_processes().map(Process::memory_bytes).max();
        memory_max.unwrap_or_default() as f64 / 1e6
    }

    /// Kills the entry with an index and removes its process.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries.remove(&Self::entry_name(index));
    }
}
