//! What the owner of a connection is told about its end.

use std::time::Duration;

use mallowring::net::conn::{CloseReason, ConnectionEvent, ConnectionHandle, SendQueues};
use mallowring::net::{supervision, Executor};
use mallowring::sip::message::Message;
use smol::channel::{unbounded, Receiver};
use smol::net::{TcpListener, TcpStream};

/// Opens a connection with a send queue; the peer's end does not read.
async fn open(tasks: &Executor) -> (ConnectionHandle, Receiver<ConnectionEvent>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
    let (peer, _) = listener.accept().await.expect("connected");
    let (mailbox, events) = unbounded();
    let queues = SendQueues::new(1 << 20);
    let timeout = Duration::from_secs(1);
    let handle = ConnectionHandle::open(tasks, &queues, stream, mailbox, timeout, |event| event);
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
