//! Requests that may not be repeated, dispatched at most once.
//!
//! A once-only request has one home: an incarnation of an entry. Only the home may dispatch it, and it
//! remembers every key that it has dispatched, so no lease, clock or store is needed on the path. When
//! the home is gone nobody can tell what became of its requests, and nobody dispatches them again.
//!
//! Memory is bounded by epochs that the home counts by itself. A caller names the epoch that it was
//! given, and keeps naming it when it repeats the request. Requests of an epoch are either all
//! remembered or all answered with "unknown", so that forgetting can never lead to a second run.

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

/// Epochs whose requests are remembered, the current one included.
const EPOCHS_RETAINED: u64 = 3;

/// Number of an epoch of one incarnation, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Where a once-only request may be dispatched: an incarnation and its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Home {
    /// The incarnation that alone may dispatch.
    pub incarnation: Incarnation,
    /// Its epoch when the caller was told.
    pub epoch: Epoch,
}

/// Why a text does not name a home.
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

/// A caller's key, within a service and an epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OnceKey {
    /// The epoch that the caller names.
    pub epoch: Epoch,
    /// The service.
    pub service: ServiceName,
    /// Digest of the caller's key.
    pub key: Digest,
}

/// Number that the caller gives to its sending of a request, counted from 1.
///
/// Messages can be late. A request that was said not to have run must stay so, also when an earlier
/// sending of it arrives after that; only a later sending begins it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sending(pub u32);

impl Sending {
    /// The first sending, which an unnumbered one is taken for.
    pub const FIRST: Self = Self(1);
}

/// Digest of all that makes a request what it is; a repeated one must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnceFingerprint(pub Digest);

/// An answer that is kept for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Its status.
    pub status: u16,
    /// Its header fields.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// How much a ledger may hold.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Records at a time.
    pub records_max: usize,
    /// The largest answer kept, in bytes.
    pub answer_bytes_max: usize,
    /// All answers kept together, in bytes.
    pub all_answer_bytes_max: usize,
}

/// The right and the duty to dispatch a request and say what became of it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a claim that is not settled leaves its request unknown for ever"]
pub struct Claim {
    key: OnceKey,
    sending: Sending,
}

/// What to do with a once-only request.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Dispatch it, and settle the claim.
    Dispatch(Claim),
    /// This sending, or a later one, was said not to have run; it did not and will not.
    RefusedBefore,
    /// It is being worked on.
    InFlight,
    /// It was answered; this is the answer.
    Answered(StoredAnswer),
    /// It was answered, and the answer is no longer held.
    AnsweredBefore,
    /// It broke after it was sent; nobody can tell whether it ran.
    Unknown,
    /// Its epoch is forgotten; nobody can tell whether it ran.
    Forgotten,
    /// Its key was used for another request; this one did not run.
    OtherRequest,
    /// There is no room for another record; it did not run.
    Full,
    /// Its epoch has not begun; it did not run.
    NeverIssued,
}

#[derive(Debug, PartialEq, Eq)]
enum RecordState {
    /// It may be at a target now.
    InFlight,
    /// It is proved not to have run, and sendings up to this one never will.
    NotRun(Sending),
    /// It ran, and this was the answer, if it is held.
    Answered(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
struct Record {
    fingerprint: OnceFingerprint,
    fate: RecordState,
}

/// The once-only requests of one incarnation.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    epoch: Epoch,
    records: BTreeMap<Epoch, HashMap<OnceKey, Record>>,
    record_count: usize,
    answer_bytes: usize,
}

impl Ledger {
    /// An empty ledger in its first epoch.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            epoch: Epoch(1),
            records: BTreeMap::new(),
            record_count: 0,
            answer_bytes: 0,
        }
    }

    /// The current epoch, which callers are told.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// How many records are held.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// Bytes of the answers that are held.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Begins the next epoch and forgets the oldest one.
    pub fn advance_epoch(&mut self) {
        self.epoch.0 += 1;
        let oldest = self.oldest_epoch();
        let kept = self.records.split_off(&oldest);
        let forgotten = std::mem::replace(&mut self.records, kept);
        for record in forgotten.into_values().flat_map(HashMap::into_values) {
            self.record_count -= 1;
            if let RecordState::Answered(Some(answer)) = record.fate {
                self.answer_bytes -= answer.bytes();
            }
        }
    }

    /// Takes a request in and says what to do with it.
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
        let is_full = self.record_count >= self.limits.records_max;
        let records = self.records.entry(key.epoch).or_default();
        let Some(record) = records.get_mut(&key) else {
            if is_full {
                return BeginOutcome::Full;
            }
            let fate = RecordState::InFlight;
            records.insert(key.clone(), Record { fingerprint, fate });
            self.record_count += 1;
            return BeginOutcome::Dispatch(Claim { key, sending });
        };
        if record.fingerprint != fingerprint {
            return BeginOutcome::OtherRequest;
        }
        match &record.fate {
            RecordState::InFlight => BeginOutcome::InFlight,
            RecordState::Answered(Some(answer)) => BeginOutcome::Answered(answer.clone()),
            RecordState::Answered(None) => BeginOutcome::AnsweredBefore,
            RecordState::Unknown => BeginOutcome::Unknown,
            RecordState::NotRun(refused) if sending <= *refused => BeginOutcome::RefusedBefore,
            RecordState::NotRun(_) => {
                record.fate = RecordState::InFlight;
                BeginOutcome::Dispatch(Claim { key, sending })
            }
        }
    }

    /// Settles a claim: the request ran and was answered.
    pub fn settle_answered(&mut self, claim: Claim, answer: StoredAnswer) {
        let bytes = answer.bytes();
        let fits = bytes <= self.limits.answer_bytes_max
            && self.answer_bytes + bytes <= self.limits.all_answer_bytes_max;
        let is_held = self.settle(claim, RecordState::Answered(fits.then_some(answer)));
        if is_held && fits {
            self.answer_bytes += bytes;
        }
    }

    /// Settles a claim: the request is proved not to have run. A later sending may begin it again.
    pub fn settle_not_run(&mut self, claim: Claim) {
        let refused = claim.sending;
        self.settle(claim, RecordState::NotRun(refused));
    }

    /// Settles a claim: nobody can tell whether the request ran.
    pub fn settle_unknown(&mut self, claim: Claim) {
        self.settle(claim, RecordState::Unknown);
    }

    /// Returns whether the record is still held.
    fn settle(&mut self, claim: Claim, fate: RecordState) -> bool {
        let records = self.records.get_mut(&claim.key.epoch);
        let Some(record) = records.and_then(|records| records.get_mut(&claim.key)) else {
            // Its epoch was forgotten while it was in flight; a repeat is answered "unknown".
            return false;
        };
        require_promise(
            Promise::AtMostOnce,
            record.fate == RecordState::InFlight,
            || format!("a claim on {} was settled twice", claim.key.key),
        );
        record.fate = fate;
        true
    }

    fn oldest_epoch(&self) -> Epoch {
        Epoch((self.epoch.0 + 1).saturating_sub(EPOCHS_RETAINED).max(1))
    }
}
