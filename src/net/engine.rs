//! The actor of the module: holds the call table, hears all other actors and sends its commands out.

use std::collections::BTreeMap;
use std::time::Duration;

use smol::channel::{Receiver, Sender};
use smol::Timer;

use super::clock::{Clock, TimerKind, TimerSender};
use super::peer::{self, PeerActorMessage, PeerContext};
use super::platform::PlatformMessage;
use super::roster::ListedExchange;
use super::sip::SipFrontMessage;
use super::{post, Tasks};
use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::calls::{CallEffect, CallEvent, ExchangeCommand, Front, Table};
use crate::interface::*;
use crate::recovery::shutdown::Shutdown;
use crate::telemetry;

/// A test passes after this time even if a state is still missing.
const READINESS_TIMEOUT: Duration = Duration::from_secs(3);
/// After SIGTERM requests keep coming for a while, on the SIP front too.
const MIN_DRAIN_TIME: Secs = 1.0;
/// Between two summaries of the counters in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What the actor is told.
#[derive(Debug)]
pub enum EngineMessage {
    /// Something for the core.
    Input(CallEvent),
    /// News of the exchanges.
    Roster {
        /// The whole list, or changes.
        full: bool,
        /// Its lines.
        listed: Vec<ListedExchange>,
    },
    /// The administration looks at the tenants.
    ListTenants(Sender<Vec<(Tenant, Counts)>>),
    /// The administration changes them.
    ChangeTenants(Vec<Change>, Sender<Result<(), ChangeError>>),
    /// States have been waited for long enough.
    ReadinessTimeout,
    /// The program is to end once no call is left.
    Drain,
    /// A look at whether any is.
    CheckDrained,
    /// After [`EngineMessage::Drain`]: the platform's front has no connection left and accepts none.
    CallersDisconnected,
    /// Time to log the counters.
    LogSummary,
}

/// The actor's state.
pub struct Engine {
    /// The call table.
    pub table: Table,
    /// Its clock.
    pub clock: Clock,
    /// Where new actors start.
    pub tasks: Tasks,
    /// The own exchange.
    pub own_exchange: Option<ExchangeNumber>,
    /// No caller waits longer than this.
    pub longest_deadline: Secs,
    /// What the actors of exchanges need.
    pub peer_context: PeerContext,
    /// The own mailbox.
    pub mailbox: Sender<EngineMessage>,
    /// The clock's actor.
    pub timers: TimerSender,
    /// The platform's front, unless it is off.
    pub platform: Option<Sender<PlatformMessage>>,
    /// The SIP front, unless it is off.
    pub sip: Option<Sender<SipFrontMessage>>,
    /// The exchanges that speak SIP: they are on no list and always on.
    pub sip_exchanges: Vec<RosterEntry>,
}

impl Engine {
    /// Runs until the program has drained.
    pub async fn run(mut self, messages: Receiver<EngineMessage>) {
        let mut peers: BTreeMap<ExchangeId, Sender<PeerActorMessage>> = BTreeMap::new();
        let mut effects = Vec::new();
        let (mut ready, mut awaiting_status) = (false, true);
        let mut drain_started: Option<Time> = None;
        let mut shutdown: Option<Shutdown> = None;
        let mut callers_disconnected = self.platform.is_none();
        self.post_later(READINESS_TIMEOUT, || EngineMessage::ReadinessTimeout);
        self.post_later(SUMMARY_INTERVAL, || EngineMessage::LogSummary);
        while let Ok(message) = messages.recv().await {
            let now = self.clock.now();
            tracing::trace!(mail = ?message);
            match message {
                EngineMessage::Input(input) => self.table.handle(now, input, &mut effects),
                EngineMessage::Roster { full, listed } => {
                    tracing::info!(whole = full, lines = listed.len(), "list");
                    let removed = self.apply_roster(full, &listed, &mut peers);
                    let mut entries: Vec<_> =
                        listed.into_iter().map(|listed_exchange| listed_exchange.entry).collect();
                    if full {
                        entries.extend(self.sip_exchanges.iter().cloned());
                    }
                    self.table.handle(now, CallEvent::Roster { full, entries }, &mut effects);
                    self.apply_effects(&mut effects, &peers).await;
                    for exchange_id in removed {
                        if let Some(peer) = peers.remove(&exchange_id) {
                            self.send_to_peer(&peer, PeerActorMessage::StateChanged(ServiceState::Removed));
                        }
                    }
                }
                EngineMessage::ListTenants(reply) => {
                    // Whoever asked may have left.
                    let _ = reply.try_send(self.table.tenants().list());
                }
                EngineMessage::ChangeTenants(changes, reply) => {
                    tracing::info!(?changes, "tenants changed");
                    let _ = reply.try_send(self.table.tenants_mut().change(&changes));
                }
                EngineMessage::ReadinessTimeout => awaiting_status = false,
                EngineMessage::Drain => {
                    tracing::info!(open = self.table.open(), standing = self.table.standing(), "draining");
                    drain_started = drain_started.or(Some(now));
                    let active_shutdown =
                        *shutdown.get_or_insert(Shutdown::begin(now, self.longest_deadline));
                    if let Some(platform) = self.platform.clone() {
                        // This actor waits for no other.
                        let send_drain =
                            async move { post(&platform, PlatformMessage::Drain(active_shutdown)).await };
                        self.tasks.spawn(send_drain).detach();
                    }
                    self.post_later(DRAIN_CHECK_INTERVAL, || EngineMessage::CheckDrained);
                }
                EngineMessage::CheckDrained => {
                    let lingered = drain_started.is_some_and(|at| now - at >= MIN_DRAIN_TIME);
                    if lingered && callers_disconnected && self.table.open() + self.table.standing() == 0 {
                        tracing::info!(counters = telemetry::summary(), "drained");
                        return;
                    }
                    if shutdown.is_some_and(|s| !s.admits(now)) {
                        self.table.stop_admitting();
                    }
                    if shutdown.is_some_and(|s| s.must_conclude(now)) {
                        self.table.refuse_open(&mut effects);
                    }
                    self.post_later(DRAIN_CHECK_INTERVAL, || EngineMessage::CheckDrained);
                }
                EngineMessage::CallersDisconnected => callers_disconnected = true,
                EngineMessage::LogSummary => {
                    telemetry::call_records(self.table.held_bytes());
                    tracing::info!(counters = telemetry::summary(), "counters since the start");
                    self.post_later(SUMMARY_INTERVAL, || EngineMessage::LogSummary);
                }
            }
            self.apply_effects(&mut effects, &peers).await;
            if !ready && (self.table.informed() || !awaiting_status) {
                ready = true;
                tracing::info!(informed = self.table.informed(), "ready");
                if let Some(platform) = &self.platform {
                    let _ = platform.try_send(PlatformMessage::Ready);
                }
            }
        }
    }

