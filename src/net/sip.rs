//! The actor of the SIP front: one socket for datagrams, connections in and out, and the agent that is the
//! same for both.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::Timer;

use super::clock::{Clock, TimerKind, TimerSender};
use super::conn::{CloseReason, ConnectionEvent, ConnectionHandle, SendQueues};
use super::engine::EngineMessage;
use super::{post, with_timeout, Tasks};
use crate::calls::{CallerCommand, ExchangeCommand};
use crate::interface::*;
use crate::sip::agent::{Agent, Alarm, Output, Setup};
use crate::sip::header::{Hop, Transport};
use crate::sip::message::{header, Message, MOST};
use crate::sip::transaction::Failure;
use crate::telemetry;

/// Messages that may wait for a connection that is being made, and datagrams for the socket.
const MAX_WAITING_MESSAGES: usize = 256;
/// The longest time from the first byte of a message to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2200);

/// What the actor is told.
#[derive(Debug)]
pub enum SipFrontMessage {
    /// The core answers a caller.
    ToCaller(CallId, CallerCommand),
    /// The core tells an exchange.
    ToExchange(ExchangeId, CallId, ExchangeCommand),
    /// A datagram has come in.
    Datagram(SocketAddr, Vec<u8>),
    /// Somebody has connected.
    Accepted(TcpStream, SocketAddr),
    /// A connection of ours has come up, or has not.
    Connected(SocketAddr, std::io::Result<TcpStream>),
    /// A connection, by its far end and its number, brings something.
    Connection(SocketAddr, u64, ConnectionEvent),
    /// A timer has run down.
    TimerExpired(Alarm),
}

/// What the actor needs.
pub struct SipFront {
    /// Where new actors start.
    pub tasks: Tasks,
    /// Its clock.
    pub clock: Clock,
    /// The core.
    pub engine: Sender<EngineMessage>,
    /// The own mailbox.
    pub mailbox: Sender<SipFrontMessage>,
    /// The clock's actor.
    pub timers: TimerSender,
    /// What waits to be written on all connections.
    pub send_queues: Rc<SendQueues>,
    /// How long a connection may take to come up.
    pub connect_timeout: Secs,
    /// The most connections.
    pub max_connections: usize,
}

struct State {
    front: SipFront,
    agent: Agent,
    datagrams: Sender<(SocketAddr, Vec<u8>)>,
    connections: BTreeMap<SocketAddr, (u64, ConnectionHandle)>,
    connecting: BTreeMap<SocketAddr, VecDeque<Message>>,
    next_connection_id: u64,
    /// Datagrams that could not be read.
    malformed: u64,
}

impl SipFront {
    /// Runs for ever.
    pub async fn run(
        self,
        setup: Setup,
        udp: UdpSocket,
        tcp: TcpListener,
        messages: Receiver<SipFrontMessage>,
    ) {
        let (datagrams, datagram_queue) = bounded(MAX_WAITING_MESSAGES);
        self.tasks.spawn(send(udp.clone(), datagram_queue)).detach();
        self.tasks.spawn(receive(udp, self.mailbox.clone())).detach();
        self.tasks.spawn(accept(tcp, self.mailbox.clone())).detach();
        let mut state = State {
            front: self,
            agent: Agent::new(setup),
            datagrams,
            connections: BTreeMap::new(),
            connecting: BTreeMap::new(),
            next_connection_id: 0,
            malformed: 0,
        };
        let mut outputs = Vec::new();
        state.agent.start(&mut outputs);
        state.apply_outputs(&mut outputs).await;
        while let Ok(message) = messages.recv().await {
            state.handle_message(message, &mut outputs);
            state.apply_outputs(&mut outputs).await;
        }
    }
}

async fn send(udp: UdpSocket, datagram_queue: Receiver<(SocketAddr, Vec<u8>)>) {
    while let Ok((addr, bytes)) = datagram_queue.recv().await {
        if let Err(error) = udp.send_to(&bytes, addr).await {
            tracing::debug!(%addr, %error, "a datagram could not be sent");
        }
    }
}

async fn receive(udp: UdpSocket, mailbox: Sender<SipFrontMessage>) {
    let mut bytes = vec![0; MOST + 1];
    loop {
        match udp.recv_from(&mut bytes).await {
            Ok((n, addr)) => post(&mailbox, SipFrontMessage::Datagram(addr, bytes[..n].to_vec())).await,
            // An earlier datagram met a closed port; its timers see to it.
            Err(error) => tracing::debug!(%error, "no datagram could be received"),
        }
    }
}

