//! The SIP user agent between callers, exchanges and the call table. It is a UAS towards callers and a UAC
//! towards exchanges, with a separate dialog on each side of a call. It uses no sockets and no clock, and
//! each side of a call may use UDP or TCP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::dialog::{Dialog, DialogId};
use super::header::{self, Hop, Transport, Uri, Via};
use super::message::{Message, StartLine};
use super::transaction::{
    self, TransactionFailure, TransactionKey, TransactionLayer, TransactionOutput, T1, T2,
    TRANSACTION_TIMEOUT,
};
use super::{failure_cause, q850_cause};
use crate::calls::{CallEvent, CallerCommand, ExchangeCommand, Front, RejectReason, Request, SetUp};
use crate::interface::*;
use crate::limits::transactions::RequestKind;
use crate::recovery::attempt_end::AttemptEnd;

/// The value of the Allow header.
const ALLOW: &str = "INVITE, ACK, CANCEL, BYE, OPTIONS";

/// The settings of a class of call that the agent needs.
#[derive(Clone, Debug, PartialEq)]
pub struct CallClass {
    /// The name of the class.
    pub name: String,
    /// How long a caller waits in seconds: the default without a deadline, and the upper limit for `Expires`.
    pub give_up: Secs,
    /// The number of circuits that a call takes.
    pub width: u32,
}

/// An exchange that is reached over SIP, and the trunk group to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// The identifier of the exchange.
    pub id: ExchangeId,
    /// The exchange number.
    pub number: ExchangeNumber,
    /// Prefixes of the dialled numbers that are routed to the exchange.
    pub prefixes: Vec<String>,
    /// The transport and address at which the exchange listens.
    pub hop: Hop,
    /// The number of circuits in the trunk group.
    pub circuits: u32,
}

impl Exchange {
    /// Returns the roster entry of the exchange.
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

/// The configuration of the agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The address at which the agent listens over UDP and TCP, used in its URIs and Via headers.
    pub addr: SocketAddr,
    /// The classes of call. A call without a class takes the first one, unless its priority is emergency.
    pub classes: Vec<CallClass>,
    /// The class of a call with `Priority: emergency` and no class of its own.
    pub urgent_class: String,
    /// The exchanges that are reached over SIP.
    pub exchanges: Vec<Exchange>,
    /// The seed of the random tags, branches and call identifiers.
    pub seed: u64,
    /// Limit of the memory of server transactions, in bytes.
    pub max_transaction_bytes: usize,
}

/// Identifies a timer of the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentTimer {
    /// A timer of the transaction layer.
    Transaction(transaction::TransactionTimer),
    /// Retransmits the 2xx response to a caller unless its ACK was received.
    RetransmitSuccess(CallId),
}

/// An action that the agent requests.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Send a message to the first hop, or to the second one if there is no connection to the first.
    Send(Hop, Option<Hop>, Message),
    /// Start a timer that expires at the given time.
    StartTimer(Time, AgentTimer),
    /// Pass an event to the call table.
    CallTable(CallEvent),
}

/// The caller side of a call.
#[derive(Debug)]
struct CallerSide {
    key: TransactionKey,
    invite: Message,
    hop: Hop,
    tag: String,
    /// The 2xx response and the dialog, once the call is answered.
    success: Option<(Message, Dialog)>,
    ack_received: bool,
    /// When the 2xx response was first sent.
    answered_at: Time,
    retransmit_interval: Secs,
    /// The Q.850 cause of a release that waits for the ACK, before which the UAS must not send BYE (RFC 3261,
    /// section 15).
    pending_release_cause: Option<u32>,
}

/// The exchange side of one attempt.
#[derive(Debug)]
struct ExchangeSide {
    exchange: ExchangeId,
    key: Option<TransactionKey>,
    width: u32,
    dialog: Option<Dialog>,
    /// The ACK, which is sent again for each retransmission of the 2xx response.
    ack: Option<Message>,
}

/// Numbers of calls in two states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Set-ups without a final answer.
    pub open: usize,
    /// Established calls.
    pub established: usize,
}

