//! The agent between SIP and the core: server towards callers, client towards exchanges, a dialog on each side
//! of a call. No sockets and no clock; the transport of a side is a parameter.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::dialog::{Dialog, DialogId};
use super::header::{self, Hop, Transport, Uri, Via};
use super::message::{Message, StartLine};
use super::transaction::{
    self, TransactionFailure, TransactionKey, TransactionLayer, TransactionOutput, T1, T2,
    TRANSACTION_TIMEOUT,
};
use super::{failure_outcome, q850_cause};
use crate::calls::{CallEvent, CallerCommand, ExchangeCommand, Front, RejectReason, Request, SetUp};
use crate::interface::*;

const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

/// A class of call as the agent needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallClass {
    /// Its name.
    pub name: String,
    /// How long a caller waits that does not say.
    pub give_up: Secs,
    /// The circuits that a call takes.
    pub width: u32,
}

/// An exchange that speaks SIP, and the trunk group to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// Its id.
    pub id: ExchangeId,
    /// Its number.
    pub number: ExchangeNumber,
    /// Numbers called that begin like this lead there.
    pub prefixes: Vec<String>,
    /// Where it listens.
    pub hop: Hop,
    /// The size of the trunk group.
    pub circuits: u32,
}

impl Exchange {
    /// Its line of the list.
    pub fn roster_entry(&self) -> RosterEntry {
        RosterEntry {
            id: self.id,
            zone: String::new(),
            number: self.number,
            state: ServiceState::InService,
            weight: 1.0,
            ready_at: None,
        }
    }
}

/// What the agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The host part of its own addresses: where it listens, for UDP and TCP alike.
    pub addr: std::net::SocketAddr,
    /// The classes; calls that name none and are not urgent take the first.
    pub classes: Vec<CallClass>,
    /// The class of calls with `Priority: emergency`.
    pub urgent_class: String,
    /// The exchanges.
    pub exchanges: Vec<Exchange>,
    /// For tags, branches and ids.
    pub seed: u64,
}

/// A timer of the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentTimer {
    /// Of a transaction.
    Transaction(transaction::TransactionTimer),
    /// A success to a caller may have to be sent again.
    RetransmitSuccess(CallId),
}

/// What the agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// A message leaves; the second way is for where the first has no connection.
    Send(Hop, Option<Hop>, Message),
    /// A timer is wanted.
    StartTimer(Time, AgentTimer),
    /// Something for the core.
    CallTable(CallEvent),
}

/// The caller's side of a call.
#[derive(Debug)]
struct NearLeg {
    key: TransactionKey,
    invite: Message,
    hop: Hop,
    tag: String,
    /// From the success on: it, and the dialog.
    success: Option<(Message, Dialog)>,
    acked: bool,
    since: Time,
    interval: Secs,
    /// A release waits for the ACK (RFC 3261, 15).
    release: Option<u32>,
}

/// The exchange's side of one attempt.
#[derive(Debug)]
struct FarLeg {
    office: ExchangeId,
    key: Option<TransactionKey>,
    width: u32,
    dialog: Option<Dialog>,
    /// The ACK that answers every repeat of the success.
    ack: Option<Message>,
}

type Attempt = (CallId, u32);

/// The agent.
#[derive(Debug)]
pub struct Agent {
    setup: AgentConfig,
    rng: fastrand::Rng,
    transactions: TransactionLayer,
    near: BTreeMap<CallId, NearLeg>,
    by_key: BTreeMap<TransactionKey, CallId>,
    near_dialogs: BTreeMap<DialogId, CallId>,
    far: BTreeMap<Attempt, FarLeg>,
    by_client: BTreeMap<TransactionKey, Attempt>,
    far_dialogs: BTreeMap<DialogId, Attempt>,
    used: BTreeMap<ExchangeId, u32>,
    /// What the transactions said while an event is handled.
    said: Vec<TransactionOutput>,
}

