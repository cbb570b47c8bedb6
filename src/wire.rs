//! The simulator's wire: reads batches, hosts one [`Controller`] for each instance, writes replies.
//! Translation only; every decision is in [`crate::logic`].

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use serde::{Deserialize, Deserializer};
use serde_json::{json, Value};
use thiserror::Error;

use crate::interface::*;
use crate::logic::Controller;

/// What can be wrong with a line of the wire.
#[derive(Debug, Error)]
pub enum WireError {
    /// Input or output failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// The line is no message this adapter can read.
    #[error("malformed line: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is no object with a single key.
    #[error("malformed line: want an object with one key, the name of the message")]
    Shape,
    /// The message has an unknown name.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// The fields of a message do not fit.
    #[error("event '{name}': {source}")]
    Fields {
        /// The message.
        name: String,
        /// What did not fit.
        source: serde_json::Error,
    },
    /// A field holds a value that means nothing.
    #[error("event '{name}': {what} '{value}' is not known")]
    Value {
        /// The message.
        name: &'static str,
        /// The field.
        what: &'static str,
        /// What it holds.
        value: String,
    },
    /// An event names a manifest that was never given.
    #[error("event 'announce': no manifest was given for slot {0}")]
    Slot(u64),
    /// An event names an instance that was not created.
    #[error("event '{name}': server {server} was not created")]
    NoInstance {
        /// The message.
        name: String,
        /// The instance.
        server: u64,
    },
    /// An event stands outside a batch, or a batch inside another.
    #[error("'{0}' out of place: events stand between 'batch' and 'commit'")]
    OutOfPlace(String),
    /// The input ended within a batch.
    #[error("the input ended within a batch")]
    CutShort,
}

/// Absent and null both read as the default.
fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

#[derive(Deserialize)]
struct BatchW {
    at_time: f64,
    frame: u64,
}

#[derive(Deserialize)]
struct CreateW {
    seed: u64,
    facts: FactsW,
}

#[derive(Deserialize)]
struct FactsW {
    classes: Vec<ClassW>,
    #[serde(default, deserialize_with = "lenient")]
    discovery: String,
    #[serde(default, deserialize_with = "lenient")]
    extra: ExtraW,
    #[serde(default, deserialize_with = "lenient")]
    limits: LimitsW,
    n_instances: u32,
    #[serde(default, deserialize_with = "lenient")]
    prices: PricesW,
    #[serde(default, deserialize_with = "lenient")]
    rules: RulesW,
    #[serde(default, deserialize_with = "lenient")]
    telemetry: TelemetryW,
    #[serde(default, deserialize_with = "lenient")]
    tick: f64,
}

