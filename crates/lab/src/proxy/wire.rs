//! A fleet of proxies in an external program, which speaks the simulator's protocol on its standard input and output
//! as `mallowring-drill` does. This side keeps what the simulator would keep of each call: its pending attempt and
//! its deadline.

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
use mallowring::recovery::attempt_end::AttemptEnd;
use serde_json::{json, Map, Value};

use super::{EventsByProxy, ProxyFleet};
use crate::day::Day;
use crate::LabError;

/// Longest line that is read from the program, bytes; bounds the memory for output that is no message.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Names of the actions that a program may answer with.
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

/// An attempt that has not ended: its set-up is pending or its call established.
#[derive(Clone, Debug)]
struct PendingAttempt {
    leg: u32,
    exchange_id: ExchangeId,
    sent: Time,
    established: bool,
}

/// A call as the simulator keeps it.
#[derive(Clone, Debug)]
struct HostedCall {
    class: String,
    number: String,
    width: u32,
    dest: ExchangeNumber,
    description: std::sync::Arc<[u8]>,
    deadline: Time,
    attempts: u32,
    pending: Option<PendingAttempt>,
}

/// State of one proxy of the program.
#[derive(Debug, Default)]
struct Instance {
    calls: BTreeMap<CallId, HostedCall>,
    numbers: BTreeMap<ExchangeId, ExchangeNumber>,
    /// Whether its first roster is still to come; that one is sent as a saved roster.
    awaits_first_roster: bool,
    max_attempts: u32,
}

/// A fleet whose proxies are all served by one process of an external program.
pub struct ExternalProgram {
    name: String,
    child: Child,
    input: Option<BufWriter<ChildStdin>>,
    lines: Receiver<std::io::Result<String>>,
    reader: Option<JoinHandle<()>>,
    answer_timeout: Duration,
    instances: BTreeMap<usize, Instance>,
    frame: u64,
    version: u64,
    slot: u64,
    /// Event messages that are not sent yet.
    events: Vec<Value>,
}

