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
const STALL: Secs = 0.25;
/// Until then the check waits after such a stall.
const AFTER_STALL: Secs = 0.1;

impl Peer {
    /// A message has come: whoever is at the other end is alive.
    pub(super) fn proof_of_life(&mut self, no: u64, message: &Message) {
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.heard = now;
        }
        if message.method() == Some("NOTIFY") {
            let report = super::calls::report_of(message);
            self.liveness.state(now, no, &report);
        } else {
            self.liveness.heard(now, no);
        }
        if self.verifying == Some(no) {
            tracing::debug!(office = self.office.0, connection = no, "exchange alive: it told its state");
            self.verifying = None;
        }
        self.finish_surplus(no);
    }

    /// Asks for the next check, if none that is early enough is under way.
    pub(super) fn plan_check(&mut self) {
        let Some(at) = self.liveness.next_check(self.now()) else { return };
        if self.check_at.is_none_or(|planned| planned > at) {
            self.check_again_at(at);
        }
    }

    fn check_again_at(&mut self, at: Time) {
        self.check_at = Some(at);
        self.later(at - self.now(), PeerActorMessage::CheckLiveness);
    }

    pub(super) async fn check(&mut self) {
        let now = self.now();
        let Some(at) = self.check_at.take() else { return };
        self.put_off = now - at > STALL && !self.put_off;
        if self.put_off {
            // This proxy itself stood still: what came meanwhile is read first.
            tracing::warn!(
                office = self.office.0,
                late_s = now - at,
                "liveness check put off: the proxy stood still"
            );
            return self.check_again_at(now + AFTER_STALL);
        }
        for effect in self.liveness.check(now) {
            match effect {
                Effect::Verify => self.verify().await,
                Effect::Replace(no) => self.replace_silent(no),
                Effect::Expire { calls, connections } => self.expire(calls, connections).await,
            }
        }
    }

    /// A connection misses states that others bring.
    fn replace_silent(&mut self, no: u64) {
        tracing::info!(office = self.office.0, connection = no, "connection without states: replaced");
        telemetry::exchange_connection_silent();
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.doubts += 1;
        }
        self.replace(no);
    }

    /// Opens one more connection, to hear whether the exchange is alive.
    async fn verify(&mut self) {
        if let Some(no) = self.verifying.take() {
            self.lost(no, "it told no state".to_owned(), false, Ending::Broken).await;
        }
        let stopped = self.condition == ServiceState::Draining && self.connections.is_empty();
        if self.connecting > 0 || stopped {
            return;
        }
        let PermitDecision::Granted(permit) = self.context.permits.request(self.office, Purpose::Verify)
        else {
            // The detector asks again before the lease is over.
            return;
        };
        tracing::debug!(
            office = self.office.0,
            calls = self.liveness.calls(),
            "silent exchange: connecting once more"
        );
        telemetry::exchange_verified();
        self.verify_next = true;
        self.open_connection(permit);
    }

    /// Nothing proves any longer that these calls stand.
    async fn expire(&mut self, calls: Vec<CallId>, connections: Vec<u64>) {
        let office = self.office.0;
        tracing::warn!(office, calls = calls.len(), "exchange silent: its calls are released");
        telemetry::exchange_lease_expired(calls.len());
        for id in &calls {
            tracing::debug!(office, call = id.0, "call released: its exchange is silent");
            let (id, report) = (id.clone(), LoadReport::default());
            self.tell(CallEvent::ExchangeReleased { id, exchange: self.office, completed: false, report })
                .await;
        }
        for no in connections {
            self.lost(no, "silent".to_owned(), false, Ending::Broken).await;
        }
        // Should it come back with them, it has to end them as well.
        for id in calls {
            self.command(id, ExchangeCommand::Release { leg: None }).await;
        }
    }
}
