//! Fetches newer versions from peers that have them.
//!
//! The entry requests a package from one peer at a time, part by part, until the package is complete or
//! the peer fails; another peer that holds the version then continues. Received parts are retained between
//! attempts, so that repeated failures still make progress.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_agree::Fetched;
use pinhaven_agree::PART_TIMEOUT;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
use pinhaven_agree::RETRY_DELAY_MAX;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::BundlePackage;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PackageContent;
use pinhaven_bundle::UnpackedPackage;
use pinhaven_peer::BundlePart;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::FetchedBody;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum number of peers tried in a round.
const PEERS_TRIED_MAX: usize = 3;
/// Maximum number of rounds in which all tried peers are busy. After that, the next advertised version
/// starts a new fetch.
const ROUNDS_MAX: u32 = 20;
/// Maximum number of restarts of a package at one peer. A fetch restarts when the peer serves another
/// package than the partially fetched one.
const RESTARTS_MAX: u32 = 2;

/// Outcome of a fetch from one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// A newer version is in force.
    InForce,
    /// The peer has a newer version and no capacity to serve it for this time.
    Busy(Duration),
    /// The peer has no newer version, or failed.
    TryAnother,
}

/// Reply of a peer to a request for a part.
enum Reply {
    NothingNewer,
    Busy(Duration),
    Part(Part),
    /// A whole version or deltas from a peer that runs an older release, which does not serve
    /// parts.
    Unpacked(Box<UnpackedPackage>),
    /// A reply that cannot be decoded, with the reason.
    Unreadable(&'static str),
}

/// Next step of a fetch after a reply.
enum NextStep {
    RequestPart,
    Adopt(ReceivedVersion),
    End(Outcome),
}

/// A completely received version.
enum ReceivedVersion {
    Package(Vec<u8>),
    Unpacked(Box<UnpackedPackage>),
}

/// State of a fetch from one peer.
struct PeerAttempt {
    peer: SocketAddr,
    restarts: u32,
}

/// Guard of the fetch in progress; at most one exists per entry.
struct FetchGuard(Arc<Entry>);

impl FetchGuard {
    /// Begins a fetch; `None` while another fetch is in progress.
    fn begin(entry: &Arc<Entry>) -> Option<Self> {
        let is_in_progress = entry.is_fetching.swap(true, Ordering::Acquire);
        (!is_in_progress).then(|| Self(Arc::clone(entry)))
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.is_fetching.store(false, Ordering::Release);
    }
}

impl Entry {
    /// Fetches newer versions, first from `peer` and then from others that have them. Does nothing while
    /// another fetch is in progress; the next advertised version starts a fetch if it is still missing.
    pub(crate) async fn fetch_from(self: &Arc<Self>, peer: SocketAddr) {
        let Some(_fetch_guard) = FetchGuard::begin(self) else {
            return;
        };
        let mut first = Some(peer);
        for _ in 0..ROUNDS_MAX {
            let Some(retry_after) = self.run_round(first.take()).await else {
                return;
            };
            // The random factor spreads the retries of entries that were refused at the same time.
            let pause = retry_after.mul_f64(1.0 + fastrand::f64());
            sleep_ms(pause.as_millis() as u64).await;
        }
    }

    /// Fetches from a few peers one after the other. Returns the time after which to retry when, since the
    /// last version put in force, a tried peer was busy.
    async fn run_round(self: &Arc<Self>, first: Option<SocketAddr>) -> Option<Duration> {
        let mut tried = Vec::new();
        let mut retry_after: Option<Duration> = None;
        let mut next = first.or_else(|| self.next_holder(&tried));
        while let Some(peer) = next {
            match self.fetch_package(peer).await {
                Outcome::InForce => {
                    tried.clear();
                    retry_after = None;
                }
                Outcome::Busy(time) => {
                    tried.push(peer);
                    retry_after = Some(retry_after.map_or(time, |shortest| shortest.min(time)));
                }
                Outcome::TryAnother => tried.push(peer),
            }
            next = self.next_holder(&tried);
        }
        if retry_after.is_some() {
            self.record_fetch_failure("all that were asked are busy");
        }
        retry_after
    }

