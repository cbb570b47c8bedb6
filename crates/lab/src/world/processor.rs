//! The processor of an exchange: a single server whose work is counted in set-ups, with a longest wait and cold
//! starts.

use std::collections::VecDeque;

use mallowring::interface::ExchangeId;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

use super::LegIx;
use crate::day::ProcessorParameters;
use crate::day::{Us, SECOND};
use crate::scenario::WorkTime;

/// The purpose of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Inspecting an incoming call.
    Inspect,
    /// Refusing a set-up.
    Refuse,
    /// A set-up at the exchange that sends it.
    SendSetUp(LegIx),
    /// A set-up at its destination.
    ReceiveSetUp(LegIx),
    /// The answer at the exchange that sends it.
    SendAnswer(LegIx),
    /// The answer at the exchange that sent the set-up.
    ReceiveAnswer(LegIx),
    /// The release at the exchange that sent the set-up; it frees the circuits.
    ReleaseCircuits(LegIx),
    /// A release at any other exchange.
    Release,
}

impl Task {
    /// Whether it belongs to a new set-up, including its inspection or refusal; other tasks follow a set-up.
    fn is_new(self) -> bool {
        matches!(self, Task::Inspect | Task::Refuse | Task::SendSetUp(_) | Task::ReceiveSetUp(_))
    }
}

/// Whether a processor runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It runs.
    Running,
    /// Stopped, crashed, or overloaded while cold.
    Down,
}

/// A unit of work in a queue.
#[derive(Clone, Copy, Debug)]
struct Job {
    task: Task,
    /// Work, in set-ups.
    work: f64,
    queued_at: Us,
}

/// Time-weighted statistics of the queues, to compare the model with queueing theory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    /// Set-ups whose processing began.
    pub served: u64,
    /// Sum of their waits in the queue, µs.
    pub waited: f64,
    /// Time with 0, 1, 2 ... jobs present, µs; the last entry is for all higher numbers.
    pub present: Vec<f64>,
    /// The highest number of jobs present.
    pub longest: usize,
    last_update: Us,
}

/// One processor, from its start to its stop.
#[derive(Clone, Debug)]
pub struct Processor {
    /// The exchange's id on the roster.
    pub exchange_id: ExchangeId,
    /// Whether it runs.
    pub state: RunState,
    /// Its start, if it started during the day.
    pub started: Option<Us>,
    /// Factor on the time of its work.
    pub slowdown: f64,
    /// Work done, in set-ups.
    pub work_done: f64,
    /// Busy time, µs.
    pub busy_us: f64,
    /// Statistics of its queues.
    pub stats: QueueStats,
    parameters: ProcessorParameters,
    /// Jobs of new set-ups, and jobs that follow set-ups.
    queues: [VecDeque<Job>; 2],
    /// Work in each queue, in set-ups.
    queued_work: [f64; 2],
    /// The job in progress and the time at which it ends.
    current: Option<(Job, Us)>,
    /// Number of the current job; the end of a job that was dropped is recognised by its old number.
    job_number: u64,
    /// Times of the set-ups sent to it while it was cold, the latest last.
    cold_set_ups: VecDeque<Us>,
}

/// Slack of the rule on cold processors, set-ups: random arrivals alone exceed the limit by a few.
const COLD_SLACK_SET_UPS: f64 = 4.0;
/// Length of [`QueueStats::present`].
const QUEUE_LENGTH_BINS: usize = 64;

impl Processor {
    /// A processor that starts cold at `started`, or that is warm at the start of the day.
    pub fn new(exchange_id: ExchangeId, parameters: ProcessorParameters, started: Option<Us>) -> Self {
        Processor {
            exchange_id,
            state: RunState::Running,
            started,
            slowdown: 1.0,
            work_done: 0.0,
            busy_us: 0.0,
            stats: QueueStats { present: vec![0.0; QUEUE_LENGTH_BINS], ..QueueStats::default() },
            parameters,
            queues: Default::default(),
            queued_work: [0.0; 2],
            current: None,
            job_number: 0,
            cold_set_ups: VecDeque::new(),
        }
    }

    /// Present share of its full capacity; it grows linearly after a cold start.
    pub fn capacity(&self, now: Us) -> f64 {
        let Some(at) = self.started else { return 1.0 };
        let warm_share = now.saturating_sub(at) as f64 / self.parameters.cold_us.max(1.0);
        (self.parameters.cold_from + (1.0 - self.parameters.cold_from) * warm_share).min(1.0)
    }

    fn is_cold(&self, now: Us) -> bool {
        self.started.is_some_and(|at| (now.saturating_sub(at) as f64) < self.parameters.cold_us)
    }

    /// Present processing time of a set-up, µs.
    fn set_up_us(&self, now: Us) -> f64 {
        self.parameters.set_up_us * self.slowdown / self.capacity(now).max(1e-6)
    }

