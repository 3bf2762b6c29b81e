//! What an entry answers to a peer that asks for a version, step by step as entries do.

use crate::versions::history::MadePackage;
use crate::versions::history::PackageKey;
use crate::versions::instance::KeptDelta;
use crate::versions::message::AnswerUnderWay;
use crate::versions::message::CallNumber;
use crate::versions::message::End;
use crate::versions::message::Reply;
use crate::versions::message::Work;
use crate::versions::plan::Transfer;
use crate::versions::plan::VersionFault;
use crate::versions::world::World;
use pinhaven_agree::PART_BYTES_MAX;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
use std::rc::Rc;

/// Nanoseconds in a microsecond.
const NS_A_US: u64 = 1_000;

impl World<'_> {
    /// Takes a question in and answers it once the processor has time.
    pub(super) fn hear_question(
        &mut self,
        entry: usize,
        asker: usize,
        call: CallNumber,
        request: PartRequest,
    ) {
        if self.has_fault(|fault| *fault == VersionFault::AdvertisesButIsSilent { entry }) {
            return;
        }
        let cost_us = self.plan.costs.call_us + self.cost_of_package_us(entry, &request);
        let work = Work::Answer {
            asker,
            call,
            request,
        };
        self.work(entry, cost_us, work);
    }

    /// Processor time for making the package that a peer needs, if it is not kept.
    fn cost_of_package_us(&mut self, entry: usize, request: &PartRequest) -> u64 {
        if self.instances[entry].held <= request.held || self.claims_only(entry) {
            return 0;
        }
        let costs = self.plan.costs;
        if self.plan.transfer == Transfer::WholeInASecond {
            let key = self.key_for(entry, request);
            let routes: usize = key
                .steps
                .iter()
                .map(|step| self.history.routes(*step))
                .sum();
            return routes as u64 * costs.pack_ns / NS_A_US;
        }
        let kept = self.kept_package(entry, request);
        if kept.is_some() {
            return 0;
        }
        let made = self.make_package(entry, request);
        made.routes as u64 * costs.pack_ns / NS_A_US
    }

    fn claims_only(&self, entry: usize) -> bool {
        self.has_fault(|fault| *fault == VersionFault::AdvertisesButHasNone { entry })
    }

    /// The package that a peer has begun, or else the one that it needs, if it is kept.
    fn kept_package(&mut self, entry: usize, request: &PartRequest) -> Option<Rc<MadePackage>> {
        let named = self.instances[entry].package_named(request.package);
        if named.is_some() {
            return named;
        }
        let key = self.key_for(entry, request);
        self.instances[entry]
            .kept_package(|made| made.key.start == key.start && made.key.version() == key.version())
    }

    fn make_package(&mut self, entry: usize, request: &PartRequest) -> Rc<MadePackage> {
        let key = self.key_for(entry, request);
        let made = self.history.package(&key);
        self.instances[entry].keep_package(Rc::clone(&made));
        made
    }

    /// What leads a peer from what it holds to what this entry holds.
    fn key_for(&self, entry: usize, request: &PartRequest) -> PackageKey {
        let instance = &self.instances[entry];
        let deltas = instance.deltas_since(request.held);
        let deltas =
            deltas.filter(|deltas| !request.needs_whole && self.are_smaller(entry, deltas));
        match deltas {
            Some(deltas) => PackageKey {
                start: Some(request.held),
                steps: deltas.iter().map(|delta| delta.to).collect(),
            },
            None => PackageKey {
                start: None,
                steps: vec![instance.held],
            },
        }
    }

    /// Whether differences name less than there is in all. Where each carries all routes anyway it isn't asked.
    fn are_smaller(&self, entry: usize, deltas: &[KeptDelta]) -> bool {
        let held = self.instances[entry].held;
        let named: usize = deltas.iter().map(|delta| delta.size).sum();
        let all = self.history.services(held) + self.history.routes(held);
        self.plan.transfer == Transfer::WholeInASecond || named <= all
    }

    pub(super) fn answer(
        &mut self,
        entry: usize,
        asker: usize,
        call: CallNumber,
        request: PartRequest,
    ) {
        let reply = self.reply_to(entry, &request);
        let bytes = match &reply {
            Reply::Part(part) => part.bytes.len(),
            Reply::Whole { start, steps } => self.history.whole_transfer_bytes(&PackageKey {
                start: *start,
                steps: steps.clone(),
            }),
            _ => 0,
        };
        let answer = AnswerUnderWay {
            from: End::Entry(entry),
            to: asker,
            call,
            unsent_bytes: 0,
            segments_under_way: 0,
            reply,
        };
        self.begin_answer(bytes, answer);
    }

    fn reply_to(&mut self, entry: usize, request: &PartRequest) -> Reply {
        if self.instances[entry].held <= request.held || self.claims_only(entry) {
            return Reply::NothingNewer;
        }
        if self.plan.transfer == Transfer::WholeInASecond {
            let key = self.key_for(entry, request);
            return Reply::Whole {
                start: key.start,
                steps: key.steps,
            };
        }
        let kept = self.kept_package(entry, request);
        let made = kept.unwrap_or_else(|| self.make_package(entry, request));
        let reply = self.part_of(entry, request, &made);
        if self.has_fault(|fault| *fault == VersionFault::PackagesAreDropped) {
            self.instances[entry].forget_packages();
        }
        reply
    }

    fn part_of(&mut self, entry: usize, request: &PartRequest, made: &MadePackage) -> Reply {
        let now = self.now();
        let digest = made.package.digest();
        let has_begun = request.package == Some(digest);
        let offset = if has_begun { request.offset } else { 0 };
        let all = made.package.bytes();
        let rest = all.get(offset as usize..).unwrap_or_default();
        let length = rest.len().min(request.bytes_max).min(PART_BYTES_MAX);
        let giving = &mut self.instances[entry].giving;
        if offset == 0
            && let Err(away) = giving.begin(all.len(), now)
        {
            return Reply::Busy(away);
        }
        Reply::Part(Part {
            version: made.package.version(),
            package: digest,
            total_bytes: all.len() as u64,
            offset,
            bytes: rest[..length].to_vec(),
        })
    }
}
