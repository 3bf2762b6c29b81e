//! Cost of sending a request to another failure domain.

use crate::quantity::ParseQuantityError;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Maximum cost. At a larger one, a request would cross only where its own domain has no target at all.
const COST_MAX: f64 = 10.0;

/// How expensive it is to send a request to another failure domain: a factor from 0 (only the delay of the network) to
/// 10.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct CrossingCost(f64);

impl CrossingCost {
    /// The factor.
    pub const fn factor(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for CrossingCost {
    type Error = ParseQuantityError;

    fn try_from(factor: f64) -> Result<Self, ParseQuantityError> {
        if !(0.0..=COST_MAX).contains(&factor) {
            return Err(ParseQuantityError::Cost(factor.to_string()));
        }
        Ok(Self(factor))
    }
}

impl From<CrossingCost> for f64 {
    fn from(cost: CrossingCost) -> f64 {
        cost.0
    }
}

impl fmt::Display for CrossingCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for CrossingCost {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let Ok(factor) = text.trim().parse::<f64>() else {
            return Err(ParseQuantityError::Cost(text.to_owned()));
        };
        Self::try_from(factor)
    }
}
