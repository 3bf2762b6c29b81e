//! Counts of requests per organisation, so that operators see who sends much, who waits and who is refused.
//!
//! Callers choose how many organisations are active, and metrics take room for each name. Metrics and the status
//! therefore name the organisations with the most requests and sum the rest.

use crate::callers::job::Job;
use crate::entry::Entry;
use crate::versions::organisations::OrganisationIndex;
use crate::watch::latencies::Outcome;
use crate::wire::problem::Problem;
use http::Response;
use parking_lot::Mutex;
use pinhaven_bundle::Organisation;
use pinhaven_bundle::RateLimit;
use pinhaven_limits::OrganisationKey;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;
use pinhaven_types::Microseconds;
use pinhaven_types::OrganisationName;
use serde::Deserialize;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// Path that serves the status of all organisations.
pub(crate) const PATH: &str = "/organisations";
/// Maximum number of organisations with a name of their own in metrics and in the status.
const NAMED_MAX: usize = 20;
/// Name of the sum of the other organisations. An organisation of this name is added to the sum.
const OTHER: &str = "other";

/// Counts of the requests of an organisation since the start of the entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationCounts {
    /// Requests that have ended: answered, refused or abandoned.
    pub requests: u64,
    /// Requests answered within the aim of their route, or on a route without an aim.
    pub in_aim: u64,
    /// Requests answered later.
    pub late: u64,
    /// Requests whose caller disconnected before the answer.
    pub caller_left: u64,
    /// Refused requests by reason.
    pub refused: BTreeMap<String, u64>,
}

impl OrganisationCounts {
    fn add_refused(&mut self, reason: &str, number: u64) {
        match self.refused.get_mut(reason) {
            Some(count) => *count += number,
            None => {
                self.refused.insert(reason.to_owned(), number);
            }
        }
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.in_aim += other.in_aim;
        self.late += other.late;
        self.caller_left += other.caller_left;
        for (reason, number) in &other.refused {
            self.add_refused(reason, *number);
        }
    }
}

/// Status of an organisation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Name of the organisation; `other` for the sum of several.
    pub name: String,
    /// Limit in the version in force, if it sets one.
    #[serde(default)]
    pub limit: Option<RateLimit>,
    /// Present use over all entries, in requests per second; `None` if the entry doesn't know it.
    #[serde(default)]
    pub use_per_s: Option<f64>,
    /// Counts of this entry.
    #[serde(flatten)]
    pub counts: OrganisationCounts,
}

impl OrganisationStatus {
    /// Keeps the organisations with the most requests, in this order, and sums the others.
    pub fn largest(mut all: Vec<Self>) -> Vec<Self> {
        all.sort_by(|a, b| {
            let rank = |status: &Self| (status.name == OTHER, Reverse(status.counts.requests));
            rank(a).cmp(&rank(b)).then_with(|| a.name.cmp(&b.name))
        });
        if all.len() <= NAMED_MAX {
            return all;
        }
        let mut sum = Self {
            name: OTHER.to_owned(),
            ..Self::default()
        };
        for status in all.drain(NAMED_MAX..) {
            sum.counts.add(&status.counts);
            if let Some(use_per_s) = status.use_per_s {
                sum.use_per_s = Some(sum.use_per_s.unwrap_or_default() + use_per_s);
            }
        }
        all.push(sum);
        all
    }
}

/// Counts of all organisations.
#[derive(Debug, Default)]
pub(crate) struct OrganisationCounters {
    by_name: Mutex<BTreeMap<OrganisationName, OrganisationCounts>>,
}

impl OrganisationCounters {
    fn record(&self, name: &OrganisationName, change: impl FnOnce(&mut OrganisationCounts)) {
        let mut by_name = self.by_name.lock();
        if !by_name.contains_key(name) {
            by_name.insert(name.clone(), OrganisationCounts::default());
        }
        if let Some(counts) = by_name.get_mut(name) {
            counts.requests += 1;
            change(counts);
        }
    }

