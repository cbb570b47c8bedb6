//! The platform's front: callers' connections on one side, the core on the other. Translation only.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::{future, Timer};

use super::clock::{Clock, TimerKind, TimerSender};
use super::conn::{CloseReason, ConnectionEvent, ConnectionHandle, SendQueues};
use super::engine::EngineMessage;
use super::permits::Permits;
use super::{post, post_throttled, Tasks};
use crate::calls::{CallEvent, CallerCommand, Front, RejectReason, Request};
use crate::interface::*;
use crate::limits::memory::WaitingReleases;
use crate::recovery::shutdown::Shutdown;
use crate::sip::message::{header, Message, Start};
use crate::telemetry;

/// A message has to be whole within this, and a connection has to bring a request that is taken.
const WHOLE_WITHIN: Secs = 2.2;
/// A connection without an open set-up that has been quiet for this long is closed; callers do so after 4 s.
const IDLE: Secs = 5.0;
/// What a caller is told that comes when every connection is in use, in milliseconds.
const COOL_DOWN_MS: u32 = 1000;
/// Connections beyond the most that are let in to be refused in words.
const MOST_BEYOND: usize = 8;
/// Until the next try where no connection could be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Between two looks at the connections.
const LOOK: Secs = 0.25;
/// The longest description: what goes out must not be longer than a message may be.
const LONGEST: usize = 15 * 1024;

/// What the front is told.
#[derive(Debug)]
pub enum PlatformMessage {
    /// A caller has connected.
    Accepted(TcpStream),
    /// A connection brings something.
    Connection(u64, ConnectionEvent),
    /// The core answers a caller.
    ToCaller(CallId, CallerCommand),
    /// Tests pass from now on.
    Ready,
    /// Time to look after the connections.
    CheckConnections,
    /// The program is to end: connections are closed once nothing is left on them.
    Drain(Shutdown),
    /// No more connections are accepted.
    ListenerClosed,
    /// A connection waits and can't be accepted.
    AcceptFailed,
}

struct Leg {
    conn: u64,
    /// The headers of the set-up, to answer by.
    headers: Vec<(String, String)>,
    uri: String,
    answered: bool,
}

/// A caller's connection.
struct Line {
    conn: ConnectionHandle,
    /// When it was opened, and when it last brought a request or took an answer.
    opened: Time,
    active: Time,
    /// It has brought a set-up or a test that was taken.
    proven: bool,
    /// It has brought a set-up that was taken: releases may go there.
    calls: bool,
    /// Set-ups without a final answer.
    open: usize,
    /// Calls that stand and whose set-up it has brought: their releases are told here first.
    standing: usize,
    /// It came when every other one was in use: its set-ups are refused.
    refused: bool,
}

/// The front's state.
pub struct PlatformFront {
    /// Where new actors start.
    pub tasks: Tasks,
    /// The core.
    pub engine: Sender<EngineMessage>,
    /// The own mailbox.
    pub mailbox: Sender<PlatformMessage>,
    /// Its clock.
    pub clock: Clock,
    /// The clock's actor.
    pub timers: TimerSender,
    /// What waits to be written on all connections.
    pub send_queues: Rc<SendQueues>,
    /// The connections to exchanges, for the counters.
    pub permits: Rc<Permits>,
    /// The most connections.
    pub max_connections: usize,
    /// The most bytes of releases that wait for a connection.
    pub max_release_bytes: usize,
    /// Told once no more connections are to be accepted.
    pub stop_accepting: Sender<()>,
}

struct State {
    front: PlatformFront,
    ready: bool,
    next: u64,
    lines: BTreeMap<u64, Line>,
    calls: BTreeMap<CallId, Leg>,
    /// Releases that wait for a connection which has brought a call.
    unsent: WaitingReleases,
    shutdown: Option<Shutdown>,
    /// Since when no caller is connected.
    unconnected_since: Time,
    accepting: Accepting,
}

/// Whether callers are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepting {
    Yes,
    /// The listener was told to stop.
    Stopping,
    /// All that it had taken are here.
    Ended,
}

/// Accepts callers until it is told to stop. Whoever has connected by then is still handed on.
pub async fn accept(listener: TcpListener, stop: Receiver<()>, mailbox: Sender<PlatformMessage>) {
    loop {
        let stopped = async {
            // Without a sender nobody will ever stop it.
            if stop.recv().await.is_err() {
                future::pending::<()>().await;
            }
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped, accepted).await {
            Some(Ok((stream, _))) => drop(post_throttled(&mailbox, PlatformMessage::Accepted(stream)).await),
            Some(Err(error)) => {
                telemetry::accept_failed();
                tracing::warn!(%error, "no connection could be accepted: an idle one makes room");
                post(&mailbox, PlatformMessage::AcceptFailed).await;
                Timer::after(ACCEPT_PAUSE).await;
            }
            None => break,
        }
    }
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        post(&mailbox, PlatformMessage::Accepted(stream)).await;
    }
    drop(listener);
    post(&mailbox, PlatformMessage::ListenerClosed).await;
}

