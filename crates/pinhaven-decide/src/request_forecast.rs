//! The life of a request under the policy [`Forecast`](pinhaven_bundle::Policy::Forecast).
//!
//! - It is sent where the answer is expected first, if that is within its aim.
//! - Else it waits here for a slot, or for a target to turn fast again, the more urgent first. As long
//!   as no target could take it even late, it waits for a short share of its aim and is then refused.
//! - Once its aim can't be met any more it takes a slot that no request in time would want.
//! - While it is under way, its target's reports are looked at. When the aim would be missed there and
//!   met elsewhere, and it may be repeated, a hedge is sent.

use crate::event::AttemptId;
use crate::forecast;
use crate::forecast::Forecast;
use crate::forecast::Lane;
use crate::progress::Progress;
use crate::refusal::RefusalReason;
use crate::report::LoadReport;
use crate::request::Phase;
use crate::request::Turn;
use pinhaven_types::Microseconds;

/// Share of the aim that a request waits here at the most. A refusal within a quarter of the aim
/// leaves its caller the time for another try; the rest of that quarter is for the way.
const WAIT_SHARE: f32 = 0.18;
/// How often a waiting request looks again, in milliseconds: the speed of targets changes without
/// any request leaving its place.
const LOOK_AGAIN_MS: u64 = 15;
/// Share of the time to the aim that a forecast may fill for the request to be sent at once. The rest
/// is for the way to and from the caller, and for what the forecast does not know.
const AIM_FILL: f32 = 0.75;
/// A forecast up to this many times the work is good where the aim is shorter than the work.
const GOOD_FACTOR: f32 = 1.5;
/// Share of the time left that a late answer's forecast may fill.
const LATE_FILL: f32 = 0.8;
/// First look at a request under way, as a share of its work.
const FIRST_LOOK_SHARE: f32 = 0.3;
/// Time between two looks, as a share of its work.
const LOOK_SHARE: f32 = 0.2;
/// The shortest and the longest time between two looks, in milliseconds. A report is some 50 ms old
/// on average, so looking much more often shows nothing new.
const LOOK_MS: (f32, f32) = (12.0, 50.0);
/// A hedge must save at least this share of the work.
const HEDGE_GAIN_SHARE: f32 = 0.25;
/// A hedge of a request that is late either way must be this many times faster.
const LATE_HEDGE_FACTOR: f32 = 3.0;
/// By how much a hedge must raise the chance of an answer in time, while all slots are free. Hedges by that
/// chance bring answers in time on a calm day from 0.956 to 0.962 of the credit (3 runs without processor
/// time).
const HEDGE_CHANCE: f32 = 0.12;
/// Time for the way to a target and its answer's way back, in milliseconds.
const WAY_MS: f32 = 4.0;
/// Time for the answer's way to the caller, in milliseconds; timers fire late.
const WAY_BACK_MS: f32 = 16.0;
/// Weight of one answer in the measure of how full targets slow down.
const CROWDING_WEIGHT: f32 = 0.02;
/// The most that full targets are taken to slow down.
const CROWDING_MOST: f32 = 3.0;

