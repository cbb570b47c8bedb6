//! Log lines and counters of the call table: attempts, their ends, and refusals.

use crate::interface::*;
use crate::recovery::attempt_end::AttemptEnd;
use crate::telemetry;

/// Logs and counts the refusal of a request.
pub(super) fn record_refusal(id: &CallId, reason: &'static str) {
    tracing::info!(call = id.0, reason, "request refused");
    telemetry::request_refused(reason);
}

/// The end of an attempt, with what came with it.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) end: AttemptEnd,
    pub(super) cause: Cause,
    pub(super) report: LoadReport,
}

impl EndedAttempt {
    /// An end without a message of the exchange.
    pub(super) fn without_message(end: AttemptEnd) -> Self {
        EndedAttempt { end, cause: Cause::Unspecified, report: LoadReport::default() }
    }
}

/// Logs and counts the end of an attempt that was not answered with success: it explains whether and when the call is
/// attempted again.
pub(super) fn record_attempt_end(
    id: &CallId,
    exchange: ExchangeId,
    attempt: u32,
    ended: &EndedAttempt,
    elapsed: Secs,
) {
    let EndedAttempt { end, cause, .. } = ended;
    telemetry::attempt_ended(end.name(), end.proof().name());
    tracing::info!(
        call = id.0,
        office = exchange.0,
        attempt,
        outcome = end.name(),
        ?cause,
        evidence = end.proof().name(),
        elapsed_s = elapsed,
        "attempt ended"
    );
}

/// Logs an attempt that is sent, and counts it if it is not the first of its call.
pub(super) fn record_attempt(id: &CallId, exchange: ExchangeId, attempt: u32, direct: bool) {
    let (call, office) = (&id.0, exchange.0);
    if attempt > 0 {
        telemetry::call_attempted_again();
        tracing::info!(call, office, attempt, direct, "call attempted again");
    } else {
        tracing::debug!(call, office, attempt, direct, "attempt sent");
    }
}
