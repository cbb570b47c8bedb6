//! SIP without sockets: messages, their framing on a stream, transactions, dialogs, and the agent that stands
//! between SIP and the core.

pub mod agent;
pub mod dialog;
pub mod header;
pub mod message;
pub mod transaction;

use crate::interface::{Cause, Outcome};
use message::Message;

/// What a refusal of an exchange means.
pub(crate) fn failure_outcome(status: u16, note: Option<&str>) -> (Outcome, Cause) {
    let outcome = match status {
        503 => Outcome::Refused,
        480 => Outcome::NotSent,
        504 => Outcome::Reset,
        487 => Outcome::Cancelled,
        408 => Outcome::TimedOut,
        _ => Outcome::Error,
    };
    let why = match note.map(str::trim) {
        Some("no_circuit") => Cause::NoCircuit,
        Some("turned_back") => Cause::Crankback,
        Some("far_overload") => Cause::FarProcessorFull,
        Some("overload") => Cause::ProcessorFull,
        Some("lines_busy") => Cause::LinesBusy,
        _ => Cause::Unspecified,
    };
    (outcome, why)
}

/// The cause in `Reason: Q.850;cause=N`.
pub(crate) fn q850_cause(message: &Message) -> Option<u32> {
    let parts = message.get("Reason")?.split(';');
    let mut causes = parts.filter_map(|p| p.trim().strip_prefix("cause=")?.trim().parse().ok());
    causes.next()
}
