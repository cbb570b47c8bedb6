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
const HEARTBEAT: f64 = 1.0;
const LOOK: f64 = 0.005;

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
    fn word(self) -> &'static str {
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
            "cell": self.number, "lifecycle": self.lifecycle.word(), "weight": 1,
            "startedAtMs": self.started_at_ms})
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Working,
    /// Connections are accepted but nothing is sent.
    Silent,
    /// Connections are reset and refused.
    Down,
}

struct Inner {
    tasks: Executor,
    record: Record,
    /// Index of the proxy that this service sends the roster to, from 0.
    proxy: usize,
    addr: Cell<SocketAddr>,
    listener: RefCell<Option<TcpListener>>,
    condition: Cell<Condition>,
    events: RefCell<Vec<(Value, Vec<RosterEntry>)>>,
    /// Number of address changes so far; tasks that serve an earlier address end.
    moves: Cell<u64>,
}

/// A stand-in of discovery; clones share the same state.
#[derive(Clone)]
pub struct Discovery(Rc<Inner>);

impl Discovery {
    /// Starts the service with a full roster as its first event.
    pub fn start(
        tasks: &Executor,
        record: &Record,
        proxy: usize,
        whole: &[RosterEntry],
    ) -> io::Result<Discovery> {
        let listener = listener::bind(([127, 0, 0, 1], 0).into())?;
        let inner = Inner {
            tasks: tasks.clone(),
            record: record.clone(),
            proxy,
            addr: Cell::new(listener.local_addr()?),
            listener: RefCell::new(Some(listener)),
            condition: Cell::new(Condition::Working),
            events: RefCell::default(),
            moves: Cell::new(0),
        };
        let discovery = Discovery(Rc::new(inner));
        discovery.publish(true, whole);
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
    pub fn publish(&self, whole: bool, listed: &[RosterEntry]) {
        let mut events = self.0.events.borrow_mut();
        let no = events.len() + 1;
        let instances: Vec<Value> = listed.iter().map(RosterEntry::json).collect();
        let event = json!({"no": no, "roster": {"generation": no, "reset": whole, "instances": instances}});
        events.push((event, listed.to_vec()));
        for line in listed {
            let (exchange, ready) = (line.id.clone(), line.lifecycle == Lifecycle::Ready);
            self.note(Observation::Published { exchange, ready });
        }
    }

    fn note(&self, observation: Observation) {
        self.0.record.add("discovery", self.0.proxy, "", observation);
    }

    /// Moves the service to another address: the old one refuses connections and its open connections end.
    pub fn change_address(&self) -> io::Result<()> {
        let listener = listener::bind(([127, 0, 0, 1], 0).into())?;
        self.0.addr.set(listener.local_addr()?);
        self.0.moves.set(self.0.moves.get() + 1);
        if self.0.condition.get() != Condition::Down {
            *self.0.listener.borrow_mut() = Some(listener);
            self.accept();
        }
        Ok(())
    }

    /// Resets the open connections and refuses new ones from now on.
    pub fn go_down(&self) {
        self.0.condition.set(Condition::Down);
        self.note(Observation::Reachable(false));
        self.0.listener.borrow_mut().take();
    }

    /// Accepts connections but sends nothing from now on.
    pub fn go_silent(&self) {
        self.0.condition.set(Condition::Silent);
        self.note(Observation::Reachable(false));
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
        self.note(Observation::Reachable(true));
        Ok(())
    }

    fn accept(&self) {
        let discovery = self.clone();
        let accepting = async move {
            let Some(listener) = discovery.0.listener.borrow().clone() else { return };
            let moves = discovery.0.moves.get();
            loop {
                let accepted = smol::future::or(async { listener.accept().await.ok() }, async {
                    while discovery.0.condition.get() != Condition::Down && discovery.0.moves.get() == moves {
                        sleep(LOOK).await;
                    }
                    None
                });
                let Some((stream, _)) = accepted.await else { return };
                let served = discovery.clone();
                discovery.0.tasks.spawn(async move { drop(served.serve(stream, moves).await) }).detach();
            }
        };
        self.0.tasks.spawn(accepting).detach();
    }

    /// Waits until the service may send; returns an error if the connection must end.
    async fn may_speak(&self, moves: u64) -> io::Result<()> {
        loop {
            if self.0.moves.get() != moves {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            match self.0.condition.get() {
                Condition::Working => return Ok(()),
                Condition::Down => return Err(io::ErrorKind::ConnectionReset.into()),
                Condition::Silent => sleep(LOOK).await,
            }
        }
    }

    async fn serve(&self, mut stream: TcpStream, moves: u64) -> io::Result<()> {
        let mut asked = String::new();
        BufReader::new(stream.clone()).read_line(&mut asked).await?;
        let after = asked.trim().strip_prefix("after ").and_then(|no| no.parse::<usize>().ok());
        let mut said = after.ok_or(io::ErrorKind::InvalidData)?;
        let mut spoken = now();
        loop {
            self.may_speak(moves).await?;
            let new: Vec<_> = self.0.events.borrow().iter().skip(said).cloned().collect();
            for (event, listed) in new {
                said += 1;
                stream.write_all(format!("{event}\n").as_bytes()).await?;
                spoken = now();
                for line in listed {
                    let ready = line.lifecycle == Lifecycle::Ready;
                    self.note(Observation::Told { exchange: line.id, ready });
                }
            }
            if now() - spoken >= HEARTBEAT {
                stream.write_all(format!("{said}\n").as_bytes()).await?;
                spoken = now();
            }
            sleep(LOOK).await;
        }
    }
}
