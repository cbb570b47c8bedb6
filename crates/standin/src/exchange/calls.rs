//! Call handling of a stand-in exchange, from set-up to release.

use mallowring::sip::message::{Message, StartLine};

use super::{Call, Condition, Exchange};
use crate::messages::{self, call_id_of, CallScript};
use crate::record::{now, Observation};
use crate::sleep;

/// Delay of the second copy of a duplicated answer, in seconds.
const SECOND_COPY_DELAY_S: f64 = 0.004;

impl Exchange {
    pub(super) fn handle_message(&self, port_index: usize, connection: u64, message: Message) {
        let id = call_id_of(&message);
        match message.method() {
            Some("INVITE") => {
                let description = String::from_utf8_lossy(&message.body).into_owned();
                self.record_call_event(port_index, &id, Observation::SetUpReceived { description });
                let call = Call { port: port_index, connection, established: false, failed_in_front: false };
                self.0.calls.borrow_mut().insert(id, call);
                self.occupy_circuit(port_index);
                self.start_front_timeout(port_index, connection, &message);
                let exchange = self.clone();
                let handling = async move { exchange.run_call(port_index, connection, message).await };
                self.0.executor.spawn(handling).detach();
            }
            Some("CANCEL") if self.is_pending(&id) => {
                self.record_call_event(port_index, &id, Observation::SetUpCancelled);
                self.remove_call(&id);
            }
            Some("BYE") => {
                self.record_call_event(port_index, &id, Observation::ReleasedByProxy);
                if self.remove_call(&id).is_some_and(|call| call.established) {
                    self.record_call_event(port_index, &id, Observation::CallEnded);
                }
                self.write(port_index, connection, &Message::response(200, "OK", &message.headers));
            }
            Some("OPTIONS") => {
                self.write(port_index, connection, &Message::response(200, "OK", &message.headers));
            }
            _ => {}
        }
    }

    /// Answers a set-up with 504 after [`super::Misbehaviour::front_timeout`], if it is still pending then.
    fn start_front_timeout(&self, port_index: usize, connection: u64, set_up: &Message) {
        let Some(timeout) = self.0.misbehaviour.get().front_timeout else { return };
        let (exchange, id) = (self.clone(), call_id_of(set_up));
        let failure = Message::response(504, "Server Time-out", &set_up.headers);
        let answering = async move {
            sleep(timeout).await;
            match exchange.0.calls.borrow_mut().get_mut(&id) {
                Some(call) if !call.established && call.connection == connection => {
                    call.failed_in_front = true;
                }
                _ => return,
            }
            exchange.record_call_event(port_index, &id, Observation::FrontAnswered { status: 504 });
            exchange.write(port_index, connection, &failure);
        };
        self.0.executor.spawn(answering).detach();
    }

    fn is_pending(&self, id: &str) -> bool {
        self.0.calls.borrow().get(id).is_some_and(|call| !call.established)
    }

    /// Handles one call according to its script: answers the set-up, holds the call and releases it.
    async fn run_call(&self, port_index: usize, connection: u64, set_up: Message) {
        let (id, generation) = (call_id_of(&set_up), self.0.generation.get());
        let uri = match &set_up.start_line {
            StartLine::Request { uri, .. } => uri.as_str(),
            StartLine::Response { .. } => "",
        };
        let Some(script) = CallScript::parse(uri) else {
            self.remove_call(&id);
            return self.write(port_index, connection, &Message::response(500, "No Script", &set_up.headers));
        };
        let answer_delay_s = self.0.misbehaviour.get().answer_delay;
        sleep(script.answer_ms as f64 / 1000.0 + answer_delay_s).await;
        self.wait_until_working(generation).await;
        let answer_is_lost = match self.0.calls.borrow_mut().get_mut(&id) {
            Some(call) if (call.port, call.connection) == (port_index, connection) => {
                call.established = !call.failed_in_front;
                call.failed_in_front
            }
            // The set-up was cancelled, or its connection was closed.
            _ => return,
        };
        if answer_is_lost {
            self.remove_call(&id);
            return self.record_call_event(port_index, &id, Observation::SetUpCancelled);
        }
        if self.0.misbehaviour.get().errors {
            self.remove_call(&id);
            let description = String::new();
            self.record_call_event(port_index, &id, Observation::SetUpAnswered { status: 500, description });
            let error = Message::response(500, "Server Internal Error", &set_up.headers);
            return self.send_answer(port_index, connection, &error);
        }
        let description = format!("answer-{}-{id}", self.0.name);
        let mut answer = Message::response(200, "OK", &set_up.headers);
        answer.body = description.clone().into_bytes();
        self.record_call_event(port_index, &id, Observation::SetUpAnswered { status: 200, description });
        self.send_answer(port_index, connection, &answer);
        sleep(script.hold_ms as f64 / 1000.0).await;
        if self.0.generation.get() != generation {
            return;
        }
        let Some(call) = self.remove_call(&id) else { return };
        self.record_call_event(port_index, &id, Observation::CallEnded);
        self.send_release(call, &id);
    }

