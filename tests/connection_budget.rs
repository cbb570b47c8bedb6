//! The budget of connections to exchanges, on a scripted clock.

use mallowring::interface::{ExchangeId, Time};
use mallowring::limits::connections::{ConnectionBudget, Grant, Purpose};

fn budget(limit: usize, exchanges: u64) -> ConnectionBudget {
    let mut budget = ConnectionBudget::new(limit);
    (0..exchanges).for_each(|id| budget.listed(Time(id as f64), ExchangeId(id)));
    budget
}

#[test]
fn connections_fall_from_three_to_one_as_exchanges_grow() {
    let best: Vec<usize> = [1, 10, 40, 60, 100, 300].map(|n| budget(140, n).best()).into();
    assert_eq!(best, [3, 3, 3, 2, 1, 1]);
    assert!(budget(140, 100).fits() && !budget(140, 300).fits());
}

#[test]
fn an_idle_exchange_gives_way_to_one_in_need_and_a_busy_one_does_not() {
    let mut budget = budget(4, 6);
    for id in 0..3 {
        assert_eq!(budget.ask(ExchangeId(id), Purpose::Idle), Grant::Open);
    }
    assert_eq!(budget.ask(ExchangeId(3), Purpose::Idle), Grant::No, "one is kept in reserve");
    budget.in_use(Time(10.0), ExchangeId(0), true);
    budget.in_use(Time(11.0), ExchangeId(1), false);
    assert_eq!(budget.ask(ExchangeId(3), Purpose::Needed), Grant::Open, "the reserve is for this");
    // 2 has never been used; 0 is in use.
    assert_eq!(budget.ask(ExchangeId(4), Purpose::Needed), Grant::After(ExchangeId(2)));
    assert_eq!(
        budget.ask(ExchangeId(5), Purpose::Verify),
        Grant::After(ExchangeId(3)),
        "one is not asked twice"
    );
    budget.ended(ExchangeId(2));
    assert_eq!(budget.ask(ExchangeId(4), Purpose::Needed), Grant::Open);
    assert_eq!(budget.held(), 4);
}

#[test]
fn whoever_holds_more_than_one_gives_way_first() {
    let mut budget = budget(8, 2);
    for _ in 0..3 {
        assert_eq!(budget.ask(ExchangeId(0), Purpose::Another), Grant::Open);
    }
    assert_eq!(budget.ask(ExchangeId(0), Purpose::Another), Grant::No, "three at best");
    (2..8).for_each(|id| budget.listed(Time(0.0), ExchangeId(id)));
    for id in 1..5 {
        assert_eq!(budget.ask(ExchangeId(id), Purpose::Idle), Grant::Open);
    }
    assert_eq!(budget.ask(ExchangeId(5), Purpose::Idle), Grant::After(ExchangeId(0)), "the fleet has grown");
    budget.gone(ExchangeId(0));
    assert_eq!(budget.held(), 4);
    budget.ended(ExchangeId(0));
    assert_eq!(budget.held(), 4, "what is gone is counted off once");
}
