//! Reads of the list of targets while the store is silent to some entries.
//!
//! The entries hear of each other's reads after a while; calls to a silent store last until their time limit.

use pinhaven_agree::KnownTargets;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_agree::Membership;
use pinhaven_agree::RetryBackoff;
use pinhaven_agree::STANDBY_READERS;
use pinhaven_agree::StoreAccess;
use pinhaven_agree::TargetList;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::collections::BTreeSet;

const CAPACITY: RequestRate = RequestRate::new(140);
const DOMAINS: usize = 3;
/// Number of serving entries without demand, two in each failure domain.
const SERVING: usize = 6;
const STEP_MS: u64 = 10;
/// Time until a call to a silent store fails.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Time until the other entries know of a read.
const SPREAD_MS: u64 = 60;
/// Interval at which serving entries say when the store last confirmed the list.
const REPORT_INTERVAL_MS: u64 = 500;
/// A target that leaves must get no new request 2 s after the store recorded it. The rest of that time is for telling
/// the entries that did not read the list.
const LIST_AGE_MAX_MS: u64 = 1_850;

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

fn row(number: usize) -> MemberRow {
    MemberRow {
        incarnation: Incarnation::new(number as u128 + 1),
        instance_id: format!("entry-{number:03}").parse().unwrap(),
        failure_domain: format!("domain-{}", number % DOMAINS).parse().unwrap(),
        region: None,
        capacity: CAPACITY,
        demand: RequestRate::ZERO,
        caller_address: format!("127.0.0.1:{}", 7_000 + number).parse().unwrap(),
        peer_address: format!("127.0.0.1:{}", 8_000 + number).parse().unwrap(),
        state: MemberState::Ready,
        heartbeat: 1,
        version: BundleVersion::new(1),
        epoch: 1,
        lacks_store: false,
    }
}

/// An entry as far as its reads of the list are concerned.
struct Reader {
    serving_rank: Option<usize>,
    standby_rank: Option<usize>,
    access: StoreAccess,
    known: KnownTargets,
    backoff: RetryBackoff,
    /// Time of the next step of the entry: the end of its call or of its pause.
    ready_at_ms: u64,
    /// Whether a call is pending that the store will not answer.
    has_silent_call: bool,
    calls: usize,
}

impl Reader {
    fn new(number: usize, rows: &[MemberRow]) -> Self {
        let mut members = Membership::new(rows[number].clone(), Microseconds::from_ms(2_000));
        let others = rows.iter().enumerate().filter(|(peer, _)| *peer != number);
        for (_, row) in others {
            members.record_member(row.clone(), at_ms(0));
        }
        let own = &rows[number];
        let draw = (number as f64 + 0.5) / rows.len() as f64;
        let mut known = KnownTargets::new();
        known.record_read(TargetList::new(1, []), at_ms(0));
        let serving = members.serving(at_ms(0));
        Self {
            serving_rank: serving.iter().position(|row| *row == own),
            standby_rank: members.standby_rank(STANDBY_READERS, at_ms(0)),
            access: StoreAccess::new(CAPACITY, false, draw),
            known,
            backoff: RetryBackoff::default(),
            ready_at_ms: 0,
            has_silent_call: false,
            calls: 0,
        }
    }

    /// Makes a call if it is due. Returns whether the store answered it.
    fn step(&mut self, is_served: bool, now_ms: u64) -> bool {
        if now_ms < self.ready_at_ms {
            return false;
        }
        if std::mem::take(&mut self.has_silent_call) {
            self.known.record_failure(at_ms(now_ms));
            let pause = self.backoff.next_delay(0, 0.5);
            self.ready_at_ms = now_ms + pause.count() / 1_000;
            return false;
        }
        let now = at_ms(now_ms);
        let due_in = match self.serving_rank {
            Some(rank) => self.known.due_in(rank as u32, now),
            None => {
                let first_read_age = self.access.standby_list_age(Some(0));
                let is_old = self.known.is_reported_old(first_read_age, now);
                let rank = self.standby_rank.filter(|_| is_old);
                let read_at = self.access.standby_list_age(rank);
                self.known.standby_due_in(read_at, now)
            }
        };
        if due_in > Microseconds::ZERO {
            return false;
        }
        self.calls += 1;
        if is_served {
            self.backoff = RetryBackoff::default();
            self.known.record_read(TargetList::new(1, []), now);
        } else {
            self.has_silent_call = true;
            self.ready_at_ms = now_ms + CALL_TIMEOUT_MS;
        }
        is_served
    }
}

