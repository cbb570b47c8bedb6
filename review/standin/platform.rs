//! The platform around a proxy: its configuration, exchanges, the bulletin, and callers (PROTOCOL, DEPLOY, WIRE).

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::sip::{self, Message, Reader};
use crate::world::{now, record, sleep, temporary_folder};

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
pub fn write_configuration(listen: SocketAddr, bulletin: SocketAddr, known: &[String]) -> String {
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bulletin":"{bulletin}","known":{{"no":{},"items":[{}]}},"settings":{SETTINGS}}}"#,
        known.len(),
        known.join(",")
    );
    let (path, next) = (temporary_folder().join("config.json"), temporary_folder().join("config.json.next"));
    fs::write(&next, text).expect("the configuration can be written");
    fs::rename(next, &path).expect("the configuration can be replaced");
    path.to_string_lossy().into_owned()
}

/// One exchange of the list; its zone follows from its number.
pub fn instance(id: &str, addr: SocketAddr, number: u32, state: &str, started_at_ms: u128) -> String {
    let zone = ["central", "occidente", "oriente", "peten", "central"][number as usize % 5];
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{addr}","zone":"{zone}","machineType":"std","cell":{number},"lifecycle":"{state}","weight":4,"startedAtMs":{started_at_ms}}}"#
    )
}

