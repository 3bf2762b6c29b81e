//! `pinhaven bundle key`: creates a key to sign bundles off with.

use crate::CommandError;
use clap::Args;
use pinhaven_bundle::PrivateKey;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;

/// Mode of a key file: only the owner may read and write it.
const KEY_FILE_MODE: u32 = 0o600;

#[derive(Debug, Args)]
pub(crate) struct KeyArguments {
    /// File to write the private key to; it must not exist.
    #[arg(long)]
    out: PathBuf,
}

pub(crate) fn run(arguments: &KeyArguments) -> Result<(), CommandError> {
    let key = PrivateKey::random();
    let file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(&arguments.out);
    let written = file.and_then(|mut file| writeln!(file, "{}", key.to_secret_text()));
    written.map_err(|error| {
        CommandError::new(format!("writing {}: {error}", arguments.out.display()))
    })?;
    println!("{}", key.public_key());
    Ok(())
}
