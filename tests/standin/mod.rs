//! Stand-ins for SIP callers and a SIP exchange, on blocking loopback sockets.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use mallowring::config::Config;
use mallowring::net::Node;
use mallowring::sip::header::{self, Transport};
use mallowring::sip::message::{Framer, Message, StartLine, MAX_MESSAGE_BYTES};

/// Read timeout that only a failed test reaches.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A number that is unique in this process.
fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Replaces the value of a header.
pub fn set_header(message: &mut Message, name: &str, value: &str) {
    message.headers.retain(|(n, _)| n != name);
    message.headers.push((name.to_owned(), value.to_owned()));
}

/// A proxy with the repository's service file on free ports, in a thread of its own. It is shut down when dropped.
pub struct Proxy {
    pub addr: SocketAddr,
    pub http: Option<SocketAddr>,
    pub netconf: Option<SocketAddr>,
    stop: smol::channel::Sender<()>,
    thread: Option<thread::JoinHandle<std::io::Result<()>>>,
}

impl Proxy {
    /// Starts it with these exchanges in place of those of the file, and with additional sections.
    pub fn start(exchanges: &str, more_sections: &str) -> Proxy {
        let text = std::fs::read_to_string("deploy/service.toml").expect("the service file can be read");
        let (head, rest) = text.split_once("[[sip.exchanges]]").expect("the service file has an exchange");
        let (_, settings) = rest.split_once("[settings]").expect("settings");
        let head = head.replace("127.0.0.1:5060", "127.0.0.1:0");
        let path =
            std::env::temp_dir().join(format!("mallowring-{}-{}.toml", std::process::id(), next_number()));
        std::fs::write(&path, format!("{head}{exchanges}{more_sections}\n[settings]{settings}"))
            .expect("the file is written");
        let env = BTreeMap::from([("MALLOWRING_SERVICE".to_owned(), path.display().to_string())]);
        let config = Config::read(&env);
        std::fs::remove_file(&path).expect("the file exists");
        let node = Node::bind(config.expect("the configuration is valid")).expect("sockets");
        let (addr, stop) = (node.sip_addr().expect("the SIP front is configured"), node.shutdown_sender());
        let (http, netconf) = (node.http_addr(), node.netconf_addr());
        Proxy { addr, http, netconf, stop, thread: Some(thread::spawn(|| node.run())) }
    }
}

impl Proxy {
    /// Starts the shutdown, as SIGTERM does.
    pub fn shut_down(&self) {
        self.stop.try_send(()).expect("the proxy runs");
    }

    /// Whether the proxy has ended, checked until the time is over.
    pub fn has_ended_within(&self, limit: Duration) -> bool {
        let start = std::time::Instant::now();
        let has_ended = || self.thread.as_ref().is_none_or(|thread| thread.is_finished());
        while !has_ended() && start.elapsed() < limit {
            thread::sleep(Duration::from_millis(5));
        }
        has_ended()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if thread::panicking() {
            // A failed test may leave calls, for whose end the proxy would wait.
            return;
        }
        let _ = self.stop.try_send(());
        let ended = self.thread.take().map(thread::JoinHandle::join);
        if !thread::panicking() {
            ended.expect("the proxy was started").expect("no thread panicked").expect("the proxy drains");
        }
    }
}

/// A socket to the proxy that sends and receives SIP messages.
pub enum SipSocket {
    Udp(UdpSocket, SocketAddr),
    Tcp(TcpStream, Framer),
}

impl SipSocket {
    pub fn connect(to: SocketAddr, transport: Transport) -> SipSocket {
        match transport {
            Transport::Udp => {
                let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
                socket.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout is set");
                SipSocket::Udp(socket, to)
            }
            Transport::Tcp => SipSocket::from_stream(TcpStream::connect(to).expect("the connection opens")),
        }
    }

