//! The platform's front: callers' connections on one side, the core on the other. Translation only.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};

use super::conn::{Conn, Heard, Over};
use super::engine::EngineMail;
use super::{post, Tasks};
use crate::calls::{Front, Input, Near, Reject, Request};
use crate::interface::*;
use crate::sip::message::{header, Message};

/// Releases kept for the next connection while none is open.
const UNSENT: usize = 4096;

/// What the front is told.
#[derive(Debug)]
pub enum FrontMail {
    /// A caller has connected.
    Accepted(TcpStream),
    /// A connection brings something.
    Heard(u64, Heard),
    /// The core answers a caller.
    Near(CallId, Near),
    /// Tests pass from now on.
    Ready,
}

struct Leg {
    conn: u64,
    /// The headers of the set-up, to answer by.
    headers: Vec<(String, String)>,
    uri: String,
    answered: bool,
}

/// The front's state.
pub struct Platform {
    /// Where new actors start.
    pub tasks: Tasks,
    /// The core.
    pub engine: Sender<EngineMail>,
    /// The own mailbox.
    pub mailbox: Sender<FrontMail>,
    /// The most connections.
    pub most: usize,
}

struct State {
    front: Platform,
    ready: bool,
    next: u64,
    conns: BTreeMap<u64, Conn>,
    calls: BTreeMap<CallId, Leg>,
    unsent: VecDeque<Message>,
}

