//! What differs in a large fleet: many far ends, each met only now and then; stalls; probes of the own processor.

mod common;
use common::*;
use mallowring::interface::*;

const FARS: i64 = 40;

/// A controller that has heard of 40 far ends, with room to each.
fn fleet(settings: Settings) -> ControllerHarness {
    let mut harness = ControllerHarness::new(settings);
    harness.update_roster(RosterKind::Full, (0..=FARS).map(roster_entry).collect());
    (1..=FARS).for_each(|number| harness.report_circuits(number, 100.0, 100.0));
    harness
}

/// Five calls a second to one far end after the other; set up after `took`, or timed out after an aim where
/// that is longer. Returns how many of `n` were refused.
fn traffic(harness: &mut ControllerHarness, n: usize, took: f64) -> usize {
    let (mut out, mut refusals) = (Vec::new(), 0);
    for call in 0..n {
        let dest = 1 + call as i64 % FARS;
        let (id, actions) = harness.place_call(dest);
        match sent_to(&actions) {
            Some(_) => out.push((harness.now + took.min(1.2), id, dest)),
            None => refusals += 1,
        }
        harness.now += 0.2;
        let due = out.iter().position(|(at, ..)| *at > harness.now).unwrap_or(out.len());
        for (_, id, dest) in out.drain(..due) {
            if took < 1.2 {
                harness.establish(&id, 0, dest, took);
            } else {
                harness.end_attempt(&id, 0, dest, Outcome::TimedOut, Cause::Unspecified);
            }
        }
    }
    refusals
}

/// Failure: with many far ends one set-up just sent hid the own wait, so a call server behind a slow processor
/// went on sending (ib462b5).
#[test]
fn the_own_level_sees_a_slow_own_processor_whatever_far_ends_are_called() {
    let mut harness = fleet(settings());
    assert_eq!(traffic(&mut harness, 40, 0.1), 0, "nothing is slow");
    let refusals = traffic(&mut harness, 100, 5.0);
    assert!(refusals > 60, "{refusals} of 100 refused while nothing is answered");
}

/// Failure: after a wave of time-outs the same ends were looked at again and again while all was refused, so
/// the own level stood at four with an idle processor (i374a3b).
#[test]
fn the_own_level_lets_go_once_nothing_of_ours_is_out() {
    let mut harness = fleet(settings());
    traffic(&mut harness, 40, 0.1);
    let wave: Vec<_> = (1..=12).map(|dest| (harness.place_call(dest).0, dest)).collect();
    (0..6).for_each(|_| {
        harness.now += 0.2;
        harness.report_circuits(40, 100.0, 100.0);
    });
    for (id, dest) in wave {
        harness.end_attempt(&id, 0, dest, Outcome::TimedOut, Cause::Unspecified);
    }
    let refusals = (13..33).take_while(|dest| {
        harness.now += 0.2;
        is_refused(&harness.place_call(*dest).1)
    });
    let refusals = refusals.count();
    assert!((2..15).contains(&refusals), "{refusals} calls refused in a row, five a second");
}

/// Failure: after a stall of the call server set-ups looked as old as the stall was long (i4a0b19).
#[test]
fn a_stall_of_the_call_server_is_no_wait() {
    let mut harness = fleet(settings());
    traffic(&mut harness, 40, 0.1);
    let out: Vec<_> = (1..=8).map(|dest| (harness.place_call(dest).0, dest)).collect();
    harness.now += 2.0;
    let batch: Vec<_> = (11..31).map(|dest| (harness.place_call(dest), dest)).collect();
    let refusals = batch.iter().filter(|((_, actions), _)| is_refused(actions)).count();
    for (id, dest) in out {
        harness.establish(&id, 0, dest, 2.0);
    }
    for ((id, _), dest) in &batch {
        harness.establish(id, 0, *dest, 0.1);
    }
    assert!(refusals < 5, "{refusals} of 20 calls refused in the batch after a stall");
    assert!(traffic(&mut harness, 10, 0.1) < 3, "set-ups that stood meanwhile were not slow");
}

