//! A stand-in of discovery, the service that sends the roster: numbered events over TCP, and simulated faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{json, Value};
use smol::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use smol::net::{TcpListener, TcpStream};

use crate::record::{now, Observation, Record};
use crate::{listener, sleep, Executor};

/// Interval in seconds after which an idle connection gets a heartbeat line, which holds the last event number.
const HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Interval in seconds at which tasks check for changes.
const POLL_INTERVAL_S: f64 = 0.005;

/// State of an exchange in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    Ready,
    /// The exchange gets no new calls.
    Draining,
    /// Removed from the roster.
    Gone,
}

impl Lifecycle {
    fn wire_name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "ready",
            Lifecycle::Draining => "draining",
            Lifecycle::Gone => "gone",
        }
    }
}

/// One exchange in the roster.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// The id of this running exchange.
    pub id: String,
    /// The number of the exchange.
    pub number: i64,
    /// The address on which the exchange listens.
    pub addr: SocketAddr,
    /// The state of the exchange.
    pub lifecycle: Lifecycle,
    /// Start time in Unix milliseconds; 0 for an exchange that started long ago.
    pub started_at_ms: u64,
}

impl RosterEntry {
    fn json(&self) -> Value {
        json!({"instanceId": self.id, "hostPort": self.addr.to_string(), "zone": "z", "machineType": "m",
            "cell": self.number, "lifecycle": self.lifecycle.wire_name(), "weight": 1,
            "startedAtMs": self.started_at_ms})
    }
}

/// State of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// The service works.
    Working,
    /// Connections are accepted but nothing is sent.
    Silent,
    /// Connections are reset and refused.
    Down,
}

struct Inner {
    executor: Executor,
    record: Record,
    /// Index of the proxy that this service sends the roster to, from 0.
    proxy: usize,
    addr: Cell<SocketAddr>,
    listener: RefCell<Option<TcpListener>>,
    condition: Cell<Condition>,
    events: RefCell<Vec<(Value, Vec<RosterEntry>)>>,
    /// Number of address changes so far; tasks that serve an earlier address end.
    address_changes: Cell<u64>,
}

/// A stand-in of discovery; clones share the same state.
#[derive(Clone)]
pub struct Discovery(Rc<Inner>);

impl Discovery {
    /// Starts the service with a full roster as its first event.
    pub fn start(
        executor: &Executor,
        record: &Record,
        proxy: usize,
        full: &[RosterEntry],
    ) -> io::Result<Discovery> {
        let listener = listener::bind((listener::unused_ip(), 0).into())?;
        let inner = Inner {
            executor: executor.clone(),
            record: record.clone(),
            proxy,
            addr: Cell::new(listener.local_addr()?),
            listener: RefCell::new(Some(listener)),
            condition: Cell::new(Condition::Working),
            events: RefCell::default(),
            address_changes: Cell::new(0),
        };
        let discovery = Discovery(Rc::new(inner));
        discovery.publish(true, full);
        discovery.accept();
        Ok(discovery)
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr.get()
    }

    /// Returns the events so far in the form of the key `known` of the proxy's configuration.
    pub fn events_json(&self) -> Value {
        let events = self.0.events.borrow();
        let items: Vec<&Value> = events.iter().map(|(event, _)| event).collect();
        json!({"no": events.len(), "items": items})
    }

    /// Appends an event: a full roster (`whole`), or only the entries that changed.
    pub fn publish(&self, full: bool, entries: &[RosterEntry]) {
        let mut events = self.0.events.borrow_mut();
        let event_number = events.len() + 1;
        let instances: Vec<Value> = entries.iter().map(RosterEntry::json).collect();
        let event = json!({"no": event_number,
            "roster": {"generation": event_number, "reset": full, "instances": instances}});
        events.push((event, entries.to_vec()));
        for entry in entries {
            let (exchange, ready) = (entry.id.clone(), entry.lifecycle == Lifecycle::Ready);
            self.record_event(Observation::RosterPublished { exchange, ready });
        }
    }

