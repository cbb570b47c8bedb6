//! Every parser on valid input split at random points and on random bytes, from fixed seeds.

use mallowring::admin::{http, netconf, xml};
use mallowring::net::roster::RosterReader;
use mallowring::sip::header::{self, Uri, Via};
use mallowring::sip::message::{Framer, Message};
use mallowring::wire::InstanceHost;
use quickcheck::{Arbitrary, Gen};

const MESSAGE: &str =
    "INVITE sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/TCP peer;branch=z9hG4bK1;rport\r\ni: 9b1f\r\n\
    From: \"A, <b>\" <sip:a@coop>;tag=x\r\nTo: <sip:b@[::1]:5070;transport=tcp>\r\nCSeq: 1 INVITE\r\n\
    X-Folded: one\r\n two\r\nContent-Length: 6\r\n\r\na\r\n\0\u{ff}SIP/2.0 200 OK\r\nCall-ID: 9b1f\r\n\
    CSeq: 1 BYE\r\nl: 0\r\n\r\n";

/// Feeds a parser valid input whole and split at random points, which must give the same result. Then feeds it the
/// input with random bytes overwritten, and only random bytes, which must not panic.
fn check_parser(valid: &[u8], mut parse: impl FnMut(&[&[u8]]) -> String) {
    let whole = parse(&[valid]);
    assert!(!whole.is_empty());
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(60, seed);
        let mut splits: Vec<usize> = Vec::arbitrary(&mut random);
        splits.iter_mut().for_each(|split| *split %= valid.len() + 1);
        splits.extend([0, valid.len()]);
        splits.sort_unstable();
        let pieces: Vec<&[u8]> = splits.windows(2).map(|w| &valid[w[0]..w[1]]).collect();
        assert_eq!(parse(&pieces), whole, "seed {seed}");
        let mut corrupted = valid.to_vec();
        let garbage = Vec::<u8>::arbitrary(&mut random);
        for byte in &garbage {
            let at = usize::arbitrary(&mut random) % corrupted.len();
            corrupted[at] = *byte;
        }
        parse(&[&corrupted]);
        parse(&[&garbage]);
    }
}

#[test]
fn sip_streams_are_framed() {
    // The header section of the message is text, but its body is not.
    let valid: Vec<u8> = MESSAGE.chars().map(|c| c as u8).collect();
    check_parser(&valid, |pieces| {
        let (mut framer, mut read) = (Framer::default(), Vec::new());
        for piece in pieces {
            framer.push(piece);
            loop {
                match framer.next_message() {
                    Ok(Some(message)) => read.push(format!("{message:?}")),
                    Ok(None) => break,
                    Err(lost) => return format!("{read:?} {lost:?}"),
                }
            }
        }
        read.concat()
    });
}

#[test]
fn sip_datagrams_and_their_header_values_are_parsed() {
    let valid: Vec<u8> = MESSAGE.chars().map(|c| c as u8).collect();
    check_parser(&valid, |pieces| {
        let Ok(message) = Message::parse_datagram(&pieces.concat()) else { return "malformed".to_owned() };
        // A parsed message serializes to bytes that parse to the same message.
        assert_eq!(Message::parse_datagram(&message.to_bytes()).as_ref(), Ok(&message));
        let inside = message.headers.iter().map(|(_, value)| {
            let (via, address) = (Via::parse(value), header::addr_spec(value));
            let hop = Uri::parse(address).map(|uri| uri.hop());
            format!("{via:?} {address} {hop:?} {:?} {}", header::tag(value), header::first_value(value))
        });
        inside.collect()
    });
}

/// Passes whole lines only, as the callers of line parsers do.
fn lines(pieces: &[&[u8]], mut line: impl FnMut(&str) -> String) -> String {
    String::from_utf8_lossy(&pieces.concat()).lines().map(&mut line).collect()
}

