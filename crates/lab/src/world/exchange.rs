//! Exchanges: their roster entries, load reports, stops and starts.

use mallowring::calls::CallEvent;
use mallowring::interface::*;
use rand_distr::{Distribution, StandardNormal};

use super::processor::{Processor, RunState};
use super::{clock, Event, LegIx, LoadMeasurement, Simulation};
use crate::day::{Us, SECOND};
use crate::random::noise;

/// Share of the longest wait above which a processor requests a reduction of load. The reduction grows linearly and is
/// complete at the longest wait.
const REDUCTION_ONSET: f64 = 0.1;

impl Simulation<'_> {
    /// A new exchange id. Ids reveal neither the exchange's number nor its age.
    pub(super) fn new_exchange_id(&mut self, exchange: usize) -> ExchangeId {
        let count = self.exchange_by_id.len() as u64 + 1;
        // An odd factor: all ids below 2^32 differ.
        let id = ExchangeId(count.wrapping_mul(2_654_435_761) & 0xffff_ffff);
        self.exchange_by_id.insert(id, exchange);
        id
    }

    /// A roster entry; `started` is absent for a processor that was warm at the start of the day.
    pub(super) fn roster_entry(
        &self,
        exchange: usize,
        id: ExchangeId,
        service_state: ServiceState,
        started: Option<Us>,
    ) -> RosterEntry {
        RosterEntry {
            id,
            zone: self.day.regions[self.day.region[exchange]].clone(),
            number: ExchangeNumber(exchange as i64),
            state: service_state,
            weight: 1.0,
            ready_at: started.map(clock),
        }
    }

    /// Publishes a roster update at `published_at`; each proxy receives it after a delay of its own.
    pub(super) fn publish_roster_update(&mut self, published_at: Us, entry: RosterEntry) {
        let update = self.roster_updates.len();
        for proxy in 0..self.day.exchange_count {
            let delay = noise(self.day.seed, update as u64, proxy as u64) * self.day.roster_spread as f64;
            self.queue.schedule(published_at + delay as Us, Event::RosterUpdate { proxy, update });
        }
        self.roster_updates.push((published_at, entry));
    }

    /// A roster update reaches a proxy.
    pub(super) fn deliver_roster_update(&mut self, proxy: usize, update: usize) {
        let state = &mut self.proxies[proxy];
        // A proxy that starts later receives the full roster.
        if !state.running {
            return;
        }
        if self.now < state.roster_stopped_until {
            state.missed_updates.push(update);
            return;
        }
        let entry = self.roster_updates[update].1.clone();
        if entry.state != ServiceState::InService {
            self.rule_monitor.note_unavailable(proxy, entry.id, self.now);
        }
        self.deliver(proxy, CallEvent::Roster { full: false, entries: vec![entry] });
    }

    /// Measures a processor's load; reports use the measurement after a delay.
    pub(super) fn measure_load(&mut self, exchange: usize) {
        let processor = &self.processors[exchange];
        let longest = self.day.processor.longest_wait_us;
        let wait = processor.wait(self.now);
        let normal: f64 = StandardNormal.sample(&mut self.report_rngs[exchange]);
        let noise_factor = (1.0 + self.day.report_noise * normal).max(0.0);
        let requested_reduction =
            ((wait / longest - REDUCTION_ONSET) / (1.0 - REDUCTION_ONSET)).clamp(0.0, 1.0);
        if processor.state == RunState::Running {
            let available_at = self.now + self.day.report_delay;
            let wait = wait * noise_factor / SECOND as f64;
            self.measurements[exchange].push_back(LoadMeasurement {
                available_at,
                wait,
                requested_reduction,
            });
        }
        self.queue.schedule(self.now + self.day.report_period, Event::MeasureLoad(exchange));
    }

    /// The load report that accompanies the end of a leg: the group's present state, and the latest available
    /// measurement of the far processor.
    pub(super) fn report(&mut self, leg: LegIx) -> LoadReport {
        let leg = &self.legs[leg as usize];
        let measurements = &mut self.measurements[leg.to];
        while measurements.get(1).is_some_and(|m| m.available_at <= self.now) {
            measurements.pop_front();
        }
        let latest = measurements.front().filter(|m| m.available_at <= self.now);
        let group = self.groups.get(leg.group);
        LoadReport {
            free_circuits: group.map(|g| f64::from(g.free())),
            group_size: group.map(|g| f64::from(g.working)),
            queueing_delay: latest.map(|m| m.wait),
            requested_reduction: latest.map(|m| m.requested_reduction),
            ..LoadReport::default()
        }
    }

    /// Stops a processor: the jobs in its queues are lost, and the calls through it are cut.
    pub(super) fn stop_processor(&mut self, exchange: usize) {
        self.processors[exchange].stop();
        self.measurements[exchange].clear();
        let uses_exchange = |leg: &&LegIx| {
            let leg = &self.legs[**leg as usize];
            leg.from == exchange || leg.to == exchange
        };
        let affected: Vec<LegIx> = self.legs_with_circuits.iter().filter(uses_exchange).copied().collect();
        for leg in affected {
            self.break_leg(leg);
        }
    }

    /// Starts a new, cold processor in place of a stopped one; the roster lists it after a delay.
    pub(super) fn start_processor(&mut self, exchange: usize) {
        let exchange_id = self.new_exchange_id(exchange);
        let replacement = Processor::new(exchange_id, self.day.processor, Some(self.now));
        let mut old = std::mem::replace(&mut self.processors[exchange], replacement);
        self.processors[exchange].slowdown = old.slowdown;
        old.stop();
        self.retired.push(old);
        let entry = self.roster_entry(exchange, exchange_id, ServiceState::InService, Some(self.now));
        self.publish_roster_update(self.now + self.day.planned_delay, entry);
    }

    /// Sends the status of all groups of an exchange to both of their ends.
    pub(super) fn report_groups(&mut self, exchange: usize) {
        for far in (0..self.day.exchange_count).filter(|x| *x != exchange) {
            let group = self.group_of[exchange * self.day.exchange_count + far];
            self.group_changed(group);
        }
    }
}
