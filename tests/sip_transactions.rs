//! Transactions and dialogs on a clock of the test's own: the same script over UDP and TCP.

use mallowring::interface::Time;
use mallowring::sip::header::{Hop, Transport};
use mallowring::sip::message::Message;
use mallowring::sip::transaction::{
    TransactionFailure, TransactionKey, TransactionLayer, TransactionOutput, TransactionTimer,
};

const BOTH: [Transport; 2] = [Transport::Udp, Transport::Tcp];

fn hop(transport: Transport, port: u16) -> Hop {
    Hop { transport, addr: ([127, 0, 0, 1], port).into() }
}

fn request(method: &str, transport: Transport) -> Message {
    Message::request(method, "sip:50211@127.0.0.1:5060")
        .with("Via", format!("SIP/2.0/{} 127.0.0.1:7000;rport;branch=z9hG4bKone", transport.name()))
        .with("From", "<sip:a@coop>;tag=a")
        .with("To", "<sip:50211@127.0.0.1>")
        .with("Call-ID", "c-1")
        .with("CSeq", format!("1 {method}"))
}

struct Bench {
    layer: TransactionLayer,
    now: f64,
    alarms: Vec<(f64, TransactionTimer)>,
}

impl Bench {
    fn new() -> Self {
        Bench { layer: TransactionLayer::default(), now: 100.0, alarms: Vec::new() }
    }

    fn run(
        &mut self,
        work: impl FnOnce(&mut TransactionLayer, Time, &mut Vec<TransactionOutput>),
    ) -> Vec<TransactionOutput> {
        let mut out = Vec::new();
        work(&mut self.layer, Time(self.now), &mut out);
        let (wakes, rest): (Vec<_>, Vec<_>) =
            out.into_iter().partition(|o| matches!(o, TransactionOutput::StartTimer(..)));
        self.alarms.extend(wakes.into_iter().filter_map(|o| match o {
            TransactionOutput::StartTimer(at, alarm) => Some((at.0, alarm)),
            _ => None,
        }));
        rest
    }

    /// Lets time pass and returns what happens with the seconds at which it does.
    fn pass(&mut self, seconds: f64) -> Vec<(f64, TransactionOutput)> {
        let (start, end) = (self.now, self.now + seconds);
        let mut all = Vec::new();
        loop {
            self.alarms.sort_by(|a, b| a.0.total_cmp(&b.0));
            if self.alarms.first().is_none_or(|(at, _)| *at > end) {
                break;
            }
            let (at, alarm) = self.alarms.remove(0);
            self.now = at;
            let out = self.run(|layer, now, out| layer.on_timer(now, alarm, out));
            all.extend(out.into_iter().map(|o| (at - start, o)));
        }
        self.now = end;
        all
    }

    fn receive(&mut self, from: Hop, message: &Message) -> Vec<TransactionOutput> {
        let message = message.clone();
        self.run(|layer, now, out| layer.receive(now, from, message, out))
    }

    fn respond(&mut self, key: &TransactionKey, status: u16, to: &Message) -> Vec<TransactionOutput> {
        let response = Message::response(status, "R", &to.headers);
        self.run(|layer, now, out| layer.respond(now, key, response, out))
    }

    fn invite(&mut self, transport: Transport) -> (TransactionKey, Message) {
        let invite = request("INVITE", transport);
        let mut key = None;
        let sent = invite.clone();
        let out = self.run(|layer, now, out| key = layer.send_request(now, hop(transport, 5071), sent, out));
        assert_eq!(statuses_and_methods(&out), ["INVITE"]);
        (key.expect("it has a branch"), invite)
    }
}

fn statuses_and_methods(out: &[TransactionOutput]) -> Vec<String> {
    let name = |o: &TransactionOutput| match o {
        TransactionOutput::Send(_, _, m) => {
            Some(m.method().map_or(format!("{}", m.status().unwrap_or(0)), str::to_owned))
        }
        _ => None,
    };
    out.iter().filter_map(name).collect()
}

fn times_of_sends(happened: &[(f64, TransactionOutput)]) -> Vec<f64> {
    let sends = happened.iter().filter(|(_, o)| matches!(o, TransactionOutput::Send(..)));
    sends.map(|(at, _)| (at * 10.0).round() / 10.0).collect()
}

#[test]
fn an_unanswered_invite_is_repeated_over_udp_only_and_fails_after_32_seconds_over_both() {
    for transport in BOTH {
        let mut bench = Bench::new();
        let (key, _) = bench.invite(transport);
        let happened = bench.pass(40.0);
        let repeats: &[f64] = match transport {
            Transport::Udp => &[0.5, 1.5, 3.5, 7.5, 15.5, 31.5],
            Transport::Tcp => &[],
        };
        assert_eq!(times_of_sends(&happened), repeats);
        assert_eq!(
            happened.last(),
            Some(&(32.0, TransactionOutput::Failed(key, TransactionFailure::Timeout)))
        );
        assert!(bench.layer.is_empty(), "nothing stays behind");
    }
}

