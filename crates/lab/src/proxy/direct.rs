//! Proxies without overload control: every call is routed direct with one attempt, and refused if that fails. The
//! model is compared with queueing theory by means of them.

use std::collections::BTreeMap;

use mallowring::calls::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, Request, SetUp, MARGIN,
};
use mallowring::interface::*;

use super::{EventsByProxy, ProxyFleet};
use crate::day::Day;
use crate::LabError;

/// A fleet of proxies that route direct only.
#[derive(Debug, Default)]
pub struct Direct {
    proxies: BTreeMap<usize, DirectProxy>,
}

/// The state of one proxy.
#[derive(Debug, Default)]
struct DirectProxy {
    exchange_ids: BTreeMap<ExchangeNumber, ExchangeId>,
    /// Pending attempts.
    pending: BTreeMap<CallId, ExchangeId>,
}

impl DirectProxy {
    fn handle(&mut self, now: Time, event: CallEvent, effects: &mut Vec<CallEffect>) {
        let caller_effect = |id, command| CallEffect::Caller(Front::Platform, id, command);
        match event {
            CallEvent::Roster { entries: roster_entries, .. } => {
                for entry in roster_entries.into_iter().filter(|e| e.state == ServiceState::InService) {
                    self.exchange_ids.insert(entry.number, entry.id);
                }
            }
            CallEvent::Request(request) => match self.exchange_ids.get(&request.dest) {
                Some(exchange_id) => {
                    self.pending.insert(request.id.clone(), *exchange_id);
                    let timeout = now + (request.ttl - MARGIN).max(0.0);
                    effects.push(CallEffect::StartTimer(
                        timeout,
                        CallTimer::AttemptTimeout(request.id.clone(), 0),
                    ));
                    effects.push(set_up(now, *exchange_id, request));
                }
                None => effects.push(caller_effect(request.id, CallerCommand::Refuse(None))),
            },
            CallEvent::Answered { id, exchange: exchange_id, description, .. } => {
                match self.pending.remove(&id) {
                    Some(_) => effects.push(caller_effect(id, CallerCommand::Answer(description))),
                    None => effects.push(CallEffect::Exchange(
                        exchange_id,
                        id,
                        ExchangeCommand::Release { leg: Some(0) },
                    )),
                }
            }
            CallEvent::SetUpFailed { id, .. } if self.pending.remove(&id).is_some() => {
                effects.push(caller_effect(id, CallerCommand::Refuse(None)));
            }
            CallEvent::TimerExpired(CallTimer::AttemptTimeout(id, _)) => {
                if let Some(exchange_id) = self.pending.remove(&id) {
                    effects.push(CallEffect::Exchange(
                        exchange_id,
                        id.clone(),
                        ExchangeCommand::CancelSetUp { leg: 0 },
                    ));
                    effects.push(caller_effect(id, CallerCommand::Refuse(None)));
                }
            }
            CallEvent::CallerGaveUp(id) => {
                if let Some(exchange_id) = self.pending.remove(&id) {
                    effects.push(CallEffect::Exchange(
                        exchange_id,
                        id,
                        ExchangeCommand::CancelSetUp { leg: 0 },
                    ));
                }
            }
            CallEvent::ExchangeReleased { id, completed: is_completed, .. } => {
                effects.push(caller_effect(id, CallerCommand::Release { completed: is_completed }))
            }
            _ => {}
        }
    }
}

/// The single attempt of a request.
fn set_up(now: Time, exchange_id: ExchangeId, request: Request) -> CallEffect {
    let set_up = SetUp {
        leg: 0,
        class: request.class,
        number: request.number,
        width: request.width,
        direct: true,
        description: request.description,
        abandon_at: now + request.ttl,
    };
    CallEffect::Exchange(exchange_id, request.id, ExchangeCommand::SetUp(set_up))
}

impl ProxyFleet for Direct {
    fn start(&mut self, _: &Day, proxy: usize, _: Time, _: u64) -> Result<(), LabError> {
        self.proxies.insert(proxy, DirectProxy::default());
        Ok(())
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.proxies.remove(&proxy);
        Ok(())
    }

    fn tick(
        &mut self,
        now: Time,
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        let mut effects = Vec::new();
        for (proxy, inbox) in events {
            let Some(direct_proxy) = self.proxies.get_mut(&proxy) else { continue };
            for event in inbox {
                direct_proxy.handle(now, event, &mut effects);
            }
            out.extend(effects.drain(..).map(|effect| (proxy, effect)));
        }
        Ok(())
    }
}
