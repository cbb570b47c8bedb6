//! The process of a SIP exchange dies while calls stand there, and comes back.

use crate::harness::*;
use crate::sipside::*;

/// "come back cold after 5.4 to 24 s".
const BACK_AFTER: f64 = 6.0;
/// "within 8 s of its end", and 50 ms as for every time limit.
const LIMIT: f64 = 8.05;
/// What this machine may be late by when it notes a time.
const TOLERANCE: f64 = 0.25;
/// How long the test goes on to see whether a release comes at all.
const WATCHED: f64 = 20.0;

pub fn run(setting: &Setting) -> Outcome {
    let (record, reports) = (&setting.record, Reports::default());
    let (at, listen) = (free_address()?, free_address()?);
    let arguments = ["sip-exchange".to_owned(), "X1".to_owned(), at.to_string()];
    let mut exchange = start_standin(setting, &arguments, &reports)?;
    if !wait_for(5.0, || !reported(&reports, "X1 listens").is_empty()) {
        return Err("the exchange does not listen".into());
    }
    let mut proxy = start_sip_proxy(setting, listen, at, &["obras-viales"])?;
    let caller = Caller::over_udp(record, listen)?;
    let calls = ["call-1", "call-2", "call-3"];
    for id in calls {
        if caller.call(id, "obras-viales") != Some(200) {
            return Err("a call does not stand".into());
        }
        sleep(0.2);
    }
    sleep(2.0);
    let ended = now();
    let mut back = None;
    if setting.trouble {
        signal(&exchange, "KILL");
        record.line_at(ended, "the process of the exchange has died: its calls are over");
        drop(exchange);
        sleep_until(ended + BACK_AFTER);
        back = Some(start_standin(setting, &arguments, &reports)?);
        sleep_until(ended + WATCHED);
    } else {
        command(&mut exchange, "release-all");
        sleep_until(ended + LIMIT + TOLERANCE);
    }
    drop(back);
    let mut held = true;
    for id in calls {
        let released = caller.released_at(id);
        let late = released.is_none_or(|at| at > ended + LIMIT + TOLERANCE);
        let text = released.map_or(format!("not in {:.0} s", now() - ended), |at| {
            format!("{:.3} s after its end", at - ended)
        });
        record.line(format!(
            "judge: {id} was released to its caller: {text}{}",
            if late { ": too late" } else { "" }
        ));
        held &= !late;
    }
    // What follows is recorded and not judged.
    signal(&proxy, "TERM");
    let ended = wait_for(10.0, || matches!(proxy.0.try_wait(), Ok(Some(_))));
    record.line(if ended {
        "the proxy has ended after SIGTERM"
    } else {
        "the proxy runs on 10 s after SIGTERM"
    });
    Ok(held)
}
