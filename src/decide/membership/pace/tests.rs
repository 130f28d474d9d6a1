//! Tests of `pace`.

use super::*;
use std::collections::{BinaryHeap, VecDeque};

const SECOND: Micros = 1_000_000;

/// A discovery that works off one call after another and fails those that have waited for 2 s, in
/// whose queue the failed ones stay; a watch that is renewed within 200 ms goes on. News comes
/// every second from the third to the tenth. Tells the calls made, the failed, and how old at the
/// worst and in the mean the list of a broker was from the fifth second on (seconds).
fn day(instances: u32, serve: Micros, paced: bool) -> (usize, usize, f64, f64) {
    let mut paces: Vec<Pace> = (0..instances)
        .map(|i| Pace::new(u64::from(i), instances, EVERY))
        .collect();
    // Calls to come, the latest last; calls that wait; watches; when each broker was last told all.
    let mut calls: BinaryHeap<std::cmp::Reverse<(Time, usize)>> = BinaryHeap::new();
    let (mut queue, mut watches): (VecDeque<(Time, usize)>, Vec<usize>) =
        (VecDeque::new(), Vec::new());
    let mut told = vec![Time(0); instances as usize];
    for (i, pace) in paces.iter_mut().enumerate() {
        let at = if paced {
            pace.on_start(Time(0), true).at
        } else {
            Time(0)
        };
        calls.push(std::cmp::Reverse((at, i)));
    }
    let (mut made, mut failed, mut worst, mut sum, mut looks) = (0, 0, 0, 0, 0);
    let mut free = Time(0);
    for now in (0..12 * SECOND).step_by(5_000).map(Time) {
        while calls.peek().is_some_and(|c| c.0 .0 <= now) {
            let Some(std::cmp::Reverse((_, i))) = calls.pop() else {
                break;
            };
            made += 1;
            queue.push_back((now, i));
        }
        let old: Vec<(Time, usize)> = queue
            .iter()
            .filter(|(at, _)| now.since(*at) == 2 * SECOND)
            .copied()
            .collect();
        for (began, i) in old {
            failed += 1;
            let at = if paced {
                paces[i].on_failure(now, began).at
            } else {
                now.plus(300_000)
            };
            calls.push(std::cmp::Reverse((at, i)));
        }
        while free <= now {
            let Some((at, i)) = queue.pop_front() else {
                break;
            };
            free = free.max(now).plus(serve);
            if now.since(at) < 2 * SECOND {
                watches.push(i);
            }
        }
        let newest = Time(now.0 / SECOND * SECOND).min(Time(10 * SECOND));
        if newest >= Time(3 * SECOND) {
            for &i in &watches {
                told[i] = now;
                assert!(
                    paces[i].on_answer(now).at.since(now) < GAP,
                    "the watch goes on"
                );
            }
        }
        if now >= Time(5 * SECOND) && now.0 % SECOND == 0 {
            for at in &told {
                worst = worst.max(now.since(*at));
                (sum, looks) = (sum + now.since(*at), looks + 1);
            }
        }
    }
    (
        made,
        failed,
        worst as f64 / 1e6,
        sum as f64 / 1e6 / f64::from(looks),
    )
}

#[test]
fn a_hundred_brokers_get_their_news_from_a_discovery_that_they_could_swamp() {
    let (_, failed, _, mean) = day(100, 60_000, false);
    assert!(
        failed > 300 && mean > 5.0,
        "at once they fail together, {failed} times, {mean:.1} s behind"
    );
    let (made, failed, worst, mean) = day(100, 60_000, true);
    assert!(made < 120 && failed == 0, "{failed} of {made} failed");
    assert!(
        mean < 0.5,
        "{mean:.1} s behind in the mean, {worst:.1} s at the worst"
    );
}

