//! The actor of the list: holds a connection to the bulletin and passes its events on in order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use smol::channel::Sender;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use smol::Timer;

use super::engine::EngineMail;
use super::{or_late, post};
use crate::interface::*;

/// A line comes every second; without one for this long the connection is of no use.
const SILENCE: Duration = Duration::from_millis(2500);
const PAUSE: Duration = Duration::from_millis(200);
/// The most bytes of one line.
const MOST: usize = 1 << 20;

/// One exchange of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its line for the module.
    pub office: Office,
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

/// The list as told so far: its last event, and the numbers given to the ids of exchanges.
#[derive(Debug, Default)]
pub struct List {
    last: u64,
    ids: BTreeMap<String, OfficeId>,
}

impl List {
    /// Reads one line. What is new comes with whether it is the whole list.
    pub fn line(&mut self, line: &str) -> Result<Option<(bool, Vec<Listed>)>, serde_json::Error> {
        let value: Value = serde_json::from_str(line)?;
        if value.is_number() {
            return Ok(None);
        }
        self.event(value)
    }

    /// Reads one event.
    pub fn event(&mut self, value: Value) -> Result<Option<(bool, Vec<Listed>)>, serde_json::Error> {
        let event = EventW::deserialize(value)?;
        if event.no <= self.last {
            return Ok(None);
        }
        self.last = event.no;
        let Some(roster) = event.roster else { return Ok(None) };
        let mut listed = Vec::new();
        for line in roster.instances {
            let next = OfficeId(self.ids.len() as u64 + 1);
            let id = *self.ids.entry(line.instance_id).or_insert(next);
            let condition = match line.lifecycle.as_str() {
                "ready" => Condition::On,
                "draining" => Condition::Draining,
                _ => Condition::Off,
            };
            let ready_at = (line.started_at_ms > 0.0).then_some(Time(line.started_at_ms / 1000.0));
            let (zone, number, weight) = (line.zone, ExchangeNo(line.cell), line.weight);
            let office = Office { id, zone, number, condition, weight, ready_at };
            listed.push(Listed { office, addr: line.host_port });
        }
        Ok(Some((roster.reset, listed)))
    }
}

/// Passes the known events on, then follows the bulletin for ever.
pub async fn run(addr: SocketAddr, known: Vec<Value>, known_no: u64, engine: Sender<EngineMail>) {
    let mut list = List::default();
    for (ix, value) in known.into_iter().enumerate() {
        match list.event(value) {
            Ok(Some((whole, listed))) => {
                post(&engine, EngineMail::List { whole: whole || ix == 0, listed }).await;
            }
            Ok(None) => {}
            Err(error) => tracing::error!(%error, "a known event can't be read"),
        }
    }
    list.last = list.last.max(known_no);
    loop {
        if let Err(error) = follow(addr, &mut list, &engine).await {
            tracing::warn!(%error, last = list.last, "bulletin lost: connecting again");
        }
        Timer::after(PAUSE).await;
    }
}

async fn follow(addr: SocketAddr, list: &mut List, engine: &Sender<EngineMail>) -> std::io::Result<()> {
    let mut stream = or_late(SILENCE, TcpStream::connect(addr)).await?;
    or_late(SILENCE, stream.write_all(format!("after {}\n", list.last).as_bytes())).await?;
    let mut held = Vec::new();
    let mut bytes = vec![0; 8192];
    loop {
        let n = or_late(SILENCE, stream.read(&mut bytes)).await?;
        if n == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        held.extend_from_slice(&bytes[..n]);
        while let Some(end) = held.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = held.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            match list.line(line.trim()) {
                Ok(Some((whole, listed))) => post(engine, EngineMail::List { whole, listed }).await,
                Ok(None) => {}
                Err(error) => tracing::warn!(%error, "a line of the bulletin can't be read"),
            }
        }
        if held.len() > MOST {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
    }
}
