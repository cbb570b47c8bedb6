//! Small scenarios, and proxies that break rules.
#![allow(dead_code)]

use std::path::Path;

use mallowring::calls::{CallEffect, CallEvent};
use mallowring::interface::Time;
use mallowring::Tuning;
use mallowring_lab::day::Day;
use mallowring_lab::proxy::{Direct, EventsByProxy, ProxyFleet, Shipped};
use mallowring_lab::scenario::Scenario;
use mallowring_lab::traffic::generate;
use mallowring_lab::world::{run, DayResult};
use mallowring_lab::LabError;

/// A scenario of four exchanges with further TOML lines appended.
pub fn scenario(seconds: u32, more: &str) -> Scenario {
    let text = format!("name = \"test\"\nseconds = {seconds}\n[fleet]\nexchanges = 4\n{more}");
    Scenario::parse(&text, Path::new("test.toml")).unwrap_or_else(|e| panic!("{e}"))
}

/// Simulates a day with shipped proxies.
pub fn shipped(scenario: &Scenario, seed: u64) -> DayResult {
    simulate(scenario, seed, &mut Shipped::new(Tuning::default()))
}

/// Simulates a day with a fleet of proxies.
pub fn simulate(scenario: &Scenario, seed: u64, fleet: &mut dyn ProxyFleet) -> DayResult {
    let day = Day::draw(scenario, seed);
    run(&day, &generate(&day), fleet, 0).expect("these proxies do not fail")
}

/// Proxies without overload control whose effects a closure alters.
pub struct Altered<F> {
    inner: Direct,
    alter: F,
}

impl<F> Altered<F> {
    pub fn new(alter: F) -> Self {
        Altered { inner: Direct::default(), alter }
    }
}

impl<F: FnMut(Time, &EventsByProxy, &mut Vec<(usize, CallEffect)>)> ProxyFleet for Altered<F> {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        self.inner.start(day, proxy, now, seed)
    }
    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.inner.stop(proxy)
    }
    fn tick(
        &mut self,
        now: Time,
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        self.inner.tick(now, events.clone(), out)?;
        (self.alter)(now, &events, out);
        Ok(())
    }
}

/// The failures of set-ups among events.
pub fn failures(events: &EventsByProxy) -> impl Iterator<Item = (usize, &CallEvent)> {
    let all = events.iter().flat_map(|(proxy, inbox)| inbox.iter().map(move |event| (*proxy, event)));
    all.filter(|(_, event)| matches!(event, CallEvent::SetUpFailed { .. }))
}
