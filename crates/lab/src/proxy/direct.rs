//! Proxies without any control: every call goes direct, once, and what is turned away is refused. Theory speaks of
//! such systems, so the model is held against it with them.

use std::collections::BTreeMap;

use mallowring::calls::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, Request, SetUp, MARGIN,
};
use mallowring::interface::*;

use super::{EventsByProxy, ProxyFleet};
use crate::day::Day;
use crate::LabError;

/// A fleet of them.
#[derive(Debug, Default)]
pub struct Direct {
    proxies: BTreeMap<usize, One>,
}

#[derive(Debug, Default)]
struct One {
    offices: BTreeMap<ExchangeNumber, ExchangeId>,
    /// Attempts that are out.
    out: BTreeMap<CallId, ExchangeId>,
}

impl One {
    fn take(&mut self, now: Time, input: CallEvent, out: &mut Vec<CallEffect>) {
        let near = |id, near| CallEffect::Caller(Front::Platform, id, near);
        match input {
            CallEvent::Roster { entries: offices, .. } => {
                for office in offices.into_iter().filter(|o| o.state == ServiceState::InService) {
                    self.offices.insert(office.number, office.id);
                }
            }
            CallEvent::Request(request) => match self.offices.get(&request.dest) {
                Some(office) => {
                    self.out.insert(request.id.clone(), *office);
                    let last = now + (request.ttl - MARGIN).max(0.0);
                    out.push(CallEffect::StartTimer(last, CallTimer::AttemptTimeout(request.id.clone(), 0)));
                    out.push(set_up(now, *office, request));
                }
                None => out.push(near(request.id, CallerCommand::Refuse(None))),
            },
            CallEvent::Answered { id, exchange: office, description, .. } => match self.out.remove(&id) {
                Some(_) => out.push(near(id, CallerCommand::Answer(description))),
                None => out.push(CallEffect::Exchange(office, id, ExchangeCommand::Release { leg: Some(0) })),
            },
            CallEvent::SetUpFailed { id, .. } if self.out.remove(&id).is_some() => {
                out.push(near(id, CallerCommand::Refuse(None)));
            }
            CallEvent::TimerExpired(CallTimer::AttemptTimeout(id, _)) => {
                if let Some(office) = self.out.remove(&id) {
                    out.push(CallEffect::Exchange(
                        office,
                        id.clone(),
                        ExchangeCommand::CancelSetUp { leg: 0 },
                    ));
                    out.push(near(id, CallerCommand::Refuse(None)));
                }
            }
            CallEvent::CallerGaveUp(id) => {
                if let Some(office) = self.out.remove(&id) {
                    out.push(CallEffect::Exchange(office, id, ExchangeCommand::CancelSetUp { leg: 0 }));
                }
            }
            CallEvent::ExchangeReleased { id, completed: whole, .. } => {
                out.push(near(id, CallerCommand::Release { completed: whole }))
            }
            _ => {}
        }
    }
}

fn set_up(now: Time, office: ExchangeId, request: Request) -> CallEffect {
    let set_up = SetUp {
        leg: 0,
        class: request.class,
        number: request.number,
        width: request.width,
        direct: true,
        description: request.description,
        abandon_at: now + request.ttl,
    };
    CallEffect::Exchange(office, request.id, ExchangeCommand::SetUp(set_up))
}

impl ProxyFleet for Direct {
    fn start(&mut self, _: &Day, proxy: usize, _: Time, _: u64) -> Result<(), LabError> {
        self.proxies.insert(proxy, One::default());
        Ok(())
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.proxies.remove(&proxy);
        Ok(())
    }

    fn tick(
        &mut self,
        now: Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        let mut commands = Vec::new();
        for (proxy, inputs) in told {
            let Some(one) = self.proxies.get_mut(&proxy) else { continue };
            for input in inputs {
                one.take(now, input, &mut commands);
            }
            out.extend(commands.drain(..).map(|command| (proxy, command)));
        }
        Ok(())
    }
}
