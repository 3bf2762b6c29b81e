//! The list of targets as one entry knows it, and who reads it from the store.
//!
//! Every read costs, so few entries read and the others hear from them. Nobody is a reader for good:
//! each entry has a rank, and reads when what it knows is older than its rank allows. While the first
//! reader works, nobody else ever gets there; when it is frozen, cut off or turned away by the store,
//! the next one takes over after a fraction of a second.
//!
//! A target that is missing from a list is gone, with one exception: entries of targets lapse while
//! the store is away, and are back soon after its return. Until then targets that were there before
//! the outage are kept. A target whose entry is there, but another writer's, has not lapsed: it is gone
//! until its own entry is back.
//!
//! A target may start again under its id. Once a later run is known, nothing that is said of an earlier
//! one counts, whoever says it.

use crate::latest_runs::LatestRuns;
use crate::list_step::Digested;
use crate::list_step::ListStep;
use crate::list_step::ListSteps;
use crate::list_step::RecentSteps;
use crate::listed_target::ListedTarget;
use crate::listed_target::TargetList;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use pinhaven_types::TargetId;
use pinhaven_types::TargetIncarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Age of the list at which the first reader reads it again. New work must end at a leaving target
/// 2 s after the store knows; three readings and the way to all entries fit into that.
const READ_AFTER: Microseconds = Microseconds::from_ms(600);
/// How much older the list must be for each rank that an entry stands behind the first.
const READ_AFTER_PER_RANK: Microseconds = Microseconds::from_ms(200);
/// Ranks past this read at the same age, so that the list never gets too old.
const RANK_MOST: u32 = 4;
/// How long targets that lapsed may take to come back after the store did. They write again within
/// about 2 s.
const RETURN_WITHIN: Microseconds = Microseconds::from_ms(2_300);

/// How long before a failure of this entry another one must have read without any, for the failure to
/// be this entry's own. One that just has not read yet in an outage does within this time.
const STEADY_BEFORE: Microseconds = Microseconds::from_ms(1_500);

/// What is to be done about a list that a peer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerList {
    /// The same is known here.
    Same,
    /// It is older than what is known here.
    Older,
    /// It is newer and different; it has to be fetched.
    Fetch,
}

/// The list as one entry knows it.
#[derive(Debug)]
pub struct KnownTargets {
    /// As the store gave it; only this is told to others.
    list: Arc<TargetList>,
    digest: u64,
    /// What changed lately, for peers.
    recent: RecentSteps,
    /// Targets that are missing from the list and may only have lapsed, until they had time to return.
    kept: BTreeMap<TargetId, ListedTarget>,
    keep_until: Option<Microseconds>,
    latest: LatestRuns,
    /// Targets of which the list names an earlier run, as they were last listed.
    later: BTreeMap<TargetId, ListedTarget>,
    /// When the store last said that the list is right, by this entry's clock.
    confirmed_at: Option<Microseconds>,
    /// The same for what the store said to this entry itself.
    own_confirmed_at: Option<Microseconds>,
    /// Whether the store did not answer this entry's last read.
    has_failed: bool,
    /// When the store last did not answer this entry.
    last_failure_at: Option<Microseconds>,
    /// Since when the store has answered all of this entry's reads.
    steady_since: Option<Microseconds>,
    /// Since when it has answered all reads of some other entry that reads.
    peer_steady_since: Option<Microseconds>,
}

impl Default for KnownTargets {
    fn default() -> Self {
        Self::new()
    }
}

impl KnownTargets {
    /// Nothing is known.
    pub fn new() -> Self {
        let list = TargetList::default();
        Self {
            digest: list.digest(),
            list: Arc::new(list),
            recent: RecentSteps::default(),
            kept: BTreeMap::new(),
            keep_until: None,
            latest: LatestRuns::default(),
            later: BTreeMap::new(),
            confirmed_at: None,
            own_confirmed_at: None,
            has_failed: false,
            last_failure_at: None,
            steady_since: None,
            peer_steady_since: None,
        }
    }

    /// The targets to use: the latest run of those on the list, and those that may only have lapsed.
    pub fn targets(&self) -> TargetList {
        let mut list = (*self.list).clone();
        list.targets
            .retain(|id, target| !self.is_superseded(id, target.incarnation));
        for (id, target) in self.kept.iter().chain(&self.later) {
            list.targets.insert(id.clone(), target.clone());
        }
        for target in list.targets.values_mut() {
            target.is_leaving |= self.latest.has_left(target);
        }
        list
    }

    /// Whether a later run of the target is known. What is said of this one does not count any more, and
    /// what it had under way is lost.
    pub fn is_superseded(&self, id: &TargetId, incarnation: Option<TargetIncarnation>) -> bool {
        self.latest.is_superseded(id, incarnation)
    }

