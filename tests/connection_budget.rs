//! Tests of the budget of connections to exchanges, on a scripted clock.

use mallowring::interface::{ExchangeId, Time};
use mallowring::limits::connections::{Allocation, ConnectionBudget, Purpose};

fn budget(limit: usize, exchanges: u64) -> ConnectionBudget {
    let mut budget = ConnectionBudget::new(limit);
    (0..exchanges).for_each(|id| budget.add_exchange(Time(id as f64), ExchangeId(id)));
    budget
}

#[test]
fn connections_fall_from_three_to_one_as_exchanges_grow() {
    let targets: Vec<usize> = [1, 10, 40, 60, 100, 300].map(|n| budget(140, n).target_per_exchange()).into();
    assert_eq!(targets, [3, 3, 3, 2, 1, 1]);
    assert!(budget(140, 100).fits_one_each() && !budget(140, 300).fits_one_each());
}

#[test]
fn an_idle_exchange_closes_a_connection_for_one_in_need_and_a_busy_one_does_not() {
    let mut budget = budget(4, 6);
    for id in 0..3 {
        assert_eq!(budget.request(ExchangeId(id), Purpose::Idle), Allocation::Granted);
    }
    assert_eq!(
        budget.request(ExchangeId(3), Purpose::Idle),
        Allocation::Denied,
        "one connection is kept spare"
    );
    budget.set_busy(Time(10.0), ExchangeId(0), true);
    budget.set_busy(Time(11.0), ExchangeId(1), false);
    assert_eq!(
        budget.request(ExchangeId(3), Purpose::Needed),
        Allocation::Granted,
        "the spare connection is for this purpose"
    );
    // Exchange 2 has never been busy; exchange 0 is busy.
    assert_eq!(budget.request(ExchangeId(4), Purpose::Needed), Allocation::AfterClosing(ExchangeId(2)));
    assert_eq!(
        budget.request(ExchangeId(5), Purpose::Verify),
        Allocation::AfterClosing(ExchangeId(3)),
        "no exchange is asked twice"
    );
    budget.connection_closed(ExchangeId(2));
    assert_eq!(budget.request(ExchangeId(4), Purpose::Needed), Allocation::Granted);
    assert_eq!(budget.allocated(), 4);
}

#[test]
fn an_exchange_with_several_connections_closes_one_first() {
    let mut budget = budget(8, 2);
    for _ in 0..3 {
        assert_eq!(budget.request(ExchangeId(0), Purpose::Another), Allocation::Granted);
    }
    assert_eq!(
        budget.request(ExchangeId(0), Purpose::Another),
        Allocation::Denied,
        "three connections at most"
    );
    (2..8).for_each(|id| budget.add_exchange(Time(0.0), ExchangeId(id)));
    for id in 1..5 {
        assert_eq!(budget.request(ExchangeId(id), Purpose::Idle), Allocation::Granted);
    }
    assert_eq!(
        budget.request(ExchangeId(5), Purpose::Idle),
        Allocation::AfterClosing(ExchangeId(0)),
        "with more exchanges, each gets fewer"
    );
    budget.remove_exchange(ExchangeId(0));
    assert_eq!(budget.allocated(), 4);
    budget.connection_closed(ExchangeId(0));
    assert_eq!(budget.allocated(), 4, "a removed exchange is subtracted only once");
}
