//! Getting a newer version from peers that have it.
//!
//! One peer is asked at a time, part by part, until the package is here or the peer fails; then another that
//! holds the version goes on. What has come is kept between tries, so that each try ends nearer to the version.

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

/// Peers that are asked one after the other in a round.
const PEERS_TRIED_MOST: usize = 3;
/// Rounds in which all were busy before the next news of a version starts anew.
const ROUNDS_MOST: u32 = 20;
/// How often a package may be begun anew at one peer. It is when the peer has another one than was begun.
const RESTARTS_MOST: u32 = 2;

/// How asking a peer ended.
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
enum Next {
    Ask,
    Adopt(Arrived),
    Leave(Outcome),
}

/// A version that has come whole.
enum Arrived {
    Package(Vec<u8>),
    Unpacked(Box<UnpackedPackage>),
}

/// Asking one peer.
struct Asking {
    peer: SocketAddr,
    restarts: u32,
}

/// The one fetch that may be under way; others may begin once this is dropped.
struct Fetching(Arc<Entry>);

impl Fetching {
    /// Begins, unless one is under way.
    fn begin(entry: &Arc<Entry>) -> Option<Self> {
        let is_under_way = entry.is_fetching.swap(true, Ordering::Acquire);
        (!is_under_way).then(|| Self(Arc::clone(entry)))
    }
}

impl Drop for Fetching {
    fn drop(&mut self) {
        self.0.is_fetching.store(false, Ordering::Release);
    }
}

impl Entry {
    /// Takes a newer version from a peer or from others that have it. While one is being taken this does
    /// nothing; the next news shows whether there is still something to take.
    pub(crate) async fn fetch_from(self: &Arc<Self>, peer: SocketAddr) {
        let Some(_fetching) = Fetching::begin(self) else {
            return;
        };
        let mut first = Some(peer);
        for _ in 0..ROUNDS_MOST {
            let Some(away) = self.ask_round(first.take()).await else {
                return;
            };
            // Askers that were sent away at the same time come back at different ones.
            let pause = away.mul_f64(1.0 + fastrand::f64());
            sleep_ms(pause.as_millis() as u64).await;
        }
    }

