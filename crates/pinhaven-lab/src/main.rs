//! The demo and the measurements, as commands.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
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
use pinhaven_lab::versions;
use pinhaven_lab::versions::Costs;
use pinhaven_lab::versions::Transfer;
use pinhaven_lab::versions::VersionChange;
use pinhaven_lab::versions::VersionsPlan;
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
        /// Entries that serve.
        #[arg(long)]
        entries: Option<usize>,
    },
    /// Send versions to all entries, in emulated time, and print when they are in force.
    Versions(VersionsArguments),
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

#[derive(Debug, Args)]
struct VersionsArguments {
    /// Routes, or routes that a version adds.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,5000,20000")]
    routes: Vec<usize>,
    /// Entries.
    #[arg(long, value_delimiter = ',', default_value = "18,100,300")]
    entries: Vec<usize>,
    /// Links, in megabits a second.
    #[arg(long, value_delimiter = ',', default_value = "10,200")]
    link_mbps: Vec<f64>,
    /// Only these changes.
    #[arg(long, value_enum, value_delimiter = ',')]
    change: Vec<VersionChange>,
    /// Only these ways for versions to travel.
    #[arg(long, value_enum, value_delimiter = ',')]
    transfer: Vec<Transfer>,
    /// Time after which a run ends, in seconds.
    #[arg(long, default_value_t = 60)]
    limit_s: u64,
    /// Measure what each step costs instead of taking the usual figures.
    #[arg(long)]
    measure_costs: bool,
    /// Seed of everything drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Plays all combinations that were asked for and prints them.
fn print_versions(arguments: &VersionsArguments) {
    let costs = match arguments.measure_costs {
        true => Costs::measure(),
        false => Costs::default(),
    };
    println!("Costs on a whole core, {costs}.");
    let mut rows = Vec::new();
    for change in chosen(&arguments.change) {
        for transfer in chosen(&arguments.transfer) {
            for plan in plans_of(arguments, change, costs) {
                let plan = plan.with_transfer(transfer);
                let names = [name_of(&change), name_of(&transfer)];
                rows.push(versions::row(names, &plan, &versions::play(&plan)));
            }
        }
    }
    pinhaven_lab::print_table(&versions::HEADS, &rows);
}

/// The plans of all sizes that were asked for.
fn plans_of(
    arguments: &VersionsArguments,
    change: VersionChange,
    costs: Costs,
) -> Vec<VersionsPlan> {
    let mut plans = Vec::new();
    for link_mbps in &arguments.link_mbps {
        for routes in &arguments.routes {
            for entries in &arguments.entries {
                let plan = VersionsPlan::new(*entries, *routes, change, arguments.seed);
                plans.push(VersionsPlan {
                    costs,
                    limit_ms: arguments.limit_s * 1_000,
                    ..plan.with_link_mbps(*link_mbps)
                });
            }
        }
    }
    plans
}

/// What was asked for, or all there is.
fn chosen<T: ValueEnum>(asked: &[T]) -> Vec<T> {
    match asked.is_empty() {
        true => T::value_variants().to_vec(),
        false => asked.to_vec(),
    }
}

fn name_of(value: &impl ValueEnum) -> String {
    let name = value.to_possible_value();
    name.map_or_else(String::new, |name| name.get_name().to_owned())
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
                let names = [name_of(of), name_of(day), policy.clone()];
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
                entries,
            } => {
                let change = |plan: &mut EmulationPlan| {
                    plan.load = load.unwrap_or(plan.load);
                    plan.probe_ms = probe_ms.unwrap_or(plan.probe_ms);
                    plan.update_interval_ms = news_ms.unwrap_or(plan.update_interval_ms);
                    plan.entries = entries.unwrap_or(plan.entries);
                };
                Ok(print_emulations(&days, deployment, &policies, seed, change))
            }
            Command::Versions(arguments) => {
                print_versions(&arguments);
                Ok(true)
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
