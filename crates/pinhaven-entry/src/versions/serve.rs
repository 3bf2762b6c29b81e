//! Giving the version in force to peers that lack it, part by part.

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
    /// The answer to a peer that asks for a newer version than it holds.
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
                log::error!(target: "bundle", "Version {} can't be given: {error}.", offer.head().version);
                FetchBundleResponse::default()
            }
        }
    }

    /// The package that the peer has begun, if it is still here, or else the one that it needs.
    fn select_package(
        &self,
        request: &FetchBundleRequest,
        held: BundleVersion,
        offer: &Offer<Verified>,
    ) -> Result<Arc<BundlePackage>, PackageError> {
        let begun = Digest::from_bytes(&request.package);
        if let Some(package) = begun.and_then(|digest| self.packages.lock().find_by_digest(digest))
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

    /// The differences from a version on, if they are here and less than the whole.
    fn differences_to(
        &self,
        offer: &Offer<Verified>,
        held: BundleVersion,
    ) -> Option<Vec<BundleDelta>> {
        let deltas = self.recent_deltas.lock();
        let differences = deltas.since(held)?;
        let leads_there = differences.last().map(|last| last.to) == Some(offer.head().version);
        (leads_there && are_smaller(&differences, offer))
            .then(|| differences.into_iter().cloned().collect())
    }

    fn serve_part(
        &self,
        request: &FetchBundleRequest,
        package: &BundlePackage,
    ) -> FetchBundleResponse {
        let has_begun = request.package == package.digest().as_bytes();
        let offset = if has_begun { request.offset } else { 0 };
        let all = package.bytes();
        if offset == 0
            && let Err(away) = self.transfer_budget.lock().begin(all.len(), self.now())
        {
            return FetchBundleResponse {
                busy_ms: away.as_ms().ceil() as u32,
                ..FetchBundleResponse::default()
            };
        }
        let rest = all.get(offset as usize..).unwrap_or_default();
        let length = rest
            .len()
            .min(request.bytes_most as usize)
            .min(PART_BYTES_MAX);
        self.counters.add_many(Count::PeerBytes, length as u64);
        let part = BundlePart {
            version: package.version().number(),
            package: package.digest().as_bytes().to_vec(),
            total_bytes: all.len() as u64,
            offset,
            bytes: rest[..length].to_vec(),
        };
        FetchBundleResponse {
            body: Some(FetchedBody::Part(part)),
            ..FetchBundleResponse::default()
        }
    }
}

/// Whether differences name less than there is in all.
fn are_smaller(differences: &[&BundleDelta], offer: &Offer<Verified>) -> bool {
    let named: usize = differences.iter().map(|delta| delta.size()).sum();
    named <= offer.body().bundle().size()
}

/// The answer to a peer that knows no parts.
fn whole_version_response(offer: &Offer<Verified>) -> FetchBundleResponse {
    FetchBundleResponse {
        head: serde_json::to_vec(offer.head()).unwrap_or_default(),
        body: Some(FetchedBody::Whole(offer.body().bytes().to_vec())),
        ..FetchBundleResponse::default()
    }
}
