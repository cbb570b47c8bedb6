//! Overload levels, refusal of calls, and route choice of the controller.

mod common;
use common::*;
use mallowring::interface::*;

/// Levels 0 to 3 refuse 0, 20, 80 and 100 % of the normal first set-ups and no urgent one.
#[test]
fn levels_0_to_3_refuse_their_shares_of_normal_calls_and_no_urgent_call() {
    // The upper bound of onset 1 is 0.36 s for a target of 1.2 s; without traffic the onset is at that bound.
    for (wait, share) in [(0.1, 0), (0.5, 8), (1.0, 32), (2.0, 40)] {
        let mut harness = ControllerHarness::new(settings());
        harness.report_circuits(3, 1000.0, 1000.0);
        harness.report_wait(3, wait);
        assert_eq!(harness.count_refused(3, 40), share, "wait {wait}");
        let mut urgent = harness.arrival(3);
        urgent.class = ClassIndex(1);
        urgent.width = 4;
        assert!(sent_to(&harness.handle(Event::Arrival(urgent))).is_some(), "urgent call at wait {wait}");
    }
}

#[test]
fn level_four_refuses_urgent_calls_too() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_wait(3, 4.0);
    let mut cut_call = harness.arrival(3);
    cut_call.re_established = true;
    assert!(is_refused(&harness.handle(Event::Arrival(cut_call))));
}

/// A level drops only when the wait is below its abatement threshold; a wait just below its onset does not suffice.
#[test]
fn a_level_holds_between_its_abatement_and_onset_thresholds() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.report_wait(3, 2.0);
    assert_eq!(harness.count_refused(3, 20), 20);
    // Level 3 has its onset at 1.44 s and its abatement threshold at 0.86 s.
    harness.now += 0.1;
    harness.report_wait(3, 1.0);
    assert_eq!(harness.count_refused(3, 20), 20);
    harness.now += 0.1;
    harness.report_wait(3, 0.8);
    assert_eq!(harness.count_refused(3, 20), 16);
}

#[test]
fn a_level_decays_without_observations() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.report_wait(3, 2.0);
    assert_eq!(harness.count_refused(3, 10), 10);
    harness.now += 20.0;
    assert_eq!(harness.count_refused(3, 10), 0);
}

#[test]
fn a_processor_full_response_raises_the_level_and_pauses_set_ups() {
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
fn the_direct_route_is_first_then_a_tandem_with_circuits_beyond_the_reserved_ones() {
    let mut harness = ControllerHarness::new(settings());
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(3)));
    harness.report_circuits(3, 0.0, 30.0);
    harness.report_circuits(1, 3.0, 36.0); // 3 circuits are reserved
    harness.report_circuits(2, 3.0, 36.0);
    for _ in 0..10 {
        assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(4)));
    }
    harness.report_circuits(4, 3.0, 36.0);
    assert!(is_refused(&harness.place_call(3).1));
}

#[test]
fn after_crankback_another_tandem_is_tried_and_the_first_one_is_drawn_less_often() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 0.0, 30.0);
    let mut first_tandems = Vec::new();
    for _ in 0..60 {
        let (id, actions) = harness.place_call(3);
        let tandem = sent_to(&actions).expect("a tandem has room");
        let number = tandem.0 as i64 - 100;
        first_tandems.push(number);
        if number == 1 {
            let retry = harness.end_attempt(&id, 0, 1, Outcome::Refused, Cause::Crankback);
            assert!(sent_to(&retry).is_some_and(|exchange| exchange != tandem));
        } else {
            harness.establish(&id, 0, number, 0.1);
        }
    }
    let later_draws = first_tandems[20..].iter().filter(|number| **number == 1).count();
    assert!(later_draws < 8, "{later_draws} of 40 draws chose the tandem that turns calls back");
    assert!(first_tandems.contains(&2) && first_tandems.contains(&4));
}

#[test]
fn a_transit_call_is_routed_directly_or_refused() {
    let mut harness = ControllerHarness::new(settings());
    let mut transit = harness.arrival(3);
    transit.transit = true;
    transit.hop = Some(ExchangeNumber(1));
    assert_eq!(sent_to(&harness.handle(Event::Arrival(transit.clone()))), Some(exchange_id(3)));
    harness.report_circuits(3, 3.0, 30.0);
    transit.id = CallId("second".into());
    assert!(
        is_refused(&harness.handle(Event::Arrival(transit))),
        "the last circuits are reserved for calls of the own exchange"
    );
}

/// Guards against redials, which earn only a fraction of the worth, taking the last circuits from first set-ups.
#[test]
fn redials_use_neither_reserved_circuits_nor_a_tandem() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 3.0, 30.0);
    let mut redial = harness.arrival(3);
    redial.redial = true;
    assert!(is_refused(&harness.handle(Event::Arrival(redial))));
    assert_eq!(sent_to(&harness.place_call(3).1), Some(exchange_id(3)));
}

/// Guards against treating redials as first set-ups where callers do not mark them: a redial has a different time to
/// live from the first set-ups of its class.
#[test]
fn an_unmarked_redial_is_detected_by_its_time_to_live() {
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
fn every_level_above_0_refuses_redials_before_first_set_ups() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.report_wait(3, 0.5);
    let mut redial = harness.arrival(3);
    redial.redial = true;
    redial.class = ClassIndex(1);
    assert!(is_refused(&harness.handle(Event::Arrival(redial))));
}

