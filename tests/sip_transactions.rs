//! The SIP transaction layer on a simulated clock, with the same sequences over UDP and TCP.

use mallowring::interface::Time;
use mallowring::limits::transactions::RequestKind;
use mallowring::sip::header::{Hop, Transport};
use mallowring::sip::message::Message;
use mallowring::sip::transaction::{
    TransactionFailure, TransactionKey, TransactionLayer, TransactionOutput, TransactionTimer,
};

const TRANSPORTS: [Transport; 2] = [Transport::Udp, Transport::Tcp];

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

struct Harness {
    layer: TransactionLayer,
    now: f64,
    timers: Vec<(f64, TransactionTimer)>,
}

impl Harness {
    fn new() -> Self {
        Harness { layer: TransactionLayer::default(), now: 100.0, timers: Vec::new() }
    }

    fn run(
        &mut self,
        operation: impl FnOnce(&mut TransactionLayer, Time, &mut Vec<TransactionOutput>),
    ) -> Vec<TransactionOutput> {
        let mut out = Vec::new();
        operation(&mut self.layer, Time(self.now), &mut out);
        let (timers_started, other_outputs): (Vec<_>, Vec<_>) =
            out.into_iter().partition(|o| matches!(o, TransactionOutput::StartTimer(..)));
        self.timers.extend(timers_started.into_iter().filter_map(|o| match o {
            TransactionOutput::StartTimer(at, timer) => Some((at.0, timer)),
            _ => None,
        }));
        other_outputs
    }

    /// Advances the clock, firing due timers, and returns each output with the seconds since the start of the call.
    fn advance(&mut self, seconds: f64) -> Vec<(f64, TransactionOutput)> {
        let (start, end) = (self.now, self.now + seconds);
        let mut all = Vec::new();
        loop {
            self.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            if self.timers.first().is_none_or(|(at, _)| *at > end) {
                break;
            }
            let (at, timer) = self.timers.remove(0);
            self.now = at;
            let out = self.run(|layer, now, out| layer.on_timer(now, timer, out));
            all.extend(out.into_iter().map(|o| (at - start, o)));
        }
        self.now = end;
        all
    }

