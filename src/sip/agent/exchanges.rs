//! The exchange side of the agent: set-ups, their cancellation and release, and the responses of exchanges.

use std::sync::Arc;

use super::{with_to_tag, Agent, AgentOutput, Attempt, ExchangeSide, ALLOW};
use crate::calls::{CallEvent, ExchangeCommand, SetUp};
use crate::interface::*;
use crate::recovery::attempt_end::AttemptEnd;
use crate::sip::dialog::Dialog;
use crate::sip::failure_cause;
use crate::sip::header::{self, Transport, Uri, Via};
use crate::sip::message::Message;
use crate::sip::transaction::{TransactionFailure, TransactionKey};

impl Agent {
    /// Sends the set-up, cancellation or release that the call table has for an exchange.
    pub fn send_to_exchange(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        id: CallId,
        command: ExchangeCommand,
        out: &mut Vec<AgentOutput>,
    ) {
        match command {
            ExchangeCommand::SetUp(set_up) => self.set_up(now, exchange, id, set_up, out),
            ExchangeCommand::CancelSetUp { leg } => {
                let key = self.exchange_sides.get(&(id, leg)).and_then(|side| side.key.clone());
                if let Some(key) = key {
                    self.with_transactions(out, |transactions, outputs| {
                        transactions.cancel_invite(now, &key, outputs)
                    });
                }
            }
            ExchangeCommand::Release { leg } => {
                let attempt = (id, leg.unwrap_or(0));
                let dialog = self.exchange_sides.get(&attempt).and_then(|side| side.dialog.clone());
                self.remove_exchange_side(&attempt, out);
                if let Some(dialog) = dialog {
                    self.send_bye(now, dialog, 16, out);
                }
            }
        }
    }

    fn set_up(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        id: CallId,
        set_up: SetUp,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(hop) = self.config.exchanges.iter().find(|e| e.id == exchange).map(|e| e.hop) else {
            return;
        };
        let (via, contact) = (self.via(hop.transport), self.contact(hop.transport));
        let remaining = (set_up.abandon_at - now).max(0.0);
        let to = format!("<sip:{}@{}>", set_up.number, hop.addr);
        let uri =
            format!("sip:{}@{};transport={}", set_up.number, hop.addr, hop.transport.name().to_lowercase());
        let tag = self.random_token();
        let from = format!("<sip:mallowring@{}>;tag={tag}", self.config.addr);
        let mut invite = Message::request("INVITE", &uri)
            .with("Via", via)
            .with("Max-Forwards", 70)
            .with("From", from)
            .with("To", to)
            .with("Call-ID", format_args!("{}-{}@{}", id.0, set_up.leg, self.config.addr.ip()))
            .with("CSeq", "1 INVITE")
            .with("Contact", contact)
            .with("Allow", ALLOW)
            .with("Expires", remaining.ceil())
            .with("X-Tier", &set_up.class)
            .with("X-Deadline", (remaining * 1000.0).round());
        if !set_up.description.is_empty() {
            invite = invite.with("Content-Type", "application/sdp");
            invite.body = set_up.description.to_vec();
        }
        let attempt = (id, set_up.leg);
        *self.circuits_in_use.entry(exchange).or_insert(0) += set_up.width;
        self.report_trunk_group(exchange, out);
        let key = self.with_transactions(out, |transactions, outputs| {
            transactions.send_request(now, hop, invite, outputs)
        });
        self.attempts_by_client_key.extend(key.clone().map(|key| (key, attempt.clone())));
        self.exchange_sides
            .insert(attempt, ExchangeSide { exchange, key, width: set_up.width, dialog: None, ack: None });
    }

    /// Reports the free circuits of a trunk group, counting the circuits of the calls through this agent as
    /// used.
    pub(super) fn report_trunk_group(&self, exchange: ExchangeId, out: &mut Vec<AgentOutput>) {
        let Some(trunk_group) = self.config.exchanges.iter().find(|e| e.id == exchange) else { return };
        let in_use = self.circuits_in_use.get(&exchange).copied().unwrap_or(0);
        let free = f64::from(trunk_group.circuits.saturating_sub(in_use));
        let report = LoadReport {
            free_circuits: Some(free),
            group_size: Some(trunk_group.circuits.into()),
            ..LoadReport::default()
        };
        out.push(AgentOutput::CallTable(CallEvent::Status { exchange, report }));
    }

    /// Removes an attempt and frees its circuits.
    pub(super) fn remove_exchange_side(
        &mut self,
        attempt: &Attempt,
        out: &mut Vec<AgentOutput>,
    ) -> Option<ExchangeId> {
        let side = self.exchange_sides.remove(attempt)?;
        if let Some(key) = &side.key {
            self.attempts_by_client_key.remove(key);
        }
        if let Some(dialog) = &side.dialog {
            self.attempts_by_dialog.remove(&dialog.id);
            self.unwatch_call(side.exchange, &attempt.0);
        }
        if let Some(in_use) = self.circuits_in_use.get_mut(&side.exchange) {
            *in_use = in_use.saturating_sub(side.width);
        }
        self.report_trunk_group(side.exchange, out);
        Some(side.exchange)
    }