    /// Wraps an open connection.
    pub fn from_stream(stream: TcpStream) -> SipSocket {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout is set");
        SipSocket::Tcp(stream, Framer::default())
    }

    fn local(&self) -> SocketAddr {
        match self {
            SipSocket::Udp(socket, _) => socket.local_addr(),
            SipSocket::Tcp(stream, _) => stream.local_addr(),
        }
        .expect("the socket has a local address")
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        match self {
            SipSocket::Udp(socket, to) => socket.send_to(bytes, *to).is_ok(),
            SipSocket::Tcp(stream, _) => stream.write_all(bytes).is_ok(),
        }
    }

    pub fn receive(&mut self) -> Option<Message> {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        match self {
            SipSocket::Udp(socket, _) => {
                let (n, _) = socket.recv_from(&mut bytes).ok()?;
                Some(Message::parse_datagram(&bytes[..n]).expect("a SIP message"))
            }
            SipSocket::Tcp(stream, framer) => loop {
                if let Some(message) = framer.next_message().expect("framing") {
                    return Some(message.expect("a SIP message"));
                }
                match stream.read(&mut bytes) {
                    Ok(0) | Err(_) => return None,
                    Ok(n) => framer.push(&bytes[..n]),
                }
            },
        }
    }
}

/// A stand-in caller.
pub struct Caller {
    proxy: SocketAddr,
    socket: SipSocket,
    transport: Transport,
    call_id: String,
    tag: String,
    /// Messages received while waiting for another one.
    unread: Vec<Message>,
}

impl Caller {
    pub fn new(proxy: SocketAddr, transport: Transport) -> Caller {
        let socket = SipSocket::connect(proxy, transport);
        let (call_id, tag) = (format!("call-{}", next_number()), format!("tag-{}", next_number()));
        Caller { proxy, socket, transport, call_id, tag, unread: Vec::new() }
    }

    /// The same caller on a new socket with another transport.
    pub fn over_transport(&self, transport: Transport) -> Caller {
        let mut other = Caller::new(self.proxy, transport);
        (other.call_id, other.tag) = (self.call_id.clone(), self.tag.clone());
        other
    }

    pub fn via(&self) -> String {
        let (name, local) = (self.transport.name(), self.socket.local());
        format!("SIP/2.0/{name} {local};rport;branch=z9hG4bK{}", next_number())
    }

    fn contact(&self) -> String {
        let name = self.transport.name().to_lowercase();
        format!("<sip:caller@{};transport={name}>", self.socket.local())
    }

    pub fn invite(&self, number: &str, deadline_ms: u32, body: &[u8]) -> Message {
        let mut message = Message::request("INVITE", &format!("sip:{number}@{}", self.proxy))
            .with("Via", self.via())
            .with("Max-Forwards", 70)
            .with("From", format!("<sip:caller@coop-cafetera>;tag={}", self.tag))
            .with("To", format!("<sip:{number}@{}>", self.proxy))
            .with("Call-ID", &self.call_id)
            .with("CSeq", "1 INVITE")
            .with("Contact", self.contact())
            // Urgent, so that the decision module does not refuse it because of a slow test machine.
            .with("Priority", "emergency")
            .with("X-Deadline", deadline_ms);
        message.body = body.to_vec();
        message
    }

    /// A request with the headers of an INVITE, such as its CANCEL.
    pub fn same_transaction(&self, invite: &Message, method: &str) -> Message {
        let mut message = invite.clone();
        message.body.clear();
        if let StartLine::Request { method: m, .. } = &mut message.start_line {
            *m = method.to_owned();
        }
        message.headers.retain(|(n, _)| !["CSeq", "Contact", "Priority", "X-Deadline"].contains(&n.as_str()));
        message.with("CSeq", format!("1 {method}"))
    }

    /// The ACK for a response that refuses the INVITE.
    pub fn ack(&self, invite: &Message, refusal: &Message) -> Message {
        let mut message = self.same_transaction(invite, "ACK");
        message.headers.retain(|(n, _)| n != "To");
        message.with("To", refusal.get("To").expect("a To header"))
    }

