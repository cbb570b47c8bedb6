//! The SIP front on loopback sockets: the same scripted calls over UDP, TCP and mixes have the same outcomes.
//! Callers and exchanges are stand-ins written from RFC 3261. Nothing here is judged by how long it took.

mod standin;

use std::sync::mpsc;
use std::thread;

use mallowring::sip::header::Transport;
use mallowring::sip::message::Message;
use standin::{set_header, Caller, Exchange, Proxy};

const MIXES: [(Transport, Transport); 4] = [
    (Transport::Udp, Transport::Udp),
    (Transport::Tcp, Transport::Tcp),
    (Transport::Udp, Transport::Tcp),
    (Transport::Tcp, Transport::Udp),
];

/// What the exchange does is in the number called; each script has an exchange number of its own, so that what
/// the module learns from one moves no other.
const SCRIPTS: [&str; 9] = ["answer", "hangup", "cut", "busy", "full", "error", "reset", "silent", "cancel"];

/// A proxy that knows one exchange for each script, all of them the stand-in.
fn proxy(exchange: &Exchange, transport: Transport) -> Proxy {
    let entry = |(ix, script): (usize, &&str)| exchange.entry(ix + 1, script, transport);
    Proxy::start(&SCRIPTS.iter().enumerate().map(entry).collect::<String>(), "")
}

/// Plays one script and tells what the caller and the exchange saw.
fn play(proxy: &Proxy, exchange: &Exchange, transport: Transport, script: &str) -> Vec<String> {
    let mut caller = Caller::new(proxy.addr, transport);
    let wait = if script == "silent" { 300 } else { 5000 };
    let invite = caller.invite(script, wait, b"offer \x00\xff");
    caller.send(&invite);
    if script == "cancel" {
        exchange.wait_for(script, "INVITE");
        caller.send(&caller.same_transaction(&invite, "CANCEL"));
    }
    let fin = caller.final_response("INVITE");
    let mut seen = vec![format!("caller: {}", fin.status().unwrap_or(0))];
    seen.extend(fin.get("Retry-After").map(|s| format!("caller: come back after {s} s")));
    match fin.status() {
        Some(200) => {
            seen.push(format!("caller: {:?}", String::from_utf8_lossy(&fin.body)));
            caller.send(&caller.in_dialog(&fin, "ACK"));
            if script == "answer" {
                caller.send(&caller.in_dialog(&fin, "BYE"));
                seen.push(format!("caller: BYE {}", caller.final_response("BYE").status().unwrap_or(0)));
            } else {
                let bye = caller.request("BYE");
                seen.push(format!("caller: BYE, {}", bye.get("Reason").unwrap_or("no reason")));
                caller.send(&Message::response(200, "OK", &bye.headers));
            }
        }
        _ => caller.send(&caller.ack(&invite, &fin)),
    }
    seen.extend(exchange.wait_for_end(script));
    seen
}

#[test]
fn the_same_calls_have_the_same_outcomes_over_udp_tcp_and_both_mixes() {
    let all: Vec<Vec<Vec<String>>> = MIXES
        .iter()
        .map(|(near, far)| {
            let exchange = Exchange::start();
            let proxy = proxy(&exchange, *far);
            SCRIPTS.iter().map(|script| play(&proxy, &exchange, *near, script)).collect()
        })
        .collect();
    for (mix, outcomes) in MIXES.iter().zip(&all) {
        assert_eq!(outcomes, &all[0], "{mix:?}");
    }
    let expected: [&[&str]; 9] = [
        &["caller: 200", "caller: \"answer to offer \\0�\"", "caller: BYE 200", "INVITE", "ACK", "BYE"],
        &["caller: 200", "caller: \"answer to offer \\0�\"", "caller: BYE, Q.850;cause=16", "INVITE", "ACK"],
        &["caller: 200", "caller: \"answer to offer \\0�\"", "caller: BYE, Q.850;cause=41", "INVITE", "ACK"],
        &["caller: 480", "caller: come back after 2 s", "INVITE", "ACK"],
        &["caller: 480", "caller: come back after 1 s", "INVITE", "ACK"],
        // A fault may be another way's to avoid: two more exchanges are tried, one after the other.
        &["caller: 480", "caller: come back after 1 s", "INVITE", "ACK", "INVITE", "ACK", "INVITE", "ACK"],
        // After a reset the release is awaited, then the call is sent once more; that one is answered.
        &[
            "caller: 200",
            "caller: \"answer to offer \\0�\"",
            "caller: BYE, Q.850;cause=16",
            "INVITE",
            "ACK",
            "INVITE",
            "ACK",
        ],
        &["caller: 480", "caller: come back after 1 s", "INVITE", "CANCEL", "ACK"],
        &["caller: 487", "INVITE", "CANCEL", "ACK"],
    ];
    for (ix, script) in SCRIPTS.iter().enumerate() {
        assert_eq!(all[0][ix], expected[ix], "{script}");
    }
}

/// Guards against two calls from one: a caller's TCP connection is reset and it repeats its set-up over UDP.
#[test]
fn a_udp_retransmission_after_a_tcp_reset_makes_no_second_attempt() {
    for far in [Transport::Udp, Transport::Tcp] {
        let exchange = Exchange::start();
        let proxy = proxy(&exchange, far);
        let mut caller = Caller::new(proxy.addr, Transport::Tcp);
        let invite = caller.invite("answer-when-told", 5000, b"offer");
        caller.send(&invite);
        exchange.wait_for("answer-when-told", "INVITE");
        caller.reset();
        let mut caller = caller.over_transport(Transport::Udp);
        caller.send(&invite);
        assert_eq!(caller.response("INVITE").status(), Some(100), "it is known: nothing new is sent");
        exchange.answer_held_set_up();
        let fin = caller.final_response("INVITE");
        assert_eq!(fin.status(), Some(200));
        // A repeat after the answer is absorbed too.
        caller.send(&invite);
        caller.send(&caller.in_dialog(&fin, "ACK"));
        // The dialog began over TCP and goes on over UDP.
        caller.send(&caller.in_dialog(&fin, "BYE"));
        assert_eq!(caller.final_response("BYE").status(), Some(200));
        assert_eq!(exchange.wait_for_end("answer-when-told"), ["INVITE", "ACK", "BYE"]);
    }
}