impl PlatformFront {
    /// Runs for ever.
    pub async fn run(self, mail: Receiver<PlatformMessage>) {
        let (lines, calls) = (BTreeMap::new(), BTreeMap::new());
        let unconnected_since = self.clock.now();
        let unsent = WaitingReleases::new(self.max_release_bytes);
        let mut state = State {
            front: self,
            ready: false,
            next: 0,
            lines,
            calls,
            unsent,
            shutdown: None,
            unconnected_since,
            accepting: Accepting::Yes,
        };
        state.look().await;
        while let Ok(mail) = mail.recv().await {
            match mail {
                PlatformMessage::Accepted(stream) => state.accepted(stream).await,
                // Whatever a connection still brings after its close is not heard.
                PlatformMessage::Connection(no, _) if !state.lines.contains_key(&no) => {}
                PlatformMessage::Connection(no, ConnectionEvent::Message(Ok(message))) => {
                    state.message(no, message).await
                }
                PlatformMessage::Connection(no, ConnectionEvent::Message(Err(fault))) => {
                    tracing::warn!(%fault, "message from a caller");
                    let known = header(&fault.headers, "Call-ID").is_some_and(|id| !id.is_empty());
                    if known && !fault.response {
                        state.write(no, &Message::response(400, "Bad Request", &fault.headers));
                    } else {
                        state.close(no).await;
                    }
                }
                PlatformMessage::Connection(no, ConnectionEvent::Ended(over)) => state.over(no, over).await,
                PlatformMessage::ToCaller(id, near) => state.near(id, near),
                PlatformMessage::Ready => state.ready = true,
                PlatformMessage::CheckConnections => state.look().await,
                PlatformMessage::AcceptFailed => drop(state.make_room().await),
                PlatformMessage::Drain(shutdown) => state.shutdown = state.shutdown.or(Some(shutdown)),
                PlatformMessage::ListenerClosed => {
                    tracing::debug!(connections = state.lines.len(), "no more callers are accepted");
                    state.accepting = Accepting::Ended;
                    state.look().await;
                }
            }
        }
    }
}

impl State {
    async fn accepted(&mut self, stream: TcpStream) {
        let full = self.lines.len() >= self.front.max_connections && !self.make_room().await;
        let beyond = self.lines.len() >= self.front.max_connections + MOST_BEYOND;
        if beyond {
            tracing::warn!(most = self.front.max_connections, "too many callers: connection closed");
            telemetry::caller_connection_closed("too many");
            return;
        }
        let no = self.next;
        self.next += 1;
        let wrap = move |heard| PlatformMessage::Connection(no, heard);
        let within = Duration::from_secs_f64(WHOLE_WITHIN);
        let (tasks, send_queues) = (&self.front.tasks, &self.front.send_queues);
        let conn =
            ConnectionHandle::open(tasks, send_queues, stream, self.front.mailbox.clone(), within, wrap);
        let now = self.front.clock.now();
        let line = Line {
            conn,
            opened: now,
            active: now,
            proven: false,
            calls: false,
            open: 0,
            standing: 0,
            refused: full,
        };
        self.lines.insert(no, line);
    }

    /// Closes the idle connection that is needed the least; returns whether there was one.
    async fn make_room(&mut self) -> bool {
        // Whoever never asked for anything goes first, then whoever has been quiet the longest.
        // Calls that stand may be told elsewhere, but mostly their callers wait for it here.
        let idle = self.lines.iter().filter(|(_, line)| line.open == 0);
        let rank = |line: &Line| (line.proven, line.standing > 0);
        let spare = idle
            .min_by(|(_, a), (_, b)| rank(a).cmp(&rank(b)).then_with(|| a.active.0.total_cmp(&b.active.0)));
        let Some(spare) = spare.map(|(no, _)| *no) else { return false };
        tracing::debug!(most = self.front.max_connections, "many callers: an idle connection is closed");
        telemetry::caller_connection_closed("made room");
        self.close(spare).await;
        true
    }

