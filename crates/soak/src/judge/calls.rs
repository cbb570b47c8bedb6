//! The rules on one call.

use mallowring_standin::record::Observation;

use super::view::{Attempt, CallView, World, CROSSING};
use super::*;

/// A final answer that comes so late only earns nothing; later it is lost.
const ANSWER_LATE: f64 = 0.5;
/// From a release by the exchange to the release to the caller.
const RELEASE_WITHIN: f64 = 1.0;
/// From the end of a call to the release to its caller.
const TOLD_WITHIN: f64 = 8.0;

fn breach(rule: Rule, call: &CallView, at: f64, what: String) -> Option<Breach> {
    Some(Breach { rule, at, proxy: call.proxy, call: call.id.to_owned(), what })
}

/// All breaches of one call.
pub fn check(call: &CallView, world: &World, figures: &Figures) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = Vec::new();
    breaches.extend(answer(call, world));
    breaches.extend(second_answer(call));
    breaches.extend(description(call));
    breaches.extend(one_out(call, world));
    breaches.extend(attempts(call, figures));
    breaches.extend(pause(call, world, figures));
    breaches.extend(after_answer(call, world));
    breaches.extend(call.attempts.iter().filter_map(|attempt| drain(call, attempt, world, figures)));
    breaches.extend(release(call, world));
    breaches.extend(told(call, world));
    breaches
}

fn answer(call: &CallView, world: &World) -> Option<Breach> {
    let limit = call.requested + call.deadline + ANSWER_LATE + SLACK;
    let answered = call.answer().map(|(at, ..)| at);
    if answered.is_some_and(|at| at <= limit) {
        return None;
    }
    if call.first(|observation| *observation == Observation::GaveUp).is_some_and(|at| at <= limit) {
        return None;
    }
    let end = world.end_of_proxy(call.proxy, call.requested).filter(|end| *end <= limit);
    if let Some(end) = end {
        if world.kill_excuses(call.proxy, call.requested, end) {
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

fn second_answer(call: &CallView) -> Option<Breach> {
    let mut answers =
        call.entries.iter().filter(|entry| matches!(entry.observation, Observation::Answered { .. }));
    let second = answers.nth(1)?;
    breach(SECOND_ANSWER, call, second.at, "a second final answer".to_owned())
}

fn description(call: &CallView) -> Option<Breach> {
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

fn one_out(call: &CallView, world: &World) -> Option<Breach> {
    for (ix, first) in call.attempts.iter().enumerate() {
        for second in &call.attempts[ix + 1..] {
            // One that a silent exchange reads late was given up before.
            let late =
                [first, second].into_iter().any(|a| world.was_silent(&a.exchange, call.requested, second.at));
            let overlaps = first.end.is_none_or(|end| second.at < end - SLACK);
            if overlaps && !late {
                let what = format!("out at {} and at {}", first.exchange, second.exchange);
                return breach(ONE_OUT, call, second.at, what);
            }
        }
    }
    None
}

fn attempts(call: &CallView, figures: &Figures) -> Option<Breach> {
    let beyond = call.attempts.get(figures.max_attempts)?;
    breach(ATTEMPTS, call, beyond.at, format!("{} attempts", call.attempts.len()))
}

fn pause(call: &CallView, world: &World, figures: &Figures) -> Option<Breach> {
    for pair in call.attempts.windows(2) {
        let [first, second] = pair else { continue };
        let Some(end) = first.end.filter(|_| first.pause) else { continue };
        let silent =
            [first, second].into_iter().any(|a| world.was_silent(&a.exchange, call.requested, second.at));
        let waited = second.at - end;
        if waited < figures.release_pause - SLACK && !silent {
            return breach(PAUSE, call, second.at, format!("sent again after {waited:.3} s"));
        }
    }
    None
}

fn after_answer(call: &CallView, world: &World) -> Option<Breach> {
    let (answered, ..) = call.answer()?;
    let late = |attempt: &&Attempt| {
        attempt.at > answered + SLACK && !world.was_silent(&attempt.exchange, call.requested, attempt.at)
    };
    let late = call.attempts.iter().find(late)?;
    breach(
        AFTER_ANSWER,
        call,
        late.at,
        format!("sent to {} {:.3} s after", late.exchange, late.at - answered),
    )
}

fn drain(call: &CallView, attempt: &Attempt, world: &World, figures: &Figures) -> Option<Breach> {
    let told = world.counts_as_told(call.proxy, &attempt.exchange)?;
    let late = attempt.at - told - figures.drain_grace - SLACK;
    if late <= 0.0 || world.was_silent(&attempt.exchange, told, attempt.at) {
        return None;
    }
    let what = format!("sent to {} {:.3} s after it counted as told", attempt.exchange, attempt.at - told);
    breach(DRAIN, call, attempt.at, what)
}

/// Whether the caller of a call that stood had to be told by a time: it was there to be told and has not ended the call
/// itself, and the proxy ran.
fn is_owed(call: &CallView, world: &World, from: f64, by: f64) -> bool {
    let stood = call.answer().is_some_and(|(at, status, _)| status == 200 && at <= from);
    let hung_up = call.first(|observation| *observation == Observation::HungUp).is_some_and(|at| at <= by);
    let ended = world.end_of_proxy(call.proxy, call.requested).is_some_and(|end| end <= by);
    stood && !hung_up && !ended && world.caller_was_connected(call.proxy, from, by)
}

fn release_heard(call: &CallView) -> f64 {
    call.first(|observation| matches!(observation, Observation::ReleaseHeard(_))).unwrap_or(f64::INFINITY)
}

fn release(call: &CallView, world: &World) -> Option<Breach> {
    let sent = call.first(|observation| *observation == Observation::ReleaseSent)?;
    let by = sent + RELEASE_WITHIN + SLACK;
    if release_heard(call) <= by || !is_owed(call, world, sent - CROSSING, by) {
        return None;
    }
    let late = release_heard(call) - sent;
    breach(RELEASE, call, by, format!("told {late:.3} s after the exchange's release"))
}

fn told(call: &CallView, world: &World) -> Option<Breach> {
    let over = call.first(|observation| *observation == Observation::Over)?;
    let by = over + TOLD_WITHIN + SLACK;
    if release_heard(call) <= by || !is_owed(call, world, over - CROSSING, by) {
        return None;
    }
    breach(END, call, by, format!("told {:.3} s after its end", release_heard(call) - over))
}