#[derive(Deserialize)]
struct ClassW {
    name: String,
    target: f64,
    give_up: f64,
    #[serde(default, deserialize_with = "lenient")]
    semantics: String,
    #[serde(default, deserialize_with = "lenient")]
    key_scope: String,
    #[serde(default, deserialize_with = "lenient")]
    window: f64,
    #[serde(default, deserialize_with = "lenient")]
    worth: f64,
    #[serde(default, deserialize_with = "lenient")]
    late_value: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ExtraW {
    #[serde(deserialize_with = "lenient")]
    allowed_pools: Vec<Option<Vec<i64>>>,
    #[serde(deserialize_with = "lenient")]
    centre_advises: bool,
    #[serde(deserialize_with = "lenient")]
    class_width: Vec<u32>,
    #[serde(deserialize_with = "lenient")]
    mean_hold: Vec<f64>,
    #[serde(deserialize_with = "lenient")]
    network_form: String,
    #[serde(deserialize_with = "lenient")]
    release: f64,
    #[serde(deserialize_with = "lenient")]
    retransmit: f64,
    #[serde(deserialize_with = "lenient")]
    says_wait: bool,
    self_no: Option<i64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LimitsW {
    cancel: bool,
    max_attempts: u32,
    max_retry_after: f64,
    peers: bool,
    probing: bool,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PricesW {
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RulesW {
    answer_slack: f64,
    ask_every: f64,
    cold_from: f64,
    drain_grace: f64,
    fall: f64,
    fall_multiple: f64,
    warm_within: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TelemetryW {
    how: String,
}

#[derive(Deserialize)]
struct ManifestW {
    slot: u64,
    elements: Vec<EntryW>,
}

#[derive(Deserialize)]
struct EntryW {
    office: u64,
    #[serde(default, deserialize_with = "lenient")]
    az: String,
    #[serde(default, deserialize_with = "lenient")]
    number: i64,
    condition: String,
    #[serde(default, deserialize_with = "lenient")]
    weight: f64,
    #[serde(default, deserialize_with = "lenient")]
    ready_at: f64,
}

#[derive(Deserialize)]
struct AnnounceW {
    #[serde(default, deserialize_with = "lenient")]
    slot: u64,
    kind: String,
}

#[derive(Deserialize)]
struct ArrivalW {
    request_id: String,
    ttl: f64,
    #[serde(default, deserialize_with = "lenient")]
    midflow: bool,
    hop: Option<i64>,
    #[serde(default, deserialize_with = "lenient")]
    came_back: bool,
    circuits: Option<u32>,
    #[serde(default, deserialize_with = "lenient")]
    resent: bool,
    #[serde(default, deserialize_with = "lenient")]
    far_end: i64,
    priority: String,
    item: Option<String>,
}

#[derive(Deserialize)]
struct AnswerW {
    request_id: String,
    #[serde(default, deserialize_with = "lenient")]
    leg: u32,
    office: u64,
    #[serde(default, deserialize_with = "lenient")]
    verdict: i64,
    #[serde(default, deserialize_with = "lenient")]
    cost_time: f64,
    #[serde(default, deserialize_with = "lenient")]
    why: u64,
    #[serde(default, deserialize_with = "lenient")]
    closed: bool,
    #[serde(default, deserialize_with = "lenient")]
    server_stats: BTreeMap<String, f64>,
}

#[derive(Deserialize)]
struct FirstW {
    request_id: String,
    #[serde(default, deserialize_with = "lenient")]
    leg: u32,
    office: u64,
    #[serde(default, deserialize_with = "lenient")]
    cost_time: f64,
}

#[derive(Deserialize)]
struct WithdrawnW {
    request_id: String,
}

#[derive(Deserialize)]
struct RingW {
    #[serde(default, deserialize_with = "lenient", rename = "ref")]
    token: u64,
}

#[derive(Deserialize)]
struct NoteW {
    #[serde(default, deserialize_with = "lenient")]
    who: u32,
    #[serde(default, deserialize_with = "lenient")]
    payload: String,
}

#[derive(Deserialize)]
struct StatusW {
    office: u64,
    #[serde(default, deserialize_with = "lenient")]
    verdict: i64,
    #[serde(default, deserialize_with = "lenient")]
    cost_time: f64,
    #[serde(default, deserialize_with = "lenient")]
    server_stats: BTreeMap<String, f64>,
}

#[derive(Deserialize)]
struct ServerW {
    server: u64,
}

fn fields<'a, T: Deserialize<'a>>(name: &str, body: &'a Value) -> Result<T, WireError> {
    T::deserialize(body).map_err(|source| WireError::Fields { name: name.to_owned(), source })
}

/// Reads the settings of an instance, as they stand under `facts`, naming the key at fault.
pub fn read_settings(facts: &Value) -> Result<Settings, serde_path_to_error::Error<serde_json::Error>> {
    serde_path_to_error::deserialize::<_, FactsW>(facts).map(settings)
}

/// A load report by the names of the wire.
pub(crate) fn report(stats: &BTreeMap<String, f64>) -> LoadReport {
    let get = |key: &str| stats.get(key).copied().filter(|v| v.is_finite() && *v >= 0.0);
    LoadReport {
        free_circuits: get("idle"),
        group_size: get("circuits"),
        active_messages: get("active"),
        queued_messages: get("waiting"),
        utilization: get("cpu"),
        queueing_delay: get("avg_ms").map(|ms| ms / 1000.0),
        set_up_rate: get("max_rate"),
        requested_reduction: get("reduce"),
    }
}

fn outcome(verdict: i64) -> Result<Outcome, WireError> {
    Ok(match verdict {
        0 => Outcome::Completed,
        5 => Outcome::Error,
        11 => Outcome::Refused,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        other => return Err(WireError::Value { name: "answer", what: "verdict", value: other.to_string() }),
    })
}

/// Notes 1 to 4 with 16 x the wait in milliseconds on note 3; 18 is note 2 with its own mark.
fn why(note: u64, says_wait: bool) -> (Cause, Option<Secs>) {
    if note == 18 {
        return (Cause::FarProcessorFull, None);
    }
    let wait = (says_wait && note >= 16).then(|| (note / 16) as f64 / 1000.0);
    match note % 16 {
        1 => (Cause::NoCircuit, None),
        2 => (Cause::Crankback, None),
        3 => (Cause::ProcessorFull, wait),
        4 => (Cause::LinesBusy, None),
        _ => (Cause::Unspecified, None),
    }
}

fn settings(facts: FactsW) -> Settings {
    let extra = &facts.extra;
    let class = |(ix, c): (usize, &ClassW)| Class {
        name: c.name.clone(),
        target: c.target,
        give_up_after: c.give_up,
        repeat_semantics: match (c.semantics.as_str(), c.key_scope.as_str()) {
            ("guarded", "all") => RepeatSemantics::Deduplicated(DuplicateScope::All),
            ("guarded", "zone") => RepeatSemantics::Deduplicated(DuplicateScope::Zone),
            ("guarded", _) => RepeatSemantics::Deduplicated(DuplicateScope::Number),
            ("single_shot", _) => RepeatSemantics::AtMostOnce,
            _ => RepeatSemantics::Idempotent,
        },
        duplicate_window: c.window,
        worth: c.worth,
        late_worth_share: c.late_value,
        width: extra.class_width.get(ix).copied().unwrap_or(1),
        mean_holding_time: extra.mean_hold.get(ix).copied().unwrap_or(0.0),
        pools: extra
            .allowed_pools
            .get(ix)
            .into_iter()
            .flatten()
            .flatten()
            .map(|n| ExchangeNumber(*n))
            .collect(),
    };
    Settings {
        classes: facts.classes.iter().enumerate().map(class).collect(),
        proxies: facts.n_instances,
        own_exchange: extra.self_no.filter(|n| *n >= 0).map(ExchangeNumber),
        service_kind: if extra.network_form == "skills" {
            ServiceKind::AgentPools
        } else {
            ServiceKind::Network
        },
        discovery: if facts.discovery == "on_request" { Discovery::OnRequest } else { Discovery::Pushed },
        load_reporting: match facts.telemetry.how.as_str() {
            "piggyback" => LoadReporting::Piggybacked,
            "pull" => LoadReporting::ProbesOnly,
            _ => LoadReporting::Never,
        },
        release_pause: extra.release,
        retransmit_after: extra.retransmit,
        retry_after_provided: extra.says_wait,
        centre_advises: extra.centre_advises,
        cancel_allowed: facts.limits.cancel,
        probing_allowed: facts.limits.probing,
        peer_messages_allowed: facts.limits.peers,
        cool_down_allowed: facts.limits.retry_after,
        max_cool_down: facts.limits.max_retry_after,
        max_attempts: facts.limits.max_attempts,
        answer_slack: facts.rules.answer_slack,
        poll_interval: facts.rules.ask_every,
        drain_grace: facts.rules.drain_grace,
        cold_share: facts.rules.cold_from,
        warm_up_time: facts.rules.warm_within,
        collapse_multiple: facts.rules.fall_multiple,
        collapse_time: facts.rules.fall,
        probe_cost: facts.prices.probe,
        tick: facts.tick,
    }
}

fn office(entry: EntryW) -> Result<RosterEntry, WireError> {
    let condition = match entry.condition.as_str() {
        "on" => ServiceState::InService,
        "fading" => ServiceState::Draining,
        "off" => ServiceState::Removed,
        _ => return Err(WireError::Value { name: "manifest", what: "condition", value: entry.condition }),
    };
    Ok(RosterEntry {
        id: ExchangeId(entry.office),
        zone: entry.az,
        number: ExchangeNumber(entry.number),
        state: condition,
        weight: entry.weight,
        ready_at: (entry.ready_at > 0.0).then_some(Time(entry.ready_at)),
    })
}

fn action_line(server: u64, action: &Action) -> Value {
    match action {
        Action::Attempt { id, exchange: office, abandon_at } => json!({"attempt":
            {"server": server, "request_id": id.0, "office": office.0, "abandon_at": abandon_at.0}}),
        Action::Refuse { id, cool_down, .. } => json!({"say_no":
            {"server": server, "request_id": id.0, "cool_down": cool_down}}),
        Action::Fail(id) => json!({"fail": {"server": server, "request_id": id.0}}),
        Action::Cancel { id, leg } => json!({"undo_send":
            {"server": server, "request_id": id.0, "leg": leg}}),
        Action::Timer { after, token } => json!({"wake_at":
            {"server": server, "sleep_for": after, "ref": token.0}}),
        Action::Probe(office) => json!({"sample": {"server": server, "office": office.0}}),
        Action::PeerMessage { to, text } => {
            let peer = to.map_or(json!("*"), |n| json!(n));
            json!({"memo_to": {"server": server, "peer": peer, "payload": text}})
        }
        Action::Subscribe => json!({"subscribe": {"server": server, "on": true}}),
        Action::FetchRoster => json!({"pull": {"server": server}}),
        Action::Log(text) => json!({"trace": {"server": server, "body_text": text}}),
    }
}

/// One instance and the class names that its events use.
struct Instance {
    controller: Controller,
    classes: Vec<String>,
    says_wait: bool,
}

/// The instances of one process and the manifests they refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    manifests: BTreeMap<u64, Vec<RosterEntry>>,
    batch: Option<(Time, u64)>,
    actions: Vec<Action>,
}

impl Host {
    /// A host with no instance yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line of input and writes what it calls for. A `commit` flushes the reply.
    pub fn line(&mut self, line: &str, out: &mut impl Write) -> Result<(), WireError> {
        let message: Value = serde_json::from_str(line)?;
        let mut keys = message.as_object().ok_or(WireError::Shape)?.iter();
        let (Some((name, body)), None) = (keys.next(), keys.next()) else { return Err(WireError::Shape) };
        match (name.as_str(), self.batch) {
            ("batch", None) => {
                let batch: BatchW = fields(name, body)?;
                self.batch = Some((Time(batch.at_time), batch.frame));
            }
            ("commit", Some((_, frame))) => {
                self.batch = None;
                writeln!(out, "{}", json!({"finished": {"frame": frame}}))?;
                out.flush()?;
            }
            ("batch" | "commit", _) | (_, None) => return Err(WireError::OutOfPlace(name.clone())),
            ("manifest", Some(_)) => {
                let manifest: ManifestW = fields(name, body)?;
                let offices = manifest.elements.into_iter().map(office).collect::<Result<_, _>>()?;
                self.manifests.insert(manifest.slot, offices);
            }
            (_, Some((now, _))) => self.instance_event(name, body, now, out)?,
        }
        Ok(())
    }

    /// The input is at its end: an error where that cuts a batch.
    pub fn end(&self) -> Result<(), WireError> {
        self.batch.map_or(Ok(()), |_| Err(WireError::CutShort))
    }

    fn instance_event(
        &mut self,
        name: &str,
        body: &Value,
        now: Time,
        out: &mut impl Write,
    ) -> Result<(), WireError> {
        let ServerW { server } = fields(name, body)?;
        self.actions.clear();
        match name {
            "create" => {
                let create: CreateW = fields(name, body)?;
                let classes = create.facts.classes.iter().map(|c| c.name.clone()).collect();
                let settings = settings(create.facts);
                let says_wait = settings.retry_after_provided;
                let mut controller = Controller::new(settings, create.seed);
                controller.start(now, &mut self.actions);
                self.instances.insert(server, Instance { controller, classes, says_wait });
            }
            "teardown" => {
                self.instances.remove(&server);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&server) else {
                    return Err(WireError::NoInstance { name: name.to_owned(), server });
                };
                let event = event(name, body, instance, &self.manifests)?;
                instance.controller.handle(now, event, &mut self.actions);
            }
        }
        for action in &self.actions {
            writeln!(out, "{}", action_line(server, action))?;
        }
        Ok(())
    }
}

fn event(
    name: &str,
    body: &Value,
    instance: &Instance,
    manifests: &BTreeMap<u64, Vec<RosterEntry>>,
) -> Result<Event, WireError> {
    Ok(match name {
        "announce" => {
            let announce: AnnounceW = fields(name, body)?;
            let kind = match announce.kind.as_str() {
                "INCREMENTAL" => RosterKind::Incremental,
                "FULL" => RosterKind::Full,
                "SAVED" => RosterKind::Saved,
                "FAILED" => {
                    return Ok(Event::Roster { kind: RosterKind::RequestFailed, entries: Vec::new() })
                }
                _ => return Err(WireError::Value { name: "announce", what: "kind", value: announce.kind }),
            };
            let offices = manifests.get(&announce.slot).ok_or(WireError::Slot(announce.slot))?.clone();
            Event::Roster { kind, entries: offices }
        }
        "arrival" => {
            let a: ArrivalW = fields(name, body)?;
            let Some(class) = instance.classes.iter().position(|c| *c == a.priority) else {
                return Err(WireError::Value { name: "arrival", what: "priority", value: a.priority });
            };
            Event::Arrival(Arrival {
                id: CallId(a.request_id),
                ttl: a.ttl,
                transit: a.midflow,
                hop: a.hop.filter(|n| *n >= 0).map(ExchangeNumber),
                re_established: a.came_back,
                width: a.circuits.unwrap_or(1),
                redial: a.resent,
                dest: ExchangeNumber(a.far_end),
                class: ClassIndex(class),
                number: a.item,
            })
        }
        "answer" => {
            let a: AnswerW = fields(name, body)?;
            let (why, named_wait) = why(a.why, instance.says_wait);
            Event::AttemptEnded(AttemptResult {
                id: CallId(a.request_id),
                leg: a.leg,
                exchange: ExchangeId(a.office),
                outcome: outcome(a.verdict)?,
                elapsed: a.cost_time,
                cause: why,
                retry_after: named_wait,
                concluded: a.closed,
                report: report(&a.server_stats),
            })
        }
        "first" => {
            let f: FirstW = fields(name, body)?;
            Event::Established {
                id: CallId(f.request_id),
                leg: f.leg,
                exchange: ExchangeId(f.office),
                elapsed: f.cost_time,
            }
        }
        "withdrawn" => Event::Withdrawn(CallId(fields::<WithdrawnW>(name, body)?.request_id)),
        "ring" => Event::Timer(TimerToken(fields::<RingW>(name, body)?.token)),
        "note_from" => {
            let note: NoteW = fields(name, body)?;
            Event::PeerMessage { from: note.who, text: note.payload }
        }
        "status_back" => {
            let s: StatusW = fields(name, body)?;
            Event::Status {
                exchange: ExchangeId(s.office),
                ok: s.verdict == 0,
                elapsed: s.cost_time,
                report: report(&s.server_stats),
            }
        }
        _ => return Err(WireError::UnknownEvent(name.to_owned())),
    })
}

/// Serves the wire until the input ends.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut host = Host::new();
    for line in input.lines() {
        let line = line?;
        if !line.trim().is_empty() {
            host.line(&line, &mut output)?;
        }
    }
    host.end()
}
