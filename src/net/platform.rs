//! The platform front: translates between the callers' connections and the engine. It takes no decisions on calls.

mod request;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{future, Timer};

use self::request::parse_request;
use super::clock::{Clock, TimerKind, TimerSender};
use super::conn::{CloseReason, ConnectionBuffers, ConnectionEvent, ConnectionHandle, ReadLimits, Received};
use super::engine::EngineMessage;
use super::permits::Permits;
use super::turns::{Turn, Turns};
use super::{post, Executor};
use crate::calls::{CallEvent, CallerCommand, RejectReason};
use crate::interface::*;
use crate::limits::callers::{least_needed, IdleConnection};
use crate::limits::memory::{MemoryPlan, WaitingReleases};
use crate::limits::set_ups::{SetUpBudget, SetUpSize};
use crate::recovery::shutdown::{ConnectionUse, RemainingWork, Shutdown};
use crate::sip::message::{header, Message, ResponseHeaders, StartLine};
use crate::telemetry;

/// Time in seconds within which a message has to be complete, and a new connection has to send a valid request.
const MESSAGE_TIMEOUT: Secs = 2.2;
/// Seconds after which an idle connection without a pending set-up is closed; callers close theirs after 4 s.
const IDLE_TIMEOUT: Secs = 5.0;
/// Cool-down in milliseconds for a caller that connects when every connection is in use.
const COOL_DOWN_MS: u32 = 1000;
/// Connections accepted beyond the limit, so that their set-ups can be refused with a response.
const MAX_REFUSED_CONNECTIONS: usize = 8;
/// Accepted connections that wait for the front. Further ones stay in the backlog of the listener.
pub(super) const MAX_UNHANDLED_CONNECTIONS: usize = 8;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval in seconds between two checks of the connections.
const CHECK_INTERVAL: Secs = 0.25;

/// Messages to the platform front.
#[derive(Debug)]
pub enum PlatformMessage {
    /// A caller has connected. The turn is kept until it is handled.
    Accepted(TcpStream, Turn),
    /// An event of a connection, given by its id.
    Connection(u64, ConnectionEvent),
    /// A command of the call table to a caller.
    ToCaller(CallId, CallerCommand),
    /// The proxy is ready: `OPTIONS` requests are answered with 200 from now on.
    Ready,
    /// Check the connections.
    CheckConnections,
    /// The proxy shuts down: connections are closed once nothing is left on them.
    Drain(Shutdown),
    /// The listener is closed, and every connection it accepted has been handed over.
    ListenerClosed,
    /// A connection could not be accepted for want of a descriptor.
    AcceptFailed,
}

/// The caller's side of a call.
struct CallerLeg {
    /// Id of the connection on which the set-up was received.
    received_on: u64,
    /// Headers of the response; empty once the set-up is answered.
    response_headers: ResponseHeaders,
    /// Memory that the set-up takes until it is answered.
    size: SetUpSize,
    uri: String,
    /// The set-up was answered with 200: the call is established.
    answered: bool,
}

/// A caller's connection.
struct CallerConnection {
    handle: ConnectionHandle,
    opened_at: Time,
    /// When it last carried a valid request or a final answer.
    last_active: Time,
    /// It has carried a valid set-up or an `OPTIONS` request.
    useful: bool,
    /// It has carried a valid set-up, so that releases of calls may be sent on it.
    carries_calls: bool,
    /// Number of set-ups without a final answer.
    open_set_ups: usize,
    /// Number of established calls that were set up on it. Their releases are sent here first.
    established_calls: usize,
    /// It was accepted beyond the limit: its set-ups are refused.
    over_limit: bool,
}

impl CallerConnection {
    fn when_idle(&self) -> IdleConnection {
        IdleConnection {
            useful: self.useful,
            carries_calls: self.established_calls > 0,
            last_active: self.last_active,
        }
    }

    fn present_use(&self) -> ConnectionUse {
        ConnectionUse {
            open: self.open_set_ups,
            established: self.established_calls,
            carries_calls: self.carries_calls,
        }
    }
}

