//! The memory of set-ups that have no final answer yet, by the connection that brought them. No I/O.
//!
//! The records of all calls have a limit of their own, which the call table keeps. Here one connection is kept from
//! taking all of it with open set-ups, and headers that are longer than a record has room for get a limit.

use super::memory::MemoryPlan;
use super::shares::SharedLimit;
use crate::calls::RECORD_BYTES;

/// Bytes of headers for which the record of a call has room.
const HEADER_BYTES_IN_RECORD: usize = 1024;

/// The memory that an open set-up takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SetUpSize {
    record: usize,
    extra_headers: usize,
}

impl SetUpSize {
    /// The size of a set-up with a description and headers of these lengths in bytes.
    pub fn new(description: usize, headers: usize) -> Self {
        SetUpSize {
            record: RECORD_BYTES + description,
            extra_headers: headers.saturating_sub(HEADER_BYTES_IN_RECORD),
        }
    }
}

/// The open set-ups of all connections.
#[derive(Debug)]
pub struct SetUpBudget {
    records: SharedLimit<u64>,
    extra_headers: SharedLimit<u64>,
}

impl SetUpBudget {
    /// Creates a budget with the shares of the plan.
    pub fn new(plan: &MemoryPlan) -> Self {
        SetUpBudget {
            records: SharedLimit::new(plan.calls),
            extra_headers: SharedLimit::new(plan.set_up_headers),
        }
    }

    /// Admits a set-up that a connection brought, or returns false if there is no room for it.
    pub fn try_open(&mut self, connection: u64, size: SetUpSize) -> bool {
        if !self.records.try_take(connection, size.record) {
            return false;
        }
        let admitted = self.extra_headers.try_take(connection, size.extra_headers);
        if !admitted {
            self.records.give_back(connection, size.record);
        }
        admitted
    }

    /// Records that a set-up has its final answer, or was withdrawn.
    pub fn answered(&mut self, connection: u64, size: SetUpSize) {
        self.records.give_back(connection, size.record);
        self.extra_headers.give_back(connection, size.extra_headers);
    }

    /// Records the end of a connection, and with it of its open set-ups.
    pub fn connection_ended(&mut self, connection: u64) {
        self.records.forget(&connection);
        self.extra_headers.forget(&connection);
    }
}
