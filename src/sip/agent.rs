//! The SIP user agent between callers, exchanges and the call table. It is a UAS towards callers and a UAC
//! towards exchanges, with a separate dialog on each side of a call. It uses no sockets and no clock, and
//! each side of a call may use UDP or TCP.

mod callers;
mod exchanges;
mod liveness;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use self::liveness::{ExchangeWatch, Probe};
use super::dialog::{Dialog, DialogId};
use super::header::{self, Hop, Transport};
use super::message::Message;
use super::transaction::{self, TransactionFailure, TransactionKey, TransactionLayer, TransactionOutput};
use crate::calls::CallEvent;
use crate::interface::*;
use crate::limits::transactions::RequestKind;

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
    /// Checks whether an exchange still holds its calls.
    CheckExchange(ExchangeId),
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
    /// What is known of the life of each exchange.
    watches: BTreeMap<ExchangeId, ExchangeWatch>,
    /// The questions to exchanges whether they hold a call, by their client transactions.
    probes: BTreeMap<TransactionKey, Probe>,
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
            watches: BTreeMap::new(),
            probes: BTreeMap::new(),
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
        self.record_activity(now, from);
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
            AgentTimer::CheckExchange(exchange) => self.check_exchange(now, exchange, out),
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
        self.exchange_connection_failed(now, hop, failure, out);
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
