//! A scene for tests on the built program: one proxy, discovery, and exchanges numbered from 1.
#![allow(dead_code)]

use std::path::Path;

use mallowring_standin::caller::Caller;
use mallowring_standin::discovery::{Discovery, Lifecycle, RosterEntry};
use mallowring_standin::exchange::Exchange;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::proxy::{Proxy, ProxyConfig};
use mallowring_standin::record::{now, Observation, Record};
use mallowring_standin::{sleep, Executor};

/// Everything around the one proxy.
pub struct Scene {
    pub tasks: Executor,
    pub record: Record,
    pub discovery: Discovery,
    pub exchanges: Vec<Exchange>,
    pub proxy: Proxy,
}

/// An exchange's line on the list.
pub fn listed(exchange: &Exchange, lifecycle: Lifecycle) -> RosterEntry {
    RosterEntry {
        id: exchange.name().to_owned(),
        number: exchange.number(),
        addr: exchange.addr(0),
        lifecycle,
        started_at_ms: 0,
    }
}

/// Ids of calls, 16 hex digits each.
pub fn ids(group: u64, n: u64) -> Vec<String> {
    (0..n).map(|ix| format!("{group:08x}{ix:08x}")).collect()
}

impl Scene {
    /// So many exchanges, and a proxy without tight limits.
    pub async fn start(tasks: Executor, exchanges: i64) -> Scene {
        Scene::with(tasks, exchanges, ProxyConfig::new("n0", 0, 2)).await
    }

    /// So many exchanges, and a proxy of this setup that is ready.
    pub async fn with(tasks: Executor, exchanges: i64, setup: ProxyConfig) -> Scene {
        let record = Record::default();
        let start =
            |number| Exchange::start(&tasks, &record, &format!("s-{number}"), number, 1).expect("sockets");
        let exchanges: Vec<Exchange> = (1..=exchanges).map(start).collect();
        let whole: Vec<RosterEntry> = exchanges.iter().map(|e| listed(e, Lifecycle::Ready)).collect();
        let discovery = Discovery::start(&tasks, &record, 0, &whole).expect("a socket");
        let program = Path::new(env!("CARGO_BIN_EXE_mallowring"));
        let proxy = Proxy::start(program, &setup, &discovery).expect("it starts");
        assert!(proxy.is_ready_within(20.0).await, "{}", proxy.log());
        Scene { tasks, record, discovery, exchanges, proxy }
    }

    /// One more connection of a caller's.
    pub async fn caller(&self, name: &str) -> Caller {
        Caller::connect(&self.tasks, &self.record, name, 0, self.proxy.listen).await.expect("it accepts")
    }

    /// Asks for a call without waiting.
    pub async fn ask(&self, caller: &Caller, destination: i64, call: &str, hold_ms: u64) {
        let number = CallScript { answer_ms: 5, hold_ms }.called_number();
        let set_up = SetUp { call_id: call.to_owned(), number, deadline_ms: 2500, destination };
        caller.send_set_up(&set_up).await.expect("it is sent");
    }

    /// Waits until a call has its final answer or a time is over; returns whether it stands.
    pub async fn stands_by(&self, call: &str, until: f64) -> bool {
        while self.answered(call).is_none() && now() < until {
            sleep(0.005).await;
        }
        self.record
            .first_seen(call, |observation| matches!(observation, Observation::Answered { status: 200, .. }))
            .is_some()
    }

    /// Sets calls up to an exchange, one after another, and waits until all stand.
    pub async fn stand(&self, caller: &Caller, destination: i64, calls: &[String], hold_ms: u64) {
        for call in calls {
            self.ask(caller, destination, call, hold_ms).await;
            assert!(self.stands_by(call, now() + 3.0).await, "{call} stands\n{}", self.proxy.log());
        }
    }

    /// When a call had its final answer.
    pub fn answered(&self, call: &str) -> Option<f64> {
        self.record.first_seen(call, |observation| matches!(observation, Observation::Answered { .. }))
    }

    /// When a call was released to its caller.
    pub fn released(&self, call: &str) -> Option<f64> {
        self.record.first_seen(call, |observation| matches!(observation, Observation::ReleaseReceived(_)))
    }

    /// Waits until all calls are released to their callers or the time is over; returns those that are not.
    pub async fn not_released_by(&self, calls: &[String], until: f64) -> Vec<String> {
        loop {
            let open: Vec<_> = calls.iter().filter(|call| self.released(call).is_none()).cloned().collect();
            if open.is_empty() || now() >= until {
                return open;
            }
            sleep(0.01).await;
        }
    }
}
