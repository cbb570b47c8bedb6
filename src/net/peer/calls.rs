//! Calls at one exchange: sends commands, and handles answers and releases.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Peer;
use crate::calls::{CallEvent, ExchangeCommand, SetUp};
use crate::interface::*;
use crate::recovery::attempt_end::AttemptEnd;
use crate::recovery::set_ups::{Answered, Cancelled, EndedSetUp, PendingSetUp};
use crate::sip::message::Message;
use crate::sip::{failure_cause, q850_cause};
use crate::{telemetry, wire};

impl Peer {
    /// Carries out a command of the call table.
    pub(super) async fn command(&mut self, id: CallId, command: ExchangeCommand) {
        match command {
            ExchangeCommand::SetUp(set_up) => self.start_set_up(id, set_up).await,
            ExchangeCommand::CancelSetUp { leg } => self.cancel_set_up(id, leg),
            ExchangeCommand::Release { .. } => {
                self.liveness.call_ended(&id);
                self.release_at_exchange(id);
            }
        }
        self.connect();
    }

    /// Sends a set-up, or lets it wait for a connection.
    async fn start_set_up(&mut self, id: CallId, set_up: SetUp) {
        if !self.connections.is_empty() {
            return self.send_set_up(id, set_up).await;
        }
        let ended = match self.service_state {
            ServiceState::InService => self.set_ups.wait(id, set_up),
            _ => Some(EndedSetUp { id, leg: set_up.leg, end: AttemptEnd::NeverSent }),
        };
        if let Some(ended) = ended {
            self.report_end(ended).await;
        }
    }

    /// Ends the set-ups that wait for a connection. Releases go on waiting.
    pub(super) async fn end_waiting_set_ups(&mut self) {
        for ended in self.set_ups.end_waiting() {
            self.report_end(ended).await;
        }
    }

    /// Sends what waited for a connection.
    pub(super) async fn send_queued(&mut self) {
        for (id, set_up) in self.set_ups.take_waiting() {
            tracing::info!(office = self.exchange.0, call = id.0, attempt = set_up.leg, "queued set-up sent");
            self.send_set_up(id, set_up).await;
        }
        for id in std::mem::take(&mut self.queued_releases) {
            self.release_at_exchange(id);
        }
    }

    fn request(&self, method: &str, number: &str, id: &CallId, cseq: u32) -> Message {
        Message::request(method, &format!("sip:{number}@net"))
            .with("Via", format_args!("SIP/2.0/TCP {}", self.context.name))
            .with("Call-ID", &id.0)
            .with("CSeq", format_args!("{cseq} {method}"))
    }

    /// The connection for a set-up: the one with the fewest signs of failure and pending set-ups, among those on which
    /// no set-up of the call was answered.
    fn connection_for(&self, id: &CallId) -> Option<u64> {
        let candidates = self
            .connections
            .iter()
            .filter(|(connection_id, _)| !self.set_ups.was_answered_on(**connection_id, id));
        let best = candidates.min_by_key(|(connection_id, connection)| {
            (connection.failure_signs, self.set_ups.pending_on(**connection_id))
        });
        best.map(|(connection_id, _)| *connection_id)
    }

    /// Sends a set-up on an open connection.
    async fn send_set_up(&mut self, id: CallId, set_up: SetUp) {
        let Some(connection_id) = self.connection_for(&id) else {
            return self.report_end(EndedSetUp { id, leg: set_up.leg, end: AttemptEnd::HeldBack }).await;
        };
        let now = self.now();
        let remaining_ms = ((set_up.abandon_at - now) * 1000.0).max(1.0);
        let mut message = self
            .request("INVITE", &set_up.number, &id, 1)
            .with("X-Tier", &set_up.class)
            .with("X-Deadline", remaining_ms.round());
        message.body = set_up.description.to_vec();
        self.set_ups.sent(now, connection_id, id, &set_up);
        self.write(connection_id, &message);
    }

