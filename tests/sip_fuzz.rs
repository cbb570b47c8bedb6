//! Nearly valid SIP messages from a fixed seed, against the agent and against the SIP front over UDP and TCP: no input
//! may end an actor (review, case 1).

mod fuzz;
mod standin;

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread::sleep;
use std::time::Duration;

use fuzz::{mutate, mutations, Mutation};
use mallowring::calls::{CallEvent, CallerCommand, ExchangeCommand, SetUp};
use mallowring::interface::{ExchangeId, ExchangeNumber, Time};
use mallowring::sip::agent::{
    Agent, AgentConfig, AgentOutput, AgentTimer, CallClass, Exchange as AgentExchange,
};
use mallowring::sip::header::{Hop, Transport};
use mallowring::sip::message::{Framer, Message, MAX_MESSAGE_BYTES};
use mallowring::sip::transaction::DEFAULT_TRANSACTION_BYTES;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use standin::{Caller, Exchange, Proxy};

/// Seed of every draw in this file.
const SEED: u64 = 34;
/// Number of dialogues with the agent.
const DIALOGUES: u32 = 1_500;
/// Number of messages over each transport.
const MESSAGES: usize = 3_000;
/// Number of datagrams sent at once, and the pause after them, so that the receive buffer holds them.
const DATAGRAMS_AT_ONCE: usize = 20;
const DATAGRAM_PAUSE: Duration = Duration::from_millis(5);
/// Number of messages sent on one TCP connection.
const MESSAGES_PER_CONNECTION: usize = 30;