    /// A request within the dialog that a 200 response established.
    pub fn in_dialog(&self, success: &Message, method: &str) -> Message {
        let target = header::addr_spec(success.get("Contact").expect("a Contact header"));
        let number = if method == "ACK" { 1 } else { 2 };
        Message::request(method, target)
            .with("Via", self.via())
            .with("Max-Forwards", 70)
            .with("From", success.get("From").expect("a From header"))
            .with("To", success.get("To").expect("a To header"))
            .with("Call-ID", &self.call_id)
            .with("CSeq", format!("{number} {method}"))
    }

    pub fn send(&mut self, message: &Message) {
        assert!(self.try_send(message), "the message could not be sent");
    }

    pub fn try_send(&mut self, message: &Message) -> bool {
        self.socket.send(&message.to_bytes())
    }

    pub fn send_raw(&mut self, bytes: &[u8]) {
        assert!(self.socket.send(bytes));
    }

    /// Resets the connection by closing it with unread data. Waits until such data has arrived.
    pub fn reset(&mut self) {
        let new_socket = SipSocket::connect(self.proxy, Transport::Tcp);
        if let SipSocket::Tcp(stream, _) = std::mem::replace(&mut self.socket, new_socket) {
            assert!(stream.peek(&mut [0]).expect("unread data arrives") > 0);
        }
    }

    /// The next message of any kind.
    pub fn next_message(&mut self) -> Message {
        self.socket.receive().expect("a SIP message")
    }

    fn next_matching(&mut self, matches: impl Fn(&Message) -> bool) -> Message {
        if let Some(ix) = self.unread.iter().position(&matches) {
            return self.unread.remove(ix);
        }
        loop {
            let message = self.next_message();
            if matches(&message) {
                return message;
            }
            self.unread.push(message);
        }
    }

    pub fn response(&mut self, method: &str) -> Message {
        self.next_matching(|m| {
            m.status().is_some() && m.cseq().is_some_and(|(_, cseq_method)| cseq_method == method)
        })
    }

    pub fn final_response(&mut self, method: &str) -> Message {
        let matches = |m: &Message| m.cseq().is_some_and(|(_, cseq_method)| cseq_method == method);
        self.next_matching(|m| m.status() >= Some(200) && matches(m))
    }

    pub fn request(&mut self, method: &str) -> Message {
        self.next_matching(|m| m.method() == Some(method))
    }
}

/// The requests that the exchange received for one number.
#[derive(Default)]
struct NumberRecord {
    requests: Vec<String>,
    /// Responses by transaction, to answer retransmissions.
    answers: BTreeMap<String, Vec<Message>>,
    invites: usize,
}

#[derive(Default)]
struct State {
    numbers: BTreeMap<String, NumberRecord>,
    /// The called number by Call-ID.
    calls: BTreeMap<String, String>,
    answer_requested: bool,
    held_set_up: Option<(Message, Reply)>,
    /// The ACKs of established calls by number, with the way back.
    acknowledged: BTreeMap<String, (Message, Reply)>,
}

#[derive(Clone)]
enum Reply {
    Udp(Arc<UdpSocket>, SocketAddr),
    Tcp(Arc<Mutex<TcpStream>>),
}

impl Reply {
    fn send(&self, message: &Message) {
        match self {
            Reply::Udp(socket, to) => drop(socket.send_to(&message.to_bytes(), to)),
            Reply::Tcp(stream) => {
                drop(stream.lock().expect("no thread panicked").write_all(&message.to_bytes()))
            }
        }
    }
}

