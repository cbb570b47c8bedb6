//! An exchange falls silent for a moment and then answers, with long descriptions, all that it was asked meanwhile.

use crate::harness::*;
use crate::platform::*;

/// Exchanges beside the own one: "5 to 7 exchanges", of which "a fifth" falls silent.
const EXCHANGES: u32 = 5;
/// How long the exchange is silent, which the pages let it be for 6 s.
const SILENT: f64 = 1.0;
/// Set-ups to it within that time: "The busiest signalling proxy gets about 50 calls a second".
const SET_UPS: u32 = 40;
/// How often the exchange falls silent.
const TIMES: u32 = 5;
/// Length of the descriptions in answers: "No message holds more than 16 KiB."
const DESCRIPTION: &str = "15000";
/// The caller's deadline, and half a second after it, in which an answer "only earns nothing".
const ANSWERED_WITHIN: f64 = 3.0 + 0.55;
/// What this machine may be late by when it notes a time.
const TOLERANCE: f64 = 0.25;

pub fn run(setting: &Setting) -> Outcome {
    let (record, reports) = (&setting.record, Reports::default());
    let mut entries = vec![instance("s-00000000", free_address()?, 0, "ready", 0)];
    let mut exchanges = Vec::new();
    for number in 2..2 + EXCHANGES {
        let (name, at) = (format!("X{number}"), free_address()?);
        let arguments = ["exchange", &name, &at.to_string(), "400", "0", DESCRIPTION].map(str::to_owned);
        exchanges.push(start_standin(setting, &arguments, &reports)?);
        if !wait_for(5.0, || !reported(&reports, &format!("{name} listens")).is_empty()) {
            return Err("an exchange does not listen".into());
        }
        entries.push(instance(&format!("s-{number:08}"), at, number, "ready", 0));
    }
    let bulletin = Bulletin::start(record)?;
    bulletin.tell(&entries);
    let (_proxy, listen) = start_platform_proxy(setting, &bulletin)?;
    let (mut lost, mut sent) = (0, 0);
    for time in 0..TIMES {
        // One connection carries many calls; a new one each time, as the proxy may have closed the last one.
        let caller = Caller::connect(record, listen)?;
        if setting.trouble {
            signal(&exchanges[0], "STOP");
            record.line("X2 falls silent");
        }
        for number in 0..SET_UPS {
            caller.call(&format!("9b1f03aa5c{time:02x}{number:04x}"), 2, "obras-viales");
            sleep(SILENT / f64::from(SET_UPS));
        }
        if setting.trouble {
            signal(&exchanges[0], "CONT");
            record.line("X2 goes on");
        }
        sleep(ANSWERED_WITHIN + TOLERANCE);
        let calls = lock(&caller.calls).clone();
        let in_time = |call: &&CallState| {
            call.answers.iter().any(|(at, _)| at - call.sent <= ANSWERED_WITHIN + TOLERANCE)
        };
        let answered = calls.values().filter(in_time).count();
        let stand =
            calls.values().filter(|call| call.answers.iter().any(|(_, status)| *status == 200)).count();
        record.line(format!(
            "judge: of {} set-ups on this connection {answered} were answered in time, {stand} of them with 200",
            calls.len()
        ));
        (lost, sent) = (lost + calls.len() - answered, sent + calls.len());
        calls.keys().filter(|id| caller.stands(id)).for_each(|id| caller.release(id));
        sleep(1.0);
    }
    record.line(format!("judge: {lost} of {sent} set-ups never got an answer"));
    Ok(lost == 0)
}