impl ExternalProgram {
    /// Starts the program. `answer_timeout` bounds the wait for each of its answers, in real time.
    pub fn start(name: &str, command: &[String], answer_timeout: Duration) -> Result<Self, LabError> {
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
                let read = std::io::Read::take(&mut output, MAX_LINE_BYTES as u64).read_line(&mut line);
                let ended = matches!(read, Ok(0) | Err(_));
                let message = read.map(|_| line);
                if ended || send.send(message).is_err() {
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
            answer_timeout,
            instances: BTreeMap::new(),
            frame: 0,
            version: 0,
            slot: 0,
            events: Vec::new(),
        })
    }

    /// An error of the program, with its exit status if it has ended.
    fn fault(&mut self, what: String) -> LabError {
        let ended = self.child.try_wait().ok().flatten();
        let what = ended.map_or(what.clone(), |status| format!("{what} ({status})"));
        LabError::Program { name: self.name.clone(), what }
    }

    /// Sends the queued events as one batch and reads the actions that answer it.
    fn run_batch(&mut self, now: Time) -> Result<Vec<Value>, LabError> {
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
            let line = match self.lines.recv_timeout(self.answer_timeout) {
                Ok(Ok(line)) => line,
                Ok(Err(e)) => return Err(self.fault(format!("its output can't be read: {e}"))),
                Err(RecvTimeoutError::Timeout) => {
                    let patience = self.answer_timeout.as_secs_f64();
                    return Err(self.fault(format!("has not answered a batch within {patience} s")));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(self.fault("has ended before it answered".to_owned()));
                }
            };
            let message: Value = serde_json::from_str(&line)
                .map_err(|e| self.fault(format!("says what is no message: {e}: {}", truncated(&line))))?;
            if let Some(done) = message.get("finished") {
                if done.get("frame").and_then(Value::as_u64) != Some(frame) {
                    return Err(
                        self.fault(format!("answers another batch than {frame}: {}", truncated(&line)))
                    );
                }
                return Ok(actions);
            }
            // Reported at once: a program that speaks another protocol may never end its answer.
            let one = message.as_object().filter(|o| o.len() == 1).and_then(|o| o.keys().next());
            if !one.is_some_and(|name| ACTIONS.contains(&name.as_str())) {
                return Err(self.fault(format!("says what is no action: {}", truncated(&line))));
            }
            actions.push(message);
        }
    }

    /// Queues the message of an event for a proxy, and appends the effects that the simulator itself would cause.
    fn queue_event(&mut self, now: Time, proxy: usize, event: CallEvent, out: &mut Vec<(usize, CallEffect)>) {
        let Some(instance) = self.instances.get_mut(&proxy) else { return };
        let mut queue_message = |name: &str, body: Value| {
            let mut body = body;
            if let Some(fields) = body.as_object_mut() {
                fields.insert("server".to_owned(), json!(proxy));
            }
            let mut message = Map::new();
            message.insert(name.to_owned(), body);
            self.events.push(Value::Object(message));
        };
        match event {
            CallEvent::Request(mut request) => {
                // Deducts the margin that the call table reserves so that its answer arrives in time.
                request.ttl = (request.ttl - MARGIN).max(0.0);
                queue_message("arrival", arrival_body(&request));
                let call = HostedCall {
                    class: request.class,
                    number: request.number,
                    width: request.width,
                    dest: request.dest,
                    description: request.description,
                    deadline: now + request.ttl,
                    attempts: 0,
                    pending: None,
                };
                instance.calls.insert(request.id, call);
            }
            CallEvent::CallerGaveUp(id) | CallEvent::CallerReleased(id) => {
                let Some(call) = instance.calls.remove(&id) else { return };
                queue_message("withdrawn", json!({"request_id": wire_id(&id)}));
                if let Some(attempt) = call.pending {
                    let command = if attempt.established {
                        ExchangeCommand::Release { leg: Some(attempt.leg) }
                    } else {
                        ExchangeCommand::CancelSetUp { leg: attempt.leg }
                    };
                    out.push((proxy, CallEffect::Exchange(attempt.exchange_id, id, command)));
                }
            }
            CallEvent::Answered { id, exchange: exchange_id, leg, description } => {
                let found = instance.calls.get_mut(&id).and_then(|c| c.pending.as_mut());
                match found.filter(|attempt| {
                    attempt.exchange_id == exchange_id && leg.is_none_or(|l| l == attempt.leg)
                }) {
                    Some(attempt) => {
                        attempt.established = true;
                        queue_message(
                            "first",
                            json!({"request_id": wire_id(&id), "leg": attempt.leg, "office": exchange_id.0,
                                "cost_time": now - attempt.sent}),
                        );
                        out.push((
                            proxy,
                            CallEffect::Caller(Front::Platform, id, CallerCommand::Answer(description)),
                        ));
                    }
                    None => out.push((
                        proxy,
                        CallEffect::Exchange(exchange_id, id, ExchangeCommand::Release { leg }),
                    )),
                }
            }
            CallEvent::SetUpFailed { id, exchange: exchange_id, leg, end, cause: failure_cause, report } => {
                let call = instance.calls.get_mut(&id);
                let ended_attempt = call.and_then(|c| {
                    c.pending.take_if(|attempt| !attempt.established && leg.is_none_or(|l| l == attempt.leg))
                });
                match ended_attempt {
                    Some(attempt) => queue_message(
                        "answer",
                        answer_body(
                            &id,
                            &attempt,
                            exchange_id,
                            (end.outcome(), failure_cause),
                            now,
                            false,
                            &report,
                        ),
                    ),
                    // It crossed a cancellation; its load report is still of use.
                    None if report != LoadReport::default() => {
                        queue_message("status_back", status_body(exchange_id, &report))
                    }
                    None => {}
                }
            }
            CallEvent::ExchangeReleased { id, exchange: exchange_id, completed: is_completed, report } => {
                let Some(call) = instance.calls.get(&id) else { return };
                let Some(attempt) = call.pending.clone().filter(|attempt| attempt.established) else {
                    return;
                };
                instance.calls.remove(&id);
                let outcome = if is_completed { Outcome::Completed } else { Outcome::Reset };
                queue_message(
                    "answer",
                    answer_body(
                        &id,
                        &attempt,
                        exchange_id,
                        (outcome, Cause::Unspecified),
                        now,
                        true,
                        &report,
                    ),
                );
                out.push((
                    proxy,
                    CallEffect::Caller(
                        Front::Platform,
                        id,
                        CallerCommand::Release { completed: is_completed },
                    ),
                ));
            }
            CallEvent::Status { exchange: exchange_id, report } => {
                queue_message("status_back", status_body(exchange_id, &report));
            }
            CallEvent::Roster { full: is_full, entries: roster_entries } => {
                self.version += 1;
                let slot = self.slot;
                self.slot = (self.slot + 1) % 16;
                for entry in &roster_entries {
                    instance.numbers.insert(entry.id, entry.number);
                }
                let kind = match (is_full, std::mem::take(&mut instance.awaits_first_roster)) {
                    (true, true) => "SAVED",
                    (true, false) => "FULL",
                    (false, _) => "INCREMENTAL",
                };
                let entries: Vec<Value> = roster_entries.iter().map(roster_element).collect();
                let announcement = json!({"gen": self.version, "slot": slot, "kind": kind});
                queue_message("announce", announcement);
                // The manifest goes ahead of the announcement that refers to it.
                let at = self.events.len() - 1;
                self.events.insert(at, json!({"manifest": {"slot": slot, "elements": entries}}));
                self.fail_calls_of_removed(now, proxy, is_full, &roster_entries, out);
            }
            CallEvent::TimerExpired(CallTimer::Controller(token)) => {
                queue_message("ring", json!({"ref": token.0}))
            }
            CallEvent::TimerExpired(CallTimer::AttemptTimeout(id, leg)) => {
                let Some(call) = instance.calls.get_mut(&id) else { return };
                let Some(attempt) =
                    call.pending.take_if(|attempt| attempt.leg == leg && !attempt.established)
                else {
                    return;
                };
                out.push((
                    proxy,
                    CallEffect::Exchange(
                        attempt.exchange_id,
                        id.clone(),
                        ExchangeCommand::CancelSetUp { leg },
                    ),
                ));
                let (end, report) = ((Outcome::TimedOut, Cause::Unspecified), LoadReport::default());
                queue_message(
                    "answer",
                    answer_body(&id, &attempt, attempt.exchange_id, end, now, false, &report),
                );
            }
            // The simulation reports the end of a caller's time and of an exchange by other events. The simulator's
            // protocol has no message for a lost status.
            CallEvent::TimerExpired(CallTimer::Deadline(_))
            | CallEvent::ExchangeDown(_)
            | CallEvent::StatusLost(_) => {}
        }
    }

    /// Sends the queued events and applies the actions that answer them. Events that an action causes at once are sent
    /// in a further batch of the same time.
    fn send_events(&mut self, now: Time, out: &mut Vec<(usize, CallEffect)>) -> Result<(), LabError> {
        while !self.events.is_empty() {
            let mut follow_ups = Vec::new();
            for action in self.run_batch(now)? {
                if let Some((proxy, command)) = self.apply_action(now, &action, &mut follow_ups)? {
                    let timeout = match &command {
                        CallEffect::Exchange(_, id, ExchangeCommand::SetUp(s)) => {
                            Some((s.abandon_at, CallTimer::AttemptTimeout(id.clone(), s.leg)))
                        }
                        _ => None,
                    };
                    out.push((proxy, command));
                    out.extend(timeout.map(|(at, timer)| (proxy, CallEffect::StartTimer(at, timer))));
                }
            }
            for (proxy, event) in follow_ups {
                self.queue_event(now, proxy, event, out);
            }
        }
        Ok(())
    }

    /// Ends the calls at exchanges that the roster removed, as a shipped proxy does by closing its connections there.
    fn fail_calls_of_removed(
        &mut self,
        now: Time,
        proxy: usize,
        is_full: bool,
        roster_entries: &[RosterEntry],
        out: &mut Vec<(usize, CallEffect)>,
    ) {
        let Some(instance) = self.instances.get(&proxy) else { return };
        let is_removed = |id: ExchangeId| {
            let entry = roster_entries.iter().find(|e| e.id == id);
            entry.map_or(is_full, |e| e.state == ServiceState::Removed)
        };
        let failed_calls = |(id, call): (&CallId, &HostedCall)| {
            let attempt = call.pending.as_ref().filter(|attempt| is_removed(attempt.exchange_id))?;
            Some((id.clone(), attempt.exchange_id, attempt.leg, attempt.established))
        };
        let failed_calls: Vec<_> = instance.calls.iter().filter_map(failed_calls).collect();
        for (id, exchange_id, leg, established) in failed_calls {
            let report = LoadReport::default();
            let event = if established {
                CallEvent::ExchangeReleased { id, exchange: exchange_id, completed: false, report }
            } else {
                let (end, cause) = (AttemptEnd::ExchangeRemoved, Cause::Unspecified);
                CallEvent::SetUpFailed { id, exchange: exchange_id, leg: Some(leg), end, cause, report }
            };
            self.queue_event(now, proxy, event, out);
        }
    }

    /// Applies one action. Returns its effect, if any, and appends the events that it causes to `follow_ups`.
    fn apply_action(
        &mut self,
        now: Time,
        action: &Value,
        follow_ups: &mut Vec<(usize, CallEvent)>,
    ) -> Result<Option<(usize, CallEffect)>, LabError> {
        let invalid_action = || format!("says what is no action: {}", truncated(&action.to_string()));
        let one = action.as_object().filter(|o| o.len() == 1).and_then(|o| o.iter().next());
        let Some((name, body)) = one else { return Err(self.fault(invalid_action())) };
        let proxy = body.get("server").and_then(Value::as_u64).map(|n| n as usize);
        let Some(proxy) = proxy.filter(|p| self.instances.contains_key(p)) else {
            return Err(self.fault(invalid_action()));
        };
        let id = body.get("request_id").and_then(Value::as_str).map(call_id);
        let number = |key: &str| body.get(key).and_then(Value::as_f64).filter(|x| x.is_finite());
        let Some(instance) = self.instances.get_mut(&proxy) else { return Ok(None) };
        let command = match (name.as_str(), id) {
            ("attempt", Some(id)) => {
                let exchange_id = body.get("office").and_then(Value::as_u64).map(ExchangeId);
                let Some(exchange_id) = exchange_id else { return Err(self.fault(invalid_action())) };
                let Some(call) = instance.calls.get_mut(&id) else { return Ok(None) };
                let leg = call.attempts;
                call.attempts += 1;
                if leg >= instance.max_attempts {
                    call.pending = Some(PendingAttempt { leg, exchange_id, sent: now, established: false });
                    follow_ups.push((
                        proxy,
                        CallEvent::SetUpFailed {
                            id,
                            exchange: exchange_id,
                            leg: Some(leg),
                            end: AttemptEnd::HeldBack,
                            cause: Cause::Unspecified,
                            report: LoadReport::default(),
                        },
                    ));
                    return Ok(None);
                }
                let attempt_deadline =
                    number("abandon_at").filter(|at| *at > 0.0).map_or(call.deadline, Time);
                let attempt_deadline =
                    if attempt_deadline < call.deadline { attempt_deadline } else { call.deadline };
                call.pending = Some(PendingAttempt { leg, exchange_id, sent: now, established: false });
                let set_up = SetUp {
                    leg,
                    class: call.class.clone(),
                    number: call.number.clone(),
                    width: call.width,
                    direct: instance.numbers.get(&exchange_id) == Some(&call.dest),
                    description: call.description.clone(),
                    abandon_at: attempt_deadline,
                };
                CallEffect::Exchange(exchange_id, id, ExchangeCommand::SetUp(set_up))
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
                let Some(attempt) =
                    call.pending.clone().filter(|attempt| attempt.leg == leg && !attempt.established)
                else {
                    return Ok(None);
                };
                let ended = CallEvent::SetUpFailed {
                    id: id.clone(),
                    exchange: attempt.exchange_id,
                    leg: Some(leg),
                    end: AttemptEnd::Cancelled,
                    cause: Cause::Unspecified,
                    report: LoadReport::default(),
                };
                follow_ups.push((proxy, ended));
                CallEffect::Exchange(attempt.exchange_id, id, ExchangeCommand::CancelSetUp { leg })
            }
            ("wake_at", _) => {
                let (Some(after), Some(token)) =
                    (number("sleep_for"), body.get("ref").and_then(Value::as_u64))
                else {
                    return Err(self.fault(invalid_action()));
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
            // Actions that this fleet does not support have no effect.
            ("sample" | "memo_to" | "subscribe" | "pull" | "disconnect" | "fetch", _) => return Ok(None),
            _ => return Err(self.fault(invalid_action())),
        };
        Ok(Some((proxy, command)))
    }
}

impl ProxyFleet for ExternalProgram {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        self.events.push(json!({"create": {"server": proxy, "seed": seed, "facts": day.facts(proxy)}}));
        let new_instance =
            Instance { awaits_first_roster: true, max_attempts: day.max_attempts, ..Instance::default() };
        self.instances.insert(proxy, new_instance);
        // The proxy starts now, not with its first event.
        let mut out = Vec::new();
        self.send_events(now, &mut out)
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.instances.remove(&proxy);
        self.events.push(json!({"teardown": {"server": proxy}}));
        Ok(())
    }

    fn tick(
        &mut self,
        now: Time,
        events_by_proxy: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        // One event of each proxy at a time: the effects of the first are applied before the second is sent, as in
        // the call table.
        let mut events_by_proxy: Vec<_> =
            events_by_proxy.into_iter().map(|(proxy, inbox)| (proxy, inbox.into_iter())).collect();
        loop {
            let mut any = false;
            for (proxy, inbox) in &mut events_by_proxy {
                if let Some(event) = inbox.next() {
                    any = true;
                    self.queue_event(now, *proxy, event, out);
                }
            }
            if !any && self.events.is_empty() {
                break;
            }
            self.send_events(now, out)?;
        }
        Ok(())
    }
}

