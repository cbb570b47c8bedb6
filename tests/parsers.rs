//! Every parser on random cuts of valid input and on random garbage, from fixed seeds.

use mallowring::admin::{http, netconf, xml};
use mallowring::net::roster::RosterReader;
use mallowring::sip::header::{self, Uri, Via};
use mallowring::sip::message::{Framer, Message};
use mallowring::wire::Host;
use quickcheck::{Arbitrary, Gen};

const MESSAGE: &str =
    "INVITE sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/TCP peer;branch=z9hG4bK1;rport\r\ni: 9b1f\r\n\
    From: \"A, <b>\" <sip:a@coop>;tag=x\r\nTo: <sip:b@[::1]:5070;transport=tcp>\r\nCSeq: 1 INVITE\r\n\
    X-Folded: one\r\n two\r\nContent-Length: 6\r\n\r\na\r\n\0\u{ff}SIP/2.0 200 OK\r\nCall-ID: 9b1f\r\n\
    CSeq: 1 BYE\r\nl: 0\r\n\r\n";

/// Feeds a parser valid input whole and in random cuts, which must read the same, then the same input with
/// random bytes in it and nothing but random bytes, which must not panic.
fn try_out(valid: &[u8], mut parse: impl FnMut(&[&[u8]]) -> String) {
    let whole = parse(&[valid]);
    assert!(!whole.is_empty());
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(60, seed);
        let mut cuts: Vec<usize> = Vec::arbitrary(&mut random);
        cuts.iter_mut().for_each(|cut| *cut %= valid.len() + 1);
        cuts.extend([0, valid.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &valid[w[0]..w[1]]).collect();
        assert_eq!(parse(&pieces), whole, "seed {seed}");
        let mut spoilt = valid.to_vec();
        let garbage = Vec::<u8>::arbitrary(&mut random);
        for byte in &garbage {
            let at = usize::arbitrary(&mut random) % spoilt.len();
            spoilt[at] = *byte;
        }
        parse(&[&spoilt]);
        parse(&[&garbage]);
    }
}

