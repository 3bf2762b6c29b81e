//! Plan of a lab: its services, targets and entries.

use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;

/// Service with its targets.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service, also used as its host.
    pub name: String,
    /// Number of targets.
    pub targets: u64,
    /// Number of requests that a target processes concurrently.
    pub slots: usize,
    /// Mean service time of a request, in milliseconds.
    pub mean_ms: f64,
    /// Sigma of the service time distribution.
    pub sigma: f64,
    /// Fields of the service in the bundle that override the defaults.
    pub bundle: Value,
}

impl ServicePlan {
    /// Creates a service with the default bundle fields.
    pub fn new(name: &str, targets: u64, slots: usize, mean_ms: f64) -> Self {
        Self {
            name: name.to_owned(),
            targets,
            slots,
            mean_ms,
            sigma: 0.8,
            bundle: json!({}),
        }
    }

    /// Sets fields of the service in the bundle.
    pub fn with_bundle(mut self, fields: Value) -> Self {
        if let (Some(all), Some(fields)) = (self.bundle.as_object_mut(), fields.as_object()) {
            all.extend(fields.clone());
        }
        self
    }

    /// Builds the service's entry in the bundle.
    pub fn to_bundle(&self, targets: &[SocketAddr], domains: &[String]) -> Value {
        let targets: Vec<Value> = targets
            .iter()
            .enumerate()
            .map(|(index, address)| {
                let domain = &domains[index % domains.len()];
                json!({"address": address, "failure_domain": domain})
            })
            .collect();
        let mut service = json!({
            "name": self.name,
            "hosts": [self.name],
            "slots": self.slots,
            "typical_ms": (self.mean_ms.ceil() as u64).max(1),
            "not_run_statuses": [503],
            "require_echo": true,
            "probe_path": "/load",
            "routes": [
                {"method": "POST", "path_prefix": "/orders", "repeatable": false},
            ],
            "targets": targets,
        });
        if let (Some(all), Some(fields)) = (service.as_object_mut(), self.bundle.as_object()) {
            all.extend(fields.clone());
        }
        service
    }
}

/// Parameters of a lab.
#[derive(Debug, Clone)]
pub struct LabPlan {
    /// Failure domains.
    pub domains: Vec<String>,
    /// Number of entries, distributed among the failure domains.
    pub entries: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Fields of each entry's settings that override the defaults.
    pub settings: Value,
    /// Time that callers cache the answer to an address query, in milliseconds.
    pub address_keep_ms: u64,
    /// Seed of the targets' service times.
    pub seed: u64,
}

impl LabPlan {
    /// Creates a lab with three failure domains.
    pub fn new(entries: usize, services: Vec<ServicePlan>) -> Self {
        Self {
            domains: ["a", "b", "c"]
                .map(|name| format!("domain-{name}"))
                .to_vec(),
            entries,
            services,
            settings: json!({}),
            address_keep_ms: 500,
            seed: 1,
        }
    }

    /// Sets fields of each entry's settings.
    pub fn with_settings(mut self, fields: Value) -> Self {
        if let (Some(all), Some(fields)) = (self.settings.as_object_mut(), fields.as_object()) {
            all.extend(fields.clone());
        }
        self
    }

    /// Sets the seed of the targets' service times.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
