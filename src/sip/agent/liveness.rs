//! Watches the exchanges that hold calls, with the failure detector of the platform's exchanges
//! ([`crate::membership::liveness`]).
//!
//! A message on a TCP connection proves that the process at its other end lives. A datagram proves nothing about calls: it
//! may come from a process that has replaced theirs. What proves a call is the call itself: an OPTIONS request within its
//! dialog (RFC 3261, section 11.2) is answered with 481 by a process that does not have it.

use super::{Agent, AgentOutput, AgentTimer, Attempt, Exchange};
use crate::calls::CallEvent;
use crate::interface::*;
use crate::membership::liveness::{CloseKind, Effect, FailureDetector, Timing};
use crate::sip::header::{Hop, Transport};
use crate::sip::transaction::{TransactionFailure, TransactionKey};
use crate::telemetry;

/// A check that runs this many seconds late is postponed: received messages may not have been read yet.
const STALL_THRESHOLD: Secs = 0.25;
/// Delay in seconds of a check postponed for this reason.
const STALL_RECHECK_DELAY: Secs = 0.1;

/// What is known of the life of one exchange.
#[derive(Debug)]
pub(super) struct ExchangeWatch {
    detector: FailureDetector,
    /// Number of the open connection; over UDP, of all datagrams.
    connection: Option<u64>,
    next_connection: u64,
    /// The connection was lost, and no new one has been opened since.
    connection_lost: bool,
    /// When the next check is due, if one is scheduled.
    check_at: Option<Time>,
    /// The last check ran late and was postponed.
    postponed: bool,
}

impl ExchangeWatch {
    fn new() -> Self {
        ExchangeWatch {
            detector: FailureDetector::new(Timing::default()),
            connection: None,
            next_connection: 0,
            connection_lost: false,
            check_at: None,
            postponed: false,
        }
    }

    /// The number of the open connection. One that has not been reported yet is recorded as opened now.
    fn connection(&mut self, now: Time) -> u64 {
        match self.connection {
            Some(connection) => connection,
            None => self.connection_opened(now),
        }
    }

    fn connection_opened(&mut self, now: Time) -> u64 {
        let connection = self.next_connection;
        self.next_connection += 1;
        self.detector.connection_opened(now, connection);
        (self.connection, self.connection_lost) = (Some(connection), false);
        connection
    }

    fn close(&mut self, now: Time) {
        if let Some(connection) = self.connection.take() {
            self.detector.connection_closed(now, connection, CloseKind::Other);
            self.connection_lost = true;
        }
    }
}

/// An OPTIONS request within the dialog of a call.
#[derive(Debug)]
pub(super) struct Probe {
    attempt: Attempt,
    sent: Time,
}

/// Whether a response to a request within a dialog says that the dialog is over (RFC 3261, section 12.2.1.2).
fn ends_dialog(status: u16) -> bool {
    matches!(status, 408 | 481)
}

impl Agent {
    fn exchange_at(&self, hop: Hop) -> Option<&Exchange> {
        self.config.exchanges.iter().find(|exchange| exchange.hop == hop)
    }

    fn watch(&mut self, exchange: ExchangeId) -> &mut ExchangeWatch {
        self.watches.entry(exchange).or_insert_with(ExchangeWatch::new)
    }

    /// Records a message that may come from an exchange.
    pub(super) fn record_activity(&mut self, now: Time, from: Hop) {
        if from.transport != Transport::Tcp {
            return;
        }
        let Some(exchange) = self.exchange_at(from).map(|exchange| exchange.id) else { return };
        let watch = self.watch(exchange);
        let connection = watch.connection(now);
        watch.detector.message_received(now, connection);
    }

    /// Records that an exchange has answered a set-up.
    pub(super) fn watch_call(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        call: CallId,
        width: u32,
        out: &mut Vec<AgentOutput>,
    ) {
        let watch = self.watch(exchange);
        let connection = watch.connection(now);
        watch.detector.call_established(now, connection, call, width);
        self.schedule_check(now, exchange, out);
    }

    /// Records that an established call has ended.
    pub(super) fn unwatch_call(&mut self, exchange: ExchangeId, call: &CallId) {
        if let Some(watch) = self.watches.get_mut(&exchange) {
            watch.detector.call_ended(call);
        }
    }

    /// Handles a connection that was opened by this side.
    pub fn on_connection_opened(&mut self, now: Time, hop: Hop) {
        if let Some(exchange) = self.exchange_at(hop).map(|exchange| exchange.id) {
            let watch = self.watch(exchange);
            watch.close(now);
            watch.connection_opened(now);
        }
    }

    /// Records the loss of a connection to an exchange, or that none could be made. If one is refused after the last one
    /// was lost, the process is dead and its calls have ended.
    pub(super) fn exchange_connection_failed(
        &mut self,
        now: Time,
        hop: Hop,
        failure: TransactionFailure,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(exchange) = self.exchange_at(hop).map(|exchange| exchange.id) else { return };
        let Some(watch) = self.watches.get_mut(&exchange) else { return };
        match failure {
            TransactionFailure::ConnectionLost => {
                watch.close(now);
                self.probe_calls(now, exchange, out);
            }
            TransactionFailure::Refused if watch.connection_lost => {
                watch.connection_lost = false;
                let calls = watch.detector.process_died();
                tracing::warn!(
                    office = exchange.0,
                    calls = calls.len(),
                    "exchange process is dead: its calls are released"
                );
                self.release_lost_calls(now, exchange, &calls, out);
            }
            _ => {}
        }
        self.schedule_check(now, exchange, out);
    }

