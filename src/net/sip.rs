//! The SIP front: a UDP socket, TCP connections in both directions, and the SIP agent that handles the messages of
//! both transports.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::{future, Timer};

use super::clock::{Clock, TimerKind, TimerSender};
use super::conn::{CloseReason, ConnectionBuffers, ConnectionEvent, ConnectionHandle, ReadLimits, Received};
use super::engine::EngineMessage;
use super::platform::MAX_UNHANDLED_CONNECTIONS;
use super::turns::{Turn, Turns};
use super::{post, with_timeout, Executor};
use crate::calls::{CallerCommand, ExchangeCommand};
use crate::interface::*;
use crate::limits::callers::{least_needed, IdleConnection};
use crate::limits::datagrams::DatagramQueue;
use crate::recovery::shutdown::had_time_to_reconnect;
use crate::sip::agent::{Agent, AgentConfig, AgentOutput, AgentTimer};
use crate::sip::header::{Hop, Transport};
use crate::sip::message::{header, Message, MAX_MESSAGE_BYTES};
use crate::sip::transaction::TransactionFailure;
use crate::telemetry;

/// Limit of the messages that wait for one connection to be opened, and of the datagrams that wait to be sent.
const MAX_WAITING_MESSAGES: usize = 256;
/// Time within which a message has to be complete, from its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2200);

/// Time in seconds for which a new connection is left open during a shutdown, for its first request.
const SETTLE_TIME: Secs = 0.1;

/// Messages to the SIP front.
#[derive(Debug)]
pub enum SipFrontMessage {
    /// A command of the call table to a caller.
    ToCaller(CallId, CallerCommand),
    /// A command of the call table to an exchange.
    ToExchange(ExchangeId, CallId, ExchangeCommand),
    /// Datagrams wait in the queue.
    DatagramsWaiting,
    /// A connection was accepted. The turn is kept until it is handled.
    Accepted(TcpStream, SocketAddr, Turn),
    /// An attempt to connect has succeeded or failed.
    Connected(SocketAddr, std::io::Result<TcpStream>),
    /// An event of a connection, given by its remote address and its id.
    Connection(SocketAddr, u64, ConnectionEvent),
    /// A timer of the SIP agent has expired.
    TimerExpired(AgentTimer),
    /// Close the connection, given by its remote address and its id, unless it has carried a valid message.
    CheckUseful(SocketAddr, u64),
    /// No call is left: close the connections, and report to the engine whether something is left to do.
    CheckDrained,
}

/// What the SIP front needs from the rest of the proxy.
pub struct SipFront {
    /// Executor of new actors.
    pub tasks: Executor,
    /// The clock.
    pub clock: Clock,
    /// Mailbox of the engine.
    pub engine: Sender<EngineMessage>,
    /// Mailbox of this front.
    pub mailbox: Sender<SipFrontMessage>,
    /// Mailbox of the clock actor.
    pub timers: TimerSender,
    /// The buffers of all connections.
    pub buffers: Rc<ConnectionBuffers>,
    /// Time limit in seconds for opening a connection.
    pub connect_timeout: Secs,
    /// Limit of connections beyond which none is accepted.
    pub max_accepted: usize,
    /// Limit in bytes of the received datagrams that wait to be handled.
    pub max_datagram_bytes: usize,
}

/// An open connection.
struct SipConnection {
    id: u64,
    handle: ConnectionHandle,
    /// It has carried a valid message.
    useful: bool,
    /// When it last carried one; at first, when it was opened.
    last_active: Time,
}

struct State {
    front: SipFront,
    agent: Agent,
    /// The received datagrams that wait to be handled.
    received: Rc<RefCell<DatagramQueue>>,
    datagrams: Sender<(SocketAddr, Vec<u8>)>,
    connections: BTreeMap<SocketAddr, SipConnection>,
    connecting: BTreeMap<SocketAddr, VecDeque<Message>>,
    next_connection_id: u64,
    /// The long messages of all connections that wait for this front.
    long_messages: Turns,
    /// Since when there is no connection; while there is one, an earlier time.
    unconnected_since: Time,
    /// Number of malformed datagrams received.
    malformed: u64,
}

