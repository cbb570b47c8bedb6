//! Small days and rogue proxies.
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

/// A scenario of four exchanges with these further lines; top-level keys come first.
pub fn scenario(seconds: u32, more: &str) -> Scenario {
    let text = format!("name = \"test\"\nseconds = {seconds}\n[fleet]\nexchanges = 4\n{more}");
    Scenario::parse(&text, Path::new("test.toml")).unwrap_or_else(|e| panic!("{e}"))
}

/// A day with shipped proxies.
pub fn shipped(scenario: &Scenario, seed: u64) -> DayResult {
    play(scenario, seed, &mut Shipped::new(Tuning::default()))
}

/// A day with these proxies.
pub fn play(scenario: &Scenario, seed: u64, seats: &mut dyn ProxyFleet) -> DayResult {
    let day = Day::draw(scenario, seed);
    run(&day, &generate(&day), seats, 0).expect("these proxies do not fail")
}

/// Proxies without control whose commands something is done to.
pub struct Rogue<F> {
    inner: Direct,
    sin: F,
}

impl<F> Rogue<F> {
    pub fn new(sin: F) -> Self {
        Rogue { inner: Direct::default(), sin }
    }
}

impl<F: FnMut(Time, &EventsByProxy, &mut Vec<(usize, CallEffect)>)> ProxyFleet for Rogue<F> {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        self.inner.start(day, proxy, now, seed)
    }
    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.inner.stop(proxy)
    }
    fn tick(
        &mut self,
        now: Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        self.inner.tick(now, told.clone(), out)?;
        (self.sin)(now, &told, out);
        Ok(())
    }
}

/// The ends of attempts that were told.
pub fn ends(told: &EventsByProxy) -> impl Iterator<Item = (usize, &CallEvent)> {
    let all = told.iter().flat_map(|(proxy, inputs)| inputs.iter().map(move |i| (*proxy, i)));
    all.filter(|(_, input)| matches!(input, CallEvent::SetUpFailed { .. }))
}
