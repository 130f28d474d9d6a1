//! Tests of `call_pacer`.

use super::*;
use std::collections::{BinaryHeap, VecDeque};

const SECOND: Micros = 1_000_000;

/// What the calls of a fleet led to.
struct Outcome {
    calls: usize,
    failed_calls: usize,
    /// How old the list of a broker was from the fifth second on, at the worst and in the mean
    /// (seconds).
    max_age_s: f64,
    mean_age_s: f64,
}

/// A discovery that handles one call after another and fails those that have waited for 2 s, in
/// whose queue the failed ones stay; a watch that is renewed within 200 ms goes on. The list changes
/// every second from the third to the tenth.
fn run_discovery(brokers: u32, call_cost: Micros, is_paced: bool) -> Outcome {
    let mut pacers: Vec<CallPacer> = (0..brokers)
        .map(|i| CallPacer::new(u64::from(i), brokers, DEFAULT_CALL_INTERVAL))
        .collect();
    // Calls to be made, the latest last; calls that wait; watches; when each broker was up to date.
    let mut calls: BinaryHeap<std::cmp::Reverse<(Time, usize)>> = BinaryHeap::new();
    let (mut queue, mut watches): (VecDeque<(Time, usize)>, Vec<usize>) =
        (VecDeque::new(), Vec::new());
    let mut last_update = vec![Time(0); brokers as usize];
    for (i, pacer) in pacers.iter_mut().enumerate() {
        let at = if is_paced {
            pacer.on_start(Time(0), true).at
        } else {
            Time(0)
        };
        calls.push(std::cmp::Reverse((at, i)));
    }
    let (mut calls_made, mut calls_failed, mut worst, mut sum, mut looks) = (0, 0, 0, 0, 0);
    let mut idle_at = Time(0);
    for now in (0..12 * SECOND).step_by(5_000).map(Time) {
        while calls.peek().is_some_and(|c| c.0 .0 <= now) {
            let Some(std::cmp::Reverse((_, i))) = calls.pop() else {
                break;
            };
            calls_made += 1;
            queue.push_back((now, i));
        }
        let old: Vec<(Time, usize)> = queue
            .iter()
            .filter(|(at, _)| now.since(*at) == 2 * SECOND)
            .copied()
            .collect();
        for (started_at, i) in old {
            calls_failed += 1;
            let at = if is_paced {
                pacers[i].on_failure(now, started_at).at
            } else {
                now.plus(300_000)
            };
            calls.push(std::cmp::Reverse((at, i)));
        }
        while idle_at <= now {
            let Some((at, i)) = queue.pop_front() else {
                break;
            };
            idle_at = idle_at.max(now).plus(call_cost);
            if now.since(at) < 2 * SECOND {
                watches.push(i);
            }
        }
        let newest = Time(now.0 / SECOND * SECOND).min(Time(10 * SECOND));
        if newest >= Time(3 * SECOND) {
            for &i in &watches {
                last_update[i] = now;
                assert!(
                    pacers[i].on_response(now).at.since(now) < RENEWAL_GAP,
                    "the watch goes on"
                );
            }
        }
        if now >= Time(5 * SECOND) && now.0 % SECOND == 0 {
            for at in &last_update {
                worst = worst.max(now.since(*at));
                (sum, looks) = (sum + now.since(*at), looks + 1);
            }
        }
    }
    Outcome {
        calls: calls_made,
        failed_calls: calls_failed,
        max_age_s: worst as f64 / 1e6,
        mean_age_s: sum as f64 / 1e6 / f64::from(looks),
    }
}

#[test]
fn hundred_brokers_stay_up_to_date_with_a_discovery_that_they_could_overload() {
    let unpaced = run_discovery(100, 60_000, false);
    assert!(
        unpaced.failed_calls > 300 && unpaced.mean_age_s > 5.0,
        "at once they fail together, {} times, {:.1} s behind",
        unpaced.failed_calls,
        unpaced.mean_age_s
    );
    let paced = run_discovery(100, 60_000, true);
    assert!(
        paced.calls < 120 && paced.failed_calls == 0,
        "{} of {} failed",
        paced.failed_calls,
        paced.calls
    );
    assert!(
        paced.mean_age_s < 0.5,
        "{:.1} s behind in the mean, {:.1} s at the worst",
        paced.mean_age_s,
        paced.max_age_s
    );
}

