//! Tests of the call table without network: scripted calls from request to release, and the enforcement of the rules.

mod common;
use std::sync::Arc;

use common::{roster_entry, settings};
use mallowring::calls::tenants::{Change, Tenant, Tenants};
use mallowring::calls::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, RejectReason, Request, Table,
};
use mallowring::interface::*;
use mallowring::recovery::attempt_end::AttemptEnd;

/// A call table with a scripted clock.
struct Harness {
    table: Table,
    now: f64,
}

impl Harness {
    /// A table with exchanges 0 (its own) to 4 on its roster, and 30 free circuits to each of the others.
    fn new() -> Harness {
        let acme = Tenant { name: "acme".into(), suspended: false, max_calls: None };
        let tenants = Tenants::new([acme]);
        let mut harness = Harness {
            table: Table::new(Settings { max_attempts: 4, ..settings() }, tenants, 7, Time(1000.0)),
            now: 1000.0,
        };
        harness.handle(CallEvent::Roster { full: true, entries: (0..5).map(roster_entry).collect() });
        assert!(!harness.table.informed(), "no state has arrived");
        let report =
            LoadReport { free_circuits: Some(30.0), group_size: Some(30.0), ..LoadReport::default() };
        for number in 1..5 {
            harness.handle(CallEvent::Status { exchange: roster_entry(number).id, report });
        }
        assert!(harness.table.informed());
        harness
    }

    fn handle(&mut self, event: CallEvent) -> Vec<CallEffect> {
        let mut effects = Vec::new();
        self.table.handle(Time(self.now), event, &mut effects);
        effects
    }

    fn request(&self, id: &str) -> Request {
        Request {
            id: CallId(id.into()),
            front: Front::Platform,
            class: settings().classes[0].name.clone(),
            tenant: Some("acme".into()),
            ttl: 3.0,
            transit: false,
            hop: None,
            re_established: false,
            redial: false,
            width: 1,
            dest: ExchangeNumber(3),
            number: "n-1".into(),
            description: Arc::from(&b"offer"[..]),
            front_bytes: 0,
        }
    }

    /// Requests a call, of which an attempt is sent to exchange 3.
    fn attempted_call(&mut self, id: &str) -> CallId {
        let effects = self.handle(CallEvent::Request(self.request(id)));
        assert_eq!(set_ups(&effects), 1, "{effects:?}");
        CallId(id.into())
    }

    fn established_call(&mut self, id: &str) -> CallId {
        let id = self.attempted_call(id);
        let answer = Arc::from(&b"answer\0\xff"[..]);
        let event = CallEvent::Answered {
            id: id.clone(),
            exchange: ExchangeId(103),
            leg: Some(0),
            description: answer,
        };
        let effects = self.handle(event);
        assert!(
            matches!(&caller_commands(&effects)[..], [CallerCommand::Answer(d)] if d[..] == b"answer\0\xff"[..]),
            "{effects:?}"
        );
        id
    }

    fn set_up_failed(&mut self, id: &CallId, leg: u32, end: AttemptEnd) -> Vec<CallEffect> {
        let (exchange, cause, report) = (ExchangeId(103), Cause::Unspecified, LoadReport::default());
        self.handle(CallEvent::SetUpFailed { id: id.clone(), exchange, leg: Some(leg), end, cause, report })
    }

    /// Passes the timers that effects start to the table, at their times. Returns the set-ups that follow.
    fn set_ups_after_timers(&mut self, effects: &[CallEffect]) -> usize {
        let mut sent = 0;
        for (at, timer) in timers(effects) {
            self.now = self.now.max(at);
            sent += set_ups(&self.handle(CallEvent::TimerExpired(timer)));
        }
        sent
    }
}

fn caller_commands(effects: &[CallEffect]) -> Vec<CallerCommand> {
    let caller_command = |c: &CallEffect| match c {
        CallEffect::Caller(_, _, caller_command) => Some(caller_command.clone()),
        _ => None,
    };
    effects.iter().filter_map(caller_command).collect()
}

fn exchange_commands(effects: &[CallEffect]) -> Vec<ExchangeCommand> {
    let exchange_command = |c: &CallEffect| match c {
        CallEffect::Exchange(_, _, exchange_command) => Some(exchange_command.clone()),
        _ => None,
    };
    effects.iter().filter_map(exchange_command).collect()
}

