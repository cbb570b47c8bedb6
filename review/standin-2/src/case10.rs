//! A SIP caller's connection stalls for a moment and is reset while its calls are released.

use crate::harness::*;
use crate::relay::Relay;
use crate::sipside::*;

/// "within 8 s of its end", and 50 ms as for every time limit.
const LIMIT: f64 = 8.05;
/// What this machine may be late by when it notes a time.
const TOLERANCE: f64 = 0.25;
/// How long the test goes on to see whether a release comes at all.
const WATCHED: f64 = 40.0;

pub fn run(setting: &Setting) -> Outcome {
    let (record, reports) = (&setting.record, Reports::default());
    let (at, listen) = (free_address()?, free_address()?);
    let arguments = ["sip-exchange".to_owned(), "X1".to_owned(), at.to_string()];
    let mut exchange = start_standin(setting, &arguments, &reports)?;
    if !wait_for(5.0, || !reported(&reports, "X1 listens").is_empty()) {
        return Err("the exchange does not listen".into());
    }
    let _proxy = start_sip_proxy(setting, listen, at, &["obras-viales"], "")?;
    let relay = Relay::start(record, listen)?;
    let caller = Caller::over_tcp(record, relay.address)?;
    let calls = ["call-1", "call-2", "call-3"];
    for id in calls {
        if caller.call(id, "obras-viales") != Some(200) {
            return Err("a call does not stand".into());
        }
        sleep(0.2);
    }
    sleep(1.0);
    if setting.trouble {
        // The network holds back what the proxy sends; half a second later the connection is reset.
        relay.stall();
        sleep(0.2);
    }
    let ended = now();
    command(&mut exchange, "release-all");
    if setting.trouble {
        sleep(0.5);
        relay.reset_all();
        // From now on the network is as good as before.
        sleep_until(ended + WATCHED);
    } else {
        sleep_until(ended + LIMIT + TOLERANCE);
    }
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
    Ok(held)
}
