//! A stand-in caller: one connection to a proxy that sends set-ups and records the answers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;

use mallowring::sip::message::Message;
use smol::io::AsyncWriteExt;
use smol::lock::Mutex;
use smol::net::TcpStream;

use crate::messages::{self, call_id_of, MessageReader, SetUp};
use crate::record::{now, Observation, Record};
use crate::{sleep, Executor};

/// State of a connection, shared by its writers and its reader.
#[derive(Default)]
struct State {
    /// Pending set-ups by Call-ID, with the time at which each was written.
    pending: RefCell<BTreeMap<String, f64>>,
    /// Call-IDs of established calls.
    established: RefCell<BTreeSet<String>>,
    /// Time at which the connection was closed.
    closed_at: Cell<Option<f64>>,
    /// The caller itself has closed the connection.
    closed_by_caller: Cell<bool>,
    /// Time since which the connection has had no call.
    idle_since: Cell<f64>,
}

impl State {
    fn update_idle_since(&self) {
        if !self.pending.borrow().is_empty() || !self.established.borrow().is_empty() {
            self.idle_since.set(now());
        }
    }
}

/// One connection of a caller.
pub struct Caller {
    name: String,
    proxy: usize,
    record: Record,
    stream: TcpStream,
    /// Write half; the lock is held for a whole message.
    writer: Rc<Mutex<TcpStream>>,
    state: Rc<State>,
}

impl Caller {
    /// Connects to a proxy, counted from 0, and records every final answer and release that it sends.
    pub async fn connect(
        executor: &Executor,
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
            writer: Rc::new(Mutex::new(stream.clone())),
            stream,
            state: state.clone(),
        };
        let (stream, name, record) = (caller.stream.clone(), caller.name.clone(), caller.record.clone());
        let writer = caller.writer.clone();
        let reading = async move {
            read_messages(stream, &writer, &name, proxy, &record, &state).await;
            state.closed_at.set(Some(now()));
            if !state.closed_by_caller.get() {
                record.add(&name, proxy, "", Observation::DisconnectedByProxy);
            }
        };
        executor.spawn(reading).detach();
        Ok(caller)
    }

    /// Returns whether the connection is open, after a short wait for a close to be noticed.
    pub async fn is_open(&self) -> bool {
        sleep(0.01).await;
        self.state.closed_at.get().is_none()
    }

    /// Returns the time at which the connection was closed, if it is.
    pub fn closed_at(&self) -> Option<f64> {
        self.state.closed_at.get()
    }

    /// Returns the time at which a set-up was written that has no final answer yet.
    pub fn pending_since(&self, call_id: &str) -> Option<f64> {
        self.state.pending.borrow().get(call_id).copied()
    }

    /// Returns whether the connection has had no call for at least `seconds`.
    pub fn is_idle_for(&self, seconds: f64) -> bool {
        self.state.update_idle_since();
        now() - self.state.idle_since.get() >= seconds
    }

    /// Sends a set-up.
    pub async fn send_set_up(&self, set_up: &SetUp) -> io::Result<()> {
        self.send_set_up_in_pieces(set_up, usize::MAX, 0.0).await
    }

    /// Sends a set-up in pieces of at most `piece` bytes, with a pause of `pause` seconds after each.
    pub async fn send_set_up_in_pieces(&self, set_up: &SetUp, piece: usize, pause: f64) -> io::Result<()> {
        let bytes = set_up.message().to_bytes();
        let pieces = bytes.chunks(piece.min(bytes.len()));
        let last = pieces.len() - 1;
        let mut writer = self.writer.lock().await;
        for (ix, piece) in pieces.enumerate() {
            if ix == last {
                // The waiting time counts from the last byte.
                self.state.pending.borrow_mut().insert(set_up.call_id.clone(), now());
            }
            writer.write_all(piece).await?;
            if ix < last {
                sleep(pause).await;
            }
        }
        let deadline = set_up.deadline_ms as f64 / 1000.0;
        self.record.add(&self.name, self.proxy, &set_up.call_id, Observation::Requested { deadline });
        self.state.update_idle_since();
        Ok(())
    }

    /// Cancels a pending set-up.
    pub async fn cancel_set_up(&self, call_id: &str) -> io::Result<()> {
        if self.state.pending.borrow_mut().remove(call_id).is_some() {
            self.record.add(&self.name, self.proxy, call_id, Observation::GaveUp);
            let cancel = Message::request("CANCEL", "sip:x@net")
                .with("Via", "SIP/2.0/TCP peer")
                .with("Call-ID", call_id)
                .with("CSeq", "1 CANCEL");
            messages::send(&mut *self.writer.lock().await, &cancel).await?;
        }
        Ok(())
    }

    /// Sends a release for a call.
    pub async fn hang_up(&self, call_id: &str) -> io::Result<()> {
        self.record.add(&self.name, self.proxy, call_id, Observation::HungUp);
        self.state.established.borrow_mut().remove(call_id);
        messages::send(&mut *self.writer.lock().await, &messages::release_request(call_id, 16)).await
    }

    /// Writes raw bytes.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.writer.lock().await.write_all(bytes).await
    }

    /// Closes the connection; pending set-ups on it are given up. Also recorded if the proxy has closed it before: from
    /// now on the caller would not have had it anyway.
    pub fn close(&self) {
        for call_id in std::mem::take(&mut *self.state.pending.borrow_mut()).into_keys() {
            self.record.add(&self.name, self.proxy, &call_id, Observation::GaveUp);
        }
        if !self.state.closed_by_caller.replace(true) {
            self.record.add(&self.name, self.proxy, "", Observation::CallerDisconnected);
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

async fn read_messages(
    stream: TcpStream,
    writer: &Mutex<TcpStream>,
    name: &str,
    proxy: usize,
    record: &Record,
    state: &State,
) {
    let mut reader = MessageReader::new(stream);
    while let Some(message) = reader.next().await {
        let id = call_id_of(&message);
        match (message.status(), message.method()) {
            (Some(status), _) if status >= 200 => {
                let Some((_, "INVITE")) = message.cseq() else { continue };
                let was_pending = state.pending.borrow_mut().remove(&id).is_some();
                // A 487 that crosses a cancel answers a set-up that the caller no longer waits for.
                if !was_pending && status == 487 {
                    continue;
                }
                let description = String::from_utf8_lossy(&message.body).into_owned();
                record.add(name, proxy, &id, Observation::Answered { status, description });
                if status == 200 {
                    state.established.borrow_mut().insert(id.clone());
                }
                let ack = Message::request("ACK", "sip:x@net").with("Call-ID", &id).with("CSeq", "1 ACK");
                let _ = messages::send(&mut *writer.lock().await, &ack).await;
            }
            (_, Some("BYE")) => {
                let cause = message.get("Reason").and_then(|r| r.rsplit_once('=')?.1.parse().ok());
                state.established.borrow_mut().remove(&id);
                record.add(name, proxy, &id, Observation::ReleaseReceived(cause.unwrap_or(0)));
                let response = Message::response(200, "OK", &message.headers);
                let _ = messages::send(&mut *writer.lock().await, &response).await;
            }
            _ => {}
        }
        state.update_idle_since();
    }
}
