//! A second version: any program that speaks the simulator's wire on its standard input and output, as
//! `mallowring-drill` does. What the simulator would keep of each call (the attempt that is out, its time) is kept
//! here.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::process::{Child, ChildStdin, Command as Process, Stdio};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;

use mallowring::calls::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, Request, SetUp, MARGIN,
};
use mallowring::interface::*;
use serde_json::{json, Map, Value};

use super::{EventsByProxy, ProxyFleet};
use crate::day::Day;
use crate::LabError;

/// Bytes of an answer that is no message at all, at most.
const BABBLE: usize = 1 << 20;

/// Names of actions.
const ACTIONS: [&str; 13] = [
    "attempt",
    "say_no",
    "fail",
    "undo_send",
    "wake_at",
    "trace",
    "crash",
    "sample",
    "memo_to",
    "subscribe",
    "pull",
    "disconnect",
    "fetch",
];

/// The attempt of a call that has no end yet.
#[derive(Clone, Debug)]
struct Out {
    leg: u32,
    office: ExchangeId,
    sent: Time,
    stands: bool,
}

/// What the simulator keeps of a call.
#[derive(Clone, Debug)]
struct Kept {
    class: String,
    number: String,
    width: u32,
    dest: ExchangeNumber,
    description: std::sync::Arc<[u8]>,
    until: Time,
    attempts: u32,
    out: Option<Out>,
}

/// What the adapter keeps of one instance.
#[derive(Debug, Default)]
struct Instance {
    calls: BTreeMap<CallId, Kept>,
    numbers: BTreeMap<ExchangeId, ExchangeNumber>,
    /// Its first list is the one it held before.
    fresh: bool,
    max_attempts: u32,
}

/// A fleet whose proxies are all instances of one program.
pub struct ExternalProgram {
    name: String,
    child: Child,
    input: Option<BufWriter<ChildStdin>>,
    lines: Receiver<std::io::Result<String>>,
    reader: Option<JoinHandle<()>>,
    patience: Duration,
    instances: BTreeMap<usize, Instance>,
    frame: u64,
    version: u64,
    slot: u64,
    /// Lines of events not sent yet.
    events: Vec<Value>,
}

