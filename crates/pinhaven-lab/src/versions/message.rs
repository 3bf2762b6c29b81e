//! Messages between the emulated entries and the store, and the scheduled events.

use pinhaven_agree::MemberRow;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::rc::Rc;

/// Sender of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Endpoint {
    Entry(usize),
    Store,
}

/// Sequence number of a call, per entry.
pub(super) type CallNumber = u64;

/// Answer to a call.
#[derive(Debug, Clone)]
pub(super) enum Reply {
    NothingNewer,
    Busy(Microseconds),
    Part(Part),
    /// Versions sent in a single answer: differences from `start`, or a whole body without `start`.
    Whole {
        start: Option<BundleVersion>,
        steps: Vec<BundleVersion>,
    },
    /// Version that the store holds.
    Stored(BundleVersion),
}

/// Content of a message.
#[derive(Debug, Clone)]
pub(super) enum Payload {
    /// The sender's own row, followed by rows of other entries.
    Datagram(Rc<[(MemberRow, Microseconds)]>),
    /// Request for a part of a newer version.
    Ask {
        call: CallNumber,
        request: PartRequest,
    },
    /// Segment of an answer in flight.
    Segment { transfer: u64 },
}

/// Message with its size on a link.
#[derive(Debug, Clone)]
pub(super) struct Message {
    pub(super) from: Endpoint,
    pub(super) to: usize,
    pub(super) bytes: usize,
    pub(super) payload: Payload,
}

/// Answer that is being sent segment by segment.
#[derive(Debug)]
pub(super) struct AnswerInFlight {
    pub(super) from: Endpoint,
    pub(super) to: usize,
    pub(super) call: CallNumber,
    pub(super) unsent_bytes: usize,
    pub(super) segments_in_flight: usize,
    pub(super) reply: Reply,
}

/// Work for an entry's processor.
#[derive(Debug)]
pub(super) enum Work {
    /// Build the answer to a peer's request.
    Answer {
        asker: usize,
        call: CallNumber,
        request: PartRequest,
    },
    /// Process the answer of a peer.
    HandleReply { call: CallNumber, reply: Reply },
    /// Assemble and check a version received from a peer.
    Adopt {
        call: CallNumber,
        received: ReceivedVersion,
    },
    /// Parse and check a version received from the store.
    AdoptStored(BundleVersion),
}

/// Version received from a peer.
#[derive(Debug, Clone)]
pub(super) struct ReceivedVersion {
    pub(super) version: BundleVersion,
    /// Version that the differences start from; `None` for a whole body.
    pub(super) start: Option<BundleVersion>,
    /// Whether the package yields the signed version on an entry that holds `start`.
    pub(super) is_valid: bool,
}

/// Scheduled event.
#[derive(Debug)]
pub(super) enum Event {
    /// The store acknowledges a version.
    Acknowledged(BundleVersion),
    /// A message reaches the receiver's link.
    ReachedLink(Message),
    /// A message has passed the receiver's link.
    Received(Message),
    /// The processor of an entry has finished some work.
    WorkDone { entry: usize, work: Work },
    /// The timeout of a call has expired.
    TimedOut { entry: usize, call: CallNumber },
    /// An entry starts another round after its peers were busy.
    RetryFetch { entry: usize, call: CallNumber },
    /// An entry fetches a version from a peer unless it has received the version in the meantime.
    FetchFrom {
        entry: usize,
        peer: usize,
        version: BundleVersion,
    },
    /// An entry sends its periodic datagrams.
    DatagramRound(usize),
    /// An entry polls the store.
    PollStore(usize),
    /// An entry crashes.
    Crashes(usize),
}
