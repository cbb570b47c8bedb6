//! Stand-in callers that speak SIP over TCP: one connection to a proxy for set-ups, and a listener, named in their
//! Contact, on which releases arrive when that connection is gone.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use mallowring::sip::message::Message;
use smol::net::{TcpListener, TcpStream};

use super::{request, request_in_dialog, Numbers};
use crate::listener::{self, unused_ip};
use crate::messages::{self, call_id_of, MessageReader, SetUp};
use crate::record::{now, Observation, Record};
use crate::Executor;

struct Inner {
    executor: Executor,
    record: Record,
    name: String,
    /// The proxy, counted from 0.
    proxy: usize,
    proxy_addr: SocketAddr,
    contact: SocketAddr,
    numbers: Numbers,
    connection: RefCell<Option<TcpStream>>,
    /// The set-ups without a final answer by Call-ID, and when each was written.
    pending: RefCell<BTreeMap<String, (Message, f64)>>,
}

/// The callers of one proxy; clones share the same state.
#[derive(Clone)]
pub struct SipCallers(Rc<Inner>);

impl SipCallers {
    /// Starts the callers of a proxy whose SIP front listens at an address.
    pub fn start(
        executor: &Executor,
        record: &Record,
        name: &str,
        proxy: usize,
        proxy_addr: SocketAddr,
    ) -> io::Result<SipCallers> {
        let listener = listener::bind((unused_ip(), 0).into())?;
        let callers = SipCallers(Rc::new(Inner {
            executor: executor.clone(),
            record: record.clone(),
            name: name.to_owned(),
            proxy,
            proxy_addr,
            contact: listener.local_addr()?,
            numbers: Numbers::default(),
            connection: RefCell::default(),
            pending: RefCell::default(),
        }));
        let accepting = callers.clone();
        executor.spawn(async move { accepting.accept(listener).await }).detach();
        Ok(callers)
    }

    async fn accept(&self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.read_in_background(stream);
        }
    }

    fn read_in_background(&self, stream: TcpStream) {
        let callers = self.clone();
        let reading = async move {
            let _ = stream.set_nodelay(true);
            let mut reader = MessageReader::new(stream.clone());
            while let Some(message) = reader.next().await {
                callers.handle(&stream, message).await;
            }
            let current = callers.0.connection.borrow().as_ref().and_then(|c| c.local_addr().ok());
            if current.is_some() && current == stream.local_addr().ok() {
                *callers.0.connection.borrow_mut() = None;
            }
        };
        self.0.executor.spawn(reading).detach();
    }

    /// Whether the connection for set-ups is open.
    pub fn is_connected(&self) -> bool {
        self.0.connection.borrow().is_some()
    }

    /// Opens the connection for set-ups, if it is not open.
    pub async fn connect(&self) -> io::Result<()> {
        if self.is_connected() {
            return Ok(());
        }
        let stream = TcpStream::connect(self.0.proxy_addr).await?;
        *self.0.connection.borrow_mut() = Some(stream.clone());
        self.read_in_background(stream);
        Ok(())
    }

    /// Returns when a set-up was written that has no final answer.
    pub fn pending_since(&self, call: &str) -> Option<f64> {
        self.0.pending.borrow().get(call).map(|(_, at)| *at)
    }

    fn record(&self, call: &str, observation: Observation) {
        self.0.record.add(&self.0.name, self.0.proxy, call, observation);
    }

    async fn send(&self, message: &Message) -> io::Result<()> {
        let stream = self.0.connection.borrow().clone();
        let mut stream = stream.ok_or(io::ErrorKind::NotConnected)?;
        messages::send(&mut stream, message).await
    }

    /// Sends a set-up on the open connection.
    pub async fn send_set_up(&self, set_up: &SetUp) -> io::Result<()> {
        let call = &set_up.call_id;
        let mut invite = request("INVITE", &format!("sip:{}@proxy", set_up.number), self.0.contact, call)
            .with("From", format!("<sip:caller@{}>;tag={call}", self.0.contact.ip()))
            .with("To", format!("<sip:{}@proxy>", set_up.number))
            .with("Call-ID", call)
            .with("CSeq", "1 INVITE")
            .with("Contact", format!("<sip:caller@{};transport=tcp>", self.0.contact))
            .with("X-Tier", "alarm")
            .with("X-Deadline", set_up.deadline_ms);
        invite.body = format!("offer-{call}").into_bytes();
        self.0.pending.borrow_mut().insert(call.clone(), (invite.clone(), now()));
        self.send(&invite).await?;
        self.record(call, Observation::CallerListens);
        self.record(call, Observation::Requested { deadline: set_up.deadline_ms as f64 / 1000.0 });
        Ok(())
    }

    /// Gives a pending set-up up.
    pub async fn cancel_set_up(&self, call: &str) -> io::Result<()> {
        let Some((invite, _)) = self.0.pending.borrow_mut().remove(call) else { return Ok(()) };
        self.record(call, Observation::GaveUp);
        let uri = "sip:callee@proxy";
        let mut cancel = request("CANCEL", uri, self.0.contact, call);
        for name in ["From", "To", "Call-ID"] {
            cancel = cancel.with(name, invite.get(name).unwrap_or_default());
        }
        self.send(&cancel.with("CSeq", "1 CANCEL")).await
    }

    async fn handle(&self, stream: &TcpStream, message: Message) {
        let (mut stream, call) = (stream.clone(), call_id_of(&message));
        match (message.status(), message.method()) {
            (Some(status), _) if status >= 200 => {
                let Some((_, "INVITE")) = message.cseq() else { return };
                let pending = self.0.pending.borrow_mut().remove(&call);
                let stands = status == 200;
                // The ACK of a refusal has the branch of the set-up, that of an answer one of its own.
                let branch =
                    if stands { format!("ack-{call}-{}", self.0.numbers.next()) } else { call.clone() };
                let ack = request_in_dialog("ACK", &message, self.0.contact, &branch, 1);
                let _ = messages::send(&mut stream, &ack).await;
                // A repeated answer, or a 487 that crosses the cancel.
                if pending.is_some() {
                    let description = String::from_utf8_lossy(&message.body).into_owned();
                    self.record(&call, Observation::Answered { status, description });
                }
            }
            (_, Some("BYE")) => {
                let cause = message.get("Reason").and_then(|r| r.rsplit_once('=')?.1.parse().ok());
                self.record(&call, Observation::ReleaseReceived(cause.unwrap_or(0)));
                let _ = messages::send(&mut stream, &Message::response(200, "OK", &message.headers)).await;
            }
            _ => {}
        }
    }
}