    /// Closes what has been of no use for too long, and asks to be woken for the next look.
    async fn look(&mut self) {
        let now = self.front.clock.now();
        let shutdown = self.shutdown;
        let useless = |line: &Line| {
            let unproven = !line.proven && now - line.opened >= WHOLE_WITHIN;
            let idle = line.standing == 0 && now - line.active >= IDLE;
            let ending = shutdown.is_some_and(|s| s.may_close(now, line.open, line.standing));
            match line.open {
                0 if ending => Some("shutting down"),
                0 if unproven => Some("nothing useful"),
                0 if idle => Some("idle"),
                _ => None,
            }
        };
        let spare: Vec<_> = self.lines.iter().filter_map(|(no, line)| Some((*no, useless(line)?))).collect();
        for (no, reason) in spare {
            tracing::debug!(connection = no, reason, "a caller's connection is closed");
            telemetry::caller_connection_closed(reason);
            self.close(no).await;
        }
        self.report();
        self.end_if_done(now).await;
        if self.accepting == Accepting::Ended && self.lines.is_empty() {
            return;
        }
        let next = (now + LOOK, TimerKind::ConnectionCheck);
        if self.front.timers.send(next).await.is_err() {
            tracing::error!("the clock is gone: idle connections stay");
        }
    }

    fn report(&self) {
        let (callers, exchanges) = (self.lines.len(), self.front.permits.open_connections());
        telemetry::resources(callers, exchanges, self.front.send_queues.queued(), self.unsent.bytes());
    }

    /// After SIGTERM: stops to accept once no caller has been connected for a while, and says so once none is left.
    async fn end_if_done(&mut self, now: Time) {
        if !self.lines.is_empty() {
            self.unconnected_since = now;
        }
        let Some(shutdown) = self.shutdown else { return };
        match self.accepting {
            Accepting::Yes if shutdown.may_end(now, self.unconnected_since) => {
                self.accepting = Accepting::Stopping;
                // It ends with the first word of it.
                let _ = self.front.stop_accepting.try_send(());
            }
            Accepting::Ended if self.lines.is_empty() => {
                post(&self.front.engine, EngineMessage::CallersDisconnected).await;
            }
            _ => {}
        }
    }

    fn write(&mut self, no: u64, message: &Message) -> bool {
        self.lines.get(&no).is_some_and(|line| line.conn.write(message))
    }

    async fn tell(&self, input: CallEvent) {
        post(&self.front.engine, EngineMessage::Input(input)).await;
    }

    async fn over(&mut self, no: u64, over: CloseReason) {
        if !matches!(over, CloseReason::Closed | CloseReason::Broken(_)) {
            tracing::warn!(?over, "a caller's connection is closed");
        }
        self.close(no).await;
    }

    /// Closes a connection; the set-ups open on it are given up.
    async fn close(&mut self, no: u64) {
        self.lines.remove(&no);
        self.unconnected_since = self.front.clock.now();
        let open = self.calls.iter().filter(|(_, leg)| leg.conn == no && !leg.answered);
        let open: Vec<CallId> = open.map(|(id, _)| id.clone()).collect();
        for id in open {
            self.calls.remove(&id);
            self.tell(CallEvent::CallerGaveUp(id)).await;
        }
    }

    /// Takes back the open set-up of a call, if it is this connection's.
    fn take_back(&mut self, no: u64, id: &CallId) -> Option<Leg> {
        self.calls.get(id).filter(|leg| leg.conn == no && !leg.answered)?;
        let leg = self.calls.remove(id)?;
        self.settled(no);
        Some(leg)
    }

    /// A call that stands is over: its connection may go.
    fn over_on_its_connection(&mut self, id: &CallId) {
        let Some(no) = self.calls.get(id).filter(|leg| leg.answered).map(|leg| leg.conn) else { return };
        if let Some(line) = self.lines.get_mut(&no) {
            line.standing = line.standing.saturating_sub(1);
            line.active = self.front.clock.now();
        }
    }

    /// A set-up on a connection has its final answer.
    fn settled(&mut self, no: u64) {
        if let Some(line) = self.lines.get_mut(&no) {
            line.open = line.open.saturating_sub(1);
            line.active = self.front.clock.now();
        }
    }