/// A call and the number of one of its attempts.
type Attempt = (CallId, u32);

/// The SIP user agent.
#[derive(Debug)]
pub struct Agent {
    config: AgentConfig,
    rng: fastrand::Rng,
    transactions: TransactionLayer,
    caller_sides: BTreeMap<CallId, CallerSide>,
    calls_by_server_key: BTreeMap<TransactionKey, CallId>,
    calls_by_dialog: BTreeMap<DialogId, CallId>,
    exchange_sides: BTreeMap<Attempt, ExchangeSide>,
    attempts_by_client_key: BTreeMap<TransactionKey, Attempt>,
    attempts_by_dialog: BTreeMap<DialogId, Attempt>,
    circuits_in_use: BTreeMap<ExchangeId, u32>,
    /// An empty buffer for outputs of the transaction layer, kept to reuse its memory.
    pending_outputs: Vec<TransactionOutput>,
}

impl Agent {
    /// Creates an agent without calls.
    pub fn new(config: AgentConfig) -> Self {
        Agent {
            rng: fastrand::Rng::with_seed(config.seed),
            transactions: TransactionLayer::with_limit(config.max_transaction_bytes),
            config,
            caller_sides: BTreeMap::new(),
            calls_by_server_key: BTreeMap::new(),
            calls_by_dialog: BTreeMap::new(),
            exchange_sides: BTreeMap::new(),
            attempts_by_client_key: BTreeMap::new(),
            attempts_by_dialog: BTreeMap::new(),
            circuits_in_use: BTreeMap::new(),
            pending_outputs: Vec::new(),
        }
    }

    /// Passes the roster entries of the exchanges and the state of their trunk groups to the call table.
    pub fn start(&self, out: &mut Vec<AgentOutput>) {
        let entries = self.config.exchanges.iter().map(Exchange::roster_entry).collect();
        out.push(AgentOutput::CallTable(CallEvent::Roster { full: false, entries }));
        for exchange in &self.config.exchanges {
            self.report_trunk_group(exchange.id, out);
        }
    }

    /// Handles a received message.
    pub fn receive(&mut self, now: Time, from: Hop, message: Message, out: &mut Vec<AgentOutput>) {
        let mut outputs = std::mem::take(&mut self.pending_outputs);
        let kind = self.request_kind(&message);
        self.transactions.receive(now, from, kind, message, &mut outputs);
        self.handle_outputs(now, outputs, out);
    }

    /// Whether an established call or a pending set-up owes a request.
    fn request_kind(&self, message: &Message) -> RequestKind {
        let owed = match message.method() {
            Some("BYE") => {
                let id = DialogId::of_request(message);
                self.calls_by_dialog.contains_key(&id) || self.attempts_by_dialog.contains_key(&id)
            }
            Some("CANCEL") => self.transactions.is_cancel_of_known_invite(message),
            _ => false,
        };
        if owed {
            RequestKind::Owed
        } else {
            RequestKind::New
        }
    }

    /// Whether a release is not delivered yet: its BYE has no final response, or waits for the caller's ACK.
    pub fn has_pending_releases(&self) -> bool {
        let awaits_ack = |side: &CallerSide| side.pending_release_cause.is_some();
        self.transactions.awaits_response_to("BYE") || self.caller_sides.values().any(awaits_ack)
    }

    /// Returns what the TCP connections are needed for at present, by their remote addresses.
    pub fn connection_uses(&self) -> BTreeMap<SocketAddr, CallCounts> {
        let mut uses: BTreeMap<SocketAddr, CallCounts> = BTreeMap::new();
        let caller_sides = self.caller_sides.values().map(|side| (side.hop, side.success.is_some()));
        let exchange_hop = |id| self.config.exchanges.iter().find(|e| e.id == id).map(|e| e.hop);
        let exchange_sides = self.exchange_sides.values();
        let exchange_sides =
            exchange_sides.filter_map(|side| Some((exchange_hop(side.exchange)?, side.dialog.is_some())));
        for (hop, is_established) in caller_sides.chain(exchange_sides) {
            if hop.transport == Transport::Tcp {
                let counts = uses.entry(hop.addr).or_default();
                counts.open += usize::from(!is_established);
                counts.established += usize::from(is_established);
            }
        }
        uses
    }

