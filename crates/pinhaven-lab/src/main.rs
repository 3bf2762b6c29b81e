//! The demo and the measurements, as commands.

use clap::Parser;
use clap::Subcommand;
use pinhaven_lab::demo;
use pinhaven_lab::measure;
use pinhaven_lab::measure::MeasureSettings;
use pinhaven_lab::measure::Part;
use pinhaven_lab::soak;
use pinhaven_lab::soak::SoakReport;
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
    /// Run random faults for a while and say whether anything that must hold did not.
    Soak {
        /// Seed of the faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Minutes.
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
    },
    /// Measure, and write the results to a folder.
    Measure {
        /// Only this part.
        #[arg(long, value_enum)]
        part: Option<Part>,
        /// Only cases whose names contain one of these, or end with one that ends in `$`.
        #[arg(long, value_delimiter = ',')]
        only: Vec<String>,
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

/// Prints what a soak found; whether it found nothing.
fn print_soak(seed: u64, report: &SoakReport) -> bool {
    println!("Seed {seed}, {} steps:", report.steps.len());
    for step in &report.steps {
        println!("  {step}");
    }
    for (name, told) in [
        ("with a home", &report.with_home),
        ("without a home", &report.without_home),
    ] {
        println!("Callers {name}: {:?} {:?}", told.repeatable, told.once);
    }
    for fault in &report.faults {
        println!("FAULT: {fault}");
    }
    println!("{} faults found.", report.faults.len());
    report.faults.is_empty()
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = run_with_threads(THREADS, async {
        match cli.command {
            Command::Demo => demo::run().await,
            Command::Soak { seed, minutes } => {
                let report = soak::run(seed, (minutes * 60_000.0) as u64).await?;
                Ok(print_soak(seed, &report))
            }
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
