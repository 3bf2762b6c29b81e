//! Following the bundle history.
//!
//! A few readers in each failure domain look at the head at the platform; the others hear of new
//! versions from their peers. The body comes from the object store or from a peer, and is verified
//! here whichever way it came.

use crate::entry::Entry;
use crate::versions::snapshot::Snapshot;
use crate::versions::snapshot::SnapshotContext;
use crate::watch::counters::Count;
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

/// Entries of a failure domain that look at the head often.
const HEAD_READERS: usize = 2;
/// The others look this many times less often.
const HEAD_POLL_SLOW_FACTOR: u64 = 10;

impl Entry {
    /// Looks at the head for ever, and makes this entry ready once a version is in force.
    pub(crate) async fn follow_bundles(self: Arc<Self>) {
        let mut polls: u64 = 0;
        loop {
            let is_in_force = self.version.lock().version() > BundleVersion::NONE;
            let is_reader = self.members.lock().is_head_reader(HEAD_READERS, self.now());
            if !is_in_force || is_reader || polls.is_multiple_of(HEAD_POLL_SLOW_FACTOR) {
                let platform_answered = self.poll_head().await;
                if !platform_answered && !is_in_force {
                    self.ask_peers_for_start().await;
                }
            }
            polls += 1;
            sleep_ms(self.settings.head_poll_ms).await;
        }
    }

    /// Returns whether the platform's head is in force here now.
    async fn poll_head(self: &Arc<Self>) -> bool {
        let read = self.table.read(BUNDLE_HEAD).await;
        let row = match self.count_platform(read) {
            Ok(Some(row)) => row,
            Ok(None) => return false,
            Err(error) => {
                log::warn!(target: "bundle", "The head can't be read: {error}.");
                return false;
            }
        };
        let head = match serde_json::from_str::<BundleHead>(&row.value) {
            Ok(head) => head,
            Err(error) => {
                let fault = RowFault::form(error);
                self.table.leave_out(BUNDLE_HEAD, &row.key, &fault);
                return false;
            }
        };
        if head.version <= self.version.lock().version() {
            return true;
        }
        self.fetch_body(head).await
    }

    async fn fetch_body(self: &Arc<Self>, head: BundleHead) -> bool {
        if self.fetch_delta(&head).await {
            return true;
        }
        let read = self.objects.read(&bundle_object(head.digest)).await;
        let bytes = match self.count_platform(read) {
            Ok(Some(bytes)) => bytes,
            Ok(None) | Err(_) => return self.ask_all_peers().await >= head.version,
        };
        self.adopt(move |entry| match CanonicalBundle::from_bytes(&bytes) {
            Ok(body) => entry.accept_offer(Offer::new(head, body)),
            Err(error) => {
                log::error!(target: "bundle", "The body of {} is no bundle: {error}.", head.digest);
                false
            }
        })
        .await
    }

    /// Takes the version that follows the one in force by its difference, if that is there.
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

    /// Does the work of taking a version on a thread of its own, as it takes long for a large bundle
    /// and would hold requests up. One at a time, so that the same work is not done twice.
    pub(crate) async fn adopt(
        self: &Arc<Self>,
        work: impl FnOnce(&Self) -> bool + Send + 'static,
    ) -> bool {
        if self.discovery.is_some() {
            // A configuration without targets is small, and a thread for it would cost memory.
            let _turn = self.adopt_lock.lock();
            return work(self);
        }
        let entry = Arc::clone(self);
        blocking::unblock(move || {
            let _turn = entry.adopt_lock.lock();
            work(&entry)
        })
        .await
    }

    /// Asks all known peers and seeds; returns the version in force after that.
    async fn ask_all_peers(self: &Arc<Self>) -> BundleVersion {
        for peer in self.known_peer_addresses() {
            self.fetch_from(peer).await;
        }
        self.version.lock().version()
    }

    /// Learns the version in force from peers while the platform is down. All that are known are
    /// asked, so that the newest of theirs is taken.
    async fn ask_peers_for_start(self: &Arc<Self>) {
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
            .chain(self.peer_seeds.load().iter().copied())
            .filter(|address| *address != own)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Puts a version from a peer in force, if it is what it says. Only [`Self::adopt`] may call this.
    pub(crate) fn accept_from_peer(&self, head: BundleHead, body: CanonicalBundle) -> bool {
        if self.discovery.is_none() {
            return self.accept_offer(Offer::new(head, body));
        }
        // The store acknowledged it to the peer; a body that came whole is the one it acknowledged.
        if body.digest() != head.digest {
            self.counters.add(Count::BundleRefused);
            log::error!(target: "bundle", "Version {} came altered from a peer.", head.version);
            return false;
        }
        self.accept_acknowledged(body)
    }

    /// Puts a version in force that the store has acknowledged to an operator.
    pub(crate) fn accept_acknowledged(&self, body: CanonicalBundle) -> bool {
        match Offer::acknowledged(body) {
            Ok(offer) => self.put_in_force(offer),
            Err(error) => {
                log::error!(target: "bundle", "An acknowledged version can't be named: {error}.");
                false
            }
        }
    }

    pub(crate) fn apply_deltas(
        &self,
        head: &BundleHead,
        deltas: Vec<BundleDelta>,
    ) -> Option<CanonicalBundle> {
        let snapshot = self.snapshot.load();
        match BundleDelta::apply_all(deltas, snapshot.bundle(), head.digest) {
            Ok(body) => Some(body),
            Err(error) => {
                log::warn!(target: "bundle", "A difference can't be used: {error}.");
                None
            }
        }
    }

    /// Verifies a version and puts it in force. Returns whether it, or a newer one, is now. Only
    /// [`Self::adopt`] may call this, so that versions come one at a time.
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

    /// Puts a verified version in force. Returns whether it, or a newer one, is now.
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
        self.snapshot.store(Arc::new(next));
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
        self.members.lock().beat(number, epoch);
        self.urgent_update.notify(usize::MAX);
        true
    }

    /// The snapshot of a version with the targets that are known now.
    fn build_snapshot(&self, body: Arc<CanonicalBundle>, previous: &Snapshot) -> Snapshot {
        let listed = self.targets.lock().targets();
        let context = SnapshotContext {
            listed: &listed,
            domain: &self.settings.failure_domain,
        };
        Snapshot::new(body, context, previous, self.now())
    }

    /// Brings the snapshot up to date with the list of targets.
    pub(crate) fn apply_target_changes(&self) {
        // A version that is being taken meanwhile may have looked at the list before it changed.
        let _turn = self.adopt_lock.lock();
        let previous = self.snapshot.load_full();
        if let Some(body) = previous.body() {
            let next = self.build_snapshot(Arc::clone(body), &previous);
            self.snapshot.store(Arc::new(next));
            self.share_added_attempts();
        }
        self.become_ready();
    }

    /// Makes this entry ready once it knows all that it needs.
    fn become_ready(&self) {
        let knows_version = self.version.lock().version() > BundleVersion::NONE;
        let knows_targets = self.discovery.is_none() || self.targets.lock().is_known();
        let mut members = self.members.lock();
        if members.own().state == MemberState::Starting && knows_version && knows_targets {
            members.advance(MemberState::Ready);
            drop(members);
            self.is_ready.store(true, Ordering::Relaxed);
            self.became_ready.notify(usize::MAX);
        }
    }
}
