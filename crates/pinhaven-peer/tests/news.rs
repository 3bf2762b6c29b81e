//! News of targets as they go over the wire.

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
        })
        .collect()
}

#[test]
fn news_of_targets_come_back_as_they_were_told() {
    let told = targets(160);
    let bytes = TargetColumns::new(&told).encode_to_vec();
    let heard = TargetColumns::decode(&*bytes).unwrap();
    assert_eq!(heard.rows(), told);
}

#[test]
fn a_datagram_of_targets_fits_into_one_packet() {
    let bytes = TargetColumns::new(&targets(160)).encode_to_vec();
    assert!(bytes.len() < 1_200, "{} bytes", bytes.len());
}

#[test]
fn columns_of_different_lengths_lose_only_what_is_incomplete() {
    // Three keys, two counts, one slowdown, three ages, as no entry of ours writes them.
    let bytes = [
        &[0x0a, 12, 1, 0, 0, 0, 2, 0, 0, 0, 3, 0, 0, 0][..],
        &[0x12, 2, 5, 6],
        &[0x1a, 1, 10],
        &[0x22, 3, 1, 2, 3],
    ]
    .concat();
    let heard = TargetColumns::decode(&*bytes).unwrap().rows();
    assert_eq!(heard.len(), 1);
    assert_eq!((heard[0].key, heard[0].in_flight), (1, 5));
}
