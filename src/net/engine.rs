//! The engine actor: owns the call table, feeds it the events of all other actors and carries out its effects.

use std::collections::BTreeMap;
use std::time::Duration;

use smol::channel::{Receiver, Sender};
use smol::Timer;

use super::clock::{Clock, TimerKind, TimerSender};
use super::peer::{self, PeerActorMessage, PeerContext};
use super::platform::PlatformMessage;
use super::roster::ListedExchange;
use super::sip::SipFrontMessage;
use super::{post, Executor};
use crate::calls::tenants::{Change, ChangeError, Counts, Tenant};
use crate::calls::{CallEffect, CallEvent, ExchangeCommand, Front, Table};
use crate::interface::*;
use crate::recovery::attempt_end::AttemptEnd;
use crate::recovery::shutdown::Shutdown;
use crate::telemetry;

/// The proxy reports itself ready after this time even if the state of some trunk group has not arrived.
const READINESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two summaries of the counters in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);
/// Interval of the checks whether a shutdown is complete.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Logs a roster update; changes of single exchanges with their states and start times.
fn record_roster(full: bool, listed: &[ListedExchange]) {
    tracing::info!(whole = full, lines = listed.len(), "list");
    for ListedExchange { entry, addr } in listed.iter().filter(|_| !full) {
        let started_at = entry.ready_at.map(|at| at.0);
        tracing::info!(office = entry.id.0, %addr, state = ?entry.state, started_at, "list entry");
    }
}

/// Messages to the engine actor.
#[derive(Debug)]
pub enum EngineMessage {
    /// An event for the call table.
    Input(CallEvent),
    /// An update of the roster.
    Roster {
        /// The entries are the whole roster; otherwise they are changes.
        full: bool,
        /// The roster entries with their addresses.
        listed: Vec<ListedExchange>,
    },
    /// The administration reads the tenants.
    ListTenants(Sender<Vec<(Tenant, Counts)>>),
    /// The administration changes tenants.
    ChangeTenants(Vec<Change>, Sender<Result<(), ChangeError>>),
    /// The wait for the states of the trunk groups is over.
    ReadinessTimeout,
    /// Shut down: end once no call is left.
    Drain,
    /// Check whether the shutdown is complete.
    CheckDrained,
    /// After [`EngineMessage::Drain`]: the platform front has no connection left and accepts no more.
    CallersDisconnected,
    /// The SIP front's answer to [`SipFrontMessage::CheckDrained`].
    SipWork {
        /// Whether it has something left to do.
        pending: bool,
    },
    /// Log the counters.
    LogSummary,
}

/// A shutdown in progress, as the engine sees it.
struct Drain {
    shutdown: Shutdown,
    /// The platform front has no connection left and accepts no more.
    callers_disconnected: bool,
    /// When the call table was first seen without a call.
    last_call_ended: Option<Time>,
    /// The SIP front has something left to do, or has not reported yet that it has nothing.
    sip_work_pending: bool,
}

/// State of the engine actor.
pub struct Engine {
    /// The call table.
    pub table: Table,
    /// The clock.
    pub clock: Clock,
    /// Executor of new actors.
    pub tasks: Executor,
    /// The number of the own exchange.
    pub own_exchange: Option<ExchangeNumber>,
    /// The longest time in seconds that a caller of any class waits.
    pub longest_deadline: Secs,
    /// Shared by the actors of all exchanges.
    pub peer_context: PeerContext,
    /// Mailbox of this actor.
    pub mailbox: Sender<EngineMessage>,
    /// Mailbox of the clock actor.
    pub timers: TimerSender,
    /// Mailbox of the platform front, if it is configured.
    pub platform: Option<Sender<PlatformMessage>>,
    /// Mailbox of the SIP front, if it is configured.
    pub sip: Option<Sender<SipFrontMessage>>,
    /// The exchanges reached over SIP. The roster does not list them, and they are always in service.
    pub sip_exchanges: Vec<RosterEntry>,
}

