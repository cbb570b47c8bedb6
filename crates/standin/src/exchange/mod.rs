//! A stand-in exchange: answers set-ups according to the called number, reports the state of its trunk groups,
//! releases its calls after their holding time, and simulates faults of exchanges.
//!
//! The exchange listens on one address per proxy, so that the address identifies the trunk group of a connection.

mod calls;
mod faults;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use event_listener::Event;
pub use faults::Misbehaviour;
use mallowring::sip::message::Message;
use smol::channel::{bounded, unbounded, Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::stream::{Stream, StreamExt};

use crate::listener::Backlog;
use crate::messages::{self, call_id_of, MessageReader};
use crate::record::{now, Observation, Record};
use crate::{listener, sleep, Executor};

/// Interval in seconds at which an address is bound again that its previous listener is about to release.
const REBIND_INTERVAL_S: f64 = 0.002;
/// Size in bytes of each write, and the pause in seconds after it, while [`Misbehaviour::fragmented_writes`] is set.
const FRAGMENT_BYTES: usize = 24;
const FRAGMENT_PAUSE_S: f64 = 0.001;
/// Most messages of a connection that have arrived and are not handled. Further ones stay in the socket.
const MAX_UNREAD_MESSAGES: usize = 64;
/// Circuits of each trunk group.
const CIRCUITS_PER_GROUP: u32 = 400;

/// State of the machine that the exchange runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// The machine works.
    Working,
    /// Connections are accepted and stay open, but nothing is read or written.
    Hung,
    /// Connections stay open but silent, and new connection attempts time out.
    CutOff,
    /// No process is running: connections are refused.
    Dead,
}

/// One connection from a proxy.
struct Connection {
    stream: TcpStream,
    outgoing: Sender<Vec<u8>>,
}

/// The listening address for one proxy, and the connections and circuits of its trunk group.
struct Port {
    addr: SocketAddr,
    listener: RefCell<Option<TcpListener>>,
    connections: RefCell<BTreeMap<u64, Connection>>,
    backlog: RefCell<Backlog>,
    /// Releases to send on the next connection to be opened.
    releases_for_next_connection: RefCell<Vec<Message>>,
    /// Releases that could not be sent while the machine was down.
    delayed_releases: RefCell<Vec<Message>>,
    circuits_used: Cell<u32>,
}

/// A pending set-up or an established call.
struct Call {
    port: usize,
    connection: u64,
    established: bool,
    /// A system in front of the exchange has answered the set-up with a failure.
    failed_in_front: bool,
}

struct Inner {
    executor: Executor,
    record: Record,
    name: String,
    number: i64,
    ports: Vec<Port>,
    condition: Cell<Condition>,
    /// New connections are accepted; otherwise they are refused.
    accepting: Cell<bool>,
    /// Number of processes that have run at these addresses before; connections of earlier processes stay silent.
    generation: Cell<u64>,
    /// Connections of processes with a lower number than this have been reset.
    reset_below_generation: Cell<u64>,
    next_connection: Cell<u64>,
    misbehaviour: Cell<Misbehaviour>,
    /// Connections on which nothing is read or written any more.
    silenced: RefCell<BTreeSet<u64>>,
    /// Notified of changes of the fields above that tasks wait for.
    changed: Event,
    calls: RefCell<BTreeMap<String, Call>>,
    /// Time at which a call was last released, in seconds of Unix time.
    last_release_at: Cell<f64>,
}

/// A stand-in exchange; clones share the same state.
#[derive(Clone)]
pub struct Exchange(Rc<Inner>);

/// Binds an address that its previous listener is about to release.
async fn bind_again(addr: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..100 {
        match listener::bind(addr) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(REBIND_INTERVAL_S).await,
            other => return other,
        }
    }
    listener::bind(addr)
}

impl Exchange {
    /// Starts an exchange with the given number that listens on one address per proxy.
    pub fn start(
        executor: &Executor,
        record: &Record,
        name: &str,
        number: i64,
        proxies: usize,
    ) -> io::Result<Exchange> {
        let mut ports = Vec::new();
        let ip = listener::unused_ip();
        for _ in 0..proxies {
            let listener = listener::bind((ip, 0).into())?;
            ports.push(Port {
                addr: listener.local_addr()?,
                listener: RefCell::new(Some(listener)),
                connections: RefCell::default(),
                backlog: RefCell::default(),
                releases_for_next_connection: RefCell::default(),
                delayed_releases: RefCell::default(),
                circuits_used: Cell::new(0),
            });
        }
        let exchange = Exchange(Rc::new(Inner {
            executor: executor.clone(),
            record: record.clone(),
            name: name.to_owned(),
            number,
            ports,
            condition: Cell::new(Condition::Working),
            accepting: Cell::new(true),
            generation: Cell::new(0),
            reset_below_generation: Cell::new(0),
            next_connection: Cell::new(0),
            misbehaviour: Cell::default(),
            silenced: RefCell::default(),
            changed: Event::new(),
            calls: RefCell::default(),
            last_release_at: Cell::new(0.0),
        }));
        exchange.accept_on_all_ports();
        Ok(exchange)
    }

