//! Nearly valid messages from a fixed seed, from callers and from an exchange, against the built program: no input may
//! end an actor of the platform front.

mod deployment;
mod fuzz;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

use deployment::{call_ids, Deployment};
use fuzz::{mutate, mutations};
use mallowring::sip::message::Message;
use mallowring_standin::discovery::{Lifecycle, RosterEntry};
use mallowring_standin::messages::{trunk_group_state, CallScript, SetUp};
use mallowring_standin::record::now;
use mallowring_standin::{run, sleep};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Seed of every draw in this file.
const SEED: u64 = 34;
/// Number of messages of the callers, and of the exchange.
const MESSAGES: usize = 2_000;
/// Number of messages sent on one connection.
const MESSAGES_PER_CONNECTION: usize = 25;
/// The number of the exchange that sends odd messages.
const ODD_EXCHANGE: i64 = 2;

fn caller_message(kind: usize, call: usize) -> Message {
    let call_id = format!("{call:016x}");
    let plain = |method: &str| {
        Message::request(method, "sip:a5-h10@net")
            .with("Via", "SIP/2.0/TCP peer")
            .with("Call-ID", &call_id)
            .with("CSeq", format!("1 {method}"))
    };
    let number = CallScript { answer_ms: 5, hold_ms: 10 }.called_number();
    match kind {
        0 => plain("CANCEL"),
        1 => plain("BYE"),
        2 => plain("OPTIONS"),
        3 => plain("NOTIFY"),
        4 => Message::response(200, "OK", &plain("INVITE").headers),
        _ => SetUp { call_id, number, deadline_ms: 1000, destination: 1 }.message(),
    }
}

fn exchange_message(kind: usize, call: usize) -> Message {
    match kind {
        0 => trunk_group_state(5, 9),
        1 => caller_message(1, call).with("Reason", "Q.850;cause=16").with("X-Gauges", "idle:1;circuits:2"),
        2 => caller_message(2, call),
        3 => Message::response(503, "Full", &caller_message(9, call).headers).with("X-Outcome", "overload"),
        _ => Message::response(200, "OK", &caller_message(9, call).headers),
    }
}

fn drawn(message: fn(usize, usize) -> Message) -> Vec<Vec<u8>> {
    let config = Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config);
    let strategy = (0..8_usize, mutations());
    let draw = |call: usize| {
        let (kind, mutations) = strategy.new_tree(&mut runner).expect("no filter").current();
        mutate(&message(kind, call % 64), &mutations)
    };
    (0..MESSAGES).map(draw).collect()
}

/// Sends messages on connections to an address, a few on each.
fn send(addr: SocketAddr, messages: &[Vec<u8>]) {
    for messages in messages.chunks(MESSAGES_PER_CONNECTION) {
        let Ok(mut stream) = TcpStream::connect(addr) else { continue };
        // The proxy may close the connection after any message.
        let _ = messages.iter().try_for_each(|message| stream.write_all(message));
    }
}

/// Sends messages on the connections that the proxy opens, a few on each.
fn send_as_exchange(listener: &TcpListener, messages: &[Vec<u8>]) {
    for messages in messages.chunks(MESSAGES_PER_CONNECTION) {
        let Ok((mut stream, _)) = listener.accept() else { return };
        let _ = messages.iter().try_for_each(|message| stream.write_all(message));
    }
}

/// Guards against a message that ends an actor: after thousands of odd ones the proxy sets calls up and releases them,
/// and its process has logged no panic.
#[test]
fn the_platform_front_serves_after_thousands_of_odd_messages() {
    run(async |tasks| {
        let mut deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(0xabc, 2);
        deployment.establish(&caller, 1, &calls[..1], 6_000).await;
        let odd_exchange = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let entry = RosterEntry {
            id: "odd".to_owned(),
            number: ODD_EXCHANGE,
            addr: odd_exchange.local_addr().expect("it is bound"),
            lifecycle: Lifecycle::Ready,
            started_at_ms: 0,
        };
        deployment.discovery.publish(false, &[entry]);
        let exchange = std::thread::spawn(move || {
            let messages = drawn(exchange_message);
            send_as_exchange(&odd_exchange, &messages);
        });
        let listen = deployment.proxy.listen;
        let callers = std::thread::spawn(move || send(listen, &drawn(caller_message)));
        while !exchange.is_finished() || !callers.is_finished() {
            sleep(0.01).await;
        }
        deployment.establish(&caller, 1, &calls[1..], 100).await;
        let unreleased = deployment.unreleased_by(&calls, now() + 8.0).await;
        assert!(unreleased.is_empty(), "{unreleased:?}\n{}", deployment.proxy.log());
        assert!(deployment.proxy.try_exit_success().is_none(), "{}", deployment.proxy.log());
        assert!(!deployment.proxy.log().contains("panic"), "{}", deployment.proxy.log());
    });
}
