//! The way of a call: what proxies command, and what becomes of it on groups and processors.

use std::sync::Arc;

use mallowring::calls::{CallEvent, CallerCommand, ExchangeCommand, SetUp};
use mallowring::interface::*;

use super::processor::{Task, Up};
use super::rules::Rule;
use super::{ask_of, id_of, moment, AskIx, AskState, Ev, Leg, LegIx, LegState, World};

/// The description that an exchange makes for a leg.
fn description(leg: LegIx) -> Arc<[u8]> {
    Arc::from(leg.to_le_bytes())
}

impl World<'_> {
    // ---- What a proxy says to whoever asked ------------------------------------------------------

    /// The request that a proxy speaks of, if it is one of this very proxy's.
    fn own_ask(&mut self, proxy: usize, id: &CallId) -> Option<AskIx> {
        let ix = ask_of(id)?;
        let ask = self.asks.get(ix as usize)?;
        (ask.at == proxy && ask.generation == self.proxies[proxy].generation).then_some(ix)
    }

    pub(super) fn near(&mut self, proxy: usize, id: &CallId, near: CallerCommand) {
        let Some(ix) = self.own_ask(proxy, id) else {
            let what = "an answer to a call that it was never asked for";
            return self.watch.broke(Rule::FinalAnswer, self.now, Some(proxy), Some(id.0.clone()), what);
        };
        let state = self.asks[ix as usize].state;
        match near {
            CallerCommand::Release { .. } => {
                // What an exchange or a caller ended is over already; else the proxy has cut the call.
                if state == AskState::Standing {
                    if let Some(leg) = self.asks[ix as usize].leg {
                        self.let_go(leg);
                    }
                }
            }
            CallerCommand::Answer(said) => {
                if state == AskState::Open {
                    return self.stands(ix, &said);
                }
                self.answered_twice(ix, state);
            }
            CallerCommand::Refuse(cool_down) => self.turned_down(ix, state, cool_down),
            CallerCommand::Fail | CallerCommand::Reject(_) => self.turned_down(ix, state, None),
        }
    }

    fn answered_twice(&mut self, ask: AskIx, state: AskState) {
        // To one that has left nothing is owed, and nothing does harm.
        if state != AskState::Left {
            let at = self.asks[ask as usize].at;
            self.watch.broke(
                Rule::FinalAnswer,
                self.now,
                Some(at),
                Some(id_of(ask).0),
                "a second final answer",
            );
        }
    }

    fn turned_down(&mut self, ix: AskIx, state: AskState, cool_down: Option<Secs>) {
        if state != AskState::Open {
            return self.answered_twice(ix, state);
        }
        let ask = &mut self.asks[ix as usize];
        ask.state = AskState::Over;
        let (at, caller, from, why) = (ask.at, ask.caller, ask.from, ask.why);
        if let Some(leg) = ask.out.take() {
            self.let_go(leg);
        }
        self.proxies[at].open.remove(&ix);
        let Some(leg) = from else {
            self.ends.refused += 1;
            return self.try_ended(caller, cool_down);
        };
        self.ends.cranked_back += 1;
        let why = if why == Cause::ProcessorFull { Cause::FarProcessorFull } else { Cause::Crankback };
        let back = self.legs[leg as usize].from;
        let at = self.arrival(at, back);
        self.queue.put(at, Ev::EndAt(leg, Outcome::Refused, why));
    }

    fn stands(&mut self, ix: AskIx, said: &[u8]) {
        let ask = &mut self.asks[ix as usize];
        ask.state = AskState::Standing;
        let (at, caller, from) = (ask.at, ask.caller, ask.from);
        let leg = ask.leg.filter(|leg| self.legs[*leg as usize].answered);
        self.proxies[at].open.remove(&ix);
        let Some(leg) = leg.filter(|leg| *description(*leg) == *said) else {
            self.asks[ix as usize].state = AskState::Over;
            let what = "an answer that no exchange made";
            return self.watch.broke(Rule::FinalAnswer, self.now, Some(at), Some(id_of(ix).0), what);
        };
        // The leg may have broken since its answer was told.
        let stands = self.legs[leg as usize].state == LegState::Answered;
        if !stands {
            self.asks[ix as usize].state = AskState::Over;
        }
        if let Some(up) = from {
            if stands {
                let back = self.legs[up as usize].from;
                let at = self.arrival(at, back);
                self.queue.put(at, Ev::AnswerAt(up));
            }
            return;
        }
        let c = &self.callers[caller as usize];
        let fate = &mut self.fates[caller as usize];
        if fate.stood.is_none() {
            self.waits.add(c.class, self.now - c.at);
        }
        (fate.stood, fate.cut) = (Some(self.now), false);
        fate.tandem = self.legs[leg as usize].child.is_some();
        self.ends.stood += 1;
        self.count_standing(1);
        if stands {
            self.queue.put(self.now + c.hold, Ev::HoldOver(ix));
        } else {
            self.cut_short(caller);
        }
    }

    // ---- What a proxy says to an exchange --------------------------------------------------------

    pub(super) fn far(&mut self, proxy: usize, office: ExchangeId, id: &CallId, far: ExchangeCommand) {
        let Some(ix) = self.own_ask(proxy, id) else { return };
        match far {
            ExchangeCommand::SetUp(set_up) => self.attempt(proxy, ix, office, &set_up),
            ExchangeCommand::CancelSetUp { leg } | ExchangeCommand::Release { leg: Some(leg) } => {
                let found = self.asks[ix as usize].leg.filter(|l| self.legs[*l as usize].number == leg);
                found.into_iter().for_each(|leg| self.let_go(leg));
            }
            ExchangeCommand::Release { leg: None } => {
                let found = self.asks[ix as usize].leg;
                found.into_iter().for_each(|leg| self.let_go(leg));
            }
        }
    }

    /// Checks an attempt against the rules and sends it on its way.
    fn attempt(&mut self, proxy: usize, ix: AskIx, office: ExchangeId, set_up: &SetUp) {
        let (now, day) = (self.now, self.day);
        let ask = &self.asks[ix as usize];
        let dest = self.callers[ask.caller as usize].dest;
        let to = self.exchange_of.get(&office).copied();
        let shut = self.watch.is_shut(proxy, office, now, day.drain + day.slack);
        let rule = if ask.out.is_some() {
            Some((Rule::OneAttempt, "an attempt while another one is out"))
        } else if ask.attempts >= day.attempts {
            Some((Rule::OneAttempt, "one attempt too many"))
        } else if now + day.tick / 2 < ask.blocked {
            Some((Rule::Release, "a send too soon after a time-out, reset or cancel"))
        } else if shut {
            Some((Rule::Drains, "a send to an exchange that it was told drains or is gone"))
        } else if to.is_none_or(|to| to == proxy || (ask.from.is_some() && to != dest)) {
            Some((Rule::Sense, "a send to where the call may not go"))
        } else {
            None
        };
        let (state, transit) = (ask.state, ask.from.is_some());
        if let Some((rule, what)) = rule {
            self.watch.broke(rule, now, Some(proxy), Some(id_of(ix).0), what);
        }
        let (Some(to), AskState::Open) = (to, state) else { return };
        self.ends.attempts += 1;
        let leg = self.legs.len() as LegIx;
        let c = &self.callers[self.asks[ix as usize].caller as usize];
        let group = self.group_of.get(proxy * day.n + to).copied().unwrap_or(usize::MAX);
        self.legs.push(Leg {
            ask: ix,
            number: set_up.leg,
            from: proxy,
            to,
            office,
            group,
            width: c.width,
            holds: false,
            state: LegState::Flying,
            answered: false,
            until: moment(set_up.abandon_at).max(now),
            child: None,
        });
        let ask = &mut self.asks[ix as usize];
        ask.attempts += 1;
        (ask.out, ask.leg) = (Some(leg), Some(leg));
        // A send to oneself, which a rule has caught, has no group to go over.
        if self.groups.get(group).is_none() || (transit && to != dest) {
            return self.end_leg(leg, Outcome::Error, Cause::Unspecified);
        }
        if self.processors[proxy].up == Up::Down {
            return self.end_leg(leg, Outcome::NotSent, Cause::ProcessorFull);
        }
        let seized = self.groups[group].seize(c.width);
        if !seized {
            return self.end_leg(leg, Outcome::NotSent, Cause::NoCircuit);
        }
        self.legs[leg as usize].holds = true;
        self.active.insert(leg);
        self.changed(group);
        if self.pushed_over(proxy) {
            return;
        }
        if self.processors[proxy].is_full(now) {
            self.work(proxy, Task::Refuse);
            return self.end_leg(leg, Outcome::NotSent, Cause::ProcessorFull);
        }
        self.work(proxy, Task::SendSetUp(leg));
    }

    /// A proxy waits no longer for an attempt, or ends a call that stands.
    pub(super) fn let_go(&mut self, leg: LegIx) {
        let l = &mut self.legs[leg as usize];
        let answered = l.state == LegState::Answered;
        if !answered && l.state != LegState::Flying {
            return;
        }
        l.state = LegState::Dead;
        let (ask, from, to, child) = (l.ask, l.from, l.to, l.child);
        let arrives = self.arrival(from, to);
        // What it held may stay taken for as long as the release takes.
        self.queue.put(arrives.min(self.now + self.day.release), Ev::Free(leg));
        if let Some(child) = child {
            self.queue.put(arrives, Ev::CancelAt(child));
        } else if answered {
            self.queue.put(arrives, Ev::ReleaseAt(to));
        }
        let a = &mut self.asks[ask as usize];
        a.out = None;
        a.blocked = self.now + self.day.release;
        if answered && a.state == AskState::Standing {
            a.state = AskState::Over;
            if a.from.is_none() {
                let caller = a.caller;
                self.cut_short(caller);
            }
        }
    }

    // ---- What happens on the way -----------------------------------------------------------------

    /// Whether a set-up that reaches a processor pushes it over: then it stays down.
    fn pushed_over(&mut self, exchange: usize) -> bool {
        let falls = self.processors[exchange].note_set_up(self.now);
        if falls {
            let what = format!("the cold processor of exchange {exchange} was pushed over");
            self.watch.broke(Rule::ColdExchange, self.now, None, None, &what);
            self.stop_processor(exchange);
        }
        falls
    }

    pub(super) fn set_up_at(&mut self, leg: LegIx) {
        let l = &self.legs[leg as usize];
        let (from, to, ask, office, until) = (l.from, l.to, l.ask, l.office, l.until);
        let alive = l.state == LegState::Flying;
        let processor = &self.processors[to];
        if processor.up == Up::Down || processor.office != office {
            return self.turn_away(leg, Outcome::ConnectFailed, Cause::Unspecified);
        }
        if self.pushed_over(to) {
            return;
        }
        if self.processors[to].is_full(self.now) {
            self.work(to, Task::Refuse);
            self.ends.full += u64::from(alive);
            return self.turn_away(leg, Outcome::Refused, Cause::ProcessorFull);
        }
        let caller = self.asks[ask as usize].caller;
        if self.callers[caller as usize].dest == to {
            // One that was given up meanwhile may still be worked on.
            if alive || !self.day.processor.cancel_drops {
                self.work(to, Task::ReceiveSetUp(leg));
            }
            return;
        }
        if !self.proxies[to].up {
            return self.turn_away(leg, Outcome::ConnectFailed, Cause::Unspecified);
        }
        self.work(to, Task::Look);
        if alive && until > self.now {
            let child = self.new_ask(caller, to, Some(leg));
            self.legs[leg as usize].child = Some(child);
            self.queue.put(until + self.day.slack, Ev::Overdue(child));
            let request = self.request(child, until - self.now, Some(from), false, false);
            self.deliver(to, CallEvent::Request(request));
        }
    }

    /// The far end turns a set-up away; its word goes back.
    fn turn_away(&mut self, leg: LegIx, outcome: Outcome, why: Cause) {
        let (from, to) = (self.legs[leg as usize].from, self.legs[leg as usize].to);
        let at = self.arrival(to, from);
        self.queue.put(at, Ev::EndAt(leg, outcome, why));
    }

    /// The end of a set-up that never stood reaches its proxy.
    pub(super) fn end_leg(&mut self, leg: LegIx, outcome: Outcome, why: Cause) {
        let l = &mut self.legs[leg as usize];
        if l.state != LegState::Flying {
            return;
        }
        l.state = LegState::Over;
        let (ask, from, to, office, number, child) = (l.ask, l.from, l.to, l.office, l.number, l.child);
        self.free(leg);
        if let Some(child) = child {
            // A set-up that broke on its way may have reached its tandem all the same.
            let at = self.arrival(from, to);
            self.queue.put(at, Ev::CancelAt(child));
        }
        self.ends.count(outcome, why);
        let report = self.report(leg);
        let id = id_of(ask);
        self.deliver(
            from,
            CallEvent::SetUpFailed { id, exchange: office, leg: Some(number), outcome, cause: why, report },
        );
    }

    pub(super) fn job_done(&mut self, exchange: usize, serial: u64) {
        let rng = &mut self.work_rngs[exchange];
        let Some((task, next)) = self.processors[exchange].finish(self.now, serial, rng) else { return };
        if let Some((at, serial)) = next {
            self.queue.put(at, Ev::Done { exchange, serial });
        }
        self.done(exchange, task);
    }

    /// Gives a processor work; what is no work at all is done at once.
    pub(super) fn work(&mut self, exchange: usize, task: Task) {
        let works = &self.day.processor;
        if self.processors[exchange].up == Up::Down {
            return;
        }
        let size = match task {
            Task::Look => works.inspect,
            Task::Refuse => works.refuse,
            Task::SendSetUp(_) | Task::ReceiveSetUp(_) => 1.0,
            Task::SendAnswer(_) | Task::ReceiveAnswer(_) | Task::ReleaseCircuits(_) | Task::Release => {
                works.answer_or_release
            }
        };
        if works.set_up_us <= 0.0 || size <= 0.0 {
            return self.done(exchange, task);
        }
        let rng = &mut self.work_rngs[exchange];
        if let Some((at, serial)) = self.processors[exchange].push(self.now, task, size, rng) {
            self.queue.put(at, Ev::Done { exchange, serial });
        }
    }

    fn done(&mut self, exchange: usize, task: Task) {
        match task {
            Task::Look | Task::Refuse | Task::Release => {}
            Task::SendSetUp(leg) => {
                // Whoever gave it up is here: it goes no further.
                if self.legs[leg as usize].state == LegState::Flying {
                    let at = self.arrival(exchange, self.legs[leg as usize].to);
                    self.queue.put(at, Ev::SetUpAt(leg));
                }
            }
            Task::ReceiveSetUp(leg) => match self.legs[leg as usize].state {
                LegState::Flying => self.work(exchange, Task::SendAnswer(leg)),
                _ => self.work(exchange, Task::Release),
            },
            Task::SendAnswer(leg) => match self.legs[leg as usize].state {
                LegState::Flying => {
                    let at = self.arrival(exchange, self.legs[leg as usize].from);
                    self.queue.put(at, Ev::AnswerAt(leg));
                }
                _ => self.work(exchange, Task::Release),
            },
            Task::ReceiveAnswer(leg) => {
                let l = &mut self.legs[leg as usize];
                if l.state == LegState::Flying {
                    (l.state, l.answered) = (LegState::Answered, true);
                    let (id, office, number, from) = (id_of(l.ask), l.office, l.number, l.from);
                    let description = description(leg);
                    self.deliver(
                        from,
                        CallEvent::Answered { id, exchange: office, leg: Some(number), description },
                    );
                }
            }
            Task::ReleaseCircuits(leg) => self.release_told(leg, true),
        }
    }

    /// A leg of a call that stood is over, and its proxy hears so.
    fn release_told(&mut self, leg: LegIx, whole: bool) {
        let l = &mut self.legs[leg as usize];
        if l.state != LegState::Answered {
            return;
        }
        l.state = LegState::Over;
        let (ask, from, office) = (l.ask, l.from, l.office);
        self.free(leg);
        self.asks[ask as usize].out = None;
        let report = self.report(leg);
        self.deliver(
            from,
            CallEvent::ExchangeReleased { id: id_of(ask), exchange: office, completed: whole, report },
        );
    }

    pub(super) fn free(&mut self, leg: LegIx) {
        let l = &mut self.legs[leg as usize];
        if std::mem::take(&mut l.holds) {
            let (group, width) = (l.group, l.width);
            self.active.remove(&leg);
            self.groups[group].release(width);
            self.changed(group);
        }
    }

    /// A group has changed: both ends are told.
    pub(super) fn changed(&mut self, group: usize) {
        self.dirty.insert(group);
        self.want_tick();
    }

    // ---- Ends of calls ---------------------------------------------------------------------------

    /// The legs of a call from its origin on.
    fn legs_of(&self, root: AskIx) -> Vec<LegIx> {
        let mut legs = Vec::new();
        let mut ask = Some(root);
        while let Some(leg) = ask.and_then(|ask| self.asks[ask as usize].leg) {
            legs.push(leg);
            ask = self.legs[leg as usize].child;
        }
        legs
    }

    /// A call has lasted its time: it is released at every exchange on its way.
    pub(super) fn hold_over(&mut self, root: AskIx) {
        let ask = &mut self.asks[root as usize];
        if ask.state != AskState::Standing {
            return;
        }
        ask.state = AskState::Over;
        let caller = ask.caller;
        let c = &self.callers[caller as usize];
        self.stood_time += c.hold as f64;
        self.count_standing(-1);
        let dest = c.dest;
        for leg in self.legs_of(root) {
            if let Some(child) = self.legs[leg as usize].child {
                self.asks[child as usize].state = AskState::Over;
            }
            let near = self.legs[leg as usize].from;
            if self.processors[near].up == Up::Down {
                self.release_told(leg, true);
            } else {
                self.work(near, Task::ReleaseCircuits(leg));
            }
        }
        self.work(dest, Task::Release);
    }

    /// A call that stood has lost a leg, or its proxy has ended it: it earns nothing, unless it comes again.
    pub(super) fn cut_short(&mut self, caller: u32) {
        let fate = &mut self.fates[caller as usize];
        self.stood_time += (self.now - fate.stood.unwrap_or(self.now)) as f64;
        (fate.cut, fate.ended) = (true, self.now);
        self.ends.cut += 1;
        self.count_standing(-1);
        if self.callers[caller as usize].comes_again {
            self.queue.put(self.now + super::SECOND / 2, Ev::Again(caller));
        }
    }

    /// A leg has broken under its call: its circuits are lost, or an end of it has died.
    pub(super) fn cut(&mut self, leg: LegIx) {
        let mut root = self.legs[leg as usize].ask;
        while let Some(up) = self.asks[root as usize].from {
            root = self.legs[up as usize].ask;
        }
        if self.asks[root as usize].state == AskState::Standing {
            self.asks[root as usize].state = AskState::Over;
            let caller = self.asks[root as usize].caller;
            self.cut_short(caller);
            for leg in self.legs_of(root) {
                if let Some(child) = self.legs[leg as usize].child {
                    self.asks[child as usize].state = AskState::Over;
                }
                let (near, far) = (self.legs[leg as usize].from, self.legs[leg as usize].to);
                self.release_told(leg, false);
                self.work(near, Task::Release);
                if self.legs[leg as usize].child.is_none() {
                    self.work(far, Task::Release);
                }
            }
            return;
        }
        let l = &self.legs[leg as usize];
        let (state, ask, from, to, child) = (l.state, l.ask, l.from, l.to, l.child);
        match state {
            LegState::Flying => {
                self.free(leg);
                let at = self.arrival(to, from);
                self.queue.put(at, Ev::EndAt(leg, Outcome::Reset, Cause::Unspecified));
            }
            // The answer is on its way to the origin: the call will not stand there.
            LegState::Answered => {
                self.release_told(leg, false);
                if let Some(child) = child {
                    let at = self.arrival(from, to);
                    self.queue.put(at, Ev::CancelAt(child));
                }
                // One that its proxy has not passed on yet is passed on, and over at once.
                if self.asks[ask as usize].state == AskState::Standing {
                    self.asks[ask as usize].state = AskState::Over;
                }
                if let Some(up) = self.asks[ask as usize].from {
                    self.cut(up);
                }
            }
            LegState::Dead | LegState::Over => self.free(leg),
        }
    }

    /// Whoever brought a call in transit has given it up.
    pub(super) fn cancel_at(&mut self, ix: AskIx) {
        let ask = &mut self.asks[ix as usize];
        let (state, at, leg, generation) = (ask.state, ask.at, ask.leg, ask.generation);
        if !matches!(state, AskState::Open | AskState::Standing) {
            return;
        }
        ask.state = AskState::Left;
        self.proxies[at].open.remove(&ix);
        if generation == self.proxies[at].generation && self.proxies[at].up {
            self.deliver(at, CallEvent::CallerGaveUp(id_of(ix)));
        } else if let Some(leg) = leg {
            // The proxy that sent it on has died since: its connections are gone, and with them the set-up.
            self.let_go(leg);
        }
    }

    pub(super) fn count_standing(&mut self, change: i64) {
        self.standing_area += self.standing as f64 * (self.now - self.last_standing) as f64;
        self.last_standing = self.now;
        self.standing = self.standing.saturating_add_signed(change);
    }
}
