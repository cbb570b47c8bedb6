//! The actors that hold sockets: the platform's front, one for each exchange, the list, the clock, and the
//! module's own. All run on one thread; each owns its state and hears the others through its mailbox.

pub mod clock;
pub mod conn;
pub mod engine;
pub mod peer;
pub mod permits;
pub mod platform;
pub mod roster;
pub mod sip;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use smol::channel::{bounded, unbounded, Receiver, Sender};
use smol::net::{TcpListener, UdpSocket};
use smol::stream::StreamExt;
use smol::{future, Async, LocalExecutor, Timer};

use crate::admin::{self, Store};
use crate::calls::tenants::Tenants;
use crate::calls::Table;
use crate::config::Config;
use crate::limits::descriptors::DescriptorPlan;
use crate::limits::memory::MemoryPlan;
use crate::sip::agent::{ClassOfCall, Setup};
use conn::SendQueues;
use permits::Permits;

/// Where actors run.
pub type Tasks = Rc<LocalExecutor<'static>>;

/// Mails beyond which whoever brings more from outside waits. Mailboxes have no other bound: they cost what they hold,
/// and nothing that is owed can be lost in a full one.
const BACKPRESSURE_THRESHOLD: usize = 64;
const BACKPRESSURE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Hands something from outside to an actor once it has caught up; returns whether the actor is there.
pub(crate) async fn post_throttled<M>(mailbox: &Sender<M>, messages: M) -> bool {
    while mailbox.len() >= BACKPRESSURE_THRESHOLD {
        Timer::after(BACKPRESSURE_POLL_INTERVAL).await;
    }
    mailbox.send(messages).await.is_ok()
}

/// Sends to a mailbox; when its actor has ended the program ends as well.
pub(crate) async fn post<M>(mailbox: &Sender<M>, messages: M) {
    let _ = mailbox.send(messages).await;
}

/// Does something, or gives up after a time.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expired = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, expired).await
}

/// A signalling proxy whose sockets are bound.
#[derive(Debug)]
pub struct Node {
    config: Config,
    platform: Option<TcpListener>,
    sip: Option<(UdpSocket, TcpListener)>,
    http: Option<TcpListener>,
    netconf: Option<TcpListener>,
    stop: (Sender<()>, Receiver<()>),
    reload: (Sender<()>, Receiver<()>),
}

impl Node {
    /// Binds what the configuration names.
    pub fn bind(config: Config) -> io::Result<Node> {
        let listen = |addr: SocketAddr| Async::<std::net::TcpListener>::bind(addr).map(TcpListener::from);
        let platform = config.platform.as_ref().map(|p| listen(p.listen)).transpose()?;
        let sip = config.sip.as_ref().map(|s| bind_both(s.listen)).transpose()?;
        let http = config.admin.as_ref().and_then(|a| a.http.as_ref());
        let http = http.map(|(addr, _)| listen(*addr)).transpose()?;
        let netconf = config.admin.as_ref().and_then(|a| a.netconf.as_ref());
        let netconf = netconf.map(|(addr, ..)| listen(*addr)).transpose()?;
        Ok(Node { config, platform, sip, http, netconf, stop: bounded(1), reload: bounded(1) })
    }

    /// Where the SIP front listens.
    pub fn sip_addr(&self) -> Option<SocketAddr> {
        self.sip.as_ref().and_then(|(udp, _)| udp.local_addr().ok())
    }

    /// Where the platform's front listens.
    pub fn platform_addr(&self) -> Option<SocketAddr> {
        self.platform.as_ref().and_then(|tcp| tcp.local_addr().ok())
    }

    /// Where the tenants' API listens.
    pub fn http_addr(&self) -> Option<SocketAddr> {
        self.http.as_ref().and_then(|tcp| tcp.local_addr().ok())
    }

    /// Where NETCONF listens.
    pub fn netconf_addr(&self) -> Option<SocketAddr> {
        self.netconf.as_ref().and_then(|tcp| tcp.local_addr().ok())
    }

    /// Something to be sent to tell the program to drain and end, as SIGTERM does.
    pub fn shutdown_sender(&self) -> Sender<()> {
        self.stop.0.clone()
    }

    /// Something to be sent to tell the program to read its configuration again, as SIGHUP does.
    pub fn reload_sender(&self) -> Sender<()> {
        self.reload.0.clone()
    }

    /// Runs until it is told to end and has drained.
    pub fn run(self) -> io::Result<()> {
        let tasks: Tasks = Rc::new(LocalExecutor::new());
        let inner = tasks.clone();
        smol::block_on(tasks.run(self.serve(inner)))
    }

