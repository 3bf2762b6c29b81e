//! `pinhaven bundle sign`: signs a bundle off.

use crate::CommandError;
use clap::Args;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PrivateKey;
use pinhaven_bundle::SignedBundle;
use pinhaven_types::SignerName;
use std::path::PathBuf;

#[derive(Debug, Args)]
pub(crate) struct SignArguments {
    /// Bundle file, JSON with comments.
    file: PathBuf,
    /// Name of the person who signs off.
    #[arg(long)]
    signer: SignerName,
    /// File with the signer's private key.
    #[arg(long)]
    key: PathBuf,
    /// File to write the signed bundle to.
    #[arg(long)]
    out: PathBuf,
}

pub(crate) fn run(arguments: SignArguments) -> Result<(), CommandError> {
    let bundle = CanonicalBundle::new(super::read(&arguments.file)?);
    let key = std::fs::read_to_string(&arguments.key).map_err(|error| {
        CommandError::new(format!("reading {}: {error}", arguments.key.display()))
    })?;
    let key: PrivateKey = key.parse().map_err(CommandError::with_help)?;
    let signed = SignedBundle::new(&bundle, arguments.signer, &key);
    let text = serde_json::to_string_pretty(&signed).map_err(CommandError::new)?;
    std::fs::write(&arguments.out, text).map_err(|error| {
        CommandError::new(format!("writing {}: {error}", arguments.out.display()))
    })?;
    println!(
        "Version {} with digest {} is signed off by {}.",
        signed.version, signed.digest, signed.signer
    );
    Ok(())
}