    /// A peer not tried yet that has a version newer than the one in force; `None` when no version is
    /// missing or enough peers were tried.
    fn next_holder(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let held = self.version.lock().version();
        if tried.len() >= PEERS_TRIED_MAX || self.version_lag.lock().known() <= held {
            return None;
        }
        let members = self.members.lock();
        members.find_holder(held.next(), tried, fastrand::u64(..), self.now())
    }

    /// Fetches a package from a peer, part by part, and puts its version in force.
    async fn fetch_package(self: &Arc<Self>, peer: SocketAddr) -> Outcome {
        let mut attempt = PeerAttempt { peer, restarts: 0 };
        loop {
            let request = self.part_request();
            let next = match self.fetch_part(peer, request).await {
                Ok(reply) => self.handle_reply(&mut attempt, request, reply),
                Err(error) => {
                    self.version_fetch.lock().record_timeout();
                    self.abandon_peer(&error)
                }
            };
            match next {
                NextStep::RequestPart => {}
                NextStep::Adopt(received) => return self.adopt_received(peer, received).await,
                NextStep::End(outcome) => return outcome,
            }
        }
    }

    fn part_request(&self) -> PartRequest {
        let held = self.version.lock().version();
        self.version_fetch.lock().request(held)
    }

    async fn fetch_part(&self, peer: SocketAddr, request: PartRequest) -> Result<Reply, String> {
        let timeout = Duration::from_micros(PART_TIMEOUT.count());
        let message = fetch_request(request);
        let response = self.peers.fetch_bundle(peer, timeout, message).await;
        let response = response.map_err(|error| error.to_string())?;
        Ok(parse_reply(response))
    }

    fn handle_reply(
        &self,
        attempt: &mut PeerAttempt,
        request: PartRequest,
        reply: Reply,
    ) -> NextStep {
        let peer = attempt.peer;
        match reply {
            Reply::NothingNewer => NextStep::End(Outcome::TryAnother),
            Reply::Busy(retry_after) => NextStep::End(Outcome::Busy(retry_after)),
            Reply::Part(part) => self.handle_part(attempt, request, part),
            Reply::Unpacked(unpacked) => NextStep::Adopt(ReceivedVersion::Unpacked(unpacked)),
            Reply::Unreadable(reason) => self.abandon_peer(&format!("{reason}, from {peer}")),
        }
    }

    fn handle_part(&self, attempt: &mut PeerAttempt, request: PartRequest, part: Part) -> NextStep {
        let peer = attempt.peer;
        attempt.restarts += u32::from(request.offset > 0 && part.offset == 0);
        if attempt.restarts > RESTARTS_MAX {
            return self.abandon_peer(&format!("{peer} gives another package each time"));
        }
        match self.version_fetch.lock().record_part(request, part) {
            Fetched::More => NextStep::RequestPart,
            Fetched::Package(bytes) => NextStep::Adopt(ReceivedVersion::Package(bytes)),
            Fetched::Rejected => self.abandon_peer(&format!("a part from {peer} fits nothing")),
        }
    }

    /// Records the failure of a peer and ends the fetch from it.
    fn abandon_peer(&self, reason: &str) -> NextStep {
        self.record_fetch_failure(reason);
        NextStep::End(Outcome::TryAnother)
    }

    async fn adopt_received(
        self: &Arc<Self>,
        peer: SocketAddr,
        received: ReceivedVersion,
    ) -> Outcome {
        let before = self.version.lock().version();
        let is_accepted = self
            .adopt(move |entry| entry.accept_received(received))
            .await;
        if !is_accepted {
            self.record_fetch_failure(&format!("what {peer} gave can't be put in force"));
            return Outcome::TryAnother;
        }
        // A peer that serves only versions already in force must not be tried again in this round.
        match self.version.lock().version() > before {
            true => Outcome::InForce,
            false => Outcome::TryAnother,
        }
    }

