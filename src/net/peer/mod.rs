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
struct Connection {
    conn: ConnectionHandle,
    _permit: Permit,
    /// When it came up.
    since: Time,
    /// When it last brought anything.
    heard: Time,
    /// When it last brought an answer to a set-up.
    answered: Time,
    /// Set-ups that were lost or ran out since.
    doubts: u32,
    /// Set-ups open on it.
    open: BTreeMap<CallId, PendingInvite>,
}

/// A set-up that is out.
struct PendingInvite {
    leg: u32,
    width: u32,
    sent: Time,
    until: Time,
    /// It stands in this exchange's line alone: what overtakes it there shows that it is lost.
    direct: bool,
}

struct Peer {
    office: ExchangeId,
    addr: SocketAddr,
    context: PeerContext,
    own_mailbox: Sender<PeerActorMessage>,
    condition: ServiceState,
    /// Connections by number; what one that is no longer here still brings is ignored.
    connections: BTreeMap<u64, Connection>,
    /// Connections whose way out is closed, for what the other side still says.
    retired: BTreeMap<u64, (ConnectionHandle, Permit)>,
    next: u64,
    connecting: usize,
    /// A try to connect is due.
    retrying: bool,
    /// The last connection was lost and no new one has come up since.
    suspect: bool,
    /// The latest sending of a set-up that stands.
    latest_answered: Time,
    /// What waits for a connection.
    waiting: VecDeque<(CallId, ExchangeCommand)>,
    given_up: VecDeque<CallId>,
    liveness: Liveness,
    /// When the next liveness check is due, if one is under way.
    check_at: Option<Time>,
    /// The last check came late and was put off.
    put_off: bool,
    /// A connection opened for a liveness check that has brought nothing yet.
    verifying: Option<u64>,
    /// The next connection that comes up is one.
    verify_next: bool,
    /// What the budget of connections was last told.
    busy: bool,
}

/// Starts the actor; it ends when its exchange is gone.
pub fn start(context: PeerContext, office: ExchangeId, addr: SocketAddr) -> Sender<PeerActorMessage> {
    // What is posted here is bounded by those who post: calls by their records, connections by the readers' turns.
    let (mailbox, mail) = unbounded();
    context.permits.add_exchange(office, mailbox.clone());
    let peer = Peer {
        office,
        addr,
        own_mailbox: mailbox.clone(),
        condition: ServiceState::InService,
        connections: BTreeMap::new(),
        retired: BTreeMap::new(),
        next: 0,
        connecting: 0,
        retrying: false,
        suspect: false,
        latest_answered: context.clock.now(),
        waiting: VecDeque::new(),
        given_up: VecDeque::new(),
        liveness: Liveness::new(Timing::default()),
        check_at: None,
        put_off: false,
        verifying: None,
        verify_next: false,
        busy: false,
        context,
    };
    peer.context.tasks.clone().spawn(peer.run(mail)).detach();
    mailbox
}

impl Peer {
    async fn run(mut self, mail: Receiver<PeerActorMessage>) {
        self.connect();
        while let Ok(mail) = mail.recv().await {
            if matches!(mail, PeerActorMessage::StateChanged(ServiceState::Removed)) {
                return self.end().await;
            }
            self.take(mail).await;
            self.plan_check();
            self.tell_use();
            self.close_if_drained();
        }
    }

    async fn take(&mut self, mail: PeerActorMessage) {
        match mail {
            PeerActorMessage::Command(id, far) => self.command(id, far).await,
            PeerActorMessage::StateChanged(condition) => self.condition(condition).await,
            PeerActorMessage::StartedAt(at) => self.restarted(at).await,
            PeerActorMessage::Connected(Ok(stream), permit) => self.connected(stream, permit),
            PeerActorMessage::Connected(Err(error), permit) => {
                drop(permit);
                self.refused(error).await;
            }
            PeerActorMessage::Connection(no, heard) if self.connections.contains_key(&no) => {
                self.heard(no, heard).await
            }
            PeerActorMessage::Connection(no, ConnectionEvent::Message(Ok(message)))
                if self.retired.contains_key(&no) =>
            {
                self.message(no, message).await;
            }
            PeerActorMessage::Connection(no, _) | PeerActorMessage::RetirementOver(no) => {
                drop(self.retired.remove(&no))
            }
            PeerActorMessage::Reconnect => {
                self.retrying = false;
                self.connect();
            }
            PeerActorMessage::CheckLiveness => self.check().await,
            PeerActorMessage::GiveUpConnection => self.give_up_connection().await,
        }
    }

