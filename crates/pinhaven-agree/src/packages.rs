//! Cache of the packages that peers are fetching. A package is the form in which a version is sent: an encoding of its
//! whole body, or of the deltas from a version that the peer holds. Each package is built once, and a peer that has
//! fetched a part of a package can fetch the rest.

use pinhaven_bundle::BundlePackage;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of cached packages. Entries that lack a version mostly hold the same older version,
/// so few packages are in use at a time.
const PACKAGES_MAX: usize = 8;

/// Version that a package applies to: a version that the peer holds, or `None` for a whole body.
pub type PackageStart = Option<BundleVersion>;

/// Cached packages, the most recently requested last.
#[derive(Debug, Default)]
pub struct Packages(VecDeque<(PackageStart, Arc<BundlePackage>)>);

impl Packages {
    /// The package with this digest, if cached.
    pub fn find_by_digest(&mut self, digest: Digest) -> Option<Arc<BundlePackage>> {
        self.find(|_, package| package.digest() == digest)
    }

    /// The package that leads from `start` to the version `to`, if cached.
    pub fn find_leading_to(
        &mut self,
        start: PackageStart,
        to: BundleVersion,
    ) -> Option<Arc<BundlePackage>> {
        self.find(|from, package| from == start && package.version() == to)
    }

    fn find(
        &mut self,
        is_match: impl Fn(PackageStart, &BundlePackage) -> bool,
    ) -> Option<Arc<BundlePackage>> {
        let index = self
            .0
            .iter()
            .position(|(start, package)| is_match(*start, package))?;
        let used = self.0.remove(index)?;
        let package = Arc::clone(&used.1);
        self.0.push_back(used);
        Some(package)
    }

    /// Inserts a package, and evicts the least recently requested one if the cache is full.
    pub fn insert(&mut self, start: PackageStart, package: Arc<BundlePackage>) {
        self.0.push_back((start, package));
        if self.0.len() > PACKAGES_MAX {
            self.0.pop_front();
        }
    }
}