impl Drop for ExternalProgram {
    fn drop(&mut self) {
        // The program should end when its input closes; if it does not, it is killed.
        self.input = None;
        for _ in 0..20 {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The program's output is closed now. Without a receiver the reader also ends if it waits on a full channel.
        let (_, unused_receiver) = sync_channel(1);
        self.lines = unused_receiver;
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// The beginning of a line, for error messages.
fn truncated(line: &str) -> String {
    line.trim_end().chars().take(120).collect()
}

/// The protocol's request id of a call: 36 characters, of which the last 16 hexadecimal digits are the call id.
fn wire_id(id: &CallId) -> String {
    let digits: String = format!("{:0>32}", id.0).chars().take(32).collect();
    let part = |from: usize, to: usize| digits.get(from..to).unwrap_or_default();
    [part(0, 8), part(8, 12), part(12, 16), part(16, 20), part(20, 32)].join("-")
}

/// The call id of a request id.
fn call_id(id: &str) -> CallId {
    let digits: String = id.chars().filter(|c| *c != '-').collect();
    CallId(digits.get(16..).unwrap_or_default().to_owned())
}

/// The body of an arrival message.
fn arrival_body(request: &Request) -> Value {
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

/// Seconds as milliseconds that convert back to exactly the same seconds: a difference in the last bit can change an
/// overload level.
fn exact_ms(wait: Secs) -> f64 {
    let ms = wait * 1000.0;
    [ms, ms.next_up(), ms.next_down()].into_iter().find(|ms| ms / 1000.0 == wait).unwrap_or(ms)
}

/// The fields of a load report; -1 stands for a missing one.
fn load_fields(report: &LoadReport) -> Value {
    let mut stats = Map::new();
    let fields = [
        ("idle", report.free_circuits),
        ("circuits", report.group_size),
        ("reduce", report.requested_reduction),
        ("avg_ms", report.queueing_delay.map(exact_ms)),
    ];
    for (key, value) in fields {
        stats.insert(key.to_owned(), json!(value.unwrap_or(-1.0)));
    }
    Value::Object(stats)
}

/// The body of a status message.
fn status_body(exchange_id: ExchangeId, report: &LoadReport) -> Value {
    json!({"office": exchange_id.0, "verdict": 0, "cost_time": 0.0, "server_stats": load_fields(report)})
}

/// The body of an answer message, with the protocol's codes for outcome and cause.
fn answer_body(
    id: &CallId,
    attempt: &PendingAttempt,
    exchange_id: ExchangeId,
    (outcome, failure_cause): (Outcome, Cause),
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
    let cause_code = match failure_cause {
        Cause::Unspecified => 0,
        Cause::NoCircuit => 1,
        Cause::Crankback => 2,
        Cause::FarProcessorFull => 18,
        Cause::ProcessorFull => 3,
        Cause::LinesBusy => 4,
    };
    json!({"request_id": wire_id(id), "leg": attempt.leg, "office": exchange_id.0, "verdict": verdict,
        "cost_time": now - attempt.sent, "why": cause_code, "closed": closed, "server_stats": load_fields(report)})
}

/// A roster entry as an element of a manifest.
fn roster_element(entry: &RosterEntry) -> Value {
    let service_state = match entry.state {
        ServiceState::InService => "on",
        ServiceState::Draining => "fading",
        ServiceState::Removed => "off",
    };
    json!({"office": entry.id.0, "az": entry.zone, "machine": "single-core", "number": entry.number.0,
        "condition": service_state, "weight": entry.weight, "ready_at": entry.ready_at.map_or(0.0, |t| t.0)})
}
