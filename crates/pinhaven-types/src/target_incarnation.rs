//! Id of one run of a target.
//!
//! A target may restart under the same id. The new run has no state of the earlier run, and statistics about an
//! earlier run do not apply to a later run. The start time, by the clock of the target, distinguishes and orders the
//! runs of one target id; it is never compared with another clock.

use crate::ParseQuantityError;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// One run of a target, identified by the Unix time of its start in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetIncarnation(u64);

impl TargetIncarnation {
    /// Creates the incarnation of a run that started at this Unix time in milliseconds, by the clock of the target.
    pub const fn new(started_unix_ms: u64) -> Self {
        Self(started_unix_ms)
    }

    /// Unix time of the start of the run, in milliseconds by the clock of the target.
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
