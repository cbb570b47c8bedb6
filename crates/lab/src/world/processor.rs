//! The processor of an exchange: one line, work counted in set-ups, a longest wait, cold starts.

use std::collections::VecDeque;

use mallowring::interface::ExchangeId;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

use super::LegIx;
use crate::day::ProcessorParameters;
use crate::day::{Us, SECOND};
use crate::scenario::WorkTime;

/// What a piece of work is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Looking at a call that has come in.
    Look,
    /// Turning a set-up away.
    Refuse,
    /// A set-up on its way out.
    SendSetUp(LegIx),
    /// A set-up at its destination.
    ReceiveSetUp(LegIx),
    /// The answer at the end that gives it.
    SendAnswer(LegIx),
    /// The answer at the end that sent the set-up.
    ReceiveAnswer(LegIx),
    /// The release at the end that sent the set-up: the circuits fall free with it.
    ReleaseCircuits(LegIx),
    /// A release at any other end.
    Release,
}

impl Task {
    /// New set-ups and what is decided at the door; else it follows a set-up that was made.
    fn is_new(self) -> bool {
        matches!(self, Task::Look | Task::Refuse | Task::SendSetUp(_) | Task::ReceiveSetUp(_))
    }
}

/// Whether it works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Up {
    /// It does.
    Running,
    /// Stopped, crashed, or pushed over while it was cold.
    Down,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    task: Task,
    /// Set-ups' worth of work.
    work: f64,
    queued: Us,
}

/// Time-weighted figures of a line, for holding the model against theory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    /// Set-ups that began to be worked on.
    pub served: u64,
    /// Their waits in the line together, µs.
    pub waited: f64,
    /// Time spent with 0, 1, 2 ... jobs present, µs; the last place takes all longer lines.
    pub present: Vec<f64>,
    /// The longest line seen.
    pub longest: usize,
    last: Us,
}

/// One processor, from its start to its stop.
#[derive(Clone, Debug)]
pub struct Processor {
    /// Its id on the roster.
    pub office: ExchangeId,
    /// Whether it works.
    pub up: Up,
    /// Its start, where that was in this day.
    pub started: Option<Us>,
    /// Times slower than usual.
    pub slow: f64,
    /// Work done, in set-ups.
    pub done: f64,
    /// Time it was busy, µs.
    pub busy: f64,
    /// What its line was like.
    pub stats: QueueStats,
    parameters: ProcessorParameters,
    /// New set-ups, and what follows set-ups.
    lines: [VecDeque<Job>; 2],
    /// Work in each line, set-ups.
    waiting: [f64; 2],
    current: Option<(Job, Us)>,
    /// Numbers the current job, so that the end of one that was dropped means nothing.
    serial: u64,
    /// Set-ups sent to it while it was cold, the latest last.
    sent_cold: VecDeque<Us>,
}

/// Slack of the rule on cold processors, set-ups: chance alone makes a few.
const COLD_SLACK: f64 = 4.0;
/// Places of [`QueueStats::present`].
const PLACES: usize = 64;

impl Processor {
    /// A warm one at the start of the day, or one that starts cold at `started`.
    pub fn new(office: ExchangeId, parameters: ProcessorParameters, started: Option<Us>) -> Self {
        Processor {
            office,
            up: Up::Running,
            started,
            slow: 1.0,
            done: 0.0,
            busy: 0.0,
            stats: QueueStats { present: vec![0.0; PLACES], ..QueueStats::default() },
            parameters,
            lines: Default::default(),
            waiting: [0.0; 2],
            current: None,
            serial: 0,
            sent_cold: VecDeque::new(),
        }
    }

    /// Share of its full capacity that it has now; grows evenly from a cold start.
    pub fn capacity(&self, now: Us) -> f64 {
        let Some(at) = self.started else { return 1.0 };
        let grown = now.saturating_sub(at) as f64 / self.parameters.cold_us.max(1.0);
        (self.parameters.cold_from + (1.0 - self.parameters.cold_from) * grown).min(1.0)
    }

    fn is_cold(&self, now: Us) -> bool {
        self.started.is_some_and(|at| (now.saturating_sub(at) as f64) < self.parameters.cold_us)
    }

    /// Time of one set-up now, µs.
    fn set_up_us(&self, now: Us) -> f64 {
        self.parameters.set_up_us * self.slow / self.capacity(now).max(1e-6)
    }