impl Agent {
    /// An agent without calls.
    pub fn new(setup: AgentConfig) -> Self {
        Agent {
            rng: fastrand::Rng::with_seed(setup.seed),
            setup,
            transactions: TransactionLayer::default(),
            near: BTreeMap::new(),
            by_key: BTreeMap::new(),
            near_dialogs: BTreeMap::new(),
            far: BTreeMap::new(),
            by_client: BTreeMap::new(),
            far_dialogs: BTreeMap::new(),
            used: BTreeMap::new(),
            said: Vec::new(),
        }
    }

    /// Its exchanges as lines of the list, and the state of their groups.
    pub fn start(&self, out: &mut Vec<AgentOutput>) {
        let offices = self.setup.exchanges.iter().map(Exchange::roster_entry).collect();
        out.push(AgentOutput::CallTable(CallEvent::Roster { full: false, entries: offices }));
        for exchange in &self.setup.exchanges {
            self.state(exchange.id, out);
        }
    }

    /// A message has come in.
    pub fn receive(&mut self, now: Time, from: Hop, message: Message, out: &mut Vec<AgentOutput>) {
        let mut said = std::mem::take(&mut self.said);
        self.transactions.receive(now, from, message, &mut said);
        self.heed(now, said, out);
    }

    /// A timer has run down.
    pub fn on_timer(&mut self, now: Time, alarm: AgentTimer, out: &mut Vec<AgentOutput>) {
        match alarm {
            AgentTimer::Transaction(alarm) => {
                let mut said = std::mem::take(&mut self.said);
                self.transactions.on_timer(now, alarm, &mut said);
                self.heed(now, said, out);
            }
            AgentTimer::RetransmitSuccess(id) => self.unacknowledged(now, id, out),
        }
    }

    /// A connection has broken or none came up.
    pub fn on_connection_failed(
        &mut self,
        now: Time,
        hop: Hop,
        failure: TransactionFailure,
        out: &mut Vec<AgentOutput>,
    ) {
        let mut said = std::mem::take(&mut self.said);
        self.transactions.on_connection_failed(now, hop, failure, &mut said);
        self.heed(now, said, out);
    }

    fn heed(&mut self, now: Time, mut said: Vec<TransactionOutput>, out: &mut Vec<AgentOutput>) {
        for one in said.drain(..) {
            match one {
                TransactionOutput::Send(hop, alt, message) => out.push(AgentOutput::Send(hop, alt, message)),
                TransactionOutput::StartTimer(at, alarm) => {
                    out.push(AgentOutput::StartTimer(at, AgentTimer::Transaction(alarm)))
                }
                TransactionOutput::Request(key, hop, message) => self.on_request(now, key, hop, message, out),
                TransactionOutput::Ack(message) => self.on_ack(now, &message, out),
                TransactionOutput::Response(key, message) => self.on_response(now, &key, message, out),
                TransactionOutput::Failed(key, failure) => self.on_failed(&key, failure, out),
            }
        }
        self.said = said;
    }

    /// Runs something on the transactions and passes on what they want done.
    fn with<T>(
        &mut self,
        out: &mut Vec<AgentOutput>,
        work: impl FnOnce(&mut TransactionLayer, &mut Vec<TransactionOutput>) -> T,
    ) -> T {
        let mut said = Vec::new();
        let result = work(&mut self.transactions, &mut said);
        for one in said {
            match one {
                TransactionOutput::Send(hop, alt, message) => out.push(AgentOutput::Send(hop, alt, message)),
                TransactionOutput::StartTimer(at, alarm) => {
                    out.push(AgentOutput::StartTimer(at, AgentTimer::Transaction(alarm)))
                }
                // What we start or answer ourselves brings nothing from outside.
                TransactionOutput::Request(..)
                | TransactionOutput::Ack(_)
                | TransactionOutput::Response(..)
                | TransactionOutput::Failed(..) => {}
            }
        }
        result
    }

