//! Stand-ins of the platform's protocol: the bulletin, exchanges, a caller, and the proxy's configuration.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::harness::*;
use crate::sip::{Message, Reader};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

// ---- The bulletin --------------------------------------------------------------------------------

/// One line of the list of exchanges.
pub fn instance(id: &str, address: SocketAddr, number: u32, state: &str, started_ms: u64) -> String {
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"east\",\"machineType\":\"std\",\"cell\":{number},\
         \"lifecycle\":\"{state}\",\"weight\":1,\"startedAtMs\":{started_ms}}}"
    )
}

#[derive(Default)]
struct Events {
    lines: Vec<String>,
    /// Seconds for which the bulletin is silent on each connection that is made from now on.
    silence: f64,
    connections: Vec<TcpStream>,
}

/// The bulletin, as the platform's page describes it.
#[derive(Clone)]
pub struct Bulletin {
    pub address: SocketAddr,
    events: Arc<Mutex<Events>>,
    record: Record,
}

impl Bulletin {
    pub fn start(record: &Record) -> Result<Bulletin, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let bulletin =
            Bulletin { address: listener.local_addr()?, events: Arc::default(), record: record.clone() };
        let serving = bulletin.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(bulletin)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else { return };
        let Ok(kept) = stream.try_clone() else { return };
        let silence = {
            let mut events = lock(&self.events);
            events.connections.push(kept);
            events.silence
        };
        let mut line = String::new();
        if BufReader::new(stream).read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let Some(mut told) = line.trim().strip_prefix("after ").and_then(|n| n.parse::<usize>().ok()) else {
            return;
        };
        self.record.line(format!("bulletin: asked '{}'", line.trim()));
        sleep(silence);
        let mut next_number_at = now() + 1.0;
        loop {
            let new: Vec<String> = lock(&self.events).lines.iter().skip(told).cloned().collect();
            for line in new {
                told += 1;
                if output.write_all(format!("{line}\n").as_bytes()).is_err() {
                    return self.record.line("bulletin: a connection has ended");
                }
                self.record.line(format!("bulletin: event {told} written"));
            }
            if now() >= next_number_at {
                next_number_at += 1.0;
                if output.write_all(format!("{told}\n").as_bytes()).is_err() {
                    return self.record.line("bulletin: a connection has ended");
                }
            }
            sleep(0.02);
        }
    }

    /// Puts an event with these lines into the bulletin.
    pub fn tell(&self, instances: &[String]) {
        let mut events = lock(&self.events);
        let no = events.lines.len() + 1;
        let instances = instances.join(",");
        events.lines.push(format!(
            "{{\"no\":{no},\"roster\":{{\"generation\":{no},\"reset\":false,\"instances\":[{instances}]}}}}"
        ));
        self.record.line(format!("bulletin: event {no} is in it: {instances}"));
    }

    /// Breaks off all connections; each new one is silent at first for so many seconds.
    pub fn break_off(&self, silence: f64) {
        let mut events = lock(&self.events);
        events.silence = silence;
        for connection in events.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line("bulletin: connections broken off");
    }

    fn known(&self) -> String {
        let events = lock(&self.events);
        format!("{{\"no\":{},\"items\":[{}]}}", events.lines.len(), events.lines.join(","))
    }
}

// ---- The proxy's configuration -------------------------------------------------------------------

