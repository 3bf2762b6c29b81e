//! Serves the version in force to peers that lack it.
//!
//! A peer requests a package part by part. The package contains the deltas from the version that the peer
//! holds, if they are available and no larger than the whole body, or else the whole body. A budget limits
//! the share of the link used for packages; a peer that requests a package beyond the budget gets a
//! retry delay instead.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_agree::Offer;
use pinhaven_agree::PART_BYTES_MAX;
use pinhaven_agree::PackageStart;
use pinhaven_agree::Verified;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundlePackage;
use pinhaven_bundle::PackageError;
use pinhaven_peer::BundlePart;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::FetchedBody;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use std::sync::Arc;

impl Entry {
    /// Answers a peer that requests a version newer than the one it holds. The answer is empty when there
    /// is no newer version.
    pub(crate) fn serve_version(&self, request: &FetchBundleRequest) -> FetchBundleResponse {
        let held = BundleVersion::new(request.held_version);
        let newer = {
            let version = self.version.lock();
            let newer = version.held().filter(|offer| offer.head().version > held);
            newer.cloned()
        };
        let Some(offer) = newer else {
            return FetchBundleResponse::default();
        };
        if request.bytes_most == 0 {
            return whole_version_response(&offer);
        }
        match self.select_package(request, held, &offer) {
            Ok(package) => self.serve_part(request, &package),
            Err(error) => {
                log::error!(target: "bundle", "Version {} cannot be packed for a peer: {error}.", offer.head().version);
                FetchBundleResponse::default()
            }
        }
    }

    /// The package that the peer has partially fetched, if it is still cached, or else a package for the
    /// version that the peer holds.
    fn select_package(
        &self,
        request: &FetchBundleRequest,
        held: BundleVersion,
        offer: &Offer<Verified>,
    ) -> Result<Arc<BundlePackage>, PackageError> {
        let partial = Digest::from_bytes(&request.package);
        if let Some(package) =
            partial.and_then(|digest| self.packages.lock().find_by_digest(digest))
        {
            return Ok(package);
        }
        let differences = match request.needs_whole {
            true => None,
            false => self.differences_to(offer, held),
        };
        let start: PackageStart = differences.is_some().then_some(held);
        if let Some(package) = self
            .packages
            .lock()
            .find_leading_to(start, offer.head().version)
        {
            return Ok(package);
        }
        let package = match differences {
            Some(differences) => BundlePackage::with_differences(offer.head(), &differences)?,
            None => BundlePackage::with_whole(offer.head(), offer.body())?,
        };
        let package = Arc::new(package);
        self.packages.lock().insert(start, Arc::clone(&package));
        Ok(package)
    }

    /// The deltas from `held` to the offered version, if they are available and not larger than the whole
    /// body.
    fn differences_to(
        &self,
        offer: &Offer<Verified>,
        held: BundleVersion,
    ) -> Option<Vec<BundleDelta>> {
        let deltas = self.recent_deltas.lock();
        let differences = deltas.since(held)?;
        let reaches_offer = differences.last().map(|last| last.to) == Some(offer.head().version);
        (reaches_offer && are_smaller(&differences, offer))
            .then(|| differences.into_iter().cloned().collect())
    }

    /// The part of `package` at the requested offset, or the time after which the peer may retry. The
    /// transfer budget is charged for the whole package with its first part.
    fn serve_part(
        &self,
        request: &FetchBundleRequest,
        package: &BundlePackage,
    ) -> FetchBundleResponse {
        let is_continuation = request.package == package.digest().as_bytes();
        let offset = if is_continuation { request.offset } else { 0 };
        let all = package.bytes();
        if offset == 0
            && let Err(retry_after) = self.transfer_budget.lock().begin(all.len(), self.now())
        {
            return FetchBundleResponse {
                busy_ms: retry_after.as_ms().ceil() as u32,
                ..FetchBundleResponse::default()
            };
        }
        let remaining = all.get(offset as usize..).unwrap_or_default();
        let length = remaining
            .len()
            .min(request.bytes_most as usize)
            .min(PART_BYTES_MAX);
        self.counters.add_many(Count::PeerBytes, length as u64);
        let part = BundlePart {
            version: package.version().number(),
            package: package.digest().as_bytes().to_vec(),
            total_bytes: all.len() as u64,
            offset,
            bytes: remaining[..length].to_vec(),
        };
        FetchBundleResponse {
            body: Some(FetchedBody::Part(part)),
            ..FetchBundleResponse::default()
        }
    }
}

/// Whether the deltas name at most as many services and routes as the whole bundle.
fn are_smaller(differences: &[&BundleDelta], offer: &Offer<Verified>) -> bool {
    let named: usize = differences.iter().map(|delta| delta.size()).sum();
    named <= offer.body().bundle().size()
}

/// The answer to a peer that runs an older release and cannot fetch packages in parts.
fn whole_version_response(offer: &Offer<Verified>) -> FetchBundleResponse {
    FetchBundleResponse {
        head: serde_json::to_vec(offer.head()).unwrap_or_default(),
        body: Some(FetchedBody::Whole(offer.body().bytes().to_vec())),
        ..FetchBundleResponse::default()
    }
}
