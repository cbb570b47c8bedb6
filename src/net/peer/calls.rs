//! Calls at one exchange: sends commands, and handles answers and releases.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Peer, PendingInvite};
use crate::calls::{CallEvent, ExchangeCommand, SetUp};
use crate::interface::*;
use crate::sip::message::Message;
use crate::sip::{failure_outcome, q850_cause};
use crate::{telemetry, wire};

/// Limit of the set-ups that wait for a connection. Waiting releases have no limit of their own: each belongs to a
/// call whose record counts against the limit of the call table.
const MAX_QUEUED_SET_UPS: usize = 512;
/// A set-up overtaken by a later one is a sign of failure after this share of its time limit.
const OVERTAKEN_SHARE: f64 = 0.2;
/// Limit of the cancelled set-ups that are remembered because their answers may have crossed the CANCEL.
const MAX_CANCELLED: usize = 256;

impl Peer {
    /// Carries out a command of the call table.
    pub(super) async fn command(&mut self, id: CallId, command: ExchangeCommand) {
        if matches!(command, ExchangeCommand::Release { .. }) {
            self.liveness.call_ended(&id);
        }
        if self.connections.is_empty() {
            return self.command_without_connection(id, command).await;
        }
        match command {
            ExchangeCommand::CancelSetUp { leg } => self.cancel_set_up(id, leg).await,
            ExchangeCommand::SetUp(_) | ExchangeCommand::Release { .. } => self.send_command(id, command),
        }
        self.connect();
    }

    async fn command_without_connection(&mut self, id: CallId, command: ExchangeCommand) {
        let set_ups = self
            .queued_commands
            .iter()
            .filter(|(_, command)| matches!(command, ExchangeCommand::SetUp(_)))
            .count();
        let cannot_queue = set_ups >= MAX_QUEUED_SET_UPS || self.service_state != ServiceState::InService;
        match command {
            ExchangeCommand::SetUp(set_up) if cannot_queue => {
                let no_report = LoadReport::default();
                self.set_up_failed(
                    id,
                    Some(set_up.leg),
                    Outcome::ConnectFailed,
                    Cause::Unspecified,
                    no_report,
                )
                .await;
            }
            ExchangeCommand::SetUp(_) | ExchangeCommand::Release { .. } => {
                self.queued_commands.push_back((id, command))
            }
            // A set-up that was not sent yet needs no CANCEL.
            ExchangeCommand::CancelSetUp { .. } => {
                self.queued_commands.retain(|(w, f)| *w != id || !matches!(f, ExchangeCommand::SetUp(_)));
            }
        }
        self.connect();
    }