#[test]
fn discovery_too_slow_for_its_fleet_is_called_no_more_than_the_rule_on_drains_requires() {
    // A call fails after 2 s there, so that REOPEN_DELAY is left of a cycle: half of that in the
    // mean. The first calls are spread.
    let paced = run_discovery(100, 120_000, true);
    let each = |time: f64| 100.0 * time / (2e6 + REOPEN_DELAY as f64 / 2.0);
    let (least, most) = (each(12e6 - 6e6) * 0.8, each(12e6));
    assert!(
        (least..most).contains(&(paced.calls as f64)),
        "{} of {most:.0} at the most",
        paced.calls
    );
    let unpaced = run_discovery(100, 120_000, false);
    assert!(
        paced.calls * 5 < unpaced.calls * 3 && paced.failed_calls * 2 < unpaced.failed_calls + 1,
        "{} of {} failed, {} of {}",
        paced.failed_calls,
        paced.calls,
        unpaced.failed_calls,
        unpaced.calls
    );
}

#[test]
fn small_fleet_calls_at_once_and_renews_its_watches() {
    let mut pacer = CallPacer::new(1, 3, DEFAULT_CALL_INTERVAL);
    for now in [Time(0), Time(SECOND)] {
        assert_eq!(
            (pacer.on_start(now, true).at, pacer.on_response(now).at),
            (now, now)
        );
    }
    // After a failure even these are spread: a discovery that is down is not called in a busy loop.
    let waits: Vec<Micros> = (0..100)
        .map(|_| pacer.on_failure(Time(5), Time(5)).at.since(Time(5)))
        .collect();
    assert!(
        waits.iter().filter(|w| **w > SECOND / 2).count() > 50,
        "{waits:?}"
    );
}

#[test]
fn agent_is_called_at_once_and_again_within_the_renewal_gap() {
    let mut pacer = CallPacer::for_agent(1);
    assert!(
        pacer.renews_by_itself() && !CallPacer::new(1, 3, DEFAULT_CALL_INTERVAL).renews_by_itself()
    );
    for i in 0..200 {
        let now = Time(i * SECOND);
        let asked = [
            pacer.on_start(now, false),
            pacer.on_start(now, true),
            pacer.on_response(now),
        ];
        assert!(asked.iter().all(|v| v.at == now), "{asked:?}");
        let calls_failed = pacer.on_failure(now, now);
        assert!(
            calls_failed.at > now && calls_failed.at.since(now) < RENEWAL_GAP,
            "{calls_failed}"
        );
        assert_eq!(pacer.on_address_change(now).at, now);
        assert!(pacer.on_unsent(now).at.since(now) <= RENEWAL_GAP);
    }
    // A silent one is called again in time.
    let watch_times = pacer.watch_times();
    assert!(
        watch_times.renewal_wait + watch_times.renewal_margin + RENEWAL_GAP < 2 * SECOND,
        "{watch_times:?}"
    );
    assert!(pacer.on_timeout(Time(0), Time(0)).at.since(Time(0)) <= RENEWAL_GAP);
}

#[test]
fn silent_watch_is_opened_again_before_its_deadline() {
    for brokers in [3, 4, 30, 300, 5_000] {
        let mut pacers: Vec<CallPacer> = (0..100)
            .map(|i| CallPacer::new(i, brokers, DEFAULT_CALL_INTERVAL))
            .collect();
        let watch_times = pacers[0].watch_times();
        let mut at = Vec::new();
        for pacer in &mut pacers {
            // Discovery was too busy before: that says nothing of a silence.
            (0..5).for_each(|i| _ = pacer.on_failure(Time(i * SECOND), Time(i * SECOND)));
            let spread = pacer.spread;
            for begun in (0..50).map(|i| Time(i * SECOND)) {
                let noticed = begun.plus(watch_times.renewal_wait + watch_times.renewal_margin);
                let verdict = pacer.on_timeout(noticed, begun);
                let answered = verdict.at.plus(watch_times.first_timeout());
                assert!(
                    answered.since(begun) + HEADROOM <= STALLED_WATCH_DEADLINE,
                    "{verdict}"
                );
                at.push(verdict.at.since(noticed));
            }
            assert_eq!(pacer.spread, spread, "it is no failure");
        }
        at.sort_unstable();
        let within = (u64::from(brokers) * CALL_COST).min(REOPEN_DELAY);
        let half = at.iter().filter(|a| **a < within / 2).count();
        let spread = (at.len() / 3..at.len() * 2 / 3).contains(&half) && at[at.len() - 1] <= within;
        assert!(
            spread,
            "{brokers}: those that fell silent together come together"
        );
    }
    assert_eq!(
        CallPacer::new(1, 300, DEFAULT_CALL_INTERVAL)
            .on_timeout(Time(0), Time(0))
            .reason,
        Reason::Silent
    );
}