impl ExternalProgram {
    /// Starts the program; `patience` bounds the wait for each of its answers, in real time.
    pub fn start(name: &str, command: &[String], patience: Duration) -> Result<Self, LabError> {
        let fault = |what: String| LabError::Program { name: name.to_owned(), what };
        let (program, arguments) =
            command.split_first().ok_or_else(|| fault("names no program".to_owned()))?;
        let mut child = Process::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| fault(format!("'{program}' can't be started: {e}")))?;
        let input = child.stdin.take().map(BufWriter::new);
        let output = child.stdout.take().ok_or_else(|| fault("has no output".to_owned()))?;
        let (send, lines) = sync_channel(1024);
        let reader = std::thread::spawn(move || {
            let mut output = BufReader::new(output);
            loop {
                let mut line = String::new();
                let read = std::io::Read::take(&mut output, BABBLE as u64).read_line(&mut line);
                let over = matches!(read, Ok(0) | Err(_));
                let said = read.map(|_| line);
                if over || send.send(said).is_err() {
                    return;
                }
            }
        });
        Ok(ExternalProgram {
            name: name.to_owned(),
            child,
            input,
            lines,
            reader: Some(reader),
            patience,
            instances: BTreeMap::new(),
            frame: 0,
            version: 0,
            slot: 0,
            events: Vec::new(),
        })
    }

    fn fault(&mut self, what: String) -> LabError {
        let ended = self.child.try_wait().ok().flatten();
        let what = ended.map_or(what.clone(), |status| format!("{what} ({status})"));
        LabError::Program { name: self.name.clone(), what }
    }

    /// Sends the events of one moment and reads the actions.
    fn exchange(&mut self, now: Time) -> Result<Vec<Value>, LabError> {
        self.frame += 1;
        let frame = self.frame;
        let mut text = json!({"batch": {"at_time": now.0, "frame": frame}}).to_string();
        for event in self.events.drain(..) {
            text.push('\n');
            text.push_str(&event.to_string());
        }
        text.push_str("\n{\"commit\":{}}\n");
        let sent = match &mut self.input {
            Some(input) => input.write_all(text.as_bytes()).and_then(|()| input.flush()),
            None => Err(std::io::ErrorKind::BrokenPipe.into()),
        };
        sent.map_err(|e| self.fault(format!("takes no more events: {e}")))?;
        let mut actions = Vec::new();
        loop {
            let line = match self.lines.recv_timeout(self.patience) {
                Ok(Ok(line)) => line,
                Ok(Err(e)) => return Err(self.fault(format!("its output can't be read: {e}"))),
                Err(RecvTimeoutError::Timeout) => {
                    let patience = self.patience.as_secs_f64();
                    return Err(self.fault(format!("has not answered a batch within {patience} s")));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(self.fault("has ended before it answered".to_owned()));
                }
            };
            let said: Value = serde_json::from_str(&line)
                .map_err(|e| self.fault(format!("says what is no message: {e}: {}", cut(&line))))?;
            if let Some(done) = said.get("finished") {
                if done.get("frame").and_then(Value::as_u64) != Some(frame) {
                    return Err(self.fault(format!("answers another batch than {frame}: {}", cut(&line))));
                }
                return Ok(actions);
            }
            // Said at once, as one that speaks another language never comes to an end of its answer.
            let one = said.as_object().filter(|o| o.len() == 1).and_then(|o| o.keys().next());
            if !one.is_some_and(|name| ACTIONS.contains(&name.as_str())) {
                return Err(self.fault(format!("says what is no action: {}", cut(&line))));
            }
            actions.push(said);
        }
    }

    /// Writes down what one proxy was told.
    fn event(&mut self, now: Time, proxy: usize, input: CallEvent, out: &mut Vec<(usize, CallEffect)>) {
        let Some(instance) = self.instances.get_mut(&proxy) else { return };
        let mut put = |name: &str, body: Value| {
            let mut body = body;
            if let Some(fields) = body.as_object_mut() {
                fields.insert("server".to_owned(), json!(proxy));
            }
            let mut message = Map::new();
            message.insert(name.to_owned(), body);
            self.events.push(Value::Object(message));
        };
        match input {
            CallEvent::Request(mut request) => {
                // The call table keeps so much back for its answer to arrive in time; so does whoever hosts this.
                request.ttl = (request.ttl - MARGIN).max(0.0);
                put("arrival", arrival(&request));
                let kept = Kept {
                    class: request.class,
                    number: request.number,
                    width: request.width,
                    dest: request.dest,
                    description: request.description,
                    until: now + request.ttl,
                    attempts: 0,
                    out: None,
                };
                instance.calls.insert(request.id, kept);
            }
            CallEvent::CallerGaveUp(id) | CallEvent::CallerReleased(id) => {
                let Some(call) = instance.calls.remove(&id) else { return };
                put("withdrawn", json!({"request_id": wire_id(&id)}));
                if let Some(o) = call.out {
                    let far = if o.stands {
                        ExchangeCommand::Release { leg: Some(o.leg) }
                    } else {
                        ExchangeCommand::CancelSetUp { leg: o.leg }
                    };
                    out.push((proxy, CallEffect::Exchange(o.office, id, far)));
                }
            }
            CallEvent::Answered { id, exchange: office, leg, description } => {
                let found = instance.calls.get_mut(&id).and_then(|c| c.out.as_mut());
                match found.filter(|o| o.office == office && leg.is_none_or(|l| l == o.leg)) {
                    Some(o) => {
                        o.stands = true;
                        put(
                            "first",
                            json!({"request_id": wire_id(&id), "leg": o.leg, "office": office.0,
                                "cost_time": now - o.sent}),
                        );
                        out.push((
                            proxy,
                            CallEffect::Caller(Front::Platform, id, CallerCommand::Answer(description)),
                        ));
                    }
                    None => {
                        out.push((proxy, CallEffect::Exchange(office, id, ExchangeCommand::Release { leg })))
                    }
                }
            }
            CallEvent::SetUpFailed { id, exchange: office, leg, outcome, cause: why, report } => {
                let call = instance.calls.get_mut(&id);
                let out = call.and_then(|c| c.out.take_if(|o| !o.stands && leg.is_none_or(|l| l == o.leg)));
                match out {
                    Some(o) => put("answer", answer(&id, &o, office, (outcome, why), now, false, &report)),
                    // It crossed a giving up: what it reports is news all the same.
                    None if report != LoadReport::default() => put("status_back", status(office, &report)),
                    None => {}
                }
            }
            CallEvent::ExchangeReleased { id, exchange: office, completed: whole, report } => {
                let Some(call) = instance.calls.get(&id) else { return };
                let Some(o) = call.out.clone().filter(|o| o.stands) else { return };
                instance.calls.remove(&id);
                let outcome = if whole { Outcome::Completed } else { Outcome::Reset };
                put("answer", answer(&id, &o, office, (outcome, Cause::Unspecified), now, true, &report));
                out.push((
                    proxy,
                    CallEffect::Caller(Front::Platform, id, CallerCommand::Release { completed: whole }),
                ));
            }
            CallEvent::Status { exchange: office, report } => {
                put("status_back", status(office, &report));
            }
            CallEvent::Roster { full: whole, entries: offices } => {
                self.version += 1;
                let slot = self.slot;
                self.slot = (self.slot + 1) % 16;
                for office in &offices {
                    instance.numbers.insert(office.id, office.number);
                }
                let kind = match (whole, std::mem::take(&mut instance.fresh)) {
                    (true, true) => "SAVED",
                    (true, false) => "FULL",
                    (false, _) => "INCREMENTAL",
                };
                let entries: Vec<Value> = offices.iter().map(entry).collect();
                let news = json!({"gen": self.version, "slot": slot, "kind": kind});
                put("announce", news);
                // The manifest stands ahead of what refers to it.
                let at = self.events.len() - 1;
                self.events.insert(at, json!({"manifest": {"slot": slot, "elements": entries}}));
                self.gone(now, proxy, whole, &offices, out);
            }
            CallEvent::TimerExpired(CallTimer::Controller(token)) => put("ring", json!({"ref": token.0})),
            CallEvent::TimerExpired(CallTimer::AttemptTimeout(id, leg)) => {
                let Some(call) = instance.calls.get_mut(&id) else { return };
                let Some(o) = call.out.take_if(|o| o.leg == leg && !o.stands) else { return };
                out.push((
                    proxy,
                    CallEffect::Exchange(o.office, id.clone(), ExchangeCommand::CancelSetUp { leg }),
                ));
                let (end, report) = ((Outcome::TimedOut, Cause::Unspecified), LoadReport::default());
                put("answer", answer(&id, &o, o.office, end, now, false, &report));
            }
            // The end of a caller's time and the death of an exchange are the world's to tell.
            // The wire has no word for the last: its states never cease.
            CallEvent::TimerExpired(CallTimer::Deadline(_))
            | CallEvent::ExchangeDown(_)
            | CallEvent::StatusLost(_) => {}
        }
    }

    /// Sends the events that were written down, and carries the answers out. What an action brings about at once is
    /// told in a further batch of the same moment.
    fn answer_events(&mut self, now: Time, out: &mut Vec<(usize, CallEffect)>) -> Result<(), LabError> {
        while !self.events.is_empty() {
            let mut again = Vec::new();
            for action in self.exchange(now)? {
                if let Some((proxy, command)) = self.act(now, &action, &mut again)? {
                    let until = match &command {
                        CallEffect::Exchange(_, id, ExchangeCommand::SetUp(s)) => {
                            Some((s.abandon_at, CallTimer::AttemptTimeout(id.clone(), s.leg)))
                        }
                        _ => None,
                    };
                    out.push((proxy, command));
                    out.extend(until.map(|(at, wake)| (proxy, CallEffect::StartTimer(at, wake))));
                }
            }
            for (proxy, input) in again {
                self.event(now, proxy, input, out);
            }
        }
        Ok(())
    }

    /// What an exchange that is gone had in hand is broken: a shipped proxy closes its connections there.
    fn gone(
        &mut self,
        now: Time,
        proxy: usize,
        whole: bool,
        offices: &[RosterEntry],
        out: &mut Vec<(usize, CallEffect)>,
    ) {
        let Some(instance) = self.instances.get(&proxy) else { return };
        let is_gone = |id: ExchangeId| {
            let listed = offices.iter().find(|o| o.id == id);
            listed.map_or(whole, |o| o.state == ServiceState::Removed)
        };
        let broken = |(id, call): (&CallId, &Kept)| {
            let o = call.out.as_ref().filter(|o| is_gone(o.office))?;
            Some((id.clone(), o.office, o.leg, o.stands))
        };
        let broken: Vec<_> = instance.calls.iter().filter_map(broken).collect();
        for (id, office, leg, stands) in broken {
            let report = LoadReport::default();
            let input = if stands {
                CallEvent::ExchangeReleased { id, exchange: office, completed: false, report }
            } else {
                let (outcome, why) = (Outcome::Reset, Cause::Unspecified);
                CallEvent::SetUpFailed { id, exchange: office, leg: Some(leg), outcome, cause: why, report }
            };
            self.event(now, proxy, input, out);
        }
    }

    /// Carries out one action.
    fn act(
        &mut self,
        now: Time,
        action: &Value,
        again: &mut Vec<(usize, CallEvent)>,
    ) -> Result<Option<(usize, CallEffect)>, LabError> {
        let shape = || format!("says what is no action: {}", cut(&action.to_string()));
        let one = action.as_object().filter(|o| o.len() == 1).and_then(|o| o.iter().next());
        let Some((name, body)) = one else { return Err(self.fault(shape())) };
        let proxy = body.get("server").and_then(Value::as_u64).map(|n| n as usize);
        let Some(proxy) = proxy.filter(|p| self.instances.contains_key(p)) else {
            return Err(self.fault(shape()));
        };
        let id = body.get("request_id").and_then(Value::as_str).map(call_id);
        let number = |key: &str| body.get(key).and_then(Value::as_f64).filter(|x| x.is_finite());
        let Some(instance) = self.instances.get_mut(&proxy) else { return Ok(None) };
        let command = match (name.as_str(), id) {
            ("attempt", Some(id)) => {
                let office = body.get("office").and_then(Value::as_u64).map(ExchangeId);
                let Some(office) = office else { return Err(self.fault(shape())) };
                let Some(call) = instance.calls.get_mut(&id) else { return Ok(None) };
                let leg = call.attempts;
                call.attempts += 1;
                if leg >= instance.max_attempts {
                    let (outcome, why, report) =
                        (Outcome::NotSent, Cause::Unspecified, LoadReport::default());
                    call.out = Some(Out { leg, office, sent: now, stands: false });
                    again.push((
                        proxy,
                        CallEvent::SetUpFailed {
                            id,
                            exchange: office,
                            leg: Some(leg),
                            outcome,
                            cause: why,
                            report,
                        },
                    ));
                    return Ok(None);
                }
                let until = number("abandon_at").filter(|at| *at > 0.0).map_or(call.until, Time);
                let until = if until < call.until { until } else { call.until };
                call.out = Some(Out { leg, office, sent: now, stands: false });
                let set_up = SetUp {
                    leg,
                    class: call.class.clone(),
                    number: call.number.clone(),
                    width: call.width,
                    direct: instance.numbers.get(&office) == Some(&call.dest),
                    description: call.description.clone(),
                    abandon_at: until,
                };
                CallEffect::Exchange(office, id, ExchangeCommand::SetUp(set_up))
            }
            ("say_no", Some(id)) => {
                instance.calls.remove(&id);
                CallEffect::Caller(
                    Front::Platform,
                    id,
                    CallerCommand::Refuse(number("cool_down").filter(|c| *c > 0.0)),
                )
            }
            ("fail", Some(id)) => {
                instance.calls.remove(&id);
                CallEffect::Caller(Front::Platform, id, CallerCommand::Fail)
            }
            ("undo_send", Some(id)) => {
                let leg = body.get("leg").and_then(Value::as_u64).unwrap_or(0) as u32;
                let Some(call) = instance.calls.get(&id) else { return Ok(None) };
                let Some(o) = call.out.clone().filter(|o| o.leg == leg && !o.stands) else { return Ok(None) };
                let (outcome, why, report) = (Outcome::Cancelled, Cause::Unspecified, LoadReport::default());
                let ended = CallEvent::SetUpFailed {
                    id: id.clone(),
                    exchange: o.office,
                    leg: Some(leg),
                    outcome,
                    cause: why,
                    report,
                };
                again.push((proxy, ended));
                CallEffect::Exchange(o.office, id, ExchangeCommand::CancelSetUp { leg })
            }
            ("wake_at", _) => {
                let (Some(after), Some(token)) =
                    (number("sleep_for"), body.get("ref").and_then(Value::as_u64))
                else {
                    return Err(self.fault(shape()));
                };
                CallEffect::StartTimer(now + after.max(0.0), CallTimer::Controller(TimerToken(token)))
            }
            ("trace", _) => {
                let text = body.get("body_text").and_then(Value::as_str).unwrap_or_default();
                CallEffect::Log(text.to_owned())
            }
            ("crash", _) => {
                let text = body.get("body_text").and_then(Value::as_str).unwrap_or("nothing said");
                let what = format!("says that its decision code has failed: {text}");
                return Err(self.fault(what));
            }
            // What this fleet does not offer has no effect.
            ("sample" | "memo_to" | "subscribe" | "pull" | "disconnect" | "fetch", _) => return Ok(None),
            _ => return Err(self.fault(shape())),
        };
        Ok(Some((proxy, command)))
    }
}

