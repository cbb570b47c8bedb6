//! The platform around a proxy: its configuration, exchanges, the bulletin, and callers (PROTOCOL, DEPLOY, WIRE).

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::sip::{self, Message, Reader};
use crate::world::{free_addr, now, record, sleep, temporary_folder};

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

// ---- Configuration and bulletin ------------------------------------------------------------------

/// The settings of a small deployment like gt-sismo-red, in the form of WIRE.
pub const SETTINGS: &str = r#"{"az":"peten","classes":[
{"give_up":9.0,"late_value":0.25,"name":"trace-read","semantics":"free","streamed":true,"target":2.0,"window":5.0,"worth":1.0},
{"give_up":9.0,"late_value":0.1,"name":"multi-station","semantics":"free","streamed":true,"target":2.0,"window":5.0,"worth":2.0},
{"give_up":6.0,"late_value":0.25,"name":"event-alert","semantics":"free","streamed":true,"target":1.2,"window":5.0,"worth":8.0}],
"clients":{"marks_retry":true},"discovery":"pushed",
"extra":{"allowed_pools":[],"centre_advises":true,"class_width":[1,3,1],"far_state":"piggyback","mean_hold":[12.6,16.3,7.5],"network_form":"network","release":0.3,"retransmit":0.0,"says_wait":false,"self_no":0},
"family":"trunks","kinds":["single-core"],
"limits":{"cancel":true,"conn_idle":600.0,"connect_timeout":0.5,"cpu_us_per_request":0.0,"cpu_us_per_s":300000,"max_attempts":4,"max_open":20000,"max_retry_after":2.0,"multiplex":1048576,"parallel_tries":false,"peers":false,"probing":false,"retry_after":true},
"my_number":0,"n_instances":4,"over_share_worth":0.2,
"rules":{"answer_slack":0.02,"ask_every":10.0,"cold_from":0.34,"drain_grace":0.5,"fall":2.0,"fall_multiple":4.0,"warm_within":15.0},
"telemetry":{"fields":["idle","circuits","reduce","avg_ms"],"how":"piggyback"},
"tenants":[{"name":"obras-viales","portion":0.64,"quota_per_s":19.0},{"name":"coop-cafetera","portion":0.23,"quota_per_s":7.0},{"name":"colegio-ingenieros","portion":0.13,"quota_per_s":4.0}],
"tick":0.005,"tier":0,"tiers":["feed-exchanges"],"weights":"silent","worth_by":"request","zones":["occidente","central","oriente","peten"]}"#;

/// Writes the proxy's configuration file whole, as the platform does.
pub fn write_configuration(listen: SocketAddr, bulletin: SocketAddr, known: &str) -> String {
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bulletin":"{bulletin}","known":{{"no":1,"items":[{known}]}},"settings":{SETTINGS}}}"#
    );
    let (path, next) = (temporary_folder().join("config.json"), temporary_folder().join("config.json.next"));
    fs::write(&next, text).expect("the configuration can be written");
    fs::rename(next, &path).expect("the configuration can be replaced");
    path.to_string_lossy().into_owned()
}

fn instance(id: &str, addr: SocketAddr, number: usize) -> String {
    let zone = ["central", "occidente", "oriente", "peten", "central"][number % 5];
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{addr}","zone":"{zone}","machineType":"std","cell":{number},"lifecycle":"ready","weight":4,"startedAtMs":0}}"#
    )
}

/// The first event, with the whole list: the own exchange, which is never called, and the others, numbered from 1.
pub fn first_event(exchanges: &[Exchange]) -> String {
    let mut instances = vec![instance("s-00000000", free_addr(), 0)];
    for (ix, exchange) in exchanges.iter().enumerate() {
        instances.push(instance(&format!("s-{:08x}", ix + 1), exchange.addr, ix + 1));
    }
    let list = instances.join(",");
    format!(r#"{{"no":1,"roster":{{"generation":1,"reset":true,"instances":[{list}]}}}}"#)
}

/// A bulletin that has nothing to tell but the first event.
pub struct Bulletin {
    pub addr: SocketAddr,
}

impl Bulletin {
    pub fn start(event: String) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let event = event.clone();
                thread::spawn(move || serve_bulletin(stream, &event));
            }
        });
        Bulletin { addr }
    }
}