#[test]
fn call_after_any_two_failures_is_answered_before_its_deadline() {
    for (brokers, every) in [
        (1, DEFAULT_CALL_INTERVAL),
        (3, DEFAULT_CALL_INTERVAL),
        (20, DEFAULT_CALL_INTERVAL),
        (100, DEFAULT_CALL_INTERVAL),
        (300, DEFAULT_CALL_INTERVAL),
        (5_000, 60 * SECOND),
    ] {
        for seed in 0..50 {
            let mut pacer = CallPacer::new(seed, brokers, every);
            let timeout = pacer.watch_times().first_timeout();
            let mut rng = fastrand::Rng::with_seed(seed);
            // Whatever came before.
            (0..rng.u64(0..20))
                .for_each(|i| _ = pacer.on_failure(Time(i * SECOND), Time(i * SECOND)));
            (0..rng.u64(0..20)).for_each(|i| _ = pacer.on_response(Time(i * SECOND)));
            // The change comes just after a call has begun; it fails, soon or at the end of its
            // patience, and so does the next.
            let changed = Time(1_000 * SECOND);
            let mut started_at = changed;
            for _ in 0..2 {
                let duration = if rng.bool() {
                    timeout
                } else {
                    rng.u64(0..=timeout)
                };
                let calls_failed = started_at.plus(duration);
                let silent = rng.bool();
                let next = match silent {
                    true => pacer.on_timeout(calls_failed, started_at),
                    false => pacer.on_failure(calls_failed, started_at),
                };
                assert!(
                    next.at >= calls_failed,
                    "a call is made once the one before it has ended"
                );
                started_at = next.at;
            }
            let answered = started_at.plus(timeout);
            assert!(
                answered.since(changed) + HEADROOM <= FAILURE_DEADLINE,
                "{brokers} brokers, seed {seed}"
            );
        }
    }
}

#[test]
fn call_to_another_address_is_answered_before_its_deadline() {
    for brokers in [1, 3, 30, 300, 5_000] {
        for seed in 0..50 {
            let mut pacer = CallPacer::new(seed, brokers, DEFAULT_CALL_INTERVAL);
            let (now, timeout) = (Time(SECOND), pacer.watch_times().first_timeout());
            let verdict = pacer.on_address_change(now);
            assert!(
                verdict.at.plus(timeout).since(now) + HEADROOM <= MOVE_DEADLINE,
                "{verdict}"
            );
        }
    }
    assert_eq!(
        CallPacer::new(1, 300, DEFAULT_CALL_INTERVAL)
            .on_address_change(Time(0))
            .reason,
        Reason::Moved
    );
}

#[test]
fn backoff_grows_with_failures_and_shrinks_with_answers() {
    let mut pacer = CallPacer::new(1, 6, DEFAULT_CALL_INTERVAL);
    let spreads: Vec<Micros> = (0..5)
        .map(|_| pacer.on_failure(Time(0), Time(0)).spread)
        .collect();
    assert_eq!(
        spreads,
        [
            720_000,
            1_440_000,
            MAX_CALL_CYCLE,
            MAX_CALL_CYCLE,
            MAX_CALL_CYCLE
        ]
    );
    (0..100).for_each(|_| _ = pacer.on_response(Time(0)));
    assert_eq!(
        pacer.on_failure(Time(0), Time(0)).spread,
        360_000,
        "the calls of the fleet, once each"
    );
}

#[test]
fn answered_broker_calls_again_before_its_deadline() {
    for (brokers, every) in [
        (4, DEFAULT_CALL_INTERVAL),
        (30, DEFAULT_CALL_INTERVAL),
        (100, DEFAULT_CALL_INTERVAL),
        (5_000, DEFAULT_CALL_INTERVAL),
        (100, 0),
    ] {
        let mut pacer = CallPacer::new(3, brokers, every);
        for i in 0..200 {
            let now = Time(i * SECOND);
            pacer.on_failure(now, now);
            let (start, next) = (pacer.on_start(now, true), pacer.on_response(now));
            assert!(
                start.at.since(now) <= DEFAULT_CALL_INTERVAL * 6 / 10 && next.at == now,
                "{start}, {next}"
            );
        }
    }
    let verdict = CallPacer::new(1, 100, 0).on_start(Time(0), false);
    assert_eq!(
        (verdict.at, verdict.reason),
        (Time(0), Reason::NothingKnown)
    );
    assert_eq!(
        verdict.to_string(),
        "NothingKnown, calls spread over 2100 ms"
    );
}
