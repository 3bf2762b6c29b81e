//! Getting a newer version from peers that have it.
//!
//! One peer is asked at a time, part by part, until the package is here or the peer fails; then another that
//! holds the version goes on. What has come is kept between tries, so that each try ends nearer to the version.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_agree::AWAY_MOST;
use pinhaven_agree::Fetched;
use pinhaven_agree::PART_TIMEOUT;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
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

/// Peers that are asked one after the other in a round.
const PEERS_TRIED_MAX: usize = 3;
/// Rounds in which all were busy before the next news of a version starts anew.
const ROUNDS_MAX: u32 = 20;
/// How often a package may be begun anew at one peer. It is when the peer has another one than was begun.
const RESTARTS_MAX: u32 = 2;

/// How attempt a peer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// A newer version is in force.
    InForce,
    /// The peer has one and no room to give it for so long.
    Busy(Duration),
    /// The peer has none, or failed.
    TryAnother,
}

/// What a peer said.
enum Reply {
    NothingNewer,
    Busy(Duration),
    Part(Part),
    /// From a peer that knows no parts.
    Unpacked(Box<UnpackedPackage>),
    Unreadable(&'static str),
}

/// What to do after a reply.
enum NextStep {
    Ask,
    Adopt(ReceivedVersion),
    Leave(Outcome),
}

/// A version that has come whole.
enum ReceivedVersion {
    Package(Vec<u8>),
    Unpacked(Box<UnpackedPackage>),
}

/// Asking one peer.
struct PeerAttempt {
    peer: SocketAddr,
    restarts: u32,
}

/// The one fetch that may be under way; others may begin once this is dropped.
struct FetchGuard(Arc<Entry>);

impl FetchGuard {
    /// Begins, unless one is under way.
    fn begin(entry: &Arc<Entry>) -> Option<Self> {
        let is_under_way = entry.is_fetching.swap(true, Ordering::Acquire);
        (!is_under_way).then(|| Self(Arc::clone(entry)))
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.is_fetching.store(false, Ordering::Release);
    }
}

impl Entry {
    /// Takes a newer version from a peer or from others that have it. While one is being taken this does
    /// nothing; the next news shows whether there is still something to take.
    pub(crate) async fn fetch_from(self: &Arc<Self>, peer: SocketAddr) {
        let Some(_fetch_guard) = FetchGuard::begin(self) else {
            return;
        };
        let mut first = Some(peer);
        for _ in 0..ROUNDS_MAX {
            let Some(away) = self.run_round(first.take()).await else {
                return;
            };
            // Askers that were sent away at the same time come back at different ones.
            let pause = away.mul_f64(1.0 + fastrand::f64());
            sleep_ms(pause.as_millis() as u64).await;
        }
    }

    /// Asks a few peers one after the other. Returns how long to stay away when the last ones that have what is
    /// missing were busy.
    async fn run_round(self: &Arc<Self>, first: Option<SocketAddr>) -> Option<Duration> {
        let mut tried = Vec::new();
        let mut away: Option<Duration> = None;
        let mut next = first.or_else(|| self.next_holder(&tried));
        while let Some(peer) = next {
            match self.fetch_package(peer).await {
                Outcome::InForce => {
                    tried.clear();
                    away = None;
                }
                Outcome::Busy(time) => {
                    tried.push(peer);
                    away = Some(away.map_or(time, |least| least.min(time)));
                }
                Outcome::TryAnother => tried.push(peer),
            }
            next = self.next_holder(&tried);
        }
        if away.is_some() {
            self.miss_version("all that were asked are busy");
        }
        away
    }

    /// Another peer that has what this entry lacks.
    fn next_holder(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let held = self.version.lock().version();
        if tried.len() >= PEERS_TRIED_MAX || self.version_lag.lock().known() <= held {
            return None;
        }
        let members = self.members.lock();
        members.find_holder(held.next(), tried, fastrand::u64(..), self.now())
    }

    /// Takes a package from a peer, part by part, and what it leads to.
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
                NextStep::Ask => {}
                NextStep::Adopt(received) => return self.adopt_received(peer, received).await,
                NextStep::Leave(outcome) => return outcome,
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
            Reply::NothingNewer => NextStep::Leave(Outcome::TryAnother),
            Reply::Busy(away) => NextStep::Leave(Outcome::Busy(away)),
            Reply::Part(part) => self.handle_part(attempt, request, part),
            Reply::Unpacked(unpacked) => NextStep::Adopt(ReceivedVersion::Unpacked(unpacked)),
            Reply::Unreadable(why) => self.abandon_peer(&format!("{why}, from {peer}")),
        }
    }

    fn handle_part(&self, attempt: &mut PeerAttempt, request: PartRequest, part: Part) -> NextStep {
        let peer = attempt.peer;
        attempt.restarts += u32::from(request.offset > 0 && part.offset == 0);
        if attempt.restarts > RESTARTS_MAX {
            return self.abandon_peer(&format!("{peer} gives another package each time"));
        }
        match self.version_fetch.lock().record_part(request, part) {
            Fetched::More => NextStep::Ask,
            Fetched::Package(bytes) => NextStep::Adopt(ReceivedVersion::Package(bytes)),
            Fetched::Rejected => self.abandon_peer(&format!("a part from {peer} fits nothing")),
        }
    }

    /// Leaves a peer that failed.
    fn abandon_peer(&self, why: &str) -> NextStep {
        self.miss_version(why);
        NextStep::Leave(Outcome::TryAnother)
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
            self.miss_version(&format!("what {peer} gave can't be put in force"));
            return Outcome::TryAnother;
        }
        // A peer that gives what is here already must not be asked for it again and again.
        match self.version.lock().version() > before {
            true => Outcome::InForce,
            false => Outcome::TryAnother,
        }
    }

    /// Only [`Self::adopt`] may call this.
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
                log::error!(target: "bundle", "A package can't be used: {error}.");
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

    fn resolve_body(&self, head: &BundleHead, content: PackageContent) -> Option<CanonicalBundle> {
        let deltas = match content {
            PackageContent::Whole(body) => return Some(body),
            PackageContent::Differences(deltas) => deltas,
        };
        let held = self.version.lock().version();
        let leads_on = deltas.first().is_some_and(|delta| delta.from == held);
        let body = self.apply_deltas(head, deltas);
        // Differences that come late, when the store has brought a version, are no fault of theirs.
        if body.is_none() && leads_on {
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
        let away = Microseconds::from_ms(u64::from(response.busy_ms)).min(AWAY_MOST);
        return Reply::Busy(Duration::from_micros(away.count()));
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