impl ProxyFleet for ExternalProgram {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        self.events.push(json!({"create": {"server": proxy, "seed": seed, "facts": day.facts(proxy)}}));
        let fresh = Instance { fresh: true, max_attempts: day.attempts, ..Instance::default() };
        self.instances.insert(proxy, fresh);
        // It starts now, not when it is first told something.
        let mut out = Vec::new();
        self.answer_events(now, &mut out)
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.instances.remove(&proxy);
        self.events.push(json!({"teardown": {"server": proxy}}));
        Ok(())
    }

    fn tick(
        &mut self,
        now: Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        // One input of each proxy at a time: what it does about the first is done before it hears the second, as
        // in the call table.
        let mut told: Vec<_> = told.into_iter().map(|(proxy, inputs)| (proxy, inputs.into_iter())).collect();
        loop {
            let mut some = false;
            for (proxy, inputs) in &mut told {
                if let Some(input) = inputs.next() {
                    some = true;
                    self.event(now, *proxy, input, out);
                }
            }
            if !some && self.events.is_empty() {
                break;
            }
            self.answer_events(now, out)?;
        }
        Ok(())
    }
}

impl Drop for ExternalProgram {
    fn drop(&mut self) {
        // The end of its input tells it to go; one that stays is ended.
        self.input = None;
        for _ in 0..20 {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        // With its output closed the reader ends as soon as nobody listens.
        let (_, none) = sync_channel(1);
        self.lines = none;
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// The beginning of a long line.
fn cut(line: &str) -> String {
    line.trim_end().chars().take(120).collect()
}

/// Ids on the wire have 36 characters; ours are the last 16 hex digits.
fn wire_id(id: &CallId) -> String {
    let digits: String = format!("{:0>32}", id.0).chars().take(32).collect();
    let part = |from: usize, to: usize| digits.get(from..to).unwrap_or_default();
    [part(0, 8), part(8, 12), part(12, 16), part(16, 20), part(20, 32)].join("-")
}

fn call_id(id: &str) -> CallId {
    let digits: String = id.chars().filter(|c| *c != '-').collect();
    CallId(digits.get(16..).unwrap_or_default().to_owned())
}

fn arrival(request: &Request) -> Value {
    let mut body = json!({
        "request_id": wire_id(&request.id), "ttl": request.ttl, "customer": request.tenant,
        "hop": request.hop.map_or(-1, |n| n.0), "circuits": request.width, "far_end": request.dest.0,
        "priority": request.class, "item": request.number,
    });
    for (key, set) in
        [("midflow", request.transit), ("came_back", request.re_established), ("resent", request.redial)]
    {
        if let (true, Some(fields)) = (set, body.as_object_mut()) {
            fields.insert(key.to_owned(), Value::Bool(true));
        }
    }
    body
}

/// Seconds as the milliseconds that read as these very seconds: a last bit can tip a level.
fn in_ms(wait: Secs) -> f64 {
    let ms = wait * 1000.0;
    [ms, ms.next_up(), ms.next_down()].into_iter().find(|ms| ms / 1000.0 == wait).unwrap_or(ms)
}

fn stats(report: &LoadReport) -> Value {
    let mut stats = Map::new();
    let fields = [
        ("idle", report.free_circuits),
        ("circuits", report.group_size),
        ("reduce", report.requested_reduction),
        ("avg_ms", report.queueing_delay.map(in_ms)),
    ];
    for (key, value) in fields {
        stats.insert(key.to_owned(), json!(value.unwrap_or(-1.0)));
    }
    Value::Object(stats)
}

fn status(office: ExchangeId, report: &LoadReport) -> Value {
    json!({"office": office.0, "verdict": 0, "cost_time": 0.0, "server_stats": stats(report)})
}

fn answer(
    id: &CallId,
    out: &Out,
    office: ExchangeId,
    (outcome, why): (Outcome, Cause),
    now: Time,
    closed: bool,
    report: &LoadReport,
) -> Value {
    let verdict = match outcome {
        Outcome::Completed => 0,
        Outcome::Error => 5,
        Outcome::Refused => 11,
        Outcome::TimedOut => 110,
        Outcome::ConnectFailed => 111,
        Outcome::Reset => 104,
        Outcome::Cancelled => 125,
        Outcome::NotSent => 114,
    };
    let note = match why {
        Cause::Unspecified => 0,
        Cause::NoCircuit => 1,
        Cause::Crankback => 2,
        Cause::FarProcessorFull => 18,
        Cause::ProcessorFull => 3,
        Cause::LinesBusy => 4,
    };
    json!({"request_id": wire_id(id), "leg": out.leg, "office": office.0, "verdict": verdict,
        "cost_time": now - out.sent, "why": note, "closed": closed, "server_stats": stats(report)})
}

fn entry(office: &RosterEntry) -> Value {
    let condition = match office.state {
        ServiceState::InService => "on",
        ServiceState::Draining => "fading",
        ServiceState::Removed => "off",
    };
    json!({"office": office.id.0, "az": office.zone, "machine": "single-core", "number": office.number.0,
        "condition": condition, "weight": office.weight, "ready_at": office.ready_at.map_or(0.0, |t| t.0)})
}