    fn respond(&mut self, now: Time, key: &TransactionKey, response: Message, out: &mut Vec<AgentOutput>) {
        self.with(out, |transactions, said| transactions.respond(now, key, response, said));
    }

    fn token(&mut self) -> String {
        format!("{:016x}", self.rng.u64(..))
    }

    fn via(&mut self, transport: Transport) -> String {
        let (name, addr) = (transport.name(), self.setup.addr);
        format!("SIP/2.0/{name} {addr};rport;branch=z9hG4bK{}", self.token())
    }

    fn contact(&self, transport: Transport) -> String {
        let name = transport.name().to_ascii_lowercase();
        format!("<sip:mallowring@{};transport={name}>", self.setup.addr)
    }

    // ---- Callers -------------------------------------------------------------------------------

    fn on_request(
        &mut self,
        now: Time,
        key: TransactionKey,
        hop: Hop,
        message: Message,
        out: &mut Vec<AgentOutput>,
    ) {
        let plain = |status, reason| Message::response(status, reason, &message.headers);
        let method = message.method().unwrap_or("");
        let tagged = |name| message.get(name).is_some_and(|v| header::tag(v).is_some());
        let answer = if message.get("From").is_none() || message.get("To").is_none() {
            Some(plain(400, "Bad Request"))
        } else if message.get("Max-Forwards").is_some_and(|v| v.trim() == "0") {
            Some(plain(483, "Too Many Hops"))
        } else if let (Some(wanted), false) = (message.get("Require"), method == "CANCEL") {
            Some(plain(420, "Bad Extension").with("Unsupported", wanted))
        } else {
            match method {
                "OPTIONS" => Some(plain(200, "OK").with("Allow", ALLOW)),
                "INVITE" if tagged("To") => Some(self.on_reinvite(&message)),
                "INVITE" => return self.on_invite(now, key, hop, message, out),
                "CANCEL" => return self.on_cancel(now, &key, &message, out),
                "BYE" => return self.on_bye(now, &key, &message, out),
                _ => Some(plain(405, "Method Not Allowed").with("Allow", ALLOW)),
            }
        };
        if let Some(answer) = answer {
            self.respond(now, &key, answer, out);
        }
    }

    /// What was agreed at the set-up stays as it is.
    fn on_reinvite(&mut self, message: &Message) -> Message {
        let id = DialogId::of_request(message);
        let near = self.near_dialogs.get(&id).and_then(|id| self.near.get_mut(id));
        let near = near.and_then(|leg| leg.success.as_mut().map(|(_, dialog)| dialog));
        let far = self.far_dialogs.get(&id).and_then(|attempt| self.far.get_mut(attempt));
        match near.or(far.and_then(|leg| leg.dialog.as_mut())) {
            None => Message::response(481, "Call/Transaction Does Not Exist", &message.headers),
            Some(dialog) => match dialog.accept_cseq(message) {
                true => Message::response(488, "Not Acceptable Here", &message.headers),
                false => Message::response(500, "Server Internal Error", &message.headers),
            },
        }
    }

    fn on_invite(
        &mut self,
        now: Time,
        key: TransactionKey,
        hop: Hop,
        message: Message,
        out: &mut Vec<AgentOutput>,
    ) {
        let same = |leg: &NearLeg| {
            let tag = |m: &Message| m.get("From").and_then(header::tag).map(str::to_owned);
            let (a, b) = (&leg.invite, &message);
            a.get("Call-ID") == b.get("Call-ID") && a.cseq() == b.cseq() && tag(a) == tag(b)
        };
        if self.near.values().any(same) {
            // The same request by another way round (RFC 3261, 8.2.2.2).
            let merged = Message::response(482, "Loop Detected", &message.headers);
            return self.respond(now, &key, merged, out);
        }
        let id = CallId(self.token());
        match self.read_request(&id, &message) {
            Ok(request) => {
                let leg = NearLeg {
                    key: key.clone(),
                    invite: message,
                    hop,
                    tag: self.token(),
                    success: None,
                    acked: false,
                    since: now,
                    interval: T1,
                    release: None,
                };
                self.by_key.insert(key, id.clone());
                self.near.insert(id, leg);
                out.push(AgentOutput::CallTable(CallEvent::Request(request)));
            }
            Err((status, reason)) => {
                self.respond(now, &key, Message::response(status, reason, &message.headers), out);
            }
        }
    }

