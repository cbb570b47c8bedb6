//! The connections to one exchange: opening, loss, replacement and closing.

use std::time::Duration;

use smol::net::TcpStream;

use super::{Peer, PeerActorMessage, PeerConnection, MAX_CONNECTIONS};
use crate::calls::CallEvent;
use crate::interface::*;
use crate::limits::connections::Purpose;
use crate::membership::liveness::CloseKind;
use crate::net::conn::{ConnectionHandle, ReadLimits};
use crate::net::permits::{Permit, PermitDecision};
use crate::net::turns::Turns;
use crate::net::with_timeout;
use crate::sip::message::Message;
use crate::telemetry;

/// Pause in seconds before the next attempt to connect.
const RECONNECT_DELAY: Secs = 0.2;
/// Pause in seconds before a permit is requested again, while another exchange gives a connection up.
const PERMIT_RETRY_DELAY: Secs = 0.02;
/// Time within which a message has to be complete, from its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long, in seconds, the read half of a retired connection stays open.
const RETIRE_TIME: Secs = 1.0;
/// The same when the descriptor is needed elsewhere, or the exchange drains.
const RETIRE_TIME_URGENT: Secs = 0.25;

fn call_id_of(message: &Message) -> &str {
    message.get("Call-ID").unwrap_or("")
}

impl Peer {
    /// Opens missing connections, as far as permits are granted.
    pub(super) fn connect(&mut self) {
        while !self.reconnect_scheduled && self.service_state == ServiceState::InService {
            let connection_count = self.connections.len() + self.connecting;
            if connection_count >= MAX_CONNECTIONS {
                return;
            }
            let needed = self.is_busy();
            let purpose = match connection_count {
                0 if needed => Purpose::Needed,
                0 => Purpose::Idle,
                _ => Purpose::Another,
            };
            match self.context.permits.request(self.exchange, purpose) {
                PermitDecision::Granted(permit) => self.open_connection(permit),
                PermitDecision::Wait => return self.schedule_reconnect(PERMIT_RETRY_DELAY),
                PermitDecision::Denied if purpose == Purpose::Needed => {
                    return self.schedule_reconnect(RECONNECT_DELAY)
                }
                // The permit is requested again when a connection is needed.
                PermitDecision::Denied => return,
            }
        }
    }

    fn schedule_reconnect(&mut self, seconds: Secs) {
        if !std::mem::replace(&mut self.reconnect_scheduled, true) {
            self.post_later(seconds, PeerActorMessage::Reconnect);
        }
    }

    pub(super) fn open_connection(&mut self, permit: Permit) {
        self.connecting += 1;
        let (addr, mailbox) = (self.addr, self.own_mailbox.clone());
        let timeout = Duration::from_secs_f64(self.context.connect_timeout.max(0.001));
        let connect = async move {
            let connected = with_timeout(timeout, TcpStream::connect(addr)).await;
            let _ = mailbox.send(PeerActorMessage::Connected(connected, permit)).await;
        };
        self.context.tasks.spawn("connect to an exchange", connect);
    }

    pub(super) async fn connected(&mut self, stream: TcpStream, permit: Permit) {
        self.connecting -= 1;
        self.last_connection_lost = false;
        self.next_connection_id += 1;
        let connection_id = self.next_connection_id;
        let wrap = move |event| PeerActorMessage::Connection(connection_id, event);
        let limits = ReadLimits {
            message_timeout: MESSAGE_TIMEOUT,
            long_messages: Turns::for_long_messages(),
            waits_for_peer: false,
        };
        let (tasks, buffers) = (&self.context.tasks, &self.context.buffers);
        let handle = ConnectionHandle::open(tasks, buffers, stream, self.own_mailbox.clone(), limits, wrap);
        handle.mark_carries_calls();
        let connected_at = self.now();
        let is_verifying = std::mem::take(&mut self.verify_next);
        let connection = PeerConnection {
            handle,
            _permit: permit,
            connected_at,
            last_received: connected_at,
            has_received: false,
            last_answer: connected_at,
            failure_signs: u32::from(is_verifying),
        };
        self.connections.insert(connection_id, connection);
        self.liveness.connection_opened(connected_at, connection_id);
        if is_verifying {
            self.verifying_connection = Some(connection_id);
        }
        tracing::debug!(office = self.exchange.0, connection = connection_id, addr = %self.addr, "connected");
        self.send_queued().await;
    }