/// A stand-in exchange on UDP and TCP. The called number selects its behaviour.
pub struct Exchange {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Exchange {
    pub fn start() -> Exchange {
        let (udp, tcp) = loop {
            let udp = UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
            if let Ok(tcp) = TcpListener::bind(udp.local_addr().expect("the socket has a local address")) {
                break (Arc::new(udp), tcp);
            }
        };
        let addr = udp.local_addr().expect("the socket has a local address");
        let state = Arc::<(Mutex<State>, Condvar)>::default();
        let shared = state.clone();
        thread::spawn(move || {
            let mut bytes = vec![0; MAX_MESSAGE_BYTES];
            while let Ok((n, from)) = udp.recv_from(&mut bytes) {
                let message = Message::parse_datagram(&bytes[..n]).expect("the proxy sends valid SIP");
                handle_request(&shared, addr, message, &Reply::Udp(udp.clone(), from));
            }
        });
        let shared = state.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = tcp.accept() {
                let shared = shared.clone();
                let reply =
                    Reply::Tcp(Arc::new(Mutex::new(stream.try_clone().expect("the socket is cloned"))));
                let mut socket = SipSocket::Tcp(stream, Framer::default());
                thread::spawn(move || {
                    while let Some(message) = socket.receive() {
                        handle_request(&shared, addr, message, &reply);
                    }
                });
            }
        });
        Exchange { addr, state }
    }

    /// Its section in a service file.
    pub fn entry(&self, number: usize, prefix: &str, transport: Transport) -> String {
        format!(
            "[[sip.exchanges]]\nnumber = {number}\nprefixes = [\"{prefix}\"]\naddress = \"{}\"\n\
             transport = \"{}\"\ncircuits = 9\n",
            self.addr,
            transport.name()
        )
    }

    fn wait_until<T>(&self, what: &str, condition: impl Fn(&mut State) -> Option<T>) -> T {
        let mut state = self.state.0.lock().expect("no thread panicked");
        loop {
            if let Some(found) = condition(&mut state) {
                return found;
            }
            let (next, timeout) = self.state.1.wait_timeout(state, READ_TIMEOUT).expect("no thread panicked");
            assert!(!timeout.timed_out(), "the exchange never received {what}");
            state = next;
        }
    }

    /// Waits until a request with this method was received for a number.
    pub fn wait_for(&self, number: &str, method: &str) {
        self.wait_until(method, |state| {
            let record = state.numbers.get(number)?;
            record.requests.iter().any(|r| r == method).then_some(())
        });
    }

    /// Answers the set-up that is held back.
    pub fn answer_held_set_up(&self) {
        let (message, reply) = self.wait_until("a held set-up", |state| state.held_set_up.take());
        answer(self.addr, &message, &reply);
    }

    /// Releases the call that is established with a number.
    pub fn release(&self, number: &str) {
        let (ack, reply) = self.wait_until("the ACK of a call", |state| state.acknowledged.remove(number));
        reply.send(&bye(self.addr, &ack, 16));
    }

    /// The methods received for a number. Waits for the end of its last transaction: an ACK, or a BYE if the caller
    /// hangs up.
    pub fn wait_for_end(&self, number: &str) -> Vec<String> {
        self.wait_until("the end of a call", |state| {
            let Some(record) = state.numbers.get(number) else { return Some(Vec::new()) };
            let last = if number.starts_with("answer") { "BYE" } else { "ACK" };
            (record.requests.last().map(String::as_str) == Some(last)).then(|| record.requests.clone())
        })
    }
}

fn answer(addr: SocketAddr, invite: &Message, reply: &Reply) {
    reply.send(&success(addr, invite));
}

/// The release of a call whose 200 response this ACK has acknowledged.
fn bye(addr: SocketAddr, ack: &Message, cause: u32) -> Message {
    Message::request("BYE", "sip:mallowring@127.0.0.1")
        .with("Via", format!("SIP/2.0/UDP {addr};rport;branch=z9hG4bK{}", next_number()))
        .with("Max-Forwards", 70)
        .with("From", ack.get("To").expect("a To header"))
        .with("To", ack.get("From").expect("a From header"))
        .with("Call-ID", ack.get("Call-ID").expect("a Call-ID header"))
        .with("CSeq", "9 BYE")
        .with("Reason", format!("Q.850;cause={cause}"))
}