fn set_ups(effects: &[CallEffect]) -> usize {
    exchange_commands(effects).iter().filter(|f| matches!(f, ExchangeCommand::SetUp(_))).count()
}

/// The timers that the effects start.
fn timers(effects: &[CallEffect]) -> Vec<(f64, CallTimer)> {
    let timer = |c: &CallEffect| match c {
        CallEffect::StartTimer(at, timer) => Some((at.0, timer.clone())),
        _ => None,
    };
    effects.iter().filter_map(timer).collect()
}

#[test]
fn a_call_is_released_once_though_its_exchange_sends_the_release_twice() {
    let mut harness = Harness::new();
    let id = harness.established_call("a");
    assert_eq!((harness.table.waiting_count(), harness.table.established_count()), (0, 1));
    let release = CallEvent::ExchangeReleased {
        id,
        exchange: ExchangeId(103),
        completed: true,
        report: LoadReport::default(),
    };
    assert_eq!(
        caller_commands(&harness.handle(release.clone())),
        [CallerCommand::Release { completed: true }]
    );
    // An exchange repeats its release on the next connection. The caller must not get a second one.
    assert!(harness.handle(release).is_empty());
    assert_eq!(harness.table.established_count(), 0);
}

#[test]
fn invalid_requests_are_rejected() {
    let mut harness = Harness::new();
    let fine = harness.request("x");
    let cases = [
        (Request { class: "none".into(), ..fine.clone() }, RejectReason::UnknownClass),
        (Request { tenant: Some("stranger".into()), ..fine.clone() }, RejectReason::UnknownTenant),
        (Request { dest: ExchangeNumber(77), ..fine }, RejectReason::UnknownDestination),
    ];
    for (request, reject) in cases {
        assert_eq!(
            caller_commands(&harness.handle(CallEvent::Request(request))),
            [CallerCommand::Reject(reject)]
        );
    }
    assert_eq!(harness.table.waiting_count(), 0);
}

/// Guards against a second attempt while the first one may be pending: after an end that proves nothing the call is
/// refused at once, whatever the decision module asks for, and so is a set-up that comes again under its id.
#[test]
fn no_attempt_follows_an_end_that_proves_nothing() {
    for end in AttemptEnd::ALL.into_iter().filter(|end| !end.permits_retry()) {
        let mut harness = Harness::new();
        let id = harness.attempted_call("a");
        assert!(harness.set_up_failed(&id, 1, end).is_empty(), "{end:?}: another attempt");
        harness.now += 0.1;
        let effects = harness.set_up_failed(&id, 0, end);
        assert_eq!(set_ups(&effects), 0, "{end:?}: {effects:?}");
        assert!(
            matches!(caller_commands(&effects)[..], [CallerCommand::Refuse(Some(_))]),
            "{end:?}: {effects:?}"
        );
        assert_eq!(harness.set_ups_after_timers(&effects), 0, "{end:?}");
        harness.now += 1.0;
        let again = harness.handle(CallEvent::Request(harness.request("a")));
        assert_eq!(set_ups(&again), 0, "{end:?}: {again:?}");
        assert!(
            matches!(caller_commands(&again)[..], [CallerCommand::Refuse(Some(_))]),
            "{end:?}: {again:?}"
        );
    }
}

/// Guards against the loss of further attempts where the exchange has stated that the earlier one is over, or where no
/// byte of it was written.
#[test]
fn an_attempt_follows_an_end_that_is_proven() {
    for end in AttemptEnd::ALL.into_iter().filter(|end| end.permits_retry()) {
        let mut harness = Harness::new();
        let id = harness.attempted_call("a");
        harness.now += 0.1;
        let effects = harness.set_up_failed(&id, 0, end);
        assert_eq!(set_ups(&effects) + harness.set_ups_after_timers(&effects), 1, "{end:?}: {effects:?}");
    }
}