/// What the platform front needs from the rest of the proxy.
pub struct PlatformFront {
    /// Executor of new actors.
    pub tasks: Executor,
    /// Mailbox of the engine.
    pub engine: Sender<EngineMessage>,
    /// Mailbox of this front.
    pub mailbox: Sender<PlatformMessage>,
    /// The clock.
    pub clock: Clock,
    /// Mailbox of the clock actor.
    pub timers: TimerSender,
    /// The buffers of all connections.
    pub buffers: Rc<ConnectionBuffers>,
    /// The permits for connections to exchanges, whose number goes into the metrics.
    pub permits: Rc<Permits>,
    /// Limit of callers' connections.
    pub max_connections: usize,
    /// The division of the memory limit.
    pub memory: MemoryPlan,
    /// Tells the listener task to stop accepting.
    pub stop_accepting: Sender<()>,
}

struct State {
    front: PlatformFront,
    ready: bool,
    next_connection_id: u64,
    /// The long messages of all callers that wait for this front.
    long_messages: Turns,
    caller_connections: BTreeMap<u64, CallerConnection>,
    calls: BTreeMap<CallId, CallerLeg>,
    /// Releases that wait for a connection with `carries_calls`.
    undelivered_releases: WaitingReleases,
    /// Memory of the set-ups without a final answer.
    open_set_ups: SetUpBudget,
    shutdown: Option<Shutdown>,
    /// Since when no caller is connected; while one is, a recent time.
    no_callers_since: Time,
    accepting: Accepting,
}

/// State of the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepting {
    Yes,
    /// The listener was told to stop accepting.
    Stopping,
    /// The listener is closed, and every connection it accepted has been handed over.
    Ended,
}

/// Accepts callers until `stop` is signalled. Callers that have connected by then are still handed over.
pub async fn accept(listener: TcpListener, stop: Receiver<()>, mailbox: Sender<PlatformMessage>) {
    let turns = Turns::new(MAX_UNHANDLED_CONNECTIONS);
    loop {
        let stopped = async {
            // A closed channel means that no stop will come.
            if stop.recv().await.is_err() {
                future::pending::<()>().await;
            }
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped, accepted).await {
            Some(Ok((stream, _))) => {
                post(&mailbox, PlatformMessage::Accepted(stream, turns.next().await)).await;
            }
            Some(Err(error)) => {
                telemetry::accept_failed();
                tracing::warn!(%error, "accepting a connection failed: closing an idle one");
                post(&mailbox, PlatformMessage::AcceptFailed).await;
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None => break,
        }
    }
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        post(&mailbox, PlatformMessage::Accepted(stream, turns.next().await)).await;
    }
    drop(listener);
    post(&mailbox, PlatformMessage::ListenerClosed).await;
}

impl PlatformFront {
    /// Runs the platform front until its mailbox is closed.
    pub async fn run(self, messages: Receiver<PlatformMessage>) {
        let (caller_connections, calls) = (BTreeMap::new(), BTreeMap::new());
        let no_callers_since = self.clock.now();
        let undelivered_releases = WaitingReleases::new(self.memory.releases);
        let open_set_ups = SetUpBudget::new(&self.memory);
        let mut state = State {
            front: self,
            ready: false,
            next_connection_id: 0,
            long_messages: Turns::for_long_messages(),
            caller_connections,
            calls,
            undelivered_releases,
            open_set_ups,
            shutdown: None,
            no_callers_since,
            accepting: Accepting::Yes,
        };
        state.check_connections().await;
        while let Ok(message) = messages.recv().await {
            match message {
                PlatformMessage::Accepted(stream, _turn) => state.accepted(stream).await,
                // Events that arrive after a connection was closed are ignored.
                PlatformMessage::Connection(connection_id, _)
                    if !state.caller_connections.contains_key(&connection_id) => {}
                PlatformMessage::Connection(connection_id, ConnectionEvent::Received(received)) => {
                    state.handle_received(connection_id, received).await
                }
                PlatformMessage::Connection(connection_id, ConnectionEvent::Ended(reason)) => {
                    state.connection_ended(connection_id, reason).await
                }
                PlatformMessage::ToCaller(id, command) => state.handle_caller_command(id, command),
                PlatformMessage::Ready => state.ready = true,
                PlatformMessage::CheckConnections => state.check_connections().await,
                PlatformMessage::AcceptFailed => drop(state.make_room().await),
                PlatformMessage::Drain(shutdown) => state.shutdown = state.shutdown.or(Some(shutdown)),
                PlatformMessage::ListenerClosed => {
                    tracing::debug!(
                        connections = state.caller_connections.len(),
                        "listener closed: no more callers are accepted"
                    );
                    state.accepting = Accepting::Ended;
                    state.check_connections().await;
                }
            }
        }
    }
}

