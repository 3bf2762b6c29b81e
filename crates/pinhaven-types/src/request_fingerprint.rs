//! Eight-byte fingerprint by which repeated requests are recognised.
//!
//! A caller that retries sends the same request with another id, usually to another entry. Entries exchange only a hash
//! of such a request, so that neither paths nor bodies leave the entry that received them.

use crate::Digest;
use crate::ParseQuantityError;
use std::fmt;
use std::str::FromStr;

/// Hash of the parts of a request that stay the same when the request is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Creates a fingerprint from bits that were received in a message.
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// Computes the fingerprint of a request from its parts, in this order.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        Self(Digest::of_parts(parts).short())
    }

    /// The bits, for messages.
    pub const fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bits = u64::from_str_radix(text, 16);
        let Ok(bits) = bits else {
            return Err(ParseQuantityError::Fingerprint(text.to_owned()));
        };
        Ok(Self(bits))
    }
}
