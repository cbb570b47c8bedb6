//! What the owner of a connection is told about its end.

use std::time::Duration;

use mallowring::limits::slow_reader::{ReadingProgress, LONG_QUEUE_BYTES, PATIENCE};
use mallowring::net::conn::{CloseReason, ConnectionBuffers, ConnectionEvent, ConnectionHandle, ReadLimits};
use mallowring::net::turns::Turns;
use mallowring::net::{supervision, Executor};
use mallowring::sip::message::{Framer, Message};
use smol::channel::{unbounded, Receiver};
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};

/// Opens a connection with a send queue; the peer's end does not read.
async fn open(tasks: &Executor) -> (ConnectionHandle, Receiver<ConnectionEvent>, TcpStream) {
    open_with(tasks, 1 << 20).await
}

/// The same with a limit in bytes for what waits to be written.
async fn open_with(
    tasks: &Executor,
    outbound: usize,
) -> (ConnectionHandle, Receiver<ConnectionEvent>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
    let (peer, _) = listener.accept().await.expect("connected");
    let (mailbox, events) = unbounded();
    let queues = ConnectionBuffers::new(outbound, 1 << 20);
    let limits = ReadLimits {
        message_timeout: Duration::from_secs(1),
        long_messages: Turns::for_long_messages(),
        waits_for_peer: true,
    };
    let handle = ConnectionHandle::open(tasks, &queues, stream, mailbox, limits, |event| event);
    (handle, events, peer)
}

/// Guards against a connection that this proxy gives up being taken for one that its peer closed: that would prove that
/// the peer was alive, and that it had read everything.
#[test]
fn a_connection_that_the_proxy_gives_up_is_not_taken_for_closed_by_its_peer() {
    let run = supervision::run(async |tasks| {
        let (handle, events, _peer) = open(&tasks).await;
        let mut message = Message::request("INVITE", "sip:1@net");
        message.body = vec![b'x'; 8 * 1024];
        while handle.write(&message) {}
        let end = events.recv().await.expect("the reader reports the end");
        assert!(matches!(end, ConnectionEvent::Ended(CloseReason::ClosedLocally)), "{end:?}");

        let (_handle, events, peer) = open(&tasks).await;
        drop(peer);
        let end = events.recv().await.expect("the reader reports the end");
        assert!(matches!(end, ConnectionEvent::Ended(CloseReason::Closed)), "{end:?}");
        Ok(())
    });
    run.expect("no task panicked");
}

/// A release as a caller gets it.
fn release(number: usize) -> Message {
    Message::request("BYE", "sip:1@net").with("Call-ID", format!("{number:016x}")).with("CSeq", "1 BYE")
}

/// Guards against releases that are lost because many calls end at once: they don't count for the limit of the queue, and
/// all of them arrive at a peer that reads (1,000 calls of one connection were cut off; review, REPORT).
#[test]
fn a_thousand_releases_at_once_reach_a_peer_that_reads() {
    const RELEASES: usize = 1_000;
    let run = supervision::run(async |tasks| {
        let (handle, _events, peer) = open(&tasks).await;
        for number in 0..RELEASES {
            handle.write_owed(release(number)).expect("the connection is open");
        }
        let (mut framer, mut received, mut bytes) = (Framer::default(), 0, vec![0; 8192]);
        let mut peer = peer;
        while received < RELEASES {
            let n = peer.read(&mut bytes).await?;
            assert!(n > 0, "{received} releases have arrived");
            framer.push(&bytes[..n]);
            while let Ok(Some(Ok(message))) = framer.next_message() {
                assert_eq!(message, release(received));
                received += 1;
            }
        }
        assert_eq!(handle.take_undelivered(), []);
        Ok(())
    });
    run.expect("no task panicked");
}

/// Guards against releases that are lost with the connection of a peer that does not read: they are given back, in
/// order, to go out on another one.
#[test]
fn releases_that_were_not_written_are_given_back() {
    const RELEASES: usize = 200;
    let run = supervision::run(async |tasks| {
        let (handle, events, _peer) = open(&tasks).await;
        let mut answer = Message::request("INVITE", "sip:1@net");
        answer.body = vec![b'x'; 8 * 1024];
        // Fills the buffers of the kernel and the queue up to its limit.
        while handle.write(&answer) && handle.queued_bytes() <= 64 * 1024 {
            smol::future::yield_now().await;
        }
        for number in 0..RELEASES {
            handle.write_owed(release(number)).expect("the connection is open");
        }
        while handle.write(&answer) {}
        let end = events.recv().await.expect("the reader reports the end");
        assert!(matches!(end, ConnectionEvent::Ended(CloseReason::ClosedLocally)), "{end:?}");
        let expected: Vec<Message> = (0..RELEASES).map(release).collect();
        assert_eq!(handle.take_undelivered(), expected);
        assert!(handle.write_owed(release(RELEASES)).is_err(), "it is given back at once");
        Ok(())
    });
    run.expect("no task panicked");
}

