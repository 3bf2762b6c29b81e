//! Begin and end of a spill-over. Guards against log lines for the few requests that always cross, and against a line for
//! each second of a demand that swings.

use pinhaven_decide::Microseconds;
use pinhaven_decide::SpillOver;
use pinhaven_decide::SpillOverChange;

/// Changes in successive seconds, with 100 attempts in each, of which some cross.
fn changes(far_of_100: &[u64]) -> Vec<(usize, SpillOverChange)> {
    let mut spill_over = SpillOver::new(0, 0, Microseconds::ZERO);
    let (mut near, mut far) = (0, 0);
    let mut changes = Vec::new();
    for (second, crossing) in far_of_100.iter().enumerate() {
        far += crossing;
        near += 100 - crossing;
        let now = Microseconds::from_ms(1_000 * (second as u64 + 1));
        let change = spill_over.record(near, far, now);
        changes.extend(change.map(|change| (second, change)));
        assert_eq!(spill_over.record(near, far, now), None);
    }
    changes
}

#[test]
fn a_spill_over_begins_and_ends_once() {
    let began = SpillOverChange::Began { share: 0.4 };
    let ended = SpillOverChange::Ended { attempts: 62 };
    let share = [2, 14, 40, 8, 2, 10, 0, 0, 2, 14];
    assert_eq!(changes(&share), [(2, began), (8, ended)]);
}
