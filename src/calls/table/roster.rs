//! What discovery says of exchanges, and the end of their processes, as far as it concerns calls.

use super::record::EndedAttempt;
use super::{Stage, Table};
use crate::calls::{CallEffect, ExchangeCommand};
use crate::interface::*;
use crate::membership::start_time::latest_start;
use crate::recovery::attempt_end::AttemptEnd;

impl Table {
    /// The calls with an attempt in progress at an exchange.
    fn attempted_at(&self, exchange: ExchangeId) -> Vec<CallId> {
        self.calls_in(
            |stage| matches!(stage, Stage::Attempting { exchange_id, .. } if *exchange_id == exchange),
        )
    }

    /// The calls established at an exchange.
    fn established_at(&self, exchange: ExchangeId) -> Vec<CallId> {
        self.calls_in(
            |stage| matches!(stage, Stage::Established { exchange_id, .. } if *exchange_id == exchange),
        )
    }

    fn calls_in(&self, matches: impl Fn(&Stage) -> bool) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| matches(&call.stage)).map(|(id, _)| id.clone()).collect()
    }

    /// The process of an exchange has ended: the established calls there are cut. The exchange's actor reports an
    /// established call before the end of its process, and the calls of the next process after it.
    pub(super) fn on_exchange_down(
        &mut self,
        now: Time,
        exchange_id: ExchangeId,
        effects: &mut Vec<CallEffect>,
    ) {
        for id in self.established_at(exchange_id) {
            self.on_exchange_released(now, id, exchange_id, false, LoadReport::default(), effects);
        }
    }

    /// Discovery has removed an exchange. It may still work, cut off from discovery, so its attempts end without proof,
    /// and it is told that its calls are released.
    fn on_exchange_removed(&mut self, now: Time, exchange_id: ExchangeId, effects: &mut Vec<CallEffect>) {
        for id in self.attempted_at(exchange_id) {
            let ended = EndedAttempt::without_message(AttemptEnd::ExchangeRemoved);
            self.on_set_up_failed(now, id, exchange_id, None, ended, effects);
        }
        for id in self.established_at(exchange_id) {
            let release = ExchangeCommand::Release { leg: None };
            effects.push(CallEffect::Exchange(exchange_id, id.clone(), release));
            self.on_exchange_released(now, id, exchange_id, false, LoadReport::default(), effects);
        }
    }

    pub(super) fn on_roster(
        &mut self,
        now: Time,
        full_roster: bool,
        mut roster_entries: Vec<RosterEntry>,
        effects: &mut Vec<CallEffect>,
    ) {
        let mut removed = Vec::new();
        if full_roster {
            for (id, listed) in &mut self.roster {
                if listed.0 != ServiceState::Removed && !roster_entries.iter().any(|e| e.id == *id) {
                    listed.0 = ServiceState::Removed;
                    self.unavailable_since.entry(*id).or_insert(now);
                    removed.push(*id);
                }
            }
        }
        for entry in &mut roster_entries {
            self.listed_numbers.insert(entry.number);
            if self.settings.own_exchange == Some(entry.number) {
                self.own_exchanges.insert(entry.id);
            }
            let known_start = self.roster.get(&entry.id).and_then(|(_, ready_at, _)| *ready_at);
            entry.ready_at = latest_start(known_start, entry.ready_at);
            let previous = self.roster.insert(entry.id, (entry.state, entry.ready_at, entry.number));
            if entry.state == ServiceState::Removed
                && previous.is_some_and(|(c, ..)| c != ServiceState::Removed)
            {
                removed.push(entry.id);
            }
            if entry.state == ServiceState::InService {
                self.unavailable_since.remove(&entry.id);
            } else {
                self.unavailable_since.entry(entry.id).or_insert(now);
            }
        }
        let kind = if full_roster { RosterKind::Full } else { RosterKind::Incremental };
        self.decide(now, Event::Roster { kind, entries: roster_entries }, effects);
        for exchange_id in removed {
            self.on_exchange_removed(now, exchange_id, effects);
        }
        // Ids are never reused, so the entries of removed exchanges can be dropped.
        let roster = &mut self.roster;
        roster.retain(|_, (state, ..)| *state != ServiceState::Removed);
        self.unavailable_since.retain(|id, _| roster.contains_key(id));
        self.own_exchanges.retain(|id| roster.contains_key(id));
        self.status_received.retain(|id| roster.contains_key(id));
    }

    /// Size of the largest map or set that is keyed by exchange, to check that removed exchanges are dropped.
    pub fn exchange_entries(&self) -> usize {
        [
            self.roster.len(),
            self.unavailable_since.len(),
            self.own_exchanges.len(),
            self.status_received.len(),
        ]
        .into_iter()
        .max()
        .unwrap_or(0)
    }
}