    /// Jobs present, the one at work included.
    pub fn present(&self) -> usize {
        self.lines.iter().map(VecDeque::len).sum::<usize>() + usize::from(self.current.is_some())
    }

    /// The wait that a set-up would have that came now, µs.
    pub fn wait(&self, now: Us) -> f64 {
        let left = self.current.as_ref().map_or(0.0, |(_, until)| until.saturating_sub(now) as f64);
        let behind = if self.parameters.finish_first { self.waiting[1] } else { 0.0 };
        left + (self.waiting[0] + behind) * self.set_up_us(now)
    }

    /// Whether it turns away a set-up that comes now.
    pub fn is_full(&self, now: Us) -> bool {
        self.wait(now) > self.parameters.longest_wait_us
    }

    /// Notes a set-up that was sent here; returns whether it pushes a cold processor over: more than a multiple
    /// of what it can do at that moment, over the length of the window.
    pub fn note_set_up(&mut self, now: Us) -> bool {
        if !self.is_cold(now) || self.parameters.set_up_us <= 0.0 {
            return false;
        }
        let since = now.saturating_sub(self.parameters.fall_us);
        while self.sent_cold.front().is_some_and(|at| *at < since) {
            self.sent_cold.pop_front();
        }
        self.sent_cold.push_back(now);
        let window = self.parameters.fall_us as f64;
        let can = window / (self.parameters.set_up_us * self.slow) * self.capacity(now);
        self.sent_cold.len() as f64 > self.parameters.fall_multiple * can + COLD_SLACK
    }

    fn line_of(&self, task: Task) -> usize {
        usize::from(!task.is_new())
    }

    /// Puts a job in line; returns when the one that begins now will be done, and its serial.
    pub fn push(&mut self, now: Us, task: Task, work: f64, rng: &mut Pcg64) -> Option<(Us, u64)> {
        self.note(now);
        let line = self.line_of(task);
        self.waiting[line] += work;
        let job = Job { task, work, queued: now };
        // Turning away is done at the door.
        if task == Task::Refuse {
            self.lines[line].push_front(job);
        } else {
            self.lines[line].push_back(job);
        }
        self.stats.longest = self.stats.longest.max(self.present());
        self.begin(now, rng)
    }

    fn begin(&mut self, now: Us, rng: &mut Pcg64) -> Option<(Us, u64)> {
        if self.current.is_some() {
            return None;
        }
        let order = if self.parameters.finish_first { [1, 0] } else { [0, 1] };
        let line = order.into_iter().find(|l| !self.lines[*l].is_empty())?;
        let job = self.lines[line].pop_front()?;
        self.waiting[line] = if self.lines[line].is_empty() { 0.0 } else { self.waiting[line] - job.work };
        let chance = match self.parameters.work {
            WorkTime::Fixed => 1.0,
            WorkTime::Exponential => Distribution::<f64>::sample(&Exp1, rng),
        };
        let took = job.work * self.set_up_us(now) * chance;
        if matches!(job.task, Task::SendSetUp(_) | Task::ReceiveSetUp(_)) {
            self.stats.served += 1;
            self.stats.waited += (now - job.queued) as f64;
        }
        self.busy += took;
        self.done += job.work;
        self.serial += 1;
        let until = now + took.round() as Us;
        self.current = Some((job, until));
        Some((until, self.serial))
    }

    /// The end of a job: what it was for, and the next one if there is one. Nothing for a job that was dropped.
    pub fn finish(&mut self, now: Us, serial: u64, rng: &mut Pcg64) -> Option<(Task, Option<(Us, u64)>)> {
        if serial != self.serial || self.up == Up::Down {
            return None;
        }
        self.note(now);
        let (job, _) = self.current.take()?;
        let next = self.begin(now, rng);
        Some((job.task, next))
    }

    /// Time passes with the present number of jobs.
    fn note(&mut self, now: Us) {
        let place = self.present().min(PLACES - 1);
        if let Some(spent) = self.stats.present.get_mut(place) {
            *spent += (now - self.stats.last) as f64;
        }
        self.stats.last = now;
    }

    /// Stops it: what stood in line is lost.
    pub fn stop(&mut self) {
        self.up = Up::Down;
        self.lines = Default::default();
        self.waiting = [0.0; 2];
        self.current = None;
    }

    /// Set-ups a second at full capacity.
    pub fn rate(&self) -> f64 {
        SECOND as f64 / self.parameters.set_up_us.max(1e-6)
    }
}
