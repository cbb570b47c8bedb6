//! What the world knows of the proxies in its seats.

use mallowring::calls::{CallEffect, CallEvent};
use mallowring::interface::Time;

use crate::day::Day;
use crate::LabError;

/// What the proxies of a fleet were told in one tick, by proxy.
pub type EventsByProxy = Vec<(usize, Vec<CallEvent>)>;

/// OverloadLevels of overload, 0 to 4, as one proxy sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverloadLevels {
    /// Of its own processor.
    pub own: usize,
    /// Of far ones in service, by exchange.
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
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        self.as_mut().tick(now, told, out)
    }
    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.as_ref().levels(proxy)
    }
}

/// The signalling proxies of a fleet. They share nothing: each decides on its own inputs alone.
pub trait ProxyFleet {
    /// A proxy starts, knowing nothing.
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError>;

    /// A proxy ends, with all it knew.
    fn stop(&mut self, proxy: usize) -> Result<(), LabError>;

    /// Hands all that was told in one tick to the proxies and appends their commands in order.
    fn tick(
        &mut self,
        now: Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError>;

    /// The levels of overload that a proxy sees, where it can be asked.
    fn levels(&self, _proxy: usize) -> Option<OverloadLevels> {
        None
    }
}
