//! SHA-256 digests, which serve as names of immutable objects.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use std::fmt;
use std::str::FromStr;

/// SHA-256 digest of a byte string.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// Computes the digest of several parts. Each part is preceded by its length, so that different splits of the
    /// same bytes have different digests.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Creates a digest from its 32 bytes; `None` if `bytes` has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The 32 bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The first eight bytes as a little-endian number, for uses that need only a short hash.
    pub fn short(self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