/// Failure: a level was gone before the next call to a far end met seldom.
#[test]
fn a_far_level_outlasts_a_few_seconds_without_news() {
    let mut harness = fleet(settings());
    harness.report_wait(3, 2.0);
    assert!(is_refused(&harness.place_call(3).1));
    harness.now += 4.5;
    assert_eq!(harness.count_refused(3, 20), 20);
    harness.now += 30.0;
    assert_eq!(harness.count_refused(3, 20), 0);
}

/// Failure: 1 / rate called every small exchange slow and no large one that had lost half.
#[test]
fn a_reported_rate_is_read_against_the_best_of_that_far_end() {
    let mut harness = fleet(settings());
    let rate = |harness: &mut ControllerHarness, rate: f64| {
        let report = LoadReport { set_up_rate: Some(rate), ..LoadReport::default() };
        harness.handle(Event::Status { exchange: exchange_id(3), ok: true, elapsed: 0.01, report });
        harness.count_refused(3, 20)
    };
    assert_eq!(rate(&mut harness, 2.0), 0, "small, not slow");
    assert_eq!(rate(&mut harness, 0.8), 4, "at two fifths of its best: level 1");
    assert_eq!(rate(&mut harness, 0.1), 20, "at a twentieth: level 4");
}

/// Failure: a bonus of two drowned among sixty candidates, of which most have no way on.
#[test]
fn the_advised_tandem_is_drawn_mostly_in_a_large_fleet() {
    let mut harness = fleet(settings());
    harness.report_circuits(3, 0.0, 0.0);
    let drawn = (0..60).filter(|_| {
        let mut call = harness.arrival(3);
        call.hop = Some(ExchangeNumber(7));
        let id = call.id.clone();
        let tandem = sent_to(&harness.handle(Event::Arrival(call))).expect("a tandem has room");
        harness.establish(&id, 0, tandem.0 as i64 - 100, 0.1);
        tandem == exchange_id(7)
    });
    let drawn = drawn.count();
    assert!((35..60).contains(&drawn), "{drawn} of 60 over the advised tandem");
}

/// Failure: a tandem attempt was given up after half of what was left, before its second leg could answer.
#[test]
fn a_tandem_attempt_may_take_the_whole_aim() {
    let mut harness = fleet(settings());
    harness.report_circuits(3, 0.0, 0.0);
    let (_, actions) = harness.place_call(3);
    let Some(Action::Attempt { abandon_at, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!((abandon_at.0 - harness.now - 1.2).abs() < 1e-9);
}

/// Where probes are allowed the own processor is asked, and a probe it has no time for refuses four in five.
#[test]
fn the_own_processor_is_probed_and_its_failure_to_answer_counts() {
    let mut settings = settings();
    settings.probing_allowed = true;
    let mut harness = fleet(settings);
    let probes = (0..60).filter(|_| {
        harness.now += 0.02;
        let (id, actions) = harness.place_call(5);
        harness.establish(&id, 0, 5, 0.0);
        actions.contains(&Action::Probe(exchange_id(OWN_NUMBER)))
    });
    assert_eq!(probes.count(), 2, "once in half an aim");
    let failed = Event::Status {
        exchange: exchange_id(OWN_NUMBER),
        ok: false,
        elapsed: 0.25,
        report: LoadReport::default(),
    };
    harness.handle(failed);
    assert_eq!(harness.count_refused(5, 20), 16);
}

/// Failure: in a large fleet groups are thin, and a reserve by their root alone kept every second circuit from
/// calls over a tandem (inzira-rw-edge-later, big days).
#[test]
fn thin_groups_keep_no_circuits_back() {
    let mut harness = fleet(settings());
    (1..=FARS).for_each(|number| harness.report_circuits(number, 0.0, 8.0));
    harness.report_circuits(9, 1.0, 8.0);
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(9)));
    harness.report_circuits(9, 3.0, 40.0);
    assert!(is_refused(&harness.place_call(3).1), "a thick group keeps its reserve");
}