    /// Reads a caller's request; what is wrong with it maps to a final answer.
    fn read_request(&self, id: &CallId, message: &Message) -> Result<Request, (u16, &'static str)> {
        let StartLine::Request { uri, .. } = &message.start_line else { return Err((400, "Bad Request")) };
        let called = Uri::parse(uri).ok_or((416, "Unsupported URI Scheme"))?;
        if message.get("Contact").is_none() {
            return Err((400, "Missing Contact"));
        }
        let urgent = message.get("Priority").is_some_and(|p| p.trim().eq_ignore_ascii_case("emergency"));
        let first = self.setup.classes.first().map(|c| c.name.as_str());
        let by_priority = if urgent { Some(self.setup.urgent_class.as_str()) } else { first };
        let class = message.get("X-Tier").or(by_priority).unwrap_or("");
        let known = self.setup.classes.iter().find(|c| c.name == class);
        let number_in = |name: &str| message.get(name).map(|v| v.trim().parse::<f64>());
        let ttl = match (number_in("X-Deadline"), number_in("Expires")) {
            (Some(Ok(ms)), _) if ms.is_finite() && ms >= 0.0 => ms / 1000.0,
            // Callers may name any time in `Expires`; the class's own is the most.
            (None, Some(Ok(s))) if s.is_finite() && s >= 0.0 => known.map_or(s, |c| s.min(c.give_up)),
            (None, None) => known.map_or(0.0, |c| c.give_up),
            _ => return Err((400, "Bad Deadline")),
        };
        let leads = |prefix: &&String| called.user.starts_with(prefix.as_str());
        let longest = |e: &Exchange| e.prefixes.iter().filter(leads).map(String::len).max();
        let exchanges = self.setup.exchanges.iter().filter_map(|e| Some((longest(e)?, e.number)));
        let (_, dest) = exchanges.max_by_key(|(n, _)| *n).ok_or((404, "Not Found"))?;
        let from = message.get("From").map(header::addr_spec).and_then(Uri::parse).map(|uri| uri.host);
        Ok(Request {
            id: id.clone(),
            front: Front::Sip,
            class: class.to_owned(),
            tenant: message.get("X-Tenant").or(from).map(str::to_owned),
            ttl,
            transit: false,
            hop: None,
            re_established: false,
            redial: message.get("X-Resent").is_some_and(|v| v.trim() == "1"),
            width: known.map_or(1, |c| c.width),
            dest,
            number: called.user.to_owned(),
            description: Arc::from(message.body.as_slice()),
        })
    }

    fn on_cancel(&mut self, now: Time, key: &TransactionKey, message: &Message, out: &mut Vec<AgentOutput>) {
        let invite = TransactionKey { method: "INVITE".to_owned(), ..key.clone() };
        let known = self.transactions.response_destination(&invite).is_some();
        let (status, reason) = if known { (200, "OK") } else { (481, "Call/Transaction Does Not Exist") };
        self.respond(now, key, Message::response(status, reason, &message.headers), out);
        if !self.transactions.awaits_final_response(&invite) {
            return;
        }
        if let Some(id) = self.by_key.remove(&invite) {
            if let Some(leg) = self.near.remove(&id) {
                let gone =
                    tagged(Message::response(487, "Request Terminated", &leg.invite.headers), &leg.tag);
                self.respond(now, &invite, gone, out);
            }
            out.push(AgentOutput::CallTable(CallEvent::CallerGaveUp(id)));
        }
    }

