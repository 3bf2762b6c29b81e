//! Errors that prevent an entry from running.

use displaydoc::Display as DisplayDoc;
use pinhaven_types::Help;

/// Step at which an entry failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DisplayDoc)]
pub enum EntryStep {
    /// listening for callers
    ListenForCallers,
    /// listening for peers
    ListenForPeers,
    /// listening for datagrams of peers
    ListenForDatagrams,
    /// listening for readiness checks
    ListenForReadiness,
    /// listening for address requests
    ListenForAddresses,
    /// preparing metrics
    PrepareMetrics,
    /// listening for signals
    ListenForSignals,
}

/// Error that prevents an entry from running.
#[derive(Debug, DisplayDoc)]
pub enum EntryError {
    /// {step} at {peer}: {message}
    System {
        /// The step that failed.
        step: EntryStep,
        /// The address or the signals that the step concerns.
        peer: String,
        /// Error message of the operating system.
        message: String,
    },
}

impl std::error::Error for EntryError {}

impl Help for EntryError {
    fn help(&self) -> &'static str {
        let Self::System { step, .. } = self;
        match step {
            EntryStep::ListenForCallers => "set caller_address to a free address of this instance",
            EntryStep::ListenForPeers => "set peer_address to a free address of this instance",
            EntryStep::ListenForDatagrams => {
                "set peer_address to an address that is free for datagrams"
            }
            EntryStep::ListenForReadiness => "set discovery.ready_address to a free address",
            EntryStep::ListenForAddresses => "set discovery.directory_address to a free address",
            EntryStep::PrepareMetrics => {
                "set metrics_address to an IP address and port, or leave it out"
            }
            EntryStep::ListenForSignals => "run the entry where it may handle SIGTERM",
        }
    }
}