pub fn event(no: usize, whole: bool, instances: &[String]) -> String {
    let list = instances.join(",");
    format!(r#"{{"no":{no},"roster":{{"generation":{no},"reset":{whole},"instances":[{list}]}}}}"#)
}

/// A bulletin.
#[derive(Clone)]
pub struct Bulletin {
    pub addr: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
}

impl Bulletin {
    pub fn start(events: Vec<String>) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let bulletin = Bulletin { addr, events: Arc::new(Mutex::new(events)) };
        let serving = bulletin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bulletin = serving.clone();
                thread::spawn(move || bulletin.serve(stream));
            }
        });
        bulletin
    }

    pub fn tell(&self, event: String) {
        locked(&self.events).push(event);
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut line = String::new();
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        if reader.read_line(&mut line).is_err() {
            return;
        }
        record(format!("bulletin: the proxy asks: {}", line.trim()));
        let mut told: usize = line.trim().strip_prefix("after ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut numbered = f64::NEG_INFINITY;
        loop {
            let events = locked(&self.events).clone();
            let mut text = String::new();
            for event in events.iter().skip(told) {
                text += &format!("{event}\n");
            }
            if now() - numbered >= 1.0 {
                text += &format!("{}\n", events.len());
                numbered = now();
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            for event in events.iter().skip(told) {
                record(format!("bulletin: told: {event}"));
            }
            told = told.max(events.len());
            sleep(0.01);
        }
    }
}

// ---- Exchanges -----------------------------------------------------------------------------------

/// Circuits of the group between an exchange and the proxy.
const CIRCUITS: usize = 40;

#[derive(Default)]
struct ExchangeState {
    /// Number of the process that runs; connections of earlier ones stay open and silent.
    process: u64,
    /// The machine is lost: it reads nothing, writes nothing and takes no connection.
    lost: bool,
    connections: BTreeMap<u64, TcpStream>,
    next_connection: u64,
    /// Connections of earlier processes, kept open.
    silent: Vec<TcpStream>,
    /// Connections that keep the queue of the listener full, with their ports.
    fillers: Vec<TcpStream>,
    filler_ports: BTreeSet<u16>,
    /// Calls that stand, with the connection of their set-up.
    calls: BTreeMap<String, u64>,
    /// Circuits taken by calls that the exchange at the other end of the group began.
    taken_by_others: usize,
    /// Releases to be sent again on the next connection to be opened.
    releases: Vec<Message>,
    /// Calls that have come to their end: when, and whether the release could be sent.
    over: BTreeMap<String, (f64, bool)>,
}

impl ExchangeState {
    fn state(&self) -> Message {
        let idle = CIRCUITS - self.calls.len() - self.taken_by_others;
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
        listener.set_nonblocking(true).expect("a listener that does not block");
        let addr = listener.local_addr().expect("an address");
        let exchange = Exchange { addr, name: name.to_owned(), hold_s, state: Arc::default() };
        let accepting = exchange.clone();
        thread::spawn(move || accepting.accept(listener));
        exchange
    }

    fn accept(&self, listener: TcpListener) {
        loop {
            if locked(&self.state).lost {
                sleep(0.002);
                continue;
            }
            match listener.accept() {
                Ok((stream, from)) => {
                    let mut state = locked(&self.state);
                    if state.filler_ports.remove(&from.port()) {
                        continue;
                    }
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let (id, process) = (state.next_connection, state.process);
                    state.next_connection += 1;
                    let _ = sip::send(&stream, &state.state());
                    for release in std::mem::take(&mut state.releases) {
                        let _ = sip::send(&stream, &release);
                    }
                    let reader = Reader::new(&stream);
                    state.connections.insert(id, stream);
                    let exchange = self.clone();
                    thread::spawn(move || exchange.read(id, process, reader));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(0.002),
                Err(_) => return,
            }
        }
    }

    fn read(&self, connection: u64, process: u64, mut reader: Reader) {
        while let Some(message) = reader.next() {
            if locked(&self.state).process != process {
                continue; // No process reads it any more.
            }
            self.take(connection, process, message);
        }
        let mut state = locked(&self.state);
        if state.process == process {
            state.connections.remove(&connection);
        }
    }

    fn take(&self, connection: u64, process: u64, message: Message) {
        let id = message.call();
        match message.method() {
            "INVITE" => {
                record(format!("{}: set-up {id}", self.name));
                let exchange = self.clone();
                thread::spawn(move || exchange.serve(connection, process, message));
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

    fn serve(&self, connection: u64, process: u64, set_up: Message) {
        sleep(0.02);
        let id = set_up.call();
        {
            let mut state = locked(&self.state);
            if state.process != process {
                return;
            }
            state.calls.insert(id.clone(), connection);
            state.tell_state();
            let answer = set_up.response("200 OK", &[], format!("answer-{}-{id}", self.name).as_bytes());
            let Some(stream) = state.connections.get(&connection) else { return };
            let _ = sip::send(stream, &answer);
        }
        record(format!("{}: answered {id}", self.name));
        sleep(self.hold_s);
        self.release(&id, process);
    }

    /// Ends a call: the release goes out on the connection of its set-up, else on any open one, and again on the next
    /// connection to be opened.
    fn release(&self, id: &str, process: u64) {
        let mut state = locked(&self.state);
        if state.process != process {
            return;
        }
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

    /// Ends all calls that stand.
    pub fn release_all(&self) {
        let (process, ids) = {
            let state = locked(&self.state);
            (state.process, state.calls.keys().cloned().collect::<Vec<_>>())
        };
        for id in ids {
            self.release(&id, process);
        }
    }

    pub fn set_taken_by_others(&self, circuits: usize) {
        let mut state = locked(&self.state);
        state.taken_by_others = circuits;
        state.tell_state();
        record(format!("{}: {circuits} circuits taken by calls of the other end", self.name));
    }

    /// The machine is lost with all its calls: open connections stay open and silent, and new ones never come up.
    pub fn lose(&self) -> Result<(), String> {
        {
            let mut state = locked(&self.state);
            (state.lost, state.process, state.taken_by_others) = (true, state.process + 1, 0);
            let connections = std::mem::take(&mut state.connections);
            state.silent.extend(connections.into_values());
            for id in std::mem::take(&mut state.calls).into_keys() {
                record(format!("{}: the machine is lost, call {id} is cut", self.name));
            }
            state.releases.clear();
        }
        for _ in 0..10_000 {
            match TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)) {
                Ok(stream) => {
                    let mut state = locked(&self.state);
                    state.filler_ports.insert(stream.local_addr().map_err(|e| e.to_string())?.port());
                    state.fillers.push(stream);
                }
                Err(error) if matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                    let fillers = locked(&self.state).fillers.len();
                    record(format!("{}: no connection comes up ({fillers} fill its queue)", self.name));
                    return Ok(());
                }
                Err(error) => return Err(error.to_string()),
            }
        }
        Err("connections still come up".to_owned())
    }

    /// A cold process runs at the address.
    pub fn come_back(&self) {
        record(format!("{}: back, cold", self.name));
        let mut state = locked(&self.state);
        state.fillers.clear();
        state.lost = false;
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
