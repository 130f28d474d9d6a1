//! Tests of `wheel`.

use super::*;

#[test]
fn timers_fire_in_order_at_their_tick_and_never_before() {
    let mut wheel = TimerWheel::new(Time(1_000_000));
    wheel.set(Time(1_009_001), "b");
    wheel.set(Time(1_003_000), "a");
    wheel.set(Time(1_000_000 + TICK * (SLOTS as u64 + 3)), "a turn later");
    assert_eq!(wheel.next(), Some(Time(1_004_000)));
    assert!(wheel.due(Time(1_003_999)).is_empty());
    assert_eq!(wheel.due(Time(1_010_000)), ["a", "b"]);
    assert!(wheel.due(Time(1_500_000)).is_empty());
    assert_eq!(wheel.due(Time(9_000_000)), ["a turn later"]);
    assert_eq!(wheel.next(), None);
}

#[test]
fn a_timer_that_is_already_due_fires_at_the_next_tick() {
    let mut wheel = TimerWheel::new(Time(50_000));
    wheel.set(Time(0), 1);
    assert!(wheel.due(Time(50_000)).is_empty());
    assert_eq!(wheel.due(Time(52_000)), [1]);
}
