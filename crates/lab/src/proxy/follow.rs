//! Traces the events and effects of selected calls.

use mallowring::calls::{CallEffect, CallEvent, CallTimer};
use mallowring::interface::{CallId, Time};

use super::{EventsByProxy, OverloadLevels, ProxyFleet};
use crate::day::Day;
use crate::day::EPOCH;
use crate::LabError;

/// Wraps a fleet and records the events and effects of selected calls.
pub struct CallTrace<S> {
    inner: S,
    calls: Vec<CallId>,
    /// One line per event (`<-`) or effect (`->`).
    pub lines: Vec<String>,
}

impl<S> CallTrace<S> {
    /// Traces these calls.
    pub fn new(inner: S, calls: Vec<CallId>) -> Self {
        CallTrace { inner, calls, lines: Vec::new() }
    }

    fn record(&mut self, now: Time, proxy: usize, text: &str) {
        self.lines.push(format!("{:10.4} s  proxy {proxy}  {text}", now.0 - EPOCH));
    }
}

/// The call that an event is about.
fn call_of_event(event: &CallEvent) -> Option<&CallId> {
    match event {
        CallEvent::Request(request) => Some(&request.id),
        CallEvent::CallerGaveUp(id)
        | CallEvent::CallerReleased(id)
        | CallEvent::Answered { id, .. }
        | CallEvent::SetUpFailed { id, .. }
        | CallEvent::ExchangeReleased { id, .. }
        | CallEvent::TimerExpired(CallTimer::AttemptTimeout(id, _) | CallTimer::Deadline(id)) => Some(id),
        _ => None,
    }
}

/// The call that an effect is about.
fn call_of_effect(effect: &CallEffect) -> Option<&CallId> {
    match effect {
        CallEffect::Caller(_, id, _) | CallEffect::Exchange(_, id, _) => Some(id),
        _ => None,
    }
}

impl<S: ProxyFleet> ProxyFleet for CallTrace<S> {
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
        for (proxy, inbox) in &events {
            for event in inbox {
                if call_of_event(event).is_some_and(|id| self.calls.contains(id)) {
                    self.record(now, *proxy, &format!("<- {event:?}"));
                }
            }
        }
        let first_new = out.len();
        self.inner.tick(now, events, out)?;
        for (proxy, effect) in &out[first_new..] {
            if call_of_effect(effect).is_some_and(|id| self.calls.contains(id)) {
                self.record(now, *proxy, &format!("-> {effect:?}"));
            }
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.inner.levels(proxy)
    }
}
