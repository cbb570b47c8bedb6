//! Bad clients send requests with as many headers as a message holds, at full speed.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use crate::harness::*;
use crate::platform::*;

/// "32 to 192 MB depending on language and day, and 256 to 1,024 descriptors".
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: u32 = 1024;
/// Bad clients: "hundreds of requests at once", and fewer than the third of the descriptors that callers may hold.
const CLIENTS: usize = 300;
/// For how long they send, in seconds.
const SENDING: f64 = 4.0;
/// "No message holds more than 16 KiB."
const MESSAGE_BYTES: usize = 16 * 1024;

/// A test, `OPTIONS`, filled up to the longest message with headers, which "are free".
fn long_request() -> Vec<u8> {
    let first = "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000bb\r\nCSeq: 1 OPTIONS\r\n";
    let last = "Content-Length: 0\r\n\r\n";
    let header = "a: 1\r\n";
    let headers = header.repeat((MESSAGE_BYTES - first.len() - last.len()) / header.len());
    format!("{first}{headers}{last}").into_bytes()
}

fn plain_request() -> Vec<u8> {
    let plain = crate::sip::Message::new("OPTIONS sip:ping@net SIP/2.0").with("Via", "SIP/2.0/TCP peer");
    plain.with("Call-ID", "00000000000000bb").with("CSeq", "1 OPTIONS").bytes()
}

/// A value of /proc/PID/status in kB.
fn status_kb(process: &Process, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).unwrap_or_default();
    let value =
        status.lines().find_map(|line| line.strip_prefix(key)?.split_whitespace().next()?.parse().ok());
    value.unwrap_or(0)
}

pub fn run(setting: &Setting) -> Outcome {
    let (record, reports) = (&setting.record, Reports::default());
    let at = free_address()?;
    let arguments = ["exchange", "X2", &at.to_string(), "40", "0", "60"].map(str::to_owned);
    let _exchange = start_standin(setting, &arguments, &reports)?;
    if !wait_for(5.0, || !reported(&reports, "X2 listens").is_empty()) {
        return Err("the exchange does not listen".into());
    }
    let bulletin = Bulletin::start(record)?;
    let own = instance("s-00000000", free_address()?, 0, "ready", 0);
    bulletin.tell(&[own, instance("s-00000002", at, 2, "ready", 0)]);
    let (mut proxy, listen) = start_platform_proxy_with(setting, &bulletin, MEMORY_MB, DESCRIPTORS)?;
    let caller = Caller::connect(record, listen)?;
    caller.call("9b1f03aa5c7e0001", 2, "obras-viales");
    if !wait_for(3.0, || caller.stands("9b1f03aa5c7e0001")) {
        return Err("a call does not stand".into());
    }
    let kb = |key: &str| status_kb(&proxy, key);
    record.line(format!("memory of the proxy: {} kB", kb("VmRSS:")));
    // The bad clients send one request after the other and read what is sent to them; others send one every half second.
    let message = if setting.trouble { long_request() } else { plain_request() };
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let stream = TcpStream::connect(listen)?;
        stream.set_nonblocking(true)?;
        clients.push(Some((stream, 0, 0.0)));
    }
    record.line(format!("{CLIENTS} clients are connected; each request has {} bytes", message.len()));
    let (started, mut sent, mut answered_bytes, mut noted) = (now(), 0_u64, 0_u64, 0.0);
    let mut buffer = vec![0; 64 * 1024];
    while now() - started < SENDING {
        for client in &mut clients {
            let Some((stream, offset, next_at)) = client else { continue };
            let mut ended = false;
            if *offset > 0 || setting.trouble || now() >= *next_at {
                match stream.write(&message[*offset..]) {
                    Ok(n) => *offset += n,
                    Err(error) => ended = error.kind() != ErrorKind::WouldBlock,
                }
                if *offset == message.len() {
                    (*offset, *next_at, sent) = (0, now() + 0.5, sent + 1);
                }
            }
            match stream.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(n) => answered_bytes += n as u64,
                Err(error) => ended |= error.kind() != ErrorKind::WouldBlock,
            }
            if ended {
                *client = None;
            }
        }
        if now() - noted >= 0.5 {
            noted = now();
            let open = clients.iter().flatten().count();
            record.line(format!(
                "{sent} requests sent, {answered_bytes} bytes of answers, {open} clients connected; memory of the proxy: {} \
                 kB, at most {} kB so far",
                kb("VmRSS:"),
                kb("VmHWM:")
            ));
        }
        if !setting.trouble {
            sleep(0.01);
        }
    }
    drop(clients);
    let most = kb("VmHWM:");
    if most == 0 {
        record.line(format!("judge: the proxy has ended: {:?}", proxy.0.try_wait()));
        return Ok(false);
    }
    caller.release("9b1f03aa5c7e0001");
    sleep(0.5);
    let over = most > MEMORY_MB * 1024;
    record.line(format!(
        "judge: the proxy took {most} kB at most, and its limit is {} kB{}",
        MEMORY_MB * 1024,
        if over { ": it would have been killed" } else { "" }
    ));
    Ok(!over)
}
