//! Fetching a version from peers in parts.
//!
//! A peer sends a version as a package: an encoding of the whole body, or of the deltas from a version that the
//! requesting entry holds.
//!
//! A version may be larger than a link can transfer within the timeout of one call, so an entry
//! requests it in parts, each with a call and a timeout of its own. Received parts are retained: when a
//! peer fails, the next peer that holds the same package continues at the same offset. After a package
//! that cannot be used, the entry requests the whole body, because the same deltas would fail again.

use crate::membership::Membership;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;

/// Maximum size of a part, in bytes.
pub const PART_BYTES_MAX: usize = 16 * 1024;
/// Minimum size of a part, in bytes. At 1 kB/s such a part arrives within [`PART_TIMEOUT`].
const PART_BYTES_MIN: usize = 1024;
/// Maximum size of a package, in bytes.
const PACKAGE_BYTES_MAX: u64 = 64 * 1024 * 1024;
/// Timeout of the request for one part, after which a failed peer is detected.
pub const PART_TIMEOUT: Microseconds = Microseconds::from_ms(1_000);

/// Request to a peer for a part of a package.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRequest {
    /// The version in force at the requesting entry.
    pub held: BundleVersion,
    /// The partially fetched package, if any.
    pub package: Option<Digest>,
    /// Number of bytes of the package received so far.
    pub offset: u64,
    /// Whether only a whole body is accepted.
    pub needs_whole: bool,
    /// Maximum number of bytes in the answer.
    pub bytes_max: usize,
}

/// A part of a package, as a peer sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The version that the package leads to.
    pub version: BundleVersion,
    /// Digest of the package.
    pub package: Digest,
    /// Size of the whole package, in bytes.
    pub total_bytes: u64,
    /// Offset of the part in the package, in bytes.
    pub offset: u64,
    /// Content of the part.
    pub bytes: Vec<u8>,
}

/// Result of receiving a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fetched {
    /// Further parts are missing.
    More,
    /// All bytes of a package; their digest is the digest of the package.
    Package(Vec<u8>),
    /// The part is empty, too large or misplaced, or the bytes of the whole package do not have its
    /// digest.
    Rejected,
}

/// A package of which some parts were received.
#[derive(Debug)]
struct PartialPackage {
    /// The version in force when the fetch began; deltas apply to this version only.
    held: BundleVersion,
    version: BundleVersion,
    package: Digest,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl PartialPackage {
    fn new(held: BundleVersion, part: &Part) -> Self {
        Self {
            held,
            version: part.version,
            package: part.package,
            total_bytes: part.total_bytes,
            bytes: Vec::new(),
        }
    }

    /// Whether `part` is the next part of this package.
    fn is_next(&self, part: &Part) -> bool {
        let is_same_package = part.package == self.package
            && part.version == self.version
            && part.total_bytes == self.total_bytes;
        let end = part.offset.checked_add(part.bytes.len() as u64);
        is_same_package
            && part.offset == self.bytes.len() as u64
            && !part.bytes.is_empty()
            && part.bytes.len() <= PART_BYTES_MAX
            && self.total_bytes <= PACKAGE_BYTES_MAX
            && end.is_some_and(|end| end <= self.total_bytes)
    }
}

/// State of the fetch of a newer version by one entry.
#[derive(Debug)]
pub struct VersionFetch {
    partial: Option<PartialPackage>,
    needs_whole: bool,
    /// Number of bytes to request at once. Halved after each timeout, because a smaller part still
    /// arrives in time on a saturated link.
    part_bytes: usize,
}

impl Default for VersionFetch {
    fn default() -> Self {
        Self {
            partial: None,
            needs_whole: false,
            part_bytes: PART_BYTES_MAX,
        }
    }
}

impl VersionFetch {
    /// The request to the next peer, while `held` is in force.
    pub fn request(&mut self, held: BundleVersion) -> PartRequest {
        if self
            .partial
            .as_ref()
            .is_some_and(|partial| partial.held != held)
        {
            // The deltas of the partial package apply to a version that is no longer in force.
            self.partial = None;
        }
        let partial = self.partial.as_ref();
        PartRequest {
            held,
            package: partial.map(|partial| partial.package),
            offset: partial.map_or(0, |partial| partial.bytes.len() as u64),
            needs_whole: self.needs_whole,
            bytes_max: self.part_bytes,
        }
    }

    /// Records the answer to a request. A peer that no longer has the partially fetched package sends
    /// the first part of another one. After a rejected part, the next request starts a package from the
    /// beginning, because the wrong part cannot be identified.
    pub fn record_part(&mut self, request: PartRequest, part: Part) -> Fetched {
        if part.offset == 0 {
            self.partial = Some(PartialPackage::new(request.held, &part));
        }
        let Some(partial) = self
            .partial
            .as_mut()
            .filter(|partial| partial.is_next(&part))
        else {
            self.partial = None;
            return Fetched::Rejected;
        };
        partial.bytes.extend_from_slice(&part.bytes);
        self.part_bytes = (self.part_bytes * 2).min(PART_BYTES_MAX);
        if (partial.bytes.len() as u64) < partial.total_bytes {
            return Fetched::More;
        }
        self.finish()
    }

    fn finish(&mut self) -> Fetched {
        let Some(partial) = self.partial.take() else {
            return Fetched::Rejected;
        };
        if Digest::of(&partial.bytes) != partial.package {
            return Fetched::Rejected;
        }
        Fetched::Package(partial.bytes)
    }

    /// Records that a peer sent no part before the timeout.
    pub fn record_timeout(&mut self) {
        self.part_bytes = (self.part_bytes / 2).max(PART_BYTES_MIN);
    }

    /// Records that received deltas cannot be applied. The next request is for a whole body.
    pub fn reject_differences(&mut self) {
        self.partial = None;
        self.needs_whole = true;
    }

    /// Records that a newer version was put in force.
    pub fn put_in_force(&mut self) {
        self.needs_whole = false;
        self.partial = None;
    }
}

impl Membership {
    /// A live peer that holds `version` or a newer one and is not in `tried`. Peers in this entry's own
    /// failure domain are preferred. `random` selects among the candidates, which spreads the requests
    /// over the peers that have the version.
    pub fn find_holder(
        &self,
        version: BundleVersion,
        tried: &[SocketAddr],
        random: u64,
        now: Microseconds,
    ) -> Option<SocketAddr> {
        let live = self.live_peers(now);
        let holds = live.into_iter().filter(|row| row.version >= version);
        let holders = holds.filter(|row| !tried.contains(&row.peer_address));
        let (near, far): (Vec<_>, Vec<_>) =
            holders.partition(|row| row.failure_domain == self.own().failure_domain);
        let from = if near.is_empty() { far } else { near };
        let index = random.checked_rem(from.len() as u64)?;
        from.get(index as usize).map(|row| row.peer_address)
    }
}