    /// Returns the name of the exchange, as used in the record.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Returns the number of the exchange.
    pub fn number(&self) -> i64 {
        self.0.number
    }

    /// Returns the address at which a proxy, counted from 0, connects to the exchange.
    pub fn addr(&self, proxy: usize) -> SocketAddr {
        self.0.ports[proxy].addr
    }

    /// Returns the number of connections that a proxy has to the current process.
    pub fn connections(&self, proxy: usize) -> usize {
        self.0.ports[proxy].connections.borrow().len()
    }

    /// Returns the number of established calls.
    pub fn established_calls(&self) -> usize {
        self.0.calls.borrow().values().filter(|call| call.established).count()
    }

    /// Returns whether a call is established at the exchange.
    pub fn holds_call(&self, id: &str) -> bool {
        self.0.calls.borrow().get(id).is_some_and(|call| call.established)
    }

    /// Returns whether the exchange released a call within the last `seconds`.
    pub fn released_within(&self, seconds: f64) -> bool {
        now() - self.0.last_release_at.get() <= seconds
    }

    /// Returns the number of pending set-ups.
    pub fn pending_set_ups(&self) -> usize {
        self.0.calls.borrow().values().filter(|call| !call.established).count()
    }

    /// Records that a cold process of the exchange has started.
    pub fn record_cold_start(&self) {
        self.record_event(Observation::StartedCold);
    }

    /// Records an observation that concerns no single call or proxy.
    fn record_event(&self, observation: Observation) {
        self.0.record.add(&self.0.name, 0, "", observation);
    }

    fn record_call_event(&self, proxy: usize, call: &str, observation: Observation) {
        self.0.record.add(&self.0.name, proxy, call, observation);
    }

    fn accept_on_all_ports(&self) {
        for port_index in 0..self.0.ports.len() {
            let (exchange, generation) = (self.clone(), self.0.generation.get());
            self.0.executor.spawn(async move { exchange.accept(port_index, generation).await }).detach();
        }
    }

    async fn accept(&self, port_index: usize, generation: u64) {
        let Some(listener) = self.0.ports[port_index].listener.borrow().clone() else { return };
        loop {
            let accepted = smol::future::or(async { listener.accept().await.ok() }, async {
                // Stop accepting as soon as another process has replaced this one.
                let is_over = || self.0.generation.get() != generation || !self.0.accepting.get();
                self.wait_until(is_over).await;
                None
            });
            let Some((stream, _)) = accepted.await else { return };
            if self.0.ports[port_index].backlog.borrow().is_filler(&stream) {
                continue;
            }
            let exchange = self.clone();
            let serving = async move { exchange.serve(port_index, stream, generation).await };
            self.0.executor.spawn(serving).detach();
            self.wait_until_reachable(generation).await;
        }
    }

    /// Waits until the machine works. Never returns if this process has been replaced and left its connections open.
    async fn wait_until_working(&self, generation: u64) {
        let works = || {
            self.0.condition.get() == Condition::Working && self.0.generation.get() == generation
                || generation < self.0.reset_below_generation.get()
        };
        self.wait_until(works).await;
    }

    /// Waits until the machine is connected to the network. Never returns if this process has been replaced.
    async fn wait_until_reachable(&self, generation: u64) {
        let is_reachable = || {
            self.0.condition.get() != Condition::CutOff && self.0.generation.get() == generation
                || generation < self.0.reset_below_generation.get()
        };
        self.wait_until(is_reachable).await;
    }

