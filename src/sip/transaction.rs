//! Transactions (RFC 3261, 17, and RFC 6026) without sockets or clock: one core for client and server, for
//! UDP and TCP. The transport only decides whether messages are sent again.
//!
//! A transaction is known by its branch, not by the way it travels, and it lingers on TCP as long as on UDP:
//! what is repeated over UDP after a TCP reset finds its transaction and is not taken for a new call.

use std::collections::BTreeMap;

use super::header::{self, Hop, Transport, Via};
use super::message::Message;
use crate::interface::{Secs, Time};

/// An estimate of a round trip, and the base of all timers.
pub const T1: Secs = 0.5;
/// The longest gap between repeats.
pub const T2: Secs = 4.0;
/// How long a message may live in the network.
pub const T4: Secs = 5.0;
/// Timers B, D, F, H, J, L and M.
pub const TRANSACTION_TIMEOUT: Secs = 64.0 * T1;
/// Transactions of one agent at most; a request beyond is answered with 503 and forgotten.
pub const MAX_TRANSACTIONS: usize = 20_000;

/// The name of a transaction: its branch, who sent it, its method. An ACK bears its INVITE's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransactionKey {
    /// The branch, or what stood for it before RFC 3261.
    pub branch: String,
    /// The sender; empty for a client's own.
    pub sent_by: String,
    /// The method.
    pub method: String,
}

/// A timer of this layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionTimer {
    /// Of a server transaction.
    Server(TransactionKey),
    /// Of a client transaction.
    Client(TransactionKey),
}

/// Why a client transaction failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionFailure {
    /// No answer came in time.
    Timeout,
    /// No connection came up: nothing was sent.
    Unreachable,
    /// Its connection broke.
    ConnectionLost,
}

/// What this layer wants done or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutput {
    /// A message leaves. Where its connection has gone, the second way is to be taken.
    Send(Hop, Option<Hop>, Message),
    /// A timer is wanted.
    StartTimer(Time, TransactionTimer),
    /// A new request has come in.
    Request(TransactionKey, Hop, Message),
    /// An ACK to a success has come in.
    Ack(Message),
    /// A response has come in; a success may come several times.
    Response(TransactionKey, Message),
    /// No response comes any more.
    Failed(TransactionKey, TransactionFailure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No final response yet.
    Proceeding,
    /// A final response that is no success to an INVITE: repeats are answered with it.
    Completed,
    /// The ACK has come.
    Confirmed,
    /// A success to an INVITE (RFC 6026).
    Accepted,
}

#[derive(Debug)]
struct ServerTransaction {
    hop: Hop,
    fallback: Option<Hop>,
    state: State,
    last_response: Option<Message>,
    retransmit_interval: Secs,
    retransmit_at: Option<Time>,
    terminate_at: Option<Time>,
}

#[derive(Debug)]
struct ClientTransaction {
    hop: Hop,
    state: State,
    /// A provisional response has come.
    provisional_received: bool,
    /// Nobody waits for it any more: it is called off as soon as that is allowed.
    cancelled: bool,
    /// Its end was told already.
    outcome_reported: bool,
    request: Message,
    ack: Option<Message>,
    retransmit_interval: Secs,
    retransmit_at: Option<Time>,
    terminate_at: Option<Time>,
}

/// All transactions of one agent.
#[derive(Debug, Default)]
pub struct TransactionLayer {
    servers: BTreeMap<TransactionKey, ServerTransaction>,
    clients: BTreeMap<TransactionKey, ClientTransaction>,
}

fn is_due(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.0 >= at.0 - 1e-6)
}

/// The key of a request as its server sees it.
fn server_key(request: &Message) -> Option<TransactionKey> {
    let top = header::first_value(request.get("Via")?);
    let via = Via::parse(top)?;
    let (number, method) = request.cseq()?;
    let method = if method == "ACK" { "INVITE" } else { method }.to_owned();
    let branch = match via.branch {
        Some(branch) if branch.starts_with("z9hG4bK") => branch.to_owned(),
        // RFC 2543 had no such branches (RFC 3261, 17.2.3).
        _ => {
            let from = request.get("From").and_then(header::tag).unwrap_or("");
            format!("{}|{number}|{from}|{top}", request.get("Call-ID")?)
        }
    };
    Some(TransactionKey { branch, sent_by: via.sent_by.to_ascii_lowercase(), method })
}

