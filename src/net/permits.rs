//! Permits for connections to exchanges, shared by the actors of all exchanges. An actor holds a [`Permit`] for as
//! long as the descriptor of its connection is in use. [`crate::limits::connections`] decides who gets one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use smol::channel::Sender;

use super::clock::Clock;
use super::peer::PeerActorMessage;
use crate::interface::ExchangeId;
use crate::limits::connections::{Allocation, ConnectionBudget, Purpose};
use crate::telemetry;

/// The answer to a request for a connection.
#[derive(Debug)]
pub enum PermitDecision {
    /// A connection may be opened.
    Granted(Permit),
    /// Another exchange was asked to give a connection up: ask again shortly.
    Wait,
    /// No connection is available now.
    Denied,
}

/// The connection budget and the actors that share it.
pub struct Permits {
    clock: Clock,
    budget: RefCell<ConnectionBudget>,
    peers: RefCell<BTreeMap<ExchangeId, Sender<PeerActorMessage>>>,
}

/// The right to use one descriptor for an exchange; returned to the budget when dropped.
pub struct Permit {
    permits: Rc<Permits>,
    exchange: ExchangeId,
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Permit({})", self.exchange.0)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.permits.budget.borrow_mut().connection_closed(self.exchange);
    }
}

impl Permits {
    /// Creates a budget of `limit` connections for all exchanges together.
    pub fn new(clock: Clock, limit: usize) -> Rc<Permits> {
        let budget = RefCell::new(ConnectionBudget::new(limit));
        Rc::new(Permits { clock, budget, peers: RefCell::default() })
    }

    /// Adds an exchange. Logs a warning when from now on not every exchange can have a connection.
    pub fn add_exchange(&self, exchange: ExchangeId, mailbox: Sender<PeerActorMessage>) {
        let mut budget = self.budget.borrow_mut();
        let fitted_before = budget.fits_one_each();
        budget.add_exchange(self.clock.now(), exchange);
        if fitted_before && !budget.fits_one_each() {
            let (exchange_count, connection_limit) = (budget.exchange_count(), budget.limit());
            tracing::warn!(
                exchanges = exchange_count,
                connections = connection_limit,
                "more exchanges than connections: idle ones wait for use"
            );
        }
        self.peers.borrow_mut().insert(exchange, mailbox);
    }

    /// Removes an exchange.
    pub fn remove_exchange(&self, exchange: ExchangeId) {
        self.budget.borrow_mut().remove_exchange(exchange);
        self.peers.borrow_mut().remove(&exchange);
    }

    /// Records whether an exchange has pending set-ups or established calls.
    pub fn set_in_use(&self, exchange: ExchangeId, busy: bool) {
        self.budget.borrow_mut().set_busy(self.clock.now(), exchange, busy);
    }

    /// An exchange was asked to give a connection up, and can't at present.
    pub fn decline_release(&self, exchange: ExchangeId) {
        self.budget.borrow_mut().close_declined(exchange);
    }

    /// The number of connections that hold a permit.
    pub fn open_connections(&self) -> usize {
        self.budget.borrow().allocated()
    }

    /// Requests a connection to an exchange.
    pub fn request(self: &Rc<Self>, exchange: ExchangeId, purpose: Purpose) -> PermitDecision {
        let grant = self.budget.borrow_mut().request(exchange, purpose);
        match grant {
            Allocation::Granted => PermitDecision::Granted(Permit { permits: self.clone(), exchange }),
            Allocation::AfterClosing(victim) => {
                telemetry::exchange_connection_reclaimed();
                tracing::debug!(
                    office = exchange.0,
                    victim = victim.0,
                    ?purpose,
                    "connection requested from another exchange"
                );
                if let Some(peer) = self.peers.borrow().get(&victim) {
                    // An actor that has ended has returned its permits already.
                    let _ = peer.try_send(PeerActorMessage::GiveUpConnection);
                }
                PermitDecision::Wait
            }
            Allocation::Denied => {
                telemetry::exchange_connection_denied();
                PermitDecision::Denied
            }
        }
    }
}
