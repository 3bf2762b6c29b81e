//! Follows the bundle history.
//!
//! A few readers in each failure domain poll the head at the platform; the other entries learn of new
//! versions from their peers. The body comes from the object store or from a peer, and is verified here
//! in both cases.

use crate::entry::Entry;
use crate::versions::snapshot::Snapshot;
use crate::versions::snapshot::SnapshotContext;
use crate::watch::counters::Count;
use crate::watch::steps::Step;
use pinhaven_agree::MemberState;
use pinhaven_agree::Offer;
use pinhaven_agree::Verified;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_platform::BUNDLE_HEAD;
use pinhaven_platform::ObjectStore;
use pinhaven_platform::RowFault;
use pinhaven_platform::TableService;
use pinhaven_platform::bundle_delta_object;
use pinhaven_platform::bundle_object;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::BundleVersion;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Number of entries of a failure domain that poll the head at each interval.
const HEAD_READERS: usize = 2;
/// Factor by which the other entries poll the head less often.
const HEAD_POLL_SLOW_FACTOR: u64 = 10;

impl Entry {
    /// Polls the head and puts new versions in force; the first one makes this entry ready. Runs until the
    /// process exits.
    pub(crate) async fn follow_bundles(self: Arc<Self>) {
        let mut polls: u64 = 0;
        loop {
            let is_in_force = self.version.lock().version() > BundleVersion::NONE;
            let is_reader = self.members.lock().is_head_reader(HEAD_READERS, self.now());
            if !is_in_force || is_reader || polls.is_multiple_of(HEAD_POLL_SLOW_FACTOR) {
                let platform_answered = self.poll_head().await;
                if !platform_answered && !is_in_force {
                    self.fetch_initial_version().await;
                }
            }
            polls += 1;
            sleep_ms(self.settings.head_poll_ms).await;
        }
    }

    /// Reads the head and fetches its version. Returns whether that version, or a newer one, is in force
    /// afterwards.
    async fn poll_head(self: &Arc<Self>) -> bool {
        let read = self.table.read(BUNDLE_HEAD).await;
        let row = match self.count_platform(read) {
            Ok(Some(row)) => row,
            Ok(None) => return false,
            Err(error) => {
                log::warn!(target: "bundle", "The head of the bundle history cannot be read: {error}.");
                return false;
            }
        };
        let head = match serde_json::from_str::<BundleHead>(&row.value) {
            Ok(head) => head,
            Err(error) => {
                let fault = RowFault::form(error);
                self.table.record_skipped(BUNDLE_HEAD, &row.key, &fault);
                return false;
            }
        };
        if head.version <= self.version.lock().version() {
            return true;
        }
        self.fetch_body(head).await
    }

    /// Fetches the version of `head` as a delta, as a whole body or from peers. Returns whether that
    /// version, or a newer one, is in force afterwards.
    async fn fetch_body(self: &Arc<Self>, head: BundleHead) -> bool {
        if self.fetch_delta(&head).await {
            return true;
        }
        let read = self.objects.read(&bundle_object(head.digest)).await;
        let bytes = match self.count_platform(read) {
            Ok(Some(bytes)) => bytes,
            Ok(None) | Err(_) => return self.fetch_from_all_peers().await >= head.version,
        };
        self.adopt(move |entry| match CanonicalBundle::from_bytes(&bytes) {
            Ok(body) => entry.accept_offer(Offer::new(head, body)),
            Err(error) => {
                log::error!(target: "bundle", "The body of {} is not a valid bundle: {error}.", head.digest);
                false
            }
        })
        .await
    }

