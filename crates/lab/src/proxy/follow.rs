//! Writes down all that the proxies were told and commanded about some calls.

use mallowring::calls::{CallEffect, CallEvent, CallTimer};
use mallowring::interface::{CallId, Time};

use super::{EventsByProxy, OverloadLevels, ProxyFleet};
use crate::day::Day;
use crate::day::EPOCH;
use crate::LabError;

/// A fleet with an ear.
pub struct CallTrace<S> {
    inner: S,
    calls: Vec<CallId>,
    /// What was heard, a line each.
    pub lines: Vec<String>,
}

impl<S> CallTrace<S> {
    /// Listens for these calls.
    pub fn new(inner: S, calls: Vec<CallId>) -> Self {
        CallTrace { inner, calls, lines: Vec::new() }
    }

    fn line(&mut self, now: Time, proxy: usize, what: &str) {
        self.lines.push(format!("{:10.4} s  proxy {proxy}  {what}", now.0 - EPOCH));
    }
}

fn told_of(input: &CallEvent) -> Option<&CallId> {
    match input {
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

fn commanded_of(command: &CallEffect) -> Option<&CallId> {
    match command {
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
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        for (proxy, inputs) in &told {
            for input in inputs {
                if told_of(input).is_some_and(|id| self.calls.contains(id)) {
                    self.line(now, *proxy, &format!("<- {input:?}"));
                }
            }
        }
        let from = out.len();
        self.inner.tick(now, told, out)?;
        for (proxy, command) in &out[from..] {
            if commanded_of(command).is_some_and(|id| self.calls.contains(id)) {
                self.line(now, *proxy, &format!("-> {command:?}"));
            }
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.inner.levels(proxy)
    }
}