/// Tells the event to a proxy that does not have it, and the last number every second.
fn serve_bulletin(mut stream: TcpStream, event: &str) {
    let mut line = String::new();
    let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
    if reader.read_line(&mut line).is_err() {
        return;
    }
    record(format!("bulletin: the proxy asks: {}", line.trim()));
    let first = if line.trim() == "after 0" { format!("{event}\n") } else { String::new() };
    let mut sent = stream.write_all(first.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(b"1\n");
        sleep(1.0);
    }
}

// ---- Exchanges -----------------------------------------------------------------------------------

/// Circuits of the group between an exchange and the proxy.
const CIRCUITS: usize = 40;

#[derive(Default)]
struct ExchangeState {
    connections: BTreeMap<u64, TcpStream>,
    next_connection: u64,
    /// Calls that stand, with the connection of their set-up.
    calls: BTreeMap<String, u64>,
    /// Releases to be sent again on the next connection to be opened.
    releases: Vec<Message>,
    /// Calls that have come to their end: when, and whether the release could be sent.
    over: BTreeMap<String, (f64, bool)>,
}

impl ExchangeState {
    fn state(&self) -> Message {
        let idle = CIRCUITS - self.calls.len();
        let gauges = format!("idle:{idle};circuits:{CIRCUITS};reduce:-1;avg_ms:-1");
        let headers = [
            ("Via", "SIP/2.0/TCP exchange"),
            ("Call-ID", "0000000000000000"),
            ("CSeq", "1 NOTIFY"),
            ("X-Gauges", &gauges),
        ];
        Message::request("NOTIFY", "sip:state@net", &headers, b"")
    }

    fn tell_state(&self) {
        for stream in self.connections.values().take(4) {
            let _ = sip::send(stream, &self.state());
        }
    }
}

/// An exchange: answers each set-up after 20 ms, holds the call, and releases it with cause 16.
#[derive(Clone)]
pub struct Exchange {
    pub addr: SocketAddr,
    name: String,
    hold_s: f64,
    state: Arc<Mutex<ExchangeState>>,
}

impl Exchange {
    pub fn start(name: &str, hold_s: f64) -> Exchange {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let exchange = Exchange { addr, name: name.to_owned(), hold_s, state: Arc::default() };
        let accepting = exchange.clone();
        thread::spawn(move || accepting.accept(listener));
        exchange
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let mut state = locked(&self.state);
            let id = state.next_connection;
            state.next_connection += 1;
            let _ = sip::send(&stream, &state.state());
            for release in std::mem::take(&mut state.releases) {
                let _ = sip::send(&stream, &release);
            }
            let reader = Reader::new(&stream);
            state.connections.insert(id, stream);
            let exchange = self.clone();
            thread::spawn(move || exchange.read(id, reader));
        }
    }

    fn read(&self, connection: u64, mut reader: Reader) {
        while let Some(message) = reader.next() {
            self.take(connection, message);
        }
        locked(&self.state).connections.remove(&connection);
    }

    fn take(&self, connection: u64, message: Message) {
        let id = message.call();
        match message.method() {
            "INVITE" => {
                record(format!("{}: set-up {id}", self.name));
                let exchange = self.clone();
                thread::spawn(move || exchange.serve(connection, message));
            }
            "BYE" => {
                record(format!("{}: release of {id} by the proxy", self.name));
                let mut state = locked(&self.state);
                state.calls.remove(&id);
                if let Some(stream) = state.connections.get(&connection) {
                    let _ = sip::send(stream, &message.response("200 OK", &[], b""));
                }
                state.tell_state();
            }
            "CANCEL" => record(format!("{}: set-up {id} given up", self.name)),
            _ => {}
        }
    }

    fn serve(&self, connection: u64, set_up: Message) {
        sleep(0.02);
        let id = set_up.call();
        {
            let mut state = locked(&self.state);
            state.calls.insert(id.clone(), connection);
            state.tell_state();
            let answer = set_up.response("200 OK", &[], format!("answer-{}-{id}", self.name).as_bytes());
            let Some(stream) = state.connections.get(&connection) else { return };
            let _ = sip::send(stream, &answer);
        }
        record(format!("{}: answered {id}", self.name));
        sleep(self.hold_s);
        self.release(&id);
    }

    /// Ends a call: the release goes out on the connection of its set-up, else on any open one, and again on the next
    /// connection to be opened.
    fn release(&self, id: &str) {
        let mut state = locked(&self.state);
        let Some(connection) = state.calls.remove(id) else { return };
        state.tell_state();
        let headers = [
            ("Via", "SIP/2.0/TCP exchange"),
            ("Call-ID", id),
            ("CSeq", "2 BYE"),
            ("Reason", "Q.850;cause=16"),
        ];
        let release = Message::request("BYE", "sip:call@net", &headers, b"");
        let stream = state.connections.get(&connection).or(state.connections.values().next());
        let sent = stream.is_some_and(|stream| sip::send(stream, &release).is_ok());
        record(format!("{}: call {id} is over, release {}", self.name, if sent { "sent" } else { "waits" }));
        state.over.insert(id.to_owned(), (now(), sent));
        state.releases.push(release);
    }

    /// When a call came to its end, and whether its release could be sent.
    pub fn call_over(&self, id: &str) -> Option<(f64, bool)> {
        locked(&self.state).over.get(id).copied()
    }
}

