//! The set-ups that a proxy has for one exchange: those that wait for a connection, and those pending on each
//! connection. It is the only place that knows whether a set-up was written, so it alone decides how an attempt at the
//! exchange ends, and each set-up ends exactly once. No I/O, and time is a parameter.

use std::collections::{BTreeMap, VecDeque};

use super::attempt_end::AttemptEnd;
use crate::calls::SetUp;
use crate::interface::{CallId, Time};

/// Limit of the set-ups that wait for a connection.
const MAX_WAITING: usize = 512;
/// Limit of the set-ups that are remembered because an answer may still come after their end.
const MAX_UNCONFIRMED: usize = 256;
/// Limit of the answered set-ups that are remembered on one connection, as their answers may be repeated on it.
const MAX_ANSWERED: usize = 64;
/// A set-up overtaken by a later one is a sign of failure after this share of its time limit.
const OVERTAKEN_SHARE: f64 = 0.2;

/// Number of a connection.
pub type ConnectionId = u64;

/// A set-up that was written to a connection and is not answered.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingSetUp {
    /// The number of the attempt.
    pub leg: u32,
    /// Number of circuits that it takes.
    pub width: u32,
    /// When it was written.
    pub sent_at: Time,
    /// When it is given up.
    pub expires_at: Time,
    /// It goes straight to its destination and so waits at this exchange alone, mostly in the order of sending.
    pub direct: bool,
    /// A later direct set-up was answered before it.
    overtaken: bool,
}

/// The end of a set-up that was not established.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedSetUp {
    /// The call.
    pub id: CallId,
    /// The number of the attempt.
    pub leg: u32,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Where a cancelled set-up was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Cancelled {
    /// It was still waiting for a connection: nothing has to be sent.
    Waiting,
    /// It was pending on this connection, where a CANCEL has to follow.
    Pending(ConnectionId, PendingSetUp),
    /// It has ended already.
    Unknown,
}

/// What a final answer belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Answered {
    /// A set-up that was pending on the connection of the answer.
    Pending(PendingSetUp),
    /// A set-up that had ended here without confirmation.
    AfterItsEnd,
    /// Nothing: a repeated answer, or an unknown call.
    Unknown,
}

#[derive(Debug, Default)]
struct Connection {
    pending: BTreeMap<CallId, PendingSetUp>,
    /// The latest calls with a set-up that was answered on it and may be attempted again.
    answered: VecDeque<CallId>,
}

/// The set-ups for one exchange.
#[derive(Debug, Default)]
pub struct SetUps {
    waiting: VecDeque<(CallId, SetUp)>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The latest set-ups that ended without confirmation; their answers may still arrive.
    unconfirmed: VecDeque<CallId>,
    /// The latest sending time of a direct set-up that was answered with success.
    latest_answered_send: Time,
}

/// Appends to a queue of limited length; drops the oldest entry beyond the limit.
fn push_limited(queue: &mut VecDeque<CallId>, id: CallId, limit: usize) {
    queue.push_back(id);
    if queue.len() > limit {
        queue.pop_front();
    }
}

impl SetUps {
    /// Creates an empty set at the given time.
    pub fn new(now: Time) -> SetUps {
        SetUps { latest_answered_send: now, ..SetUps::default() }
    }

    /// Lets a set-up wait for a connection. Returns its end if too many wait.
    pub fn wait(&mut self, id: CallId, set_up: SetUp) -> Option<EndedSetUp> {
        if self.waiting.len() >= MAX_WAITING {
            return Some(EndedSetUp { id, leg: set_up.leg, end: AttemptEnd::NeverSent });
        }
        self.waiting.push_back((id, set_up));
        None
    }

    /// Number of set-ups that wait for a connection.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the set-ups that wait for a connection, in order. Each has to be passed on to [`SetUps::sent`] or
    /// [`SetUps::wait`], or be ended.
    pub fn take_waiting(&mut self) -> VecDeque<(CallId, SetUp)> {
        std::mem::take(&mut self.waiting)
    }

    /// Ends the set-ups that wait for a connection: none of them was written.
    pub fn end_waiting(&mut self) -> Vec<EndedSetUp> {
        let ended =
            |(id, set_up): (CallId, SetUp)| EndedSetUp { id, leg: set_up.leg, end: AttemptEnd::NeverSent };
        self.take_waiting().into_iter().map(ended).collect()
    }

