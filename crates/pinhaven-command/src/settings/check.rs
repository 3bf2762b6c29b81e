//! `pinhaven settings check`: checks settings and prints every fault.

use crate::CommandError;
use clap::Args;
use pinhaven_document::Document;
use pinhaven_settings::read_settings;
use std::path::PathBuf;

#[derive(Debug, Args)]
pub(crate) struct CheckArguments {
    /// Settings file, JSON with comments.
    file: PathBuf,
}

pub(crate) fn run(arguments: &CheckArguments) -> Result<(), CommandError> {
    let document =
        Document::read(&arguments.file).map_err(|fault| CommandError::from_lines([fault]))?;
    let settings = read_settings(&document).map_err(CommandError::from_lines)?;
    println!("Instance {}: no faults.", settings.instance_id);
    Ok(())
}
