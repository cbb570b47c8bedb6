//! Calls at one exchange: commands out, answers and releases in.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Peer, PendingInvite};
use crate::calls::{CallEvent, ExchangeCommand, SetUp};
use crate::interface::*;
use crate::sip::message::Message;
use crate::sip::{cause, verdict};
use crate::wire;

/// Set-ups that may wait while a connection is made. Releases wait without a bound of their own: each is of a call whose
/// record the call table has counted.
const WAITING_SET_UPS: usize = 512;
/// A set-up that a later one has overtaken is held for lost after this share of its time.
const OVERTAKEN: f64 = 0.2;
/// Set-ups given up whose answer may still cross.
const GIVEN_UP: usize = 256;

impl Peer {
    pub(super) async fn command(&mut self, id: CallId, far: ExchangeCommand) {
        if matches!(far, ExchangeCommand::Release { .. }) {
            self.liveness.over(&id);
        }
        if self.connections.is_empty() {
            return self.command_without_connection(id, far).await;
        }
        match far {
            ExchangeCommand::CancelSetUp { leg } => self.give_up(id, leg).await,
            ExchangeCommand::SetUp(_) | ExchangeCommand::Release { .. } => self.put(id, far),
        }
        self.connect();
    }

    async fn command_without_connection(&mut self, id: CallId, far: ExchangeCommand) {
        let set_ups = self.waiting.iter().filter(|(_, far)| matches!(far, ExchangeCommand::SetUp(_))).count();
        let no_way = set_ups >= WAITING_SET_UPS || self.condition != ServiceState::InService;
        match far {
            ExchangeCommand::SetUp(set_up) if no_way => {
                let none = LoadReport::default();
                self.ended(id, Some(set_up.leg), Outcome::ConnectFailed, Cause::Unspecified, none).await;
            }
            ExchangeCommand::SetUp(_) | ExchangeCommand::Release { .. } => self.waiting.push_back((id, far)),
            // A set-up that has not left needs no giving up: it is taken back.
            ExchangeCommand::CancelSetUp { .. } => {
                self.waiting.retain(|(w, f)| *w != id || !matches!(f, ExchangeCommand::SetUp(_)));
            }
        }
        self.connect();
    }

