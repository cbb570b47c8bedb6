//! Proxies without any control: every call goes direct, once, and what is turned away is refused. Theory speaks of
//! such systems, so the model is held against it with them.

use std::collections::BTreeMap;

use mallowring::calls::{Command, Far, Front, Input, Near, Request, SetUp};
use mallowring::interface::*;

use super::{Seats, Told};
use crate::world::day::Day;
use crate::LabError;

/// A fleet of them.
#[derive(Debug, Default)]
pub struct Direct {
    proxies: BTreeMap<usize, One>,
}

#[derive(Debug, Default)]
struct One {
    offices: BTreeMap<ExchangeNo, OfficeId>,
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
                Some(office) => out.push(set_up(now, *office, request)),
                None => out.push(near(request.id, Near::Refuse(None))),
            },
            Input::Answered { id, description, .. } => out.push(near(id, Near::Answer(description))),
            Input::Ended { id, .. } => out.push(near(id, Near::Refuse(None))),
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
