//! Levels, refusal shares and route choice.

mod common;
use common::*;
use mallowring::interface::*;

/// The shares of the design: 0, 20, 80 and 100 % of normal first set-ups, none of the urgent ones.
#[test]
fn levels_refuse_their_shares_and_let_urgent_calls_pass() {
    // The clamp puts onset 1 at 0.36 s at most for an aim of 1.2 s; without traffic it stands there.
    for (wait, share) in [(0.1, 0), (0.5, 8), (1.0, 32), (2.0, 40)] {
        let mut harness = ControllerHarness::new(settings());
        harness.report_circuits(3, 1000.0, 1000.0);
        harness.report_wait(3, wait);
        assert_eq!(harness.count_refused(3, 40), share, "wait {wait}");
        let mut dear = harness.arrival(3);
        dear.class = ClassIndex(1);
        dear.width = 4;
        assert!(sent_to(&harness.handle(Event::Arrival(dear))).is_some(), "urgent at wait {wait}");
    }
}

#[test]
fn level_four_refuses_urgent_calls_too() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_wait(3, 4.0);
    let mut cut = harness.arrival(3);
    cut.re_established = true;
    assert!(is_refused(&harness.handle(Event::Arrival(cut))));
}

/// A level is left below its abate threshold only, not as soon as the wait is back under the onset.
#[test]
fn a_level_holds_between_abate_and_onset() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.report_wait(3, 2.0);
    assert_eq!(harness.count_refused(3, 20), 20);
    // Onset 3 is 1.44 s here, its abate 0.86 s.
    harness.now += 0.1;
    harness.report_wait(3, 1.0);
    assert_eq!(harness.count_refused(3, 20), 20);
    harness.now += 0.1;
    harness.report_wait(3, 0.8);
    assert_eq!(harness.count_refused(3, 20), 16);
}

#[test]
fn without_news_a_level_drops_step_by_step() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.report_wait(3, 2.0);
    assert_eq!(harness.count_refused(3, 10), 10);
    harness.now += 20.0;
    assert_eq!(harness.count_refused(3, 10), 0);
}

#[test]
fn processor_full_takes_the_next_onset_and_pauses_sends() {
    let mut harness = ControllerHarness::new(settings());
    let (id, actions) = harness.place_call(3);
    assert_eq!(sent_to(&actions), Some(exchange_id(3)));
    assert!(is_refused(&harness.end_attempt(&id, 0, 3, Outcome::Refused, Cause::ProcessorFull)));
    assert!(is_refused(&harness.place_call(3).1), "within the pause");
    harness.now += 0.25;
    let refusals = (0..20).filter(|_| is_refused(&harness.place_call(3).1)).count();
    assert_eq!(refusals, 4, "level 1 after the pause");
}

#[test]
fn direct_first_then_a_tandem_with_room_beyond_the_reserve() {
    let mut harness = ControllerHarness::new(settings());
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(3)));
    harness.report_circuits(3, 0.0, 30.0);
    harness.report_circuits(1, 3.0, 36.0); // within the reserve of 3
    harness.report_circuits(2, 3.0, 36.0);
    for _ in 0..10 {
        assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(4)));
    }
    harness.report_circuits(4, 3.0, 36.0);
    assert!(is_refused(&harness.place_call(3).1));
}

#[test]
fn a_turned_back_call_tries_another_tandem_and_the_draw_moves_away() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 0.0, 30.0);
    let mut firsts = Vec::new();
    for _ in 0..60 {
        let (id, actions) = harness.place_call(3);
        let tandem = sent_to(&actions).expect("a tandem has room");
        let number = tandem.0 as i64 - 100;
        firsts.push(number);
        if number == 1 {
            let again = harness.end_attempt(&id, 0, 1, Outcome::Refused, Cause::Crankback);
            assert!(sent_to(&again).is_some_and(|o| o != tandem));
        } else {
            harness.establish(&id, 0, number, 0.1);
        }
    }
    let late = firsts[20..].iter().filter(|n| **n == 1).count();
    assert!(late < 8, "{late} of 40 draws went to the tandem that turns back");
    assert!(firsts.contains(&2) && firsts.contains(&4));
}

#[test]
fn a_transit_call_goes_on_or_is_turned_back() {
    let mut harness = ControllerHarness::new(settings());
    let mut transit = harness.arrival(3);
    transit.transit = true;
    transit.hop = Some(ExchangeNumber(1));
    assert_eq!(sent_to(&harness.handle(Event::Arrival(transit.clone()))), Some(exchange_id(3)));
    harness.report_circuits(3, 3.0, 30.0);
    transit.id = CallId("second".into());
    assert!(is_refused(&harness.handle(Event::Arrival(transit))), "the last circuits are kept for own calls");
}

/// Failure: redials, worth a fraction, took the circuits that first tries then lacked.
#[test]
fn redials_leave_the_reserve_to_first_tries_and_take_no_tandem() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 3.0, 30.0);
    let mut redial = harness.arrival(3);
    redial.redial = true;
    assert!(is_refused(&harness.handle(Event::Arrival(redial))));
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(3)));
}