    /// Handles a failed attempt to connect. If no connection is left, the queued set-ups fail, as none of them was
    /// sent. If the attempt was refused just after the last connection was lost, the process is dead.
    pub(super) async fn connect_failed(&mut self, error: std::io::Error) {
        self.connecting -= 1;
        self.verify_next = false;
        telemetry::exchange_connect_failed(&error);
        let queued = self.set_ups.waiting_count() + self.queued_releases.len();
        if queued > 0 || self.last_connection_lost {
            tracing::info!(office = self.exchange.0, %error, queued, "connecting to the exchange failed");
        } else {
            tracing::debug!(office = self.exchange.0, %error, "connecting to the exchange failed");
        }
        if self.connections.is_empty() && self.connecting == 0 {
            self.end_waiting_set_ups().await;
            // A timeout proves less than a refusal: the liveness lease decides on the calls.
            let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            if refused && std::mem::take(&mut self.last_connection_lost) {
                self.exchange_died().await;
            }
        }
        self.schedule_reconnect(RECONNECT_DELAY);
    }

    async fn exchange_died(&mut self) {
        tracing::warn!(office = self.exchange.0, "exchange process is dead: its calls are released");
        self.last_connection_lost = false;
        let calls = self.liveness.process_died();
        self.send_event(CallEvent::ExchangeDown(self.exchange)).await;
        // A refused connection may have another reason: a process that lives on has to release its calls as well.
        if self.service_state == ServiceState::InService {
            calls.into_iter().for_each(|id| self.release_at_exchange(id));
        }
    }

    pub(super) async fn connection_lost(
        &mut self,
        connection_id: u64,
        reason: String,
        ended_by_proxy: bool,
        ending: CloseKind,
    ) {
        let Some(lost) = self.connections.remove(&connection_id) else { return };
        self.liveness.connection_closed(self.now(), connection_id, ending);
        self.verifying_connection = self.verifying_connection.filter(|verifying| *verifying != connection_id);
        telemetry::exchange_connection_lost();
        for release in lost.handle.take_undelivered() {
            self.release_at_exchange(CallId(call_id_of(&release).to_owned()));
        }
        let ended = self.set_ups.connection_ended(connection_id);
        tracing::info!(
            office = self.exchange.0,
            connection = connection_id,
            why = reason,
            open = ended.len(),
            "connection to the exchange lost"
        );
        if ended_by_proxy {
            // The exchange may have answered these set-ups, perhaps in the message that could not be read. A release
            // makes sure that it keeps no call established.
            ended.iter().for_each(|set_up| self.release_at_exchange(set_up.id.clone()));
        }
        let last = self.connections.is_empty();
        self.last_connection_lost |= last;
        match lost.has_received {
            true => self.connect(),
            // It came up and ended before the exchange was heard: another one at once may end the same way.
            false => self.schedule_reconnect(RECONNECT_DELAY),
        }
        for set_up in ended {
            self.report_end(set_up).await;
        }
        if last && self.service_state == ServiceState::Draining {
            // A draining exchange has stopped. A process that listens at its address later is another exchange, with
            // its own roster entry.
            self.exchange_died().await;
        }
    }

    /// Ends the set-ups that were pending on a connection, which has ended.
    pub(super) async fn end_pending_set_ups(&mut self, connection_id: u64) {
        for ended in self.set_ups.connection_ended(connection_id) {
            self.report_end(ended).await;
        }
    }

    /// Whether another connection has received a message since this one did.
    fn is_heard_elsewhere(&self, connection_id: u64, since: Time) -> bool {
        let mut others = self.connections.iter().filter(|(other, _)| **other != connection_id);
        others.any(|(_, other)| other.has_received && other.last_received > since)
    }

