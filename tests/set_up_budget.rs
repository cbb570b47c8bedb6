//! Limits that several sources share, and the memory of open set-ups.

use mallowring::calls::RECORD_BYTES;
use mallowring::limits::memory::MemoryPlan;
use mallowring::limits::set_ups::{SetUpBudget, SetUpSize};
use mallowring::limits::shares::SharedLimit;

#[test]
fn a_source_may_take_half_and_all_together_the_limit() {
    let mut limit = SharedLimit::new(100);
    assert!(limit.try_take("a", 50));
    assert!(!limit.try_take("a", 1), "more than its share");
    assert!(limit.try_take("b", 30));
    assert!(!limit.try_take("c", 21), "more than is left");
    assert!(limit.try_take("c", 20));
    assert!(limit.try_take("a", 0), "nothing always fits");
    assert_eq!(limit.taken(), 100);
}

#[test]
fn what_was_given_back_can_be_taken_again_and_only_once() {
    let mut limit = SharedLimit::new(100);
    assert!(limit.try_take("a", 40) && limit.try_take("b", 40));
    limit.give_back("a", 60);
    limit.give_back("unknown", 60);
    assert_eq!(limit.taken(), 40);
    limit.forget(&"b");
    limit.forget(&"b");
    assert_eq!(limit.taken(), 0);
    assert!(limit.try_take("a", 50));
}

#[test]
fn a_set_up_without_room_for_its_headers_takes_nothing() {
    let plan = MemoryPlan::new(64);
    let mut budget = SetUpBudget::new(&plan);
    let large_headers = SetUpSize::new(0, plan.set_up_headers);
    assert!(!budget.try_open(1, large_headers));
    let half_of_records = SetUpSize::new(plan.calls / 2 - 4096, 0);
    assert!(budget.try_open(1, half_of_records), "the refused set-up took nothing");
    assert!(!budget.try_open(1, half_of_records));
    budget.answered(1, half_of_records);
    assert!(budget.try_open(1, half_of_records));
    budget.connection_ended(1);
    assert!(budget.try_open(1, half_of_records));
}

/// Headers of usual length are part of the record, so that they use up no limit of their own.
#[test]
fn usual_set_ups_are_limited_by_their_records_alone() {
    let plan = MemoryPlan::new(32);
    let mut budget = SetUpBudget::new(&plan);
    let usual = SetUpSize::new(200, 700);
    let admitted = (0..10_000u64).filter(|n| budget.try_open(n % 4, usual)).count();
    assert_eq!(admitted, plan.calls / (RECORD_BYTES + 200));
}
