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
