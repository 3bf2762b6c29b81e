//! Which state of targets is advertised to other entries, and when.

use pinhaven_decide::AdvertisedState;
use pinhaven_decide::AdvertisedTargets;
use pinhaven_decide::Microseconds;

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(100_000 + time_ms)
}

fn holding(in_flight: u32) -> AdvertisedState {
    AdvertisedState {
        in_flight,
        report_at: Microseconds::ZERO,
    }
}

#[test]
fn a_count_is_told_when_it_changes_and_again_in_whole_rounds() {
    let mut advertised = AdvertisedTargets::default();
    assert!(advertised.should_advertise(1, holding(2), false, at_ms(0)));
    assert!(!advertised.should_advertise(1, holding(2), false, at_ms(10)));
    assert!(advertised.should_advertise(1, holding(2), true, at_ms(5_000)));
}

#[test]
fn the_end_of_the_last_request_is_told_twice_more_in_case_a_datagram_is_lost() {
    let mut advertised = AdvertisedTargets::default();
    advertised.should_advertise(1, holding(1), false, at_ms(0));
    assert!(advertised.should_advertise(1, holding(0), false, at_ms(100)));
    assert!(advertised.should_advertise(1, holding(0), true, at_ms(600)));
    assert!(advertised.should_advertise(1, holding(0), true, at_ms(1_100)));
    assert!(!advertised.should_advertise(1, holding(0), true, at_ms(1_600)));
}

#[test]
fn a_report_is_told_once() {
    let mut advertised = AdvertisedTargets::default();
    let state = AdvertisedState {
        in_flight: 0,
        report_at: at_ms(5),
    };
    assert!(advertised.is_report_new(1, &state));
    assert!(advertised.should_advertise(1, state, false, at_ms(10)));
    assert!(!advertised.is_report_new(1, &state));
    assert!(!advertised.should_advertise(1, state, false, at_ms(20)));
}

#[test]
fn targets_that_are_gone_are_forgotten() {
    let mut advertised = AdvertisedTargets::default();
    for target in 0..10 {
        advertised.should_advertise(target, holding(1), false, at_ms(0));
    }
    advertised.retain(|target| target < 3);
    assert_eq!(advertised.len(), 3);
}
