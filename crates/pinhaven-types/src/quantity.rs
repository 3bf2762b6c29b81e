//! Versions, times, percentages, rates and addresses.

use displaydoc::Display as DisplayDoc;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Reason for which a text is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum ParseQuantityError {
    /// {0:?} is not a percentage from 0 to 100, such as "0.5%"
    Percent(String),
    /// {0:?} is not an IP address and port, such as "127.0.0.1:8080"
    Address(String),
    /// {0:?} is not a whole number from 1 up
    Version(String),
    /// {0:?} is not a whole number of requests a second, such as "120/s"
    Rate(String),
    /// {0:?} is not a factor from 0 to 10, such as "1.5"
    Cost(String),
    /// {0:?} is not a Unix time in whole milliseconds
    Start(String),
    /// {0:?} is not a hash of a request, such as "00c0ffee00c0ffee"
    Fingerprint(String),
}

impl std::error::Error for ParseQuantityError {}

/// Version of a bundle, counted from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(u64);

impl BundleVersion {
    /// Placeholder for the state before the first bundle.
    pub const NONE: Self = Self(0);

    /// Creates a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of the version.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The next version.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for BundleVersion {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let Ok(number) = text.parse() else {
            return Err(ParseQuantityError::Version(text.to_owned()));
        };
        Ok(Self(number))
    }
}

/// A span of time or a point on a monotonic clock, in microseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Microseconds(u64);

impl Microseconds {
    /// Zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a time from a number of microseconds.
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// Creates a time from a number of milliseconds.
    pub const fn from_ms(count: u64) -> Self {
        Self(count * 1_000)
    }

    /// The number of microseconds.
    pub const fn count(self) -> u64 {
        self.0
    }

    /// The time in milliseconds.
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Subtracts `other`; the result is never below zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds `other`; the result is at most the largest representable time.
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Microseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.0)
    }
}

/// A share in percent, from 0 to 100.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Percent(f64);

impl Percent {
    /// Creates a share, clamped to 0 to 100 percent.
    pub const fn new(percent: f64) -> Self {
        Self(percent.clamp(0.0, 100.0))
    }

    /// The share as a fraction of 1.
    pub fn fraction(self) -> f64 {
        self.0 / 100.0
    }
}

impl TryFrom<f64> for Percent {
    type Error = ParseQuantityError;

    fn try_from(percent: f64) -> Result<Self, ParseQuantityError> {
        if !(0.0..=100.0).contains(&percent) {
            return Err(ParseQuantityError::Percent(percent.to_string()));
        }
        Ok(Self(percent))
    }
}

impl From<Percent> for f64 {
    fn from(percent: Percent) -> f64 {
        percent.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let Ok(percent) = text.trim_end_matches('%').trim().parse::<f64>() else {
            return Err(ParseQuantityError::Percent(text.to_owned()));
        };
        Self::try_from(percent)
    }
}

/// A rate in requests a second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Zero requests a second.
    pub const ZERO: Self = Self(0);

    /// Creates a rate from a number of requests a second.
    pub const fn new(per_second: u32) -> Self {
        Self(per_second)
    }

    /// The number of requests a second.
    pub const fn per_second(self) -> u32 {
        self.0
    }
}

impl std::iter::Sum for RequestRate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        Self(rates.fold(0, |sum: u32, rate| sum.saturating_add(rate.0)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let Ok(per_second) = text.trim_end_matches("/s").trim().parse() else {
            return Err(ParseQuantityError::Rate(text.to_owned()));
        };
        Ok(Self(per_second))
    }
}

/// IP address and port of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TargetAddress(SocketAddr);

impl TargetAddress {
    /// Creates a target address from a socket address.
    pub const fn new(address: SocketAddr) -> Self {
        Self(address)
    }

    /// The socket address.
    pub const fn socket_address(self) -> SocketAddr {
        self.0
    }
}

impl fmt::Display for TargetAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TargetAddress {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        // Nothing can be sent to port 0.
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => Ok(Self(address)),
            _ => Err(ParseQuantityError::Address(text.to_owned())),
        }
    }
}

impl TryFrom<String> for TargetAddress {
    type Error = ParseQuantityError;

    fn try_from(text: String) -> Result<Self, ParseQuantityError> {
        text.parse()
    }
}

impl From<TargetAddress> for String {
    fn from(address: TargetAddress) -> String {
        address.to_string()
    }
}
