//! Copies of late parts at a second server.

use crate::support::*;
use lichenswitch::interface::*;

#[test]
fn hedge_that_would_arrive_too_late_is_not_sent() {
    let hedges_after = |elapsed: Micros| {
        let mut stage = Stage::new(settings(class()));
        (0..30).for_each(|_| stage.serve(elapsed));
        let (_, events) = stage.query(&[0]);
        assert_eq!(sends(&stage.turn(events)).len(), 1);
        sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake])).len()
    };
    assert_eq!(
        hedges_after(200 * MS),
        1,
        "half the aim is left and a fifth is needed"
    );
    assert_eq!(
        hedges_after(800 * MS),
        0,
        "half the aim is left and four fifths are needed"
    );
}

#[test]
fn short_client_timeout_gets_a_plan_for_the_remaining_time() {
    let mut stage = Stage::new(settings(class()));
    for _ in 0..20 {
        stage.serve(50 * MS);
    }
    let (_, mut events) = stage.query(&[0]);
    if let Event::Query { deadline, .. } = &mut events[0] {
        *deadline = stage.now.plus(400 * MS);
    }
    assert_eq!(
        sends(&stage.turn(events)).len(),
        1,
        "a short patience is no further try"
    );
    assert_eq!(sends(&stage.after(150 * MS, vec![Event::Wake])).len(), 0);
    assert_eq!(
        sends(&stage.after(55 * MS, vec![Event::Wake])).len(),
        1,
        "copied at half of the 400 ms"
    );
}

#[test]
fn without_hedging_a_retry_waits_for_the_cancel_to_arrive() {
    for outcome in [Outcome::Cancelled, Outcome::Reset] {
        for copies in [false, true] {
            let mut configuration = settings(class());
            configuration.limits.second_copies = copies;
            let mut stage = Stage::new(configuration);
            let (id, events) = stage.query(&[0]);
            let server = sends(&stage.turn(events))[0].1;
            let outcome_event = finished(id + 1, 0, server, outcome, 9 * MS);
            let at_once = sends(&stage.after(9 * MS, vec![outcome_event])).len();
            let mut soon = 0;
            for _ in 0..3 {
                soon += sends(&stage.after(5 * MS, vec![Event::Wake])).len();
            }
            let later = sends(&stage.after(10 * MS, vec![Event::Wake])).len();
            let sent = if copies { (1, 0, 0) } else { (0, 0, 1) };
            assert_eq!((at_once, soon, later), sent, "{outcome:?}, copies {copies}");
        }
    }
}

#[test]
fn useless_hedges_decrease_and_return_as_losses_are_proved() {
    let mut configuration = settings(class());
    configuration.layout.parts_a_call = 1;
    configuration.limits.budget = Some(Budget {
        window: 10 * LATENCY_TARGET,
        min_retries: 1_000.0,
        share: 1.0,
    });
    let mut stage = Stage::new(configuration);
    // Every fourth part is late; its copy is answered at once where the first attempt was lost,
    // else never.
    let mut serve_round = |is_first_attempt_lost: bool| {
        let mut hedges = 0;
        for n in 0..300 {
            let (id, events) = stage.query(&[0]);
            let first = sends(&stage.turn(events))[0].1;
            if n % 4 > 0 {
                stage.after(
                    50 * MS,
                    vec![finished(id + 1, 0, first, Outcome::Ok, 50 * MS)],
                );
                continue;
            }
            let copy = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake]));
            hedges += copy.len();
            let hedge_server = copy.first().map(|&(_, server)| server);
            let ends = match hedge_server {
                Some(hedge_server) if is_first_attempt_lost => {
                    stage.after(
                        50 * MS,
                        vec![finished(id + 1, 1, hedge_server, Outcome::Ok, 50 * MS)],
                    );
                    vec![finished(
                        id + 1,
                        0,
                        first,
                        Outcome::Cancelled,
                        LATENCY_TARGET * 6 / 10,
                    )]
                }
                _ => {
                    stage.after(
                        LATENCY_TARGET / 10,
                        vec![finished(
                            id + 1,
                            0,
                            first,
                            Outcome::Ok,
                            LATENCY_TARGET * 6 / 10,
                        )],
                    );
                    let cancelled =
                        |s| finished(id + 1, 1, s, Outcome::Cancelled, LATENCY_TARGET / 10);
                    hedge_server.map(cancelled).into_iter().collect()
                }
            };
            stage.after(MS, ends);
        }
        hedges
    };
    serve_round(false);
    let useless_hedges = serve_round(false);
    assert!(
        (1..=15).contains(&useless_hedges),
        "a slow fleet is not helped by copies: {useless_hedges} of 75 late parts"
    );
    let useful_hedges = serve_round(true);
    assert!(
        useful_hedges > 60,
        "silence is healed beyond the tenth: {useful_hedges} of 75 late parts"
    );
}

#[test]
fn hedge_goes_to_a_querys_last_part_before_the_first_of_many() {
    let mut stage = ring(24);
    stage.serve(20 * MS);
    // Three places are saved at the start: a silent query of twelve parts takes one, and leaves the
    // rest.
    let (_, wide) = stage.query(&(0..12).collect::<Vec<_>>());
    stage.turn(wide);
    let wide = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake])).len();
    let (_, narrow) = stage.query(&[18]);
    stage.turn(narrow);
    let narrow = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake]));
    assert!(
        wide <= 2,
        "{wide} copies for a query that lacks all its parts"
    );
    assert!(
        narrow.iter().any(|&(part, _)| part > 14),
        "the last part of the narrow one is copied: {narrow:?}"
    );
}
