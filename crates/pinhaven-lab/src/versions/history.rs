//! The versions of a run: real bundles with generated routes, their differences and their packages.
//!
//! A package between two versions has the same content at every entry. Each package is therefore built, and checked
//! to yield the signed version, once for all entries.

use crate::versions::plan::VersionChange;
use crate::versions::plan::VersionsPlan;
use pinhaven_agree::Offer;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::BundlePackage;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PackageContent;
use pinhaven_bundle::sort_routes;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use serde_json::json;
use std::collections::HashMap;
use std::rc::Rc;

/// Routes of the first version if later versions add routes.
const ROUTES_BEFORE: usize = 10;
/// Hosts among which the routes are distributed.
const HOSTS: usize = 4;
/// Timeout of an unchanged route, in milliseconds.
const TIMEOUT_MS: usize = 4_000;

/// Start and steps of a package.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PackageKey {
    /// Version that the receiver holds; `None` for a whole body.
    pub(super) start: Option<BundleVersion>,
    /// Versions that the differences lead to, in order. The last entry is the version of the package.
    pub(super) steps: Vec<BundleVersion>,
}

impl PackageKey {
    /// Version that the package leads to.
    pub(super) fn version(&self) -> BundleVersion {
        self.steps.last().copied().unwrap_or(BundleVersion::NONE)
    }
}

/// A package with the result of unpacking and applying it.
#[derive(Debug)]
pub(super) struct BuiltPackage {
    pub(super) key: PackageKey,
    pub(super) package: BundlePackage,
    /// Routes in the package.
    pub(super) routes: usize,
    /// Whether the package yields the signed version.
    pub(super) is_valid: bool,
}

/// All versions of a run, with caches of their differences and packages.
pub(super) struct History {
    versions: Vec<CanonicalBundle>,
    deltas: HashMap<(BundleVersion, BundleVersion), Rc<BundleDelta>>,
    packages: HashMap<PackageKey, Rc<BuiltPackage>>,
    by_digest: HashMap<Digest, Rc<BuiltPackage>>,
    whole_transfer_bytes: HashMap<PackageKey, usize>,
}

impl History {
    /// Generates the first version and all versions that are acknowledged during the run.
    pub(super) fn new(plan: &VersionsPlan) -> Self {
        let count = match plan.change {
            VersionChange::FreshEntry => 1,
            _ => plan.versions + 1,
        };
        let version = |number: u64| {
            let changed = number as usize - 1;
            let version = BundleVersion::new(number);
            let bundle = match plan.change {
                VersionChange::AddRoutes => {
                    generate_bundle(version, 0, ROUTES_BEFORE + changed * plan.routes)
                }
                _ => generate_bundle(version, changed, plan.routes),
            };
            CanonicalBundle::new(bundle)
        };
        Self {
            versions: (1..=count).map(version).collect(),
            deltas: HashMap::new(),
            packages: HashMap::new(),
            by_digest: HashMap::new(),
            whole_transfer_bytes: HashMap::new(),
        }
    }

    fn body(&self, version: BundleVersion) -> &CanonicalBundle {
        &self.versions[version.number() as usize - 1]
    }

    /// Number of routes of a version.
    pub(super) fn routes(&self, version: BundleVersion) -> usize {
        if version == BundleVersion::NONE {
            return 0;
        }
        let hosts = &self.body(version).bundle().hosts;
        hosts.iter().map(|host| host.paths.len()).sum()
    }

    /// Number of services of a version.
    pub(super) fn services(&self, version: BundleVersion) -> usize {
        self.body(version).bundle().services.len()
    }

    /// Size of the whole body of a version, in bytes.
    pub(super) fn body_bytes(&self, version: BundleVersion) -> usize {
        self.body(version).bytes().len()
    }

    /// Difference between two versions.
    pub(super) fn delta(&mut self, from: BundleVersion, to: BundleVersion) -> Rc<BundleDelta> {
        if let Some(delta) = self.deltas.get(&(from, to)) {
            return Rc::clone(delta);
        }
        let delta = BundleDelta::between(self.body(from).bundle(), self.body(to).bundle());
        let delta = Rc::new(delta);
        self.deltas.insert((from, to), Rc::clone(&delta));
        delta
    }

    /// Package with a key, built on first use.
    pub(super) fn package(&mut self, key: &PackageKey) -> Rc<BuiltPackage> {
        if let Some(built) = self.packages.get(key) {
            return Rc::clone(built);
        }
        let built = Rc::new(self.build_package(key));
        self.packages.insert(key.clone(), Rc::clone(&built));
        let digest = built.package.digest();
        self.by_digest.insert(digest, Rc::clone(&built));
        built
    }

    /// Finds the package with these bytes.
    pub(super) fn find_package(&self, bytes: &[u8]) -> Option<Rc<BuiltPackage>> {
        self.by_digest.get(&Digest::of(bytes)).map(Rc::clone)
    }

