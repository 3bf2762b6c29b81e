//! Runs stand-ins as processes of their own.
//!
//! The first line on the standard output is a JSON list of the addresses that they listen at.

use clap::Parser;
use clap::Subcommand;
use pinhaven_runtime::run_with_threads;
use pinhaven_stand_in::platform::Platform;
use pinhaven_stand_in::target::RunningTarget;
use pinhaven_stand_in::target::TargetSettings;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// Threads of a stand-in process.
const THREADS: usize = 2;
/// Any free port of the loopback interface.
const ANY: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Stand-ins for what pinhaven meets.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// A table service and object store.
    Platform {
        /// Where to listen.
        #[arg(long)]
        address: Option<SocketAddr>,
    },
    /// Targets of one service.
    Targets {
        /// How many.
        #[arg(long, default_value_t = 3)]
        count: u64,
        /// Requests that each works on at a time.
        #[arg(long, default_value_t = 6)]
        slots: usize,
        /// Mean time of a request, in milliseconds.
        #[arg(long, default_value_t = 20.0)]
        mean_ms: f64,
        /// Spread of the log-normal service time.
        #[arg(long, default_value_t = 0.8)]
        sigma: f64,
        /// Time of a probe, in milliseconds.
        #[arg(long, default_value_t = 6.0)]
        probe_ms: f64,
        /// Seed of their randomness.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let cli = Cli::parse();
    let addresses = match cli.command {
        Command::Platform { address } => {
            vec![Platform::start(address.unwrap_or(ANY.into()), 1)?.address()]
        }
        Command::Targets {
            count,
            slots,
            mean_ms,
            sigma,
            probe_ms,
            seed,
        } => {
            let mut addresses = Vec::new();
            for number in 0..count {
                let settings = TargetSettings {
                    slots,
                    mean_ms,
                    sigma,
                    probe_ms,
                    seed: seed.wrapping_mul(1_000).wrapping_add(number),
                };
                addresses.push(RunningTarget::start(ANY.into(), settings)?.address());
            }
            addresses
        }
    };
    println!("{}", serde_json::to_string(&addresses)?);
    run_with_threads(THREADS, futures_lite::future::pending::<()>());
    Ok(())
}
