//! The SIP agent when exchanges die, fall silent or are replaced: it notices, releases their calls and frees their
//! circuits; and releases that a lost connection swallows are sent again.

use std::net::SocketAddr;
use std::sync::Arc;

use mallowring::calls::{CallEvent, CallerCommand, ExchangeCommand, SetUp};
use mallowring::interface::{CallId, ExchangeId, ExchangeNumber, Time};
use mallowring::sip::agent::{Agent, AgentConfig, AgentOutput, AgentTimer, CallClass, Exchange};
use mallowring::sip::header::{Hop, Transport};
use mallowring::sip::message::Message;
use mallowring::sip::transaction::TransactionFailure;

/// Time in seconds within which a call that is over has to be released.
const RELEASE_LIMIT: f64 = 8.0;
/// Time in seconds by which the exchange has to be asked whether it holds a call.
const ASKED_BY: f64 = 4.0;
const EXCHANGE: ExchangeId = ExchangeId(7);
const CIRCUITS: u32 = 4;

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// One agent, its clock, its timers, and what it has sent and reported.
struct Scene {
    agent: Agent,
    now: f64,
    exchange: Hop,
    caller: Hop,
    timers: Vec<(Time, AgentTimer)>,
    sent: Vec<(Hop, Message)>,
    events: Vec<CallEvent>,
}

impl Scene {
    fn new(transport: Transport) -> Scene {
        let exchange = Hop { transport, addr: addr(5071) };
        let class = CallClass { name: "voice".to_owned(), give_up: 9.0, width: 1 };
        let entry = Exchange {
            id: EXCHANGE,
            number: ExchangeNumber(1),
            prefixes: vec!["1".to_owned()],
            hop: exchange,
            circuits: CIRCUITS,
        };
        let config = AgentConfig {
            addr: addr(5060),
            classes: vec![class],
            urgent_class: "voice".to_owned(),
            exchanges: vec![entry],
            seed: 1,
            max_transaction_bytes: 1 << 20,
        };
        let caller = Hop { transport: Transport::Tcp, addr: addr(40_000) };
        let (timers, sent, events) = (Vec::new(), Vec::new(), Vec::new());
        Scene { agent: Agent::new(config), now: 100.0, exchange, caller, timers, sent, events }
    }

    fn with_agent(&mut self, operation: impl FnOnce(&mut Agent, Time, &mut Vec<AgentOutput>)) {
        let mut outputs = Vec::new();
        operation(&mut self.agent, Time(self.now), &mut outputs);
        for output in outputs {
            match output {
                AgentOutput::Send(hop, _, message) => self.sent.push((hop, message)),
                AgentOutput::StartTimer(at, timer) => self.timers.push((at, timer)),
                AgentOutput::CallTable(event) => self.events.push(event),
            }
        }
    }

    fn receive(&mut self, from: Hop, message: Message) {
        self.with_agent(|agent, now, out| agent.receive(now, from, message, out));
    }

    fn fail_connection(&mut self, hop: Hop, failure: TransactionFailure) {
        self.with_agent(|agent, now, out| agent.on_connection_failed(now, hop, failure, out));
    }

