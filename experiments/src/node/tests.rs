//! Tests of `node`.

use super::*;

fn task(attempt: u64, work: Micros) -> Task {
    Task {
        attempt,
        work,
        phase: 2,
        aim_at: Time(150),
    }
}

#[test]
fn work_stands_still_in_pauses_and_is_accounted_for() {
    let mut node = Node::new(1, vec![(Time(50), Time(80))]);
    assert_eq!(node.take(Time(0), task(1, 100)), Some((1, Time(130))));
    assert_eq!(node.take(Time(10), task(2, 100)), None, "one core");
    let Left { phase, cost, next } = node.end(Time(130), 1).unwrap();
    assert_eq!(
        (phase, cost, next),
        (
            2,
            Cost {
                ran: 100,
                after_aim: 0
            },
            Some((2, Time(230)))
        )
    );
    // Given up at 200: 70 done, 50 of it after the aim.
    assert_eq!(
        node.end(Time(200), 2).unwrap().cost,
        Cost {
            ran: 70,
            after_aim: 50
        }
    );
    assert!(node.end(Time(200), 2).is_none() && !node.runs(2));
}

#[test]
fn what_waits_costs_nothing_when_it_is_given_up() {
    let mut node = Node::new(1, Vec::new());
    node.take(Time(0), task(1, 100));
    node.take(Time(0), task(2, 100));
    assert_eq!(
        node.end(Time(50), 2),
        Some(Left {
            phase: 2,
            cost: Cost::default(),
            next: None
        })
    );
}