#[test]
fn a_discovery_too_slow_for_its_fleet_is_called_no_more_than_the_rule_on_drains_asks() {
    // A call fails after 2 s there, so that of a cycle REOPEN is left: half of that in the mean.
    // The first calls are spread.
    let (made, failed, ..) = day(100, 120_000, true);
    let each = |time: f64| 100.0 * time / (2e6 + REOPEN as f64 / 2.0);
    let (least, most) = (each(12e6 - 6e6) * 0.8, each(12e6));
    assert!(
        (least..most).contains(&(made as f64)),
        "{made} of {most:.0} at the most"
    );
    let (swamped, fails, ..) = day(100, 120_000, false);
    assert!(
        made * 5 < swamped * 3 && failed * 2 < fails + 1,
        "{failed} of {made} failed, {fails} of {swamped}"
    );
}

#[test]
fn three_brokers_ask_at_once_and_go_on_watching() {
    let mut pace = Pace::new(1, 3, EVERY);
    for now in [Time(0), Time(SECOND)] {
        assert_eq!(
            (pace.on_start(now, true).at, pace.on_answer(now).at),
            (now, now)
        );
    }
    // After a failure even these are spread: what is down is not asked in a spin.
    let waits: Vec<Micros> = (0..100)
        .map(|_| pace.on_failure(Time(5), Time(5)).at.since(Time(5)))
        .collect();
    assert!(
        waits.iter().filter(|w| **w > SECOND / 2).count() > 50,
        "{waits:?}"
    );
}

#[test]
fn the_agent_of_the_own_machine_is_called_at_once_and_again_within_the_gap_however_many_brokers_there_are(
) {
    let mut pace = Pace::at_agent(1);
    assert!(pace.goes_on() && !Pace::new(1, 3, EVERY).goes_on());
    for i in 0..200 {
        let now = Time(i * SECOND);
        let asked = [
            pace.on_start(now, false),
            pace.on_start(now, true),
            pace.on_answer(now),
        ];
        assert!(asked.iter().all(|v| v.at == now), "{asked:?}");
        let failed = pace.on_failure(now, now);
        assert!(failed.at > now && failed.at.since(now) < GAP, "{failed}");
        assert_eq!(pace.on_move(now).at, now);
        assert!(pace.on_unmade(now).at.since(now) <= GAP);
    }
    // One that is silent is asked anew in time.
    let watch = pace.watch();
    assert!(watch.wait + watch.renewed + GAP < 2 * SECOND, "{watch:?}");
    assert!(pace.on_silence(Time(0), Time(0)).at.since(Time(0)) <= GAP);
}

#[test]
fn a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told_however_often_and_however_many(
) {
    for instances in [3, 4, 30, 300, 5_000] {
        let mut paces: Vec<Pace> = (0..100).map(|i| Pace::new(i, instances, EVERY)).collect();
        let watch = paces[0].watch();
        let mut at = Vec::new();
        for pace in &mut paces {
            // Discovery was too busy before: that says nothing of a silence.
            (0..5).for_each(|i| _ = pace.on_failure(Time(i * SECOND), Time(i * SECOND)));
            let spread = pace.spread;
            for begun in (0..50).map(|i| Time(i * SECOND)) {
                let noticed = begun.plus(watch.wait + watch.renewed);
                let verdict = pace.on_silence(noticed, begun);
                let answered = verdict.at.plus(watch.begins());
                assert!(
                    answered.since(begun) + HEADROOM <= SILENCE_TOLD,
                    "{verdict}"
                );
                at.push(verdict.at.since(noticed));
            }
            assert_eq!(pace.spread, spread, "it is no failure");
        }
        at.sort_unstable();
        let within = (u64::from(instances) * CALL).min(REOPEN);
        let half = at.iter().filter(|a| **a < within / 2).count();
        let spread = (at.len() / 3..at.len() * 2 / 3).contains(&half) && at[at.len() - 1] <= within;
        assert!(
            spread,
            "{instances}: those that fell silent together come together"
        );
    }
    assert_eq!(
        Pace::new(1, 300, EVERY).on_silence(Time(0), Time(0)).why,
        Reason::Silent
    );
}

