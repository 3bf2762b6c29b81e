//! The difference between two versions.
//!
//! A change touches one service or route of many. Entries send each other only the services and routes that
//! changed; the receiver puts the whole body together and checks it against the signed digest, so a
//! wrong difference can delay a version but never falsify it.

use crate::Bundle;
use crate::CanonicalBundle;
use crate::HostRoutes;
use crate::Measuring;
use crate::RequestLimits;
use crate::RouteDelta;
use crate::Service;
use displaydoc::Display as DisplayDoc;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// What turns one version into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleDelta {
    /// Version it starts from.
    pub from: BundleVersion,
    /// Version it leads to.
    pub to: BundleVersion,
    /// The new `measuring`.
    pub measuring: Measuring,
    /// The new `address_keep_ms`.
    pub address_keep_ms: u64,
    /// Services that are new or changed.
    pub changed: Vec<Service>,
    /// Services that are gone.
    pub removed: Vec<ServiceName>,
    /// The new `hosts` in whole, when they changed and their order says more than their names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Vec<HostRoutes>>,
    /// Otherwise the routes that are new, changed or gone.
    #[serde(default, skip_serializing_if = "RouteDelta::is_empty")]
    pub routes: RouteDelta,
    /// The new `limits`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<RequestLimits>,
}

/// Why a difference can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum DeltaError {
    /// applying a difference: it starts from version {from}, but version {held} is held
    WrongStart {
        /// Version the difference starts from.
        from: BundleVersion,
        /// Version that is held.
        held: BundleVersion,
    },
    /// applying a difference: the digest is {found} where {signed} was signed off
    WrongDigest {
        /// Digest of what came out.
        found: Digest,
        /// Digest that was signed.
        signed: Digest,
    },
}

impl std::error::Error for DeltaError {}

impl BundleDelta {
    /// The difference between two bundles.
    pub fn between(from: &Bundle, to: &Bundle) -> Self {
        let old = by_name(from);
        let new = by_name(to);
        let changed = to
            .services
            .iter()
            .filter(|service| old.get(&service.name) != Some(service))
            .cloned()
            .collect();
        let removed = old
            .keys()
            .filter(|name| !new.contains_key(*name))
            .map(|&name| name.clone())
            .collect();
        let routes = RouteDelta::between(&from.hosts, &to.hosts);
        Self {
            from: from.version,
            to: to.version,
            measuring: to.measuring.clone(),
            address_keep_ms: to.address_keep_ms,
            changed,
            removed,
            hosts: routes.is_none().then(|| to.hosts.clone()),
            routes: routes.unwrap_or_default(),
            limits: to.limits,
        }
    }

    /// Services, targets and routes that it names: what it takes to keep and to send it.
    pub fn size(&self) -> usize {
        let whole_hosts = self.hosts.iter().flatten();
        let whole_routes: usize = whole_hosts.map(|host| host.paths.len()).sum();
        let changed: usize = self.changed.iter().map(|s| 1 + s.targets.len()).sum();
        changed + self.removed.len() + whole_routes + self.routes.size()
    }

    /// Applies the difference and checks what comes out against the signed digest.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] when the start or the outcome is another one.
    pub fn apply(self, held: &Bundle, signed: Digest) -> Result<CanonicalBundle, DeltaError> {
        Self::apply_all(vec![self], held, signed)
    }

    /// Applies differences that follow each other, and checks what comes out in the end.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] when a start or the outcome is another one.
    pub fn apply_all(
        deltas: Vec<Self>,
        held: &Bundle,
        signed: Digest,
    ) -> Result<CanonicalBundle, DeltaError> {
        let mut services: BTreeMap<ServiceName, Service> = held
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        let mut bundle = Bundle {
            version: held.version,
            measuring: held.measuring.clone(),
            address_keep_ms: held.address_keep_ms,
            services: Vec::new(),
            hosts: held.hosts.clone(),
            limits: held.limits,
        };
        for delta in deltas {
            if bundle.version != delta.from {
                return Err(DeltaError::WrongStart {
                    from: delta.from,
                    held: bundle.version,
                });
            }
            bundle.version = delta.to;
            bundle.measuring = delta.measuring;
            bundle.address_keep_ms = delta.address_keep_ms;
            bundle.limits = delta.limits;
            match delta.hosts {
                Some(hosts) => bundle.hosts = hosts,
                None => bundle.hosts = delta.routes.apply(bundle.hosts),
            }
            for name in &delta.removed {
                services.remove(name);
            }
            for service in delta.changed {
                services.insert(service.name.clone(), service);
            }
        }
        bundle.services = services.into_values().collect();
        let whole = CanonicalBundle::new(bundle);
        if whole.digest() != signed {
            return Err(DeltaError::WrongDigest {
                found: whole.digest(),
                signed,
            });
        }
        Ok(whole)
    }
}

fn by_name(bundle: &Bundle) -> BTreeMap<&ServiceName, &Service> {
    bundle
        .services
        .iter()
        .map(|service| (&service.name, service))
        .collect()
}

/// The changes between two bundles, a line each, for people.
pub fn describe_changes(from: &Bundle, to: &Bundle) -> Vec<String> {
    let old = by_name(from);
    let delta = BundleDelta::between(from, to);
    let mut lines = Vec::new();
    if from.measuring != to.measuring {
        lines.push("~ measuring".to_owned());
    }
    if from.address_keep_ms != to.address_keep_ms {
        lines.push(format!(
            "~ address_keep_ms: {} -> {}",
            from.address_keep_ms, to.address_keep_ms
        ));
    }
    if from.hosts != to.hosts {
        lines.push("~ hosts".to_owned());
    }
    if from.limits != to.limits {
        lines.push("~ limits".to_owned());
    }
    lines.extend(delta.removed.iter().map(|name| format!("- {name}")));
    for service in &delta.changed {
        match old.get(&service.name) {
            None => lines.push(format!("+ {}", service.name)),
            Some(before) => lines.extend(describe_service(before, service)),
        }
    }
    lines
}

fn describe_service(before: &Service, after: &Service) -> Vec<String> {
    let mut lines = Vec::new();
    for target in &after.targets {
        match before.targets.iter().find(|t| t.address == target.address) {
            None => lines.push(format!("+ {} target {}", after.name, target.address)),
            Some(held) if held != target => {
                lines.push(format!("~ {} target {}", after.name, target.address));
            }
            Some(_) => {}
        }
    }
    for target in &before.targets {
        if !after.targets.iter().any(|t| t.address == target.address) {
            lines.push(format!("- {} target {}", after.name, target.address));
        }
    }
    let mut rest = before.clone();
    rest.targets.clone_from(&after.targets);
    if rest != *after {
        lines.push(format!("~ {} settings", after.name));
    }
    lines
}