    fn post_later(&self, after: Duration, message: fn() -> EngineMessage) {
        let mailbox = self.mailbox.clone();
        let wait = async move {
            Timer::after(after).await;
            post(&mailbox, message()).await;
        };
        self.tasks.spawn(wait).detach();
    }

    /// Tells an exchange's actor of news.
    fn send_to_peer(&self, peer: &Sender<PeerActorMessage>, message: PeerActorMessage) {
        // Its mailbox has no bound, and it ends by such news alone.
        let _ = peer.try_send(message);
    }

    /// Starts an actor for every new exchange and tells the others; returns those that are gone.
    fn apply_roster(
        &self,
        full: bool,
        listed: &[ListedExchange],
        peers: &mut BTreeMap<ExchangeId, Sender<PeerActorMessage>>,
    ) -> Vec<ExchangeId> {
        let mut removed = Vec::new();
        for ListedExchange { entry, addr } in listed {
            let id = entry.id;
            match entry.state {
                ServiceState::Removed => removed.push(id),
                state if self.own_exchange != Some(entry.number) => {
                    let start = || peer::start(self.peer_context.clone(), id, *addr);
                    let peer = peers.entry(id).or_insert_with(start);
                    self.send_to_peer(peer, PeerActorMessage::StateChanged(state));
                    if let Some(at) = entry.ready_at {
                        self.send_to_peer(peer, PeerActorMessage::StartedAt(at));
                    }
                }
                _ => {}
            }
        }
        if full {
            removed.extend(
                peers
                    .keys()
                    .filter(|id| !listed.iter().any(|listed_exchange| listed_exchange.entry.id == **id)),
            );
        }
        removed
    }

    async fn apply_effects(
        &mut self,
        effects: &mut Vec<CallEffect>,
        peers: &BTreeMap<ExchangeId, Sender<PeerActorMessage>>,
    ) {
        // A command that can't be delivered may bring more.
        while !effects.is_empty() {
            for effect in std::mem::take(effects) {
                tracing::trace!(command = ?effect);
                match effect {
                    CallEffect::Caller(front, id, caller_command) => {
                        let delivered = match front {
                            Front::Platform => {
                                let message = PlatformMessage::ToCaller(id, caller_command);
                                self.platform.as_ref().is_some_and(|front| front.try_send(message).is_ok())
                            }
                            Front::Sip => {
                                let message = SipFrontMessage::ToCaller(id, caller_command);
                                self.sip.as_ref().is_some_and(|front| front.try_send(message).is_ok())
                            }
                        };
                        if !delivered {
                            tracing::error!("a front has ended: an answer is lost");
                        }
                    }
                    CallEffect::Exchange(exchange_id, id, exchange_command) => {
                        let set_up_leg = match &exchange_command {
                            ExchangeCommand::SetUp(set_up) => Some(set_up.leg),
                            _ => None,
                        };
                        let delivered_to_exchange =
                            if self.sip_exchanges.iter().any(|entry| entry.id == exchange_id) {
                                let message =
                                    SipFrontMessage::ToExchange(exchange_id, id.clone(), exchange_command);
                                self.sip.as_ref().is_some_and(|front| front.try_send(message).is_ok())
                            } else {
                                let message = PeerActorMessage::Command(id.clone(), exchange_command);
                                peers.get(&exchange_id).is_some_and(|peer| peer.try_send(message).is_ok())
                            };
                        if let (false, Some(leg)) = (delivered_to_exchange, set_up_leg) {
                            tracing::warn!(
                                office = exchange_id.0,
                                "no way to an exchange: its set-up never left"
                            );
                            let (outcome, cause) = (Outcome::ConnectFailed, Cause::Unspecified);
                            let (leg, report) = (Some(leg), LoadReport::default());
                            let input = CallEvent::SetUpFailed {
                                id,
                                exchange: exchange_id,
                                leg,
                                outcome,
                                cause,
                                report,
                            };
                            self.table.handle(self.clock.now(), input, effects);
                        }
                    }
                    CallEffect::StartTimer(at, timer) => {
                        if self.timers.try_send((at, TimerKind::Call(timer))).is_err() {
                            tracing::error!("the clock has ended: an alarm is lost");
                        }
                    }
                    CallEffect::Log(text) => tracing::warn!("{text}"),
                }
            }
        }
    }
}