impl SipFront {
    /// Runs the SIP front until its mailbox is closed.
    pub async fn run(
        self,
        setup: AgentConfig,
        udp: UdpSocket,
        tcp: TcpListener,
        messages: Receiver<SipFrontMessage>,
    ) {
        let (datagrams, datagram_queue) = bounded(MAX_WAITING_MESSAGES);
        self.tasks.spawn("datagram sender", send(udp.clone(), datagram_queue));
        let received = Rc::new(RefCell::new(DatagramQueue::new(self.max_datagram_bytes)));
        self.tasks.spawn("datagram receiver", receive(udp, received.clone(), self.mailbox.clone()));
        self.tasks.spawn("SIP listener", accept(tcp, self.mailbox.clone()));
        let unconnected_since = self.clock.now();
        let mut state = State {
            front: self,
            agent: Agent::new(setup),
            received,
            datagrams,
            connections: BTreeMap::new(),
            connecting: BTreeMap::new(),
            next_connection_id: 0,
            long_messages: Turns::for_long_messages(),
            unconnected_since,
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
            tracing::debug!(%addr, %error, "sending a datagram failed");
        }
    }
}

async fn receive(udp: UdpSocket, queue: Rc<RefCell<DatagramQueue>>, mailbox: Sender<SipFrontMessage>) {
    let mut bytes = vec![0; MAX_MESSAGE_BYTES + 1];
    loop {
        match udp.recv_from(&mut bytes).await {
            Ok((n, addr)) => {
                let was_empty = queue.borrow().is_empty();
                let dropped = queue.borrow_mut().push(addr, bytes[..n].to_vec());
                telemetry::received_datagrams_dropped(dropped);
                if was_empty {
                    post(&mailbox, SipFrontMessage::DatagramsWaiting).await;
                }
            }
            // An earlier datagram met a closed port. Its transaction retransmits it or times out.
            Err(error) => tracing::debug!(%error, "receiving a datagram failed"),
        }
        // While datagrams arrive faster than they are handled, receiving one never waits.
        future::yield_now().await;
    }
}

