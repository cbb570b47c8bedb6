//! SIP without sockets (RFC 3261): messages and their framing on a stream, transactions, dialogs, and the
//! agent that connects them to the call table.

pub mod agent;
pub mod dialog;
pub mod header;
pub mod message;
pub mod transaction;

use crate::interface::Cause;
use message::Message;

/// The cause that the `X-Outcome` header of a failure response names.
pub(crate) fn failure_cause(x_outcome: Option<&str>) -> Cause {
    match x_outcome.map(str::trim) {
        Some("no_circuit") => Cause::NoCircuit,
        Some("turned_back") => Cause::Crankback,
        Some("far_overload") => Cause::FarProcessorFull,
        Some("overload") => Cause::ProcessorFull,
        Some("lines_busy") => Cause::LinesBusy,
        _ => Cause::Unspecified,
    }
}

/// Returns the cause N of a `Reason: Q.850;cause=N` header (RFC 3326).
pub(crate) fn q850_cause(message: &Message) -> Option<u32> {
    let parts = message.get("Reason")?.split(';');
    let mut causes = parts.filter_map(|p| p.trim().strip_prefix("cause=")?.trim().parse().ok());
    causes.next()
}