    /// Jobs present, the current one included.
    pub fn present(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum::<usize>() + usize::from(self.current.is_some())
    }

    /// The wait of a set-up that arrives now, µs.
    pub fn wait(&self, now: Us) -> f64 {
        let remaining = self.current.as_ref().map_or(0.0, |(_, until)| until.saturating_sub(now) as f64);
        let prior_work = if self.parameters.finish_first { self.queued_work[1] } else { 0.0 };
        remaining + (self.queued_work[0] + prior_work) * self.set_up_us(now)
    }

    /// Whether it refuses a set-up that arrives now.
    pub fn is_full(&self, now: Us) -> bool {
        self.wait(now) > self.parameters.longest_wait_us
    }

    /// Records a set-up sent to it. Returns whether a cold processor now fails: within the window it was sent more
    /// than a multiple of the set-ups that its present capacity allows.
    pub fn record_set_up(&mut self, now: Us) -> bool {
        if !self.is_cold(now) || self.parameters.set_up_us <= 0.0 {
            return false;
        }
        let window_start = now.saturating_sub(self.parameters.cold_failure_window_us);
        while self.cold_set_ups.front().is_some_and(|at| *at < window_start) {
            self.cold_set_ups.pop_front();
        }
        self.cold_set_ups.push_back(now);
        let window = self.parameters.cold_failure_window_us as f64;
        let capacity = window / (self.parameters.set_up_us * self.slowdown) * self.capacity(now);
        self.cold_set_ups.len() as f64 > self.parameters.cold_failure_multiple * capacity + COLD_SLACK_SET_UPS
    }

    /// Index of a task's queue.
    fn queue_of(&self, task: Task) -> usize {
        usize::from(!task.is_new())
    }

    /// Queues a job. Returns the end and the number of the job that begins now, if one does.
    pub fn push(&mut self, now: Us, task: Task, work: f64, rng: &mut Pcg64) -> Option<(Us, u64)> {
        self.account_time(now);
        let queue = self.queue_of(task);
        self.queued_work[queue] += work;
        let job = Job { task, work, queued_at: now };
        // A refusal goes ahead of the other jobs.
        if task == Task::Refuse {
            self.queues[queue].push_front(job);
        } else {
            self.queues[queue].push_back(job);
        }
        self.stats.longest = self.stats.longest.max(self.present());
        self.begin(now, rng)
    }

    /// Begins the next job if none is in progress; returns its end and number.
    fn begin(&mut self, now: Us, rng: &mut Pcg64) -> Option<(Us, u64)> {
        if self.current.is_some() {
            return None;
        }
        let order = if self.parameters.finish_first { [1, 0] } else { [0, 1] };
        let queue = order.into_iter().find(|q| !self.queues[*q].is_empty())?;
        let job = self.queues[queue].pop_front()?;
        self.queued_work[queue] =
            if self.queues[queue].is_empty() { 0.0 } else { self.queued_work[queue] - job.work };
        let random_factor = match self.parameters.work {
            WorkTime::Fixed => 1.0,
            WorkTime::Exponential => Distribution::<f64>::sample(&Exp1, rng),
        };
        let duration_us = job.work * self.set_up_us(now) * random_factor;
        if matches!(job.task, Task::SendSetUp(_) | Task::ReceiveSetUp(_)) {
            self.stats.served += 1;
            self.stats.waited += (now - job.queued_at) as f64;
        }
        self.busy_us += duration_us;
        self.work_done += job.work;
        self.job_number += 1;
        let until = now + duration_us.round() as Us;
        self.current = Some((job, until));
        Some((until, self.job_number))
    }

    /// Ends the current job. Returns its task, and the end and number of the next job; nothing if the job was dropped.
    pub fn finish(&mut self, now: Us, job_number: u64, rng: &mut Pcg64) -> Option<(Task, Option<(Us, u64)>)> {
        if job_number != self.job_number || self.state == RunState::Down {
            return None;
        }
        self.account_time(now);
        let (job, _) = self.current.take()?;
        let next = self.begin(now, rng);
        Some((job.task, next))
    }

    /// Accounts the time since the last update to the present number of jobs.
    fn account_time(&mut self, now: Us) {
        let bin = self.present().min(QUEUE_LENGTH_BINS - 1);
        if let Some(spent) = self.stats.present.get_mut(bin) {
            *spent += (now - self.stats.last_update) as f64;
        }
        self.stats.last_update = now;
    }

    /// Stops it: the jobs in its queues are lost.
    pub fn stop(&mut self) {
        self.state = RunState::Down;
        self.queues = Default::default();
        self.queued_work = [0.0; 2];
        self.current = None;
    }

    /// Set-ups per second at full capacity.
    pub fn rate(&self) -> f64 {
        SECOND as f64 / self.parameters.set_up_us.max(1e-6)
    }
}
