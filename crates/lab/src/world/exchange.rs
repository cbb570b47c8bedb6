//! Exchanges: their place on the roster, their reports, their stops and starts.

use mallowring::calls::CallEvent;
use mallowring::interface::*;
use rand_distr::{Distribution, StandardNormal};

use super::processor::{Processor, Up};
use super::{clock, Ev, Figures, LegIx, World};
use crate::day::{Us, SECOND};
use crate::random::noise;

/// A processor asks senders to hold back once its wait passes this share of the longest; all of it at the longest.
const EASY: f64 = 0.1;

impl World<'_> {
    /// A new id. Ids tell nothing of place or age.
    pub(super) fn new_office(&mut self, exchange: usize) -> ExchangeId {
        let count = self.exchange_of.len() as u64 + 1;
        // An odd factor: all ids below 2^32 differ.
        let id = ExchangeId(count.wrapping_mul(2_654_435_761) & 0xffff_ffff);
        self.exchange_of.insert(id, exchange);
        id
    }

    pub(super) fn entry(
        &self,
        exchange: usize,
        id: ExchangeId,
        condition: ServiceState,
        at: Option<Us>,
    ) -> RosterEntry {
        RosterEntry {
            id,
            zone: self.day.regions[self.day.region[exchange]].clone(),
            number: ExchangeNumber(exchange as i64),
            state: condition,
            weight: 1.0,
            ready_at: at.map(clock),
        }
    }

    /// The roster has news: each proxy is told some time after they are known.
    pub(super) fn announce(&mut self, known: Us, office: RosterEntry) {
        let news = self.news.len();
        for proxy in 0..self.day.n {
            let late = noise(self.day.seed, news as u64, proxy as u64) * self.day.spread as f64;
            self.queue.put(known + late as Us, Ev::News { proxy, news });
        }
        self.news.push((known, office));
    }

    pub(super) fn tell_news(&mut self, proxy: usize, news: usize) {
        let seat = &mut self.proxies[proxy];
        // One that starts later is given the whole list then.
        if !seat.up {
            return;
        }
        if self.now < seat.deaf_until {
            seat.missed.push(news);
            return;
        }
        let office = self.news[news].1.clone();
        if office.state != ServiceState::InService {
            self.watch.told(proxy, office.id, self.now);
        }
        self.deliver(proxy, CallEvent::Roster { full: false, entries: vec![office] });
    }

    /// A processor takes its figures, to be known later.
    pub(super) fn take_figures(&mut self, exchange: usize) {
        let processor = &self.processors[exchange];
        let longest = self.day.processor.longest_wait_us;
        let wait = processor.wait(self.now);
        let normal: f64 = StandardNormal.sample(&mut self.report_rngs[exchange]);
        let noisy = (1.0 + self.day.report_noise * normal).max(0.0);
        let hold_back = ((wait / longest - EASY) / (1.0 - EASY)).clamp(0.0, 1.0);
        if processor.up == Up::Running {
            let known = self.now + self.day.report_delay;
            let wait = wait * noisy / SECOND as f64;
            self.figures[exchange].push_back(Figures { known, wait, hold_back });
        }
        self.queue.put(self.now + self.day.report_period, Ev::Figures(exchange));
    }

    /// What comes along with the end of a leg: the group as it is, the far processor as it was.
    pub(super) fn report(&mut self, leg: LegIx) -> LoadReport {
        let leg = &self.legs[leg as usize];
        let figures = &mut self.figures[leg.to];
        while figures.get(1).is_some_and(|f| f.known <= self.now) {
            figures.pop_front();
        }
        let known = figures.front().filter(|f| f.known <= self.now);
        let group = self.groups.get(leg.group);
        LoadReport {
            free_circuits: group.map(|g| f64::from(g.free())),
            group_size: group.map(|g| f64::from(g.working)),
            queueing_delay: known.map(|f| f.wait),
            requested_reduction: known.map(|f| f.hold_back),
            ..LoadReport::default()
        }
    }

    /// A processor stops: what stands in its line is lost, and calls that touch it are cut.
    pub(super) fn stop_processor(&mut self, exchange: usize) {
        self.processors[exchange].stop();
        self.figures[exchange].clear();
        let touched = |leg: &&LegIx| {
            let leg = &self.legs[**leg as usize];
            leg.from == exchange || leg.to == exchange
        };
        let hit: Vec<LegIx> = self.active.iter().filter(touched).copied().collect();
        for leg in hit {
            self.cut(leg);
        }
    }

    /// A new processor starts in the place of a stopped one, cold.
    pub(super) fn start_processor(&mut self, exchange: usize) {
        let office = self.new_office(exchange);
        let fresh = Processor::new(office, self.day.processor, Some(self.now));
        let mut old = std::mem::replace(&mut self.processors[exchange], fresh);
        self.processors[exchange].slow = old.slow;
        old.stop();
        self.retired.push(old);
        let entry = self.entry(exchange, office, ServiceState::InService, Some(self.now));
        self.announce(self.now + self.day.planned, entry);
    }

    /// Tells both ends of all groups of an exchange how they stand.
    pub(super) fn tell_groups(&mut self, exchange: usize) {
        for far in (0..self.day.n).filter(|x| *x != exchange) {
            let group = self.group_of[exchange * self.day.n + far];
            self.changed(group);
        }
    }
}