    /// Fetches the delta from the version in force to `head`, if `head` is the next version. Returns whether
    /// the version of `head` is in force afterwards.
    async fn fetch_delta(self: &Arc<Self>, head: &BundleHead) -> bool {
        if self.version.lock().version().next() != head.version {
            return false;
        }
        let key = bundle_delta_object(head.version, head.digest);
        let read = self.objects.read(&key).await;
        let Ok(Some(bytes)) = self.count_platform(read) else {
            return false;
        };
        let head = head.clone();
        self.adopt(move |entry| {
            let delta: Option<BundleDelta> = serde_json::from_slice(&bytes).ok();
            let body = delta.and_then(|delta| entry.apply_deltas(&head, vec![delta]));
            body.is_some_and(|body| entry.accept_offer(Offer::new(head, body)))
        })
        .await
    }

    /// Runs the processing of a version on a separate thread, because it takes long for a large bundle and
    /// would delay requests. Only one call runs at a time, so that no version is processed twice.
    pub(crate) async fn adopt(
        self: &Arc<Self>,
        work: impl FnOnce(&Self) -> bool + Send + 'static,
    ) -> bool {
        if self.discovery.is_some() {
            // A configuration without targets is small; a thread for it would only cost memory.
            let _guard = self.adopt_lock.lock();
            return self.steps.record(Step::Version, || work(self));
        }
        let entry = Arc::clone(self);
        blocking::unblock(move || {
            let _guard = entry.adopt_lock.lock();
            work(&entry)
        })
        .await
    }

    /// Fetches newer versions from all known peers and seeds. Returns the version in force afterwards.
    async fn fetch_from_all_peers(self: &Arc<Self>) -> BundleVersion {
        for peer in self.known_peer_addresses() {
            self.fetch_from(peer).await;
        }
        self.version.lock().version()
    }

    /// Obtains the version in force from peers while the platform is unavailable. All known peers are
    /// asked, because any of them may hold the newest version.
    async fn fetch_initial_version(self: &Arc<Self>) {
        if self.fetch_from_all_peers().await > BundleVersion::NONE {
            log::info!(target: "bundle", "The version in force was fetched from peers.");
        }
    }

    /// Addresses of the known peers and the seeds, without this entry's own address.
    pub(crate) fn known_peer_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let own = members.own().peer_address;
        let known = members
            .contactable_peers()
            .into_iter()
            .map(|row| row.peer_address);
        let mut addresses: Vec<SocketAddr> = known
            .chain(self.peer_seeds.load().iter().copied())
            .filter(|address| *address != own)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Verifies a version from a peer and puts it in force. Returns whether that version, or a newer one,
    /// is in force afterwards. Call only within [`Self::adopt`].
    pub(crate) fn accept_from_peer(&self, head: BundleHead, body: CanonicalBundle) -> bool {
        if self.discovery.is_none() {
            return self.accept_offer(Offer::new(head, body));
        }
        // The store acknowledged the version to the peer; a body with the digest of the head is the
        // acknowledged one.
        if body.digest() != head.digest {
            self.counters.add(Count::BundleRefused);
            log::error!(target: "bundle", "Version {} from a peer does not match its digest.", head.version);
            return false;
        }
        self.accept_acknowledged(body)
    }

    /// Puts a version in force that the store has acknowledged to an operator. Returns whether that
    /// version, or a newer one, is in force afterwards.
    pub(crate) fn accept_acknowledged(&self, body: CanonicalBundle) -> bool {
        match Offer::acknowledged(body) {
            Ok(offer) => self.put_in_force(offer),
            Err(error) => {
                log::error!(target: "bundle", "The head of an acknowledged version cannot be built: {error}.");
                false
            }
        }
    }

    /// Applies deltas to the version in force; `None` when they do not apply or do not yield the digest of
    /// `head`.
    pub(crate) fn apply_deltas(
        &self,
        head: &BundleHead,
        deltas: Vec<BundleDelta>,
    ) -> Option<CanonicalBundle> {
        let snapshot = self.snapshot.load();
        match BundleDelta::apply_all(deltas, snapshot.bundle(), head.digest) {
            Ok(body) => Some(body),
            Err(error) => {
                log::warn!(target: "bundle", "A delta cannot be applied: {error}.");
                None
            }
        }
    }

