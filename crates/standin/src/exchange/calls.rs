//! The calls of a stand-in exchange, from set-up to release.

use mallowring::sip::message::{Message, Start};

use super::{Call, Condition, Exchange};
use crate::messages::{self, call_id, CallScript};
use crate::record::{now, Observation};
use crate::sleep;

/// Between the two copies of an answer that is said twice.
const SECOND_COPY: f64 = 0.004;

impl Exchange {
    pub(super) fn take(&self, ix: usize, connection: u64, message: Message) {
        let id = call_id(&message);
        match message.method() {
            Some("INVITE") => {
                let description = String::from_utf8_lossy(&message.body).into_owned();
                self.note_call(ix, &id, Observation::SetUp { description });
                self.0.calls.borrow_mut().insert(id, Call { port: ix, connection, stands: false });
                self.occupy(ix);
                let exchange = self.clone();
                let run = async move { exchange.play(ix, connection, message).await };
                self.0.tasks.spawn(run).detach();
            }
            Some("CANCEL") if self.is_open(&id) => {
                self.note_call(ix, &id, Observation::SetUpCancelled);
                self.forget(&id);
            }
            Some("BYE") => {
                self.note_call(ix, &id, Observation::ReleasedByProxy);
                if self.forget(&id).is_some_and(|call| call.stands) {
                    self.note_call(ix, &id, Observation::Over);
                }
                self.write(ix, connection, &Message::response(200, "OK", &message.headers));
            }
            Some("OPTIONS") => {
                self.write(ix, connection, &Message::response(200, "OK", &message.headers));
            }
            _ => {}
        }
    }

    fn is_open(&self, id: &str) -> bool {
        self.0.calls.borrow().get(id).is_some_and(|call| !call.stands)
    }

    /// The life of one call.
    async fn play(&self, ix: usize, connection: u64, set_up: Message) {
        let (id, process) = (call_id(&set_up), self.0.process.get());
        let uri = match &set_up.start {
            Start::Request { uri, .. } => uri.as_str(),
            Start::Response { .. } => "",
        };
        let Some(script) = CallScript::parse(uri) else {
            self.forget(&id);
            return self.write(ix, connection, &Message::response(500, "No Script", &set_up.headers));
        };
        let late = self.0.misbehaviour.get().answer_delay;
        sleep(script.answer_ms as f64 / 1000.0 + late).await;
        self.works(process).await;
        match self.0.calls.borrow_mut().get_mut(&id) {
            Some(call) if (call.port, call.connection) == (ix, connection) => call.stands = true,
            // It was given up.
            _ => return,
        }
        let description = format!("answer-{}-{id}", self.0.name);
        let mut answer = Message::response(200, "OK", &set_up.headers);
        answer.body = description.clone().into_bytes();
        self.note_call(ix, &id, Observation::SetUpEnded { status: 200, description });
        self.answer(ix, connection, &answer);
        sleep(script.hold_ms as f64 / 1000.0).await;
        if self.0.process.get() != process {
            return;
        }
        let Some(call) = self.forget(&id) else { return };
        self.note_call(ix, &id, Observation::Over);
        self.release(call, &id);
    }

    fn answer(&self, ix: usize, connection: u64, answer: &Message) {
        let wrong = self.0.misbehaviour.get();
        if wrong.malformed_answers {
            let spoilt = b"SIP/2.0 2x0 OK\r\nCall-ID: ?\r\nContent-Length: 0\r\n\r\n";
            return self.write_bytes(ix, connection, spoilt.to_vec());
        }
        self.write(ix, connection, answer);
        if wrong.duplicate_answers {
            let (exchange, answer) = (self.clone(), answer.clone());
            let again = async move {
                sleep(SECOND_COPY).await;
                exchange.write(ix, connection, &answer);
            };
            self.0.tasks.spawn(again).detach();
        }
    }

    /// Sends a release on the connection of its set-up, else on any that is open, and on the next to be opened.
    fn release(&self, call: Call, id: &str) {
        self.0.released_at.set(now());
        let port = &self.0.ports[call.port];
        let message = messages::release_request(id, 16);
        let elsewhere = self.0.misbehaviour.get().releases_on_other_connection;
        let on = {
            let open = port.connections.borrow();
            let own = open.contains_key(&call.connection) && !elsewhere;
            if own {
                Some(call.connection)
            } else {
                open.keys().next_back().copied()
            }
        };
        // What goes out on a silent connection reaches nobody.
        let heard = on.filter(|on| !self.0.silenced.borrow().contains(on));
        if let (Some(on), Condition::Working) = (heard, self.0.condition.get()) {
            self.note_call(call.port, id, Observation::ReleaseSent);
            self.write(call.port, on, &message);
        }
        if self.0.condition.get() != Condition::Working {
            port.unsaid.borrow_mut().push(message.clone());
        }
        port.releases.borrow_mut().push(message);
    }

    /// What could not be told while the machine was held up. It is said on the next connection to be opened as well.
    pub(super) fn send_waiting_releases(&self, ix: usize) {
        let port = &self.0.ports[ix];
        let Some(on) = port.connections.borrow().keys().next().copied() else { return };
        for message in port.unsaid.borrow_mut().drain(..) {
            self.note_call(ix, &call_id(&message), Observation::ReleaseSent);
            self.write(ix, on, &message);
        }
    }

    /// The set-ups open on a connection that is over are given up.
    pub(super) fn give_up_open_on(&self, ix: usize, connection: u64) {
        let open: Vec<String> = {
            let calls = self.0.calls.borrow();
            let open = calls.iter().filter(|(_, c)| !c.stands && (c.port, c.connection) == (ix, connection));
            open.map(|(id, _)| id.clone()).collect()
        };
        for id in open {
            self.forget(&id);
            self.note_call(ix, &id, Observation::SetUpCancelled);
        }
    }

    /// All calls and set-ups end with the process that held them.
    pub(super) fn cut_calls(&self) {
        for (id, call) in std::mem::take(&mut *self.0.calls.borrow_mut()) {
            let observation = if call.stands { Observation::Over } else { Observation::SetUpCancelled };
            self.note_call(call.port, &id, observation);
        }
        for port in &self.0.ports {
            port.circuits_used.set(0);
            port.releases.borrow_mut().clear();
            port.unsaid.borrow_mut().clear();
        }
    }

    fn forget(&self, id: &str) -> Option<Call> {
        let call = self.0.calls.borrow_mut().remove(id)?;
        let port = &self.0.ports[call.port];
        port.circuits_used.set(port.circuits_used.get().saturating_sub(1));
        self.send_state(call.port);
        Some(call)
    }

    fn occupy(&self, ix: usize) {
        let port = &self.0.ports[ix];
        port.circuits_used.set(port.circuits_used.get() + 1);
        self.send_state(ix);
    }
}
