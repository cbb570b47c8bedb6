//! Clients that flood the SIP front, and the usual calls beside them: what an established call is owed arrives in time, and
//! new calls of others are still set up (review, case 3).

mod standin;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use mallowring::sip::header::Transport;
use mallowring::sip::message::{Framer, Message};
use standin::{Caller, Exchange, Proxy};

/// Limit from an exchange's release to the caller's, with the tolerance of the page (PROTOCOL, 'The rules on sockets').
const RELEASE_LIMIT: Duration = Duration::from_millis(1050);
/// Number of requests in vain: more than the proxy kept transactions for when it refused all others at that number.
const REQUESTS_IN_VAIN: usize = 20_300;
/// Number of requests that a client sends at once.
const AT_ONCE: usize = 300;

/// A request that is turned away: its class does not exist.
fn request_in_vain(local: SocketAddr, transport: Transport, number: usize) -> Message {
    Message::request("INVITE", "sip:50210009@127.0.0.1")
        .with("Via", format!("SIP/2.0/{} {local};rport;branch=z9hG4bKvain{number}", transport.name()))
        .with("Max-Forwards", 70)
        .with("From", format!("<sip:vain@{local}>;tag=vain{number}"))
        .with("To", "<sip:50210009@127.0.0.1>")
        .with("Call-ID", format!("vain{number}"))
        .with("CSeq", "1 INVITE")
        .with("Contact", format!("<sip:vain@{local}>"))
        .with("X-Tier", "no-such-class")
}

/// Sends `count` requests in vain over TCP, hundreds at once, and the next ones as soon as all are turned away.
fn flood_over_tcp(proxy: SocketAddr, count: usize) {
    let mut stream = TcpStream::connect(proxy).expect("the proxy accepts");
    let local = stream.local_addr().expect("it is connected");
    let mut reading = stream.try_clone().expect("a descriptor");
    let mut framer = Framer::default();
    let mut bytes = [0; 16 * 1024];
    for first in (0..count).step_by(AT_ONCE) {
        let requests =
            (first..first + AT_ONCE).flat_map(|n| request_in_vain(local, Transport::Tcp, n).to_bytes());
        let requests: Vec<u8> = requests.collect();
        let mut writing = stream.try_clone().expect("a descriptor");
        let writer = thread::spawn(move || writing.write_all(&requests));
        let mut answered = 0;
        while answered < AT_ONCE {
            while let Some(message) = framer.next_message().expect("framing") {
                answered += usize::from(message.expect("a SIP message").status() >= Some(200));
            }
            if answered < AT_ONCE {
                let n = reading.read(&mut bytes).expect("the connection is open");
                framer.push(&bytes[..n]);
            }
        }
        writer.join().expect("no panic").expect("the connection is open");
    }
    stream.flush().expect("the connection is open");
}

/// A call that is established over a transport on both sides.
fn establish(proxy: &Proxy, number: &str, transport: Transport) -> Caller {
    let mut caller = Caller::new(proxy.addr, transport);
    caller.send(&caller.invite(number, 5000, b"offer"));
    let success = caller.final_response("INVITE");
    assert_eq!(success.status(), Some(200), "{number}");
    caller.send(&caller.in_dialog(&success, "ACK"));
    caller
}

/// Releases the call at the exchange; its caller has to hear of it in time.
fn assert_released_in_time(exchange: &Exchange, number: &str, caller: &mut Caller) {
    let sent_at = Instant::now();
    exchange.release(number);
    let bye = caller.request("BYE");
    assert!(sent_at.elapsed() <= RELEASE_LIMIT, "{:?}", sent_at.elapsed());
    caller.send(&Message::response(200, "OK", &bye.headers));
}

/// Guards against a release that is answered 503 because one client's requests in vain hold all transactions for 32 s.
#[test]
fn a_release_arrives_after_more_requests_in_vain_than_there_are_transactions() {
    let exchange = Exchange::start();
    let proxy = Proxy::start(&exchange.entry(1, "answer", Transport::Tcp), "");
    let mut caller = establish(&proxy, "answer", Transport::Tcp);
    flood_over_tcp(proxy.addr, REQUESTS_IN_VAIN);
    assert_released_in_time(&exchange, "answer", &mut caller);
}

