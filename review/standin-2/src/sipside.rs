//! Stand-ins that speak SIP (RFC 3261): exchanges in processes of their own, callers over UDP, and the
//! operators' service file.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::harness::*;
use crate::platform::lock;
use crate::sip::{Message, Reader};

/// Writes a service file like the one under `deploy/` with one exchange over TCP, and starts the proxy with it; waits
/// until its SIP front answers.
pub fn start_sip_proxy(
    setting: &Setting,
    listen: SocketAddr,
    exchange: SocketAddr,
    tenants: &[&str],
) -> Result<Process, Failure> {
    let class = |name: &str, target: f64, give_up: f64, worth: f64| {
        format!(
            "[[settings.classes]]\nname = \"{name}\"\ntarget = {target:?}\ngive_up = {give_up:?}\nsemantics = \"free\"\n\
             worth = {worth:?}\nlate_value = 0.25\n\n"
        )
    };
    let tenants: String =
        tenants.iter().map(|t| format!("[[settings.tenants]]\nname = \"{t}\"\n\n")).collect();
    let text = format!(
        "name = \"sismored\"\n\n[sip]\nlisten = \"{listen}\"\nurgent_class = \"event-alert\"\n\n[[sip.exchanges]]\n\
         number = 1\nprefixes = [\"5021\"]\naddress = \"{exchange}\"\ntransport = \"tcp\"\ncircuits = 40\n\n\
         [settings]\nn_instances = 3\ndiscovery = \"pushed\"\ntick = 0.005\n\n{}{}{}[settings.extra]\n\
         class_width = [1, 3, 1]\nmean_hold = [12.6, 16.3, 7.5]\nnetwork_form = \"network\"\nrelease = 0.3\nself_no = 0\n\n\
         [settings.limits]\ncancel = true\nmax_attempts = 4\nretry_after = true\nmax_retry_after = 2.0\n\
         connect_timeout = 0.5\n\n[settings.rules]\nanswer_slack = 0.02\ncold_from = 0.34\ndrain_grace = 0.5\nfall = 2.0\n\
         fall_multiple = 4.0\nwarm_within = 15.0\n\n[settings.telemetry]\nhow = \"silent\"\n\n{tenants}",
        class("trace-read", 2.0, 9.0, 1.0),
        class("multi-station", 2.0, 9.0, 2.0),
        class("event-alert", 1.2, 6.0, 8.0)
    );
    let path = setting.folder.join("service.toml");
    std::fs::write(&path, text)?;
    let proxy = start_proxy(setting, &[("MALLOWRING_SERVICE", path.display().to_string())])?;
    if !wait_for(15.0, || answers_options(listen)) {
        return Err("the SIP front does not answer".into());
    }
    setting.record.line("the proxy is ready");
    Ok(proxy)
}

fn answers_options(proxy: SocketAddr) -> bool {
    let test = || -> Option<u32> {
        let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
        let own = socket.local_addr().ok()?;
        socket.set_read_timeout(Some(Duration::from_millis(300))).ok()?;
        let options = Message::new(format!("OPTIONS sip:{proxy} SIP/2.0"))
            .with("Via", format!("SIP/2.0/UDP {own};rport;branch=z9hG4bKtest{}", own.port()))
            .with("Max-Forwards", 70)
            .with("From", format!("<sip:test@{own}>;tag=t"))
            .with("To", format!("<sip:{proxy}>"))
            .with("Call-ID", format!("test-{}", own.port()))
            .with("CSeq", "1 OPTIONS");
        socket.send_to(&options.bytes(), proxy).ok()?;
        let mut bytes = [0; 4096];
        let n = socket.recv(&mut bytes).ok()?;
        Some(Message::parse(&bytes[..n])?.0.status())
    };
    test() == Some(200)
}

// ---- An exchange ---------------------------------------------------------------------------------

struct Dialog {
    /// The INVITE, and the To header with the tag of this side.
    invite: Message,
    to: String,
    connection: Arc<Mutex<TcpStream>>,
}

type Dialogs = Arc<Mutex<BTreeMap<String, Dialog>>>;

/// Runs an exchange in this process: `NAME ADDRESS`. The command `release-all` on its standard input ends its calls.
pub fn run_exchange(arguments: &[String]) -> Result<(), Failure> {
    let [name, address] = arguments else { return Err("sip-exchange NAME ADDRESS".into()) };
    let listener = TcpListener::bind(address)?;
    let dialogs = Dialogs::default();
    report(format!("{name} listens"));
    let (commands, own, exchange) = (dialogs.clone(), address.clone(), name.clone());
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if line == "release-all" {
                for (id, dialog) in std::mem::take(&mut *lock(&commands)) {
                    report(format!("{exchange} release-sent {id}"));
                    let target = uri_of(dialog.invite.get("Contact")).to_owned();
                    let bye = Message::new(format!("BYE {target} SIP/2.0"))
                        .with("Via", format!("SIP/2.0/TCP {own};branch=z9hG4bKbye{id}"))
                        .with("Max-Forwards", 70)
                        .with("From", &dialog.to)
                        .with("To", dialog.invite.get("From"))
                        .with("Call-ID", &id)
                        .with("CSeq", "1 BYE")
                        .with("Reason", "Q.850;cause=16");
                    let _ = lock(&dialog.connection).write_all(&bye.bytes());
                }
            }
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let (name, address, dialogs) = (name.clone(), address.clone(), dialogs.clone());
        std::thread::spawn(move || serve(&name, &address, &dialogs, stream));
    }
    Ok(())
}

fn uri_of(value: &str) -> &str {
    value.split('<').nth(1).and_then(|rest| rest.split('>').next()).unwrap_or(value)
}