    fn send_answer(&self, port_index: usize, connection: u64, answer: &Message) {
        let misbehaviour = self.0.misbehaviour.get();
        if misbehaviour.malformed_answers {
            let malformed = b"SIP/2.0 2x0 OK\r\nCall-ID: ?\r\nContent-Length: 0\r\n\r\n";
            return self.write_bytes(port_index, connection, malformed.to_vec());
        }
        self.write(port_index, connection, answer);
        if misbehaviour.duplicate_answers {
            let (exchange, answer) = (self.clone(), answer.clone());
            let second_copy = async move {
                sleep(SECOND_COPY_DELAY_S).await;
                exchange.write(port_index, connection, &answer);
            };
            self.0.executor.spawn(second_copy).detach();
        }
    }

    /// Sends a release on the connection of the set-up, else on another open one, and again on the next connection to
    /// be opened.
    fn send_release(&self, call: Call, id: &str) {
        self.0.last_release_at.set(now());
        let port = &self.0.ports[call.port];
        let message = messages::release_request(id, 16);
        let on_other_connection = self.0.misbehaviour.get().releases_on_other_connection;
        let release_connection = {
            let open = port.connections.borrow();
            let use_own_connection = open.contains_key(&call.connection) && !on_other_connection;
            if use_own_connection {
                Some(call.connection)
            } else {
                open.keys().next_back().copied()
            }
        };
        // A release on a silenced connection does not reach the proxy.
        let audible_connection = release_connection
            .filter(|release_connection| !self.0.silenced.borrow().contains(release_connection));
        if let (Some(release_connection), Condition::Working) = (audible_connection, self.0.condition.get()) {
            self.record_call_event(call.port, id, Observation::ReleaseSent);
            self.write(call.port, release_connection, &message);
        }
        if self.0.condition.get() != Condition::Working {
            port.delayed_releases.borrow_mut().push(message.clone());
        }
        port.releases_for_next_connection.borrow_mut().push(message);
    }

    /// Sends the releases that could not be sent while the machine was down. Each is sent again on the next
    /// connection to be opened.
    pub(super) fn send_delayed_releases(&self, port_index: usize) {
        let port = &self.0.ports[port_index];
        let audible = {
            let (open, silenced) = (port.connections.borrow(), self.0.silenced.borrow());
            open.keys().find(|connection| !silenced.contains(connection)).copied()
        };
        let Some(release_connection) = audible else { return };
        for message in port.delayed_releases.borrow_mut().drain(..) {
            self.record_call_event(port_index, &call_id_of(&message), Observation::ReleaseSent);
            self.write(port_index, release_connection, &message);
        }
    }

    /// Cancels the pending set-ups of a closed connection.
    pub(super) fn cancel_pending_on(&self, port_index: usize, connection: u64) {
        let open: Vec<String> = {
            let calls = self.0.calls.borrow();
            let open = calls
                .iter()
                .filter(|(_, c)| !c.established && (c.port, c.connection) == (port_index, connection));
            open.map(|(id, _)| id.clone()).collect()
        };
        for id in open {
            self.remove_call(&id);
            self.record_call_event(port_index, &id, Observation::SetUpCancelled);
        }
    }

    /// Ends all calls and pending set-ups of a process that has ended.
    pub(super) fn cut_calls(&self) {
        for (id, call) in std::mem::take(&mut *self.0.calls.borrow_mut()) {
            let observation =
                if call.established { Observation::CallEnded } else { Observation::SetUpCancelled };
            self.record_call_event(call.port, &id, observation);
        }
        for port in &self.0.ports {
            port.circuits_used.set(0);
            port.releases_for_next_connection.borrow_mut().clear();
            port.delayed_releases.borrow_mut().clear();
        }
    }

    fn remove_call(&self, id: &str) -> Option<Call> {
        let call = self.0.calls.borrow_mut().remove(id)?;
        let port = &self.0.ports[call.port];
        port.circuits_used.set(port.circuits_used.get().saturating_sub(1));
        self.send_trunk_group_state(call.port);
        Some(call)
    }

    fn occupy_circuit(&self, port_index: usize) {
        let port = &self.0.ports[port_index];
        port.circuits_used.set(port.circuits_used.get() + 1);
        self.send_trunk_group_state(port_index);
    }
}
