//! Encoding of target updates in datagrams.

use pinhaven_peer::TargetColumns;
use pinhaven_peer::TargetNews;
use prost::Message as _;

fn targets(count: u32) -> Vec<TargetNews> {
    (0..count)
        .map(|number| TargetNews {
            key: u32::MAX - number,
            in_flight: number % 7,
            slowdown_tenths: [0, 10, 70][number as usize % 3],
            age_ms: number % 100,
            cold_left_tenths: number % 31,
        })
        .collect()
}

#[test]
fn target_updates_decode_to_what_was_encoded() {
    let sent = targets(140);
    let bytes = TargetColumns::new(&sent).encode_to_vec();
    let received = TargetColumns::decode(&*bytes).unwrap();
    assert_eq!(received.rows(), sent);
}

#[test]
fn a_datagram_of_targets_fits_into_one_packet() {
    let bytes = TargetColumns::new(&targets(140)).encode_to_vec();
    assert!(bytes.len() < 1_200, "{} bytes", bytes.len());
}

#[test]
fn columns_of_different_lengths_lose_only_what_is_incomplete() {
    // Three keys, two counts, one slowdown and three ages: only a faulty sender encodes such columns.
    let bytes = [
        &[0x0a, 12, 1, 0, 0, 0, 2, 0, 0, 0, 3, 0, 0, 0][..],
        &[0x12, 2, 5, 6],
        &[0x1a, 1, 10],
        &[0x22, 3, 1, 2, 3],
    ]
    .concat();
    let received = TargetColumns::decode(&*bytes).unwrap().rows();
    assert_eq!(received.len(), 1);
    assert_eq!((received[0].key, received[0].in_flight), (1, 5));
}
