//! Plays a plan with real processes over loopback and keeps the record.

mod callers;
mod faults;
mod proxies;
mod sip;
mod watch;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use callers::CallerPool;
use mallowring_standin::discovery::{Discovery, Lifecycle, RosterEntry};
use mallowring_standin::exchange::Exchange;
use mallowring_standin::proxy::ProxyConfig;
use mallowring_standin::record::{now, Entry, Record};
use mallowring_standin::relay::Relay;
use mallowring_standin::{run, sleep, Executor};
use proxies::SupervisedProxy;
use sip::SipSide;

use crate::coverage::Coverage;
use crate::judge::DeploymentParameters;
use crate::plan::Plan;

/// Number of the first exchange; the proxies' own exchanges have smaller numbers.
const FIRST_EXCHANGE_NUMBER: i64 = 100;
/// Time in seconds after the load within which all outstanding releases are due.
const SETTLE_TIME_S: f64 = 9.5;
/// Time limit in seconds for the proxies to become ready before the load starts.
const READY_TIMEOUT_S: f64 = 20.0;

/// The outcome of a trial.
#[derive(Debug)]
pub struct TrialOutcome {
    /// All entries of the record.
    pub entries: Vec<Entry>,
    /// Start of the load, in seconds of Unix time.
    pub load_started_at: f64,
    /// Call states that the faults occurred in.
    pub coverage: Coverage,
    /// Logs of the proxies, including those of earlier processes.
    pub logs: Vec<String>,
}

/// State of a trial in progress.
struct RunningTrial {
    executor: Executor,
    record: Record,
    plan: Plan,
    /// The current exchange of each number.
    exchanges: RefCell<Vec<Exchange>>,
    /// Indices of exchanges that a fault is currently changing.
    changing_exchanges: RefCell<BTreeSet<usize>>,
    /// Indices of exchanges whose network is disturbed by a relay fault.
    disturbed_links: RefCell<BTreeSet<usize>>,
    next_id: Cell<u64>,
    discoveries: Vec<Discovery>,
    /// The relays, by the address of the exchange that each leads to; none if the plan has no relays.
    relays: RefCell<BTreeMap<SocketAddr, Relay>>,
    proxies: Vec<SupervisedProxy>,
    pools: Vec<CallerPool>,
    sip: SipSide,
    coverage: RefCell<Coverage>,
    load_started_at: Cell<f64>,
    finished: Cell<bool>,
}

/// Returns the parameters that the proxies of a plan are configured with, for the rule checks.
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
        kill_after_s: plan.kill_after(),
    }
}

/// Plays a plan with the given program.
pub fn play(plan: &Plan, program: &Path) -> io::Result<TrialOutcome> {
    let (plan, program) = (plan.clone(), program.to_owned());
    run(async |executor| {
        let trial = Rc::new(RunningTrial::set_up(executor, plan, program).await?);
        trial.clone().play().await;
        let logs = trial.proxies.iter().map(SupervisedProxy::log).collect();
        let coverage = trial.coverage.borrow().clone();
        Ok(TrialOutcome {
            entries: trial.record.entries(),
            load_started_at: trial.load_started_at.get(),
            coverage,
            logs,
        })
    })
}

