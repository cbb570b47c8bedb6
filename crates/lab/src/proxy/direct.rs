//! Proxies without any control: every call goes direct, once, and what is turned away is refused. Theory speaks of
//! such systems, so the model is held against it with them.

use std::collections::BTreeMap;

use mallowring::calls::{Command, Far, Front, Input, Near, Request, SetUp, Wake, MARGIN};
use mallowring::interface::*;

use super::{Seats, Told};
use crate::day::Day;
use crate::LabError;

/// A fleet of them.
#[derive(Debug, Default)]
pub struct Direct {
    proxies: BTreeMap<usize, One>,
}

#[derive(Debug, Default)]
struct One {
    offices: BTreeMap<ExchangeNo, OfficeId>,
    /// Attempts that are out.
    out: BTreeMap<CallId, OfficeId>,
}

impl One {
    fn take(&mut self, now: Time, input: Input, out: &mut Vec<Command>) {
        let near = |id, near| Command::Near(Front::Platform, id, near);
        match input {
            Input::List { offices, .. } => {
                for office in offices.into_iter().filter(|o| o.condition == Condition::On) {
                    self.offices.insert(office.number, office.id);
                }
            }
            Input::Request(request) => match self.offices.get(&request.dest) {
                Some(office) => {
                    self.out.insert(request.id.clone(), *office);
                    let last = now + (request.ttl - MARGIN).max(0.0);
                    out.push(Command::Wake(last, Wake::Abandon(request.id.clone(), 0)));
                    out.push(set_up(now, *office, request));
                }
                None => out.push(near(request.id, Near::Refuse(None))),
            },
            Input::Answered { id, office, description, .. } => match self.out.remove(&id) {
                Some(_) => out.push(near(id, Near::Answer(description))),
                None => out.push(Command::Far(office, id, Far::Release { leg: Some(0) })),
            },
            Input::Ended { id, .. } if self.out.remove(&id).is_some() => {
                out.push(near(id, Near::Refuse(None)));
            }
            Input::Woken(Wake::Abandon(id, _)) => {
                if let Some(office) = self.out.remove(&id) {
                    out.push(Command::Far(office, id.clone(), Far::GiveUp { leg: 0 }));
                    out.push(near(id, Near::Refuse(None)));
                }
            }
            Input::GaveUp(id) => {
                if let Some(office) = self.out.remove(&id) {
                    out.push(Command::Far(office, id, Far::GiveUp { leg: 0 }));
                }
            }
            Input::Released { id, whole, .. } => out.push(near(id, Near::Release { whole })),
            _ => {}
        }
    }
}

fn set_up(now: Time, office: OfficeId, request: Request) -> Command {
    let set_up = SetUp {
        leg: 0,
        class: request.class,
        number: request.number,
        width: request.width,
        direct: true,
        description: request.description,
        until: now + request.ttl,
    };
    Command::Far(office, request.id, Far::SetUp(set_up))
}

impl Seats for Direct {
    fn start(&mut self, _: &Day, proxy: usize, _: Time, _: u64) -> Result<(), LabError> {
        self.proxies.insert(proxy, One::default());
        Ok(())
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.proxies.remove(&proxy);
        Ok(())
    }

    fn tick(&mut self, now: Time, told: Told, out: &mut Vec<(usize, Command)>) -> Result<(), LabError> {
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
