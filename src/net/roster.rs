//! The actor of the list: holds a connection to the bulletin and passes its events on in order.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
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

/// A line comes every second; without a whole one for this long the connection is of no use.
const SILENCE: Duration = Duration::from_millis(1800);
const PAUSE: Duration = Duration::from_millis(100);
/// The most bytes of one line.
const MOST: usize = 1 << 20;
/// How often one line that can't be read is asked for again before it is passed over.
const PATIENCE: u32 = 5;

/// Where the list is told, and what of it is known without asking.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterSource {
    /// The bulletin's address.
    pub addr: SocketAddr,
    /// The events known.
    pub known_events: Vec<Value>,
    /// The number of the last of them.
    pub last_known_event: u64,
}

/// Why what was heard is no good: it has to be asked for again.
#[derive(Debug, Error)]
pub enum RosterError {
    /// The line is no JSON of the form wanted.
    #[error("unreadable roster event: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Events are missing.
    #[error("roster events are missing: discovery is at event {announced}, the last one here is {last}")]
    Gap {
        /// The last number known.
        last: u64,
        /// The number said.
        announced: u64,
    },
}

/// One exchange of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedExchange {
    /// Its line for the module.
    pub entry: RosterEntry,
    /// Where it listens.
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

/// The list as told so far: its last event, and the numbers given to the ids of exchanges that are not gone.
#[derive(Debug, Default)]
pub struct RosterReader {
    last: u64,
    ids: BTreeMap<String, ExchangeId>,
    given: u64,
    /// Events up to here were asked for again: what is still missing then was never written.
    asked: u64,
}

impl RosterReader {
    /// Reads one line. What is new comes with whether it is the whole list.
    pub fn read_line(&mut self, line: &str) -> Result<Option<(bool, Vec<ListedExchange>)>, RosterError> {
        let value: Value = serde_json::from_str(line)?;
        match value.as_u64() {
            Some(announced) => self.reaches(announced).map(|()| None),
            None => self.apply_event(value),
        }
    }

    /// Checks that nothing up to a number is missing; the same number is complained of once.
    fn reaches(&mut self, announced: u64) -> Result<(), RosterError> {
        if announced <= self.last.max(self.asked) {
            return Ok(());
        }
        self.asked = announced;
        Err(RosterError::Gap { last: self.last, announced })
    }

    /// Takes events that need no asking, and passes on those that are new.
    async fn known(&mut self, events: Vec<Value>, last: u64, engine: &Sender<EngineMessage>) {
        self.asked = u64::MAX;
        for value in events {
            // The first event ever is the whole list.
            let first = self.last == 0;
            match self.apply_event(value) {
                Ok(Some((full, listed))) => {
                    post(engine, EngineMessage::Roster { full: full || first, listed }).await;
                }
                Ok(None) => {}
                Err(error) => tracing::error!(%error, "a known event can't be read"),
            }
        }
        (self.last, self.asked) = (self.last.max(last), 0);
    }

    /// Reads one event.
    pub fn apply_event(&mut self, value: Value) -> Result<Option<(bool, Vec<ListedExchange>)>, RosterError> {
        let event = EventW::deserialize(value)?;
        if event.no <= self.last {
            return Ok(None);
        }
        if !event.roster.as_ref().is_some_and(|roster| roster.reset) {
            self.reaches(event.no - 1)?;
        }
        self.last = event.no;
        let Some(roster) = event.roster else { return Ok(None) };
        let mut listed = Vec::new();
        let mut gone = Vec::new();
        for line in roster.instances {
            let condition = match line.lifecycle.as_str() {
                "ready" => ServiceState::InService,
                "draining" => ServiceState::Draining,
                _ => ServiceState::Removed,
            };
            if condition == ServiceState::Removed {
                gone.push(line.instance_id.clone());
            }
            let id = *self.ids.entry(line.instance_id).or_insert_with(|| {
                self.given += 1;
                ExchangeId(self.given)
            });
            let ready_at = (line.started_at_ms > 0.0).then_some(Time(line.started_at_ms / 1000.0));
            let (zone, number, weight) = (line.zone, ExchangeNumber(line.cell), line.weight);
            let entry = RosterEntry { id, zone, number, state: condition, weight, ready_at };
            listed.push(ListedExchange { entry, addr: line.host_port });
        }
        if roster.reset {
            self.ids.retain(|_, id| listed.iter().any(|l| l.entry.id == *id));
        }
        self.ids.retain(|id, _| !gone.contains(id));
        Ok(Some((roster.reset, listed)))
    }
}