    /// What waited for a connection gets none.
    pub(super) async fn fail_waiting(&mut self) {
        let (set_ups, releases): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, far)| matches!(far, ExchangeCommand::SetUp(_)));
        self.waiting.extend(releases);
        for (id, far) in set_ups {
            if let ExchangeCommand::SetUp(set_up) = far {
                let leg = Some(set_up.leg);
                self.ended(id, leg, Outcome::ConnectFailed, Cause::Unspecified, LoadReport::default()).await;
            }
        }
    }

    fn request(&self, method: &str, number: &str, id: &CallId, cseq: u32) -> Message {
        Message::request(method, &format!("sip:{number}@net"))
            .with("Via", format_args!("SIP/2.0/TCP {}", self.context.name))
            .with("Call-ID", &id.0)
            .with("CSeq", format_args!("{cseq} {method}"))
    }

    /// Puts a command on a connection: a set-up where the fewest are open, a release where something was heard last.
    pub(super) fn put(&mut self, id: CallId, far: ExchangeCommand) {
        let (no, message) = match far {
            ExchangeCommand::SetUp(SetUp {
                leg,
                class,
                number,
                width,
                direct,
                description,
                abandon_at: until,
            }) => {
                let sent = self.now();
                let left = ((until - sent) * 1000.0).max(1.0);
                let mut message = self.request("INVITE", &number, &id, 1);
                message = message.with("X-Tier", class).with("X-Deadline", left.round());
                message.body = description.to_vec();
                let emptiest = self.connections.iter_mut().min_by_key(|(_, c)| (c.doubts, c.open.len()));
                let Some((no, connection)) = emptiest else { return };
                connection.open.insert(id, PendingInvite { leg, width, sent, until, direct });
                (*no, message)
            }
            // Given up where it is out.
            ExchangeCommand::CancelSetUp { .. } => return,
            ExchangeCommand::Release { .. } => {
                let latest = self.connections.iter().max_by(|(_, a), (_, b)| a.heard.0.total_cmp(&b.heard.0));
                let Some((no, _)) = latest else { return };
                (*no, self.request("BYE", "call", &id, 2).with("Reason", "Q.850;cause=16"))
            }
        };
        self.write(no, &message);
    }

    async fn give_up(&mut self, id: CallId, leg: u32) {
        let now = self.now();
        let open = |c: &super::Connection| c.open.get(&id).is_some_and(|invite| invite.leg == leg);
        let Some((no, connection)) = self.connections.iter_mut().find(|(_, c)| open(c)) else { return };
        let Some(invite) = connection.open.remove(&id) else { return };
        let no = *no;
        if invite.direct && now >= invite.until && connection.answered <= invite.sent {
            connection.doubts += 1;
        }
        self.call_off(no, id);
        self.replace(no);
    }

    fn call_off(&mut self, no: u64, id: CallId) {
        self.write(no, &self.request("CANCEL", "call", &id, 1));
        self.given_up.push_back(id);
        if self.given_up.len() > GIVEN_UP {
            self.given_up.pop_front();
        }
    }

    /// Calls off what is lost: a line goes in its order, and a set-up for it that was sent later stands.
    async fn call_off_lost(&mut self) {
        let (now, latest) = (self.now(), self.latest_answered);
        let overtaken = |invite: &PendingInvite| {
            let patience = OVERTAKEN * (invite.until - invite.sent);
            invite.direct && invite.sent < latest && now - invite.sent >= patience
        };
        let mut lost = Vec::new();
        for (no, connection) in &mut self.connections {
            let open = std::mem::take(&mut connection.open);
            let (gone, kept): (BTreeMap<_, _>, _) = open.into_iter().partition(|(_, i)| overtaken(i));
            connection.open = kept;
            for (id, invite) in gone {
                connection.doubts += u32::from(connection.answered <= invite.sent);
                lost.push((*no, id, invite.leg));
            }
        }
        for (no, id, leg) in lost {
            tracing::debug!(office = self.office.0, call = id.0, "set-up overtaken: called off");
            self.call_off(no, id.clone());
            self.ended(id, Some(leg), Outcome::Cancelled, Cause::Unspecified, LoadReport::default()).await;
            self.replace(no);
        }
    }

    pub(super) async fn message(&mut self, no: u64, message: Message) {
        let id = CallId(message.get("Call-ID").unwrap_or("").to_owned());
        let report = report_of(&message);
        match message.method() {
            Some("NOTIFY") => self.tell(CallEvent::Status { exchange: self.office, report }).await,
            Some("BYE") => {
                self.write(no, &Message::response(200, "OK", &message.headers));
                self.liveness.over(&id);
                let whole = cause(&message) == Some(16);
                self.tell(CallEvent::ExchangeReleased {
                    id,
                    exchange: self.office,
                    completed: whole,
                    report,
                })
                .await;
            }
            Some("OPTIONS") => self.write(no, &Message::response(200, "OK", &message.headers)),
            Some("ACK") => {}
            Some(_) => self.write(no, &Message::response(405, "Method Not Allowed", &message.headers)),
            None => self.response(no, id, message, report).await,
        }
    }

    async fn response(&mut self, no: u64, id: CallId, message: Message, report: LoadReport) {
        let (Some(status), Some((_, "INVITE"))) = (message.status(), message.cseq()) else { return };
        if status < 200 {
            return;
        }
        // Answers are matched by Call-ID and method alone: the number in CSeq tells no attempt.
        let now = self.now();
        let invite = self.connections.get_mut(&no).and_then(|connection| {
            (connection.answered, connection.doubts) = (now, 0);
            connection.open.remove(&id)
        });
        let leg = invite.as_ref().map(|invite| invite.leg);
        let crossed = self.given_up.iter().position(|given_up| *given_up == id);
        if leg.is_none() && crossed.is_none() {
            // A second copy, or an id that nobody asked for: it ends nothing that is open elsewhere.
            tracing::debug!(office = self.office.0, call = id.0, "answer to nothing that is open");
            return;
        }
        self.write(no, &self.request("ACK", "call", &id, 1));
        if leg.is_none() {
            crossed.and_then(|ix| self.given_up.remove(ix));
        }
        if status < 300 {
            if let Some(invite) = &invite {
                self.liveness.stands(now, no, id.clone(), invite.width);
            }
            let description = Arc::from(message.body);
            self.tell(CallEvent::Answered { id, exchange: self.office, leg, description }).await;
            if let Some(invite) = invite.filter(|i| i.direct && i.sent > self.latest_answered) {
                self.latest_answered = invite.sent;
                self.call_off_lost().await;
            }
            return;
        }
        let (outcome, why) = verdict(status, message.get("X-Outcome"));
        if leg.is_some() {
            self.ended(id, leg, outcome, why, report).await;
        } else if report != LoadReport::default() {
            self.tell(CallEvent::Status { exchange: self.office, report }).await;
        }
    }
}

/// The report that a message carries in `X-Gauges`; what can't be read is left out.
pub(super) fn report_of(message: &Message) -> LoadReport {
    let pairs = message.get("X-Gauges").unwrap_or_default().split(';').filter_map(|pair| {
        let (name, value) = pair.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    });
    wire::report(&pairs.collect::<BTreeMap<String, f64>>())
}
