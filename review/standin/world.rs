//! What every case needs: the record, the temporary folder, the proxy as a process of its own, the verdict.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::sip::{self, Message, Reader};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
static PROXY_PID: AtomicU32 = AtomicU32::new(0);

/// Opens `record.txt` in the case's folder, and ends the case with 2 if it takes too long.
pub fn begin(folder: &str, limit_s: u64) {
    let file = File::create(format!("{folder}/record.txt")).expect("record.txt can be written");
    RECORD.set((Instant::now(), Mutex::new(file))).expect("begun once");
    thread::spawn(move || {
        sleep(limit_s as f64);
        finish(2, "the case took too long");
    });
}

/// Seconds since the case began.
pub fn now() -> f64 {
    RECORD.get().expect("begun").0.elapsed().as_secs_f64()
}

pub fn record(line: impl AsRef<str>) {
    let (start, file) = RECORD.get().expect("begun");
    let mut file = file.lock().unwrap_or_else(|e| e.into_inner());
    let _ = writeln!(file, "{:8.3} {}", start.elapsed().as_secs_f64(), line.as_ref());
}

/// Ends the proxy and the case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(code: i32, why: &str) -> ! {
    let verdict = ["HELD", "BROKEN", "COULD NOT RUN"][code as usize];
    record(format!("verdict: {verdict}: {why}"));
    println!("{verdict}: {why}");
    let pid = PROXY_PID.swap(0, Ordering::SeqCst);
    if pid > 0 {
        signal(pid, "KILL");
    }
    let _ = fs::remove_dir_all(temporary_folder());
    std::process::exit(code);
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Waits until a condition holds; returns false if it does not in time.
pub fn wait_until(seconds: f64, condition: impl Fn() -> bool) -> bool {
    let end = now() + seconds;
    while !condition() {
        if now() >= end {
            return false;
        }
        sleep(0.005);
    }
    true
}

/// Whether the case is played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("mallowring-review-{}", std::process::id()))
}

/// A port that is free for TCP and UDP on the loopback address.
pub fn free_addr() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        if std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// One signalling proxy, started with the deploy file's command.
pub struct Proxy {
    child: Mutex<Child>,
    pub pid: u32,
}

impl Proxy {
    /// Starts the program that `run` in deploy/balancer.toml names, from the repository's root.
    pub fn start(variables: &[(&str, String)]) -> Proxy {
        let deploy = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
        let run = run.split('"').next().expect("a command");
        let log = File::create(temporary_folder().join("proxy.log")).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).env("TMPDIR", temporary_folder());
        for name in ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "MALLOWRING_SERVICE", "MALLOWRING_LOG"] {
            command.env_remove(name);
        }
        command.envs(variables.iter().map(|(n, v)| (*n, v.clone())));
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log file")).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| finish(2, &format!("the proxy does not start: {e}")));
        let pid = child.id();
        PROXY_PID.store(pid, Ordering::SeqCst);
        // run.sh ends the proxy by this file if this program is ended from outside.
        if let Ok(path) = std::env::var("PROXY_PID_FILE") {
            let _ = fs::write(path, pid.to_string());
        }
        record(format!("proxy started: {run}"));
        Proxy { child: Mutex::new(child), pid }
    }

    pub fn signal(&self, name: &str) {
        record(format!("SIG{name} to the proxy"));
        signal(self.pid, name);
    }

    /// How the process has ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let status = self.child.lock().expect("the child").try_wait().ok().flatten()?;
        PROXY_PID.store(0, Ordering::SeqCst);
        Some(status.to_string())
    }

    /// The lines of the proxy's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(temporary_folder().join("proxy.log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

/// Waits until the front's test passes on the platform's address.
pub fn wait_until_ready(addr: SocketAddr) {
    let passes = || {
        let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let headers = [("Via", "SIP/2.0/TCP front"), ("Call-ID", "00000000000000ff"), ("CSeq", "1 OPTIONS")];
        let test = Message::request("OPTIONS", "sip:ping@net", &headers, b"");
        let answer = sip::send(&stream, &test).ok().and_then(|()| Reader::new(&stream).next());
        answer.is_some_and(|m| m.status() == 200)
    };
    if !wait_until(10.0, passes) {
        finish(2, "the proxy is not ready within 10 s");
    }
    record("the front's test has passed");
}
