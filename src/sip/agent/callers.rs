//! The caller side of the agent: requests of callers, the responses to them, and releases in both directions.

use std::sync::Arc;

use super::{with_to_tag, Agent, AgentOutput, AgentTimer, CallerSide, Exchange, ALLOW};
use crate::calls::{CallEvent, CallerCommand, Front, RejectReason, Request};
use crate::interface::*;
use crate::sip::dialog::{Dialog, DialogId};
use crate::sip::header::{self, Hop, Transport, Uri};
use crate::sip::message::{Message, StartLine};
use crate::sip::q850_cause;
use crate::sip::transaction::{TransactionKey, T1, T2, TRANSACTION_TIMEOUT};

impl Agent {
    pub(super) fn on_request(
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
            // The INVITE is kept, and its headers are repeated by the response and the dialog.
            front_bytes: 2 * message.memory_bytes(),
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

    pub(super) fn on_ack(&mut self, now: Time, message: &Message, out: &mut Vec<AgentOutput>) {
        let Some(id) = self.calls_by_dialog.get(&DialogId::of_request(message)).cloned() else { return };
        let Some(side) = self.caller_sides.get_mut(&id) else { return };
        side.ack_received = true;
        if let Some(cause) = side.pending_release_cause.take() {
            self.release_caller(now, &id, cause, out);
        }
    }

    /// Retransmits the 2xx response until its ACK arrives, over TCP as well (RFC 3261, section 13.3.1.4).
    /// Without an ACK the call is released.
    pub(super) fn retransmit_success(&mut self, now: Time, id: CallId, out: &mut Vec<AgentOutput>) {
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

    pub(super) fn send_bye(&mut self, now: Time, mut dialog: Dialog, cause: u32, out: &mut Vec<AgentOutput>) {
        let (hop, fallback) = dialog.next_hop();
        let via = self.via(hop.transport);
        let bye = dialog.next_request("BYE", &via).with("Reason", format_args!("Q.850;cause={cause}"));
        // The first copy may use the connection on which the dialog was established.
        self.with_transactions(out, |transactions, outputs| {
            transactions.send_request_with_fallback(now, hop, fallback, bye, outputs)
        });
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
}
