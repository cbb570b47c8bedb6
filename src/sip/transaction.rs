//! The transaction layer (RFC 3261, section 17, and RFC 6026) for clients and servers, without sockets or
//! clock. The same state machines serve UDP and TCP; the transport only decides whether messages are
//! retransmitted.
//!
//! A transaction is identified by its branch and not by its transport. A transaction is kept on TCP for as
//! long as on UDP, so that a request repeated over UDP after a TCP reset matches its transaction and does not
//! set up a second call.

use std::collections::BTreeMap;

use super::header::{self, Hop, Transport, Via};
use super::message::Message;
use crate::interface::{Secs, Time};
use crate::limits::transactions::{Admission, FinishNumber, RequestKind, TransactionBudget, RECORD_BYTES};

/// Round-trip time estimate in seconds, the base of all timers (RFC 3261, section 17.1.1.1).
pub const T1: Secs = 0.5;
/// Longest retransmission interval in seconds for non-INVITE requests and for responses to INVITE.
pub const T2: Secs = 4.0;
/// Longest time in seconds that a message stays in the network.
pub const T4: Secs = 5.0;
/// Duration in seconds of timers B, D, F, H, J, L and M (RFC 3261, appendix A, and RFC 6026).
pub const TRANSACTION_TIMEOUT: Secs = 64.0 * T1;
/// Default limit of the memory of the server transactions, in bytes; [`TransactionBudget`] decides what happens at it.
pub const DEFAULT_TRANSACTION_BYTES: usize = 32 * 1024 * 1024;

/// The identifier of a transaction (RFC 3261, sections 17.1.3 and 17.2.3). An ACK has the key of its INVITE.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransactionKey {
    /// The branch, or for a request of RFC 2543 a value built from its headers.
    pub branch: String,
    /// The sent-by value of the topmost Via; empty for a client transaction.
    pub sent_by: String,
    /// The method of the request that created the transaction.
    pub method: String,
}

/// Identifies a timer of the transaction layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionTimer {
    /// A timer of a server transaction.
    Server(TransactionKey),
    /// The oldest server transaction with a final response has expired. One timer serves all, so that a transaction
    /// that is forgotten leaves nothing behind.
    ServerExpiry,
    /// A timer of a client transaction.
    Client(TransactionKey),
}

/// Why a client transaction failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionFailure {
    /// No final response arrived in time.
    Timeout,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// A connection was refused, so nothing was sent: no process listens there.
    Refused,
    /// The connection was lost.
    ConnectionLost,
}

/// An action or event that the transaction layer hands to the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutput {
    /// Send a message to the first hop, or to the second one if the connection to the first is gone.
    Send(Hop, Option<Hop>, Message),
    /// Start a timer that expires at the given time.
    StartTimer(Time, TransactionTimer),
    /// A new request was received. Its responses go to the given hop.
    Request(TransactionKey, Hop, Message),
    /// An ACK for a 2xx response was received.
    Ack(Message),
    /// A response was received. A 2xx response to INVITE is reported each time it arrives.
    Response(TransactionKey, Message),
    /// A client transaction failed without a final response.
    Failed(TransactionKey, TransactionFailure),
}

/// The state of a transaction. `Proceeding` includes the states Calling and Trying of RFC 3261.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No final response was sent or received.
    Proceeding,
    /// The final response was sent or received, and is not a 2xx response to INVITE. A server answers a
    /// repeated request with it.
    Completed,
    /// The ACK of a final response other than 2xx was received.
    Confirmed,
    /// A 2xx response to INVITE was sent or received (RFC 6026).
    Accepted,
}

#[derive(Debug)]
struct ServerTransaction {
    /// The sender of the request.
    source: Hop,
    /// Approximate memory of the transaction.
    bytes: usize,
    /// Its number among those with a final response.
    number: Option<FinishNumber>,
    /// It has its final response and may be forgotten.
    forgettable: bool,
    hop: Hop,
    fallback: Option<Hop>,
    state: State,
    last_response: Option<Message>,
    retransmit_interval: Secs,
    retransmit_at: Option<Time>,
}