fn serve(name: &str, address: &str, dialogs: &Dialogs, stream: TcpStream) {
    let Ok(output) = stream.try_clone() else { return };
    let output = Arc::new(Mutex::new(output));
    report(format!("{name} connection opened"));
    let mut reader = Reader::new(stream);
    while let Some(message) = reader.next() {
        let id = message.get("Call-ID").to_owned();
        let send = |message: &Message| drop(lock(&output).write_all(&message.bytes()));
        match message.method() {
            "INVITE" => {
                report(format!("{name} set-up {id}"));
                send(&message.response("100 Trying"));
                sleep(0.03);
                let to = format!("{};tag=x{}", message.get("To"), id.len());
                let mut answer = message.response("200 OK");
                answer
                    .headers
                    .iter_mut()
                    .filter(|(n, _)| n == "To")
                    .for_each(|(_, value)| *value = to.clone());
                let answer = answer
                    .with("Contact", format!("<sip:{name}@{address};transport=tcp>"))
                    .with("Content-Type", "application/sdp");
                lock(dialogs).insert(id.clone(), Dialog { invite: message, to, connection: output.clone() });
                report(format!("{name} stands {id}"));
                send(&answer.body(format!("answer of {name} for {id}").as_bytes()));
            }
            "BYE" => {
                let known = lock(dialogs).remove(&id).is_some();
                report(format!("{name} released-by-proxy {id}"));
                send(&message.response(if known { "200 OK" } else { "481 Call/Transaction Does Not Exist" }));
            }
            "CANCEL" | "OPTIONS" => send(&message.response("200 OK")),
            _ => {}
        }
    }
    report(format!("{name} connection ended"));
}

// ---- Callers -------------------------------------------------------------------------------------

/// What a caller has received for a call.
#[derive(Clone, Debug, Default)]
pub struct CallState {
    /// The final answers to its set-up.
    pub answers: Vec<u32>,
    pub released: Option<f64>,
}

/// A SIP caller over UDP.
#[derive(Clone)]
pub struct Caller {
    socket: Arc<UdpSocket>,
    proxy: SocketAddr,
    own: SocketAddr,
    pub calls: Arc<Mutex<BTreeMap<String, CallState>>>,
    record: Record,
}

impl Caller {
    pub fn over_udp(record: &Record, proxy: SocketAddr) -> Result<Caller, Failure> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
        let caller = Caller {
            socket: socket.clone(),
            proxy,
            own: socket.local_addr()?,
            calls: Arc::default(),
            record: record.clone(),
        };
        let receiving = caller.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 20000];
            while let Ok((n, from)) = socket.recv_from(&mut bytes) {
                let Some((message, _)) = Message::parse(&bytes[..n]) else { continue };
                receiving.receive(&message, &|reply| drop(socket.send_to(&reply.bytes(), from)));
            }
        });
        Ok(caller)
    }

    fn receive(&self, message: &Message, reply: &dyn Fn(&Message)) {
        let (at, id) = (now(), message.get("Call-ID").to_owned());
        if message.method() == "BYE" {
            let mut calls = lock(&self.calls);
            let call = calls.entry(id.clone()).or_default();
            if call.released.is_none() {
                self.record.line_at(at, format!("caller: release of {id}, cause {}", message.cause()));
                call.released = Some(at);
            }
            return reply(&message.response("200 OK"));
        }
        if message.cseq_method() != "INVITE" || message.status() < 200 {
            return;
        }
        let status = message.status();
        {
            let mut calls = lock(&self.calls);
            let call = calls.entry(id.clone()).or_default();
            if call.answers.is_empty() {
                self.record.line_at(at, format!("caller: {status} for {id}"));
                call.answers.push(status);
            }
        }
        let target =
            if status < 300 { uri_of(message.get("Contact")).to_owned() } else { "sip:50211@net".to_owned() };
        // The ACK of a 2xx answer is a transaction of its own; that of another answer belongs to the set-up.
        let branch = if status < 300 { format!("z9hG4bKack{id}") } else { format!("z9hG4bKinv{id}") };
        let ack = Message::new(format!("ACK {target} SIP/2.0"))
            .with("Via", format!("SIP/2.0/UDP {};rport;branch={branch}", self.own))
            .with("Max-Forwards", 70)
            .with("From", message.get("From"))
            .with("To", message.get("To"))
            .with("Call-ID", &id)
            .with("CSeq", "1 ACK");
        self.send(&ack);
    }

    fn send(&self, message: &Message) {
        let _ = self.socket.send_to(&message.bytes(), self.proxy);
    }

    /// Sends a set-up for a number of exchange 1 and waits for its final answer, at most 4 s; returns its status.
    pub fn call(&self, id: &str, tenant: &str) -> Option<u32> {
        self.record.line(format!("caller: set-up {id} of tenant {tenant} over UDP"));
        let contact = format!("<sip:office@{};transport=udp>", self.own);
        let invite = Message::new("INVITE sip:50211234@mallowring SIP/2.0")
            .with("Via", format!("SIP/2.0/UDP {};rport;branch=z9hG4bKinv{id}", self.own))
            .with("Max-Forwards", 70)
            .with("From", format!("<sip:office@{}>;tag=c{id}", self.own))
            .with("To", "<sip:50211234@mallowring>")
            .with("Call-ID", id)
            .with("CSeq", "1 INVITE")
            .with("Contact", contact)
            .with("X-Tenant", tenant)
            .with("Content-Type", "application/sdp")
            .body(b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n");
        self.send(&invite);
        let answer = || lock(&self.calls).get(id).and_then(|call| call.answers.first().copied());
        wait_for(4.0, || answer().is_some());
        answer()
    }

    /// When the call was released to this caller.
    pub fn released_at(&self, id: &str) -> Option<f64> {
        lock(&self.calls).get(id)?.released
    }
}
