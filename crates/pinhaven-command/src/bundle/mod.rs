//! `pinhaven bundle`: commands about bundles.

mod check;
mod diff;
mod history;
mod key;
mod key_digest;
pub(crate) mod roll;
mod sign;
mod status;

use crate::CommandError;
use clap::Subcommand;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::read_bundle;
use pinhaven_document::Document;
use std::path::Path;

#[derive(Debug, Subcommand)]
pub(crate) enum BundleCommand {
    /// Create a key to sign bundles off with.
    Key(key::KeyArguments),
    /// Read the key of an organisation from standard input and print its digest.
    KeyDigest,
    /// Check a bundle and print every fault.
    Check(check::CheckArguments),
    /// Sign a bundle off.
    Sign(sign::SignArguments),
    /// Make a signed bundle the newest version.
    Roll(roll::RollArguments),
    /// Show which version is in force in each failure domain.
    Status(status::StatusArguments),
    /// List the versions and who signed them off.
    History(history::HistoryArguments),
    /// Show what changes from one bundle to another.
    Diff(diff::DiffArguments),
}

pub(crate) fn run(command: BundleCommand) -> Result<(), CommandError> {
    match command {
        BundleCommand::Key(arguments) => key::run(&arguments),
        BundleCommand::KeyDigest => key_digest::run(),
        BundleCommand::Check(arguments) => check::run(&arguments),
        BundleCommand::Sign(arguments) => sign::run(arguments),
        BundleCommand::Roll(arguments) => roll::run(&arguments),
        BundleCommand::Status(arguments) => status::run(&arguments),
        BundleCommand::History(arguments) => history::run(&arguments),
        BundleCommand::Diff(arguments) => diff::run(&arguments),
    }
}

/// Reads and checks a bundle file.
fn read(file: &Path) -> Result<Bundle, CommandError> {
    let document = Document::read(file).map_err(|fault| CommandError::from_lines([fault]))?;
    read_bundle(&document).map_err(CommandError::from_lines)
}