    /// Waits for a condition that [`Inner::changed`] is notified of.
    async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            self.0.changed.listen().await;
        }
    }

    fn set_condition(&self, condition: Condition) -> Condition {
        let before = self.0.condition.replace(condition);
        self.0.changed.notify(usize::MAX);
        before
    }

    /// Counts another process at these addresses.
    fn start_generation(&self) {
        self.0.generation.set(self.0.generation.get() + 1);
        self.0.changed.notify(usize::MAX);
    }

    fn set_accepting(&self, accepting: bool) {
        self.0.accepting.set(accepting);
        self.0.changed.notify(usize::MAX);
    }

    async fn serve(&self, port_index: usize, stream: TcpStream, generation: u64) {
        let _ = stream.set_nodelay(true);
        let arrivals = self.receive_ahead(port_index, stream.clone(), generation);
        sleep(self.0.misbehaviour.get().accept_delay).await;
        self.wait_until_working(generation).await;
        if self.0.generation.get() != generation {
            return;
        }
        let connection = self.0.next_connection.get();
        self.0.next_connection.set(connection + 1);
        let (outgoing, queue) = unbounded();
        let port = &self.0.ports[port_index];
        port.connections.borrow_mut().insert(connection, Connection { stream: stream.clone(), outgoing });
        let (exchange, writer) = (self.clone(), stream.clone());
        let writing = async move { exchange.write_queued(connection, writer, queue).await };
        self.0.executor.spawn(writing).detach();
        self.write(port_index, connection, &self.trunk_group_state(port_index));
        for message in port.releases_for_next_connection.borrow_mut().drain(..) {
            self.record_call_event(port_index, &call_id_of(&message), Observation::ReleaseSent);
            self.write(port_index, connection, &message);
        }
        self.handle_arrivals(port_index, connection, arrivals, generation).await;
    }

    async fn handle_arrivals(
        &self,
        port_index: usize,
        connection: u64,
        mut arrivals: impl Stream<Item = (f64, Message)> + Unpin,
        generation: u64,
    ) {
        while let Some((arrived_at, message)) = arrivals.next().await {
            sleep(arrived_at + self.0.misbehaviour.get().read_delay - now()).await;
            self.wait_until_working(generation).await;
            self.wait_until(|| !self.0.silenced.borrow().contains(&connection)).await;
            if self.0.generation.get() != generation {
                return;
            }
            self.handle_message(port_index, connection, message);
        }
        self.0.ports[port_index].connections.borrow_mut().remove(&connection);
        self.0.silenced.borrow_mut().remove(&connection);
        self.cancel_pending_on(port_index, connection);
    }

    /// Receives the messages of a connection as they arrive, ahead of their handling, and records when each set-up has
    /// arrived. The stream ends when the connection does.
    fn receive_ahead(
        &self,
        port_index: usize,
        stream: TcpStream,
        generation: u64,
    ) -> impl Stream<Item = (f64, Message)> + Unpin + use<> {
        let (arrivals, queue) = bounded(MAX_UNREAD_MESSAGES);
        let exchange = self.clone();
        let receiving = async move {
            let mut reader = MessageReader::new(stream);
            while let Some(message) = reader.next().await {
                exchange.wait_until_reachable(generation).await;
                // The process has ended: nothing reaches it any more.
                if exchange.0.generation.get() != generation {
                    return;
                }
                if message.method() == Some("INVITE") {
                    exchange.record_call_event(port_index, &call_id_of(&message), Observation::SetUpArrived);
                }
                if arrivals.send((now(), message)).await.is_err() {
                    return;
                }
            }
        };
        self.0.executor.spawn(receiving).detach();
        Box::pin(queue)
    }

    async fn write_queued(&self, connection: u64, mut stream: TcpStream, queue: Receiver<Vec<u8>>) {
        while let Ok(bytes) = queue.recv().await {
            let fragment_bytes =
                if self.0.misbehaviour.get().fragmented_writes { FRAGMENT_BYTES } else { bytes.len().max(1) };
            for bytes in bytes.chunks(fragment_bytes) {
                if self.0.silenced.borrow().contains(&connection) || stream.write_all(bytes).await.is_err() {
                    return;
                }
                if fragment_bytes == FRAGMENT_BYTES {
                    sleep(FRAGMENT_PAUSE_S).await;
                }
            }
        }
    }

    fn trunk_group_state(&self, port_index: usize) -> Message {
        let used = self.0.ports[port_index].circuits_used.get();
        messages::trunk_group_state(CIRCUITS_PER_GROUP.saturating_sub(used), CIRCUITS_PER_GROUP)
    }

    /// Sends the state of a trunk group on all its connections.
    fn send_trunk_group_state(&self, port_index: usize) {
        if self.0.condition.get() != Condition::Working {
            return;
        }
        let state = self.trunk_group_state(port_index);
        let open: Vec<u64> = self.0.ports[port_index].connections.borrow().keys().copied().collect();
        for connection in open {
            self.write(port_index, connection, &state);
        }
    }

    fn write(&self, port_index: usize, connection: u64, message: &Message) {
        self.write_bytes(port_index, connection, message.to_bytes());
    }

    fn write_bytes(&self, port_index: usize, connection: u64, bytes: Vec<u8>) {
        if let Some(connection) = self.0.ports[port_index].connections.borrow().get(&connection) {
            // A closed connection needs no further messages.
            let _ = connection.outgoing.try_send(bytes);
        }
    }
}