    /// Unpacks a received version and puts it in force. Call only within [`Self::adopt`].
    fn accept_received(&self, received: ReceivedVersion) -> bool {
        let unpacked = match received {
            ReceivedVersion::Unpacked(unpacked) => Ok(*unpacked),
            ReceivedVersion::Package(bytes) => {
                let length = bytes.len() as u64;
                self.counters.add_many(Count::PeerBytes, length);
                self.counters.add_many(Count::BundleBytes, length);
                BundlePackage::unpack(&bytes)
            }
        };
        match unpacked {
            Ok(unpacked) => self.accept_unpacked(unpacked),
            Err(error) => {
                log::error!(target: "bundle", "A package cannot be unpacked: {error}.");
                false
            }
        }
    }

    fn accept_unpacked(&self, unpacked: UnpackedPackage) -> bool {
        let UnpackedPackage { head, content } = unpacked;
        let steps = match &content {
            PackageContent::Differences(deltas) => deltas.clone(),
            PackageContent::Whole(_) => Vec::new(),
        };
        let body = self.resolve_body(&head, content);
        let is_accepted = body.is_some_and(|body| self.accept_from_peer(head, body));
        if is_accepted {
            self.recent_deltas.lock().refine_last(steps);
        }
        is_accepted
    }

    /// The body of a received version: the whole body as received, or the deltas applied to the version in
    /// force.
    fn resolve_body(&self, head: &BundleHead, content: PackageContent) -> Option<CanonicalBundle> {
        let deltas = match content {
            PackageContent::Whole(body) => return Some(body),
            PackageContent::Differences(deltas) => deltas,
        };
        let held = self.version.lock().version();
        let starts_here = deltas.first().is_some_and(|delta| delta.from == held);
        let body = self.apply_deltas(head, deltas);
        // Deltas that do not start at the version in force are only late, for example after the store has
        // delivered a version; deltas that start there and fail are rejected.
        if body.is_none() && starts_here {
            self.version_fetch.lock().reject_differences();
        }
        body
    }
}

fn fetch_request(request: PartRequest) -> FetchBundleRequest {
    let package = request.package.map(|digest| digest.as_bytes().to_vec());
    FetchBundleRequest {
        held_version: request.held.number(),
        package: package.unwrap_or_default(),
        offset: request.offset,
        bytes_most: request.bytes_max as u32,
        needs_whole: request.needs_whole,
    }
}

fn parse_reply(response: FetchBundleResponse) -> Reply {
    if response.busy_ms > 0 {
        let retry_after = Microseconds::from_ms(u64::from(response.busy_ms)).min(RETRY_DELAY_MAX);
        return Reply::Busy(Duration::from_micros(retry_after.count()));
    }
    let unpacked = |content: PackageContent| match serde_json::from_slice(&response.head) {
        Ok(head) => Reply::Unpacked(Box::new(UnpackedPackage { head, content })),
        Err(_) => Reply::Unreadable("the head of its version can't be read"),
    };
    match response.body {
        None => Reply::NothingNewer,
        Some(FetchedBody::Part(part)) => parse_part(part),
        Some(FetchedBody::Whole(bytes)) => match CanonicalBundle::from_bytes(&bytes) {
            Ok(body) => unpacked(PackageContent::Whole(body)),
            Err(_) => Reply::Unreadable("its version can't be read"),
        },
        Some(FetchedBody::Deltas(bytes)) => match serde_json::from_slice(&bytes) {
            Ok(deltas) => unpacked(PackageContent::Differences(deltas)),
            Err(_) => Reply::Unreadable("its differences can't be read"),
        },
    }
}

fn parse_part(part: BundlePart) -> Reply {
    match Digest::from_bytes(&part.package) {
        Some(package) => Reply::Part(Part {
            version: BundleVersion::new(part.version),
            package,
            total_bytes: part.total_bytes,
            offset: part.offset,
            bytes: part.bytes,
        }),
        None => Reply::Unreadable("its package has no name"),
    }
}
