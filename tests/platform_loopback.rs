//! The platform front on loopback sockets, with stand-ins for callers, one exchange and discovery.

mod standin;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mallowring::config::Config;
use mallowring::net::{peer::MAX_CONNECTIONS, Node};
use mallowring::sip::header::Transport;
use mallowring::sip::message::Message;
use serde_json::{json, Value};
use standin::SipSocket;

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("the socket is bound")
}

fn addr_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("the socket has a local address")
}

/// A stand-in exchange: its end of all connections that the proxy keeps to it.
struct StandInExchange {
    streams: Vec<TcpStream>,
    received: Receiver<(usize, Option<Message>)>,
    /// The connection on which it received the last message, and on which it sends.
    last_connection: usize,
}

/// Accepts the connections of the proxy to the stand-in exchange.
fn accept_connections(listener: &TcpListener) -> StandInExchange {
    let (sender, received) = channel();
    let accept = |ix| {
        let stream = listener.accept().expect("the proxy connects").0;
        let (mut socket, sender) =
            (SipSocket::from_stream(stream.try_clone().expect("the socket is cloned")), sender.clone());
        thread::spawn(move || loop {
            let message = socket.receive();
            let ended = message.is_none();
            if sender.send((ix, message)).is_err() || ended {
                return;
            }
        });
        stream
    };
    StandInExchange { streams: (0..MAX_CONNECTIONS).map(accept).collect(), received, last_connection: 0 }
}

impl StandInExchange {
    fn send_message(&mut self, message: &Message) {
        self.streams[self.last_connection].write_all(&message.to_bytes()).expect("the message is sent");
    }

    fn receive(&mut self) -> Option<Message> {
        let (ix, message) = self.received.recv().expect("the reader thread sends a message or an end");
        self.last_connection = ix;
        message
    }

    fn expect_message(&mut self, expected: &str) -> Message {
        let message = self.receive().expect("a SIP message");
        assert_eq!(method_or_status(&message), expected, "{message:?}");
        message
    }
}

impl Drop for StandInExchange {
    fn drop(&mut self) {
        for stream in &self.streams {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn method_or_status(message: &Message) -> String {
    message.method().map_or_else(|| message.status().unwrap_or(0).to_string(), str::to_owned)
}

struct Fixture {
    proxy: SocketAddr,
    shutdown: smol::channel::Sender<()>,
    thread: Option<JoinHandle<std::io::Result<()>>>,
    exchange_listener: TcpListener,
    discovery: TcpListener,
    reload: smol::channel::Sender<()>,
    config: Value,
    path: std::path::PathBuf,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        std::fs::remove_file(&self.path).expect("the file exists");
    }
}

fn roster_event(no: u64, reset: bool, lifecycle: &str, exchange: SocketAddr) -> Value {
    let instance = |id: &str, cell: u32, state: &str| {
        json!({"instanceId": id, "hostPort": exchange.to_string(), "zone": "z", "machineType": "m", "cell": cell,
            "lifecycle": state, "weight": 1, "startedAtMs": 0})
    };
    let mut instances = vec![instance("s-far", 1, lifecycle)];
    if reset {
        instances.push(instance("s-own", 0, "ready"));
    }
    json!({"no": no, "roster": {"generation": no, "reset": reset, "instances": instances}})
}

impl Fixture {
    /// Starts a proxy of exchange 0 that knows exchange 1.
    fn start() -> Fixture {
        let (exchange_listener, discovery) = (listener(), listener());
        let class = json!({"name": "voice", "target": 2.0, "give_up": 9.0, "worth": 1.0});
        let urgent = json!({"name": "alarm", "target": 2.0, "give_up": 9.0, "worth": 8.0});
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "bulletin": addr_of(&discovery),
            "known": {"no": 3, "items": [roster_event(3, true, "ready", addr_of(&exchange_listener))]},
            "settings": {"classes": [class, urgent], "n_instances": 2, "tenants": [{"name": "acme"}],
                "extra": {"release": 0.3, "self_no": 0, "class_width": [1, 1]},
                "limits": {"max_attempts": 4, "retry_after": true, "max_retry_after": 2.0},
                "rules": {"drain_grace": 0.5}, "telemetry": {"how": "piggyback"}}});
        let name = format!("mallowring-{}-{}.json", std::process::id(), addr_of(&discovery).port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config.to_string()).expect("the file is written");
        let env = BTreeMap::from([("NODE_CONFIG".to_owned(), path.display().to_string())]);
        let node = Node::bind(Config::read(&env).expect("fine")).expect("sockets");
        let (proxy, shutdown, reload) = (
            node.platform_addr().expect("the platform front is configured"),
            node.shutdown_sender(),
            node.reload_sender(),
        );
        let thread = Some(thread::spawn(|| node.run()));
        Fixture { proxy, shutdown, thread, exchange_listener, discovery, reload, config, path }
    }

