//! Rules on single calls.

use mallowring_standin::record::Observation;

use super::view::{Attempt, CallHistory, TrialContext, ANSWER_DUE_AFTER_TERM_S, CLOSE_CROSSING_S};
use super::*;

/// Time in seconds after the deadline within which a final answer earns nothing but is no breach.
const LATE_ANSWER_GRACE_S: f64 = 0.5;
/// Time limit in seconds from the release by the exchange to the release to the caller.
const RELEASE_LIMIT_S: f64 = 1.0;
/// Time limit in seconds from the end of a call to the release to its caller, even if the exchange sends no release.
const RELEASE_AFTER_END_LIMIT_S: f64 = 8.0;

fn breach(rule: Rule, call: &CallHistory, at: f64, details: String) -> Option<Breach> {
    Some(Breach { rule, at, proxy: call.proxy, call: call.id.to_owned(), details })
}

/// Returns the breaches of the rules that concern the order of events and no time limit. A stall of the trial, during
/// which observations are late, changes none of them: an exchange's answer is recorded before it is written.
pub fn check_order(call: &CallHistory, parameters: &DeploymentParameters) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = Vec::new();
    breaches.extend(second_answer(call));
    breaches.extend(description(call));
    breaches.extend(one_attempt(call));
    breaches.extend(attempts(call, parameters));
    breaches
}

/// Returns all breaches of one call.
pub fn check(call: &CallHistory, context: &TrialContext, parameters: &DeploymentParameters) -> Vec<Breach> {
    let mut breaches = check_order(call, parameters);
    breaches.extend(answer(call, context));
    breaches.extend(answer_before_kill(call, context, parameters));
    breaches.extend(pause(call, parameters));
    breaches.extend(sent_after_answer(call, context));
    breaches.extend(call.attempts.iter().filter_map(|attempt| drain(call, attempt, context, parameters)));
    breaches.extend(release(call, context));
    breaches.extend(release_after_end(call, context));
    breaches
}

fn answer(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let limit = call.requested_at + call.deadline + LATE_ANSWER_GRACE_S + TOLERANCE_S;
    let answered = call.answer().map(|(at, ..)| at);
    if answered.is_some_and(|at| at <= limit) {
        return None;
    }
    if call.first(|observation| *observation == Observation::GaveUp).is_some_and(|at| at <= limit) {
        return None;
    }
    // Nobody had taken it (PROTOCOL, 'The rules on sockets': a request is taken once it is written to a connection).
    if context.was_killed_before(call.proxy, call.requested_at) {
        return None;
    }
    let end = context.proxy_end_after(call.proxy, call.requested_at).filter(|end| *end <= limit);
    if let Some(end) = end {
        if context.kill_excuses_missing_answer(call.proxy, call.requested_at, end) {
            return None;
        }
        let details = format!(
            "the proxy exited {:.3} s after the request without answering it",
            end - call.requested_at
        );
        return breach(ANSWER, call, end, details);
    }
    let details = match answered {
        Some(at) => format!("answered {:.3} s after its deadline", at - call.requested_at - call.deadline),
        None => format!("no answer; its caller waited {:.3} s", call.deadline),
    };
    breach(ANSWER, call, limit, details)
}

/// A set-up that crosses the earliest SIGKILL within [`CLOSE_CROSSING_S`] is sent again on a new connection.
fn answer_before_kill(
    call: &CallHistory,
    context: &TrialContext,
    parameters: &DeploymentParameters,
) -> Option<Breach> {
    let terminated = context.terminated_before(call.proxy, call.requested_at)?;
    let earliest_kill = terminated + parameters.kill_after_s;
    let is_due = call.requested_at > terminated + ANSWER_DUE_AFTER_TERM_S
        && call.requested_at <= earliest_kill - CLOSE_CROSSING_S;
    let is_answer = |o: &Observation| matches!(o, Observation::Answered { .. } | Observation::GaveUp);
    let answered = call.first(is_answer).unwrap_or(f64::INFINITY);
    let ended = context.proxy_end_after(call.proxy, call.requested_at).unwrap_or(f64::INFINITY);
    if !is_due || answered <= earliest_kill || ended < earliest_kill {
        return None;
    }
    let details = format!(
        "a set-up {:.3} s after SIGTERM had no answer {:.3} s after it",
        call.requested_at - terminated,
        parameters.kill_after_s
    );
    breach(ANSWER_BEFORE_KILL, call, earliest_kill, details)
}

fn second_answer(call: &CallHistory) -> Option<Breach> {
    let mut answers =
        call.entries.iter().filter(|entry| matches!(entry.observation, Observation::Answered { .. }));
    let second = answers.nth(1)?;
    breach(SECOND_ANSWER, call, second.at, "a second final answer".to_owned())
}

fn description(call: &CallHistory) -> Option<Breach> {
    let expected_body = format!("offer-{}", call.id);
    for entry in &call.entries {
        if let Observation::SetUpReceived { description } = &entry.observation {
            if *description != expected_body {
                return breach(
                    DESCRIPTION,
                    call,
                    entry.at,
                    format!("{} received a set-up with the body '{description}'", entry.observer),
                );
            }
        }
    }
    let (at, status, received) = call.answer()?;
    let was_given = |entry: &&&mallowring_standin::record::Entry| {
        matches!(&entry.observation,
        Observation::SetUpAnswered { status: 200, description } if description == received)
    };
    if status == 200 && !call.entries.iter().any(|entry| was_given(&entry)) {
        return breach(
            DESCRIPTION,
            call,
            at,
            format!("answered with '{received}', which no exchange sent for this call"),
        );
    }
    None
}

