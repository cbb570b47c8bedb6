//! The simulator's protocol, one JSON object per line: reads batches of events, passes them to one [`Controller`] for
//! each instance and writes its actions. This module only translates; [`crate::logic`] makes every decision.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use serde::{Deserialize, Deserializer};
use serde_json::{json, Value};
use thiserror::Error;

use crate::interface::*;
use crate::logic::Controller;

/// Why a line of input can't be processed.
#[derive(Debug, Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// The line is not valid JSON.
    #[error("malformed line: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is not a JSON object with exactly one key.
    #[error("malformed line: expected an object with one key, the name of the message")]
    NotSingleKey,
    /// The name of the message is unknown.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// A field of the message is missing or has the wrong type.
    #[error("event '{name}': {source}")]
    Fields {
        /// The name of the message.
        name: String,
        /// Which field, and why.
        source: serde_json::Error,
    },
    /// A field has an unknown value.
    #[error("event '{name}': {field} '{value}' is not known")]
    Value {
        /// The name of the message.
        name: &'static str,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// An event refers to a slot without a manifest.
    #[error("event 'announce': no manifest has been sent for slot {0}")]
    UnknownSlot(u64),
    /// An event refers to an instance that was not created.
    #[error("event '{name}': server {server} was not created")]
    UnknownInstance {
        /// The name of the message.
        name: String,
        /// The number of the instance.
        server: u64,
    },
    /// An event is outside of a batch, or a batch starts inside another.
    #[error("'{0}' out of order: events must be between 'batch' and 'commit'")]
    OutOfOrder(String),
    /// The input ended inside a batch.
    #[error("the input ended inside a batch")]
    Truncated,
}

/// Decodes null as the default value; `serde(default)` does the same for an absent key.
fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

/// Starts a batch of events that happen at one time.
#[derive(Deserialize)]
struct BatchMessage {
    at_time: f64,
    frame: u64,
}

/// Creates an instance.
#[derive(Deserialize)]
struct CreateMessage {
    seed: u64,
    facts: InstanceFacts,
}

/// The settings of an instance.
#[derive(Deserialize)]
struct InstanceFacts {
    classes: Vec<ClassFacts>,
    #[serde(default, deserialize_with = "lenient")]
    discovery: String,
    #[serde(default, deserialize_with = "lenient")]
    extra: ExtraFacts,
    #[serde(default, deserialize_with = "lenient")]
    limits: LimitFacts,
    n_instances: u32,
    #[serde(default, deserialize_with = "lenient")]
    prices: PriceFacts,
    #[serde(default, deserialize_with = "lenient")]
    rules: RuleFacts,
    #[serde(default, deserialize_with = "lenient")]
    telemetry: TelemetryFacts,
    #[serde(default, deserialize_with = "lenient")]
    tick: f64,
}