    /// Lets time pass. The exchange answers each request with the status that `answer` gives.
    fn pass(&mut self, seconds: f64, answer: impl Fn(&Message) -> Option<u16>) {
        let end = self.now + seconds;
        loop {
            while let Some(ix) = self.sent.iter().position(|(hop, message)| {
                *hop == self.exchange && message.method().is_some_and(|method| method != "ACK")
            }) {
                let (_, request) = self.sent.remove(ix);
                if let Some(status) = answer(&request) {
                    self.receive(self.exchange, Message::response(status, "R", &request.headers));
                }
            }
            let next = self.timers.iter().enumerate().min_by(|(_, (a, _)), (_, (b, _))| a.0.total_cmp(&b.0));
            let Some((ix, at)) = next.map(|(ix, (at, _))| (ix, at.0)).filter(|(_, at)| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            let (_, timer) = self.timers.remove(ix);
            self.with_agent(|agent, now, out| agent.on_timer(now, timer, out));
        }
    }

    /// Sets a call up from the caller to the exchange; returns its id.
    fn establish(&mut self, name: &str) -> CallId {
        let invite = Message::request("INVITE", "sip:1@127.0.0.1:5060")
            .with("Via", format!("SIP/2.0/TCP 127.0.0.1:7000;branch=z9hG4bK{name}"))
            .with("From", "<sip:a@coop>;tag=a")
            .with("To", "<sip:1@127.0.0.1>")
            .with("Call-ID", name)
            .with("CSeq", "1 INVITE")
            .with("Contact", "<sip:a@127.0.0.1:7000;transport=tcp>");
        self.receive(self.caller, invite);
        let Some(CallEvent::Request(request)) = self.events.pop() else { panic!("no request") };
        let set_up = SetUp {
            leg: 0,
            class: request.class.clone(),
            number: request.number.clone(),
            description: Arc::from([]),
            abandon_at: Time(self.now + 5.0),
            width: 1,
            direct: true,
        };
        let id = request.id;
        let command = ExchangeCommand::SetUp(set_up);
        self.with_agent(|agent, now, out| agent.send_to_exchange(now, EXCHANGE, id.clone(), command, out));
        let at =
            |(hop, message): &(Hop, Message)| hop.addr == addr(5071) && message.method() == Some("INVITE");
        let ix = self.sent.iter().position(at).expect("the set-up is sent");
        let (_, sent) = self.sent.remove(ix);
        let mut answer = Message::response(200, "OK", &sent.headers)
            .with("Contact", format!("<sip:x@127.0.0.1:5071;transport={}>", self.exchange.transport.name()));
        let to = answer.headers.iter_mut().find(|(name, _)| name == "To").expect("it has one");
        to.1.push_str(";tag=x");
        self.receive(self.exchange, answer);
        let answered =
            |event: &CallEvent| matches!(event, CallEvent::Answered { id: call, .. } if *call == id);
        assert!(self.events.iter().any(answered), "{:?}", self.events);
        id
    }

    /// Whether the exchange's release of a call was reported, and the circuits are free.
    fn is_over(&self, id: &CallId) -> bool {
        let released =
            |event: &CallEvent| matches!(event, CallEvent::ExchangeReleased { id: call, .. } if call == id);
        let last_state = self.events.iter().rev().find_map(|event| match event {
            CallEvent::Status { report, .. } => report.free_circuits,
            _ => None,
        });
        self.events.iter().any(released) && last_state == Some(f64::from(CIRCUITS))
    }
}

/// Guards against calls that stand for ever at an exchange whose process has died, with their circuits (review, case 10).
#[test]
fn a_refused_connection_after_a_lost_one_releases_the_calls_at_once() {
    let mut scene = Scene::new(Transport::Tcp);
    let calls = [scene.establish("c1"), scene.establish("c2")];
    scene.pass(2.0, |_| Some(200));
    scene.fail_connection(scene.exchange, TransactionFailure::ConnectionLost);
    assert!(!scene.is_over(&calls[0]), "a lost connection is no proof of a death");
    scene.fail_connection(scene.exchange, TransactionFailure::Refused);
    assert!(calls.iter().all(|call| scene.is_over(call)), "{:?}", scene.events);
}

/// Guards against calls of a machine that vanishes, and against the release of calls whose exchange is only quiet.
#[test]
fn a_silent_exchange_is_asked_and_its_calls_released_in_time() {
    for transport in [Transport::Udp, Transport::Tcp] {
        let mut scene = Scene::new(transport);
        let call = scene.establish("c1");
        scene.pass(5.0 * RELEASE_LIMIT, |request| (request.method() == Some("OPTIONS")).then_some(200));
        assert!(!scene.is_over(&call), "its exchange answers");
        scene.pass(RELEASE_LIMIT, |_| None);
        assert!(scene.is_over(&call), "{transport:?}: {:?}", scene.events);
    }
}

/// Guards against a new process at the same address that is taken for the one that held the call: it answers, and does not
/// have the call.
#[test]
fn a_process_that_does_not_have_the_call_ends_it() {
    for transport in [Transport::Udp, Transport::Tcp] {
        let mut scene = Scene::new(transport);
        let call = scene.establish("c1");
        let knows = |request: &Message| if request.get("Call-ID") == Some("new") { 200 } else { 481 };
        scene.pass(ASKED_BY, |request| Some(knows(request)));
        assert!(scene.is_over(&call), "{transport:?}: {:?}", scene.events);
    }
}

/// Guards against calls that end because their connection did: the process that holds them proves it on the next one.
#[test]
fn a_process_that_proves_the_call_on_a_new_connection_keeps_it() {
    let mut scene = Scene::new(Transport::Tcp);
    let call = scene.establish("c1");
    for _ in 0..3 {
        scene.fail_connection(scene.exchange, TransactionFailure::ConnectionLost);
        scene.agent.on_connection_opened(Time(scene.now), scene.exchange);
        scene.pass(RELEASE_LIMIT, |_| Some(200));
        assert!(!scene.is_over(&call), "{:?}", scene.events);
    }
}

/// Guards against a release that a reset connection swallows: it is sent again to the caller's Contact, until it is
/// confirmed (review, commit fc97247).
#[test]
fn a_release_whose_connection_is_lost_is_sent_again() {
    let mut scene = Scene::new(Transport::Tcp);
    let id = scene.establish("c1");
    let answer = CallerCommand::Answer(Arc::from([]));
    scene.with_agent(|agent, now, out| agent.send_to_caller(now, id.clone(), answer, out));
    let success = scene.sent.iter().rev().find(|(_, message)| message.status() == Some(200));
    let to = success.and_then(|(_, success)| success.get("To")).expect("it is answered").to_owned();
    let ack = Message::request("ACK", "sip:mallowring@127.0.0.1:5060")
        .with("Via", "SIP/2.0/TCP 127.0.0.1:7000;branch=z9hG4bKack")
        .with("From", "<sip:a@coop>;tag=a")
        .with("To", to)
        .with("Call-ID", "c1")
        .with("CSeq", "1 ACK");
    scene.receive(scene.caller, ack);
    scene.with_agent(|agent, now, out| {
        agent.send_to_caller(now, id, CallerCommand::Release { completed: true }, out);
    });
    let releases = |scene: &Scene| -> Vec<Message> {
        let of_caller = scene.sent.iter().filter(|(hop, _)| hop.addr == addr(7000));
        of_caller.map(|(_, m)| m.clone()).filter(|m| m.method() == Some("BYE")).collect()
    };
    assert_eq!(releases(&scene).len(), 1);
    scene.fail_connection(scene.caller, TransactionFailure::ConnectionLost);
    assert_eq!(releases(&scene).len(), 2, "sent again at once");
    let contact = Hop { transport: Transport::Tcp, addr: addr(7000) };
    scene.fail_connection(contact, TransactionFailure::Refused);
    scene.pass(1.0, |_| Some(200));
    let sent = releases(&scene);
    assert_eq!(sent.len(), 3, "and again when the caller could not be reached");
    assert!(sent.iter().all(|bye| *bye == sent[0]), "one transaction");
    assert!(scene.agent.has_pending_releases());
    scene.receive(contact, Message::response(200, "OK", &sent[0].headers));
    assert!(!scene.agent.has_pending_releases());
}