impl State {
    async fn accepted(&mut self, stream: TcpStream) {
        let full = self.caller_connections.len() >= self.front.max_connections && !self.make_room().await;
        let far_over_limit =
            self.caller_connections.len() >= self.front.max_connections + MAX_REFUSED_CONNECTIONS;
        if far_over_limit {
            tracing::warn!(most = self.front.max_connections, "too many callers: new connection closed");
            telemetry::caller_connection_closed("too many");
            return;
        }
        let connection_id = self.next_connection_id;
        self.next_connection_id += 1;
        let wrap = move |event| PlatformMessage::Connection(connection_id, event);
        let limits = ReadLimits {
            message_timeout: Duration::from_secs_f64(MESSAGE_TIMEOUT),
            long_messages: self.long_messages.clone(),
            waits_for_peer: true,
        };
        let (tasks, buffers) = (&self.front.tasks, &self.front.buffers);
        let handle = ConnectionHandle::open(tasks, buffers, stream, self.front.mailbox.clone(), limits, wrap);
        let now = self.front.clock.now();
        let caller = CallerConnection {
            handle,
            opened_at: now,
            last_active: now,
            useful: false,
            carries_calls: false,
            open_set_ups: 0,
            established_calls: 0,
            over_limit: full,
        };
        self.caller_connections.insert(connection_id, caller);
    }

    /// Closes the idle connection that is least needed; returns whether there was one.
    async fn make_room(&mut self) -> bool {
        let idle = self.caller_connections.iter().filter(|(_, caller)| caller.open_set_ups == 0);
        let idle = idle.map(|(connection_id, caller)| (*connection_id, caller.when_idle()));
        let Some(victim) = least_needed(idle) else { return false };
        tracing::debug!(
            most = self.front.max_connections,
            "connection limit reached: idle connection of a caller closed"
        );
        telemetry::caller_connection_closed("made room");
        self.close(victim).await;
        true
    }

    /// Closes connections that are idle or have sent nothing valid for too long, and schedules the next check.
    async fn check_connections(&mut self) {
        let now = self.front.clock.now();
        let (shutdown, orphaned) = (self.shutdown, self.orphaned_calls());
        let close_reason_of = |caller: &CallerConnection| {
            let connection = caller.present_use();
            let nothing_useful = !caller.useful && now - caller.opened_at >= MESSAGE_TIMEOUT;
            let idle = connection.is_over(orphaned) && now - caller.last_active >= IDLE_TIMEOUT;
            let closing_for_shutdown =
                shutdown.is_some_and(|s| s.may_close_connection(now, &connection, orphaned));
            match caller.open_set_ups {
                0 if closing_for_shutdown => Some("shutting down"),
                0 if nothing_useful => Some("nothing useful"),
                0 if idle => Some("idle"),
                _ => None,
            }
        };
        let closable: Vec<_> = self
            .caller_connections
            .iter()
            .filter_map(|(connection_id, caller)| Some((*connection_id, close_reason_of(caller)?)))
            .collect();
        for (connection_id, reason) in closable {
            tracing::debug!(connection = connection_id, reason, "connection of a caller closed");
            telemetry::caller_connection_closed(reason);
            self.close(connection_id).await;
        }
        self.record_resources();
        self.advance_shutdown(now).await;
        if self.accepting == Accepting::Ended && self.caller_connections.is_empty() {
            return;
        }
        let next_check = (now + CHECK_INTERVAL, TimerKind::ConnectionCheck);
        if self.front.timers.send(next_check).await.is_err() {
            tracing::error!("the clock actor has ended: connections of callers are no longer checked");
        }
    }

    fn record_resources(&self) {
        let (callers, exchanges) = (self.caller_connections.len(), self.front.permits.open_connections());
        telemetry::set_resource_usage(
            callers,
            exchanges,
            self.front.buffers.total_bytes(),
            self.undelivered_releases.bytes(),
        );
    }

    /// Number of established calls whose connections are gone.
    fn orphaned_calls(&self) -> usize {
        let is_orphaned =
            |leg: &&CallerLeg| leg.answered && !self.caller_connections.contains_key(&leg.received_on);
        self.calls.values().filter(is_orphaned).count()
    }

    /// What is left to do for the callers.
    fn remaining_work(&self) -> RemainingWork {
        RemainingWork {
            established: self.calls.values().filter(|leg| leg.answered).count(),
            last_undelivered_release: self.undelivered_releases.last_added(),
            unconnected_since: self.no_callers_since,
        }
    }