    async fn serve(self, tasks: Tasks) -> io::Result<()> {
        let Node { config, platform, sip, http, netconf, stop, reload } = self;
        let clock = clock::Clock::system();
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let origin = config.origin.clone();
        let mut roster_sources = None;
        let (engine, engine_messages) = unbounded();
        let (timers, timer_requests) = unbounded();
        let descriptors = DescriptorPlan::new(config.sockets, config.admin.is_some());
        let memory = MemoryPlan::new(config.memory_mb);
        tracing::info!(?descriptors, ?memory, "budgets");
        let send_queues = SendQueues::new(memory.queues);
        let permits = Permits::new(clock, descriptors.exchanges);
        let mut front = None;
        if let (Some(listener), Some(platform_config)) = (platform, config.platform) {
            let (mailbox, messages) = unbounded();
            let (source_sender, source_updates) = bounded(1);
            let (stop_accepting, stop_requests) = bounded(1);
            roster_sources = Some(source_sender);
            tasks.spawn(roster::run(platform_config.source, source_updates, engine.clone())).detach();
            let platform = platform::PlatformFront {
                tasks: tasks.clone(),
                engine: engine.clone(),
                mailbox: mailbox.clone(),
                clock,
                timers: timers.clone(),
                send_queues: send_queues.clone(),
                permits: permits.clone(),
                max_connections: descriptors.callers,
                max_release_bytes: memory.releases,
                stop_accepting,
            };
            tasks.spawn(platform.run(messages)).detach();
            tasks.spawn(platform::accept(listener, stop_requests, mailbox.clone())).detach();
            tracing::info!(name = config.name, listen = %platform_config.listen, "started");
            front = Some(mailbox);
        }
        let mut sip_front = None;
        let mut sip_exchanges = Vec::new();
        if let (Some((udp, tcp)), Some(sip_config)) = (sip, config.sip) {
            let (mailbox, messages) = unbounded();
            let addr = udp.local_addr()?;
            tracing::info!(name = config.name, listen = %addr, "SIP over UDP and TCP started");
            sip_exchanges = sip_config.exchanges.iter().map(|e| e.line()).collect();
            let class = |c: &crate::interface::Class| ClassOfCall {
                name: c.name.clone(),
                give_up: c.give_up_after,
                width: c.width,
            };
            let setup = Setup {
                addr,
                classes: config.settings.classes.iter().map(class).collect(),
                urgent: sip_config.urgent_class,
                exchanges: sip_config.exchanges,
                seed: config.seed ^ 0x51b,
            };
            let sip = sip::SipFront {
                tasks: tasks.clone(),
                clock,
                engine: engine.clone(),
                mailbox: mailbox.clone(),
                timers: timers.clone(),
                send_queues: send_queues.clone(),
                connect_timeout: config.connect_timeout,
                max_connections: config.sockets / 3,
            };
            tasks.spawn(sip.run(setup, udp, tcp, messages)).detach();
            sip_front = Some(mailbox);
        }
        tasks
            .spawn(clock::run(clock, timer_requests, engine.clone(), sip_front.clone(), front.clone()))
            .detach();
        if let Some(admin) = config.admin {
            let store = Rc::new(Store::new(engine.clone(), admin.store));
            if let (Some(listener), Some((_, tokens))) = (http, admin.http) {
                tasks.spawn(admin::http::run(tasks.clone(), listener, store.clone(), tokens)).detach();
            }
            if let (Some(listener), Some((_, tls, clients))) = (netconf, admin.netconf) {
                let server = admin::netconf::Server { tasks: tasks.clone(), store, tls, clients };
                tasks.spawn(server.run(listener)).detach();
            }
        }
        let (drain_requests, reload_requests) = (engine.clone(), reload.0);
        let handle_signals = async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    // One that waits already reads the same file.
                    Ok(Signal::Hup) => drop(reload_requests.try_send(())),
                    _ => post(&drain_requests, engine::EngineMessage::Drain).await,
                }
            }
        };
        tasks.spawn(handle_signals).detach();
        let reloads = reload.1;
        let reload_sources = async move {
            let mut origin = origin;
            while reloads.recv().await.is_ok() {
                if let Some(source) = origin.again() {
                    if let Some(roster_sources) = &roster_sources {
                        let _ = roster_sources.send(source).await;
                    }
                }
            }
        };
        tasks.spawn(reload_sources).detach();
        let drain_requests = engine.clone();
        let handle_stop = async move {
            while stop.1.recv().await.is_ok() {
                post(&drain_requests, engine::EngineMessage::Drain).await;
            }
        };
        tasks.spawn(handle_stop).detach();
        let own_exchange = config.settings.own_exchange;
        let longest_deadline = config.settings.classes.iter().map(|c| c.give_up_after).fold(0.0, f64::max);
        let mut table = Table::new(config.settings, Tenants::new(config.tenants), config.seed, clock.now());
        table.limit_bytes(memory.calls);
        let engine_actor = engine::Engine {
            table,
            clock,
            tasks: tasks.clone(),
            own_exchange,
            longest_deadline,
            peer_context: peer::PeerContext {
                tasks,
                name: config.name.as_str().into(),
                connect_timeout: config.connect_timeout,
                clock,
                engine: engine.clone(),
                permits,
                send_queues,
            },
            mailbox: engine,
            timers,
            platform: front,
            sip: sip_front,
            sip_exchanges,
        };
        engine_actor.run(engine_messages).await;
        // What is queued on connections goes out.
        Timer::after(Duration::from_millis(50)).await;
        Ok(())
    }
}

/// Binds one port for UDP and TCP. Where any port will do, one that is free for both is looked for.
fn bind_both(addr: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut attempts_left = if addr.port() == 0 { 50 } else { 1 };
    loop {
        attempts_left -= 1;
        let udp = Async::<std::net::UdpSocket>::bind(addr)?;
        match Async::<std::net::TcpListener>::bind(udp.get_ref().local_addr()?) {
            Ok(tcp) => return Ok((udp.into(), tcp.into())),
            Err(error) if attempts_left == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
