//! The roster client: keeps a connection to discovery and forwards roster updates to the engine in order.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::Value;
use smol::channel::{Receiver, Sender};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use smol::{future, Timer};
use thiserror::Error;

use super::engine::EngineMessage;
use super::{post, with_timeout};
use crate::interface::*;
use crate::telemetry;

/// Discovery sends a line every second. A connection without a complete line for this long is replaced; before its first
/// line, another attempt begins beside it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time in which discovery has to send its first line on a connection.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// Attempts to get a first line that wait side by side.
const MAX_ATTEMPTS: usize = 4;
/// Bytes read per system call.
const READ_CHUNK_BYTES: usize = 8192;
/// Pause before a lost connection to discovery is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The longest line accepted, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// An unreadable line is requested this many more times before it is skipped.
const MAX_REREADS: u32 = 5;

/// Address of discovery, and the roster events known from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterSource {
    /// Address of discovery.
    pub addr: SocketAddr,
    /// Known events, oldest first.
    pub known_events: Vec<Value>,
    /// Number of the last known event.
    pub last_known_event: u64,
}

/// Why a line was not accepted. The event has to be requested again.
#[derive(Debug, Error)]
pub enum RosterError {
    /// The line is not valid JSON, or not of the expected form.
    #[error("unreadable roster event: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Events between the last accepted one and the announced one are missing.
    #[error(
        "roster events are missing: discovery is at event {announced}, the last one here is {last_event}"
    )]
    Gap {
        /// Number of the last event accepted.
        last_event: u64,
        /// Number that discovery announced.
        announced: u64,
    },
}

/// One exchange of the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedExchange {
    /// Its roster entry, as the decision module takes it.
    pub entry: RosterEntry,
    /// Address on which it listens.
    pub addr: SocketAddr,
}

