//! State of an emulated entry: the decision logic of a real entry, the differences and packages that the entry retains
//! for peers, and its resources.

use crate::versions::carrier::Link;
use crate::versions::carrier::Processor;
use crate::versions::history::BuiltPackage;
use crate::versions::message::CallNumber;
use crate::versions::plan::VersionsPlan;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::PartRequest;
use pinhaven_agree::RetryBackoff;
use pinhaven_agree::TransferBudget;
use pinhaven_agree::VersionFetch;
use pinhaven_agree::VersionLag;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time without a heartbeat after which a peer counts as silent.
const SILENT_AFTER: Microseconds = Microseconds::from_ms(1_200);
/// Request capacity of each entry.
const CAPACITY: RequestRate = RequestRate::new(100);
/// Port of the first entry; each further entry has the next port.
const FIRST_PORT: u16 = 1_000;
/// Maximum number of differences retained for peers, as in an entry.
const DELTAS_MAX: usize = 64;
/// Maximum number of services and routes that the retained differences may name in total, as in an entry.
const DELTA_CHANGES_MAX: usize = 8_192;
/// Maximum number of packages cached for peers, as in an entry.
const PACKAGES_MAX: usize = 8;

/// Difference retained for peers.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetainedDelta {
    pub(super) from: BundleVersion,
    pub(super) to: BundleVersion,
    pub(super) size: usize,
}

/// Fetch of a version from one peer, with the peers tried before.
#[derive(Debug)]
pub(super) struct PeerAttempt {
    pub(super) peer: usize,
    pub(super) tried: Vec<SocketAddr>,
    pub(super) restarts: u32,
    /// Shortest delay named by a busy peer in this round; `None` if no peer was busy.
    pub(super) retry_after: Option<Microseconds>,
    /// Number of rounds that ended without a free peer.
    pub(super) rounds: u32,
    pub(super) call: CallNumber,
    pub(super) request: PartRequest,
    pub(super) is_answered: bool,
}

/// An emulated entry.
pub(super) struct Instance {
    pub(super) members: Membership,
    pub(super) held: BundleVersion,
    pub(super) lag: VersionLag,
    pub(super) fetch: VersionFetch,
    pub(super) attempt: Option<PeerAttempt>,
    pub(super) last_call: CallNumber,
    pub(super) transfer_budget: TransferBudget,
    deltas: VecDeque<RetainedDelta>,
    packages: VecDeque<Rc<BuiltPackage>>,
    pub(super) link: Link,
    pub(super) processor: Processor,
    pub(super) is_alive: bool,
    pub(super) is_delegate: bool,
    pub(super) store_version_seen: BundleVersion,
    pub(super) store_backoff: RetryBackoff,
    pub(super) waits_for_store: bool,
    pub(super) store_asked_us: u64,
    /// Whether the store's version was already acknowledged some time before the last poll.
    pub(super) store_was_ahead: bool,
    /// Duration of the last answer of the store, in microseconds.
    pub(super) store_answer_us: u64,
    pub(super) peer_bytes: u64,
    pub(super) store_bytes: u64,
    pub(super) store_calls: u64,
    pub(super) failed_tries: u64,
    pub(super) busy_answers: u64,
    pub(super) longest_wait: Microseconds,
    pub(super) memory_peak_bytes: u64,
}

impl Instance {
    /// Creates an entry that holds a version and knows all other entries as members.
    pub(super) fn new(entry: usize, held: BundleVersion, plan: &VersionsPlan) -> Self {
        let mut members = Membership::new(row_of(entry, held, plan), SILENT_AFTER);
        for other in (0..plan.entries).filter(|other| *other != entry) {
            members.record_member(
                row_of(other, BundleVersion::new(1), plan),
                Microseconds::ZERO,
            );
        }
        let mut lag = VersionLag::default();
        lag.put_in_force(held);
        Self {
            members,
            held,
            lag,
            fetch: VersionFetch::default(),
            attempt: None,
            last_call: 0,
            transfer_budget: TransferBudget::new(plan.link_mbps),
            deltas: VecDeque::new(),
            packages: VecDeque::new(),
            link: Link::new(plan.link_mbps),
            processor: Processor::new(plan.core_share),
            is_alive: true,
            is_delegate: false,
            store_version_seen: held,
            store_backoff: RetryBackoff::default(),
            waits_for_store: false,
            store_asked_us: 0,
            store_was_ahead: false,
            store_answer_us: 0,
            peer_bytes: 0,
            store_bytes: 0,
            store_calls: 0,
            failed_tries: 0,
            busy_answers: 0,
            longest_wait: Microseconds::ZERO,
            memory_peak_bytes: 0,
        }
    }

