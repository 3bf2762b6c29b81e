//! `pinhaven settings`: commands about settings.

mod check;

use crate::CommandError;
use clap::Subcommand;

#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Check settings and print every fault.
    Check(check::CheckArguments),
}

pub(crate) fn run(command: &SettingsCommand) -> Result<(), CommandError> {
    match command {
        SettingsCommand::Check(arguments) => check::run(arguments),
    }
}
