//! Seats whose rows come from another writer.

use pinhaven_agree::SeatAction;
use pinhaven_agree::SeatKeeper;
use pinhaven_agree::SeatRow;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

const OWN: Incarnation = Incarnation::new(1);

fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

/// The number of renewals that the highest possible one is followed by is no reason to stop.
#[test]
fn a_row_with_the_highest_number_of_renewals_can_be_renewed() {
    let mut keeper = SeatKeeper::new(OWN, 1);
    let listed = SeatRow {
        holder: OWN,
        renewals: u64::MAX,
    };
    let rows = BTreeMap::from([(0, listed.clone())]);
    let Some(SeatAction::Write { row, .. }) = keeper.take_rows(&rows, at_ms(0)) else {
        panic!("the own seat is renewed");
    };
    assert_ne!(
        row, listed,
        "the others see that the seat does not stand still"
    );
}

/// A holder relies on its seat for some time after its last renewal, whatever another writer puts there.
#[test]
fn a_seat_whose_row_names_nobody_is_taken_once_it_has_stood_still_for_long() {
    let mut keeper = SeatKeeper::new(OWN, 1);
    let rows = BTreeMap::from([(0, SeatRow::of_nobody(b"?"))]);
    assert_eq!(keeper.take_rows(&rows, at_ms(0)), None);
    assert_eq!(keeper.take_rows(&rows, at_ms(15_000)), None);
    let taken = keeper.take_rows(&rows, at_ms(20_000));
    assert!(matches!(taken, Some(SeatAction::Write { seat: 0, .. })));

    let mut keeper = SeatKeeper::new(OWN, 1);
    for time_ms in (0..60_000).step_by(3_000) {
        let rows = BTreeMap::from([(0, SeatRow::of_nobody(time_ms.to_string().as_bytes()))]);
        let taken = keeper.take_rows(&rows, at_ms(time_ms));
        assert_eq!(taken, None, "another writer still writes it");
    }
}