fn one_attempt(call: &CallHistory) -> Option<Breach> {
    for (ix, first) in call.attempts.iter().enumerate() {
        for second in &call.attempts[ix + 1..] {
            let overlaps = first.end.is_none_or(|end| second.at < end - TOLERANCE_S);
            if overlaps {
                let details = format!(
                    "attempts pending at {} and at {} at the same time",
                    first.exchange, second.exchange
                );
                return breach(ONE_ATTEMPT, call, second.at, details);
            }
        }
    }
    None
}

fn attempts(call: &CallHistory, parameters: &DeploymentParameters) -> Option<Breach> {
    let excess_attempt = call.attempts.get(parameters.max_attempts)?;
    breach(ATTEMPTS, call, excess_attempt.at, format!("{} attempts", call.attempts.len()))
}

fn pause(call: &CallHistory, parameters: &DeploymentParameters) -> Option<Breach> {
    for pair in call.attempts.windows(2) {
        let [first, second] = pair else { continue };
        let Some(end) = first.end.filter(|_| first.requires_pause) else { continue };
        let waited = second.at - end;
        if waited < parameters.release_pause_s - TOLERANCE_S {
            return breach(PAUSE, call, second.at, format!("sent again after {waited:.3} s"));
        }
    }
    None
}

fn sent_after_answer(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let (answered, ..) = call.answer()?;
    // What the network held back was sent before (WIRE, 'Rules', 1, is about sending).
    let late = |attempt: &&Attempt| {
        attempt.at > answered + TOLERANCE_S
            && !context.was_network_disturbed(&attempt.exchange, call.requested_at, attempt.at)
    };
    let late = call.attempts.iter().find(late)?;
    breach(
        SENT_AFTER_ANSWER,
        call,
        late.at,
        format!("sent to {} {:.3} s after the final answer", late.exchange, late.at - answered),
    )
}

fn drain(
    call: &CallHistory,
    attempt: &Attempt,
    context: &TrialContext,
    parameters: &DeploymentParameters,
) -> Option<Breach> {
    let informed_at = context.considered_informed_at(call.proxy, &attempt.exchange, attempt.at)?;
    let late = attempt.at - informed_at - parameters.drain_grace_s - TOLERANCE_S;
    // A send is counted from its first byte (PROTOCOL, 'Figures'), which the network may have held back.
    if late <= 0.0 || context.was_network_disturbed(&attempt.exchange, informed_at, attempt.at) {
        return None;
    }
    let details = format!(
        "sent to {} {:.3} s after the proxy was considered informed",
        attempt.exchange,
        attempt.at - informed_at
    );
    breach(DRAIN, call, attempt.at, details)
}

/// Returns whether a release to the caller was due at a given time: the call was established, the caller had not hung
/// up and could be reached, and the proxy was not killed. A proxy that exits by itself owes what was due until then; a
/// call that it leaves standing was due.
fn is_release_due(call: &CallHistory, context: &TrialContext, from: f64, due_at: f64) -> bool {
    let established = call.answer().is_some_and(|(at, status, _)| status == 200 && at <= from);
    let hung_up =
        call.first(|observation| *observation == Observation::HungUp).is_some_and(|at| at <= due_at);
    let killed = context.proxy_kill_after(call.proxy, call.requested_at).is_some_and(|at| at <= due_at);
    let exit = context.proxy_exit_after(call.proxy, call.requested_at).unwrap_or(f64::INFINITY);
    let (from, due_at) = (from.min(exit), due_at.min(exit));
    let listens = call.first(|observation| *observation == Observation::CallerListens).is_some();
    let reachable = listens || context.caller_was_connected(call.proxy, from, due_at);
    established && !hung_up && !killed && reachable
}

fn release_received_at(call: &CallHistory) -> f64 {
    call.first(|observation| matches!(observation, Observation::ReleaseReceived(_))).unwrap_or(f64::INFINITY)
}

fn release(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let release = call.entries.iter().find(|entry| entry.observation == Observation::ReleaseSent)?;
    // While the network holds it back no release can be sent: then the 8 s count, and the second from its arrival
    // (PROTOCOL, 'The rules on sockets').
    let sent = context.delivered_by(&release.observer, release.at);
    let due_at = sent + RELEASE_LIMIT_S + TOLERANCE_S;
    if release_received_at(call) <= due_at || !is_release_due(call, context, sent - CLOSE_CROSSING_S, due_at)
    {
        return None;
    }
    let late = release_received_at(call) - sent;
    breach(RELEASE, call, due_at, format!("caller released {late:.3} s after the exchange's release"))
}

fn release_after_end(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let ended_at = call.first(|observation| *observation == Observation::CallEnded)?;
    let due_at = ended_at + RELEASE_AFTER_END_LIMIT_S + TOLERANCE_S;
    if release_received_at(call) <= due_at
        || !is_release_due(call, context, ended_at - CLOSE_CROSSING_S, due_at)
    {
        return None;
    }
    breach(
        RELEASE_AFTER_END,
        call,
        due_at,
        format!("caller released {:.3} s after the end of the call", release_received_at(call) - ended_at),
    )
}