    fn build_package(&mut self, key: &PackageKey) -> BuiltPackage {
        let deltas = self.deltas_of(key);
        let body = self.body(key.version());
        let head = head_of(body);
        let steps: Vec<BundleDelta> = deltas.iter().map(|delta| (**delta).clone()).collect();
        let package = match key.start {
            Some(_) => BundlePackage::with_differences(&head, &steps),
            None => BundlePackage::with_whole(&head, body),
        };
        let package = package.expect("a generated bundle can be packed");
        let routes = match key.start {
            Some(_) => steps.iter().map(BundleDelta::size).sum(),
            None => self.routes(key.version()),
        };
        BuiltPackage {
            is_valid: self.yields_signed_version(key, &package),
            key: key.clone(),
            package,
            routes,
        }
    }

    /// Whether unpacking and applying a package yields the signed version.
    fn yields_signed_version(&self, key: &PackageKey, package: &BundlePackage) -> bool {
        let signed = self.body(key.version()).digest();
        let Ok(unpacked) = BundlePackage::unpack(package.bytes()) else {
            return false;
        };
        match (unpacked.content, key.start) {
            (PackageContent::Whole(body), _) => body.digest() == signed,
            (PackageContent::Differences(deltas), Some(start)) => {
                BundleDelta::apply_all(deltas, self.body(start).bundle(), signed).is_ok()
            }
            (PackageContent::Differences(_), None) => false,
        }
    }

    fn deltas_of(&mut self, key: &PackageKey) -> Vec<Rc<BundleDelta>> {
        let Some(mut from) = key.start else {
            return Vec::new();
        };
        let mut deltas = Vec::new();
        for to in &key.steps {
            deltas.push(self.delta(from, *to));
            from = *to;
        }
        deltas
    }

    /// Size of a transfer in which each difference carries all routes and nothing is compressed.
    pub(super) fn whole_transfer_bytes(&mut self, key: &PackageKey) -> usize {
        if key.start.is_none() {
            return self.body_bytes(key.version());
        }
        if let Some(bytes) = self.whole_transfer_bytes.get(key) {
            return *bytes;
        }
        let deltas = self.deltas_of(key);
        let with_all_routes = deltas.iter().zip(&key.steps).map(|(delta, to)| {
            let hosts = self.body(*to).bundle().hosts.clone();
            BundleDelta {
                hosts: Some(hosts),
                routes: Default::default(),
                ..BundleDelta::clone(delta)
            }
        });
        let list: Vec<BundleDelta> = with_all_routes.collect();
        let bytes = serde_json::to_vec(&list).map_or(0, |text| text.len());
        self.whole_transfer_bytes.insert(key.clone(), bytes);
        bytes
    }
}

/// Head that an entry serves with a version acknowledged by the store.
pub(super) fn head_of(body: &CanonicalBundle) -> BundleHead {
    let offer = Offer::acknowledged(body.clone());
    let offer = offer.expect("the names of an acknowledged version are fixed");
    offer.head().clone()
}

/// Generates a bundle with `routes` routes, of which the first `changed` have another timeout than in the first
/// version.
pub(super) fn generate_bundle(version: BundleVersion, changed: usize, routes: usize) -> Bundle {
    let hosts: Vec<serde_json::Value> = (0..HOSTS)
        .map(|host| {
            let paths = (host..routes).step_by(HOSTS).map(|number| {
                let is_changed = number < changed;
                route(number, TIMEOUT_MS - usize::from(is_changed))
            });
            let paths: Vec<serde_json::Value> = paths.collect();
            json!({ "host": format!("host-{host}.example"), "paths": paths })
        })
        .collect();
    let service = |name: &str| json!({ "name": name, "slots": 6 });
    let text = json!({
        "version": version.number(),
        "services": [service("portfolio"), service("quotes")],
        "hosts": hosts,
    });
    let mut bundle: Bundle = serde_json::from_value(text).expect("a generated bundle is one");
    sort_routes(&mut bundle.hosts);
    bundle
}

fn route(number: usize, timeout_ms: usize) -> serde_json::Value {
    // Sequential names would compress far better than the names of real routes, so the numbers are scrambled.
    let drawn = (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24;
    json!({
        "name": format!("route-{drawn:010x}"),
        "path_prefix": format!("/area-{}/{drawn:010x}/", number % 50),
        "kind": if number.is_multiple_of(3) { "non_idempotent" } else { "idempotent" },
        "timeout_ms": timeout_ms,
        "aim_ms": 600,
        "priority": 5,
        "attempts_most": 2,
        "split": [
            { "service": "quotes", "weight": 0.9 },
            { "service": "portfolio", "weight": 0.1 },
        ],
    })
}