impl Turn<'_> {
    /// Sends the request, lets it wait or refuses it.
    pub(crate) fn admit_by_forecast(&mut self) {
        if let Some(reason) = self.closed_until(self.wait_until()) {
            return self.refuse(reason);
        }
        if let Some(earliest) = self.earliest(Lane::Any)
            && self.is_good(&earliest)
            && self.is_its_turn()
        {
            return self.send_by_forecast(earliest);
        }
        let has_waited = self.now >= self.wait_until();
        let may_meet_aim = self.request.to_aim_ms(self.now) * AIM_FILL > self.work_ms();
        if may_meet_aim && !has_waited {
            return self.begin_wait();
        }
        match self
            .earliest(Lane::Spare)
            .filter(|spare| self.is_in_time(spare))
        {
            // There is a slot for a late answer; until it is taken, one in time may still come free.
            Some(_) if may_meet_aim => self.begin_wait(),
            Some(spare) => self.send_by_forecast(spare),
            None if has_waited => self.refuse(RefusalReason::Overloaded),
            None => self.begin_wait(),
        }
    }

    /// Looks again while the request waits.
    pub(crate) fn look_again(&mut self) {
        self.end_wait();
        self.admit_by_forecast();
    }

    fn send_by_forecast(&mut self, forecast: Forecast) {
        self.service.record_admission(false);
        let progress = Progress::begin(&forecast, self.now);
        let facts = forecast.facts(self.now);
        self.send(forecast.target, Some(facts));
        if let Some(sent) = self.request.sent.last_mut() {
            sent.progress = Some(progress);
        }
        self.plan_look(FIRST_LOOK_SHARE);
    }

    pub(crate) fn earliest(&mut self, lane: Lane) -> Option<Forecast> {
        let work_ms = self.work_ms();
        let tried = &self.request.tried;
        forecast::earliest(self.service, self.now, self.random, work_ms, tried, lane)
    }

    fn work_ms(&self) -> f32 {
        match &self.request.route {
            Some(route) => route.work_ms(),
            None => self.service.typical_ms(),
        }
    }

    fn wait_until(&self) -> Microseconds {
        let facts = &self.request.facts;
        let aim = self.request.aim();
        let most_us = aim.count() as f32 * WAIT_SHARE;
        let until = self.request.arrived.plus(Microseconds::new(most_us as u64));
        until.min(facts.deadline)
    }

    fn is_its_turn(&self) -> bool {
        let priority = self.request.priority(self.service);
        let most_urgent = self.service.most_urgent_waiting();
        most_urgent.is_none_or(|most_urgent| most_urgent <= priority)
    }

    fn is_good(&self, forecast: &Forecast) -> bool {
        let aim_ms = self.request.aim().as_ms() as f32;
        if self.work_ms() > aim_ms * AIM_FILL {
            // No target could ever meet this aim; the best that there is has to do.
            return forecast.admission_ms() <= self.work_ms() * GOOD_FACTOR;
        }
        forecast.admission_ms() <= self.request.to_aim_ms(self.now) * AIM_FILL
    }

    /// Whether a late answer would still come before the deadline, without a wait at the target.
    fn is_in_time(&self, forecast: &Forecast) -> bool {
        let deadline = self.request.facts.deadline;
        let left_ms = deadline.saturating_sub(self.now).as_ms() as f32;
        forecast.answer_ms <= left_ms * LATE_FILL
    }

    fn begin_wait(&mut self) {
        let priority = self.request.priority(self.service);
        self.service.begin_wait(priority);
        let look_at = self.now.plus(Microseconds::from_ms(LOOK_AGAIN_MS));
        self.request.phase = Phase::Waiting { until: look_at };
    }

    /// Plans the next look at a request under way, if a look could lead to anything.
    fn plan_look(&mut self, share: f32) {
        let facts = &self.request.facts;
        let may_hedge = facts.is_repeatable && facts.is_replayable && self.has_attempts_left();
        self.request.hedge_at = may_hedge.then(|| {
            let pause_ms = (self.work_ms() * share).clamp(LOOK_MS.0, LOOK_MS.1);
            self.now
                .plus(Microseconds::new((pause_ms * 1_000.0) as u64))
        });
    }

    /// Looks at the request's attempts, and sends a hedge if the aim would be missed without.
    pub(crate) fn look_at_attempts(&mut self) {
        if !self.has_attempts_left() {
            // The attempt that was left when this look was planned went to a retry.
            return;
        }
        self.advance_progress();
        let hedge = match self.likely_hedge() {
            Some(hedge) => Some(hedge),
            None => self.hedge_worth_it(),
        };
        if let Some(hedge) = hedge
            && self.service.hedge_budget.take()
        {
            self.service.count_hedge();
            self.send_by_forecast(hedge);
            return;
        }
        self.plan_look(LOOK_SHARE);
    }

    fn advance_progress(&mut self) {
        let (now, service) = (self.now, self.service);
        for sent in self.request.sent.iter_mut().filter(|sent| !sent.is_ended) {
            if let Some(progress) = &mut sent.progress {
                progress.advance(now, &sent.target, &service.speed);
            }
        }
    }

    /// A hedge by the chances that the attempts under way and another one are in time, where work keeps its
    /// speed. The fewer slots are free, the more it must bring.
    fn likely_hedge(&mut self) -> Option<Forecast> {
        let speed = &self.service.speed;
        let route = self.request.route.as_ref()?;
        if !speed.kept.is_likely() {
            return None;
        }
        let (work, left_ms) = (route.work(), self.request.to_aim_ms(self.now) - WAY_BACK_MS);
        let under_way = self.request.sent.iter().filter(|sent| !sent.is_ended);
        let chances = under_way
            .filter_map(|sent| sent.progress)
            .map(|progress| progress.miss_chance(work, left_ms, speed));
        let miss = chances.reduce(|all, one| all * one)?;
        if miss <= HEDGE_CHANCE {
            // Most looks end here, before all targets are looked at.
            return None;
        }
        let least = HEDGE_CHANCE / (1.0 - self.service.utilization(self.now)).max(HEDGE_CHANCE);
        if miss <= least {
            return None;
        }
        let earliest = self.earliest(Lane::Any)?;
        let slowdown = earliest.slowdown;
        let hedge_miss = work.miss_chance(0.0, left_ms - WAY_MS, slowdown, &self.service.speed);
        (miss * (1.0 - hedge_miss) > least).then_some(earliest)
    }

    fn hedge_worth_it(&mut self) -> Option<Forecast> {
        let work_ms = self.work_ms();
        let left_ms = self.least_left_ms(work_ms)?;
        let to_aim_ms = self.request.to_aim_ms(self.now);
        if left_ms <= to_aim_ms {
            return None;
        }
        let earliest = self.earliest(Lane::Any)?;
        let gain_ms = left_ms - earliest.answer_ms;
        let meets_aim = earliest.answer_ms <= to_aim_ms;
        let is_worth_it = meets_aim || earliest.answer_ms * LATE_HEDGE_FACTOR < left_ms;
        (is_worth_it && gain_ms > work_ms * HEDGE_GAIN_SHARE).then_some(earliest)
    }

    /// Time until the first of the attempts under way is expected to be answered, in milliseconds.
    fn least_left_ms(&self, work_ms: f32) -> Option<f32> {
        self.request
            .sent
            .iter()
            .filter(|sent| !sent.is_ended)
            .filter_map(|sent| sent.progress)
            .map(|progress| progress.time_left_ms(work_ms, &self.service.speed))
            .min_by(f32::total_cmp)
    }

    /// Learns from an answer how long the route's requests work, whether work keeps its speed, and how
    /// full targets slow down.
    pub(crate) fn learn_work(&mut self, attempt: AttemptId, report: Option<&LoadReport>) {
        let (now, service) = (self.now, self.service);
        let (Some(route), Some(report)) = (&self.request.route, report) else {
            return;
        };
        let Some(sent) = self.request.sent.get_mut(attempt.0 as usize) else {
            return;
        };
        let Some(progress) = &mut sent.progress else {
            return;
        };
        progress.advance(now, &sent.target, &service.speed);
        if !progress.is_crowded {
            service.speed.kept.record(route.work_ms(), progress.done());
        }
        let is_crowded = forecast::is_nearly_full(&sent.target, report.running as f32);
        let Some(work_ms) = progress.work_told_ms(&service.speed, is_crowded) else {
            return;
        };
        if progress.is_crowded {
            let factor = (work_ms / route.work_ms()).clamp(1.0, CROWDING_MOST);
            service.crowding.record(factor, CROWDING_WEIGHT);
        } else {
            route.record_work(work_ms);
        }
    }
}