#[test]
fn after_any_two_failures_the_next_call_is_answered_before_a_change_counts_as_told() {
    for (instances, every) in [
        (1, EVERY),
        (3, EVERY),
        (20, EVERY),
        (100, EVERY),
        (300, EVERY),
        (5_000, 60 * SECOND),
    ] {
        for seed in 0..50 {
            let mut pace = Pace::new(seed, instances, every);
            let patience = pace.watch().begins();
            let mut rng = fastrand::Rng::with_seed(seed);
            // Whatever came before.
            (0..rng.u64(0..20))
                .for_each(|i| _ = pace.on_failure(Time(i * SECOND), Time(i * SECOND)));
            (0..rng.u64(0..20)).for_each(|i| _ = pace.on_answer(Time(i * SECOND)));
            // The change comes just after a call has begun; it fails, soon or at the end of its
            // patience, and so does the next.
            let changed = Time(1_000 * SECOND);
            let mut began = changed;
            for _ in 0..2 {
                let took = if rng.bool() {
                    patience
                } else {
                    rng.u64(0..=patience)
                };
                let failed = began.plus(took);
                let silent = rng.bool();
                let next = match silent {
                    true => pace.on_silence(failed, began),
                    false => pace.on_failure(failed, began),
                };
                assert!(
                    next.at >= failed,
                    "a call is made once the one before it has ended"
                );
                began = next.at;
            }
            let answered = began.plus(patience);
            assert!(
                answered.since(changed) + HEADROOM <= FAILED_TOLD,
                "{instances} brokers, seed {seed}"
            );
        }
    }
}

#[test]
fn the_call_to_another_address_is_answered_before_its_list_counts_as_told() {
    for instances in [1, 3, 30, 300, 5_000] {
        for seed in 0..50 {
            let mut pace = Pace::new(seed, instances, EVERY);
            let (now, patience) = (Time(SECOND), pace.watch().begins());
            let verdict = pace.on_move(now);
            assert!(
                verdict.at.plus(patience).since(now) + HEADROOM <= MOVED_TOLD,
                "{verdict}"
            );
        }
    }
    assert_eq!(Pace::new(1, 300, EVERY).on_move(Time(0)).why, Reason::Moved);
}

#[test]
fn backoff_grows_with_failures_and_shrinks_with_answers() {
    let mut pace = Pace::new(1, 6, EVERY);
    let spreads: Vec<Micros> = (0..5)
        .map(|_| pace.on_failure(Time(0), Time(0)).spread)
        .collect();
    assert_eq!(spreads, [720_000, 1_440_000, CYCLE, CYCLE, CYCLE]);
    (0..100).for_each(|_| _ = pace.on_answer(Time(0)));
    assert_eq!(
        pace.on_failure(Time(0), Time(0)).spread,
        360_000,
        "the calls of the fleet, once each"
    );
}

#[test]
fn nobody_who_was_answered_is_silent_for_as_long_as_counts_as_told() {
    for (instances, every) in [
        (4, EVERY),
        (30, EVERY),
        (100, EVERY),
        (5_000, EVERY),
        (100, 0),
    ] {
        let mut pace = Pace::new(3, instances, every);
        for i in 0..200 {
            let now = Time(i * SECOND);
            pace.on_failure(now, now);
            let (start, next) = (pace.on_start(now, true), pace.on_answer(now));
            assert!(
                start.at.since(now) <= EVERY * 6 / 10 && next.at == now,
                "{start}, {next}"
            );
        }
    }
    let verdict = Pace::new(1, 100, 0).on_start(Time(0), false);
    assert_eq!((verdict.at, verdict.why), (Time(0), Reason::NothingKnown));
    assert_eq!(
        verdict.to_string(),
        "NothingKnown, calls spread over 2100 ms"
    );
}
