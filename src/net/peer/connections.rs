//! The connections to one exchange: opened, lost, replaced and given up.

use std::time::Duration;

use smol::net::TcpStream;

use super::{Connection, Peer, PeerActorMessage, MAX_CONNECTIONS};
use crate::calls::{CallEvent, ExchangeCommand};
use crate::interface::*;
use crate::limits::connections::Purpose;
use crate::membership::liveness::Ending;
use crate::net::conn::ConnectionHandle;
use crate::net::permits::{Permit, PermitDecision};
use crate::net::with_timeout;
use crate::telemetry;

/// Between two tries to connect.
const RECONNECT_DELAY: Secs = 0.2;
/// Until another exchange has given a connection up.
const GIVE_UP_DELAY: Secs = 0.02;
/// A message that has begun and is not whole within this is no message.
const WHOLE_WITHIN: Duration = Duration::from_millis(400);
/// How long a connection is listened to after its way out was closed.
const RETIRING: Secs = 1.0;
/// The same where another exchange waits for its descriptor.
const RETIRING_IN_NEED: Secs = 0.25;

impl Peer {
    /// Opens what is missing, as far as the budget of connections allows.
    pub(super) fn connect(&mut self) {
        while !self.retrying && self.condition == ServiceState::InService {
            let there = self.connections.len() + self.connecting;
            if there >= MAX_CONNECTIONS {
                return;
            }
            let needed = !self.waiting.is_empty() || self.liveness.calls() > 0;
            let purpose = match there {
                0 if needed => Purpose::Needed,
                0 => Purpose::Idle,
                _ => Purpose::Another,
            };
            match self.context.permits.request(self.office, purpose) {
                PermitDecision::Granted(permit) => self.open_connection(permit),
                PermitDecision::Wait => return self.connect_again_after(GIVE_UP_DELAY),
                PermitDecision::Denied if purpose == Purpose::Needed => {
                    return self.connect_again_after(RECONNECT_DELAY)
                }
                // It is asked for again when it is needed.
                PermitDecision::Denied => return,
            }
        }
    }

    fn connect_again_after(&mut self, seconds: Secs) {
        if !std::mem::replace(&mut self.retrying, true) {
            self.later(seconds, PeerActorMessage::Reconnect);
        }
    }

    pub(super) fn open_connection(&mut self, permit: Permit) {
        self.connecting += 1;
        let (addr, mailbox) = (self.addr, self.own_mailbox.clone());
        let limit = Duration::from_secs_f64(self.context.connect_timeout.max(0.001));
        let connect = async move {
            let got = with_timeout(limit, TcpStream::connect(addr)).await;
            let _ = mailbox.send(PeerActorMessage::Connected(got, permit)).await;
        };
        self.context.tasks.spawn(connect).detach();
    }

    pub(super) fn connected(&mut self, stream: TcpStream, permit: Permit) {
        self.connecting -= 1;
        self.suspect = false;
        self.next += 1;
        let no = self.next;
        let wrap = move |heard| PeerActorMessage::Connection(no, heard);
        let (tasks, send_queues) = (&self.context.tasks, &self.context.send_queues);
        let conn =
            ConnectionHandle::open(tasks, send_queues, stream, self.own_mailbox.clone(), WHOLE_WITHIN, wrap);
        conn.prove();
        let since = self.now();
        let connection = Connection {
            conn,
            _permit: permit,
            since,
            heard: since,
            answered: since,
            doubts: 0,
            open: Default::default(),
        };
        self.connections.insert(no, connection);
        self.liveness.opened(since, no);
        if std::mem::take(&mut self.verify_next) {
            self.verifying = Some(no);
        }
        tracing::debug!(office = self.office.0, connection = no, addr = %self.addr, "connected");
        for (id, far) in std::mem::take(&mut self.waiting) {
            self.put(id, far);
        }
    }

    /// A connection does not come up. Where there is no other nothing ran, and if the last one was lost just before,
    /// the process is dead.
    pub(super) async fn refused(&mut self, error: std::io::Error) {
        self.connecting -= 1;
        self.verify_next = false;
        telemetry::exchange_connect_failed(&error);
        tracing::debug!(office = self.office.0, %error, "connection refused");
        if self.connections.is_empty() && self.connecting == 0 {
            self.fail_waiting().await;
            // One that does not come up in time says less: the lease of the calls decides.
            let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            if refused && std::mem::take(&mut self.suspect) {
                self.died().await;
            }
        }
        self.connect_again_after(RECONNECT_DELAY);
    }

