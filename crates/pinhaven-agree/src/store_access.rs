//! Decides whether an entry may call the store now, for itself or on behalf of other entries.
//!
//! Answers the load of several hundred entries that start at once, after a loss of power: at first each of them knows
//! no peer, and then only peers of less capacity, and so each takes itself for a store delegate. Entries that carry
//! little rarely serve where there are that many, and can wait for what the others read. They still read from the store
//! themselves, each at a time of its own, if no peer provides the state.
//!
//! The same holds for the list of targets while the store is slow or unavailable: the list of all entries ages at the
//! same time. The store may also turn away just the serving entries, so the first few entries that stand by read the list
//! soon after the last serving one was due. The others wait longer.
//!
//! A call that waits for changes of the configuration does not tell for many seconds whether the store still answers its
//! entry. A read of the list does, so the entries that read the list also follow the configuration, whatever their rank.

use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;

/// Bounds of the age up to which an entry contacts only its seeds; each entry draws its age. A live seed answers within
/// a few milliseconds. When all entries have just started, the first few call the store and advertise the result to the
/// others, which takes about 100 ms. A longer range saves few calls to the store and costs requests after an outage of
/// all entries.
const SEEDS_ONLY_AGES: (Microseconds, Microseconds) =
    (Microseconds::from_ms(10), Microseconds::from_ms(110));
/// The same bounds for a small entry. Its seeds may start later than it does.
const SEEDS_ONLY_AGES_SMALL: (Microseconds, Microseconds) =
    (Microseconds::from_ms(400), Microseconds::from_ms(1_200));
/// Capacity below which an entry is small.
const SMALL_CAPACITY: RequestRate = RequestRate::new(100);
/// Age up to which a small entry is neither a delegate nor a reader of the list. It may not know the entries of its failure domain that rank before it
/// until then.
const SMALL_SETTLED_AGE: Microseconds = Microseconds::from_ms(3_000);
/// Age up to which an entry that is not a delegate obtains missing state only from peers. When all
/// entries start together, the delegates have the state after a few hundred milliseconds.
const PEERS_ONLY_AGE: Microseconds = Microseconds::from_ms(700);
/// Bounds of that age for a small entry. The state reaches the small entries of a failure domain over the links of few
/// peers.
const PEERS_ONLY_AGES_SMALL: (Microseconds, Microseconds) =
    (Microseconds::from_ms(2_000), Microseconds::from_ms(8_000));

/// Number of entries that stand by and read the list of targets soon after the serving entries were due.
pub const STANDBY_READERS: usize = 8;
/// Age of the list from which the first of them reads it. All ranks of the serving entries are due before.
const STANDBY_READ_AFTER: Microseconds = Microseconds::from_ms(1_500);
/// Additional age for each rank below the first. A silent store holds each reader up for longer than this, and the last
/// of them must leave time to tell the other entries of a target that leaves.
const STANDBY_READ_AFTER_PER_RANK: Microseconds = Microseconds::from_ms(40);
/// Bounds of the age of the list from which any other entry that stands by reads the list itself; each entry draws its
/// age. The list of such an entry may be older, as it only serves callers with old addresses.
const STANDBY_LIST_AGES: (Microseconds, Microseconds) =
    (Microseconds::from_ms(5_000), Microseconds::from_ms(20_000));

/// Number of serving entries whose answered reads of the list count. All serving entries of higher ranks read it at the same
/// age, and a configuration costs each of them processor time.
pub const FOLLOWING_READERS: usize = 12;
/// Time after an answered read of the list of targets for which an entry reads the configuration too. Whichever ranks the
/// store turns away, the list is read more often.
pub const LIST_READER_FOR: Microseconds = Microseconds::from_ms(2_500);

/// Facts on which the access to the store depends.
#[derive(Debug, Clone, Copy)]
pub struct StoreAccessFacts {
    /// Age of the entry.
    pub age: Microseconds,
    /// Whether no peer of the entry is live.
    pub is_alone: bool,
    /// Whether the entry ranks among the delegates, by the members that it knows.
    pub is_delegate: bool,
    /// Whether the entry holds some version of the state.
    pub has_state: bool,
    /// Time since the store last answered a read by which this entry kept the list of targets up to date, if it ever did and
    /// is one of the first readers.
    pub list_reread_age: Option<Microseconds>,
}

impl StoreAccessFacts {
    /// Whether this entry reads the list of targets for the others, so that the store is known to answer it.
    fn reads_list(&self) -> bool {
        self.list_reread_age
            .is_some_and(|age| age < LIST_READER_FOR)
    }
}

/// Access of one entry to the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreAccess {
    is_small: bool,
    seeds_only_age: Microseconds,
    peers_only_age: Microseconds,
    standby_list_age: Microseconds,
}

impl StoreAccess {
    /// Creates the access of an entry that can carry `capacity`. Other entries find each other by asking a seed, so a
    /// seed counts as large. `draw` is a random number from 0 to 1.
    pub fn new(capacity: RequestRate, is_seed: bool, draw: f64) -> Self {
        let is_small = capacity < SMALL_CAPACITY && !is_seed;
        let (seeds_only_ages, peers_only_ages) = match is_small {
            true => (SEEDS_ONLY_AGES_SMALL, PEERS_ONLY_AGES_SMALL),
            false => (SEEDS_ONLY_AGES, (PEERS_ONLY_AGE, PEERS_ONLY_AGE)),
        };
        Self {
            is_small,
            seeds_only_age: between(seeds_only_ages, draw),
            peers_only_age: between(peers_only_ages, draw),
            standby_list_age: between(STANDBY_LIST_AGES, draw),
        }
    }

    /// Whether the entry may call the store.
    pub fn may_call(&self, facts: &StoreAccessFacts) -> bool {
        if facts.age < self.seeds_only_age {
            return false;
        }
        let is_delegate = facts.is_delegate && self.is_settled(facts.age);
        let is_left_without_state = !facts.has_state && facts.age >= self.peers_only_age;
        facts.is_alone || is_delegate || is_left_without_state || facts.reads_list()
    }

    /// Whether an entry of this age may rely on its rank among the members that it knows.
    pub fn is_settled(&self, age: Microseconds) -> bool {
        !self.is_small || age >= SMALL_SETTLED_AGE
    }

    /// Age of the list of targets from which the entry reads the list while it stands by. `rank` is its rank among the
    /// entries that stand by, if it is one of the first [`STANDBY_READERS`].
    pub fn standby_list_age(&self, rank: Option<usize>) -> Microseconds {
        let Some(rank) = rank else {
            return self.standby_list_age;
        };
        let ranks = STANDBY_READ_AFTER_PER_RANK.count() * rank as u64;
        STANDBY_READ_AFTER.plus(Microseconds::new(ranks))
    }
}

fn between((min, max): (Microseconds, Microseconds), draw: f64) -> Microseconds {
    let range = max.saturating_sub(min).count() as f64;
    min.plus(Microseconds::new((range * draw) as u64))
}
