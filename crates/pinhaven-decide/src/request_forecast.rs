//! Admission and hedging of a request under the policy [`Forecast`](pinhaven_bundle::Policy::Forecast).
//!
//! - A request is sent to the target with the earliest expected answer, if this answer meets the aim (the latency
//!   objective of the request).
//! - Otherwise the request waits at this entry for a free slot or for a slow target to recover. Requests of a higher
//!   priority go first, unless they can't be answered within their aims any more. A request for which no target has a
//!   slot, not even for a late answer, is refused after a short share of its aim.
//! - A request that can't meet its aim any more is sent only to a slot that requests within their aim don't need.
//! - While an attempt is in flight, the reports of its target are checked. If the attempt is expected to miss the aim,
//!   and another target is expected to meet the aim or to answer much earlier, a repeatable request is hedged.

use crate::event::Action;
use crate::event::AttemptId;
use crate::forecast;
use crate::forecast::Forecast;
use crate::forecast::TargetFilter;
use crate::locality::LocalChoice;
use crate::progress::Progress;
use crate::refusal::RefusalReason;
use crate::report::LoadReport;
use crate::request::EventHandler;
use pinhaven_types::Microseconds;

/// Maximum wait at this entry, as a share of the aim. A refusal within a quarter of the aim leaves the caller time for
/// another try; the rest of that quarter is for transmission.
const AIM_WAIT_SHARE_MAX: f32 = 0.18;
/// Interval at which admission of a waiting request is retried, in milliseconds. The speed of a target may change while
/// no request ends, so that no event announces the change.
const ADMISSION_RETRY_MS: u64 = 15;
/// Maximum share of the time to the aim that a forecast may take for the request to be sent at once. The rest is for
/// transmission to and from the caller and for forecast errors.
const AIM_FILL_SHARE_MAX: f32 = 0.75;
/// Maximum acceptable forecast where the aim is too short for the work, as a multiple of the work.
const ACCEPTABLE_FACTOR: f32 = 1.5;
/// Maximum share of the time to the deadline that the forecast of a late answer may take.
const DEADLINE_FILL_SHARE_MAX: f32 = 0.8;
/// Time from sending a request to its first check, as a share of its work.
const FIRST_CHECK_SHARE: f32 = 0.3;
/// Time between two further checks, as a share of the work.
const CHECK_SHARE: f32 = 0.2;
/// Minimum and maximum time between two checks, in milliseconds. A report is about 50 ms old on average, so that much
/// more frequent checks would not find new reports.
const CHECK_INTERVAL_MS: (f32, f32) = (12.0, 50.0);
/// Minimum time that a hedge must save, as a share of the work.
const HEDGE_GAIN_SHARE_MIN: f32 = 0.25;
/// Factor by which a hedge must be faster than the attempts in flight if the hedge would miss the aim too.
const LATE_HEDGE_FACTOR: f32 = 3.0;
/// Minimum gain in the probability of meeting the aim that justifies a hedge while all slots are free. Hedges chosen by
/// this probability let more requests meet their aim also at low load.
const HEDGE_CHANCE_GAIN_MIN: f32 = 0.12;
/// Transmission time to a target and back, in milliseconds.
const ROUND_TRIP_MS: f32 = 4.0;
/// Transmission time of the answer to the caller with an allowance for timers that fire late, in milliseconds.
const RETURN_TRIP_MS: f32 = 16.0;
/// Weight of one answer in the crowding factor, the slowdown of nearly full targets.
const CROWDING_WEIGHT: f32 = 0.02;
/// Maximum crowding factor that an answer may indicate.
const CROWDING_MAX: f32 = 3.0;

