//! What makes two requests the same, in eight bytes.
//!
//! A caller that tries again sends the same request under another id, mostly to another entry. Entries tell
//! each other of such a request by a hash, so that neither paths nor bodies leave the entry that has them.

use crate::Digest;
use crate::ParseQuantityError;
use std::fmt;
use std::str::FromStr;

/// Hash of what stays the same when a request comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// A print with these bits, as it came in a message.
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// The print of a request with these parts, in this order.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        Self(Digest::of_parts(parts).short())
    }

    /// Its bits, for messages.
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
            return Err(ParseQuantityError::Print(text.to_owned()));
        };
        Ok(Self(bits))
    }
}
