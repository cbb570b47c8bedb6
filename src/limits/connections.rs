//! Which exchange may hold how many connections, when there are fewer descriptors than would be best.
//!
//! Each exchange holds three connections at best, so that what spoils one ends only the set-ups on it. As exchanges grow
//! in number this falls to two and to one. Where not even one each fits, exchanges that are in use keep theirs, and an
//! idle one is connected when it is needed, in the place of the one that has been idle the longest.
//!
//! No I/O, and time is a parameter.

use std::collections::BTreeMap;

use crate::interface::{ExchangeId, Time};

/// The most connections to one exchange at best.
pub const MAX_PER_EXCHANGE: usize = 3;
/// One part in so many of the budget is kept for liveness checks and for what is about to be closed.
const SPARE_PART: usize = 16;

/// What a connection is wanted for, from the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// One beside others that are there.
    Another,
    /// The first one, to hear the state of the trunk group.
    Idle,
    /// The first one, and something waits for it.
    Needed,
    /// To hear whether a silent exchange is alive.
    Verify,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocation {
    /// It may be opened, and counts from now on.
    Granted,
    /// This exchange is to give a connection up first; then ask again.
    AfterClosing(ExchangeId),
    /// Not now.
    Denied,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    connections: usize,
    /// Set-ups are open there or calls stand.
    busy: bool,
    used: Time,
    /// It was asked to give one up.
    yielding: bool,
}

/// The connections to exchanges, counted against their part of the descriptors.
#[derive(Debug)]
pub struct ConnectionBudget {
    limit: usize,
    held: usize,
    holders: BTreeMap<ExchangeId, Holder>,
}

impl ConnectionBudget {
    /// A budget of so many connections.
    pub fn new(limit: usize) -> Self {
        ConnectionBudget { limit, held: 0, holders: BTreeMap::new() }
    }

    /// Connections held.
    pub fn allocated(&self) -> usize {
        self.held
    }

    /// Connections that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Exchanges that are known.
    pub fn exchange_count(&self) -> usize {
        self.holders.len()
    }

    fn spare(&self) -> usize {
        (self.limit / SPARE_PART).max(1)
    }

    /// How many connections an exchange holds at best now.
    pub fn target_per_exchange(&self) -> usize {
        let most = self.limit.saturating_sub(self.spare());
        (most / self.holders.len().max(1)).clamp(1, MAX_PER_EXCHANGE)
    }

    /// Whether every exchange can have a connection.
    pub fn fits_one_each(&self) -> bool {
        self.holders.len() + self.spare() <= self.limit
    }

    /// An exchange is there.
    pub fn add_exchange(&mut self, now: Time, office: ExchangeId) {
        let holder = Holder { connections: 0, busy: false, used: now, yielding: false };
        self.holders.entry(office).or_insert(holder);
    }

    /// An exchange is gone, with all its connections.
    pub fn remove_exchange(&mut self, office: ExchangeId) {
        if let Some(holder) = self.holders.remove(&office) {
            self.held -= holder.connections;
        }
    }

    /// An exchange has come into use or out of it.
    pub fn set_busy(&mut self, now: Time, office: ExchangeId, busy: bool) {
        if let Some(holder) = self.holders.get_mut(&office) {
            holder.busy = busy;
            holder.used = now;
        }
    }

    /// A connection is wanted.
    pub fn request(&mut self, office: ExchangeId, purpose: Purpose) -> Allocation {
        let free = self.limit.saturating_sub(self.held);
        let (spare, best) = (self.spare(), self.target_per_exchange());
        let Some(holder) = self.holders.get_mut(&office) else { return Allocation::Denied };
        let granted = match purpose {
            Purpose::Another => holder.connections < best && free > spare,
            Purpose::Idle => free > spare,
            Purpose::Needed | Purpose::Verify => free > 0,
        };
        if granted {
            holder.connections += 1;
            self.held += 1;
            return Allocation::Granted;
        }
        let victim = match purpose {
            Purpose::Another => None,
            // The fleet has grown: whoever holds more than is best now gives way.
            Purpose::Idle => self.richest(office).filter(|(_, held)| *held > best),
            Purpose::Needed | Purpose::Verify => self.richest(office).or_else(|| self.idlest(office)),
        };
        match victim.map(|(id, _)| id) {
            Some(victim) => {
                if let Some(holder) = self.holders.get_mut(&victim) {
                    holder.yielding = true;
                }
                Allocation::AfterClosing(victim)
            }
            None => Allocation::Denied,
        }
    }

    /// Exchanges that could give a connection up.
    fn others(&self, asking: ExchangeId) -> impl Iterator<Item = (&ExchangeId, &Holder)> {
        self.holders.iter().filter(move |(id, h)| **id != asking && h.connections > 0 && !h.yielding)
    }

    /// Who holds the most, if that is more than one, with how many; an idle one before a busy one.
    fn richest(&self, asking: ExchangeId) -> Option<(ExchangeId, usize)> {
        let rich = self.others(asking).filter(|(_, holder)| holder.connections > 1);
        rich.max_by_key(|(_, holder)| (holder.connections, !holder.busy)).map(|(id, h)| (*id, h.connections))
    }

    /// Who is idle and has not been used for the longest.
    fn idlest(&self, asking: ExchangeId) -> Option<(ExchangeId, usize)> {
        let idle = self.others(asking).filter(|(_, holder)| !holder.busy);
        idle.min_by(|(_, a), (_, b)| a.used.0.total_cmp(&b.used.0)).map(|(id, h)| (*id, h.connections))
    }

    /// A connection has ended, or was granted and did not come up.
    pub fn connection_closed(&mut self, office: ExchangeId) {
        if let Some(holder) = self.holders.get_mut(&office) {
            self.held -= holder.connections.min(1);
            holder.connections = holder.connections.saturating_sub(1);
            holder.yielding = false;
        }
    }

    /// An exchange can't give one up now.
    pub fn close_declined(&mut self, office: ExchangeId) {
        if let Some(holder) = self.holders.get_mut(&office) {
            holder.yielding = false;
        }
    }
}
