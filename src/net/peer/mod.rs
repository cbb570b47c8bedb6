//! The actor of one exchange on the platform's protocol: keeps connections open, sends set-ups, hears answers, releases
//! and states.

mod calls;
mod connections;
mod watch;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::channel::{unbounded, Receiver, Sender};
use smol::net::TcpStream;
use smol::Timer;

use super::clock::Clock;
use super::conn::{CloseReason, ConnectionEvent, ConnectionHandle, SendQueues};
use super::engine::EngineMessage;
use super::permits::{Permit, Permits};
use super::{post, Tasks};
use crate::calls::{CallEvent, ExchangeCommand};
use crate::interface::*;
use crate::limits::connections::BEST;
use crate::membership::liveness::{Ending, Liveness, Timing};
use crate::sip::message::Message;

/// Connections to one exchange at best: what spoils one ends only the set-ups on it. States come on four at most.
pub const MAX_CONNECTIONS: usize = BEST;

/// What the actor is told.
#[derive(Debug)]
pub enum PeerActorMessage {
    /// A command for a call.
    Command(CallId, ExchangeCommand),
    /// The list says so.
    StateChanged(ServiceState),
    /// The list says that its process started then.
    StartedAt(Time),
    /// A connection has come up, or has not.
    Connected(std::io::Result<TcpStream>, Permit),
    /// A connection, by its number, brings something.
    Connection(u64, ConnectionEvent),
    /// Time to connect again.
    Reconnect,
    /// Time to look whether the exchange is alive.
    CheckLiveness,
    /// Another exchange needs a connection more.
    GiveUpConnection,
    /// A connection whose way out is closed has been listened to for long enough.
    RetirementOver(u64),
}

/// What all exchanges' actors need.
#[derive(Clone)]
pub struct PeerContext {
    /// Where new actors start.
    pub tasks: Tasks,
    /// The proxy's name.
    pub name: Rc<str>,
    /// How long a connection may take to come up.
    pub connect_timeout: Secs,
    /// Its clock.
    pub clock: Clock,
    /// The core.
    pub engine: Sender<EngineMessage>,
    /// The connections to all exchanges.
    pub permits: Rc<Permits>,
    /// What waits to be written on all connections.
    pub send_queues: Rc<SendQueues>,
}

/// One connection.
struct PeerConnection {
    handle: ConnectionHandle,
    _permit: Permit,
    /// When it came up.
    connected_at: Time,
    /// When it last brought anything.
    last_received: Time,
    /// When it last brought an answer to a set-up.
    last_answer: Time,
    /// Set-ups that were lost or ran out since.
    unanswered_set_ups: u32,
    /// Set-ups open on it.
    pending_set_ups: BTreeMap<CallId, PendingInvite>,
}

/// A set-up that is out.
struct PendingInvite {
    leg: u32,
    width: u32,
    sent_at: Time,
    expires_at: Time,
    /// It stands in this exchange's line alone: what overtakes it there shows that it is lost.
    direct: bool,
}

struct Peer {
    exchange: ExchangeId,
    addr: SocketAddr,
    context: PeerContext,
    own_mailbox: Sender<PeerActorMessage>,
    service_state: ServiceState,
    /// Connections by number; what one that is no longer here still brings is ignored.
    connections: BTreeMap<u64, PeerConnection>,
    /// Connections whose way out is closed, for what the other side still says.
    retired: BTreeMap<u64, (ConnectionHandle, Permit)>,
    next_connection_id: u64,
    connecting: usize,
    /// A try to connect is due.
    reconnect_scheduled: bool,
    /// The last connection was lost and no new one has come up since.
    last_connection_lost: bool,
    /// The latest sending of a set-up that stands.
    latest_answered_send: Time,
    /// What waits for a connection.
    queued_commands: VecDeque<(CallId, ExchangeCommand)>,
    cancelled: VecDeque<CallId>,
    liveness: Liveness,
    /// When the next liveness check is due, if one is under way.
    next_check_at: Option<Time>,
    /// The last check came late and was put off.
    check_postponed: bool,
    /// A connection opened for a liveness check that has brought nothing yet.
    verifying_connection: Option<u64>,
    /// The next connection that comes up is one.
    verify_next: bool,
    /// What the budget of connections was last told.
    reported_busy: bool,
}

