//! Ledger of once-only requests, which are dispatched at most once.
//!
//! Input are requests with a caller's key and the outcomes of their dispatches. Output is the decision
//! whether to dispatch a request, to replay its stored answer or to refuse it.
//!
//! A once-only request has one home, an incarnation of an entry. Only the home may dispatch the request,
//! and the home records every key that it has dispatched, so the request path needs no lease, clock or
//! store. After the home has ended, the outcome of its requests is unknown and no other entry dispatches
//! them again.
//!
//! Epochs bound the memory; each incarnation counts its own epochs, and a home names one of them. A caller sends the
//! epoch that it was given, also when it repeats the request. The requests of an epoch are either all recorded or all
//! answered "unknown", so discarding records never leads to a second execution.

use displaydoc::Display as DisplayDoc;
use pinhaven_types::Digest;
use pinhaven_types::Incarnation;
use pinhaven_types::Promise;
use pinhaven_types::ServiceName;
use pinhaven_types::require_promise;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

/// Number of epochs whose requests are recorded, including the current epoch.
const EPOCHS_RETAINED: u64 = 3;

/// Number of an epoch of one incarnation, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The only place where a once-only request may be dispatched: an incarnation and one of its epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Home {
    /// Incarnation that alone may dispatch the request.
    pub incarnation: Incarnation,
    /// Epoch of the incarnation when the home was given to the caller.
    pub epoch: Epoch,
}

/// Error in the text form of a home.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
pub enum ParseHomeError {
    /// a home is an incarnation and an epoch with a '.' between them
    Form,
}

impl std::error::Error for ParseHomeError {}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.epoch)
    }
}

impl FromStr for Home {
    type Err = ParseHomeError;

    fn from_str(text: &str) -> Result<Self, ParseHomeError> {
        let Some((incarnation, epoch)) = text.split_once('.') else {
            return Err(ParseHomeError::Form);
        };
        let incarnation = incarnation.parse().map_err(|_| ParseHomeError::Form)?;
        let epoch = epoch.parse().map_err(|_| ParseHomeError::Form)?;
        Ok(Self {
            incarnation,
            epoch: Epoch(epoch),
        })
    }
}

/// A caller's idempotency key, with what it is used for.
///
/// Callers may use a key for several requests, one of each service and of each resource. The service alone doesn't tell
/// these requests apart: a repeated request goes to another one if its route is split or was moved.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OnceKey {
    /// Epoch sent by the caller.
    pub epoch: Epoch,
    /// Service that this sending of the request goes to.
    pub service: ServiceName,
    /// Digest of the host and path that the caller sent; `None` if the host isn't known.
    pub resource: Option<Digest>,
    /// Digest of the caller's key.
    pub key: Digest,
}

/// Number by which a caller counts its sendings of a request, from 1.
///
/// Messages can be delayed. After a request was answered as not run, an earlier sending that arrives late
/// must not execute it; only a sending with a higher number may start the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sending(pub u32);

impl Sending {
    /// First sending; also stands for a request without a number.
    pub const FIRST: Self = Self(1);
}

/// Digest of all parts that identify a request; a repeated request must have an equal digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnceFingerprint(pub Digest);

/// Answer retained for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, as names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body bytes.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// Limits on the memory of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Maximum number of records.
    pub records_max: usize,
    /// Maximum size of one retained answer, in bytes.
    pub answer_bytes_max: usize,
    /// Maximum total size of all retained answers, in bytes.
    pub all_answer_bytes_max: usize,
}

/// Right to dispatch a request, with the obligation to report its outcome by settling the claim.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a claim that is not settled leaves its request in flight until its epoch is discarded"]
pub struct Claim {
    epoch: Epoch,
    key: Digest,
    /// Number of the record.
    record: u64,
    sending: Sending,
}

/// Decision on a once-only request.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Dispatch the request, then settle the claim.
    Dispatch(Claim),
    /// This sending or a later one was already answered as not run; this sending did not run and never will.
    RefusedBefore,
    /// The request is in flight.
    InFlight,
    /// The request was answered with this answer.
    Answered(StoredAnswer),
    /// The request was answered, but the answer was not retained.
    AnsweredBefore,
    /// The request failed after it was sent; whether it ran is unknown.
    Unknown,
    /// The records of the request's epoch were discarded; whether it ran is unknown.
    Forgotten,
    /// The key was used for a different request; this request did not run.
    OtherRequest,
    /// The ledger has no room for another record; the request did not run.
    Full,
    /// The epoch was never issued to a caller; the request did not run.
    NeverIssued,
}

/// State of a recorded request.
#[derive(Debug, PartialEq, Eq)]
enum RecordState {
    /// The request may be at a target.
    InFlight,
    /// The request is known not to have run; sendings up to this number never will.
    NotRun(Sending),
    /// The request ran; contains the answer if it was retained.
    Answered(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
}

/// Record of one use of a key.
#[derive(Debug)]
struct Record {
    number: u64,
    service: ServiceName,
    resource: Option<Digest>,
    fingerprint: OnceFingerprint,
    state: RecordState,
}

impl Record {
    fn has_resource_of(&self, key: &OnceKey) -> bool {
        self.resource.is_some() && self.resource == key.resource
    }

