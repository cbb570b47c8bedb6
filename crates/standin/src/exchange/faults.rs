//! Faults that a stand-in exchange simulates.

use std::io;
use std::net::Shutdown;

use smol::net::TcpStream;

use super::{bind_again, Condition, Exchange};
use crate::record::Observation;
use crate::{listener, sleep};

/// Delay in seconds between the end of an outage and the messages that were held back during it.
const RESUME_DELAY_S: f64 = 0.02;

/// Protocol faults of an exchange that is otherwise working.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Misbehaviour {
    /// Additional delay of each answer, in seconds.
    pub answer_delay: f64,
    /// Delay between the arrival of a message and its handling, in seconds. The order on a connection is kept.
    pub read_delay: f64,
    /// Send every answer a second time, a few milliseconds later.
    pub duplicate_answers: bool,
    /// Replace every answer by a message that cannot be parsed.
    pub malformed_answers: bool,
    /// Write every message in small fragments with pauses between them.
    pub fragmented_writes: bool,
    /// Delay before a new connection is served, in seconds.
    pub accept_delay: f64,
    /// Send releases on another connection than that of the set-up.
    pub releases_on_other_connection: bool,
    /// A system in front of the exchange answers a set-up with 504 this many seconds after the exchange has read it,
    /// unless it is answered before. The exchange goes on with the set-up, but its answer no longer arrives.
    pub front_timeout: Option<f64>,
    /// Answer every set-up with 500, an error.
    pub errors: bool,
}

impl Exchange {
    /// Sets the protocol faults of the exchange from now on.
    pub fn set_misbehaviour(&self, misbehaviour: Misbehaviour) {
        self.0.misbehaviour.set(misbehaviour);
    }

    /// Makes the machine vanish with its calls: open connections turn silent and new connection attempts time out.
    pub fn vanish(&self) {
        self.cut_off();
        self.record_event(Observation::ProcessGone);
        self.cut_calls();
        // Data still waiting on the old connections is never read.
        self.start_generation();
    }

    /// Cuts the machine off from the network; its calls are kept.
    pub fn cut_off(&self) {
        self.set_condition(Condition::CutOff);
        self.record_event(Observation::Silent);
        self.record_event(Observation::LinkDisturbed);
        for port in &self.0.ports {
            port.backlog.borrow_mut().fill(port.addr);
        }
    }

    /// Makes the process hang with its calls kept: the kernel still accepts connections.
    pub fn hang(&self) {
        self.set_condition(Condition::Hung);
        self.record_event(Observation::Silent);
    }

    /// Ends [`Exchange::cut_off`] and [`Exchange::hang`]: delayed reads and writes continue.
    pub fn resume(&self) {
        let was_cut_off = self.set_condition(Condition::Working) == Condition::CutOff;
        self.record_event(Observation::Working);
        if was_cut_off {
            self.record_event(Observation::LinkRestored);
        }
        for port in &self.0.ports {
            port.backlog.borrow_mut().release();
        }
        let exchange = self.clone();
        let sending = async move {
            // Lets the exchange notice first which connections the proxy has closed meanwhile.
            sleep(RESUME_DELAY_S).await;
            for port_index in 0..exchange.0.ports.len() {
                exchange.send_trunk_group_state(port_index);
                exchange.send_delayed_releases(port_index);
            }
        };
        self.0.executor.spawn(sending).detach();
    }

    /// Refuses new connections from now on, while the process and its open connections work.
    pub fn refuse_connections(&self) {
        self.set_accepting(false);
        self.close_listeners();
    }

    /// Ends [`Exchange::refuse_connections`].
    pub async fn accept_connections(&self) -> io::Result<()> {
        self.listen_again().await?;
        self.set_accepting(true);
        self.accept_on_all_ports();
        Ok(())
    }

    /// Crashes the process: its connections are reset, its calls are cut and new connections are refused.
    pub fn crash(&self) {
        self.set_condition(Condition::Dead);
        self.record_event(Observation::Working);
        self.end_process(listener::reset_stream);
        self.close_listeners();
    }

    /// Stops the process after a drain: its connections are closed in order, new ones are refused and remaining calls
    /// are cut.
    pub fn stop(&self) {
        self.set_condition(Condition::Dead);
        self.record_event(Observation::Working);
        self.end_process(|stream| drop(stream.shutdown(Shutdown::Both)));
        self.close_listeners();
    }

    /// Crashes the process and starts another one at once: connections are reset and calls are cut, but no connection
    /// is refused.
    pub fn restart_at_once(&self) {
        self.end_process(listener::reset_stream);
        self.accept_on_all_ports();
    }

    /// Starts another process without calls at the same addresses. Connections of the old process stay open and
    /// silent.
    pub async fn replace(&self) -> io::Result<()> {
        self.start_generation();
        for port in &self.0.ports {
            port.connections.borrow_mut().clear();
            port.backlog.borrow_mut().release();
            port.releases_for_next_connection.borrow_mut().clear();
            port.circuits_used.set(0);
        }
        self.listen_again().await?;
        let was_cut_off = self.set_condition(Condition::Working) == Condition::CutOff;
        self.record_event(Observation::Working);
        if was_cut_off {
            self.record_event(Observation::LinkRestored);
        }
        self.accept_on_all_ports();
        Ok(())
    }

    /// Closes one connection of a proxy in order; returns whether there was one. An exchange that is cut off, or hangs,
    /// can't close any.
    pub fn close_connection(&self, proxy: usize) -> bool {
        if self.0.condition.get() != Condition::Working {
            return false;
        }
        let closed = self.0.ports[proxy].connections.borrow_mut().pop_first();
        closed.is_some_and(|(_, connection)| connection.stream.shutdown(Shutdown::Both).is_ok())
    }

    /// Resets one connection of a proxy; returns whether there was one.
    pub fn reset_connection(&self, proxy: usize) -> bool {
        let taken = self.0.ports[proxy].connections.borrow_mut().pop_last();
        taken.map(|(_, connection)| listener::reset_stream(connection.stream)).is_some()
    }

    /// Stops reading and writing on one connection of a proxy; returns whether one was newly silenced.
    pub fn silence_connection(&self, proxy: usize) -> bool {
        let first = self.0.ports[proxy].connections.borrow().keys().next().copied();
        first.is_some_and(|connection| self.0.silenced.borrow_mut().insert(connection))
    }

    fn end_process(&self, close: impl Fn(TcpStream)) {
        self.record_event(Observation::ProcessGone);
        self.cut_calls();
        self.0.reset_below_generation.set(self.0.generation.get() + 1);
        self.start_generation();
        for port in &self.0.ports {
            let connections = std::mem::take(&mut *port.connections.borrow_mut());
            connections.into_values().for_each(|connection| close(connection.stream));
        }
    }

    /// Opens the listeners that are closed.
    async fn listen_again(&self) -> io::Result<()> {
        for port in &self.0.ports {
            if port.listener.borrow().is_none() {
                let rebound = bind_again(port.addr).await?;
                *port.listener.borrow_mut() = Some(rebound);
            }
        }
        Ok(())
    }

    fn close_listeners(&self) {
        for port in &self.0.ports {
            port.listener.borrow_mut().take();
            port.backlog.borrow_mut().release();
        }
    }
}