/// Why a connection is followed no longer.
enum End {
    Lost(io::Error),
    Moved(RosterSource),
}

/// Does something unless another source is named first. Nothing that is half handed on is ever cut short by that.
async fn or_moved<T>(
    sources: &Receiver<RosterSource>,
    work: impl Future<Output = io::Result<T>>,
) -> Result<T, End> {
    let moved = async {
        match sources.recv().await {
            Ok(source) => Err(End::Moved(source)),
            Err(_) => future::pending().await,
        }
    };
    future::or(moved, async { work.await.map_err(End::Lost) }).await
}

/// Passes the known events on, then follows the bulletin for ever, wherever the latest source says it is.
pub async fn run(mut source: RosterSource, sources: Receiver<RosterSource>, engine: Sender<EngineMessage>) {
    let mut reader = RosterReader::default();
    // How often the line behind the last event could not be read.
    let mut spoilt = (0, 0);
    loop {
        reader.known(std::mem::take(&mut source.known_events), source.last_known_event, &engine).await;
        let moved = match follow(source.addr, &mut reader, &sources, &engine, spoilt.1 >= PATIENCE).await {
            End::Moved(to) => Some(to),
            End::Lost(error) => {
                tracing::warn!(%error, last = reader.last, "bulletin lost: connecting again");
                telemetry::discovery_lost();
                let again = error.kind() == io::ErrorKind::InvalidData && reader.last == spoilt.0;
                spoilt = (reader.last, if again { spoilt.1 + 1 } else { 0 });
                let pause = async {
                    Timer::after(PAUSE).await;
                    Ok(())
                };
                match or_moved(&sources, pause).await {
                    Err(End::Moved(to)) => Some(to),
                    _ => None,
                }
            }
        };
        if let Some(to) = moved {
            tracing::info!(bulletin = %to.addr, last = reader.last, "following another bulletin");
            source = to;
        }
    }
}

async fn follow(
    addr: SocketAddr,
    reader: &mut RosterReader,
    sources: &Receiver<RosterSource>,
    engine: &Sender<EngineMessage>,
    pass_over: bool,
) -> End {
    let asked = async {
        let mut stream = with_timeout(SILENCE, TcpStream::connect(addr)).await?;
        with_timeout(SILENCE, stream.write_all(format!("after {}\n", reader.last).as_bytes())).await?;
        Ok(stream)
    };
    let mut stream = match or_moved(sources, asked).await {
        Ok(stream) => stream,
        Err(end) => return end,
    };
    let mut held = Vec::new();
    let mut bytes = vec![0; 8192];
    // Bytes that end no line are as good as silence.
    let mut heard = Instant::now();
    loop {
        let left = SILENCE.saturating_sub(heard.elapsed());
        match or_moved(sources, with_timeout(left, stream.read(&mut bytes))).await {
            Ok(0) => return End::Lost(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => held.extend_from_slice(&bytes[..n]),
            Err(end) => return end,
        }
        while let Some(end) = held.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = held.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            heard = Instant::now();
            match reader.read_line(line.trim()) {
                Ok(Some((full, listed))) => post(engine, EngineMessage::Roster { full, listed }).await,
                Ok(None) => {}
                Err(fault @ RosterError::Malformed(_)) if pass_over => {
                    tracing::error!(%fault, "a line of the bulletin is passed over");
                }
                Err(fault) => return End::Lost(io::Error::new(io::ErrorKind::InvalidData, fault)),
            }
        }
        if held.len() > MOST {
            return End::Lost(io::ErrorKind::InvalidData.into());
        }
    }
}
