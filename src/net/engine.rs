//! The actor of the module: holds the call table, hears all other actors and sends its commands out.

use std::collections::BTreeMap;
use std::time::Duration;

use smol::channel::{Receiver, Sender};
use smol::Timer;

use super::bulletin::Listed;
use super::clock::{Alarms, Clock, Due};
use super::peer::{self, PeerMail, Shared};
use super::platform::FrontMail;
use super::sip::SipMail;
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
pub enum EngineMail {
    /// Something for the core.
    Input(CallEvent),
    /// News of the exchanges.
    List {
        /// The whole list, or changes.
        whole: bool,
        /// Its lines.
        listed: Vec<Listed>,
    },
    /// The administration looks at the tenants.
    Tenants(Sender<Vec<(Tenant, Counts)>>),
    /// The administration changes them.
    Change(Vec<Change>, Sender<Result<(), ChangeError>>),
    /// States have been waited for long enough.
    Patience,
    /// The program is to end once no call is left.
    Drain,
    /// A look at whether any is.
    Look,
    /// After [`EngineMail::Drain`]: the platform's front has no connection left and accepts none.
    CallersLeft,
    /// Time to log the counters.
    Summary,
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
    pub own: Option<ExchangeNumber>,
    /// No caller waits longer than this.
    pub longest_deadline: Secs,
    /// What the actors of exchanges need.
    pub peers: Shared,
    /// The own mailbox.
    pub mailbox: Sender<EngineMail>,
    /// The clock's actor.
    pub alarms: Alarms,
    /// The platform's front, unless it is off.
    pub platform: Option<Sender<FrontMail>>,
    /// The SIP front, unless it is off.
    pub sip: Option<Sender<SipMail>>,
    /// The exchanges that speak SIP: they are on no list and always on.
    pub sip_offices: Vec<RosterEntry>,
}

impl Engine {
    /// Runs until the program has drained.
    pub async fn run(mut self, mail: Receiver<EngineMail>) {
        let mut peers: BTreeMap<ExchangeId, Sender<PeerMail>> = BTreeMap::new();
        let mut commands = Vec::new();
        let (mut ready, mut patient) = (false, true);
        let mut drain_at: Option<Time> = None;
        let mut shutdown: Option<Shutdown> = None;
        let mut callers_left = self.platform.is_none();
        self.later(PATIENCE, || EngineMail::Patience);
        self.later(SUMMARY, || EngineMail::Summary);
        while let Ok(mail) = mail.recv().await {
            let now = self.clock.now();
            tracing::trace!(?mail);
            match mail {
                EngineMail::Input(input) => self.table.handle(now, input, &mut commands),
                EngineMail::List { whole, listed } => {
                    tracing::info!(whole, lines = listed.len(), "list");
                    let gone = self.follow(whole, &listed, &mut peers);
                    let mut offices: Vec<_> = listed.into_iter().map(|l| l.office).collect();
                    if whole {
                        offices.extend(self.sip_offices.iter().cloned());
                    }
                    self.table.handle(
                        now,
                        CallEvent::Roster { full: whole, entries: offices },
                        &mut commands,
                    );
                    self.carry_out(&mut commands, &peers).await;
                    for office in gone {
                        if let Some(peer) = peers.remove(&office) {
                            self.inform(&peer, PeerMail::Condition(ServiceState::Removed));
                        }
                    }
                }
                EngineMail::Tenants(reply) => {
                    // Whoever asked may have left.
                    let _ = reply.try_send(self.table.tenants().list());
                }
                EngineMail::Change(changes, reply) => {
                    tracing::info!(?changes, "tenants changed");
                    let _ = reply.try_send(self.table.tenants_mut().apply(&changes));
                }
                EngineMail::Patience => patient = false,
                EngineMail::Drain => {
                    tracing::info!(
                        open = self.table.waiting_count(),
                        standing = self.table.established_count(),
                        "draining"
                    );
                    drain_at = drain_at.or(Some(now));
                    let begun = *shutdown.get_or_insert(Shutdown::begin(now, self.longest_deadline));
                    if let Some(platform) = self.platform.clone() {
                        // This actor waits for no other.
                        let told = async move { post(&platform, FrontMail::Drain(begun)).await };
                        self.tasks.spawn(told).detach();
                    }
                    self.later(LOOK, || EngineMail::Look);
                }
                EngineMail::Look => {
                    let waited = drain_at.is_some_and(|at| now - at >= LINGER);
                    if waited
                        && callers_left
                        && self.table.waiting_count() + self.table.established_count() == 0
                    {
                        tracing::info!(counters = telemetry::summary(), "drained");
                        return;
                    }
                    if shutdown.is_some_and(|s| !s.accepts_set_ups(now)) {
                        self.table.stop_admitting();
                    }
                    if shutdown.is_some_and(|s| s.must_refuse_open(now)) {
                        self.table.refuse_waiting(&mut commands);
                    }
                    self.later(LOOK, || EngineMail::Look);
                }
                EngineMail::CallersLeft => callers_left = true,
                EngineMail::Summary => {
                    telemetry::set_call_record_bytes(self.table.bytes_in_use());
                    tracing::info!(counters = telemetry::summary(), "counters since the start");
                    self.later(SUMMARY, || EngineMail::Summary);
                }
            }
            self.carry_out(&mut commands, &peers).await;
            if !ready && (self.table.informed() || !patient) {
                ready = true;
                tracing::info!(informed = self.table.informed(), "ready");
                if let Some(platform) = &self.platform {
                    let _ = platform.try_send(FrontMail::Ready);
                }
            }
        }
    }

