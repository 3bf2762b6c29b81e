//! `pinhaven bundle roll`: makes a signed bundle the newest version.
//!
//! The body is written to the object store first; then one conditional write moves the head from the previous version
//! to the new one. If several operators roll at once, one write succeeds, and the others fail with an error that names
//! the signer of the version in the head. After a write whose outcome is unknown, the head is read again: the operation
//! id in the head shows whether the write took effect.

use crate::CommandError;
use crate::platform::PlatformArguments;
use crate::platform::parse_head;
use crate::platform::run_calls;
use clap::Args;
use pinhaven_bundle::BundleDelta;
use pinhaven_bundle::BundleHead;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::SignedBundle;
use pinhaven_platform::BUNDLE_HEAD;
use pinhaven_platform::Condition;
use pinhaven_platform::ObjectStore;
use pinhaven_platform::PlatformError;
use pinhaven_platform::TableService;
use pinhaven_platform::bundle_delta_object;
use pinhaven_platform::bundle_history;
use pinhaven_platform::bundle_object;
use pinhaven_types::BundleVersion;
use pinhaven_types::OperationId;
use std::path::PathBuf;

/// Maximum number of attempts to move the head after conflicts and unknown outcomes.
const ATTEMPTS_MAX: u32 = 5;

#[derive(Debug, Args)]
pub(crate) struct RollArguments {
    /// Signed bundle file.
    file: PathBuf,
    #[command(flatten)]
    platform: PlatformArguments,
}

pub(crate) fn run(arguments: &RollArguments) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(&arguments.file).map_err(|error| {
        CommandError::new(format!("reading {}: {error}", arguments.file.display()))
    })?;
    let signed: SignedBundle = serde_json::from_str(&text).map_err(|error| {
        let file = arguments.file.display();
        CommandError::new(format!("{file} is not a signed bundle: {error}"))
    })?;
    let head = signed.head(OperationId::random());
    let body = CanonicalBundle::new(signed.body);
    if body.digest() != head.digest {
        return Err(CommandError::new(
            "the body was changed after it was signed off; sign it again",
        ));
    }
    run_calls(check_and_roll(&arguments.platform, &head, &body))?;
    println!("Version {} is the newest.", head.version);
    Ok(())
}

/// Makes a signed version the newest one, if it follows the newest one.
pub(crate) async fn check_and_roll(
    platform: &PlatformArguments,
    head: &BundleHead,
    body: &CanonicalBundle,
) -> Result<(), CommandError> {
    let table = platform.table();
    let objects = platform.objects();
    objects
        .write(&bundle_object(head.digest), body.bytes().to_vec())
        .await?;
    write_delta(&objects, &table, head, body).await;
    let value = serde_json::to_string(head).map_err(CommandError::new)?;
    let mut outcome = Ok(());
    for _ in 0..ATTEMPTS_MAX {
        let head_row = table.read(BUNDLE_HEAD).await?;
        let (condition, newest) = match &head_row {
            None => (Condition::Absent, None),
            Some(row) => {
                let newest = parse_head(row)?;
                (Condition::Version(row.version.clone()), Some(newest))
            }
        };
        if newest
            .as_ref()
            .is_some_and(|newest| newest.operation == head.operation)
        {
            return write_history(&table, head, value).await;
        }
        check_follows(newest.as_ref(), head)?;
        match table.write(BUNDLE_HEAD, condition, value.clone()).await {
            Ok(_) => return write_history(&table, head, value).await,
            // The next read of the head shows whether another operator's write or this one took effect.
            Err(error @ (PlatformError::Conflict { .. } | PlatformError::Unknown { .. })) => {
                outcome = Err(error.into());
            }
            Err(error) => return Err(error.into()),
        }
    }
    outcome
}

/// Writes the difference from the newest version. Entries read the whole body if there is no difference.
async fn write_delta(
    objects: &impl ObjectStore,
    table: &impl TableService,
    head: &BundleHead,
    body: &CanonicalBundle,
) {
    let written = async {
        let row = table.read(BUNDLE_HEAD).await.ok()??;
        let newest: BundleHead = serde_json::from_str(&row.value).ok()?;
        if newest.version.next() != head.version {
            return None;
        }
        let before = objects.read(&bundle_object(newest.digest)).await.ok()??;
        let before = CanonicalBundle::from_bytes(&before).ok()?;
        let delta = BundleDelta::between(before.bundle(), body.bundle());
        let key = bundle_delta_object(head.version, head.digest);
        let bytes = serde_json::to_vec(&delta).ok()?;
        objects.write(&key, bytes).await.ok()
    };
    if written.await.is_none() && head.version.number() > 1 {
        eprintln!(
            "note: could not write the difference from the previous version; entries will read the whole body"
        );
    }
}

fn check_follows(newest: Option<&BundleHead>, head: &BundleHead) -> Result<(), CommandError> {
    let newest_version = newest.map_or(BundleVersion::NONE, |newest| newest.version);
    if newest_version.next() == head.version {
        return Ok(());
    }
    Err(match newest {
        Some(newest) if newest.version >= head.version => CommandError::new(format!(
            "version {} is the newest, signed off by {}; make yours version {} on top of it",
            newest.version,
            newest.signer,
            newest_version.next()
        )),
        _ => CommandError::new(format!(
            "version {newest_version} is the newest; the next one is {}, not {}",
            newest_version.next(),
            head.version
        )),
    })
}

/// Writes the version to the history. An existing row of the version holds the same head.
async fn write_history(
    table: &impl TableService,
    head: &BundleHead,
    value: String,
) -> Result<(), CommandError> {
    let key = bundle_history(head.version);
    match table.write(&key, Condition::Absent, value).await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(error) => {
            eprintln!(
                "warning: version {} is in the head but could not be added to the history: {error}",
                head.version
            );
            Ok(())
        }
    }
}
