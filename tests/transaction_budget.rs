//! The limit on SIP transactions: what an established call owes is never refused for new work, and no source takes all.

use mallowring::interface::Time;
use mallowring::limits::transactions::{RequestKind, RECORD_BYTES};
use mallowring::sip::header::{Hop, Transport};
use mallowring::sip::message::Message;
use mallowring::sip::transaction::{
    TransactionKey, TransactionLayer, TransactionOutput, TransactionTimer, TRANSACTION_TIMEOUT,
};

/// Number of transactions of [`request`] that fit the limit.
const LIMIT: usize = 100;
/// The kinds of requests that clients flood a proxy with.
const METHODS: [&str; 3] = ["INVITE", "OPTIONS", "BYE"];

fn hop(port: u16) -> Hop {
    Hop { transport: Transport::Tcp, addr: ([127, 0, 0, 1], port).into() }
}

/// A request as it is received: its memory is that of a parsed message.
fn request(method: &str, number: usize) -> Message {
    let request = Message::request(method, "sip:50211@127.0.0.1:5060")
        .with("Via", format!("SIP/2.0/TCP 127.0.0.1:7000;branch=z9hG4bK{method}{number:06}"))
        .with("From", "<sip:a@coop>;tag=a")
        .with("To", "<sip:50211@127.0.0.1>")
        .with("Call-ID", format!("c-{number:06}"))
        .with("CSeq", format!("1 {method}"));
    Message::parse_datagram(&request.to_bytes()).expect("it is valid")
}

/// A layer with room for [`LIMIT`] transactions, and for a bit less than one more.
fn layer() -> TransactionLayer {
    let bytes = RECORD_BYTES + request("INVITE", 99_999).memory_bytes();
    TransactionLayer::with_limit(LIMIT * bytes + bytes - 1)
}

/// What became of a request.
#[derive(Debug, PartialEq)]
enum Fate {
    PassedOn(TransactionKey),
    Refused,
    Absorbed,
}

fn receive(layer: &mut TransactionLayer, from: u16, kind: RequestKind, message: Message) -> Fate {
    let mut outputs = Vec::new();
    layer.receive(Time(100.0), hop(from), kind, message, &mut outputs);
    let passed_on = outputs.iter().find_map(|output| match output {
        TransactionOutput::Request(key, ..) => Some(key.clone()),
        _ => None,
    });
    let is_refusal = |output: &TransactionOutput| matches!(output, TransactionOutput::Send(_, _, m) if m.status() == Some(503));
    match passed_on {
        Some(key) => Fate::PassedOn(key),
        None if outputs.iter().any(is_refusal) => Fate::Refused,
        None => Fate::Absorbed,
    }
}

fn turn_away(layer: &mut TransactionLayer, key: &TransactionKey, request: &Message) {
    let refusal = Message::response(488, "Not Acceptable Here", &request.headers);
    layer.respond(Time(100.0), key, refusal, &mut Vec::new());
}

/// Sends requests from one source and turns each away; returns how many were refused for want of room.
fn flood(layer: &mut TransactionLayer, from: u16, method: &str, numbers: std::ops::Range<usize>) -> usize {
    let mut refused = 0;
    for number in numbers {
        let message = request(method, number);
        match receive(layer, from, RequestKind::New, message.clone()) {
            Fate::PassedOn(key) => turn_away(layer, &key, &message),
            _ => refused += 1,
        }
    }
    refused
}

/// Guards against a BYE that gets 503 because requests in vain hold all transactions (review, case 3).
#[test]
fn what_an_established_call_owes_is_admitted_at_the_limit() {
    for method in METHODS {
        let mut layer = layer();
        flood(&mut layer, 7001, method, 0..5 * LIMIT);
        for (number, owed) in ["BYE", "CANCEL"].into_iter().enumerate() {
            let fate = receive(&mut layer, 7002, RequestKind::Owed, request(owed, 10_000 + number));
            assert!(matches!(fate, Fate::PassedOn(_)), "{method}: {fate:?}");
        }
    }
    // Even when no transaction may be forgotten.
    let mut layer = layer();
    for source in 0..4 {
        for number in 0..LIMIT {
            receive(
                &mut layer,
                7001 + source,
                RequestKind::New,
                request("INVITE", 1000 * source as usize + number),
            );
        }
    }
    assert_eq!(receive(&mut layer, 7009, RequestKind::New, request("INVITE", 9_000)), Fate::Refused);
    let fate = receive(&mut layer, 7009, RequestKind::Owed, request("BYE", 9_001));
    assert!(matches!(fate, Fate::PassedOn(_)), "{fate:?}");
}