    /// Records that a set-up is written to a connection.
    pub fn sent(&mut self, now: Time, connection: ConnectionId, id: CallId, set_up: &SetUp) {
        let pending = PendingSetUp {
            leg: set_up.leg,
            width: set_up.width,
            sent_at: now,
            expires_at: set_up.abandon_at,
            direct: set_up.direct,
            overtaken: false,
        };
        self.connections.entry(connection).or_default().pending.insert(id, pending);
    }

    /// Whether a set-up of this call was answered on the connection without success. The answer may be repeated, and answers name only
    /// the call, so a further attempt of it must not be written there.
    pub fn was_answered_on(&self, connection: ConnectionId, id: &CallId) -> bool {
        self.connections.get(&connection).is_some_and(|connection| connection.answered.contains(id))
    }

    /// Number of set-ups that are pending on a connection.
    pub fn pending_on(&self, connection: ConnectionId) -> usize {
        self.connections.get(&connection).map_or(0, |connection| connection.pending.len())
    }

    /// Whether a set-up waits or is pending.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.connections.values().all(|connection| connection.pending.is_empty())
    }

    /// Circuits that the pending set-ups may hold at the exchange.
    pub fn pending_circuits(&self) -> u32 {
        self.connections.values().flat_map(|connection| connection.pending.values()).map(|p| p.width).sum()
    }

    /// Cancels an attempt. It ends for the caller of this method, which knows that.
    pub fn cancel(&mut self, id: &CallId, leg: u32) -> Cancelled {
        if let Some(at) = self.waiting.iter().position(|(waiting, set_up)| waiting == id && set_up.leg == leg)
        {
            self.waiting.remove(at);
            return Cancelled::Waiting;
        }
        for (connection_id, connection) in &mut self.connections {
            if connection.pending.get(id).is_some_and(|pending| pending.leg == leg) {
                let Some(pending) = connection.pending.remove(id) else { continue };
                push_limited(&mut self.unconfirmed, id.clone(), MAX_UNCONFIRMED);
                return Cancelled::Pending(*connection_id, pending);
            }
        }
        Cancelled::Unknown
    }

    /// Takes a final answer that arrived on a connection. Answers are matched by call and connection alone: exchanges
    /// do not repeat the number of the attempt. `end` is how the set-up ends by it; `None` for a success.
    pub fn answered(&mut self, connection: ConnectionId, id: &CallId, end: Option<AttemptEnd>) -> Answered {
        let receiver = self.connections.get_mut(&connection);
        let pending = receiver.and_then(|receiver| {
            let pending = receiver.pending.remove(id)?;
            if end.is_some_and(AttemptEnd::permits_retry) {
                push_limited(&mut receiver.answered, id.clone(), MAX_ANSWERED);
            }
            Some(pending)
        });
        if let Some(pending) = pending {
            if end.is_some_and(|end| !end.permits_retry()) {
                push_limited(&mut self.unconfirmed, id.clone(), MAX_UNCONFIRMED);
            }
            return Answered::Pending(pending);
        }
        match self.unconfirmed.iter().position(|unconfirmed| unconfirmed == id) {
            Some(at) => {
                self.unconfirmed.remove(at);
                Answered::AfterItsEnd
            }
            None => Answered::Unknown,
        }
    }

    /// Ends the set-ups that were pending on a connection, which has ended. The exchange may notice that later.
    pub fn connection_ended(&mut self, connection: ConnectionId) -> Vec<EndedSetUp> {
        let Some(connection) = self.connections.remove(&connection) else { return Vec::new() };
        let ended = |(id, pending): (CallId, PendingSetUp)| {
            let end = AttemptEnd::ConnectionEnded;
            EndedSetUp { id, leg: pending.leg, end }
        };
        connection.pending.into_iter().map(ended).collect()
    }

    /// Records that a direct set-up was established. Returns the pending direct set-ups that it has overtaken by now,
    /// each once, with the connection and the sending time. They go on waiting: the exchange may work on them.
    pub fn overtaken_by(&mut self, now: Time, answered: &PendingSetUp) -> Vec<(ConnectionId, CallId, Time)> {
        if !answered.direct || answered.sent_at <= self.latest_answered_send {
            return Vec::new();
        }
        self.latest_answered_send = answered.sent_at;
        let mut overtaken = Vec::new();
        for (connection_id, connection) in &mut self.connections {
            for (id, pending) in &mut connection.pending {
                let grace = OVERTAKEN_SHARE * (pending.expires_at - pending.sent_at);
                let is_late = pending.sent_at < answered.sent_at && now - pending.sent_at >= grace;
                if pending.direct && is_late && !std::mem::replace(&mut pending.overtaken, true) {
                    overtaken.push((*connection_id, id.clone(), pending.sent_at));
                }
            }
        }
        overtaken
    }
}
