//! The demo and the measurements, as commands.

use clap::Parser;
use clap::Subcommand;
use pinhaven_lab::demo;
use pinhaven_lab::measure;
use pinhaven_lab::measure::MeasureSettings;
use pinhaven_lab::measure::Part;
use pinhaven_runtime::run_with_threads;
use std::path::PathBuf;
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
    /// Measure, and write the results to a folder.
    Measure {
        /// Only this part.
        #[arg(long, value_enum)]
        part: Option<Part>,
        /// Only cases whose names contain this.
        #[arg(long)]
        only: Option<String>,
        /// Runs of each case.
        #[arg(long, default_value_t = 5)]
        runs: u64,
        /// Time of each run, in milliseconds.
        #[arg(long, default_value_t = 6_000)]
        run_ms: u64,
        /// Folder for the results.
        #[arg(long, default_value = "measurements")]
        folder: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = run_with_threads(THREADS, async {
        match cli.command {
            Command::Demo => demo::run().await,
            Command::Measure {
                part,
                only,
                runs,
                run_ms,
                folder,
            } => {
                let settings = MeasureSettings {
                    runs,
                    run_ms,
                    only,
                    folder,
                };
                measure::run(part, &settings).await.map(|()| true)
            }
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