    /// Records that a version is in force and retains the difference of this size from the previous version.
    pub(super) fn put_in_force(&mut self, version: BundleVersion, size: usize) {
        let delta = RetainedDelta {
            from: self.held,
            to: version,
            size,
        };
        if self.held > BundleVersion::NONE {
            self.retain_delta(delta);
        }
        self.held = version;
        self.lag.put_in_force(version);
        self.fetch.put_in_force();
        self.members.advance_heartbeat(version, 0);
    }

    fn retain_delta(&mut self, delta: RetainedDelta) {
        self.deltas.push_back(delta);
        while self.deltas.len() > DELTAS_MAX || self.retained_changes() > DELTA_CHANGES_MAX {
            self.deltas.pop_front();
        }
    }

    /// Number of services and routes that the retained differences name.
    pub(super) fn retained_changes(&self) -> usize {
        self.deltas.iter().map(|delta| delta.size).sum()
    }

    /// Retained differences that lead from a version to the version in force; `None` if the first is not retained.
    pub(super) fn deltas_since(&self, version: BundleVersion) -> Option<Vec<RetainedDelta>> {
        let first = self.deltas.iter().position(|delta| delta.from == version)?;
        Some(self.deltas.iter().skip(first).copied().collect())
    }

    /// Returns a cached package that fits and marks it as the most recently used.
    pub(super) fn cached_package(
        &mut self,
        fits: impl Fn(&BuiltPackage) -> bool,
    ) -> Option<Rc<BuiltPackage>> {
        let index = self.packages.iter().position(|built| fits(built))?;
        let used = self.packages.remove(index)?;
        self.packages.push_back(Rc::clone(&used));
        Some(used)
    }

    /// Returns the cached package with a digest and marks it as the most recently used.
    pub(super) fn find_package_by_digest(
        &mut self,
        digest: Option<Digest>,
    ) -> Option<Rc<BuiltPackage>> {
        let digest = digest?;
        self.cached_package(|built| built.package.digest() == digest)
    }

    /// Caches a package and evicts the least recently used one if there are too many.
    pub(super) fn insert_package(&mut self, built: Rc<BuiltPackage>) {
        self.packages.push_back(built);
        if self.packages.len() > PACKAGES_MAX {
            self.packages.pop_front();
        }
    }

    /// Clears the package cache.
    pub(super) fn clear_packages(&mut self) {
        self.packages.clear();
    }

    /// Total size of the cached packages, in bytes.
    pub(super) fn package_bytes(&self) -> usize {
        self.packages
            .iter()
            .map(|built| built.package.bytes().len())
            .sum()
    }
}

/// Address at which an entry accepts calls.
pub(super) fn address_of(entry: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + entry as u16))
}

/// Index of the entry that accepts calls at an address.
pub(super) fn entry_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// First membership row of an entry.
fn row_of(entry: usize, held: BundleVersion, plan: &VersionsPlan) -> MemberRow {
    let domain = format!("domain-{}", entry % plan.failure_domains);
    let name = format!("entry-{entry}");
    MemberRow {
        incarnation: Incarnation::new(entry as u128 + 1),
        instance_id: name.parse().expect("a generated name is one"),
        failure_domain: domain.parse().expect("a generated name is one"),
        region: None,
        capacity: CAPACITY,
        demand: RequestRate::ZERO,
        caller_address: address_of(entry),
        peer_address: address_of(entry),
        state: MemberState::Ready,
        heartbeat: 1,
        version: held,
        epoch: 0,
        lacks_store: false,
    }
}
