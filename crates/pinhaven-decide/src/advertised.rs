//! State of targets that this entry has advertised to its peers, and which state to advertise next.
//!
//! Counts are sent in datagrams, which can be lost. A count is advertised when it changes, and repeated for a while in
//! full rounds, the periodic datagrams that cover all targets, also when it has fallen to zero: otherwise a lost
//! datagram would leave the peers counting requests that ended long ago.

use pinhaven_types::Microseconds;
use std::collections::HashMap;

/// Period after a change during which full rounds repeat a count of zero. Two full rounds fit into this period.
const REPEAT_PERIOD: Microseconds = Microseconds::from_ms(1_100);

/// State of a target as this entry knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvertisedState {
    /// Requests of this entry in flight at the target.
    pub in_flight: u32,
    /// When the target last reported its speed to this entry directly; zero if it never did.
    pub report_at: Microseconds,
}

#[derive(Debug, Clone, Copy, Default)]
struct Advertised {
    state: AdvertisedState,
    changed_at: Microseconds,
}

/// State last advertised for each target, by target key.
#[derive(Debug, Default)]
pub struct AdvertisedTargets(HashMap<u32, Advertised>);

impl AdvertisedTargets {
    /// Whether the state of a target should be advertised at `now`. Records the state as advertised.
    pub fn should_advertise(
        &mut self,
        target: u32,
        state: AdvertisedState,
        is_full_round: bool,
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
        is_report_new || has_changed || (is_full_round && (state.in_flight > 0 || is_recent))
    }

    /// Whether `state` holds a report that has not been advertised yet.
    pub fn is_report_new(&self, target: u32, state: &AdvertisedState) -> bool {
        let advertised = self.0.get(&target);
        is_report_new(&advertised.copied().unwrap_or_default().state, state)
    }

    /// Removes all targets except those for which `is_known` holds.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        self.0.retain(|target, _| is_known(*target));
    }

    /// Number of targets with advertised state.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing has been advertised yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn is_report_new(advertised: &AdvertisedState, current: &AdvertisedState) -> bool {
    current.report_at > advertised.report_at
}