/// Accepts callers for ever.
pub async fn accept(listener: TcpListener, mailbox: Sender<FrontMail>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => post(&mailbox, FrontMail::Accepted(stream)).await,
            Err(error) => {
                tracing::error!(%error, "no connection could be accepted");
                smol::Timer::after(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

impl Platform {
    /// Runs for ever.
    pub async fn run(self, mail: Receiver<FrontMail>) {
        let (conns, calls) = (BTreeMap::new(), BTreeMap::new());
        let mut state = State { front: self, ready: false, next: 0, conns, calls, unsent: VecDeque::new() };
        while let Ok(mail) = mail.recv().await {
            match mail {
                FrontMail::Accepted(stream) => state.accepted(stream),
                FrontMail::Heard(no, Heard::Message(Ok(message))) => state.message(no, message).await,
                FrontMail::Heard(no, Heard::Message(Err(fault))) => {
                    tracing::warn!(%fault, "message from a caller");
                    let known = header(&fault.headers, "Call-ID").is_some_and(|id| !id.is_empty());
                    if known && !fault.response {
                        state.write(no, &Message::response(400, "Bad Request", &fault.headers));
                    }
                }
                FrontMail::Heard(no, Heard::Over(over)) => state.over(no, over).await,
                FrontMail::Near(id, near) => state.near(id, near),
                FrontMail::Ready => state.ready = true,
            }
        }
    }
}

impl State {
    fn accepted(&mut self, stream: TcpStream) {
        if self.conns.len() >= self.front.most {
            tracing::warn!(most = self.front.most, "too many callers: connection closed");
            return;
        }
        let no = self.next;
        self.next += 1;
        let wrap = move |heard| FrontMail::Heard(no, heard);
        let conn = Conn::open(&self.front.tasks, stream, self.front.mailbox.clone(), wrap);
        for message in self.unsent.drain(..) {
            conn.write(&message);
        }
        self.conns.insert(no, conn);
    }

    fn write(&mut self, no: u64, message: &Message) -> bool {
        self.conns.get(&no).is_some_and(|conn| conn.write(message))
    }

    async fn tell(&self, input: Input) {
        post(&self.front.engine, EngineMail::Input(input)).await;
    }

    async fn over(&mut self, no: u64, over: Over) {
        if let Over::Framing(lost) = &over {
            tracing::warn!(%lost, "a caller's connection is closed");
        }
        self.conns.remove(&no);
        let open = self.calls.iter().filter(|(_, leg)| leg.conn == no && !leg.answered);
        let open: Vec<CallId> = open.map(|(id, _)| id.clone()).collect();
        for id in open {
            self.calls.remove(&id);
            self.tell(Input::GaveUp(id)).await;
        }
    }

    async fn message(&mut self, no: u64, message: Message) {
        let id = CallId(message.get("Call-ID").unwrap_or("").to_owned());
        match message.method() {
            Some("INVITE") => self.invite(no, id, message).await,
            Some("CANCEL") => {
                if self.calls.get(&id).is_some_and(|leg| !leg.answered) {
                    self.calls.remove(&id);
                }
                self.tell(Input::GaveUp(id)).await;
            }
            Some("BYE") => {
                self.write(no, &Message::response(200, "OK", &message.headers));
                self.calls.remove(&id);
                self.tell(Input::Hangup(id)).await;
            }
            Some("OPTIONS") => {
                let (status, reason) = if self.ready { (200, "OK") } else { (503, "Starting") };
                self.write(no, &Message::response(status, reason, &message.headers));
            }
            Some("ACK" | "NOTIFY") | None => {}
            Some(_) => {
                self.write(no, &Message::response(405, "Method Not Allowed", &message.headers));
            }
        }
    }

    async fn invite(&mut self, no: u64, id: CallId, message: Message) {
        if let Some(leg) = self.calls.get_mut(&id) {
            // Sent again on a new connection as the first one closed.
            (leg.conn, leg.headers) = (no, message.headers);
            return;
        }
        let request = match request(&id, &message) {
            Ok(request) => request,
            Err(what) => {
                tracing::warn!(call = id.0, what, "set-up from a caller");
                self.write(no, &Message::response(400, "Bad Request", &message.headers));
                return;
            }
        };
        let uri = match message.start {
            crate::sip::message::Start::Request { uri, .. } => uri,
            crate::sip::message::Start::Response { .. } => String::new(),
        };
        self.calls.insert(id, Leg { conn: no, headers: message.headers, uri, answered: false });
        self.tell(Input::Request(request)).await;
    }

    fn near(&mut self, id: CallId, near: Near) {
        let Some(leg) = self.calls.get_mut(&id) else { return };
        let respond = |status, reason| Message::response(status, reason, &leg.headers);
        let (message, over) = match near {
            Near::Answer(description) => {
                let mut message = respond(200, "OK");
                message.body = description.to_vec();
                leg.answered = true;
                (message, false)
            }
            Near::Refuse(wait) => {
                let message = respond(503, "Service Unavailable");
                let cooled = |s: Secs| message.clone().with("X-Cooldown", (s * 1000.0).round().max(0.0));
                (wait.map_or(message.clone(), cooled), true)
            }
            Near::Fail => (respond(500, "Server Internal Error"), true),
            Near::Reject(Reject::Class) => (respond(488, "Not Acceptable Here"), true),
            Near::Reject(Reject::Tenant) => (respond(403, "Forbidden"), true),
            Near::Reject(Reject::Destination) => (respond(404, "Not Found"), true),
            Near::Release { whole } => {
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
        if over {
            self.calls.remove(&id);
        }
        self.write(conn, &message);
    }

    /// No connection owns a call that stands: a release takes any that is open, or the next to open.
    fn release(&mut self, conn: u64, message: Message) {
        if self.write(conn, &message) {
            return;
        }
        let newest: Vec<u64> = self.conns.keys().rev().copied().collect();
        if !newest.into_iter().any(|no| self.write(no, &message)) && self.unsent.len() < UNSENT {
            self.unsent.push_back(message);
        }
    }
}

/// Reads a set-up.
fn request(id: &CallId, message: &Message) -> Result<Request, &'static str> {
    let uri = match &message.start {
        crate::sip::message::Start::Request { uri, .. } => uri.as_str(),
        crate::sip::message::Start::Response { .. } => "",
    };
    let address = uri.strip_prefix("sip:").ok_or("its address is no sip address")?;
    let number = address.split_once('@').map_or(address, |(number, _)| number);
    let wait = message.get("X-Deadline").and_then(|v| v.trim().parse::<f64>().ok());
    let wait = wait.filter(|ms| ms.is_finite() && *ms >= 0.0).ok_or("it has no X-Deadline")?;
    let attrs = message.get("X-Attrs").unwrap_or("");
    let attr = |names: [&str; 2]| {
        let mut pairs = attrs.split(';').filter_map(|pair| pair.split_once(':'));
        let value = pairs.find(|(name, _)| names.contains(&name.trim())).map(|(_, value)| value.trim());
        value.and_then(|v| v.parse::<i64>().ok())
    };
    let dest = attr(["dest", "far_end"]).ok_or("it has no destination")?;
    Ok(Request {
        id: id.clone(),
        front: Front::Platform,
        class: message.get("X-Tier").unwrap_or("").to_owned(),
        tenant: message.get("X-Tenant").map(str::to_owned),
        ttl: wait / 1000.0,
        transit: attr(["transit", "midflow"]) == Some(1),
        hop: attr(["via", "hop"]).filter(|n| *n >= 0).map(ExchangeNo),
        came_back: attr(["again", "came_back"]) == Some(1),
        resent: message.get("X-Resent").is_some_and(|v| v.trim() == "1"),
        width: attr(["width", "circuits"]).and_then(|w| u32::try_from(w).ok()).unwrap_or(1),
        dest: ExchangeNo(dest),
        number: number.to_owned(),
        description: Arc::from(message.body.as_slice()),
    })
}
