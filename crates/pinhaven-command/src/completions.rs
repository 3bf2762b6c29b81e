//! `pinhaven completions`: prints shell completions.

use crate::Cli;
use crate::CommandError;
use clap::Args;
use clap::CommandFactory as _;
use clap_complete::Shell;

#[derive(Debug, Args)]
pub(crate) struct CompletionsArguments {
    /// Shell to generate completions for.
    shell: Shell,
}

pub(crate) fn run(arguments: &CompletionsArguments) -> Result<(), CommandError> {
    let mut command = Cli::command();
    clap_complete::generate(
        arguments.shell,
        &mut command,
        "pinhaven",
        &mut std::io::stdout(),
    );
    Ok(())
}
