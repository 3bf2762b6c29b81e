//! The demo and the measurements, as commands.

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum as _;
use clap::builder::PossibleValue;
use pinhaven_lab::demo;
use pinhaven_lab::emulate;
use pinhaven_lab::emulate::Day;
use pinhaven_lab::emulate::Deployment;
use pinhaven_lab::emulate::EmulationPlan;
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
    /// Play the decisions against emulated targets, in emulated time.
    Emulate {
        /// Only these days.
        #[arg(long, value_enum, value_delimiter = ',')]
        days: Vec<Day>,
        /// Only this deployment.
        #[arg(long, value_enum)]
        deployment: Option<Deployment>,
        /// Policies, by their names in a bundle.
        #[arg(long, value_delimiter = ',', default_value = "two_choices,forecast")]
        policies: Vec<String>,
        /// Seed of everything drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Load, as a share of what all slots of the targets that are not slow do.
        #[arg(long)]
        load: Option<f64>,
        /// Age of a report at which a target is asked, in milliseconds; 0 for never.
        #[arg(long)]
        probe_ms: Option<f64>,
        /// Time between two rounds of news, in milliseconds.
        #[arg(long)]
        news_ms: Option<f64>,
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

/// Plays all combinations that were asked for and prints them; whether all policies have names.
fn print_emulations(
    days: &[Day],
    deployment: Option<Deployment>,
    policies: &[String],
    seed: u64,
    change: impl Fn(&mut EmulationPlan),
) -> bool {
    let name = |value: &dyn Fn() -> Option<PossibleValue>| {
        value().map_or_else(String::new, |value| value.get_name().to_owned())
    };
    let mut rows = Vec::new();
    for of in Deployment::value_variants()
        .iter()
        .filter(|of| deployment.is_none_or(|d| d == **of))
    {
        for day in Day::value_variants()
            .iter()
            .filter(|day| days.is_empty() || days.contains(day))
        {
            for policy in policies {
                let Ok(known) = serde_json::from_value(serde_json::json!(policy)) else {
                    eprintln!("There is no policy {policy:?}; see docs/INTERFACES.md.");
                    return false;
                };
                let mut plan = EmulationPlan::new(*of, *day, known, seed);
                change(&mut plan);
                let names = [
                    name(&|| of.to_possible_value()),
                    name(&|| day.to_possible_value()),
                    policy.clone(),
                ];
                rows.push(emulate::row(names, &emulate::emulate(&plan)));
            }
        }
    }
    pinhaven_lab::print_table(&emulate::HEADS, &rows);
    true
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
            Command::Emulate {
                days,
                deployment,
                policies,
                seed,
                load,
                probe_ms,
                news_ms,
            } => {
                let change = |plan: &mut EmulationPlan| {
                    plan.load = load.unwrap_or(plan.load);
                    plan.probe_ms = probe_ms.unwrap_or(plan.probe_ms);
                    plan.news_ms = news_ms.unwrap_or(plan.news_ms);
                };
                Ok(print_emulations(&days, deployment, &policies, seed, change))
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
