//! Following the bundle history.
//!
//! A few readers in each failure domain look at the head at the platform; the others hear of new
//! versions from their peers. The body comes from the object store or from a peer, and is verified
//! here whichever way it came.

use crate::counters::Count;
use crate::entry::Entry;
use crate::snapshot::Snapshot;
use pinhaven_agree::MemberState;
use pinhaven_agree::Offer;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::FetchedBody;
use pinhaven_platform::BUNDLE_HEAD;
use pinhaven_platform::ObjectStore;
use pinhaven_platform::TableService;
use pinhaven_platform::bundle_object;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::BundleVersion;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Entries of a failure domain that look at the head often.
const HEAD_READERS: usize = 2;
/// The others look this many times less often.
const HEAD_POLL_SLOW_FACTOR: u64 = 10;
/// Versions whose bodies are kept, so that peers can be given differences.
const BODIES_KEPT: usize = 8;
/// How long a peer may take to give a bundle.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Bodies of the last versions.
#[derive(Default)]
pub(crate) struct RecentBodies(Vec<Arc<CanonicalBundle>>);

impl RecentBodies {
    fn push(&mut self, body: Arc<CanonicalBundle>) {
        self.0.push(body);
        if self.0.len() > BODIES_KEPT {
            self.0.remove(0);
        }
    }

    fn get(&self, version: BundleVersion) -> Option<&Arc<CanonicalBundle>> {
        self.0.iter().find(|body| body.bundle().version == version)
    }
}

impl Entry {
    /// Looks at the head for ever, and makes this entry ready once a version is in force.
    pub(crate) async fn follow_bundles(self: Arc<Self>) {
        let mut polls: u64 = 0;
        loop {
            let is_in_force = self.version.lock().version() > BundleVersion::NONE;
            let is_reader = self.members.lock().is_head_reader(HEAD_READERS, self.now());
            if !is_in_force || is_reader || polls.is_multiple_of(HEAD_POLL_SLOW_FACTOR) {
                let platform_answered = self.look_at_head().await;
                if !platform_answered && !is_in_force {
                    self.ask_peers_for_start().await;
                }
            }
            polls += 1;
            sleep_ms(self.settings.head_poll_ms).await;
        }
    }

    /// Returns whether the platform's head is in force here now.
    async fn look_at_head(&self) -> bool {
        let read = self.table.read(BUNDLE_HEAD).await;
        let row = match self.count_platform(read) {
            Ok(Some(row)) => row,
            Ok(None) => return false,
            Err(error) => {
                log::warn!(target: "bundle", "The head can't be read: {error}.");
                return false;
            }
        };
        let Ok(head) = serde_json::from_str::<BundleHead>(&row.value) else {
            log::error!(target: "bundle", "The head's row can't be understood.");
            return false;
        };
        if head.version <= self.version.lock().version() {
            return true;
        }
        self.fetch_body(head).await
    }

    async fn fetch_body(&self, head: BundleHead) -> bool {
        let read = self.objects.read(&bundle_object(head.digest)).await;
        let bytes = match self.count_platform(read) {
            Ok(Some(bytes)) => bytes,
            Ok(None) | Err(_) => return self.ask_all_peers().await >= head.version,
        };
        match CanonicalBundle::from_bytes(&bytes) {
            Ok(body) => self.take_offer(Offer::new(head, body)),
            Err(error) => {
                log::error!(target: "bundle", "The body of {} is no bundle: {error}.", head.digest);
                false
            }
        }
    }

    /// Asks all known peers and seeds; returns the version in force after that.
    async fn ask_all_peers(&self) -> BundleVersion {
        for peer in self.known_peer_addresses() {
            self.fetch_from(peer).await;
        }
        self.version.lock().version()
    }

    /// Learns the version in force from peers while the platform is down. All that are known are
    /// asked, so that the newest of theirs is taken.
    async fn ask_peers_for_start(&self) {
        if self.ask_all_peers().await > BundleVersion::NONE {
            log::info!(target: "bundle", "The version in force was learned from peers.");
        }
    }