    async fn died(&mut self) {
        tracing::warn!(office = self.office.0, "exchange died: its calls are released");
        self.suspect = false;
        self.liveness.died();
        self.tell(CallEvent::ExchangeDown(self.office)).await;
    }

    pub(super) async fn lost(&mut self, no: u64, why: String, ours: bool, ending: Ending) {
        let Some(lost) = self.connections.remove(&no) else { return };
        self.liveness.closed(self.now(), no, ending);
        self.verifying = self.verifying.filter(|verifying| *verifying != no);
        telemetry::exchange_connection_lost();
        if ours {
            // An answer may have crossed, or was the one that could not be read: nothing is left standing for it.
            for (id, invite) in &lost.open {
                let release = ExchangeCommand::Release { leg: Some(invite.leg) };
                match self.connections.is_empty() {
                    true => self.waiting.push_back((id.clone(), release)),
                    false => self.put(id.clone(), release),
                }
            }
        }
        tracing::info!(
            office = self.office.0,
            connection = no,
            why,
            open = lost.open.len(),
            "connection lost"
        );
        let last = self.connections.is_empty();
        self.suspect |= last;
        self.connect();
        self.end_open(lost).await;
        if last && self.condition == ServiceState::Draining {
            // It has stopped. Whoever listens at its address next is another one, and is on the list as such.
            self.died().await;
        }
    }

    pub(super) async fn end_open(&mut self, connection: Connection) {
        for (id, invite) in connection.open {
            self.ended(id, Some(invite.leg), Outcome::Reset, Cause::Unspecified, LoadReport::default()).await;
        }
    }

    /// Replaces a connection that brought no answer to what was sent last, once nothing is open on it.
    pub(super) fn replace(&mut self, no: u64) {
        if self.connections.get(&no).is_none_or(|c| c.doubts == 0 || !c.open.is_empty()) {
            return;
        }
        tracing::info!(office = self.office.0, connection = no, "connection without answers: replaced");
        self.finish(no, RETIRING);
        self.connect();
    }

    /// Closes the connection that has been quiet the longest, where there are more than are wanted.
    pub(super) fn finish_surplus(&mut self, keep: u64) {
        if self.connections.len() > MAX_CONNECTIONS && self.verifying.is_none() {
            if let Some(no) = self.quietest(Some(keep)) {
                self.finish(no, RETIRING);
            }
        }
    }

    /// The connection without open set-ups that has been quiet the longest.
    fn quietest(&self, keep: Option<u64>) -> Option<u64> {
        let free = self.connections.iter().filter(|(no, c)| Some(**no) != keep && c.open.is_empty());
        free.min_by(|(_, a), (_, b)| a.heard.0.total_cmp(&b.heard.0)).map(|(no, _)| *no)
    }

    /// Closes the way out of a connection; what the other side still says on it, as a release, is heard for a while.
    fn finish(&mut self, no: u64, retiring: Secs) {
        let Some(connection) = self.connections.remove(&no) else { return };
        connection.conn.finish();
        self.liveness.closed(self.now(), no, Ending::Broken);
        self.verifying = self.verifying.filter(|verifying| *verifying != no);
        self.retired.insert(no, (connection.conn, connection._permit));
        self.later(retiring, PeerActorMessage::RetirementOver(no));
    }

    /// Another exchange needs a connection more: the quietest goes, unless calls depend on it.
    pub(super) async fn give_up_connection(&mut self) {
        let only = self.connections.len() + self.connecting <= 1;
        let quietest = self.quietest(None).filter(|_| !(only && self.is_busy()));
        let Some(no) = quietest else { return self.context.permits.decline_release(self.office) };
        tracing::debug!(office = self.office.0, connection = no, "connection given up for another exchange");
        if self.liveness.calls() > 0 {
            return self.finish(no, RETIRING_IN_NEED);
        }
        self.connections.remove(&no);
        self.liveness.closed(self.now(), no, Ending::Broken);
        if self.connections.is_empty() {
            // Its state is not told any longer.
            self.tell(CallEvent::StatusLost(self.office)).await;
        }
    }

    /// Nothing new goes to an exchange that drains: its connections are closed once nothing is left there.
    pub(super) fn close_if_drained(&mut self) {
        if self.condition != ServiceState::Draining || self.is_busy() {
            return;
        }
        let left: Vec<u64> = self.connections.keys().copied().collect();
        for no in left {
            self.finish(no, RETIRING_IN_NEED);
        }
    }
}
