//! The packages that peers are taking, so that each is made once and a peer that has begun one can finish it.

use pinhaven_bundle::BundlePackage;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use std::collections::VecDeque;
use std::sync::Arc;

/// Packages that are kept. Entries that lack a version mostly hold the same one, so few are in use at a time.
const PACKAGES_KEPT: usize = 8;

/// What a package starts from: a version that the peer holds, or nothing.
pub type PackageStart = Option<BundleVersion>;

/// Packages, the one that was asked for last at the end.
#[derive(Debug, Default)]
pub struct Packages(VecDeque<(PackageStart, Arc<BundlePackage>)>);

impl Packages {
    /// The package with this digest, if it is still kept.
    pub fn find_by_digest(&mut self, digest: Digest) -> Option<Arc<BundlePackage>> {
        self.find(|_, package| package.digest() == digest)
    }

    /// The package that leads from a start to a version, if it is kept.
    pub fn find_leading_to(
        &mut self,
        start: PackageStart,
        to: BundleVersion,
    ) -> Option<Arc<BundlePackage>> {
        self.find(|from, package| from == start && package.version() == to)
    }

    fn find(
        &mut self,
        fits: impl Fn(PackageStart, &BundlePackage) -> bool,
    ) -> Option<Arc<BundlePackage>> {
        let index = self
            .0
            .iter()
            .position(|(start, package)| fits(*start, package))?;
        let used = self.0.remove(index)?;
        let package = Arc::clone(&used.1);
        self.0.push_back(used);
        Some(package)
    }

    /// Keeps a package, in place of the one that was not asked for the longest.
    pub fn insert(&mut self, start: PackageStart, package: Arc<BundlePackage>) {
        self.0.push_back((start, package));
        if self.0.len() > PACKAGES_KEPT {
            self.0.pop_front();
        }
    }
}