impl RunningTrial {
    async fn set_up(executor: Executor, plan: Plan, program: PathBuf) -> io::Result<RunningTrial> {
        let record = Record::default();
        let mut exchanges = Vec::new();
        for ix in 0..plan.exchanges {
            let number = FIRST_EXCHANGE_NUMBER + ix as i64;
            exchanges.push(Exchange::start(&executor, &record, &format!("s{ix}"), number, plan.proxies)?);
        }
        let mut relays = BTreeMap::new();
        let (mut discoveries, mut proxies) = (Vec::new(), Vec::new());
        for proxy in 0..plan.proxies {
            let mut full_roster = Vec::new();
            for exchange in &exchanges {
                let addr = exchange.addr(proxy);
                let addr = if plan.relayed { relay_to(&executor, &mut relays, addr)? } else { addr };
                full_roster.push(roster_entry(exchange, addr, Lifecycle::Ready, 0));
            }
            let discovery = Discovery::start(&executor, &record, proxy, &full_roster)?;
            let mut config = ProxyConfig::new(&format!("n{proxy}"), proxy as i64, plan.proxies);
            config.give_up = plan.give_up;
            config.limits = (plan.memory_mb, plan.descriptors);
            if plan.sip {
                config.sip_exchange = Some(SipSide::start_exchange(&executor, &record, proxy)?.addr());
            }
            proxies.push(SupervisedProxy::start(&program, config, &discovery, proxy, &record)?);
            discoveries.push(discovery);
        }
        let sip = match plan.sip {
            true => SipSide::start_callers(&executor, &record, &proxies)?,
            false => SipSide::default(),
        };
        let pools = (0..plan.proxies).map(|_| CallerPool::new(plan.callers)).collect();
        Ok(RunningTrial {
            executor,
            record,
            plan,
            exchanges: RefCell::new(exchanges),
            changing_exchanges: RefCell::default(),
            disturbed_links: RefCell::default(),
            next_id: Cell::new(0),
            discoveries,
            relays: RefCell::new(relays),
            proxies,
            pools,
            sip,
            coverage: RefCell::default(),
            load_started_at: Cell::new(0.0),
            finished: Cell::new(false),
        })
    }

    async fn play(self: Rc<Self>) {
        for supervised in &self.proxies {
            supervised.wait_until_ready(READY_TIMEOUT_S).await;
        }
        self.load_started_at.set(now());
        self.clone().watch();
        for call in self.plan.calls.clone() {
            let trial = self.clone();
            let call_task = async move {
                trial.sleep_until(call.at).await;
                trial.play_call(call).await;
            };
            self.executor.spawn(call_task).detach();
        }
        for call in self.plan.sip_calls.clone() {
            let trial = self.clone();
            let call_task = async move {
                trial.sleep_until(call.at).await;
                trial.play_sip_call(call).await;
            };
            self.executor.spawn(call_task).detach();
        }
        for fault in self.plan.faults.clone() {
            let trial = self.clone();
            let fault_task = async move {
                trial.sleep_until(fault.at).await;
                trial.play_fault(fault).await;
            };
            self.executor.spawn(fault_task).detach();
        }
        self.sleep_until(self.plan.seconds + SETTLE_TIME_S).await;
        self.finished.set(true);
        self.pools.iter().for_each(CallerPool::close_all);
        self.proxies.iter().for_each(SupervisedProxy::end);
    }

    /// Returns the address at which a proxy reaches an exchange: its own, or that of the relay in front of it.
    fn published_addr(&self, exchange: &Exchange, proxy: usize) -> SocketAddr {
        let addr = exchange.addr(proxy);
        if !self.plan.relayed {
            return addr;
        }
        relay_to(&self.executor, &mut self.relays.borrow_mut(), addr).unwrap_or(addr)
    }

    async fn sleep_until(&self, at: f64) {
        sleep(self.load_started_at.get() + at - now()).await;
    }

    /// Publishes roster changes through the discovery services of all proxies.
    fn publish(&self, entries: &[(Exchange, Lifecycle, u64)]) {
        for (proxy, discovery) in self.discoveries.iter().enumerate() {
            let roster_entries: Vec<RosterEntry> = entries
                .iter()
                .map(|(exchange, lifecycle, at)| {
                    roster_entry(exchange, self.published_addr(exchange, proxy), *lifecycle, *at)
                })
                .collect();
            discovery.publish(false, &roster_entries);
        }
    }
}

/// Returns the address of the relay to an address of an exchange, and starts the relay if there is none.
fn relay_to(
    executor: &Executor,
    relays: &mut BTreeMap<SocketAddr, Relay>,
    target: SocketAddr,
) -> io::Result<SocketAddr> {
    if let Some(relay) = relays.get(&target) {
        return Ok(relay.addr());
    }
    let relay = Relay::start(executor, target)?;
    let addr = relay.addr();
    relays.insert(target, relay);
    Ok(addr)
}

fn roster_entry(
    exchange: &Exchange,
    addr: SocketAddr,
    lifecycle: Lifecycle,
    started_at_ms: u64,
) -> RosterEntry {
    RosterEntry { id: exchange.name().to_owned(), number: exchange.number(), addr, lifecycle, started_at_ms }
}

fn unix_ms() -> u64 {
    (now() * 1000.0) as u64
}