#[test]
fn the_framer_of_sip_streams() {
    // The head of the message is text; its body is not.
    let valid: Vec<u8> = MESSAGE.chars().map(|c| c as u8).collect();
    try_out(&valid, |pieces| {
        let (mut framer, mut read) = (Framer::default(), Vec::new());
        for piece in pieces {
            framer.push(piece);
            loop {
                match framer.pull() {
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
fn sip_datagrams_and_the_inside_of_their_headers() {
    let valid: Vec<u8> = MESSAGE.chars().map(|c| c as u8).collect();
    try_out(&valid, |pieces| {
        let Ok(message) = Message::datagram(&pieces.concat()) else { return "malformed".to_owned() };
        // What is read is written so that it reads the same.
        assert_eq!(Message::datagram(&message.bytes()).as_ref(), Ok(&message));
        let inside = message.headers.iter().map(|(_, value)| {
            let (via, address) = (Via::read(value), header::address(value));
            let hop = Uri::read(address).map(|uri| uri.hop());
            format!("{via:?} {address} {hop:?} {:?} {}", header::tag(value), header::first(value))
        });
        inside.collect()
    });
}

/// Reads whole lines only, as the adapters of lines do.
fn lines(pieces: &[&[u8]], mut line: impl FnMut(&str) -> String) -> String {
    String::from_utf8_lossy(&pieces.concat()).lines().map(&mut line).collect()
}

#[test]
fn the_lines_of_the_bulletin() {
    let valid = br#"7
{"no":8,"roster":{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.9:2905","zone":"east","machineType":"std","cell":2,"lifecycle":"ready","weight":4,"startedAtMs":0}]}}
{"no":9,"other":{}}
"#;
    try_out(valid, |pieces| {
        let mut reader = RosterReader::default();
        lines(pieces, |line| format!("{:?}", reader.read_line(line).map_err(|e| e.to_string())))
    });
}

/// Guards the numbers of the list: what is missing, cut or unreadable has to be asked for again, once, and an event
/// written twice counts once.
#[test]
fn a_gap_in_the_bulletin_is_asked_for_again() {
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
    let heard = [event(1, "a", "ready"), event(1, "a", "ready"), "1".into(), "2".into(), "2".into()];
    assert_eq!(heard.map(|line| id_of(&line)), ["1", "old", "old", "again", "old"]);
    // What the bulletin leaves out though asked was never written.
    let heard = [event(5, "b", "ready"), event(5, "b", "ready"), event(6, "b", "gone")[..40].into()];
    assert_eq!(heard.map(|line| id_of(&line)), ["again", "2", "again"]);
    // An exchange that is gone is forgotten: its id never comes back.
    assert_eq!([event(6, "b", "gone"), event(7, "b", "ready")].map(|line| id_of(&line)), ["2", "3"]);
}

#[test]
fn the_lines_of_the_simulator() {
    let valid = br#"{"batch":{"at_time":8.4,"frame":1}}
{"create":{"server":3,"seed":9,"facts":{"classes":[{"name":"a","target":1.2,"give_up":9.0}],"n_instances":4}}}
{"arrival":{"server":3,"request_id":"r","ttl":3.0,"circuits":1,"far_end":2,"priority":"a"}}
{"commit":{}}
"#;
    try_out(valid, |pieces| {
        let (mut host, mut out) = (Host::new(), Vec::new());
        let said =
            lines(pieces, |line| format!("{:?}", host.line(line, &mut out).map_err(|e| e.to_string())));
        said + &String::from_utf8_lossy(&out)
    });
}

#[test]
fn http_requests() {
    let valid = b"PATCH /v1/tenants/acme?x HTTP/1.1\r\nAuthorization: Bearer abc\r\nContent-Length: 4\r\n\r\nnullGET / HTTP/1.0\r\n\r\n";
    try_out(valid, |pieces| {
        let (mut held, mut read) = (Vec::new(), Vec::new());
        for piece in pieces {
            held.extend_from_slice(piece);
            loop {
                match http::parse(&held) {
                    Ok(Some((request, length))) => {
                        read.push(format!("{request:?}"));
                        held.drain(..length);
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
fn netconf_messages_and_their_xml() {
    let rpc = r#"<rpc message-id="1" xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><get><filter type='subtree'>
        <t:tenants xmlns:t="urn:mallowring:tenants"><t:tenant><t:name>a&amp;b<![CDATA[<]]></t:name></t:tenant></t:tenants>
        </filter></get><!-- end --></rpc>"#;
    for chunked in [false, true] {
        let mut writer = netconf::Framer::default();
        writer.chunked = chunked;
        let valid = [writer.frame(rpc), writer.frame("<a/>")].concat();
        try_out(&valid, |pieces| {
            let (mut framer, mut read) = (netconf::Framer::default(), Vec::new());
            framer.chunked = chunked;
            for piece in pieces {
                framer.push(piece);
                loop {
                    match framer.pull() {
                        Ok(Some(message)) => read.push(format!("{:?}", xml::read(&message))),
                        Ok(None) => break,
                        Err(what) => return format!("{read:?} {what}"),
                    }
                }
            }
            read.concat()
        });
    }
}

/// Guards the framing: only lost bounds end a stream; an overlong body and a message that makes no sense do not.
#[test]
fn only_lost_bounds_end_a_stream() {
    let fine = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    let long = 20_000;
    let passable = [
        format!("INVITE x SIP/2.0\r\nCall-ID: a\r\nContent-Length: {long}\r\n\r\n{}", "x".repeat(long)),
        "NONSENSE\r\nCall-ID: a\r\nContent-Length: 2\r\n\r\nab".to_owned(),
        "BYE sip:a SIP/2.0\r\nno colon\r\nCall-ID: a\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "BYE sip:a SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n".to_owned(),
    ];
    for bad in passable {
        let mut framer = Framer::default();
        framer.push(format!("{bad}{fine}").as_bytes());
        let fault = framer.pull().expect("bounds").expect("whole").expect_err("malformed");
        assert_eq!(header_of(&fault.headers), Some("a"));
        let next = framer.pull().expect("bounds").expect("whole").expect("fine");
        assert_eq!(next.method(), Some("OPTIONS"));
    }
    let lost = [
        "BYE sip:a SIP/2.0\r\nCall-ID: a\r\n\r\n".to_owned(),
        "BYE sip:a SIP/2.0\r\nContent-Length: -1\r\n\r\n".to_owned(),
        "BYE sip:a SIP/2.0\r\nContent-Length: 1\r\nl: 2\r\n\r\n".to_owned(),
        format!("BYE sip:a SIP/2.0\r\nX: {}", "x".repeat(long)),
    ];
    for bad in lost {
        let mut framer = Framer::default();
        framer.push(bad.as_bytes());
        assert!(framer.pull().is_err(), "{}", &bad[..40]);
    }
}

fn header_of(headers: &[(String, String)]) -> Option<&str> {
    header_value(headers, "Call-ID")
}

fn header_value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    mallowring::sip::message::header(headers, name)
}
