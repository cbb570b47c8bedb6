//! Result of a day: service, counts of ends, time series, rule violations and consistency checks.

use std::collections::BTreeMap;

use mallowring::interface::{CallId, Cause, Outcome};
use serde::Serialize;

use super::account::{service, ProcessorWork, Quantiles, Service};
use super::processor::RunState;
use super::rules::Violation;
use super::{Event, RequestState, Simulation};
use crate::day::SECOND;

/// Counts of how callers' requests and the proxies' attempts ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Ends {
    /// Requests of callers: first calls, redials and re-established calls.
    pub tries: u64,
    /// Attempts of the proxies.
    pub attempts: u64,
    /// Requests of callers that led to an established call.
    #[serde(rename = "stood")]
    pub established: u64,
    /// Requests of callers that were refused, rejected or failed.
    pub refused: u64,
    /// Transit calls that a tandem's proxy refused, rejected or failed.
    #[serde(rename = "turned_back")]
    pub cranked_back: u64,
    /// Requests abandoned by impatient callers.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Requests without a final answer when their proxy stopped.
    pub lost: u64,
    /// Established calls that were cut.
    pub cut: u64,
    /// Set-ups that a far processor refused.
    #[serde(rename = "full")]
    pub far_processor_full: u64,
    /// Attempts that found too few free circuits.
    pub no_circuit: u64,
    /// Attempts that the sending processor did not accept.
    #[serde(rename = "own_full")]
    pub own_processor_full: u64,
    /// Attempts to an exchange that could not be reached.
    pub no_connection: u64,
    /// Attempts that were reset.
    pub reset: u64,
    /// Number of the proxies' log lines, by their text after the first colon.
    pub logs: BTreeMap<String, u64>,
}

/// Kinds of log lines, and requests without an end, that a result lists at most.
const MAX_KEPT: usize = 50;

impl Ends {
    /// Counts a failed attempt.
    pub(super) fn count(&mut self, outcome: Outcome, failure_cause: Cause) {
        match (outcome, failure_cause) {
            (Outcome::NotSent, Cause::NoCircuit) => self.no_circuit += 1,
            (Outcome::NotSent, _) => self.own_processor_full += 1,
            (Outcome::ConnectFailed, _) => self.no_connection += 1,
            (Outcome::Reset, _) => self.reset += 1,
            _ => {}
        }
    }

    /// Counts a log line of a proxy.
    pub(super) fn log(&mut self, text: String) {
        let kind = text.split_once(": ").map_or(text.as_str(), |(_, rest)| rest).to_owned();
        if self.logs.len() < MAX_KEPT || self.logs.contains_key(&kind) {
            *self.logs.entry(kind).or_insert(0) += 1;
        }
    }
}

/// State of the fleet, sampled once a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// Share of all circuits in use.
    pub occupancy: f64,
    /// Mean wait at the processors, seconds.
    pub wait: f64,
    /// Mean over the proxies of the overload level of their own processor.
    pub own_level: f64,
    /// Mean over the proxies of the highest overload level of a far exchange.
    pub far_level: f64,
}

/// Result of one day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DayResult {
    /// Seed of the day.
    pub seed: u64,
    /// Number of exchanges.
    pub exchanges: usize,
    /// Calls offered: callers that dialled, redials not counted.
    pub calls: u64,
    /// Service; its score is 0 if a rule was broken.
    pub service: Service,
    /// The score without regard to rules.
    pub figure_unruled: f64,
    /// How requests and attempts ended.
    pub ends: Ends,
    /// Set-up delays, by class.
    pub waits: Vec<Quantiles>,
    /// Share of the established calls that were routed over a tandem.
    pub tandem_share: f64,
    /// Attempts per offered call.
    pub sends_per_call: f64,
    /// Mean share of the arrival period for which processors were busy.
    pub busy: f64,
    /// Samples by second.
    pub samples: Vec<Sample>,
    /// Number of rule violations.
    pub broken_rules: u64,
    /// The first violations of each rule.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Circuits, jobs and requests left over at the end; each is a fault of the model.
    pub leaks: Vec<String>,
    /// Both sides of Little's law for established calls: their mean number, and rate times mean holding time.
    #[serde(rename = "little")]
    pub littles_law: [f64; 2],
    /// Simulation events handled.
    pub events: u64,
    /// Set-ups offered to and blocked by each group.
    #[serde(skip)]
    pub groups: Vec<(u64, u64)>,
    /// Queue statistics of the processors in place at the end.
    #[serde(skip)]
    pub queues: Vec<super::processor::QueueStats>,
}

