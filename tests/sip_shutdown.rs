//! The SIP front after a shutdown request: what an established call is owed is delivered before the proxy ends.

mod standin;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use mallowring::sip::header::Transport;
use mallowring::sip::message::Message;
use standin::{set_header, Caller, Exchange, Proxy};

/// Time after the shutdown request from which set-ups are refused, with the interval of the proxy's checks.
const SERVING_PERIOD: Duration = Duration::from_millis(760);
/// Time within which a refusal arrives that is given at once, on a busy test machine.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Time within which the proxy ends after its last release was confirmed.
const END_LIMIT: Duration = Duration::from_secs(3);

/// Guards against an exit that drops a release: the exchange has released the call, and the caller's ACK is still on its
/// way, before which no BYE may be sent (RFC 3261, section 15). The first BYE is lost, so that it has to be repeated.
#[test]
fn a_release_is_delivered_before_the_end_although_its_ack_is_late_and_its_first_datagram_lost() {
    let exchange = Exchange::start();
    let proxy = Proxy::start(&exchange.entry(1, "hangup", Transport::Udp), "");
    let mut caller = Caller::new(proxy.addr, Transport::Udp);
    let invite = caller.invite("hangup", 5000, b"offer");
    caller.send(&invite);
    let response = caller.final_response("INVITE");
    assert_eq!(response.status(), Some(200));
    exchange.wait_for("hangup", "ACK");
    proxy.shut_down();
    // The earliest time of SIGKILL, which does not come, is over by then.
    sleep(Duration::from_millis(4000));
    caller.send(&caller.in_dialog(&response, "ACK"));
    let lost = caller.request("BYE");
    let repeated = caller.request("BYE");
    assert_eq!(lost.get("Via"), repeated.get("Via"), "a retransmission");
    caller.send(&Message::response(200, "OK", &repeated.headers));
    assert!(proxy.has_ended_within(END_LIMIT));
}

/// Guards both rules of a planned restart on the SIP front: set-ups on open connections are refused at once until the
/// earliest SIGKILL and after it, and the release of a call that stands for longer arrives.
#[test]
fn set_ups_are_refused_at_once_and_a_later_release_arrives() {
    for transport in [Transport::Udp, Transport::Tcp] {
        let exchange = Exchange::start();
        let proxy = Proxy::start(&exchange.entry(1, "answer", transport), "");
        let mut caller = Caller::new(proxy.addr, transport);
        let invite = caller.invite("answer", 5000, b"offer");
        caller.send(&invite);
        let success = caller.final_response("INVITE");
        caller.send(&caller.in_dialog(&success, "ACK"));
        exchange.wait_for("answer", "ACK");
        proxy.shut_down();
        sleep(SERVING_PERIOD);
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(3500) {
            let mut invite = caller.invite("answer", 5000, b"offer");
            set_header(&mut invite, "Call-ID", &format!("late-{:?}", start.elapsed()));
            let sent_at = Instant::now();
            caller.send(&invite);
            let refusal = caller.final_response("INVITE");
            assert_eq!(refusal.status(), Some(480));
            assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
            caller.send(&caller.ack(&invite, &refusal));
            sleep(Duration::from_millis(200));
        }
        exchange.release("answer");
        let bye = caller.request("BYE");
        caller.send(&Message::response(200, "OK", &bye.headers));
        assert!(proxy.has_ended_within(END_LIMIT));
    }
}

/// Guards against set-ups that are lost at the end: one that crosses the close of its connection is sent again on a new
/// one, and refused there, before the port closes.
#[test]
fn a_set_up_that_crosses_the_close_is_refused_on_a_new_connection() {
    let exchange = Exchange::start();
    let proxy = Proxy::start(&exchange.entry(1, "answer", Transport::Tcp), "");
    let mut stream = TcpStream::connect(proxy.addr).expect("the proxy accepts");
    let local = stream.local_addr().expect("it is connected");
    let options = Message::request("OPTIONS", "sip:ping@127.0.0.1")
        .with("Via", format!("SIP/2.0/TCP {local};branch=z9hG4bKping"))
        .with("From", "<sip:ping@127.0.0.1>;tag=ping")
        .with("To", "<sip:ping@127.0.0.1>")
        .with("Call-ID", "ping")
        .with("CSeq", "1 OPTIONS");
    stream.write_all(&options.to_bytes()).expect("it is sent");
    proxy.shut_down();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the proxy closes it in order");
    assert!(received.starts_with(b"SIP/2.0 200"), "{}", String::from_utf8_lossy(&received));
    let mut caller = Caller::new(proxy.addr, Transport::Tcp);
    caller.send(&caller.invite("answer", 5000, b"offer"));
    assert_eq!(caller.final_response("INVITE").status(), Some(480));
    drop(stream);
    assert!(proxy.has_ended_within(END_LIMIT));
}
