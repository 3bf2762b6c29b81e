//! `pinhaven bundle diff`: shows what changes from one bundle to another.

use crate::CommandError;
use clap::Args;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::describe_changes;
use std::path::PathBuf;

#[derive(Debug, Args)]
pub(crate) struct DiffArguments {
    /// File with the old bundle.
    before: PathBuf,
    /// File with the new bundle.
    after: PathBuf,
}

pub(crate) fn run(arguments: &DiffArguments) -> Result<(), CommandError> {
    let before = CanonicalBundle::new(super::read(&arguments.before)?);
    let after = CanonicalBundle::new(super::read(&arguments.after)?);
    for line in describe_changes(before.bundle(), after.bundle()) {
        println!("{line}");
    }
    Ok(())
}