/// The settings of a small deployment, as an instance is given them. `tenants` are their names.
pub fn settings(tenants: &[&str]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|t| format!("{{\"name\":\"{t}\",\"portion\":0.5,\"quota_per_s\":19.0}}"))
        .collect();
    let class = |name: &str, target: f64, give_up: f64, worth: f64| {
        format!(
            "{{\"name\":\"{name}\",\"target\":{target},\"give_up\":{give_up},\"semantics\":\"free\",\"worth\":{worth},\
             \"late_value\":0.25,\"key_scope\":\"all\",\"window\":5.0,\"streamed\":true}}"
        )
    };
    format!(
        "{{\"az\":\"east\",\"classes\":[{},{},{}],\"clients\":{{\"marks_retry\":true}},\"discovery\":\"pushed\",\
         \"extra\":{{\"allowed_pools\":[],\"centre_advises\":false,\"class_width\":[1,3,1],\"far_state\":\"piggyback\",\
         \"mean_hold\":[12.6,16.3,7.5],\"network_form\":\"network\",\"release\":0.3,\"retransmit\":0.0,\"says_wait\":false,\
         \"self_no\":0}},\"limits\":{{\"cancel\":true,\"conn_idle\":600.0,\"connect_timeout\":0.5,\"max_attempts\":4,\
         \"max_retry_after\":2.0,\"parallel_tries\":false,\"peers\":false,\"probing\":false,\"retry_after\":true}},\
         \"my_number\":0,\"n_instances\":4,\"rules\":{{\"answer_slack\":0.02,\"ask_every\":10.0,\"cold_from\":0.34,\
         \"drain_grace\":0.5,\"fall\":2.0,\"fall_multiple\":4.0,\"warm_within\":15.0}},\"telemetry\":{{\"fields\":[\"idle\",\
         \"circuits\",\"reduce\",\"avg_ms\"],\"how\":\"piggyback\"}},\"tenants\":[{}],\"tick\":0.005}}",
        class("trace-read", 2.0, 9.0, 1.0),
        class("multi-station", 2.0, 9.0, 2.0),
        class("event-alert", 1.2, 6.0, 8.0),
        tenants.join(",")
    )
}

/// Writes the node configuration and starts the proxy with it; waits until it passes the test.
pub fn start_platform_proxy(
    setting: &Setting,
    bulletin: &Bulletin,
) -> Result<(Process, SocketAddr), Failure> {
    start_platform_proxy_with(setting, bulletin, 192, 1024)
}

/// The same with limits of memory in MB and of descriptors.
pub fn start_platform_proxy_with(
    setting: &Setting,
    bulletin: &Bulletin,
    memory_mb: u64,
    descriptors: u32,
) -> Result<(Process, SocketAddr), Failure> {
    let listen = free_address()?;
    let config = format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\
         \"sockets\":{descriptors}}},\"bulletin\":\"{}\",\"known\":{},\"settings\":{}}}",
        bulletin.address,
        bulletin.known(),
        settings(&["obras-viales", "coop-cafetera"])
    );
    let path = setting.folder.join("config.json");
    std::fs::write(&path, config)?;
    let proxy = start_proxy(setting, &[("NODE_CONFIG", path.display().to_string())])?;
    if !wait_for(15.0, || passes_test(listen)) {
        return Err("the proxy is not ready".into());
    }
    setting.record.line("the proxy is ready");
    Ok((proxy, listen))
}

// ---- An exchange ---------------------------------------------------------------------------------

#[derive(Default)]
struct Exchange {
    name: String,
    size: usize,
    /// Circuits of the group that the calls of its other users hold.
    others: usize,
    /// Length of the descriptions in its answers.
    description: usize,
    /// The calls that stand, with the connection of their set-up.
    calls: BTreeMap<String, u64>,
    /// The calls whose release goes out on the next connection as well.
    released: Vec<String>,
    connections: BTreeMap<u64, TcpStream>,
    next: u64,
}

impl Exchange {
    fn state(&self) -> Message {
        let free = self.size.saturating_sub(self.others + self.calls.len());
        Message::new("NOTIFY sip:proxy@net SIP/2.0")
            .with("Via", "SIP/2.0/TCP peer")
            .with("Call-ID", "0000000000000001")
            .with("CSeq", "1 NOTIFY")
            .with("X-Gauges", format!("idle:{free};circuits:{};reduce:0;avg_ms:5", self.size))
    }

    fn send(&mut self, connection: u64, message: &Message) {
        if let Some(stream) = self.connections.get_mut(&connection) {
            let _ = stream.write_all(&message.bytes());
        }
    }

