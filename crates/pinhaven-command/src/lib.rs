//! The command line of `pinhaven`, with one module per command.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 invalid arguments, 3 unknown outcome of a write.

mod bundle;
mod completions;
mod domains;
mod entry;
mod explain;
mod instances;
mod logging;
mod organisations;
mod output;
mod platform;
mod report;
mod settings;
mod targets;

use clap::Parser;
use clap::Subcommand;
use pinhaven_types::Help;
use std::ffi::OsString;
use std::fmt;
use std::process::ExitCode;

/// A load balancer for targets whose load shifts in milliseconds.
#[derive(Debug, Parser)]
#[command(name = "pinhaven", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an entry instance until it receives SIGTERM or SIGINT.
    Entry(entry::EntryArguments),
    /// Check, sign off and roll bundles, and see what is in force.
    #[command(subcommand)]
    Bundle(bundle::BundleCommand),
    /// Drain failure domains and restore them.
    #[command(subcommand)]
    Domains(domains::DomainsCommand),
    /// Explain what happened to one request, from the records of entries.
    Explain(explain::ExplainArguments),
    /// Draw refusals and answers over time, from the records of entries.
    Report(report::ReportArguments),
    /// List the entry instances.
    Instances(instances::InstancesArguments),
    /// List the targets as the entries see them.
    Targets(targets::TargetsArguments),
    /// List the organisations with their limits and requests, summed over the entries.
    Organisations(organisations::OrganisationsArguments),
    /// Check settings.
    #[command(subcommand)]
    Settings(settings::SettingsCommand),
    /// Print shell completions.
    Completions(completions::CompletionsArguments),
}

/// The error of a command: lines for standard error, advice, and whether the outcome of a write is unknown.
#[derive(Debug)]
pub(crate) struct CommandError {
    lines: Vec<String>,
    help: Option<&'static str>,
    is_outcome_unknown: bool,
}

impl CommandError {
    /// Creates an error with one message.
    fn new(message: impl fmt::Display) -> Self {
        Self::from_lines([message])
    }

    /// Creates an error of several lines.
    fn from_lines(lines: impl IntoIterator<Item = impl fmt::Display>) -> Self {
        Self {
            lines: lines.into_iter().map(|line| line.to_string()).collect(),
            help: None,
            is_outcome_unknown: false,
        }
    }

    /// Creates an error with the advice that the error type provides.
    fn with_help(error: impl fmt::Display + Help) -> Self {
        Self {
            help: Some(error.help()),
            ..Self::new(error)
        }
    }
}

/// Exit code for a write whose outcome is unknown.
const EXIT_OUTCOME_UNKNOWN: u8 = 3;

/// Parses the command-line arguments, runs the command and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(error) => {
            // A closed output doesn't change the exit code.
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(2));
        }
    };
    match run_command(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in &error.lines {
                eprintln!("error: {line}");
            }
            if let Some(help) = error.help {
                eprintln!("help: {help}");
            }
            if error.is_outcome_unknown {
                ExitCode::from(EXIT_OUTCOME_UNKNOWN)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

fn run_command(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Entry(arguments) => entry::run(&arguments),
        Command::Bundle(command) => bundle::run(command),
        Command::Domains(command) => domains::run(command),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Report(arguments) => report::run(&arguments),
        Command::Instances(arguments) => instances::run(&arguments),
        Command::Targets(arguments) => targets::run(&arguments),
        Command::Organisations(arguments) => organisations::run(&arguments),
        Command::Settings(command) => settings::run(&command),
        Command::Completions(arguments) => completions::run(&arguments),
    }
}
