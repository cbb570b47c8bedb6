//! What a day leaves: service, ends of attempts, series, broken rules, and whether everything is accounted for.

use std::collections::BTreeMap;

use mallowring::interface::{CallId, Cause, Outcome};
use serde::Serialize;

use super::account::{service, Quantiles, Service, Work};
use super::processor::Up;
use super::rules::Broken;
use super::{AskState, Ev, World};
use crate::day::SECOND;

/// How tries and attempts ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Ends {
    /// Tries of callers.
    pub tries: u64,
    /// Attempts that left a proxy.
    pub attempts: u64,
    /// Tries that stood.
    pub stood: u64,
    /// Tries that were turned down.
    pub refused: u64,
    /// Calls in transit that were turned back.
    #[serde(rename = "turned_back")]
    pub cranked_back: u64,
    /// Callers that left early.
    pub left: u64,
    /// Requests that died with their proxy.
    pub lost: u64,
    /// Calls that stood and were cut.
    pub cut: u64,
    /// Set-ups that a far processor turned away.
    pub full: u64,
    /// Attempts that found no circuit.
    pub no_circuit: u64,
    /// Attempts that the own processor did not take.
    pub own_full: u64,
    /// Attempts that found nobody.
    pub no_connection: u64,
    /// Attempts that broke on their way.
    pub reset: u64,
    /// What the proxies logged, by the text without its figures.
    pub logs: BTreeMap<String, u64>,
}

/// The most kinds of log lines that are kept.
const LOGS: usize = 50;

impl Ends {
    pub(super) fn count(&mut self, outcome: Outcome, why: Cause) {
        match (outcome, why) {
            (Outcome::NotSent, Cause::NoCircuit) => self.no_circuit += 1,
            (Outcome::NotSent, _) => self.own_full += 1,
            (Outcome::ConnectFailed, _) => self.no_connection += 1,
            (Outcome::Reset, _) => self.reset += 1,
            _ => {}
        }
    }

    pub(super) fn log(&mut self, text: String) {
        let kind = text.split_once(": ").map_or(text.as_str(), |(_, rest)| rest).to_owned();
        if self.logs.len() < LOGS || self.logs.contains_key(&kind) {
            *self.logs.entry(kind).or_insert(0) += 1;
        }
    }
}

/// The state of the fleet at the end of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// Share of all circuits in use.
    pub occupancy: f64,
    /// Mean wait at the processors, seconds.
    pub wait: f64,
    /// Mean level of overload that proxies see at their own processors.
    pub own_level: f64,
    /// Mean over the proxies of the highest level that they see at a far one.
    pub far_level: f64,
}

/// One day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DayResult {
    /// Its seed.
    pub seed: u64,
    /// Exchanges.
    pub exchanges: usize,
    /// First tries.
    pub calls: u64,
    /// Service; its figure is 0 where a rule was broken.
    pub service: Service,
    /// The figure without regard to rules.
    pub figure_unruled: f64,
    /// How tries and attempts ended.
    pub ends: Ends,
    /// Times to standing, by class.
    pub waits: Vec<Quantiles>,
    /// Share of the calls that stood over a tandem.
    pub tandem_share: f64,
    /// Attempts for each first try.
    pub sends_per_call: f64,
    /// Mean share of the time that processors were busy while calls came.
    pub busy: f64,
    /// By second.
    pub samples: Vec<Sample>,
    /// Broken rules.
    pub broken_rules: u64,
    /// The first of them.
    pub broken: Vec<Broken>,
    /// What is left over at the end and should not be: a fault of the model.
    pub leaks: Vec<String>,
    /// Little's law over the standing calls: mean number, and rate times mean holding time.
    #[serde(rename = "little")]
    pub littles_law: [f64; 2],
    /// Events handled.
    pub events: u64,
    /// Set-ups asked for and blocked on each group.
    #[serde(skip)]
    pub groups: Vec<(u64, u64)>,
    /// Lines of the processors in service at the end.
    #[serde(skip)]
    pub queues: Vec<super::processor::QueueStats>,
}

