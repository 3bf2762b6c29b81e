//! The difference between two versions of a bundle.
//!
//! A change usually affects one service or route of many. Entries send each other only the services and routes that
//! changed; the receiver builds the whole body and checks it against the signed digest, so that a wrong difference can
//! delay a version but never falsify it.

use crate::Bundle;
use crate::CanonicalBundle;
use crate::HostRoutes;
use crate::Measuring;
use crate::OrganisationDelta;
use crate::RequestLimits;
use crate::RouteDelta;
use crate::Service;
use displaydoc::Display as DisplayDoc;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::FailureDomain;
use pinhaven_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Difference that turns one version of a bundle into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleDelta {
    /// Version to which the difference applies.
    pub from: BundleVersion,
    /// Version that results from applying the difference.
    pub to: BundleVersion,
    /// New value of `measuring`.
    pub measuring: Measuring,
    /// New value of `address_keep_ms`.
    pub address_keep_ms: u64,
    /// Services that are new or changed.
    pub changed: Vec<Service>,
    /// Names of the services that were removed.
    pub removed: Vec<ServiceName>,
    /// The complete new `hosts`, if they changed and a host list of either version is not sorted by unique names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Vec<HostRoutes>>,
    /// Routes that are new, changed or removed, if `hosts` is not set.
    #[serde(default, skip_serializing_if = "RouteDelta::is_empty")]
    pub routes: RouteDelta,
    /// New value of `limits`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<RequestLimits>,
    /// New value of `drained_domains`.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub drained_domains: BTreeSet<FailureDomain>,
    /// Organisations that are new, changed or removed; absent if the version lists none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<OrganisationDelta>,
}

/// Reason for which a difference cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum DeltaError {
    /// applying a difference: it starts from version {from}, but version {held} is held
    WrongStart {
        /// Version to which the difference applies.
        from: BundleVersion,
        /// Version that the receiver holds.
        held: BundleVersion,
    },
    /// applying a difference: the digest is {found} where {signed} was signed off
    WrongDigest {
        /// Digest of the resulting body.
        found: Digest,
        /// Digest that was signed.
        signed: Digest,
    },
}

impl std::error::Error for DeltaError {}

impl BundleDelta {
    /// Computes the difference between two bundles.
    pub fn between(from: &Bundle, to: &Bundle) -> Self {
        let old = services_by_name(from);
        let new = services_by_name(to);
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
            drained_domains: to.drained_domains.clone(),
            organisations: OrganisationDelta::between(
                from.organisations.as_deref(),
                to.organisations.as_deref(),
            ),
        }
    }

    /// Number of services, targets, routes and organisations in the difference, as a measure of the cost to store and
    /// send it.
    pub fn size(&self) -> usize {
        let whole_hosts = self.hosts.iter().flatten();
        let whole_routes: usize = whole_hosts.map(|host| host.paths.len()).sum();
        let changed: usize = self.changed.iter().map(|s| 1 + s.targets.len()).sum();
        let organisations = self
            .organisations
            .as_ref()
            .map_or(0, OrganisationDelta::size);
        changed + self.removed.len() + whole_routes + self.routes.size() + organisations
    }

    /// Applies the difference and checks the resulting body against the signed digest.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError`] if `held` is not the version to which the difference applies, or if the resulting body
    /// has another digest than `signed`.
    pub fn apply(self, held: &Bundle, signed: Digest) -> Result<CanonicalBundle, DeltaError> {
        Self::apply_all(vec![self], held, signed)
    }

    /// Applies consecutive differences and checks the final body against the signed digest.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError`] if the differences are not consecutive from the version of `held`, or if the final body
    /// has another digest than `signed`.
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
            drained_domains: held.drained_domains.clone(),
            organisations: held.organisations.clone(),
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
            bundle.drained_domains = delta.drained_domains;
            let organisations = bundle.organisations.take();
            bundle.organisations = delta.organisations.map(|delta| delta.apply(organisations));
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

fn services_by_name(bundle: &Bundle) -> BTreeMap<&ServiceName, &Service> {
    bundle
        .services
        .iter()
        .map(|service| (&service.name, service))
        .collect()
}

/// Describes the changes between two bundles for people, one line for each change.
pub fn describe_changes(from: &Bundle, to: &Bundle) -> Vec<String> {
    let old = services_by_name(from);
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
    let drained = to.drained_domains.difference(&from.drained_domains);
    lines.extend(drained.map(|domain| format!("~ failure domain {domain} is drained")));
    let restored = from.drained_domains.difference(&to.drained_domains);
    lines.extend(restored.map(|domain| format!("~ failure domain {domain} is restored")));
    match (&from.organisations, &delta.organisations) {
        (held, Some(organisations)) => {
            if held.is_none() {
                lines.push("~ requests need a key".to_owned());
            }
            lines.extend(organisations.describe(held.as_deref().unwrap_or_default()));
        }
        (Some(_), None) => lines.push("~ requests need no key".to_owned()),
        (None, None) => {}
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