/// Failure: callers that do not mark repeats were treated as first tries, though their time to live tells.
#[test]
fn an_unmarked_redial_is_told_by_its_time_to_live() {
    let mut harness = ControllerHarness::new(settings());
    for _ in 0..5 {
        assert!(sent_to(&harness.place_call(3).1).is_some());
    }
    harness.report_circuits(3, 3.0, 30.0);
    let mut redial = harness.arrival(3);
    redial.ttl = 7.1;
    assert!(is_refused(&harness.handle(Event::Arrival(redial))));
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(3)));
}

#[test]
fn any_level_refuses_redials_before_first_tries() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.report_wait(3, 0.5);
    let mut redial = harness.arrival(3);
    redial.redial = true;
    redial.class = ClassIndex(1);
    assert!(is_refused(&harness.handle(Event::Arrival(redial))));
}

/// Failure: a silent processor decayed to no overload, so set-ups poured in.
#[test]
fn a_hung_processor_gets_single_trial_calls() {
    let mut harness = ControllerHarness::new(settings());
    let (id, _) = harness.place_call(3);
    harness.now += 1.2;
    harness.end_attempt(&id, 0, 3, Outcome::TimedOut, Cause::Unspecified);
    harness.now += 30.0;
    let (trial, actions) = harness.place_call(3);
    assert_eq!(sent_to(&actions), Some(exchange_id(3)));
    assert_eq!(harness.count_refused(3, 20), 20, "one trial at a time");
    harness.establish(&trial, 0, 3, 0.4);
    harness.now += 0.1;
    assert_eq!(harness.count_refused(3, 20), 0, "an answered trial re-opens it");
}

/// Failure: one answer that never came was taken for a wait as old as it was, and then for a silent processor, while
/// set-ups sent later stood at once: 7,798 calls of a day were refused for it.
#[test]
fn a_set_up_overtaken_by_later_ones_is_lost_and_no_wait() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    let (lost, actions) = harness.place_call(3);
    assert!(sent_to(&actions).is_some());
    for _ in 0..20 {
        harness.now += 0.05;
        assert_eq!(harness.count_refused(3, 1), 0, "at {}", harness.now);
    }
    harness.now += 0.2;
    harness.end_attempt(&lost, 0, 3, Outcome::TimedOut, Cause::Unspecified);
    // Not silent: more than one may be out there.
    for _ in 0..3 {
        assert!(sent_to(&harness.place_call(3).1).is_some());
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = ControllerHarness::new(settings());
        harness.report_circuits(3, 0.0, 30.0);
        (0..50).map(|_| harness.place_call(3).1).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Failure: a burst of cut calls, urgent all of them, was sent before any delay could tell (i035a1c, i374a3b).
#[test]
fn unanswered_set_ups_are_depth_even_before_they_grow_old() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.count_refused(3, 1);
    let sent = (0..200).filter(|_| {
        let mut cut = harness.arrival(3);
        cut.re_established = true;
        sent_to(&harness.handle(Event::Arrival(cut))).is_some()
    });
    let sent = sent.count();
    assert!((2..100).contains(&sent), "{sent} of a burst of 200 were sent at once");
}

/// Failure: distance and the set-up's own work counted as wait, so quick networks refused calls at rest.
#[test]
fn a_steady_delay_is_no_wait() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    for _ in 0..40 {
        for dest in [1, 3] {
            let (id, actions) = harness.place_call(dest);
            assert!(sent_to(&actions).is_some(), "no wait, no refusal");
            harness.now += 0.25;
            harness.establish(&id, 0, dest, if dest == 1 { 0.03 } else { 0.25 });
        }
    }
}

/// Failure: a redial in time for its aim was held back like a late one (inzira, iaec263).
#[test]
fn a_redial_still_within_the_aim_of_its_first_try_counts_as_a_first_try() {
    let mut harness = ControllerHarness::new(settings());
    let dial = |harness: &mut ControllerHarness, resent: bool| {
        let mut call = harness.arrival(3);
        (call.number, call.redial) = (Some("n/7".into()), resent);
        harness.handle(Event::Arrival(call))
    };
    for number in 1..5 {
        harness.report_circuits(number, 0.0, 30.0);
    }
    assert!(is_refused(&dial(&mut harness, false)));
    harness.report_circuits(3, 3.0, 30.0); // within the reserve
    harness.now += 0.5;
    assert_eq!(sent_to(&dial(&mut harness, true)), Some(exchange_id(3)));
    harness.now += 1.0;
    assert!(is_refused(&dial(&mut harness, true)), "too late for the aim");
}

/// Failure: refused callers were told nothing and came back at once, all together (lbsim big-1: 0.78 with, 0.90
/// after); what they are told leaves a redial time to stand within the aim.
#[test]
fn every_refusal_tells_when_to_come_back() {
    let mut harness = ControllerHarness::new(settings());
    harness.update_roster(
        RosterKind::Incremental,
        vec![RosterEntry { state: ServiceState::Removed, ..roster_entry(3) }],
    );
    let actions = harness.place_call(3).1;
    let [Action::Refuse { cool_down: Some(wait), .. }] = actions[..] else { panic!("{actions:?}") };
    assert!(wait > 0.0 && wait < 1.2 / 2.0, "{wait}");
    let mut settings = settings();
    settings.cool_down_allowed = false;
    let mut harness = ControllerHarness::new(settings);
    assert!(matches!(harness.place_call(OWN_NUMBER).1[..], [Action::Refuse { cool_down: None, .. }]));
}