impl World<'_> {
    pub(super) fn sample(&mut self) {
        let (used, size) = self.groups.iter().fold((0, 0), |(u, s), g| (u + g.used, s + g.size));
        let n = self.day.n as f64;
        let waits: f64 = self.processors.iter().map(|p| p.wait(self.now)).sum();
        let levels = (0..self.day.n).filter_map(|p| self.seats.levels(p));
        let (own, far) = levels.fold((0, 0), |(own, far), l| {
            (own + l.own, far + l.far.iter().map(|(_, level)| *level).max().unwrap_or(0))
        });
        self.samples.push(Sample {
            occupancy: f64::from(used) / f64::from(size.max(1)),
            wait: waits / n / SECOND as f64,
            own_level: own as f64 / n,
            far_level: far as f64 / n,
        });
        self.queue.put(self.now + SECOND, Ev::Sample);
    }

    pub(super) fn close_day(mut self) -> DayResult {
        self.count_standing(0);
        let mut leaks = Vec::new();
        for group in self.groups.iter().filter(|g| g.used > 0) {
            leaks.push(format!("group {:?}: {} circuits in use", group.ends, group.used));
        }
        for (ix, processor) in self.processors.iter().enumerate() {
            if processor.present() > 0 && processor.up == Up::Running {
                leaks.push(format!("processor {ix}: {} jobs in line", processor.present()));
            }
        }
        let open = |a: &&super::Ask| matches!(a.state, AskState::Open | AskState::Standing);
        for (ix, ask) in self.asks.iter().enumerate().filter(|(_, a)| open(a)).take(LOGS) {
            let CallId(id) = super::id_of(ix as super::AskIx);
            let up = ask.from.map(|leg| &self.legs[leg as usize]);
            let from = up.map_or(String::new(), |leg| {
                let CallId(id) = super::id_of(leg.ask);
                format!("; it is call {id} of proxy {}, whose attempt is {:?}", leg.from, leg.state)
            });
            leaks.push(format!("call {id} of proxy {} has no end: {:?}{from}", ask.at, ask.state));
        }
        let processors = || self.processors.iter().chain(&self.retired);
        let work = Work { done: processors().map(|p| p.done).sum() };
        let busy: f64 = processors().map(|p| p.busy).sum();
        let mut service = service(self.day, self.callers, &self.fates, work);
        let figure_unruled = service.figure;
        if self.watch.count > 0 {
            service.figure = 0.0;
        }
        let calls = self.callers.len() as u64;
        let stood = self.fates.iter().filter(|f| f.stood.is_some()).count();
        let tandems = self.fates.iter().filter(|f| f.stood.is_some() && f.tandem).count();
        let span = (self.now.max(1)) as f64;
        let rate = self.ends.stood as f64 / span;
        let mean = self.stood_time / (self.ends.stood.max(1)) as f64;
        let seconds = (self.day.end / SECOND) as usize;
        self.samples.truncate(seconds + 1);
        DayResult {
            seed: self.day.seed,
            exchanges: self.day.n,
            calls,
            service,
            figure_unruled,
            waits: self.waits.quantiles(),
            tandem_share: tandems as f64 / stood.max(1) as f64,
            sends_per_call: self.ends.attempts as f64 / calls.max(1) as f64,
            busy: busy / self.day.n as f64 / self.day.end.max(1) as f64,
            ends: self.ends,
            samples: self.samples,
            broken_rules: self.watch.count,
            broken: self.watch.broken,
            leaks,
            littles_law: [self.standing_area / span, rate * mean],
            events: self.events,
            groups: self.groups.iter().map(|g| (g.asked, g.blocked)).collect(),
            queues: self.processors.into_iter().map(|p| p.stats).collect(),
        }
    }
}
