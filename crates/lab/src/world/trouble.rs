//! Carries out the troubles of a day. Surges and lopsided load are already part of the generated traffic.

use mallowring::interface::{Cause, Outcome, ServiceState};

use super::processor::RunState;
use super::{Event, LegIx, RequestIx, RequestState, Simulation};
use crate::day::TroubleDay;
use crate::random::{noise, Purpose};
use crate::LabError;

/// One step of a trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// An exchange's processor is announced as draining.
    Drain(usize),
    /// A drained processor stops.
    Stop(usize),
    /// A processor crashes without notice.
    Crash(usize),
    /// A new processor starts.
    Start(usize),
    /// The groups between a region and the others keep this share of their circuits.
    KeepCircuits(usize, f64),
    /// The work of a trouble's processors takes this factor longer than before.
    ScaleWork(usize, f64),
    /// A proxy is killed.
    KillProxy(usize),
    /// A killed proxy starts again.
    StartProxy(usize),
    /// The proxies of a trouble receive no more roster updates.
    StopRoster(usize),
    /// They receive the updates that they missed.
    ResumeRoster(usize),
}

impl Simulation<'_> {
    /// Schedules the steps of the day's troubles.
    pub(super) fn plan_troubles(&mut self) {
        for (ix, trouble) in self.day.troubles.iter().enumerate() {
            let mut schedule = |at, step| self.queue.schedule(at, Event::Trouble(step));
            match trouble {
                TroubleDay::Surge(..) | TroubleDay::Lopsided(..) => {}
                TroubleDay::Replace(span, exchange, start) => {
                    schedule(span.at, Step::Drain(*exchange));
                    schedule(span.until, Step::Stop(*exchange));
                    schedule(*start, Step::Start(*exchange));
                }
                TroubleDay::LostCircuits(span, region, keep) => {
                    schedule(span.at, Step::KeepCircuits(*region, *keep));
                    schedule(span.until, Step::KeepCircuits(*region, 1.0));
                }
                TroubleDay::Slow(span, _, size) => {
                    schedule(span.at, Step::ScaleWork(ix, *size));
                    schedule(span.until, Step::ScaleWork(ix, 1.0 / size));
                }
                TroubleDay::Crash(at, exchange, restart_at) => {
                    schedule(*at, Step::Crash(*exchange));
                    if let Some(restart_at) = restart_at {
                        schedule(*restart_at, Step::Start(*exchange));
                    }
                }
                TroubleDay::ProxyRestart(span, exchange) => {
                    schedule(span.at, Step::KillProxy(*exchange));
                    schedule(span.until, Step::StartProxy(*exchange));
                }
                TroubleDay::RosterStopped(span, _) => {
                    schedule(span.at, Step::StopRoster(ix));
                    schedule(span.until, Step::ResumeRoster(ix));
                }
            }
        }
    }

    /// Carries out a step of a trouble.
    pub(super) fn apply_trouble(&mut self, step: Step) -> Result<(), LabError> {
        match step {
            Step::Drain(x) if self.processors[x].state == RunState::Running => {
                let (exchange_id, started) = (self.processors[x].exchange_id, self.processors[x].started);
                let entry = self.roster_entry(x, exchange_id, ServiceState::Draining, started);
                self.publish_roster_update(self.now + self.day.planned_delay, entry);
            }
            Step::Stop(x) if self.processors[x].state == RunState::Running => {
                self.take_out_of_service(x, self.day.planned_delay);
            }
            Step::Crash(x) if self.processors[x].state == RunState::Running => {
                self.take_out_of_service(x, self.day.crash_delay);
            }
            // A processor that failed cold stays down, and one that runs needs no replacement.
            Step::Start(x) if self.processors[x].state == RunState::Down && !self.failed_while_cold(x) => {
                self.start_processor(x);
                self.report_groups(x);
            }
            Step::Drain(_) | Step::Stop(_) | Step::Crash(_) | Step::Start(_) => {}
            Step::KeepCircuits(region, keep) => self.limit_circuits(region, keep),
            Step::ScaleWork(ix, factor) => {
                if let Some(TroubleDay::Slow(_, exchanges, _)) = self.day.troubles.get(ix) {
                    for x in exchanges {
                        self.processors[*x].slowdown *= factor;
                    }
                }
            }
            Step::KillProxy(proxy) => self.kill_proxy(proxy)?,
            Step::StartProxy(proxy) => {
                if !self.proxies[proxy].running {
                    self.start_proxy(proxy)?;
                }
            }
            Step::StopRoster(ix) => {
                if let Some(TroubleDay::RosterStopped(span, exchanges)) = self.day.troubles.get(ix) {
                    for x in exchanges {
                        self.proxies[*x].roster_stopped_until = span.until;
                    }
                }
            }
            Step::ResumeRoster(ix) => {
                if let Some(TroubleDay::RosterStopped(_, exchanges)) = self.day.troubles.get(ix) {
                    for x in exchanges {
                        for update in std::mem::take(&mut self.proxies[*x].missed_updates) {
                            self.deliver_roster_update(*x, update);
                        }
                    }
                }
            }
        }
        Ok(())
    }

    /// Takes a processor out of service; the roster lists this after a delay.
    fn take_out_of_service(&mut self, x: usize, delay: super::Us) {
        let (exchange_id, started) = (self.processors[x].exchange_id, self.processors[x].started);
        self.stop_processor(x);
        self.removed.insert(exchange_id);
        let entry = self.roster_entry(x, exchange_id, ServiceState::Removed, started);
        self.publish_roster_update(self.now + delay, entry);
    }

    /// Whether a stopped processor failed cold, so that it was never taken out of service.
    fn failed_while_cold(&self, x: usize) -> bool {
        !self.removed.contains(&self.processors[x].exchange_id)
    }

    /// Sets the share of their circuits that the groups between a region and the others keep; calls on lost circuits
    /// are cut.
    fn limit_circuits(&mut self, region: usize, keep: f64) {
        for group in 0..self.groups.len() {
            let [a, b] = self.groups[group].ends;
            let inside = [a, b].map(|x| self.day.region[x] == region);
            if inside[0] == inside[1] {
                continue;
            }
            let g = &mut self.groups[group];
            g.working = (f64::from(g.size) * keep).floor() as u32;
            let mut users: Vec<LegIx> = self
                .legs_with_circuits
                .iter()
                .filter(|l| self.legs[**l as usize].group == group)
                .copied()
                .collect();
            // The legs that lose their circuits are chosen at random.
            let seed = self.day.seed ^ Purpose::Trouble as u64;
            let random_order = |leg: &LegIx| (noise(seed, group as u64, u64::from(*leg)) * 1e9) as u64;
            users.sort_by_key(random_order);
            for leg in users {
                if self.groups[group].excess() == 0 {
                    break;
                }
                self.break_leg(leg);
            }
            self.group_changed(group);
        }
    }

    /// Kills a proxy: requests without a final answer are lost, and set-ups on its connections are cancelled.
    fn kill_proxy(&mut self, proxy: usize) -> Result<(), LabError> {
        if !self.proxies[proxy].running {
            return Ok(());
        }
        self.fleet.stop(proxy)?;
        let state = &mut self.proxies[proxy];
        state.running = false;
        state.generation += 1;
        state.inbox.clear();
        state.missed_updates.clear();
        let open: Vec<RequestIx> = std::mem::take(&mut state.open_requests).into_iter().collect();
        self.rule_monitor.forget(proxy);
        for ix in open {
            let request = &mut self.requests[ix as usize];
            request.state = RequestState::Left;
            let (pending_leg, incoming_leg, caller) =
                (request.pending_leg.take(), request.incoming_leg, request.caller);
            if let Some(leg) = pending_leg {
                self.release_leg(leg);
            }
            self.ends.lost += 1;
            match incoming_leg {
                Some(leg) => {
                    let at = self.arrival(proxy, self.legs[leg as usize].from);
                    self.queue.schedule(at, Event::FailureArrives(leg, Outcome::Reset, Cause::Unspecified));
                }
                None => self.dial_failed(caller, None),
            }
        }
        Ok(())
    }
}
