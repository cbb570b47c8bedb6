//! The proxy under test: runs the built program as a real process, configured as the platform configures it.

use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use smol::net::TcpStream;

use crate::discovery::Discovery;
use crate::messages::{self, MessageReader};
use crate::record::now;
use crate::sleep;

/// Time in seconds after which an unanswered OPTIONS request has failed.
const OPTIONS_TIMEOUT_S: f64 = 1.0;
/// The port of every proxy; each proxy has its own IP address.
const LISTEN_PORT: u16 = 2905;
/// The port of the SIP front of every proxy.
const SIP_PORT: u16 = 5060;
/// Number of the exchange that speaks SIP, and size of the trunk group to it.
const SIP_EXCHANGE_NUMBER: i64 = 900;
const SIP_CIRCUITS: u32 = 400;
/// Interval in seconds at which the process is polled.
const POLL_INTERVAL_S: f64 = 0.01;

/// Configuration of a proxy at its start.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Name of the proxy.
    pub name: String,
    /// Number of the exchange that the proxy belongs to.
    pub own_number: i64,
    /// Number of proxies in the deployment.
    pub proxies: usize,
    /// Time in seconds after which the callers of each class give up.
    pub give_up: f64,
    /// Limits on memory in MB and on file descriptors.
    pub limits: (u64, u64),
    /// The address of the exchange to which the proxy's SIP front routes all its calls; without one, the proxy has no SIP
    /// front.
    pub sip_exchange: Option<SocketAddr>,
}

impl ProxyConfig {
    /// Creates the configuration of a proxy in a small deployment with default limits.
    pub fn new(name: &str, own_number: i64, proxies: usize) -> ProxyConfig {
        let name = name.to_owned();
        ProxyConfig { name, own_number, proxies, give_up: 3.0, limits: (192, 1024), sip_exchange: None }
    }

    fn json(&self, listen: SocketAddr, discovery: &Discovery) -> Value {
        let class = |name: &str, worth: f64| {
            json!({"name": name, "target": 1.2_f64.min(self.give_up), "give_up": self.give_up,
                "semantics": "free", "worth": worth, "late_value": 0.25})
        };
        json!({"name": self.name, "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.limits.0, "sockets": self.limits.1},
            "bulletin": discovery.addr().to_string(), "known": discovery.events_json(),
            "settings": {"classes": [class("voice", 1.0), class("alarm", 8.0)], "discovery": "pushed",
                "n_instances": self.proxies,
                "extra": {"release": 0.3, "self_no": self.own_number, "class_width": [1, 1],
                    "network_form": "network"},
                "limits": {"cancel": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 2.0,
                    "connect_timeout": 0.5, "conn_idle": 600.0},
                "rules": {"answer_slack": 0.02, "cold_from": 0.34, "drain_grace": 0.5, "fall": 2.0,
                    "fall_multiple": 4.0, "warm_within": 15.0},
                "telemetry": {"how": "piggyback"}, "tick": 0.005}})
    }
}

/// The operators' service file: the SIP front at an address, and its one exchange, reached over TCP.
fn service_file(listen: SocketAddr, exchange: SocketAddr) -> String {
    format!(
        "name = \"soak\"\n[sip]\nlisten = \"{listen}\"\nurgent_class = \"alarm\"\n[[sip.exchanges]]\n\
         number = {SIP_EXCHANGE_NUMBER}\nprefixes = [\"a\"]\naddress = \"{exchange}\"\ntransport = \"tcp\"\n\
         circuits = {SIP_CIRCUITS}\n"
    )
}

/// A running proxy; its process is killed on drop.
pub struct Proxy {
    config: ProxyConfig,
    /// The address on which the proxy accepts callers.
    pub listen: SocketAddr,
    directory: PathBuf,
    child: Child,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        unregister(self.child.id());
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Proxy {
    /// Starts the program.
    pub fn start(program: &Path, config: &ProxyConfig, discovery: &Discovery) -> io::Result<Proxy> {
        let listen = unused_loopback_address();
        let directory = std::env::temp_dir().join(format!(
            "mallowring-{}-{}-{}",
            std::process::id(),
            config.name,
            listen.ip()
        ));
        std::fs::create_dir_all(&directory)?;
        let child = spawn(program, config, listen, &directory, discovery)?;
        Ok(Proxy { config: config.clone(), listen, directory, child })
    }

    /// The address of the SIP front, if there is one.
    pub fn sip_listen(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), SIP_PORT)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the proxy answers an OPTIONS request; returns whether it did within the time.
    pub async fn is_ready_within(&self, seconds: f64) -> bool {
        let deadline = now() + seconds;
        while now() < deadline {
            if Proxy::answers_options(self.listen).await.unwrap_or(false) {
                return true;
            }
            sleep(POLL_INTERVAL_S).await;
        }
        false
    }