    /// Replaces the configuration file and makes the proxy reload it.
    fn reload(&self, text: &str) {
        std::fs::write(&self.path, text).expect("the file is written");
        self.reload.try_send(()).expect("the proxy runs");
        while !self.reload.is_empty() {
            thread::yield_now();
        }
    }

    /// The stand-in exchange, connected; it has sent the state of its trunk group, and the proxy is ready.
    fn ready_exchange(&self) -> StandInExchange {
        let mut exchange = accept_connections(&self.exchange_listener);
        exchange.send_message(&state_notification());
        let mut caller = self.caller();
        while caller.send_options() != Some(200) {
            thread::yield_now();
        }
        exchange
    }

    fn caller(&self) -> SipSocket {
        SipSocket::connect(self.proxy, Transport::Tcp)
    }

    /// Shuts the proxy down and waits for its end.
    fn shut_down(mut self) {
        self.shutdown.try_send(()).expect("the proxy runs");
        self.wait_for_exit();
    }

    fn wait_for_exit(&mut self) {
        let thread = self.thread.take().expect("the proxy was started");
        thread.join().expect("no thread panicked").expect("the proxy drains");
    }
}

fn state_notification() -> Message {
    Message::request("NOTIFY", "sip:proxy@net")
        .with("Call-ID", "state")
        .with("CSeq", "1 NOTIFY")
        .with("X-Gauges", "idle:12;circuits:40;reduce:-1;avg_ms:-1")
}

/// The Call-ID for the name of a call in a test: 16 hex digits, computed with FNV-1a.
fn id_of(name: &str) -> String {
    let hash = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    format!("{:016x}", name.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
}

fn invite(name: &str) -> Message {
    let mut message = Message::request("INVITE", "sip:7f3a9c21e0b4d655@net")
        .with("Via", "SIP/2.0/TCP peer")
        .with("Call-ID", id_of(name))
        .with("CSeq", "1 INVITE")
        .with("X-Tier", "alarm")
        .with("X-Tenant", "acme")
        .with("X-Deadline", 5000)
        .with("X-Attrs", "dest:1;width:1;via:-1");
    message.body = b"offer\r\n\0\xff".to_vec();
    message
}

fn bye(name: &str, cause: u32) -> Message {
    let message = Message::request("BYE", "sip:x@net").with("Call-ID", id_of(name)).with("CSeq", "2 BYE");
    message.with("Reason", format!("Q.850;cause={cause}"))
}

trait CallerExt {
    fn send_message(&mut self, message: &Message);
    fn expect_message(&mut self, expected: &str) -> Message;
    fn send_options(&mut self) -> Option<u16>;
    fn set_up_call(&mut self, exchange: &mut StandInExchange, id: &str);
}

impl CallerExt for SipSocket {
    fn send_message(&mut self, message: &Message) {
        assert!(self.send(&message.to_bytes()), "the message could not be sent");
    }

    /// Receives a message, which must be a request with this method or a response with this status.
    fn expect_message(&mut self, expected: &str) -> Message {
        let message = self.receive().expect("a SIP message");
        assert_eq!(method_or_status(&message), expected, "{message:?}");
        message
    }

    fn send_options(&mut self) -> Option<u16> {
        let options =
            Message::request("OPTIONS", "sip:ping@net").with("Call-ID", "t").with("CSeq", "1 OPTIONS");
        self.send_message(&options);
        self.receive().expect("the proxy answers").status()
    }

    /// Sets a call of this caller up, which the exchange answers.
    fn set_up_call(&mut self, exchange: &mut StandInExchange, id: &str) {
        self.send_message(&invite(id));
        let mut success = Message::response(200, "OK", &exchange.expect_message("INVITE").headers);
        success.body = b"answer\0\xff\r\n\r\n".to_vec();
        exchange.send_message(&success);
        exchange.expect_message("ACK");
        assert_eq!(self.expect_message("200").body, success.body, "byte for byte");
    }
}

#[test]
fn options_succeed_only_after_all_trunk_group_states_arrived() {
    let fixture = Fixture::start();
    let mut exchange = accept_connections(&fixture.exchange_listener);
    assert_eq!(fixture.caller().send_options(), Some(503));
    exchange.send_message(&state_notification());
    let mut caller = fixture.caller();
    while caller.send_options() != Some(200) {
        thread::yield_now();
    }
    fixture.shut_down();
}

#[test]
fn a_set_up_is_forwarded_unchanged_and_its_refusal_carries_a_cool_down() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.send_message(&invite("a"));
    let seen = exchange.expect_message("INVITE");
    assert_eq!((seen.get("Call-ID"), seen.get("X-Tier")), (Some(id_of("a").as_str()), Some("alarm")));
    assert_eq!(
        (seen.start_line.clone(), seen.body.as_slice()),
        (invite("").start_line, &b"offer\r\n\0\xff"[..])
    );
    let left: u32 = seen.get("X-Deadline").and_then(|v| v.parse().ok()).expect("X-Deadline is a number");
    assert!(left <= 2000, "longer than the target of the class: {left}");
    exchange.send_message(&Message::response(503, "Full", &seen.headers).with("X-Outcome", "overload"));
    exchange.expect_message("ACK");
    let refusal = caller.expect_message("503");
    assert!(refusal.get("X-Cooldown").and_then(|v| v.parse::<u32>().ok()).is_some_and(|ms| ms > 0));
    drop(caller);
    fixture.shut_down();
}