fn with_tag(mut message: Message) -> Message {
    for (name, value) in &mut message.headers {
        if name == "To" && header::tag(value).is_none() {
            value.push_str(";tag=exchange");
        }
    }
    message
}

fn success(addr: SocketAddr, invite: &Message) -> Message {
    let transport = if invite.get("Via").is_some_and(|v| v.contains("/TCP")) { "tcp" } else { "udp" };
    let message = with_tag(Message::response(200, "OK", &invite.headers));
    let mut message = message.with("Contact", format!("<sip:x@{addr};transport={transport}>"));
    message.body = [b"answer to ", invite.body.as_slice()].concat();
    message
}

/// Handles one request as RFC 3261 requires: a retransmission gets the same responses and is not recorded again.
fn handle_request(shared: &Arc<(Mutex<State>, Condvar)>, addr: SocketAddr, message: Message, reply: &Reply) {
    let Some(method) = message.method().map(str::to_owned) else { return };
    let call_id = message.get("Call-ID").expect("a Call-ID header").to_owned();
    let branch =
        message.get("Via").and_then(|v| header::parameter(v, "branch")).expect("a branch in the Via header");
    let transaction = format!("{branch} {method}");
    let mut guard = shared.0.lock().expect("no thread panicked");
    let state = &mut *guard;
    if method == "INVITE" {
        let StartLine::Request { uri, .. } = &message.start_line else { return };
        let number = header::Uri::parse(uri).expect("the request URI is a SIP URI").user.to_owned();
        state.calls.insert(call_id.clone(), number);
    }
    let number = state.calls.get(&call_id).cloned().unwrap_or_default();
    let record = state.numbers.entry(number.clone()).or_default();
    if let Some(answers) = record.answers.get(&transaction) {
        answers.iter().for_each(|m| reply.send(m));
        return;
    }
    record.requests.push(method.clone());
    let response = |status, reason| with_tag(Message::response(status, reason, &message.headers));
    let mut answers = Vec::new();
    match method.as_str() {
        "INVITE" => {
            record.invites += 1;
            answers.push(response(100, "Trying"));
            match (number.as_str(), record.invites) {
                ("answer" | "answer-first" | "answer-udp" | "answer-tcp" | "hangup" | "cut", _)
                | ("reset", 2) => {
                    answers.push(response(180, "Ringing"));
                    answers.push(success(addr, &message));
                }
                ("busy", _) => answers.push(response(486, "Busy Here")),
                ("full", _) => answers.push(response(503, "Service Unavailable")),
                ("error", _) => answers.push(response(500, "Server Internal Error")),
                ("reset", _) => answers.push(response(504, "Server Time-out")),
                ("answer-when-told", _) => state.held_set_up = Some((message.clone(), reply.clone())),
                _ => {}
            }
        }
        "CANCEL" => {
            answers.push(response(200, "OK"));
            let mut terminated = response(487, "Request Terminated");
            for (name, value) in &mut terminated.headers {
                if name == "CSeq" {
                    *value = value.replace("CANCEL", "INVITE");
                }
            }
            answers.push(terminated);
        }
        "BYE" => answers.push(response(200, "OK")),
        "ACK"
            if matches!(number.as_str(), "hangup" | "cut" | "reset") && message.get("Contact").is_none() =>
        {
            let refused = number == "reset" && record.invites < 2;
            if !refused {
                let cause = if number == "cut" { 41 } else { 16 };
                answers.push(bye(addr, &message, cause));
            }
        }
        "ACK" => drop(state.acknowledged.insert(number.clone(), (message.clone(), reply.clone()))),
        _ => {}
    }
    answers.iter().for_each(|m| reply.send(m));
    record.answers.insert(transaction, answers);
    shared.1.notify_all();
}