/// Guards against requests that are turned away and keep others out for 32 s: the oldest of the busiest source is
/// forgotten, and the retransmissions of other sources are still absorbed.
#[test]
fn a_flood_of_requests_in_vain_refuses_nobody_and_forgets_only_its_own() {
    let mut layer = layer();
    let usual = request("OPTIONS", 90_000);
    let Fate::PassedOn(key) = receive(&mut layer, 7002, RequestKind::New, usual.clone()) else {
        panic!("refused")
    };
    turn_away(&mut layer, &key, &usual);
    assert_eq!(flood(&mut layer, 7001, "OPTIONS", 0..20 * LIMIT), 0);
    assert!(layer.len() <= LIMIT, "{}", layer.len());
    let last = request("OPTIONS", 20 * LIMIT - 1);
    assert_eq!(receive(&mut layer, 7001, RequestKind::New, last), Fate::Absorbed);
    assert_eq!(receive(&mut layer, 7002, RequestKind::New, usual), Fate::Absorbed);
}

/// Guards against one source that takes the whole limit with requests that have no final response yet.
#[test]
fn a_source_holds_half_of_the_limit_at_most_in_requests_without_a_response() {
    let mut layer = layer();
    let open = |layer: &mut TransactionLayer, from: u16, number| {
        receive(layer, from, RequestKind::New, request("INVITE", number))
    };
    let admitted = (0..LIMIT).filter(|n| open(&mut layer, 7001, *n) != Fate::Refused).count();
    assert_eq!(admitted, LIMIT / 2);
    assert!(matches!(open(&mut layer, 7002, 5_000), Fate::PassedOn(_)));
}

/// Guards the counts of the budget: after every transaction has expired, the whole limit is free again.
#[test]
fn expired_transactions_make_room() {
    let mut layer = layer();
    flood(&mut layer, 7001, "INVITE", 0..LIMIT);
    let still_kept = Time(100.0 + TRANSACTION_TIMEOUT - 0.1);
    layer.on_timer(still_kept, TransactionTimer::ServerExpiry, &mut Vec::new());
    assert_eq!(layer.len(), LIMIT);
    let mut outputs = Vec::new();
    let expired = Time(100.0 + TRANSACTION_TIMEOUT);
    layer.on_timer(expired, TransactionTimer::ServerExpiry, &mut outputs);
    assert!(layer.is_empty());
    assert_eq!(outputs, [], "no timer is left for transactions that are gone");
    for source in [7001, 7002] {
        for number in 0..LIMIT / 2 {
            let invite = request("INVITE", 1000 * usize::from(source) + number);
            let fate = receive(&mut layer, source, RequestKind::New, invite);
            assert!(matches!(fate, Fate::PassedOn(_)), "{fate:?}");
        }
    }
}

/// Guards against a flood that leaves a timer for each request, which costs more memory than the transactions.
#[test]
fn a_flood_leaves_one_timer() {
    let mut layer = layer();
    let mut timers = 0;
    for number in 0..10 * LIMIT {
        let message = request("OPTIONS", number);
        let Fate::PassedOn(key) = receive(&mut layer, 7001, RequestKind::New, message.clone()) else {
            continue;
        };
        let mut outputs = Vec::new();
        let refusal = Message::response(488, "Not Acceptable Here", &message.headers);
        layer.respond(Time(100.0), &key, refusal, &mut outputs);
        timers += outputs.iter().filter(|o| matches!(o, TransactionOutput::StartTimer(..))).count();
    }
    assert_eq!(timers, 1);
}
