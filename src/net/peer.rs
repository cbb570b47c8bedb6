//! The actor of one exchange on the platform's protocol: keeps a connection open, sends set-ups, hears
//! answers, releases and states.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::{bounded, Receiver, Sender};
use smol::net::TcpStream;
use smol::Timer;

use super::conn::{Conn, Heard, Over};
use super::engine::EngineMail;
use super::{clock::Clock, or_late, post, Tasks};
use crate::calls::{Far, Input, SetUp};
use crate::interface::*;
use crate::sip::message::Message;
use crate::sip::{cause, verdict};
use crate::wire;

/// Commands that may wait while a connection is made.
const WAITING: usize = 512;
const MAILBOX: usize = 4096;
/// A message that has begun and is not whole within this is no message.
const WHOLE_WITHIN: Duration = Duration::from_millis(400);
/// Between two tries to connect.
const PAUSE: Duration = Duration::from_millis(200);

/// What the actor is told.
#[derive(Debug)]
pub enum PeerMail {
    /// A command for a call.
    Command(CallId, Far),
    /// The list says so.
    Condition(Condition),
    /// The list says that its process started then.
    Started(Time),
    /// A connection has come up, or has not.
    Connected(std::io::Result<TcpStream>),
    /// A connection, by its number, brings something.
    Heard(u64, Heard),
    /// Time to connect again.
    Retry,
}

struct Peer {
    office: OfficeId,
    addr: SocketAddr,
    name: String,
    connect_timeout: Secs,
    clock: Clock,
    tasks: Tasks,
    engine: Sender<EngineMail>,
    own_mailbox: Sender<PeerMail>,
    condition: Condition,
    conn: Option<Conn>,
    /// The number of the present connection; what an older one still brings is ignored.
    conn_no: u64,
    /// When it came up.
    conn_at: Time,
    connecting: bool,
    /// A connection was lost and no new one has come up since.
    suspect: bool,
    waiting: VecDeque<(CallId, Far)>,
    /// Set-ups open on the connection.
    out: BTreeMap<CallId, u32>,
}

/// Starts the actor; it ends when its handle is dropped and its exchange is gone.
pub fn start(
    tasks: &Tasks,
    office: OfficeId,
    addr: SocketAddr,
    name: &str,
    connect_timeout: Secs,
    clock: Clock,
    engine: Sender<EngineMail>,
) -> Sender<PeerMail> {
    let (mailbox, mail) = bounded(MAILBOX);
    let peer = Peer {
        office,
        addr,
        name: name.to_owned(),
        connect_timeout,
        clock,
        tasks: tasks.clone(),
        engine,
        own_mailbox: mailbox.clone(),
        condition: Condition::On,
        conn: None,
        conn_no: 0,
        conn_at: clock.now(),
        connecting: false,
        suspect: false,
        waiting: VecDeque::new(),
        out: BTreeMap::new(),
    };
    tasks.spawn(peer.run(mail)).detach();
    mailbox
}

impl Peer {
    async fn run(mut self, mail: Receiver<PeerMail>) {
        self.connect();
        while let Ok(mail) = mail.recv().await {
            match mail {
                PeerMail::Command(id, far) => self.command(id, far).await,
                PeerMail::Condition(Condition::Off) => {
                    tracing::info!(office = self.office.0, addr = %self.addr, "exchange gone");
                    self.condition = Condition::Off;
                    // Whatever is still queued goes out before the connection closes.
                    self.conn = None;
                    self.fail_waiting().await;
                    self.end_open().await;
                    return;
                }
                PeerMail::Condition(condition) => {
                    self.condition = condition;
                    if condition == Condition::Draining {
                        // Nothing that waited for a connection may leave once it drains.
                        self.fail_waiting().await;
                    }
                }
                PeerMail::Started(at) => {
                    // A machine that vanished left its connection open and silent.
                    if self.conn.is_some() && self.conn_at < at {
                        tracing::info!(office = self.office.0, "exchange restarted: connecting again");
                        self.conn = None;
                        self.end_open().await;
                        self.connect();
                    }
                }
                PeerMail::Connected(Ok(stream)) => self.connected(stream),
                PeerMail::Connected(Err(error)) => self.refused(error).await,
                PeerMail::Heard(no, heard) if no == self.conn_no && self.conn.is_some() => match heard {
                    Heard::Message(Ok(message)) => self.message(message).await,
                    Heard::Message(Err(fault)) => {
                        tracing::warn!(office = self.office.0, %fault, "message from an exchange dropped");
                    }
                    Heard::Over(over) => self.lost(over).await,
                },
                PeerMail::Heard(..) => {}
                PeerMail::Retry => self.connect(),
            }
        }
    }

    fn connect(&mut self) {
        if self.connecting || self.conn.is_some() || self.condition == Condition::Off {
            return;
        }
        self.connecting = true;
        let (addr, mailbox) = (self.addr, self.own_mailbox.clone());
        let limit = Duration::from_secs_f64(self.connect_timeout.max(0.001));
        let connect = async move {
            let got = or_late(limit, TcpStream::connect(addr)).await;
            let _ = mailbox.send(PeerMail::Connected(got)).await;
        };
        self.tasks.spawn(connect).detach();
    }

    fn connected(&mut self, stream: TcpStream) {
        self.connecting = false;
        self.suspect = false;
        self.conn_no += 1;
        self.conn_at = self.clock.now();
        let no = self.conn_no;
        let wrap = move |heard| PeerMail::Heard(no, heard);
        self.conn = Some(Conn::open(&self.tasks, stream, self.own_mailbox.clone(), WHOLE_WITHIN, wrap));
        tracing::debug!(office = self.office.0, addr = %self.addr, "connected");
        for (id, far) in std::mem::take(&mut self.waiting) {
            self.put(&id, far);
        }
    }

