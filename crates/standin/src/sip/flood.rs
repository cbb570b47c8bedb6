//! Clients that send at full speed requests that are turned away, on threads of their own, so that the other stand-ins
//! are not held up. They read what is sent to them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use mallowring::sip::message::Message;

/// Number of requests sent at once.
const AT_ONCE: u64 = 300;
/// Shortest time between two such bursts of one client, which leaves the machine to the others.
const BURST_INTERVAL: Duration = Duration::from_millis(45);

/// What a client floods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Set-ups of a class that does not exist, to the platform front.
    PlatformSetUps,
    /// Set-ups of a class that does not exist, to the SIP front over TCP.
    SipSetUps,
    /// OPTIONS to the SIP front over UDP.
    SipOptions,
}

impl Flood {
    fn request(self, local: SocketAddr, number: u64) -> Message {
        let call = format!("f{:07x}{number:08x}", u32::from(local.port()));
        let method = if self == Flood::SipOptions { "OPTIONS" } else { "INVITE" };
        let transport = if self == Flood::SipOptions { "UDP" } else { "TCP" };
        Message::request(method, "sip:a1-h1@net")
            .with("Via", format!("SIP/2.0/{transport} {local};rport;branch=z9hG4bK{call}"))
            .with("From", format!("<sip:flood@{local}>;tag={call}"))
            .with("To", "<sip:a1-h1@net>")
            .with("Call-ID", &call)
            .with("CSeq", format!("1 {method}"))
            .with("Contact", format!("<sip:flood@{local}>"))
            .with("X-Tier", "no-such-class")
            .with("X-Deadline", 1000)
            .with("X-Attrs", "dest:100;width:1;via:-1")
    }

    fn burst(self, local: SocketAddr, burst: u64) -> Vec<Vec<u8>> {
        let numbers = burst * AT_ONCE..(burst + 1) * AT_ONCE;
        numbers.map(|number| self.request(local, number).to_bytes()).collect()
    }

    /// Starts a client that floods a proxy for some seconds.
    pub fn start(self, proxy: SocketAddr, seconds: f64) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        match self {
            Flood::SipOptions => thread::spawn(move || self.over_udp(proxy, end)),
            _ => thread::spawn(move || self.over_tcp(proxy, end)),
        };
    }

    fn over_tcp(self, proxy: SocketAddr, end: Instant) {
        while Instant::now() < end {
            // The proxy may close the connection: the client comes again.
            let _ = self.on_connection(proxy, end);
            thread::sleep(BURST_INTERVAL);
        }
    }

    fn on_connection(self, proxy: SocketAddr, end: Instant) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(proxy)?;
        let local = stream.local_addr()?;
        stream.set_write_timeout(Some(Duration::from_secs(1)))?;
        let mut reading = stream.try_clone()?;
        let reader = thread::spawn(move || while reading.read(&mut [0; 16 * 1024]).is_ok_and(|n| n > 0) {});
        let mut burst = 0;
        while Instant::now() < end {
            let next = Instant::now() + BURST_INTERVAL;
            let written = stream.write_all(&self.burst(local, burst).concat());
            if written.is_err() {
                break;
            }
            burst += 1;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reader.join();
        Ok(())
    }

    fn over_udp(self, proxy: SocketAddr, end: Instant) {
        let Ok(socket) = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))) else { return };
        let Ok(local) = socket.local_addr() else { return };
        let mut burst = 0;
        while Instant::now() < end {
            for datagram in self.burst(local, burst) {
                let _ = socket.send_to(&datagram, proxy);
            }
            burst += 1;
            thread::sleep(BURST_INTERVAL);
        }
    }
}