    fn on_bye(&mut self, now: Time, key: &TransactionKey, message: &Message, out: &mut Vec<AgentOutput>) {
        let id = DialogId::of_request(message);
        let (status, reason) = if let Some(call) = self.near_dialogs.remove(&id) {
            self.forget_near(&call);
            out.push(AgentOutput::CallTable(CallEvent::CallerReleased(call)));
            (200, "OK")
        } else if let Some((call, leg)) = self.far_dialogs.remove(&id) {
            let whole = q850_cause(message).is_none_or(|cause| cause == 16);
            if let Some(office) = self.forget_far(&(call.clone(), leg), out) {
                let report = LoadReport::default();
                out.push(AgentOutput::CallTable(CallEvent::ExchangeReleased {
                    id: call,
                    exchange: office,
                    completed: whole,
                    report,
                }));
            }
            (200, "OK")
        } else {
            (481, "Call/Transaction Does Not Exist")
        };
        self.respond(now, key, Message::response(status, reason, &message.headers), out);
    }

    fn on_ack(&mut self, now: Time, message: &Message, out: &mut Vec<AgentOutput>) {
        let Some(id) = self.near_dialogs.get(&DialogId::of_request(message)).cloned() else { return };
        let Some(leg) = self.near.get_mut(&id) else { return };
        leg.acked = true;
        if let Some(cause) = leg.release.take() {
            self.release_near(now, &id, cause, out);
        }
    }

    /// A success is sent again until its ACK comes, on TCP too (RFC 3261, 13.3.1.4); without one the call is
    /// released.
    fn unacknowledged(&mut self, now: Time, id: CallId, out: &mut Vec<AgentOutput>) {
        let Some(leg) = self.near.get_mut(&id) else { return };
        let (Some((success, _)), false) = (&leg.success, leg.acked) else { return };
        if now - leg.since >= TRANSACTION_TIMEOUT {
            let cause = leg.release.take();
            if cause.is_none() {
                out.push(AgentOutput::CallTable(CallEvent::CallerReleased(id.clone())));
            }
            return self.release_near(now, &id, cause.unwrap_or(16), out);
        }
        let (hop, alt) = self.transactions.response_destination(&leg.key).unwrap_or((leg.hop, None));
        out.push(AgentOutput::Send(hop, alt, success.clone()));
        leg.interval = (2.0 * leg.interval).min(T2);
        out.push(AgentOutput::StartTimer(now + leg.interval, AgentTimer::RetransmitSuccess(id)));
    }

    fn forget_near(&mut self, id: &CallId) -> Option<NearLeg> {
        let leg = self.near.remove(id)?;
        self.by_key.remove(&leg.key);
        if let Some((_, dialog)) = &leg.success {
            self.near_dialogs.remove(&dialog.id);
        }
        Some(leg)
    }

    fn release_near(&mut self, now: Time, id: &CallId, cause: u32, out: &mut Vec<AgentOutput>) {
        let Some((_, dialog)) = self.forget_near(id).and_then(|leg| leg.success) else { return };
        self.bye(now, dialog, cause, out);
    }

    fn bye(&mut self, now: Time, mut dialog: Dialog, cause: u32, out: &mut Vec<AgentOutput>) {
        let (hop, alt) = dialog.next_hop();
        let via = self.via(hop.transport);
        let bye = dialog.next_request("BYE", &via).with("Reason", format_args!("Q.850;cause={cause}"));
        let mut sent = Vec::new();
        self.with(&mut sent, |transactions, said| transactions.send_request(now, hop, bye, said));
        // The first copy may take the connection that the dialog began on.
        out.extend(sent.into_iter().map(|one| match one {
            AgentOutput::Send(hop, _, message) => AgentOutput::Send(hop, alt, message),
            other => other,
        }));
    }

