//! All requests that were under way when targets crashed.

use super::evidence::Crash;
use super::evidence::CrashedRun;
use super::evidence::Evidence;
use super::evidence::SuspectFacts;
use super::verdict::Standing;
use super::verdict::standing;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Requests that are remembered, each with some 130 bytes. Whoever sends many distinct ones that crash targets
/// makes an entry forget those that were there at the fewest crashes.
const SUSPECTS_MOST: usize = 1_024;
/// Crashes that are kept of a request. What was under way at many targets when it was held back is not needed as
/// evidence; each later try that proves harmful is.
const CRASHES_KEPT: usize = 32;
/// Time between two looks for requests to forget.
const FORGET_EVERY: Microseconds = Microseconds::from_ms(1_000);
/// How long a request is remembered after the last crash, or after it may be tried again. A request that comes
/// less often crashes three targets each time.
const REMEMBERED_FOR: Microseconds = Microseconds::from_ms(600_000);
/// How long what was learned is told again, so that a lost datagram is made good for; six whole rounds fit in.
const TOLD_AGAIN_FOR: Microseconds = Microseconds::from_ms(3_000);
/// How long it is one entry's turn to try a request that was held back. A caller's next try comes by then, and the word
/// of a crash has reached the entry whose turn is next. A request that is not sent on may come back as late.
const TURN: Microseconds = Microseconds::from_ms(2_000);

/// Which entry's turn it is: all count the live entries in the same order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialTurn {
    /// This entry's place in that order, from 0.
    pub place: u64,
    /// Live entries, this one included.
    pub entries: u64,
}

/// Whether a request may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// It may.
    Sent,
    /// It is held back.
    HeldBack {
        /// When it may be tried again.
        for_us: Microseconds,
    },
}

/// Which entries should hear of a crash at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// None; it is no news.
    Nobody,
    /// Those that serve callers.
    Serving,
    /// All.
    All,
}

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldRequest {
    /// The request.
    pub print: RequestFingerprint,
    /// Targets that crashed with it under way.
    pub crashes: usize,
    /// Times that it was answered well meanwhile, at the least.
    pub unharmed: u32,
    /// Since when.
    pub since: Microseconds,
    /// From when on it may be tried again.
    pub until: Microseconds,
}

/// The requests that were under way when targets crashed, as one entry knows them.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    suspects: HashMap<RequestFingerprint, Evidence>,
    /// When this entry last tried a request that had been held back.
    tried_at: HashMap<RequestFingerprint, Microseconds>,
    /// When it was last looked for requests to forget.
    forgot_at: Microseconds,
}

impl CrashSuspects {
    /// Nobody is suspected.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many requests something is known of.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether any request was there at more than one crash. Until then all may be sent.
    pub fn has_repeated(&self) -> bool {
        let is_repeated = |evidence: &Evidence| evidence.crashes().len() > 1;
        self.suspects.values().any(is_repeated)
    }

    /// The requests that are held back or wait to be tried again.
    pub fn held_back(&self) -> Vec<HeldRequest> {
        let held = |(print, evidence): (&RequestFingerprint, &Evidence)| {
            let Standing::Known { since, until } = self.standing(*print) else {
                return None;
            };
            Some(HeldRequest {
                print: *print,
                crashes: evidence.crashes().len(),
                unharmed: evidence.unharmed(),
                since,
                until,
            })
        };
        let mut held: Vec<HeldRequest> = self.suspects.iter().filter_map(held).collect();
        held.sort();
        held
    }

    fn is_held_back(&self, print: RequestFingerprint) -> bool {
        matches!(self.standing(print), Standing::Known { .. })
    }

    /// Takes in that a target crashed with a request under way that has these prints. Returns who should hear of it.
    pub fn record_crash(
        &mut self,
        prints: &[RequestFingerprint],
        run: CrashedRun,
        now: Microseconds,
    ) -> Audience {
        let crash = Crash { run, at: now };
        let mut audience = Audience::Nobody;
        for print in prints {
            if self.add_crash(*print, crash, now) {
                audience = audience.max(self.audience_of(*print));
            }
        }
        self.forget(now);
        audience
    }