    /// Takes in which run of a target answers where it is listed. A later one than is known is used from
    /// now on, before the store tells of it. Returns whether it is later.
    pub fn record_run(
        &mut self,
        id: &TargetId,
        incarnation: TargetIncarnation,
        now: Microseconds,
    ) -> bool {
        let Some(known) = self.in_use(id) else {
            return false;
        };
        if known.incarnation.is_none() || known.incarnation >= Some(incarnation) {
            return false;
        }
        let run = ListedTarget {
            incarnation: Some(incarnation),
            is_leaving: false,
            warm_up_ms: 0,
            ..known.clone()
        };
        self.latest.record_target(&run, now);
        match self.kept.get_mut(id) {
            Some(kept) => *kept = run,
            None => _ = self.later.insert(id.clone(), run),
        }
        true
    }

    /// The list as the store gave it.
    pub fn list(&self) -> &Arc<TargetList> {
        &self.list
    }

    /// Digest of the list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The steps to the list from another one with this digest; `None` when only the whole list helps.
    pub fn steps_from(&self, digest: u64) -> Option<ListSteps> {
        let steps = match digest == self.digest {
            true => Vec::new(),
            false => self.recent.since(digest)?,
        };
        Some(ListSteps {
            revision: self.list.revision,
            steps,
        })
    }

