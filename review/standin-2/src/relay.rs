//! A relay of TCP connections, which can go dark like a machine that vanishes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::harness::*;
use crate::platform::lock;

extern "C" {
    /// listen(2), to change the length of a listener's queue.
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// A relay from an address to another one.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    dark: Arc<AtomicBool>,
    /// Connections of an earlier generation lead to a machine that is gone.
    generation: Arc<AtomicU64>,
    /// Connections that keep the listener's queue full while it is dark.
    fillers: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Relay {
    pub fn start(record: &Record, target: SocketAddr) -> Result<Relay, Failure> {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0")?);
        listener.set_nonblocking(true)?;
        let relay = Relay {
            address: listener.local_addr()?,
            listener,
            dark: Arc::default(),
            generation: Arc::default(),
            fillers: Arc::default(),
            record: record.clone(),
        };
        let accepting = relay.clone();
        std::thread::spawn(move || loop {
            match accepting.listener.accept() {
                _ if accepting.dark.load(Ordering::SeqCst) => {}
                Ok((near, _)) => {
                    let _ = near.set_nonblocking(false);
                    if let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_millis(300)) {
                        accepting.join(near, far);
                    }
                    continue;
                }
                Err(_) => {}
            }
            sleep(0.005);
        });
        Ok(relay)
    }

    fn join(&self, near: TcpStream, far: TcpStream) {
        let generation = self.generation.load(Ordering::SeqCst);
        for (from, to, is_answer) in [(&near, &far, false), (&far, &near, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let relay = self.clone();
            std::thread::spawn(move || relay.pump(generation, from, to, is_answer));
        }
    }

    /// Copies one direction.
    fn pump(&self, generation: u64, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let _ = to.set_nodelay(true);
        let mut bytes = [0; 4096];
        loop {
            let gone = || self.generation.load(Ordering::SeqCst) != generation;
            while self.dark.load(Ordering::SeqCst) {
                sleep(0.005);
            }
            if gone() {
                // The machine does not know the connection any more: it is silent, and what is sent to it meets a reset
                // (a socket that is closed with unread bytes is reset).
                let _ = from.set_read_timeout(Some(Duration::from_secs(300)));
                if !is_answer {
                    let _ = from.peek(&mut bytes);
                }
                return;
            }
            match from.read(&mut bytes) {
                Ok(0) => {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
                Ok(n) => {
                    // What was read while the machine vanished is not passed on.
                    let lost = gone() || self.dark.load(Ordering::SeqCst);
                    if !lost && to.write_all(&bytes[..n]).is_err() {
                        return;
                    }
                }
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        }
    }

    /// The machine vanishes: open connections stay open and silent, new ones never come up.
    pub fn vanish(&self) -> Result<(), Failure> {
        self.dark.store(true, Ordering::SeqCst);
        sleep(0.03);
        // SAFETY: the descriptor is that of the open listener.
        if unsafe { listen(self.listener.as_raw_fd(), 0) } != 0 {
            return Err(std::io::Error::last_os_error().into());
        }
        for _ in 0..8 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(150)) {
                Ok(filler) => lock(&self.fillers).push(filler),
                Err(_) => {
                    self.record.line("relay: dark; new connections do not come up");
                    return Ok(());
                }
            }
        }
        Err("the listener's queue does not fill".into())
    }

    /// The machine is back. It knows nothing of its connections from before.
    pub fn come_back(&self) -> Result<(), Failure> {
        self.generation.fetch_add(1, Ordering::SeqCst);
        lock(&self.fillers).clear();
        // SAFETY: the descriptor is that of the open listener.
        if unsafe { listen(self.listener.as_raw_fd(), 128) } != 0 {
            return Err(std::io::Error::last_os_error().into());
        }
        self.dark.store(false, Ordering::SeqCst);
        self.record.line("relay: back");
        Ok(())
    }
}
