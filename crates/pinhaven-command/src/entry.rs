//! `pinhaven entry`: runs an entry instance.

use crate::CommandError;
use crate::logging;
use clap::Args;
use pinhaven_document::Document;
use pinhaven_document::Fault;
use pinhaven_entry::EntryEnvironment;
use pinhaven_settings::Settings;
use pinhaven_settings::read_settings;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

#[derive(Debug, Args)]
pub(crate) struct EntryArguments {
    /// Settings file, JSON with comments.
    #[arg(long)]
    settings: PathBuf,
}

pub(crate) fn run(arguments: &EntryArguments) -> Result<(), CommandError> {
    let settings = read(&arguments.settings).map_err(CommandError::from_lines)?;
    let log = logging::start(&settings.log).map_err(CommandError::new)?;
    let environment = match &settings.discovery {
        Some(discovery) => pinhaven_adapter::entry_environment(discovery),
        None => EntryEnvironment::default(),
    };
    let environment = environment.with_recorder(log.recorder(settings.instance_id.as_str()));
    let file = arguments.settings.clone();
    let environment = environment.with_settings_reader(Arc::new(move || {
        read(&file).map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            faults.join("; ")
        })
    }));
    let result = pinhaven_entry::run_entry(settings, environment);
    log.finish();
    match result {
        Ok(true) => Ok(()),
        Ok(false) => Err(CommandError::new(
            "the process stopped before all requests in flight were finished",
        )),
        Err(error) => Err(CommandError::with_help(error)),
    }
}

fn read(file: &Path) -> Result<Settings, Vec<Fault>> {
    let document = Document::read(file).map_err(|fault| vec![fault])?;
    read_settings(&document)
}