    /// Releases a call at the exchange, on the connection that received something last; without a connection, on the
    /// next one.
    pub(super) fn release_at_exchange(&mut self, id: CallId) {
        let latest =
            self.connections.iter().max_by(|(_, a), (_, b)| a.last_received.0.total_cmp(&b.last_received.0));
        match latest.map(|(connection_id, _)| *connection_id) {
            Some(connection_id) => {
                let release = self.request("BYE", "call", &id, 2).with("Reason", "Q.850;cause=16");
                let queued = self.connections.get(&connection_id).map(|c| c.handle.write_owed(release));
                if !matches!(queued, Some(Ok(()))) {
                    self.queued_releases.push(id);
                }
            }
            None => self.queued_releases.push(id),
        }
    }

    /// Cancels a set-up. If it was direct and timed out, and nothing was answered on its connection since it was sent,
    /// the connection is replaced.
    fn cancel_set_up(&mut self, id: CallId, leg: u32) {
        let Cancelled::Pending(connection_id, pending) = self.set_ups.cancel(&id, leg) else { return };
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            let timed_out = pending.direct && now >= pending.expires_at;
            connection.failure_signs += u32::from(timed_out && connection.last_answer <= pending.sent_at);
        }
        self.write(connection_id, &self.request("CANCEL", "call", &id, 1));
        self.replace_failing(connection_id);
    }

    /// Counts a sign of failure for each connection on which a direct set-up was overtaken: one that was sent later, on
    /// another connection, was answered first.
    fn count_overtaken(&mut self, answered: &PendingSetUp) {
        for (connection_id, call, sent_at) in self.set_ups.overtaken_by(self.now(), answered) {
            tracing::info!(
                office = self.exchange.0,
                call = call.0,
                connection = connection_id,
                "set-up overtaken by a later one"
            );
            if let Some(connection) = self.connections.get_mut(&connection_id) {
                connection.failure_signs += u32::from(connection.last_answer <= sent_at);
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
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            (connection.last_answer, connection.failure_signs) = (now, 0);
        }
        let end = (status >= 300).then(|| AttemptEnd::from_status(status));
        let answered = self.set_ups.answered(connection_id, &id, end);
        if answered == Answered::Unknown {
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
        match (answered, end) {
            (Answered::Pending(pending), None) => {
                self.on_established(connection_id, id, pending, message).await;
            }
            (Answered::Pending(pending), Some(end)) => {
                let (exchange, leg) = (self.exchange, Some(pending.leg));
                let cause = failure_cause(message.get("X-Outcome"));
                self.send_event(CallEvent::SetUpFailed { id, exchange, leg, end, cause, report }).await;
            }
            (_, end) => self.on_late_answer(connection_id, id, status, end, message, report).await,
        }
    }

    async fn on_established(
        &mut self,
        connection_id: u64,
        id: CallId,
        pending: PendingSetUp,
        message: Message,
    ) {
        self.liveness.call_established(self.now(), connection_id, id.clone(), pending.width);
        let (exchange, leg, description) = (self.exchange, Some(pending.leg), Arc::from(message.body));
        self.send_event(CallEvent::Answered { id, exchange, leg, description }).await;
        self.count_overtaken(&pending);
    }

    /// Handles an answer to a set-up that has ended here without confirmation. The call table releases its call.
    async fn on_late_answer(
        &mut self,
        connection_id: u64,
        id: CallId,
        status: u16,
        end: Option<AttemptEnd>,
        message: Message,
        report: LoadReport,
    ) {
        telemetry::answered_after_end();
        tracing::info!(
            office = self.exchange.0,
            call = id.0,
            connection = connection_id,
            status,
            "answer to a set-up that has ended"
        );
        let exchange = self.exchange;
        if end.is_none() {
            let description = Arc::from(message.body);
            self.send_event(CallEvent::Answered { id, exchange, leg: None, description }).await;
        } else if report != LoadReport::default() {
            self.send_event(CallEvent::Status { exchange, report }).await;
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
