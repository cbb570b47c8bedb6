//! A listening socket on which new connections can be kept from coming up, as on a machine that has vanished.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;

use smol::net::TcpListener;
use smol::Async;
use socket2::{Domain, Socket, Type};

/// Connections that the kernel takes in before the program does. Few, so that few of our own fill the queue.
const BACKLOG: i32 = 8;
/// More of our own connections than the queue holds.
const FILLERS: usize = 3 * BACKLOG as usize;

/// Binds an address of this machine; port 0 takes any that is free.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    let listener: std::net::TcpListener = OwnedFd::from(socket).into();
    Ok(Async::new(listener)?.into())
}

/// Fills the queue of a listener that nobody accepts from: the kernel drops what asks for a connection from now on.
/// Connections come up again once these are dropped and the queue is emptied.
pub fn fill_backlog(addr: SocketAddr) -> Vec<Socket> {
    let connect = |_| {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // It is under way; whether it comes up does not matter.
        let _ = socket.connect(&addr.into());
        Some(socket)
    };
    (0..FILLERS).filter_map(connect).collect()
}

/// Closes a connection so that the other end sees a reset.
pub fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}
