//! Call flow: applies the proxies' commands and carries set-ups, answers and releases over groups and processors.

use std::sync::Arc;

use mallowring::calls::{CallEvent, CallerCommand, ExchangeCommand, SetUp};
use mallowring::interface::*;
use mallowring::recovery::attempt_end::AttemptEnd;

use super::processor::{RunState, Task};
use super::rules::Rule;
use super::{
    call_id, request_of, simulated_time, Event, Leg, LegIx, LegState, RequestIx, RequestState, Simulation,
};

/// The description in the answer of an exchange, unique to the leg.
fn description(leg: LegIx) -> Arc<[u8]> {
    Arc::from(leg.to_le_bytes())
}

impl Simulation<'_> {
    // ---- Commands on the caller side -------------------------------------------------------------

    /// The request with this call id, if it belongs to this proxy since its latest start.
    fn own_request(&mut self, proxy: usize, id: &CallId) -> Option<RequestIx> {
        let ix = request_of(id)?;
        let request = self.requests.get(ix as usize)?;
        (request.proxy == proxy && request.generation == self.proxies[proxy].generation).then_some(ix)
    }

    /// Applies a proxy's command about one of its requests, towards the caller or the exchange that sent it.
    pub(super) fn apply_caller_command(&mut self, proxy: usize, id: &CallId, command: CallerCommand) {
        let Some(ix) = self.own_request(proxy, id) else {
            let what = "an answer to a request that it never received";
            return self.rule_monitor.report_violation(
                Rule::FinalAnswer,
                self.now,
                Some(proxy),
                Some(id.0.clone()),
                what,
            );
        };
        let state = self.requests[ix as usize].state;
        match command {
            CallerCommand::Release { .. } => {
                // A call that an exchange or a caller has ended is no longer established. If it still is, the proxy
                // cuts it.
                if state == RequestState::Standing {
                    if let Some(leg) = self.requests[ix as usize].latest_leg {
                        self.release_leg(leg);
                    }
                }
            }
            CallerCommand::Answer(description) => {
                if state == RequestState::Open {
                    return self.call_established(ix, &description);
                }
                self.duplicate_answer(ix, state);
            }
            CallerCommand::Refuse(cool_down) => self.request_refused(ix, state, cool_down),
            CallerCommand::Fail | CallerCommand::Reject(_) => self.request_refused(ix, state, None),
        }
    }

    /// Reports a final answer to a request that already had one.
    fn duplicate_answer(&mut self, request: RequestIx, state: RequestState) {
        // An abandoned request needs no answer, and a late one does no harm.
        if state != RequestState::Left {
            let proxy = self.requests[request as usize].proxy;
            self.rule_monitor.report_violation(
                Rule::FinalAnswer,
                self.now,
                Some(proxy),
                Some(call_id(request).0),
                "a second final answer",
            );
        }
    }

    /// A request ends without a call: a caller may redial, a transit call fails at the exchange that sent it.
    fn request_refused(&mut self, ix: RequestIx, state: RequestState, cool_down: Option<Secs>) {
        if state != RequestState::Open {
            return self.duplicate_answer(ix, state);
        }
        let request = &mut self.requests[ix as usize];
        request.state = RequestState::Over;
        let (proxy, caller, incoming_leg, failure_cause) =
            (request.proxy, request.caller, request.incoming_leg, request.failure_cause);
        if let Some(leg) = request.pending_leg.take() {
            self.release_leg(leg);
        }
        self.proxies[proxy].open_requests.remove(&ix);
        let Some(leg) = incoming_leg else {
            self.ends.refused += 1;
            return self.dial_failed(caller, cool_down);
        };
        self.ends.cranked_back += 1;
        let failure_cause =
            if failure_cause == Cause::ProcessorFull { Cause::FarProcessorFull } else { Cause::Crankback };
        let sender = self.legs[leg as usize].from;
        let at = self.arrival(proxy, sender);
        self.queue.schedule(at, Event::FailureArrives(leg, Outcome::Refused, failure_cause));
    }

    /// A request gets a positive answer.
    fn call_established(&mut self, ix: RequestIx, answer: &[u8]) {
        let request = &mut self.requests[ix as usize];
        request.state = RequestState::Standing;
        let (proxy, caller, incoming_leg) = (request.proxy, request.caller, request.incoming_leg);
        let leg = request.latest_leg.filter(|leg| self.legs[*leg as usize].answered);
        self.proxies[proxy].open_requests.remove(&ix);
        let Some(leg) = leg.filter(|leg| *description(*leg) == *answer) else {
            self.requests[ix as usize].state = RequestState::Over;
            let what = "an answer that no exchange made";
            return self.rule_monitor.report_violation(
                Rule::FinalAnswer,
                self.now,
                Some(proxy),
                Some(call_id(ix).0),
                what,
            );
        };
        // The leg may have been cut after its answer was delivered.
        let intact = self.legs[leg as usize].state == LegState::Answered;
        if !intact {
            self.requests[ix as usize].state = RequestState::Over;
        }
        if let Some(incoming) = incoming_leg {
            if intact {
                let sender = self.legs[incoming as usize].from;
                let at = self.arrival(proxy, sender);
                self.queue.schedule(at, Event::AnswerArrives(incoming));
            }
            return;
        }
        let c = &self.callers[caller as usize];
        let call_result = &mut self.call_results[caller as usize];
        if call_result.established_at.is_none() {
            self.set_up_delays.add(c.class, self.now - c.at);
        }
        (call_result.established_at, call_result.cut) = (Some(self.now), false);
        call_result.tandem = self.legs[leg as usize].transit_request.is_some();
        self.ends.established += 1;
        self.change_established(1);
        if intact {
            self.queue.schedule(self.now + c.hold, Event::HoldingTimeEnds(ix));
        } else {
            self.call_cut(caller);
        }
    }

    // ---- Commands on the exchange side -----------------------------------------------------------

    /// Applies a proxy's command towards an exchange: starts, cancels or releases an attempt.
    pub(super) fn apply_exchange_command(
        &mut self,
        proxy: usize,
        exchange_id: ExchangeId,
        id: &CallId,
        command: ExchangeCommand,
    ) {
        let Some(ix) = self.own_request(proxy, id) else { return };
        match command {
            ExchangeCommand::SetUp(set_up) => self.start_attempt(proxy, ix, exchange_id, &set_up),
            ExchangeCommand::CancelSetUp { leg } | ExchangeCommand::Release { leg: Some(leg) } => {
                let found =
                    self.requests[ix as usize].latest_leg.filter(|l| self.legs[*l as usize].number == leg);
                found.into_iter().for_each(|leg| self.release_leg(leg));
            }
            ExchangeCommand::Release { leg: None } => {
                let found = self.requests[ix as usize].latest_leg;
                found.into_iter().for_each(|leg| self.release_leg(leg));
            }
        }
    }

    /// Checks an attempt against the rules, seizes its circuits and sends its set-up.
    fn start_attempt(&mut self, proxy: usize, ix: RequestIx, exchange_id: ExchangeId, set_up: &SetUp) {
        let (now, day) = (self.now, self.day);
        let request = &self.requests[ix as usize];
        let dest = self.callers[request.caller as usize].dest;
        let to = self.exchange_by_id.get(&exchange_id).copied();
        let unavailable =
            self.rule_monitor.is_unavailable(proxy, exchange_id, now, day.drain_grace + day.answer_slack);
        let rule = if request.pending_leg.is_some() {
            Some((Rule::OneAttempt, "an attempt while another one is pending"))
        } else if request.attempts >= day.max_attempts {
            Some((Rule::OneAttempt, "one attempt too many"))
        } else if now + day.tick / 2 < request.blocked_until {
            Some((Rule::Release, "a set-up too soon after a time-out, reset or cancellation"))
        } else if unavailable {
            Some((Rule::Drains, "a set-up to an exchange that its roster drains or removes"))
        } else if to.is_none_or(|to| to == proxy || (request.incoming_leg.is_some() && to != dest)) {
            Some((Rule::Route, "a set-up to an exchange to which the call may not be routed"))
        } else {
            None
        };
        let (state, transit) = (request.state, request.incoming_leg.is_some());
        if let Some((rule, what)) = rule {
            self.rule_monitor.report_violation(rule, now, Some(proxy), Some(call_id(ix).0), what);
        }
        let (Some(to), RequestState::Open) = (to, state) else { return };
        self.ends.attempts += 1;
        let leg = self.legs.len() as LegIx;
        let c = &self.callers[self.requests[ix as usize].caller as usize];
        let group = self.group_of.get(proxy * day.exchange_count + to).copied().unwrap_or(usize::MAX);
        self.legs.push(Leg {
            request: ix,
            number: set_up.leg,
            from: proxy,
            to,
            exchange_id,
            group,
            width: c.width,
            holds_circuits: false,
            state: LegState::Flying,
            answered: false,
            deadline: simulated_time(set_up.abandon_at).max(now),
            transit_request: None,
        });
        let request = &mut self.requests[ix as usize];
        request.attempts += 1;
        (request.pending_leg, request.latest_leg) = (Some(leg), Some(leg));
        // A set-up to the proxy's own exchange, already reported as a violation, has no group.
        if self.groups.get(group).is_none() || (transit && to != dest) {
            return self.set_up_failed(leg, Outcome::Error, Cause::Unspecified);
        }
        if self.processors[proxy].state == RunState::Down {
            return self.set_up_failed(leg, Outcome::NotSent, Cause::ProcessorFull);
        }
        let seized = self.groups[group].seize(c.width);
        if !seized {
            return self.set_up_failed(leg, Outcome::NotSent, Cause::NoCircuit);
        }
        self.legs[leg as usize].holds_circuits = true;
        self.legs_with_circuits.insert(leg);
        self.group_changed(group);
        if self.fails_while_cold(proxy) {
            return;
        }
        if self.processors[proxy].is_full(now) {
            self.work(proxy, Task::Refuse);
            return self.set_up_failed(leg, Outcome::NotSent, Cause::ProcessorFull);
        }
        self.work(proxy, Task::SendSetUp(leg));
    }

    /// A proxy cancels an attempt, or releases an established call.
    pub(super) fn release_leg(&mut self, leg: LegIx) {
        let l = &mut self.legs[leg as usize];
        let answered = l.state == LegState::Answered;
        if !answered && l.state != LegState::Flying {
            return;
        }
        l.state = LegState::Dead;
        let (request, from, to, transit_request) = (l.request, l.from, l.to, l.transit_request);
        let arrives = self.arrival(from, to);
        // The circuits may stay seized until the release time has passed.
        self.queue.schedule(arrives.min(self.now + self.day.release_pause), Event::ReleaseCircuits(leg));
        if let Some(transit_request) = transit_request {
            self.queue.schedule(arrives, Event::CancelArrives(transit_request));
        } else if answered {
            self.queue.schedule(arrives, Event::ReleaseArrives(to));
        }
        let owner = &mut self.requests[request as usize];
        owner.pending_leg = None;
        owner.blocked_until = self.now + self.day.release_pause;
        if answered && owner.state == RequestState::Standing {
            owner.state = RequestState::Over;
            if owner.incoming_leg.is_none() {
                let caller = owner.caller;
                self.call_cut(caller);
            }
        }
    }

    // ---- Set-ups, answers and releases between exchanges -----------------------------------------

    /// Counts a set-up at a processor and returns whether it overloads a cold one. That processor then stops for the
    /// rest of the day.
    fn fails_while_cold(&mut self, exchange: usize) -> bool {
        let fails = self.processors[exchange].record_set_up(self.now);
        if fails {
            let what = format!("the cold processor of exchange {exchange} was pushed over");
            self.rule_monitor.report_violation(Rule::ColdExchange, self.now, None, None, &what);
            self.stop_processor(exchange);
        }
        fails
    }

    /// A set-up reaches the receiving exchange of its leg.
    pub(super) fn set_up_arrives(&mut self, leg: LegIx) {
        let l = &self.legs[leg as usize];
        let (from, to, request, exchange_id, deadline) = (l.from, l.to, l.request, l.exchange_id, l.deadline);
        let pending = l.state == LegState::Flying;
        let processor = &self.processors[to];
        if processor.state == RunState::Down || processor.exchange_id != exchange_id {
            return self.refuse_set_up(leg, Outcome::ConnectFailed, Cause::Unspecified);
        }
        if self.fails_while_cold(to) {
            return;
        }
        if self.processors[to].is_full(self.now) {
            self.work(to, Task::Refuse);
            self.ends.far_processor_full += u64::from(pending);
            return self.refuse_set_up(leg, Outcome::Refused, Cause::ProcessorFull);
        }
        let caller = self.requests[request as usize].caller;
        if self.callers[caller as usize].dest == to {
            // A set-up cancelled in the meantime may still take processing time.
            if pending || !self.day.processor.cancel_drops {
                self.work(to, Task::ReceiveSetUp(leg));
            }
            return;
        }
        if !self.proxies[to].running {
            return self.refuse_set_up(leg, Outcome::ConnectFailed, Cause::Unspecified);
        }
        self.work(to, Task::Inspect);
        if pending && deadline > self.now {
            let transit_request = self.new_request(caller, to, Some(leg));
            self.legs[leg as usize].transit_request = Some(transit_request);
            self.queue.schedule(deadline + self.day.answer_slack, Event::AnswerOverdue(transit_request));
            let call_request =
                self.new_call_request(transit_request, deadline - self.now, Some(from), false, false);
            self.deliver(to, CallEvent::Request(call_request));
        }
    }

    /// The receiving exchange refuses a set-up; the refusal travels back to the sender.
    fn refuse_set_up(&mut self, leg: LegIx, outcome: Outcome, failure_cause: Cause) {
        let (from, to) = (self.legs[leg as usize].from, self.legs[leg as usize].to);
        let at = self.arrival(to, from);
        self.queue.schedule(at, Event::FailureArrives(leg, outcome, failure_cause));
    }

    /// A set-up has failed; its proxy is informed.
    pub(super) fn set_up_failed(&mut self, leg: LegIx, outcome: Outcome, failure_cause: Cause) {
        let l = &mut self.legs[leg as usize];
        if l.state != LegState::Flying {
            return;
        }
        l.state = LegState::Over;
        let (request, from, to, exchange_id, number, transit_request) =
            (l.request, l.from, l.to, l.exchange_id, l.number, l.transit_request);
        self.free_circuits(leg);
        if let Some(transit_request) = transit_request {
            // A set-up that was reset may have reached its tandem all the same.
            let at = self.arrival(from, to);
            self.queue.schedule(at, Event::CancelArrives(transit_request));
        }
        self.ends.count(outcome, failure_cause);
        let report = self.report(leg);
        let id = call_id(request);
        self.deliver(
            from,
            CallEvent::SetUpFailed {
                id,
                exchange: exchange_id,
                leg: Some(number),
                end: end_of(outcome),
                cause: failure_cause,
                report,
            },
        );
    }

    /// A processor has finished a job; it begins the next one.
    pub(super) fn job_done(&mut self, exchange: usize, job_number: u64) {
        let rng = &mut self.work_rngs[exchange];
        let Some((task, next_job)) = self.processors[exchange].finish(self.now, job_number, rng) else {
            return;
        };
        if let Some((at, job_number)) = next_job {
            self.queue.schedule(at, Event::JobDone { exchange, job_number });
        }
        self.complete_task(exchange, task);
    }

    /// Gives a processor a task; a task without work completes at once.
    pub(super) fn work(&mut self, exchange: usize, task: Task) {
        let parameters = &self.day.processor;
        if self.processors[exchange].state == RunState::Down {
            return;
        }
        let work = match task {
            Task::Inspect => parameters.inspect,
            Task::Refuse => parameters.refuse,
            Task::SendSetUp(_) | Task::ReceiveSetUp(_) => 1.0,
            Task::SendAnswer(_) | Task::ReceiveAnswer(_) | Task::ReleaseCircuits(_) | Task::Release => {
                parameters.answer_or_release
            }
        };
        if parameters.set_up_us <= 0.0 || work <= 0.0 {
            return self.complete_task(exchange, task);
        }
        let rng = &mut self.work_rngs[exchange];
        if let Some((at, job_number)) = self.processors[exchange].push(self.now, task, work, rng) {
            self.queue.schedule(at, Event::JobDone { exchange, job_number });
        }
    }

    /// Carries out the effect of a task that a processor has finished.
    fn complete_task(&mut self, exchange: usize, task: Task) {
        match task {
            Task::Inspect | Task::Refuse | Task::Release => {}
            Task::SendSetUp(leg) => {
                // A set-up cancelled at the sending exchange goes no further.
                if self.legs[leg as usize].state == LegState::Flying {
                    let at = self.arrival(exchange, self.legs[leg as usize].to);
                    self.queue.schedule(at, Event::SetUpArrives(leg));
                }
            }
            Task::ReceiveSetUp(leg) => match self.legs[leg as usize].state {
                LegState::Flying => self.work(exchange, Task::SendAnswer(leg)),
                _ => self.work(exchange, Task::Release),
            },
            Task::SendAnswer(leg) => match self.legs[leg as usize].state {
                LegState::Flying => {
                    let at = self.arrival(exchange, self.legs[leg as usize].from);
                    self.queue.schedule(at, Event::AnswerArrives(leg));
                }
                _ => self.work(exchange, Task::Release),
            },
            Task::ReceiveAnswer(leg) => {
                let l = &mut self.legs[leg as usize];
                if l.state == LegState::Flying {
                    (l.state, l.answered) = (LegState::Answered, true);
                    let (id, exchange_id, number, from) =
                        (call_id(l.request), l.exchange_id, l.number, l.from);
                    let description = description(leg);
                    self.deliver(
                        from,
                        CallEvent::Answered { id, exchange: exchange_id, leg: Some(number), description },
                    );
                }
            }
            Task::ReleaseCircuits(leg) => self.leg_released(leg, true),
        }
    }

    /// The leg of an answered call is released; its proxy is informed whether the call was completed.
    fn leg_released(&mut self, leg: LegIx, completed_call: bool) {
        let l = &mut self.legs[leg as usize];
        if l.state != LegState::Answered {
            return;
        }
        l.state = LegState::Over;
        let (request, from, exchange_id) = (l.request, l.from, l.exchange_id);
        self.free_circuits(leg);
        self.requests[request as usize].pending_leg = None;
        let report = self.report(leg);
        self.deliver(
            from,
            CallEvent::ExchangeReleased {
                id: call_id(request),
                exchange: exchange_id,
                completed: completed_call,
                report,
            },
        );
    }

    /// Releases the circuits that a leg holds, if any.
    pub(super) fn free_circuits(&mut self, leg: LegIx) {
        let l = &mut self.legs[leg as usize];
        if std::mem::take(&mut l.holds_circuits) {
            let (group, width) = (l.group, l.width);
            self.legs_with_circuits.remove(&leg);
            self.groups[group].release(width);
            self.group_changed(group);
        }
    }

    /// A group has changed: both ends receive its status at the next tick.
    pub(super) fn group_changed(&mut self, group: usize) {
        self.changed_groups.insert(group);
        self.schedule_tick();
    }

    // ---- Ends of calls ---------------------------------------------------------------------------

    /// The legs of a call, from its origin onwards.
    fn call_legs(&self, root: RequestIx) -> Vec<LegIx> {
        let mut legs = Vec::new();
        let mut request = Some(root);
        while let Some(leg) = request.and_then(|request| self.requests[request as usize].latest_leg) {
            legs.push(leg);
            request = self.legs[leg as usize].transit_request;
        }
        legs
    }

    /// The holding time of a call ends: it is released at every exchange of its route.
    pub(super) fn holding_time_ends(&mut self, root: RequestIx) {
        let request = &mut self.requests[root as usize];
        if request.state != RequestState::Standing {
            return;
        }
        request.state = RequestState::Over;
        let caller = request.caller;
        let c = &self.callers[caller as usize];
        self.total_holding_us += c.hold as f64;
        self.change_established(-1);
        let dest = c.dest;
        for leg in self.call_legs(root) {
            if let Some(transit_request) = self.legs[leg as usize].transit_request {
                self.requests[transit_request as usize].state = RequestState::Over;
            }
            let sender = self.legs[leg as usize].from;
            if self.processors[sender].state == RunState::Down {
                self.leg_released(leg, true);
            } else {
                self.work(sender, Task::ReleaseCircuits(leg));
            }
        }
        self.work(dest, Task::Release);
    }

    /// An established call is cut by the loss of a leg or by its proxy: it counts as not served unless the caller
    /// re-establishes it.
    pub(super) fn call_cut(&mut self, caller: u32) {
        let call_result = &mut self.call_results[caller as usize];
        self.total_holding_us += (self.now - call_result.established_at.unwrap_or(self.now)) as f64;
        (call_result.cut, call_result.ended_at) = (true, self.now);
        self.ends.cut += 1;
        self.change_established(-1);
        if self.callers[caller as usize].reestablishes {
            self.queue.schedule(self.now + super::SECOND / 2, Event::Reestablish(caller));
        }
    }

    /// A leg breaks because its circuits are lost or one of its exchanges stops. An established call over it is cut.
    pub(super) fn break_leg(&mut self, leg: LegIx) {
        let mut root = self.legs[leg as usize].request;
        while let Some(incoming) = self.requests[root as usize].incoming_leg {
            root = self.legs[incoming as usize].request;
        }
        if self.requests[root as usize].state == RequestState::Standing {
            self.requests[root as usize].state = RequestState::Over;
            let caller = self.requests[root as usize].caller;
            self.call_cut(caller);
            for leg in self.call_legs(root) {
                if let Some(transit_request) = self.legs[leg as usize].transit_request {
                    self.requests[transit_request as usize].state = RequestState::Over;
                }
                let (sender, receiver) = (self.legs[leg as usize].from, self.legs[leg as usize].to);
                self.leg_released(leg, false);
                self.work(sender, Task::Release);
                if self.legs[leg as usize].transit_request.is_none() {
                    self.work(receiver, Task::Release);
                }
            }
            return;
        }
        let l = &self.legs[leg as usize];
        let (state, request, from, to, transit_request) =
            (l.state, l.request, l.from, l.to, l.transit_request);
        match state {
            LegState::Flying => {
                self.free_circuits(leg);
                let at = self.arrival(to, from);
                self.queue.schedule(at, Event::FailureArrives(leg, Outcome::Reset, Cause::Unspecified));
            }
            // The answer is still on its way to the origin, where the call can no longer be established.
            LegState::Answered => {
                self.leg_released(leg, false);
                if let Some(transit_request) = transit_request {
                    let at = self.arrival(from, to);
                    self.queue.schedule(at, Event::CancelArrives(transit_request));
                }
                // If its proxy has not passed the answer on yet, it will do so, and the call ends at once.
                if self.requests[request as usize].state == RequestState::Standing {
                    self.requests[request as usize].state = RequestState::Over;
                }
                if let Some(incoming) = self.requests[request as usize].incoming_leg {
                    self.break_leg(incoming);
                }
            }
            LegState::Dead | LegState::Over => self.free_circuits(leg),
        }
    }

    /// The exchange that sent a transit call has cancelled or lost it.
    pub(super) fn cancel_arrives(&mut self, ix: RequestIx) {
        let request = &mut self.requests[ix as usize];
        let (state, proxy, leg, generation) =
            (request.state, request.proxy, request.latest_leg, request.generation);
        if !matches!(state, RequestState::Open | RequestState::Standing) {
            return;
        }
        request.state = RequestState::Left;
        self.proxies[proxy].open_requests.remove(&ix);
        if generation == self.proxies[proxy].generation && self.proxies[proxy].running {
            self.deliver(proxy, CallEvent::CallerGaveUp(call_id(ix)));
        } else if let Some(leg) = leg {
            // The tandem's proxy has stopped since: its connections are closed, which ends the set-up.
            self.release_leg(leg);
        }
    }

    /// Changes the number of established calls and integrates it over time.
    pub(super) fn change_established(&mut self, change: i64) {
        self.established_us += self.established_calls as f64 * (self.now - self.last_change) as f64;
        self.last_change = self.now;
        self.established_calls = self.established_calls.saturating_add_signed(change);
    }
}

/// The end of an attempt that a proxy is told of when the model ends it with this outcome.
fn end_of(outcome: Outcome) -> AttemptEnd {
    match outcome {
        Outcome::Refused => AttemptEnd::Refused,
        Outcome::NotSent => AttemptEnd::NeverLeft,
        Outcome::Completed | Outcome::Error => AttemptEnd::Error,
        Outcome::Reset => AttemptEnd::BrokenOnItsWay,
        Outcome::ConnectFailed => AttemptEnd::NeverSent,
        Outcome::TimedOut => AttemptEnd::TimedOut,
        Outcome::Cancelled => AttemptEnd::Cancelled,
    }
}