/// Guards against matching an attempt by the number in CSeq. Exchanges do not repeat the proxy's number, so that the
/// answer to every second attempt was released and its call timed out (19 of 19 on the calm day of seed 3). As the call
/// alone identifies an answer, a second attempt uses another connection: a repeated answer to the first one must not
/// end it.
#[test]
fn a_second_attempt_is_matched_by_call_id_and_connection_alone() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.send_message(&invite("a"));
    // An answer with the number 1 in CSeq, as exchanges give it.
    let answer = |status, invite: Message| {
        let mut headers = invite.headers;
        headers.retain(|(name, _)| name != "CSeq");
        headers.push(("CSeq".into(), "1 INVITE".into()));
        Message::response(status, "R", &headers)
    };
    let first = exchange.expect_message("INVITE");
    let first_connection = exchange.last_connection;
    exchange.send_message(&answer(500, first));
    // The ACK and the second attempt are on different connections, so they may be read in any order.
    let mut received = Vec::new();
    for _ in 0..2 {
        let message = exchange.receive().expect("a SIP message");
        received.push((method_or_status(&message), exchange.last_connection, message));
    }
    received.sort_by(|a, b| a.0.cmp(&b.0));
    let (method, second_connection, second) = received.pop().expect("two messages");
    assert_eq!((received[0].0.as_str(), received[0].1, method.as_str()), ("ACK", first_connection, "INVITE"));
    assert_ne!(second_connection, first_connection);
    exchange.last_connection = second_connection;
    exchange.send_message(&answer(200, second));
    exchange.expect_message("ACK");
    caller.expect_message("200");
    exchange.send_message(&bye("a", 16));
    exchange.expect_message("200");
    caller.expect_message("BYE");
    fixture.shut_down();
}

