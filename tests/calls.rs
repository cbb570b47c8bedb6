//! The core by itself: a scripted call from request to release, and the guards of the rules.

mod common;
use std::sync::Arc;

use common::{roster_entry, settings};
use mallowring::calls::tenants::{Change, Tenant, Tenants};
use mallowring::calls::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, RejectReason, Request, Table,
};
use mallowring::interface::*;

struct Core {
    table: Table,
    now: f64,
}

impl Core {
    /// A table that has heard of exchanges 0 (its own) to 4, with 30 free circuits to each.
    fn new() -> Core {
        let acme = Tenant { name: "acme".into(), suspended: false, max_calls: None };
        let tenants = Tenants::new([acme]);
        let mut core = Core {
            table: Table::new(Settings { max_attempts: 4, ..settings() }, tenants, 7, Time(1000.0)),
            now: 1000.0,
        };
        core.put(CallEvent::Roster { full: true, entries: (0..5).map(roster_entry).collect() });
        assert!(!core.table.informed(), "no state is in");
        let report =
            LoadReport { free_circuits: Some(30.0), group_size: Some(30.0), ..LoadReport::default() };
        for number in 1..5 {
            core.put(CallEvent::Status { exchange: roster_entry(number).id, report });
        }
        assert!(core.table.informed());
        core
    }

    fn put(&mut self, input: CallEvent) -> Vec<CallEffect> {
        let mut out = Vec::new();
        self.table.handle(Time(self.now), input, &mut out);
        out
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
        }
    }

    /// A call that is out to exchange 3.
    fn call(&mut self, id: &str) -> CallId {
        let out = self.put(CallEvent::Request(self.request(id)));
        assert_eq!(set_ups(&out), 1, "{out:?}");
        CallId(id.into())
    }

    fn standing(&mut self, id: &str) -> CallId {
        let id = self.call(id);
        let answer = Arc::from(&b"answer\0\xff"[..]);
        let input = CallEvent::Answered {
            id: id.clone(),
            exchange: ExchangeId(103),
            leg: Some(0),
            description: answer,
        };
        let out = self.put(input);
        assert!(
            matches!(&nears(&out)[..], [CallerCommand::Answer(d)] if d[..] == b"answer\0\xff"[..]),
            "{out:?}"
        );
        id
    }

    fn ended(&mut self, id: &CallId, leg: u32, outcome: Outcome) -> Vec<CallEffect> {
        let (office, why, report) = (ExchangeId(103), Cause::Unspecified, LoadReport::default());
        self.put(CallEvent::SetUpFailed {
            id: id.clone(),
            exchange: office,
            leg: Some(leg),
            outcome,
            cause: why,
            report,
        })
    }
}

fn nears(out: &[CallEffect]) -> Vec<CallerCommand> {
    let near = |c: &CallEffect| match c {
        CallEffect::Caller(_, _, near) => Some(near.clone()),
        _ => None,
    };
    out.iter().filter_map(near).collect()
}

fn fars(out: &[CallEffect]) -> Vec<ExchangeCommand> {
    let far = |c: &CallEffect| match c {
        CallEffect::Exchange(_, _, far) => Some(far.clone()),
        _ => None,
    };
    out.iter().filter_map(far).collect()
}

fn set_ups(out: &[CallEffect]) -> usize {
    fars(out).iter().filter(|f| matches!(f, ExchangeCommand::SetUp(_))).count()
}

/// The latest thing that a command asks to be woken for.
fn wakes(out: &[CallEffect]) -> Vec<(f64, CallTimer)> {
    let wake = |c: &CallEffect| match c {
        CallEffect::StartTimer(at, wake) => Some((at.0, wake.clone())),
        _ => None,
    };
    out.iter().filter_map(wake).collect()
}

