//! `pinhaven domains`: drains failure domains and restores them.
//!
//! An order is a new version of the bundle that differs from the newest one in its drained failure domains only. It is
//! signed off and rolled like any other version. If another operator rolls a version at the same time, the order is
//! given again on top of that version.

use crate::CommandError;
use crate::bundle::roll::check_and_roll;
use crate::output::FormatArguments;
use crate::output::Row;
use crate::platform::PlatformArguments;
use crate::platform::list_entries;
use crate::platform::parse_head;
use crate::platform::run_calls;
use clap::Args;
use clap::Subcommand;
use pinhaven_bundle::Bundle;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_bundle::PrivateKey;
use pinhaven_bundle::SignedBundle;
use pinhaven_platform::BUNDLE_HEAD;
use pinhaven_platform::ObjectStore;
use pinhaven_platform::TableService;
use pinhaven_platform::bundle_object;
use pinhaven_types::FailureDomain;
use pinhaven_types::OperationId;
use pinhaven_types::SignerName;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Maximum number of versions of other operators on top of which an order is given again.
const ATTEMPTS_MAX: u32 = 5;

#[derive(Debug, Subcommand)]
pub(crate) enum DomainsCommand {
    /// Send nothing more to the targets of a failure domain.
    Drain(OrderArguments),
    /// Use the targets of a drained failure domain again.
    Restore(OrderArguments),
    /// List the failure domains of the targets, and at which entries they are drained.
    List(ListArguments),
}

#[derive(Debug, Args)]
pub(crate) struct OrderArguments {
    /// Name of the failure domain.
    domain: FailureDomain,
    /// Name of the person who signs off.
    #[arg(long)]
    signer: SignerName,
    /// File with the signer's private key.
    #[arg(long)]
    key: PathBuf,
    #[command(flatten)]
    platform: PlatformArguments,
}

#[derive(Debug, Args)]
pub(crate) struct ListArguments {
    #[command(flatten)]
    platform: PlatformArguments,
    #[command(flatten)]
    format: FormatArguments,
}

#[derive(Default, Serialize)]
struct DomainRow {
    failure_domain: String,
    targets: usize,
    is_drained: bool,
    /// Entries at which the order or its withdrawal is in force.
    entries_agreeing: usize,
    entries: usize,
}

impl Row for DomainRow {
    const HEADERS: &'static [&'static str] = &["failure domain", "targets", "state", "in force at"];

    fn cells(&self) -> Vec<String> {
        let state = if self.is_drained { "drained" } else { "in use" };
        vec![
            self.failure_domain.clone(),
            self.targets.to_string(),
            state.to_owned(),
            format!("{} of {} entries", self.entries_agreeing, self.entries),
        ]
    }
}

pub(crate) fn run(command: DomainsCommand) -> Result<(), CommandError> {
    match command {
        DomainsCommand::Drain(arguments) => give_order(&arguments, true),
        DomainsCommand::Restore(arguments) => give_order(&arguments, false),
        DomainsCommand::List(arguments) => list(&arguments),
    }
}

fn give_order(arguments: &OrderArguments, is_drained: bool) -> Result<(), CommandError> {
    let key = std::fs::read_to_string(&arguments.key).map_err(|error| {
        CommandError::new(format!("reading {}: {error}", arguments.key.display()))
    })?;
    let key: PrivateKey = key.parse().map_err(CommandError::with_help)?;
    let domain = &arguments.domain;
    let mut outcome = Ok(());
    for _ in 0..ATTEMPTS_MAX {
        let newest = run_calls(read_newest(&arguments.platform))?;
        let state = if is_drained { "drained" } else { "in use" };
        if newest.drained_domains.contains(domain) == is_drained {
            println!(
                "Failure domain {domain} is {state} in version {}.",
                newest.version
            );
            return Ok(());
        }
        let next = with_order(newest, domain, is_drained)?;
        let body = CanonicalBundle::new(next);
        let signed = SignedBundle::new(&body, arguments.signer.clone(), &key);
        let head = signed.head(OperationId::random());
        match run_calls(check_and_roll(&arguments.platform, &head, &body)) {
            Ok(()) => {
                println!(
                    "Failure domain {domain} is {state} from version {} on.",
                    head.version
                );
                return Ok(());
            }
            Err(error) if error.is_outcome_unknown => return Err(error),
            Err(error) => outcome = Err(error),
        }
    }
    outcome
}

/// The next version after `newest`, in which the failure domain is drained or not.
fn with_order(
    newest: Bundle,
    domain: &FailureDomain,
    is_drained: bool,
) -> Result<Bundle, CommandError> {
    let mut next = newest;
    next.version = next.version.next();
    if !is_drained {
        next.drained_domains.remove(domain);
        return Ok(next);
    }
    let mut targets = next.services.iter().flat_map(|service| &service.targets);
    if !targets.any(|target| target.failure_domain == *domain) {
        return Err(CommandError::new(format!(
            "no target of the newest version is in failure domain {domain}"
        )));
    }
    next.drained_domains.insert(domain.clone());
    Ok(next)
}

/// Reads the newest version.
async fn read_newest(platform: &PlatformArguments) -> Result<Bundle, CommandError> {
    let Some(row) = platform.table().read(BUNDLE_HEAD).await? else {
        return Err(CommandError::new("no version has been rolled"));
    };
    let head = parse_head(&row)?;
    let key = bundle_object(head.digest);
    let Some(bytes) = platform.objects().read(&key).await? else {
        return Err(CommandError::new(format!("object {key} does not exist")));
    };
    let body = CanonicalBundle::from_bytes(&bytes)
        .map_err(|error| CommandError::new(format!("object {key} is not a bundle: {error}")))?;
    if body.digest() != head.digest {
        return Err(CommandError::new(format!(
            "object {key} has another digest"
        )));
    }
    Ok(body.bundle().clone())
}

fn list(arguments: &ListArguments) -> Result<(), CommandError> {
    let table = arguments.platform.table();
    let (newest, listed) = run_calls(async {
        let newest = read_newest(&arguments.platform).await?;
        Ok::<_, CommandError>((newest, list_entries(&table).await?))
    })?;
    let mut rows: BTreeMap<&FailureDomain, DomainRow> = BTreeMap::new();
    for domain in &newest.drained_domains {
        rows.entry(domain).or_default();
    }
    for target in newest.services.iter().flat_map(|service| &service.targets) {
        rows.entry(&target.failure_domain).or_default().targets += 1;
    }
    let statuses: Vec<_> = listed
        .iter()
        .filter_map(|entry| entry.status.as_ref())
        .collect();
    for (domain, row) in &mut rows {
        row.failure_domain = domain.to_string();
        row.is_drained = newest.drained_domains.contains(*domain);
        row.entries = statuses.len();
        let agrees = |drained: bool| drained == row.is_drained;
        let agreeing = statuses
            .iter()
            .filter(|status| agrees(status.drained_domains.contains(*domain)));
        row.entries_agreeing = agreeing.count();
    }
    let rows: Vec<DomainRow> = rows.into_values().collect();
    arguments.format.print(&rows)
}