/// Guards against a second attempt beside one at an exchange that discovery has removed and that still works, and
/// against calls left established there.
#[test]
fn a_removed_exchange_is_told_of_its_releases_and_its_attempts_are_given_up() {
    let mut harness = Harness::new();
    let standing = harness.established_call("stands");
    harness.attempted_call("out");
    let gone = RosterEntry { state: ServiceState::Removed, ..roster_entry(3) };
    let effects = harness.handle(CallEvent::Roster { full: false, entries: vec![gone] });
    let release = CallEffect::Exchange(ExchangeId(103), standing, ExchangeCommand::Release { leg: None });
    assert!(effects.contains(&release), "{effects:?}");
    assert_eq!(set_ups(&effects) + harness.set_ups_after_timers(&effects), 0, "{effects:?}");
    let commands = caller_commands(&effects);
    assert!(commands.contains(&CallerCommand::Release { completed: false }), "{commands:?}");
    assert!(commands.iter().any(|c| matches!(c, CallerCommand::Refuse(Some(_)))), "{commands:?}");
}

/// Guards against a call that can't come again under its id although all its attempts were answered.
#[test]
fn only_a_call_with_an_unconfirmed_attempt_is_refused_under_its_id() {
    // An attempt that the caller gave up is unconfirmed.
    let mut harness = Harness::new();
    let id = harness.attempted_call("a");
    harness.handle(CallEvent::CallerGaveUp(id));
    assert_eq!(set_ups(&harness.handle(CallEvent::Request(harness.request("a")))), 0);
    let id = harness.established_call("b");
    harness.handle(CallEvent::ExchangeReleased {
        id,
        exchange: ExchangeId(103),
        completed: true,
        report: LoadReport::default(),
    });
    harness.attempted_call("b");
}

/// Guards against a second final answer, and against a call that is left established at the exchange, when an answer
/// crosses the cancel of its attempt.
#[test]
fn an_answer_that_crosses_a_cancel_is_released_at_the_exchange() {
    let mut harness = Harness::new();
    let id = harness.attempted_call("a");
    assert_eq!(
        exchange_commands(&harness.handle(CallEvent::CallerGaveUp(id.clone()))),
        [ExchangeCommand::CancelSetUp { leg: 0 }]
    );
    let (exchange_id, description) = (ExchangeId(103), Arc::from(&b""[..]));
    let effects =
        harness.handle(CallEvent::Answered { id, exchange: exchange_id, leg: Some(0), description });
    assert_eq!(
        (exchange_commands(&effects), caller_commands(&effects)),
        (vec![ExchangeCommand::Release { leg: Some(0) }], vec![])
    );
    // The other way round: the cancel of the caller crosses the answer that it gets.
    let id = harness.established_call("b");
    let effects = harness.handle(CallEvent::CallerGaveUp(id));
    assert_eq!(exchange_commands(&effects), [ExchangeCommand::Release { leg: Some(0) }]);
    assert_eq!(caller_commands(&effects), [CallerCommand::Release { completed: false }]);
}

/// Guards against a caller that gets no final answer before its deadline, whatever the decision module does. The
/// module has to receive the time-out of the attempt: when it received only the withdrawal of the call, it learned
/// nothing about a silent exchange.
#[test]
fn the_deadline_brings_a_final_answer_and_cancels_the_attempt() {
    let mut harness = Harness::new();
    let mut request = harness.request("a");
    request.ttl = 0.5;
    let effects = harness.handle(CallEvent::Request(request));
    let (at, timer) =
        timers(&effects).into_iter().find(|(_, w)| matches!(w, CallTimer::Deadline(_))).expect("a deadline");
    assert!(at < harness.now + 0.5);
    harness.now = at;
    let effects = harness.handle(CallEvent::TimerExpired(timer));
    assert_eq!(exchange_commands(&effects), [ExchangeCommand::CancelSetUp { leg: 0 }]);
    assert!(matches!(caller_commands(&effects)[..], [CallerCommand::Refuse(Some(_))]), "{effects:?}");
    assert_eq!(harness.table.waiting_count(), 0);
    // A silent exchange gets one trial call at a time.
    harness.attempted_call("trial");
    let effects = harness.handle(CallEvent::Request(harness.request("second")));
    assert_eq!((set_ups(&effects), caller_commands(&effects).len()), (0, 1));
}

