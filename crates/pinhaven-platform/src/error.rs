//! Errors of calls to the platform.

use displaydoc::Display as DisplayDoc;
use pinhaven_types::Help;
use std::net::SocketAddr;

/// The step of a platform call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc, PartialOrd, Ord)]
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

impl PlatformStep {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadRow => "read_row",
            Self::ListRows => "list_rows",
            Self::WriteRow => "write_row",
            Self::ReadObject => "read_object",
            Self::WriteObject => "write_object",
            Self::AwaitChanges => "await_changes",
        }
    }
}

/// Failure of a call to the platform, by the effect that the call had.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum PlatformError {
    /// {step} {key} at {peer}: the condition did not hold; nothing was written
    Conflict {
        /// Step that failed.
        step: PlatformStep,
        /// Key of the row or object.
        key: String,
        /// Address of the platform.
        peer: SocketAddr,
    },
    /// {step} {key} at {peer}: it took no effect: {message}
    NoEffect {
        /// Step that failed.
        step: PlatformStep,
        /// Key of the row or object.
        key: String,
        /// Address of the platform.
        peer: SocketAddr,
        /// Status of the answer, or the cause of the failure.
        message: String,
    },
    /// {step} {key} at {peer}: it may have taken effect: {message}
    Unknown {
        /// Step that failed.
        step: PlatformStep,
        /// Key of the row or object.
        key: String,
        /// Address of the platform.
        peer: SocketAddr,
        /// Status of the answer, or the cause of the failure.
        message: String,
    },
}

impl std::error::Error for PlatformError {}

impl Help for PlatformError {
    fn help(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "read the row again and decide again on the new value",
            Self::NoEffect { .. } => "retry when the platform answers again",
            Self::Unknown { .. } => "read the row back to check whether the write took effect",
        }
    }
}
