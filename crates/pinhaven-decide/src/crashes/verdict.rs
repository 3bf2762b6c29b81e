//! Decides from the evidence on all requests whether a request crashes targets.

use super::evidence::Crash;
use super::evidence::Evidence;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;
use std::collections::HashMap;

/// Number of crashed targets from which a request counts as harmful. If one in twenty requests of a service is in
/// flight at a crash, as when a harmful request arrives twice a second, about one request in eight thousand is in
/// flight at three crashes by chance without succeeding between them.
const CRASHES_FOR_HARMFUL: u32 = 3;
/// Number of crashed targets from which an entry doesn't send a request on to another target.
const CRASHES_FOR_SUSPECTED: u32 = 2;
/// Duration of the first hold. Each trial of a harmful request costs all requests in flight at its target, six for a
/// target of six slots. An innocent request that met three crashes by chance is refused for the same time, but hardly
/// any such request is repeated.
const HOLD_INITIAL: Microseconds = Microseconds::from_ms(120_000);
/// Factor by which each further crash in a trial extends the hold.
const HOLD_FACTOR: u64 = 4;
/// Maximum duration of a hold: eight hours.
const HOLD_MAX: Microseconds = Microseconds::from_ms(8 * 3_600_000);

/// Verdict on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The request is not suspected.
    Clear,
    /// The request may be harmful. It is sent to one target per attempt of its caller.
    Suspected,
    /// The request is harmful. It is held back, or one entry may try it once the hold has expired.
    Harmful {
        /// When the last required crash or the last crash in a trial was recorded.
        since: Microseconds,
        /// End of the hold.
        until: Microseconds,
    },
}

/// Returns the verdict on a request, given the evidence on all requests.
pub(super) fn verdict(
    fingerprint: RequestFingerprint,
    evidence: &Evidence,
    all: &HashMap<RequestFingerprint, Evidence>,
) -> Verdict {
    let suspected_min = required_crashes(CRASHES_FOR_SUSPECTED, evidence);
    if evidence.crashes().len() < suspected_min {
        // Returns early for most requests that met a crash, without examining the other requests.
        return Verdict::Clear;
    }
    let crashes = unexplained(fingerprint, evidence, all);
    if crashes.len() < suspected_min {
        return Verdict::Clear;
    }
    let harmful_min = required_crashes(CRASHES_FOR_HARMFUL, evidence);
    let Some(last_required) = crashes.get(harmful_min - 1) else {
        return Verdict::Suspected;
    };
    let (since, until) = hold(last_required.at, &crashes[harmful_min..]);
    Verdict::Harmful { since, until }
}

/// Number of crashes required as evidence. Each success raises the requirement by `crashes`, because it weighs as much
/// against the suspicion as that many crashes weigh for it.
fn required_crashes(crashes: u32, evidence: &Evidence) -> usize {
    crashes.saturating_mul(evidence.successes().saturating_add(1)) as usize
}

/// Returns the crashes that no other request explains better. Another request explains a crash better if it was in
/// flight at that crash, was in flight at more crashes than this request and is harmful on its own evidence.
fn unexplained(
    fingerprint: RequestFingerprint,
    evidence: &Evidence,
    all: &HashMap<RequestFingerprint, Evidence>,
) -> Vec<Crash> {
    let count = evidence.crashes().len();
    let explains = |other: &Evidence| {
        let others = other.crashes().len();
        others > count && others >= required_crashes(CRASHES_FOR_HARMFUL, other)
    };
    let better_explanations: Vec<&Evidence> = all
        .iter()
        .filter(|(other, evidence)| **other != fingerprint && explains(evidence))
        .map(|(_, evidence)| evidence)
        .collect();
    let is_unexplained =
        |crash: &&Crash| !better_explanations.iter().any(|other| other.has(crash.run));
    let crashes = evidence.crashes().iter();
    crashes.filter(is_unexplained).copied().collect()
}

/// Returns when the hold of a request began and when it ends, given that the request became harmful at `harmful_at`
/// and crashed targets `later`. A crash during the hold doesn't extend it, because that request was sent before.
fn hold(harmful_at: Microseconds, later: &[Crash]) -> (Microseconds, Microseconds) {
    let mut length = HOLD_INITIAL;
    let (mut since, mut until) = (harmful_at, harmful_at.plus(length));
    for crash in later {
        if crash.at <= until {
            continue;
        }
        length = Microseconds::new(length.count() * HOLD_FACTOR).min(HOLD_MAX);
        (since, until) = (crash.at, crash.at.plus(length));
    }
    (since, until)
}
