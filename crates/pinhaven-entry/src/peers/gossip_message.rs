//! Converts between the rows of members and the messages of the protocol between entries.

use pinhaven_agree::Heartbeat;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_peer::Beat;
use pinhaven_peer::Identity;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::net::SocketAddr;

/// Maximum number of members in one message.
pub(crate) const HEARTBEATS_MAX: usize = 20;

/// The first heartbeat, which is the sender's, and random other ones.
pub(crate) fn sample_heartbeats(mut heartbeats: Vec<Heartbeat>) -> Vec<Beat> {
    if heartbeats.len() > HEARTBEATS_MAX {
        fastrand::shuffle(&mut heartbeats[1..]);
    }
    heartbeats
        .iter()
        .take(HEARTBEATS_MAX)
        .map(to_beat)
        .collect()
}

/// Heartbeat of the entry that writes `row` itself.
pub(crate) fn own_beat(row: &MemberRow) -> Beat {
    to_beat(&Heartbeat::of(row))
}

pub(crate) fn to_beat(heartbeat: &Heartbeat) -> Beat {
    Beat {
        incarnation: to_bytes(&heartbeat.incarnation),
        heartbeat: heartbeat.number,
        state: heartbeat.state as u32,
        version: heartbeat.version.number(),
        epoch: heartbeat.epoch,
        demand: heartbeat.demand.per_second(),
        age_ms: heartbeat.age.as_ms().ceil() as u32,
        lacks_store: heartbeat.lacks_store,
    }
}

pub(crate) fn identity_of(row: &MemberRow) -> Identity {
    Identity {
        incarnation: to_bytes(&row.incarnation),
        instance_id: row.instance_id.to_string(),
        failure_domain: row.failure_domain.to_string(),
        caller_address: row.caller_address.to_string(),
        peer_address: row.peer_address.to_string(),
        region: row
            .region
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        capacity: row.capacity.per_second(),
    }
}

/// The row of a described member and the age of its heartbeat, which is among `beats`.
pub(crate) fn row_of(identity: Identity, beats: &[Beat]) -> Option<(MemberRow, Microseconds)> {
    let beat = beats
        .iter()
        .find(|beat| beat.incarnation == identity.incarnation)?;
    let heartbeat = to_heartbeat(beat)?;
    let row = MemberRow {
        incarnation: heartbeat.incarnation,
        instance_id: identity.instance_id.parse().ok()?,
        failure_domain: identity.failure_domain.parse().ok()?,
        region: identity.region.parse().ok(),
        capacity: RequestRate::new(identity.capacity),
        demand: heartbeat.demand,
        caller_address: identity.caller_address.parse().ok()?,
        peer_address: identity.peer_address.parse().ok()?,
        state: heartbeat.state,
        heartbeat: heartbeat.number,
        version: heartbeat.version,
        epoch: heartbeat.epoch,
        lacks_store: heartbeat.lacks_store,
    };
    Some((row, heartbeat.age))
}

pub(crate) fn to_heartbeat(beat: &Beat) -> Option<Heartbeat> {
    Some(Heartbeat {
        incarnation: to_incarnation(&beat.incarnation)?,
        number: beat.heartbeat,
        state: to_state(beat.state),
        version: BundleVersion::new(beat.version),
        epoch: beat.epoch,
        demand: RequestRate::new(beat.demand),
        lacks_store: beat.lacks_store,
        age: Microseconds::from_ms(u64::from(beat.age_ms)),
    })
}

/// Converts the number of a state. An unknown number, from another release, counts as [`MemberState::Gone`], so that no
/// request is sent to that entry.
pub(crate) fn to_state(number: u32) -> MemberState {
    [
        MemberState::Starting,
        MemberState::Ready,
        MemberState::Stopping,
    ]
    .into_iter()
    .find(|state| *state as u32 == number)
    .unwrap_or(MemberState::Gone)
}

pub(crate) fn peer_address_of(identity: &Identity) -> Option<SocketAddr> {
    identity.peer_address.parse().ok()
}

pub(crate) fn incarnation_of(identity: &Identity) -> Option<Incarnation> {
    to_incarnation(&identity.incarnation)
}

pub(crate) fn to_bytes(incarnation: &Incarnation) -> Vec<u8> {
    incarnation.to_bytes().to_vec()
}

pub(crate) fn to_incarnation(bytes: &[u8]) -> Option<Incarnation> {
    Some(Incarnation::from_bytes(bytes.try_into().ok()?))
}