#[derive(Debug)]
struct ClientTransaction {
    hop: Hop,
    /// The hop whose connection may have carried the request instead.
    fallback: Option<Hop>,
    /// A connection that may have carried it was lost.
    connection_lost: bool,
    state: State,
    /// Whether a provisional response was received.
    provisional_received: bool,
    /// Whether the outcome is no longer needed. An INVITE is then cancelled as soon as RFC 3261, section 9.1
    /// allows.
    cancelled: bool,
    /// Whether the final outcome was reported to the agent.
    outcome_reported: bool,
    request: Message,
    ack: Option<Message>,
    retransmit_interval: Secs,
    retransmit_at: Option<Time>,
    terminate_at: Option<Time>,
}

/// The transactions of one agent.
#[derive(Debug)]
pub struct TransactionLayer {
    budget: TransactionBudget,
    next_number: FinishNumber,
    /// The server transactions with a final response, in the order in which they expire.
    expiries: BTreeMap<FinishNumber, (Time, TransactionKey)>,
    servers: BTreeMap<TransactionKey, ServerTransaction>,
    clients: BTreeMap<TransactionKey, ClientTransaction>,
}

/// Whether a timer is due. The tolerance of one microsecond covers rounding errors of floating-point times.
fn is_due(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.0 >= at.0 - 1e-6)
}

/// Returns the key under which a server transaction handles a request.
fn server_key(request: &Message) -> Option<TransactionKey> {
    let top_via = header::first_value(request.get("Via")?);
    let via = Via::parse(top_via)?;
    let (number, method) = request.cseq()?;
    let method = if method == "ACK" { "INVITE" } else { method }.to_owned();
    let branch = match via.branch {
        Some(branch) if branch.starts_with("z9hG4bK") => branch.to_owned(),
        // A client of RFC 2543 sends no such branch (RFC 3261, section 17.2.3).
        _ => {
            let from = request.get("From").and_then(header::tag).unwrap_or("");
            format!("{}|{number}|{from}|{top_via}", request.get("Call-ID")?)
        }
    };
    Some(TransactionKey { branch, sent_by: via.sent_by.to_ascii_lowercase(), method })
}

/// Adds the source address to the topmost Via of a request (RFC 3261, section 18.2.1, and RFC 3581). Returns
/// the hop for its responses, and for TCP the fallback hop (RFC 3261, section 18.2.2).
fn mark_source(request: &mut Message, source: Hop) -> Option<(Hop, Option<Hop>)> {
    let (_, value) = request.headers.iter_mut().find(|(name, _)| name.eq_ignore_ascii_case("Via"))?;
    let (top_via, other_vias) = header::split_first_value(value);
    let via = Via::parse(top_via)?;
    let sent_by_hop = Hop { transport: source.transport, addr: (source.addr.ip(), via.port()).into() };
    let hop = match source.transport {
        Transport::Udp if !via.rport => sent_by_hop,
        _ => source,
    };
    let mut parts: Vec<String> = top_via.split(';').map(|p| p.trim().to_owned()).collect();
    parts.retain(|p| !p.starts_with("received=") && !p.starts_with("rport"));
    parts.push(format!("received={}", source.addr.ip()));
    if via.rport {
        parts.push(format!("rport={}", source.addr.port()));
    }
    *value = parts.join(";") + other_vias;
    Some((hop, (source.transport == Transport::Tcp).then_some(sent_by_hop)))
}

impl Default for TransactionLayer {
    fn default() -> Self {
        TransactionLayer::with_limit(DEFAULT_TRANSACTION_BYTES)
    }
}

impl TransactionLayer {
    /// Creates a layer whose server transactions take at most `limit` bytes, without those that established calls owe.
    pub fn with_limit(limit: usize) -> Self {
        TransactionLayer {
            budget: TransactionBudget::new(limit),
            next_number: 0,
            expiries: BTreeMap::new(),
            servers: BTreeMap::new(),
            clients: BTreeMap::new(),
        }
    }

    /// Returns the number of transactions.
    pub fn len(&self) -> usize {
        self.servers.len() + self.clients.len()
    }

