//! Listening sockets whose backlog can be filled, so that new connections time out as on an unreachable machine.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;

use smol::net::TcpListener;
use smol::Async;
use socket2::{Domain, Socket, Type};

/// Length of the listen backlog; small, so that a few connections of the test process fill it.
const BACKLOG: i32 = 8;
/// Connections that [`fill_backlog`] opens: more than the backlog holds.
const FILLER_CONNECTIONS: usize = 3 * BACKLOG as usize;

/// Binds and listens on a local address; port 0 selects a free port.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    let listener: std::net::TcpListener = OwnedFd::from(socket).into();
    Ok(Async::new(listener)?.into())
}

/// Fills the backlog of a listener that nobody accepts from, so that the kernel drops further connection requests.
/// New connections succeed again once the returned sockets are dropped and the backlog is drained.
pub fn fill_backlog(addr: SocketAddr) -> Vec<Socket> {
    let connect = |_| {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // A non-blocking connect reports an error while it is in progress; whether it completes does not matter.
        let _ = socket.connect(&addr.into());
        Some(socket)
    };
    (0..FILLER_CONNECTIONS).filter_map(connect).collect()
}

/// Closes a connection with a reset; the tasks that use it end when they notice.
pub fn reset_stream(stream: smol::net::TcpStream) {
    let stream: Arc<Async<TcpStream>> = stream.into();
    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
    let _ = stream.get_ref().shutdown(Shutdown::Read);
}