/// Clients that flood the proxy at full speed until they are dropped, and read nothing but what they have to.
struct Flood {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(clients: usize, client: impl Fn(usize, &AtomicBool) + Send + Sync + Clone + 'static) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let (stop, client) = (stop.clone(), client.clone());
            thread::spawn(move || client(number, &stop))
        };
        Flood { clients: (0..clients).map(start).collect(), stop: stop.clone() }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

fn options(local: SocketAddr, transport: Transport, number: usize) -> Message {
    Message::request("OPTIONS", "sip:ping@127.0.0.1")
        .with("Via", format!("SIP/2.0/{} {local};rport;branch=z9hG4bKping{number}", transport.name()))
        .with("From", format!("<sip:ping@{local}>;tag=ping{number}"))
        .with("To", "<sip:ping@127.0.0.1>")
        .with("Call-ID", format!("ping{number}-{local}"))
        .with("CSeq", "1 OPTIONS")
}

/// Sends requests over TCP as fast as the proxy reads them; another thread reads the responses.
fn options_over_tcp(proxy: SocketAddr, stop: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(proxy) else { return };
    let local = stream.local_addr().expect("it is connected");
    let mut reading = stream.try_clone().expect("a descriptor");
    let reader = thread::spawn(move || while reading.read(&mut [0; 64 * 1024]).is_ok_and(|n| n > 0) {});
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let requests = (number..number + 50).flat_map(|n| options(local, Transport::Tcp, n).to_bytes());
        number += 50;
        if stream.write_all(&requests.collect::<Vec<u8>>()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
}

fn options_over_udp(proxy: SocketAddr, stop: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let local = socket.local_addr().expect("it is bound");
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let _ = socket.send_to(&options(local, Transport::Udp, number).to_bytes(), proxy);
    }
}

/// Guards against releases and set-ups that wait behind the requests of others: several clients send at full speed.
#[test]
fn calls_are_set_up_and_released_in_time_beside_clients_at_full_speed() {
    for flooded in [Transport::Tcp, Transport::Udp] {
        let exchange = Exchange::start();
        let entries = exchange.entry(1, "answer-first", Transport::Tcp)
            + &exchange.entry(2, "answer-tcp", Transport::Tcp);
        let proxy = Proxy::start(&entries, "");
        let mut first = establish(&proxy, "answer-first", Transport::Tcp);
        let addr = proxy.addr;
        let flood = Flood::start(4, move |_, stop| match flooded {
            Transport::Tcp => options_over_tcp(addr, stop),
            Transport::Udp => options_over_udp(addr, stop),
        });
        thread::sleep(Duration::from_millis(500));
        let start = Instant::now();
        let mut second = establish(&proxy, "answer-tcp", Transport::Tcp);
        assert!(start.elapsed() < Duration::from_secs(2), "{flooded:?}: {:?}", start.elapsed());
        assert_released_in_time(&exchange, "answer-first", &mut first);
        assert_released_in_time(&exchange, "answer-tcp", &mut second);
        drop(flood);
    }
}

/// Guards against idle connections of one client that keep everybody else out: usual callers connect, and a call is
/// released to a caller whose connection is gone.
#[test]
fn idle_connections_of_one_client_keep_nobody_out() {
    let exchange = Exchange::start();
    let proxy = Proxy::start(&exchange.entry(1, "answer", Transport::Tcp), "");
    let crowd: Vec<TcpStream> =
        (0..2 * 1024 / 3).filter_map(|_| TcpStream::connect(proxy.addr).ok()).collect();
    let mut caller = establish(&proxy, "answer", Transport::Tcp);
    assert_released_in_time(&exchange, "answer", &mut caller);
    drop(crowd);
}
