//! What an entry has told the others of targets, and so what is worth telling.
//!
//! Counts are told by datagrams, which are lost now and then. So a count is told when it changes, and in
//! whole rounds again for a while, also when it is none any more: else a lost datagram would leave the
//! others with requests that ended long ago.

use pinhaven_types::Microseconds;
use std::collections::HashMap;

/// How long a count that changed is told again in whole rounds, though it is none any more; two such
/// rounds fit in.
const REPEAT_PERIOD: Microseconds = Microseconds::from_ms(1_100);

/// What is known of a target here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvertisedState {
    /// Requests of this entry that it holds.
    pub in_flight: u32,
    /// When it last told this entry how fast it is; zero when it never did.
    pub report_at: Microseconds,
}

#[derive(Debug, Clone, Copy, Default)]
struct Advertised {
    state: AdvertisedState,
    changed_at: Microseconds,
}

/// What was last told of each target.
#[derive(Debug, Default)]
pub struct AdvertisedTargets(HashMap<u32, Advertised>);

impl AdvertisedTargets {
    /// Whether what is known of a target is worth telling at `now`; it then counts as told.
    pub fn should_advertise(
        &mut self,
        target: u32,
        state: AdvertisedState,
        is_whole: bool,
        now: Microseconds,
    ) -> bool {
        let advertised = self.0.entry(target).or_default();
        let is_report_new = self::is_report_new(&advertised.state, &state);
        let has_changed = advertised.state.in_flight != state.in_flight;
        if has_changed {
            advertised.changed_at = now;
        }
        advertised.state = state;
        let is_recent = now.saturating_sub(advertised.changed_at) < REPEAT_PERIOD;
        is_report_new || has_changed || (is_whole && (state.in_flight > 0 || is_recent))
    }

    /// Whether a report that is known now was not told yet.
    pub fn is_report_new(&self, target: u32, state: &AdvertisedState) -> bool {
        let advertised = self.0.get(&target);
        is_report_new(&advertised.copied().unwrap_or_default().state, state)
    }

    /// Forgets all targets but those that are still there.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        self.0.retain(|target, _| is_known(*target));
    }

    /// How many targets something was told of.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing was told yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn is_report_new(advertised: &AdvertisedState, current: &AdvertisedState) -> bool {
    current.report_at > advertised.report_at
}
