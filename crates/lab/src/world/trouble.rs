//! Troubles as they happen. Surges and lopsided load are in the traffic already.

use mallowring::interface::{Cause, Outcome, ServiceState};

use super::processor::Up;
use super::{AskIx, AskState, Ev, LegIx, World};
use crate::day::TroubleDay;
use crate::random::{noise, Purpose};
use crate::LabError;

/// One step of a trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// An old processor drains.
    Drain(usize),
    /// It stops.
    Stop(usize),
    /// A processor dies without a word.
    Die(usize),
    /// A new one starts.
    Start(usize),
    /// The groups of a region keep a part of their circuits.
    Lose(usize, f64),
    /// Processors of a trouble run so many times slower than before.
    Slow(usize, f64),
    /// A proxy is killed.
    Kill(usize),
    /// It starts again.
    Rise(usize),
    /// The roster stops for the proxies of a trouble.
    Deafen(usize),
    /// It goes on.
    Hear(usize),
}

impl World<'_> {
    pub(super) fn plan_troubles(&mut self) {
        for (ix, trouble) in self.day.troubles.iter().enumerate() {
            let mut put = |at, step| self.queue.put(at, Ev::Trouble(step));
            match trouble {
                TroubleDay::Surge(..) | TroubleDay::Lopsided(..) => {}
                TroubleDay::Replace(span, exchange, start) => {
                    put(span.at, Step::Drain(*exchange));
                    put(span.until, Step::Stop(*exchange));
                    put(*start, Step::Start(*exchange));
                }
                TroubleDay::LostCircuits(span, region, keep) => {
                    put(span.at, Step::Lose(*region, *keep));
                    put(span.until, Step::Lose(*region, 1.0));
                }
                TroubleDay::Slow(span, _, size) => {
                    put(span.at, Step::Slow(ix, *size));
                    put(span.until, Step::Slow(ix, 1.0 / size));
                }
                TroubleDay::Crash(at, exchange, back) => {
                    put(*at, Step::Die(*exchange));
                    if let Some(back) = back {
                        put(*back, Step::Start(*exchange));
                    }
                }
                TroubleDay::ProxyRestart(span, exchange) => {
                    put(span.at, Step::Kill(*exchange));
                    put(span.until, Step::Rise(*exchange));
                }
                TroubleDay::RosterStopped(span, _) => {
                    put(span.at, Step::Deafen(ix));
                    put(span.until, Step::Hear(ix));
                }
            }
        }
    }

    pub(super) fn trouble(&mut self, step: Step) -> Result<(), LabError> {
        match step {
            Step::Drain(x) if self.processors[x].up == Up::Running => {
                let (office, started) = (self.processors[x].office, self.processors[x].started);
                let entry = self.entry(x, office, ServiceState::Draining, started);
                self.announce(self.now + self.day.planned, entry);
            }
            Step::Stop(x) if self.processors[x].up == Up::Running => {
                self.retire(x, self.day.planned);
            }
            Step::Die(x) if self.processors[x].up == Up::Running => {
                self.retire(x, self.day.notice);
            }
            // One that was pushed over stays down, and one that runs needs no successor.
            Step::Start(x) if self.processors[x].up == Up::Down && !self.fallen(x) => {
                self.start_processor(x);
                self.tell_groups(x);
            }
            Step::Drain(_) | Step::Stop(_) | Step::Die(_) | Step::Start(_) => {}
            Step::Lose(region, keep) => self.lose_circuits(region, keep),
            Step::Slow(ix, factor) => {
                if let Some(TroubleDay::Slow(_, exchanges, _)) = self.day.troubles.get(ix) {
                    for x in exchanges {
                        self.processors[*x].slow *= factor;
                    }
                }
            }
            Step::Kill(proxy) => self.kill_proxy(proxy)?,
            Step::Rise(proxy) => {
                if !self.proxies[proxy].up {
                    self.start_proxy(proxy)?;
                }
            }
            Step::Deafen(ix) => {
                if let Some(TroubleDay::RosterStopped(span, exchanges)) = self.day.troubles.get(ix) {
                    for x in exchanges {
                        self.proxies[*x].deaf_until = span.until;
                    }
                }
            }
            Step::Hear(ix) => {
                if let Some(TroubleDay::RosterStopped(_, exchanges)) = self.day.troubles.get(ix) {
                    for x in exchanges {
                        for news in std::mem::take(&mut self.proxies[*x].missed) {
                            self.tell_news(*x, news);
                        }
                    }
                }
            }
        }
        Ok(())
    }

    /// A processor goes, and the roster knows some time later.
    fn retire(&mut self, x: usize, notice: super::Us) {
        let (office, started) = (self.processors[x].office, self.processors[x].started);
        self.stop_processor(x);
        self.gone.insert(office);
        let entry = self.entry(x, office, ServiceState::Removed, started);
        self.announce(self.now + notice, entry);
    }

    /// Down, and not because it was taken out of service.
    fn fallen(&self, x: usize) -> bool {
        !self.gone.contains(&self.processors[x].office)
    }

    /// The groups between one region and the others keep a part of their circuits; calls on the lost ones are cut.
    fn lose_circuits(&mut self, region: usize, keep: f64) {
        for group in 0..self.groups.len() {
            let [a, b] = self.groups[group].ends;
            let inside = [a, b].map(|x| self.day.region[x] == region);
            if inside[0] == inside[1] {
                continue;
            }
            let g = &mut self.groups[group];
            g.working = (f64::from(g.size) * keep).floor() as u32;
            let mut on: Vec<LegIx> =
                self.active.iter().filter(|l| self.legs[**l as usize].group == group).copied().collect();
            // Chance says which circuits are lost.
            let seed = self.day.seed ^ Purpose::Trouble as u64;
            let chance = |leg: &LegIx| (noise(seed, group as u64, u64::from(*leg)) * 1e9) as u64;
            on.sort_by_key(chance);
            for leg in on {
                if self.groups[group].lost() == 0 {
                    break;
                }
                self.cut(leg);
            }
            self.changed(group);
        }
    }

    /// A proxy dies: what it had taken and not answered is lost, and set-ups on its connections are given up.
    fn kill_proxy(&mut self, proxy: usize) -> Result<(), LabError> {
        if !self.proxies[proxy].up {
            return Ok(());
        }
        self.seats.stop(proxy)?;
        let seat = &mut self.proxies[proxy];
        seat.up = false;
        seat.generation += 1;
        seat.inbox.clear();
        seat.missed.clear();
        let open: Vec<AskIx> = std::mem::take(&mut seat.open).into_iter().collect();
        self.watch.forget(proxy);
        for ix in open {
            let ask = &mut self.asks[ix as usize];
            ask.state = AskState::Left;
            let (out, from, caller) = (ask.out.take(), ask.from, ask.caller);
            if let Some(leg) = out {
                self.let_go(leg);
            }
            self.ends.lost += 1;
            match from {
                Some(leg) => {
                    let at = self.arrival(proxy, self.legs[leg as usize].from);
                    self.queue.put(at, Ev::EndAt(leg, Outcome::Reset, Cause::Unspecified));
                }
                None => self.try_ended(caller, None),
            }
        }
        Ok(())
    }
}
