//! Budget of connections to exchanges: how many each exchange may have, given the descriptors that are available.
//!
//! Each exchange has up to three connections, so that a fault of one connection ends only the set-ups on it. With
//! more exchanges, the number falls to two and then to one. If the budget does not allow one connection per exchange,
//! busy exchanges keep theirs. An idle exchange is connected when it is needed, and takes the place of the exchange
//! that has been idle the longest.
//!
//! No I/O, and time is a parameter.

use std::collections::BTreeMap;

use crate::interface::{ExchangeId, Time};

/// Maximum number of connections to one exchange.
pub const MAX_PER_EXCHANGE: usize = 3;
/// Divisor of the budget that gives the spare connections. They are kept for needed connections and liveness checks,
/// and for connections that are about to be closed.
const SPARE_DIVISOR: usize = 16;

/// Purpose of a requested connection, from the least urgent to the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// An additional connection to an exchange that has one.
    Another,
    /// The first connection to an idle exchange, to receive the state of its trunk group.
    Idle,
    /// The first connection to an exchange for which set-ups wait or calls are established.
    Needed,
    /// A liveness check of a silent exchange.
    Verify,
}

/// Answer to a request for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocation {
    /// The connection may be opened, and is counted from now on.
    Granted,
    /// Another exchange, named here, has to close a connection first. Request again afterwards.
    AfterClosing(ExchangeId),
    /// No connection is available.
    Denied,
}

#[derive(Clone, Copy, Debug)]
struct ExchangeUsage {
    connections: usize,
    /// The exchange has open set-ups or established calls.
    busy: bool,
    /// When it last became busy or idle.
    last_used: Time,
    /// It was asked to close a connection.
    close_requested: bool,
}

/// Connections to exchanges, counted against their share of the descriptors.
#[derive(Debug)]
pub struct ConnectionBudget {
    limit: usize,
    allocated: usize,
    usages: BTreeMap<ExchangeId, ExchangeUsage>,
}

impl ConnectionBudget {
    /// Creates a budget of `limit` connections.
    pub fn new(limit: usize) -> Self {
        ConnectionBudget { limit, allocated: 0, usages: BTreeMap::new() }
    }

    /// Number of connections that are open or granted.
    pub fn allocated(&self) -> usize {
        self.allocated
    }

    /// Maximum number of connections to all exchanges together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of exchanges in the budget.
    pub fn exchange_count(&self) -> usize {
        self.usages.len()
    }

    /// Number of connections that are kept for urgent purposes.
    fn spare(&self) -> usize {
        (self.limit / SPARE_DIVISOR).max(1)
    }

    /// Number of connections that each exchange is to have with the present number of exchanges.
    pub fn target_per_exchange(&self) -> usize {
        let available = self.limit.saturating_sub(self.spare());
        (available / self.usages.len().max(1)).clamp(1, MAX_PER_EXCHANGE)
    }

    /// Whether the budget allows one connection per exchange.
    pub fn fits_one_each(&self) -> bool {
        self.usages.len() + self.spare() <= self.limit
    }

    /// Adds an exchange.
    pub fn add_exchange(&mut self, now: Time, exchange: ExchangeId) {
        let usage = ExchangeUsage { connections: 0, busy: false, last_used: now, close_requested: false };
        self.usages.entry(exchange).or_insert(usage);
    }

    /// Removes an exchange together with its connections.
    pub fn remove_exchange(&mut self, exchange: ExchangeId) {
        if let Some(usage) = self.usages.remove(&exchange) {
            self.allocated -= usage.connections;
        }
    }

    /// Records that an exchange has become busy or idle.
    pub fn set_busy(&mut self, now: Time, exchange: ExchangeId, busy: bool) {
        if let Some(usage) = self.usages.get_mut(&exchange) {
            usage.busy = busy;
            usage.last_used = now;
        }
    }

    /// Requests a connection to an exchange.
    pub fn request(&mut self, exchange: ExchangeId, purpose: Purpose) -> Allocation {
        let free = self.limit.saturating_sub(self.allocated);
        let (spare, target) = (self.spare(), self.target_per_exchange());
        let Some(usage) = self.usages.get_mut(&exchange) else { return Allocation::Denied };
        let granted = match purpose {
            Purpose::Another => usage.connections < target && free > spare,
            Purpose::Idle => free > spare,
            Purpose::Needed | Purpose::Verify => free > 0,
        };
        if granted {
            usage.connections += 1;
            self.allocated += 1;
            return Allocation::Granted;
        }
        let victim = match purpose {
            Purpose::Another => None,
            // More exchanges have been added: one with more connections than its present share closes one.
            Purpose::Idle => self.most_connected(exchange).filter(|(_, allocated)| *allocated > target),
            Purpose::Needed | Purpose::Verify => {
                self.most_connected(exchange).or_else(|| self.longest_idle(exchange))
            }
        };
        match victim.map(|(id, _)| id) {
            Some(victim) => {
                if let Some(usage) = self.usages.get_mut(&victim) {
                    usage.close_requested = true;
                }
                Allocation::AfterClosing(victim)
            }
            None => Allocation::Denied,
        }
    }

    /// Exchanges that have a connection to close and were not asked to close one yet.
    fn others(&self, requester: ExchangeId) -> impl Iterator<Item = (&ExchangeId, &ExchangeUsage)> {
        self.usages
            .iter()
            .filter(move |(id, other)| **id != requester && other.connections > 0 && !other.close_requested)
    }

    /// The exchange with the most connections, if it has more than one, with their number. Idle exchanges come first
    /// among equals.
    fn most_connected(&self, requester: ExchangeId) -> Option<(ExchangeId, usize)> {
        let candidates = self.others(requester).filter(|(_, usage)| usage.connections > 1);
        candidates
            .max_by_key(|(_, usage)| (usage.connections, !usage.busy))
            .map(|(id, other)| (*id, other.connections))
    }

    /// The exchange that has been idle the longest, with the number of its connections.
    fn longest_idle(&self, requester: ExchangeId) -> Option<(ExchangeId, usize)> {
        let idle = self.others(requester).filter(|(_, usage)| !usage.busy);
        idle.min_by(|(_, a), (_, b)| a.last_used.0.total_cmp(&b.last_used.0))
            .map(|(id, other)| (*id, other.connections))
    }

    /// Records that a connection was closed, or was granted and could not be opened.
    pub fn connection_closed(&mut self, exchange: ExchangeId) {
        if let Some(usage) = self.usages.get_mut(&exchange) {
            self.allocated -= usage.connections.min(1);
            usage.connections = usage.connections.saturating_sub(1);
            usage.close_requested = false;
        }
    }

    /// Records that an exchange cannot close a connection now.
    pub fn close_declined(&mut self, exchange: ExchangeId) {
        if let Some(usage) = self.usages.get_mut(&exchange) {
            usage.close_requested = false;
        }
    }
}
