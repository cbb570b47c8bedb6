//! A stand-in exchange that speaks SIP. It handles each call as the called number says ([`CallScript`]).

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use mallowring::sip::message::{Message, StartLine};
use smol::net::{TcpListener, TcpStream};

use super::{request_in_dialog, Numbers};
use crate::listener::{self, unused_ip};
use crate::messages::{self, call_id_of, CallScript, MessageReader};
use crate::record::{Observation, Record};
use crate::{sleep, Executor};

/// The tag of the exchange in its dialogs.
const TAG: &str = "exchange";

struct Inner {
    executor: Executor,
    record: Record,
    name: String,
    proxy: usize,
    addr: SocketAddr,
    numbers: Numbers,
    /// The answered set-ups of the standing calls, by the Call-IDs of their dialogs.
    standing: RefCell<BTreeMap<String, Message>>,
    /// The Call-IDs of set-ups that were cancelled.
    cancelled: RefCell<BTreeSet<String>>,
}

/// An exchange that speaks SIP over TCP; clones share the same state.
#[derive(Clone)]
pub struct SipExchange(Rc<Inner>);

impl SipExchange {
    /// Starts the exchange of one proxy, counted from 0.
    pub fn start(executor: &Executor, record: &Record, name: &str, proxy: usize) -> io::Result<SipExchange> {
        let listener = listener::bind((unused_ip(), 0).into())?;
        let exchange = SipExchange(Rc::new(Inner {
            executor: executor.clone(),
            record: record.clone(),
            name: name.to_owned(),
            proxy,
            addr: listener.local_addr()?,
            numbers: Numbers::default(),
            standing: RefCell::default(),
            cancelled: RefCell::default(),
        }));
        let accepting = exchange.clone();
        executor.spawn(async move { accepting.accept(listener).await }).detach();
        Ok(exchange)
    }

    /// The address at which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    fn record(&self, call: &str, observation: Observation) {
        self.0.record.add(&self.0.name, self.0.proxy, call, observation);
    }

    async fn accept(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let exchange = self.clone();
            let serving = async move {
                let _ = stream.set_nodelay(true);
                let mut reader = MessageReader::new(stream.clone());
                while let Some(message) = reader.next().await {
                    exchange.handle(&stream, message).await;
                }
            };
            self.0.executor.spawn(serving).detach();
        }
    }

    async fn handle(&self, stream: &TcpStream, message: Message) {
        let dialog = call_id_of(&message);
        let mut stream = stream.clone();
        match message.method() {
            Some("INVITE") => {
                let exchange = self.clone();
                let running = async move { exchange.run_call(stream, message).await };
                self.0.executor.spawn(running).detach();
            }
            Some("CANCEL") => {
                self.0.cancelled.borrow_mut().insert(dialog);
                let _ = messages::send(&mut stream, &Message::response(200, "OK", &message.headers)).await;
            }
            Some("BYE") => {
                let ended = self.0.standing.borrow_mut().remove(&dialog);
                if let Some(set_up) = ended {
                    self.record(&call_of(&set_up), Observation::CallEnded);
                }
                let _ = messages::send(&mut stream, &Message::response(200, "OK", &message.headers)).await;
            }
            _ => {}
        }
    }

    /// Answers a set-up, holds the call and releases it.
    async fn run_call(&self, mut stream: TcpStream, set_up: Message) {
        let (call, dialog) = (call_of(&set_up), call_id_of(&set_up));
        let description = String::from_utf8_lossy(&set_up.body).into_owned();
        self.record(&call, Observation::SetUpReceived { description });
        let uri = match &set_up.start_line {
            StartLine::Request { uri, .. } => uri.clone(),
            StartLine::Response { .. } => String::new(),
        };
        let Some(script) = CallScript::parse(&uri) else { return };
        sleep(script.answer_ms as f64 / 1000.0).await;
        if self.0.cancelled.borrow_mut().remove(&dialog) {
            self.record(&call, Observation::SetUpCancelled);
            let terminated = with_tag(Message::response(487, "Request Terminated", &set_up.headers));
            let _ = messages::send(&mut stream, &terminated).await;
            return;
        }
        let description = format!("answer-{}-{call}", self.0.name);
        let mut answer = with_tag(Message::response(200, "OK", &set_up.headers))
            .with("Contact", format!("<sip:exchange@{};transport=tcp>", self.0.addr));
        answer.body = description.clone().into_bytes();
        self.record(&call, Observation::SetUpAnswered { status: 200, description });
        self.0.standing.borrow_mut().insert(dialog.clone(), with_tag(set_up));
        let _ = messages::send(&mut stream, &answer).await;
        sleep(script.hold_ms as f64 / 1000.0).await;
        let ended = self.0.standing.borrow_mut().remove(&dialog);
        if let Some(set_up) = ended {
            self.record(&call, Observation::CallEnded);
            self.release(stream, &call, &set_up).await;
        }
    }

    /// Sends a release on the connection of the set-up, else on a new one to the proxy's Contact.
    async fn release(&self, mut stream: TcpStream, call: &str, set_up: &Message) {
        let branch = format!("{}-{}", self.0.name, self.0.numbers.next());
        let bye = request_in_dialog("BYE", set_up, self.0.addr, &branch, 1).with("Reason", "Q.850;cause=16");
        if messages::send(&mut stream, &bye).await.is_err() {
            let contact = set_up.get("Contact").map_or("", mallowring::sip::header::addr_spec);
            let hop = mallowring::sip::header::Uri::parse(contact).and_then(|uri| uri.hop());
            let Some(hop) = hop else { return };
            let Ok(mut stream) = TcpStream::connect(hop.addr).await else { return };
            if messages::send(&mut stream, &bye).await.is_err() {
                return;
            }
            self.record(call, Observation::ReleaseSent);
            // Keeps the connection until the proxy has answered.
            MessageReader::new(stream).next().await;
            return;
        }
        self.record(call, Observation::ReleaseSent);
    }
}

/// The caller's id of a call: the proxy's dialogs have Call-IDs of their own, and pass the description on.
fn call_of(set_up: &Message) -> String {
    let description = String::from_utf8_lossy(&set_up.body);
    description.strip_prefix("offer-").unwrap_or_default().to_owned()
}

fn with_tag(mut message: Message) -> Message {
    for (name, value) in &mut message.headers {
        if name == "To" && mallowring::sip::header::tag(value).is_none() {
            value.push_str(&format!(";tag={TAG}"));
        }
    }
    message
}
