//! Telling other entries which requests were under way when targets crashed.

use crate::entry::Entry;
use crate::peers::gossip_message::beat_of;
use crate::peers::news::NewsSocket;
use crate::peers::news::send_all;
use crate::peers::recipients::Occasion;
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

/// Requests in a datagram that tells of a crash just now: some 25 bytes each, so that it fits into one packet.
const TOLD_AT_ONCE: usize = 32;
/// Requests in another datagram, beside all else that it says.
pub(crate) const TOLD_BESIDE: usize = 8;
/// The shortest time between two datagrams that only tell of crashes, in milliseconds. A crash ends what several callers
/// had under way there, within a few milliseconds.
const TELL_PAUSE_MS: u64 = 10;

impl Entry {
    /// Tells all other entries at once of crashes that this one has seen, for ever.
    pub(crate) async fn tell_crashes(self: Arc<Self>, socket: Arc<NewsSocket>) {
        loop {
            let word = self.crashes.news.listen();
            let Some(audience) = self.crashes.take_audience() else {
                word.await;
                continue;
            };
            sleep_ms(TELL_PAUSE_MS).await;
            let message = self.crash_news();
            let told = self.recipients_for(audience);
            send_all(&self, &socket, &told, &message).await;
        }
    }

    /// Lets the exchanges with other entries begin at once when this one has seen a crash, for ever.
    pub(crate) async fn wake_for_crashes(self: Arc<Self>) {
        loop {
            let word = self.crashes.news.listen();
            if self.crashes.take_audience().is_none() {
                word.await;
                continue;
            }
            sleep_ms(TELL_PAUSE_MS).await;
            self.urgent_update.notify(usize::MAX);
        }
    }

    fn recipients_for(&self, audience: Audience) -> Vec<SocketAddr> {
        let recipients = self.recipients(Occasion::FirstHand, self.now());
        let serving = [recipients.close, recipients.close_far].concat();
        match audience {
            Audience::All => [serving, recipients.distant].concat(),
            Audience::Serving | Audience::Nobody => serving,
        }
    }

    fn crash_news(&self) -> News {
        let suspects = self.suspects_to_tell(TOLD_AT_ONCE, 1);
        let members = self.members.lock();
        News {
            beats: vec![beat_of(members.own())],
            suspects,
            ..News::default()
        }
    }

    /// What there is to tell of `most` requests that were there at so many crashes.
    pub(crate) fn suspects_to_tell(&self, most: usize, crashes_least: usize) -> Vec<Suspect> {
        let facts = self.crashes.to_tell(most, crashes_least, self.now());
        facts.iter().map(to_message).collect()
    }

    /// Takes in what another entry tells.
    pub(crate) fn hear_suspects(&self, suspects: &[Suspect]) {
        let facts: Vec<SuspectFacts> = suspects.iter().map(to_facts).collect();
        self.hear_crashes(&facts);
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

/// Crashes whose age a bad sender left out are missing.
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
