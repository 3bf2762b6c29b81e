//! One run of a target.
//!
//! A target may start again under its id. It then holds and knows nothing of before, and what was
//! learned of an earlier run says nothing of a later one. The time of its start, by its own clock, tells
//! the runs of one id apart and which is the later; it is compared with no other clock.

use crate::ParseQuantityError;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// One run of a target, by the Unix time of its start in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetIncarnation(u64);

impl TargetIncarnation {
    /// The run that started at a Unix time in milliseconds, by the target's clock.
    pub const fn new(started_unix_ms: u64) -> Self {
        Self(started_unix_ms)
    }

    /// When it started.
    pub const fn started_unix_ms(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TargetIncarnation {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let Ok(started_unix_ms) = text.parse() else {
            return Err(ParseQuantityError::Start(text.to_owned()));
        };
        Ok(Self(started_unix_ms))
    }
}