#[derive(Deserialize)]
struct EventW {
    no: u64,
    roster: Option<RosterW>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RosterW {
    #[serde(default)]
    reset: bool,
    instances: Vec<InstanceW>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct InstanceW {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    cell: i64,
    lifecycle: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

/// Reads roster events in order. Remembers the last event, and the [`ExchangeId`] assigned to each instance id that
/// is still on the roster.
#[derive(Debug, Default)]
pub struct RosterReader {
    last_event: u64,
    exchange_ids: BTreeMap<String, ExchangeId>,
    ids_assigned: u64,
    /// Events up to this number were requested again. If some are still missing afterwards, discovery never wrote
    /// them.
    requested: u64,
}

impl RosterReader {
    /// Reads one line: an event, or the number of the latest event. A new roster event is returned with its entries,
    /// and with true if these are the whole roster.
    pub fn read_line(&mut self, line: &str) -> Result<Option<(bool, Vec<ListedExchange>)>, RosterError> {
        let value: Value = serde_json::from_str(line)?;
        match value.as_u64() {
            Some(announced) => self.check_gap(announced).map(|()| None),
            None => self.apply_event(value),
        }
    }

    /// Checks that no event up to a number is missing. A gap is reported only once for the same number.
    fn check_gap(&mut self, announced: u64) -> Result<(), RosterError> {
        if announced <= self.last_event.max(self.requested) {
            return Ok(());
        }
        self.requested = announced;
        Err(RosterError::Gap { last_event: self.last_event, announced })
    }

    /// Applies the events known from the configuration, and forwards the new ones to the engine.
    async fn apply_known(&mut self, events: Vec<Value>, last_event: u64, engine: &Sender<EngineMessage>) {
        self.requested = u64::MAX;
        for value in events {
            // The first event of all is the whole roster.
            let initial = self.last_event == 0;
            match self.apply_event(value) {
                Ok(Some((full, exchanges))) => {
                    post(engine, EngineMessage::Roster { full: full || initial, listed: exchanges }).await;
                }
                Ok(None) => {}
                Err(error) => tracing::error!(%error, "unreadable roster event in the configuration"),
            }
        }
        (self.last_event, self.requested) = (self.last_event.max(last_event), 0);
    }

    /// Applies one event. Returns as [`RosterReader::read_line`] does.
    pub fn apply_event(&mut self, value: Value) -> Result<Option<(bool, Vec<ListedExchange>)>, RosterError> {
        let event = EventW::deserialize(value)?;
        if event.no <= self.last_event {
            return Ok(None);
        }
        if !event.roster.as_ref().is_some_and(|roster| roster.reset) {
            self.check_gap(event.no - 1)?;
        }
        self.last_event = event.no;
        let Some(roster) = event.roster else { return Ok(None) };
        let mut exchanges = Vec::new();
        let mut removed_ids = Vec::new();
        for instance in roster.instances {
            let state = match instance.lifecycle.as_str() {
                "ready" => ServiceState::InService,
                "draining" => ServiceState::Draining,
                _ => ServiceState::Removed,
            };
            if state == ServiceState::Removed {
                removed_ids.push(instance.instance_id.clone());
            }
            let id = *self.exchange_ids.entry(instance.instance_id).or_insert_with(|| {
                self.ids_assigned += 1;
                ExchangeId(self.ids_assigned)
            });
            let ready_at = (instance.started_at_ms > 0.0).then_some(Time(instance.started_at_ms / 1000.0));
            let (zone, number, weight) = (instance.zone, ExchangeNumber(instance.cell), instance.weight);
            let entry = RosterEntry { id, zone, number, state, weight, ready_at };
            exchanges.push(ListedExchange { entry, addr: instance.host_port });
        }
        if roster.reset {
            self.exchange_ids
                .retain(|_, id| exchanges.iter().any(|listed_exchange| listed_exchange.entry.id == *id));
        }
        self.exchange_ids.retain(|id, _| !removed_ids.contains(id));
        Ok(Some((roster.reset, exchanges)))
    }
}

/// Why the client stopped reading from a connection.
enum Disconnect {
    Lost(io::Error),
    Moved(RosterSource),
}

/// Runs an I/O operation unless a new source arrives first. Only reads, writes and pauses run under it, so that
/// forwarding an update to the engine is never interrupted.
async fn unless_moved<T>(
    sources: &Receiver<RosterSource>,
    work: impl Future<Output = io::Result<T>>,
) -> Result<T, Disconnect> {
    let next_source = async {
        match sources.recv().await {
            Ok(source) => Err(Disconnect::Moved(source)),
            Err(_) => future::pending().await,
        }
    };
    future::or(next_source, async { work.await.map_err(Disconnect::Lost) }).await
}

/// Runs the roster client: applies the known events of a source, then follows discovery at its address, until a new
/// source replaces it.
pub async fn run(mut source: RosterSource, sources: Receiver<RosterSource>, engine: Sender<EngineMessage>) {
    let mut reader = RosterReader::default();
    // The last event accepted, and how often the line after it was unreadable.
    let mut unreadable = (0, 0);
    loop {
        reader.apply_known(std::mem::take(&mut source.known_events), source.last_known_event, &engine).await;
        let next_source = match follow_source(
            source.addr,
            &mut reader,
            &sources,
            &engine,
            unreadable.1 >= MAX_REREADS,
        )
        .await
        {
            Disconnect::Moved(new_source) => Some(new_source),
            Disconnect::Lost(error) => {
                tracing::warn!(%error, last = reader.last_event, "connection to discovery lost: reconnecting");
                telemetry::discovery_connection_lost();
                let again = error.kind() == io::ErrorKind::InvalidData && reader.last_event == unreadable.0;
                unreadable = (reader.last_event, if again { unreadable.1 + 1 } else { 0 });
                let delay = async {
                    Timer::after(RECONNECT_DELAY).await;
                    Ok(())
                };
                match unless_moved(&sources, delay).await {
                    Err(Disconnect::Moved(new_source)) => Some(new_source),
                    _ => None,
                }
            }
        };
        if let Some(new_source) = next_source {
            tracing::info!(bulletin = %new_source.addr, last = reader.last_event, "discovery address changed");
            source = new_source;
        }
    }
}

/// A connection to discovery on which the first line has arrived.
struct Opened {
    stream: TcpStream,
    /// What was received, with at least one line.
    received: Vec<u8>,
}

/// An attempt to get a first line from discovery.
type Attempt = Pin<Box<dyn Future<Output = io::Result<Opened>>>>;

/// Connects, asks for the events after this one, and waits for the first line.
async fn open(addr: SocketAddr, last_event: u64) -> io::Result<Opened> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(format!("after {last_event}\n").as_bytes()).await?;
    let mut received = Vec::new();
    let mut bytes = vec![0; READ_CHUNK_BYTES];
    while !received.contains(&b'\n') {
        match stream.read(&mut bytes).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => received.extend_from_slice(&bytes[..n]),
        }
        if received.len() > MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    Ok(Opened { stream, received })
}

/// Waits until one of the attempts ends, and removes it.
async fn next_ended(attempts: &mut Vec<Attempt>) -> io::Result<Opened> {
    future::poll_fn(|context| {
        for ix in 0..attempts.len() {
            if let Poll::Ready(ended) = attempts[ix].as_mut().poll(context) {
                drop(attempts.remove(ix));
                return Poll::Ready(ended);
            }
        }
        Poll::Pending
    })
    .await
}

/// Opens a connection on which discovery speaks. Discovery may be slow to its first line, and a connection may stay silent
/// for ever: so further attempts begin while earlier ones wait, and the first line ends all others.
async fn open_first(addr: SocketAddr, last_event: u64) -> io::Result<Opened> {
    let mut attempts: Vec<Attempt> = Vec::new();
    loop {
        if attempts.len() < MAX_ATTEMPTS {
            attempts.push(Box::pin(with_timeout(FIRST_LINE_TIMEOUT, open(addr, last_event))));
        }
        let ended = async { Some(next_ended(&mut attempts).await) };
        let next_attempt = async {
            Timer::after(SILENCE_TIMEOUT).await;
            None
        };
        match future::or(ended, next_attempt).await {
            Some(Ok(opened)) => return Ok(opened),
            Some(Err(error)) if attempts.is_empty() => return Err(error),
            Some(Err(error)) => {
                tracing::debug!(%error, waiting = attempts.len(), "an attempt to reach discovery failed");
                Timer::after(RECONNECT_DELAY).await;
            }
            None => {}
        }
    }
}

async fn follow_source(
    addr: SocketAddr,
    reader: &mut RosterReader,
    sources: &Receiver<RosterSource>,
    engine: &Sender<EngineMessage>,
    skip_unreadable: bool,
) -> Disconnect {
    let opened = unless_moved(sources, open_first(addr, reader.last_event)).await;
    let Opened { mut stream, received: mut buffer } = match opened {
        Ok(opened) => opened,
        Err(disconnect) => return disconnect,
    };
    let mut bytes = vec![0; READ_CHUNK_BYTES];
    // Bytes that complete no line count as silence.
    let mut last_line = Instant::now();
    loop {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            last_line = Instant::now();
            match reader.read_line(line.trim()) {
                Ok(Some((full, exchanges))) => {
                    post(engine, EngineMessage::Roster { full, listed: exchanges }).await
                }
                Ok(None) => {}
                Err(fault @ RosterError::Malformed(_)) if skip_unreadable => {
                    tracing::error!(%fault, "unreadable line from discovery skipped");
                }
                Err(fault) => return Disconnect::Lost(io::Error::new(io::ErrorKind::InvalidData, fault)),
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Disconnect::Lost(io::ErrorKind::InvalidData.into());
        }
        let remaining = SILENCE_TIMEOUT.saturating_sub(last_line.elapsed());
        match unless_moved(sources, with_timeout(remaining, stream.read(&mut bytes))).await {
            Ok(0) => return Disconnect::Lost(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            Err(disconnect) => return disconnect,
        }
    }
}
