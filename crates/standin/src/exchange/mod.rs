//! A stand-in exchange: answers set-ups as the number called says, tells the state of its trunk groups, releases its
//! calls at their end, and fails in the ways in which exchanges fail.
//!
//! It listens at one address for each proxy, so that it knows whose trunk group a connection is about.

mod calls;
mod faults;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

pub use faults::Misbehaviour;
use mallowring::sip::message::Message;
use smol::channel::{unbounded, Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use socket2::Socket;

use crate::messages::{self, call_id, MessageReader};
use crate::record::{now, Observation, Record};
use crate::{listener, sleep, Executor};

/// Between two looks of a task that is held up.
const LOOK: f64 = 0.002;
/// Bytes of a piece, and the pause after it, where it writes in pieces.
const PIECE: usize = 24;
const PIECE_PAUSE: f64 = 0.001;
/// Circuits of each trunk group.
const CIRCUITS: u32 = 400;

/// What the machine does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// It works.
    Working,
    /// Connections stay open and come up, and nothing is read or said.
    Hung,
    /// Connections stay open and silent, and new ones never come up.
    CutOff,
    /// It is not there: connections are refused.
    Dead,
}

/// One connection from a proxy.
struct Connection {
    stream: TcpStream,
    outgoing: Sender<Vec<u8>>,
}

/// The address at which one proxy meets the exchange.
struct Port {
    addr: SocketAddr,
    listener: RefCell<Option<TcpListener>>,
    connections: RefCell<BTreeMap<u64, Connection>>,
    /// Our own connections that keep others from coming up.
    fillers: RefCell<Vec<Socket>>,
    /// Releases for the next connection to be opened.
    releases: RefCell<Vec<Message>>,
    /// Releases that could not be said while the machine was held up.
    unsaid: RefCell<Vec<Message>>,
    circuits_used: Cell<u32>,
}

struct Call {
    port: usize,
    connection: u64,
    stands: bool,
}

struct Inner {
    tasks: Executor,
    record: Record,
    name: String,
    number: i64,
    ports: Vec<Port>,
    condition: Cell<Condition>,
    /// Counts the processes that have run at these addresses; connections of earlier ones stay silent.
    process: Cell<u64>,
    /// Connections of processes before this one are reset.
    reset_before: Cell<u64>,
    next_connection: Cell<u64>,
    misbehaviour: Cell<Misbehaviour>,
    /// Connections on which nothing is read or written any longer.
    silenced: RefCell<BTreeSet<u64>>,
    calls: RefCell<BTreeMap<String, Call>>,
    /// When a call last came to its end.
    released_at: Cell<f64>,
}

/// A stand-in exchange; its copies are the same one.
#[derive(Clone)]
pub struct Exchange(Rc<Inner>);

/// Binds an address whose last owner is about to leave.
async fn bind_again(addr: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..100 {
        match listener::bind(addr) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => sleep(LOOK).await,
            other => return other,
        }
    }
    listener::bind(addr)
}

impl Exchange {
    /// Starts an exchange of a number with one address for each proxy.
    pub fn start(
        tasks: &Executor,
        record: &Record,
        name: &str,
        number: i64,
        proxies: usize,
    ) -> io::Result<Exchange> {
        let mut ports = Vec::new();
        for _ in 0..proxies {
            let listener = listener::bind(([127, 0, 0, 1], 0).into())?;
            ports.push(Port {
                addr: listener.local_addr()?,
                listener: RefCell::new(Some(listener)),
                connections: RefCell::default(),
                fillers: RefCell::default(),
                releases: RefCell::default(),
                unsaid: RefCell::default(),
                circuits_used: Cell::new(0),
            });
        }
        let exchange = Exchange(Rc::new(Inner {
            tasks: tasks.clone(),
            record: record.clone(),
            name: name.to_owned(),
            number,
            ports,
            condition: Cell::new(Condition::Working),
            process: Cell::new(0),
            reset_before: Cell::new(0),
            next_connection: Cell::new(0),
            misbehaviour: Cell::default(),
            silenced: RefCell::default(),
            calls: RefCell::default(),
            released_at: Cell::new(0.0),
        }));
        exchange.accept_on_all_ports();
        Ok(exchange)
    }

    /// Its name, as the record has it.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Its number.
    pub fn number(&self) -> i64 {
        self.0.number
    }

    /// Where a proxy, counted from 0, meets it.
    pub fn addr(&self, proxy: usize) -> SocketAddr {
        self.0.ports[proxy].addr
    }

    /// The connections that a proxy holds to the process that runs now.
    pub fn connections(&self, proxy: usize) -> usize {
        self.0.ports[proxy].connections.borrow().len()
    }

    /// The calls that stand.
    pub fn established_calls(&self) -> usize {
        self.0.calls.borrow().values().filter(|call| call.stands).count()
    }

    /// Whether a call came to its end here within so many seconds.
    pub fn released_within(&self, seconds: f64) -> bool {
        now() - self.0.released_at.get() <= seconds
    }

