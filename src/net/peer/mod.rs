//! The actor of one exchange that speaks the platform's protocol. It keeps connections to the exchange open, sends it
//! set-ups and releases, and receives answers, releases and trunk group states.

mod calls;
mod connections;
mod watch;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::channel::{unbounded, Receiver, Sender};
use smol::net::TcpStream;
use smol::Timer;

use super::clock::Clock;
use super::conn::{CloseReason, ConnectionBuffers, ConnectionEvent, ConnectionHandle};
use super::engine::EngineMessage;
use super::permits::{Permit, Permits};
use super::{post, Executor};
use crate::calls::{CallEvent, ExchangeCommand};
use crate::interface::*;
use crate::limits::connections::MAX_PER_EXCHANGE;
use crate::membership::liveness::{CloseKind, FailureDetector, Timing};
use crate::recovery::set_ups::{EndedSetUp, SetUps};
use crate::sip::message::Message;

/// Most connections to one exchange. With several, the failure of one ends only the set-ups pending on it. An
/// exchange sends its state on four connections at most.
pub const MAX_CONNECTIONS: usize = MAX_PER_EXCHANGE;

/// Messages to the actor of an exchange.
#[derive(Debug)]
pub enum PeerActorMessage {
    /// A command of the call table for one call.
    Command(CallId, ExchangeCommand),
    /// The service state on the roster.
    StateChanged(ServiceState),
    /// The start time of its process on the roster.
    StartedAt(Time),
    /// An attempt to connect has succeeded or failed.
    Connected(std::io::Result<TcpStream>, Permit),
    /// An event of a connection, given by its id.
    Connection(u64, ConnectionEvent),
    /// Try again to open the missing connections.
    Reconnect,
    /// Run the liveness check.
    CheckLiveness,
    /// Another exchange needs a connection more urgently: close one if possible.
    GiveUpConnection,
    /// The time to keep the read half of a retired connection open is over.
    RetirementOver(u64),
}

/// Number of releases that wait for a connection to their exchange, over all exchanges.
#[derive(Debug, Default)]
pub struct ReleaseBacklog(Cell<usize>);

impl ReleaseBacklog {
    /// Number of waiting releases.
    pub fn len(&self) -> usize {
        self.0.get()
    }

    /// Whether no release waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Replaces the number of one exchange, which was `before`.
    fn replace(&self, before: usize, after: usize) {
        self.0.set(self.0.get() + after - before);
    }
}

/// Shared by the actors of all exchanges.
#[derive(Clone)]
pub struct PeerContext {
    /// Executor of new actors.
    pub tasks: Executor,
    /// Name of this proxy.
    pub name: Rc<str>,
    /// Time limit in seconds for opening a connection.
    pub connect_timeout: Secs,
    /// The clock.
    pub clock: Clock,
    /// Mailbox of the engine.
    pub engine: Sender<EngineMessage>,
    /// The permits for connections to all exchanges.
    pub permits: Rc<Permits>,
    /// The buffers of all connections.
    pub buffers: Rc<ConnectionBuffers>,
    /// The releases that wait for connections.
    pub release_backlog: Rc<ReleaseBacklog>,
}

/// An open connection to the exchange.
struct PeerConnection {
    handle: ConnectionHandle,
    _permit: Permit,
    /// When it was opened.
    connected_at: Time,
    /// When a message was last received on it; at first, when it was opened.
    last_received: Time,
    /// A message has been received on it.
    has_received: bool,
    /// When an answer to a set-up was last received on it; at first, when it was opened.
    last_answer: Time,
    /// Number of signs of failure since then: set-ups that were overtaken or timed out, missing states, and a first
    /// state that is awaited.
    failure_signs: u32,
}

