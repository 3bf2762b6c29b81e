//! Prints the processor time of single steps of the limits, by the numbers of peers and organisations.
//!
//! `cargo run --release -p pinhaven-limits --example steps`

#[path = "../tests/common/heard.rs"]
#[allow(missing_docs, unreachable_pub)]
mod heard;

use heard::Heard;
use heard::processor_s;
use pinhaven_limits::OrganisationKey;

const PEERS: [u64; 3] = [16, 141, 471];
const ORGANISATIONS: [u32; 2] = [87, 1_000];
/// Peers that fall silent and return together.
const LOST: u64 = 70;
/// Requests of one organisation, more than its limit admits.
const REQUESTS: u32 = 100;
const REPETITIONS: usize = 5;

fn timed_ms(heard: &mut Heard, step: impl FnOnce(&mut Heard)) -> f64 {
    let began_s = processor_s();
    step(heard);
    (processor_s() - began_s) * 1_000.0
}

/// Times of the steps at one entry, in milliseconds.
fn steps_ms(peers: u64, organisations: u32) -> [f64; 5] {
    let mut heard = Heard::new(peers, organisations);
    let datagram = timed_ms(&mut heard, |heard| heard.hear(1..=1));
    let requests = timed_ms(&mut heard, |heard| {
        for _ in 0..REQUESTS {
            let _ = heard.limits.admit(OrganisationKey(0), false, heard.now());
        }
    });
    let left = peers.saturating_sub(LOST).max(1);
    heard.lose_all_but(left);
    let lost = timed_ms(&mut heard, |heard| heard.hear(1..=1));
    let returned = timed_ms(&mut heard, |heard| heard.hear(left + 1..=heard.peers));
    heard.pass(600, peers);
    // The reservations of peers that have been heard for 0.7 s end.
    heard.pass(100, 0);
    let settled = timed_ms(&mut heard, |heard| heard.hear(1..=1));
    let returned_each = returned / (peers - left) as f64;
    [
        datagram,
        requests / f64::from(REQUESTS),
        lost,
        returned_each,
        settled,
    ]
}

fn main() {
    println!(
        "{:>6} {:>13} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "peers", "organisations", "datagram", "request", "lost", "returned", "settled"
    );
    for peers in PEERS {
        for organisations in ORGANISATIONS {
            let mut least = [f64::INFINITY; 5];
            for _ in 0..REPETITIONS {
                let steps = steps_ms(peers, organisations);
                least = std::array::from_fn(|step| least[step].min(steps[step]));
            }
            let least: String = least.iter().map(|ms| format!(" {ms:>9.4}")).collect();
            println!("{peers:>6} {organisations:>13}{least}");
        }
    }
}
