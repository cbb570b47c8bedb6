//! The ways in which a stand-in exchange fails.

use std::io;
use std::net::Shutdown;
use std::sync::Arc;

use smol::net::TcpStream;
use smol::Async;

use super::{bind_again, Condition, Exchange};
use crate::record::Observation;
use crate::{listener, sleep};

/// From the end of a silence until the exchange says what it could not.
const AFTER_RESUME: f64 = 0.02;

/// What an exchange does wrong while it works.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Misbehaviour {
    /// Answers come so many seconds later.
    pub answer_delay: f64,
    /// Every answer is said twice, the second some milliseconds later.
    pub duplicate_answers: bool,
    /// Every answer is spoilt: it can't be read.
    pub malformed_answers: bool,
    /// Everything is written in pieces, with pauses between.
    pub fragmented_writes: bool,
    /// New connections are served so many seconds late.
    pub accept_delay: f64,
    /// Releases go on another connection than their set-up's.
    pub releases_on_other_connection: bool,
}

/// Closes a connection so that the other end sees a reset; the tasks that hold it end by themselves.
fn reset(stream: TcpStream) {
    let stream: Arc<Async<std::net::TcpStream>> = stream.into();
    listener::reset(stream.get_ref());
    let _ = stream.get_ref().shutdown(Shutdown::Read);
}

impl Exchange {
    /// What it does wrong from now on.
    pub fn set_misbehaviour(&self, misbehaviour: Misbehaviour) {
        self.0.misbehaviour.set(misbehaviour);
    }

    /// The machine vanishes with its calls: connections stay open and silent, new ones never come up.
    pub fn vanish(&self) {
        self.cut_off();
        self.cut_calls();
        // Nothing that still waits on the old connections is ever read.
        self.0.process.set(self.0.process.get() + 1);
    }

    /// The machine is cut off from the network and keeps its calls.
    pub fn cut_off(&self) {
        self.0.condition.set(Condition::CutOff);
        self.note(Observation::Silent);
        for port in &self.0.ports {
            *port.fillers.borrow_mut() = listener::fill_backlog(port.addr);
        }
    }

    /// The process hangs and keeps its calls: the machine still takes connections.
    pub fn hang(&self) {
        self.0.condition.set(Condition::Hung);
        self.note(Observation::Silent);
    }

    /// Ends [`Exchange::cut_off`] and [`Exchange::hang`]: what was held up goes on.
    pub fn resume(&self) {
        self.0.condition.set(Condition::Working);
        self.note(Observation::Working);
        for port in &self.0.ports {
            port.fillers.borrow_mut().clear();
        }
        let exchange = self.clone();
        let told = async move {
            // Whichever connections the proxy has closed meanwhile are noticed first.
            sleep(AFTER_RESUME).await;
            for ix in 0..exchange.0.ports.len() {
                exchange.send_state(ix);
                exchange.send_waiting_releases(ix);
            }
        };
        self.0.tasks.spawn(told).detach();
    }

    /// The process dies: its connections are reset, its calls are cut, new connections are refused.
    pub fn crash(&self) {
        self.0.condition.set(Condition::Dead);
        self.note(Observation::Working);
        self.end_process(reset);
        self.close_listeners();
    }

    /// It has drained: its connections are closed in order, new ones are refused, and calls that still stood are cut.
    pub fn stop(&self) {
        self.0.condition.set(Condition::Dead);
        self.note(Observation::Working);
        self.end_process(|stream| drop(stream.shutdown(Shutdown::Both)));
        self.close_listeners();
    }

    /// The process dies and another one is there at once: its connections are reset, its calls are cut, and no
    /// connection is ever refused.
    pub fn restart_at_once(&self) {
        self.end_process(reset);
        self.accept_on_all_ports();
    }

    /// Another process without calls listens at the same addresses. Connections of the old one stay as they are.
    pub async fn replace(&self) -> io::Result<()> {
        self.0.process.set(self.0.process.get() + 1);
        for port in &self.0.ports {
            port.connections.borrow_mut().clear();
            port.fillers.borrow_mut().clear();
            port.releases.borrow_mut().clear();
            port.circuits_used.set(0);
            if port.listener.borrow().is_none() {
                let fresh = bind_again(port.addr).await?;
                *port.listener.borrow_mut() = Some(fresh);
            }
        }
        self.0.condition.set(Condition::Working);
        self.note(Observation::Working);
        self.accept_on_all_ports();
        Ok(())
    }

    /// Closes one of a proxy's connections in order; returns whether there was one.
    pub fn close_connection(&self, proxy: usize) -> bool {
        let closed = self.0.ports[proxy].connections.borrow_mut().pop_first();
        closed.is_some_and(|(_, connection)| connection.stream.shutdown(Shutdown::Both).is_ok())
    }

    /// Resets one of a proxy's connections; returns whether there was one.
    pub fn reset_connection(&self, proxy: usize) -> bool {
        let taken = self.0.ports[proxy].connections.borrow_mut().pop_last();
        taken.map(|(_, connection)| reset(connection.stream)).is_some()
    }

    /// One of a proxy's connections brings nothing any longer, and nothing on it is read.
    pub fn silence_connection(&self, proxy: usize) -> bool {
        let first = self.0.ports[proxy].connections.borrow().keys().next().copied();
        first.is_some_and(|connection| self.0.silenced.borrow_mut().insert(connection))
    }

    fn end_process(&self, close: impl Fn(TcpStream)) {
        self.cut_calls();
        self.0.process.set(self.0.process.get() + 1);
        self.0.reset_before.set(self.0.process.get());
        for port in &self.0.ports {
            let connections = std::mem::take(&mut *port.connections.borrow_mut());
            connections.into_values().for_each(|connection| close(connection.stream));
        }
    }

    fn close_listeners(&self) {
        for port in &self.0.ports {
            port.listener.borrow_mut().take();
            port.fillers.borrow_mut().clear();
        }
    }
}
