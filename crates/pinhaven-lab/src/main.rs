//! Commands for the demo, the soak, the emulations and the measurements.

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use pinhaven_bundle::Policy;
use pinhaven_lab::demo;
use pinhaven_lab::emulate;
use pinhaven_lab::emulate::Day;
use pinhaven_lab::emulate::Deployment;
use pinhaven_lab::emulate::EmulationPlan;
use pinhaven_lab::emulate::LOCALITY_HEADS;
use pinhaven_lab::emulate::LocalityDay;
use pinhaven_lab::emulate::locality_row;
use pinhaven_lab::measure;
use pinhaven_lab::measure::MeasureSettings;
use pinhaven_lab::measure::Part;
use pinhaven_lab::membership;
use pinhaven_lab::membership::MembershipPlan;
use pinhaven_lab::membership::PowerLoss;
use pinhaven_lab::soak;
use pinhaven_lab::soak::SoakReport;
use pinhaven_lab::versions;
use pinhaven_lab::versions::Costs;
use pinhaven_lab::versions::Transfer;
use pinhaven_lab::versions::VersionChange;
use pinhaven_lab::versions::VersionsPlan;
use pinhaven_runtime::run_with_threads;
use pinhaven_types::CrossingCost;
use std::path::PathBuf;
use std::process::ExitCode;

/// Worker threads of the lab process.
const THREADS: usize = 3;

/// Small deployments of real processes on this machine.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve requests end to end and print the results.
    Demo,
    /// Inject random faults and print every violated check.
    Soak {
        /// Seed of the random faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Duration in minutes.
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
    },
    /// Run the decision logic against emulated targets, in emulated time.
    Emulate {
        /// Run only these days.
        #[arg(long, value_enum, value_delimiter = ',')]
        days: Vec<Day>,
        /// Run only this deployment.
        #[arg(long, value_enum)]
        deployment: Option<Deployment>,
        /// Policies by their names in a bundle.
        #[arg(long, value_delimiter = ',', default_value = "two_choices,forecast")]
        policies: Vec<String>,
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Load as a share of the throughput of all slots of targets that are not slow.
        #[arg(long)]
        load: Option<f64>,
        /// Age of a report at which the target is probed, in milliseconds; 0 disables probes.
        #[arg(long)]
        probe_ms: Option<f64>,
        /// Interval between two rounds of datagrams among entries, in milliseconds.
        #[arg(long)]
        news_ms: Option<f64>,
        /// Number of entries.
        #[arg(long)]
        entries: Option<usize>,
    },
    /// Run the decision logic over several failure domains, in emulated time, and print what crosses between them.
    Locality {
        /// Run only these days.
        #[arg(long, value_enum, value_delimiter = ',')]
        days: Vec<LocalityDay>,
        /// Seeds of all random choices; the table has a row for each.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        /// Load as a share of the throughput of all slots of targets that are not slow.
        #[arg(long, default_value_t = 0.5)]
        load: f64,
        /// How expensive a crossing is; without it, the usual cost.
        #[arg(long)]
        crossing_cost: Option<CrossingCost>,
    },
    /// Run overloads against emulated targets with scarce slots, in emulated time, and print what the slots were used for.
    Overload {
        /// Run only these days.
        #[arg(long, value_enum, value_delimiter = ',')]
        days: Vec<Day>,
        /// Run this deployment.
        #[arg(long, value_enum, default_value = "scarce")]
        deployment: Deployment,
        /// Number of seeds, over which the results are summed.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Factors of the days' loads.
        #[arg(long, value_delimiter = ',', default_value = "1.0")]
        loads: Vec<f64>,
        /// Whether running work keeps the speed at which it started.
        #[arg(long)]
        fixed_speed: bool,
    },
    /// Distribute versions to all entries, in emulated time, and print when the versions are in force.
    Versions(VersionsArguments),
    /// Lose entries, in emulated time, and print for how long the others still name them to callers.
    Membership(MembershipArguments),
    /// Run measurements and write the results to a folder.
    Measure {
        /// Run only this part.
        #[arg(long, value_enum)]
        part: Option<Part>,
        /// Run only cases whose name contains one of these texts, or ends with it if the text ends in `$`.
        #[arg(long, value_delimiter = ',')]
        only: Vec<String>,
        /// Number of runs per case.
        #[arg(long, default_value_t = 5)]
        runs: u64,
        /// Duration of each run, in milliseconds.
        #[arg(long, default_value_t = 6_000)]
        run_ms: u64,
        /// Folder for the results.
        #[arg(long, default_value = "measurements")]
        folder: PathBuf,
    },
}