/// Guards the delivery of releases: a release may arrive on any connection and twice, and the caller may have
/// connected anew since its set-up.
#[test]
fn a_release_reaches_its_caller_on_any_open_connection() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.set_up_call(&mut exchange, "a");
    drop(caller);
    exchange.send_message(&bye("a", 16));
    exchange.expect_message("200");
    exchange.send_message(&bye("a", 16));
    exchange.expect_message("200");
    // No connection was open: the next connection with a set-up gets the release once; a silent connection does not.
    let _silent = fixture.caller();
    let mut caller = fixture.caller();
    caller.send_message(&invite("c"));
    let seen = exchange.expect_message("INVITE");
    exchange.send_message(&Message::response(200, "OK", &seen.headers));
    exchange.expect_message("ACK");
    let release = caller.expect_message("BYE");
    assert_eq!(
        (release.get("Call-ID"), release.get("Reason")),
        (Some(id_of("a").as_str()), Some("Q.850;cause=16"))
    );
    caller.expect_message("200");
    assert_eq!(caller.send_options(), Some(200));
    // The caller releases its call on another connection than that of the set-up.
    caller.set_up_call(&mut exchange, "b");
    let mut other = fixture.caller();
    other.send_message(&bye("b", 16));
    other.expect_message("200");
    assert_eq!(exchange.expect_message("BYE").get("Call-ID"), Some(id_of("b").as_str()));
    caller.send_message(&bye("c", 16));
    caller.expect_message("200");
    fixture.shut_down();
}

/// Guards releases when an exchange process dies: its connections are reset and new ones are refused. Its established
/// calls are released to their callers with cause 41, and its pending set-ups end.
#[test]
fn the_calls_of_a_dead_exchange_are_released_to_their_callers() {
    let mut fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.set_up_call(&mut exchange, "stands");
    caller.send_message(&invite("out"));
    exchange.expect_message("INVITE");
    let old_listener = std::mem::replace(&mut fixture.exchange_listener, listener());
    drop((old_listener, exchange));
    let mut ends = [caller.receive().expect("the call ends"), caller.receive().expect("the call ends")];
    ends.sort_by_key(|m| m.status());
    assert_eq!((ends[0].method(), ends[0].get("Reason")), (Some("BYE"), Some("Q.850;cause=41")));
    assert_eq!((ends[1].status(), ends[1].get("Call-ID")), (Some(503), Some(id_of("out").as_str())));
    fixture.shut_down();
}

/// Guards against a machine that vanishes: its connections stay open and silent, and only the roster reports that its
/// process started anew. Earlier calls are released, and new connections are opened.
#[test]
fn a_restart_reported_only_by_the_roster_releases_earlier_calls() {
    let fixture = Fixture::start();
    let mut silent = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.set_up_call(&mut silent, "old");
    let mut started = roster_event(4, false, "ready", addr_of(&fixture.exchange_listener));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after the Unix epoch").as_millis();
    // The roster counts whole milliseconds: the next one is certainly after the set-up.
    started["roster"]["instances"][0]["startedAtMs"] = json!(now as u64 + 1);
    let mut stream = fixture.discovery.accept().expect("the proxy connects").0;
    writeln!(stream, "{started}").expect("the message is sent");
    let release = caller.expect_message("BYE");
    assert_eq!(
        (release.get("Call-ID"), release.get("Reason")),
        (Some(id_of("old").as_str()), Some("Q.850;cause=41"))
    );
    let mut new_connections = accept_connections(&fixture.exchange_listener);
    new_connections.send_message(&state_notification());
    new_connections.send_message(&bye("old", 41));
    new_connections.expect_message("200");
    // The old connections are closed. Should discovery be wrong, the process learns of the release on one of them.
    let received: Vec<Option<Message>> = (0..=MAX_CONNECTIONS).map(|_| silent.receive()).collect();
    let messages: Vec<&Message> = received.iter().flatten().collect();
    assert_eq!(messages.len(), 1, "{messages:?}");
    assert_eq!(
        (messages[0].method(), messages[0].get("Call-ID")),
        (Some("BYE"), Some(id_of("old").as_str()))
    );
    fixture.shut_down();
}

/// Guards exchanges against abandoned calls: a set-up that the caller no longer wants is cancelled, and an answer
/// that crosses the CANCEL is released.
#[test]
fn set_ups_of_a_caller_that_leaves_are_cancelled() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    for id in ["a", "b"] {
        let mut caller = fixture.caller();
        caller.send_message(&invite(id));
        let seen = exchange.expect_message("INVITE");
        match id {
            "a" => drop(caller),
            _ => caller.send_message(
                &Message::request("CANCEL", "sip:x@net").with("Call-ID", id_of(id)).with("CSeq", "1 CANCEL"),
            ),
        }
        assert_eq!(exchange.expect_message("CANCEL").get("Call-ID"), Some(id_of(id).as_str()));
        exchange.send_message(&Message::response(200, "OK", &seen.headers));
        exchange.expect_message("ACK");
        assert_eq!(exchange.expect_message("BYE").get("Call-ID"), Some(id_of(id).as_str()));
    }
    fixture.shut_down();
}