/// Guards against calls without a release after the failure of an exchange, and against a further attempt of a call
/// whose set-up is on its way to the exchange then: only its own end, which is reported for it, ends it.
#[test]
fn the_failure_of_an_exchange_ends_established_calls_and_no_attempt() {
    let mut harness = Harness::new();
    harness.established_call("stands");
    let id = harness.attempted_call("out");
    let cut = harness.handle(CallEvent::ExchangeDown(ExchangeId(103)));
    assert_eq!(caller_commands(&cut), [CallerCommand::Release { completed: false }]);
    assert_eq!(set_ups(&cut) + harness.set_ups_after_timers(&cut), 0);
    assert_eq!((harness.table.waiting_count(), harness.table.established_count()), (1, 0));
    let effects = harness.set_up_failed(&id, 0, AttemptEnd::NeverSent);
    assert_eq!(set_ups(&effects) + caller_commands(&effects).len(), 1, "that attempt ends now: {effects:?}");
}

/// Guards against ends of attempts and calls by what discovery says of a start: the actor of the exchange knows which
/// connection each of them uses. A start time that goes away or back makes no exchange warm.
#[test]
fn a_start_that_discovery_gives_ends_nothing_in_the_call_table() {
    let start = Time(1001.0);
    for told in [vec![Some(start)], vec![Some(start), None], vec![Some(start), Some(Time(990.0))]] {
        let mut harness = Harness::new();
        harness.established_call("stands");
        harness.attempted_call("out");
        harness.now += 2.0;
        for ready_at in told {
            let entry = RosterEntry { ready_at, ..roster_entry(3) };
            let effects = harness.handle(CallEvent::Roster { full: false, entries: vec![entry] });
            assert_eq!((set_ups(&effects), caller_commands(&effects).len()), (0, 0), "{effects:?}");
        }
        assert_eq!((harness.table.waiting_count(), harness.table.established_count()), (1, 1));
    }
}

/// Guards against two attempts of one call at the same time, and against more than four in total, whatever ends them.
#[test]
fn a_call_has_one_attempt_at_a_time_and_four_at_most() {
    let mut harness = Harness::new();
    let mut pending = harness.handle(CallEvent::Request(harness.request("a")));
    let (mut sent, mut finals) = (0, 0);
    for _ in 0..20 {
        assert!(set_ups(&pending) <= 1);
        sent += set_ups(&pending);
        finals += caller_commands(&pending).len();
        let to = pending.iter().find_map(|c| match c {
            CallEffect::Exchange(exchange_id, id, ExchangeCommand::SetUp(s)) => {
                Some((*exchange_id, id.clone(), s.leg))
            }
            _ => None,
        });
        let Some((exchange_id, id, leg)) = to else { break };
        harness.now += 0.01;
        let (end, cause, report) = (AttemptEnd::Refused, Cause::NoCircuit, LoadReport::default());
        let (exchange, leg) = (exchange_id, Some(leg));
        pending = harness.handle(CallEvent::SetUpFailed { id, exchange, leg, end, cause, report });
    }
    assert!((1..=4).contains(&sent), "{sent}");
    assert_eq!(finals, 1);
}

/// Guards against changes of the administration that do not apply to the next request.
#[test]
fn a_tenant_over_its_limit_is_refused_and_a_suspended_one_is_rejected() {
    let mut harness = Harness::new();
    let set = |harness: &mut Harness, suspended, max_calls| {
        let change =
            Change::Set { name: "acme".into(), suspended: Some(suspended), max_calls: Some(max_calls) };
        harness.table.tenants_mut().apply(&[change]).expect("the tenant exists");
    };
    set(&mut harness, false, Some(1));
    let id = harness.established_call("a");
    assert!(matches!(
        caller_commands(&harness.handle(CallEvent::Request(harness.request("b"))))[..],
        [CallerCommand::Refuse(Some(_))]
    ));
    harness.handle(CallEvent::CallerReleased(id));
    harness.attempted_call("c");
    set(&mut harness, true, None);
    let effects = harness.handle(CallEvent::Request(harness.request("d")));
    assert_eq!(caller_commands(&effects), [CallerCommand::Reject(RejectReason::UnknownTenant)]);
    let (_, counts) = harness.table.tenants().list().remove(0);
    assert_eq!(
        (counts.taken, counts.stood, counts.refused, counts.rejected, counts.present),
        (2, 1, 1, 1, 1)
    );
}

