//! The actors that hold sockets: the platform's front, one for each exchange, the list, the clock, and the
//! module's own. All run on one thread; each owns its state and hears the others through its mailbox.

pub mod bulletin;
pub mod clock;
pub mod conn;
pub mod engine;
pub mod peer;
pub mod platform;

use std::io;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use smol::channel::{bounded, Sender};
use smol::net::TcpListener;
use smol::stream::StreamExt;
use smol::LocalExecutor;

use crate::calls::Table;
use crate::config::Config;

/// Where actors run.
pub type Tasks = Rc<LocalExecutor<'static>>;

const MAILBOX: usize = 8192;

/// Sends to a mailbox, waiting while it is full; when its actor has ended the program ends as well.
pub(crate) async fn post<M>(mailbox: &Sender<M>, mail: M) {
    let _ = mailbox.send(mail).await;
}

/// Runs one signalling proxy until it is told to end and has drained.
pub fn run(config: Config) -> io::Result<()> {
    let tasks: Tasks = Rc::new(LocalExecutor::new());
    let inner = tasks.clone();
    smol::block_on(tasks.run(async move { serve(config, inner).await }))
}

async fn serve(config: Config, tasks: Tasks) -> io::Result<()> {
    let clock = clock::Clock::system();
    let listener = TcpListener::bind(config.listen).await?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let (engine, engine_mail) = bounded(MAILBOX);
    let (front, front_mail) = bounded(MAILBOX);
    let (alarms, alarm_mail) = bounded(MAILBOX);
    tasks.spawn(clock::run(clock, alarm_mail, engine.clone())).detach();
    tasks.spawn(bulletin::run(config.bulletin, config.known, config.known_no, engine.clone())).detach();
    let platform = platform::Platform {
        tasks: tasks.clone(),
        engine: engine.clone(),
        mailbox: front.clone(),
        most: config.sockets.saturating_sub(64),
    };
    tasks.spawn(platform.run(front_mail)).detach();
    tasks.spawn(platform::accept(listener, front.clone())).detach();
    let stop = engine.clone();
    let watch = async move {
        while signals.next().await.is_some() {
            post(&stop, engine::EngineMail::Drain).await;
        }
    };
    tasks.spawn(watch).detach();
    tracing::info!(name = config.name, listen = %config.listen, "started");
    let own = config.settings.own;
    let table = Table::new(config.settings, config.tenants, config.seed, clock.now());
    let module = engine::Engine {
        table,
        clock,
        tasks,
        name: config.name,
        connect_timeout: config.connect_timeout,
        own,
        mailbox: engine,
        alarms,
        platform: front,
    };
    module.run(engine_mail).await;
    // What is queued on connections goes out.
    smol::Timer::after(std::time::Duration::from_millis(50)).await;
    Ok(())
}
