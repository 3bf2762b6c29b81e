//! Division of a service's slots among organisations while the service is short of capacity.
//!
//! Answers the load of one organisation that sends several times its usual requests: without a division, it takes
//! slots in proportion to what it sends. Slots are divided by weighted max-min fairness: a request of an organisation
//! that has used more than its share leaves a free slot to a waiting request of one that has used less than its share,
//! within one level of urgency. The use is that of about the last second at this entry. Refused requests use nothing,
//! so callers that retry immediately gain nothing.

use pinhaven_types::Microseconds;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Time constant with which past use loses weight, in milliseconds.
const USE_PERIOD_MS: f32 = 1_000.0;
/// Minimum weight of an organisation.
const WEIGHT_MIN: f32 = 0.001;
/// Use below which an organisation without waiting requests is forgotten, in requests.
const FORGOTTEN_USE: f32 = 0.01;
/// Number of organisations from which those with little use are forgotten.
const ORGANISATIONS_BEFORE_CLEANUP: usize = 128;

/// The organisation of a request and its share of scarce slots.
#[derive(Debug, Clone, Copy)]
pub struct OrganisationShare {
    /// Key that identifies the organisation.
    pub key: u32,
    /// Weight in the division of slots.
    pub weight: f32,
    /// Priority from 0 (refused first) to 3, which takes precedence over the priority of the route.
    pub priority: Option<u8>,
}

/// Use of an organisation.
#[derive(Debug)]
struct Use {
    requests: f32,
    at: Microseconds,
    weight: f32,
    /// Urgency of the organisation's waiting requests.
    waiting: Vec<u8>,
}

impl Use {
    fn requests_at(&self, now: Microseconds) -> f32 {
        let age_ms = now.saturating_sub(self.at).as_ms() as f32;
        self.requests * (-age_ms / USE_PERIOD_MS).exp()
    }

    fn weight(&self) -> f32 {
        self.weight.max(WEIGHT_MIN)
    }
}

/// Use of the slots of a service by organisations, at this entry.
#[derive(Debug, Default)]
pub(crate) struct FairShare {
    uses: Mutex<HashMap<u32, Use>>,
}

impl FairShare {
    /// Records that a request of an organisation was sent to a target.
    pub(crate) fn record_use(&self, share: OrganisationShare, now: Microseconds) {
        let mut uses = self.lock();
        if uses.len() >= ORGANISATIONS_BEFORE_CLEANUP {
            uses.retain(|_, organisation| {
                !organisation.waiting.is_empty() || organisation.requests_at(now) > FORGOTTEN_USE
            });
        }
        let organisation = entry(&mut uses, share, now);
        organisation.requests = organisation.requests_at(now) + 1.0;
        organisation.at = now;
    }

    pub(crate) fn begin_wait(&self, share: OrganisationShare, urgency: u8, now: Microseconds) {
        let mut uses = self.lock();
        entry(&mut uses, share, now).waiting.push(urgency);
    }

    pub(crate) fn end_wait(&self, share: OrganisationShare, urgency: u8) {
        let mut uses = self.lock();
        if let Some(organisation) = uses.get_mut(&share.key)
            && let Some(position) = organisation.waiting.iter().position(|one| *one == urgency)
        {
            organisation.waiting.swap_remove(position);
        }
    }

    /// Whether a request of an organisation may take a free slot. It may not if the organisation has used more than its
    /// share and one that has used less than its share waits at this urgency.
    pub(crate) fn has_turn(
        &self,
        share: OrganisationShare,
        urgency: u8,
        now: Microseconds,
    ) -> bool {
        let uses = self.lock();
        let Some(own) = uses.get(&share.key) else {
            return true;
        };
        let (requests, weights) = uses
            .values()
            .fold((0.0, 0.0), |(requests, weights), other| {
                (requests + other.requests_at(now), weights + other.weight())
            });
        let fair = requests / weights;
        // One request may be more than the share of a small organisation.
        if own.requests_at(now) - 1.0 <= fair * own.weight() {
            return true;
        }
        let is_below_share = |other: &Use| other.requests_at(now) < fair * other.weight();
        let mut waiting = uses
            .values()
            .filter(|other| other.waiting.contains(&urgency));
        !waiting.any(is_below_share)
    }

    /// Carries over the use, but not the waiting requests, which wait at the previous version.
    pub(crate) fn take_over(&self, previous: &Self) {
        let previous = previous.lock();
        let mut uses = self.lock();
        for (key, organisation) in previous.iter() {
            let organisation = Use {
                waiting: Vec::new(),
                ..*organisation
            };
            uses.insert(*key, organisation);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u32, Use>> {
        self.uses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn entry(uses: &mut HashMap<u32, Use>, share: OrganisationShare, now: Microseconds) -> &mut Use {
    let organisation = uses.entry(share.key).or_insert(Use {
        requests: 0.0,
        at: now,
        weight: share.weight,
        waiting: Vec::new(),
    });
    organisation.weight = share.weight;
    organisation
}
