//! Stand-ins of the systems around a signalling proxy, on loopback sockets: exchanges, discovery and callers that
//! speak the platform's protocol, and the proxy itself as a real process. All stand-ins of one trial run on one
//! thread and write to one [`record::Record`].
//!
//! Faults are methods of the stand-ins ([`exchange::Exchange::vanish`], [`discovery::Discovery::go_down`] and
//! others), so that a test reads as a timeline.

pub mod caller;
pub mod discovery;
pub mod exchange;
pub mod listener;
pub mod messages;
pub mod proxy;
pub mod record;
pub mod relay;
pub mod sip;

use std::rc::Rc;

/// The executor that runs the stand-ins of one trial.
pub type Executor = Rc<smol::LocalExecutor<'static>>;

/// Runs one trial on the current thread and returns its result.
pub fn run<T>(trial: impl AsyncFnOnce(Executor) -> T) -> T {
    let executor: Executor = Rc::new(smol::LocalExecutor::new());
    let inner = executor.clone();
    smol::block_on(executor.run(trial(inner)))
}

/// Waits for a number of seconds; a negative number counts as 0.
pub async fn sleep(seconds: f64) {
    smol::Timer::after(std::time::Duration::from_secs_f64(seconds.max(0.0))).await;
}