/// A dialog whose legs use different transports, and whose caller changes its own in the middle.
#[test]
fn a_dialog_goes_on_over_another_transport() {
    for (first, then) in [(Transport::Udp, Transport::Tcp), (Transport::Tcp, Transport::Udp)] {
        for far in [Transport::Udp, Transport::Tcp] {
            let exchange = Exchange::start();
            let proxy = proxy(&exchange, far);
            let mut caller = Caller::new(proxy.addr, first);
            let invite = caller.invite("answer", 5000, b"offer");
            caller.send(&invite);
            let fin = caller.final_response("INVITE");
            caller.send(&caller.in_dialog(&fin, "ACK"));
            let mut other = caller.over_transport(then);
            other.send(&other.in_dialog(&fin, "BYE"));
            assert_eq!(other.final_response("BYE").status(), Some(200));
            assert_eq!(exchange.wait_for_end("answer"), ["INVITE", "ACK", "BYE"]);
        }
    }
}

#[test]
fn what_can_not_be_done_is_answered_for_good() {
    let exchange = Exchange::start();
    let proxy = proxy(&exchange, Transport::Udp);
    type Spoil = fn(&mut Message);
    let cases: [(Spoil, u16); 8] = [
        (|m| set_header(m, "X-Tier", "no-such-class"), 488),
        (|m| set_header(m, "From", "<sip:a@stranger>;tag=s"), 403),
        (|m| m.start = Message::request("INVITE", "sip:nowhere@x").start, 404),
        (|m| m.start = Message::request("INVITE", "tel:+5021").start, 416),
        (|m| set_header(m, "X-Deadline", "soon"), 400),
        (|m| set_header(m, "Max-Forwards", "0"), 483),
        (|m| set_header(m, "Require", "100rel"), 420),
        (|m| m.headers.retain(|(n, _)| n != "Contact"), 400),
    ];
    for transport in [Transport::Udp, Transport::Tcp] {
        for (spoil, status) in cases {
            let mut caller = Caller::new(proxy.addr, transport);
            let mut invite = caller.invite("answer", 5000, b"");
            spoil(&mut invite);
            caller.send(&invite);
            let fin = caller.final_response("INVITE");
            assert_eq!(fin.status(), Some(status), "{invite:?}");
            caller.send(&caller.ack(&invite, &fin));
        }
        let mut caller = Caller::new(proxy.addr, transport);
        let lost = caller.invite("answer", 5000, b"");
        for (method, status) in [("BYE", 481), ("CANCEL", 481), ("OPTIONS", 200), ("REGISTER", 405)] {
            let mut message = caller.same_transaction(&lost, method);
            set_header(&mut message, "Via", &caller.via());
            caller.send(&message);
            assert_eq!(caller.final_response(method).status(), Some(status), "{method}");
        }
    }
    assert!(exchange.wait_for_end("answer").is_empty(), "nothing of this went out");
}

/// Guards the framing: a malformed message on a stream costs neither the stream nor the next message.
#[test]
fn malformed_messages_get_400_on_a_stream_and_nothing_as_datagrams() {
    let exchange = Exchange::start();
    let proxy = proxy(&exchange, Transport::Udp);
    let bad = b"INVITE sip:x SIP/3.0\r\nCall-ID: c-9\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\nabc";
    let mut caller = Caller::new(proxy.addr, Transport::Tcp);
    caller.send_raw(bad);
    let refusal = caller.next_message();
    assert_eq!((refusal.status(), refusal.get("Call-ID")), (Some(400), Some("c-9")));
    let options = |caller: &mut Caller| {
        let known = caller.invite("answer", 5000, b"");
        let mut message = caller.same_transaction(&known, "OPTIONS");
        set_header(&mut message, "Via", &caller.via());
        caller.send(&message);
        caller.next_message().status()
    };
    assert_eq!(options(&mut caller), Some(200), "the stream goes on");
    let mut caller = Caller::new(proxy.addr, Transport::Udp);
    caller.send_raw(bad);
    caller.send_raw(b"\xff\xfe");
    assert_eq!(options(&mut caller), Some(200), "nothing else was answered");
}

/// Guards the rule that nobody waits for a slow reader: one that never reads does not stop the others.
#[test]
fn a_caller_that_never_reads_stops_nobody() {
    let exchange = Exchange::start();
    let proxy = proxy(&exchange, Transport::Udp);
    let (done, finished) = mpsc::channel();
    let addr = proxy.addr;
    thread::spawn(move || {
        let mut deaf = Caller::new(addr, Transport::Tcp);
        let known = deaf.invite("answer", 5000, b"");
        for _ in 0..20_000 {
            let mut message = deaf.same_transaction(&known, "OPTIONS");
            set_header(&mut message, "Via", &deaf.via());
            // Its connection is closed on it in the end.
            if !deaf.try_send(&message) {
                break;
            }
        }
        let _ = done.send(());
    });
    let outcome = play(&proxy, &exchange, Transport::Tcp, "answer");
    assert_eq!(outcome.first().map(String::as_str), Some("caller: 200"));
    finished.recv().expect("the deaf caller ends as well");
}