    /// During a shutdown: stops accepting once nothing is left to do for the callers, and tells the engine when no
    /// connection is left.
    async fn advance_shutdown(&mut self, now: Time) {
        if !self.caller_connections.is_empty() {
            self.no_callers_since = now;
        }
        let Some(shutdown) = self.shutdown else { return };
        match self.accepting {
            Accepting::Yes if shutdown.may_stop_accepting(now, &self.remaining_work()) => {
                self.accepting = Accepting::Stopping;
                // If a stop is already queued, the listener stops anyway.
                let _ = self.front.stop_accepting.try_send(());
            }
            Accepting::Ended if self.caller_connections.is_empty() => {
                post(&self.front.engine, EngineMessage::CallersDisconnected).await;
            }
            _ => {}
        }
    }

    fn write(&mut self, connection_id: u64, message: &Message) -> bool {
        self.caller_connections.get(&connection_id).is_some_and(|caller| caller.handle.write(message))
    }

    async fn send_event(&self, input: CallEvent) {
        post(&self.front.engine, EngineMessage::Input(input)).await;
    }

    async fn connection_ended(&mut self, connection_id: u64, reason: CloseReason) {
        if !matches!(reason, CloseReason::Closed | CloseReason::ClosedLocally | CloseReason::Broken(_)) {
            tracing::warn!(over = ?reason, "connection of a caller failed");
        }
        let ended = self.caller_connections.get(&connection_id);
        let undelivered = ended.map(|caller| caller.handle.take_undelivered()).unwrap_or_default();
        self.close(connection_id).await;
        for release in undelivered {
            self.deliver_release(connection_id, release);
        }
    }

    /// Closes a connection and abandons its pending set-ups.
    async fn close(&mut self, connection_id: u64) {
        self.caller_connections.remove(&connection_id);
        self.open_set_ups.connection_ended(connection_id);
        self.no_callers_since = self.front.clock.now();
        let open = self.calls.iter().filter(|(_, leg)| leg.received_on == connection_id && !leg.answered);
        let open: Vec<CallId> = open.map(|(id, _)| id.clone()).collect();
        for id in open {
            self.calls.remove(&id);
            self.send_event(CallEvent::CallerGaveUp(id)).await;
        }
    }

    /// Removes the pending set-up of a call, if it was received on this connection.
    fn withdraw_set_up(&mut self, connection_id: u64, id: &CallId) -> Option<CallerLeg> {
        self.calls.get(id).filter(|leg| leg.received_on == connection_id && !leg.answered)?;
        let leg = self.calls.remove(id)?;
        self.set_up_answered(connection_id, leg.size);
        Some(leg)
    }

    /// Records on its connection that an established call has ended.
    fn established_call_ended(&mut self, id: &CallId) {
        let Some(connection_id) = self.calls.get(id).filter(|leg| leg.answered).map(|leg| leg.received_on)
        else {
            return;
        };
        if let Some(caller) = self.caller_connections.get_mut(&connection_id) {
            caller.established_calls = caller.established_calls.saturating_sub(1);
            caller.last_active = self.front.clock.now();
        }
    }

    /// Records that a set-up on a connection has its final answer.
    fn set_up_answered(&mut self, connection_id: u64, size: SetUpSize) {
        self.open_set_ups.answered(connection_id, size);
        if let Some(caller) = self.caller_connections.get_mut(&connection_id) {
            caller.open_set_ups = caller.open_set_ups.saturating_sub(1);
            caller.last_active = self.front.clock.now();
        }
    }

    async fn handle_received(&mut self, connection_id: u64, received: Received) {
        let (parsed, _queued) = received.parse();
        match parsed {
            Ok(message) => self.handle_message(connection_id, message).await,
            Err(fault) => {
                tracing::warn!(%fault, "malformed message from a caller");
                let has_call_id = header(&fault.headers, "Call-ID").is_some_and(|id| !id.is_empty());
                if has_call_id && !fault.is_response {
                    self.write(connection_id, &Message::response(400, "Bad Request", &fault.headers));
                } else {
                    self.close(connection_id).await;
                }
            }
        }
    }

