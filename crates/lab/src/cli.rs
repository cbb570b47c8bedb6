//! Arguments, output and exit codes: 0 done, 1 a finding (a rule broken, a candidate worse, theory missed, a twin
//! that decides differently), 2 an error.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use mallowring::interface::CallId;
use mallowring::Tuning;

use crate::captures;
use crate::day::Day;
use crate::proxy::{CallTrace, Capturing, ExternalProgram, Shipped, Twin};
use crate::scenario::Scenario;
use crate::study::stats::Verdict;
use crate::study::sweep::{self, Axis};
use crate::study::{compare, keep, play, table, verify, Arm};
use crate::traffic::{generate, recorded};
use crate::world::{run, DayResult};
use crate::LabError;

/// A model of the whole fleet, to compare settings and versions of the signalling proxy before a busy day.
#[derive(Debug, Parser)]
#[command(name = "mallowring-lab", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Task,
    /// Threads; results do not depend on them. All cores where it is not given.
    #[arg(long, global = true)]
    threads: Option<usize>,
}

#[derive(Debug, Args)]
struct Days {
    /// How many days to play; each has a seed of its own.
    #[arg(long, default_value_t = 10)]
    days: u64,
    /// Seed of the first day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Days {
    fn seeds(&self) -> Vec<u64> {
        (self.seed..self.seed.saturating_add(self.days.max(1))).collect()
    }
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Plays days of a scenario and prints their service.
    Run {
        /// A scenario file; a calm day of six exchanges where it is not given.
        scenario: Option<PathBuf>,
        #[command(flatten)]
        days: Days,
        /// A built-in candidate, or a file that describes one.
        #[arg(long, default_value = "today")]
        candidate: String,
        /// Calls from a CSV file in place of drawn ones.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Plays one day and prints all that proxies were told and commanded about some calls.
    Follow {
        /// A scenario file.
        scenario: PathBuf,
        /// Ids of the calls, as a broken rule names them.
        #[arg(required = true)]
        calls: Vec<String>,
        /// Its day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A built-in candidate, or a file that describes one.
        #[arg(long, default_value = "today")]
        candidate: String,
    },
    /// Plays the same days with a baseline and with candidates, and says which is better.
    Compare {
        /// Scenario files; each is compared on its own.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// Built-in candidates, or files that describe them.
        #[arg(long, required = true, value_delimiter = ',')]
        candidate: Vec<String>,
        /// What they are compared with.
        #[arg(long, default_value = "today")]
        baseline: String,
        #[command(flatten)]
        days: Days,
        /// Calls from a CSV file in place of drawn ones.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Keeps tables and charts in the folder beside each scenario file that is named like it.
        #[arg(long)]
        keep: bool,
        /// Prints JSON.
        #[arg(long, conflicts_with = "csv")]
        json: bool,
        /// Prints CSV.
        #[arg(long)]
        csv: bool,
    },
    /// Plays a scenario with one or two keys over values.
    Sweep {
        /// A scenario file.
        scenario: PathBuf,
        /// `load.offered=0.7,0.9`, `tuning.abate=0.55,0.6`, or any other key of a scenario or of the tuning.
        #[arg(long = "set", required = true)]
        set: Vec<String>,
        /// A built-in candidate, or a file that describes one.
        #[arg(long, default_value = "today")]
        candidate: String,
        #[command(flatten)]
        days: Days,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Holds the model against theory.
    Verify {
        /// Length of the runs; below 1 is quicker and wider.
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Calls differences where there are none by construction: the same build with two seeds of the module, many
    /// times over. About 5 in 100 are expected.
    Aa {
        /// A scenario file.
        scenario: PathBuf,
        /// Comparisons.
        #[arg(long, default_value_t = 40)]
        times: u64,
        /// Days of each.
        #[arg(long, default_value_t = 6)]
        days: u64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Drives the shipped call table and a program on the simulator's wire side by side with the same inputs, and
    /// lists where they decide differently.
    Twin {
        /// A scenario file.
        scenario: PathBuf,
        /// The program with its arguments, as `target/release/mallowring-drill`.
        #[arg(long, required = true, num_args = 1..)]
        program: Vec<String>,
        #[command(flatten)]
        days: Days,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints a kept comparison again and draws its charts anew.
    Report {
        /// A folder with a `comparison.json`.
        dir: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Plays one day and keeps the capture of one proxy: all it was told, and what it commanded upon that.
    Capture {
        /// A scenario file.
        scenario: PathBuf,
        /// Its day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The proxy, from 0.
        #[arg(long, default_value_t = 0)]
        proxy: usize,
        /// The file to write.
        #[arg(long)]
        out: PathBuf,
    },
    /// Decides captures again: the same one for one, or the first decision that differs.
    Replay {
        /// Capture files.
        #[arg(required = true)]
        captures: Vec<PathBuf>,
        /// Decides with the tuned values of this candidate in place of those that were captured.
        #[arg(long)]
        candidate: Option<String>,
    },
    /// Writes the calls of a scenario's day as a traffic file.
    Traffic {
        /// A scenario file.
        scenario: PathBuf,
        /// Its day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The file to write.
        #[arg(long)]
        out: PathBuf,
    },
    /// Checks scenario files without playing them.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Prints the JSON schema of scenario files, or of candidate files.
    Schema {
        /// Of candidate files.
        #[arg(long)]
        candidate: bool,
    },
    /// Lists the built-in candidates.
    Candidates {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

/// The scenario that is played where none is named.
const CALM: &str = include_str!("../../../experiments/quiet.toml");

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(threads) = cli.threads {
        // Set once, before any is used.
        let _ = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
    }
    match perform(cli.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("mallowring-lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn bar(what: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0).with_message(what.to_owned());
    // The template is a constant of ours.
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} days, {eta} left") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

fn read(scenario: Option<&Path>) -> Result<Scenario, LabError> {
    match scenario {
        Some(path) => Scenario::read(path),
        None => Scenario::parse(CALM, Path::new("quiet.toml")),
    }
}

/// Prints to standard output; whoever has closed it wants no more.
fn say(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

fn findings(arm: &str, days: &[DayResult]) -> bool {
    for day in days {
        for leak in &day.leaks {
            eprintln!("mallowring-lab: {arm}, seed {}: the model leaks: {leak}", day.seed);
        }
        if day.broken_rules > 0 {
            eprintln!(
                "mallowring-lab: {arm}, seed {}: {} broken rules, so the day counts 0; the first:",
                day.seed, day.broken_rules
            );
            for b in day.violations.iter().take(3) {
                let proxy = b.proxy.map_or(String::new(), |p| format!(" proxy {p}"));
                let call = b.call.as_ref().map_or(String::new(), |c| format!(" call {c}"));
                eprintln!("  at {:.3} s{proxy}{call}: {:?}: {}", b.at_s, b.rule, b.what);
            }
        }
    }
    days.iter().any(|d| d.broken_rules > 0 || !d.leaks.is_empty())
}

fn perform(task: Task) -> Result<bool, LabError> {
    match task {
        Task::Run { scenario, days, candidate, traffic, json } => {
            let scenario = read(scenario.as_deref())?;
            let arms = [Arm::named(&candidate)?];
            let mut played = play(&scenario, &arms, &days.seeds(), traffic.as_deref(), &bar(&scenario.name))?;
            let played = played.pop().unwrap_or_default();
            if json {
                say(&keep::json(&played));
            } else {
                say(&format!(
                    "{}: {}\n\n{}\n\n{}",
                    scenario.name,
                    scenario.about,
                    table::days(&scenario, &played),
                    table::aside(&scenario, &played)
                ));
            }
            Ok(!findings(&candidate, &played))
        }
        Task::Compare { scenarios, candidate, baseline, days, traffic, keep: kept, json, csv } => {
            let mut arms = vec![Arm::named(&baseline)?];
            for name in &candidate {
                arms.push(Arm::named(name)?);
            }
            let read: Vec<(PathBuf, Scenario)> = scenarios
                .into_iter()
                .map(|path| Scenario::read(&path).map(|s| (path, s)))
                .collect::<Result<_, _>>()?;
            let mut fine = true;
            for (path, scenario) in read {
                let seeds = days.seeds();
                let played = play(&scenario, &arms, &seeds, traffic.as_deref(), &bar(&scenario.name))?;
                let result = compare::compare(&scenario, &seeds, &arms, &played);
                arms.iter().zip(&played).for_each(|(arm, days)| fine &= !findings(&arm.name, days));
                let worse =
                    |c: &compare::Candidate| c.figures.first().is_some_and(|f| f.verdict == Verdict::Worse);
                fine &= !result.candidates.iter().any(worse);
                if kept {
                    keep::comparison(&path.with_extension(""), &result)?;
                }
                if json {
                    say(&keep::json(&result));
                } else if csv {
                    say(&table::comparison_csv(&result));
                } else {
                    say(&format!(
                        "{}: {}\n{} days, {} calls\n\n{}",
                        scenario.name,
                        scenario.about,
                        seeds.len(),
                        result.calls,
                        table::comparison(&result)
                    ));
                }
            }
            Ok(fine)
        }
        Task::Follow { scenario, calls, seed, candidate } => {
            let scenario = Scenario::read(&scenario)?;
            let arm = Arm::named(&candidate)?;
            let day = Day::draw(&scenario, seed);
            let calls = calls.into_iter().map(CallId).collect();
            let mut seats = CallTrace::new(arm.seats()?, calls);
            let result = run(&day, &generate(&day), &mut seats, arm.salt)?;
            say(&seats.lines.join("\n"));
            Ok(!findings(&arm.name, &[result]))
        }
        Task::Sweep { scenario, set, candidate, days, json } => {
            let scenario = Scenario::read(&scenario)?;
            let axes: Vec<Axis> = set.iter().map(|s| s.parse()).collect::<Result<_, _>>()?;
            let points = sweep::grid(&scenario, &Arm::named(&candidate)?, &axes)?;
            let mut swept = Vec::new();
            for point in &points {
                let name = point.values.join(", ");
                let arms = std::slice::from_ref(&point.arm);
                let played = play(&point.scenario, arms, &days.seeds(), None, &bar(&name))?;
                swept.push(sweep::sum_up(point, played.first().map_or(&[], Vec::as_slice)));
            }
            say(&if json { keep::json(&swept) } else { sweep::text(&axes, &swept) });
            Ok(swept.iter().all(|s| s.broken_days == 0))
        }
        Task::Verify { scale, json } => {
            if !(scale > 0.0 && scale <= 100.0) {
                return Err(LabError::Argument("--scale: want a number above 0, at most 100".to_owned()));
            }
            let verification = verify::verify(scale)?;
            say(&if json { keep::json(&verification) } else { verification.text() });
            Ok(verification.holds())
        }
        Task::Aa { scenario, times, days, json } => aa(&scenario, times, days, json),
        Task::Twin { scenario, program, days, json } => twin(&scenario, &program, &days, json),
        Task::Report { dir, json } => {
            let result = keep::read(&dir)?;
            keep::comparison(&dir, &result)?;
            say(&if json { keep::json(&result) } else { table::comparison(&result) });
            Ok(true)
        }
        Task::Capture { scenario, seed, proxy, out } => {
            let scenario = Scenario::read(&scenario)?;
            let day = Day::draw(&scenario, seed);
            let mut seats = Capturing::new(Tuning::default());
            let result = run(&day, &generate(&day), &mut seats, 0)?;
            let Some(entries) = seats.captures.remove(&proxy) else {
                return Err(LabError::Argument(format!(
                    "--proxy {proxy}: the day has {} proxies",
                    day.exchange_count
                )));
            };
            let bytes = captures::write(&out, &entries)?;
            say(&format!("{} entries, {bytes} bytes in {}", entries.len(), out.display()));
            Ok(!findings("today", &[result]))
        }
        Task::Replay { captures, candidate } => {
            let tuning = candidate.as_deref().map(Arm::named).transpose()?.map(|arm| arm.tuning);
            let mut same = true;
            for path in captures {
                let (text, alike) = captures::decide_again(&path, tuning.as_ref())?;
                say(&text);
                same &= alike;
            }
            Ok(same)
        }
        Task::Traffic { scenario, seed, out } => {
            let scenario = Scenario::read(&scenario)?;
            let day = Day::draw(&scenario, seed);
            let callers = generate(&day);
            recorded::write(&out, &day, &callers)?;
            say(&format!("{} calls of {} exchanges in {}", callers.len(), day.exchange_count, out.display()));
            Ok(true)
        }
        Task::Check { scenarios } => {
            for path in scenarios {
                let scenario = Scenario::read(&path)?;
                say(&format!("{}: {} is fine", path.display(), scenario.name));
            }
            Ok(true)
        }
        Task::Schema { candidate } => {
            let schema = if candidate { schemars::schema_for!(Arm) } else { Scenario::schema() };
            say(&keep::json(&schema));
            Ok(true)
        }
        Task::Candidates { json } => {
            let arms = Arm::built_in();
            let rows = arms.iter().map(|a| vec![a.name.clone(), a.about.clone()]).collect();
            say(&if json { keep::json(&arms) } else { table::plain(&["candidate", "what it is"], rows) });
            Ok(true)
        }
    }
}

fn aa(path: &Path, times: u64, days: u64, json: bool) -> Result<bool, LabError> {
    let scenario = Scenario::read(path)?;
    let arm = |salt: u64| Arm { salt, ..Arm::tuned("today", "what ships", Tuning::default()) };
    let (mut called, mut all) = (std::collections::BTreeMap::<String, u64>::new(), 0);
    let progress = bar("A/A");
    for time in 0..times {
        let seeds: Vec<u64> = (0..days).map(|d| 1 + time * days + d).collect();
        let arms = [arm(2 * time), arm(2 * time + 1)];
        let played = play(&scenario, &arms, &seeds, None, &progress)?;
        let result = compare::compare(&scenario, &seeds, &arms, &played);
        all += 1;
        for figure in result.candidates.iter().flat_map(|c| &c.figures) {
            *called.entry(figure.name.clone()).or_insert(0) +=
                u64::from(figure.verdict != Verdict::NoDifference);
        }
    }
    if json {
        say(&keep::json(&serde_json::json!({"comparisons": all, "called": called})));
    } else {
        let share = |n: u64| format!("{:.1}%", n as f64 / (all as f64).max(1.0) * 100.0);
        let rows = called.iter().map(|(name, n)| vec![name.clone(), n.to_string(), share(*n)]).collect();
        say(&format!("{all} comparisons of {days} days\n\n{}", table::plain(&["", "called", "share"], rows)));
    }
    Ok(true)
}

fn twin(path: &Path, program: &[String], days: &Days, json: bool) -> Result<bool, LabError> {
    let scenario = Scenario::read(path)?;
    let (mut decisions, mut differences) = (0, Vec::new());
    for seed in days.seeds() {
        let day = Day::draw(&scenario, seed);
        let callers = generate(&day);
        let program = ExternalProgram::start("twin", program, Duration::from_secs(20))?;
        let mut seats = Twin::new(Shipped::new(Tuning::default()), program);
        run(&day, &callers, &mut seats, 0)?;
        decisions += seats.decisions;
        differences.extend(seats.differences.into_iter().map(|d| (seed, d)));
    }
    if json {
        say(&keep::json(&serde_json::json!({"decisions": decisions, "differences": differences})));
    } else {
        say(&format!("{decisions} decisions compared, {} proxies decided differently", differences.len()));
        let rows = differences.iter().take(20).map(|(seed, d)| {
            vec![
                seed.to_string(),
                format!("{:.3}", d.at),
                d.proxy.to_string(),
                d.call.clone(),
                d.first.clone(),
                d.second.clone(),
            ]
        });
        if !differences.is_empty() {
            say(&table::plain(&["seed", "at", "proxy", "call", "table", "program"], rows.collect()));
        }
    }
    Ok(differences.is_empty())
}
