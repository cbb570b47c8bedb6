//! Command line of the soak.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use async_signal::{Signal, Signals};
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressDrawTarget};
use mallowring_standin::proxy::kill_all;
use smol::stream::StreamExt;

use crate::fault::FaultKind;
use crate::judge::{check_rules, Verdict, RULES};
use crate::plan::{Options, Plan};
use crate::report::{self, Summary};
use crate::trial::{self, TrialOutcome};

/// Exit code: a rule was broken, or too few calls were judged.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code: an option was invalid, or a trial could not be played.
const EXIT_ERROR: u8 = 2;
/// Exit code: interrupted by Ctrl-C or SIGTERM.
const EXIT_INTERRUPTED: i32 = 130;

#[derive(Parser)]
#[command(name = "mallowring-soak", about = "Seeded trials of the built proxy, with a check of every rule")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play the trials of a range of seeds
    Run {
        /// Range of seeds, both ends included, such as 1..50
        #[arg(long, value_parser = parse_seed_range, required_unless_present = "kept")]
        seeds: Option<(u64, u64)>,
        /// File of kept trials, one per line: SEED FAULT,... REASON; they are played before the seeds
        #[arg(long)]
        kept: Option<PathBuf>,
        /// Number of trials played at the same time
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Print the result as JSON
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        common: Common,
    },
    /// Play one trial and print its schedule
    Replay {
        /// Seed of the trial
        seed: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Play one trial and print the timeline of one call
    Explain {
        /// Seed of the trial
        seed: u64,
        /// Call-ID of the call
        call: String,
        #[command(flatten)]
        common: Common,
    },
    /// List the faults and the rules
    ListFaults,
}

#[derive(Args, Clone)]
struct Common {
    /// Program under test
    #[arg(long, default_value = "target/release/mallowring")]
    program: PathBuf,
    /// Play only these faults, given by name and separated by commas
    #[arg(long, value_delimiter = ',')]
    only: Vec<FaultKind>,
    /// Upper bound on the duration of the load, in seconds
    #[arg(long)]
    seconds: Option<f64>,
    /// Directory for the logs of trials with a broken rule
    #[arg(long, default_value = "target/soak")]
    logs: PathBuf,
}

impl Common {
    fn options(&self) -> Options {
        Options { only: self.only.clone(), max_seconds: self.seconds }
    }
}

fn parse_seed_range(text: &str) -> Result<(u64, u64), String> {
    let error_message = || format!("'{text}' is not a range of seeds such as 1..50");
    let (first, last) = text.split_once("..").ok_or_else(error_message)?;
    let range = (
        first.parse().map_err(|_| error_message())?,
        last.trim_start_matches('=').parse().map_err(|_| error_message())?,
    );
    if range.0 > range.1 {
        return Err(error_message());
    }
    Ok(range)
}

/// Parses the command line and runs the command.
pub fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => {
            let code = if error.use_stderr() { ExitCode::from(EXIT_ERROR) } else { ExitCode::SUCCESS };
            // A closed output stream is ignored.
            let _ = error.print();
            return code;
        }
    };
    kill_proxies_on_interrupt();
    match cli.command {
        Command::Run { seeds, kept, jobs, json, common } => {
            let trials = match kept.as_deref().map_or(Ok(Vec::new()), read_kept) {
                Ok(kept) => kept.into_iter().chain(trials_of_seeds(seeds, &common)).collect(),
                Err(error) => {
                    eprintln!("{error}");
                    return ExitCode::from(EXIT_ERROR);
                }
            };
            run(trials, jobs.max(1), json, &common)
        }
        Command::Replay { seed, common } => replay(seed, &common, None),
        Command::Explain { seed, call, common } => replay(seed, &common, Some(&call)),
        Command::ListFaults => {
            FaultKind::ALL.iter().for_each(|kind| println!("{}", kind.name()));
            RULES.iter().for_each(|rule| println!("rule '{}': {}", rule.name, rule.source));
            ExitCode::SUCCESS
        }
    }
}

/// Kills all proxies when the program is interrupted, so that no process is left behind.
fn kill_proxies_on_interrupt() {
    std::thread::spawn(|| {
        let waiting = async {
            let mut signals = Signals::new([Signal::Int, Signal::Term]).ok()?;
            signals.next().await
        };
        if smol::block_on(waiting).is_some() {
            kill_all();
            std::process::exit(EXIT_INTERRUPTED);
        }
    });
}

/// One trial to play.
struct TrialSpec {
    seed: u64,
    options: Options,
}

