//! Error of a lab.

use std::fmt;

/// Error of a lab: a message with the failed step.
#[derive(Debug)]
pub struct LabError(String);

impl LabError {
    /// Creates an error with a message.
    pub fn new(message: impl fmt::Display) -> Self {
        Self(message.to_string())
    }
}

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LabError {}