/// Guards against a flood of set-ups to a processor that does not answer: without observations its overload level
/// decayed to 0.
#[test]
fn a_silent_exchange_gets_one_trial_call_at_a_time() {
    let mut harness = ControllerHarness::new(settings());
    let (id, _) = harness.place_call(3);
    harness.now += 1.2;
    harness.end_attempt(&id, 0, 3, Outcome::TimedOut, Cause::Unspecified);
    harness.now += 30.0;
    let (trial, actions) = harness.place_call(3);
    assert_eq!(sent_to(&actions), Some(exchange_id(3)));
    assert_eq!(harness.count_refused(3, 20), 20, "one trial call at a time");
    harness.establish(&trial, 0, 3, 0.4);
    harness.now += 0.1;
    assert_eq!(harness.count_refused(3, 20), 0, "an answered trial call ends the restriction");
}

/// Guards against one lost answer counting as overload. The age of its set-up was taken as the wait at the processor,
/// and then the exchange as silent, although set-ups sent later were established at once. In one simulated day 7,798
/// calls were refused for this reason.
#[test]
fn a_set_up_overtaken_by_later_ones_counts_as_lost_and_not_as_wait() {
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
    // The exchange is not silent, so more than one set-up to it may be unanswered.
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

/// Guards against sending a whole burst of cut calls, which are all urgent, before any delay can be measured. The
/// number of unanswered set-ups counts as queue length from the start.
#[test]
fn recent_unanswered_set_ups_count_as_queue_length() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    harness.count_refused(3, 1);
    let sent_set_ups = (0..200).filter(|_| {
        let mut cut_call = harness.arrival(3);
        cut_call.re_established = true;
        sent_to(&harness.handle(Event::Arrival(cut_call))).is_some()
    });
    let sent = sent_set_ups.count();
    assert!((2..100).contains(&sent), "{sent} of a burst of 200 were sent at once");
}

/// Guards against refusals without load in fast networks: transmission delay and the processing of the set-up itself
/// were counted as wait.
#[test]
fn a_constant_set_up_delay_does_not_count_as_wait() {
    let mut harness = ControllerHarness::new(settings());
    harness.report_circuits(3, 1000.0, 1000.0);
    for _ in 0..40 {
        for dest in [1, 3] {
            let (id, actions) = harness.place_call(dest);
            assert!(sent_to(&actions).is_some(), "refused without a wait");
            harness.now += 0.25;
            harness.establish(&id, 0, dest, if dest == 1 { 0.03 } else { 0.25 });
        }
    }
}

/// Guards against treating a redial that can still meet the target like a late one.
#[test]
fn a_redial_within_the_target_of_its_first_set_up_counts_as_a_first_set_up() {
    let mut harness = ControllerHarness::new(settings());
    let dial = |harness: &mut ControllerHarness, redial: bool| {
        let mut call = harness.arrival(3);
        (call.number, call.redial) = (Some("n/7".into()), redial);
        harness.handle(Event::Arrival(call))
    };
    for number in 1..5 {
        harness.report_circuits(number, 0.0, 30.0);
    }
    assert!(is_refused(&dial(&mut harness, false)));
    harness.report_circuits(3, 3.0, 30.0); // 3 free circuits, all of them reserved
    harness.now += 0.5;
    assert_eq!(sent_to(&dial(&mut harness, true)), Some(exchange_id(3)));
    harness.now += 1.0;
    assert!(is_refused(&dial(&mut harness, true)), "too late for the target");
}

/// Guards against callers that redial all at the same moment: without a cool-down refused callers redialled at once.
/// In one simulation the result was 0.78 with this fault and 0.90 without it. The cool-down is short enough for a
/// redial to be established within the target.
#[test]
fn every_refusal_has_a_cool_down_where_it_is_allowed() {
    let mut harness = ControllerHarness::new(settings());
    harness.update_roster(
        RosterKind::Incremental,
        vec![RosterEntry { state: ServiceState::Removed, ..roster_entry(3) }],
    );
    let actions = harness.place_call(3).1;
    let [Action::Refuse { cool_down: Some(cool_down), .. }] = actions[..] else { panic!("{actions:?}") };
    assert!(cool_down > 0.0 && cool_down < 1.2 / 2.0, "{cool_down}");
    let mut settings = settings();
    settings.cool_down_allowed = false;
    let mut harness = ControllerHarness::new(settings);
    assert!(matches!(harness.place_call(OWN_NUMBER).1[..], [Action::Refuse { cool_down: None, .. }]));
}

/// Guards against a client that withdraws many set-ups at once and so refuses the calls of others for seconds: a number of
/// unanswered set-ups is an estimate, and lapses with them if none of them has waited.
#[test]
fn set_ups_that_are_withdrawn_at_once_leave_no_overload_level() {
    for destinations in [1, 3] {
        let mut harness = ControllerHarness::new(settings());
        (1..5).for_each(|number| harness.report_circuits(number, 1000.0, 1000.0));
        for number in 1..5 {
            let (id, _) = harness.place_call(number);
            harness.now += 0.1;
            harness.establish(&id, 0, number, 0.1);
        }
        let mut open = Vec::new();
        for n in 0..100 {
            let (id, actions) = harness.place_call(1 + n % destinations);
            open.extend(sent_to(&actions).map(|_| id));
        }
        assert!((2..100).contains(&open.len()), "some are refused, as many are open: {}", open.len());
        harness.now += 0.05;
        for id in open {
            harness.handle(Event::Withdrawn(id));
        }
        harness.now += 0.05;
        let mut refused = 0;
        for _ in 0..20 {
            let (id, actions) = harness.place_call(1);
            refused += u32::from(is_refused(&actions));
            harness.now += 0.1;
            harness.establish(&id, 0, 1, 0.1);
        }
        assert_eq!(refused, 0, "{destinations}");
    }
}