    /// The exchange is gone. Whatever is still queued goes out before the connections close.
    async fn end(mut self) {
        tracing::info!(office = self.office.0, addr = %self.addr, "exchange gone");
        self.condition = ServiceState::Removed;
        self.context.permits.remove_exchange(self.office);
        let connections = std::mem::take(&mut self.connections);
        self.fail_waiting().await;
        for connection in connections.into_values() {
            self.end_open(connection).await;
        }
    }

    async fn condition(&mut self, condition: ServiceState) {
        self.condition = condition;
        if condition == ServiceState::Draining {
            // Nothing that waited for a connection may leave once it drains.
            self.fail_waiting().await;
        }
    }

    /// The list tells of a new start. A machine that vanished left its connections open and silent.
    async fn restarted(&mut self, at: Time) {
        self.liveness.restarted(at);
        let before = self.connections.iter().filter(|(_, c)| c.since < at);
        let old: Vec<u64> = before.map(|(no, _)| *no).collect();
        for no in old {
            tracing::info!(office = self.office.0, connection = no, "exchange restarted: connecting again");
            self.liveness.closed(self.now(), no, Ending::Broken);
            if let Some(connection) = self.connections.remove(&no) {
                self.end_open(connection).await;
            }
        }
        self.connect();
    }

    async fn heard(&mut self, no: u64, heard: ConnectionEvent) {
        match heard {
            ConnectionEvent::Message(Ok(message)) => {
                self.proof_of_life(no, &message);
                self.message(no, message).await;
            }
            // Nothing that follows on the same connection can be trusted.
            ConnectionEvent::Message(Err(fault)) => {
                self.lost(no, fault.to_string(), true, Ending::Broken).await
            }
            ConnectionEvent::Ended(over) => {
                let ours = !matches!(over, CloseReason::Closed | CloseReason::Broken(_));
                let ending =
                    if matches!(over, CloseReason::Closed) { Ending::Closed } else { Ending::Broken };
                self.lost(no, format!("{over:?}"), ours, ending).await;
            }
        }
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    /// Set-ups are open here or wait, or calls stand.
    fn is_busy(&self) -> bool {
        let open = self.connections.values().any(|c| !c.open.is_empty());
        open || !self.waiting.is_empty() || self.liveness.calls() > 0
    }

    fn tell_use(&mut self) {
        let busy = self.is_busy();
        if busy != self.busy {
            self.busy = busy;
            self.context.permits.set_in_use(self.office, busy);
        }
    }

    /// Posts something to this actor after a time.
    fn later(&self, seconds: Secs, mail: PeerActorMessage) {
        let mailbox = self.own_mailbox.clone();
        let wait = Duration::from_secs_f64(seconds.max(0.001));
        let posted = async move {
            Timer::after(wait).await;
            let _ = mailbox.send(mail).await;
        };
        self.context.tasks.spawn(posted).detach();
    }

    async fn tell(&self, input: CallEvent) {
        post(&self.context.engine, EngineMessage::Input(input)).await;
    }

    async fn ended(&self, id: CallId, leg: Option<u32>, outcome: Outcome, why: Cause, report: LoadReport) {
        self.tell(CallEvent::SetUpFailed { id, exchange: self.office, leg, outcome, cause: why, report })
            .await;
    }

    fn write(&self, no: u64, message: &Message) {
        if let Some(connection) = self.connections.get(&no) {
            connection.conn.write(message);
        }
    }
}