/// Guards against growing memory while exchanges are replaced all the time: each id that was ever listed stayed in
/// four maps.
#[test]
fn removed_exchanges_leave_no_entries() {
    let mut harness = Harness::new();
    for n in 0..1000 {
        let fresh = RosterEntry { id: ExchangeId(1000 + n), ..roster_entry(3) };
        harness.handle(CallEvent::Roster { full: false, entries: vec![fresh.clone()] });
        harness.handle(CallEvent::Status { exchange: fresh.id, report: LoadReport::default() });
        let gone = RosterEntry { state: ServiceState::Removed, ..fresh };
        harness.handle(CallEvent::Roster { full: false, entries: vec![gone.clone()] });
        harness.handle(CallEvent::Status { exchange: gone.id, report: LoadReport::default() });
    }
    assert_eq!(harness.table.exchange_entries(), 5);
}

/// Guards against call records without a bound on their bytes: requests beyond the limit are refused. The record of
/// an established call no longer contains the caller's description.
#[test]
fn call_records_are_bounded_and_that_of_an_established_call_is_smaller() {
    let mut harness = Harness::new();
    harness.table.set_max_bytes(40_000);
    let long = |harness: &Harness, id: &str| Request {
        description: Arc::from(vec![0; 14_000]),
        ..harness.request(id)
    };
    let first = harness.handle(CallEvent::Request(long(&harness, "a")));
    let second = harness.handle(CallEvent::Request(long(&harness, "b")));
    assert!(
        caller_commands(&first).is_empty() && caller_commands(&second).is_empty(),
        "both calls are waiting"
    );
    let bytes = harness.table.bytes_in_use();
    let third = harness.handle(CallEvent::Request(long(&harness, "c")));
    assert!(matches!(caller_commands(&third)[..], [CallerCommand::Refuse(Some(_))]));
    assert_eq!(harness.table.bytes_in_use(), bytes);
    let id = harness.established_call("d");
    assert!(harness.table.bytes_in_use() < bytes + 5_000, "{bytes}, then {}", harness.table.bytes_in_use());
    harness.handle(CallEvent::CallerReleased(id));
    harness.handle(CallEvent::CallerGaveUp(CallId("a".into())));
    harness.handle(CallEvent::CallerGaveUp(CallId("b".into())));
    assert_eq!(harness.table.bytes_in_use(), 0);
}

/// Guards against a shutdown that leaves callers without a final answer or ends established calls: new requests are
/// refused, waiting ones are refused before the kill, and established calls continue.
#[test]
fn a_table_that_shuts_down_refuses_new_and_waiting_calls_only() {
    let mut harness = Harness::new();
    harness.established_call("stands");
    harness.attempted_call("waits");
    harness.table.stop_admitting();
    let effects = harness.handle(CallEvent::Request(harness.request("new")));
    assert!(matches!(caller_commands(&effects)[..], [CallerCommand::Refuse(Some(_))]));
    let mut effects = Vec::new();
    harness.table.refuse_waiting(Time(harness.now), &mut effects);
    assert!(matches!(caller_commands(&effects)[..], [CallerCommand::Refuse(Some(_))]));
    assert!(
        effects.iter().any(|c| matches!(c, CallEffect::Exchange(_, _, ExchangeCommand::CancelSetUp { .. }))),
        "its set-up is cancelled"
    );
    assert_eq!((harness.table.waiting_count(), harness.table.established_count()), (0, 1));
}

/// Guards against a trunk group that is taken to be full on the strength of a state that is no longer updated.
#[test]
fn a_trunk_group_whose_state_is_no_longer_updated_is_tried() {
    let mut harness = Harness::new();
    let full = LoadReport { free_circuits: Some(0.0), group_size: Some(30.0), ..LoadReport::default() };
    (1..5)
        .for_each(|n| drop(harness.handle(CallEvent::Status { exchange: roster_entry(n).id, report: full })));
    assert!(matches!(
        caller_commands(&harness.handle(CallEvent::Request(harness.request("a"))))[..],
        [CallerCommand::Refuse(_)]
    ));
    harness.handle(CallEvent::StatusLost(roster_entry(3).id));
    let effects = harness.handle(CallEvent::Request(harness.request("b")));
    assert!(effects.iter().any(
        |c| matches!(c, CallEffect::Exchange(to, _, ExchangeCommand::SetUp(_)) if *to == roster_entry(3).id)
    ));
}