#[derive(Debug, Args)]
struct VersionsArguments {
    /// Number of routes, or of routes that a version adds.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,5000,20000")]
    routes: Vec<usize>,
    /// Number of entries.
    #[arg(long, value_delimiter = ',', default_value = "18,100,300")]
    entries: Vec<usize>,
    /// Rate of each entry's link, in megabits per second.
    #[arg(long, value_delimiter = ',', default_value = "10,200")]
    link_mbps: Vec<f64>,
    /// Run only these changes.
    #[arg(long, value_enum, value_delimiter = ',')]
    change: Vec<VersionChange>,
    /// Run only these transfers of versions between entries.
    #[arg(long, value_enum, value_delimiter = ',')]
    transfer: Vec<Transfer>,
    /// Time limit of a run after the last acknowledgement, in seconds.
    #[arg(long, default_value_t = 60)]
    limit_s: u64,
    /// Measure the cost of each step instead of using the default costs.
    #[arg(long)]
    measure_costs: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Args)]
struct MembershipArguments {
    /// Number of entries.
    #[arg(long, value_delimiter = ',', default_value = "17,100,300,472")]
    entries: Vec<usize>,
    /// Share of the entries that lose power.
    #[arg(long, value_delimiter = ',', default_value = "0,0.3")]
    lost_power: Vec<f64>,
    /// Share of the datagrams that are lost.
    #[arg(long, value_delimiter = ',', default_value = "0,0.2")]
    lost_datagrams: Vec<f64>,
    /// Run only without the store.
    #[arg(long)]
    without_store: bool,
    /// Time of the loss of power, in milliseconds; the run goes on for as long again.
    #[arg(long, default_value_t = 15_000)]
    lost_at_ms: u64,
    /// Seeds of all random choices.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seed: Vec<u64>,
}

/// Runs all combinations of the arguments and prints a table of the results.
fn print_membership(arguments: &MembershipArguments) {
    let mut rows = Vec::new();
    for entries in &arguments.entries {
        for share in &arguments.lost_power {
            for lost_datagrams in &arguments.lost_datagrams {
                for seed in &arguments.seed {
                    let loss = PowerLoss {
                        at_ms: arguments.lost_at_ms,
                        share: *share,
                    };
                    let plan = MembershipPlan {
                        has_store: !arguments.without_store,
                        duration_ms: 2 * arguments.lost_at_ms,
                        power_loss: (*share > 0.0).then_some(loss),
                        ..MembershipPlan::new(*entries, *seed).with_lost_datagrams(*lost_datagrams)
                    };
                    rows.push(membership::row(&plan, &membership::emulate(&plan)));
                }
            }
        }
    }
    pinhaven_lab::print_table(&membership::HEADS, &rows);
}

/// Runs all combinations of the arguments and prints a table of the results.
fn print_versions(arguments: &VersionsArguments) {
    let costs = match arguments.measure_costs {
        true => Costs::measure(),
        false => Costs::default(),
    };
    println!("Costs on a whole core, {costs}.");
    let mut rows = Vec::new();
    for change in selected(&arguments.change) {
        for transfer in selected(&arguments.transfer) {
            for plan in plans_for_sizes(arguments, change, costs) {
                let plan = plan.with_transfer(transfer);
                let names = [name_of(&change), name_of(&transfer)];
                rows.push(versions::row(names, &plan, &versions::emulate(&plan)));
            }
        }
    }
    pinhaven_lab::print_table(&versions::HEADS, &rows);
}