    /// Set-ups that are open.
    pub fn pending_set_ups(&self) -> usize {
        self.0.calls.borrow().values().filter(|call| !call.stands).count()
    }

    /// Its process has just been started and is cold.
    pub fn record_cold_start(&self) {
        self.note(Observation::StartedCold);
    }

    /// Notes something that is of no single call or proxy.
    fn note(&self, observation: Observation) {
        self.0.record.add(&self.0.name, 0, "", observation);
    }

    fn note_call(&self, proxy: usize, call: &str, observation: Observation) {
        self.0.record.add(&self.0.name, proxy, call, observation);
    }

    fn accept_on_all_ports(&self) {
        for ix in 0..self.0.ports.len() {
            let (exchange, process) = (self.clone(), self.0.process.get());
            self.0.tasks.spawn(async move { exchange.accept(ix, process).await }).detach();
        }
    }

    async fn accept(&self, ix: usize, process: u64) {
        let Some(listener) = self.0.ports[ix].listener.borrow().clone() else { return };
        loop {
            let accepted = smol::future::or(async { listener.accept().await.ok() }, async {
                // Whoever else listens here takes over.
                while self.0.process.get() == process {
                    sleep(LOOK).await;
                }
                None
            });
            let Some((stream, _)) = accepted.await else { return };
            let exchange = self.clone();
            let served = async move { exchange.serve(ix, stream, process).await };
            self.0.tasks.spawn(served).detach();
            self.works(process).await;
        }
    }

    /// Waits until the machine works; for ever where this process runs no longer and left its connections open.
    async fn works(&self, process: u64) {
        while self.0.condition.get() != Condition::Working || self.0.process.get() != process {
            if process < self.0.reset_before.get() {
                return;
            }
            sleep(LOOK).await;
        }
    }

    async fn serve(&self, ix: usize, stream: TcpStream, process: u64) {
        let _ = stream.set_nodelay(true);
        sleep(self.0.misbehaviour.get().accept_delay).await;
        self.works(process).await;
        if self.0.process.get() != process {
            return;
        }
        let connection = self.0.next_connection.get();
        self.0.next_connection.set(connection + 1);
        let (outgoing, queue) = unbounded();
        let port = &self.0.ports[ix];
        port.connections.borrow_mut().insert(connection, Connection { stream: stream.clone(), outgoing });
        let (exchange, way_out) = (self.clone(), stream.clone());
        let written = async move { exchange.write_all(connection, way_out, queue).await };
        self.0.tasks.spawn(written).detach();
        self.write(ix, connection, &self.state(ix));
        for message in port.releases.borrow_mut().drain(..) {
            self.note_call(ix, &call_id(&message), Observation::ReleaseSent);
            self.write(ix, connection, &message);
        }
        self.read_all(ix, connection, stream, process).await;
    }

    async fn read_all(&self, ix: usize, connection: u64, stream: TcpStream, process: u64) {
        let mut reader = MessageReader::new(stream);
        while let Some(message) = reader.next().await {
            self.works(process).await;
            while self.0.silenced.borrow().contains(&connection) {
                sleep(LOOK).await;
            }
            if self.0.process.get() != process {
                return;
            }
            self.take(ix, connection, message);
        }
        self.0.ports[ix].connections.borrow_mut().remove(&connection);
        self.0.silenced.borrow_mut().remove(&connection);
        self.give_up_open_on(ix, connection);
    }

    async fn write_all(&self, connection: u64, mut stream: TcpStream, queue: Receiver<Vec<u8>>) {
        while let Ok(bytes) = queue.recv().await {
            let piece = if self.0.misbehaviour.get().fragmented_writes { PIECE } else { bytes.len().max(1) };
            for bytes in bytes.chunks(piece) {
                if self.0.silenced.borrow().contains(&connection) || stream.write_all(bytes).await.is_err() {
                    return;
                }
                if piece == PIECE {
                    sleep(PIECE_PAUSE).await;
                }
            }
        }
    }

    fn state(&self, ix: usize) -> Message {
        let used = self.0.ports[ix].circuits_used.get();
        messages::trunk_group_state(CIRCUITS.saturating_sub(used), CIRCUITS)
    }

    /// A state goes to all connections about its trunk group.
    fn send_state(&self, ix: usize) {
        if self.0.condition.get() != Condition::Working {
            return;
        }
        let state = self.state(ix);
        let open: Vec<u64> = self.0.ports[ix].connections.borrow().keys().copied().collect();
        for connection in open {
            self.write(ix, connection, &state);
        }
    }

    fn write(&self, ix: usize, connection: u64, message: &Message) {
        self.write_bytes(ix, connection, message.bytes());
    }

    fn write_bytes(&self, ix: usize, connection: u64, bytes: Vec<u8>) {
        if let Some(connection) = self.0.ports[ix].connections.borrow().get(&connection) {
            // Whoever has left need not be told.
            let _ = connection.outgoing.try_send(bytes);
        }
    }
}