#[test]
fn a_call_stands_and_is_released_once_though_its_exchange_says_so_twice() {
    let mut core = Core::new();
    let id = core.standing("a");
    assert_eq!((core.table.open(), core.table.standing()), (0, 1));
    let release = CallEvent::ExchangeReleased {
        id,
        exchange: ExchangeId(103),
        completed: true,
        report: LoadReport::default(),
    };
    assert_eq!(nears(&core.put(release.clone())), [CallerCommand::Release { completed: true }]);
    // An exchange sends its release on the next connection as well: the caller must not get a second one.
    assert!(core.put(release).is_empty());
    assert_eq!(core.table.standing(), 0);
}

#[test]
fn what_makes_no_sense_is_turned_down_for_good() {
    let mut core = Core::new();
    let fine = core.request("x");
    let cases = [
        (Request { class: "none".into(), ..fine.clone() }, RejectReason::UnknownClass),
        (Request { tenant: Some("stranger".into()), ..fine.clone() }, RejectReason::UnknownTenant),
        (Request { dest: ExchangeNumber(77), ..fine }, RejectReason::UnknownDestination),
    ];
    for (request, reject) in cases {
        assert_eq!(nears(&core.put(CallEvent::Request(request))), [CallerCommand::Reject(reject)]);
    }
    assert_eq!(core.table.open(), 0);
}

/// Guards rule five: after each of these ends 300 ms pass before the next send, whatever the module asks for.
#[test]
fn a_reset_attempt_is_followed_by_none_until_the_release_is_over() {
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let mut core = Core::new();
        let id = core.call("a");
        core.now += 0.1;
        let out = core.ended(&id, 0, outcome);
        assert_eq!((set_ups(&out), nears(&out).len()), (0, 0), "{outcome:?}");
        let (at, wake) = wakes(&out).pop().expect("the module asks to be woken");
        assert!(at >= core.now + 0.3, "{outcome:?}");
        core.now = at;
        let out = core.put(CallEvent::TimerExpired(wake));
        assert_eq!(set_ups(&out) + nears(&out).len(), 1, "{outcome:?}: {out:?}");
    }
}

/// Guards rule one: an answer that crossed our giving up must not reach the caller, and its call must not be
/// left standing at the exchange.
#[test]
fn an_answer_that_crosses_a_cancel_is_released_at_the_exchange() {
    let mut core = Core::new();
    let id = core.call("a");
    assert_eq!(
        fars(&core.put(CallEvent::CallerGaveUp(id.clone()))),
        [ExchangeCommand::CancelSetUp { leg: 0 }]
    );
    let (office, description) = (ExchangeId(103), Arc::from(&b""[..]));
    let out = core.put(CallEvent::Answered { id, exchange: office, leg: Some(0), description });
    assert_eq!((fars(&out), nears(&out)), (vec![ExchangeCommand::Release { leg: Some(0) }], vec![]));
    // The other way round: the caller's giving up crosses the answer that it already got.
    let id = core.standing("b");
    let out = core.put(CallEvent::CallerGaveUp(id));
    assert_eq!(fars(&out), [ExchangeCommand::Release { leg: Some(0) }]);
    assert_eq!(nears(&out), [CallerCommand::Release { completed: false }]);
}

/// Guards rule one: whatever the module does, a caller has its final answer before it stops waiting. The module
/// hears of the time-out: told only that the caller had left, it learned nothing of a silent exchange.
#[test]
fn the_deadline_brings_a_final_answer_and_calls_the_attempt_off() {
    let mut core = Core::new();
    let mut request = core.request("a");
    request.ttl = 0.5;
    let out = core.put(CallEvent::Request(request));
    let (at, wake) =
        wakes(&out).into_iter().find(|(_, w)| matches!(w, CallTimer::Deadline(_))).expect("a deadline");
    assert!(at < core.now + 0.5);
    core.now = at;
    let out = core.put(CallEvent::TimerExpired(wake));
    assert_eq!(fars(&out), [ExchangeCommand::CancelSetUp { leg: 0 }]);
    assert!(matches!(nears(&out)[..], [CallerCommand::Refuse(Some(_))]), "{out:?}");
    assert_eq!(core.table.open(), 0);
    // One trial call at a time goes to a silent exchange.
    core.call("trial");
    let out = core.put(CallEvent::Request(core.request("second")));
    assert_eq!((set_ups(&out), nears(&out).len()), (0, 1));
}