/// Sets calls up and releases them until one is refused. The exchange answers each set-up.
fn call_until_refused(caller: &mut SipSocket, mut exchange: StandInExchange) {
    thread::spawn(move || {
        while let Some(message) = exchange.receive() {
            if message.method() == Some("INVITE") {
                exchange.send_message(&Message::response(200, "OK", &message.headers));
            }
        }
    });
    for n in 0.. {
        let id = format!("call-{n}");
        caller.send_message(&invite(&id));
        if caller.receive().expect("the proxy answers").status() == Some(503) {
            break;
        }
        caller.send_message(&bye(&id, 16));
        caller.expect_message("200");
    }
}

/// Closes a connection that another thread may close at the same time.
fn close(stream: &TcpStream) {
    let closed = stream.shutdown(std::net::Shutdown::Both);
    let closed_already = matches!(&closed, Err(error) if error.kind() == ErrorKind::NotConnected);
    assert!(closed.is_ok() || closed_already, "{closed:?}");
}

/// Accepts the connection of the proxy to discovery and reads its request for missed events.
fn read_resume_request(discovery: &TcpListener) -> (TcpStream, String) {
    let stream = discovery.accept().expect("the proxy connects").0;
    let mut line = String::new();
    BufReader::new(stream.try_clone().expect("the socket is cloned"))
        .read_line(&mut line)
        .expect("a line can be read");
    (stream, line)
}

/// Guards against SIGHUP ending the program, which was a crash at every new configuration. An invalid file changes
/// nothing. With a valid one the proxy follows discovery at the new address from the last event on, and keeps its
/// calls.
#[test]
fn reloading_the_configuration_changes_discovery_and_keeps_calls() {
    let mut fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    let (mut old, _) = read_resume_request(&fixture.discovery);
    caller.set_up_call(&mut exchange, "a");
    fixture.reload("{");
    assert_eq!(caller.send_options(), Some(200));
    writeln!(old, "{}", roster_event(4, false, "ready", addr_of(&fixture.exchange_listener)))
        .expect("the old connection to discovery is still open");
    let discovery = listener();
    fixture.config["bulletin"] = json!(addr_of(&discovery).to_string());
    fixture.config["known"] = json!({"no": 4, "items": []});
    fixture.reload(&fixture.config.to_string());
    let (_new, line) = read_resume_request(&discovery);
    assert_eq!(line, "after 4\n");
    exchange.send_message(&bye("a", 16));
    exchange.expect_message("200");
    caller.expect_message("BYE");
    fixture.shut_down();
}

