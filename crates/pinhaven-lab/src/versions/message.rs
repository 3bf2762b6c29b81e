//! What instances and the store say to each other in emulated time, and what is planned.

use pinhaven_agree::MemberRow;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::rc::Rc;

/// An end of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Endpoint {
    Entry(usize),
    Store,
}

/// Number of a call of one entry.
pub(super) type CallNumber = u64;

/// An answer to a call.
#[derive(Debug, Clone)]
pub(super) enum Reply {
    NothingNewer,
    Busy(Microseconds),
    Part(Part),
    /// All at once, without parts; it follows from these versions.
    Whole {
        start: Option<BundleVersion>,
        steps: Vec<BundleVersion>,
    },
    /// What the store holds.
    Stored(BundleVersion),
}

/// What is said.
#[derive(Debug, Clone)]
pub(super) enum Payload {
    /// The sender's own row, and rows of others.
    Datagram(Rc<[MemberRow]>),
    /// A question for a newer version.
    Ask {
        call: CallNumber,
        request: PartRequest,
    },
    /// A piece of an answer that is under way.
    Segment { transfer: u64 },
}

/// Something said, with the bytes that it takes on a link.
#[derive(Debug, Clone)]
pub(super) struct Message {
    pub(super) from: Endpoint,
    pub(super) to: usize,
    pub(super) bytes: usize,
    pub(super) payload: Payload,
}

/// An answer that is under way, segment after segment.
#[derive(Debug)]
pub(super) struct AnswerInFlight {
    pub(super) from: Endpoint,
    pub(super) to: usize,
    pub(super) call: CallNumber,
    pub(super) unsent_bytes: usize,
    pub(super) segments_in_flight: usize,
    pub(super) reply: Reply,
}

/// Work of an instance's processor.
#[derive(Debug)]
pub(super) enum Work {
    /// Answering a peer.
    Answer {
        asker: usize,
        call: CallNumber,
        request: PartRequest,
    },
    /// Looking at an answer.
    HandleReply { call: CallNumber, reply: Reply },
    /// Putting together and checking what came from a peer.
    Adopt {
        call: CallNumber,
        received: ReceivedVersion,
    },
    /// The same with what came from the store.
    AdoptStored(BundleVersion),
}

/// A version that has come from a peer.
#[derive(Debug, Clone)]
pub(super) struct ReceivedVersion {
    pub(super) version: BundleVersion,
    /// The version that it leads on from; `None` for a whole body.
    pub(super) start: Option<BundleVersion>,
    /// Whether it leads to what was signed, on an entry that holds what it should.
    pub(super) is_good: bool,
}

/// Something that is planned.
#[derive(Debug)]
pub(super) enum Event {
    /// The store has acknowledged a version.
    Acknowledged(BundleVersion),
    /// A message reaches the receiver's link.
    ReachedLink(Message),
    /// A message is through the receiver's link.
    Received(Message),
    /// The processor of an entry is done.
    WorkDone { entry: usize, work: Work },
    /// A call has had its time.
    TimedOut { entry: usize, call: CallNumber },
    /// An entry that was sent away asks again.
    RetryFetch { entry: usize, call: CallNumber },
    /// An entry that follows the store looks whether a peer is still ahead.
    FetchFrom {
        entry: usize,
        peer: usize,
        version: BundleVersion,
    },
    /// An entry tells the others that it lives.
    DatagramRound(usize),
    /// An entry asks the store.
    PollStore(usize),
    /// An entry dies.
    Crashes(usize),
}
