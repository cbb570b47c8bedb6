//! The cases of the second independent review, and their stand-ins. `review/N/run.sh` runs `case N FOLDER RECORD`.

mod case10;
mod case6;
mod case7;
mod case8;
mod case9;
mod harness;
mod platform;
mod relay;
mod sip;
mod sipside;

use harness::{Outcome, Record, Setting};

fn run(arguments: &[String]) -> Outcome {
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["exchange", ..] => platform::run_exchange(&arguments[1..]).map(|()| true),
        ["sip-exchange", ..] => sipside::run_exchange(&arguments[1..]).map(|()| true),
        ["case", number, folder, record] => {
            let record = Record::create(record.as_ref())?;
            let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            record
                .line(format!("case {number}, {} the disruption", if trouble { "with" } else { "without" }));
            // A case that hangs could not run.
            let overdue = record.clone();
            std::thread::spawn(move || {
                harness::sleep(110.0);
                overdue.line("result: could not run: too long");
                std::process::exit(2);
            });
            let setting = Setting { record: record.clone(), folder: folder.into(), trouble };
            let outcome = match number {
                "6" => case6::run(&setting),
                "7" => case7::run(&setting),
                "8" => case8::run(&setting),
                "9" => case9::run(&setting),
                "10" => case10::run(&setting),
                _ => Err("there is no such case".into()),
            };
            match &outcome {
                Ok(true) => record.line("result: the rule held"),
                Ok(false) => record.line("result: the rule was broken"),
                Err(error) => record.line(format!("result: could not run: {error}")),
            }
            outcome
        }
        _ => Err("case NUMBER FOLDER RECORD, or a stand-in".into()),
    }
}

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(true) => 0.into(),
        Ok(false) => 1.into(),
        Err(error) => {
            eprintln!("{error}");
            2.into()
        }
    }
}