/// Guards against malformed answers. One was dropped and its connection kept, though the rest of the stream can't be
/// trusted, and every set-up there timed out. It must end the set-ups of its own connection only.
#[test]
fn a_malformed_answer_ends_only_its_own_connection() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    let mut sent = Vec::new();
    for name in ["a", "b"] {
        caller.send_message(&invite(name));
        sent.push((exchange.expect_message("INVITE"), exchange.last_connection));
    }
    assert_ne!(sent[0].1, sent[1].1, "set-ups are spread");
    exchange.last_connection = sent[0].1;
    exchange.streams[exchange.last_connection]
        .write_all(b"SIP/2.0 2x0 OK\r\nCall-ID: ?\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    // The connection is closed, and its set-up is released on another one, as it may have been established.
    let seen = [exchange.receive(), exchange.receive()];
    assert!(seen.iter().any(Option::is_none), "{seen:?}");
    let release = seen.iter().flatten().next().expect("a release");
    assert_eq!((release.method(), release.get("Call-ID")), (Some("BYE"), Some(id_of("a").as_str())));
    // The exchange may read the close of the connection late: the call is refused at once.
    assert_eq!(caller.expect_message("503").get("Call-ID"), Some(id_of("a").as_str()));
    // The other set-up is answered on its own connection. A duplicate and an answer with an unknown id are ignored.
    exchange.last_connection = sent[1].1;
    let success = Message::response(200, "OK", &sent[1].0.headers);
    exchange.send_message(&Message::response(200, "OK", &invite("stranger").headers));
    exchange.send_message(&success);
    exchange.send_message(&success);
    assert_eq!(exchange.expect_message("ACK").get("Call-ID"), Some(id_of("b").as_str()));
    assert_eq!(caller.expect_message("200").get("Call-ID"), Some(id_of("b").as_str()));
    // The first set-up is not attempted again, neither after the pause nor under its id on another connection.
    thread::sleep(Duration::from_millis(400));
    let mut another_caller = fixture.caller();
    another_caller.send_message(&invite("a"));
    another_caller.expect_message("503");
    another_caller.send_message(&invite("c"));
    let next = exchange.expect_message("INVITE");
    assert_eq!(next.get("Call-ID"), Some(id_of("c").as_str()));
    exchange.send_message(&Message::response(200, "OK", &next.headers));
    exchange.expect_message("ACK");
    another_caller.expect_message("200");
    for (name, caller) in [("b", &mut caller), ("c", &mut another_caller)] {
        exchange.send_message(&bye(name, 16));
        exchange.expect_message("200");
        caller.expect_message("BYE");
    }
    fixture.shut_down();
}

/// Guards against a connection that stays open and delivers nothing more: set-ups were still sent on it, each timed
/// out, and the decision module took the exchange for silent. A set-up overtaken by later ones on other connections
/// keeps new ones off its connection; it is refused in time and never sent again, as the exchange may still read it. A
/// release that crosses the close of the connection was dropped, and its caller not informed.
#[test]
fn a_connection_that_withholds_an_answer_is_closed() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.set_up_call(&mut exchange, "stands");
    let mut lost_caller = fixture.caller();
    lost_caller.send_message(&invite("lost"));
    assert_eq!(exchange.expect_message("INVITE").get("Call-ID"), Some(id_of("lost").as_str()));
    let (silent_connection, mut closed, mut served) = (exchange.last_connection, false, Vec::new());
    for n in 0.. {
        thread::sleep(Duration::from_millis(5));
        let name = format!("call-{n}");
        caller.send_message(&invite(&name));
        while !served.contains(&id_of(&name)) {
            match exchange.receive() {
                None => {
                    assert_eq!(exchange.last_connection, silent_connection);
                    closed = true;
                    exchange.send_message(&bye("stands", 16));
                    assert_eq!(caller.expect_message("BYE").get("Call-ID"), Some(id_of("stands").as_str()));
                }
                Some(message) if message.method() == Some("INVITE") => {
                    assert_ne!(message.get("Call-ID"), Some(id_of("lost").as_str()), "sent again");
                    assert_ne!(exchange.last_connection, silent_connection, "sent on the silent connection");
                    exchange.send_message(&Message::response(200, "OK", &message.headers));
                    served.push(message.get("Call-ID").expect("a Call-ID header").to_owned());
                    let answer = caller.expect_message("200");
                    let mut release = bye("x", 16);
                    standin::set_header(
                        &mut release,
                        "Call-ID",
                        answer.get("Call-ID").expect("a Call-ID header"),
                    );
                    caller.send_message(&release);
                    caller.expect_message("200");
                }
                Some(_) => {}
            }
        }
        if closed {
            break;
        }
    }
    assert_eq!(lost_caller.expect_message("503").get("Call-ID"), Some(id_of("lost").as_str()));
    fixture.shut_down();
}

