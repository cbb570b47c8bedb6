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
const PATIENCE: Duration = Duration::from_secs(3);
/// After SIGTERM requests keep coming for a while, on the SIP front too.
const LINGER: Secs = 1.0;
/// Between two summaries of the counters in the log.
const SUMMARY: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);

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
    pub async fn run(mut self, mail: Receiver<EngineMessage>) {
        let mut peers: BTreeMap<ExchangeId, Sender<PeerActorMessage>> = BTreeMap::new();
        let mut commands = Vec::new();
        let (mut ready, mut patient) = (false, true);
        let mut drain_at: Option<Time> = None;
        let mut shutdown: Option<Shutdown> = None;
        let mut callers_left = self.platform.is_none();
        self.later(PATIENCE, || EngineMessage::ReadinessTimeout);
        self.later(SUMMARY, || EngineMessage::LogSummary);
        while let Ok(mail) = mail.recv().await {
            let now = self.clock.now();
            tracing::trace!(?mail);
            match mail {
                EngineMessage::Input(input) => self.table.handle(now, input, &mut commands),
                EngineMessage::Roster { full, listed } => {
                    tracing::info!(whole = full, lines = listed.len(), "list");
                    let gone = self.follow(full, &listed, &mut peers);
                    let mut offices: Vec<_> = listed.into_iter().map(|l| l.entry).collect();
                    if full {
                        offices.extend(self.sip_exchanges.iter().cloned());
                    }
                    self.table.handle(now, CallEvent::Roster { full, entries: offices }, &mut commands);
                    self.carry_out(&mut commands, &peers).await;
                    for office in gone {
                        if let Some(peer) = peers.remove(&office) {
                            self.inform(&peer, PeerActorMessage::StateChanged(ServiceState::Removed));
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
                EngineMessage::ReadinessTimeout => patient = false,
                EngineMessage::Drain => {
                    tracing::info!(open = self.table.open(), standing = self.table.standing(), "draining");
                    drain_at = drain_at.or(Some(now));
                    let begun = *shutdown.get_or_insert(Shutdown::begin(now, self.longest_deadline));
                    if let Some(platform) = self.platform.clone() {
                        // This actor waits for no other.
                        let told = async move { post(&platform, PlatformMessage::Drain(begun)).await };
                        self.tasks.spawn(told).detach();
                    }
                    self.later(LOOK, || EngineMessage::CheckDrained);
                }
                EngineMessage::CheckDrained => {
                    let waited = drain_at.is_some_and(|at| now - at >= LINGER);
                    if waited && callers_left && self.table.open() + self.table.standing() == 0 {
                        tracing::info!(counters = telemetry::summary(), "drained");
                        return;
                    }
                    if shutdown.is_some_and(|s| !s.admits(now)) {
                        self.table.stop_admitting();
                    }
                    if shutdown.is_some_and(|s| s.must_conclude(now)) {
                        self.table.refuse_open(&mut commands);
                    }
                    self.later(LOOK, || EngineMessage::CheckDrained);
                }
                EngineMessage::CallersDisconnected => callers_left = true,
                EngineMessage::LogSummary => {
                    telemetry::call_records(self.table.held_bytes());
                    tracing::info!(counters = telemetry::summary(), "counters since the start");
                    self.later(SUMMARY, || EngineMessage::LogSummary);
                }
            }
            self.carry_out(&mut commands, &peers).await;
            if !ready && (self.table.informed() || !patient) {
                ready = true;
                tracing::info!(informed = self.table.informed(), "ready");
                if let Some(platform) = &self.platform {
                    let _ = platform.try_send(PlatformMessage::Ready);
                }
            }
        }
    }

    fn later(&self, after: Duration, mail: fn() -> EngineMessage) {
        let mailbox = self.mailbox.clone();
        let wait = async move {
            Timer::after(after).await;
            post(&mailbox, mail()).await;
        };
        self.tasks.spawn(wait).detach();
    }

    /// Tells an exchange's actor of news.
    fn inform(&self, peer: &Sender<PeerActorMessage>, news: PeerActorMessage) {
        // Its mailbox has no bound, and it ends by such news alone.
        let _ = peer.try_send(news);
    }

    /// Starts an actor for every new exchange and tells the others; returns those that are gone.
    fn follow(
        &self,
        full: bool,
        listed: &[ListedExchange],
        peers: &mut BTreeMap<ExchangeId, Sender<PeerActorMessage>>,
    ) -> Vec<ExchangeId> {
        let mut gone = Vec::new();
        for ListedExchange { entry, addr } in listed {
            let id = entry.id;
            match entry.state {
                ServiceState::Removed => gone.push(id),
                condition if self.own_exchange != Some(entry.number) => {
                    let start = || peer::start(self.peer_context.clone(), id, *addr);
                    let peer = peers.entry(id).or_insert_with(start);
                    self.inform(peer, PeerActorMessage::StateChanged(condition));
                    if let Some(at) = entry.ready_at {
                        self.inform(peer, PeerActorMessage::StartedAt(at));
                    }
                }
                _ => {}
            }
        }
        if full {
            gone.extend(peers.keys().filter(|id| !listed.iter().any(|l| l.entry.id == **id)));
        }
        gone
    }

    async fn carry_out(
        &mut self,
        commands: &mut Vec<CallEffect>,
        peers: &BTreeMap<ExchangeId, Sender<PeerActorMessage>>,
    ) {
        // A command that can't be delivered may bring more.
        while !commands.is_empty() {
            for command in std::mem::take(commands) {
                tracing::trace!(?command);
                match command {
                    CallEffect::Caller(front, id, near) => {
                        let told = match front {
                            Front::Platform => {
                                let mail = PlatformMessage::ToCaller(id, near);
                                self.platform.as_ref().is_some_and(|front| front.try_send(mail).is_ok())
                            }
                            Front::Sip => {
                                let mail = SipFrontMessage::ToCaller(id, near);
                                self.sip.as_ref().is_some_and(|front| front.try_send(mail).is_ok())
                            }
                        };
                        if !told {
                            tracing::error!("a front has ended: an answer is lost");
                        }
                    }
                    CallEffect::Exchange(office, id, far) => {
                        let set_up = match &far {
                            ExchangeCommand::SetUp(set_up) => Some(set_up.leg),
                            _ => None,
                        };
                        let sent = if self.sip_exchanges.iter().any(|o| o.id == office) {
                            let mail = SipFrontMessage::ToExchange(office, id.clone(), far);
                            self.sip.as_ref().is_some_and(|front| front.try_send(mail).is_ok())
                        } else {
                            let mail = PeerActorMessage::Command(id.clone(), far);
                            peers.get(&office).is_some_and(|peer| peer.try_send(mail).is_ok())
                        };
                        if let (false, Some(leg)) = (sent, set_up) {
                            tracing::warn!(office = office.0, "no way to an exchange: its set-up never left");
                            let (outcome, why) = (Outcome::ConnectFailed, Cause::Unspecified);
                            let (leg, report) = (Some(leg), LoadReport::default());
                            let input = CallEvent::SetUpFailed {
                                id,
                                exchange: office,
                                leg,
                                outcome,
                                cause: why,
                                report,
                            };
                            self.table.handle(self.clock.now(), input, commands);
                        }
                    }
                    CallEffect::StartTimer(at, wake) => {
                        if self.timers.try_send((at, TimerKind::Call(wake))).is_err() {
                            tracing::error!("the clock has ended: an alarm is lost");
                        }
                    }
                    CallEffect::Log(text) => tracing::warn!("{text}"),
                }
            }
        }
    }
}