    /// Handles an expired timer.
    pub fn on_timer(&mut self, now: Time, timer: AgentTimer, out: &mut Vec<AgentOutput>) {
        match timer {
            AgentTimer::Transaction(timer) => {
                let mut outputs = std::mem::take(&mut self.pending_outputs);
                self.transactions.on_timer(now, timer, &mut outputs);
                self.handle_outputs(now, outputs, out);
            }
            AgentTimer::RetransmitSuccess(id) => self.retransmit_success(now, id, out),
        }
    }

    /// Handles a connection that was lost or could not be made.
    pub fn on_connection_failed(
        &mut self,
        now: Time,
        hop: Hop,
        failure: TransactionFailure,
        out: &mut Vec<AgentOutput>,
    ) {
        let mut outputs = std::mem::take(&mut self.pending_outputs);
        self.transactions.on_connection_failed(now, hop, failure, &mut outputs);
        self.handle_outputs(now, outputs, out);
    }

    fn handle_outputs(&mut self, now: Time, mut outputs: Vec<TransactionOutput>, out: &mut Vec<AgentOutput>) {
        for output in outputs.drain(..) {
            match output {
                TransactionOutput::Send(hop, fallback, message) => {
                    out.push(AgentOutput::Send(hop, fallback, message))
                }
                TransactionOutput::StartTimer(at, timer) => {
                    out.push(AgentOutput::StartTimer(at, AgentTimer::Transaction(timer)))
                }
                TransactionOutput::Request(key, hop, message) => self.on_request(now, key, hop, message, out),
                TransactionOutput::Ack(message) => self.on_ack(now, &message, out),
                TransactionOutput::Response(key, message) => self.on_response(now, &key, message, out),
                TransactionOutput::Failed(key, failure) => self.on_failed(&key, failure, out),
            }
        }
        self.pending_outputs = outputs;
    }

    /// Runs an operation on the transaction layer and passes on the actions it requests.
    fn with_transactions<T>(
        &mut self,
        out: &mut Vec<AgentOutput>,
        operation: impl FnOnce(&mut TransactionLayer, &mut Vec<TransactionOutput>) -> T,
    ) -> T {
        let mut outputs = Vec::new();
        let result = operation(&mut self.transactions, &mut outputs);
        for output in outputs {
            match output {
                TransactionOutput::Send(hop, fallback, message) => {
                    out.push(AgentOutput::Send(hop, fallback, message))
                }
                TransactionOutput::StartTimer(at, timer) => {
                    out.push(AgentOutput::StartTimer(at, AgentTimer::Transaction(timer)))
                }
                // Sending a request or a response never reports a received message or a failure.
                TransactionOutput::Request(..)
                | TransactionOutput::Ack(_)
                | TransactionOutput::Response(..)
                | TransactionOutput::Failed(..) => {}
            }
        }
        result
    }

    fn respond(&mut self, now: Time, key: &TransactionKey, response: Message, out: &mut Vec<AgentOutput>) {
        self.with_transactions(out, |transactions, outputs| {
            transactions.respond(now, key, response, outputs)
        });
    }

    fn random_token(&mut self) -> String {
        format!("{:016x}", self.rng.u64(..))
    }

    fn via(&mut self, transport: Transport) -> String {
        let (name, addr) = (transport.name(), self.config.addr);
        format!("SIP/2.0/{name} {addr};rport;branch=z9hG4bK{}", self.random_token())
    }