/// Guards against connecting to the wrong process: a draining exchange that has stopped is not connected again, as a
/// new exchange may listen at its address. Its calls are released at once.
#[test]
fn a_drained_exchange_that_stopped_is_not_reconnected() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.set_up_call(&mut exchange, "a");
    let (mut discovery, _) = read_resume_request(&fixture.discovery);
    writeln!(discovery, "{}", roster_event(4, false, "draining", addr_of(&fixture.exchange_listener)))
        .expect("the message is sent");
    let ends: Vec<_> =
        exchange.streams.iter().map(|stream| stream.try_clone().expect("the socket is cloned")).collect();
    // A refused call shows that the proxy has read the roster event.
    call_until_refused(&mut caller, exchange);
    for end in ends {
        thread::sleep(Duration::from_millis(20));
        close(&end);
    }
    let release = caller.expect_message("BYE");
    assert_eq!(
        (release.get("Call-ID"), release.get("Reason")),
        (Some(id_of("a").as_str()), Some("Q.850;cause=41"))
    );
    // The next connection here belongs to the next exchange on the roster.
    let mut new = roster_event(5, false, "ready", addr_of(&fixture.exchange_listener));
    new["roster"]["instances"][0]["instanceId"] = json!("s-new");
    writeln!(discovery, "{new}").expect("the message is sent");
    let mut new_connections = accept_connections(&fixture.exchange_listener);
    new_connections.send_message(&state_notification());
    while caller.send_options() != Some(200) {}
    caller.send_message(&invite("b"));
    let headers = new_connections.expect_message("INVITE").headers;
    new_connections.send_message(&Message::response(486, "Busy Here", &headers));
    caller.expect_message("503");
    fixture.shut_down();
}

/// Guards against a roster that is no longer updated: a silent connection to discovery is closed, and the next one
/// requests the events since.
#[test]
fn a_silent_discovery_connection_is_replaced_and_drains_are_kept() {
    let fixture = Fixture::start();
    let exchange = fixture.ready_exchange();
    let (mut stream, line) = read_resume_request(&fixture.discovery);
    assert_eq!(line, "after 3\n");
    let drains = roster_event(4, false, "draining", addr_of(&fixture.exchange_listener));
    writeln!(stream, "3\n{drains}\n4").expect("the message is sent");
    call_until_refused(&mut fixture.caller(), exchange);
    let (_stream, line) = read_resume_request(&fixture.discovery);
    assert_eq!(line, "after 4\n");
    fixture.shut_down();
}

#[test]
fn invalid_set_ups_are_rejected_and_keep_the_connection_open() {
    let fixture = Fixture::start();
    let _peer = fixture.ready_exchange();
    let mut caller = fixture.caller();
    let cases = [
        ("X-Tier", "none", "488"),
        ("X-Tenant", "stranger", "403"),
        ("X-Attrs", "dest:9", "404"),
        ("X-Attrs", "width:1", "400"),
        ("X-Deadline", "soon", "400"),
        ("X-Deadline", "1e12", "400"),
        ("X-Deadline", "-1", "400"),
        ("X-Attrs", "dest:1;width:-3", "400"),
        ("X-Attrs", "dest:1;width:70000", "400"),
        ("X-Attrs", "dest:1;width:one", "400"),
        ("X-Attrs", "dest:1;width:1;via:77", "400"),
        ("X-Attrs", "dest:1;transit:2", "400"),
        ("Call-ID", "no hex", "400"),
    ];
    for (name, value, status) in cases {
        let mut message = invite("a");
        standin::set_header(&mut message, name, value);
        caller.send_message(&message);
        caller.expect_message(status);
    }
    assert!(
        caller.send(b"INVITE sip:a@net SIP/9\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
    );
    caller.expect_message("400");
    assert_eq!(caller.send_options(), Some(200));
    // Where the end of a message is unknown, that connection is closed, and no other.
    assert!(caller.send(b"INVITE sip:a@net SIP/2.0\r\nCall-ID: c\r\n\r\n"));
    assert!(caller.receive().is_none());
    assert_eq!(fixture.caller().send_options(), Some(200));
    fixture.shut_down();
}

/// Guards callers against others that use their call ids. Another connection that sent the same id took over a set-up
/// and got its 200 response, and a CANCEL from any connection cancelled it.
#[test]
fn the_id_of_a_pending_call_can_not_be_used_by_another_caller() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let (mut caller, mut other_caller) = (fixture.caller(), fixture.caller());
    caller.send_message(&invite("a"));
    let seen = exchange.expect_message("INVITE");
    let mut other_set_up = invite("a");
    other_set_up.body = b"another".to_vec();
    other_caller.send_message(&other_set_up);
    other_caller.expect_message("482");
    other_caller.send_message(
        &Message::request("CANCEL", "sip:x@net").with("Call-ID", id_of("a")).with("CSeq", "1 CANCEL"),
    );
    other_caller.expect_message("481");
    other_caller.send_message(&bye("a", 16));
    other_caller.expect_message("481");
    exchange.send_message(&Message::response(200, "OK", &seen.headers));
    exchange.expect_message("ACK");
    caller.expect_message("200");
    caller.send_message(&bye("a", 16));
    caller.expect_message("200");
    // Two set-ups with one id on one connection: the connection is closed, and neither is answered.
    other_caller.send_message(&invite("b"));
    exchange.expect_message("BYE");
    exchange.expect_message("INVITE");
    other_caller.send_message(&invite("b"));
    assert!(other_caller.receive().is_none());
    assert_eq!(exchange.expect_message("CANCEL").get("Call-ID"), Some(id_of("b").as_str()));
    fixture.shut_down();
}

