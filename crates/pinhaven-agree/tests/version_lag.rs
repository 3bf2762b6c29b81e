//! What an entry reports of versions that it knows of and lacks.

use pinhaven_agree::VersionLag;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;

const fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(time_ms)
}

const fn version(number: u64) -> BundleVersion {
    BundleVersion::new(number)
}

#[test]
fn an_entry_is_behind_from_when_it_hears_of_a_version_until_that_is_in_force() {
    let mut lag = VersionLag::default();
    lag.put_in_force(version(3));
    assert_eq!(lag.behind_for(at_ms(10)), None);
    lag.record_known(version(5), at_ms(10));
    lag.record_known(version(5), at_ms(50));
    assert_eq!(lag.known(), version(5));
    assert_eq!(lag.behind_for(at_ms(60)), Some(at_ms(50)));
    lag.put_in_force(version(5));
    assert_eq!(lag.behind_for(at_ms(80)), None);
}

#[test]
fn a_version_that_is_older_than_the_one_in_force_makes_nobody_behind() {
    let mut lag = VersionLag::default();
    lag.put_in_force(version(5));
    lag.record_known(version(4), at_ms(1));
    assert_eq!(lag.known(), version(5));
    assert_eq!(lag.behind_for(at_ms(2)), None);
}

#[test]
fn an_entry_that_gets_a_version_which_is_not_the_newest_stays_behind() {
    let mut lag = VersionLag::default();
    lag.record_known(version(5), at_ms(0));
    lag.record_known(version(7), at_ms(10));
    lag.put_in_force(version(5));
    assert_eq!(
        lag.behind_for(at_ms(30)),
        Some(at_ms(20)),
        "since the entry learned of the version that it lacks"
    );
}

#[test]
fn failed_tries_are_told_ever_more_rarely_and_forgotten_once_one_succeeds() {
    let mut lag = VersionLag::default();
    lag.record_known(version(2), at_ms(0));
    let logged = (1..=100).filter(|_| lag.record_failure("no answer".to_owned()));
    assert_eq!(logged.collect::<Vec<u32>>(), [1, 2, 4, 8, 16, 32, 64]);
    assert_eq!(lag.last_failure(), Some("no answer"));
    lag.put_in_force(version(2));
    assert_eq!(lag.failed_tries(), 0);
    assert_eq!(lag.last_failure(), None);
}

#[test]
fn an_entry_that_is_always_some_versions_behind_says_since_when_it_lacks_the_first() {
    let mut lag = VersionLag::default();
    for number in 1..1_000 {
        lag.record_known(version(number), at_ms(number));
    }
    assert_eq!(lag.behind_for(at_ms(1_000)), Some(at_ms(999)));
    lag.put_in_force(version(30));
    assert_eq!(lag.known(), version(999));
    assert_eq!(lag.behind_for(at_ms(1_000)), Some(at_ms(969)));
}