    fn contact(&self, transport: Transport) -> String {
        let name = transport.name().to_ascii_lowercase();
        format!("<sip:mallowring@{};transport={name}>", self.config.addr)
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
        let new_response = |status, reason| Message::response(status, reason, &message.headers);
        let method = message.method().unwrap_or("");
        let has_tag = |name| message.get(name).is_some_and(|v| header::tag(v).is_some());
        let response = if message.get("From").is_none() || message.get("To").is_none() {
            Some(new_response(400, "Bad Request"))
        } else if message.get("Max-Forwards").is_some_and(|v| v.trim() == "0") {
            Some(new_response(483, "Too Many Hops"))
        } else if let (Some(required), false) = (message.get("Require"), method == "CANCEL") {
            Some(new_response(420, "Bad Extension").with("Unsupported", required))
        } else {
            match method {
                "OPTIONS" => Some(new_response(200, "OK").with("Allow", ALLOW)),
                "INVITE" if has_tag("To") => Some(self.reinvite_response(&message)),
                "INVITE" => return self.on_invite(now, key, hop, message, out),
                "CANCEL" => return self.on_cancel(now, &key, &message, out),
                "BYE" => return self.on_bye(now, &key, &message, out),
                _ => Some(new_response(405, "Method Not Allowed").with("Allow", ALLOW)),
            }
        };
        if let Some(response) = response {
            self.respond(now, &key, response, out);
        }
    }