/// Marks where a request came from (RFC 3261, 18.2.1; RFC 3581) and tells where its responses go.
fn mark_source(request: &mut Message, from: Hop) -> Option<(Hop, Option<Hop>)> {
    let (_, value) = request.headers.iter_mut().find(|(name, _)| name.eq_ignore_ascii_case("Via"))?;
    let top = header::first_value(value).to_owned();
    let rest = value[top.len()..].trim().to_owned();
    let via = Via::parse(&top)?;
    let wanted = Hop { transport: from.transport, addr: (from.addr.ip(), via.port()).into() };
    let hop = match from.transport {
        Transport::Udp if !via.rport => wanted,
        _ => from,
    };
    let mut marked: Vec<String> = top.split(';').map(|p| p.trim().to_owned()).collect();
    marked.retain(|p| !p.starts_with("received=") && !p.starts_with("rport"));
    marked.push(format!("received={}", from.addr.ip()));
    if via.rport {
        marked.push(format!("rport={}", from.addr.port()));
    }
    *value = marked.join(";") + &rest;
    Some((hop, (from.transport == Transport::Tcp).then_some(wanted)))
}

impl TransactionLayer {
    /// Transactions that are held.
    pub fn len(&self) -> usize {
        self.servers.len() + self.clients.len()
    }

    /// No transaction is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a message that came in.
    pub fn receive(&mut self, now: Time, from: Hop, mut message: Message, out: &mut Vec<TransactionOutput>) {
        if message.status().is_some() {
            return self.on_response(now, message, out);
        }
        let (Some(key), Some((hop, alt))) = (server_key(&message), mark_source(&mut message, from)) else {
            // Without a Via there is no way back but the one it came.
            if message.method() != Some("ACK") {
                let refusal = Message::response(400, "Bad Request", &message.headers);
                out.push(TransactionOutput::Send(from, None, refusal));
            }
            return;
        };
        let is_ack = message.method() == Some("ACK");
        let full = self.len() >= MAX_TRANSACTIONS;
        match self.servers.get_mut(&key) {
            Some(server) if is_ack => {
                if server.state == State::Completed {
                    server.state = State::Confirmed;
                    server.retransmit_at = None;
                    let end = now + T4;
                    server.terminate_at = Some(end);
                    out.push(TransactionOutput::StartTimer(end, TransactionTimer::Server(key)));
                } else if server.state == State::Accepted {
                    out.push(TransactionOutput::Ack(message));
                }
            }
            None if is_ack => out.push(TransactionOutput::Ack(message)),
            Some(server) => {
                // Repeated, maybe another way: what was said last goes the new way.
                (server.hop, server.fallback) = (hop, alt);
                if matches!(server.state, State::Proceeding | State::Completed) {
                    out.extend(
                        server.last_response.clone().map(|last| TransactionOutput::Send(hop, alt, last)),
                    );
                }
            }
            None if full => {
                out.push(TransactionOutput::Send(
                    hop,
                    alt,
                    Message::response(503, "Service Unavailable", &message.headers),
                ));
            }
            None => {
                let (last, state) = (None, State::Proceeding);
                let server = ServerTransaction {
                    hop,
                    fallback: alt,
                    state,
                    last_response: last,
                    retransmit_interval: T1,
                    retransmit_at: None,
                    terminate_at: None,
                };
                self.servers.insert(key.clone(), server);
                if key.method == "INVITE" {
                    let trying = Message::response(100, "Trying", &message.headers);
                    self.respond(now, &key, trying, out);
                }
                out.push(TransactionOutput::Request(key, hop, message));
            }
        }
    }

    /// Whether a server transaction still waits for its final response.
    pub fn awaits_final_response(&self, key: &TransactionKey) -> bool {
        self.servers.get(key).is_some_and(|s| s.state == State::Proceeding)
    }

    /// Where the responses of a server transaction go.
    pub fn response_destination(&self, key: &TransactionKey) -> Option<(Hop, Option<Hop>)> {
        self.servers.get(key).map(|s| (s.hop, s.fallback))
    }

