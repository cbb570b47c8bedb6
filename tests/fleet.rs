//! The controller in a large fleet: many far exchanges with few calls to each, stalls of the proxy, and probes of the
//! own processor.

mod common;
use common::*;
use mallowring::interface::*;

/// The number of far exchanges.
const FAR_EXCHANGES: i64 = 40;

/// A controller with [`FAR_EXCHANGES`] far exchanges on its roster and 100 free circuits to each.
fn fleet_harness(settings: Settings) -> ControllerHarness {
    let mut harness = ControllerHarness::new(settings);
    harness.update_roster(RosterKind::Full, (0..=FAR_EXCHANGES).map(roster_entry).collect());
    (1..=FAR_EXCHANGES).for_each(|number| harness.report_circuits(number, 100.0, 100.0));
    harness
}

/// Places `n` calls, five a second, to one far exchange after the other, and returns how many are refused. The others
/// are established after `set_up_time` seconds, or time out after the target of 1.2 s if that is shorter.
fn offer_calls(harness: &mut ControllerHarness, n: usize, set_up_time: f64) -> usize {
    let (mut pending, mut refusals) = (Vec::new(), 0);
    for call in 0..n {
        let dest = 1 + call as i64 % FAR_EXCHANGES;
        let (id, actions) = harness.place_call(dest);
        match sent_to(&actions) {
            Some(_) => pending.push((harness.now + set_up_time.min(1.2), id, dest)),
            None => refusals += 1,
        }
        harness.now += 0.2;
        let due = pending.iter().position(|(ends_at, ..)| *ends_at > harness.now).unwrap_or(pending.len());
        for (_, id, dest) in pending.drain(..due) {
            if set_up_time < 1.2 {
                harness.establish(&id, 0, dest, set_up_time);
            } else {
                harness.end_attempt(&id, 0, dest, Outcome::TimedOut, Cause::Unspecified);
            }
        }
    }
    refusals
}

/// Guards against a proxy that keeps sending although its own processor is slow: with many far exchanges, one set-up
/// that had just been sent concealed the wait at the own processor.
#[test]
fn a_slow_own_processor_raises_the_own_level_whatever_the_destinations() {
    let mut harness = fleet_harness(settings());
    assert_eq!(offer_calls(&mut harness, 40, 0.1), 0, "refused while nothing is slow");
    let refusals = offer_calls(&mut harness, 100, 5.0);
    assert!(refusals > 60, "{refusals} of 100 refused while nothing is answered");
}

/// Guards against an overload level of the own processor that stays at 4 while the processor is idle: after many
/// time-outs all calls were refused, so no new samples arrived, and the old samples were observed again and again.
#[test]
fn the_own_level_decays_once_no_set_up_is_unanswered() {
    let mut harness = fleet_harness(settings());
    offer_calls(&mut harness, 40, 0.1);
    let timed_out_calls: Vec<_> = (1..=12).map(|dest| (harness.place_call(dest).0, dest)).collect();
    (0..6).for_each(|_| {
        harness.now += 0.2;
        harness.report_circuits(40, 100.0, 100.0);
    });
    for (id, dest) in timed_out_calls {
        harness.end_attempt(&id, 0, dest, Outcome::TimedOut, Cause::Unspecified);
    }
    let refusals = (13..33).take_while(|dest| {
        harness.now += 0.2;
        is_refused(&harness.place_call(*dest).1)
    });
    let refusals = refusals.count();
    assert!((2..15).contains(&refusals), "{refusals} calls refused in a row, five a second");
}

/// Guards against taking a stall of the proxy for a wait: after a stall its unanswered set-ups seemed older by the
/// length of the stall.
#[test]
fn a_stall_of_the_proxy_does_not_count_as_wait() {
    let mut harness = fleet_harness(settings());
    offer_calls(&mut harness, 40, 0.1);
    let sent_before_stall: Vec<_> = (1..=8).map(|dest| (harness.place_call(dest).0, dest)).collect();
    harness.now += 2.0;
    let batch: Vec<_> = (11..31).map(|dest| (harness.place_call(dest), dest)).collect();
    let refusals = batch.iter().filter(|((_, actions), _)| is_refused(actions)).count();
    for (id, dest) in sent_before_stall {
        harness.establish(&id, 0, dest, 2.0);
    }
    for ((id, _), dest) in &batch {
        harness.establish(id, 0, *dest, 0.1);
    }
    assert!(refusals < 5, "{refusals} of 20 calls refused in the batch after a stall");
    assert!(offer_calls(&mut harness, 10, 0.1) < 3, "set-ups established during the stall counted as slow");
}

