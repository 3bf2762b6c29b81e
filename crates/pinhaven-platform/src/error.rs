//! What can go wrong at the platform.

use displaydoc::Display as DisplayDoc;
use pinhaven_types::Help;
use std::net::SocketAddr;

/// The call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum PlatformStep {
    /// reading a row
    ReadRow,
    /// listing rows
    ListRows,
    /// writing a row
    WriteRow,
    /// reading an object
    ReadObject,
    /// writing an object
    WriteObject,
    /// waiting for changes of
    AwaitChanges,
}

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum PlatformError {
    /// {step} {key} at {peer}: the condition did not hold, nothing was written
    Conflict {
        /// The call.
        step: PlatformStep,
        /// The row or object.
        key: String,
        /// The platform's address.
        peer: SocketAddr,
    },
    /// {step} {key} at {peer}: it took no effect: {message}
    NoEffect {
        /// The call.
        step: PlatformStep,
        /// The row or object.
        key: String,
        /// The platform's address.
        peer: SocketAddr,
        /// What was answered or broke.
        message: String,
    },
    /// {step} {key} at {peer}: it may have taken effect: {message}
    Unknown {
        /// The call.
        step: PlatformStep,
        /// The row or object.
        key: String,
        /// The platform's address.
        peer: SocketAddr,
        /// What was answered or broke.
        message: String,
    },
}

impl std::error::Error for PlatformError {}

impl Help for PlatformError {
    fn help(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "read the row again and decide anew",
            Self::NoEffect { .. } => "try again once the platform answers",
            Self::Unknown { .. } => "read the row back to learn whether the write is there",
        }
    }
}
