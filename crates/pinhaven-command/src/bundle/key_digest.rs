//! `pinhaven bundle key-digest`: prints the digest of an organisation's key, for `key_digests` of a bundle.
//!
//! The key comes from standard input, because arguments are visible in the list of processes and in shell histories.

use crate::CommandError;
use pinhaven_types::ApiKey;
use std::io::Read as _;

/// Maximum number of bytes read; a longer text is no key in any case.
const INPUT_BYTES_MAX: u64 = 4_096;

pub(crate) fn run() -> Result<(), CommandError> {
    let mut text = String::new();
    let read = std::io::stdin()
        .take(INPUT_BYTES_MAX)
        .read_to_string(&mut text);
    read.map_err(|error| CommandError::new(format!("reading the key: {error}")))?;
    // Only the line end is removed: a space in a key is a mistake that should be seen.
    let key = text.strip_suffix('\n').unwrap_or(&text);
    let key = key.strip_suffix('\r').unwrap_or(key);
    let key: ApiKey = key.parse().map_err(CommandError::new)?;
    println!("{}", key.digest());
    Ok(())
}
