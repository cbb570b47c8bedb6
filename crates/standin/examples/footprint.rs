//! Prints the memory and descriptors of one proxy among 1, 10, 60, 100 and 300 exchanges, idle and under load, and
//! the rate in calls per second at which it sets up and ends calls.
//!
//!     cargo run --release -p mallowring-standin --example footprint -- target/release/mallowring

use std::path::Path;

use mallowring_standin::caller::Caller;
use mallowring_standin::discovery::{Discovery, Lifecycle, RosterEntry};
use mallowring_standin::exchange::Exchange;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::proxy::{Proxy, ProxyConfig};
use mallowring_standin::record::{now, Observation, Record};
use mallowring_standin::{run, sleep, Executor};

/// Number of concurrent callers, and the number of calls that each makes.
const CALLERS: u64 = 20;
const CALLS: u64 = 150;

async fn measure(tasks: Executor, program: &Path, number: i64, limits: (u64, u64)) -> std::io::Result<()> {
    let record = Record::default();
    let mut exchanges = Vec::new();
    for n in 1..=number {
        exchanges.push(Exchange::start(&tasks, &record, &format!("s-{n}"), n, 1)?);
    }
    let listed = |e: &Exchange| RosterEntry {
        id: e.name().to_owned(),
        number: e.number(),
        addr: e.addr(0),
        lifecycle: Lifecycle::Ready,
        started_at_ms: 0,
    };
    let whole: Vec<RosterEntry> = exchanges.iter().map(listed).collect();
    let discovery = Discovery::start(&tasks, &record, 0, &whole)?;
    let setup = ProxyConfig { limits, ..ProxyConfig::new("n0", 0, 2) };
    let proxy = Proxy::start(program, &setup, &discovery)?;
    proxy.is_ready_within(20.0).await;
    sleep(1.0).await;
    let (idle, idle_descriptors) = (proxy.memory_kb().0, proxy.descriptors());
    let began = now();
    let mut loads = Vec::new();
    for c in 0..CALLERS {
        let caller = Caller::connect(&tasks, &record, &format!("c{c}"), 0, proxy.listen).await?;
        let record = record.clone();
        loads.push(tasks.spawn(async move { load(&caller, &record, c, number as u64).await }));
    }
    let mut stood = 0;
    for load in loads {
        stood += load.await;
    }
    let rate = stood as f64 / (now() - began);
    let (peak, descriptors) = (proxy.memory_kb().1, proxy.descriptors());
    println!(
        "| {number} | {idle} | {idle_descriptors} | {peak} | {descriptors} | {stood} of {} | {rate:.0} |",
        CALLERS * CALLS
    );
    Ok(())
}

/// Makes the calls of one caller, one after another; returns how many were established.
async fn load(caller: &Caller, record: &Record, number: u64, exchanges: u64) -> u64 {
    let mut stood = 0;
    for n in 0..CALLS {
        let set_up = SetUp {
            call_id: format!("{number:08x}{n:08x}"),
            number: CallScript { answer_ms: 0, hold_ms: 60_000 }.called_number(),
            deadline_ms: 2500,
            destination: 1 + ((number * CALLS + n) % exchanges) as i64,
        };
        if caller.send_set_up(&set_up).await.is_err() {
            return stood;
        }
        let until = now() + 3.0;
        while caller.pending_since(&set_up.call_id).is_some() && now() < until {
            sleep(0.0005).await;
        }
        let stands =
            |observation: &Observation| matches!(observation, Observation::Answered { status: 200, .. });
        stood += u64::from(record.last_seen(&set_up.call_id, stands).is_some());
        let _ = caller.hang_up(&set_up.call_id).await;
    }
    stood
}

fn main() {
    let program = std::env::args().nth(1).unwrap_or_else(|| "target/release/mallowring".to_owned());
    println!("| exchanges | idle kB | idle descriptors | peak kB under load | descriptors | calls that stood | calls/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for number in [1, 10, 60, 100, 300] {
        let measured = run(async |tasks| measure(tasks, Path::new(&program), number, (192, 1024)).await);
        if let Err(error) = measured {
            eprintln!("{number} exchanges: {error}");
        }
    }
}
