//! The SIP front on loopback sockets: the same scripted calls must have the same outcomes over UDP, TCP and mixes.
//! Callers and exchanges are stand-ins written from RFC 3261. No assertion depends on how long an operation takes.

mod standin;

use std::sync::mpsc;
use std::thread;

use mallowring::sip::header::Transport;
use mallowring::sip::message::Message;
use standin::{set_header, Caller, Exchange, Proxy};

const TRANSPORT_PAIRS: [(Transport, Transport); 4] = [
    (Transport::Udp, Transport::Udp),
    (Transport::Tcp, Transport::Tcp),
    (Transport::Udp, Transport::Tcp),
    (Transport::Tcp, Transport::Udp),
];

/// The scripts of the stand-in exchange. The dialled number selects the script. Each script has its own exchange
/// number, so that what the controller learns from one script does not affect another.
const SCRIPTS: [&str; 9] = ["answer", "hangup", "cut", "busy", "full", "error", "reset", "silent", "cancel"];

/// Starts a proxy configured with one exchange per script, all of them the stand-in.
fn proxy(exchange: &Exchange, transport: Transport) -> Proxy {
    let entry = |(ix, script): (usize, &&str)| exchange.entry(ix + 1, script, transport);
    Proxy::start(&SCRIPTS.iter().enumerate().map(entry).collect::<String>(), "")
}

/// Runs one script and returns what the caller and the exchange received.
fn run_script(proxy: &Proxy, exchange: &Exchange, transport: Transport, script: &str) -> Vec<String> {
    let mut caller = Caller::new(proxy.addr, transport);
    let wait = if script == "silent" { 300 } else { 5000 };
    let invite = caller.invite(script, wait, b"offer \x00\xff");
    caller.send(&invite);
    if script == "cancel" {
        exchange.wait_for(script, "INVITE");
        caller.send(&caller.same_transaction(&invite, "CANCEL"));
    }
    let response = caller.final_response("INVITE");
    let mut received = vec![format!("caller: {}", response.status().unwrap_or(0))];
    received.extend(response.get("Retry-After").map(|s| format!("caller: come back after {s} s")));
    match response.status() {
        Some(200) => {
            received.push(format!("caller: {:?}", String::from_utf8_lossy(&response.body)));
            caller.send(&caller.in_dialog(&response, "ACK"));
            if script == "answer" {
                caller.send(&caller.in_dialog(&response, "BYE"));
                received.push(format!("caller: BYE {}", caller.final_response("BYE").status().unwrap_or(0)));
            } else {
                let bye = caller.request("BYE");
                received.push(format!("caller: BYE, {}", bye.get("Reason").unwrap_or("no reason")));
                caller.send(&Message::response(200, "OK", &bye.headers));
            }
        }
        _ => caller.send(&caller.ack(&invite, &response)),
    }
    received.extend(exchange.wait_for_end(script));
    received
}

