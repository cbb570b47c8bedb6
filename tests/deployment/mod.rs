//! A deployment for tests of the built program: one proxy, discovery, and exchanges numbered from 1.
#![allow(dead_code)]

pub mod attempts;

use std::path::Path;

use mallowring_standin::caller::Caller;
use mallowring_standin::discovery::{Discovery, Lifecycle, RosterEntry};
use mallowring_standin::exchange::Exchange;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::proxy::{Proxy, ProxyConfig};
use mallowring_standin::record::{now, Observation, Record};
use mallowring_standin::{sleep, Executor};

/// The proxy and the stand-ins around it.
pub struct Deployment {
    pub tasks: Executor,
    pub record: Record,
    pub discovery: Discovery,
    pub exchanges: Vec<Exchange>,
    pub proxy: Proxy,
}

/// The roster entry of an exchange.
pub fn roster_entry(exchange: &Exchange, lifecycle: Lifecycle) -> RosterEntry {
    RosterEntry {
        id: exchange.name().to_owned(),
        number: exchange.number(),
        addr: exchange.addr(0),
        lifecycle,
        started_at_ms: 0,
    }
}

/// Call ids of 16 hex digits each.
pub fn call_ids(group: u64, n: u64) -> Vec<String> {
    (0..n).map(|ix| format!("{group:08x}{ix:08x}")).collect()
}

impl Deployment {
    /// Starts the exchanges and a proxy with generous limits.
    pub async fn start(tasks: Executor, exchanges: i64) -> Deployment {
        Deployment::with_config(tasks, exchanges, ProxyConfig::new("n0", 0, 2)).await
    }

    /// Starts the exchanges and a proxy with this configuration, and waits until it is ready.
    pub async fn with_config(tasks: Executor, exchanges: i64, config: ProxyConfig) -> Deployment {
        let record = Record::default();
        let start =
            |number| Exchange::start(&tasks, &record, &format!("s-{number}"), number, 1).expect("sockets");
        let exchanges: Vec<Exchange> = (1..=exchanges).map(start).collect();
        let entries: Vec<RosterEntry> = exchanges.iter().map(|e| roster_entry(e, Lifecycle::Ready)).collect();
        let discovery = Discovery::start(&tasks, &record, 0, &entries).expect("discovery binds its socket");
        let program = Path::new(env!("CARGO_BIN_EXE_mallowring"));
        let proxy = Proxy::start(program, &config, &discovery).expect("the proxy starts");
        assert!(proxy.is_ready_within(20.0).await, "{}", proxy.log());
        Deployment { tasks, record, discovery, exchanges, proxy }
    }

    /// Connects another caller.
    pub async fn caller(&self, name: &str) -> Caller {
        Caller::connect(&self.tasks, &self.record, name, 0, self.proxy.listen)
            .await
            .expect("the proxy accepts the connection")
    }

    /// Sends a set-up without waiting for the answer.
    pub async fn send_set_up(&self, caller: &Caller, destination: i64, call: &str, hold_ms: u64) {
        let number = CallScript { answer_ms: 5, hold_ms }.called_number();
        let set_up = SetUp { call_id: call.to_owned(), number, deadline_ms: 2500, destination };
        caller.send_set_up(&set_up).await.expect("the set-up is sent");
    }

    /// Waits until a call has its final answer, or the deadline; returns whether it is established.
    pub async fn established_by(&self, call: &str, deadline: f64) -> bool {
        while self.answered_at(call).is_none() && now() < deadline {
            sleep(0.005).await;
        }
        self.record
            .first_seen(call, |observation| matches!(observation, Observation::Answered { status: 200, .. }))
            .is_some()
    }

    /// Sets calls up to an exchange, one after another, and waits until all are established.
    pub async fn establish(&self, caller: &Caller, destination: i64, calls: &[String], hold_ms: u64) {
        for call in calls {
            self.send_set_up(caller, destination, call, hold_ms).await;
            assert!(
                self.established_by(call, now() + 3.0).await,
                "{call} is not established\n{}",
                self.proxy.log()
            );
        }
    }

    /// When a call got its final answer.
    pub fn answered_at(&self, call: &str) -> Option<f64> {
        self.record.first_seen(call, |observation| matches!(observation, Observation::Answered { .. }))
    }

    /// When a call was released to its caller.
    pub fn released_at(&self, call: &str) -> Option<f64> {
        self.record.first_seen(call, |observation| matches!(observation, Observation::ReleaseReceived(_)))
    }

    /// Waits until all calls are released to their callers, or the deadline; returns those that are not.
    pub async fn unreleased_by(&self, calls: &[String], deadline: f64) -> Vec<String> {
        loop {
            let unreleased: Vec<_> =
                calls.iter().filter(|call| self.released_at(call).is_none()).cloned().collect();
            if unreleased.is_empty() || now() >= deadline {
                return unreleased;
            }
            sleep(0.01).await;
        }
    }
}