    fn receive(&mut self, from: Hop, message: &Message) -> Vec<TransactionOutput> {
        let message = message.clone();
        self.run(|layer, now, out| layer.receive(now, from, RequestKind::New, message, out))
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

fn times_of_sends(outputs: &[(f64, TransactionOutput)]) -> Vec<f64> {
    let sends = outputs.iter().filter(|(_, o)| matches!(o, TransactionOutput::Send(..)));
    sends.map(|(at, _)| (at * 10.0).round() / 10.0).collect()
}

#[test]
fn an_unanswered_invite_is_retransmitted_over_udp_only_and_fails_after_32_seconds_over_both() {
    for transport in TRANSPORTS {
        let mut harness = Harness::new();
        let (key, _) = harness.invite(transport);
        let outputs = harness.advance(40.0);
        let retransmissions: &[f64] = match transport {
            Transport::Udp => &[0.5, 1.5, 3.5, 7.5, 15.5, 31.5],
            Transport::Tcp => &[],
        };
        assert_eq!(times_of_sends(&outputs), retransmissions);
        assert_eq!(
            outputs.last(),
            Some(&(32.0, TransactionOutput::Failed(key, TransactionFailure::Timeout)))
        );
        assert!(harness.layer.is_empty(), "all transactions are removed");
    }
}

/// Guards against sends after a time-out: a cancelled INVITE must not be retransmitted, and its CANCEL must wait for a
/// provisional response (RFC 3261, section 9.1).
#[test]
fn a_cancelled_invite_sends_nothing_until_a_provisional_response() {
    for transport in TRANSPORTS {
        let mut harness = Harness::new();
        let (key, invite) = harness.invite(transport);
        let out = harness.run(|layer, now, out| layer.cancel_invite(now, &key, out));
        assert!(out.is_empty());
        assert!(harness.advance(5.0).is_empty(), "no retransmission");
        let trying = Message::response(100, "Trying", &invite.headers);
        assert_eq!(statuses_and_methods(&harness.receive(hop(transport, 5071), &trying)), ["CANCEL"]);
        let terminated = Message::response(487, "Request Terminated", &invite.headers);
        let out = harness.receive(hop(transport, 5071), &terminated);
        assert_eq!(statuses_and_methods(&out), ["ACK"]);
        assert!(matches!(&out[1], TransactionOutput::Response(k, m) if *k == key && m.status() == Some(487)));
    }
}

/// Guards against setting up a call twice: after the TCP connection is lost, the caller retransmits its INVITE over
/// UDP.
#[test]
fn a_udp_retransmission_after_a_tcp_reset_is_the_same_transaction() {
    let mut harness = Harness::new();
    let over_tcp = request("INVITE", Transport::Tcp);
    let out = harness.receive(hop(Transport::Tcp, 40_000), &over_tcp);
    let Some(TransactionOutput::Request(key, _, received)) = out.last().cloned() else { panic!("{out:?}") };
    assert_eq!(statuses_and_methods(&out), ["100"]);
    harness.run(|layer, now, out| {
        layer.on_connection_failed(now, hop(Transport::Tcp, 40_000), TransactionFailure::ConnectionLost, out)
    });
    let over_udp = request("INVITE", Transport::Udp);
    let out = harness.receive(hop(Transport::Udp, 7000), &over_udp);
    assert_eq!(statuses_and_methods(&out), ["100"], "only the last response is sent, over the new transport");
    assert!(matches!(&out[..], [TransactionOutput::Send(to, None, _)] if *to == hop(Transport::Udp, 7000)));
    let out = harness.respond(&key, 486, &received);
    assert!(matches!(&out[..], [TransactionOutput::Send(to, None, m)]
            if *to == hop(Transport::Udp, 7000) && m.status() == Some(486)));
    // The same holds after the final response, although the request first arrived over a reliable transport.
    let out = harness.receive(hop(Transport::Udp, 7000), &over_udp);
    assert_eq!(statuses_and_methods(&out), ["486"]);
}

#[test]
fn a_failure_response_is_retransmitted_over_udp_until_its_ack_and_a_second_one_is_never_sent() {
    for transport in TRANSPORTS {
        let mut harness = Harness::new();
        let from = hop(transport, 7000);
        let out = harness.receive(from, &request("INVITE", transport));
        let Some(TransactionOutput::Request(key, _, received)) = out.last().cloned() else {
            panic!("{out:?}")
        };
        assert_eq!(statuses_and_methods(&harness.respond(&key, 480, &received)), ["480"]);
        assert!(harness.respond(&key, 500, &received).is_empty(), "only one final response is sent");
        let retransmissions: &[f64] = if transport == Transport::Udp { &[0.5, 1.5, 3.5] } else { &[] };
        assert_eq!(times_of_sends(&harness.advance(5.0)), retransmissions);
        assert!(
            harness.receive(from, &request("ACK", transport)).is_empty(),
            "the transaction layer absorbs this ACK"
        );
        assert!(times_of_sends(&harness.advance(40.0)).is_empty());
        assert!(harness.layer.is_empty());
    }
}

#[test]
fn a_repeated_success_response_is_reported_each_time_for_its_ack() {
    for transport in TRANSPORTS {
        let mut harness = Harness::new();
        let (_, invite) = harness.invite(transport);
        let success = Message::response(200, "OK", &invite.headers);
        for _ in 0..3 {
            let out = harness.receive(hop(transport, 5071), &success);
            assert!(
                matches!(&out[..], [TransactionOutput::Response(_, m)] if m.status() == Some(200)),
                "{out:?}"
            );
        }
        assert!(times_of_sends(&harness.advance(40.0)).is_empty());
        assert!(harness.layer.is_empty());
    }
}

/// Guards against two outcomes for one attempt: a lost connection is reported once and the timer that expires later
/// reports nothing. A late 2xx response is still passed on, so that the agent can release the call.
#[test]
fn a_lost_connection_fails_its_client_transactions_once() {
    let mut harness = Harness::new();
    let (key, invite) = harness.invite(Transport::Tcp);
    let at = hop(Transport::Tcp, 5071);
    let out = harness
        .run(|layer, now, out| layer.on_connection_failed(now, at, TransactionFailure::ConnectionLost, out));
    assert_eq!(out, [TransactionOutput::Failed(key, TransactionFailure::ConnectionLost)]);
    assert!(harness
        .run(|layer, now, out| layer.on_connection_failed(now, at, TransactionFailure::ConnectionLost, out))
        .is_empty());
    let late = Message::response(200, "OK", &invite.headers);
    assert!(matches!(
        &harness.receive(hop(Transport::Udp, 5071), &late)[..],
        [TransactionOutput::Response(..)]
    ));
    assert!(harness.advance(80.0).is_empty());
    assert!(harness.layer.is_empty());
}

#[test]
fn a_request_without_a_valid_via_is_answered_at_its_source() {
    let mut harness = Harness::new();
    let mut request_without_via = request("OPTIONS", Transport::Tcp);
    request_without_via.headers.retain(|(name, _)| name != "Via");
    assert_eq!(
        statuses_and_methods(&harness.receive(hop(Transport::Tcp, 7000), &request_without_via)),
        ["400"]
    );
    request_without_via.headers.push(("Via".into(), "nonsense".into()));
    assert_eq!(
        statuses_and_methods(&harness.receive(hop(Transport::Tcp, 7000), &request_without_via)),
        ["400"]
    );
}

/// Guards against a release that a lost connection swallows: over TCP nothing else repeats it. Whichever of its two
/// connections is lost, it is sent again at once, and at growing intervals while no connection can be made.
#[test]
fn a_release_is_sent_again_when_its_connection_is_lost() {
    for lost in [7000, 40_000] {
        let mut harness = Harness::new();
        let (contact, source) = (hop(Transport::Tcp, 7000), hop(Transport::Tcp, 40_000));
        let bye = request("BYE", Transport::Tcp);
        let sent = bye.clone();
        harness.run(|layer, now, out| {
            layer.send_request_with_fallback(now, contact, Some(source), sent, out);
        });
        let fail = |harness: &mut Harness, port, failure| {
            harness.run(|layer, now, out| {
                layer.on_connection_failed(now, hop(Transport::Tcp, port), failure, out)
            })
        };
        let again = [TransactionOutput::Send(contact, None, bye.clone())];
        assert_eq!(fail(&mut harness, lost, TransactionFailure::ConnectionLost), again);
        for interval in [0.5, 1.0, 2.0] {
            assert_eq!(fail(&mut harness, 7000, TransactionFailure::Refused), []);
            let out = harness.advance(interval + 0.1);
            assert!(
                matches!(&out[..], [(at, output)] if (at - interval).abs() < 1e-6 && *output == again[0])
            );
        }
        harness.receive(contact, &Message::response(200, "OK", &bye.headers));
        assert_eq!(fail(&mut harness, 7000, TransactionFailure::ConnectionLost), [], "it is confirmed");
    }
}

/// Guards against a refusal of a set-up that a lost connection swallows: it is sent to the address in the Via, unless its
/// ACK had arrived.
#[test]
fn a_final_response_is_sent_again_when_its_connection_is_lost_before_the_ack() {
    for confirmed in [false, true] {
        let mut harness = Harness::new();
        let (source, sent_by) = (hop(Transport::Tcp, 40_000), hop(Transport::Tcp, 7000));
        let invite = request("INVITE", Transport::Tcp);
        let out = harness.receive(source, &invite);
        let key = out.iter().find_map(|output| match output {
            TransactionOutput::Request(key, ..) => Some(key.clone()),
            _ => None,
        });
        harness.respond(&key.expect("it is passed on"), 480, &invite);
        if confirmed {
            harness.receive(source, &request("ACK", Transport::Tcp));
        }
        let out = harness.run(|layer, now, out| {
            layer.on_connection_failed(now, source, TransactionFailure::ConnectionLost, out)
        });
        let is_again = |output: &TransactionOutput| matches!(output, TransactionOutput::Send(hop, None, m) if *hop == sent_by && m.status() == Some(480));
        assert_eq!(out.iter().filter(|output| is_again(output)).count(), usize::from(!confirmed), "{out:?}");
    }
}