#[test]
fn the_same_calls_have_the_same_outcomes_over_udp_tcp_and_both_mixes() {
    let all: Vec<Vec<Vec<String>>> = TRANSPORT_PAIRS
        .iter()
        .map(|(caller_side, exchange_side)| {
            let exchange = Exchange::start();
            let proxy = proxy(&exchange, *exchange_side);
            SCRIPTS.iter().map(|script| run_script(&proxy, &exchange, *caller_side, script)).collect()
        })
        .collect();
    for (transports, outcomes) in TRANSPORT_PAIRS.iter().zip(&all) {
        assert_eq!(outcomes, &all[0], "{transports:?}");
    }
    let expected: [&[&str]; 9] = [
        &["caller: 200", "caller: \"answer to offer \\0�\"", "caller: BYE 200", "INVITE", "ACK", "BYE"],
        &["caller: 200", "caller: \"answer to offer \\0�\"", "caller: BYE, Q.850;cause=16", "INVITE", "ACK"],
        &["caller: 200", "caller: \"answer to offer \\0�\"", "caller: BYE, Q.850;cause=41", "INVITE", "ACK"],
        &["caller: 480", "caller: come back after 2 s", "INVITE", "ACK"],
        &["caller: 480", "caller: come back after 1 s", "INVITE", "ACK"],
        // The failure may be particular to this route, so two more exchanges are tried in turn.
        &["caller: 480", "caller: come back after 1 s", "INVITE", "ACK", "INVITE", "ACK", "INVITE", "ACK"],
        // A gateway's 504 does not prove that the set-up behind it is over, so the call is not sent again.
        &["caller: 480", "caller: come back after 1 s", "INVITE", "ACK"],
        &["caller: 480", "caller: come back after 1 s", "INVITE", "CANCEL", "ACK"],
        &["caller: 487", "INVITE", "CANCEL", "ACK"],
    ];
    for (ix, script) in SCRIPTS.iter().enumerate() {
        assert_eq!(all[0][ix], expected[ix], "{script}");
    }
}

/// Guards against setting up a call twice: a caller's TCP connection is reset and the caller repeats its INVITE over
/// UDP.
#[test]
fn a_udp_retransmission_after_a_tcp_reset_makes_no_second_attempt() {
    for exchange_transport in [Transport::Udp, Transport::Tcp] {
        let exchange = Exchange::start();
        let proxy = proxy(&exchange, exchange_transport);
        let mut caller = Caller::new(proxy.addr, Transport::Tcp);
        let invite = caller.invite("answer-when-told", 5000, b"offer");
        caller.send(&invite);
        exchange.wait_for("answer-when-told", "INVITE");
        caller.reset();
        let mut caller = caller.over_transport(Transport::Udp);
        caller.send(&invite);
        assert_eq!(
            caller.response("INVITE").status(),
            Some(100),
            "the INVITE matches its transaction, so no attempt is made"
        );
        exchange.answer_held_set_up();
        let response = caller.final_response("INVITE");
        assert_eq!(response.status(), Some(200));
        // A retransmission after the answer is absorbed as well.
        caller.send(&invite);
        caller.send(&caller.in_dialog(&response, "ACK"));
        // The dialog was established over TCP and continues over UDP.
        caller.send(&caller.in_dialog(&response, "BYE"));
        assert_eq!(caller.final_response("BYE").status(), Some(200));
        assert_eq!(exchange.wait_for_end("answer-when-told"), ["INVITE", "ACK", "BYE"]);
    }
}

/// The legs of the call use different transports, and the caller changes its transport within the dialog.
#[test]
fn a_dialog_continues_over_another_transport() {
    for (first, then) in [(Transport::Udp, Transport::Tcp), (Transport::Tcp, Transport::Udp)] {
        for exchange_transport in [Transport::Udp, Transport::Tcp] {
            let exchange = Exchange::start();
            let proxy = proxy(&exchange, exchange_transport);
            let mut caller = Caller::new(proxy.addr, first);
            let invite = caller.invite("answer", 5000, b"offer");
            caller.send(&invite);
            let response = caller.final_response("INVITE");
            caller.send(&caller.in_dialog(&response, "ACK"));
            let mut moved_caller = caller.over_transport(then);
            moved_caller.send(&moved_caller.in_dialog(&response, "BYE"));
            assert_eq!(moved_caller.final_response("BYE").status(), Some(200));
            assert_eq!(exchange.wait_for_end("answer"), ["INVITE", "ACK", "BYE"]);
        }
    }
}