    fn schedule_check(&mut self, now: Time, exchange: ExchangeId, out: &mut Vec<AgentOutput>) {
        let Some(watch) = self.watches.get_mut(&exchange) else { return };
        let Some(at) = watch.detector.next_check(now) else { return };
        if watch.check_at.is_none_or(|planned| planned > at) {
            watch.check_at = Some(at);
            out.push(AgentOutput::StartTimer(at, AgentTimer::CheckExchange(exchange)));
        }
    }

    /// Runs the check of an exchange that is due.
    pub(super) fn check_exchange(&mut self, now: Time, exchange: ExchangeId, out: &mut Vec<AgentOutput>) {
        let Some(watch) = self.watches.get_mut(&exchange) else { return };
        let Some(at) = watch.check_at.filter(|at| now.0 >= at.0 - 1e-6) else { return };
        watch.check_at = None;
        watch.postponed = now - at > STALL_THRESHOLD && !watch.postponed;
        if watch.postponed {
            // This proxy itself was stalled: messages that arrived meanwhile are read first.
            let at = now + STALL_RECHECK_DELAY;
            watch.check_at = Some(at);
            return out.push(AgentOutput::StartTimer(at, AgentTimer::CheckExchange(exchange)));
        }
        for effect in watch.detector.check(now) {
            match effect {
                Effect::Verify => self.probe_calls(now, exchange, out),
                Effect::Expire { calls, .. } => {
                    tracing::warn!(
                        office = exchange.0,
                        calls = calls.len(),
                        "liveness lease of the exchange expired: its calls are released"
                    );
                    telemetry::exchange_lease_expired(calls.len());
                    self.release_lost_calls(now, exchange, &calls, out);
                }
                // An exchange of this front has one connection.
                Effect::Replace(_) => {}
            }
        }
        self.schedule_check(now, exchange, out);
    }

    /// Asks an exchange for each of its calls, unless a question for the call is pending.
    fn probe_calls(&mut self, now: Time, exchange: ExchangeId, out: &mut Vec<AgentOutput>) {
        let is_pending = |attempt: &Attempt| self.probes.values().any(|probe| probe.attempt == *attempt);
        let established = self.exchange_sides.iter().filter(|(attempt, side)| {
            side.exchange == exchange && side.dialog.is_some() && !is_pending(attempt)
        });
        let attempts: Vec<Attempt> = established.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in attempts {
            self.probe(now, attempt, out);
        }
    }

    fn probe(&mut self, now: Time, attempt: Attempt, out: &mut Vec<AgentOutput>) {
        let dialog = self.exchange_sides.get(&attempt).and_then(|side| side.dialog.as_ref());
        let Some((hop, fallback)) = dialog.map(|dialog| dialog.next_hop()) else { return };
        let via = self.via(hop.transport);
        let dialog = self.exchange_sides.get_mut(&attempt).and_then(|side| side.dialog.as_mut());
        let Some(dialog) = dialog else { return };
        let request = dialog.next_request("OPTIONS", &via);
        let key = self.with_transactions(out, |transactions, outputs| {
            transactions.send_request_with_fallback(now, hop, fallback, request, outputs)
        });
        self.probes.extend(key.map(|key| (key, Probe { attempt, sent: now })));
    }

    /// Handles the final response to a probe: it proves the call, or that its process does not have it.
    pub(super) fn on_probe_response(
        &mut self,
        now: Time,
        key: &TransactionKey,
        status: u16,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(Probe { attempt, sent }) = self.probes.remove(key) else { return };
        let Some(exchange) = self.exchange_sides.get(&attempt).map(|side| side.exchange) else { return };
        if ends_dialog(status) {
            tracing::info!(call = attempt.0 .0, status, "call released: its exchange does not have it");
            return self.release_lost_call(now, &attempt, false, out);
        }
        let watch = self.watch(exchange);
        let connection = watch.connection(now);
        watch.detector.call_confirmed(sent, connection, &attempt.0);
    }

    /// Forgets a probe without a response.
    pub(super) fn on_probe_failed(&mut self, key: &TransactionKey) {
        self.probes.remove(key);
    }

    /// Releases the calls of a process that is dead or silent.
    fn release_lost_calls(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        calls: &[CallId],
        out: &mut Vec<AgentOutput>,
    ) {
        let lost = self.exchange_sides.iter().filter(|((call, _), side)| {
            side.exchange == exchange && side.dialog.is_some() && calls.contains(call)
        });
        let attempts: Vec<Attempt> = lost.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in attempts {
            // A process that lives on has to release the call as well.
            self.release_lost_call(now, &attempt, true, out);
        }
    }

    fn release_lost_call(
        &mut self,
        now: Time,
        attempt: &Attempt,
        tell_exchange: bool,
        out: &mut Vec<AgentOutput>,
    ) {
        let dialog = self.exchange_sides.get(attempt).and_then(|side| side.dialog.clone());
        let Some(exchange) = self.remove_exchange_side(attempt, out) else { return };
        let (id, report) = (attempt.0.clone(), LoadReport::default());
        out.push(AgentOutput::CallTable(CallEvent::ExchangeReleased {
            id,
            exchange,
            completed: false,
            report,
        }));
        if let Some(dialog) = dialog.filter(|_| tell_exchange) {
            self.send_bye(now, dialog, 41, out);
        }
    }
}