    fn record_event(&self, observation: Observation) {
        self.0.record.add("discovery", self.0.proxy, "", observation);
    }

    /// Moves the service to another address: the old one refuses connections and its open connections end.
    pub fn change_address(&self) -> io::Result<()> {
        let listener = listener::bind((listener::unused_ip(), 0).into())?;
        self.0.addr.set(listener.local_addr()?);
        self.0.address_changes.set(self.0.address_changes.get() + 1);
        if self.0.condition.get() != Condition::Down {
            *self.0.listener.borrow_mut() = Some(listener);
            self.accept();
        }
        Ok(())
    }

    /// Resets the open connections and refuses new ones from now on.
    pub fn go_down(&self) {
        self.0.condition.set(Condition::Down);
        self.record_event(Observation::DiscoveryReachable(false));
        self.0.listener.borrow_mut().take();
    }

    /// Accepts connections but sends nothing from now on.
    pub fn go_silent(&self) {
        self.0.condition.set(Condition::Silent);
        self.record_event(Observation::DiscoveryReachable(false));
    }

    /// Ends [`Discovery::go_down`] and [`Discovery::go_silent`].
    pub fn recover(&self) -> io::Result<()> {
        if self.0.listener.borrow().is_none() {
            let listener = listener::bind(self.0.addr.get())?;
            *self.0.listener.borrow_mut() = Some(listener);
            self.0.condition.set(Condition::Working);
            self.accept();
        }
        self.0.condition.set(Condition::Working);
        self.record_event(Observation::DiscoveryReachable(true));
        Ok(())
    }

    fn accept(&self) {
        let discovery = self.clone();
        let accept_loop = async move {
            let Some(listener) = discovery.0.listener.borrow().clone() else { return };
            let address_changes = discovery.0.address_changes.get();
            loop {
                let accepted = smol::future::or(async { listener.accept().await.ok() }, async {
                    while discovery.0.condition.get() != Condition::Down
                        && discovery.0.address_changes.get() == address_changes
                    {
                        sleep(POLL_INTERVAL_S).await;
                    }
                    None
                });
                let Some((stream, _)) = accepted.await else { return };
                let serving = discovery.clone();
                discovery
                    .0
                    .executor
                    .spawn(async move { drop(serving.serve(stream, address_changes).await) })
                    .detach();
            }
        };
        self.0.executor.spawn(accept_loop).detach();
    }

    /// Waits until the service may send; returns an error if the connection must end.
    async fn wait_until_sending_allowed(&self, address_changes: u64) -> io::Result<()> {
        loop {
            if self.0.address_changes.get() != address_changes {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            match self.0.condition.get() {
                Condition::Working => return Ok(()),
                Condition::Down => return Err(io::ErrorKind::ConnectionReset.into()),
                Condition::Silent => sleep(POLL_INTERVAL_S).await,
            }
        }
    }

    async fn serve(&self, mut stream: TcpStream, address_changes: u64) -> io::Result<()> {
        let mut request = String::new();
        BufReader::new(stream.clone()).read_line(&mut request).await?;
        let after =
            request.trim().strip_prefix("after ").and_then(|event_number| event_number.parse::<usize>().ok());
        let mut last_sent = after.ok_or(io::ErrorKind::InvalidData)?;
        let mut last_write_at = now();
        loop {
            self.wait_until_sending_allowed(address_changes).await?;
            let unsent: Vec<_> = self.0.events.borrow().iter().skip(last_sent).cloned().collect();
            for (event, entries) in unsent {
                last_sent += 1;
                stream.write_all(format!("{event}\n").as_bytes()).await?;
                last_write_at = now();
                for entry in entries {
                    let ready = entry.lifecycle == Lifecycle::Ready;
                    self.record_event(Observation::RosterSent { exchange: entry.id, ready });
                }
            }
            if now() - last_write_at >= HEARTBEAT_INTERVAL_S {
                stream.write_all(format!("{last_sent}\n").as_bytes()).await?;
                last_write_at = now();
            }
            sleep(POLL_INTERVAL_S).await;
        }
    }
}
