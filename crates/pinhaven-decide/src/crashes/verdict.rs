//! Whether a request is what crashes targets, by the evidence on all.

use super::evidence::Crash;
use super::evidence::Evidence;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;
use std::collections::HashMap;

/// Targets that crash with a request under way until it is known for the cause. One in twenty requests of a service
/// meets a crash while a harmful one comes twice a second, so one in some eight thousand would meet three by
/// chance and never run unharmed between them (computed).
const CRASHES_TO_KNOW: u32 = 3;
/// Crashes from which a request is not sent on to another target by the entry that has it.
const CRASHES_TO_STOP: u32 = 2;
/// How long a request is held back first. Each try that proves harmful costs all that its target has under way, six
/// requests where targets have six slots; one that was at three crashes by chance is refused for as long, and hardly any
/// such request comes again.
const HOLD_FIRST: Microseconds = Microseconds::from_ms(120_000);
/// How many times longer it is held back each time that it proves harmful again.
const HOLD_FACTOR: u64 = 4;
/// The longest, eight hours.
const HOLD_MOST: Microseconds = Microseconds::from_ms(8 * 3_600_000);

/// What is thought of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// As of any other.
    Clear,
    /// It may be harmful: it goes to one target for each try of its caller.
    Watched,
    /// It is held back, or may be tried by one entry once that is over.
    Known {
        /// When it was known for certain, or tried last and proved harmful again.
        since: Microseconds,
        /// Until when nobody tries it.
        until: Microseconds,
    },
}

/// What is thought of a request, given the evidence on all.
pub(super) fn standing(
    print: RequestFingerprint,
    evidence: &Evidence,
    all: &HashMap<RequestFingerprint, Evidence>,
) -> Standing {
    let to_stop = wanted(CRASHES_TO_STOP, evidence);
    if evidence.crashes().len() < to_stop {
        // Most requests that met a crash end here, before the others are looked at.
        return Standing::Clear;
    }
    let crashes = unexplained(print, evidence, all);
    if crashes.len() < to_stop {
        return Standing::Clear;
    }
    let to_know = wanted(CRASHES_TO_KNOW, evidence);
    let Some(known) = crashes.get(to_know - 1) else {
        return Standing::Watched;
    };
    let (since, until) = hold(known.at, &crashes[to_know..]);
    Standing::Known { since, until }
}

/// Crashes that are wanted as evidence. Each time that it ran unharmed speaks against as much as so many crashes
/// speak for it.
fn wanted(crashes: u32, evidence: &Evidence) -> usize {
    crashes.saturating_mul(evidence.unharmed().saturating_add(1)) as usize
}

/// The crashes that no other request explains better: one that was there at more crashes than this one, and that is
/// known for the cause by itself.
fn unexplained(
    print: RequestFingerprint,
    evidence: &Evidence,
    all: &HashMap<RequestFingerprint, Evidence>,
) -> Vec<Crash> {
    let count = evidence.crashes().len();
    let explains = |other: &Evidence| {
        let others = other.crashes().len();
        others > count && others >= wanted(CRASHES_TO_KNOW, other)
    };
    let better: Vec<&Evidence> = all
        .iter()
        .filter(|(other, evidence)| **other != print && explains(evidence))
        .map(|(_, evidence)| evidence)
        .collect();
    let is_unexplained = |crash: &&Crash| !better.iter().any(|other| other.has(crash.run));
    let crashes = evidence.crashes().iter();
    crashes.filter(is_unexplained).copied().collect()
}

/// Since when and until when a request is held back that was known at `known_at` and crashed targets later, too. What
/// crashes while it is held back was under way before.
fn hold(known_at: Microseconds, later: &[Crash]) -> (Microseconds, Microseconds) {
    let mut length = HOLD_FIRST;
    let (mut since, mut until) = (known_at, known_at.plus(length));
    for crash in later {
        if crash.at <= until {
            continue;
        }
        length = Microseconds::new(length.count() * HOLD_FACTOR).min(HOLD_MOST);
        (since, until) = (crash.at, crash.at.plus(length));
    }
    (since, until)
}