    fn tell_state(&mut self) {
        let state = self.state();
        let open: Vec<u64> = self.connections.keys().copied().take(4).collect();
        open.into_iter().for_each(|connection| self.send(connection, &state));
    }
}

fn release(id: &str, cause: u32) -> Message {
    Message::new("BYE sip:proxy@net SIP/2.0")
        .with("Via", "SIP/2.0/TCP peer")
        .with("Call-ID", id)
        .with("CSeq", "2 BYE")
        .with("Reason", format!("Q.850;cause={cause}"))
}

/// Runs an exchange in this process: `NAME ADDRESS SIZE OTHERS DESCRIPTION`, the last one being the length of the
/// descriptions in its answers. It takes commands on its standard input: `others N` sets the circuits that others hold,
/// `release ID` ends a call.
pub fn run_exchange(arguments: &[String]) -> Result<(), Failure> {
    let [name, address, size, others, description] = arguments else {
        return Err("exchange NAME ADDRESS SIZE OTHERS DESCRIPTION".into());
    };
    let listener = TcpListener::bind(address)?;
    let exchange = Exchange {
        name: name.clone(),
        size: size.parse()?,
        others: others.parse()?,
        description: description.parse()?,
        ..Exchange::default()
    };
    let exchange = Arc::new(Mutex::new(exchange));
    report(format!("{name} listens"));
    let commands = exchange.clone();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let (verb, value) = line.split_once(' ').unwrap_or((&line, ""));
            let mut exchange = lock(&commands);
            match verb {
                "others" => {
                    exchange.others = value.parse().unwrap_or(0);
                    report(format!("{} others {value}", exchange.name));
                    exchange.tell_state();
                }
                "release" => {
                    if let Some(connection) = exchange.calls.remove(value) {
                        report(format!("{} release-sent {value}", exchange.name));
                        exchange.tell_state();
                        let fallback = exchange.connections.keys().next().copied();
                        let open = exchange.connections.contains_key(&connection);
                        if let Some(connection) = if open { Some(connection) } else { fallback } {
                            exchange.send(connection, &release(value, 16));
                        }
                        exchange.released.push(value.to_owned());
                    }
                }
                _ => {}
            }
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let exchange = exchange.clone();
        std::thread::spawn(move || serve_proxy(&exchange, stream));
    }
    Ok(())
}

fn serve_proxy(shared: &Arc<Mutex<Exchange>>, stream: TcpStream) {
    let Ok(output) = stream.try_clone() else { return };
    let (connection, name) = {
        let mut exchange = lock(shared);
        exchange.next += 1;
        let connection = exchange.next;
        exchange.connections.insert(connection, output);
        let state = exchange.state();
        exchange.send(connection, &state);
        for id in std::mem::take(&mut exchange.released) {
            exchange.send(connection, &release(&id, 16));
        }
        (connection, exchange.name.clone())
    };
    report(format!("{name} connection {connection} opened"));
    let mut reader = Reader::new(stream);
    while let Some(message) = reader.next() {
        let id = message.get("Call-ID").to_owned();
        match message.method() {
            "INVITE" => {
                report(format!("{name} set-up {id}"));
                let shared = shared.clone();
                std::thread::spawn(move || {
                    sleep(0.03);
                    let mut exchange = lock(&shared);
                    if !exchange.connections.contains_key(&connection) {
                        return;
                    }
                    exchange.calls.insert(id.clone(), connection);
                    exchange.tell_state();
                    let mut description = format!("answer {} {id} ", exchange.name).into_bytes();
                    description.resize(exchange.description.max(description.len()), b'd');
                    let answer = message.response("200 OK").body(&description);
                    exchange.send(connection, &answer);
                    report(format!("{} stands {id}", exchange.name));
                });
            }
            "BYE" => {
                report(format!("{name} released-by-proxy {id}"));
                let mut exchange = lock(shared);
                exchange.calls.remove(&id);
                exchange.send(connection, &message.response("200 OK"));
                exchange.tell_state();
            }
            "CANCEL" => report(format!("{name} cancelled {id}")),
            "OPTIONS" => lock(shared).send(connection, &message.response("200 OK")),
            _ => {}
        }
    }
    lock(shared).connections.remove(&connection);
    report(format!("{name} connection {connection} ended"));
}