async fn accept(tcp: TcpListener, mailbox: Sender<SipFrontMessage>) {
    let turns = Turns::new(MAX_UNHANDLED_CONNECTIONS);
    loop {
        match tcp.accept().await {
            Ok((stream, addr)) => {
                post(&mailbox, SipFrontMessage::Accepted(stream, addr, turns.next().await)).await;
            }
            Err(error) => {
                tracing::error!(%error, "accepting a connection failed");
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Whether a call owes a message to the other side: what ends it, and its final answer.
fn is_owed(message: &Message) -> bool {
    let is_final_answer = message.status().is_some_and(|status| status >= 200);
    is_final_answer || matches!(message.method(), Some("BYE" | "ACK" | "CANCEL"))
}

fn tcp(addr: SocketAddr) -> Hop {
    Hop { transport: Transport::Tcp, addr }
}

impl State {
    fn handle_message(&mut self, message: SipFrontMessage, outputs: &mut Vec<AgentOutput>) {
        let now = self.front.clock.now();
        match message {
            SipFrontMessage::ToCaller(id, command) => self.agent.send_to_caller(now, id, command, outputs),
            SipFrontMessage::ToExchange(exchange, id, command) => {
                self.agent.send_to_exchange(now, exchange, id, command, outputs)
            }
            SipFrontMessage::TimerExpired(alarm) => self.agent.on_timer(now, alarm, outputs),
            SipFrontMessage::CheckDrained => self.check_drained(now, outputs),
            SipFrontMessage::DatagramsWaiting => self.handle_datagram(now, outputs),
            SipFrontMessage::Accepted(stream, addr, _turn) => {
                if self.connections.len() >= self.front.max_accepted && !self.make_room(now, outputs) {
                    tracing::warn!(
                        most = self.front.max_accepted,
                        "too many SIP connections: new one closed"
                    );
                    return;
                }
                let connection_id = self.open(now, addr, stream, true);
                self.close_later_if_useless(addr, connection_id);
            }
            SipFrontMessage::CheckUseful(addr, connection_id) => {
                let is_useless =
                    |connection: &SipConnection| connection.id == connection_id && !connection.useful;
                if self.connections.get(&addr).is_some_and(is_useless) {
                    self.close(now, addr, outputs);
                }
            }
            SipFrontMessage::Connected(addr, Ok(stream)) => {
                let waiting = self.connecting.remove(&addr).unwrap_or_default();
                self.open(now, addr, stream, false);
                self.agent.on_connection_opened(now, tcp(addr));
                for message in waiting {
                    self.write(addr, &message);
                }
            }
            SipFrontMessage::Connected(addr, Err(error)) => {
                tracing::info!(%addr, %error, "opening a SIP connection failed");
                self.connecting.remove(&addr);
                let failure = match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => TransactionFailure::Refused,
                    _ => TransactionFailure::Unreachable,
                };
                self.agent.on_connection_failed(now, tcp(addr), failure, outputs);
            }
            SipFrontMessage::Connection(addr, connection_id, event) => {
                if self.connections.get(&addr).is_some_and(|connection| connection.id == connection_id) {
                    self.handle_connection_event(now, addr, event, outputs);
                }
            }
        }
    }

    /// Handles one datagram. The others wait for the messages that are in the mailbox.
    fn handle_datagram(&mut self, now: Time, outputs: &mut Vec<AgentOutput>) {
        let Some((addr, bytes)) = self.received.borrow_mut().pop() else { return };
        if !self.received.borrow().is_empty() {
            // The mailbox is open as long as this front holds a sender of it.
            let _ = self.front.mailbox.try_send(SipFrontMessage::DatagramsWaiting);
        }
        self.datagram(now, addr, &bytes, outputs);
    }

    fn datagram(&mut self, now: Time, addr: SocketAddr, bytes: &[u8], outputs: &mut Vec<AgentOutput>) {
        if bytes.iter().all(|b| matches!(b, b'\r' | b'\n' | 0)) {
            return; // A keep-alive for a NAT.
        }
        let parsed = if bytes.len() > MAX_MESSAGE_BYTES {
            None
        } else {
            Some(Message::parse_known_of_datagram(bytes))
        };
        match parsed {
            Some(Ok(message)) => {
                self.agent.receive(now, Hop { transport: Transport::Udp, addr }, message, outputs);
            }
            Some(Err(fault)) => self.count_malformed(addr, fault.problem),
            None => self.count_malformed(addr, "datagram is too long"),
        }
    }

    fn count_malformed(&mut self, addr: SocketAddr, what: &str) {
        self.malformed += 1;
        tracing::warn!(%addr, what, count = self.malformed, "malformed datagram dropped");
    }

    /// Closes the connections once every release is delivered, and reports whether the front has something left to do. A
    /// set-up that crosses the close is sent again on a new connection, and refused there.
    fn check_drained(&mut self, now: Time, outputs: &mut Vec<AgentOutput>) {
        let delivered = !self.agent.has_pending_releases();
        if delivered {
            let is_new =
                |connection: &SipConnection| !connection.useful && now - connection.last_active < SETTLE_TIME;
            let settled = self.connections.iter().filter(|(_, connection)| !is_new(connection));
            let settled: Vec<SocketAddr> = settled.map(|(addr, _)| *addr).collect();
            settled.into_iter().for_each(|addr| self.close(now, addr, outputs));
        }
        if !self.connections.is_empty() {
            self.unconnected_since = now;
        }
        let pending = !delivered || !had_time_to_reconnect(now, self.unconnected_since);
        // The engine may have ended by the time limit of the releases.
        let _ = self.front.engine.try_send(EngineMessage::SipWork { pending });
    }

    /// Closes the connection that is least needed; returns whether there was one without an open set-up.
    fn make_room(&mut self, now: Time, outputs: &mut Vec<AgentOutput>) -> bool {
        let uses = self.agent.connection_uses();
        let idle = self.connections.iter().filter_map(|(addr, connection)| {
            let current = uses.get(addr).copied().unwrap_or_default();
            let idle = IdleConnection {
                useful: connection.useful,
                carries_calls: current.established > 0,
                last_active: connection.last_active,
            };
            (current.open == 0).then_some((*addr, idle))
        });
        let Some(victim) = least_needed(idle) else { return false };
        tracing::debug!(addr = %victim, "connection limit reached: idle SIP connection closed");
        telemetry::caller_connection_closed("made room");
        self.close(now, victim, outputs);
        true
    }

    fn close(&mut self, now: Time, addr: SocketAddr, outputs: &mut Vec<AgentOutput>) {
        self.unconnected_since = now;
        self.connections.remove(&addr);
        self.agent.on_connection_failed(now, tcp(addr), TransactionFailure::ConnectionLost, outputs);
    }

    /// Schedules the check of an accepted connection.
    fn close_later_if_useless(&self, addr: SocketAddr, connection_id: u64) {
        let mailbox = self.front.mailbox.clone();
        let check = async move {
            Timer::after(MESSAGE_TIMEOUT).await;
            post(&mailbox, SipFrontMessage::CheckUseful(addr, connection_id)).await;
        };
        self.front.tasks.spawn("check of a SIP connection", check);
    }

    fn open(&mut self, now: Time, addr: SocketAddr, stream: TcpStream, is_accepted: bool) -> u64 {
        self.next_connection_id += 1;
        let connection_id = self.next_connection_id;
        let wrap = move |event| SipFrontMessage::Connection(addr, connection_id, event);
        let limits = ReadLimits {
            message_timeout: MESSAGE_TIMEOUT,
            long_messages: self.long_messages.clone(),
            waits_for_peer: is_accepted,
        };
        let (tasks, buffers) = (&self.front.tasks, &self.front.buffers);
        let handle = ConnectionHandle::open(tasks, buffers, stream, self.front.mailbox.clone(), limits, wrap);
        let connection = SipConnection { id: connection_id, handle, useful: false, last_active: now };
        self.connections.insert(addr, connection);
        connection_id
    }

    fn write(&mut self, addr: SocketAddr, message: &Message) -> bool {
        self.connections.get(&addr).is_some_and(|connection| connection.handle.write(message))
    }

    fn handle_connection_event(
        &mut self,
        now: Time,
        addr: SocketAddr,
        event: ConnectionEvent,
        outputs: &mut Vec<AgentOutput>,
    ) {
        match event {
            ConnectionEvent::Received(received) => self.handle_received(now, addr, received, outputs),
            ConnectionEvent::Ended(reason) => {
                if !matches!(reason, CloseReason::Closed) {
                    tracing::info!(%addr, over = ?reason, "SIP connection lost");
                }
                self.close(now, addr, outputs);
            }
        }
    }

    fn handle_received(
        &mut self,
        now: Time,
        addr: SocketAddr,
        received: Received,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let (parsed, _queued) = received.parse();
        match parsed {
            Ok(message) => {
                if let Some(connection) = self.connections.get_mut(&addr) {
                    (connection.useful, connection.last_active) = (true, now);
                }
                self.agent.receive(now, tcp(addr), message, outputs);
            }
            Err(fault) => {
                tracing::warn!(%addr, %fault, "malformed SIP message");
                let has_call_id = header(&fault.headers, "Call-ID").is_some_and(|id| !id.is_empty());
                if has_call_id && !fault.is_response {
                    self.write(addr, &Message::response(400, "Bad Request", &fault.headers));
                } else {
                    // No response is possible, so the connection is closed.
                    self.close(now, addr, outputs);
                }
            }
        }
    }

    /// Carries out the outputs of the SIP agent.
    async fn apply_outputs(&mut self, outputs: &mut Vec<AgentOutput>) {
        for output in std::mem::take(outputs) {
            match output {
                AgentOutput::Send(hop, alt, message) => self.send(hop, alt, message),
                AgentOutput::StartTimer(at, alarm) => {
                    if self.front.timers.try_send((at, TimerKind::Sip(alarm))).is_err() {
                        tracing::error!("the clock actor has ended: timer lost");
                    }
                }
                AgentOutput::CallTable(input) => post(&self.front.engine, EngineMessage::Input(input)).await,
            }
        }
    }

    /// Sends a message to a hop. Over TCP it uses an open connection to the hop or to `alt`, or opens a new one.
    fn send(&mut self, hop: Hop, alt: Option<Hop>, message: Message) {
        if hop.transport == Transport::Udp {
            if self.datagrams.try_send((hop.addr, message.to_bytes())).is_err() {
                // The transaction retransmits it (RFC 3261, 17.1.1.2).
                telemetry::datagram_dropped();
                tracing::warn!(addr = %hop.addr, "too many datagrams wait to be sent: one dropped");
            }
            return;
        }
        let alt = alt.filter(|alt| alt.transport == Transport::Tcp).map(|alt| alt.addr);
        if self.write(hop.addr, &message) || alt.is_some_and(|alt| self.write(alt, &message)) {
            return;
        }
        // A response goes to the address in its Via (RFC 3261, 18.2.2), a request to the address of its URI.
        let addr = alt.filter(|_| message.status().is_some()).unwrap_or(hop.addr);
        let connecting = self.connecting.contains_key(&addr);
        let waiting = self.connecting.entry(addr).or_default();
        // What a call owes is limited by the number of calls, and nothing sends it again over TCP.
        if is_owed(&message) || waiting.len() < MAX_WAITING_MESSAGES {
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
        self.front.tasks.spawn("SIP connect", connect);
    }
}
