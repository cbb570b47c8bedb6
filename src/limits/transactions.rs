//! The limit on SIP server transactions, and which one is forgotten when it is reached.
//!
//! A transaction that has its final response is kept to absorb retransmissions. At the limit, the oldest of these is
//! forgotten, of the source that holds the most transactions; a retransmission that still comes is then handled as a new
//! request. What an established call owes, such as its BYE, is admitted at any time: each call has few of these. No
//! source may hold more than half of the limit in transactions without a final response. No I/O.

use std::collections::{BTreeMap, BTreeSet};

use crate::sip::header::Hop;
use crate::sip::transaction::TransactionKey;

/// Divisor of the limit that gives the transactions without a final response that one source may have.
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
    /// Number of transactions without a final response.
    unfinished: usize,
    /// Transactions with a final response, oldest first.
    finished: BTreeMap<FinishNumber, TransactionKey>,
}

impl SourceUsage {
    fn len(&self) -> usize {
        self.unfinished + self.finished.len()
    }
}

/// The server transactions, counted by source.
#[derive(Debug)]
pub struct TransactionBudget {
    limit: usize,
    total: usize,
    next_number: FinishNumber,
    sources: BTreeMap<Hop, SourceUsage>,
    /// The sources that have a finished transaction, by the number of all their transactions.
    by_usage: BTreeSet<(usize, Hop)>,
}

impl TransactionBudget {
    /// Creates a budget of `limit` transactions.
    pub fn new(limit: usize) -> Self {
        let (sources, by_usage) = (BTreeMap::new(), BTreeSet::new());
        TransactionBudget { limit, total: 0, next_number: 0, sources, by_usage }
    }

    /// Decides on a request of a source. An admitted one has to be recorded with [`TransactionBudget::started`].
    pub fn admit(&self, source: Hop, kind: RequestKind) -> Admission {
        let unfinished = self.sources.get(&source).map_or(0, |usage| usage.unfinished);
        match kind {
            RequestKind::Owed => Admission::Admitted,
            RequestKind::New if unfinished >= self.limit / SOURCE_SHARE_DIVISOR => Admission::Refused,
            RequestKind::New if self.total < self.limit => Admission::Admitted,
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
    fn update<T>(&mut self, source: Hop, change: impl FnOnce(&mut SourceUsage) -> T) -> T {
        let usage = self.sources.entry(source).or_default();
        self.by_usage.remove(&(usage.len(), source));
        let result = change(usage);
        if !usage.finished.is_empty() {
            self.by_usage.insert((usage.len(), source));
        }
        if usage.len() == 0 {
            self.sources.remove(&source);
        }
        result
    }

    /// Records a new transaction.
    pub fn started(&mut self, source: Hop) {
        self.total += 1;
        self.update(source, |usage| usage.unfinished += 1);
    }

    /// Records that a transaction has its final response and may be forgotten. Returns its number, for
    /// [`TransactionBudget::ended`].
    pub fn finished(&mut self, source: Hop, key: TransactionKey) -> FinishNumber {
        let number = self.next_number;
        self.next_number += 1;
        self.update(source, |usage| {
            usage.unfinished = usage.unfinished.saturating_sub(1);
            usage.finished.insert(number, key);
        });
        number
    }

    /// Records the end of a transaction, given by its number if it was finished.
    pub fn ended(&mut self, source: Hop, finished: Option<FinishNumber>) {
        self.total = self.total.saturating_sub(1);
        self.update(source, |usage| match finished {
            Some(number) => drop(usage.finished.remove(&number)),
            None => usage.unfinished = usage.unfinished.saturating_sub(1),
        });
    }
}