async fn accept(tcp: TcpListener, mailbox: Sender<SipFrontMessage>) {
    loop {
        match tcp.accept().await {
            Ok((stream, addr)) => post(&mailbox, SipFrontMessage::Accepted(stream, addr)).await,
            Err(error) => {
                tracing::error!(%error, "no connection could be accepted");
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

fn tcp(addr: SocketAddr) -> Hop {
    Hop { transport: Transport::Tcp, addr }
}

impl State {
    fn handle_message(&mut self, message: SipFrontMessage, outputs: &mut Vec<Output>) {
        let now = self.front.clock.now();
        match message {
            SipFrontMessage::ToCaller(id, command) => self.agent.near(now, id, command, outputs),
            SipFrontMessage::ToExchange(exchange, id, command) => {
                self.agent.far(now, exchange, id, command, outputs)
            }
            SipFrontMessage::TimerExpired(alarm) => self.agent.fired(now, alarm, outputs),
            SipFrontMessage::Datagram(addr, bytes) => self.datagram(now, addr, &bytes, outputs),
            SipFrontMessage::Accepted(stream, addr) => {
                if self.connections.len() >= self.front.max_connections {
                    tracing::warn!(
                        most = self.front.max_connections,
                        "too many SIP connections: one is closed"
                    );
                    return;
                }
                self.open(addr, stream);
            }
            SipFrontMessage::Connected(addr, Ok(stream)) => {
                let waiting = self.connecting.remove(&addr).unwrap_or_default();
                self.open(addr, stream);
                for message in waiting {
                    self.write(addr, &message);
                }
            }
            SipFrontMessage::Connected(addr, Err(error)) => {
                tracing::info!(%addr, %error, "no SIP connection came up");
                self.connecting.remove(&addr);
                self.agent.broken(now, tcp(addr), Failure::Unreached, outputs);
            }
            SipFrontMessage::Connection(addr, connection_id, event) => {
                if self.connections.get(&addr).is_some_and(|(current_id, _)| *current_id == connection_id) {
                    self.handle_connection_event(now, addr, event, outputs);
                }
            }
        }
    }

    fn datagram(&mut self, now: Time, addr: SocketAddr, bytes: &[u8], outputs: &mut Vec<Output>) {
        if bytes.iter().all(|b| matches!(b, b'\r' | b'\n' | 0)) {
            return; // Keeps a way through a NAT open.
        }
        let parsed = if bytes.len() > MOST { None } else { Some(Message::datagram(bytes)) };
        match parsed {
            Some(Ok(message)) => {
                self.agent.receive(now, Hop { transport: Transport::Udp, addr }, message, outputs);
            }
            Some(Err(fault)) => self.count_malformed(addr, fault.what),
            None => self.count_malformed(addr, "it is too long"),
        }
    }

    fn count_malformed(&mut self, addr: SocketAddr, what: &str) {
        self.malformed += 1;
        tracing::warn!(%addr, what, count = self.malformed, "malformed datagram dropped");
    }

    fn open(&mut self, addr: SocketAddr, stream: TcpStream) {
        self.next_connection_id += 1;
        let connection_id = self.next_connection_id;
        let wrap = move |event| SipFrontMessage::Connection(addr, connection_id, event);
        let (tasks, send_queues) = (&self.front.tasks, &self.front.send_queues);
        let connection = ConnectionHandle::open(
            tasks,
            send_queues,
            stream,
            self.front.mailbox.clone(),
            MESSAGE_TIMEOUT,
            wrap,
        );
        self.connections.insert(addr, (connection_id, connection));
    }

    fn write(&mut self, addr: SocketAddr, message: &Message) -> bool {
        self.connections.get(&addr).is_some_and(|(_, connection)| connection.write(message))
    }

    fn handle_connection_event(
        &mut self,
        now: Time,
        addr: SocketAddr,
        event: ConnectionEvent,
        outputs: &mut Vec<Output>,
    ) {
        match event {
            ConnectionEvent::Message(Ok(message)) => self.agent.receive(now, tcp(addr), message, outputs),
            ConnectionEvent::Message(Err(fault)) => {
                tracing::warn!(%addr, %fault, "malformed SIP message");
                let has_call_id = header(&fault.headers, "Call-ID").is_some_and(|id| !id.is_empty());
                if has_call_id && !fault.response {
                    self.write(addr, &Message::response(400, "Bad Request", &fault.headers));
                } else {
                    // Nothing can be answered: the connection says so.
                    self.connections.remove(&addr);
                    self.agent.broken(now, tcp(addr), Failure::Broken, outputs);
                }
            }
            ConnectionEvent::Ended(reason) => {
                if !matches!(reason, CloseReason::Closed) {
                    tracing::info!(%addr, over = ?reason, "SIP connection lost");
                }
                self.connections.remove(&addr);
                self.agent.broken(now, tcp(addr), Failure::Broken, outputs);
            }
        }
    }

    async fn apply_outputs(&mut self, outputs: &mut Vec<Output>) {
        for output in std::mem::take(outputs) {
            match output {
                Output::Send(hop, alt, message) => self.send(hop, alt, message),
                Output::Wake(at, alarm) => {
                    if self.front.timers.try_send((at, TimerKind::Sip(alarm))).is_err() {
                        tracing::error!("the clock has ended: an alarm is lost");
                    }
                }
                Output::Core(input) => post(&self.front.engine, EngineMessage::Input(input)).await,
            }
        }
    }

    fn send(&mut self, hop: Hop, alt: Option<Hop>, message: Message) {
        if hop.transport == Transport::Udp {
            if self.datagrams.try_send((hop.addr, message.bytes())).is_err() {
                // The transaction's timers send it again (RFC 3261, 17.1.1.2).
                telemetry::datagram_dropped();
                tracing::warn!(addr = %hop.addr, "datagrams wait too long: one is dropped");
            }
            return;
        }
        let alt = alt.filter(|alt| alt.transport == Transport::Tcp).map(|alt| alt.addr);
        if self.write(hop.addr, &message) || alt.is_some_and(|alt| self.write(alt, &message)) {
            return;
        }
        // A response goes where its Via says (RFC 3261, 18.2.2), a request where its address does.
        let addr = alt.filter(|_| message.status().is_some()).unwrap_or(hop.addr);
        let connecting = self.connecting.contains_key(&addr);
        let waiting = self.connecting.entry(addr).or_default();
        if waiting.len() < MAX_WAITING_MESSAGES {
            waiting.push_back(message);
        }
        if connecting {
            return;
        }
        let mailbox = self.front.mailbox.clone();
        let timeout = Duration::from_secs_f64(self.front.connect_timeout);
        let connect = async move {
            let connected = with_timeout(timeout, TcpStream::connect(addr)).await;
            post(&mailbox, SipFrontMessage::Connected(addr, connected)).await;
        };
        self.front.tasks.spawn(connect).detach();
    }
}
