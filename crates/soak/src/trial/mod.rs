//! Plays a plan on real processes over loopback and keeps the record.

mod callers;
mod faults;
mod proxies;
mod watch;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use callers::Pool;
use mallowring_standin::discovery::{Discovery, Lifecycle, RosterEntry};
use mallowring_standin::exchange::Exchange;
use mallowring_standin::proxy::ProxyConfig;
use mallowring_standin::record::{now, Entry, Record};
use mallowring_standin::{run, sleep, Executor};
use proxies::ProxySlot;

use crate::coverage::Coverage;
use crate::judge::DeploymentParameters;
use crate::plan::Plan;

/// The first number of an exchange; the proxies' own exchanges have smaller ones.
const FIRST_NUMBER: i64 = 100;
/// After the load: all that is owed by then has to be told.
const AFTER_LOAD: f64 = 9.5;
/// A proxy that starts is waited for so long before the load begins.
const READY_WITHIN: f64 = 20.0;

/// What a trial left behind.
#[derive(Debug)]
pub struct TrialOutcome {
    /// The record.
    pub entries: Vec<Entry>,
    /// When the load began, in seconds of Unix time.
    pub began: f64,
    /// How often each fault met each state.
    pub coverage: Coverage,
    /// The logs of the proxies, with those of earlier processes.
    pub logs: Vec<String>,
}

/// Everything of a trial that is under way.
struct Stage {
    tasks: Executor,
    record: Record,
    plan: Plan,
    /// The exchange that serves each number now.
    exchanges: RefCell<Vec<Exchange>>,
    /// Exchanges in the middle of a fault that changes their state.
    taken: RefCell<BTreeSet<usize>>,
    next_name: Cell<u64>,
    discoveries: Vec<Discovery>,
    proxies: Vec<ProxySlot>,
    pools: Vec<Pool>,
    coverage: RefCell<Coverage>,
    began: Cell<f64>,
    over: Cell<bool>,
}

/// The figures that a plan's proxies are told, for the judge.
pub fn deployment_parameters(plan: &Plan) -> DeploymentParameters {
    DeploymentParameters {
        drain_grace_s: 0.5,
        release_pause_s: 0.3,
        max_attempts: 4,
        memory_kb: plan.memory_mb * 1024,
        descriptors: plan.descriptors as usize,
        exchange_rate: plan.exchange_rate,
        cold_capacity_share: 0.34,
        warm_up_s: 15.0,
        overload_multiple: 4.0,
        overload_window_s: 2.0,
    }
}

/// Plays a plan with a program.
pub fn play(plan: &Plan, program: &Path) -> io::Result<TrialOutcome> {
    let (plan, program) = (plan.clone(), program.to_owned());
    run(async |tasks| {
        let stage = Rc::new(Stage::set_up(tasks, plan, program).await?);
        stage.clone().play().await;
        let logs = stage.proxies.iter().map(ProxySlot::log).collect();
        let coverage = stage.coverage.borrow().clone();
        Ok(TrialOutcome { entries: stage.record.entries(), began: stage.began.get(), coverage, logs })
    })
}

impl Stage {
    async fn set_up(tasks: Executor, plan: Plan, program: PathBuf) -> io::Result<Stage> {
        let record = Record::default();
        let mut exchanges = Vec::new();
        for ix in 0..plan.exchanges {
            let number = FIRST_NUMBER + ix as i64;
            exchanges.push(Exchange::start(&tasks, &record, &format!("s{ix}"), number, plan.proxies)?);
        }
        let (mut discoveries, mut proxies) = (Vec::new(), Vec::new());
        for proxy in 0..plan.proxies {
            let whole: Vec<RosterEntry> =
                exchanges.iter().map(|e| line(e, proxy, Lifecycle::Ready, 0)).collect();
            let discovery = Discovery::start(&tasks, &record, proxy, &whole)?;
            let mut setup = ProxyConfig::new(&format!("n{proxy}"), proxy as i64, plan.proxies);
            setup.give_up = plan.give_up;
            setup.limits = (plan.memory_mb, plan.descriptors);
            proxies.push(ProxySlot::start(&program, setup, &discovery, proxy, &record)?);
            discoveries.push(discovery);
        }
        let pools = (0..plan.proxies).map(|_| Pool::new(plan.callers)).collect();
        Ok(Stage {
            tasks,
            record,
            plan,
            exchanges: RefCell::new(exchanges),
            taken: RefCell::default(),
            next_name: Cell::new(0),
            discoveries,
            proxies,
            pools,
            coverage: RefCell::default(),
            began: Cell::new(0.0),
            over: Cell::new(false),
        })
    }

    async fn play(self: Rc<Self>) {
        for slot in &self.proxies {
            slot.wait_until_ready(READY_WITHIN).await;
        }
        self.began.set(now());
        self.clone().watch();
        for call in self.plan.calls.clone() {
            let stage = self.clone();
            let call_task = async move {
                stage.sleep_until(call.at).await;
                stage.play_call(call).await;
            };
            self.tasks.spawn(call_task).detach();
        }
        for fault in self.plan.faults.clone() {
            let stage = self.clone();
            let fault_task = async move {
                stage.sleep_until(fault.at).await;
                stage.play_fault(fault).await;
            };
            self.tasks.spawn(fault_task).detach();
        }
        self.sleep_until(self.plan.seconds + AFTER_LOAD).await;
        self.over.set(true);
        self.pools.iter().for_each(Pool::close_all);
        self.proxies.iter().for_each(ProxySlot::end);
    }

    async fn sleep_until(&self, at: f64) {
        sleep(self.began.get() + at - now()).await;
    }

    /// Tells all proxies' discoveries of changes.
    fn publish(&self, lines: &[(Exchange, Lifecycle, u64)]) {
        for (proxy, discovery) in self.discoveries.iter().enumerate() {
            let listed: Vec<RosterEntry> =
                lines.iter().map(|(exchange, cycle, at)| line(exchange, proxy, *cycle, *at)).collect();
            discovery.publish(false, &listed);
        }
    }
}

fn line(exchange: &Exchange, proxy: usize, lifecycle: Lifecycle, started_at_ms: u64) -> RosterEntry {
    RosterEntry {
        id: exchange.name().to_owned(),
        number: exchange.number(),
        addr: exchange.addr(proxy),
        lifecycle,
        started_at_ms,
    }
}

fn unix_ms() -> u64 {
    (now() * 1000.0) as u64
}