    async fn message(&mut self, no: u64, message: Message) {
        let id = CallId(message.get("Call-ID").unwrap_or("").to_owned());
        match message.method() {
            Some("INVITE") => self.invite(no, id, message).await,
            Some("CANCEL") => match self.take_back(no, &id) {
                Some(leg) => {
                    self.write(no, &Message::response(487, "Request Terminated", &leg.headers));
                    self.tell(CallEvent::CallerGaveUp(id)).await;
                }
                // It crossed the answer: the call stands and is not wanted.
                None if self.calls.get(&id).is_some_and(|leg| leg.conn == no) => {
                    self.tell(CallEvent::CallerGaveUp(id)).await;
                }
                None => self.unknown(no, &message),
            },
            Some("BYE") => {
                if let Some(leg) = self.take_back(no, &id) {
                    self.write(no, &Message::response(487, "Request Terminated", &leg.headers));
                    self.unknown(no, &message);
                    self.tell(CallEvent::CallerGaveUp(id)).await;
                } else if self.calls.get(&id).is_some_and(|leg| leg.answered) {
                    self.write(no, &Message::response(200, "OK", &message.headers));
                    self.over_on_its_connection(&id);
                    self.calls.remove(&id);
                    self.tell(CallEvent::CallerReleased(id)).await;
                } else {
                    self.unknown(no, &message);
                }
            }
            Some("OPTIONS") => {
                let (status, reason) = if self.ready { (200, "OK") } else { (503, "Starting") };
                self.prove(no, false);
                self.write(no, &Message::response(status, reason, &message.headers));
            }
            Some("ACK" | "NOTIFY") | None => {}
            Some(_) => {
                self.write(no, &Message::response(405, "Method Not Allowed", &message.headers));
            }
        }
    }

    fn unknown(&mut self, no: u64, message: &Message) {
        self.write(no, &Message::response(481, "Call Does Not Exist", &message.headers));
    }

    /// A connection has brought something that is taken.
    fn prove(&mut self, no: u64, calls: bool) {
        let Some(line) = self.lines.get_mut(&no) else { return };
        line.proven = true;
        line.active = self.front.clock.now();
        if calls && !line.calls {
            line.calls = true;
            line.conn.prove();
            for message in self.unsent.take() {
                line.conn.write(&message);
            }
        }
    }

    async fn invite(&mut self, no: u64, id: CallId, message: Message) {
        match self.calls.get(&id) {
            // Two set-ups of one id on one connection: neither can be told from the other.
            Some(leg) if leg.conn == no => {
                tracing::warn!(call = id.0, "two set-ups with one id: connection closed");
                return self.close(no).await;
            }
            Some(_) => {
                tracing::warn!(call = id.0, "set-up with the id of another caller's call");
                self.write(no, &Message::response(482, "Call Exists", &message.headers));
                return;
            }
            None => {}
        }
        let request = match request(&id, &message) {
            Ok(request) => request,
            Err(what) => {
                tracing::warn!(call = id.0, what, "set-up from a caller");
                self.write(no, &Message::response(400, "Bad Request", &message.headers));
                return;
            }
        };
        if self.lines.get(&no).is_some_and(|line| line.refused) {
            telemetry::refused("too many callers");
            let refusal = Message::response(503, "Service Unavailable", &message.headers);
            self.write(no, &refusal.with("X-Cooldown", COOL_DOWN_MS));
            return;
        }
        let uri = match message.start {
            Start::Request { uri, .. } => uri,
            Start::Response { .. } => String::new(),
        };
        if let Some(line) = self.lines.get_mut(&no) {
            line.open += 1;
        }
        self.calls.insert(id, Leg { conn: no, headers: message.headers, uri, answered: false });
        self.tell(CallEvent::Request(request)).await;
    }

    fn near(&mut self, id: CallId, near: CallerCommand) {
        if matches!(near, CallerCommand::Release { .. }) {
            self.over_on_its_connection(&id);
        }
        let Some(leg) = self.calls.get_mut(&id) else { return };
        let respond = |status, reason| Message::response(status, reason, &leg.headers);
        // What is turned down as it makes no sense proves nothing of its sender.
        let sense = !matches!(near, CallerCommand::Reject(_));
        let (message, over) = match near {
            CallerCommand::Answer(description) => {
                let mut message = respond(200, "OK");
                message.body = description.to_vec();
                leg.answered = true;
                // Only a release is still to be said.
                leg.headers = Vec::new();
                (message, false)
            }
            CallerCommand::Refuse(wait) => {
                let message = respond(503, "Service Unavailable");
                let cooled = |s: Secs| message.clone().with("X-Cooldown", (s * 1000.0).round().max(0.0));
                (wait.map_or(message.clone(), cooled), true)
            }
            CallerCommand::Fail => (respond(500, "Server Internal Error"), true),
            CallerCommand::Reject(RejectReason::UnknownClass) => (respond(488, "Not Acceptable Here"), true),
            CallerCommand::Reject(RejectReason::UnknownTenant) => (respond(403, "Forbidden"), true),
            CallerCommand::Reject(RejectReason::UnknownDestination) => (respond(404, "Not Found"), true),
            CallerCommand::Reject(RejectReason::OutOfRange) => (respond(400, "Bad Request"), true),
            CallerCommand::Release { completed: whole } => {
                let message = Message::request("BYE", &leg.uri)
                    .with("Via", "SIP/2.0/TCP proxy")
                    .with("Call-ID", &id.0)
                    .with("CSeq", "1 BYE")
                    .with("Reason", format_args!("Q.850;cause={}", if whole { 16 } else { 41 }));
                let conn = leg.conn;
                self.calls.remove(&id);
                return self.release(conn, message);
            }
        };
        let conn = leg.conn;
        telemetry::answered(if over { "refused" } else { "stands" });
        if over {
            self.calls.remove(&id);
        } else if let Some(line) = self.lines.get_mut(&conn) {
            line.standing += 1;
        }
        self.settled(conn);
        if sense {
            self.prove(conn, true);
        }
        self.write(conn, &message);
    }

