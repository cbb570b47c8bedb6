//! The rules on one call.

use mallowring_standin::record::Observation;

use super::view::{Attempt, CallHistory, TrialContext, CROSSING};
use super::*;

/// A final answer that comes so late only earns nothing; later it is lost.
const ANSWER_LATE: f64 = 0.5;
/// From a release by the exchange to the release to the caller.
const RELEASE_WITHIN: f64 = 1.0;
/// From the end of a call to the release to its caller.
const TOLD_WITHIN: f64 = 8.0;

fn breach(rule: Rule, call: &CallHistory, at: f64, what: String) -> Option<Breach> {
    Some(Breach { rule, at, proxy: call.proxy, call: call.id.to_owned(), what })
}

/// All breaches of one call.
pub fn check(call: &CallHistory, context: &TrialContext, parameters: &DeploymentParameters) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = Vec::new();
    breaches.extend(answer(call, context));
    breaches.extend(second_answer(call));
    breaches.extend(description(call));
    breaches.extend(one_out(call, context));
    breaches.extend(attempts(call, parameters));
    breaches.extend(pause(call, context, parameters));
    breaches.extend(after_answer(call, context));
    breaches.extend(call.attempts.iter().filter_map(|attempt| drain(call, attempt, context, parameters)));
    breaches.extend(release(call, context));
    breaches.extend(told(call, context));
    breaches
}

fn answer(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let limit = call.requested + call.deadline + ANSWER_LATE + SLACK;
    let answered = call.answer().map(|(at, ..)| at);
    if answered.is_some_and(|at| at <= limit) {
        return None;
    }
    if call.first(|observation| *observation == Observation::GaveUp).is_some_and(|at| at <= limit) {
        return None;
    }
    let end = context.end_of_proxy(call.proxy, call.requested).filter(|end| *end <= limit);
    if let Some(end) = end {
        if context.kill_excuses(call.proxy, call.requested, end) {
            return None;
        }
        let what =
            format!("the proxy ended {:.3} s after the request and left it unanswered", end - call.requested);
        return breach(ANSWER, call, end, what);
    }
    let what = match answered {
        Some(at) => format!("answered {:.3} s after its deadline", at - call.requested - call.deadline),
        None => format!("no answer; its caller waited {:.3} s", call.deadline),
    };
    breach(ANSWER, call, limit, what)
}

fn second_answer(call: &CallHistory) -> Option<Breach> {
    let mut answers =
        call.entries.iter().filter(|entry| matches!(entry.observation, Observation::Answered { .. }));
    let second = answers.nth(1)?;
    breach(SECOND_ANSWER, call, second.at, "a second final answer".to_owned())
}

fn description(call: &CallHistory) -> Option<Breach> {
    let offer = format!("offer-{}", call.id);
    for entry in &call.entries {
        if let Observation::SetUp { description } = &entry.observation {
            if *description != offer {
                return breach(
                    DESCRIPTION,
                    call,
                    entry.at,
                    format!("{} was offered '{description}'", entry.observer),
                );
            }
        }
    }
    let (at, status, got) = call.answer()?;
    let given = |entry: &&&mallowring_standin::record::Entry| {
        matches!(&entry.observation,
        Observation::SetUpEnded { status: 200, description } if description == got)
    };
    if status == 200 && !call.entries.iter().any(|entry| given(&entry)) {
        return breach(DESCRIPTION, call, at, format!("served with '{got}', which no exchange made for it"));
    }
    None
}

fn one_out(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    for (ix, first) in call.attempts.iter().enumerate() {
        for second in &call.attempts[ix + 1..] {
            // One that a silent exchange reads late was given up before.
            let late = [first, second]
                .into_iter()
                .any(|a| context.was_silent(&a.exchange, call.requested, second.at));
            let overlaps = first.end.is_none_or(|end| second.at < end - SLACK);
            if overlaps && !late {
                let what = format!("out at {} and at {}", first.exchange, second.exchange);
                return breach(ONE_OUT, call, second.at, what);
            }
        }
    }
    None
}

fn attempts(call: &CallHistory, parameters: &DeploymentParameters) -> Option<Breach> {
    let beyond = call.attempts.get(parameters.max_attempts)?;
    breach(ATTEMPTS, call, beyond.at, format!("{} attempts", call.attempts.len()))
}

fn pause(call: &CallHistory, context: &TrialContext, parameters: &DeploymentParameters) -> Option<Breach> {
    for pair in call.attempts.windows(2) {
        let [first, second] = pair else { continue };
        let Some(end) = first.end.filter(|_| first.pause) else { continue };
        let silent =
            [first, second].into_iter().any(|a| context.was_silent(&a.exchange, call.requested, second.at));
        let waited = second.at - end;
        if waited < parameters.release_pause - SLACK && !silent {
            return breach(PAUSE, call, second.at, format!("sent again after {waited:.3} s"));
        }
    }
    None
}

fn after_answer(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let (answered, ..) = call.answer()?;
    let late = |attempt: &&Attempt| {
        attempt.at > answered + SLACK && !context.was_silent(&attempt.exchange, call.requested, attempt.at)
    };
    let late = call.attempts.iter().find(late)?;
    breach(
        AFTER_ANSWER,
        call,
        late.at,
        format!("sent to {} {:.3} s after", late.exchange, late.at - answered),
    )
}

fn drain(
    call: &CallHistory,
    attempt: &Attempt,
    context: &TrialContext,
    parameters: &DeploymentParameters,
) -> Option<Breach> {
    let told = context.counts_as_told(call.proxy, &attempt.exchange)?;
    let late = attempt.at - told - parameters.drain_grace - SLACK;
    if late <= 0.0 || context.was_silent(&attempt.exchange, told, attempt.at) {
        return None;
    }
    let what = format!("sent to {} {:.3} s after it counted as told", attempt.exchange, attempt.at - told);
    breach(DRAIN, call, attempt.at, what)
}

/// Whether the caller of a call that stood had to be told by a time: it was there to be told and has not ended the call
/// itself, and the proxy ran.
fn is_owed(call: &CallHistory, context: &TrialContext, from: f64, by: f64) -> bool {
    let stood = call.answer().is_some_and(|(at, status, _)| status == 200 && at <= from);
    let hung_up = call.first(|observation| *observation == Observation::HungUp).is_some_and(|at| at <= by);
    let ended = context.end_of_proxy(call.proxy, call.requested).is_some_and(|end| end <= by);
    stood && !hung_up && !ended && context.caller_was_connected(call.proxy, from, by)
}

fn release_heard(call: &CallHistory) -> f64 {
    call.first(|observation| matches!(observation, Observation::ReleaseHeard(_))).unwrap_or(f64::INFINITY)
}

fn release(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let sent = call.first(|observation| *observation == Observation::ReleaseSent)?;
    let by = sent + RELEASE_WITHIN + SLACK;
    if release_heard(call) <= by || !is_owed(call, context, sent - CROSSING, by) {
        return None;
    }
    let late = release_heard(call) - sent;
    breach(RELEASE, call, by, format!("told {late:.3} s after the exchange's release"))
}

fn told(call: &CallHistory, context: &TrialContext) -> Option<Breach> {
    let over = call.first(|observation| *observation == Observation::Over)?;
    let by = over + TOLD_WITHIN + SLACK;
    if release_heard(call) <= by || !is_owed(call, context, over - CROSSING, by) {
        return None;
    }
    breach(END, call, by, format!("told {:.3} s after its end", release_heard(call) - over))
}
