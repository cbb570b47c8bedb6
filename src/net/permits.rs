//! The connections to exchanges, counted over all their actors. Whoever opens one holds a [`Permit`] for as long as its
//! descriptor is in use. What is decided is decided by [`crate::limits::connection_limit`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use smol::channel::Sender;

use super::clock::Clock;
use super::peer::PeerActorMessage;
use crate::interface::ExchangeId;
use crate::limits::connections::{ConnectionBudget, Grant, Purpose};
use crate::telemetry;

/// What an actor that asks for a connection is told.
#[derive(Debug)]
pub enum PermitDecision {
    /// It may open one.
    Granted(Permit),
    /// Another exchange was asked to give one up: ask again in a moment.
    Wait,
    /// Not now.
    Denied,
}

/// The budget and those who share it.
pub struct Permits {
    clock: Clock,
    budget: RefCell<ConnectionBudget>,
    peers: RefCell<BTreeMap<ExchangeId, Sender<PeerActorMessage>>>,
}

/// The right to one descriptor for an exchange. Dropped, it is free again.
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
        self.permits.budget.borrow_mut().ended(self.exchange);
    }
}

impl Permits {
    /// So many connections to all exchanges together.
    pub fn new(clock: Clock, limit: usize) -> Rc<Permits> {
        let budget = RefCell::new(ConnectionBudget::new(limit));
        Rc::new(Permits { clock, budget, peers: RefCell::default() })
    }

    /// An exchange is there. Says once where not every exchange can have a connection.
    pub fn add_exchange(&self, exchange: ExchangeId, mailbox: Sender<PeerActorMessage>) {
        let mut budget = self.budget.borrow_mut();
        let fitted_before = budget.fits();
        budget.listed(self.clock.now(), exchange);
        if fitted_before && !budget.fits() {
            let (exchange_count, connection_limit) = (budget.exchanges(), budget.limit());
            tracing::warn!(
                exchanges = exchange_count,
                connections = connection_limit,
                "more exchanges than connections: idle ones wait for use"
            );
        }
        self.peers.borrow_mut().insert(exchange, mailbox);
    }

    /// An exchange is gone.
    pub fn remove_exchange(&self, exchange: ExchangeId) {
        self.budget.borrow_mut().gone(exchange);
        self.peers.borrow_mut().remove(&exchange);
    }

    /// An exchange has set-ups open or calls that stand, or has none any more.
    pub fn set_in_use(&self, exchange: ExchangeId, busy: bool) {
        self.budget.borrow_mut().in_use(self.clock.now(), exchange, busy);
    }

    /// An exchange can't give a connection up now.
    pub fn decline_release(&self, exchange: ExchangeId) {
        self.budget.borrow_mut().refused(exchange);
    }

    /// Connections held.
    pub fn open_connections(&self) -> usize {
        self.budget.borrow().held()
    }

    /// An exchange wants a connection.
    pub fn request(self: &Rc<Self>, exchange: ExchangeId, purpose: Purpose) -> PermitDecision {
        let grant = self.budget.borrow_mut().ask(exchange, purpose);
        match grant {
            Grant::Open => PermitDecision::Granted(Permit { permits: self.clone(), exchange }),
            Grant::After(victim) => {
                telemetry::connection_given_up();
                tracing::debug!(
                    office = exchange.0,
                    victim = victim.0,
                    ?purpose,
                    "asked for a connection of another"
                );
                if let Some(peer) = self.peers.borrow().get(&victim) {
                    // One whose actor has ended has given all up.
                    let _ = peer.try_send(PeerActorMessage::GiveUpConnection);
                }
                PermitDecision::Wait
            }
            Grant::No => {
                telemetry::connection_denied();
                PermitDecision::Denied
            }
        }
    }
}