    /// Answers a request. A second final response is not sent.
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
        let end = now + TRANSACTION_TIMEOUT;
        server.terminate_at = Some(end);
        out.push(TransactionOutput::StartTimer(end, TransactionTimer::Server(key.clone())));
        if key.method == "INVITE" && status < 300 {
            server.state = State::Accepted;
            return;
        }
        server.state = State::Completed;
        if key.method == "INVITE" && server.hop.transport == Transport::Udp {
            let at = now + server.retransmit_interval;
            server.retransmit_at = Some(at);
            out.push(TransactionOutput::StartTimer(at, TransactionTimer::Server(key.clone())));
        }
    }

    /// Sends a request whose topmost Via bears a fresh branch.
    pub fn send_request(
        &mut self,
        now: Time,
        hop: Hop,
        request: Message,
        out: &mut Vec<TransactionOutput>,
    ) -> Option<TransactionKey> {
        let key = client_key(&request)?;
        out.push(TransactionOutput::Send(hop, None, request.clone()));
        let (end, mut resend_at) = (now + TRANSACTION_TIMEOUT, None);
        if hop.transport == Transport::Udp {
            resend_at = Some(now + T1);
            out.push(TransactionOutput::StartTimer(now + T1, TransactionTimer::Client(key.clone())));
        }
        out.push(TransactionOutput::StartTimer(end, TransactionTimer::Client(key.clone())));
        let client = ClientTransaction {
            hop,
            state: State::Proceeding,
            provisional_received: false,
            cancelled: false,
            outcome_reported: false,
            request,
            ack: None,
            retransmit_interval: T1,
            retransmit_at: resend_at,
            terminate_at: Some(end),
        };
        self.clients.insert(key.clone(), client);
        Some(key)
    }

    /// Calls an INVITE off: at once if anything was heard, else as soon as something is (RFC 3261, 9.1). It
    /// is not sent again meanwhile, and stays for the answer that may cross.
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
        let invite = key.method == "INVITE";
        match (client.state, status) {
            (State::Proceeding, 100..=199) => {
                let first = !std::mem::replace(&mut client.provisional_received, true);
                if invite {
                    client.retransmit_at = None;
                    if !client.cancelled {
                        // How long it may ring is the core's to say.
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
                let success = invite && status < 300;
                client.state = if success { State::Accepted } else { State::Completed };
                let end = now + if invite { TRANSACTION_TIMEOUT } else { T4 };
                client.terminate_at = Some(end);
                out.push(TransactionOutput::StartTimer(end, TransactionTimer::Client(key.clone())));
                if invite && !success {
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

    /// A timer has run down; one that is no longer wanted moves nothing.
    pub fn on_timer(&mut self, now: Time, alarm: TransactionTimer, out: &mut Vec<TransactionOutput>) {
        match alarm {
            TransactionTimer::Server(key) => {
                let Some(server) = self.servers.get_mut(&key) else { return };
                if is_due(server.terminate_at, now) {
                    self.servers.remove(&key);
                } else if is_due(server.retransmit_at, now) {
                    out.extend(
                        server
                            .last_response
                            .clone()
                            .map(|last| TransactionOutput::Send(server.hop, server.fallback, last)),
                    );
                    server.retransmit_interval = (2.0 * server.retransmit_interval).min(T2);
                    let at = now + server.retransmit_interval;
                    server.retransmit_at = Some(at);
                    out.push(TransactionOutput::StartTimer(at, TransactionTimer::Server(key)));
                }
            }
            TransactionTimer::Client(key) => {
                let Some(client) = self.clients.get_mut(&key) else { return };
                if is_due(client.terminate_at, now) {
                    let told = client.outcome_reported || client.state != State::Proceeding;
                    self.clients.remove(&key);
                    if !told {
                        out.push(TransactionOutput::Failed(key, TransactionFailure::Timeout));
                    }
                } else if is_due(client.retransmit_at, now) {
                    out.push(TransactionOutput::Send(client.hop, None, client.request.clone()));
                    client.retransmit_interval *= 2.0;
                    if key.method != "INVITE" {
                        client.retransmit_interval = client.retransmit_interval.min(T2);
                    }
                    let at = now + client.retransmit_interval;
                    client.retransmit_at = Some(at);
                    out.push(TransactionOutput::StartTimer(at, TransactionTimer::Client(key)));
                }
            }
        }
    }

    /// A connection has broken, or none came up. What waits there has failed; what a server owes does not
    /// depend on its connection and goes another way.
    pub fn on_connection_failed(
        &mut self,
        now: Time,
        hop: Hop,
        failure: TransactionFailure,
        out: &mut Vec<TransactionOutput>,
    ) {
        for (key, client) in &mut self.clients {
            if client.hop != hop || client.state != State::Proceeding {
                continue;
            }
            // It stays for an answer that may still come.
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

/// The key of a request or response as its client sees it.
fn client_key(message: &Message) -> Option<TransactionKey> {
    let branch = Via::parse(message.get("Via")?)?.branch?.to_owned();
    let method = message.cseq()?.1.to_owned();
    Some(TransactionKey { branch, sent_by: String::new(), method })
}

/// The CANCEL of an INVITE, or the ACK of its refusal (RFC 3261, 9.1 and 17.1.1.3).
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
