//! Carries out what the failure detector of the exchange ([`crate::membership::liveness`]) asks for.

use super::{Peer, PeerActorMessage};
use crate::calls::{CallEvent, ExchangeCommand};
use crate::interface::*;
use crate::limits::connections::Purpose;
use crate::membership::liveness::{Effect, Ending};
use crate::net::permits::PermitDecision;
use crate::sip::message::Message;
use crate::telemetry;

/// A check that comes so much later than asked for finds messages that were not read yet: they go first.
const STALL_THRESHOLD: Secs = 0.25;
/// Until then the check waits after such a stall.
const STALL_RECHECK_DELAY: Secs = 0.1;

impl Peer {
    /// A message has come: whoever is at the other end is alive.
    pub(super) fn record_activity(&mut self, connection_id: u64, message: &Message) {
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.last_received = now;
        }
        if message.method() == Some("NOTIFY") {
            let report = super::calls::report_of(message);
            self.liveness.state(now, connection_id, &report);
        } else {
            self.liveness.heard(now, connection_id);
        }
        if self.verifying_connection == Some(connection_id) {
            tracing::debug!(
                office = self.exchange.0,
                connection = connection_id,
                "exchange alive: it told its state"
            );
            self.verifying_connection = None;
        }
        self.close_surplus(connection_id);
    }

    /// Asks for the next check, if none that is early enough is under way.
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
            // This proxy itself stood still: what came meanwhile is read first.
            tracing::warn!(
                office = self.exchange.0,
                late_s = now - at,
                "liveness check put off: the proxy stood still"
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

    /// A connection misses states that others bring.
    fn replace_silent(&mut self, connection_id: u64) {
        tracing::info!(
            office = self.exchange.0,
            connection = connection_id,
            "connection without states: replaced"
        );
        telemetry::exchange_connection_silent();
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.unanswered_set_ups += 1;
        }
        self.replace_unanswered(connection_id);
    }

    /// Opens one more connection, to hear whether the exchange is alive.
    async fn verify_exchange(&mut self) {
        if let Some(connection_id) = self.verifying_connection.take() {
            self.connection_lost(connection_id, "it told no state".to_owned(), false, Ending::Broken).await;
        }
        let stopped = self.service_state == ServiceState::Draining && self.connections.is_empty();
        if self.connecting > 0 || stopped {
            return;
        }
        let PermitDecision::Granted(permit) = self.context.permits.request(self.exchange, Purpose::Verify)
        else {
            // The detector asks again before the lease is over.
            return;
        };
        tracing::debug!(
            office = self.exchange.0,
            calls = self.liveness.calls(),
            "silent exchange: connecting once more"
        );
        telemetry::exchange_verified();
        self.verify_next = true;
        self.open_connection(permit);
    }

    /// Nothing proves any longer that these calls stand.
    async fn release_expired_calls(&mut self, calls: Vec<CallId>, connections: Vec<u64>) {
        let office = self.exchange.0;
        tracing::warn!(office, calls = calls.len(), "exchange silent: its calls are released");
        telemetry::exchange_lease_expired(calls.len());
        for id in &calls {
            tracing::debug!(office, call = id.0, "call released: its exchange is silent");
            let (id, report) = (id.clone(), LoadReport::default());
            self.send_event(CallEvent::ExchangeReleased {
                id,
                exchange: self.exchange,
                completed: false,
                report,
            })
            .await;
        }
        for connection_id in connections {
            self.connection_lost(connection_id, "silent".to_owned(), false, Ending::Broken).await;
        }
        // Should it come back with them, it has to end them as well.
        for id in calls {
            self.command(id, ExchangeCommand::Release { leg: None }).await;
        }
    }
}
