//! The list of targets as one entry knows it, and the schedule by which entries read it from the store.
//!
//! Every read costs the store, so few entries read and the others receive the list from them. No entry
//! is a reader permanently: each serving entry has a rank and reads when its list is older than its rank
//! allows. While the first-ranked reader works, no other entry reaches that age. When the first reader
//! is frozen, cut off or rejected by the store, the next rank takes over after a fraction of a second.
//!
//! A target that is missing from a list is removed, with one exception: store entries of targets lapse (expire, because
//! the targets can't renew them) while the store is unavailable, and targets register again soon after the store
//! recovers. Until then, targets that were listed before the outage are retained. The outage ends with the first
//! confirmation of a list after this entry's last failed read, whichever entry the store gave it to: after an outage one
//! entry reads the list first, and the others need not read it any more. A target whose store entry was replaced by
//! another writer has not lapsed: the target is removed until its own store entry is back.
//!
//! A target may restart under the same id. Once a later run is known, all statements about an earlier
//! run are ignored, whatever their source.

use crate::latest_runs::LatestRuns;
use crate::list_step::DigestedList;
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

/// Age of the list at which the first-ranked reader reads the list again. A leaving target must get no
/// new work later than 2 s after the store records that it leaves; three reads and the distribution to
/// all entries fit into that time.
const READ_AFTER: Microseconds = Microseconds::from_ms(600);
/// Additional age of the list per rank below the first.
const READ_AFTER_PER_RANK: Microseconds = Microseconds::from_ms(200);
/// Highest rank that adds to the read age. Entries of higher ranks read at the same age, which bounds
/// the age of the list.
const RANK_MAX: u32 = 4;
/// Time within which lapsed targets register again after the store recovers. Targets write their
/// entries again within about 2 s.
const REREGISTER_WITHIN: Microseconds = Microseconds::from_ms(2_300);

/// Minimum time for which a peer must have read successfully before this entry's failure for the failure to count as
/// local to this entry. At the beginning of an outage of the store, a peer that has not read since may still count as
/// successful; each peer that reads does so within this time.
const STEADY_MARGIN: Microseconds = Microseconds::from_ms(1_500);

/// Maximum time between two reads of an entry over which it may say that the store was available. A reader of any rank
/// reads more often while no other entry does, and targets lapse only after longer outages.
const STEADY_GAP_MAX: Microseconds = Microseconds::from_ms(2_000);

/// Time for which a report of a serving peer holds. A serving peer sends one every 500 ms.
const REPORT_HOLDS_FOR: Microseconds = Microseconds::from_ms(700);

/// What serving peers say of the store's confirmations of the list.
#[derive(Debug, Clone, Copy)]
struct ConfirmationReport {
    /// Local time of the last report.
    received_at: Microseconds,
    /// Local time of the latest confirmation to any entry.
    confirmed_at: Microseconds,
}

/// Whether targets that are missing from a list may only have lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lapses {
    /// No target has lapsed: the store has answered for longer than targets take to register again.
    Impossible,
    /// The store has confirmed no list to any entry since this entry's read failed at this time.
    Outage { failed_at: Microseconds },
    /// The store has recovered, and targets may register again until this time.
    Recovered { until: Microseconds },
}

/// Result of comparing a peer's list with the known list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerList {
    /// The lists are the same.
    Same,
    /// The peer's list is older.
    Older,
    /// The peer's list is newer and different; it has to be fetched.
    Fetch,
}