impl EventHandler<'_> {
    /// Sends the request, makes it wait or refuses it, by the forecasts of the targets.
    pub(crate) fn admit_by_forecast(&mut self) {
        if let Some(reason) = self.unavailable_until(self.wait_until()) {
            return self.refuse(reason);
        }
        self.service.count_used_slots(self.now);
        let has_waited = self.now >= self.wait_until();
        if let Some(earliest) = self.earliest(TargetFilter::Any)
            && self.is_acceptable(&earliest)
            && self.has_precedence()
        {
            if self.prefers_wait_for_near(&earliest) {
                return self.wait_for_near();
            }
            if self.has_fair_turn() && (has_waited || !self.would_overtake(&earliest)) {
                return self.send_by_forecast(earliest);
            }
            self.actions.push(Action::OfferCapacity);
        }
        let may_meet_aim =
            self.request.time_to_aim_ms(self.now) * AIM_FILL_SHARE_MAX > self.work_ms();
        if may_meet_aim && !has_waited {
            return self.wait_for_retry(TargetFilter::Any);
        }
        if self.service.is_short() && !self.is_aim_too_short() && (has_waited || !may_meet_aim) {
            // Each slot is needed for a request that can meet its aim.
            return self.refuse(RefusalReason::Overloaded);
        }
        let filter = match may_meet_aim || self.is_aim_too_short() {
            true => TargetFilter::Any,
            false => TargetFilter::Spare,
        };
        match self
            .earliest(TargetFilter::Spare)
            .filter(|spare| self.meets_deadline(spare))
        {
            // A slot for a late answer is free, but a slot that meets the aim may still become free.
            Some(_) if may_meet_aim => self.wait_for_retry(filter),
            Some(spare) => self.send_by_forecast(spare),
            None if has_waited => self.refuse(RefusalReason::Overloaded),
            None => self.wait_for_retry(filter),
        }
    }

    /// Retries admission of a waiting request.
    pub(crate) fn retry_admission(&mut self) {
        self.end_wait();
        self.admit();
    }

    fn send_by_forecast(&mut self, forecast: Forecast) {
        self.service.record_admission(false);
        let progress = Progress::begin(&forecast, self.now);
        let facts = forecast.facts(self.now);
        self.send(forecast.target, Some(facts));
        if let Some(sent) = self.request.sent.last_mut() {
            sent.progress = Some(progress);
        }
        self.schedule_check(FIRST_CHECK_SHARE);
    }

    pub(crate) fn earliest(&mut self, filter: TargetFilter) -> Option<Forecast> {
        let work_ms = self.work_ms();
        let crossing = self.crossing();
        let tried = &self.request.tried;
        if let Some(crossing) = crossing.filter(|_| filter == TargetFilter::Any) {
            let choice = LocalChoice {
                service: self.service,
                now: self.now,
                work_ms,
                tried,
                crossing,
            };
            return choice.earliest(self.random);
        }
        forecast::earliest(self.service, self.now, self.random, work_ms, tried, filter)
    }

    pub(crate) fn work_ms(&self) -> f32 {
        match &self.request.route {
            Some(route) => route.work_ms(),
            None => self.service.typical_ms(),
        }
    }

    fn wait_until(&self) -> Microseconds {
        let facts = &self.request.facts;
        let aim = self.request.aim();
        let max_us = aim.count() as f32 * AIM_WAIT_SHARE_MAX;
        let until = self.request.arrived.plus(Microseconds::new(max_us as u64));
        until.min(facts.deadline)
    }

    fn has_precedence(&self) -> bool {
        let urgency = self.request.urgency(self.service);
        let most_urgent = self.service.most_urgent_waiting();
        most_urgent.is_none_or(|most_urgent| most_urgent <= urgency)
    }

    /// Whether no request of an organisation with a smaller share waits. Always, while the service isn't short.
    fn has_fair_turn(&self) -> bool {
        let Some(share) = self.request.facts.organisation else {
            return true;
        };
        let urgency = self.request.urgency(self.service);
        !self.service.is_short() || self.service.fair_share.has_turn(share, urgency, self.now)
    }

    /// Whether a request of the same route has waited longer and would be sent by this forecast too. A target that the
    /// other request may not examine is taken at once, because its slot could stay empty.
    fn would_overtake(&self, forecast: &Forecast) -> bool {
        let Some(first_try_at) = self.request.longest_waiting() else {
            return false;
        };
        if !forecast::is_always_examined(self.service, &forecast.target) {
            return false;
        }
        let aim_at = first_try_at.plus(self.request.aim());
        let time_to_aim_ms = aim_at.saturating_sub(self.now).as_ms() as f32;
        self.is_acceptable_within(forecast, time_to_aim_ms)
    }

    fn is_acceptable(&self, forecast: &Forecast) -> bool {
        self.is_acceptable_within(forecast, self.request.time_to_aim_ms(self.now))
    }

    /// Whether the forecast suffices for a request of this route that has `time_to_aim_ms` left to meet its aim.
    fn is_acceptable_within(&self, forecast: &Forecast, time_to_aim_ms: f32) -> bool {
        if self.is_aim_too_short() {
            // The forecast is compared with the work instead.
            return forecast.admission_ms() <= self.work_ms() * ACCEPTABLE_FACTOR;
        }
        forecast.admission_ms() <= time_to_aim_ms * AIM_FILL_SHARE_MAX
    }

    /// Whether even an idle target can't meet the aim.
    fn is_aim_too_short(&self) -> bool {
        let aim_ms = self.request.aim().as_ms() as f32;
        self.work_ms() > aim_ms * AIM_FILL_SHARE_MAX
    }

    /// Whether a late answer is expected well before the deadline.
    fn meets_deadline(&self, forecast: &Forecast) -> bool {
        let deadline = self.request.facts.deadline;
        let left_ms = deadline.saturating_sub(self.now).as_ms() as f32;
        forecast.answer_ms <= left_ms * DEADLINE_FILL_SHARE_MAX
    }

    fn wait_for_retry(&mut self, filter: TargetFilter) {
        let until = self.now.plus(Microseconds::from_ms(ADMISSION_RETRY_MS));
        self.begin_wait(until, filter);
    }

    /// Schedules the next check of the attempts in flight, if the request may be hedged.
    fn schedule_check(&mut self, share: f32) {
        let facts = &self.request.facts;
        let may_hedge = facts.is_repeatable && facts.is_replayable && self.has_attempts_left();
        self.request.hedge_at = may_hedge.then(|| {
            let interval_ms =
                (self.work_ms() * share).clamp(CHECK_INTERVAL_MS.0, CHECK_INTERVAL_MS.1);
            self.now
                .plus(Microseconds::new((interval_ms * 1_000.0) as u64))
        });
    }

    /// Checks the attempts in flight, and sends a hedge if they are expected to miss the aim.
    pub(crate) fn check_attempts(&mut self) {
        if !self.has_attempts_left() {
            // A retry used the last attempt after this check had been scheduled.
            return;
        }
        self.advance_progress();
        let hedge = match self.hedge_by_chance() {
            Some(hedge) => Some(hedge),
            None => self.hedge_by_time_saved(),
        };
        if let Some(hedge) = hedge
            && !self.service.retry_budget.needs_hedges(self.now)
            && self.service.hedge_budget.take()
        {
            self.service.count_hedge();
            self.send_by_forecast(hedge);
            return;
        }
        self.schedule_check(CHECK_SHARE);
    }

    fn advance_progress(&mut self) {
        let (now, service) = (self.now, self.service);
        for sent in self.request.sent.iter_mut().filter(|sent| !sent.is_ended) {
            if let Some(progress) = &mut sent.progress {
                progress.advance(now, &sent.target, &service.speed);
            }
        }
    }

    /// Chooses a hedge by the probability that it meets the aim while the attempts in flight miss it, where work keeps
    /// the speed with which it began. The fewer slots are free, the higher is the required gain.
    fn hedge_by_chance(&mut self) -> Option<Forecast> {
        let speed = &self.service.speed;
        let route = self.request.route.as_ref()?;
        if !speed.fixed_speed.is_likely() {
            return None;
        }
        let (work, left_ms) = (
            route.work(),
            self.request.time_to_aim_ms(self.now) - RETURN_TRIP_MS,
        );
        let in_flight = self.request.sent.iter().filter(|sent| !sent.is_ended);
        let miss_chances = in_flight
            .filter_map(|sent| sent.progress)
            .map(|progress| progress.miss_chance(work, left_ms, speed));
        let miss_chance = miss_chances.reduce(|all, one| all * one)?;
        if miss_chance <= HEDGE_CHANCE_GAIN_MIN {
            // Most checks end here, before any forecast is made.
            return None;
        }
        let gain_min = HEDGE_CHANCE_GAIN_MIN
            / (1.0 - self.service.utilization(self.now)).max(HEDGE_CHANCE_GAIN_MIN);
        if miss_chance <= gain_min {
            return None;
        }
        let earliest = self
            .earliest(TargetFilter::Any)
            .filter(|hedge| self.may_hedge_at(hedge))?;
        let slowdown = earliest.slowdown;
        let hedge_miss_chance =
            work.miss_chance(0.0, left_ms - ROUND_TRIP_MS, slowdown, &self.service.speed);
        (miss_chance * (1.0 - hedge_miss_chance) > gain_min).then_some(earliest)
    }

    /// Chooses a hedge by the expected time of the answers, if the attempts in flight are expected to miss the aim.
    fn hedge_by_time_saved(&mut self) -> Option<Forecast> {
        let work_ms = self.work_ms();
        let left_ms = self.min_left_ms(work_ms)?;
        let time_to_aim_ms = self.request.time_to_aim_ms(self.now);
        if left_ms <= time_to_aim_ms {
            return None;
        }
        let earliest = self
            .earliest(TargetFilter::Any)
            .filter(|hedge| self.may_hedge_at(hedge))?;
        let gain_ms = left_ms - earliest.answer_ms;
        let meets_aim = earliest.answer_ms <= time_to_aim_ms;
        let is_worth_it = meets_aim || earliest.answer_ms * LATE_HEDGE_FACTOR < left_ms;
        (is_worth_it && gain_ms > work_ms * HEDGE_GAIN_SHARE_MIN).then_some(earliest)
    }

    /// Expected time until the first answer of the attempts in flight, in milliseconds.
    fn min_left_ms(&self, work_ms: f32) -> Option<f32> {
        self.request
            .sent
            .iter()
            .filter(|sent| !sent.is_ended)
            .filter_map(|sent| sent.progress)
            .map(|progress| progress.time_left_ms(work_ms, &self.service.speed))
            .min_by(f32::total_cmp)
    }

    /// Updates three estimates by an answer: the work of the route's requests, whether work keeps the speed with which
    /// it began, and the slowdown of nearly full targets.
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
            service
                .speed
                .fixed_speed
                .record(route.work_ms(), progress.done());
        }
        let is_crowded = forecast::is_nearly_full(&sent.target, report.running as f32);
        let Some(work_ms) = progress.observed_work_ms(&service.speed, is_crowded) else {
            return;
        };
        if progress.is_crowded {
            let factor = (work_ms / route.work_ms()).clamp(1.0, CROWDING_MAX);
            service.crowding.record(factor, CROWDING_WEIGHT);
        } else {
            route.record_work(work_ms);
        }
    }
}
