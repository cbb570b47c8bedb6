//! Listening sockets whose backlog can be filled, so that new connections time out as on an unreachable machine.

use std::collections::BTreeSet;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use smol::net::TcpListener;
use smol::Async;
use socket2::{Domain, Socket, Type};

/// Length of the listen backlog; small, so that a few connections of the test process fill it.
const BACKLOG: i32 = 8;
/// Connections that [`Backlog::fill`] opens: more than the backlog holds.
const FILLER_CONNECTIONS: usize = 3 * BACKLOG as usize;

/// Returns a loopback IP address that no other listener of this process uses. A port that is closed for a time on a
/// shared address could be taken by another trial.
pub fn unused_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    [127, 128 | (process & 0x7f) as u8, (number >> 8) as u8, number as u8].into()
}

/// Binds and listens on a local address; port 0 selects a free port.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    let listener: std::net::TcpListener = OwnedFd::from(socket).into();
    Ok(Async::new(listener)?.into())
}

/// The backlog of a listener that nobody accepts from. While it is filled, the kernel drops connection requests.
#[derive(Debug, Default)]
pub struct Backlog {
    fillers: Vec<Socket>,
    /// Addresses of the fillers, which are still accepted after they were closed.
    filler_addrs: BTreeSet<SocketAddr>,
}

impl Backlog {
    /// Fills the backlog of the listener at an address with connections of this process.
    pub fn fill(&mut self, addr: SocketAddr) {
        let connect = |_| {
            let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None).ok()?;
            socket.set_nonblocking(true).ok()?;
            // A non-blocking connect reports an error while it is in progress; whether it completes does not matter.
            let _ = socket.connect(&addr.into());
            Some(socket)
        };
        self.fillers = (0..FILLER_CONNECTIONS).filter_map(connect).collect();
        let local_addrs = self.fillers.iter().filter_map(|socket| socket.local_addr().ok()?.as_socket());
        self.filler_addrs.extend(local_addrs);
    }

    /// Closes the fillers. New connections succeed again once the backlog is drained.
    pub fn release(&mut self) {
        self.fillers.clear();
    }

    /// Whether an accepted connection is a filler, which must not be served.
    pub fn is_filler(&self, accepted: &smol::net::TcpStream) -> bool {
        accepted.peer_addr().is_ok_and(|addr| self.filler_addrs.contains(&addr))
    }
}

/// Closes a connection with a reset; the tasks that use it end when they notice.
pub fn reset_stream(stream: smol::net::TcpStream) {
    let stream: Arc<Async<TcpStream>> = stream.into();
    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
    let _ = stream.get_ref().shutdown(Shutdown::Read);
}
