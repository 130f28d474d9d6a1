//! Tests of the state containers.

use super::*;
use lichenswitch_interface::{Load, Placement, ServerId, Time};

#[test]
fn agenda_gives_parts_to_check_and_the_next_check() {
    let mut schedule = PartChecks::default();
    schedule.set_idle(2);
    schedule.schedule(0, Time(10));
    schedule.schedule(1, Time(20));
    assert_eq!(
        (
            schedule.parts_to_check(Time(9)),
            schedule.next_check(Time(9))
        ),
        (vec![2], Some(Time(10)))
    );
    assert_eq!(
        (
            schedule.parts_to_check(Time(10)),
            schedule.next_check(Time(10))
        ),
        (vec![0, 2], Some(Time(20)))
    );
    schedule.schedule(0, Time(30));
    schedule.set_idle(1);
    schedule.remove(2);
    assert_eq!(
        (
            schedule.parts_to_check(Time(29)),
            schedule.next_check(Time(0))
        ),
        (vec![1], Some(Time(30)))
    );
}

#[test]
fn query_beyond_a_quota_takes_no_token() {
    // One of three instances has a rate of one query per second for each of two tenants.
    let mut quotas = TenantQuotas::new(&[3.0, 3.0], 3);
    let now = Time(5_000_000);
    assert!(
        quotas.try_consume(now, 0) && !quotas.try_consume(now, 0) && quotas.try_consume(now, 1)
    );
    assert!(
        !quotas.try_consume(now.plus(900_000), 0) && quotas.try_consume(now.plus(1_000_000), 0)
    );
    assert!(!quotas.try_consume(now.plus(1_000_000), 0));
    assert!(
        (0..5).all(|_| quotas.try_consume(now, 2)),
        "an unknown tenant has no quota"
    );
}

#[test]
fn server_shared_by_more_parts_is_preferred_until_its_score_is_worse() {
    let score = |rank| ServerScore {
        rank,
        joins_open_call: false,
        is_in_zone: false,
    };
    // Server 3 accepts nothing; 1 is best for the parts 0 to 2, 2 for part 3.
    let parts = vec![
        (0, vec![1, 2]),
        (1, vec![1, 2]),
        (2, vec![1, 3]),
        (3, vec![2, 3]),
    ];
    let ranks = |server: i32| score([None, Some(1), Some(2), None][server as usize]);
    let mut assignment = PartAssignment::new(&parts, true, ranks);
    let mut rng = SeededRng::default();
    assert_eq!(assignment.best(&mut rng), Some((1, vec![0, 1, 2])));
    assignment.on_sent(1, &[0], score(Some(3)));
    assert_eq!(
        assignment.best(&mut rng),
        Some((2, vec![1, 3])),
        "part 1 now goes to the better server"
    );
    assignment.on_sent(2, &[1, 3], score(Some(3)));
    assert_eq!(assignment.best(&mut rng), Some((1, vec![2])));
    assignment.on_sent(1, &[2], score(None));
    assert_eq!(assignment.best(&mut rng), None);
}

#[test]
fn reshared_quota_keeps_no_more_than_its_new_burst() {
    let (rates, now) = ([8.0], Time(5_000_000));
    let mut quotas = TenantQuotas::new(&rates, 1);
    assert!(
        (0..3).all(|_| quotas.try_consume(now, 0)),
        "five are left of eight"
    );
    quotas.rebalance(&rates, 4);
    assert!((0..2).all(|_| quotas.try_consume(now, 0)) && !quotas.try_consume(now, 0));
    assert!(!quotas.try_consume(now.plus(400_000), 0) && quotas.try_consume(now.plus(500_000), 0));
    quotas.rebalance(&rates, 1);
    assert!(
        !quotas.try_consume(now.plus(500_000), 0),
        "the change itself adds no tokens"
    );
    assert!(quotas.try_consume(now.plus(625_000), 0));
}

fn preference(prefix: u64, backlog_step: u32, server: u32, backlog: u32) -> Preference {
    let load = Load {
        streams: 0,
        backlog,
    };
    Preference::new(
        &Placement {
            prefix,
            backlog_step,
        },
        ServerId(server),
        load,
    )
}

#[test]
fn lower_backlog_level_precedes_the_order_of_a_prefix() {
    let best = (0..10)
        .min_by_key(|server| preference(7, 100, *server, 0))
        .unwrap();
    let next = (0..10)
        .filter(|s| *s != best)
        .min_by_key(|server| preference(7, 100, *server, 0))
        .unwrap();
    let choose = |backlog| {
        (0..10)
            .min_by_key(|s| preference(7, 100, *s, if *s == best { backlog } else { 0 }))
            .unwrap()
    };
    assert_eq!(
        [choose(0), choose(99), choose(100), choose(u32::MAX)],
        [best, best, next, next]
    );
}

#[test]
fn without_step_or_prefix_all_servers_are_equal() {
    assert_eq!(preference(7, 0, 1, 0), preference(7, 0, 1, u32::MAX));
    assert_eq!(preference(0, 0, 1, 5), preference(0, 0, 2, 9));
    assert!(preference(0, 10, 1, 9) < preference(0, 10, 2, 10));
}