impl Simulation<'_> {
    /// Samples the state of the fleet.
    pub(super) fn sample(&mut self) {
        let (used, size) = self.groups.iter().fold((0, 0), |(u, s), g| (u + g.used, s + g.size));
        let n = self.day.exchange_count as f64;
        let waits: f64 = self.processors.iter().map(|p| p.wait(self.now)).sum();
        let levels = (0..self.day.exchange_count).filter_map(|p| self.fleet.levels(p));
        let (own, far) = levels.fold((0, 0), |(own, far), l| {
            (own + l.own, far + l.far.iter().map(|(_, level)| *level).max().unwrap_or(0))
        });
        self.samples.push(Sample {
            occupancy: f64::from(used) / f64::from(size.max(1)),
            wait: waits / n / SECOND as f64,
            own_level: own as f64 / n,
            far_level: far as f64 / n,
        });
        self.queue.schedule(self.now + SECOND, Event::Sample);
    }

    /// Computes the result and looks for anything left over.
    pub(super) fn finish_day(mut self) -> DayResult {
        self.change_established(0);
        let mut leaks = Vec::new();
        for group in self.groups.iter().filter(|g| g.used > 0) {
            leaks.push(format!("group {:?}: {} circuits in use", group.ends, group.used));
        }
        for (ix, processor) in self.processors.iter().enumerate() {
            if processor.present() > 0 && processor.state == RunState::Running {
                leaks.push(format!("processor {ix}: {} jobs in line", processor.present()));
            }
        }
        let open = |a: &&super::ProxyRequest| matches!(a.state, RequestState::Open | RequestState::Standing);
        for (ix, request) in self.requests.iter().enumerate().filter(|(_, a)| open(a)).take(MAX_KEPT) {
            let CallId(id) = super::call_id(ix as super::RequestIx);
            let incoming = request.incoming_leg.map(|leg| &self.legs[leg as usize]);
            let origin = incoming.map_or(String::new(), |leg| {
                let CallId(id) = super::call_id(leg.request);
                format!("; it is call {id} of proxy {}, whose attempt is {:?}", leg.from, leg.state)
            });
            leaks.push(format!(
                "call {id} of proxy {} has no end: {:?}{origin}",
                request.proxy, request.state
            ));
        }
        let processors = || self.processors.iter().chain(&self.retired);
        let work = ProcessorWork { done: processors().map(|p| p.work_done).sum() };
        let busy: f64 = processors().map(|p| p.busy_us).sum();
        let mut service = service(self.day, self.callers, &self.call_results, work);
        let figure_unruled = service.figure;
        if self.rule_monitor.count > 0 {
            service.figure = 0.0;
        }
        let calls = self.callers.len() as u64;
        let established = self.call_results.iter().filter(|f| f.established_at.is_some()).count();
        let tandems = self.call_results.iter().filter(|f| f.established_at.is_some() && f.tandem).count();
        let span = (self.now.max(1)) as f64;
        let rate = self.ends.established as f64 / span;
        let mean = self.total_holding_us / (self.ends.established.max(1)) as f64;
        let seconds = (self.day.end / SECOND) as usize;
        self.samples.truncate(seconds + 1);
        DayResult {
            seed: self.day.seed,
            exchanges: self.day.exchange_count,
            calls,
            service,
            figure_unruled,
            waits: self.set_up_delays.quantiles(),
            tandem_share: tandems as f64 / established.max(1) as f64,
            sends_per_call: self.ends.attempts as f64 / calls.max(1) as f64,
            busy: busy / self.day.exchange_count as f64 / self.day.end.max(1) as f64,
            ends: self.ends,
            samples: self.samples,
            broken_rules: self.rule_monitor.count,
            violations: self.rule_monitor.violations,
            leaks,
            littles_law: [self.established_us / span, rate * mean],
            events: self.events_handled,
            groups: self.groups.iter().map(|g| (g.offered, g.blocked)).collect(),
            queues: self.processors.into_iter().map(|p| p.stats).collect(),
        }
    }
}