    pub(crate) fn known_peer_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let own = members.own().peer_address;
        let known = members
            .peers_to_ask()
            .into_iter()
            .map(|row| row.peer_address);
        let mut addresses: Vec<SocketAddr> = known
            .chain(self.settings.peer_seeds.iter().copied())
            .filter(|address| *address != own)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Takes a newer version from a peer, if it has one.
    pub(crate) async fn fetch_from(&self, peer: SocketAddr) {
        let held = self.version.lock().version();
        let request = FetchBundleRequest {
            held_version: held.number(),
        };
        match self.peers.fetch_bundle(peer, FETCH_TIMEOUT, request).await {
            Ok(response) => self.take_fetched(response),
            Err(error) => log::debug!(target: "bundle", "{error}."),
        }
    }

    fn take_fetched(&self, response: FetchBundleResponse) {
        if response.head.is_empty() {
            return;
        }
        let bytes = response.head.len() as u64;
        self.counters.add_many(Count::PeerBytes, bytes);
        let Ok(head) = serde_json::from_slice::<BundleHead>(&response.head) else {
            return;
        };
        let body = match response.body {
            Some(FetchedBody::Whole(bytes)) => {
                self.counters.add_many(Count::PeerBytes, bytes.len() as u64);
                CanonicalBundle::from_bytes(&bytes).ok()
            }
            Some(FetchedBody::Delta(bytes)) => {
                self.counters.add_many(Count::PeerBytes, bytes.len() as u64);
                self.apply_delta(&head, &bytes)
            }
            None => None,
        };
        if let Some(body) = body {
            self.take_offer(Offer::new(head, body));
        }
    }

    fn apply_delta(&self, head: &BundleHead, bytes: &[u8]) -> Option<CanonicalBundle> {
        let delta: BundleDelta = serde_json::from_slice(bytes).ok()?;
        let snapshot = self.snapshot.load();
        match delta.apply(&snapshot.bundle, head.digest) {
            Ok(body) => Some(body),
            Err(error) => {
                log::warn!(target: "bundle", "A difference can't be used: {error}.");
                None
            }
        }
    }

    /// Verifies a version and puts it in force. Returns whether it, or a newer one, is now.
    fn take_offer(&self, offer: Offer<pinhaven_agree::Offered>) -> bool {
        let number = offer.head().version;
        let verified = match offer.verify(&self.settings.trusted_signers) {
            Ok(verified) => verified,
            Err(error) => {
                self.counters.add(Count::BundleRefused);
                log::error!(target: "bundle", "Version {number} is refused: {error}.");
                return false;
            }
        };
        let body = Arc::clone(verified.body());
        let signer = verified.head().signer.clone();
        {
            // The snapshot follows under the same lock, so that it can't be an older one.
            let mut version = self.version.lock();
            if version.put_in_force(verified).is_err() {
                return true;
            }
            let previous = self.snapshot.load_full();
            let next = Snapshot::new(body.bundle(), &previous, self.now());
            self.snapshot.store(Arc::new(next));
            self.recent_bodies.lock().push(Arc::clone(&body));
        }
        self.leaving.lock().clear();
        self.seats.lock().set_seats(body.bundle().measuring.seats);
        self.counters.add(Count::BundleInForce);
        log::info!(target: "bundle", "Version {number}, signed off by {signer}, is in force.");
        let mut members = self.members.lock();
        if members.own().state == MemberState::Starting {
            members.advance(MemberState::Ready);
        }
        members.beat(number, self.ledger.lock().epoch().0);
        drop(members);
        self.news.notify(usize::MAX);
        true
    }

    /// The answer to a peer that holds a version.
    pub(crate) fn bundle_for_peer(&self, held: BundleVersion) -> FetchBundleResponse {
        let version = self.version.lock();
        let Some(offer) = version.held().filter(|offer| offer.head().version > held) else {
            return FetchBundleResponse::default();
        };
        let delta = self.recent_bodies.lock().get(held).and_then(|from| {
            let delta = BundleDelta::between(from.bundle(), offer.body().bundle());
            serde_json::to_vec(&delta).ok()
        });
        let body = match delta {
            Some(delta) => FetchedBody::Delta(delta),
            None => FetchedBody::Whole(offer.body().bytes().to_vec()),
        };
        FetchBundleResponse {
            head: serde_json::to_vec(offer.head()).unwrap_or_default(),
            body: Some(body),
        }
    }
}
