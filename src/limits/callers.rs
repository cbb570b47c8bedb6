//! Which connection of a caller is closed when another one needs its descriptor. No I/O.

use crate::interface::Time;

/// What a connection without an open set-up is still good for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleConnection {
    /// It has carried a valid request.
    pub useful: bool,
    /// Calls that were set up on it are established: their releases go out on it first.
    pub carries_calls: bool,
    /// When it last carried a valid request or a final answer.
    pub last_active: Time,
}

/// Selects the connection that is least needed: one without a valid request first, then one without established calls,
/// each time the one that has been idle the longest. A client that holds many connections idle so loses these first.
pub fn least_needed<Id>(idle: impl Iterator<Item = (Id, IdleConnection)>) -> Option<Id> {
    let rank = |connection: &IdleConnection| (connection.useful, connection.carries_calls);
    let least = idle.min_by(|(_, a), (_, b)| {
        rank(a).cmp(&rank(b)).then_with(|| a.last_active.0.total_cmp(&b.last_active.0))
    });
    least.map(|(id, _)| id)
}
