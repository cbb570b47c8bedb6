//! The operators' own service: its file, an exchange and callers that speak SIP over TCP (RFC 3261).

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::sip::{self, Message, Reader};
use crate::world::{now, record, sleep, temporary_folder};

/// Writes a service file: the repository's example with other addresses.
pub fn write_service_file(listen: SocketAddr, exchange: SocketAddr, other_exchange: SocketAddr) -> String {
    let text = fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let text = text
        .replace("127.0.0.1:5060", &listen.to_string())
        .replace("127.0.0.1:5071", &exchange.to_string())
        .replace("127.0.0.1:5072", &other_exchange.to_string());
    let path = temporary_folder().join("service.toml");
    fs::write(&path, text).expect("the service file can be written");
    path.to_string_lossy().into_owned()
}

/// An exchange over TCP. It answers a set-up after `answer_s`, holds the call for `hold_s` and releases it.
pub struct SipExchange {
    pub addr: SocketAddr,
    released: Arc<Mutex<Vec<(f64, String, bool)>>>,
}

impl SipExchange {
    pub fn start(answer_s: f64, hold_s: f64) -> SipExchange {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let released: Arc<Mutex<Vec<(f64, String, bool)>>> = Arc::default();
        let log = released.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let (stream, log) = (Arc::new(stream), log.clone());
                thread::spawn(move || {
                    let mut reader = Reader::new(&stream);
                    while let Some(message) = reader.next() {
                        take(addr, &stream, message, answer_s, hold_s, &log);
                    }
                });
            }
        });
        SipExchange { addr, released }
    }

    /// When the exchange released the call to a number, and whether the release could be sent.
    pub fn released(&self, number: &str) -> Option<(f64, bool)> {
        let released = self.released.lock().unwrap_or_else(|e| e.into_inner());
        released.iter().find(|(_, n, _)| n == number).map(|(at, _, sent)| (*at, *sent))
    }
}

fn take(
    addr: SocketAddr,
    stream: &Arc<TcpStream>,
    message: Message,
    answer_s: f64,
    hold_s: f64,
    log: &Arc<Mutex<Vec<(f64, String, bool)>>>,
) {
    match message.method() {
        "INVITE" => {
            let number = number_of(&message);
            record(format!("exchange: set-up of {number}"));
            let _ = sip::send(stream, &message.response("100 Trying", &[], b""));
            let (stream, log) = (stream.clone(), log.clone());
            thread::spawn(move || {
                sleep(answer_s);
                let mut invite = message;
                for (name, value) in &mut invite.headers {
                    if name.eq_ignore_ascii_case("To") {
                        value.push_str(";tag=exchange");
                    }
                }
                let contact = format!("<sip:exchange@{addr};transport=tcp>");
                let extra = [("Contact", contact.as_str()), ("Content-Type", "application/sdp")];
                let answer = invite.response("200 OK", &extra, format!("answer-{number}").as_bytes());
                record(format!("exchange: answers {number}"));
                let _ = sip::send(&stream, &answer);
                sleep(hold_s);
                let headers = [
                    ("Via", &*format!("SIP/2.0/TCP {addr};branch=z9hG4bKexchange{number}")),
                    ("Max-Forwards", "70"),
                    ("From", invite.get("To")),
                    ("To", invite.get("From")),
                    ("Call-ID", invite.get("Call-ID")),
                    ("CSeq", "1 BYE"),
                    ("Reason", "Q.850;cause=16"),
                ];
                let target = uri_of(invite.get("Contact"));
                let sent = sip::send(&stream, &Message::request("BYE", &target, &headers, b"")).is_ok();
                record(format!("exchange: releases {number}, sent: {sent}"));
                log.lock().unwrap_or_else(|e| e.into_inner()).push((now(), number, sent));
            });
        }
        "BYE" => {
            let _ = sip::send(stream, &message.response("200 OK", &[], b""));
        }
        "" if message.get("CSeq").ends_with("BYE") => {
            record(format!("exchange: its release is answered: {}", message.first));
        }
        _ => {}
    }
}

/// The user part of the request's address.
fn number_of(message: &Message) -> String {
    let uri = message.first.split(' ').nth(1).unwrap_or("");
    uri.trim_start_matches("sip:").split('@').next().unwrap_or("").to_owned()
}

fn uri_of(contact: &str) -> String {
    contact.trim().trim_start_matches('<').split('>').next().unwrap_or("").to_owned()
}

/// A usual caller over TCP. It also listens, at the address in its Via and Contact.
pub struct SipCaller {
    stream: Arc<TcpStream>,
    addr: SocketAddr,
    messages: Arc<Mutex<Vec<(f64, Message)>>>,
}

