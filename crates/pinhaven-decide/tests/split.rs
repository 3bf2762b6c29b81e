//! Tests the division of requests among services by weight.

use pinhaven_decide::Split;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// For any weights and any start, each part gets its share of a few hundred requests.
#[test]
fn a_split_keeps_its_weights_over_a_few_hundred_requests() {
    fn keeps_weights(weights: Vec<u8>, start: u64) -> bool {
        let weights: Vec<f64> = weights.into_iter().take(5).map(f64::from).collect();
        let sum: f64 = weights.iter().sum();
        if sum <= 0.0 {
            return true;
        }
        let split = Split::new(weights.iter().copied(), start);
        let mut counts = vec![0; weights.len()];
        let requests = 300;
        for _ in 0..requests {
            counts[split.next_part()] += 1;
        }
        weights.iter().zip(counts).all(|(weight, count)| {
            let (share, expected) = (f64::from(count) / f64::from(requests), weight / sum);
            (share - expected).abs() < 0.02
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 5))
        .tests(2_000)
        .quickcheck(keeps_weights as fn(Vec<u8>, u64) -> bool);
}