    /// Fails the set-ups that wait for a connection. Releases go on waiting.
    pub(super) async fn fail_queued_set_ups(&mut self) {
        let (set_ups, releases): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queued_commands)
            .into_iter()
            .partition(|(_, command)| matches!(command, ExchangeCommand::SetUp(_)));
        self.queued_commands.extend(releases);
        for (id, command) in set_ups {
            if let ExchangeCommand::SetUp(set_up) = command {
                let leg = Some(set_up.leg);
                self.set_up_failed(
                    id,
                    leg,
                    Outcome::ConnectFailed,
                    Cause::Unspecified,
                    LoadReport::default(),
                )
                .await;
            }
        }
    }

    fn request(&self, method: &str, number: &str, id: &CallId, cseq: u32) -> Message {
        Message::request(method, &format!("sip:{number}@net"))
            .with("Via", format_args!("SIP/2.0/TCP {}", self.context.name))
            .with("Call-ID", &id.0)
            .with("CSeq", format_args!("{cseq} {method}"))
    }

    /// Sends a command: a set-up on the connection with the fewest signs of failure and pending set-ups, a release on
    /// the connection that received something last.
    pub(super) fn send_command(&mut self, id: CallId, command: ExchangeCommand) {
        let (connection_id, message) = match command {
            ExchangeCommand::SetUp(SetUp {
                leg,
                class,
                number,
                width,
                direct,
                description,
                abandon_at: expires_at,
            }) => {
                let sent_at = self.now();
                let remaining_ms = ((expires_at - sent_at) * 1000.0).max(1.0);
                let mut message = self.request("INVITE", &number, &id, 1);
                message = message.with("X-Tier", class).with("X-Deadline", remaining_ms.round());
                message.body = description.to_vec();
                let least_loaded = self
                    .connections
                    .iter_mut()
                    .min_by_key(|(_, c)| (c.failure_signs, c.pending_set_ups.len()));
                let Some((connection_id, connection)) = least_loaded else { return };
                connection
                    .pending_set_ups
                    .insert(id, PendingInvite { leg, width, sent_at, expires_at, direct, overtaken: false });
                (*connection_id, message)
            }
            // Handled by `cancel_set_up`, on the connection of its set-up.
            ExchangeCommand::CancelSetUp { .. } => return,
            ExchangeCommand::Release { .. } => {
                let latest = self
                    .connections
                    .iter()
                    .max_by(|(_, a), (_, b)| a.last_received.0.total_cmp(&b.last_received.0));
                let Some((connection_id, _)) = latest else { return };
                (*connection_id, self.request("BYE", "call", &id, 2).with("Reason", "Q.850;cause=16"))
            }
        };
        self.write(connection_id, &message);
    }

    /// Cancels a pending set-up. If it was direct and timed out, and nothing was answered on its connection since it
    /// was sent, the connection is replaced.
    async fn cancel_set_up(&mut self, id: CallId, leg: u32) {
        let now = self.now();
        let pending =
            |c: &super::PeerConnection| c.pending_set_ups.get(&id).is_some_and(|invite| invite.leg == leg);
        let Some((connection_id, connection)) = self.connections.iter_mut().find(|(_, c)| pending(c)) else {
            return;
        };
        let Some(invite) = connection.pending_set_ups.remove(&id) else { return };
        let connection_id = *connection_id;
        if invite.direct && now >= invite.expires_at && connection.last_answer <= invite.sent_at {
            connection.failure_signs += 1;
        }
        self.send_cancel(connection_id, id);
        self.replace_failing(connection_id);
    }

    fn send_cancel(&mut self, connection_id: u64, id: CallId) {
        self.write(connection_id, &self.request("CANCEL", "call", &id, 1));
        self.cancelled.push_back(id);
        if self.cancelled.len() > MAX_CANCELLED {
            self.cancelled.pop_front();
        }
    }

    /// Counts a sign of failure for each connection on which a direct set-up was overtaken: one that was sent later, on
    /// another connection, was answered first. The set-up itself goes on waiting: the exchange may still be working on
    /// it.
    fn count_overtaken(&mut self) {
        let (now, latest) = (self.now(), self.latest_answered_send);
        for (connection_id, connection) in &mut self.connections {
            let last_answer = connection.last_answer;
            for (id, invite) in &mut connection.pending_set_ups {
                let grace = OVERTAKEN_SHARE * (invite.expires_at - invite.sent_at);
                let overtaken = invite.direct && invite.sent_at < latest && now - invite.sent_at >= grace;
                if !overtaken || std::mem::replace(&mut invite.overtaken, true) {
                    continue;
                }
                tracing::info!(
                    office = self.exchange.0,
                    call = id.0,
                    connection = connection_id,
                    "set-up overtaken by a later one"
                );
                connection.failure_signs += u32::from(last_answer <= invite.sent_at);
            }
        }
    }

    pub(super) async fn handle_sip_message(&mut self, connection_id: u64, message: Message) {
        let id = CallId(message.get("Call-ID").unwrap_or("").to_owned());
        let report = report_of(&message);
        match message.method() {
            Some("NOTIFY") => self.send_event(CallEvent::Status { exchange: self.exchange, report }).await,
            Some("BYE") => {
                self.write(connection_id, &Message::response(200, "OK", &message.headers));
                self.liveness.call_ended(&id);
                let completed = q850_cause(&message) == Some(16);
                self.send_event(CallEvent::ExchangeReleased {
                    id,
                    exchange: self.exchange,
                    completed,
                    report,
                })
                .await;
            }
            Some("OPTIONS") => self.write(connection_id, &Message::response(200, "OK", &message.headers)),
            Some("ACK") => {}
            Some(_) => {
                self.write(connection_id, &Message::response(405, "Method Not Allowed", &message.headers))
            }
            None => self.handle_response(connection_id, id, message, report).await,
        }
    }

    async fn handle_response(
        &mut self,
        connection_id: u64,
        id: CallId,
        message: Message,
        report: LoadReport,
    ) {
        let (Some(status), Some((_, "INVITE"))) = (message.status(), message.cseq()) else { return };
        if status < 200 {
            return;
        }
        // Answers are matched by Call-ID and method alone: exchanges do not repeat the number in CSeq.
        let now = self.now();
        let invite = self.connections.get_mut(&connection_id).and_then(|connection| {
            (connection.last_answer, connection.failure_signs) = (now, 0);
            connection.pending_set_ups.remove(&id)
        });
        let leg = invite.as_ref().map(|invite| invite.leg);
        let cancelled_at = self.cancelled.iter().position(|cancelled| *cancelled == id);
        if leg.is_none() && cancelled_at.is_none() {
            // A duplicate, or an unknown id: it must not end a set-up that is pending on another connection.
            tracing::info!(
                office = self.exchange.0,
                call = id.0,
                status,
                "answer without a pending set-up ignored"
            );
            return;
        }
        self.write(connection_id, &self.request("ACK", "call", &id, 1));
        if leg.is_none() {
            cancelled_at.and_then(|ix| self.cancelled.remove(ix));
            telemetry::answered_after_cancel();
            tracing::info!(
                office = self.exchange.0,
                call = id.0,
                connection = connection_id,
                status,
                "answer to a cancelled set-up"
            );
        }
        if status < 300 {
            if let Some(invite) = &invite {
                self.liveness.call_established(now, connection_id, id.clone(), invite.width);
            }
            let description = Arc::from(message.body);
            self.send_event(CallEvent::Answered { id, exchange: self.exchange, leg, description }).await;
            if let Some(invite) = invite.filter(|i| i.direct && i.sent_at > self.latest_answered_send) {
                self.latest_answered_send = invite.sent_at;
                self.count_overtaken();
            }
            return;
        }
        let (outcome, reason) = failure_outcome(status, message.get("X-Outcome"));
        if leg.is_some() {
            self.set_up_failed(id, leg, outcome, reason, report).await;
        } else if report != LoadReport::default() {
            self.send_event(CallEvent::Status { exchange: self.exchange, report }).await;
        }
    }
}

/// The load report that a message carries in `X-Gauges`. Unreadable values are left out.
pub(super) fn report_of(message: &Message) -> LoadReport {
    let pairs = message.get("X-Gauges").unwrap_or_default().split(';').filter_map(|pair| {
        let (name, value) = pair.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    });
    wire::parse_report(&pairs.collect::<BTreeMap<String, f64>>())
}