/// Guards the rule on sends after a time-out: an attempt given up is not sent again, not even as a repeat, and
/// its CANCEL waits for a sign of life (RFC 3261, 9.1).
#[test]
fn an_invite_called_off_is_silent_until_something_is_heard() {
    for transport in BOTH {
        let mut bench = Bench::new();
        let (key, invite) = bench.invite(transport);
        let out = bench.run(|layer, now, out| layer.cancel_invite(now, &key, out));
        assert!(out.is_empty());
        assert!(bench.pass(5.0).is_empty(), "no repeat");
        let trying = Message::response(100, "Trying", &invite.headers);
        assert_eq!(statuses_and_methods(&bench.receive(hop(transport, 5071), &trying)), ["CANCEL"]);
        let gone = Message::response(487, "Request Terminated", &invite.headers);
        let out = bench.receive(hop(transport, 5071), &gone);
        assert_eq!(statuses_and_methods(&out), ["ACK"]);
        assert!(matches!(&out[1], TransactionOutput::Response(k, m) if *k == key && m.status() == Some(487)));
    }
}

/// Guards against two calls from one: the repeat comes by another way once the connection is gone.
#[test]
fn a_udp_retransmission_after_a_tcp_reset_is_the_same_transaction() {
    let mut bench = Bench::new();
    let over_tcp = request("INVITE", Transport::Tcp);
    let out = bench.receive(hop(Transport::Tcp, 40_000), &over_tcp);
    let Some(TransactionOutput::Request(key, _, seen)) = out.last().cloned() else { panic!("{out:?}") };
    assert_eq!(statuses_and_methods(&out), ["100"]);
    bench.run(|layer, now, out| {
        layer.on_connection_failed(now, hop(Transport::Tcp, 40_000), TransactionFailure::ConnectionLost, out)
    });
    let over_udp = request("INVITE", Transport::Udp);
    let out = bench.receive(hop(Transport::Udp, 7000), &over_udp);
    assert_eq!(statuses_and_methods(&out), ["100"], "what was said last goes the new way, and nothing else");
    assert!(matches!(&out[..], [TransactionOutput::Send(to, None, _)] if *to == hop(Transport::Udp, 7000)));
    let out = bench.respond(&key, 486, &seen);
    assert!(
        matches!(&out[..], [TransactionOutput::Send(to, None, m)] if *to == hop(Transport::Udp, 7000) && m.status() == Some(486))
    );
    // After the final answer too, and though its connection was reliable.
    let out = bench.receive(hop(Transport::Udp, 7000), &over_udp);
    assert_eq!(statuses_and_methods(&out), ["486"]);
}

#[test]
fn a_refusal_is_repeated_over_udp_until_its_ack_and_a_second_one_is_never_sent() {
    for transport in BOTH {
        let mut bench = Bench::new();
        let from = hop(transport, 7000);
        let out = bench.receive(from, &request("INVITE", transport));
        let Some(TransactionOutput::Request(key, _, seen)) = out.last().cloned() else { panic!("{out:?}") };
        assert_eq!(statuses_and_methods(&bench.respond(&key, 480, &seen)), ["480"]);
        assert!(bench.respond(&key, 500, &seen).is_empty(), "one final answer");
        let repeats: &[f64] = if transport == Transport::Udp { &[0.5, 1.5, 3.5] } else { &[] };
        assert_eq!(times_of_sends(&bench.pass(5.0)), repeats);
        assert!(bench.receive(from, &request("ACK", transport)).is_empty(), "the layer's own");
        assert!(times_of_sends(&bench.pass(40.0)).is_empty());
        assert!(bench.layer.is_empty());
    }
}

#[test]
fn a_success_that_comes_again_is_told_again_for_its_ack() {
    for transport in BOTH {
        let mut bench = Bench::new();
        let (_, invite) = bench.invite(transport);
        let success = Message::response(200, "OK", &invite.headers);
        for _ in 0..3 {
            let out = bench.receive(hop(transport, 5071), &success);
            assert!(
                matches!(&out[..], [TransactionOutput::Response(_, m)] if m.status() == Some(200)),
                "{out:?}"
            );
        }
        assert!(times_of_sends(&bench.pass(40.0)).is_empty());
        assert!(bench.layer.is_empty());
    }
}

/// Guards against a second outcome for one attempt: a broken connection is told once, and the timer after it
/// tells nothing more; an answer that still comes is passed on, to be released.
#[test]
fn a_broken_connection_fails_what_waits_on_it_once() {
    let mut bench = Bench::new();
    let (key, invite) = bench.invite(Transport::Tcp);
    let at = hop(Transport::Tcp, 5071);
    let out = bench
        .run(|layer, now, out| layer.on_connection_failed(now, at, TransactionFailure::ConnectionLost, out));
    assert_eq!(out, [TransactionOutput::Failed(key, TransactionFailure::ConnectionLost)]);
    assert!(bench
        .run(|layer, now, out| layer.on_connection_failed(now, at, TransactionFailure::ConnectionLost, out))
        .is_empty());
    let late = Message::response(200, "OK", &invite.headers);
    assert!(matches!(
        &bench.receive(hop(Transport::Udp, 5071), &late)[..],
        [TransactionOutput::Response(..)]
    ));
    assert!(bench.pass(80.0).is_empty());
    assert!(bench.layer.is_empty());
}

#[test]
fn a_request_without_a_way_back_goes_back_the_way_it_came() {
    let mut bench = Bench::new();
    let mut bare = request("OPTIONS", Transport::Tcp);
    bare.headers.retain(|(name, _)| name != "Via");
    assert_eq!(statuses_and_methods(&bench.receive(hop(Transport::Tcp, 7000), &bare)), ["400"]);
    bare.headers.push(("Via".into(), "nonsense".into()));
    assert_eq!(statuses_and_methods(&bench.receive(hop(Transport::Tcp, 7000), &bare)), ["400"]);
}
