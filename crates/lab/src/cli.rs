//! Command line: arguments, output and exit codes. Exit code 0 means success, 1 a finding (a broken rule, a worse
//! candidate, a failed check against theory, a twin run with different decisions) and 2 an error.

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
use crate::study::{compare, keep, run_arms, table, verify, Arm};
use crate::traffic::{generate, recorded};
use crate::world::{run, DayResult};
use crate::LabError;

/// A model of the whole fleet, to compare settings and versions of the signalling proxy before a busy day.
#[derive(Debug, Parser)]
#[command(name = "mallowring-lab", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Number of threads; the results do not depend on it. Default: all cores.
    #[arg(long, global = true)]
    threads: Option<usize>,
}

#[derive(Debug, Args)]
struct Days {
    /// Number of days to simulate; each day has its own seed.
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
enum Command {
    /// Simulates days of a scenario and prints their service figures.
    Run {
        /// A scenario file. Default: a day of six exchanges with a moderate load and no trouble.
        scenario: Option<PathBuf>,
        #[command(flatten)]
        days: Days,
        /// A built-in candidate, or a candidate file.
        #[arg(long, default_value = "today")]
        candidate: String,
        /// Reads the calls from a CSV file instead of generating them.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Simulates one day and prints all proxy inputs and commands that concern the given calls.
    Follow {
        /// A scenario file.
        scenario: PathBuf,
        /// Ids of the calls, as reported with a broken rule.
        #[arg(required = true)]
        calls: Vec<String>,
        /// Seed of the day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A built-in candidate, or a candidate file.
        #[arg(long, default_value = "today")]
        candidate: String,
    },
    /// Simulates the same days with a baseline and with candidates, and compares the results.
    Compare {
        /// Scenario files; each gets a comparison of its own.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// Built-in candidates, or candidate files.
        #[arg(long, required = true, value_delimiter = ',')]
        candidate: Vec<String>,
        /// The candidate to compare with.
        #[arg(long, default_value = "today")]
        baseline: String,
        #[command(flatten)]
        days: Days,
        /// Reads the calls from a CSV file instead of generating them.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Writes tables and charts to a folder next to each scenario file, named like the file without its extension.
        #[arg(long)]
        keep: bool,
        /// Prints JSON.
        #[arg(long, conflicts_with = "csv")]
        json: bool,
        /// Prints CSV.
        #[arg(long)]
        csv: bool,
    },
    /// Simulates a scenario for each combination of values of one or more keys.
    Sweep {
        /// A scenario file.
        scenario: PathBuf,
        /// A key and its values, such as `load.offered=0.7,0.9` or `tuning.abate=0.55,0.6`; any scenario or tuning key.
        #[arg(long = "set", required = true)]
        set: Vec<String>,
        /// A built-in candidate, or a candidate file.
        #[arg(long, default_value = "today")]
        candidate: String,
        #[command(flatten)]
        days: Days,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks the model against queueing theory.
    Verify {
        /// Length of the runs; values below 1 run faster and give wider intervals.
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measures the false positive rate: compares the same build with itself under two controller seeds, many times.
    /// About 5 in 100 comparisons are expected to differ.
    Aa {
        /// A scenario file.
        scenario: PathBuf,
        /// Number of comparisons.
        #[arg(long, default_value_t = 40)]
        times: u64,
        /// Days of each comparison.
        #[arg(long, default_value_t = 6)]
        days: u64,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Gives the shipped call table and a program on the simulator's wire the same inputs, and lists where their
    /// decisions differ.
    Twin {
        /// A scenario file.
        scenario: PathBuf,
        /// The program with its arguments, for example `target/release/mallowring-drill`.
        #[arg(long, required = true, num_args = 1..)]
        program: Vec<String>,
        #[command(flatten)]
        days: Days,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints a stored comparison and writes its tables and charts again.
    Report {
        /// A folder that contains `comparison.json`.
        dir: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Simulates one day and writes the capture of one proxy: its inputs and its commands.
    Capture {
        /// A scenario file.
        scenario: PathBuf,
        /// Seed of the day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Index of the proxy, from 0.
        #[arg(long, default_value_t = 0)]
        proxy: usize,
        /// The file to write.
        #[arg(long)]
        out: PathBuf,
    },
    /// Replays captures and reports the first decision that differs, if any.
    Replay {
        /// Capture files.
        #[arg(required = true)]
        captures: Vec<PathBuf>,
        /// Replays with the tuning of this candidate instead of the captured one.
        #[arg(long)]
        candidate: Option<String>,
    },
    /// Writes the calls of one day of a scenario to a traffic file.
    Traffic {
        /// A scenario file.
        scenario: PathBuf,
        /// Seed of the day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The file to write.
        #[arg(long)]
        out: PathBuf,
    },
    /// Checks scenario files without simulating them.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// Prints the JSON schema of scenario files, or of candidate files.
    Schema {
        /// Prints the schema of candidate files.
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

/// The scenario of `run` when no file is given.
const DEFAULT_SCENARIO: &str = include_str!("../../../experiments/quiet.toml");

/// Parses the arguments, runs the command and returns the exit code.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(threads) = cli.threads {
        // This fails only if a global pool exists already; none does at this point.
        let _ = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
    }
    match execute(cli.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("mallowring-lab: {error}");
            ExitCode::from(2)
        }
    }
}

/// A progress bar on standard error; hidden if that is not a terminal.
fn progress_bar(message: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let progress_bar = ProgressBar::new(0).with_message(message.to_owned());
    // The template is constant and valid.
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} days, {eta} left") {
        progress_bar.set_style(style);
    }
    progress_bar.enable_steady_tick(Duration::from_millis(200));
    progress_bar
}

/// Reads a scenario file, or the default scenario if none is given.
fn read_scenario(scenario: Option<&Path>) -> Result<Scenario, LabError> {
    match scenario {
        Some(path) => Scenario::read(path),
        None => Scenario::parse(DEFAULT_SCENARIO, Path::new("quiet.toml")),
    }
}

/// Prints to standard output. Write errors are ignored, as the reader may have closed the pipe.
fn print_text(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

/// Prints conservation errors of the model and broken rules to standard error; returns whether there are any.
fn report_findings(arm: &str, days: &[DayResult]) -> bool {
    for day in days {
        for leak in &day.leaks {
            eprintln!("mallowring-lab: {arm}, seed {}: conservation error in the model: {leak}", day.seed);
        }
        if day.broken_rules > 0 {
            eprintln!(
                "mallowring-lab: {arm}, seed {}: {} broken rules, so the day counts as 0; the first ones:",
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

/// Runs a command; returns false if it has a finding.
fn execute(command: Command) -> Result<bool, LabError> {
    match command {
        Command::Run { scenario, days, candidate, traffic, json } => {
            let scenario = read_scenario(scenario.as_deref())?;
            let arms = [Arm::named(&candidate)?];
            let mut results =
                run_arms(&scenario, &arms, &days.seeds(), traffic.as_deref(), &progress_bar(&scenario.name))?;
            let results = results.pop().unwrap_or_default();
            if json {
                print_text(&keep::to_json(&results));
            } else {
                print_text(&format!(
                    "{}: {}\n\n{}\n\n{}",
                    scenario.name,
                    scenario.about,
                    table::days_table(&scenario, &results),
                    table::secondary_table(&scenario, &results)
                ));
            }
            Ok(!report_findings(&candidate, &results))
        }
        Command::Compare { scenarios, candidate, baseline, days, traffic, keep: keep_files, json, csv } => {
            let mut arms = vec![Arm::named(&baseline)?];
            for name in &candidate {
                arms.push(Arm::named(name)?);
            }
            let loaded: Vec<(PathBuf, Scenario)> = scenarios
                .into_iter()
                .map(|path| Scenario::read(&path).map(|s| (path, s)))
                .collect::<Result<_, _>>()?;
            let mut passed = true;
            for (path, scenario) in loaded {
                let seeds = days.seeds();
                let results =
                    run_arms(&scenario, &arms, &seeds, traffic.as_deref(), &progress_bar(&scenario.name))?;
                let result = compare::compare(&scenario, &seeds, &arms, &results);
                arms.iter().zip(&results).for_each(|(arm, days)| passed &= !report_findings(&arm.name, days));
                let worse =
                    |c: &compare::Candidate| c.figures.first().is_some_and(|f| f.verdict == Verdict::Worse);
                passed &= !result.candidates.iter().any(worse);
                if keep_files {
                    keep::write_comparison(&path.with_extension(""), &result)?;
                }
                if json {
                    print_text(&keep::to_json(&result));
                } else if csv {
                    print_text(&table::comparison_csv(&result));
                } else {
                    print_text(&format!(
                        "{}: {}\n{} days, {} calls\n\n{}",
                        scenario.name,
                        scenario.about,
                        seeds.len(),
                        result.calls,
                        table::comparison(&result)
                    ));
                }
            }
            Ok(passed)
        }
        Command::Follow { scenario, calls, seed, candidate } => {
            let scenario = Scenario::read(&scenario)?;
            let arm = Arm::named(&candidate)?;
            let day = Day::draw(&scenario, seed);
            let calls = calls.into_iter().map(CallId).collect();
            let mut fleet = CallTrace::new(arm.proxy_fleet()?, calls);
            let result = run(&day, &generate(&day), &mut fleet, arm.salt)?;
            print_text(&fleet.lines.join("\n"));
            Ok(!report_findings(&arm.name, &[result]))
        }
        Command::Sweep { scenario, set, candidate, days, json } => {
            let scenario = Scenario::read(&scenario)?;
            let axes: Vec<Axis> = set.iter().map(|s| s.parse()).collect::<Result<_, _>>()?;
            let points = sweep::grid(&scenario, &Arm::named(&candidate)?, &axes)?;
            let mut swept = Vec::new();
            for point in &points {
                let name = point.values.join(", ");
                let arms = std::slice::from_ref(&point.arm);
                let results = run_arms(&point.scenario, arms, &days.seeds(), None, &progress_bar(&name))?;
                swept.push(sweep::summarize(point, results.first().map_or(&[], Vec::as_slice)));
            }
            print_text(&if json { keep::to_json(&swept) } else { sweep::format_table(&axes, &swept) });
            Ok(swept.iter().all(|s| s.broken_days == 0))
        }
        Command::Verify { scale, json } => {
            if !(scale > 0.0 && scale <= 100.0) {
                return Err(LabError::Argument(
                    "--scale: expected a number above 0 and at most 100".to_owned(),
                ));
            }
            let verification = verify::verify(scale)?;
            print_text(&if json { keep::to_json(&verification) } else { verification.text() });
            Ok(verification.holds())
        }
        Command::Aa { scenario, times, days, json } => run_aa(&scenario, times, days, json),
        Command::Twin { scenario, program, days, json } => run_twin(&scenario, &program, &days, json),
        Command::Report { dir, json } => {
            let result = keep::read_comparison(&dir)?;
            keep::write_comparison(&dir, &result)?;
            print_text(&if json { keep::to_json(&result) } else { table::comparison(&result) });
            Ok(true)
        }
        Command::Capture { scenario, seed, proxy, out } => {
            let scenario = Scenario::read(&scenario)?;
            let day = Day::draw(&scenario, seed);
            let mut fleet = Capturing::new(Tuning::default());
            let result = run(&day, &generate(&day), &mut fleet, 0)?;
            let Some(entries) = fleet.captures.remove(&proxy) else {
                return Err(LabError::Argument(format!(
                    "--proxy {proxy}: the day has {} proxies",
                    day.exchange_count
                )));
            };
            let bytes = captures::write(&out, &entries)?;
            print_text(&format!("{} entries, {bytes} bytes in {}", entries.len(), out.display()));
            Ok(!report_findings("today", &[result]))
        }
        Command::Replay { captures, candidate } => {
            let tuning = candidate.as_deref().map(Arm::named).transpose()?.map(|arm| arm.tuning);
            let mut all_identical = true;
            for path in captures {
                let (text, identical) = captures::replay_file(&path, tuning.as_ref())?;
                print_text(&text);
                all_identical &= identical;
            }
            Ok(all_identical)
        }
        Command::Traffic { scenario, seed, out } => {
            let scenario = Scenario::read(&scenario)?;
            let day = Day::draw(&scenario, seed);
            let callers = generate(&day);
            recorded::write(&out, &day, &callers)?;
            print_text(&format!(
                "{} calls of {} exchanges in {}",
                callers.len(),
                day.exchange_count,
                out.display()
            ));
            Ok(true)
        }
        Command::Check { scenarios } => {
            for path in scenarios {
                let scenario = Scenario::read(&path)?;
                print_text(&format!("{}: {} is fine", path.display(), scenario.name));
            }
            Ok(true)
        }
        Command::Schema { candidate } => {
            let schema = if candidate { schemars::schema_for!(Arm) } else { Scenario::schema() };
            print_text(&keep::to_json(&schema));
            Ok(true)
        }
        Command::Candidates { json } => {
            let arms = Arm::built_in();
            let rows = arms.iter().map(|a| vec![a.name.clone(), a.about.clone()]).collect();
            print_text(&if json {
                keep::to_json(&arms)
            } else {
                table::plain(&["candidate", "what it is"], rows)
            });
            Ok(true)
        }
    }
}

/// Compares the shipped proxies with themselves under two controller seeds and counts the differences found.
fn run_aa(path: &Path, times: u64, days: u64, json: bool) -> Result<bool, LabError> {
    let scenario = Scenario::read(path)?;
    let arm = |salt: u64| Arm { salt, ..Arm::tuned("today", "what ships", Tuning::default()) };
    let (mut differing, mut comparisons) = (std::collections::BTreeMap::<String, u64>::new(), 0);
    let progress = progress_bar("A/A");
    for repeat in 0..times {
        let seeds: Vec<u64> = (0..days).map(|d| 1 + repeat * days + d).collect();
        let arms = [arm(2 * repeat), arm(2 * repeat + 1)];
        let results = run_arms(&scenario, &arms, &seeds, None, &progress)?;
        let result = compare::compare(&scenario, &seeds, &arms, &results);
        comparisons += 1;
        for figure in result.candidates.iter().flat_map(|c| &c.figures) {
            *differing.entry(figure.name.clone()).or_insert(0) +=
                u64::from(figure.verdict != Verdict::NoDifference);
        }
    }
    if json {
        print_text(&keep::to_json(&serde_json::json!({"comparisons": comparisons, "called": differing})));
    } else {
        let share = |n: u64| format!("{:.1}%", n as f64 / (comparisons as f64).max(1.0) * 100.0);
        let rows = differing.iter().map(|(name, n)| vec![name.clone(), n.to_string(), share(*n)]).collect();
        print_text(&format!(
            "{comparisons} comparisons of {days} days\n\n{}",
            table::plain(&["", "called", "share"], rows)
        ));
    }
    Ok(true)
}

/// Runs the shipped call table and a program on the same inputs and prints the differences of their decisions.
fn run_twin(path: &Path, program: &[String], days: &Days, json: bool) -> Result<bool, LabError> {
    let scenario = Scenario::read(path)?;
    let (mut decisions, mut differences) = (0, Vec::new());
    for seed in days.seeds() {
        let day = Day::draw(&scenario, seed);
        let callers = generate(&day);
        let program = ExternalProgram::start("twin", program, Duration::from_secs(20))?;
        let mut fleet = Twin::new(Shipped::new(Tuning::default()), program);
        run(&day, &callers, &mut fleet, 0)?;
        decisions += fleet.decisions;
        differences.extend(fleet.differences.into_iter().map(|d| (seed, d)));
    }
    if json {
        print_text(&keep::to_json(&serde_json::json!({"decisions": decisions, "differences": differences})));
    } else {
        print_text(&format!(
            "{decisions} decisions compared, {} proxies decided differently",
            differences.len()
        ));
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
            print_text(&table::plain(&["seed", "at", "proxy", "call", "table", "program"], rows.collect()));
        }
    }
    Ok(differences.is_empty())
}