struct Group(Vec<Reader>);

impl Group {
    fn new(count: usize) -> Self {
        let rows: Vec<MemberRow> = (0..count).map(row).collect();
        Self(
            (0..count)
                .map(|number| Reader::new(number, &rows))
                .collect(),
        )
    }

    fn numbers(&self, belongs: impl Fn(&Reader) -> bool) -> BTreeSet<usize> {
        let readers = self.0.iter().enumerate();
        readers
            .filter(|(_, reader)| belongs(reader))
            .map(|(number, _)| number)
            .collect()
    }

    /// Lets the entries read for some time while the store is silent to those in `silent_to`. Returns the maximum age
    /// of the last answered read.
    fn play(&mut self, silent_to: &BTreeSet<usize>, duration_ms: u64) -> u64 {
        let (mut answered_at_ms, mut age_max_ms) = (0, 0);
        for now_ms in (0..duration_ms).step_by(STEP_MS as usize) {
            for (number, reader) in self.0.iter_mut().enumerate() {
                if reader.step(!silent_to.contains(&number), now_ms) {
                    answered_at_ms = now_ms;
                }
            }
            age_max_ms = age_max_ms.max(now_ms - answered_at_ms);
            if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
                for reader in self
                    .0
                    .iter_mut()
                    .filter(|reader| reader.serving_rank.is_none())
                {
                    let digest = reader.known.digest();
                    reader
                        .known
                        .record_heard(digest, at_ms(answered_at_ms), at_ms(now_ms));
                }
            }
            if now_ms == answered_at_ms + SPREAD_MS {
                for reader in &mut self.0 {
                    let digest = reader.known.digest();
                    reader
                        .known
                        .record_peer_revision(1, digest, at_ms(answered_at_ms));
                }
            }
        }
        age_max_ms
    }
}

/// Guards against a leave that is learned late because the store is silent to all entries that serve.
#[test]
fn the_list_stays_young_whichever_entries_the_store_is_silent_to() {
    for count in [17, 60, 142, 472] {
        let group = Group::new(count);
        let serving = group.numbers(|reader| reader.serving_rank.is_some());
        assert_eq!(serving.len(), SERVING);
        let readers = group.numbers(|reader| {
            let is_first = reader
                .standby_rank
                .is_some_and(|rank| rank + 1 < STANDBY_READERS);
            reader.serving_rank.is_some() || is_first
        });
        let domain: BTreeSet<usize> = (0..count).step_by(DOMAINS).collect();
        let half: BTreeSet<usize> = serving.iter().copied().chain(0..count / 2).collect();
        for silent_to in [serving, readers, domain, half] {
            let mut group = Group::new(count);
            let age_max_ms = group.play(&silent_to, 12_000);
            assert!(
                age_max_ms <= LIST_AGE_MAX_MS,
                "{age_max_ms} ms with {} of {count} turned away",
                silent_to.len()
            );
        }
    }
}

/// While the store is silent to all, most of the entries must leave the reads to a few.
#[test]
fn an_outage_of_the_store_adds_few_readers_to_the_serving_entries() {
    let mut group = Group::new(472);
    let all = (0..472).collect();
    group.play(&all, 4_900);
    let callers = group.numbers(|reader| reader.calls > 0);
    assert_eq!(callers.len(), SERVING + STANDBY_READERS);
}

#[test]
fn entries_that_stand_by_do_not_read_a_list_that_a_serving_entry_reads() {
    let mut group = Group::new(60);
    group.play(&BTreeSet::new(), 10_000);
    let callers = group.numbers(|reader| reader.calls > 0);
    let first = group.numbers(|reader| reader.serving_rank == Some(0));
    assert_eq!(callers, first);
}