impl SipCaller {
    pub fn connect(proxy: SocketAddr) -> std::io::Result<SipCaller> {
        let stream = Arc::new(TcpStream::connect_timeout(&proxy, Duration::from_secs(1))?);
        let _ = stream.set_nodelay(true);
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let messages: Arc<Mutex<Vec<(f64, Message)>>> = Arc::default();
        let (reading, log) = (stream.clone(), messages.clone());
        thread::spawn(move || {
            read(addr, &reading, &log);
            record("caller: the proxy has closed the connection");
        });
        let log = messages.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                record("caller: the proxy has connected");
                let log = log.clone();
                thread::spawn(move || read(addr, &stream, &log));
            }
        });
        Ok(SipCaller { stream, addr, messages })
    }

    /// Sends a set-up for a number; returns its time.
    pub fn set_up(&self, id: &str, number: &str, deadline_ms: u32) -> f64 {
        let addr = self.addr;
        let headers = [
            ("Via", &*format!("SIP/2.0/TCP {addr};branch=z9hG4bK{id}")),
            ("Max-Forwards", "70"),
            ("From", &*format!("<sip:office@127.0.0.1>;tag={id}")),
            ("To", &*format!("<sip:{number}@127.0.0.1>")),
            ("Call-ID", id),
            ("CSeq", "1 INVITE"),
            ("Contact", &*format!("<sip:office@{addr};transport=tcp>")),
            ("X-Tier", "trace-read"),
            ("X-Deadline", &*deadline_ms.to_string()),
            ("X-Tenant", "obras-viales"),
            ("Content-Type", "application/sdp"),
        ];
        record(format!("caller: set-up {id} of {number}"));
        let invite = Message::request("INVITE", &format!("sip:{number}@127.0.0.1"), &headers, b"offer");
        if sip::send(&self.stream, &invite).is_err() {
            record(format!("caller: set-up {id} could not be sent"));
        }
        now()
    }

    fn first(&self, id: &str, wanted: impl Fn(&Message) -> bool) -> Option<(f64, Message)> {
        let messages = self.messages.lock().unwrap_or_else(|e| e.into_inner());
        messages.iter().find(|(_, m)| m.call() == id && wanted(m)).cloned()
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

/// Reads what the proxy sends to a caller; acknowledges answers and releases.
fn read(addr: SocketAddr, stream: &TcpStream, log: &Mutex<Vec<(f64, Message)>>) {
    let mut reader = Reader::new(stream);
    while let Some(message) = reader.next() {
        let id = message.call();
        record(format!("caller: received {} {id}", message.first));
        if message.is_final_answer() {
            let stands = message.status() == 200;
            // The ACK of a refusal has the branch of the set-up, that of an answer its own.
            let branch = if stands { format!("ack{id}") } else { id.clone() };
            let target =
                if stands { uri_of(message.get("Contact")) } else { "sip:proxy@127.0.0.1".to_owned() };
            let headers = [
                ("Via", &*format!("SIP/2.0/TCP {addr};branch=z9hG4bK{branch}")),
                ("Max-Forwards", "70"),
                ("From", message.get("From")),
                ("To", message.get("To")),
                ("Call-ID", id.as_str()),
                ("CSeq", "1 ACK"),
            ];
            let _ = sip::send(stream, &Message::request("ACK", &target, &headers, b""));
        } else if message.method() == "BYE" {
            let _ = sip::send(stream, &message.response("200 OK", &[], b""));
        }
        log.lock().unwrap_or_else(|e| e.into_inner()).push((now(), message));
    }
}

/// A client that asks for calls of a class that does not exist, hundreds at once, and the same again as soon as all are
/// turned away; for some time. Returns how many requests were turned away, by status.
pub fn ask_in_vain(proxy: SocketAddr, seconds: f64) -> BTreeMap<u16, usize> {
    const AT_ONCE: usize = 300;
    let end = now() + seconds;
    let mut turned_away = BTreeMap::new();
    let mut asked = 0;
    while now() < end {
        let Ok(stream) = TcpStream::connect_timeout(&proxy, Duration::from_secs(1)) else {
            return turned_away;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let local = stream.local_addr().expect("an address");
        let mut reader = Reader::new(&stream);
        'connected: while now() < end {
            let first = asked;
            asked += AT_ONCE;
            let writing = stream.try_clone().expect("a descriptor");
            let writer = thread::spawn(move || {
                for n in first..first + AT_ONCE {
                    let headers = [
                        ("Via", &*format!("SIP/2.0/TCP {local};branch=z9hG4bKvain{n}")),
                        ("Max-Forwards", "70"),
                        ("From", &*format!("<sip:vain@{local}>;tag=vain{n}")),
                        ("To", "<sip:50210009@127.0.0.1>"),
                        ("Call-ID", &*format!("vain{n}")),
                        ("CSeq", "1 INVITE"),
                        ("Contact", &*format!("<sip:vain@{local};transport=tcp>")),
                        ("X-Tier", "no-such-class"),
                    ];
                    let invite = Message::request("INVITE", "sip:50210009@127.0.0.1", &headers, b"");
                    if sip::send(&writing, &invite).is_err() {
                        return;
                    }
                }
            });
            let mut answered = 0;
            while answered < AT_ONCE {
                // The proxy may close the connection: the client comes again.
                let Some(message) = reader.next() else { break 'connected };
                if message.is_final_answer() {
                    answered += 1;
                    *turned_away.entry(message.status()).or_insert(0) += 1;
                }
            }
            let _ = writer.join();
        }
    }
    turned_away
}
