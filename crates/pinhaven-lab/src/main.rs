//! The demo and the measurements, as commands.

use clap::Parser;
use clap::Subcommand;
use pinhaven_lab::demo;
use pinhaven_runtime::run_with_threads;
use std::process::ExitCode;

/// Threads of the lab's own process.
const THREADS: usize = 3;

/// Small deployments of real processes on this machine.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve requests from end to end and print what came of them.
    Demo,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = run_with_threads(THREADS, async {
        match cli.command {
            Command::Demo => demo::run().await,
        }
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("error: something did not hold; see above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
