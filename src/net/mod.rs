//! The I/O of the proxy as a set of actors: the fronts, one actor per exchange, the roster client, the clock and the
//! engine, which holds the call table. All actors run on one thread. Each owns its state and receives messages
//! through its mailbox.

pub mod clock;
pub mod conn;
pub mod engine;
pub mod peer;
pub mod permits;
pub mod platform;
pub mod roster;
pub mod sip;
pub mod supervision;
pub mod turns;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use smol::channel::{bounded, unbounded, Receiver, Sender};
use smol::net::{TcpListener, UdpSocket};
use smol::stream::StreamExt;
use smol::{future, Async, Timer};

use crate::admin::{self, TenantStore};
use crate::calls::tenants::Tenants;
use crate::calls::Table;
use crate::config::Config;
use crate::limits::descriptors::{DescriptorPlan, Enabled};
use crate::limits::memory::MemoryPlan;
use crate::sip::agent::{AgentConfig, CallClass};
use conn::ConnectionBuffers;
use permits::Permits;
pub use supervision::Executor;

/// Sends to an actor that runs as long as the program, so that a failure can be ignored.
pub(crate) async fn post<M>(mailbox: &Sender<M>, message: M) {
    let _ = mailbox.send(message).await;
}

/// Runs an I/O operation; fails with `TimedOut` when the time limit passes first.
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
    /// Binds all listeners that the configuration names.
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

    /// The address on which the SIP front listens.
    pub fn sip_addr(&self) -> Option<SocketAddr> {
        self.sip.as_ref().and_then(|(udp, _)| udp.local_addr().ok())
    }

    /// The address on which the platform front listens.
    pub fn platform_addr(&self) -> Option<SocketAddr> {
        self.platform.as_ref().and_then(|tcp| tcp.local_addr().ok())
    }

    /// The address on which the tenants' HTTP API listens.
    pub fn http_addr(&self) -> Option<SocketAddr> {
        self.http.as_ref().and_then(|tcp| tcp.local_addr().ok())
    }

    /// The address on which the NETCONF server listens.
    pub fn netconf_addr(&self) -> Option<SocketAddr> {
        self.netconf.as_ref().and_then(|tcp| tcp.local_addr().ok())
    }

    /// A channel that starts the shutdown when `()` is sent to it, as SIGTERM does.
    pub fn shutdown_sender(&self) -> Sender<()> {
        self.stop.0.clone()
    }

    /// A channel that makes the proxy reload its configuration when `()` is sent to it, as SIGHUP does.
    pub fn reload_sender(&self) -> Sender<()> {
        self.reload.0.clone()
    }

    /// Runs the proxy until a shutdown is requested and all calls have drained. A panic of any task ends it with an
    /// error, and closes its sockets.
    pub fn run(self) -> io::Result<()> {
        supervision::run(async |tasks| self.serve(tasks).await)
    }

    async fn serve(self, tasks: Executor) -> io::Result<()> {
        let Node { config, platform, sip, http, netconf, stop, reload } = self;
        let clock = clock::Clock::system();
        let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        let origin = config.reload_source.clone();
        let mut roster_sources = None;
        let (engine, engine_messages) = unbounded();
        let (timers, timer_requests) = unbounded();
        let enabled = Enabled {
            platform: config.platform.is_some(),
            sip: config.sip.is_some(),
            administration: config.admin.is_some(),
        };
        let descriptors = DescriptorPlan::new(config.max_descriptors, enabled);
        let memory = MemoryPlan::new(config.memory_mb);
        tracing::info!(?descriptors, ?memory, "budgets");
        let buffers = ConnectionBuffers::new(memory.queues, memory.received);
        let permits = Permits::new(clock, descriptors.exchanges);
        let mut front = None;
        if let (Some(listener), Some(platform_config)) = (platform, config.platform) {
            let (mailbox, messages) = unbounded();
            let (source_sender, source_updates) = bounded(1);
            let (stop_accepting, stop_requests) = bounded(1);
            roster_sources = Some(source_sender);
            let roster_client = roster::run(platform_config.roster_source, source_updates, engine.clone());
            tasks.spawn("roster client", roster_client);
            let platform = platform::PlatformFront {
                tasks: tasks.clone(),
                engine: engine.clone(),
                mailbox: mailbox.clone(),
                clock,
                timers: timers.clone(),
                buffers: buffers.clone(),
                permits: permits.clone(),
                max_connections: descriptors.callers,
                memory,
                stop_accepting,
            };
            tasks.spawn("platform front", platform.run(messages));
            tasks.spawn("platform listener", platform::accept(listener, stop_requests, mailbox.clone()));
            tracing::info!(name = config.name, listen = %platform_config.listen, "started");
            front = Some(mailbox);
        }
        let mut sip_front = None;
        let mut sip_exchanges = Vec::new();
        if let (Some((udp, tcp)), Some(sip_config)) = (sip, config.sip) {
            let (mailbox, messages) = unbounded();
            let addr = udp.local_addr()?;
            tracing::info!(name = config.name, listen = %addr, "SIP over UDP and TCP started");
            sip_exchanges = sip_config.exchanges.iter().map(|e| e.roster_entry()).collect();
            let class = |c: &crate::interface::Class| CallClass {
                name: c.name.clone(),
                give_up: c.give_up_after,
                width: c.width,
            };
            let setup = AgentConfig {
                addr,
                classes: config.settings.classes.iter().map(class).collect(),
                urgent_class: sip_config.urgent_class,
                exchanges: sip_config.exchanges,
                seed: config.seed ^ 0x51b,
                max_transaction_bytes: memory.transactions,
            };
            let sip = sip::SipFront {
                tasks: tasks.clone(),
                clock,
                engine: engine.clone(),
                mailbox: mailbox.clone(),
                timers: timers.clone(),
                buffers: buffers.clone(),
                connect_timeout: config.connect_timeout,
                max_accepted: descriptors.sip_accepted(),
                max_datagram_bytes: memory.datagrams,
            };
            tasks.spawn("SIP front", sip.run(setup, udp, tcp, messages));
            sip_front = Some(mailbox);
        }
        let clock_actor = clock::run(clock, timer_requests, engine.clone(), sip_front.clone(), front.clone());
        tasks.spawn("clock", clock_actor);
        if let Some(admin) = config.admin {
            let store = Rc::new(TenantStore::new(engine.clone(), admin.tenants_file));
            if let (Some(listener), Some((_, tokens))) = (http, admin.http) {
                let api = admin::http::run(tasks.clone(), listener, store.clone(), tokens);
                tasks.spawn("administration listener", api);
            }
            if let (Some(listener), Some((_, tls, clients))) = (netconf, admin.netconf) {
                let server = admin::netconf::Server { tasks: tasks.clone(), store, tls, clients };
                tasks.spawn("NETCONF listener", server.run(listener));
            }
        }
        let (drain_requests, reload_requests) = (engine.clone(), reload.0);
        let handle_signals = async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    // If a reload is already queued, it will read the same file.
                    Ok(Signal::Hup) => drop(reload_requests.try_send(())),
                    _ => post(&drain_requests, engine::EngineMessage::Drain).await,
                }
            }
        };
        tasks.spawn("signals", handle_signals);
        let reloads = reload.1;
        let reload_sources = async move {
            let mut origin = origin;
            while reloads.recv().await.is_ok() {
                if let Some(source) = origin.reload() {
                    if let Some(roster_sources) = &roster_sources {
                        let _ = roster_sources.send(source).await;
                    }
                }
            }
        };
        tasks.spawn("reload", reload_sources);
        let drain_requests = engine.clone();
        let handle_stop = async move {
            while stop.1.recv().await.is_ok() {
                post(&drain_requests, engine::EngineMessage::Drain).await;
            }
        };
        tasks.spawn("stop requests", handle_stop);
        let own_exchange = config.settings.own_exchange;
        let longest_deadline = config.settings.classes.iter().map(|c| c.give_up_after).fold(0.0, f64::max);
        let mut table = Table::new(config.settings, Tenants::new(config.tenants), config.seed, clock.now());
        table.set_max_bytes(memory.calls);
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
                buffers,
                release_backlog: Rc::default(),
            },
            mailbox: engine,
            timers,
            platform: front,
            sip: sip_front,
            sip_exchanges,
        };
        engine_actor.run(engine_messages).await;
        // Lets the writers send what is still queued on their connections.
        Timer::after(Duration::from_millis(50)).await;
        Ok(())
    }
}

/// Binds the same port for UDP and TCP. With port 0, retries until a port is found that is free for both.
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