    /// Whether any list is known.
    pub fn is_known(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Time since the store last said that the list is right; `None` when it never did.
    pub fn age(&self, now: Microseconds) -> Option<Microseconds> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Time since the store said so to this entry itself; `None` when it never did. Only this may be
    /// passed on: what is heard from others seems a little younger with each step, and would in the
    /// end keep itself fresh among entries of which none reads.
    pub fn own_age(&self, now: Microseconds) -> Option<Microseconds> {
        self.own_confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether an entry with this rank among the readers, 0 for the first, should read now.
    pub fn is_due(&self, rank: u32, now: Microseconds) -> bool {
        self.due_in(rank, now) == Microseconds::ZERO
    }

    /// Time until such an entry should read, if it hears nothing until then.
    pub fn due_in(&self, rank: u32, now: Microseconds) -> Microseconds {
        let ranks = u64::from(rank.min(RANK_MOST));
        let after = READ_AFTER.count() + READ_AFTER_PER_RANK.count() * ranks;
        let due_in = |age| Microseconds::new(after).saturating_sub(age);
        self.age(now).map_or(Microseconds::ZERO, due_in)
    }

    /// Takes in that the store could not be read.
    pub fn record_failure(&mut self, now: Microseconds) {
        self.has_failed = true;
        self.keep_until = None;
        self.last_failure_at = Some(now);
        self.steady_since = None;
        self.peer_steady_since = None;
    }

    /// How long the store has answered all of this entry's reads; `None` when it did not answer the
    /// last or was never read.
    pub fn steady_for(&self, now: Microseconds) -> Option<Microseconds> {
        self.steady_since.map(|since| now.saturating_sub(since))
    }

    /// Takes in that the store has answered all reads of another entry since a time. If that is longer
    /// than since it last failed this entry, it was never away, and nothing can have lapsed.
    pub fn record_peer_steady(&mut self, since: Microseconds) {
        self.peer_steady_since = self
            .peer_steady_since
            .map_or(Some(since), |known| Some(known.min(since)));
        // A further failure of this entry's own puts the end off, but tells nothing of the store.
        if self.was_cut_off() && !self.kept.is_empty() {
            self.keep_until = Some(Microseconds::ZERO);
        }
    }

    /// Whether the last outage was this entry's own.
    fn was_cut_off(&self) -> bool {
        let (Some(failed_at), Some(since)) = (self.last_failure_at, self.peer_steady_since) else {
            return false;
        };
        since.plus(STEADY_BEFORE) < failed_at
    }

    /// Takes in a list that the store gave to a read that began at `began`. Returns whether anything
    /// that matters has changed.
    pub fn record_read(&mut self, read: TargetList, began: Microseconds) -> bool {
        if self.is_known() && read.revision < self.list.revision {
            return false;
        }
        self.own_confirmed_at = Some(began);
        self.steady_since = self.steady_since.or(Some(began));
        self.put(read, began, began)
    }

    /// Forgets targets that had time to return and did not. Returns whether there were any.
    pub fn expire_retained(&mut self, now: Microseconds) -> bool {
        if !self.has_expired(now) {
            return false;
        }
        self.keep_until = None;
        !std::mem::take(&mut self.kept).is_empty()
    }

    /// Whether targets that are kept had time to return.
    pub fn has_expired(&self, now: Microseconds) -> bool {
        self.keep_until.is_some_and(|until| now >= until)
    }

    /// What is to be done about a list of a peer, to whom the store confirmed it at `confirmed_at`;
    /// [`Microseconds::ZERO`] if the peer has it from others.
    pub fn record_peer_revision(
        &mut self,
        revision: u64,
        digest: u64,
        confirmed_at: Microseconds,
    ) -> PeerList {
        if digest != self.digest || !self.is_known() {
            return if self.is_newer(revision, confirmed_at) {
                PeerList::Fetch
            } else {
                PeerList::Older
            };
        }
        if revision < self.list.revision {
            return PeerList::Older;
        }
        if self.confirmed_at.is_none_or(|at| confirmed_at > at) {
            self.confirmed_at = Some(confirmed_at);
        }
        if revision > self.list.revision {
            Arc::make_mut(&mut self.list).revision = revision;
        }
        PeerList::Same
    }

    /// Takes in a list that a peer gave at `now`. Returns whether anything that matters has changed.
    pub fn record_peer_list(
        &mut self,
        list: TargetList,
        confirmed_at: Microseconds,
        now: Microseconds,
    ) -> bool {
        self.is_newer(list.revision, confirmed_at) && self.put(list, confirmed_at, now)
    }

    /// Whether a list is newer than the one that is known. The store's revision says so; but targets
    /// that lapse leave the list without a new revision, so of two with the same revision the one
    /// that was confirmed later is newer.
    fn is_newer(&self, revision: u64, confirmed_at: Microseconds) -> bool {
        let known = (self.list.revision, self.confirmed_at);
        (revision, Some(confirmed_at)) > known
    }

    fn put(&mut self, mut list: TargetList, confirmed_at: Microseconds, now: Microseconds) -> bool {
        let is_first = !self.is_known();
        for (id, target) in &mut list.targets {
            let known = self.list.targets.get(id);
            if let Some(known) = known.filter(|known| known.incarnation == target.incarnation) {
                // What is left of its slow start shrinks all the time; only its beginning counts.
                target.warm_up_ms = known.warm_up_ms;
            }
        }
        let before = self.kept.len();
        self.latest.record(list.targets.values(), now);
        let later = self.later_than(&list);
        self.keep_lapsed(&list, now);
        self.later = later;
        let digest = list.digest();
        let has_changed = digest != self.digest || self.kept.len() != before;
        let held = Digested {
            list: &self.list,
            digest: self.digest,
        };
        let new = Digested {
            list: &list,
            digest,
        };
        self.recent.push(ListStep::between(held, new));
        self.list = Arc::new(list);
        self.digest = digest;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        has_changed || is_first
    }

    /// Targets whose latest run is in use, but of which `list` names an earlier one.
    fn later_than(&self, list: &TargetList) -> BTreeMap<TargetId, ListedTarget> {
        let named = list.targets.values();
        named
            .filter(|target| self.is_superseded(&target.id, target.incarnation))
            .filter_map(|target| self.in_use(&target.id))
            .map(|target| (target.id.clone(), target.clone()))
            .collect()
    }

    /// A target as it is used, unless a later run is known.
    fn in_use(&self, id: &TargetId) -> Option<&ListedTarget> {
        let kept = self.kept.get(id).or_else(|| self.later.get(id));
        let known = kept.or_else(|| self.list.targets.get(id));
        known.filter(|target| !self.is_superseded(id, target.incarnation))
    }

    /// Keeps targets that are missing from the first lists after the store could not be read, for as
    /// long as they may take to return. What this entry keeps is its own affair: another one may have
    /// read the store all the time, and must not get back what is really gone.
    fn keep_lapsed(&mut self, list: &TargetList, now: Microseconds) {
        if std::mem::take(&mut self.has_failed) && !self.was_cut_off() {
            self.keep_until = Some(now.plus(RETURN_WITHIN));
        }
        let addresses: BTreeSet<TargetAddress> =
            list.targets.values().map(|target| target.address).collect();
        let may_return = |target: &ListedTarget| {
            let is_listed = list.targets.contains_key(&target.id);
            // An entry that another writer spoiled is there and did not lapse.
            let is_foreign = list.foreign_ids.contains(&target.id);
            !is_listed && !is_foreign && !target.is_leaving && !addresses.contains(&target.address)
        };
        self.kept.retain(|_, target| may_return(target));
        if self.keep_until.is_none_or(|until| now >= until) {
            return;
        }
        let listed = self.list.targets.values();
        let missing = listed
            .map(|target| self.later.get(&target.id).unwrap_or(target))
            .filter(|target| may_return(target))
            .filter(|target| !self.is_superseded(&target.id, target.incarnation));
        for target in missing.cloned().collect::<Vec<_>>() {
            self.kept.insert(target.id.clone(), target);
        }
    }
}
