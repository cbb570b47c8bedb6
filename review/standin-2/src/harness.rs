//! What all cases share: the record, processes, the proxy under test, addresses.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::sip::{Message, Reader};

/// The present time of the Unix clock in seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64())
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: f64,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(now(), text);
    }

    pub fn line_at(&self, at: f64, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", at - self.start, text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;
/// Whether the rule held.
pub type Outcome = Result<bool, Failure>;

/// What a case is given.
pub struct Setting {
    pub record: Record,
    /// An empty temporary folder.
    pub folder: PathBuf,
    /// With the disruption.
    pub trouble: bool,
}

/// A process that is killed when it goes out of scope.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Notes a process id for the script, which ends what is left.
fn note_process(folder: &Path, id: u32) {
    let file = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("processes"));
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{id}");
    }
}

/// Sends a signal to a process that the test started.
pub fn signal(process: &Process, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(process.0.id().to_string()).status();
}

/// What stand-ins in processes of their own have reported: the time and the text of each line.
pub type Reports = Arc<Mutex<Vec<(f64, String)>>>;

/// Reports one line of a stand-in to the test: the time, then the text.
pub fn report(text: impl AsRef<str>) {
    println!("{:.4} {}", now(), text.as_ref());
}

/// Starts this program as a stand-in in a process of its own. What it reports goes to the record and to `reports`.
pub fn start_standin(setting: &Setting, arguments: &[String], reports: &Reports) -> Result<Process, Failure> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    note_process(&setting.folder, child.id());
    let (output, record, reports) = (child.stdout.take(), setting.record.clone(), reports.clone());
    std::thread::spawn(move || {
        for line in output.into_iter().flat_map(|o| BufReader::new(o).lines()).map_while(Result::ok) {
            let (at, text) = line.split_once(' ').unwrap_or(("0", &line));
            let at = at.parse().unwrap_or(0.0);
            record.line_at(at, text);
            if let Ok(mut reports) = reports.lock() {
                reports.push((at, text.to_owned()));
            }
        }
    });
    Ok(Process(child))
}

/// Sends a command to a stand-in process.
pub fn command(process: &mut Process, text: &str) {
    if let Some(input) = &mut process.0.stdin {
        let _ = writeln!(input, "{text}");
        let _ = input.flush();
    }
}

/// The times of the reports with this text, or that begin with it and a space.
pub fn reported(reports: &Reports, text: &str) -> Vec<f64> {
    let matches =
        |line: &str| line == text || line.strip_prefix(text).is_some_and(|rest| rest.starts_with(' '));
    reports.lock().map_or(Vec::new(), |r| r.iter().filter(|(_, l)| matches(l)).map(|(at, _)| *at).collect())
}

/// The value of a key of the deploy file.
fn deploy_value(key: &str) -> Result<String, Failure> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|k| k.trim() == key));
    let value = line.and_then(|line| line.split('"').nth(1)).ok_or("deploy/balancer.toml has no such key")?;
    Ok(value.to_owned())
}

/// Starts the proxy with the deploy file's command. `environment` names its configuration.
pub fn start_proxy(setting: &Setting, environment: &[(&str, String)]) -> Result<Process, Failure> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(setting.folder.join("log"))?;
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(deploy_value("run")?).env_clear();
    command.env("TMPDIR", &setting.folder).env("MALLOWRING_LOG", "debug");
    for (name, value) in environment {
        command.env(name, value);
    }
    let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
    note_process(&setting.folder, child.id());
    setting.record.line("the proxy is started");
    Ok(Process(child))
}

/// A loopback address with a port that is free for UDP and TCP.
pub fn free_address() -> Result<SocketAddr, Failure> {
    for _ in 0..100 {
        let tcp = TcpListener::bind("127.0.0.1:0")?;
        let address = tcp.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}

/// Waits for a condition; returns whether it came true within the time.
pub fn wait_for(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed().as_secs_f64() >= seconds {
            return false;
        }
        sleep(0.02);
    }
    true
}

/// Whether the proxy passes the platform's test at its callers' address.
pub fn passes_test(proxy: SocketAddr) -> bool {
    let test = || -> Option<u32> {
        let mut stream = TcpStream::connect_timeout(&proxy, Duration::from_millis(300)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        let options = Message::new("OPTIONS sip:ping@net SIP/2.0")
            .with("Via", "SIP/2.0/TCP peer")
            .with("Call-ID", "00000000000000aa")
            .with("CSeq", "1 OPTIONS");
        stream.write_all(&options.bytes()).ok()?;
        Some(Reader::new(stream).next()?.status())
    };
    test() == Some(200)
}
