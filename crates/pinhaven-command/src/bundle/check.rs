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
    let organisations = bundle.organisations.as_deref().unwrap_or_default();
    let keys: usize = organisations.iter().map(|o| o.key_digests.len()).sum();
    let listed = match organisations.len() {
        0 => String::new(),
        count => format!(", {count} organisations with {keys} keys"),
    };
    println!(
        "Version {}: {} services with {targets} targets{listed}, no faults.",
        bundle.version,
        bundle.services.len()
    );
    Ok(())
}