    async fn handle_message(&mut self, connection_id: u64, message: Message) {
        let id = CallId(message.get("Call-ID").unwrap_or("").to_owned());
        match message.method() {
            Some("INVITE") => self.invite(connection_id, id, message).await,
            Some("CANCEL") => match self.withdraw_set_up(connection_id, &id) {
                Some(leg) => {
                    self.write(connection_id, &leg.response_headers.response(487, "Request Terminated"));
                    self.send_event(CallEvent::CallerGaveUp(id)).await;
                }
                // The CANCEL crossed the answer: the call is established, and the caller does not want it.
                None if self.calls.get(&id).is_some_and(|leg| leg.received_on == connection_id) => {
                    self.send_event(CallEvent::CallerGaveUp(id)).await;
                }
                None => self.reply_unknown_call(connection_id, &message),
            },
            Some("BYE") => {
                if let Some(leg) = self.withdraw_set_up(connection_id, &id) {
                    self.write(connection_id, &leg.response_headers.response(487, "Request Terminated"));
                    self.reply_unknown_call(connection_id, &message);
                    self.send_event(CallEvent::CallerGaveUp(id)).await;
                } else if self.calls.get(&id).is_some_and(|leg| leg.answered) {
                    self.write(connection_id, &Message::response(200, "OK", &message.headers));
                    self.established_call_ended(&id);
                    self.calls.remove(&id);
                    self.send_event(CallEvent::CallerReleased(id)).await;
                } else {
                    self.reply_unknown_call(connection_id, &message);
                }
            }
            Some("OPTIONS") => {
                let (status, reason) = if self.ready { (200, "OK") } else { (503, "Starting") };
                self.record_valid_request(connection_id, false);
                self.write(connection_id, &Message::response(status, reason, &message.headers));
            }
            Some("ACK" | "NOTIFY") | None => {}
            Some(_) => {
                self.write(connection_id, &Message::response(405, "Method Not Allowed", &message.headers));
            }
        }
    }

    fn reply_unknown_call(&mut self, connection_id: u64, message: &Message) {
        self.write(connection_id, &Message::response(481, "Call Does Not Exist", &message.headers));
    }

    /// Records a valid request on a connection. The first set-up makes it eligible for waiting releases.
    fn record_valid_request(&mut self, connection_id: u64, is_call: bool) {
        let Some(caller) = self.caller_connections.get_mut(&connection_id) else { return };
        caller.useful = true;
        caller.last_active = self.front.clock.now();
        if is_call && !caller.carries_calls {
            caller.carries_calls = true;
            caller.handle.mark_carries_calls();
            for message in self.undelivered_releases.take_all() {
                // A closing connection was removed before.
                let _ = caller.handle.write_owed(message);
            }
        }
    }

    async fn invite(&mut self, connection_id: u64, id: CallId, message: Message) {
        match self.calls.get(&id) {
            // Two set-ups with the same id on one connection can't be told apart.
            Some(leg) if leg.received_on == connection_id => {
                tracing::warn!(call = id.0, "two set-ups with the same id: connection closed");
                return self.close(connection_id).await;
            }
            Some(_) => {
                tracing::warn!(
                    call = id.0,
                    "set-up rejected: its id belongs to a call of another connection"
                );
                self.write(connection_id, &Message::response(482, "Call Exists", &message.headers));
                return;
            }
            None => {}
        }
        let request = match parse_request(&id, &message) {
            Ok(request) => request,
            Err(what) => {
                tracing::warn!(call = id.0, what, "invalid set-up rejected");
                self.write(connection_id, &Message::response(400, "Bad Request", &message.headers));
                return;
            }
        };
        if self.caller_connections.get(&connection_id).is_some_and(|caller| caller.over_limit) {
            return self.refuse_set_up(connection_id, &id, "too many callers", &message);
        }
        let response_headers = ResponseHeaders::of(&message.headers);
        let size = SetUpSize::new(request.description.len(), response_headers.memory_bytes());
        if !self.open_set_ups.try_open(connection_id, size) {
            return self.refuse_set_up(connection_id, &id, "share of the caller", &message);
        }
        let uri = match message.start_line {
            StartLine::Request { uri, .. } => uri,
            StartLine::Response { .. } => String::new(),
        };
        if let Some(caller) = self.caller_connections.get_mut(&connection_id) {
            caller.open_set_ups += 1;
        }
        self.calls.insert(
            id,
            CallerLeg { received_on: connection_id, response_headers, size, uri, answered: false },
        );
        self.send_event(CallEvent::Request(request)).await;
    }

