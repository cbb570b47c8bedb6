//! The machine of an exchange vanishes for 5 s and returns cold, while other users of its trunk group call on.

use crate::harness::*;
use crate::platform::*;
use crate::relay::Relay;

/// How long the machine is gone: "a zone is lost for 5 s and returns cold".
const GONE: f64 = 5.0;
/// When the bulletin tells of the start, after it: at the latest after 7 s.
const TOLD_AFTER: f64 = 6.0;
/// "within 8 s of its end", and 50 ms as for every time limit.
const LIMIT: f64 = 8.05;
/// What this machine may be late by when it notes a time.
const TOLERANCE: f64 = 0.25;

pub fn run(setting: &Setting) -> Outcome {
    let (record, reports) = (&setting.record, Reports::default());
    let at = free_address()?;
    let arguments = |others: u32| -> Vec<String> {
        ["exchange", "X2", &at.to_string(), "20", &others.to_string(), "60"].map(str::to_owned).to_vec()
    };
    let mut exchange = start_standin(setting, &arguments(3), &reports)?;
    if !wait_for(5.0, || !reported(&reports, "X2 listens").is_empty()) {
        return Err("the exchange does not listen".into());
    }
    let relay = Relay::start(record, at)?;
    let bulletin = Bulletin::start(record)?;
    let own = instance("s-00000000", free_address()?, 0, "ready", 0);
    bulletin.tell(&[own, instance("s-00000002", relay.address, 2, "ready", 0)]);
    let (_proxy, listen) = start_platform_proxy(setting, &bulletin)?;
    let caller = Caller::connect(record, listen)?;
    let calls = ["9b1f03aa5c7e0001", "9b1f03aa5c7e0002"];
    for id in calls {
        caller.call(id, 2, "obras-viales");
        sleep(0.2);
    }
    if !wait_for(3.0, || calls.iter().all(|id| caller.stands(id))) {
        return Err("the calls do not stand".into());
    }
    // The other users of the group come and go.
    for others in [4, 5, 4, 3, 4] {
        sleep(0.5);
        command(&mut exchange, &format!("others {others}"));
    }
    sleep(0.2);
    if !setting.trouble {
        // The calls end as usual, and others call on.
        for others in [5, 4, 5] {
            sleep(1.0);
            command(&mut exchange, &format!("others {others}"));
        }
        let ended = now();
        for id in calls {
            command(&mut exchange, &format!("release {id}"));
        }
        sleep_until(ended + LIMIT + TOLERANCE);
        return Ok(judge(setting, &caller, &calls, ended));
    }
    // The machine vanishes, and with it its process: the calls are cut.
    let ended = now();
    relay.vanish()?;
    signal(&exchange, "KILL");
    drop(exchange);
    record.line_at(ended, "the machine of the exchange has vanished: its calls are over");
    sleep_until(ended + GONE);
    let mut exchange = start_standin(setting, &arguments(0), &reports)?;
    if !wait_for(1.0, || reported(&reports, "X2 listens").len() == 2) {
        return Err("the exchange does not listen again".into());
    }
    let started = now();
    relay.come_back()?;
    // Others call again over the group, two a second at first.
    let told = instance("s-00000002", relay.address, 2, "ready", (started * 1000.0) as u64);
    let changes = [(0.5, 1), (1.0, 2), (1.5, 3), (2.0, 4), (3.0, 5), (4.0, 4), (5.0, 5)];
    for (after, others) in changes {
        sleep_until(started + after);
        command(&mut exchange, &format!("others {others}"));
    }
    sleep_until(started + TOLD_AFTER);
    bulletin.tell(&[told]);
    sleep(3.0);
    Ok(judge(setting, &caller, &calls, ended))
}

fn judge(setting: &Setting, caller: &Caller, calls: &[&str], ended: f64) -> bool {
    let mut held = true;
    for id in calls {
        let released = caller.released_at(id);
        let late = released.is_none_or(|at| at > ended + LIMIT + TOLERANCE);
        let text = released.map_or("never".to_owned(), |at| format!("{:.3} s after its end", at - ended));
        setting.record.line(format!(
            "judge: {id} was released to its caller {text}{}",
            if late { ": too late" } else { "" }
        ));
        held &= !late;
    }
    held
}