/// Starts the actor; it ends when its exchange is gone.
pub fn start(context: PeerContext, exchange: ExchangeId, addr: SocketAddr) -> Sender<PeerActorMessage> {
    // What is posted here is bounded by those who post: calls by their records, connections by the readers' turns.
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
        latest_answered_send: context.clock.now(),
        queued_commands: VecDeque::new(),
        cancelled: VecDeque::new(),
        liveness: Liveness::new(Timing::default()),
        next_check_at: None,
        check_postponed: false,
        verifying_connection: None,
        verify_next: false,
        reported_busy: false,
        context,
    };
    peer.context.tasks.clone().spawn(peer.run(messages)).detach();
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
            PeerActorMessage::Connected(Ok(stream), permit) => self.connected(stream, permit),
            PeerActorMessage::Connected(Err(error), permit) => {
                drop(permit);
                self.connect_failed(error).await;
            }
            PeerActorMessage::Connection(connection_id, event)
                if self.connections.contains_key(&connection_id) =>
            {
                self.handle_connection_event(connection_id, event).await
            }
            PeerActorMessage::Connection(connection_id, ConnectionEvent::Message(Ok(message)))
                if self.retired.contains_key(&connection_id) =>
            {
                self.handle_sip_message(connection_id, message).await;
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

    /// The exchange is gone. Whatever is still queued goes out before the connections close.
    async fn shut_down(mut self) {
        tracing::info!(office = self.exchange.0, addr = %self.addr, "exchange gone");
        self.service_state = ServiceState::Removed;
        self.context.permits.remove_exchange(self.exchange);
        let connections = std::mem::take(&mut self.connections);
        self.fail_queued_set_ups().await;
        for connection in connections.into_values() {
            self.fail_pending_set_ups(connection).await;
        }
    }

    async fn set_service_state(&mut self, service_state: ServiceState) {
        self.service_state = service_state;
        if service_state == ServiceState::Draining {
            // Nothing that waited for a connection may leave once it drains.
            self.fail_queued_set_ups().await;
        }
    }

    /// The list tells of a new start. A machine that vanished left its connections open and silent.
    async fn exchange_restarted(&mut self, at: Time) {
        self.liveness.restarted(at);
        let older = self.connections.iter().filter(|(_, c)| c.connected_at < at);
        let stale: Vec<u64> = older.map(|(connection_id, _)| *connection_id).collect();
        for connection_id in stale {
            tracing::info!(
                office = self.exchange.0,
                connection = connection_id,
                "exchange restarted: connecting again"
            );
            self.liveness.closed(self.now(), connection_id, Ending::Broken);
            if let Some(connection) = self.connections.remove(&connection_id) {
                self.fail_pending_set_ups(connection).await;
            }
        }
        self.connect();
    }

    async fn handle_connection_event(&mut self, connection_id: u64, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Message(Ok(message)) => {
                self.record_activity(connection_id, &message);
                self.handle_sip_message(connection_id, message).await;
            }
            // Nothing that follows on the same connection can be trusted.
            ConnectionEvent::Message(Err(error)) => {
                self.connection_lost(connection_id, error.to_string(), true, Ending::Broken).await
            }
            ConnectionEvent::Ended(close_reason) => {
                let ended_by_proxy = !matches!(close_reason, CloseReason::Closed | CloseReason::Broken(_));
                let ending =
                    if matches!(close_reason, CloseReason::Closed) { Ending::Closed } else { Ending::Broken };
                self.connection_lost(connection_id, format!("{close_reason:?}"), ended_by_proxy, ending)
                    .await;
            }
        }
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    /// Set-ups are open here or wait, or calls stand.
    fn is_busy(&self) -> bool {
        let open = self.connections.values().any(|c| !c.pending_set_ups.is_empty());
        open || !self.queued_commands.is_empty() || self.liveness.calls() > 0
    }

    fn report_use(&mut self) {
        let busy = self.is_busy();
        if busy != self.reported_busy {
            self.reported_busy = busy;
            self.context.permits.set_in_use(self.exchange, busy);
        }
    }

    /// Posts something to this actor after a time.
    fn post_later(&self, seconds: Secs, message: PeerActorMessage) {
        let mailbox = self.own_mailbox.clone();
        let wait = Duration::from_secs_f64(seconds.max(0.001));
        let delayed = async move {
            Timer::after(wait).await;
            let _ = mailbox.send(message).await;
        };
        self.context.tasks.spawn(delayed).detach();
    }

    async fn send_event(&self, input: CallEvent) {
        post(&self.context.engine, EngineMessage::Input(input)).await;
    }

    async fn set_up_failed(
        &self,
        id: CallId,
        leg: Option<u32>,
        outcome: Outcome,
        reason: Cause,
        report: LoadReport,
    ) {
        self.send_event(CallEvent::SetUpFailed {
            id,
            exchange: self.exchange,
            leg,
            outcome,
            cause: reason,
            report,
        })
        .await;
    }

    fn write(&self, connection_id: u64, message: &Message) {
        if let Some(connection) = self.connections.get(&connection_id) {
            connection.handle.write(message);
        }
    }
}
