//! The connections to exchanges, counted over all their actors. Whoever opens one holds a [`Permit`] for as long as its
//! descriptor is in use. What is decided is decided by [`crate::limits::connections`].

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
    office: ExchangeId,
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Permit({})", self.office.0)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.permits.budget.borrow_mut().ended(self.office);
    }
}

impl Permits {
    /// So many connections to all exchanges together.
    pub fn new(clock: Clock, limit: usize) -> Rc<Permits> {
        let budget = RefCell::new(ConnectionBudget::new(limit));
        Rc::new(Permits { clock, budget, peers: RefCell::default() })
    }

    /// An exchange is there. Says once where not every exchange can have a connection.
    pub fn add_exchange(&self, office: ExchangeId, mailbox: Sender<PeerActorMessage>) {
        let mut budget = self.budget.borrow_mut();
        let fitted = budget.fits();
        budget.listed(self.clock.now(), office);
        if fitted && !budget.fits() {
            let (exchanges, connections) = (budget.exchanges(), budget.limit());
            tracing::warn!(exchanges, connections, "more exchanges than connections: idle ones wait for use");
        }
        self.peers.borrow_mut().insert(office, mailbox);
    }

    /// An exchange is gone.
    pub fn remove_exchange(&self, office: ExchangeId) {
        self.budget.borrow_mut().gone(office);
        self.peers.borrow_mut().remove(&office);
    }

    /// An exchange has set-ups open or calls that stand, or has none any more.
    pub fn set_in_use(&self, office: ExchangeId, busy: bool) {
        self.budget.borrow_mut().in_use(self.clock.now(), office, busy);
    }

    /// An exchange can't give a connection up now.
    pub fn decline_release(&self, office: ExchangeId) {
        self.budget.borrow_mut().refused(office);
    }

    /// Connections held.
    pub fn open_connections(&self) -> usize {
        self.budget.borrow().held()
    }

    /// An exchange wants a connection.
    pub fn request(self: &Rc<Self>, office: ExchangeId, purpose: Purpose) -> PermitDecision {
        let grant = self.budget.borrow_mut().ask(office, purpose);
        match grant {
            Grant::Open => PermitDecision::Granted(Permit { permits: self.clone(), office }),
            Grant::After(victim) => {
                telemetry::connection_given_up();
                tracing::debug!(
                    office = office.0,
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
