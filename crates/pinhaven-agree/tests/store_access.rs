//! Access to the store: who calls it when all entries start at once.

use pinhaven_agree::StoreAccess;
use pinhaven_agree::StoreAccessFacts;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;

const LARGE: RequestRate = RequestRate::new(428);
const SMALL: RequestRate = RequestRate::new(78);

/// Facts of an entry that has just found its first peers, which carry less or belong to other failure domains.
fn starting(age_ms: u64) -> StoreAccessFacts {
    StoreAccessFacts {
        age: Microseconds::from_ms(age_ms),
        is_alone: false,
        is_delegate: true,
        has_state: false,
        list_reread_age: None,
    }
}

/// Number of entries of `count` that call the store by the age `age_ms`. The draws are spread evenly.
fn callers(count: usize, capacity: RequestRate, facts: StoreAccessFacts) -> usize {
    (0..count)
        .map(|number| StoreAccess::new(capacity, false, (number as f64 + 0.5) / count as f64))
        .filter(|access| access.may_call(&facts))
        .count()
}

/// Guards against a call of each of several hundred entries that start at once: at first each one takes itself for a
/// delegate.
#[test]
fn small_entries_that_start_together_leave_the_store_to_large_ones() {
    for age_ms in [50, 200, 400, 1_000, 1_900] {
        assert_eq!(callers(457, SMALL, starting(age_ms)), 0, "{age_ms} ms");
    }
    assert_eq!(callers(15, LARGE, starting(110)), 15);
}

#[test]
fn a_seed_calls_at_once_whatever_it_can_carry() {
    let seed = StoreAccess::new(SMALL, true, 0.5);
    assert!(seed.may_call(&starting(60)));
}

#[test]
fn small_entries_without_state_call_one_after_another() {
    let without_state = |age_ms| StoreAccessFacts {
        is_delegate: false,
        ..starting(age_ms)
    };
    let by_age: Vec<usize> = (1..=8)
        .map(|second| callers(457, SMALL, without_state(second * 1_000)))
        .collect();
    let gained: Vec<usize> = by_age.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gained.iter().all(|gained| *gained <= 80), "{by_age:?}");
    assert_eq!(by_age[7], 457, "each one helps itself in the end");
    let with_state = StoreAccessFacts {
        has_state: true,
        ..without_state(60_000)
    };
    assert_eq!(callers(457, SMALL, with_state), 0);
}

#[test]
fn an_entry_without_peers_and_a_small_delegate_call_after_some_time() {
    let alone = StoreAccessFacts {
        is_alone: true,
        is_delegate: false,
        ..starting(1_200)
    };
    assert_eq!(callers(457, SMALL, alone), 457);
    let delegate = StoreAccessFacts {
        has_state: true,
        ..starting(3_000)
    };
    assert_eq!(callers(457, SMALL, delegate), 457);
}

/// Guards against a read of each entry that stands by as soon as the list is a little old, as in an outage of the store.
#[test]
fn entries_that_stand_by_read_an_old_list_one_after_another() {
    let list_ages: Vec<u64> = (0..457)
        .map(|number| StoreAccess::new(SMALL, false, (f64::from(number) + 0.5) / 457.0))
        .map(|access| access.standby_list_age(None).count() / 1_000_000)
        .collect();
    assert!(list_ages.iter().all(|age_s| *age_s >= 5));
    for second in 5..20 {
        let readers = list_ages.iter().filter(|age_s| **age_s == second).count();
        assert!(readers <= 32, "{readers} entries read in second {second}");
    }
}

#[test]
fn a_small_entry_relies_on_its_rank_only_after_some_time() {
    let small = StoreAccess::new(SMALL, false, 0.5);
    assert!(!small.is_settled(Microseconds::from_ms(2_900)));
    assert!(small.is_settled(Microseconds::from_ms(3_000)));
    assert!(StoreAccess::new(LARGE, false, 0.5).is_settled(Microseconds::ZERO));
}

/// Guards against a configuration that nobody learns because the store is silent to the delegates, whose calls are pending.
#[test]
fn an_entry_whose_reads_of_the_list_are_answered_follows_the_configuration() {
    let access = StoreAccess::new(SMALL, false, 0.5);
    let standing_by = |list_reread_age| StoreAccessFacts {
        is_delegate: false,
        has_state: true,
        list_reread_age,
        ..starting(60_000)
    };
    assert!(!access.may_call(&standing_by(None)));
    let age_ms = |age_ms| Some(Microseconds::from_ms(age_ms));
    // The last of the readers that stand by reads at this age.
    assert!(access.may_call(&standing_by(age_ms(1_780))));
    assert!(!access.may_call(&standing_by(age_ms(2_500))));
}
