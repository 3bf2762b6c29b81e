//! Getting a version from peers, part by part.
//!
//! A version may be larger than a link carries in the time that one call may take, so an entry asks for it
//! in parts, each with a call and a timeout of its own. What has come is kept: when a peer fails, the
//! next one that holds the same package goes on where it stopped. A package that can't be used is asked for
//! as a whole body, since the same differences would fail again.

use crate::membership::Membership;
use pinhaven_types::BundleVersion;
use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;

/// The most bytes of a part.
pub const PART_BYTES_MAX: usize = 16 * 1024;
/// The least bytes of a part. At 1 kB a second it comes within [`PART_TIMEOUT`].
const PART_BYTES_MIN: usize = 1024;
/// The most bytes of a package.
const PACKAGE_BYTES_MAX: u64 = 64 * 1024 * 1024;
/// How long a peer may take for a part. A peer that is gone is noticed after this time.
pub const PART_TIMEOUT: Microseconds = Microseconds::from_ms(1_000);

/// What to ask a peer for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRequest {
    /// The version in force here.
    pub held: BundleVersion,
    /// The package that was begun, if one was.
    pub package: Option<Digest>,
    /// Bytes of it that are here.
    pub offset: u64,
    /// Whether only a whole body is of use.
    pub needs_whole: bool,
    /// The most bytes to give at once.
    pub bytes_max: usize,
}

/// A part that a peer gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The version that the package leads to.
    pub version: BundleVersion,
    /// The package.
    pub package: Digest,
    /// All its bytes.
    pub total_bytes: u64,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    pub bytes: Vec<u8>,
}

/// What a part led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fetched {
    /// Further parts are missing.
    More,
    /// All bytes of a package, which have its digest.
    Package(Vec<u8>),
    /// The part fits nothing: it is empty, too large or misplaced, or the whole does not have its digest.
    Rejected,
}

/// A package that has come in part.
#[derive(Debug)]
struct Begun {
    /// The version in force when it was begun; differences lead on from that one only.
    held: BundleVersion,
    version: BundleVersion,
    package: Digest,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl Begun {
    fn new(held: BundleVersion, part: &Part) -> Self {
        Self {
            held,
            version: part.version,
            package: part.package,
            total_bytes: part.total_bytes,
            bytes: Vec::new(),
        }
    }

    /// Whether a part is the next one of this package.
    fn is_next(&self, part: &Part) -> bool {
        let is_of_it = part.package == self.package
            && part.version == self.version
            && part.total_bytes == self.total_bytes;
        let end = part.offset.checked_add(part.bytes.len() as u64);
        is_of_it
            && part.offset == self.bytes.len() as u64
            && !part.bytes.is_empty()
            && part.bytes.len() <= PART_BYTES_MAX
            && self.total_bytes <= PACKAGE_BYTES_MAX
            && end.is_some_and(|end| end <= self.total_bytes)
    }
}

/// What one entry has of a newer version.
#[derive(Debug)]
pub struct VersionFetch {
    begun: Option<Begun>,
    needs_whole: bool,
    /// Bytes to ask for at once: fewer after parts that came too late, as on a full link a smaller one still
    /// comes in time.
    part_bytes: usize,
}

impl Default for VersionFetch {
    fn default() -> Self {
        Self {
            begun: None,
            needs_whole: false,
            part_bytes: PART_BYTES_MAX,
        }
    }
}

impl VersionFetch {
    /// What to ask the next peer for, while `held` is in force.
    pub fn request(&mut self, held: BundleVersion) -> PartRequest {
        if self.begun.as_ref().is_some_and(|begun| begun.held != held) {
            // Differences that were begun lead on from a version that is no longer in force here.
            self.begun = None;
        }
        let begun = self.begun.as_ref();
        PartRequest {
            held,
            package: begun.map(|begun| begun.package),
            offset: begun.map_or(0, |begun| begun.bytes.len() as u64),
            needs_whole: self.needs_whole,
            bytes_max: self.part_bytes,
        }
    }

    /// Takes in the answer to a request. A peer that no longer holds the package that was begun gives the first
    /// part of another. After a part that fits nothing the next request begins anew, as it can't be told
    /// which of the parts was wrong.
    pub fn record_part(&mut self, request: PartRequest, part: Part) -> Fetched {
        if part.offset == 0 {
            self.begun = Some(Begun::new(request.held, &part));
        }
        let Some(begun) = self.begun.as_mut().filter(|begun| begun.is_next(&part)) else {
            self.begun = None;
            return Fetched::Rejected;
        };
        begun.bytes.extend_from_slice(&part.bytes);
        self.part_bytes = (self.part_bytes * 2).min(PART_BYTES_MAX);
        if (begun.bytes.len() as u64) < begun.total_bytes {
            return Fetched::More;
        }
        self.finish()
    }

    fn finish(&mut self) -> Fetched {
        let Some(begun) = self.begun.take() else {
            return Fetched::Rejected;
        };
        if Digest::of(&begun.bytes) != begun.package {
            return Fetched::Rejected;
        }
        Fetched::Package(begun.bytes)
    }

    /// Takes in that a peer gave no part in time.
    pub fn record_timeout(&mut self) {
        self.part_bytes = (self.part_bytes / 2).max(PART_BYTES_MIN);
    }

    /// Takes in that differences which came can't be used here.
    pub fn reject_differences(&mut self) {
        self.begun = None;
        self.needs_whole = true;
    }

    /// Takes in that a newer version is in force.
    pub fn put_in_force(&mut self) {
        self.needs_whole = false;
        self.begun = None;
    }
}

impl Membership {
    /// A live peer that holds `version` or a newer one and is not among `tried`: in this entry's own failure
    /// domain if there is one, drawn by `random`, so that those who lack it spread over those who have it.
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