    /// Returns whether the proxy at an address answers an OPTIONS request with 200.
    pub async fn answers_options(listen: SocketAddr) -> io::Result<bool> {
        let check = async {
            let mut stream = TcpStream::connect(listen).await?;
            messages::send(&mut stream, &messages::options_request()).await?;
            let answer = MessageReader::new(stream).next().await;
            Ok(answer.and_then(|message| message.status()) == Some(200))
        };
        let timeout = async {
            sleep(OPTIONS_TIMEOUT_S).await;
            Ok(false)
        };
        smol::future::or(check, timeout).await
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(id, signal);
        }
    }

    /// Replaces the configuration file; the proxy reads it again on SIGHUP.
    pub fn write_config(&self, discovery: &Discovery) -> io::Result<()> {
        std::fs::write(
            self.directory.join("config.json"),
            self.config.json(self.listen, discovery).to_string(),
        )
    }

    /// Returns whether the process exited with success; `None` while it runs.
    pub fn try_exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Starts the program again with the same name and address, after the process has exited.
    pub fn restart(&mut self, program: &Path, discovery: &Discovery) -> io::Result<()> {
        unregister(self.child.id());
        self.child = spawn(program, &self.config, self.listen, &self.directory, discovery)?;
        Ok(())
    }

    /// Replaces the configuration file by one that cannot be parsed.
    pub fn write_invalid_config(&self) -> io::Result<()> {
        std::fs::write(self.directory.join("config.json"), "{\"listen\": 7")
    }

    /// Returns the time that the main thread has waited for a CPU, in nanoseconds (`/proc/PID/schedstat`).
    pub fn scheduling_delay_ns(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.id())).unwrap_or_default();
        stat.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Waits for the process to exit; returns `None` if it still runs after the time.
    pub async fn wait_for_exit(&mut self, seconds: f64) -> Option<ExitStatus> {
        let deadline = now() + seconds;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if now() >= deadline => return None,
                _ => sleep(POLL_INTERVAL_S).await,
            }
        }
    }

    /// Returns the current and the peak resident memory in kB (proc(5), `VmRSS` and `VmHWM`).
    pub fn memory_kb(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    /// Returns the number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    /// Returns the log of the process.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

/// Returns a loopback IP address that no other proxy uses. A fixed IP address with a free port would not be safe: a
/// port that was free a moment ago may have been taken by another process.
fn unused_loopback_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let octets = [127, 64 + (process >> 8) as u8 % 64, process as u8, number as u8];
    (octets, LISTEN_PORT).into()
}

fn spawn(
    program: &Path,
    config: &ProxyConfig,
    listen: SocketAddr,
    directory: &Path,
    discovery: &Discovery,
) -> io::Result<Child> {
    let config_path = directory.join("config.json");
    std::fs::write(&config_path, config.json(listen, discovery).to_string())?;
    let log = File::create(directory.join("log"))?;
    let mut command = Command::new(program);
    command.env_clear();
    if let Some(exchange) = config.sip_exchange {
        let path = directory.join("service.toml");
        std::fs::write(&path, service_file(SocketAddr::new(listen.ip(), SIP_PORT), exchange))?;
        command.env("MALLOWRING_SERVICE", path);
    }
    let child = command
        .env("NODE_CONFIG", &config_path)
        .env("NODE_NAME", &config.name)
        .env("NODE_LISTEN", listen.to_string())
        .env("TMPDIR", directory)
        .env("MALLOWRING_LOG", "debug")
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    if let Ok(mut process_ids) = RUNNING_PROCESSES.lock() {
        process_ids.insert(child.id());
    }
    Ok(child)
}

/// Ids of the running processes, for [`kill_all`].
static RUNNING_PROCESSES: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn unregister(id: u32) {
    if let Ok(mut process_ids) = RUNNING_PROCESSES.lock() {
        process_ids.remove(&id);
    }
}

/// Kills every proxy that this program has started; used when the program is interrupted.
pub fn kill_all() {
    let Ok(process_ids) = RUNNING_PROCESSES.lock() else { return };
    for id in process_ids.iter().filter_map(|id| Pid::from_raw(i32::try_from(*id).ok()?)) {
        // The process may have exited already; the error is ignored.
        let _ = kill_process(id, Signal::KILL);
    }
}