#[test]
fn invalid_requests_get_final_responses() {
    let exchange = Exchange::start();
    let proxy = proxy(&exchange, Transport::Udp);
    type Alter = fn(&mut Message);
    let cases: [(Alter, u16); 8] = [
        (|m| set_header(m, "X-Tier", "no-such-class"), 488),
        (|m| set_header(m, "From", "<sip:a@stranger>;tag=s"), 403),
        (|m| m.start_line = Message::request("INVITE", "sip:nowhere@x").start_line, 404),
        (|m| m.start_line = Message::request("INVITE", "tel:+5021").start_line, 416),
        (|m| set_header(m, "X-Deadline", "soon"), 400),
        (|m| set_header(m, "Max-Forwards", "0"), 483),
        (|m| set_header(m, "Require", "100rel"), 420),
        (|m| m.headers.retain(|(n, _)| n != "Contact"), 400),
    ];
    for transport in [Transport::Udp, Transport::Tcp] {
        for (alter, status) in cases {
            let mut caller = Caller::new(proxy.addr, transport);
            let mut invite = caller.invite("answer", 5000, b"");
            alter(&mut invite);
            caller.send(&invite);
            let response = caller.final_response("INVITE");
            assert_eq!(response.status(), Some(status), "{invite:?}");
            caller.send(&caller.ack(&invite, &response));
        }
        let mut caller = Caller::new(proxy.addr, transport);
        let unsent_invite = caller.invite("answer", 5000, b"");
        for (method, status) in [("BYE", 481), ("CANCEL", 481), ("OPTIONS", 200), ("REGISTER", 405)] {
            let mut message = caller.same_transaction(&unsent_invite, method);
            set_header(&mut message, "Via", &caller.via());
            caller.send(&message);
            assert_eq!(caller.final_response(method).status(), Some(status), "{method}");
        }
    }
    assert!(exchange.wait_for_end("answer").is_empty(), "no request reached the exchange");
}

/// Guards the framing: after a malformed message, the stream stays open and the next message is read.
#[test]
fn malformed_messages_get_400_on_a_stream_and_nothing_as_datagrams() {
    let exchange = Exchange::start();
    let proxy = proxy(&exchange, Transport::Udp);
    let malformed = b"INVITE sip:x SIP/3.0\r\nCall-ID: c-9\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\nabc";
    let mut caller = Caller::new(proxy.addr, Transport::Tcp);
    caller.send_raw(malformed);
    let bad_request = caller.next_message();
    assert_eq!((bad_request.status(), bad_request.get("Call-ID")), (Some(400), Some("c-9")));
    let options = |caller: &mut Caller| {
        let unsent_invite = caller.invite("answer", 5000, b"");
        let mut message = caller.same_transaction(&unsent_invite, "OPTIONS");
        set_header(&mut message, "Via", &caller.via());
        caller.send(&message);
        caller.next_message().status()
    };
    assert_eq!(options(&mut caller), Some(200), "the stream stays open");
    let mut caller = Caller::new(proxy.addr, Transport::Udp);
    caller.send_raw(malformed);
    caller.send_raw(b"\xff\xfe");
    assert_eq!(options(&mut caller), Some(200), "the malformed datagrams get no response");
}

/// Guards against blocking on a slow reader: a caller that never reads must not delay other callers.
#[test]
fn a_caller_that_never_reads_does_not_block_others() {
    let exchange = Exchange::start();
    let proxy = proxy(&exchange, Transport::Udp);
    let (done, finished) = mpsc::channel();
    let addr = proxy.addr;
    thread::spawn(move || {
        let mut slow_reader = Caller::new(addr, Transport::Tcp);
        let unsent_invite = slow_reader.invite("answer", 5000, b"");
        for _ in 0..20_000 {
            let mut message = slow_reader.same_transaction(&unsent_invite, "OPTIONS");
            set_header(&mut message, "Via", &slow_reader.via());
            // The proxy closes its connection eventually.
            if !slow_reader.try_send(&message) {
                break;
            }
        }
        let _ = done.send(());
    });
    let outcome = run_script(&proxy, &exchange, Transport::Tcp, "answer");
    assert_eq!(outcome.first().map(String::as_str), Some("caller: 200"));
    finished.recv().expect("the caller that never reads stops as well");
}