    fn later(&self, after: Duration, mail: fn() -> EngineMail) {
        let mailbox = self.mailbox.clone();
        let wait = async move {
            Timer::after(after).await;
            post(&mailbox, mail()).await;
        };
        self.tasks.spawn(wait).detach();
    }

    /// Tells an exchange's actor of news.
    fn inform(&self, peer: &Sender<PeerMail>, news: PeerMail) {
        // Its mailbox has no bound, and it ends by such news alone.
        let _ = peer.try_send(news);
    }

    /// Starts an actor for every new exchange and tells the others; returns those that are gone.
    fn follow(
        &self,
        whole: bool,
        listed: &[Listed],
        peers: &mut BTreeMap<ExchangeId, Sender<PeerMail>>,
    ) -> Vec<ExchangeId> {
        let mut gone = Vec::new();
        for Listed { office, addr } in listed {
            let id = office.id;
            match office.state {
                ServiceState::Removed => gone.push(id),
                condition if self.own != Some(office.number) => {
                    let start = || peer::start(self.peers.clone(), id, *addr);
                    let peer = peers.entry(id).or_insert_with(start);
                    self.inform(peer, PeerMail::Condition(condition));
                    if let Some(at) = office.ready_at {
                        self.inform(peer, PeerMail::Started(at));
                    }
                }
                _ => {}
            }
        }
        if whole {
            gone.extend(peers.keys().filter(|id| !listed.iter().any(|l| l.office.id == **id)));
        }
        gone
    }

    async fn carry_out(
        &mut self,
        commands: &mut Vec<CallEffect>,
        peers: &BTreeMap<ExchangeId, Sender<PeerMail>>,
    ) {
        // A command that can't be delivered may bring more.
        while !commands.is_empty() {
            for command in std::mem::take(commands) {
                tracing::trace!(?command);
                match command {
                    CallEffect::Caller(front, id, near) => {
                        let told = match front {
                            Front::Platform => {
                                let mail = FrontMail::Near(id, near);
                                self.platform.as_ref().is_some_and(|front| front.try_send(mail).is_ok())
                            }
                            Front::Sip => {
                                let mail = SipMail::Near(id, near);
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
                        let sent = if self.sip_offices.iter().any(|o| o.id == office) {
                            let mail = SipMail::Far(office, id.clone(), far);
                            self.sip.as_ref().is_some_and(|front| front.try_send(mail).is_ok())
                        } else {
                            let mail = PeerMail::Command(id.clone(), far);
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
                        if self.alarms.try_send((at, Due::Core(wake))).is_err() {
                            tracing::error!("the clock has ended: an alarm is lost");
                        }
                    }
                    CallEffect::Log(text) => tracing::warn!("{text}"),
                }
            }
        }
    }
}