/// What the other side sends in one step of a dialogue.
#[derive(Clone, Debug)]
enum Step {
    /// A request of a caller, by its place in the course of a call.
    Request(&'static str),
    /// A response to the last request that the agent has sent.
    Response(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let request = proptest::sample::select(&["INVITE", "ACK", "BYE", "CANCEL", "OPTIONS", "INFO"][..]);
    let status = proptest::sample::select(&[100, 180, 200, 299, 302, 404, 486, 503, 504, 699][..]);
    prop_oneof![3 => request.prop_map(Step::Request), 2 => status.prop_map(Step::Response)]
}

fn steps() -> impl Strategy<Value = Vec<(Step, Vec<Mutation>, bool)>> {
    vec((step(), mutations(), any::<bool>()), 1..12)
}

fn request(method: &str, to_tag: Option<&str>, call: usize) -> Message {
    let tag = to_tag.map_or(String::new(), |tag| format!(";tag={tag}"));
    let message = Message::request(method, "sip:50211@127.0.0.1:5060")
        .with("Via", format!("SIP/2.0/UDP 127.0.0.1:7000;rport;branch=z9hG4bK{call}"))
        .with("Max-Forwards", 70)
        .with("From", "\"Ana, <x>\" <sip:a@coop-cafetera>;tag=a")
        .with("To", format!("<sip:50211@127.0.0.1>{tag}"))
        .with("Call-ID", format!("call-{call}"))
        .with("CSeq", format!("{} {method}", if method == "BYE" { 2 } else { 1 }))
        .with("Contact", "<sip:a@127.0.0.1:7000;transport=udp>")
        .with("Record-Route", "<sip:p1@127.0.0.1:7001;lr>, <sip:p2@127.0.0.1:7002;lr>")
        .with("X-Deadline", 1500);
    Message { body: b"v=0".to_vec(), ..message }
}

fn agent() -> Agent {
    let hop = Hop { transport: Transport::Udp, addr: ([127, 0, 0, 1], 5071).into() };
    let exchange = AgentExchange {
        id: ExchangeId(1),
        number: ExchangeNumber(1),
        prefixes: vec!["5021".to_owned()],
        hop,
        circuits: 40,
    };
    Agent::new(AgentConfig {
        addr: ([127, 0, 0, 1], 5060).into(),
        classes: vec![CallClass { name: "voice".to_owned(), give_up: 9.0, width: 1 }],
        urgent_class: "voice".to_owned(),
        exchanges: vec![exchange],
        seed: SEED,
        max_transaction_bytes: DEFAULT_TRANSACTION_BYTES,
    })
}

/// One agent, its scripted clock, and what it has sent.
struct Dialogue {
    agent: Agent,
    now: f64,
    last_request: Option<Message>,
    /// The tag that the agent gave to the caller's dialog.
    tag: Option<String>,
    timers: Vec<AgentTimer>,
}

impl Dialogue {
    fn carry_out(&mut self, outputs: Vec<AgentOutput>) {
        for output in outputs {
            match output {
                AgentOutput::Send(_, _, message) => self.sent(message),
                AgentOutput::StartTimer(_, timer) => self.timers.push(timer),
                AgentOutput::CallTable(event) => self.answer_for_the_table(event),
            }
        }
    }

    fn sent(&mut self, message: Message) {
        let bytes = message.to_bytes();
        assert_eq!(Message::parse_datagram(&bytes).as_ref(), Ok(&message), "it can be read again");
        if message.method().is_some_and(|method| method != "ACK") {
            self.last_request = Some(message);
        } else if let Some(tag) = message.get("To").and_then(mallowring::sip::header::tag) {
            self.tag = Some(tag.to_owned());
        }
    }

    /// Sets every call up, answers it, and releases what an exchange releases.
    fn answer_for_the_table(&mut self, event: CallEvent) {
        let (now, mut outputs) = (Time(self.now), Vec::new());
        match event {
            CallEvent::Request(request) => {
                let set_up = SetUp {
                    leg: 0,
                    class: request.class,
                    number: request.number,
                    width: request.width,
                    direct: true,
                    description: request.description,
                    abandon_at: Time(self.now + 5.0),
                };
                let command = ExchangeCommand::SetUp(set_up);
                self.agent.send_to_exchange(now, ExchangeId(1), request.id, command, &mut outputs);
            }
            CallEvent::Answered { id, description, .. } => {
                self.agent.send_to_caller(now, id, CallerCommand::Answer(description), &mut outputs);
            }
            CallEvent::SetUpFailed { id, .. } => {
                self.agent.send_to_caller(now, id, CallerCommand::Refuse(Some(1.0)), &mut outputs);
            }
            CallEvent::ExchangeReleased { id, completed, .. } => {
                let release = CallerCommand::Release { completed };
                self.agent.send_to_caller(now, id, release, &mut outputs);
            }
            CallEvent::CallerReleased(id) => {
                let release = ExchangeCommand::Release { leg: Some(0) };
                self.agent.send_to_exchange(now, ExchangeId(1), id, release, &mut outputs);
            }
            CallEvent::CallerGaveUp(id) => {
                let cancel = ExchangeCommand::CancelSetUp { leg: 0 };
                self.agent.send_to_exchange(now, ExchangeId(1), id, cancel, &mut outputs);
            }
            _ => {}
        }
        self.carry_out(outputs);
    }

    fn message(&self, step: &Step) -> Option<Message> {
        match step {
            Step::Request(method) => {
                let in_dialog = matches!(*method, "ACK" | "BYE");
                Some(request(method, self.tag.as_deref().filter(|_| in_dialog), 0))
            }
            Step::Response(status) => {
                let response = Message::response(*status, "R", &self.last_request.as_ref()?.headers);
                Some(response.with("Contact", "<sip:x@127.0.0.1:5071;transport=udp>"))
            }
        }
    }

    fn step(&mut self, step: &Step, mutations: &[Mutation], over_tcp: bool) {
        self.now += 0.6;
        let Some(message) = self.message(step) else { return };
        let bytes = mutate(&message, mutations);
        let transport = if over_tcp { Transport::Tcp } else { Transport::Udp };
        let from = Hop { transport, addr: ([127, 0, 0, 1], 7000).into() };
        let received = if over_tcp { framed(&bytes) } else { Message::parse_datagram(&bytes).ok() };
        let mut outputs = Vec::new();
        if let Some(message) = received {
            self.agent.receive(Time(self.now), from, message, &mut outputs);
        }
        for timer in std::mem::take(&mut self.timers) {
            self.agent.on_timer(Time(self.now), timer, &mut outputs);
        }
        self.carry_out(outputs);
    }
}

fn framed(bytes: &[u8]) -> Option<Message> {
    let mut framer = Framer::default();
    framer.push(bytes);
    framer.next_message().ok()??.ok()
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// Guards against messages that end the agent by a panic, such as a folded Via whose last character has two bytes, in
/// any state of a call; and against messages of the agent that nobody can read.
#[test]
fn no_message_ends_the_agent() {
    let dialogue = |steps: Vec<(Step, Vec<Mutation>, bool)>| {
        let mut dialogue =
            Dialogue { agent: agent(), now: 100.0, last_request: None, tag: None, timers: Vec::new() };
        for (step, mutations, over_tcp) in &steps {
            dialogue.step(step, mutations, *over_tcp);
        }
        Ok(())
    };
    TestRunner::new(config(DIALOGUES)).run(&steps(), dialogue).expect("every message is handled");
}

/// Draws messages that callers might send.
fn drawn_messages(count: usize) -> Vec<Vec<u8>> {
    let mut runner = TestRunner::new(config(1));
    let strategy = (step(), mutations(), proptest::option::of(Just("some-tag")));
    let draw = |call: usize| {
        let drawn = strategy.new_tree(&mut runner).expect("the strategy has no filter").current();
        let message = match drawn.0 {
            Step::Request(method) => request(method, drawn.2, call),
            Step::Response(status) => {
                Message::response(status, "R", &request("INVITE", drawn.2, call).headers)
            }
        };
        mutate(&message, &drawn.1)
    };
    (0..count).map(draw).collect()
}

fn send_over_udp(proxy: SocketAddr, messages: &[Vec<u8>]) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for messages in messages.chunks(DATAGRAMS_AT_ONCE) {
        for message in messages.iter().filter(|message| message.len() <= MAX_MESSAGE_BYTES) {
            socket.send_to(message, proxy).expect("the datagram is sent");
        }
        sleep(DATAGRAM_PAUSE);
    }
}

fn send_over_tcp(proxy: SocketAddr, messages: &[Vec<u8>]) {
    for messages in messages.chunks(MESSAGES_PER_CONNECTION) {
        let Ok(mut stream) = TcpStream::connect(proxy) else { continue };
        for message in messages {
            // The proxy may have closed the connection after an earlier message.
            if stream.write_all(message).is_err() {
                break;
            }
        }
    }
}

/// The course of a usual call.
fn assert_serves(proxy: &Proxy, exchange: &Exchange, transport: Transport, what: &str) {
    let mut caller = Caller::new(proxy.addr, transport);
    let invite = caller.invite(what, 5000, b"offer");
    caller.send(&invite);
    let success = caller.final_response("INVITE");
    assert_eq!(success.status(), Some(200), "{what}");
    caller.send(&caller.in_dialog(&success, "ACK"));
    exchange.release(what);
    let bye = caller.request("BYE");
    caller.send(&Message::response(200, "OK", &bye.headers));
}

/// Guards against a message that leaves the ports of the SIP front open with nothing behind them: after thousands of odd
/// messages over each transport the front serves, and the call that stood before is released.
#[test]
fn the_sip_front_serves_after_thousands_of_odd_messages() {
    let exchange = Exchange::start();
    let entries: String = [(1, "answer-first"), (2, "answer-udp"), (3, "answer-tcp")]
        .iter()
        .map(|(number, prefix)| exchange.entry(*number, prefix, Transport::Tcp))
        .collect();
    let proxy = Proxy::start(&entries, "");
    let mut caller = Caller::new(proxy.addr, Transport::Tcp);
    caller.send(&caller.invite("answer-first", 5000, b"offer"));
    let success = caller.final_response("INVITE");
    caller.send(&caller.in_dialog(&success, "ACK"));
    let messages = drawn_messages(MESSAGES);
    send_over_udp(proxy.addr, &messages);
    assert_serves(&proxy, &exchange, Transport::Udp, "answer-udp");
    send_over_tcp(proxy.addr, &messages);
    assert_serves(&proxy, &exchange, Transport::Tcp, "answer-tcp");
    exchange.release("answer-first");
    assert_eq!(caller.request("BYE").get("Reason"), Some("Q.850;cause=16"));
}
