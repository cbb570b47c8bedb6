//! The bulletin breaks off and is slow afterwards, while an exchange drains, stops, and another one takes its address.

use crate::harness::*;
use crate::platform::*;

/// How long the slow bulletin takes for its first line on each connection that is made after the break.
const SILENCE: f64 = 2.5;
/// "Whatever the bulletin has to tell counts as told at the latest 7 s later, whether it arrived or not."
const TOLD: f64 = 7.0;
/// `drain_grace` of the settings, and 50 ms as for every time limit.
const GRACE: f64 = 0.55;
/// What this machine may be late by when it notes a time.
const TOLERANCE: f64 = 0.25;
/// "drain time, s 2 to 6".
const DRAIN: f64 = 4.0;
/// From the stop of the exchange to the start of the new one at its address, which has another number.
const ADDRESS_FREE: f64 = 1.0;
/// How long traffic goes on after the stop of the exchange counts as told at the latest.
const WATCHED: f64 = 6.0;

pub fn run(setting: &Setting) -> Outcome {
    let (record, reports) = (&setting.record, Reports::default());
    let start = |name: &str, at: std::net::SocketAddr| -> Result<Process, Failure> {
        let arguments = ["exchange", name, &at.to_string(), "40", "0", "60"].map(str::to_owned);
        let process = start_standin(setting, &arguments, &reports)?;
        match wait_for(5.0, || !reported(&reports, &format!("{name} listens")).is_empty()) {
            true => Ok(process),
            false => Err("an exchange does not listen".into()),
        }
    };
    let (at2, at3) = (free_address()?, free_address()?);
    let (leaving, _other) = (start("X2", at2)?, start("X3", at3)?);
    let bulletin = Bulletin::start(record)?;
    let own = instance("s-00000000", free_address()?, 0, "ready", 0);
    let entry =
        |id: u32, at, number, state, started| instance(&format!("s-{id:08}"), at, number, state, started);
    bulletin.tell(&[own, entry(2, at2, 2, "ready", 0), entry(3, at3, 3, "ready", 0)]);
    let (_proxy, listen) = start_platform_proxy(setting, &bulletin)?;
    let caller = Caller::connect(record, listen)?;
    let (mut number, mut standing) = (0, Vec::<(f64, String)>::new());
    // Four calls a second to exchange 2, which last 1 s.
    let mut traffic = |until: f64| {
        while now() < until {
            number += 1;
            let id = format!("9b1f03aa5c7e{number:04x}");
            caller.call(&id, 2, "obras-viales");
            standing.push((now() + 1.0, id));
            sleep(0.25);
            while standing.first().is_some_and(|(at, _)| *at <= now()) {
                let (_, id) = standing.remove(0);
                if caller.stands(&id) && caller.released_at(&id).is_none() {
                    caller.release(&id);
                }
            }
        }
    };
    traffic(now() + 3.0);
    if setting.trouble {
        bulletin.break_off(SILENCE);
    }
    bulletin.tell(&[entry(2, at2, 2, "draining", 0)]);
    traffic(now() + DRAIN);
    let gone_at = now();
    signal(&leaving, "KILL");
    drop(leaving);
    bulletin.tell(&[entry(2, at2, 2, "gone", 0)]);
    traffic(gone_at + ADDRESS_FREE);
    let _new = start("X5", at2)?;
    bulletin.tell(&[entry(5, at2, 5, "ready", (now() * 1000.0) as u64)]);
    traffic(gone_at + TOLD + GRACE + WATCHED);
    let before = reported(&reports, "X2 set-up").len();
    if before < 8 {
        return Err("too few set-ups before the drain".into());
    }
    let wrong = reported(&reports, "X5 set-up");
    let last_allowed = gone_at + TOLD + GRACE + TOLERANCE;
    let late: Vec<f64> = wrong.iter().copied().filter(|at| *at > last_allowed).collect();
    record.line(format!(
        "judge: {} set-ups for exchange 2, which is gone, reached exchange 5 at its address; {} of them later than {:.2} s \
         after exchange 2 was in the bulletin as gone{}",
        wrong.len(),
        late.len(),
        last_allowed - gone_at,
        late.last().map_or(String::new(), |at| format!(", the last one {:.3} s after", at - gone_at))
    ));
    Ok(late.is_empty())
}
