//! The roster client when discovery is slow to the first line of a connection, or never speaks on one.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use mallowring::net::engine::EngineMessage;
use mallowring::net::roster::{self, RosterSource};
use smol::channel::{bounded, unbounded};
use smol::{block_on, future, Timer};

/// Time within which a change is heard once discovery can be reached.
const HEARD_LIMIT: Duration = Duration::from_secs(6);
/// Longer than any test runs.
const NEVER: Duration = Duration::from_secs(60);

/// Starts a discovery that waits on each connection before its first line, as this function says of its number, and then
/// writes what was asked for: one event that lists an exchange as draining.
fn start_discovery(first_line_after: fn(usize) -> Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            thread::spawn(move || -> std::io::Result<()> {
                let mut request = String::new();
                BufReader::new(&stream).read_line(&mut request)?;
                assert_eq!(request, "after 0\n");
                thread::sleep(first_line_after(number));
                let event = r#"{"no":1,"roster":{"generation":1,"reset":false,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:9","cell":2,"lifecycle":"draining"}]}}"#;
                writeln!(&stream, "{event}")?;
                thread::sleep(NEVER);
                Ok(())
            });
        }
    });
    addr
}

/// Runs the roster client; returns how long it took until the event was passed on.
fn heard_after(addr: SocketAddr) -> Option<Duration> {
    let started = Instant::now();
    let (engine, messages) = unbounded();
    let (_sources, updates) = bounded(1);
    let source = RosterSource { addr, known_events: Vec::new(), last_known_event: 0 };
    let client = async {
        roster::run(source, updates, engine).await;
        None
    };
    let heard = async {
        let message = messages.recv().await.ok()?;
        assert!(matches!(message, EngineMessage::Roster { .. }), "{message:?}");
        Some(started.elapsed())
    };
    let limit = async {
        Timer::after(2 * HEARD_LIMIT).await;
        None
    };
    block_on(future::or(heard, future::or(client, limit)))
}

/// Guards against a discovery that needs some seconds for the first line of each connection and is never heard: each
/// attempt undid the one before, and calls went to an exchange that was gone (review, case 7).
#[test]
fn discovery_that_is_slow_to_each_first_line_is_heard() {
    for first_line_after in [|_| Duration::from_millis(2500), |_| Duration::from_secs(5)] {
        let took = heard_after(start_discovery(first_line_after));
        assert!(took.is_some_and(|took| took < HEARD_LIMIT), "{took:?}");
    }
}

/// Guards against the wait for a connection that stays silent for ever, while discovery speaks on others.
#[test]
fn a_connection_that_stays_silent_keeps_no_other_one_waiting() {
    let took = heard_after(start_discovery(|number| if number == 0 { NEVER } else { Duration::ZERO }));
    assert!(took.is_some_and(|took| took < Duration::from_millis(2500)), "{took:?}");
    // Slow attempts among silent ones.
    let took = heard_after(start_discovery(|number| if number % 2 == 0 { NEVER } else { HEARD_LIMIT / 2 }));
    assert!(took.is_some_and(|took| took < HEARD_LIMIT), "{took:?}");
}