/// State of the actor.
struct Peer {
    exchange: ExchangeId,
    addr: SocketAddr,
    context: PeerContext,
    own_mailbox: Sender<PeerActorMessage>,
    service_state: ServiceState,
    /// Open connections by id. Events of other connections are ignored, except messages on retired ones.
    connections: BTreeMap<u64, PeerConnection>,
    /// Connections with a closed write half, kept for what the exchange still sends on them.
    retired: BTreeMap<u64, (ConnectionHandle, Permit)>,
    next_connection_id: u64,
    /// Number of connections being opened.
    connecting: usize,
    /// A [`PeerActorMessage::Reconnect`] is scheduled.
    reconnect_scheduled: bool,
    /// The only remaining connection was lost, and no new one has been opened since.
    last_connection_lost: bool,
    /// The start time of the process, as far as discovery has given one.
    started_at: Option<Time>,
    /// The set-ups that wait for a connection or are pending on one.
    set_ups: SetUps,
    /// Calls whose releases wait for a connection. Their number has no limit of its own: each belongs to a call whose
    /// record counted against the limit of the call table.
    queued_releases: Vec<CallId>,
    liveness: FailureDetector,
    /// When the next liveness check is due, if one is scheduled.
    next_check_at: Option<Time>,
    /// The last check ran late and was postponed.
    check_postponed: bool,
    /// A connection opened for a liveness check, on which nothing has been received yet.
    verifying_connection: Option<u64>,
    /// The next connection to be opened is for a liveness check.
    verify_next: bool,
    /// The value of [`Peer::is_busy`] last reported to the permits.
    reported_busy: bool,
    /// The number of queued releases last counted in the backlog of all exchanges.
    counted_releases: usize,
}

/// Starts the actor of an exchange and returns its mailbox. It ends when the roster removes the exchange.
pub fn start(context: PeerContext, exchange: ExchangeId, addr: SocketAddr) -> Sender<PeerActorMessage> {
    // The senders bound what is queued here: the call table by its call records, the connections by throttled reads.
    let (mailbox, messages) = unbounded();
    context.permits.add_exchange(exchange, mailbox.clone());
    let peer = Peer {
        exchange,
        addr,
        own_mailbox: mailbox.clone(),
        service_state: ServiceState::InService,
        connections: BTreeMap::new(),
        retired: BTreeMap::new(),
        next_connection_id: 0,
        connecting: 0,
        reconnect_scheduled: false,
        last_connection_lost: false,
        started_at: None,
        set_ups: SetUps::new(context.clock.now()),
        queued_releases: Vec::new(),
        liveness: FailureDetector::new(Timing::default()),
        next_check_at: None,
        check_postponed: false,
        verifying_connection: None,
        verify_next: false,
        reported_busy: false,
        counted_releases: 0,
        context,
    };
    peer.context.tasks.clone().spawn("exchange", peer.run(messages));
    mailbox
}

impl Peer {
    async fn run(mut self, messages: Receiver<PeerActorMessage>) {
        self.connect();
        while let Ok(message) = messages.recv().await {
            if matches!(message, PeerActorMessage::StateChanged(ServiceState::Removed)) {
                return self.shut_down().await;
            }
            self.handle_message(message).await;
            self.schedule_check();
            self.report_use();
            self.close_if_drained();
        }
    }

    async fn handle_message(&mut self, message: PeerActorMessage) {
        match message {
            PeerActorMessage::Command(id, command) => self.command(id, command).await,
            PeerActorMessage::StateChanged(service_state) => self.set_service_state(service_state).await,
            PeerActorMessage::StartedAt(at) => self.exchange_restarted(at).await,
            PeerActorMessage::Connected(Ok(stream), permit) => self.connected(stream, permit).await,
            PeerActorMessage::Connected(Err(error), permit) => {
                drop(permit);
                self.connect_failed(error).await;
            }
            PeerActorMessage::Connection(connection_id, event)
                if self.connections.contains_key(&connection_id) =>
            {
                self.handle_connection_event(connection_id, event).await
            }
            PeerActorMessage::Connection(connection_id, ConnectionEvent::Received(received))
                if self.retired.contains_key(&connection_id) =>
            {
                match received.parse() {
                    (Ok(message), _queued) => self.handle_sip_message(connection_id, message).await,
                    (Err(_), _queued) => drop(self.retired.remove(&connection_id)),
                }
            }
            PeerActorMessage::Connection(connection_id, _)
            | PeerActorMessage::RetirementOver(connection_id) => drop(self.retired.remove(&connection_id)),
            PeerActorMessage::Reconnect => {
                self.reconnect_scheduled = false;
                self.connect();
            }
            PeerActorMessage::CheckLiveness => self.check_liveness().await,
            PeerActorMessage::GiveUpConnection => self.give_up_connection().await,
        }
    }

    /// Ends the actor after the exchange was removed. Messages in the send queues are still sent before the connections
    /// close.
    async fn shut_down(mut self) {
        tracing::info!(office = self.exchange.0, addr = %self.addr, "exchange removed from the roster");
        self.service_state = ServiceState::Removed;
        self.context.permits.remove_exchange(self.exchange);
        self.count_queued_releases(0);
        self.end_waiting_set_ups().await;
        for connection_id in std::mem::take(&mut self.connections).into_keys() {
            self.end_pending_set_ups(connection_id).await;
        }
    }

