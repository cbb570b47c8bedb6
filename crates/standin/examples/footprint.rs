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
const CALLS_PER_CALLER: u64 = 150;

/// Measures one proxy among `exchange_count` exchanges and prints a row of the table.
async fn measure(
    executor: Executor,
    program: &Path,
    exchange_count: i64,
    limits: (u64, u64),
) -> std::io::Result<()> {
    let record = Record::default();
    let mut exchanges = Vec::new();
    for n in 1..=exchange_count {
        exchanges.push(Exchange::start(&executor, &record, &format!("s-{n}"), n, 1)?);
    }
    let roster_entry = |e: &Exchange| RosterEntry {
        id: e.name().to_owned(),
        number: e.number(),
        addr: e.addr(0),
        lifecycle: Lifecycle::Ready,
        started_at_ms: 0,
    };
    let roster: Vec<RosterEntry> = exchanges.iter().map(roster_entry).collect();
    let discovery = Discovery::start(&executor, &record, 0, &roster)?;
    let config = ProxyConfig { limits, ..ProxyConfig::new("n0", 0, 2) };
    let proxy = Proxy::start(program, &config, &discovery)?;
    proxy.is_ready_within(20.0).await;
    sleep(1.0).await;
    let (idle, idle_descriptors) = (proxy.memory_kb().0, proxy.descriptors());
    let started_at = now();
    let mut caller_tasks = Vec::new();
    for c in 0..CALLERS {
        let caller = Caller::connect(&executor, &record, &format!("c{c}"), 0, proxy.listen).await?;
        let record = record.clone();
        caller_tasks.push(
            executor.spawn(async move { make_calls(&caller, &record, c, exchange_count as u64).await }),
        );
    }
    let mut established = 0;
    for task in caller_tasks {
        established += task.await;
    }
    let rate = established as f64 / (now() - started_at);
    let (peak, descriptors) = (proxy.memory_kb().1, proxy.descriptors());
    println!(
        "| {exchange_count} | {idle} | {idle_descriptors} | {peak} | {descriptors} | {established} of {} | {rate:.0} |",
        CALLERS * CALLS_PER_CALLER
    );
    Ok(())
}

/// Makes the calls of one caller, one after another; returns how many were established.
async fn make_calls(caller: &Caller, record: &Record, caller_index: u64, exchanges: u64) -> u64 {
    let mut established = 0;
    for n in 0..CALLS_PER_CALLER {
        let set_up = SetUp {
            call_id: format!("{caller_index:08x}{n:08x}"),
            number: CallScript { answer_ms: 0, hold_ms: 60_000 }.called_number(),
            deadline_ms: 2500,
            destination: 1 + ((caller_index * CALLS_PER_CALLER + n) % exchanges) as i64,
        };
        if caller.send_set_up(&set_up).await.is_err() {
            return established;
        }
        let deadline = now() + 3.0;
        while caller.pending_since(&set_up.call_id).is_some() && now() < deadline {
            sleep(0.0005).await;
        }
        let is_established =
            |observation: &Observation| matches!(observation, Observation::Answered { status: 200, .. });
        established += u64::from(record.last_seen(&set_up.call_id, is_established).is_some());
        let _ = caller.hang_up(&set_up.call_id).await;
    }
    established
}

fn main() {
    let program = std::env::args().nth(1).unwrap_or_else(|| "target/release/mallowring".to_owned());
    println!("| exchanges | idle kB | idle descriptors | peak kB under load | descriptors | calls established | calls/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for exchange_count in [1, 10, 60, 100, 300] {
        let measured =
            run(async |executor| measure(executor, Path::new(&program), exchange_count, (192, 1024)).await);
        if let Err(error) = measured {
            eprintln!("{exchange_count} exchanges: {error}");
        }
    }
}
