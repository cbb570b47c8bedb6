//! The proxies of a trial: started, signalled, started again.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use mallowring_standin::discovery::Discovery;
use mallowring_standin::proxy::{Proxy, ProxyConfig};
use mallowring_standin::record::{now, Observation, Record};
use mallowring_standin::sleep;
use rustix::process::Signal;

/// Between two looks at a process.
const LOOK: f64 = 0.01;

/// What a proxy's process does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Life {
    /// It runs.
    Running,
    /// It was told to end at this time.
    Ending(f64),
    /// It has ended, or does not pass a test yet.
    Away,
}

/// One proxy, through all its processes.
pub struct ProxySlot {
    index: usize,
    program: PathBuf,
    record: Record,
    proxy: RefCell<Proxy>,
    life: Cell<Life>,
    /// The logs of processes that have ended.
    logs: RefCell<String>,
}

impl ProxySlot {
    /// Starts the first process.
    pub fn start(
        program: &Path,
        setup: ProxyConfig,
        discovery: &Discovery,
        index: usize,
        record: &Record,
    ) -> io::Result<ProxySlot> {
        record.add("trial", index, "", Observation::ProxyStarted);
        let proxy = RefCell::new(Proxy::start(program, &setup, discovery)?);
        let (program, record) = (program.to_owned(), record.clone());
        let (life, logs) = (Cell::new(Life::Away), RefCell::default());
        Ok(ProxySlot { index, program, record, proxy, life, logs })
    }

    fn note(&self, observation: Observation) {
        self.record.add("trial", self.index, "", observation);
    }

    /// Where callers connect.
    pub fn listen(&self) -> SocketAddr {
        self.proxy.borrow().listen
    }

    /// What its process does.
    pub fn life(&self) -> Life {
        self.life.get()
    }

    /// All that it has logged.
    pub fn log(&self) -> String {
        format!("{}{}", self.logs.borrow(), self.proxy.borrow().log())
    }

    /// Memory in kB and descriptors of its process; nothing where there is none.
    pub fn resources(&self) -> Option<(u64, usize)> {
        let proxy = self.proxy.borrow();
        let (memory, descriptors) = (proxy.memory_kb().0, proxy.descriptors());
        (memory > 0).then_some((memory, descriptors))
    }

    /// Nanoseconds for which its process has waited for a processor.
    pub fn scheduling_delay_ns(&self) -> u64 {
        self.proxy.borrow().scheduling_delay_ns()
    }

    /// Waits until it passes a test.
    pub async fn wait_until_ready(&self, seconds: f64) {
        let (until, listen) = (now() + seconds, self.listen());
        while now() < until {
            if Proxy::answers_options(listen).await.unwrap_or(false) {
                self.note(Observation::ProxyReady);
                return self.life.set(Life::Running);
            }
            sleep(LOOK).await;
        }
    }

    /// Notes an end that nobody asked for.
    pub fn look(&self) {
        if self.life.get() == Life::Running {
            if let Some(clean) = self.proxy.borrow_mut().try_exit_success() {
                self.note(Observation::ProxyEnded { clean });
                self.life.set(Life::Away);
            }
        }
    }

    /// SIGTERM, and SIGKILL at a time if it still runs; then another process.
    pub async fn terminate(&self, kill_after: f64, discovery: &Discovery) {
        if self.life.get() != Life::Running {
            return;
        }
        let told = now();
        self.life.set(Life::Ending(told));
        self.note(Observation::Terminated);
        self.proxy.borrow().signal(Signal::TERM);
        loop {
            if let Some(clean) = self.proxy.borrow_mut().try_exit_success() {
                self.note(Observation::ProxyEnded { clean });
                break;
            }
            if now() - told >= kill_after {
                self.kill_now().await;
                break;
            }
            sleep(LOOK).await;
        }
        self.restart(discovery).await;
    }

    /// SIGKILL without a word; then another process.
    pub async fn kill(&self, discovery: &Discovery) {
        if self.life.get() == Life::Running {
            self.kill_now().await;
            self.restart(discovery).await;
        }
    }

    async fn kill_now(&self) {
        self.note(Observation::Killed);
        self.life.set(Life::Away);
        self.proxy.borrow().signal(Signal::KILL);
        while self.proxy.borrow_mut().try_exit_success().is_none() {
            sleep(LOOK).await;
        }
    }

    async fn restart(&self, discovery: &Discovery) {
        self.life.set(Life::Away);
        let log = self.proxy.borrow().log();
        self.logs.borrow_mut().push_str(&log);
        self.note(Observation::ProxyStarted);
        let started = self.proxy.borrow_mut().restart(&self.program, discovery);
        if started.is_ok() {
            self.wait_until_ready(20.0).await;
        }
    }

    /// A bad configuration and a good one, read one after the other.
    pub async fn configure(&self, discovery: &Discovery) {
        let written = self.proxy.borrow().write_invalid_config();
        if written.is_ok() && self.life.get() == Life::Running {
            self.proxy.borrow().signal(Signal::HUP);
        }
        sleep(0.05).await;
        for _ in 0..2 {
            let written = self.proxy.borrow().write_config(discovery);
            if written.is_ok() && self.life.get() == Life::Running {
                self.proxy.borrow().signal(Signal::HUP);
            }
            sleep(0.02).await;
        }
    }

    /// The trial is over.
    pub fn end(&self) {
        self.life.set(Life::Away);
        self.proxy.borrow().signal(Signal::KILL);
    }
}
