use super::*;

fn task(attempt: u64, work: Micros) -> Task {
    Task {
        attempt,
        work,
        phase: 2,
        target_at: Time(150),
    }
}

#[test]
fn work_continues_after_pauses_and_its_cost_is_reported() {
    let mut node = Node::new(1, vec![(Time(50), Time(80))]);
    assert_eq!(node.take(Time(0), task(1, 100)), Some((1, Time(130))));
    assert_eq!(node.take(Time(10), task(2, 100)), None, "one core");
    let EndedTask { phase, cost, next } = node.end(Time(130), 1).unwrap();
    assert_eq!(
        (phase, cost, next),
        (
            2,
            Cost {
                ran: 100,
                after_target: 0
            },
            Some((2, Time(230)))
        )
    );
    // Cancelled at 200: 70 done, 50 of it after the target.
    assert_eq!(
        node.end(Time(200), 2).unwrap().cost,
        Cost {
            ran: 70,
            after_target: 50
        }
    );
    assert!(node.end(Time(200), 2).is_none() && !node.runs(2));
}

#[test]
fn cancelled_queued_task_costs_nothing() {
    let mut node = Node::new(1, Vec::new());
    node.take(Time(0), task(1, 100));
    node.take(Time(0), task(2, 100));
    assert_eq!(
        node.end(Time(50), 2),
        Some(EndedTask {
            phase: 2,
            cost: Cost::default(),
            next: None
        })
    );
}