    /// The core answers a caller.
    pub fn send_to_caller(&mut self, now: Time, id: CallId, near: CallerCommand, out: &mut Vec<AgentOutput>) {
        let Some(leg) = self.near.get_mut(&id) else { return };
        let respond =
            |status, reason| tagged(Message::response(status, reason, &leg.invite.headers), &leg.tag);
        let answer = match near {
            CallerCommand::Answer(description) => {
                let transport = leg.hop.transport;
                let mut success = respond(200, "OK");
                let routes =
                    leg.invite.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Record-Route"));
                success.headers.extend(routes.cloned());
                return self.stands(now, id, success, transport, &description, out);
            }
            CallerCommand::Release { completed: whole } => {
                let cause = if whole { 16 } else { 41 };
                if leg.success.is_some() && !leg.acked {
                    leg.release = Some(cause);
                    return;
                }
                return self.release_near(now, &id, cause, out);
            }
            CallerCommand::Refuse(None) => respond(480, "Temporarily Unavailable"),
            CallerCommand::Refuse(Some(wait)) => respond(480, "Temporarily Unavailable")
                .with("Retry-After", wait.max(0.0).ceil())
                .with("X-Cooldown", (wait.max(0.0) * 1000.0).round()),
            CallerCommand::Fail => respond(500, "Server Internal Error"),
            CallerCommand::Reject(RejectReason::UnknownClass) => respond(488, "Not Acceptable Here"),
            CallerCommand::Reject(RejectReason::UnknownTenant) => respond(403, "Forbidden"),
            CallerCommand::Reject(RejectReason::UnknownDestination) => respond(404, "Not Found"),
            CallerCommand::Reject(RejectReason::OutOfRange) => respond(400, "Bad Request"),
        };
        if let Some(leg) = self.forget_near(&id) {
            self.respond(now, &leg.key, answer, out);
        }
    }

    fn stands(
        &mut self,
        now: Time,
        id: CallId,
        success: Message,
        transport: Transport,
        description: &[u8],
        out: &mut Vec<AgentOutput>,
    ) {
        let mut success = success.with("Contact", self.contact(transport)).with("Allow", ALLOW);
        if !description.is_empty() {
            success = success.with("Content-Type", "application/sdp");
            success.body = description.to_vec();
        }
        let Some(leg) = self.near.get_mut(&id) else { return };
        let Some(dialog) = Dialog::as_uas(&leg.invite, &leg.tag, leg.hop) else { return };
        self.near_dialogs.insert(dialog.id.clone(), id.clone());
        leg.success = Some((success.clone(), dialog));
        leg.since = now;
        let key = leg.key.clone();
        self.respond(now, &key, success, out);
        out.push(AgentOutput::StartTimer(now + T1, AgentTimer::RetransmitSuccess(id)));
    }

    // ---- Exchanges -----------------------------------------------------------------------------

    /// The core tells an exchange.
    pub fn send_to_exchange(
        &mut self,
        now: Time,
        office: ExchangeId,
        id: CallId,
        far: ExchangeCommand,
        out: &mut Vec<AgentOutput>,
    ) {
        match far {
            ExchangeCommand::SetUp(set_up) => self.set_up(now, office, id, set_up, out),
            ExchangeCommand::CancelSetUp { leg } => {
                let key = self.far.get(&(id, leg)).and_then(|leg| leg.key.clone());
                if let Some(key) = key {
                    self.with(out, |transactions, said| transactions.cancel_invite(now, &key, said));
                }
            }
            ExchangeCommand::Release { leg } => {
                let attempt = (id, leg.unwrap_or(0));
                let dialog = self.far.get(&attempt).and_then(|leg| leg.dialog.clone());
                self.forget_far(&attempt, out);
                if let Some(dialog) = dialog {
                    self.bye(now, dialog, 16, out);
                }
            }
        }
    }