    /// No connection comes up: nothing ran, and if one was lost just before, the process is dead.
    async fn refused(&mut self, error: std::io::Error) {
        self.connecting = false;
        tracing::debug!(office = self.office.0, %error, "connection refused");
        self.fail_waiting().await;
        if std::mem::take(&mut self.suspect) {
            self.died().await;
        }
        let mailbox = self.own_mailbox.clone();
        let retry = async move {
            Timer::after(PAUSE).await;
            let _ = mailbox.send(PeerMail::Retry).await;
        };
        self.tasks.spawn(retry).detach();
    }

    async fn died(&mut self) {
        tracing::warn!(office = self.office.0, "exchange died: its calls are released");
        self.tell(Input::Died(self.office)).await;
    }

    async fn lost(&mut self, over: Over) {
        tracing::info!(office = self.office.0, ?over, "connection lost");
        self.conn = None;
        self.end_open().await;
        if self.condition == Condition::On {
            self.suspect = true;
            self.connect();
        } else {
            self.died().await;
        }
    }

    async fn end_open(&mut self) {
        for (id, leg) in std::mem::take(&mut self.out) {
            self.ended(id, Some(leg), Outcome::Reset, Why::Unsaid, Report::default()).await;
        }
    }

    async fn fail_waiting(&mut self) {
        for (id, far) in std::mem::take(&mut self.waiting) {
            if let Far::SetUp(set_up) = far {
                let leg = Some(set_up.leg);
                self.ended(id, leg, Outcome::ConnectFailed, Why::Unsaid, Report::default()).await;
            }
        }
    }

    async fn tell(&self, input: Input) {
        post(&self.engine, EngineMail::Input(input)).await;
    }

    async fn ended(&self, id: CallId, leg: Option<u32>, outcome: Outcome, why: Why, report: Report) {
        self.tell(Input::Ended { id, office: self.office, leg, outcome, why, report }).await;
    }

    async fn command(&mut self, id: CallId, far: Far) {
        if self.conn.is_some() {
            return self.put(&id, far);
        }
        match far {
            Far::SetUp(set_up) if self.waiting.len() >= WAITING => {
                let none = Report::default();
                self.ended(id, Some(set_up.leg), Outcome::ConnectFailed, Why::Unsaid, none).await;
            }
            Far::SetUp(_) | Far::Release { .. } => self.waiting.push_back((id, far)),
            // A set-up that has not left needs no giving up: it is taken back.
            Far::GiveUp { .. } => {
                self.waiting.retain(|(w, f)| *w != id || !matches!(f, Far::SetUp(_)));
            }
        }
        self.waiting.truncate(WAITING);
        self.connect();
    }

    fn request(&self, method: &str, number: &str, id: &CallId, cseq: u32) -> Message {
        Message::request(method, &format!("sip:{number}@net"))
            .with("Via", format_args!("SIP/2.0/TCP {}", self.name))
            .with("Call-ID", &id.0)
            .with("CSeq", format_args!("{cseq} {method}"))
    }

    fn put(&mut self, id: &CallId, far: Far) {
        let Some(conn) = &self.conn else { return };
        let message = match far {
            Far::SetUp(SetUp { leg, class, number, description, until, .. }) => {
                let left = ((until - self.clock.now()) * 1000.0).max(1.0);
                self.out.insert(id.clone(), leg);
                let mut message = self.request("INVITE", &number, id, 1);
                message = message.with("X-Tier", class).with("X-Deadline", left.round());
                message.body = description.to_vec();
                message
            }
            Far::GiveUp { leg } => {
                if self.out.get(id) != Some(&leg) {
                    return;
                }
                self.out.remove(id);
                self.request("CANCEL", "call", id, 1)
            }
            Far::Release { .. } => self.request("BYE", "call", id, 2).with("Reason", "Q.850;cause=16"),
        };
        conn.write(&message);
    }

    fn reply(&self, message: &Message) {
        if let Some(conn) = &self.conn {
            conn.write(message);
        }
    }

    async fn message(&mut self, message: Message) {
        let id = CallId(message.get("Call-ID").unwrap_or("").to_owned());
        let report = message.get("X-Gauges").map(gauges).unwrap_or_default();
        match message.method() {
            Some("NOTIFY") => self.tell(Input::Status { office: self.office, report }).await,
            Some("BYE") => {
                self.reply(&Message::response(200, "OK", &message.headers));
                let whole = cause(&message) == Some(16);
                self.tell(Input::Released { id, office: self.office, whole, report }).await;
            }
            Some("OPTIONS") => self.reply(&Message::response(200, "OK", &message.headers)),
            Some("ACK") => {}
            Some(_) => self.reply(&Message::response(405, "Method Not Allowed", &message.headers)),
            None => self.response(id, message, report).await,
        }
    }

    async fn response(&mut self, id: CallId, message: Message, report: Report) {
        let (Some(status), Some((_, "INVITE"))) = (message.status(), message.cseq()) else { return };
        if status < 200 {
            return;
        }
        // Answers are matched by Call-ID and method alone: the number in CSeq tells no attempt.
        let leg = self.out.remove(&id);
        self.reply(&self.request("ACK", "call", &id, 1));
        if status < 300 {
            let description = Arc::from(message.body);
            return self.tell(Input::Answered { id, office: self.office, leg, description }).await;
        }
        let (outcome, why) = verdict(status, message.get("X-Outcome"));
        self.ended(id, leg, outcome, why, report).await;
    }
}

/// A report as it stands in `X-Gauges`; what can't be read is left out.
fn gauges(text: &str) -> Report {
    let pairs = text.split(';').filter_map(|pair| {
        let (name, value) = pair.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    });
    wire::report(&pairs.collect::<BTreeMap<String, f64>>())
}
