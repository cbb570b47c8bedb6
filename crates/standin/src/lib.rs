//! Stand-ins of the systems around a signalling proxy, on loopback sockets: exchanges, discovery and callers that
//! speak the platform's protocol, and the proxy itself as a real process. Everything of one trial runs on one thread
//! and writes to one [`record::Record`].
//!
//! Faults are methods of the stand-ins ([`exchange::Exchange::vanish`], [`discovery::Discovery::go_down`], ...), so
//! that a test reads as a timeline.

pub mod caller;
pub mod discovery;
pub mod exchange;
pub mod listener;
pub mod messages;
pub mod proxy;
pub mod record;

use std::rc::Rc;

/// Where the stand-ins of one trial run.
pub type Executor = Rc<smol::LocalExecutor<'static>>;

/// Runs one trial on this thread.
pub fn run<T>(trial: impl AsyncFnOnce(Executor) -> T) -> T {
    let tasks: Executor = Rc::new(smol::LocalExecutor::new());
    let inner = tasks.clone();
    smol::block_on(tasks.run(trial(inner)))
}

/// Waits.
pub async fn sleep(seconds: f64) {
    smol::Timer::after(std::time::Duration::from_secs_f64(seconds.max(0.0))).await;
}