// ---- Callers -------------------------------------------------------------------------------------

#[derive(Default)]
struct CallerState {
    messages: Vec<(f64, Message)>,
}

/// A caller's connection. It acknowledges answers and releases, and stays open until the proxy closes it.
#[derive(Clone)]
pub struct Caller {
    stream: Arc<TcpStream>,
    state: Arc<Mutex<CallerState>>,
}

impl Caller {
    pub fn connect(addr: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        let _ = stream.set_nodelay(true);
        let caller = Caller { stream: Arc::new(stream), state: Arc::default() };
        let (reading, mut reader) = (caller.clone(), Reader::new(&caller.stream));
        thread::spawn(move || {
            while let Some(message) = reader.next() {
                reading.take(message);
            }
            record("caller: the proxy has closed the connection");
        });
        Ok(caller)
    }

    fn take(&self, message: Message) {
        let reason = message.get("Reason");
        record(format!("caller: received {} {} {reason}", message.first, message.call()));
        if message.is_final_answer() {
            let id = message.call();
            let headers = [("Via", "SIP/2.0/TCP caller"), ("Call-ID", id.as_str()), ("CSeq", "1 ACK")];
            let _ = sip::send(&self.stream, &Message::request("ACK", "sip:call@net", &headers, b""));
        } else if message.method() == "BYE" {
            let _ = sip::send(&self.stream, &message.response("200 OK", &[], b""));
        }
        locked(&self.state).messages.push((now(), message));
    }

    /// Sends a set-up for an exchange; returns its time.
    pub fn set_up(&self, id: &str, dest: u32, deadline_ms: u32) -> f64 {
        let (deadline, attributes) = (deadline_ms.to_string(), format!("dest:{dest};width:1;via:-1"));
        let headers = [
            ("Via", "SIP/2.0/TCP caller"),
            ("Call-ID", id),
            ("CSeq", "1 INVITE"),
            ("X-Tier", "trace-read"),
            ("X-Deadline", &deadline),
            ("X-Tenant", "obras-viales"),
            ("X-Attrs", &attributes),
        ];
        let uri = format!("sip:{}@net", id.chars().rev().collect::<String>());
        record(format!("caller: set-up {id} to exchange {dest}"));
        let set_up = Message::request("INVITE", &uri, &headers, format!("offer-{id}").as_bytes());
        if sip::send(&self.stream, &set_up).is_err() {
            record(format!("caller: set-up {id} could not be sent"));
        }
        now()
    }

    fn first(&self, id: &str, wanted: impl Fn(&Message) -> bool) -> Option<(f64, Message)> {
        let state = locked(&self.state);
        state.messages.iter().find(|(_, m)| m.call() == id && wanted(m)).cloned()
    }

    /// When the call was answered, and with what status.
    pub fn answer(&self, id: &str) -> Option<(f64, u16)> {
        self.first(id, Message::is_final_answer).map(|(at, m)| (at, m.status()))
    }

    /// When the call was released.
    pub fn release(&self, id: &str) -> Option<f64> {
        self.first(id, |m| m.method() == "BYE").map(|(at, _)| at)
    }
}