/// List of targets as one entry knows it.
#[derive(Debug)]
pub struct KnownTargets {
    /// The list as the store returned it; only this list is sent to peers.
    list: Arc<TargetList>,
    digest: u64,
    /// Latest changes of the list, for peers.
    recent: RecentSteps,
    /// Targets that are missing from the list and may only have lapsed, as `lapses` says.
    retained: BTreeMap<TargetId, ListedTarget>,
    lapses: Lapses,
    latest: LatestRuns,
    /// Later runs of targets of which the list names an earlier run.
    newer_runs: BTreeMap<TargetId, ListedTarget>,
    /// Targets of which the list names an earlier run than the latest known one.
    superseded: Vec<TargetId>,
    /// Local time at which the store last confirmed the list, to any entry.
    confirmed_at: Option<Microseconds>,
    /// Local time at which the store last confirmed the list to this entry.
    own_confirmed_at: Option<Microseconds>,
    /// Local time of this entry's last answered read that replaced a known list.
    reread_at: Option<Microseconds>,
    /// Local time at which this entry received the list, or at which the store last confirmed the list to any entry as
    /// far as serving peers know.
    heard_at: Option<Microseconds>,
    /// What serving peers last said of the store's confirmations, whichever list they have.
    report: Option<ConfirmationReport>,
    /// Time of this entry's last failed read.
    last_failure_at: Option<Microseconds>,
    /// Time since which this entry has read without long gaps and the store has answered all its reads.
    steady_since: Option<Microseconds>,
    /// Earliest time since which the store has answered all reads of some other reader.
    peer_steady_since: Option<Microseconds>,
}

impl Default for KnownTargets {
    fn default() -> Self {
        Self::new()
    }
}

impl KnownTargets {
    /// An empty list that was never confirmed.
    pub fn new() -> Self {
        let list = TargetList::default();
        Self {
            digest: list.digest(),
            list: Arc::new(list),
            recent: RecentSteps::default(),
            retained: BTreeMap::new(),
            lapses: Lapses::Impossible,
            latest: LatestRuns::default(),
            newer_runs: BTreeMap::new(),
            superseded: Vec::new(),
            confirmed_at: None,
            own_confirmed_at: None,
            reread_at: None,
            heard_at: None,
            report: None,
            last_failure_at: None,
            steady_since: None,
            peer_steady_since: None,
        }
    }

    /// The targets to use: the latest run of each listed target, and targets that may only have lapsed.
    pub fn targets(&self) -> Arc<TargetList> {
        if self.is_list_in_use() {
            return Arc::clone(&self.list);
        }
        let mut list = (*self.list).clone();
        list.targets
            .retain(|id, target| !self.is_superseded(id, target.incarnation));
        for (id, target) in self.retained.iter().chain(&self.newer_runs) {
            list.targets.insert(id.clone(), target.clone());
        }
        for target in list.targets.values_mut() {
            target.is_leaving |= self.latest.has_left(target);
        }
        Arc::new(list)
    }

    /// Whether the targets to use are those of the list, unchanged. With a thousand targets, copies of the list would be
    /// most of the cost of a new list.
    fn is_list_in_use(&self) -> bool {
        let mut listed = self.list.targets.values();
        let is_unchanged = |target: &ListedTarget| {
            !self.is_superseded(&target.id, target.incarnation)
                && (target.is_leaving || !self.latest.has_left(target))
        };
        self.retained.is_empty() && self.newer_runs.is_empty() && listed.all(is_unchanged)
    }

    /// Number of targets that the list lacks and that are in use because they may only have lapsed.
    pub fn retained_count(&self) -> usize {
        self.retained.len()
    }