/// Length in bytes of a long answer, and number of those that come in one burst.
const LONG_ANSWER_BYTES: usize = 15_000;
const BURST: usize = 200;

fn long_answer() -> Message {
    let mut answer = Message::request("INVITE", "sip:1@net").with("Call-ID", "1").with("CSeq", "1 INVITE");
    answer.body = vec![b'x'; LONG_ANSWER_BYTES];
    answer
}

/// Guards against the close of a connection because much was answered at once: the writer had not run yet, the peer read at
/// once, and its set-ups never got their answers (review, case 8).
#[test]
fn a_burst_of_long_answers_reaches_a_peer_that_reads() {
    let run = supervision::run(async |tasks| {
        let (handle, _events, mut peer) = open_with(&tasks, 8 << 20).await;
        for _ in 0..BURST {
            assert!(handle.write(&long_answer()), "the connection is open");
        }
        let mut expected = BURST * long_answer().to_bytes().len();
        let mut bytes = vec![0; 64 * 1024];
        while expected > 0 {
            let n = peer.read(&mut bytes).await?;
            assert!(n > 0, "{expected} bytes have not arrived");
            expected -= n;
        }
        Ok(())
    });
    run.expect("no task panicked");
}

/// Guards against a peer whose socket stays full and that keeps its connection, and with it memory.
#[test]
fn a_peer_that_never_reads_loses_its_connection_within_the_patience() {
    let run = supervision::run(async |tasks| {
        let (handle, events, _peer) = open_with(&tasks, 64 << 20).await;
        let started = std::time::Instant::now();
        // The buffers of the kernel grow for some time.
        while handle.write(&long_answer()) {
            let is_long = handle.queued_bytes() > 2 * LONG_QUEUE_BYTES;
            smol::Timer::after(Duration::from_micros(if is_long { 20_000 } else { 200 })).await;
        }
        let end = events.recv().await.expect("the reader reports the end");
        assert!(matches!(end, ConnectionEvent::Ended(CloseReason::ClosedLocally)), "{end:?}");
        let took = started.elapsed();
        assert!(took >= PATIENCE && took < 2 * PATIENCE + Duration::from_secs(1), "{took:?}");
        Ok(())
    });
    run.expect("no task panicked");
}

/// Guards against a slow reader that is taken for a fast one, and the other way round: what counts is how much it reads in
/// the time, not the length of its queue at one moment.
#[test]
fn a_reader_is_slow_only_if_its_queue_stays_long() {
    let start = std::time::Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let long = 10 * LONG_QUEUE_BYTES;
    let patience = PATIENCE.as_millis() as u64;
    let mut reads_nothing = ReadingProgress::default();
    assert!(!reads_nothing.is_too_slow(at(0), long, 7));
    assert!(!reads_nothing.is_too_slow(at(patience - 1), long, 7 + LONG_QUEUE_BYTES as u64 - 1));
    assert!(reads_nothing.is_too_slow(at(patience), long, 7 + LONG_QUEUE_BYTES as u64 - 1));
    let mut reads_enough = ReadingProgress::default();
    for step in 0..20 {
        assert!(!reads_enough.is_too_slow(at(step * patience), long, step * LONG_QUEUE_BYTES as u64));
    }
    let mut short_between = ReadingProgress::default();
    assert!(!short_between.is_too_slow(at(0), long, 0));
    assert!(!short_between.is_too_slow(at(1), LONG_QUEUE_BYTES, 0));
    assert!(!short_between.is_too_slow(at(patience), long, 0));
}

/// Guards against a client that sends and never reads: its requests are not read any more, so that their answers can't
/// fill memory.
#[test]
fn a_peer_that_does_not_read_is_not_read_either() {
    let run = supervision::run(async |tasks| {
        let (handle, events, mut peer) = open_with(&tasks, 64 << 20).await;
        while handle.queued_bytes() <= 2 * LONG_QUEUE_BYTES {
            assert!(handle.write(&long_answer()));
            smol::future::yield_now().await;
        }
        smol::io::AsyncWriteExt::write_all(&mut peer, &release(1).to_bytes()).await?;
        smol::Timer::after(Duration::from_millis(300)).await;
        assert!(events.is_empty(), "a request was read");
        let mut bytes = vec![0; 64 * 1024];
        let read_all = async {
            while peer.read(&mut bytes).await? > 0 {}
            Err(std::io::ErrorKind::UnexpectedEof.into())
        };
        let next_event = async { events.recv().await.map_err(std::io::Error::other) };
        let event = smol::future::or(next_event, read_all).await?;
        assert!(matches!(event, ConnectionEvent::Received(_)), "{event:?}");
        Ok(())
    });
    run.expect("no task panicked");
}
