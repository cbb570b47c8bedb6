//! Interface between the simulation and the signalling proxies.

use mallowring::calls::{CallEffect, CallEvent};
use mallowring::interface::Time;

use crate::day::Day;
use crate::LabError;

/// The events that the proxies receive in one tick, by proxy.
pub type EventsByProxy = Vec<(usize, Vec<CallEvent>)>;

/// Overload levels, 0 to 4, that one proxy's controller holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadLevels {
    /// Level of its own exchange's processor.
    pub own: usize,
    /// Levels of far exchanges in service, as (exchange, level).
    pub far: Vec<(usize, usize)>,
}

impl ProxyFleet for Box<dyn ProxyFleet> {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        self.as_mut().start(day, proxy, now, seed)
    }
    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.as_mut().stop(proxy)
    }
    fn tick(
        &mut self,
        now: Time,
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        self.as_mut().tick(now, events, out)
    }
    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.as_ref().levels(proxy)
    }
}

/// The signalling proxies of a fleet. They share no state: each decides on its own events alone.
pub trait ProxyFleet {
    /// Starts a proxy with no state.
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError>;

    /// Stops a proxy and discards its state.
    fn stop(&mut self, proxy: usize) -> Result<(), LabError>;

    /// Delivers the events of one tick to the proxies and appends their effects to `out` in order.
    fn tick(
        &mut self,
        now: Time,
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError>;

    /// The overload levels of a proxy, where the implementation can read them.
    fn levels(&self, _proxy: usize) -> Option<OverloadLevels> {
        None
    }
}