    /// Whether there are no transactions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Handles a received message. A request of the kind [`RequestKind::Owed`] is never refused for want of room.
    pub fn receive(
        &mut self,
        now: Time,
        source: Hop,
        kind: RequestKind,
        mut message: Message,
        out: &mut Vec<TransactionOutput>,
    ) {
        if message.status().is_some() {
            return self.on_response(now, message, out);
        }
        let bytes = RECORD_BYTES + message.memory_bytes();
        let (Some(key), Some((hop, fallback))) = (server_key(&message), mark_source(&mut message, source))
        else {
            // Without a valid Via the response can only go to the source of the request.
            if message.method() != Some("ACK") {
                let bad_request = Message::response(400, "Bad Request", &message.headers);
                out.push(TransactionOutput::Send(source, None, bad_request));
            }
            return;
        };
        let is_ack = message.method() == Some("ACK");
        if !is_ack && !self.servers.contains_key(&key) && !self.make_room(source, kind, bytes) {
            let refusal = Message::response(503, "Service Unavailable", &message.headers);
            out.push(TransactionOutput::Send(hop, fallback, refusal));
            return;
        }
        match self.servers.get_mut(&key) {
            Some(server) if is_ack => {
                if server.state == State::Completed {
                    server.state = State::Confirmed;
                    server.retransmit_at = None;
                } else if server.state == State::Accepted {
                    out.push(TransactionOutput::Ack(message));
                }
            }
            None if is_ack => out.push(TransactionOutput::Ack(message)),
            Some(server) => {
                // A retransmission may arrive over another transport: the last response goes back over that
                // one.
                (server.hop, server.fallback) = (hop, fallback);
                if matches!(server.state, State::Proceeding | State::Completed) {
                    out.extend(
                        server
                            .last_response
                            .clone()
                            .map(|last_response| TransactionOutput::Send(hop, fallback, last_response)),
                    );
                }
            }
            None => {
                let (last_response, state) = (None, State::Proceeding);
                let server = ServerTransaction {
                    source,
                    bytes,
                    number: None,
                    forgettable: false,
                    hop,
                    fallback,
                    state,
                    last_response,
                    retransmit_interval: T1,
                    retransmit_at: None,
                };
                self.budget.started(source, bytes);
                self.servers.insert(key.clone(), server);
                if key.method == "INVITE" {
                    let trying = Message::response(100, "Trying", &message.headers);
                    self.respond(now, &key, trying, out);
                }
                out.push(TransactionOutput::Request(key, hop, message));
            }
        }
    }

    /// Makes room for a transaction of a source; returns false if it is refused.
    fn make_room(&mut self, source: Hop, kind: RequestKind, bytes: usize) -> bool {
        loop {
            match self.budget.admit(source, kind, bytes) {
                Admission::Admitted => return true,
                Admission::AfterForgetting(key) => self.remove_server(&key),
                Admission::Refused => return false,
            }
        }
    }

    fn remove_server(&mut self, key: &TransactionKey) {
        let Some(server) = self.servers.remove(key) else { return };
        if let Some(number) = server.number {
            self.expiries.remove(&number);
        }
        let finished = server.number.filter(|_| server.forgettable);
        self.budget.ended(server.source, server.bytes, finished);
    }

    /// Removes the server transactions that have expired, and starts the timer for the next one.
    fn expire_servers(&mut self, now: Time, out: &mut Vec<TransactionOutput>) {
        while let Some((at, key)) = self.expiries.first_key_value().map(|(_, expiry)| expiry.clone()) {
            if !is_due(Some(at), now) {
                out.push(TransactionOutput::StartTimer(at, TransactionTimer::ServerExpiry));
                return;
            }
            self.remove_server(&key);
        }
    }

    /// Whether there is a server transaction for the INVITE that a CANCEL refers to.
    pub fn is_cancel_of_known_invite(&self, request: &Message) -> bool {
        let key = (request.method() == Some("CANCEL")).then(|| server_key(request)).flatten();
        key.is_some_and(|key| {
            self.servers.contains_key(&TransactionKey { method: "INVITE".to_owned(), ..key })
        })
    }

