//! Checks of a bundle beyond what its types enforce.

use crate::Bundle;
use crate::Organisation;
use crate::PathRoute;
use crate::Service;
use pinhaven_document::Document;
use pinhaven_document::Fault;
use pinhaven_types::BundleVersion;
use pinhaven_types::ServiceName;
use std::collections::HashSet;

/// The highest priority of a service.
const PRIORITY_MAX: u8 = 3;

/// Decodes and checks a bundle.
///
/// # Errors
///
/// Returns all faults found, at least one.
pub fn read_bundle(document: &Document) -> Result<Bundle, Vec<Fault>> {
    let bundle: Bundle = document.decode().map_err(|fault| vec![fault])?;
    let faults = check(&bundle, document);
    if faults.is_empty() {
        Ok(bundle)
    } else {
        Err(faults)
    }
}

/// Returns all faults of a decoded bundle, each with its line in `document`.
pub fn check(bundle: &Bundle, document: &Document) -> Vec<Fault> {
    let mut checker = Checker {
        document,
        has_host_routes: !bundle.hosts.is_empty(),
        faults: Vec::new(),
    };
    checker.check_bundle(bundle);
    checker.faults
}

struct Checker<'document> {
    document: &'document Document,
    has_host_routes: bool,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn require(&mut self, holds: bool, field: &str, message: &str, help: &str) {
        if !holds {
            self.faults.push(self.document.fault(field, message, help));
        }
    }

    fn check_bundle(&mut self, bundle: &Bundle) {
        self.require(
            bundle.version > BundleVersion::NONE,
            "version",
            "versions are counted from 1",
            "write the version in force plus one",
        );
        self.require(
            bundle.measuring.seats > 0,
            "measuring.seats",
            "there must be a seat",
            "write 1 or more; set measuring_budget_percent to 0 to send no probes",
        );
        self.require(
            bundle.measuring.window_ms >= 1_000,
            "measuring.window_ms",
            "the window is too short to keep a budget in",
            "write 1000 or more",
        );
        self.require(
            (100..=60_000).contains(&bundle.address_keep_ms),
            "address_keep_ms",
            "callers can't keep an answer this long",
            "write 100 to 60000",
        );
        let mut names = HashSet::new();
        let mut hosts = HashSet::new();
        for (index, service) in bundle.services.iter().enumerate() {
            let at = format!("services[{index}]");
            self.require(
                names.insert(&service.name),
                &format!("{at}.name"),
                "another service has this name",
                "give each service a name of its own",
            );
            for (host_index, host) in service.hosts.iter().enumerate() {
                self.require(
                    hosts.insert(host),
                    &format!("{at}.hosts[{host_index}]"),
                    "another service has this host",
                    "name each host once",
                );
            }
            self.check_service(&at, service);
        }
        for (index, host) in bundle.hosts.iter().enumerate() {
            let at = format!("hosts[{index}]");
            self.require(
                hosts.insert(&host.host),
                &format!("{at}.host"),
                "a service or another entry has this host",
                "name each host once",
            );
            for (path_index, route) in host.paths.iter().enumerate() {
                self.check_path_route(&format!("{at}.paths[{path_index}]"), route, &names);
            }
        }
        self.check_organisations(bundle.organisations.as_deref().unwrap_or_default());
    }

    fn check_organisations(&mut self, organisations: &[Organisation]) {
        let mut names = HashSet::new();
        let mut digests = HashSet::new();
        for (index, organisation) in organisations.iter().enumerate() {
            let at = format!("organisations[{index}]");
            self.require(
                names.insert(&organisation.name),
                &format!("{at}.name"),
                "another organisation has this name",
                "give each organisation a name of its own",
            );
            for (key_index, digest) in organisation.key_digests.iter().enumerate() {
                self.require(
                    digests.insert(digest),
                    &format!("{at}.key_digests[{key_index}]"),
                    "this key is listed already",
                    "list each key once, and give each organisation keys of its own",
                );
            }
            self.require(
                organisation
                    .priority
                    .is_none_or(|priority| priority <= PRIORITY_MAX),
                &format!("{at}.priority"),
                "there is no such priority",
                "write 0 (refused first) to 3 (refused last)",
            );
            let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
            self.require(
                organisation
                    .limit
                    .is_none_or(|limit| is_amount(limit.requests_per_s) && is_amount(limit.burst)),
                &format!("{at}.limit"),
                "a rate and a burst can't be negative",
                "write numbers from zero up, or leave limit out for no limit",
            );
        }
    }

    fn check_path_route(&mut self, at: &str, route: &PathRoute, names: &HashSet<&ServiceName>) {
        self.require(
            route.path_prefix.starts_with('/'),
            &format!("{at}.path_prefix"),
            "no path starts like this",
            "start it with '/'",
        );
        self.require(
            route.timeout_ms > 0 && route.aim_ms > 0,
            &format!("{at}.timeout_ms"),
            "times must be above zero",
            "write the time in milliseconds, and aim_ms likewise",
        );
        self.require(
            route.priority <= PRIORITY_MAX,
            &format!("{at}.priority"),
            "there is no such priority",
            "write 0 (refused first) to 3 (refused last)",
        );
        self.require(
            route.attempts_most > 0,
            &format!("{at}.attempts_most"),
            "a request could not be sent to any target",
            "write 1 or more",
        );
        let weights = route.split.iter().map(|part| part.weight);
        let are_weights = weights
            .clone()
            .all(|weight| weight.is_finite() && weight >= 0.0);
        self.require(
            are_weights && weights.sum::<f64>() > 0.0,
            &format!("{at}.split"),
            "the weights divide nothing",
            "name one part or more, with weights above zero",
        );
        for (index, part) in route.split.iter().enumerate() {
            self.require(
                names.contains(&part.service),
                &format!("{at}.split[{index}].service"),
                "there is no such service",
                "name a service of this bundle",
            );
        }
    }

    fn check_service(&mut self, at: &str, service: &Service) {
        self.require(
            !service.hosts.is_empty() || self.has_host_routes,
            &format!("{at}.hosts"),
            "no request could reach the service",
            "name one host or more",
        );
        self.require(
            !service.targets.is_empty(),
            &format!("{at}.targets"),
            "the service has no targets",
            "name one target or more",
        );
        self.require(
            service.slots > 0,
            &format!("{at}.slots"),
            "a target without slots can't work",
            "write how many requests a target works on at a time",
        );
        self.require(
            service.entries_most > 0 && service.connections >= service.entries_most,
            &format!("{at}.connections"),
            "there is less than one connection for each entry",
            "write at least entries_most",
        );
        self.require(
            service.entries_named > 0,
            &format!("{at}.entries_named"),
            "an address answer would name no entry",
            "write 1 or more",
        );
        self.require(
            service.deadline_ms > 0 && service.typical_ms > 0,
            &format!("{at}.deadline_ms"),
            "times must be above zero",
            "write the time in milliseconds, and typical_ms likewise",
        );
        self.require(
            service.priority <= PRIORITY_MAX,
            &format!("{at}.priority"),
            "there is no such priority",
            "write 0 (refused first) to 3 (refused last)",
        );
        self.require(
            service.replay_bytes <= service.body_bytes,
            &format!("{at}.replay_bytes"),
            "more would be kept than is taken",
            "write at most body_bytes",
        );
        if let Some(limit) = &service.cold_limit {
            self.require(
                limit.requests_per_s.is_finite() && limit.requests_per_s > 0.0,
                &format!("{at}.cold_limit.requests_per_s"),
                "a cold target would never get a request",
                "write a rate above zero, or leave cold_limit out",
            );
        }
        self.check_lists(at, service);
    }

    fn check_lists(&mut self, at: &str, service: &Service) {
        let mut addresses = HashSet::new();
        for (index, target) in service.targets.iter().enumerate() {
            self.require(
                addresses.insert(target.address),
                &format!("{at}.targets[{index}].address"),
                "the service has this target already",
                "name each target once",
            );
        }
        for (index, status) in service.not_run_statuses.iter().enumerate() {
            self.require(
                (400..=599).contains(status),
                &format!("{at}.not_run_statuses[{index}]"),
                "this status does not say that a request failed",
                "write a status from 400 to 599",
            );
        }
        for (index, route) in service.routes.iter().enumerate() {
            self.require(
                route.path_prefix.starts_with('/'),
                &format!("{at}.routes[{index}].path_prefix"),
                "no path starts like this",
                "start it with '/'",
            );
        }
    }
}