fn trials_of_seeds(seeds: Option<(u64, u64)>, common: &Common) -> Vec<TrialSpec> {
    let trial = |seed| TrialSpec { seed, options: common.options() };
    seeds.map_or(Vec::new(), |(first, last)| (first..=last).map(trial).collect())
}

/// Reads a file of kept trials; an error names the line.
fn read_kept(path: &Path) -> Result<Vec<TrialSpec>, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut trials = Vec::new();
    for (ix, line) in
        text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'))
    {
        let error_message = |message: &str| format!("{}: line {}: {message}", path.display(), ix + 1);
        let mut words = line.split_whitespace();
        let seed = words
            .next()
            .and_then(|seed| seed.parse().ok())
            .ok_or_else(|| error_message("the line does not start with a seed"))?;
        let faults = words.next().ok_or_else(|| error_message("the line names no faults"))?;
        let only: Result<Vec<FaultKind>, String> = faults.split(',').map(str::parse).collect();
        let options = Options { only: only.map_err(|message| error_message(&message))?, max_seconds: None };
        trials.push(TrialSpec { seed, options });
    }
    Ok(trials)
}

fn play(seed: u64, options: &Options, common: &Common) -> std::io::Result<(Plan, TrialOutcome, Verdict)> {
    let plan = Plan::draw(seed, options);
    let outcome = trial::play(&plan, &common.program)?;
    let verdict = check_rules(&outcome.entries, &trial::deployment_parameters(&plan));
    Ok((plan, outcome, verdict))
}

fn write_logs(seed: u64, directory: &Path, outcome: &TrialOutcome, text: &str) {
    let directory = directory.join(seed.to_string());
    let written: std::io::Result<()> = std::fs::create_dir_all(&directory).and_then(|()| {
        std::fs::write(directory.join("report"), text)?;
        let mut logs = outcome.logs.iter().enumerate();
        logs.try_for_each(|(n, log)| std::fs::write(directory.join(format!("n{n}.log")), log))
    });
    if let Err(error) = written {
        eprintln!("{}: {error}", directory.display());
    }
}

fn run(trials: Vec<TrialSpec>, jobs: usize, json: bool, common: &Common) -> ExitCode {
    let progress = ProgressBar::with_draw_target(Some(trials.len() as u64), ProgressDrawTarget::stderr());
    let (summary, failed_trials) = (Mutex::new(Summary::default()), AtomicUsize::new(0));
    let next = Mutex::new(trials.into_iter());
    let worker = || loop {
        let trial = next.lock().ok().and_then(|mut trials| trials.next());
        let Some(TrialSpec { seed, options }) = trial else { return };
        match play(seed, &options, common) {
            Ok((plan, outcome, verdict)) => {
                let text = report::breaches(&plan, &outcome, &verdict);
                if !text.is_empty() {
                    let text = format!("{}{text}", report::timeline(&plan));
                    progress.suspend(|| eprint!("{text}"));
                    write_logs(seed, &common.logs, &outcome, &text);
                }
                if let Ok(mut summary) = summary.lock() {
                    summary.add(seed, &verdict, &outcome.coverage);
                }
            }
            Err(error) => {
                failed_trials.fetch_add(1, Ordering::Relaxed);
                progress.suspend(|| eprintln!("seed {seed}: {error}"));
            }
        }
        progress.inc(1);
    };
    std::thread::scope(|scope| (0..jobs).for_each(|_| drop(scope.spawn(worker))));
    progress.finish_and_clear();
    let Ok(summary) = summary.into_inner() else { return ExitCode::from(EXIT_ERROR) };
    match json {
        true => println!("{}", serde_json::to_string_pretty(&summary).unwrap_or_default()),
        false => print!("{}", summary.text()),
    }
    if failed_trials.into_inner() > 0 {
        return ExitCode::from(EXIT_ERROR);
    }
    if summary.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_RULE_BROKEN)
    }
}

fn replay(seed: u64, common: &Common, call: Option<&str>) -> ExitCode {
    let (plan, outcome, verdict) = match play(seed, &common.options(), common) {
        Ok(done) => done,
        Err(error) => {
            eprintln!("seed {seed}: {error}");
            return ExitCode::from(EXIT_ERROR);
        }
    };
    print!("{}", report::timeline(&plan));
    if let Some(call) = call {
        for proxy in 0..plan.proxies {
            print!("{}", report::call_timeline(&outcome, proxy, call));
        }
    }
    print!("{}", report::breaches(&plan, &outcome, &verdict));
    println!("{} calls judged, {} not judged", verdict.judged, verdict.not_judged);
    write_logs(seed, &common.logs, &outcome, &report::breaches(&plan, &outcome, &verdict));
    if verdict.breaches.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_RULE_BROKEN)
    }
}
