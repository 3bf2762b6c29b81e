//! Cost of each step of fetching and serving a version: processor time on a whole core, and memory.
//!
//! [`Costs::measure`] runs the code of real entries in this process, on generated bundles like those of an emulated
//! run, so that emulated entries are charged what real entries spend. The tables that an entry builds from a version
//! for its own use are not included.

use crate::versions::history::generate_bundle;
use crate::versions::history::head_of;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundlePackage;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PackageContent;
use pinhaven_types::BundleVersion;
use std::fmt;
use std::hint::black_box;
use std::time::Instant;

/// Routes of the measured bundle.
const ROUTES: usize = 20_000;
/// Runs of each step, of which the median is used.
const RUNS: usize = 5;
/// Bundles held at once to measure the memory of a single one. The same number is allocated beforehand, so that
/// memory which the process already has free doesn't reduce the measured growth.
const COPIES: usize = 16;
/// Bytes per memory page in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Cost of each step per route. A step is charged for all routes of the version if it reads all of them, and only for
/// the routes in the package otherwise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Parsing a whole body from the store and bringing it into canonical form, per route.
    pub read_ns: u64,
    /// Building a package, per route in the package.
    pub pack_ns: u64,
    /// Unpacking a package, per route in the package.
    pub unpack_ns: u64,
    /// Applying differences and checking the digest of the result, per route of the version.
    pub apply_ns: u64,
    /// Computing the difference from the previous version for peers, per route of the version.
    pub difference_ns: u64,
    /// Fixed cost of a call between entries, at each end.
    pub call_us: u64,
    /// Memory of a version, per route.
    pub held_bytes: u64,
}

impl Default for Costs {
    /// Fixed costs, so that a run with the same seed gives the same result on every machine.
    fn default() -> Self {
        Self {
            read_ns: 2_487,
            pack_ns: 1_068,
            unpack_ns: 2_205,
            apply_ns: 1_756,
            difference_ns: 661,
            call_us: 108,
            held_bytes: 533,
        }
    }
}

impl Costs {
    /// Measures all steps except [`Costs::call_us`], which keeps its default.
    pub fn measure() -> Self {
        let before = CanonicalBundle::new(generate_bundle(BundleVersion::new(1), 0, ROUTES));
        let filler = vec![before.clone(); COPIES];
        let memory_before = resident_bytes();
        let held = vec![before.clone(); COPIES];
        let held_bytes = resident_bytes().saturating_sub(memory_before) / (COPIES * ROUTES) as u64;
        drop((filler, held));
        let after = CanonicalBundle::new(generate_bundle(BundleVersion::new(2), 1, ROUTES));
        let none = CanonicalBundle::new(generate_bundle(BundleVersion::new(1), 0, 0));
        let delta = BundleDelta::between(before.bundle(), after.bundle());
        let large = BundleDelta::between(none.bundle(), before.bundle());
        let head = head_of(&after);
        let package = BundlePackage::with_differences(&head, std::slice::from_ref(&large));
        let bytes = package.map(|package| package.bytes().to_vec());
        let bytes = bytes.unwrap_or_default();
        Self {
            read_ns: ns_per_route(|| CanonicalBundle::from_bytes(before.bytes()).is_ok()),
            pack_ns: ns_per_route(|| {
                BundlePackage::with_differences(&head, std::slice::from_ref(&large)).is_ok()
            }),
            unpack_ns: ns_per_route(|| {
                let unpacked = BundlePackage::unpack(&bytes);
                unpacked.is_ok_and(|unpacked| {
                    matches!(unpacked.content, PackageContent::Differences(_))
                })
            }),
            apply_ns: ns_per_route(|| {
                let applied = delta.clone().apply(before.bundle(), after.digest());
                applied.is_ok()
            }),
            difference_ns: ns_per_route(|| {
                BundleDelta::between(before.bundle(), after.bundle()).size() > 0
            }),
            call_us: Self::default().call_us,
            held_bytes,
        }
    }
}

impl fmt::Display for Costs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a route: read {} ns, pack {} ns, unpack {} ns, apply {} ns, difference {} ns, held {} bytes; a call {} us",
            self.read_ns,
            self.pack_ns,
            self.unpack_ns,
            self.apply_ns,
            self.difference_ns,
            self.held_bytes,
            self.call_us
        )
    }
}

/// Median time of a step that processes all routes, divided by the number of routes.
fn ns_per_route(step: impl Fn() -> bool) -> u64 {
    let mut times_ns: Vec<u64> = (0..RUNS).map(|_| time_ns(&step)).collect();
    times_ns.sort_unstable();
    times_ns[RUNS / 2] / ROUTES as u64
}

fn time_ns(step: impl Fn() -> bool) -> u64 {
    let started = Instant::now();
    let has_succeeded = black_box(step());
    assert!(has_succeeded, "a step that is measured must work");
    started.elapsed().as_nanos() as u64
}

/// Resident memory of this process, in bytes; 0 if `/proc/self/statm` can't be read.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = statm.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