    /// Returns the response to a re-INVITE. Session changes are rejected with 488 (RFC 3261, section 14.2).
    fn reinvite_response(&mut self, message: &Message) -> Message {
        let id = DialogId::of_request(message);
        let caller_side = self.calls_by_dialog.get(&id).and_then(|id| self.caller_sides.get_mut(id));
        let caller_side = caller_side.and_then(|side| side.success.as_mut().map(|(_, dialog)| dialog));
        let exchange_side =
            self.attempts_by_dialog.get(&id).and_then(|attempt| self.exchange_sides.get_mut(attempt));
        match caller_side.or(exchange_side.and_then(|side| side.dialog.as_mut())) {
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
        let same_request = |side: &CallerSide| {
            let tag = |m: &Message| m.get("From").and_then(header::tag).map(str::to_owned);
            let (a, b) = (&side.invite, &message);
            a.get("Call-ID") == b.get("Call-ID") && a.cseq() == b.cseq() && tag(a) == tag(b)
        };
        if self.caller_sides.values().any(same_request) {
            // A merged request: the same INVITE arrived on another path (RFC 3261, section 8.2.2.2).
            let merged = Message::response(482, "Loop Detected", &message.headers);
            return self.respond(now, &key, merged, out);
        }
        let id = CallId(self.random_token());
        match self.parse_call_request(&id, &message) {
            Ok(request) => {
                let side = CallerSide {
                    key: key.clone(),
                    invite: message,
                    hop,
                    tag: self.random_token(),
                    success: None,
                    ack_received: false,
                    answered_at: now,
                    retransmit_interval: T1,
                    pending_release_cause: None,
                };
                self.calls_by_server_key.insert(key, id.clone());
                self.caller_sides.insert(id, side);
                out.push(AgentOutput::CallTable(CallEvent::Request(request)));
            }
            Err((status, reason)) => {
                self.respond(now, &key, Message::response(status, reason, &message.headers), out);
            }
        }
    }

    /// Parses a caller's INVITE. The error is the status code and reason phrase of the final response.
    fn parse_call_request(&self, id: &CallId, message: &Message) -> Result<Request, (u16, &'static str)> {
        let StartLine::Request { uri, .. } = &message.start_line else { return Err((400, "Bad Request")) };
        let called = Uri::parse(uri).ok_or((416, "Unsupported URI Scheme"))?;
        if message.get("Contact").and_then(header::contact_uri).is_none() {
            return Err((400, "Missing Contact"));
        }
        let urgent = message.get("Priority").is_some_and(|p| p.trim().eq_ignore_ascii_case("emergency"));
        let first_class = self.config.classes.first().map(|c| c.name.as_str());
        let default_class = if urgent { Some(self.config.urgent_class.as_str()) } else { first_class };
        let class = message.get("X-Tier").or(default_class).unwrap_or("");
        let call_class = self.config.classes.iter().find(|c| c.name == class);
        let number_in = |name: &str| message.get(name).map(|v| v.trim().parse::<f64>());
        let ttl = match (number_in("X-Deadline"), number_in("Expires")) {
            (Some(Ok(ms)), _) if ms.is_finite() && ms >= 0.0 => ms / 1000.0,
            // A caller may send any time in `Expires`, so it is limited to the time of the class.
            (None, Some(Ok(s))) if s.is_finite() && s >= 0.0 => call_class.map_or(s, |c| s.min(c.give_up)),
            (None, None) => call_class.map_or(0.0, |c| c.give_up),
            _ => return Err((400, "Bad Deadline")),
        };
        let is_prefix = |prefix: &&String| called.user.starts_with(prefix.as_str());
        let longest_match = |e: &Exchange| e.prefixes.iter().filter(is_prefix).map(String::len).max();
        let exchanges = self.config.exchanges.iter().filter_map(|e| Some((longest_match(e)?, e.number)));
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
            width: call_class.map_or(1, |c| c.width),
            dest,
            number: called.user.to_owned(),
            description: Arc::from(message.body.as_slice()),
        })
    }

    fn on_cancel(&mut self, now: Time, key: &TransactionKey, message: &Message, out: &mut Vec<AgentOutput>) {
        let invite = TransactionKey { method: "INVITE".to_owned(), ..key.clone() };
        let exists = self.transactions.response_destination(&invite).is_some();
        let (status, reason) = if exists { (200, "OK") } else { (481, "Call/Transaction Does Not Exist") };
        self.respond(now, key, Message::response(status, reason, &message.headers), out);
        if !self.transactions.awaits_final_response(&invite) {
            return;
        }
        if let Some(id) = self.calls_by_server_key.remove(&invite) {
            if let Some(side) = self.caller_sides.remove(&id) {
                let terminated = with_to_tag(
                    Message::response(487, "Request Terminated", &side.invite.headers),
                    &side.tag,
                );
                self.respond(now, &invite, terminated, out);
            }
            out.push(AgentOutput::CallTable(CallEvent::CallerGaveUp(id)));
        }
    }

    fn on_bye(&mut self, now: Time, key: &TransactionKey, message: &Message, out: &mut Vec<AgentOutput>) {
        let id = DialogId::of_request(message);
        let (status, reason) = if let Some(call) = self.calls_by_dialog.remove(&id) {
            self.remove_caller_side(&call);
            out.push(AgentOutput::CallTable(CallEvent::CallerReleased(call)));
            (200, "OK")
        } else if let Some((call, leg)) = self.attempts_by_dialog.remove(&id) {
            let completed = q850_cause(message).is_none_or(|cause| cause == 16);
            if let Some(exchange) = self.remove_exchange_side(&(call.clone(), leg), out) {
                let report = LoadReport::default();
                out.push(AgentOutput::CallTable(CallEvent::ExchangeReleased {
                    id: call,
                    exchange,
                    completed,
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
        let Some(id) = self.calls_by_dialog.get(&DialogId::of_request(message)).cloned() else { return };
        let Some(side) = self.caller_sides.get_mut(&id) else { return };
        side.ack_received = true;
        if let Some(cause) = side.pending_release_cause.take() {
            self.release_caller(now, &id, cause, out);
        }
    }

    /// Retransmits the 2xx response until its ACK arrives, over TCP as well (RFC 3261, section 13.3.1.4).
    /// Without an ACK the call is released.
    fn retransmit_success(&mut self, now: Time, id: CallId, out: &mut Vec<AgentOutput>) {
        let Some(side) = self.caller_sides.get_mut(&id) else { return };
        let (Some((success, _)), false) = (&side.success, side.ack_received) else { return };
        if now - side.answered_at >= TRANSACTION_TIMEOUT {
            let cause = side.pending_release_cause.take();
            if cause.is_none() {
                out.push(AgentOutput::CallTable(CallEvent::CallerReleased(id.clone())));
            }
            return self.release_caller(now, &id, cause.unwrap_or(16), out);
        }
        let (hop, fallback) = self.transactions.response_destination(&side.key).unwrap_or((side.hop, None));
        out.push(AgentOutput::Send(hop, fallback, success.clone()));
        side.retransmit_interval = (2.0 * side.retransmit_interval).min(T2);
        out.push(AgentOutput::StartTimer(now + side.retransmit_interval, AgentTimer::RetransmitSuccess(id)));
    }

    fn remove_caller_side(&mut self, id: &CallId) -> Option<CallerSide> {
        let side = self.caller_sides.remove(id)?;
        self.calls_by_server_key.remove(&side.key);
        if let Some((_, dialog)) = &side.success {
            self.calls_by_dialog.remove(&dialog.id);
        }
        Some(side)
    }

    fn release_caller(&mut self, now: Time, id: &CallId, cause: u32, out: &mut Vec<AgentOutput>) {
        let Some((_, dialog)) = self.remove_caller_side(id).and_then(|side| side.success) else { return };
        self.send_bye(now, dialog, cause, out);
    }

    fn send_bye(&mut self, now: Time, mut dialog: Dialog, cause: u32, out: &mut Vec<AgentOutput>) {
        let (hop, fallback) = dialog.next_hop();
        let via = self.via(hop.transport);
        let bye = dialog.next_request("BYE", &via).with("Reason", format_args!("Q.850;cause={cause}"));
        let mut sent = Vec::new();
        self.with_transactions(&mut sent, |transactions, outputs| {
            transactions.send_request(now, hop, bye, outputs)
        });
        // The first copy may use the connection on which the dialog was established.
        out.extend(sent.into_iter().map(|output| match output {
            AgentOutput::Send(hop, _, message) => AgentOutput::Send(hop, fallback, message),
            other => other,
        }));
    }

    /// Sends the response or release that the call table has for a caller.
    pub fn send_to_caller(
        &mut self,
        now: Time,
        id: CallId,
        command: CallerCommand,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(side) = self.caller_sides.get_mut(&id) else { return };
        let respond =
            |status, reason| with_to_tag(Message::response(status, reason, &side.invite.headers), &side.tag);
        let response = match command {
            CallerCommand::Answer(description) => {
                let transport = side.hop.transport;
                let mut success = respond(200, "OK");
                let routes =
                    side.invite.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("Record-Route"));
                success.headers.extend(routes.cloned());
                return self.answer_caller(now, id, success, transport, &description, out);
            }
            CallerCommand::Release { completed } => {
                let cause = if completed { 16 } else { 41 };
                if side.success.is_some() && !side.ack_received {
                    side.pending_release_cause = Some(cause);
                    return;
                }
                return self.release_caller(now, &id, cause, out);
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
        if let Some(side) = self.remove_caller_side(&id) {
            self.respond(now, &side.key, response, out);
        }
    }

    fn answer_caller(
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
        let Some(side) = self.caller_sides.get_mut(&id) else { return };
        let Some(dialog) = Dialog::as_uas(&side.invite, &side.tag, side.hop) else { return };
        self.calls_by_dialog.insert(dialog.id.clone(), id.clone());
        side.success = Some((success.clone(), dialog));
        side.answered_at = now;
        let key = side.key.clone();
        self.respond(now, &key, success, out);
        out.push(AgentOutput::StartTimer(now + T1, AgentTimer::RetransmitSuccess(id)));
    }

    // ---- Exchanges -----------------------------------------------------------------------------

    /// Sends the set-up, cancellation or release that the call table has for an exchange.
    pub fn send_to_exchange(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        id: CallId,
        command: ExchangeCommand,
        out: &mut Vec<AgentOutput>,
    ) {
        match command {
            ExchangeCommand::SetUp(set_up) => self.set_up(now, exchange, id, set_up, out),
            ExchangeCommand::CancelSetUp { leg } => {
                let key = self.exchange_sides.get(&(id, leg)).and_then(|side| side.key.clone());
                if let Some(key) = key {
                    self.with_transactions(out, |transactions, outputs| {
                        transactions.cancel_invite(now, &key, outputs)
                    });
                }
            }
            ExchangeCommand::Release { leg } => {
                let attempt = (id, leg.unwrap_or(0));
                let dialog = self.exchange_sides.get(&attempt).and_then(|side| side.dialog.clone());
                self.remove_exchange_side(&attempt, out);
                if let Some(dialog) = dialog {
                    self.send_bye(now, dialog, 16, out);
                }
            }
        }
    }

    fn set_up(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        id: CallId,
        set_up: SetUp,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(hop) = self.config.exchanges.iter().find(|e| e.id == exchange).map(|e| e.hop) else {
            return;
        };
        let (via, contact) = (self.via(hop.transport), self.contact(hop.transport));
        let remaining = (set_up.abandon_at - now).max(0.0);
        let to = format!("<sip:{}@{}>", set_up.number, hop.addr);
        let uri =
            format!("sip:{}@{};transport={}", set_up.number, hop.addr, hop.transport.name().to_lowercase());
        let tag = self.random_token();
        let from = format!("<sip:mallowring@{}>;tag={tag}", self.config.addr);
        let mut invite = Message::request("INVITE", &uri)
            .with("Via", via)
            .with("Max-Forwards", 70)
            .with("From", from)
            .with("To", to)
            .with("Call-ID", format_args!("{}-{}@{}", id.0, set_up.leg, self.config.addr.ip()))
            .with("CSeq", "1 INVITE")
            .with("Contact", contact)
            .with("Allow", ALLOW)
            .with("Expires", remaining.ceil())
            .with("X-Tier", &set_up.class)
            .with("X-Deadline", (remaining * 1000.0).round());
        if !set_up.description.is_empty() {
            invite = invite.with("Content-Type", "application/sdp");
            invite.body = set_up.description.to_vec();
        }
        let attempt = (id, set_up.leg);
        *self.circuits_in_use.entry(exchange).or_insert(0) += set_up.width;
        self.report_trunk_group(exchange, out);
        let key = self.with_transactions(out, |transactions, outputs| {
            transactions.send_request(now, hop, invite, outputs)
        });
        self.attempts_by_client_key.extend(key.clone().map(|key| (key, attempt.clone())));
        self.exchange_sides
            .insert(attempt, ExchangeSide { exchange, key, width: set_up.width, dialog: None, ack: None });
    }

    /// Reports the free circuits of a trunk group, counting the circuits of the calls through this agent as
    /// used.
    fn report_trunk_group(&self, exchange: ExchangeId, out: &mut Vec<AgentOutput>) {
        let Some(trunk_group) = self.config.exchanges.iter().find(|e| e.id == exchange) else { return };
        let in_use = self.circuits_in_use.get(&exchange).copied().unwrap_or(0);
        let free = f64::from(trunk_group.circuits.saturating_sub(in_use));
        let report = LoadReport {
            free_circuits: Some(free),
            group_size: Some(trunk_group.circuits.into()),
            ..LoadReport::default()
        };
        out.push(AgentOutput::CallTable(CallEvent::Status { exchange, report }));
    }

    /// Removes an attempt and frees its circuits.
    fn remove_exchange_side(&mut self, attempt: &Attempt, out: &mut Vec<AgentOutput>) -> Option<ExchangeId> {
        let side = self.exchange_sides.remove(attempt)?;
        if let Some(key) = &side.key {
            self.attempts_by_client_key.remove(key);
        }
        if let Some(dialog) = &side.dialog {
            self.attempts_by_dialog.remove(&dialog.id);
        }
        if let Some(in_use) = self.circuits_in_use.get_mut(&side.exchange) {
            *in_use = in_use.saturating_sub(side.width);
        }
        self.report_trunk_group(side.exchange, out);
        Some(side.exchange)
    }

    fn on_response(&mut self, now: Time, key: &TransactionKey, message: Message, out: &mut Vec<AgentOutput>) {
        let status = message.status().unwrap_or(500);
        if key.method != "INVITE" {
            return;
        }
        let attempt = self.attempts_by_client_key.get(key).cloned();
        match status {
            100..=199 => {
                let caller_side = attempt.as_ref().and_then(|(id, _)| self.caller_sides.get(id));
                if let (Some(side), 180..) = (caller_side.filter(|side| side.success.is_none()), status) {
                    let ringing =
                        with_to_tag(Message::response(180, "Ringing", &side.invite.headers), &side.tag);
                    let (key, contact) = (side.key.clone(), self.contact(side.hop.transport));
                    self.respond(now, &key, ringing.with("Contact", contact), out);
                }
            }
            200..=299 => self.on_success(now, attempt, message, out),
            _ => {
                let Some((id, leg)) = attempt else { return };
                let x_outcome = message.get("X-Outcome");
                let cause = match status {
                    _ if x_outcome.is_some() => failure_cause(x_outcome),
                    486 | 600 => Cause::LinesBusy,
                    503 => Cause::ProcessorFull,
                    _ => Cause::Unspecified,
                };
                let end = AttemptEnd::from_sip_status(status);
                if let Some(exchange) = self.remove_exchange_side(&(id.clone(), leg), out) {
                    let (leg, report) = (Some(leg), LoadReport::default());
                    out.push(AgentOutput::CallTable(CallEvent::SetUpFailed {
                        id,
                        exchange,
                        leg,
                        end,
                        cause,
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
        let via_transport =
            message.get("Via").and_then(Via::parse).and_then(|via| Transport::parse(via.transport));
        let side = attempt.as_ref().and_then(|attempt| self.exchange_sides.get(attempt));
        let hop =
            side.and_then(|side| self.config.exchanges.iter().find(|e| e.id == side.exchange)).map(|e| e.hop);
        let contact =
            message.get("Contact").map(header::addr_spec).and_then(Uri::parse).and_then(|uri| uri.hop());
        let Some(hop) = hop.or(contact) else { return };
        let Some(dialog) = Dialog::as_uac(&message, hop) else {
            tracing::warn!("2xx response without Contact cannot be acknowledged");
            return;
        };
        let (next_hop, fallback) = dialog.next_hop();
        if let Some(side) = side {
            match (&side.dialog, &side.ack) {
                (Some(established), Some(ack)) if established.id == dialog.id => {
                    out.push(AgentOutput::Send(next_hop, fallback, ack.clone()));
                    return;
                }
                _ => {}
            }
        }
        let via = self.via(via_transport.unwrap_or(hop.transport));
        let ack = dialog.ack(&message, &via);
        out.push(AgentOutput::Send(next_hop, fallback, ack.clone()));
        let unanswered_attempt = attempt
            .filter(|attempt| self.exchange_sides.get(attempt).is_some_and(|side| side.dialog.is_none()));
        let Some(attempt) = unanswered_attempt else {
            // A 2xx response of a forked INVITE or of an attempt that no longer exists: its call must be
            // released.
            return self.send_bye(now, dialog, 16, out);
        };
        let Some(side) = self.exchange_sides.get_mut(&attempt) else { return };
        self.attempts_by_dialog.insert(dialog.id.clone(), attempt.clone());
        (side.dialog, side.ack) = (Some(dialog), Some(ack));
        let (exchange, description) = (side.exchange, Arc::from(message.body));
        let (id, leg) = attempt;
        out.push(AgentOutput::CallTable(CallEvent::Answered { id, exchange, leg: Some(leg), description }));
    }

    fn on_failed(&mut self, key: &TransactionKey, failure: TransactionFailure, out: &mut Vec<AgentOutput>) {
        let Some((id, leg)) = self.attempts_by_client_key.get(key).cloned() else { return };
        let Some(exchange) = self.remove_exchange_side(&(id.clone(), leg), out) else { return };
        let end = match failure {
            TransactionFailure::Timeout => AttemptEnd::TimedOut,
            TransactionFailure::ConnectionLost => AttemptEnd::ConnectionEnded,
            TransactionFailure::Unreachable => AttemptEnd::NeverSent,
        };
        let (leg, cause, report) = (Some(leg), Cause::Unspecified, LoadReport::default());
        out.push(AgentOutput::CallTable(CallEvent::SetUpFailed { id, exchange, leg, end, cause, report }));
    }
}

/// Adds the local tag to the To header if it has none.
fn with_to_tag(mut message: Message, tag: &str) -> Message {
    if let Some((_, to)) = message.headers.iter_mut().find(|(name, _)| name.eq_ignore_ascii_case("To")) {
        if header::tag(to).is_none() {
            to.push_str(";tag=");
            to.push_str(tag);
        }
    }
    message
}