    async fn set_service_state(&mut self, service_state: ServiceState) {
        self.service_state = service_state;
        if service_state == ServiceState::Draining {
            // A draining exchange must get no new set-ups, not even those that waited for a connection.
            self.end_waiting_set_ups().await;
        }
    }

    /// The roster reports a start of the process. Only a later start than the known one is a new one: the connections
    /// from before it lead to an earlier process, whose calls have ended. If discovery is wrong about the process, it
    /// learns of the releases.
    async fn exchange_restarted(&mut self, told: Time) {
        let at = Time(told.0.min(self.now().0));
        if self.started_at.is_some_and(|known| known >= at) {
            return;
        }
        self.started_at = Some(at);
        for id in self.liveness.process_restarted(at) {
            tracing::info!(
                office = self.exchange.0,
                call = id.0,
                "call released: its exchange has restarted"
            );
            self.release_at_exchange(id.clone());
            self.report_cut(id).await;
        }
        let older = self.connections.iter().filter(|(_, c)| c.connected_at < at);
        let stale: Vec<u64> = older.map(|(connection_id, _)| *connection_id).collect();
        for connection_id in stale {
            tracing::info!(
                office = self.exchange.0,
                connection = connection_id,
                "exchange restarted: old connection closed"
            );
            self.connections.remove(&connection_id);
            self.liveness.connection_closed(self.now(), connection_id, CloseKind::Other);
            self.end_pending_set_ups(connection_id).await;
        }
        self.connect();
    }

    async fn handle_connection_event(&mut self, connection_id: u64, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Received(received) => match received.parse() {
                (Ok(message), _queued) => {
                    self.record_activity(connection_id, &message);
                    self.handle_sip_message(connection_id, message).await;
                }
                // After a malformed message the rest of the stream can't be trusted.
                (Err(error), _queued) => {
                    self.connection_lost(connection_id, error.to_string(), true, CloseKind::Other).await
                }
            },
            ConnectionEvent::Ended(close_reason) => {
                let ended_by_proxy = !matches!(close_reason, CloseReason::Closed | CloseReason::Broken(_));
                let ending = if matches!(close_reason, CloseReason::Closed) {
                    CloseKind::ByPeer
                } else {
                    CloseKind::Other
                };
                self.connection_lost(connection_id, format!("{close_reason:?}"), ended_by_proxy, ending)
                    .await;
            }
        }
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    /// Set-ups are pending or queued, or calls are established at the exchange.
    fn is_busy(&self) -> bool {
        !self.set_ups.is_empty() || !self.queued_releases.is_empty() || self.liveness.call_count() > 0
    }

    fn report_use(&mut self) {
        let busy = self.is_busy();
        if busy != self.reported_busy {
            self.reported_busy = busy;
            self.context.permits.set_in_use(self.exchange, busy);
        }
        self.count_queued_releases(self.queued_releases.len());
    }

    fn count_queued_releases(&mut self, queued: usize) {
        let counted = std::mem::replace(&mut self.counted_releases, queued);
        self.context.release_backlog.replace(counted, queued);
    }

    /// Sends a message to this actor after a time.
    fn post_later(&self, seconds: Secs, message: PeerActorMessage) {
        let mailbox = self.own_mailbox.clone();
        let wait = Duration::from_secs_f64(seconds.max(0.001));
        let delayed = async move {
            Timer::after(wait).await;
            let _ = mailbox.send(message).await;
        };
        self.context.tasks.spawn("exchange timer", delayed);
    }

    async fn send_event(&self, input: CallEvent) {
        post(&self.context.engine, EngineMessage::Input(input)).await;
    }

    /// Reports the end of a set-up without a message of the exchange.
    async fn report_end(&self, ended: EndedSetUp) {
        let EndedSetUp { id, leg, end } = ended;
        let (exchange, cause, report) = (self.exchange, Cause::Unspecified, LoadReport::default());
        self.send_event(CallEvent::SetUpFailed { id, exchange, leg: Some(leg), end, cause, report }).await;
    }

    /// Reports that an established call is cut.
    async fn report_cut(&self, id: CallId) {
        let (exchange, report) = (self.exchange, LoadReport::default());
        self.send_event(CallEvent::ExchangeReleased { id, exchange, completed: false, report }).await;
    }

    fn write(&self, connection_id: u64, message: &Message) {
        if let Some(connection) = self.connections.get(&connection_id) {
            connection.handle.write(message);
        }
    }
}