// ---- A caller ------------------------------------------------------------------------------------

/// What a caller has received for a call.
#[derive(Clone, Debug, Default)]
pub struct CallState {
    pub sent: f64,
    pub answers: Vec<(f64, u32)>,
    pub released: Option<(f64, String)>,
}

/// A caller with one connection to the proxy.
#[derive(Clone)]
pub struct Caller {
    output: Arc<Mutex<TcpStream>>,
    pub calls: Arc<Mutex<BTreeMap<String, CallState>>>,
    record: Record,
}

impl Caller {
    pub fn connect(record: &Record, proxy: SocketAddr) -> Result<Caller, Failure> {
        let stream = TcpStream::connect_timeout(&proxy, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let caller = Caller {
            output: Arc::new(Mutex::new(stream.try_clone()?)),
            calls: Arc::default(),
            record: record.clone(),
        };
        let reading = caller.clone();
        std::thread::spawn(move || {
            let mut reader = Reader::new(stream);
            while let Some(message) = reader.next() {
                reading.receive(&message);
            }
            reading.record.line("caller: the connection has ended");
        });
        Ok(caller)
    }

    fn receive(&self, message: &Message) {
        let (at, id) = (now(), message.get("Call-ID").to_owned());
        if message.method() == "BYE" {
            self.record.line_at(at, format!("caller: release of {id}, cause {}", message.cause()));
            lock(&self.calls).entry(id).or_default().released = Some((at, message.cause().to_owned()));
            return self.send(&message.response("200 OK"));
        }
        if message.cseq_method() == "INVITE" && message.status() >= 200 {
            self.record.line_at(at, format!("caller: {} for {id}", message.status()));
            lock(&self.calls).entry(id.clone()).or_default().answers.push((at, message.status()));
            let ack = Message::new("ACK sip:call@net SIP/2.0").with("Via", "SIP/2.0/TCP peer");
            self.send(&ack.with("Call-ID", id).with("CSeq", "1 ACK"));
        }
    }

    fn send(&self, message: &Message) {
        let _ = lock(&self.output).write_all(&message.bytes());
    }

    /// Sends a set-up to an exchange number.
    pub fn call(&self, id: &str, dest: u32, tenant: &str) {
        self.record.line(format!("caller: set-up {id} to {dest}"));
        lock(&self.calls).entry(id.to_owned()).or_default().sent = now();
        let set_up = Message::new(format!("INVITE sip:7f3a9c21e0b4{dest:04}@net SIP/2.0"))
            .with("Via", "SIP/2.0/TCP peer")
            .with("Call-ID", id)
            .with("CSeq", "1 INVITE")
            .with("X-Tier", "trace-read")
            .with("X-Deadline", 3000)
            .with("X-Tenant", tenant)
            .with("X-Attrs", format!("dest:{dest};width:1;via:-1"));
        self.send(&set_up.body(b"c=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"));
    }

    /// Ends a call.
    pub fn release(&self, id: &str) {
        self.record.line(format!("caller: ends {id}"));
        let bye = Message::new("BYE sip:call@net SIP/2.0").with("Via", "SIP/2.0/TCP peer");
        self.send(&bye.with("Call-ID", id).with("CSeq", "2 BYE").with("Reason", "Q.850;cause=16"));
    }

    /// Whether the call was answered with 200.
    pub fn stands(&self, id: &str) -> bool {
        lock(&self.calls).get(id).is_some_and(|call| call.answers.iter().any(|(_, status)| *status == 200))
    }

    /// When the call was released to this caller.
    pub fn released_at(&self, id: &str) -> Option<f64> {
        lock(&self.calls).get(id)?.released.as_ref().map(|(at, _)| *at)
    }
}