    /// Counts a request that was refused before it was dispatched.
    pub(crate) fn record_problem(&self, organisation: &Organisation, problem: &Problem) {
        self.record(&organisation.name, |counts| {
            counts.add_refused(problem.reason, 1);
        });
    }

    /// Forgets the organisations that a new version no longer lists, so that versions that rename organisations don't
    /// fill the memory.
    pub(crate) fn retain_listed(&self, listed: Option<&OrganisationIndex>) {
        let is_listed =
            |name: &OrganisationName| listed.is_some_and(|all| all.named(name).is_some());
        self.by_name.lock().retain(|name, _| is_listed(name));
    }
}

impl Entry {
    /// Counts the end of a request for its organisation, if it has one. A forwarded request is counted by the entry that
    /// its caller sent it to.
    pub(crate) fn count_for_organisation(
        &self,
        job: &Job,
        outcome: Outcome,
        elapsed: Microseconds,
    ) {
        let Some(organisation) = job.organisation.as_ref().filter(|_| !job.is_forwarded) else {
            return;
        };
        let aim = job
            .routed
            .config()
            .map(|route| Microseconds::from_ms(route.aim_ms));
        let is_in_aim = aim.is_none_or(|aim| elapsed.plus(job.prior_wait) <= aim);
        self.organisation_counters
            .record(&organisation.name, |counts| match outcome {
                Outcome::Answered if is_in_aim => counts.in_aim += 1,
                Outcome::Answered => counts.late += 1,
                Outcome::CallerLeft => counts.caller_left += 1,
                Outcome::Refused(reason) => counts.add_refused(reason.name(), 1),
            });
    }

    /// Status of all organisations of the version in force.
    pub(crate) fn organisations(&self) -> Vec<OrganisationStatus> {
        let snapshot = self.snapshot.load();
        let usage: HashMap<OrganisationKey, f64> = self
            .limits
            .usage(self.now())
            .into_iter()
            .map(|usage| (usage.key, usage.rate_per_s))
            .collect();
        let by_name = self.organisation_counters.by_name.lock();
        let listed = snapshot.bundle().organisations.iter().flatten();
        let status = |organisation: &Organisation| OrganisationStatus {
            name: organisation.name.to_string(),
            limit: organisation.limit,
            use_per_s: usage
                .get(&OrganisationKey::new(&organisation.name))
                .copied(),
            counts: by_name.get(&organisation.name).cloned().unwrap_or_default(),
        };
        listed.map(status).collect()
    }
}

/// Answers a request for the status of all organisations.
pub(crate) fn answer(entry: &Entry) -> Response<AnyBody> {
    // Serializing names and numbers can't fail.
    Response::new(whole_body(
        serde_json::to_vec(&entry.organisations()).unwrap_or_default(),
    ))
}

/// Lines of the organisations in the Prometheus text format.
pub(crate) fn metric_lines(entry: &Entry) -> Vec<String> {
    let mut lines = Vec::new();
    for status in OrganisationStatus::largest(entry.organisations()) {
        let label = format!("organisation=\"{}\"", status.name);
        let OrganisationCounts {
            requests,
            in_aim,
            late,
            caller_left,
            refused,
        } = status.counts;
        let counts = [
            ("requests", requests),
            ("in_aim", in_aim),
            ("late", late),
            ("caller_left", caller_left),
        ];
        for (name, count) in counts {
            lines.push(format!(
                "pinhaven_organisation_{name}_total{{{label}}} {count}"
            ));
        }
        for (reason, count) in refused {
            lines.push(format!(
                "pinhaven_organisation_refused_total{{{label},reason=\"{reason}\"}} {count}"
            ));
        }
        if let Some(use_per_s) = status.use_per_s {
            lines.push(format!(
                "pinhaven_organisation_use_per_s{{{label}}} {use_per_s:.1}"
            ));
        }
        if let Some(limit) = status.limit {
            let limit_per_s = limit.requests_per_s;
            lines.push(format!(
                "pinhaven_organisation_limit_per_s{{{label}}} {limit_per_s}"
            ));
        }
    }
    lines
}
