//! The limit on SIP server transactions, and which one is forgotten when it is reached.
//!
//! A transaction that has its final response is kept to absorb retransmissions. At the limit, the oldest of these is
//! forgotten, of the source that holds the most bytes; a retransmission that still comes is then handled as a new
//! request. What an established call owes, such as its BYE, is admitted at any time: each call has few of these. No
//! source may hold more than half of the limit in transactions without a final response. No I/O.
//!
//! The limit is one of memory: a transaction keeps its response, which repeats headers of the request.

use std::collections::{BTreeMap, BTreeSet};

use crate::sip::header::Hop;
use crate::sip::transaction::TransactionKey;

/// Approximate memory in bytes of a transaction beside its request, in all places that keep a record of it.
pub const RECORD_BYTES: usize = 1024;
/// Divisor of the limit that gives the bytes of the transactions without a final response that one source may have.
const SOURCE_SHARE_DIVISOR: usize = 2;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It begins something new, or refers to nothing that is known.
    New,
    /// An established call or a pending set-up owes it: a BYE within a known dialog, a CANCEL of a known INVITE.
    Owed,
}

/// Whether a request gets a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It gets one.
    Admitted,
    /// It gets one, and this other one has to be forgotten first.
    AfterForgetting(TransactionKey),
    /// It is refused.
    Refused,
}

/// Number of a transaction among all that have their final response, in the order in which these were sent.
pub type FinishNumber = u64;

/// The transactions of one source.
#[derive(Debug, Default)]
struct SourceUsage {
    /// Bytes of all its transactions.
    bytes: usize,
    /// Bytes of those without a final response.
    unfinished_bytes: usize,
    /// Transactions with a final response, oldest first.
    finished: BTreeMap<FinishNumber, TransactionKey>,
}

/// The server transactions, counted by source.
#[derive(Debug)]
pub struct TransactionBudget {
    /// Limit of `bytes`.
    limit: usize,
    bytes: usize,
    sources: BTreeMap<Hop, SourceUsage>,
    /// The sources that have a finished transaction, by the bytes of all their transactions.
    by_usage: BTreeSet<(usize, Hop)>,
}

impl TransactionBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        TransactionBudget { limit, bytes: 0, sources: BTreeMap::new(), by_usage: BTreeSet::new() }
    }

    /// Decides on a request of a source, whose transaction takes this many bytes. An admitted one has to be recorded with
    /// [`TransactionBudget::started`].
    pub fn admit(&self, source: Hop, kind: RequestKind, bytes: usize) -> Admission {
        let unfinished = self.sources.get(&source).map_or(0, |usage| usage.unfinished_bytes);
        match kind {
            RequestKind::Owed => Admission::Admitted,
            RequestKind::New if unfinished + bytes > self.limit / SOURCE_SHARE_DIVISOR => Admission::Refused,
            RequestKind::New if self.bytes + bytes <= self.limit => Admission::Admitted,
            RequestKind::New => match self.forgettable() {
                Some(key) => Admission::AfterForgetting(key),
                None => Admission::Refused,
            },
        }
    }

    /// The oldest finished transaction of the source that holds the most, among those with a finished one.
    fn forgettable(&self) -> Option<TransactionKey> {
        let (_, source) = self.by_usage.last()?;
        self.sources.get(source)?.finished.values().next().cloned()
    }

    /// Changes the usage of a source, and its place among the others.
    fn update(&mut self, source: Hop, change: impl FnOnce(&mut SourceUsage)) {
        let usage = self.sources.entry(source).or_default();
        self.by_usage.remove(&(usage.bytes, source));
        change(usage);
        if !usage.finished.is_empty() {
            self.by_usage.insert((usage.bytes, source));
        }
        if usage.bytes == 0 {
            self.sources.remove(&source);
        }
    }

    /// Records a new transaction of this many bytes.
    pub fn started(&mut self, source: Hop, bytes: usize) {
        self.bytes += bytes;
        self.update(source, |usage| {
            usage.bytes += bytes;
            usage.unfinished_bytes += bytes;
        });
    }

    /// Records that a transaction has its final response and may be forgotten.
    pub fn finished(&mut self, source: Hop, bytes: usize, number: FinishNumber, key: TransactionKey) {
        self.update(source, |usage| {
            usage.unfinished_bytes = usage.unfinished_bytes.saturating_sub(bytes);
            usage.finished.insert(number, key);
        });
    }

    /// Records the end of a transaction, given by its number if it was finished.
    pub fn ended(&mut self, source: Hop, bytes: usize, finished: Option<FinishNumber>) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.update(source, |usage| {
            usage.bytes = usage.bytes.saturating_sub(bytes);
            match finished {
                Some(number) => drop(usage.finished.remove(&number)),
                None => usage.unfinished_bytes = usage.unfinished_bytes.saturating_sub(bytes),
            }
        });
    }
}