#[derive(Deserialize)]
struct ClassFacts {
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
struct ExtraFacts {
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
struct LimitFacts {
    cancel: bool,
    max_attempts: u32,
    max_retry_after: f64,
    peers: bool,
    probing: bool,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PriceFacts {
    probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RuleFacts {
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
struct TelemetryFacts {
    how: String,
}

/// Stores a list of exchanges in a slot, for later `announce` messages.
#[derive(Deserialize)]
struct ManifestMessage {
    slot: u64,
    elements: Vec<ManifestEntry>,
}

#[derive(Deserialize)]
struct ManifestEntry {
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

/// Delivers a roster, which is the manifest in a slot, or reports that a request for one failed.
#[derive(Deserialize)]
struct AnnounceMessage {
    #[serde(default, deserialize_with = "lenient")]
    slot: u64,
    kind: String,
}

/// A set-up arrives.
#[derive(Deserialize)]
struct ArrivalMessage {
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

/// An attempt or the call after it has ended.
#[derive(Deserialize)]
struct AnswerMessage {
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

/// A call is established.
#[derive(Deserialize)]
struct FirstMessage {
    request_id: String,
    #[serde(default, deserialize_with = "lenient")]
    leg: u32,
    office: u64,
    #[serde(default, deserialize_with = "lenient")]
    cost_time: f64,
}

/// The caller has given up, or the final answer is overdue.
#[derive(Deserialize)]
struct WithdrawnMessage {
    request_id: String,
}

/// A timer has expired.
#[derive(Deserialize)]
struct RingMessage {
    #[serde(default, deserialize_with = "lenient", rename = "ref")]
    token: u64,
}

/// A message from another proxy.
#[derive(Deserialize)]
struct NoteMessage {
    #[serde(default, deserialize_with = "lenient")]
    who: u32,
    #[serde(default, deserialize_with = "lenient")]
    payload: String,
}

/// The result of a probe, or an unsolicited report of an exchange's load.
#[derive(Deserialize)]
struct StatusMessage {
    office: u64,
    #[serde(default, deserialize_with = "lenient")]
    verdict: i64,
    #[serde(default, deserialize_with = "lenient")]
    cost_time: f64,
    #[serde(default, deserialize_with = "lenient")]
    server_stats: BTreeMap<String, f64>,
}

/// The number of the instance that a message is for.
#[derive(Deserialize)]
struct ServerField {
    server: u64,
}

/// Decodes the fields of a message.
fn decode<'a, T: Deserialize<'a>>(name: &str, body: &'a Value) -> Result<T, WireError> {
    T::deserialize(body).map_err(|source| WireError::Fields { name: name.to_owned(), source })
}

/// Decodes the settings of an instance from the value of the key `facts`. An error names the invalid key.
pub fn read_settings(facts: &Value) -> Result<Settings, serde_path_to_error::Error<serde_json::Error>> {
    serde_path_to_error::deserialize::<_, InstanceFacts>(facts).map(to_settings)
}

/// Decodes a load report. Missing, negative and non-finite values are left out.
pub(crate) fn parse_report(stats: &BTreeMap<String, f64>) -> LoadReport {
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

/// Decodes the outcome of an attempt.
fn parse_outcome(verdict: i64) -> Result<Outcome, WireError> {
    Ok(match verdict {
        0 => Outcome::Completed,
        5 => Outcome::Error,
        11 => Outcome::Refused,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        other => return Err(WireError::Value { name: "answer", field: "verdict", value: other.to_string() }),
    })
}

/// Decodes the cause of a failed attempt, and the wait that the exchange asked for if there is one. The low 4 bits of
/// the note are the cause; with cause 3, the bits above are the wait in milliseconds. The note 18 is cause 2 with an
/// extra bit: the tandem turned the call back because the processor beyond it was full.
fn parse_cause(note: u64, retry_after_provided: bool) -> (Cause, Option<Secs>) {
    if note == 18 {
        return (Cause::FarProcessorFull, None);
    }
    let wait = (retry_after_provided && note >= 16).then(|| (note / 16) as f64 / 1000.0);
    match note % 16 {
        1 => (Cause::NoCircuit, None),
        2 => (Cause::Crankback, None),
        3 => (Cause::ProcessorFull, wait),
        4 => (Cause::LinesBusy, None),
        _ => (Cause::Unspecified, None),
    }
}

/// Translates the facts of an instance into settings.
fn to_settings(facts: InstanceFacts) -> Settings {
    let extra = &facts.extra;
    let class = |(ix, c): (usize, &ClassFacts)| Class {
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

/// Translates an entry of a manifest into an entry of the roster.
fn to_roster_entry(entry: ManifestEntry) -> Result<RosterEntry, WireError> {
    let condition = match entry.condition.as_str() {
        "on" => ServiceState::InService,
        "fading" => ServiceState::Draining,
        "off" => ServiceState::Removed,
        _ => return Err(WireError::Value { name: "manifest", field: "condition", value: entry.condition }),
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

/// Encodes an action as a message to the simulator.
fn encode_action(server: u64, action: &Action) -> Value {
    match action {
        Action::Attempt { id, exchange: exchange_id, abandon_at } => json!({"attempt":
            {"server": server, "request_id": id.0, "office": exchange_id.0, "abandon_at": abandon_at.0}}),
        Action::Refuse { id, cool_down, .. } => json!({"say_no":
            {"server": server, "request_id": id.0, "cool_down": cool_down}}),
        Action::Fail(id) => json!({"fail": {"server": server, "request_id": id.0}}),
        Action::Cancel { id, leg } => json!({"undo_send":
            {"server": server, "request_id": id.0, "leg": leg}}),
        Action::Timer { after, token } => json!({"wake_at":
            {"server": server, "sleep_for": after, "ref": token.0}}),
        Action::Probe(exchange_id) => json!({"sample": {"server": server, "office": exchange_id.0}}),
        Action::PeerMessage { to, text } => {
            let peer = to.map_or(json!("*"), |n| json!(n));
            json!({"memo_to": {"server": server, "peer": peer, "payload": text}})
        }
        Action::Subscribe => json!({"subscribe": {"server": server, "on": true}}),
        Action::FetchRoster => json!({"pull": {"server": server}}),
        Action::Log(text) => json!({"trace": {"server": server, "body_text": text}}),
    }
}

/// One instance of the decision module, and the class names that its events use.
struct Instance {
    controller: Controller,
    classes: Vec<String>,
    retry_after_provided: bool,
}

/// The instances of one process and the manifests that their events refer to.
#[derive(Default)]
pub struct InstanceHost {
    instances: BTreeMap<u64, Instance>,
    manifests: BTreeMap<u64, Vec<RosterEntry>>,
    batch: Option<(Time, u64)>,
    actions: Vec<Action>,
}

impl InstanceHost {
    /// Creates a host without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes one line of input and writes the resulting actions. A `commit` flushes the output.
    pub fn handle_line(&mut self, line: &str, out: &mut impl Write) -> Result<(), WireError> {
        let message: Value = serde_json::from_str(line)?;
        let mut keys = message.as_object().ok_or(WireError::NotSingleKey)?.iter();
        let (Some((name, body)), None) = (keys.next(), keys.next()) else {
            return Err(WireError::NotSingleKey);
        };
        match (name.as_str(), self.batch) {
            ("batch", None) => {
                let batch: BatchMessage = decode(name, body)?;
                self.batch = Some((Time(batch.at_time), batch.frame));
            }
            ("commit", Some((_, frame))) => {
                self.batch = None;
                writeln!(out, "{}", json!({"finished": {"frame": frame}}))?;
                out.flush()?;
            }
            ("batch" | "commit", _) | (_, None) => return Err(WireError::OutOfOrder(name.clone())),
            ("manifest", Some(_)) => {
                let manifest: ManifestMessage = decode(name, body)?;
                let entries = manifest.elements.into_iter().map(to_roster_entry).collect::<Result<_, _>>()?;
                self.manifests.insert(manifest.slot, entries);
            }
            (_, Some((now, _))) => self.handle_instance_message(name, body, now, out)?,
        }
        Ok(())
    }

    /// Checks at the end of the input that no batch is unfinished.
    pub fn check_finished(&self) -> Result<(), WireError> {
        self.batch.map_or(Ok(()), |_| Err(WireError::Truncated))
    }

    /// Processes a message to one instance.
    fn handle_instance_message(
        &mut self,
        name: &str,
        body: &Value,
        now: Time,
        out: &mut impl Write,
    ) -> Result<(), WireError> {
        let ServerField { server } = decode(name, body)?;
        self.actions.clear();
        match name {
            "create" => {
                let create: CreateMessage = decode(name, body)?;
                let classes = create.facts.classes.iter().map(|c| c.name.clone()).collect();
                let settings = to_settings(create.facts);
                let retry_after_provided = settings.retry_after_provided;
                let mut controller = Controller::new(settings, create.seed);
                controller.start(now, &mut self.actions);
                self.instances.insert(server, Instance { controller, classes, retry_after_provided });
            }
            "teardown" => {
                self.instances.remove(&server);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&server) else {
                    return Err(WireError::UnknownInstance { name: name.to_owned(), server });
                };
                let event = parse_event(name, body, instance, &self.manifests)?;
                instance.controller.handle(now, event, &mut self.actions);
            }
        }
        for action in &self.actions {
            writeln!(out, "{}", encode_action(server, action))?;
        }
        Ok(())
    }
}

/// Decodes an event for an instance.
fn parse_event(
    name: &str,
    body: &Value,
    instance: &Instance,
    manifests: &BTreeMap<u64, Vec<RosterEntry>>,
) -> Result<Event, WireError> {
    Ok(match name {
        "announce" => {
            let announce: AnnounceMessage = decode(name, body)?;
            let kind = match announce.kind.as_str() {
                "INCREMENTAL" => RosterKind::Incremental,
                "FULL" => RosterKind::Full,
                "SAVED" => RosterKind::Saved,
                "FAILED" => {
                    return Ok(Event::Roster { kind: RosterKind::RequestFailed, entries: Vec::new() })
                }
                _ => return Err(WireError::Value { name: "announce", field: "kind", value: announce.kind }),
            };
            let roster = manifests.get(&announce.slot).ok_or(WireError::UnknownSlot(announce.slot))?.clone();
            Event::Roster { kind, entries: roster }
        }
        "arrival" => {
            let a: ArrivalMessage = decode(name, body)?;
            let Some(class) = instance.classes.iter().position(|c| *c == a.priority) else {
                return Err(WireError::Value { name: "arrival", field: "priority", value: a.priority });
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
            let a: AnswerMessage = decode(name, body)?;
            let (failure_cause, named_wait) = parse_cause(a.why, instance.retry_after_provided);
            let outcome = parse_outcome(a.verdict)?;
            // The same ends as on sockets permit no further attempt, though the simulator would allow one.
            let unconfirmed = matches!(outcome, Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled);
            Event::AttemptEnded(AttemptResult {
                id: CallId(a.request_id),
                leg: a.leg,
                exchange: ExchangeId(a.office),
                outcome,
                elapsed: a.cost_time,
                cause: failure_cause,
                retry_after: named_wait,
                concluded: a.closed,
                unconfirmed,
                report: parse_report(&a.server_stats),
            })
        }
        "first" => {
            let f: FirstMessage = decode(name, body)?;
            Event::Established {
                id: CallId(f.request_id),
                leg: f.leg,
                exchange: ExchangeId(f.office),
                elapsed: f.cost_time,
            }
        }
        "withdrawn" => Event::Withdrawn(CallId(decode::<WithdrawnMessage>(name, body)?.request_id)),
        "ring" => Event::Timer(TimerToken(decode::<RingMessage>(name, body)?.token)),
        "note_from" => {
            let note: NoteMessage = decode(name, body)?;
            Event::PeerMessage { from: note.who, text: note.payload }
        }
        "status_back" => {
            let s: StatusMessage = decode(name, body)?;
            Event::Status {
                exchange: ExchangeId(s.office),
                ok: s.verdict == 0,
                elapsed: s.cost_time,
                report: parse_report(&s.server_stats),
            }
        }
        _ => return Err(WireError::UnknownEvent(name.to_owned())),
    })
}

/// Serves the protocol until the input ends.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut host = InstanceHost::new();
    for line in input.lines() {
        let line = line?;
        if !line.trim().is_empty() {
            host.handle_line(&line, &mut output)?;
        }
    }
    host.check_finished()
}