#[test]
fn roster_lines_are_parsed() {
    let valid = br#"7
{"no":8,"roster":{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.9:2905","zone":"east","machineType":"std","cell":2,"lifecycle":"ready","weight":4,"startedAtMs":0}]}}
{"no":9,"other":{}}
"#;
    check_parser(valid, |pieces| {
        let mut reader = RosterReader::default();
        lines(pieces, |line| format!("{:?}", reader.read_line(line).map_err(|e| e.to_string())))
    });
}

/// Guards the sequence numbers of the roster: an event that is missing, truncated or unreadable must be requested again
/// once, and an event received twice must be applied once.
#[test]
fn a_gap_in_the_roster_events_is_requested_again() {
    let mut reader = RosterReader::default();
    let event = |no: u64, id: &str, state: &str| {
        format!(
            r#"{{"no":{no},"roster":{{"instances":[{{"instanceId":"{id}","hostPort":"10.1.0.9:1","cell":2,"lifecycle":"{state}"}}]}}}}"#
        )
    };
    let mut id_of = |line: &str| match reader.read_line(line) {
        Ok(Some((_, listed))) => format!("{:?}", listed[0].entry.id.0),
        Ok(None) => "old".to_owned(),
        Err(_) => "again".to_owned(),
    };
    let received = [event(1, "a", "ready"), event(1, "a", "ready"), "1".into(), "2".into(), "2".into()];
    assert_eq!(received.map(|line| id_of(&line)), ["1", "old", "old", "again", "old"]);
    // An event that the discovery service omits although it was requested was never written, and is skipped.
    let received = [event(5, "b", "ready"), event(5, "b", "ready"), event(6, "b", "gone")[..40].into()];
    assert_eq!(received.map(|line| id_of(&line)), ["again", "2", "again"]);
    // An exchange that is gone is removed and its id is never used again.
    assert_eq!([event(6, "b", "gone"), event(7, "b", "ready")].map(|line| id_of(&line)), ["2", "3"]);
}

#[test]
fn simulator_lines_are_parsed() {
    let valid = br#"{"batch":{"at_time":8.4,"frame":1}}
{"create":{"server":3,"seed":9,"facts":{"classes":[{"name":"a","target":1.2,"give_up":9.0}],"n_instances":4}}}
{"arrival":{"server":3,"request_id":"r","ttl":3.0,"circuits":1,"far_end":2,"priority":"a"}}
{"commit":{}}
"#;
    check_parser(valid, |pieces| {
        let (mut host, mut out) = (InstanceHost::new(), Vec::new());
        let results = lines(pieces, |line| {
            format!("{:?}", host.handle_line(line, &mut out).map_err(|e| e.to_string()))
        });
        results + &String::from_utf8_lossy(&out)
    });
}

#[test]
fn http_requests_are_parsed() {
    let valid = b"PATCH /v1/tenants/acme?x HTTP/1.1\r\nAuthorization: Bearer abc\r\nContent-Length: 4\r\n\r\nnullGET / HTTP/1.0\r\n\r\n";
    check_parser(valid, |pieces| {
        let (mut buffer, mut read) = (Vec::new(), Vec::new());
        for piece in pieces {
            buffer.extend_from_slice(piece);
            loop {
                match http::parse(&buffer) {
                    Ok(Some((request, length))) => {
                        read.push(format!("{request:?}"));
                        buffer.drain(..length);
                    }
                    Ok(None) => break,
                    Err(response) => return format!("{read:?} {response:?}"),
                }
            }
        }
        read.concat()
    });
}

#[test]
fn netconf_messages_and_their_xml_are_parsed() {
    let rpc = r#"<rpc message-id="1" xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><get><filter type='subtree'>
        <t:tenants xmlns:t="urn:mallowring:tenants"><t:tenant><t:name>a&amp;b<![CDATA[<]]></t:name></t:tenant></t:tenants>
        </filter></get><!-- end --></rpc>"#;
    for chunked in [false, true] {
        let mut writer = netconf::Framer::default();
        writer.chunked = chunked;
        let valid = [writer.frame(rpc), writer.frame("<a/>")].concat();
        check_parser(&valid, |pieces| {
            let (mut framer, mut read) = (netconf::Framer::default(), Vec::new());
            framer.chunked = chunked;
            for piece in pieces {
                framer.push(piece);
                loop {
                    match framer.pull() {
                        Ok(Some(message)) => read.push(format!("{:?}", xml::parse(&message))),
                        Ok(None) => break,
                        Err(error) => return format!("{read:?} {error}"),
                    }
                }
            }
            read.concat()
        });
    }
}

/// Guards the framing: only unknown message bounds end a stream. An oversized body or a malformed message does not.
#[test]
fn only_unknown_message_bounds_end_a_stream() {
    let valid = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    let long = 20_000;
    let malformed = [
        format!("INVITE x SIP/2.0\r\nCall-ID: a\r\nContent-Length: {long}\r\n\r\n{}", "x".repeat(long)),
        "NONSENSE\r\nCall-ID: a\r\nContent-Length: 2\r\n\r\nab".to_owned(),
        "BYE sip:a SIP/2.0\r\nno colon\r\nCall-ID: a\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "BYE sip:a SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n".to_owned(),
    ];
    for bad in malformed {
        let mut framer = Framer::default();
        framer.push(format!("{bad}{valid}").as_bytes());
        let error = framer.next_message().expect("bounds").expect("whole").expect_err("malformed");
        assert_eq!(call_id(&error.headers), Some("a"));
        let next = framer.next_message().expect("bounds").expect("whole").expect("valid");
        assert_eq!(next.method(), Some("OPTIONS"));
    }
    let without_bounds = [
        "BYE sip:a SIP/2.0\r\nCall-ID: a\r\n\r\n".to_owned(),
        "BYE sip:a SIP/2.0\r\nContent-Length: -1\r\n\r\n".to_owned(),
        "BYE sip:a SIP/2.0\r\nContent-Length: 1\r\nl: 2\r\n\r\n".to_owned(),
        format!("BYE sip:a SIP/2.0\r\nX: {}", "x".repeat(long)),
    ];
    for bad in without_bounds {
        let mut framer = Framer::default();
        framer.push(bad.as_bytes());
        assert!(framer.next_message().is_err(), "{}", &bad[..40]);
    }
}

fn call_id(headers: &[(String, String)]) -> Option<&str> {
    header_value(headers, "Call-ID")
}

fn header_value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    mallowring::sip::message::header(headers, name)
}
