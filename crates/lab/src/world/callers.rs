//! Callers: their calls and redials, their give-up times, and the centre that advises tandems.

use std::sync::Arc;

use mallowring::calls::{CallEvent, Front, Request};
use mallowring::interface::*;

use super::group::Group;
use super::rules::Rule;
use super::{call_id, processor, Event, LegIx, ProxyRequest, RequestIx, RequestState, Simulation};
use crate::day::{self, Us, SECOND};

impl Simulation<'_> {
    /// A caller dials, for the first time or again: its proxy receives a request.
    pub(super) fn dial(&mut self, caller: u32, redial: bool, reestablishes: bool) {
        let c = &self.callers[caller as usize];
        let class = &self.day.classes[c.class];
        let give_up_at = self.wanted_since[caller as usize] + day::us(class.give_up_s);
        let ttl =
            day::us(class.give_up_s * self.day.callers.try_share).min(give_up_at.saturating_sub(self.now));
        self.call_results[caller as usize].tries += 1;
        self.ends.tries += 1;
        if ttl <= self.day.tick || !self.proxies[c.origin].running {
            return self.dial_failed(caller, None);
        }
        self.work(c.origin, processor::Task::Inspect);
        let hop = self.advice(c.origin, c.dest);
        let request = self.new_request(caller, c.origin, None);
        let deadline = self.now + ttl;
        self.queue.schedule(deadline + self.day.answer_slack, Event::AnswerOverdue(request));
        if let (Some(share), false) = (c.abandons_at, redial) {
            self.queue.schedule(self.now + (ttl as f64 * share) as Us, Event::CallerAbandons(request));
        }
        let call_request = self.new_call_request(request, ttl, hop, redial, reestablishes);
        self.deliver(c.origin, CallEvent::Request(call_request));
    }

    /// Adds an open request at a proxy; a transit call names the leg over which it arrived.
    pub(super) fn new_request(
        &mut self,
        caller: u32,
        proxy: usize,
        incoming_leg: Option<LegIx>,
    ) -> RequestIx {
        let ix = self.requests.len() as RequestIx;
        self.requests.push(ProxyRequest {
            caller,
            proxy,
            generation: self.proxies[proxy].generation,
            incoming_leg,
            state: RequestState::Open,
            pending_leg: None,
            latest_leg: None,
            attempts: 0,
            blocked_until: 0,
            failure_cause: Cause::Unspecified,
        });
        self.proxies[proxy].open_requests.insert(ix);
        ix
    }

    /// The call table's request event for a request.
    pub(super) fn new_call_request(
        &self,
        request: RequestIx,
        ttl: Us,
        hop: Option<usize>,
        redial: bool,
        reestablishes: bool,
    ) -> Request {
        let c = &self.callers[self.requests[request as usize].caller as usize];
        Request {
            id: call_id(request),
            front: Front::Platform,
            class: self.day.classes[c.class].name.clone(),
            tenant: Some(self.day.tenants[c.tenant].name.clone()),
            ttl: ttl as f64 / SECOND as f64,
            transit: self.requests[request as usize].incoming_leg.is_some(),
            hop: hop.map(|x| ExchangeNumber(x as i64)),
            re_established: reestablishes,
            redial: redial && self.day.callers.redials_marked,
            width: c.width,
            dest: ExchangeNumber(c.dest as i64),
            number: format!("{}-{}", c.dest, c.number),
            description: Arc::from(&b"caller"[..]),
            front_bytes: 0,
        }
    }

    /// A caller's attempt to call has failed: it dials again later, or gives up.
    pub(super) fn dial_failed(&mut self, caller: u32, cool_down: Option<Secs>) {
        let c = &self.callers[caller as usize];
        let call_result = &mut self.call_results[caller as usize];
        call_result.ended_at = self.now;
        if call_result.tries > c.redials {
            return;
        }
        let behaviour = &self.day.callers;
        let backoff_factor = match behaviour.backoff {
            crate::scenario::Backoff::Fixed => 1.0,
            crate::scenario::Backoff::Doubling => f64::from(1u32 << (call_result.tries - 1).min(16)),
        };
        // A caller that heeds cool-downs redials after the requested time, whether its own wait is shorter or longer.
        let requested_wait =
            cool_down.filter(|_| c.heeds_cool_down).map(|s| s.min(self.day.longest_cool_down_s));
        let wait = requested_wait.unwrap_or(behaviour.wait_s * c.wait_factor * backoff_factor);
        let at = self.now + day::us(wait);
        let give_up_at = self.wanted_since[caller as usize] + day::us(self.day.classes[c.class].give_up_s);
        if at < give_up_at {
            self.queue.schedule(at, Event::Dial { caller, redial: true });
        }
    }

    /// An impatient caller abandons its request before the deadline.
    pub(super) fn caller_abandons(&mut self, request: RequestIx) {
        let open_request = &mut self.requests[request as usize];
        if open_request.state != RequestState::Open {
            return;
        }
        open_request.state = RequestState::Left;
        let (proxy, caller) = (open_request.proxy, open_request.caller);
        self.proxies[proxy].open_requests.remove(&request);
        self.call_results[caller as usize].ended_at = self.now;
        self.ends.abandoned += 1;
        self.deliver(proxy, CallEvent::CallerGaveUp(call_id(request)));
    }

    /// The latest time for a request's final answer: a request without one breaks a rule.
    pub(super) fn answer_overdue(&mut self, request: RequestIx) {
        let open_request = &mut self.requests[request as usize];
        if open_request.state != RequestState::Open {
            return;
        }
        open_request.state = RequestState::Left;
        let (proxy, caller, root) =
            (open_request.proxy, open_request.caller, open_request.incoming_leg.is_none());
        self.proxies[proxy].open_requests.remove(&request);
        self.rule_monitor.report_violation(
            Rule::FinalAnswer,
            self.now,
            Some(proxy),
            Some(call_id(request).0),
            "no final answer in time",
        );
        self.deliver(proxy, CallEvent::CallerGaveUp(call_id(request)));
        if root {
            self.dial_failed(caller, None);
        }
    }

    /// The tandem that the centre advises: the exchange with the most free circuits on the smaller of its two groups.
    fn advice(&self, origin: usize, dest: usize) -> Option<usize> {
        let (_, free) = self.surveys.iter().rev().find(|(available_at, _)| *available_at <= self.now)?;
        let n = self.day.exchange_count;
        let free_via = |x: usize| free[self.group_of[origin * n + x]].min(free[self.group_of[x * n + dest]]);
        let tandems = (0..n).filter(|x| *x != origin && *x != dest);
        tandems.max_by_key(|x| (free_via(*x), std::cmp::Reverse(*x))).filter(|x| free_via(*x) > 0)
    }

    /// Records the free circuits of all groups; the centre's advice uses the record after a delay.
    pub(super) fn survey(&mut self) {
        let Some((period, delay)) = self.day.centre else { return };
        let free = self.groups.iter().map(Group::free).collect();
        self.surveys.push_back((self.now + delay, free));
        let current =
            self.surveys.iter().rposition(|(available_at, _)| *available_at <= self.now).unwrap_or(0);
        self.surveys.drain(..current);
        self.queue.schedule(self.now + period, Event::CentreSurvey);
    }
}