    pub(super) fn on_response(
        &mut self,
        now: Time,
        key: &TransactionKey,
        message: Message,
        out: &mut Vec<AgentOutput>,
    ) {
        let status = message.status().unwrap_or(500);
        if key.method == "OPTIONS" && status >= 200 {
            return self.on_probe_response(now, key, status, out);
        }
        if key.method != "INVITE" {
            return;
        }
        let attempt = self.attempts_by_client_key.get(key).cloned();
        match status {
            100..=199 => {
                let caller_side = attempt.as_ref().and_then(|(id, _)| self.caller_sides.get(id));
                if let (Some(side), 180..) = (caller_side.filter(|side| side.success.is_none()), status) {
                    let ringing =
                        with_to_tag(Message::response(180, "Ringing", &side.invite.headers), &side.tag);
                    let (key, contact) = (side.key.clone(), self.contact(side.hop.transport));
                    self.respond(now, &key, ringing.with("Contact", contact), out);
                }
            }
            200..=299 => self.on_success(now, attempt, message, out),
            _ => {
                let Some((id, leg)) = attempt else { return };
                let x_outcome = message.get("X-Outcome");
                let cause = match status {
                    _ if x_outcome.is_some() => failure_cause(x_outcome),
                    486 | 600 => Cause::LinesBusy,
                    503 => Cause::ProcessorFull,
                    _ => Cause::Unspecified,
                };
                let end = AttemptEnd::from_sip_status(status);
                if let Some(exchange) = self.remove_exchange_side(&(id.clone(), leg), out) {
                    let (leg, report) = (Some(leg), LoadReport::default());
                    out.push(AgentOutput::CallTable(CallEvent::SetUpFailed {
                        id,
                        exchange,
                        leg,
                        end,
                        cause,
                        report,
                    }));
                }
            }
        }
    }

    fn on_success(
        &mut self,
        now: Time,
        attempt: Option<Attempt>,
        message: Message,
        out: &mut Vec<AgentOutput>,
    ) {
        let via_transport =
            message.get("Via").and_then(Via::parse).and_then(|via| Transport::parse(via.transport));
        let side = attempt.as_ref().and_then(|attempt| self.exchange_sides.get(attempt));
        let hop =
            side.and_then(|side| self.config.exchanges.iter().find(|e| e.id == side.exchange)).map(|e| e.hop);
        let contact =
            message.get("Contact").map(header::addr_spec).and_then(Uri::parse).and_then(|uri| uri.hop());
        let Some(hop) = hop.or(contact) else { return };
        let Some(dialog) = Dialog::as_uac(&message, hop) else {
            tracing::warn!("2xx response without Contact cannot be acknowledged");
            return;
        };
        let (next_hop, fallback) = dialog.next_hop();
        if let Some(side) = side {
            match (&side.dialog, &side.ack) {
                (Some(established), Some(ack)) if established.id == dialog.id => {
                    out.push(AgentOutput::Send(next_hop, fallback, ack.clone()));
                    return;
                }
                _ => {}
            }
        }
        let via = self.via(via_transport.unwrap_or(hop.transport));
        let ack = dialog.ack(&message, &via);
        out.push(AgentOutput::Send(next_hop, fallback, ack.clone()));
        let unanswered_attempt = attempt
            .filter(|attempt| self.exchange_sides.get(attempt).is_some_and(|side| side.dialog.is_none()));
        let Some(attempt) = unanswered_attempt else {
            // A 2xx response of a forked INVITE or of an attempt that no longer exists: its call must be
            // released.
            return self.send_bye(now, dialog, 16, out);
        };
        let Some(side) = self.exchange_sides.get_mut(&attempt) else { return };
        self.attempts_by_dialog.insert(dialog.id.clone(), attempt.clone());
        (side.dialog, side.ack) = (Some(dialog), Some(ack));
        let (exchange, width, description) = (side.exchange, side.width, Arc::from(message.body));
        let (id, leg) = attempt;
        self.watch_call(now, exchange, id.clone(), width, out);
        out.push(AgentOutput::CallTable(CallEvent::Answered { id, exchange, leg: Some(leg), description }));
    }

    pub(super) fn on_failed(
        &mut self,
        key: &TransactionKey,
        failure: TransactionFailure,
        out: &mut Vec<AgentOutput>,
    ) {
        self.on_probe_failed(key);
        let Some((id, leg)) = self.attempts_by_client_key.get(key).cloned() else { return };
        let Some(exchange) = self.remove_exchange_side(&(id.clone(), leg), out) else { return };
        let end = match failure {
            TransactionFailure::Timeout => AttemptEnd::TimedOut,
            TransactionFailure::ConnectionLost => AttemptEnd::ConnectionEnded,
            TransactionFailure::Unreachable | TransactionFailure::Refused => AttemptEnd::NeverSent,
        };
        let (leg, cause, report) = (Some(leg), Cause::Unspecified, LoadReport::default());
        out.push(AgentOutput::CallTable(CallEvent::SetUpFailed { id, exchange, leg, end, cause, report }));
    }
}