    /// Refuses a set-up for want of a resource of this front, with a cool-down.
    fn refuse_set_up(&mut self, connection_id: u64, id: &CallId, reason: &'static str, set_up: &Message) {
        telemetry::request_refused(reason);
        tracing::info!(call = id.0, reason, "request refused");
        let refusal = Message::response(503, "Service Unavailable", &set_up.headers);
        self.write(connection_id, &refusal.with("X-Cooldown", COOL_DOWN_MS));
    }

    fn handle_caller_command(&mut self, id: CallId, command: CallerCommand) {
        if matches!(command, CallerCommand::Release { .. }) {
            self.established_call_ended(&id);
        }
        let Some(leg) = self.calls.get_mut(&id) else { return };
        let respond = |status, reason| leg.response_headers.response(status, reason);
        // A rejected set-up is invalid, and does not make its connection count as useful.
        let valid = !matches!(command, CallerCommand::Reject(_));
        let (message, ends_call) = match command {
            CallerCommand::Answer(description) => {
                let mut message = respond(200, "OK");
                message.body = description.to_vec();
                leg.answered = true;
                // Only a release can follow, which does not need them.
                leg.response_headers = ResponseHeaders::default();
                (message, false)
            }
            CallerCommand::Refuse(cool_down) => {
                let message = respond(503, "Service Unavailable");
                let with_cool_down =
                    |s: Secs| message.clone().with("X-Cooldown", (s * 1000.0).round().max(0.0));
                (cool_down.map_or(message.clone(), with_cool_down), true)
            }
            CallerCommand::Fail => (respond(500, "Server Internal Error"), true),
            CallerCommand::Reject(RejectReason::UnknownClass) => (respond(488, "Not Acceptable Here"), true),
            CallerCommand::Reject(RejectReason::UnknownTenant) => (respond(403, "Forbidden"), true),
            CallerCommand::Reject(RejectReason::UnknownDestination) => (respond(404, "Not Found"), true),
            CallerCommand::Reject(RejectReason::OutOfRange) => (respond(400, "Bad Request"), true),
            CallerCommand::Release { completed } => {
                let message = Message::request("BYE", &leg.uri)
                    .with("Via", "SIP/2.0/TCP proxy")
                    .with("Call-ID", &id.0)
                    .with("CSeq", "1 BYE")
                    .with("Reason", format_args!("Q.850;cause={}", if completed { 16 } else { 41 }));
                let received_on = leg.received_on;
                self.calls.remove(&id);
                return self.deliver_release(received_on, message);
            }
        };
        let (received_on, size) = (leg.received_on, leg.size);
        telemetry::final_answer_sent(if ends_call { "refused" } else { "stands" });
        if ends_call {
            self.calls.remove(&id);
        } else if let Some(caller) = self.caller_connections.get_mut(&received_on) {
            caller.established_calls += 1;
        }
        self.set_up_answered(received_on, size);
        if valid {
            self.record_valid_request(received_on, true);
        }
        self.write(received_on, &message);
    }

    /// Sends a release to the caller. An established call is not bound to a connection: the release goes to the one
    /// of its set-up, else to any open one that has carried calls, else to the next one that does.
    fn deliver_release(&mut self, received_on: u64, message: Message) {
        let Err(message) = self.write_release(received_on, message) else { return };
        let mut open: Vec<_> =
            self.caller_connections.iter().filter(|(_, caller)| caller.carries_calls).collect();
        open.sort_by(|(_, a), (_, b)| b.last_active.0.total_cmp(&a.last_active.0));
        let open: Vec<u64> = open.into_iter().map(|(connection_id, _)| *connection_id).collect();
        let mut unsent = message;
        for connection_id in open {
            match self.write_release(connection_id, unsent) {
                Ok(()) => return,
                Err(message) => unsent = message,
            }
        }
        tracing::debug!(call = unsent.get("Call-ID"), "no connection of a caller is open: release queued");
        let dropped = self.undelivered_releases.push(self.front.clock.now(), unsent);
        if dropped > 0 {
            telemetry::releases_dropped(dropped);
            tracing::warn!(dropped, "releases dropped: too many wait for a connection of a caller");
        }
    }

    /// Queues a release on a connection; gives it back if the connection is closing or gone.
    fn write_release(&self, connection_id: u64, release: Message) -> Result<(), Message> {
        match self.caller_connections.get(&connection_id) {
            Some(caller) => caller.handle.write_owed(release),
            None => Err(release),
        }
    }
}