    fn set_up(
        &mut self,
        now: Time,
        office: ExchangeId,
        id: CallId,
        set_up: SetUp,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(hop) = self.setup.exchanges.iter().find(|e| e.id == office).map(|e| e.hop) else {
            return;
        };
        let (via, contact) = (self.via(hop.transport), self.contact(hop.transport));
        let left = (set_up.abandon_at - now).max(0.0);
        let to = format!("<sip:{}@{}>", set_up.number, hop.addr);
        let uri =
            format!("sip:{}@{};transport={}", set_up.number, hop.addr, hop.transport.name().to_lowercase());
        let tag = self.token();
        let from = format!("<sip:mallowring@{}>;tag={tag}", self.setup.addr);
        let mut invite = Message::request("INVITE", &uri)
            .with("Via", via)
            .with("Max-Forwards", 70)
            .with("From", from)
            .with("To", to)
            .with("Call-ID", format_args!("{}-{}@{}", id.0, set_up.leg, self.setup.addr.ip()))
            .with("CSeq", "1 INVITE")
            .with("Contact", contact)
            .with("Allow", ALLOW)
            .with("Expires", left.ceil())
            .with("X-Tier", &set_up.class)
            .with("X-Deadline", (left * 1000.0).round());
        if !set_up.description.is_empty() {
            invite = invite.with("Content-Type", "application/sdp");
            invite.body = set_up.description.to_vec();
        }
        let attempt = (id, set_up.leg);
        *self.used.entry(office).or_insert(0) += set_up.width;
        self.state(office, out);
        let key = self.with(out, |transactions, said| transactions.send_request(now, hop, invite, said));
        self.by_client.extend(key.clone().map(|key| (key, attempt.clone())));
        self.far.insert(attempt, FarLeg { office, key, width: set_up.width, dialog: None, ack: None });
    }

    /// The state of a trunk group, as the circuits that calls take here leave it.
    fn state(&self, office: ExchangeId, out: &mut Vec<AgentOutput>) {
        let Some(exchange) = self.setup.exchanges.iter().find(|e| e.id == office) else { return };
        let used = self.used.get(&office).copied().unwrap_or(0);
        let free = f64::from(exchange.circuits.saturating_sub(used));
        let report = LoadReport {
            free_circuits: Some(free),
            group_size: Some(exchange.circuits.into()),
            ..LoadReport::default()
        };
        out.push(AgentOutput::CallTable(CallEvent::Status { exchange: office, report }));
    }

    /// Forgets an attempt and frees its circuits.
    fn forget_far(&mut self, attempt: &Attempt, out: &mut Vec<AgentOutput>) -> Option<ExchangeId> {
        let leg = self.far.remove(attempt)?;
        if let Some(key) = &leg.key {
            self.by_client.remove(key);
        }
        if let Some(dialog) = &leg.dialog {
            self.far_dialogs.remove(&dialog.id);
        }
        if let Some(used) = self.used.get_mut(&leg.office) {
            *used = used.saturating_sub(leg.width);
        }
        self.state(leg.office, out);
        Some(leg.office)
    }

    fn on_response(&mut self, now: Time, key: &TransactionKey, message: Message, out: &mut Vec<AgentOutput>) {
        let status = message.status().unwrap_or(500);
        if key.method != "INVITE" {
            return;
        }
        let attempt = self.by_client.get(key).cloned();
        match status {
            100..=199 => {
                let near = attempt.as_ref().and_then(|(id, _)| self.near.get(id));
                if let (Some(leg), 180..) = (near.filter(|leg| leg.success.is_none()), status) {
                    let ringing = tagged(Message::response(180, "Ringing", &leg.invite.headers), &leg.tag);
                    let (key, contact) = (leg.key.clone(), self.contact(leg.hop.transport));
                    self.respond(now, &key, ringing.with("Contact", contact), out);
                }
            }
            200..=299 => self.on_success(now, attempt, message, out),
            _ => {
                let Some((id, leg)) = attempt else { return };
                let noted = message.get("X-Outcome");
                let (outcome, why) = match status {
                    _ if noted.is_some() => failure_outcome(status, noted),
                    486 | 600 => (Outcome::Error, Cause::LinesBusy),
                    503 => (Outcome::Refused, Cause::ProcessorFull),
                    _ => failure_outcome(status, None),
                };
                if let Some(office) = self.forget_far(&(id.clone(), leg), out) {
                    let (leg, report) = (Some(leg), LoadReport::default());
                    out.push(AgentOutput::CallTable(CallEvent::SetUpFailed {
                        id,
                        exchange: office,
                        leg,
                        outcome,
                        cause: why,
                        report,
                    }));
                }
            }
        }
    }