impl Engine {
    /// Runs until a shutdown is requested and all calls have drained.
    pub async fn run(mut self, messages: Receiver<EngineMessage>) {
        let mut peers: BTreeMap<ExchangeId, Sender<PeerActorMessage>> = BTreeMap::new();
        let mut effects = Vec::new();
        let (mut ready, mut awaiting_status) = (false, true);
        let mut drain: Option<Drain> = None;
        self.post_later(READINESS_TIMEOUT, || EngineMessage::ReadinessTimeout);
        self.post_later(SUMMARY_INTERVAL, || EngineMessage::LogSummary);
        while let Ok(message) = messages.recv().await {
            let now = self.clock.now();
            tracing::trace!(mail = ?message);
            match message {
                EngineMessage::Input(input) => self.table.handle(now, input, &mut effects),
                EngineMessage::Roster { full, listed } => {
                    record_roster(full, &listed);
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
                    // The requester may have disconnected.
                    let _ = reply.try_send(self.table.tenants().list());
                }
                EngineMessage::ChangeTenants(changes, reply) => {
                    tracing::info!(?changes, "tenants changed");
                    let _ = reply.try_send(self.table.tenants_mut().apply(&changes));
                }
                EngineMessage::ReadinessTimeout => awaiting_status = false,
                EngineMessage::Drain => {
                    tracing::info!(
                        open = self.table.waiting_count(),
                        standing = self.table.established_count(),
                        "draining"
                    );
                    if drain.is_none() {
                        drain = Some(self.begin_drain(now));
                    }
                }
                EngineMessage::CheckDrained => {
                    if drain.as_mut().is_some_and(|drain| self.advance_drain(now, drain, &mut effects)) {
                        tracing::info!(counters = telemetry::summary(), "drained");
                        return;
                    }
                    self.post_later(DRAIN_CHECK_INTERVAL, || EngineMessage::CheckDrained);
                }
                EngineMessage::CallersDisconnected => {
                    if let Some(drain) = &mut drain {
                        drain.callers_disconnected = true;
                    }
                }
                EngineMessage::SipWork { pending } => {
                    if let Some(drain) = &mut drain {
                        drain.sip_work_pending = pending;
                    }
                }
                EngineMessage::LogSummary => {
                    telemetry::set_call_record_bytes(self.table.bytes_in_use());
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

    /// Starts a shutdown: tells the platform front, and schedules the first check.
    fn begin_drain(&self, now: Time) -> Drain {
        let shutdown = Shutdown::begin(now, self.longest_deadline);
        if let Some(platform) = self.platform.clone() {
            // Sent from a task of its own, as this actor never waits for another one.
            let send_drain = async move { post(&platform, PlatformMessage::Drain(shutdown)).await };
            self.tasks.spawn("drain request", send_drain);
        }
        self.post_later(DRAIN_CHECK_INTERVAL, || EngineMessage::CheckDrained);
        Drain {
            shutdown,
            callers_disconnected: self.platform.is_none(),
            last_call_ended: None,
            sip_work_pending: self.sip.is_some(),
        }
    }

    /// Advances a shutdown; returns whether the proxy may exit.
    fn advance_drain(&mut self, now: Time, drain: &mut Drain, effects: &mut Vec<CallEffect>) -> bool {
        if drain.shutdown.accepts_set_ups(now) {
            return false;
        }
        self.table.stop_admitting();
        if drain.shutdown.must_refuse_open(now) {
            self.table.refuse_waiting(now, effects);
        }
        if self.table.waiting_count() + self.table.established_count() > 0 {
            drain.last_call_ended = None;
            drain.sip_work_pending = self.sip.is_some();
            return false;
        }
        let last_call_ended = *drain.last_call_ended.get_or_insert(now);
        if let Some(sip) = &self.sip {
            // If the front has ended, the time limit of the releases ends the wait for its report.
            let _ = sip.try_send(SipFrontMessage::CheckDrained);
        }
        let releases_pending = drain.sip_work_pending
            || !self.peer_context.release_backlog.is_empty()
            || self.peer_context.buffers.total_bytes() > 0;
        drain.callers_disconnected && drain.shutdown.may_exit(now, last_call_ended, releases_pending)
    }

    fn post_later(&self, after: Duration, message: fn() -> EngineMessage) {
        let mailbox = self.mailbox.clone();
        let wait = async move {
            Timer::after(after).await;
            post(&mailbox, message()).await;
        };
        self.tasks.spawn("engine timer", wait);
    }

    /// Sends a message to the actor of an exchange.
    fn send_to_peer(&self, peer: &Sender<PeerActorMessage>, message: PeerActorMessage) {
        // The mailbox is unbounded, and the actor ends only when it is told that its exchange was removed.
        let _ = peer.try_send(message);
    }

    /// Starts an actor for each new exchange and updates the others. Returns the removed exchanges.
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

    /// Carries out the effects that the call table asked for.
    async fn apply_effects(
        &mut self,
        effects: &mut Vec<CallEffect>,
        peers: &BTreeMap<ExchangeId, Sender<PeerActorMessage>>,
    ) {
        // A set-up that can't be delivered makes the call table produce more effects.
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
                            tracing::error!("a front has ended: command to a caller lost");
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
                            tracing::warn!(office = exchange_id.0, "exchange has no actor: set-up not sent");
                            let (end, cause) = (AttemptEnd::NeverSent, Cause::Unspecified);
                            let (leg, report) = (Some(leg), LoadReport::default());
                            let exchange = exchange_id;
                            let input = CallEvent::SetUpFailed { id, exchange, leg, end, cause, report };
                            self.table.handle(self.clock.now(), input, effects);
                        }
                    }
                    CallEffect::StartTimer(at, timer) => {
                        if self.timers.try_send((at, TimerKind::Call(timer))).is_err() {
                            tracing::error!("the clock actor has ended: timer lost");
                        }
                    }
                    CallEffect::Log(text) => tracing::warn!("{text}"),
                }
            }
        }
    }
}
