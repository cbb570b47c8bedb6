//! A stand-in caller: one connection to a proxy that asks for calls and notes what it is told.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;

use mallowring::sip::message::Message;
use smol::io::AsyncWriteExt;
use smol::lock::Mutex;
use smol::net::TcpStream;

use crate::messages::{self, call_id, MessageReader, SetUp};
use crate::record::{now, Observation, Record};
use crate::{sleep, Executor};

/// What is known of a connection, by whoever writes on it and by whoever reads.
#[derive(Default)]
struct State {
    /// Set-ups without a final answer, and when they were written.
    open: RefCell<BTreeMap<String, f64>>,
    /// Calls that stand.
    standing: RefCell<BTreeSet<String>>,
    /// When it was over.
    over: Cell<Option<f64>>,
    /// Since when there has been no call on it.
    idle_since: Cell<f64>,
}

impl State {
    fn look(&self) {
        if !self.open.borrow().is_empty() || !self.standing.borrow().is_empty() {
            self.idle_since.set(now());
        }
    }
}

/// One connection of a caller's.
pub struct Caller {
    name: String,
    proxy: usize,
    record: Record,
    stream: TcpStream,
    /// Whoever writes holds it for a whole message.
    way_out: Rc<Mutex<TcpStream>>,
    state: Rc<State>,
}

impl Caller {
    /// Connects to a proxy, counted from 0, and notes from now on what it says.
    pub async fn connect(
        tasks: &Executor,
        record: &Record,
        name: &str,
        proxy: usize,
        addr: SocketAddr,
    ) -> io::Result<Caller> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        record.add(name, proxy, "", Observation::CallerConnected);
        let state = Rc::new(State::default());
        state.idle_since.set(now());
        let caller = Caller {
            name: name.to_owned(),
            proxy,
            record: record.clone(),
            way_out: Rc::new(Mutex::new(stream.clone())),
            stream,
            state: state.clone(),
        };
        let (stream, name, record) = (caller.stream.clone(), caller.name.clone(), caller.record.clone());
        let way_out = caller.way_out.clone();
        let listening = async move {
            listen(stream, &way_out, &name, proxy, &record, &state).await;
            state.over.set(Some(now()));
            record.add(&name, proxy, "", Observation::CallerDisconnected);
        };
        tasks.spawn(listening).detach();
        Ok(caller)
    }

    /// Whether the connection is there, as far as anybody has noticed.
    pub async fn is_open(&self) -> bool {
        sleep(0.01).await;
        self.state.over.get().is_none()
    }

    /// When the connection was over, if it is.
    pub fn closed_at(&self) -> Option<f64> {
        self.state.over.get()
    }

    /// When a set-up without a final answer was written.
    pub fn pending_since(&self, call: &str) -> Option<f64> {
        self.state.open.borrow().get(call).copied()
    }

    /// Whether there has been no call on it for so many seconds.
    pub fn is_idle_for(&self, seconds: f64) -> bool {
        self.state.look();
        now() - self.state.idle_since.get() >= seconds
    }

    /// Asks for a call.
    pub async fn send_set_up(&self, set_up: &SetUp) -> io::Result<()> {
        self.send_set_up_in_pieces(set_up, usize::MAX, 0.0).await
    }

    /// Asks for a call in pieces of so many bytes, with a pause after each.
    pub async fn send_set_up_in_pieces(&self, set_up: &SetUp, piece: usize, pause: f64) -> io::Result<()> {
        let bytes = set_up.message().bytes();
        let pieces = bytes.chunks(piece.min(bytes.len()));
        let last = pieces.len() - 1;
        let mut way_out = self.way_out.lock().await;
        for (ix, piece) in pieces.enumerate() {
            if ix == last {
                // It counts from its last byte.
                self.state.open.borrow_mut().insert(set_up.call_id.clone(), now());
            }
            way_out.write_all(piece).await?;
            if ix < last {
                sleep(pause).await;
            }
        }
        let deadline = set_up.deadline_ms as f64 / 1000.0;
        self.record.add(&self.name, self.proxy, &set_up.call_id, Observation::Requested { deadline });
        self.state.look();
        Ok(())
    }

    /// Waits no longer for a set-up.
    pub async fn cancel_set_up(&self, call: &str) -> io::Result<()> {
        if self.state.open.borrow_mut().remove(call).is_some() {
            self.record.add(&self.name, self.proxy, call, Observation::GaveUp);
            let cancel = Message::request("CANCEL", "sip:x@net")
                .with("Via", "SIP/2.0/TCP peer")
                .with("Call-ID", call)
                .with("CSeq", "1 CANCEL");
            messages::send(&mut *self.way_out.lock().await, &cancel).await?;
        }
        Ok(())
    }

    /// Ends a call.
    pub async fn hang_up(&self, call: &str) -> io::Result<()> {
        self.record.add(&self.name, self.proxy, call, Observation::HungUp);
        self.state.standing.borrow_mut().remove(call);
        messages::send(&mut *self.way_out.lock().await, &messages::release_request(call, 16)).await
    }

    /// Writes bytes as they are.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.way_out.lock().await.write_all(bytes).await
    }

    /// Closes the connection; set-ups open on it are given up.
    pub fn close(&self) {
        for call in std::mem::take(&mut *self.state.open.borrow_mut()).into_keys() {
            self.record.add(&self.name, self.proxy, &call, Observation::GaveUp);
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

async fn listen(
    stream: TcpStream,
    way_out: &Mutex<TcpStream>,
    name: &str,
    proxy: usize,
    record: &Record,
    state: &State,
) {
    let mut reader = MessageReader::new(stream);
    while let Some(message) = reader.next().await {
        let id = call_id(&message);
        match (message.status(), message.method()) {
            (Some(status), _) if status >= 200 => {
                let Some((_, "INVITE")) = message.cseq() else { continue };
                let waited = state.open.borrow_mut().remove(&id).is_some();
                // What crosses the giving up is no answer that anybody waits for.
                if !waited && status == 487 {
                    continue;
                }
                let description = String::from_utf8_lossy(&message.body).into_owned();
                record.add(name, proxy, &id, Observation::Answered { status, description });
                if status == 200 {
                    state.standing.borrow_mut().insert(id.clone());
                }
                let ack = Message::request("ACK", "sip:x@net").with("Call-ID", &id).with("CSeq", "1 ACK");
                let _ = messages::send(&mut *way_out.lock().await, &ack).await;
            }
            (_, Some("BYE")) => {
                let cause = message.get("Reason").and_then(|r| r.rsplit_once('=')?.1.parse().ok());
                state.standing.borrow_mut().remove(&id);
                record.add(name, proxy, &id, Observation::ReleaseHeard(cause.unwrap_or(0)));
                let heard = Message::response(200, "OK", &message.headers);
                let _ = messages::send(&mut *way_out.lock().await, &heard).await;
            }
            _ => {}
        }
        state.look();
    }
}