/// Plans for all link rates and numbers of routes and entries in the arguments.
fn plans_for_sizes(
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

/// The given values, or all values of the type if none are given.
fn selected<T: ValueEnum>(values: &[T]) -> Vec<T> {
    match values.is_empty() {
        true => T::value_variants().to_vec(),
        false => values.to_vec(),
    }
}

fn name_of(value: &impl ValueEnum) -> String {
    let name = value.to_possible_value();
    name.map_or_else(String::new, |name| name.get_name().to_owned())
}

/// Prints the report of a soak and returns whether the soak found no faults.
fn print_soak(seed: u64, report: &SoakReport) -> bool {
    println!("Seed {seed}, {} steps:", report.steps.len());
    for step in &report.steps {
        println!("  {step}");
    }
    for (name, callers) in [
        ("with a home", &report.with_home),
        ("without a home", &report.without_home),
    ] {
        println!(
            "Callers {name}: {:?} {:?}",
            callers.repeatable, callers.once
        );
    }
    for fault in &report.faults {
        println!("FAULT: {fault}");
    }
    println!("{} faults found.", report.faults.len());
    report.faults.is_empty()
}

/// Runs all combinations of the arguments and prints a table of the results. Returns `false` for an unknown policy.
fn print_emulations(
    days: &[Day],
    deployment: Option<Deployment>,
    policies: &[String],
    seed: u64,
    change: impl Fn(&mut EmulationPlan),
) -> bool {
    let mut rows = Vec::new();
    for candidate in Deployment::value_variants()
        .iter()
        .filter(|candidate| deployment.is_none_or(|only| only == **candidate))
    {
        for day in Day::value_variants()
            .iter()
            .filter(|day| days.is_empty() || days.contains(day))
        {
            for policy in policies {
                let Ok(parsed_policy) = serde_json::from_value(serde_json::json!(policy)) else {
                    eprintln!("There is no policy {policy:?}; see docs/INTERFACES.md.");
                    return false;
                };
                let mut plan = EmulationPlan::new(*candidate, *day, parsed_policy, seed);
                change(&mut plan);
                let names = [name_of(candidate), name_of(day), policy.clone()];
                rows.push(emulate::row(names, &emulate::emulate(&plan)));
            }
        }
    }
    pinhaven_lab::print_table(&emulate::HEADS, &rows);
    true
}

/// Runs the days over several failure domains and prints a table of the results.
fn print_localities(
    days: &[LocalityDay],
    seeds: &[u64],
    change: impl Fn(LocalityDay, u64) -> EmulationPlan,
) {
    let all_days = LocalityDay::value_variants().iter();
    let mut rows = Vec::new();
    for day in all_days.filter(|day| days.is_empty() || days.contains(day)) {
        for seed in seeds {
            let tally = emulate::emulate(&change(*day, *seed));
            rows.push(locality_row(format!("{} {seed}", name_of(day)), &tally));
        }
    }
    pinhaven_lab::print_table(&LOCALITY_HEADS, &rows);
}

/// Runs overloads and prints a table of the results.
fn print_overloads(
    days: &[Day],
    deployment: Deployment,
    (seeds, fixed): (u64, bool),
    loads: &[f64],
) {
    let mut rows = Vec::new();
    for day in days {
        for load in loads {
            let tallies = (1..=seeds).map(|seed| {
                let mut plan = EmulationPlan::new(deployment, *day, Policy::Forecast, seed);
                plan.load *= load;
                plan.target.has_fixed_speed |= fixed;
                emulate::emulate(&plan)
            });
            let name = format!("{} x {load}", name_of(day));
            rows.push(emulate::overload_row(name, &tallies.collect::<Vec<_>>()));
        }
    }
    pinhaven_lab::print_table(&emulate::OVERLOAD_HEADS, &rows);
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
            Command::Locality {
                days,
                seeds,
                load,
                crossing_cost,
            } => {
                let plan = |day, seed| EmulationPlan::for_locality(day, crossing_cost, load, seed);
                print_localities(&days, &seeds, plan);
                Ok(true)
            }
            Command::Overload {
                days,
                deployment,
                seeds,
                loads,
                fixed_speed,
            } => {
                print_overloads(&days, deployment, (seeds, fixed_speed), &loads);
                Ok(true)
            }
            Command::Versions(arguments) => {
                print_versions(&arguments);
                Ok(true)
            }
            Command::Membership(arguments) => {
                print_membership(&arguments);
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
            eprintln!("error: a check failed; see the output above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