    /// Time since this entry's last failed read; `None` if no read has failed.
    pub fn failure_age(&self, now: Microseconds) -> Option<Microseconds> {
        self.last_failure_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a later run of the target is known. Statements about a superseded run are ignored, and
    /// the requests that it had in flight are lost.
    pub fn is_superseded(&self, id: &TargetId, incarnation: Option<TargetIncarnation>) -> bool {
        self.latest.is_superseded(id, incarnation)
    }

    /// Records the run of a target that answered at the listed address. A run later than the known one
    /// is used from now on, before the store lists it. Returns whether the run is later.
    pub fn record_run(
        &mut self,
        id: &TargetId,
        incarnation: TargetIncarnation,
        now: Microseconds,
    ) -> bool {
        let Some(known) = self.current_target(id) else {
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
        match self.retained.get_mut(id) {
            Some(retained) => *retained = run,
            None => _ = self.newer_runs.insert(id.clone(), run),
        }
        self.superseded = self.superseded_ids(&self.list);
        true
    }

    /// The list as the store returned it.
    pub fn list(&self) -> &Arc<TargetList> {
        &self.list
    }

    /// Digest of the list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The steps from the list with `digest` to the current list; `None` when a peer with that list needs
    /// the whole current list.
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

    /// Local time at which the store last confirmed the list to any entry; `None` when it never did.
    pub fn confirmed_at(&self) -> Option<Microseconds> {
        self.confirmed_at
    }

    /// Time since the store last confirmed the list to any entry; `None` when it never did.
    pub fn age(&self, now: Microseconds) -> Option<Microseconds> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Time since the store last confirmed the list to this entry; `None` when it never did.
    ///
    /// Only this age may be sent to peers. An age received from a peer becomes slightly too small at
    /// each hop, so relayed ages would keep the list fresh indefinitely among entries of which none
    /// reads.
    pub fn own_age(&self, now: Microseconds) -> Option<Microseconds> {
        self.own_confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Time since the store last answered a read by which this entry kept a known list up to date; `None` if it never did.
    /// The first read of an entry that starts does not count: it is made for the entry itself.
    pub fn reread_age(&self, now: Microseconds) -> Option<Microseconds> {
        self.reread_at.map(|at| now.saturating_sub(at))
    }

    /// Whether an entry with this rank among the readers, 0 for the first, should read now.
    pub fn is_due(&self, rank: u32, now: Microseconds) -> bool {
        self.due_in(rank, now) == Microseconds::ZERO
    }

    /// Time until an entry with this rank should read, unless a peer confirms the list before.
    pub fn due_in(&self, rank: u32, now: Microseconds) -> Microseconds {
        let ranks = u64::from(rank.min(RANK_MAX));
        let after = READ_AFTER.count() + READ_AFTER_PER_RANK.count() * ranks;
        let due_in = |age| Microseconds::new(after).saturating_sub(age);
        self.age(now).map_or(Microseconds::ZERO, due_in)
    }

    /// Time until an entry that stands by should read, which waits until the list is `read_at` old, unless a peer
    /// confirms the list before. Zero if no list is known.
    ///
    /// A list from a peer that did not read it itself counts as confirmed when it arrived: its true age is not known.
    pub fn standby_due_in(&self, read_at: Microseconds, now: Microseconds) -> Microseconds {
        let latest = self.confirmed_at.max(self.heard_at);
        let age = latest.map(|at| now.saturating_sub(at));
        age.map_or(Microseconds::ZERO, |age| read_at.saturating_sub(age))
    }

    /// Whether serving peers say that the store has confirmed no list for `age`. An entry that stands by hears of
    /// confirmations late or not at all when datagrams are, and its list may then seem old though others read it.
    pub fn is_reported_old(&self, age: Microseconds, now: Microseconds) -> bool {
        self.report.is_some_and(|report| {
            now < report.received_at.plus(REPORT_HOLDS_FOR) && report.confirmed_at.plus(age) <= now
        })
    }

    /// Records that a read from the store failed.
    pub fn record_failure(&mut self, now: Microseconds) {
        self.lapses = Lapses::Outage { failed_at: now };
        self.last_failure_at = Some(now);
        self.steady_since = None;
        self.peer_steady_since = None;
    }

    /// How long this entry has been steady, that is, has read without long gaps and the store has answered all its reads;
    /// `None` when the last read failed or this entry has not read.
    pub fn steady_for(&self, now: Microseconds) -> Option<Microseconds> {
        self.steady_since.map(|since| now.saturating_sub(since))
    }

    /// Records that the store has answered all reads of a peer since `since`. If that time is well before
    /// this entry's last failed read, the store was never unavailable and no target can have lapsed.
    pub fn record_peer_steady(&mut self, since: Microseconds) {
        self.peer_steady_since = self
            .peer_steady_since
            .map_or(Some(since), |known| Some(known.min(since)));
        // A further local failure says nothing about the store, so the retained targets expire at once.
        if self.was_cut_off() && !self.retained.is_empty() {
            self.lapses = Lapses::Recovered {
                until: Microseconds::ZERO,
            };
        }
    }

    /// Records that the store confirmed a list to some entry at `at`, which ends an outage that began earlier.
    fn record_store_answer(&mut self, at: Microseconds) {
        let Lapses::Outage { failed_at } = self.lapses else {
            return;
        };
        if at < failed_at {
            return;
        }
        let until = match self.was_cut_off() {
            true => Microseconds::ZERO,
            false => at.plus(REREGISTER_WITHIN),
        };
        self.lapses = Lapses::Recovered { until };
    }

    /// Whether the last outage affected only this entry.
    fn was_cut_off(&self) -> bool {
        let (Some(failed_at), Some(since)) = (self.last_failure_at, self.peer_steady_since) else {
            return false;
        };
        since.plus(STEADY_MARGIN) < failed_at
    }

    /// Whether a target that a list of this time lacks may only have lapsed.
    fn may_have_lapsed(&self, now: Microseconds) -> bool {
        match self.lapses {
            Lapses::Impossible => false,
            Lapses::Outage { .. } => !self.was_cut_off(),
            Lapses::Recovered { until } => now < until,
        }
    }

    /// Records the list returned by a read of the store that began at `began`. Returns whether the
    /// targets to use may have changed.
    pub fn record_read(&mut self, read: TargetList, began: Microseconds) -> bool {
        if self.is_known() && read.revision < self.list.revision {
            return false;
        }
        if self.is_known() {
            self.reread_at = Some(began);
        }
        let last_at = self.own_confirmed_at.replace(began);
        let is_continuous = last_at.is_some_and(|at| began <= at.plus(STEADY_GAP_MAX));
        self.steady_since = self.steady_since.filter(|_| is_continuous).or(Some(began));
        self.replace_list(read, began, began)
    }

    /// Removes retained targets that did not register again in time. Returns whether there were any.
    pub fn expire_retained(&mut self, now: Microseconds) -> bool {
        if !self.has_expired(now) {
            return false;
        }
        self.lapses = Lapses::Impossible;
        !std::mem::take(&mut self.retained).is_empty()
    }

    /// Listed runs that take the place of a later run, of which there has been no sign while the store confirmed the list.
    pub fn contradicted_runs(&self) -> Vec<TargetId> {
        let Some(confirmed_at) = self.confirmed_at else {
            return Vec::new();
        };
        let listed = self
            .superseded
            .iter()
            .filter_map(|id| self.list.targets.get(id));
        let contradicted =
            listed.filter(|target| self.latest.is_contradicted_by(target, confirmed_at));
        contradicted.map(|target| target.id.clone()).collect()
    }

    /// Uses the listed runs of these targets again, whatever later runs are known.
    pub fn reinstate_listed_runs(&mut self, ids: &[TargetId]) {
        let list = Arc::clone(&self.list);
        let now = self.confirmed_at.unwrap_or_default();
        for listed in ids.iter().filter_map(|id| list.targets.get(id)) {
            self.latest.replace(listed, now);
            self.retained.remove(&listed.id);
        }
        self.newer_runs = self.newer_runs_than(&list);
        self.superseded = self.superseded_ids(&list);
    }

    /// Targets of which `list` names an earlier run than the latest known one.
    fn superseded_ids(&self, list: &TargetList) -> Vec<TargetId> {
        let named = list.targets.values();
        let superseded = named.filter(|target| self.is_superseded(&target.id, target.incarnation));
        superseded.map(|target| target.id.clone()).collect()
    }

    /// Whether the time for retained targets to register again has passed.
    pub fn has_expired(&self, now: Microseconds) -> bool {
        matches!(self.lapses, Lapses::Recovered { until } if now >= until)
    }

    /// Compares the known list with a peer's list, and records the peer's confirmation if the lists are
    /// the same. `confirmed_at` is the time at which the store confirmed the list to the peer itself,
    /// or [`Microseconds::ZERO`] if the peer received the list from other entries.
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
        self.record_store_answer(confirmed_at);
        if revision > self.list.revision {
            Arc::make_mut(&mut self.list).revision = revision;
        }
        PeerList::Same
    }

    /// Records that a serving peer with the list `digest` knows that the store confirmed it to some entry at `heard_at`.
    /// This spares an entry that stands by a read; it says nothing to others, so that the list does not stay fresh
    /// among entries of which none reads.
    pub fn record_heard(&mut self, digest: u64, heard_at: Microseconds, now: Microseconds) {
        let latest_at = self
            .report
            .map_or(heard_at, |report| report.confirmed_at.max(heard_at));
        self.report = Some(ConfirmationReport {
            received_at: now,
            confirmed_at: latest_at,
        });
        if digest == self.digest {
            self.heard_at = self.heard_at.max(Some(heard_at));
            self.record_store_answer(heard_at);
        }
    }

    /// Records a list received from a peer. Returns whether the targets to use may have changed.
    pub fn record_peer_list(
        &mut self,
        list: TargetList,
        confirmed_at: Microseconds,
        now: Microseconds,
    ) -> bool {
        self.is_newer(list.revision, confirmed_at) && self.replace_list(list, confirmed_at, now)
    }

    /// Whether a list is newer than the known one. A higher revision of the store is newer. Targets
    /// that lapse leave the list without a new revision, so of two lists with the same revision the one
    /// that was confirmed later is newer.
    fn is_newer(&self, revision: u64, confirmed_at: Microseconds) -> bool {
        let known = (self.list.revision, self.confirmed_at);
        (revision, Some(confirmed_at)) > known
    }

    fn replace_list(
        &mut self,
        mut list: TargetList,
        confirmed_at: Microseconds,
        now: Microseconds,
    ) -> bool {
        let is_first = !self.is_known();
        for (id, target) in &mut list.targets {
            let known = self.list.targets.get(id);
            if let Some(known) = known.filter(|known| known.incarnation == target.incarnation) {
                // The remaining warm-up shrinks from read to read; only the value of the first listing
                // is used.
                target.warm_up_ms = known.warm_up_ms;
            }
        }
        // The time of the confirmation is unknown if the peer received the list from other entries.
        self.record_store_answer(match confirmed_at {
            Microseconds::ZERO => now,
            at => at,
        });
        let retained_before = self.retained.len();
        self.latest.record(list.targets.values(), now);
        let newer_runs = self.newer_runs_than(&list);
        self.retain_lapsed(&list, now);
        self.newer_runs = newer_runs;
        self.superseded = self.superseded_ids(&list);
        let digest = list.digest();
        let has_changed = digest != self.digest || self.retained.len() != retained_before;
        let held = DigestedList {
            list: &self.list,
            digest: self.digest,
        };
        let new = DigestedList {
            list: &list,
            digest,
        };
        self.recent.push(ListStep::between(held, new));
        self.list = Arc::new(list);
        self.digest = digest;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.heard_at = Some(now);
        has_changed || is_first
    }

    /// The latest runs in use of targets of which `list` names an earlier run.
    fn newer_runs_than(&self, list: &TargetList) -> BTreeMap<TargetId, ListedTarget> {
        let named = list.targets.values();
        named
            .filter(|target| self.is_superseded(&target.id, target.incarnation))
            .filter_map(|target| self.current_target(&target.id))
            .map(|target| (target.id.clone(), target.clone()))
            .collect()
    }

    /// The run of a target that is in use; `None` if a later run is known.
    fn current_target(&self, id: &TargetId) -> Option<&ListedTarget> {
        let retained = self.retained.get(id).or_else(|| self.newer_runs.get(id));
        let known = retained.or_else(|| self.list.targets.get(id));
        known.filter(|target| !self.is_superseded(id, target.incarnation))
    }

    /// Retains targets that are missing from a list of an outage, or of the time in which they may register again.
    /// Retained targets are local to this entry: a peer may have read the store throughout and must not receive removed
    /// targets again.
    fn retain_lapsed(&mut self, list: &TargetList, now: Microseconds) {
        let addresses: BTreeSet<TargetAddress> =
            list.targets.values().map(|target| target.address).collect();
        let may_return = |target: &ListedTarget| {
            let is_listed = list.targets.contains_key(&target.id);
            // A store entry that another writer replaced still exists, so the target did not lapse.
            let is_foreign = list.foreign_ids.contains(&target.id);
            !is_listed && !is_foreign && !target.is_leaving && !addresses.contains(&target.address)
        };
        self.retained.retain(|_, target| may_return(target));
        if !self.may_have_lapsed(now) {
            return;
        }
        let listed = self.list.targets.values();
        let missing = listed
            .map(|target| self.newer_runs.get(&target.id).unwrap_or(target))
            .filter(|target| may_return(target))
            .filter(|target| !self.is_superseded(&target.id, target.incarnation));
        for target in missing.cloned().collect::<Vec<_>>() {
            self.retained.insert(target.id.clone(), target);
        }
    }
}
