//! Advertises to other entries which requests were in flight when targets crashed, and receives their evidence.
//!
//! A new crash is sent at once. Afterwards the evidence is repeated in datagrams and exchanges that are sent anyway, so
//! that a lost datagram is compensated.

use crate::entry::Entry;
use crate::peers::datagram_sender::DatagramSocket;
use crate::peers::datagram_sender::send_all;
use crate::peers::gossip_message::own_beat;
use crate::peers::recipients::RecipientKind;
use pinhaven_agree::UpdateScope;
use pinhaven_decide::Audience;
use pinhaven_decide::CrashedRun;
use pinhaven_decide::SuspectFacts;
use pinhaven_peer::News;
use pinhaven_peer::Suspect;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of requests in a datagram about a new crash. At about 25 bytes each they fit into one packet.
const SUSPECTS_PER_CRASH_DATAGRAM: usize = 32;
/// Maximum number of requests in any other message to a peer, which carries other data too.
pub(crate) const SUSPECTS_PER_DATAGRAM: usize = 8;
/// Delay before new crashes are sent, in milliseconds, and therefore the minimum interval between these datagrams. A
/// crash ends the requests of several callers within a few milliseconds; one datagram covers them all.
const ADVERTISE_DELAY_MS: u64 = 10;

impl Entry {
    /// Sends crashes that this entry observes to its peers at once. Runs until the process exits.
    pub(crate) async fn advertise_crashes(self: Arc<Self>, socket: Arc<DatagramSocket>) {
        loop {
            let audience_set = self.crashes.audience_set.listen();
            let Some(audience) = self.crashes.take_audience() else {
                audience_set.await;
                continue;
            };
            sleep_ms(ADVERTISE_DELAY_MS).await;
            let message = self.crash_datagram();
            let peers = self.recipients_for(audience);
            send_all(&self, &socket, RecipientKind::Crash, &peers, &message).await;
        }
    }

    /// Starts an exchange with peers at once when this entry observes a crash. Runs until the process exits.
    pub(crate) async fn wake_for_crashes(self: Arc<Self>) {
        loop {
            let audience_set = self.crashes.audience_set.listen();
            if self.crashes.take_audience().is_none() {
                audience_set.await;
                continue;
            }
            sleep_ms(ADVERTISE_DELAY_MS).await;
            self.urgent_update.notify(usize::MAX);
        }
    }

    fn recipients_for(&self, audience: Audience) -> Vec<SocketAddr> {
        let recipients = self.recipients(UpdateScope::Everyone, self.now());
        let serving = [recipients.serving_near, recipients.serving_far].concat();
        match audience {
            Audience::All => [serving, recipients.standby].concat(),
            Audience::Serving | Audience::Nobody => serving,
        }
    }

    fn crash_datagram(&self) -> News {
        let suspects = self.suspects_to_advertise(SUSPECTS_PER_CRASH_DATAGRAM, 1);
        let members = self.members.lock();
        News {
            beats: vec![own_beat(members.own())],
            suspects,
            ..News::default()
        }
    }

    /// Evidence on at most `suspects_max` requests that were in flight at `crashes_min` crashes or more, as messages.
    pub(crate) fn suspects_to_advertise(
        &self,
        suspects_max: usize,
        crashes_min: usize,
    ) -> Vec<Suspect> {
        let facts = self
            .crashes
            .advertised_facts(suspects_max, crashes_min, self.now());
        facts.iter().map(to_message).collect()
    }

    /// Merges the evidence that another entry sent.
    pub(crate) fn merge_suspects(&self, suspects: &[Suspect]) {
        let facts: Vec<SuspectFacts> = suspects.iter().map(to_facts).collect();
        self.merge_crash_facts(&facts);
    }
}

fn to_message(facts: &SuspectFacts) -> Suspect {
    let crashes = facts.crashes.iter();
    let (crashed_runs, crashed_ago_ms) = crashes
        .map(|(run, ago)| (run.hash(), ago.as_ms() as u32))
        .unzip();
    Suspect {
        print: facts.fingerprint.bits(),
        crashed_runs,
        crashed_ago_ms,
        unharmed: facts.successes,
    }
}

/// Crashes for which the message has no age are left out.
fn to_facts(suspect: &Suspect) -> SuspectFacts {
    let crashes = suspect.crashed_runs.iter().zip(&suspect.crashed_ago_ms);
    let crashes = crashes.map(|(run, ago_ms)| {
        let ago = Microseconds::from_ms(u64::from(*ago_ms));
        (CrashedRun::new(*run), ago)
    });
    SuspectFacts {
        fingerprint: RequestFingerprint::new(suspect.print),
        crashes: crashes.collect(),
        successes: suspect.unharmed,
    }
}
