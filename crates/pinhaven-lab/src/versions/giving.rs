//! Serving a version to peers in emulated time.
//!
//! An entry answers a request with the next part of a package that leads from the peer's version to its own. It reuses
//! cached packages and refuses to start new transfers beyond its transfer budget, as a real entry does.

use crate::versions::history::BuiltPackage;
use crate::versions::history::PackageKey;
use crate::versions::instance::RetainedDelta;
use crate::versions::message::AnswerInFlight;
use crate::versions::message::CallNumber;
use crate::versions::message::Endpoint;
use crate::versions::message::Reply;
use crate::versions::message::Work;
use crate::versions::plan::Transfer;
use crate::versions::plan::VersionFault;
use crate::versions::world::World;
use pinhaven_agree::PART_BYTES_MAX;
use pinhaven_agree::Part;
use pinhaven_agree::PartRequest;
use std::rc::Rc;

/// Nanoseconds per microsecond.
const NS_PER_US: u64 = 1_000;

impl World<'_> {
    /// Queues the answer to a peer's request on the entry's processor.
    pub(super) fn receive_request(
        &mut self,
        entry: usize,
        asker: usize,
        call: CallNumber,
        request: PartRequest,
    ) {
        if self.has_fault(|fault| *fault == VersionFault::AdvertisesButIsSilent { entry }) {
            return;
        }
        let cost_us = self.plan.costs.call_us + self.packing_cost_us(entry, &request);
        let work = Work::Answer {
            asker,
            call,
            request,
        };
        self.work(entry, cost_us, work);
    }

    /// Processor time for building the package that a peer needs; 0 if the package is cached or nothing is sent.
    fn packing_cost_us(&mut self, entry: usize, request: &PartRequest) -> u64 {
        if self.instances[entry].held <= request.held || self.only_advertises(entry) {
            return 0;
        }
        let costs = self.plan.costs;
        if self.plan.transfer == Transfer::WholeInASecond {
            let key = self.package_key(entry, request);
            let routes: usize = key
                .steps
                .iter()
                .map(|step| self.history.routes(*step))
                .sum();
            return routes as u64 * costs.pack_ns / NS_PER_US;
        }
        let cached = self.cached_package(entry, request);
        if cached.is_some() {
            return 0;
        }
        let built = self.cache_new_package(entry, request);
        built.routes as u64 * costs.pack_ns / NS_PER_US
    }

    fn only_advertises(&self, entry: usize) -> bool {
        self.has_fault(|fault| *fault == VersionFault::AdvertisesButHasNone { entry })
    }

    /// The cached package that the peer has started to receive, or else the cached package that the peer needs.
    fn cached_package(&mut self, entry: usize, request: &PartRequest) -> Option<Rc<BuiltPackage>> {
        let resumed = self.instances[entry].find_package_by_digest(request.package);
        if resumed.is_some() {
            return resumed;
        }
        let key = self.package_key(entry, request);
        self.instances[entry].cached_package(|built| {
            built.key.start == key.start && built.key.version() == key.version()
        })
    }

    fn cache_new_package(&mut self, entry: usize, request: &PartRequest) -> Rc<BuiltPackage> {
        let key = self.package_key(entry, request);
        let built = self.history.package(&key);
        self.instances[entry].insert_package(Rc::clone(&built));
        built
    }

    /// Key of the package that leads from the peer's version to this entry's version.
    fn package_key(&self, entry: usize, request: &PartRequest) -> PackageKey {
        let instance = &self.instances[entry];
        let deltas = instance.deltas_since(request.held);
        let deltas = deltas
            .filter(|deltas| !request.needs_whole && self.is_smaller_than_whole(entry, deltas));
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

    /// Whether the differences name no more services and routes than the whole version has. Always true for
    /// [`Transfer::WholeInASecond`], where each difference carries all routes.
    fn is_smaller_than_whole(&self, entry: usize, deltas: &[RetainedDelta]) -> bool {
        let held = self.instances[entry].held;
        let changes: usize = deltas.iter().map(|delta| delta.size).sum();
        let all = self.history.services(held) + self.history.routes(held);
        self.plan.transfer == Transfer::WholeInASecond || changes <= all
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
        let answer = AnswerInFlight {
            from: Endpoint::Entry(entry),
            to: asker,
            call,
            unsent_bytes: 0,
            segments_in_flight: 0,
            reply,
        };
        self.begin_answer(bytes, answer);
    }

    fn reply_to(&mut self, entry: usize, request: &PartRequest) -> Reply {
        if self.instances[entry].held <= request.held || self.only_advertises(entry) {
            return Reply::NothingNewer;
        }
        if self.plan.transfer == Transfer::WholeInASecond {
            let key = self.package_key(entry, request);
            return Reply::Whole {
                start: key.start,
                steps: key.steps,
            };
        }
        let cached = self.cached_package(entry, request);
        let built = cached.unwrap_or_else(|| self.cache_new_package(entry, request));
        let reply = self.part_reply(entry, request, &built);
        if self.has_fault(|fault| *fault == VersionFault::PackagesAreDropped) {
            self.instances[entry].clear_packages();
        }
        reply
    }

    fn part_reply(&mut self, entry: usize, request: &PartRequest, built: &BuiltPackage) -> Reply {
        let now = self.now();
        let digest = built.package.digest();
        let is_resumed = request.package == Some(digest);
        let offset = if is_resumed { request.offset } else { 0 };
        let all = built.package.bytes();
        let remaining = all.get(offset as usize..).unwrap_or_default();
        let length = remaining.len().min(request.bytes_max).min(PART_BYTES_MAX);
        let budget = &mut self.instances[entry].transfer_budget;
        if offset == 0
            && let Err(retry_after) = budget.begin(all.len(), now)
        {
            return Reply::Busy(retry_after);
        }
        Reply::Part(Part {
            version: built.package.version(),
            package: digest,
            total_bytes: all.len() as u64,
            offset,
            bytes: remaining[..length].to_vec(),
        })
    }
}