/// Guards the descriptors: a connection is closed if it never sends a complete message, or sends one without an id or
/// with a body that is too long. Another caller is served meanwhile.
#[test]
fn connections_that_can_not_be_answered_are_closed() {
    let fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let bad: [&[u8]; 5] = [
        b"",
        b"INVITE sip:a@net SIP/2.0\r\nCall-ID: 0123",
        b"INVITE sip:a@net SIP/2.0\r\nCall-ID: 0123456789abcdef\r\nContent-Length: 9\r\n\r\nabc",
        b"INVITE sip:a@net SIP/2.0\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n",
        b"INVITE sip:a@net SIP/2.0\r\nCall-ID: 0123456789abcdef\r\nContent-Length: 60000000\r\n\r\nabc",
    ];
    let mut callers = bad.map(|bytes| {
        let mut caller = fixture.caller();
        assert!(caller.send(bytes));
        caller
    });
    let mut caller = fixture.caller();
    caller.set_up_call(&mut exchange, "a");
    for (caller, bytes) in callers.iter_mut().zip(bad) {
        assert!(caller.receive().is_none(), "{}", String::from_utf8_lossy(bytes));
    }
    caller.send_message(&bye("a", 16));
    caller.expect_message("200");
    fixture.shut_down();
}

/// Guards planned restarts: after a shutdown request the program serves further set-ups until its last call has
/// ended.
#[test]
fn a_shutdown_serves_until_all_calls_have_ended() {
    let mut fixture = Fixture::start();
    let mut exchange = fixture.ready_exchange();
    let mut caller = fixture.caller();
    caller.set_up_call(&mut exchange, "a");
    fixture.shutdown.try_send(()).expect("the proxy runs");
    let mut late = fixture.caller();
    late.set_up_call(&mut exchange, "b");
    for id in ["a", "b"] {
        exchange.send_message(&bye(id, 16));
    }
    assert_eq!(caller.expect_message("BYE").get("Call-ID"), Some(id_of("a").as_str()));
    assert_eq!(late.expect_message("BYE").get("Call-ID"), Some(id_of("b").as_str()));
    fixture.wait_for_exit();
}

/// The built program: SIGHUP does not end it, and SIGTERM ends it with success once no call is left.
#[test]
fn sigterm_shuts_the_program_down_cleanly() {
    let service = service_on_free_ports();
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_mallowring"))
        .env("MALLOWRING_SERVICE", &service)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
    assert!(lines.any(|line| line.expect("a line can be read").contains("SIP over UDP and TCP started")));
    let id = child.id().to_string();
    let send = |signal: &str| {
        std::process::Command::new("kill").args([signal, id.as_str()]).status().expect("kill").success()
    };
    assert!(send("-HUP"));
    assert!(lines.any(|line| line.expect("a line can be read").contains("configuration read again")));
    assert!(send("-TERM"));
    assert!(child.wait().expect("the program ends").success());
    assert!(lines.any(|line| line.expect("a line can be read").contains("drained")));
    std::fs::remove_file(service).expect("the file exists");
}

fn service_on_free_ports() -> std::path::PathBuf {
    let text = std::fs::read_to_string("deploy/service.toml").expect("the service file can be read");
    let path = std::env::temp_dir().join(format!("mallowring-sigterm-{}.toml", std::process::id()));
    std::fs::write(&path, text.replace("127.0.0.1:5060", "127.0.0.1:0")).expect("the file is written");
    path
}
