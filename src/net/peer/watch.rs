//! Runs the failure detector of an exchange ([`crate::membership::liveness`]) and carries out its decisions.

use super::{Peer, PeerActorMessage, MAX_CONNECTIONS};
use crate::calls::ExchangeCommand;
use crate::interface::*;
use crate::limits::connections::Purpose;
use crate::membership::liveness::{CloseKind, Effect};
use crate::net::permits::PermitDecision;
use crate::sip::message::Message;
use crate::telemetry;

/// A liveness check that runs this many seconds late is postponed: received messages may not have been read yet.
const STALL_THRESHOLD: Secs = 0.25;
/// Most connections to an exchange while its liveness is verified.
const MAX_WHILE_VERIFYING: usize = MAX_CONNECTIONS + 2;
/// Delay in seconds of a check postponed for this reason.
const STALL_RECHECK_DELAY: Secs = 0.1;

impl Peer {
    /// Records a received message as proof that the exchange is alive.
    pub(super) fn record_activity(&mut self, connection_id: u64, message: &Message) {
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.last_received = now;
            if !std::mem::replace(&mut connection.has_received, true) {
                connection.failure_signs = 0;
            }
        }
        if message.method() == Some("NOTIFY") {
            let report = super::calls::report_of(message);
            self.liveness.set_pending_circuits(self.set_ups.pending_circuits());
            self.liveness.state_received(now, connection_id, &report);
        } else {
            self.liveness.message_received(now, connection_id);
        }
        if self.verifying_connection == Some(connection_id) {
            tracing::debug!(
                office = self.exchange.0,
                connection = connection_id,
                "exchange is alive: message received on the new connection"
            );
            self.verifying_connection = None;
        }
        self.replace_other_failing(connection_id);
        self.close_surplus(connection_id);
    }

    /// Schedules the next liveness check, unless one that is early enough is scheduled already.
    pub(super) fn schedule_check(&mut self) {
        let Some(at) = self.liveness.next_check(self.now()) else { return };
        if self.next_check_at.is_none_or(|planned| planned > at) {
            self.schedule_check_at(at);
        }
    }

    fn schedule_check_at(&mut self, at: Time) {
        self.next_check_at = Some(at);
        self.post_later(at - self.now(), PeerActorMessage::CheckLiveness);
    }

    pub(super) async fn check_liveness(&mut self) {
        let now = self.now();
        let Some(at) = self.next_check_at.take() else { return };
        self.check_postponed = now - at > STALL_THRESHOLD && !self.check_postponed;
        if self.check_postponed {
            // This proxy itself was stalled: messages that arrived meanwhile are read first.
            tracing::warn!(
                office = self.exchange.0,
                late_s = now - at,
                "proxy was stalled: liveness check postponed"
            );
            return self.schedule_check_at(now + STALL_RECHECK_DELAY);
        }
        for effect in self.liveness.check(now) {
            match effect {
                Effect::Verify => self.verify_exchange().await,
                Effect::Replace(connection_id) => self.replace_silent(connection_id),
                Effect::Expire { calls, connections } => self.release_expired_calls(calls, connections).await,
            }
        }
    }

    /// Replaces a connection that misses states which others receive.
    fn replace_silent(&mut self, connection_id: u64) {
        tracing::info!(
            office = self.exchange.0,
            connection = connection_id,
            "connection receives no states: replaced"
        );
        telemetry::exchange_connection_silent();
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.failure_signs += 1;
        }
        self.replace_failing(connection_id);
    }

    /// Opens one more connection to find out whether the exchange is alive. Earlier ones are kept as far as possible: an
    /// exchange that hangs accepts them, and may send releases on them when it goes on.
    async fn verify_exchange(&mut self) {
        self.verifying_connection = None;
        if self.connections.len() >= MAX_WHILE_VERIFYING {
            let unheard = self.connections.iter().find(|(_, c)| !c.has_received);
            let Some(connection_id) = unheard.map(|(connection_id, _)| *connection_id) else { return };
            self.connection_lost(connection_id, "no state received".to_owned(), false, CloseKind::Other)
                .await;
        }
        let stopped = self.service_state == ServiceState::Draining && self.connections.is_empty();
        if self.connecting > 0 || stopped {
            return;
        }
        let PermitDecision::Granted(permit) = self.context.permits.request(self.exchange, Purpose::Verify)
        else {
            // The detector asks again before the liveness lease runs out.
            return;
        };
        tracing::debug!(
            office = self.exchange.0,
            calls = self.liveness.call_count(),
            "exchange is silent: opening a connection to verify it"
        );
        telemetry::exchange_verification_started();
        self.verify_next = true;
        self.open_connection(permit);
    }

    /// Releases calls whose liveness lease has run out: nothing proves any longer that they are established.
    async fn release_expired_calls(&mut self, calls: Vec<CallId>, connections: Vec<u64>) {
        let office = self.exchange.0;
        tracing::warn!(
            office,
            calls = calls.len(),
            "liveness lease of the exchange expired: its calls are released"
        );
        telemetry::exchange_lease_expired(calls.len());
        for id in &calls {
            tracing::debug!(office, call = id.0, "call released: liveness lease of its exchange expired");
            self.report_cut(id.clone()).await;
        }
        for connection_id in connections {
            self.connection_lost(connection_id, "silent".to_owned(), false, CloseKind::Other).await;
        }
        // If the exchange comes back with these calls, it has to release them as well.
        for id in calls {
            self.command(id, ExchangeCommand::Release { leg: None }).await;
        }
    }
}