    /// Whether a request with the key of this record may be the recorded one.
    fn is_use_of(&self, key: &OnceKey) -> bool {
        self.service == key.service || self.has_resource_of(key)
    }
}

/// Records of the once-only requests of one incarnation.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    epoch: Epoch,
    /// Records by epoch and key.
    records: BTreeMap<Epoch, HashMap<Digest, Vec<Record>>>,
    record_count: usize,
    next_record: u64,
    answer_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger in its first epoch.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            epoch: Epoch(1),
            records: BTreeMap::new(),
            record_count: 0,
            next_record: 0,
            answer_bytes: 0,
        }
    }

    /// Current epoch, which is given to callers.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// Total size of the retained answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Begins the next epoch and discards the records of the oldest one.
    pub fn advance_epoch(&mut self) {
        self.epoch.0 += 1;
        let oldest = self.oldest_epoch();
        let retained = self.records.split_off(&oldest);
        let discarded = std::mem::replace(&mut self.records, retained);
        let uses = discarded.into_values().flat_map(HashMap::into_values);
        for record in uses.flatten() {
            self.record_count -= 1;
            if let RecordState::Answered(Some(answer)) = record.state {
                self.answer_bytes -= answer.bytes();
            }
        }
    }

    /// Records a request unless its key is already known, and decides how to handle the request.
    pub fn begin(
        &mut self,
        key: OnceKey,
        sending: Sending,
        fingerprint: OnceFingerprint,
    ) -> BeginOutcome {
        if key.epoch > self.epoch || key.epoch < Epoch(1) {
            return BeginOutcome::NeverIssued;
        }
        if key.epoch < self.oldest_epoch() {
            return BeginOutcome::Forgotten;
        }
        let records = self.records.entry(key.epoch).or_default();
        let uses = records.get_mut(&key.key).map(Vec::as_mut_slice);
        let uses = uses.unwrap_or_default().iter_mut();
        let same = uses
            .filter(|record| record.is_use_of(&key))
            .max_by_key(|record| {
                let is_same_request = record.fingerprint == fingerprint;
                (is_same_request, record.has_resource_of(&key))
            });
        let Some(record) = same else {
            return self.begin_record(key, sending, fingerprint);
        };
        if record.fingerprint != fingerprint {
            return BeginOutcome::OtherRequest;
        }
        match &record.state {
            RecordState::InFlight => BeginOutcome::InFlight,
            RecordState::Answered(Some(answer)) => BeginOutcome::Answered(answer.clone()),
            RecordState::Answered(None) => BeginOutcome::AnsweredBefore,
            RecordState::Unknown => BeginOutcome::Unknown,
            RecordState::NotRun(refused) if sending <= *refused => BeginOutcome::RefusedBefore,
            RecordState::NotRun(_) => {
                record.state = RecordState::InFlight;
                BeginOutcome::Dispatch(Claim {
                    epoch: key.epoch,
                    key: key.key,
                    record: record.number,
                    sending,
                })
            }
        }
    }

    /// Records the first sending of a request.
    fn begin_record(
        &mut self,
        key: OnceKey,
        sending: Sending,
        fingerprint: OnceFingerprint,
    ) -> BeginOutcome {
        if self.record_count >= self.limits.records_max {
            return BeginOutcome::Full;
        }
        let number = self.next_record;
        self.next_record += 1;
        self.record_count += 1;
        let record = Record {
            number,
            service: key.service,
            resource: key.resource,
            fingerprint,
            state: RecordState::InFlight,
        };
        let records = self.records.entry(key.epoch).or_default();
        let uses = records.entry(key.key).or_default();
        // Most keys are used once.
        uses.reserve_exact(1);
        uses.push(record);
        BeginOutcome::Dispatch(Claim {
            epoch: key.epoch,
            key: key.key,
            record: number,
            sending,
        })
    }

    /// Settles a claim whose request ran and was answered.
    pub fn settle_answered(&mut self, claim: Claim, answer: StoredAnswer) {
        let bytes = answer.bytes();
        let fits = bytes <= self.limits.answer_bytes_max
            && self.answer_bytes + bytes <= self.limits.all_answer_bytes_max;
        let is_recorded = self.settle(claim, RecordState::Answered(fits.then_some(answer)));
        if is_recorded && fits {
            self.answer_bytes += bytes;
        }
    }

    /// Settles a claim whose request is known not to have run. A later sending may start the request again.
    pub fn settle_not_run(&mut self, claim: Claim) {
        let refused = claim.sending;
        self.settle(claim, RecordState::NotRun(refused));
    }

    /// Settles a claim whose request may or may not have run.
    pub fn settle_unknown(&mut self, claim: Claim) {
        self.settle(claim, RecordState::Unknown);
    }

    /// Sets the final state of a claim's record. Returns whether the record still exists.
    fn settle(&mut self, claim: Claim, state: RecordState) -> bool {
        let records = self.records.get_mut(&claim.epoch);
        let uses = records.and_then(|records| records.get_mut(&claim.key));
        let mut uses = uses.into_iter().flatten();
        let Some(record) = uses.find(|record| record.number == claim.record) else {
            // The epoch was discarded while the request was in flight; a repeated request is answered "unknown".
            return false;
        };
        require_promise(
            Promise::AtMostOnce,
            record.state == RecordState::InFlight,
            || format!("a claim on {} was settled twice", claim.key),
        );
        record.state = state;
        true
    }

    fn oldest_epoch(&self) -> Epoch {
        Epoch((self.epoch.0 + 1).saturating_sub(EPOCHS_RETAINED).max(1))
    }
}
