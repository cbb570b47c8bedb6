//! Callers: their tries, their patience, and the centre that advises them.

use std::sync::Arc;

use mallowring::calls::{CallEvent, Front, Request};
use mallowring::interface::*;

use super::group::Group;
use super::rules::Rule;
use super::{id_of, processor, Ask, AskIx, AskState, Ev, LegIx, World};
use crate::day::{self, Us, SECOND};

impl World<'_> {
    pub(super) fn try_call(&mut self, caller: u32, resent: bool, came_back: bool) {
        let c = &self.callers[caller as usize];
        let class = &self.day.classes[c.class];
        let ends = self.since[caller as usize] + day::us(class.give_up_s);
        let ttl = day::us(class.give_up_s * self.day.callers.try_share).min(ends.saturating_sub(self.now));
        self.fates[caller as usize].tries += 1;
        self.ends.tries += 1;
        if ttl <= self.day.tick || !self.proxies[c.origin].up {
            return self.try_ended(caller, None);
        }
        self.work(c.origin, processor::Task::Look);
        let hop = self.advice(c.origin, c.dest);
        let ask = self.new_ask(caller, c.origin, None);
        let until = self.now + ttl;
        self.queue.put(until + self.day.slack, Ev::Overdue(ask));
        if let (Some(part), false) = (c.leaves, resent) {
            self.queue.put(self.now + (ttl as f64 * part) as Us, Ev::Leave(ask));
        }
        let request = self.request(ask, ttl, hop, resent, came_back);
        self.deliver(c.origin, CallEvent::Request(request));
    }

    pub(super) fn new_ask(&mut self, caller: u32, at: usize, from: Option<LegIx>) -> AskIx {
        let ix = self.asks.len() as AskIx;
        self.asks.push(Ask {
            caller,
            at,
            generation: self.proxies[at].generation,
            from,
            state: AskState::Open,
            out: None,
            leg: None,
            attempts: 0,
            blocked: 0,
            why: Cause::Unspecified,
        });
        self.proxies[at].open.insert(ix);
        ix
    }

    pub(super) fn request(
        &self,
        ask: AskIx,
        ttl: Us,
        hop: Option<usize>,
        resent: bool,
        came_back: bool,
    ) -> Request {
        let c = &self.callers[self.asks[ask as usize].caller as usize];
        Request {
            id: id_of(ask),
            front: Front::Platform,
            class: self.day.classes[c.class].name.clone(),
            tenant: Some(self.day.tenants[c.tenant].name.clone()),
            ttl: ttl as f64 / SECOND as f64,
            transit: self.asks[ask as usize].from.is_some(),
            hop: hop.map(|x| ExchangeNumber(x as i64)),
            re_established: came_back,
            redial: resent && self.day.callers.marked,
            width: c.width,
            dest: ExchangeNumber(c.dest as i64),
            number: format!("{}-{}", c.dest, c.number),
            description: Arc::from(&b"caller"[..]),
        }
    }

    /// A try ended without standing: the caller dials again, or gives up.
    pub(super) fn try_ended(&mut self, caller: u32, cool_down: Option<Secs>) {
        let c = &self.callers[caller as usize];
        let fate = &mut self.fates[caller as usize];
        fate.ended = self.now;
        if fate.tries > c.redials {
            return;
        }
        let habits = &self.day.callers;
        let doubled = match habits.backoff {
            crate::scenario::Backoff::Fixed => 1.0,
            crate::scenario::Backoff::Doubling => f64::from(1u32 << (fate.tries - 1).min(16)),
        };
        // Who heeds comes back when it was asked to, be that later or sooner than it would have.
        let asked = cool_down.filter(|_| c.heeds).map(|s| s.min(self.day.cool_down));
        let wait = asked.unwrap_or(habits.wait_s * c.pace * doubled);
        let at = self.now + day::us(wait);
        let ends = self.since[caller as usize] + day::us(self.day.classes[c.class].give_up_s);
        if at < ends {
            self.queue.put(at, Ev::Try { caller, resent: true });
        }
    }

    /// An impatient caller leaves before its time.
    pub(super) fn leave(&mut self, ask: AskIx) {
        let a = &mut self.asks[ask as usize];
        if a.state != AskState::Open {
            return;
        }
        a.state = AskState::Left;
        let (at, caller) = (a.at, a.caller);
        self.proxies[at].open.remove(&ask);
        self.fates[caller as usize].ended = self.now;
        self.ends.left += 1;
        self.deliver(at, CallEvent::CallerGaveUp(id_of(ask)));
    }

    /// The time of a request is over: if it had no final answer by now, a rule is broken.
    pub(super) fn overdue(&mut self, ask: AskIx) {
        let a = &mut self.asks[ask as usize];
        if a.state != AskState::Open {
            return;
        }
        a.state = AskState::Left;
        let (at, caller, root) = (a.at, a.caller, a.from.is_none());
        self.proxies[at].open.remove(&ask);
        self.watch.broke(
            Rule::FinalAnswer,
            self.now,
            Some(at),
            Some(id_of(ask).0),
            "no final answer in time",
        );
        self.deliver(at, CallEvent::CallerGaveUp(id_of(ask)));
        if root {
            self.try_ended(caller, None);
        }
    }

    /// The exchange that the centre advises as a tandem.
    fn advice(&self, origin: usize, dest: usize) -> Option<usize> {
        let (_, free) = self.looks.iter().rev().find(|(known, _)| *known <= self.now)?;
        let n = self.day.n;
        let room = |x: usize| free[self.group_of[origin * n + x]].min(free[self.group_of[x * n + dest]]);
        let others = (0..n).filter(|x| *x != origin && *x != dest);
        others.max_by_key(|x| (room(*x), std::cmp::Reverse(*x))).filter(|x| room(*x) > 0)
    }

    pub(super) fn look(&mut self) {
        let Some((every, late)) = self.day.centre else { return };
        let free = self.groups.iter().map(Group::free).collect();
        self.looks.push_back((self.now + late, free));
        let stale = self.looks.iter().rposition(|(known, _)| *known <= self.now).unwrap_or(0);
        self.looks.drain(..stale);
        self.queue.put(self.now + every, Ev::Look);
    }
}