    /// Whether a server transaction has not sent its final response.
    pub fn awaits_final_response(&self, key: &TransactionKey) -> bool {
        self.servers.get(key).is_some_and(|s| s.state == State::Proceeding)
    }

    /// Returns the hop and the fallback hop for the responses of a server transaction.
    pub fn response_destination(&self, key: &TransactionKey) -> Option<(Hop, Option<Hop>)> {
        self.servers.get(key).map(|s| (s.hop, s.fallback))
    }

    /// Whether a client transaction with this method has neither a final response nor failed.
    pub fn awaits_response_to(&self, method: &str) -> bool {
        let pending =
            |client: &ClientTransaction| client.state == State::Proceeding && !client.outcome_reported;
        self.clients.iter().any(|(key, client)| key.method == method && pending(client))
    }

    /// Sends a response to a request. After a final response, further responses are dropped.
    pub fn respond(
        &mut self,
        now: Time,
        key: &TransactionKey,
        response: Message,
        out: &mut Vec<TransactionOutput>,
    ) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let status = response.status().unwrap_or(500);
        if server.state != State::Proceeding {
            return;
        }
        out.push(TransactionOutput::Send(server.hop, server.fallback, response.clone()));
        server.last_response = Some(response);
        if status < 200 {
            return;
        }
        let (end, number) = (now + TRANSACTION_TIMEOUT, self.next_number);
        self.next_number += 1;
        server.number = Some(number);
        if self.expiries.is_empty() {
            out.push(TransactionOutput::StartTimer(end, TransactionTimer::ServerExpiry));
        }
        self.expiries.insert(number, (end, key.clone()));
        if key.method == "INVITE" && status < 300 {
            server.state = State::Accepted;
            return;
        }
        server.state = State::Completed;
        server.forgettable = true;
        self.budget.finished(server.source, server.bytes, number, key.clone());
        if key.method == "INVITE" && server.hop.transport == Transport::Udp {
            let at = now + server.retransmit_interval;
            server.retransmit_at = Some(at);
            out.push(TransactionOutput::StartTimer(at, TransactionTimer::Server(key.clone())));
        }
    }

    /// Sends a request and creates its client transaction. The topmost Via must have a new branch.
    pub fn send_request(
        &mut self,
        now: Time,
        hop: Hop,
        request: Message,
        out: &mut Vec<TransactionOutput>,
    ) -> Option<TransactionKey> {
        self.send_request_with_fallback(now, hop, None, request, out)
    }

    /// The same with a hop whose connection is used for the first copy if there is none to the first hop.
    pub fn send_request_with_fallback(
        &mut self,
        now: Time,
        hop: Hop,
        fallback: Option<Hop>,
        request: Message,
        out: &mut Vec<TransactionOutput>,
    ) -> Option<TransactionKey> {
        let key = client_key(&request)?;
        out.push(TransactionOutput::Send(hop, fallback, request.clone()));
        let (end, mut retransmit_at) = (now + TRANSACTION_TIMEOUT, None);
        if hop.transport == Transport::Udp {
            retransmit_at = Some(now + T1);
            out.push(TransactionOutput::StartTimer(now + T1, TransactionTimer::Client(key.clone())));
        }
        out.push(TransactionOutput::StartTimer(end, TransactionTimer::Client(key.clone())));
        let client = ClientTransaction {
            hop,
            fallback,
            connection_lost: false,
            state: State::Proceeding,
            provisional_received: false,
            cancelled: false,
            outcome_reported: false,
            request,
            ack: None,
            retransmit_interval: T1,
            retransmit_at,
            terminate_at: Some(end),
        };
        self.clients.insert(key.clone(), client);
        Some(key)
    }

    /// Cancels an INVITE: at once if a provisional response was received, else when the first one arrives
    /// (RFC 3261, section 9.1). The INVITE is not retransmitted any more. Its transaction is kept for a final
    /// response that crosses the CANCEL.
    pub fn cancel_invite(&mut self, now: Time, key: &TransactionKey, out: &mut Vec<TransactionOutput>) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.state != State::Proceeding || std::mem::replace(&mut client.cancelled, true) {
            return;
        }
        client.retransmit_at = None;
        let end = now + TRANSACTION_TIMEOUT;
        client.terminate_at = Some(end);
        out.push(TransactionOutput::StartTimer(end, TransactionTimer::Client(key.clone())));
        if client.provisional_received {
            self.send_cancel(now, key, out);
        }
    }

    fn send_cancel(&mut self, now: Time, key: &TransactionKey, out: &mut Vec<TransactionOutput>) {
        let Some(client) = self.clients.get(key) else { return };
        let hop = client.hop;
        let cancel = request_like_invite(&client.request, "CANCEL", client.request.get("To"));
        self.send_request(now, hop, cancel, out);
    }

    fn on_response(&mut self, now: Time, message: Message, out: &mut Vec<TransactionOutput>) {
        let (Some(key), Some(status)) = (client_key(&message), message.status()) else { return };
        let Some(client) = self.clients.get_mut(&key) else { return };
        let is_invite = key.method == "INVITE";
        match (client.state, status) {
            (State::Proceeding, 100..=199) => {
                let first = !std::mem::replace(&mut client.provisional_received, true);
                if is_invite {
                    client.retransmit_at = None;
                    if !client.cancelled {
                        // The call table limits how long the exchange may ring.
                        client.terminate_at = None;
                    }
                } else {
                    client.retransmit_interval = T2;
                }
                if client.cancelled {
                    if first && !client.outcome_reported {
                        self.send_cancel(now, &key, out);
                    }
                    return;
                }
                out.push(TransactionOutput::Response(key, message));
            }
            (State::Proceeding, _) => {
                client.retransmit_at = None;
                let success = is_invite && status < 300;
                client.state = if success { State::Accepted } else { State::Completed };
                let end = now + if is_invite { TRANSACTION_TIMEOUT } else { T4 };
                client.terminate_at = Some(end);
                out.push(TransactionOutput::StartTimer(end, TransactionTimer::Client(key.clone())));
                if is_invite && !success {
                    let ack = request_like_invite(&client.request, "ACK", message.get("To"));
                    out.push(TransactionOutput::Send(client.hop, None, ack.clone()));
                    client.ack = Some(ack);
                }
                if success || !std::mem::replace(&mut client.outcome_reported, true) {
                    out.push(TransactionOutput::Response(key, message));
                }
            }
            (State::Completed, 300..) => {
                out.extend(client.ack.clone().map(|ack| TransactionOutput::Send(client.hop, None, ack)));
            }
            (State::Accepted, 200..=299) => out.push(TransactionOutput::Response(key, message)),
            _ => {}
        }
    }

    /// Handles an expired timer. A timer that was superseded has no effect.
    pub fn on_timer(&mut self, now: Time, timer: TransactionTimer, out: &mut Vec<TransactionOutput>) {
        match timer {
            TransactionTimer::Server(key) => {
                let Some(server) = self.servers.get_mut(&key) else { return };
                if is_due(server.retransmit_at, now) {
                    out.extend(server.last_response.clone().map(|last_response| {
                        TransactionOutput::Send(server.hop, server.fallback, last_response)
                    }));
                    server.retransmit_interval = (2.0 * server.retransmit_interval).min(T2);
                    let at = now + server.retransmit_interval;
                    server.retransmit_at = Some(at);
                    out.push(TransactionOutput::StartTimer(at, TransactionTimer::Server(key)));
                }
            }
            TransactionTimer::ServerExpiry => self.expire_servers(now, out),
            TransactionTimer::Client(key) => {
                let Some(client) = self.clients.get_mut(&key) else { return };
                if is_due(client.terminate_at, now) {
                    let outcome_reported = client.outcome_reported || client.state != State::Proceeding;
                    self.clients.remove(&key);
                    if !outcome_reported {
                        out.push(TransactionOutput::Failed(key, TransactionFailure::Timeout));
                    }
                } else if is_due(client.retransmit_at, now) {
                    out.push(TransactionOutput::Send(client.hop, None, client.request.clone()));
                    client.retransmit_interval *= 2.0;
                    if key.method != "INVITE" {
                        client.retransmit_interval = client.retransmit_interval.min(T2);
                    }
                    client.retransmit_at = None;
                    // Over TCP only the next failure of a connection causes another copy.
                    if client.hop.transport == Transport::Udp {
                        let at = now + client.retransmit_interval;
                        client.retransmit_at = Some(at);
                        out.push(TransactionOutput::StartTimer(at, TransactionTimer::Client(key)));
                    }
                }
            }
        }
    }

    /// Sends final responses to INVITE again whose ACK has not arrived on a connection that was lost, to the address in
    /// the Via of the request (RFC 3261, section 18.2.2).
    fn resend_final_responses(&mut self, lost: Hop, out: &mut Vec<TransactionOutput>) {
        for (key, server) in &mut self.servers {
            let is_unconfirmed = key.method == "INVITE" && server.state == State::Completed;
            if server.hop != lost || !is_unconfirmed {
                continue;
            }
            let Some(fallback) = server.fallback.take() else { continue };
            let response = server.last_response.clone();
            out.extend(response.map(|response| TransactionOutput::Send(fallback, None, response)));
        }
    }

    /// Handles a connection that was lost or could not be made. A release that may have waited on it is sent again; other
    /// client transactions that waited on it fail.
    /// Server transactions do not depend on their connection, because their responses can take another one.
    pub fn on_connection_failed(
        &mut self,
        now: Time,
        hop: Hop,
        failure: TransactionFailure,
        out: &mut Vec<TransactionOutput>,
    ) {
        self.resend_final_responses(hop, out);
        for (key, client) in &mut self.clients {
            let is_concerned = client.hop == hop || client.fallback == Some(hop);
            if !is_concerned || client.state != State::Proceeding || client.outcome_reported {
                continue;
            }
            if key.method == "BYE" {
                client.resend(now, key, out);
                continue;
            }
            // The transaction is kept for a final response that may still arrive.
            client.cancelled = true;
            client.retransmit_at = None;
            let end = now + TRANSACTION_TIMEOUT;
            client.terminate_at = Some(end);
            out.push(TransactionOutput::StartTimer(end, TransactionTimer::Client(key.clone())));
            if !std::mem::replace(&mut client.outcome_reported, true) {
                out.push(TransactionOutput::Failed(key.clone(), failure));
            }
        }
    }
}