    /// Asks a few peers one after the other. Returns how long to stay away when the last ones that have what is
    /// missing were busy.
    async fn ask_round(self: &Arc<Self>, first: Option<SocketAddr>) -> Option<Duration> {
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
            self.record_fetch_failure("all that were asked are busy");
        }
        away
    }

    /// Another peer that has what this entry lacks.
    fn next_holder(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let held = self.version.lock().version();
        if tried.len() >= PEERS_TRIED_MOST || self.version_lag.lock().known() <= held {
            return None;
        }
        let members = self.members.lock();
        members.find_holder(held.next(), tried, fastrand::u64(..), self.now())
    }

    /// Takes a package from a peer, part by part, and what it leads to.
    async fn fetch_package(self: &Arc<Self>, peer: SocketAddr) -> Outcome {
        let mut asking = Asking { peer, restarts: 0 };
        loop {
            let request = self.part_request();
            let next = match self.ask_for_part(peer, request).await {
                Ok(reply) => self.take_reply(&mut asking, request, reply),
                Err(error) => {
                    self.version_fetch.lock().record_timeout();
                    self.leave(&error)
                }
            };
            match next {
                Next::Ask => {}
                Next::Adopt(arrived) => return self.adopt_arrived(peer, arrived).await,
                Next::Leave(outcome) => return outcome,
            }
        }
    }

    fn part_request(&self) -> PartRequest {
        let held = self.version.lock().version();
        self.version_fetch.lock().request(held)
    }

    async fn ask_for_part(&self, peer: SocketAddr, request: PartRequest) -> Result<Reply, String> {
        let timeout = Duration::from_micros(PART_TIMEOUT.count());
        let message = message_of(request);
        let response = self.peers.fetch_bundle(peer, timeout, message).await;
        let response = response.map_err(|error| error.to_string())?;
        Ok(reply_of(response))
    }

    fn take_reply(&self, asking: &mut Asking, request: PartRequest, reply: Reply) -> Next {
        let peer = asking.peer;
        match reply {
            Reply::NothingNewer => Next::Leave(Outcome::TryAnother),
            Reply::Busy(away) => Next::Leave(Outcome::Busy(away)),
            Reply::Part(part) => self.take_part(asking, request, part),
            Reply::Unpacked(unpacked) => Next::Adopt(Arrived::Unpacked(unpacked)),
            Reply::Unreadable(why) => self.leave(&format!("{why}, from {peer}")),
        }
    }

    fn take_part(&self, asking: &mut Asking, request: PartRequest, part: Part) -> Next {
        let peer = asking.peer;
        asking.restarts += u32::from(request.offset > 0 && part.offset == 0);
        if asking.restarts > RESTARTS_MOST {
            return self.leave(&format!("{peer} gives another package each time"));
        }
        match self.version_fetch.lock().record_part(request, part) {
            Fetched::More => Next::Ask,
            Fetched::Package(bytes) => Next::Adopt(Arrived::Package(bytes)),
            Fetched::Rejected => self.leave(&format!("a part from {peer} fits nothing")),
        }
    }

    /// Leaves a peer that failed.
    fn leave(&self, why: &str) -> Next {
        self.record_fetch_failure(why);
        Next::Leave(Outcome::TryAnother)
    }

    async fn adopt_arrived(self: &Arc<Self>, peer: SocketAddr, arrived: Arrived) -> Outcome {
        let before = self.version.lock().version();
        let is_taken = self.adopt(move |entry| entry.take_arrived(arrived)).await;
        if !is_taken {
            self.record_fetch_failure(&format!("what {peer} gave can't be put in force"));
            return Outcome::TryAnother;
        }
        // A peer that gives what is here already must not be asked for it again and again.
        match self.version.lock().version() > before {
            true => Outcome::InForce,
            false => Outcome::TryAnother,
        }
    }

    /// Only [`Self::adopt`] may call this.
    fn take_arrived(&self, arrived: Arrived) -> bool {
        let unpacked = match arrived {
            Arrived::Unpacked(unpacked) => Ok(*unpacked),
            Arrived::Package(bytes) => {
                let length = bytes.len() as u64;
                self.counters.add_many(Count::PeerBytes, length);
                self.counters.add_many(Count::BundleBytes, length);
                BundlePackage::unpack(&bytes)
            }
        };
        match unpacked {
            Ok(unpacked) => self.take_unpacked(unpacked),
            Err(error) => {
                log::error!(target: "bundle", "A package can't be used: {error}.");
                false
            }
        }
    }

    fn take_unpacked(&self, unpacked: UnpackedPackage) -> bool {
        let UnpackedPackage { head, content } = unpacked;
        let steps = match &content {
            PackageContent::Differences(deltas) => deltas.clone(),
            PackageContent::Whole(_) => Vec::new(),
        };
        let body = self.body_of(&head, content);
        let is_taken = body.is_some_and(|body| self.take_from_peer(head, body));
        if is_taken {
            self.recent_deltas.lock().refine_last(steps);
        }
        is_taken
    }

    fn body_of(&self, head: &BundleHead, content: PackageContent) -> Option<CanonicalBundle> {
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

fn message_of(request: PartRequest) -> FetchBundleRequest {
    let package = request.package.map(|digest| digest.as_bytes().to_vec());
    FetchBundleRequest {
        held_version: request.held.number(),
        package: package.unwrap_or_default(),
        offset: request.offset,
        bytes_most: request.bytes_max as u32,
        needs_whole: request.needs_whole,
    }
}

fn reply_of(response: FetchBundleResponse) -> Reply {
    if response.busy_ms > 0 {
        let away = Microseconds::from_ms(u64::from(response.busy_ms)).min(RETRY_DELAY_MAX);
        return Reply::Busy(Duration::from_micros(away.count()));
    }
    let unpacked = |content: PackageContent| match serde_json::from_slice(&response.head) {
        Ok(head) => Reply::Unpacked(Box::new(UnpackedPackage { head, content })),
        Err(_) => Reply::Unreadable("the head of its version can't be read"),
    };
    match response.body {
        None => Reply::NothingNewer,
        Some(FetchedBody::Part(part)) => part_of(part),
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

fn part_of(part: BundlePart) -> Reply {
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