    /// No connection owns a call that stands: a release takes any that is open and has brought calls, or the next
    /// to bring one.
    fn release(&mut self, conn: u64, message: Message) {
        if self.write(conn, &message) {
            return;
        }
        let mut open: Vec<_> = self.lines.iter().filter(|(_, line)| line.calls).collect();
        open.sort_by(|(_, a), (_, b)| b.active.0.total_cmp(&a.active.0));
        let open: Vec<u64> = open.into_iter().map(|(no, _)| *no).collect();
        if !open.into_iter().any(|no| self.write(no, &message)) {
            tracing::debug!(call = message.get("Call-ID"), "release waits for a connection from a caller");
            let dropped = self.unsent.add(message);
            if dropped > 0 {
                telemetry::releases_dropped(dropped);
                tracing::warn!(dropped, "releases waited too long for a caller's connection");
            }
        }
    }
}

/// Reads a set-up. What an exchange could not read must not get past here: it would close on it, whatever else is
/// open there.
fn request(id: &CallId, message: &Message) -> Result<Request, &'static str> {
    let uri = match &message.start {
        Start::Request { uri, .. } => uri.as_str(),
        Start::Response { .. } => "",
    };
    if id.0.len() != 16 || !id.0.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err("its id is not 16 hex digits");
    }
    let address = uri.strip_prefix("sip:").ok_or("its address is no sip address")?;
    let number = address.split_once('@').map_or(address, |(number, _)| number);
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.+*#".contains(&b);
    if number.is_empty() || number.len() > 128 || !number.bytes().all(plain) {
        return Err("the number called can't be read");
    }
    if message.body.len() > LONGEST {
        return Err("its description is too long");
    }
    let wait = message.get("X-Deadline").and_then(|v| v.trim().parse::<f64>().ok());
    let wait = wait.filter(|ms| ms.is_finite() && *ms > 0.0).ok_or("it has no X-Deadline")?;
    let attrs = message.get("X-Attrs").unwrap_or("");
    let attr = |names: [&str; 2]| {
        let mut pairs = attrs.split(';').filter_map(|pair| pair.split_once(':'));
        let value = pairs.find(|(name, _)| names.contains(&name.trim())).map(|(_, value)| value.trim());
        value.map(|v| v.parse::<i64>().map_err(|_| "a figure of X-Attrs is no number")).transpose()
    };
    let flag = |names| match attr(names)? {
        None | Some(0) => Ok(false),
        Some(1) => Ok(true),
        Some(_) => Err("a mark of X-Attrs is neither 0 nor 1"),
    };
    let dest = attr(["dest", "far_end"])?.ok_or("it has no destination")?;
    let width = match attr(["width", "circuits"])? {
        None => 1,
        Some(width) => u32::try_from(width).map_err(|_| "its width is no width")?,
    };
    Ok(Request {
        id: id.clone(),
        front: Front::Platform,
        class: message.get("X-Tier").unwrap_or("").to_owned(),
        tenant: message.get("X-Tenant").map(str::to_owned),
        ttl: wait / 1000.0,
        transit: flag(["transit", "midflow"])?,
        hop: attr(["via", "hop"])?.filter(|n| *n != -1).map(ExchangeNumber),
        re_established: flag(["again", "came_back"])?,
        redial: message.get("X-Resent").is_some_and(|v| v.trim() == "1"),
        width,
        dest: ExchangeNumber(dest),
        number: number.to_owned(),
        description: Arc::from(message.body.as_slice()),
    })
}