    /// Who should hear at once what was learned of a request. Nearly all that meet a crash are innocent and meet one
    /// only: a tenth of the targets of a large deployment may crash in one moment.
    fn audience_of(&self, print: RequestFingerprint) -> Audience {
        match self.suspects.get(&print) {
            Some(evidence) if evidence.crashes().len() > 1 => Audience::All,
            _ => Audience::Serving,
        }
    }

    fn add_crash(&mut self, print: RequestFingerprint, crash: Crash, now: Microseconds) -> bool {
        let has_many = |evidence: &Evidence| evidence.crashes().len() >= CRASHES_KEPT;
        if self.suspects.get(&print).is_some_and(has_many)
            && let Standing::Known { until, .. } = self.standing(print)
            && crash.at <= until
        {
            return false;
        }
        let evidence = self.suspects.entry(print).or_default();
        evidence.add_crash(crash, now)
    }

    /// Takes in that a request with these prints was answered well. Returns whether one was held back until then.
    pub fn record_success(&mut self, prints: &[RequestFingerprint], now: Microseconds) -> bool {
        let was_held = prints.iter().any(|print| self.is_held_back(*print));
        for print in prints {
            if let Some(evidence) = self.suspects.get_mut(print) {
                evidence.add_unharmed(now);
            }
        }
        was_held
    }

    /// How long a request with these prints is held back at `now`; `None` if it may be sent to a target, or sent on to
    /// another one after an attempt that its caller knows nothing of. No request is tried again where the turn is not
    /// known.
    pub fn held_back_for(
        &self,
        prints: &[RequestFingerprint],
        is_sent_on: bool,
        turn: Option<TrialTurn>,
        now: Microseconds,
    ) -> Option<Microseconds> {
        let held_for = |print: &RequestFingerprint| match self.standing(*print) {
            Standing::Clear => None,
            Standing::Watched => is_sent_on.then_some(TURN),
            Standing::Known { until, .. } if now < until => Some(until.saturating_sub(now)),
            Standing::Known { .. } if is_sent_on => Some(TURN),
            Standing::Known { until, .. } => self.wait_for_turn(*print, until, turn, now),
        };
        prints.iter().find_map(held_for)
    }

    /// Lets a request be sent at `now` if it is not held back. If it was until now, that is this turn's try.
    pub fn decide_send(
        &mut self,
        prints: &[RequestFingerprint],
        is_sent_on: bool,
        turn: Option<TrialTurn>,
        now: Microseconds,
    ) -> SendDecision {
        if let Some(for_us) = self.held_back_for(prints, is_sent_on, turn, now) {
            return SendDecision::HeldBack { for_us };
        }
        for print in prints {
            if self.is_held_back(*print) {
                self.tried_at.insert(*print, now);
            }
        }
        SendDecision::Sent
    }

    /// How long a request that may be tried again has to wait here; `None` when it is this entry's turn. One try a
    /// turn.
    fn wait_for_turn(
        &self,
        print: RequestFingerprint,
        until: Microseconds,
        turn: Option<TrialTurn>,
        now: Microseconds,
    ) -> Option<Microseconds> {
        let turns = now.saturating_sub(until).count() / TURN.count();
        let began = until.plus(Microseconds::new(turns * TURN.count()));
        let is_own = turn.is_some_and(|turn| turns % turn.entries.max(1) == turn.place);
        let has_tried = self.tried_at.get(&print).is_some_and(|at| *at >= began);
        let may_try = is_own && !has_tried;
        (!may_try).then_some(TURN)
    }

    fn standing(&self, print: RequestFingerprint) -> Standing {
        match self.suspects.get(&print) {
            Some(evidence) => standing(print, evidence, &self.suspects),
            None => Standing::Clear,
        }
    }

