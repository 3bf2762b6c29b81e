//! Id of one run of an entry process.
//!
//! A restarted process has a new incarnation, so that the new process never fulfils by mistake a commitment that
//! the earlier process made.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Id of one run of an entry process, 128 random bits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(u128);

impl Incarnation {
    /// Creates an incarnation with the given bits, for tests.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// The 16 bytes of the incarnation in little-endian order, for messages.
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_le_bytes()
    }

    /// Creates an incarnation from the bytes that [`Self::to_bytes`] returns.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_le_bytes(bytes))
    }

    /// Creates an incarnation from the random source of the operating system.
    ///
    /// # Panics
    ///
    /// Panics if the operating system has no random source, because a process must not run without a unique id.
    pub fn random() -> Self {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).expect("the system has a random source");
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for Incarnation {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> String {
        incarnation.to_string()
    }
}
