//! One run of an entry process.
//!
//! A restarted process has a new incarnation, so a promise made by the old one is never kept by the
//! new one by mistake.

use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Id of one run of an entry process, 128 random bits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(u128);

impl Incarnation {
    /// An incarnation with given bits, for tests.
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// The bits as bytes, for messages.
    pub const fn to_bytes(self) -> [u8; 16] {
        self.0.to_le_bytes()
    }

    /// The incarnation with these bytes.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(u128::from_le_bytes(bytes))
    }

    /// A new incarnation from the system's random source.
    ///
    /// # Panics
    ///
    /// Panics when the system has no random source, as no process may run without its own id.
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