    /// What there is to tell others of at most `most` requests that were there at `crashes_least` or more: which are held
    /// back, drawn by lot, and what was learned a short while ago, the newest first. Either has half of the places where
    /// there are too many.
    pub fn advertised_facts(
        &self,
        most: usize,
        crashes_least: usize,
        now: Microseconds,
        random: &mut fastrand::Rng,
    ) -> Vec<SuspectFacts> {
        let is_worth = |print: &RequestFingerprint, evidence: &Evidence| {
            let is_recent = now.saturating_sub(evidence.changed_at) < TOLD_AGAIN_FOR;
            let has_enough = evidence.crashes().len() >= crashes_least;
            has_enough && (is_recent || self.is_held_back(*print))
        };
        let worth = self.suspects.iter();
        let worth = worth.filter(|(print, evidence)| is_worth(print, evidence));
        let (mut held, mut recent): (Vec<_>, Vec<_>) =
            worth.partition(|(print, _)| self.is_held_back(**print));
        random.shuffle(&mut held);
        recent.sort_by_key(|(print, evidence)| (Reverse(evidence.changed_at), **print));
        let for_recent = recent.len().min(most / 2);
        held.truncate(most - for_recent);
        recent.truncate(most - held.len());
        let facts = held.into_iter().chain(recent);
        let facts = facts.map(|(print, evidence)| SuspectFacts {
            print: *print,
            crashes: ages(evidence, now),
            unharmed: evidence.unharmed(),
        });
        facts.collect()
    }

    /// Takes in what another entry tells. What would be forgotten at once is not taken, else entries would tell it each
    /// other for ever.
    pub fn merge_peer_facts(&mut self, facts: &[SuspectFacts], now: Microseconds) {
        for said in facts {
            for (run, age) in &said.crashes {
                let at = now.saturating_sub(*age);
                self.add_crash(said.print, Crash { run: *run, at }, now);
            }
            if let Some(evidence) = self.suspects.get_mut(&said.print) {
                evidence.raise_unharmed(said.unharmed, now);
            }
            if !self.is_remembered(said.print, now) {
                self.suspects.remove(&said.print);
            }
        }
        self.forget(now);
    }

    /// Forgets requests that crashed nothing for long, and the least suspect ones where there are too many.
    pub fn forget(&mut self, now: Microseconds) {
        if now.saturating_sub(self.forgot_at) >= FORGET_EVERY {
            self.forgot_at = now;
            let prints = self.suspects.keys().copied();
            let gone: Vec<RequestFingerprint> = prints
                .filter(|print| !self.is_remembered(*print, now))
                .collect();
            for print in gone {
                self.suspects.remove(&print);
            }
        }
        if self.suspects.len() > SUSPECTS_MOST {
            self.forget_least_suspect();
        }
        let suspects = &self.suspects;
        self.tried_at
            .retain(|print, _| suspects.contains_key(print));
    }

    fn is_remembered(&self, print: RequestFingerprint, now: Microseconds) -> bool {
        let Some(evidence) = self.suspects.get(&print) else {
            return false;
        };
        let from = match self.standing(print) {
            Standing::Known { until, .. } => until,
            Standing::Clear | Standing::Watched => evidence.last_at(),
        };
        now < from.plus(REMEMBERED_FOR)
    }

    /// Makes room for some at once, so that it is not looked for at each crash.
    fn forget_least_suspect(&mut self) {
        let mut order: Vec<(Reverse<usize>, Reverse<Microseconds>, RequestFingerprint)> = self
            .suspects
            .iter()
            .map(|(print, evidence)| {
                let count = evidence.crashes().len();
                (Reverse(count), Reverse(evidence.last_at()), *print)
            })
            .collect();
        order.sort();
        for (_, _, print) in &order[SUSPECTS_MOST * 7 / 8..] {
            self.suspects.remove(print);
        }
    }
}

fn ages(evidence: &Evidence, now: Microseconds) -> Vec<(CrashedRun, Microseconds)> {
    let crashes = evidence.crashes().iter();
    let ages = crashes.map(|crash| (crash.run, now.saturating_sub(crash.at)));
    ages.collect()
}