    fn on_success(
        &mut self,
        now: Time,
        attempt: Option<Attempt>,
        message: Message,
        out: &mut Vec<AgentOutput>,
    ) {
        let via_hop = message.get("Via").and_then(Via::parse).and_then(|via| Transport::parse(via.transport));
        let leg = attempt.as_ref().and_then(|attempt| self.far.get(attempt));
        let hop = leg.and_then(|leg| self.setup.exchanges.iter().find(|e| e.id == leg.office)).map(|e| e.hop);
        let contact =
            message.get("Contact").map(header::addr_spec).and_then(Uri::parse).and_then(|uri| uri.hop());
        let Some(hop) = hop.or(contact) else { return };
        let Some(dialog) = Dialog::as_uac(&message, hop) else {
            tracing::warn!("a success without Contact can't be acknowledged");
            return;
        };
        let (way, alt) = dialog.next_hop();
        if let Some(leg) = leg {
            match (&leg.dialog, &leg.ack) {
                (Some(held), Some(ack)) if held.id == dialog.id => {
                    out.push(AgentOutput::Send(way, alt, ack.clone()));
                    return;
                }
                _ => {}
            }
        }
        let via = self.via(via_hop.unwrap_or(hop.transport));
        let ack = dialog.ack(&message, &via);
        out.push(AgentOutput::Send(way, alt, ack.clone()));
        let wanted = attempt.filter(|attempt| self.far.get(attempt).is_some_and(|leg| leg.dialog.is_none()));
        let Some(attempt) = wanted else {
            // Of a fork, or later than anybody remembers: it must not be left standing.
            return self.bye(now, dialog, 16, out);
        };
        let Some(leg) = self.far.get_mut(&attempt) else { return };
        self.far_dialogs.insert(dialog.id.clone(), attempt.clone());
        (leg.dialog, leg.ack) = (Some(dialog), Some(ack));
        let (office, description) = (leg.office, Arc::from(message.body));
        let (id, leg) = attempt;
        out.push(AgentOutput::CallTable(CallEvent::Answered {
            id,
            exchange: office,
            leg: Some(leg),
            description,
        }));
    }

    fn on_failed(&mut self, key: &TransactionKey, failure: TransactionFailure, out: &mut Vec<AgentOutput>) {
        let Some((id, leg)) = self.by_client.get(key).cloned() else { return };
        let outcome = match failure {
            TransactionFailure::Timeout => Outcome::TimedOut,
            TransactionFailure::Unreachable => Outcome::ConnectFailed,
            TransactionFailure::ConnectionLost => Outcome::Reset,
        };
        if let Some(office) = self.forget_far(&(id.clone(), leg), out) {
            let (leg, why, report) = (Some(leg), Cause::Unspecified, LoadReport::default());
            out.push(AgentOutput::CallTable(CallEvent::SetUpFailed {
                id,
                exchange: office,
                leg,
                outcome,
                cause: why,
                report,
            }));
        }
    }
}

/// The same with our tag in its To.
fn tagged(mut message: Message, tag: &str) -> Message {
    if let Some((_, to)) = message.headers.iter_mut().find(|(name, _)| name.eq_ignore_ascii_case("To")) {
        if header::tag(to).is_none() {
            to.push_str(";tag=");
            to.push_str(tag);
        }
    }
    message
}