/// Guards against the overload level of a rarely called far exchange decaying before the next call to it.
#[test]
fn a_far_level_outlasts_a_few_seconds_without_observations() {
    let mut harness = fleet_harness(settings());
    harness.report_wait(3, 2.0);
    assert!(is_refused(&harness.place_call(3).1));
    harness.now += 4.5;
    assert_eq!(harness.count_refused(3, 20), 20);
    harness.now += 30.0;
    assert_eq!(harness.count_refused(3, 20), 0);
}

/// Guards against deriving the wait from 1 / rate: every small exchange counted as slow, and a large one that had lost
/// half of its rate did not.
#[test]
fn a_reported_rate_is_compared_with_the_highest_rate_of_that_exchange() {
    let mut harness = fleet_harness(settings());
    let refusals_at = |harness: &mut ControllerHarness, rate: f64| {
        let report = LoadReport { set_up_rate: Some(rate), ..LoadReport::default() };
        harness.handle(Event::Status { exchange: exchange_id(3), ok: true, elapsed: 0.01, report });
        harness.count_refused(3, 20)
    };
    assert_eq!(refusals_at(&mut harness, 2.0), 0, "a small exchange is not a slow one");
    assert_eq!(refusals_at(&mut harness, 0.8), 4, "at two fifths of its highest rate: level 1");
    assert_eq!(refusals_at(&mut harness, 0.1), 20, "at a twentieth of its highest rate: level 4");
}

/// Guards against the advised tandem being drawn too rarely: a weight factor of only two had little effect among sixty
/// candidates, most of which have no free circuit to the destination.
#[test]
fn the_advised_tandem_is_drawn_most_often_in_a_large_fleet() {
    let mut harness = fleet_harness(settings());
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

/// Guards against abandoning an attempt over a tandem after half of the remaining time, before the destination behind
/// the tandem could answer.
#[test]
fn a_tandem_attempt_may_take_the_whole_target() {
    let mut harness = fleet_harness(settings());
    harness.report_circuits(3, 0.0, 0.0);
    let (_, actions) = harness.place_call(3);
    let Some(Action::Attempt { abandon_at, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!((abandon_at.0 - harness.now - 1.2).abs() < 1e-9);
}

/// Where probes are allowed the own processor is probed, and after a failed probe four of five normal calls are
/// refused.
#[test]
fn the_own_processor_is_probed_and_a_failed_probe_counts_as_overload() {
    let mut settings = settings();
    settings.probing_allowed = true;
    let mut harness = fleet_harness(settings);
    let probes = (0..60).filter(|_| {
        harness.now += 0.02;
        let (id, actions) = harness.place_call(5);
        harness.establish(&id, 0, 5, 0.0);
        actions.contains(&Action::Probe(exchange_id(OWN_NUMBER)))
    });
    assert_eq!(probes.count(), 2, "one probe in half of the target");
    let failed_probe = Event::Status {
        exchange: exchange_id(OWN_NUMBER),
        ok: false,
        elapsed: 0.25,
        report: LoadReport::default(),
    };
    harness.handle(failed_probe);
    assert_eq!(harness.count_refused(5, 20), 16);
}

/// Guards against reserving too much of a thin trunk group, as a large fleet has them: a reservation by the square root
/// of the size alone withheld every second circuit from calls over a tandem.
#[test]
fn thin_groups_reserve_no_circuits() {
    let mut harness = fleet_harness(settings());
    (1..=FAR_EXCHANGES).for_each(|number| harness.report_circuits(number, 0.0, 8.0));
    harness.report_circuits(9, 1.0, 8.0);
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(9)));
    harness.report_circuits(9, 3.0, 40.0);
    assert!(is_refused(&harness.place_call(3).1), "a large group keeps its reserved circuits");
}
