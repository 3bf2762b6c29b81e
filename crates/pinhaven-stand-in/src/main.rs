//! Runs stand-ins of the platform or of targets in a separate process.
//!
//! The first line on standard output is a JSON list of the stand-ins' listening addresses.

use clap::Parser;
use clap::Subcommand;
use pinhaven_runtime::run_with_threads;
use pinhaven_stand_in::platform::Platform;
use pinhaven_stand_in::target::RunningTarget;
use pinhaven_stand_in::target::TargetSettings;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// Number of worker threads.
const THREADS: usize = 2;
/// Loopback address with a port that the system assigns.
const ANY_LOOPBACK_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Stand-ins for the systems around pinhaven.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// A table service and object store.
    Platform {
        /// Listening address; an unused loopback port by default.
        #[arg(long)]
        address: Option<SocketAddr>,
    },
    /// Targets of one service, each with its own listening address.
    Targets {
        /// Number of targets.
        #[arg(long, default_value_t = 3)]
        count: u64,
        /// Number of requests that each target processes concurrently.
        #[arg(long, default_value_t = 6)]
        slots: usize,
        /// Mean service time of a request, in milliseconds.
        #[arg(long, default_value_t = 20.0)]
        mean_ms: f64,
        /// Standard deviation of the service time's logarithm.
        #[arg(long, default_value_t = 0.8)]
        sigma: f64,
        /// Service time of a probe, in milliseconds.
        #[arg(long, default_value_t = 6.0)]
        probe_ms: f64,
        /// Seed from which the targets' random seeds are derived.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let cli = Cli::parse();
    let addresses = match cli.command {
        Command::Platform { address } => {
            vec![Platform::start(address.unwrap_or(ANY_LOOPBACK_PORT.into()), 1)?.address()]
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
                addresses.push(RunningTarget::start(ANY_LOOPBACK_PORT.into(), settings)?.address());
            }
            addresses
        }
    };
    println!("{}", serde_json::to_string(&addresses)?);
    run_with_threads(THREADS, futures_lite::future::pending::<()>());
    Ok(())
}
