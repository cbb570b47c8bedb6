//! The proxies of a trial: starts, signals and restarts their processes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use mallowring_standin::discovery::Discovery;
use mallowring_standin::proxy::{Proxy, ProxyConfig};
use mallowring_standin::record::{now, Observation, Record};
use mallowring_standin::sleep;
use rustix::process::Signal;

/// Interval in seconds at which a process is polled.
const POLL_INTERVAL_S: f64 = 0.01;

/// Interval in seconds at which SIGTERM is sent again.
const TERM_INTERVAL_S: f64 = 0.5;

/// Time in seconds from the start of a process within which it may still hold the descriptors of this one.
const EXEC_TIME_S: f64 = 0.05;

/// State of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessState {
    /// The process runs and is ready.
    Running,
    /// SIGTERM was sent at this time, in seconds of Unix time.
    Terminating(f64),
    /// The process has exited, or does not answer OPTIONS requests yet.
    NotReady,
}

/// One proxy, across restarts of its process.
pub struct SupervisedProxy {
    index: usize,
    program: PathBuf,
    record: Record,
    proxy: RefCell<Proxy>,
    process_state: Cell<ProcessState>,
    /// Start of the process, in seconds of Unix time.
    started_at: Cell<f64>,
    /// The logs of processes that have exited.
    logs: RefCell<String>,
}

impl SupervisedProxy {
    /// Starts the first process.
    pub fn start(
        program: &Path,
        config: ProxyConfig,
        discovery: &Discovery,
        index: usize,
        record: &Record,
    ) -> io::Result<SupervisedProxy> {
        record.add("trial", index, "", Observation::ProxyStarted);
        let proxy = RefCell::new(Proxy::start(program, &config, discovery)?);
        let (program, record) = (program.to_owned(), record.clone());
        let (process_state, logs) = (Cell::new(ProcessState::NotReady), RefCell::default());
        let started_at = Cell::new(now());
        Ok(SupervisedProxy { index, program, record, proxy, process_state, started_at, logs })
    }

    fn record_event(&self, observation: Observation) {
        self.record.add("trial", self.index, "", observation);
    }

    /// Returns the address that callers connect to.
    pub fn listen(&self) -> SocketAddr {
        self.proxy.borrow().listen
    }

    /// Returns the address of the SIP front.
    pub fn sip_listen(&self) -> SocketAddr {
        self.proxy.borrow().sip_listen()
    }

    /// Returns the state of the process.
    pub fn process_state(&self) -> ProcessState {
        self.process_state.get()
    }

    /// Returns the logs of all processes of the proxy.
    pub fn log(&self) -> String {
        format!("{}{}", self.logs.borrow(), self.proxy.borrow().log())
    }

    /// Returns the resident memory in kB and the number of descriptors; `None` if no process runs, or one has just been
    /// started: until the kernel has executed the program, what it counts belongs to this process.
    pub fn resources(&self) -> Option<(u64, usize)> {
        if now() - self.started_at.get() < EXEC_TIME_S {
            return None;
        }
        let proxy = self.proxy.borrow();
        let (memory, descriptors) = (proxy.memory_kb().0, proxy.descriptors());
        (memory > 0).then_some((memory, descriptors))
    }

    /// Returns the time that the process has waited for a CPU, in nanoseconds.
    pub fn scheduling_delay_ns(&self) -> u64 {
        self.proxy.borrow().scheduling_delay_ns()
    }

    /// Waits until the proxy answers an OPTIONS request, at most for `seconds`.
    pub async fn wait_until_ready(&self, seconds: f64) {
        let (until, listen) = (now() + seconds, self.listen());
        while now() < until {
            if Proxy::answers_options(listen).await.unwrap_or(false) {
                self.record_event(Observation::ProxyReady);
                return self.process_state.set(ProcessState::Running);
            }
            sleep(POLL_INTERVAL_S).await;
        }
    }

    /// Records an exit that nothing in the trial has caused.
    pub fn detect_exit(&self) {
        if self.process_state.get() == ProcessState::Running {
            if let Some(clean) = self.proxy.borrow_mut().try_exit_success() {
                self.record_event(Observation::ProxyEnded { clean });
                self.process_state.set(ProcessState::NotReady);
            }
        }
    }

    /// Sends SIGTERM, every half second again, and SIGKILL after `kill_after` seconds, if given and if the process still
    /// runs; then starts another process.
    pub async fn terminate(&self, kill_after: Option<f64>, discovery: &Discovery) {
        if self.process_state.get() != ProcessState::Running {
            return;
        }
        let terminated_at = now();
        self.process_state.set(ProcessState::Terminating(terminated_at));
        self.record_event(Observation::Terminated);
        let mut signals_sent = 0;
        loop {
            if now() - terminated_at >= f64::from(signals_sent) * TERM_INTERVAL_S {
                self.proxy.borrow().signal(Signal::TERM);
                signals_sent += 1;
            }
            if let Some(clean) = self.proxy.borrow_mut().try_exit_success() {
                self.record_event(Observation::ProxyEnded { clean });
                break;
            }
            if kill_after.is_some_and(|kill_after| now() - terminated_at >= kill_after) {
                self.kill_now().await;
                break;
            }
            sleep(POLL_INTERVAL_S).await;
        }
        self.restart(discovery).await;
    }

    /// Stops the process for a time in seconds. A process that is to end is left alone.
    pub async fn stop_for(&self, seconds: f64) {
        if self.process_state.get() != ProcessState::Running {
            return;
        }
        self.proxy.borrow().signal(Signal::STOP);
        sleep(seconds).await;
        // Another process may run by now; to continue it changes nothing.
        self.proxy.borrow().signal(Signal::CONT);
    }

    /// Sends SIGKILL without SIGTERM; then starts another process.
    pub async fn kill(&self, discovery: &Discovery) {
        if self.process_state.get() == ProcessState::Running {
            self.kill_now().await;
            self.restart(discovery).await;
        }
    }

    async fn kill_now(&self) {
        self.record_event(Observation::Killed);
        self.process_state.set(ProcessState::NotReady);
        self.proxy.borrow().signal(Signal::KILL);
        while self.proxy.borrow_mut().try_exit_success().is_none() {
            sleep(POLL_INTERVAL_S).await;
        }
    }

    async fn restart(&self, discovery: &Discovery) {
        self.process_state.set(ProcessState::NotReady);
        let log = self.proxy.borrow().log();
        self.logs.borrow_mut().push_str(&log);
        self.record_event(Observation::ProxyStarted);
        let started = self.proxy.borrow_mut().restart(&self.program, discovery);
        self.started_at.set(now());
        if started.is_ok() {
            self.wait_until_ready(20.0).await;
        }
    }

    /// Writes an invalid configuration and then twice a valid one, and makes the proxy read each.
    pub async fn reconfigure(&self, discovery: &Discovery) {
        let written = self.proxy.borrow().write_invalid_config();
        if written.is_ok() && self.process_state.get() == ProcessState::Running {
            self.proxy.borrow().signal(Signal::HUP);
        }
        sleep(0.05).await;
        for _ in 0..2 {
            let written = self.proxy.borrow().write_config(discovery);
            if written.is_ok() && self.process_state.get() == ProcessState::Running {
                self.proxy.borrow().signal(Signal::HUP);
            }
            sleep(0.02).await;
        }
    }

    /// Kills the process at the end of the trial.
    pub fn end(&self) {
        self.process_state.set(ProcessState::NotReady);
        self.proxy.borrow().signal(Signal::KILL);
    }
}
