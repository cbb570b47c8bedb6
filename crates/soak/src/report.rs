//! Text output: schedules, breaches with the timeline of the call over all processes, and summary tables.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use serde::Serialize;

use crate::coverage::{CallState, Coverage};
use crate::fault::FaultKind;
use crate::judge::{Breach, Verdict, RULES};
use crate::plan::Plan;
use crate::trial::TrialOutcome;

/// Number of breaches of one rule that are printed in full.
const MAX_PRINTED_BREACHES: usize = 3;
/// Largest share of unjudged calls with which a run still passes.
pub const MAX_NOT_JUDGED_SHARE: f64 = 0.1;

/// Sum of the results of many trials.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of trials.
    pub trials: usize,
    /// Broken rules by seed.
    pub broken: BTreeMap<u64, Vec<String>>,
    /// Number of breaches by rule.
    pub breaches: BTreeMap<String, usize>,
    /// Number of calls judged.
    pub judged: usize,
    /// Number of calls judged by the order of events only, because of planned stalls.
    pub judged_by_order: usize,
    /// Number of calls not judged, because the machine stalled.
    pub not_judged: usize,
    /// Call states that the faults occurred in.
    pub coverage: Coverage,
}

impl Summary {
    /// Adds the result of one trial.
    pub fn add(&mut self, seed: u64, verdict: &Verdict, coverage: &Coverage) {
        self.trials += 1;
        self.judged += verdict.judged;
        self.judged_by_order += verdict.judged_by_order;
        self.not_judged += verdict.not_judged;
        self.coverage.add(coverage);
        for breach in &verdict.breaches {
            *self.breaches.entry(breach.rule.name.to_owned()).or_insert(0) += 1;
            let rules = self.broken.entry(seed).or_default();
            if !rules.iter().any(|name| name == breach.rule.name) {
                rules.push(breach.rule.name.to_owned());
            }
        }
    }

    /// Returns whether no rule was broken and enough calls were judged.
    pub fn passed(&self) -> bool {
        let all = (self.judged + self.judged_by_order + self.not_judged).max(1) as f64;
        self.broken.is_empty() && self.not_judged as f64 / all <= MAX_NOT_JUDGED_SHARE
    }

    /// Returns the summary as tables.
    pub fn text(&self) -> String {
        let mut rule_table = Table::new();
        rule_table.load_preset(ASCII_MARKDOWN).set_header(["rule", "breaches", "seeds"]);
        for rule in RULES {
            let seeds =
                self.broken.values().filter(|rules| rules.iter().any(|name| name == rule.name)).count();
            let breaches = self.breaches.get(rule.name).copied().unwrap_or(0);
            rule_table.add_row([rule.name.to_owned(), breaches.to_string(), seeds.to_string()]);
        }
        let mut fault_table = Table::new();
        fault_table.load_preset(ASCII_MARKDOWN);
        fault_table.set_header(["fault", "no call", "set-up out", "standing", "in release", "overlaps"]);
        for kind in FaultKind::ALL {
            let mut row = vec![kind.name().to_owned()];
            row.extend(CallState::ALL.iter().map(|state| self.coverage.count(kind, *state).to_string()));
            row.push(self.coverage.overlaps(kind).to_string());
            fault_table.add_row(row);
        }
        let mut text = format!("{rule_table}\n\n{fault_table}\n\n");
        let _ = writeln!(
            text,
            "{} trials, {} calls judged, {} by the order of events only, {} not judged",
            self.trials, self.judged, self.judged_by_order, self.not_judged
        );
        for (seed, rules) in &self.broken {
            let _ = writeln!(text, "seed {seed}: {}", rules.join(", "));
        }
        text
    }
}

/// Returns the schedule of a plan as text.
pub fn timeline(plan: &Plan) -> String {
    let relayed = if plan.relayed { " behind relays" } else { "" };
    let mut text = format!(
        "seed {}: {} proxies, {} exchanges{}, {:.1} s of load, {} calls, callers wait {} s at most, {} descriptors, \
         {} MB\n",
        plan.seed, plan.proxies, plan.exchanges, relayed, plan.seconds, plan.calls.len(), plan.give_up, plan.descriptors,
        plan.memory_mb
    );
    if plan.sip {
        let _ = writeln!(text, "          SIP fronts with {} calls", plan.sip_calls.len());
    }
    if let Some(at) = plan.crowd_at {
        let _ = writeln!(text, "  {at:7.3} a crowd of calls at every proxy");
    }
    for fault in &plan.faults {
        let (at, duration_s, target) = (fault.at, fault.duration_s, fault.target);
        let _ = writeln!(
            text,
            "  {at:7.3} {:<20} {:?} {target} for {duration_s:.3} s",
            fault.kind.name(),
            fault.kind.target()
        );
    }
    text
}

/// Returns the timeline of one call over all processes, with the lines of the proxy's log that contain its Call-ID.
pub fn call_timeline(outcome: &TrialOutcome, proxy: usize, call: &str) -> String {
    let mut text = String::new();
    for entry in outcome.entries.iter().filter(|entry| entry.call_id == call) {
        let _ = writeln!(
            text,
            "    {:9.3} {:<12} {:?}",
            entry.at - outcome.load_started_at,
            entry.observer,
            entry.observation
        );
    }
    let log = outcome.logs.get(proxy).map_or("", String::as_str);
    for line in log.lines().filter(|line| line.contains(call)) {
        let _ = writeln!(text, "    n{proxy} {line}");
    }
    text
}

/// Returns the breaches of a trial as text, with the timelines of the calls and the command that replays the trial.
pub fn breaches(plan: &Plan, outcome: &TrialOutcome, verdict: &Verdict) -> String {
    let mut text = String::new();
    let mut printed: BTreeMap<&str, usize> = BTreeMap::new();
    for Breach { rule, at, proxy, call, details } in &verdict.breaches {
        let n = printed.entry(rule.name).or_insert(0);
        *n += 1;
        if *n > MAX_PRINTED_BREACHES {
            continue;
        }
        let at = at - outcome.load_started_at;
        let _ =
            writeln!(text, "  {at:9.3} rule '{}': n{proxy} {call} {details} ({})", rule.name, rule.source);
        if !call.is_empty() {
            text.push_str(&call_timeline(outcome, *proxy, call));
        }
    }
    for (rule, n) in printed.into_iter().filter(|(_, n)| *n > MAX_PRINTED_BREACHES) {
        let _ = writeln!(text, "  rule '{rule}': {n} breaches in all");
    }
    if !verdict.breaches.is_empty() {
        let _ = writeln!(text, "  to replay: mallowring-soak replay {}", plan.seed);
    }
    text
}