impl ClientTransaction {
    /// Sends a release again whose connection was lost or could not be made: at once the first time, then at growing
    /// intervals. Nothing else repeats it over TCP.
    fn resend(&mut self, now: Time, key: &TransactionKey, out: &mut Vec<TransactionOutput>) {
        if !std::mem::replace(&mut self.connection_lost, true) {
            return out.push(TransactionOutput::Send(self.hop, None, self.request.clone()));
        }
        let at = now + self.retransmit_interval;
        self.retransmit_at = Some(at);
        out.push(TransactionOutput::StartTimer(at, TransactionTimer::Client(key.clone())));
    }
}

/// Returns the key under which a client transaction handles its request and the responses.
fn client_key(message: &Message) -> Option<TransactionKey> {
    let branch = Via::parse(message.get("Via")?)?.branch?.to_owned();
    let method = message.cseq()?.1.to_owned();
    Some(TransactionKey { branch, sent_by: String::new(), method })
}

/// Creates the CANCEL of an INVITE, or the ACK of its final response other than 2xx (RFC 3261, sections 9.1
/// and 17.1.1.3).
fn request_like_invite(invite: &Message, method: &str, to: Option<&str>) -> Message {
    let uri = match &invite.start_line {
        super::message::StartLine::Request { uri, .. } => uri,
        super::message::StartLine::Response { .. } => "",
    };
    let mut message = Message::request(method, uri);
    message =
        message.with("Via", header::first_value(invite.get("Via").unwrap_or(""))).with("Max-Forwards", 70);
    message = message.with("From", invite.get("From").unwrap_or("")).with("To", to.unwrap_or(""));
    message = message.with("Call-ID", invite.get("Call-ID").unwrap_or(""));
    let routes = invite.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("Route"));
    message.headers.extend(routes.cloned());
    message.with("CSeq", format_args!("{} {method}", invite.cseq().map_or(1, |(n, _)| n)))
}