/// Guards rule one on the death of an exchange: its standing calls are released, its attempts end as reset.
#[test]
fn a_dead_exchange_loses_its_calls_and_only_those() {
    let mut core = Core::new();
    core.standing("stands");
    let out = core.call("out");
    let cut = core.put(CallEvent::ExchangeDown(ExchangeId(103)));
    assert_eq!(nears(&cut), [CallerCommand::Release { completed: false }]);
    assert_eq!((core.table.open(), core.table.standing()), (1, 0));
    assert!(core.ended(&out, 0, Outcome::Refused).is_empty(), "that attempt is over");
    // A restart told late must not cut what was set up since.
    let mut core = Core::new();
    core.standing("old");
    let started = Time(core.now + 1.0);
    core.now += 2.0;
    core.standing("new");
    let line = RosterEntry { ready_at: Some(started), ..roster_entry(3) };
    let out = core.put(CallEvent::Roster { full: false, entries: vec![line] });
    assert_eq!(nears(&out), [CallerCommand::Release { completed: false }]);
    assert_eq!(core.table.standing(), 1);
}

/// Guards rule two: one attempt out at a time and four at most, whatever ends them.
#[test]
fn attempts_are_never_two_at_once_and_four_at_most() {
    let mut core = Core::new();
    let mut pending = core.put(CallEvent::Request(core.request("a")));
    let (mut sent, mut finals) = (0, 0);
    for _ in 0..20 {
        assert!(set_ups(&pending) <= 1);
        sent += set_ups(&pending);
        finals += nears(&pending).len();
        let to = pending.iter().find_map(|c| match c {
            CallEffect::Exchange(office, id, ExchangeCommand::SetUp(s)) => Some((*office, id.clone(), s.leg)),
            _ => None,
        });
        let Some((office, id, leg)) = to else { break };
        core.now += 0.01;
        let (outcome, why, report) = (Outcome::Refused, Cause::NoCircuit, LoadReport::default());
        pending = core.put(CallEvent::SetUpFailed {
            id,
            exchange: office,
            leg: Some(leg),
            outcome,
            cause: why,
            report,
        });
    }
    assert!((1..=4).contains(&sent), "{sent}");
    assert_eq!(finals, 1);
}

/// Guards the service: what the administration changes counts from the next request on.
#[test]
fn a_tenant_is_held_to_its_limit_and_a_suspended_one_is_turned_down() {
    let mut core = Core::new();
    let set = |core: &mut Core, suspended, max_calls| {
        let change =
            Change::Set { name: "acme".into(), suspended: Some(suspended), max_calls: Some(max_calls) };
        core.table.tenants_mut().change(&[change]).expect("it is there");
    };
    set(&mut core, false, Some(1));
    let id = core.standing("a");
    assert!(matches!(
        nears(&core.put(CallEvent::Request(core.request("b"))))[..],
        [CallerCommand::Refuse(Some(_))]
    ));
    core.put(CallEvent::CallerReleased(id));
    core.call("c");
    set(&mut core, true, None);
    let out = core.put(CallEvent::Request(core.request("d")));
    assert_eq!(nears(&out), [CallerCommand::Reject(RejectReason::UnknownTenant)]);
    let (_, counts) = core.table.tenants().list().remove(0);
    assert_eq!(
        (counts.taken, counts.stood, counts.refused, counts.rejected, counts.present),
        (2, 1, 1, 1, 1)
    );
}

