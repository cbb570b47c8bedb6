//! A relay between the proxies and one exchange that simulates faults of the network, for each direction on its own.
//!
//! A cut holds back what is sent, as the retransmissions of TCP would deliver it after the cut; new connections do not
//! come up meanwhile. Ends of connections pass the relay in order behind the data, and so are cut and delayed as well.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;

use smol::channel::{bounded, Receiver, Sender};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use crate::listener::Backlog;
use crate::record::now;
use crate::{listener, sleep, Executor};

/// Interval in seconds at which tasks check for changes.
const POLL_INTERVAL_S: f64 = 0.002;
/// Time in seconds after which a connection that does not come up at the exchange is reset.
const CONNECT_TIMEOUT_S: f64 = 0.2;
/// Bytes read at once.
const CHUNK_BYTES: usize = 4096;
/// Chunks in transit in one direction of a connection. Further data stays in the socket.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;

/// Condition of one direction of the network.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing arrives until the cut ends.
    pub cut: bool,
    /// Time from sending to arrival, in seconds. Changes apply to data in transit; the order is kept.
    pub delay: f64,
}

/// What is in transit.
enum Transit {
    Data(Vec<u8>),
    /// The sender closed its direction in order.
    Closed,
    /// The connection was reset.
    Reset,
}

struct Inner {
    executor: Executor,
    addr: SocketAddr,
    target: SocketAddr,
    listener: TcpListener,
    to_exchange: Cell<Link>,
    to_proxy: Cell<Link>,
    backlog: RefCell<Backlog>,
}

/// A relay in front of one address of an exchange; clones share the same state.
#[derive(Clone)]
pub struct Relay(Rc<Inner>);

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(executor: &Executor, target: SocketAddr) -> io::Result<Relay> {
        let listener = listener::bind(([127, 0, 0, 1], 0).into())?;
        let relay = Relay(Rc::new(Inner {
            executor: executor.clone(),
            addr: listener.local_addr()?,
            target,
            listener,
            to_exchange: Cell::default(),
            to_proxy: Cell::default(),
            backlog: RefCell::default(),
        }));
        let accepting = relay.clone();
        executor.spawn(async move { accepting.accept().await }).detach();
        Ok(relay)
    }

    /// Returns the address that proxies connect to.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Sets the condition of both directions from now on.
    pub fn set_links(&self, to_exchange: Link, to_proxy: Link) {
        self.0.to_exchange.set(to_exchange);
        self.0.to_proxy.set(to_proxy);
        match self.is_cut() {
            true => self.0.backlog.borrow_mut().fill(self.0.addr),
            false => self.0.backlog.borrow_mut().release(),
        }
    }

    /// A connection needs both directions to come up.
    fn is_cut(&self) -> bool {
        self.0.to_exchange.get().cut || self.0.to_proxy.get().cut
    }

    async fn accept(&self) {
        loop {
            while self.is_cut() {
                sleep(POLL_INTERVAL_S).await;
            }
            let Ok((proxy_side, _)) = self.0.listener.accept().await else { return };
            if self.0.backlog.borrow().is_filler(&proxy_side) {
                continue;
            }
            let relay = self.clone();
            self.0.executor.spawn(async move { relay.connect(proxy_side).await }).detach();
        }
    }

    async fn connect(&self, proxy_side: TcpStream) {
        let connected = async { TcpStream::connect(self.0.target).await.ok() };
        let timed_out = async {
            sleep(CONNECT_TIMEOUT_S).await;
            None
        };
        let Some(exchange_side) = smol::future::or(connected, timed_out).await else {
            return listener::reset_stream(proxy_side);
        };
        let _ = (proxy_side.set_nodelay(true), exchange_side.set_nodelay(true));
        self.forward(proxy_side.clone(), exchange_side.clone(), |inner| inner.to_exchange.get());
        self.forward(exchange_side, proxy_side, |inner| inner.to_proxy.get());
    }

    /// Forwards one direction of a connection until it ends.
    fn forward(&self, from: TcpStream, to: TcpStream, link: fn(&Inner) -> Link) {
        let (in_transit, arriving) = bounded(MAX_CHUNKS_IN_TRANSIT);
        let relay = self.clone();
        self.0.executor.spawn(read(from, in_transit)).detach();
        self.0.executor.spawn(async move { relay.deliver(to, arriving, link).await }).detach();
    }

    async fn deliver(&self, mut to: TcpStream, arriving: Receiver<(f64, Transit)>, link: fn(&Inner) -> Link) {
        while let Ok((sent_at, transit)) = arriving.recv().await {
            while link(&self.0).cut || now() < sent_at + link(&self.0).delay {
                sleep(POLL_INTERVAL_S).await;
            }
            match transit {
                Transit::Data(bytes) => {
                    if to.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Transit::Closed => return drop(to.shutdown(Shutdown::Write)),
                Transit::Reset => return listener::reset_stream(to),
            }
        }
    }
}

async fn read(mut from: TcpStream, in_transit: Sender<(f64, Transit)>) {
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let transit = match from.read(&mut bytes).await {
            Ok(0) => Transit::Closed,
            Ok(n) => Transit::Data(bytes[..n].to_vec()),
            Err(_) => Transit::Reset,
        };
        let ended = !matches!(transit, Transit::Data(_));
        if in_transit.send((now(), transit)).await.is_err() || ended {
            return;
        }
    }
}