    /// Replaces a connection with signs of failure, once no set-up is pending on it. While calls are established, and
    /// the exchange is silent on all connections, it is kept: what the exchange has sent, such as a release, may still
    /// arrive on it.
    pub(super) fn replace_failing(&mut self, connection_id: u64) {
        let Some(connection) = self.connections.get(&connection_id) else { return };
        if connection.failure_signs == 0 || self.set_ups.pending_on(connection_id) > 0 {
            return;
        }
        if self.liveness.call_count() > 0 && !self.is_heard_elsewhere(connection_id, connection.last_received)
        {
            return;
        }
        tracing::info!(
            office = self.exchange.0,
            connection = connection_id,
            "connection does not answer: replaced"
        );
        self.retire(connection_id, RETIRE_TIME);
        self.connect();
    }

    /// Replaces the other connections with signs of failure, after a message on this one.
    pub(super) fn replace_other_failing(&mut self, connection_id: u64) {
        let failing = |(other, c): (&u64, &PeerConnection)| {
            (*other != connection_id && c.failure_signs > 0).then_some(*other)
        };
        let failing: Vec<u64> = self.connections.iter().filter_map(failing).collect();
        for other in failing {
            self.replace_failing(other);
        }
    }

    /// Closes the connection that has been quiet the longest, if there are too many and no liveness check uses one.
    pub(super) fn close_surplus(&mut self, keep: u64) {
        if self.connections.len() > MAX_CONNECTIONS && self.verifying_connection.is_none() {
            if let Some(connection_id) = self.quietest(Some(keep)) {
                self.retire(connection_id, RETIRE_TIME);
            }
        }
    }

    /// The connection without pending set-ups that has been quiet the longest.
    fn quietest(&self, keep: Option<u64>) -> Option<u64> {
        let idle = self.connections.iter().filter(|(connection_id, _)| {
            Some(**connection_id) != keep && self.set_ups.pending_on(**connection_id) == 0
        });
        idle.min_by(|(_, a), (_, b)| a.last_received.0.total_cmp(&b.last_received.0))
            .map(|(connection_id, _)| *connection_id)
    }

    /// Closes the write half of a connection. What the exchange still sends on it, such as a release, is received for
    /// `retire_time` seconds.
    fn retire(&mut self, connection_id: u64, retire_time: Secs) {
        let Some(connection) = self.connections.remove(&connection_id) else { return };
        connection.handle.close_write();
        self.liveness.connection_closed(self.now(), connection_id, CloseKind::Other);
        self.verifying_connection = self.verifying_connection.filter(|verifying| *verifying != connection_id);
        self.retired.insert(connection_id, (connection.handle, connection._permit));
        self.post_later(retire_time, PeerActorMessage::RetirementOver(connection_id));
    }

    /// Closes the quietest connection, as another exchange needs one more urgently, unless calls depend on it.
    pub(super) async fn give_up_connection(&mut self) {
        let only = self.connections.len() + self.connecting <= 1;
        let quietest = self.quietest(None).filter(|_| !(only && self.is_busy()));
        let Some(connection_id) = quietest else {
            return self.context.permits.decline_release(self.exchange);
        };
        tracing::debug!(
            office = self.exchange.0,
            connection = connection_id,
            "connection given up for another exchange"
        );
        if self.liveness.call_count() > 0 {
            return self.retire(connection_id, RETIRE_TIME_URGENT);
        }
        self.connections.remove(&connection_id);
        self.liveness.connection_closed(self.now(), connection_id, CloseKind::Other);
        if self.connections.is_empty() {
            // Without a connection the state of the trunk group is no longer reported.
            self.send_event(CallEvent::StatusLost(self.exchange)).await;
        }
    }

    /// Closes the connections to a draining exchange once it has no pending set-ups and no established calls.
    pub(super) fn close_if_drained(&mut self) {
        if self.service_state != ServiceState::Draining || self.is_busy() {
            return;
        }
        let remaining: Vec<u64> = self.connections.keys().copied().collect();
        for connection_id in remaining {
            self.retire(connection_id, RETIRE_TIME_URGENT);
        }
    }
}