/// Guards memory on days when exchanges are replaced all the time: every id that ever was stayed in four maps.
#[test]
fn exchanges_that_are_gone_are_forgotten() {
    let mut core = Core::new();
    for n in 0..1000 {
        let fresh = RosterEntry { id: ExchangeId(1000 + n), ..roster_entry(3) };
        core.put(CallEvent::Roster { full: false, entries: vec![fresh.clone()] });
        core.put(CallEvent::Status { exchange: fresh.id, report: LoadReport::default() });
        let gone = RosterEntry { state: ServiceState::Removed, ..fresh };
        core.put(CallEvent::Roster { full: false, entries: vec![gone.clone()] });
        core.put(CallEvent::Status { exchange: gone.id, report: LoadReport::default() });
    }
    assert_eq!(core.table.exchanges(), 5);
}

/// Guards memory: records of calls are bounded in bytes, and what goes beyond is refused in words. A call that stands
/// holds its caller's description no longer.
#[test]
fn records_of_calls_are_bounded_and_a_call_that_stands_holds_less() {
    let mut core = Core::new();
    core.table.limit_bytes(40_000);
    let long =
        |core: &Core, id: &str| Request { description: Arc::from(vec![0; 14_000]), ..core.request(id) };
    let first = core.put(CallEvent::Request(long(&core, "a")));
    let second = core.put(CallEvent::Request(long(&core, "b")));
    assert!(nears(&first).is_empty() && nears(&second).is_empty(), "both are under way");
    let held = core.table.held_bytes();
    let third = core.put(CallEvent::Request(long(&core, "c")));
    assert!(matches!(nears(&third)[..], [CallerCommand::Refuse(Some(_))]));
    assert_eq!(core.table.held_bytes(), held);
    let id = core.standing("d");
    assert!(core.table.held_bytes() < held + 5_000, "{held}, then {}", core.table.held_bytes());
    core.put(CallEvent::CallerReleased(id));
    core.put(CallEvent::CallerGaveUp(CallId("a".into())));
    core.put(CallEvent::CallerGaveUp(CallId("b".into())));
    assert_eq!(core.table.held_bytes(), 0);
}

/// Guards a shutdown: what is new is refused, what waits is refused before the kill, what stands is left alone.
#[test]
fn a_table_that_is_about_to_end_refuses_what_is_new_and_what_waits() {
    let mut core = Core::new();
    core.standing("stands");
    core.call("waits");
    core.table.stop_admitting();
    let out = core.put(CallEvent::Request(core.request("new")));
    assert!(matches!(nears(&out)[..], [CallerCommand::Refuse(Some(_))]));
    let mut out = Vec::new();
    core.table.refuse_open(&mut out);
    assert!(matches!(nears(&out)[..], [CallerCommand::Refuse(Some(_))]));
    assert!(
        out.iter().any(|c| matches!(c, CallEffect::Exchange(_, _, ExchangeCommand::CancelSetUp { .. }))),
        "its set-up is called off"
    );
    assert_eq!((core.table.open(), core.table.standing()), (0, 1));
}

/// Guards routes over what is no longer told: a group whose state is old is not held to be full.
#[test]
fn a_group_whose_state_is_not_told_any_longer_is_tried() {
    let mut core = Core::new();
    let full = LoadReport { free_circuits: Some(0.0), group_size: Some(30.0), ..LoadReport::default() };
    (1..5).for_each(|n| drop(core.put(CallEvent::Status { exchange: roster_entry(n).id, report: full })));
    assert!(matches!(
        nears(&core.put(CallEvent::Request(core.request("a"))))[..],
        [CallerCommand::Refuse(_)]
    ));
    core.put(CallEvent::StatusLost(roster_entry(3).id));
    let out = core.put(CallEvent::Request(core.request("b")));
    assert!(out.iter().any(
        |c| matches!(c, CallEffect::Exchange(to, _, ExchangeCommand::SetUp(_)) if *to == roster_entry(3).id)
    ));
}