    /// Verifies a version and puts it in force. Returns whether that version, or a newer one, is in force
    /// afterwards. Call only within [`Self::adopt`], which processes one version at a time.
    fn accept_offer(&self, offer: Offer<pinhaven_agree::Offered>) -> bool {
        let number = offer.head().version;
        if number <= self.version.lock().version() {
            return true;
        }
        let verified = match offer.verify(&self.settings.trusted_signers) {
            Ok(verified) => verified,
            Err(error) => {
                self.counters.add(Count::BundleRefused);
                self.record_version("refused", number);
                log::error!(target: "bundle", "Version {number} is refused: {error}.");
                return false;
            }
        };
        self.put_in_force(verified)
    }

    /// Puts a verified version in force. Returns whether that version, or a newer one, is in force
    /// afterwards.
    fn put_in_force(&self, verified: Offer<Verified>) -> bool {
        let number = verified.head().version;
        if number <= self.version.lock().version() {
            return true;
        }
        let body = Arc::clone(verified.body());
        let signer = verified.head().signer.clone();
        let previous = self.snapshot.load_full();
        let next = self.build_snapshot(Arc::clone(&body), &previous);
        if self.version.lock().put_in_force(verified).is_err() {
            return true;
        }
        let organisations = next.organisations.clone();
        self.store_snapshot(next);
        self.organisation_counters
            .retain_listed(organisations.as_deref());
        self.share_added_attempts();
        if previous.version > BundleVersion::NONE {
            let delta = BundleDelta::between(previous.bundle(), body.bundle());
            self.recent_deltas.lock().push(delta);
        }
        self.seats.lock().set_seats(body.bundle().measuring.seats);
        if let Some(limits) = body.bundle().limits {
            self.caller_idle_ms
                .store(limits.idle_timeout_ms, Ordering::Relaxed);
        }
        self.counters.add(Count::BundleInForce);
        self.version_lag.lock().put_in_force(number);
        self.version_fetch.lock().put_in_force();
        self.record_version("in_force", number);
        log::info!(target: "bundle", "Version {number}, signed off by {signer}, is in force.");
        self.become_ready();
        let epoch = self.ledger.lock().epoch().0;
        self.members.lock().advance_heartbeat(number, epoch);
        self.urgent_update.notify(usize::MAX);
        true
    }

    /// Builds the snapshot of a version with the targets known at present.
    fn build_snapshot(&self, body: Arc<CanonicalBundle>, previous: &Snapshot) -> Snapshot {
        let listed = self.targets.lock().targets();
        let context = SnapshotContext {
            listed: &listed,
            domain: &self.settings.failure_domain,
            crossing_cost: self.settings.crossing_cost,
        };
        let snapshot = Snapshot::new(body, context, previous, self.now());
        let indexed = snapshot.routes_indexed_since(previous);
        self.counters.add_many(Count::RoutesIndexed, indexed as u64);
        snapshot
    }

    /// Updates the snapshot after a change of the target list.
    pub(crate) fn apply_target_changes(&self) {
        // Without the lock, a version that is being put in force could overwrite this snapshot with one
        // built from the old target list.
        let _guard = self.adopt_lock.lock();
        let previous = self.snapshot.load_full();
        if let Some(body) = previous.body() {
            let next = self.build_snapshot(Arc::clone(body), &previous);
            self.store_snapshot(next);
            self.share_added_attempts();
        }
        self.become_ready();
    }

    /// Makes this entry ready if it is starting, a version is in force and, with a store, the targets and the
    /// drained failure domains are known.
    pub(crate) fn become_ready(&self) {
        let knows_version = self.version.lock().version() > BundleVersion::NONE;
        let knows_targets = self.discovery.is_none()
            || (self.targets.lock().is_known() && self.drains.lock().is_known());
        let mut members = self.members.lock();
        if members.own().state == MemberState::Starting && knows_version && knows_targets {
            members.advance_state(MemberState::Ready);
            drop(members);
            self.is_ready.store(true, Ordering::Relaxed);
            self.became_ready.notify(usize::MAX);
        }
    }
}
