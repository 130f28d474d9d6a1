//! Tests of `call_pacer`.

use super::*;
use std::collections::{BinaryHeap, VecDeque};

const SECOND: Micros = 1_000_000;

/// The result of simulating the calls of a fleet.
struct Outcome {
    calls: usize,
    failed_calls: usize,
    /// Maximum age of a broker's list from the fifth second on (seconds).
    max_age_s: f64,
    /// Mean age of the brokers' lists from the fifth second on (seconds).
    mean_age_s: f64,
}

/// Simulates a fleet that calls a discovery which handles calls sequentially. A call fails after
/// waiting for 2 s and stays in the queue. A watch that is renewed within 200 ms continues. The
/// list changes every second from the third to the tenth.
fn run_discovery(brokers: u32, call_cost: Micros, is_paced: bool) -> Outcome {
    let mut pacers: Vec<CallPacer> = (0..brokers)
        .map(|i| CallPacer::new(u64::from(i), brokers, DEFAULT_CALL_INTERVAL))
        .collect();
    // Scheduled calls, ordered by time; queued calls; open watches; last update of each broker.
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
    let (mut calls_made, mut calls_failed, mut max_age, mut age_sum, mut samples) = (0, 0, 0, 0, 0);
    let mut idle_at = Time(0);
    for now in (0..12 * SECOND).step_by(5_000).map(Time) {
        while calls.peek().is_some_and(|c| c.0 .0 <= now) {
            let Some(std::cmp::Reverse((_, i))) = calls.pop() else {
                break;
            };
            calls_made += 1;
            queue.push_back((now, i));
        }
        let expired: Vec<(Time, usize)> = queue
            .iter()
            .filter(|(at, _)| now.since(*at) == 2 * SECOND)
            .copied()
            .collect();
        for (started_at, i) in expired {
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
                    "the watch must be renewed in time"
                );
            }
        }
        if now >= Time(5 * SECOND) && now.0 % SECOND == 0 {
            for at in &last_update {
                max_age = max_age.max(now.since(*at));
                (age_sum, samples) = (age_sum + now.since(*at), samples + 1);
            }
        }
    }
    Outcome {
        calls: calls_made,
        failed_calls: calls_failed,
        max_age_s: max_age as f64 / 1e6,
        mean_age_s: age_sum as f64 / 1e6 / f64::from(samples),
    }
}

#[test]
fn paced_calls_of_hundred_brokers_do_not_overload_discovery() {
    let unpaced = run_discovery(100, 60_000, false);
    assert!(
        unpaced.failed_calls > 300 && unpaced.mean_age_s > 5.0,
        "unpaced calls fail together: {} failures, {:.1} s behind",
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
        "{:.1} s behind on average, {:.1} s at most",
        paced.mean_age_s,
        paced.max_age_s
    );
}

#[test]
fn overloaded_discovery_is_called_no_more_than_the_deadline_requires() {
    // A call fails after 2 s, so the delay before the next one is at most REOPEN_DELAY and half of
    // that on average. The first calls are randomized.
    let paced = run_discovery(100, 120_000, true);
    let calls_in = |time: f64| 100.0 * time / (2e6 + REOPEN_DELAY as f64 / 2.0);
    let (least, most) = (calls_in(12e6 - 6e6) * 0.8, calls_in(12e6));
    assert!(
        (least..most).contains(&(paced.calls as f64)),
        "{} calls, at most {most:.0} expected",
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
    // After a failure even a small fleet is randomized: no busy loop of calls if discovery is down.
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
        let scheduled = [
            pacer.on_start(now, false),
            pacer.on_start(now, true),
            pacer.on_response(now),
        ];
        assert!(scheduled.iter().all(|call| call.at == now), "{scheduled:?}");
        let retry = pacer.on_failure(now, now);
        assert!(
            retry.at > now && retry.at.since(now) < RENEWAL_GAP,
            "{retry}"
        );
        assert_eq!(pacer.on_address_change(now).at, now);
        assert!(pacer.on_unsent(now).at.since(now) <= RENEWAL_GAP);
    }
    // A stalled watch is detected and retried in time.
    let watch_times = pacer.watch_times();
    assert!(
        watch_times.renewal_wait + watch_times.renewal_margin + RENEWAL_GAP < 2 * SECOND,
        "{watch_times:?}"
    );
    assert!(pacer.on_timeout(Time(0), Time(0)).at.since(Time(0)) <= RENEWAL_GAP);
}

#[test]
fn stalled_watch_is_reopened_before_its_deadline() {
    for brokers in [3, 4, 30, 300, 5_000] {
        let mut pacers: Vec<CallPacer> = (0..100)
            .map(|i| CallPacer::new(i, brokers, DEFAULT_CALL_INTERVAL))
            .collect();
        let watch_times = pacers[0].watch_times();
        let mut delays = Vec::new();
        for pacer in &mut pacers {
            // Earlier failures must not affect the delay after a timeout.
            (0..5).for_each(|i| _ = pacer.on_failure(Time(i * SECOND), Time(i * SECOND)));
            let spread = pacer.spread;
            for started_at in (0..50).map(|i| Time(i * SECOND)) {
                let detected_at =
                    started_at.plus(watch_times.renewal_wait + watch_times.renewal_margin);
                let next_call = pacer.on_timeout(detected_at, started_at);
                let answered_at = next_call.at.plus(watch_times.first_timeout());
                assert!(
                    answered_at.since(started_at) + HEADROOM <= STALLED_WATCH_DEADLINE,
                    "{next_call}"
                );
                delays.push(next_call.at.since(detected_at));
            }
            assert_eq!(pacer.spread, spread, "a timeout does not change the spread");
        }
        delays.sort_unstable();
        let within = (u64::from(brokers) * CALL_COST).min(REOPEN_DELAY);
        let half = delays.iter().filter(|delay| **delay < within / 2).count();
        let is_spread = (delays.len() / 3..delays.len() * 2 / 3).contains(&half)
            && delays[delays.len() - 1] <= within;
        assert!(
            is_spread,
            "{brokers} brokers: calls after simultaneous stalls are not spread"
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
    for (brokers, call_interval) in [
        (1, DEFAULT_CALL_INTERVAL),
        (3, DEFAULT_CALL_INTERVAL),
        (20, DEFAULT_CALL_INTERVAL),
        (100, DEFAULT_CALL_INTERVAL),
        (300, DEFAULT_CALL_INTERVAL),
        (5_000, 60 * SECOND),
    ] {
        for seed in 0..50 {
            let mut pacer = CallPacer::new(seed, brokers, call_interval);
            let timeout = pacer.watch_times().first_timeout();
            let mut rng = fastrand::Rng::with_seed(seed);
            // An arbitrary history of failures and responses.
            (0..rng.u64(0..20))
                .for_each(|i| _ = pacer.on_failure(Time(i * SECOND), Time(i * SECOND)));
            (0..rng.u64(0..20)).for_each(|i| _ = pacer.on_response(Time(i * SECOND)));
            // The list changes just after a call has started. This call and the next one fail,
            // either early or by timeout.
            let changed_at = Time(1_000 * SECOND);
            let mut started_at = changed_at;
            for _ in 0..2 {
                let duration = if rng.bool() {
                    timeout
                } else {
                    rng.u64(0..=timeout)
                };
                let failed_at = started_at.plus(duration);
                let is_timeout = rng.bool();
                let next = match is_timeout {
                    true => pacer.on_timeout(failed_at, started_at),
                    false => pacer.on_failure(failed_at, started_at),
                };
                assert!(
                    next.at >= failed_at,
                    "a call must not start before the previous one has ended"
                );
                started_at = next.at;
            }
            let answered_at = started_at.plus(timeout);
            assert!(
                answered_at.since(changed_at) + HEADROOM <= FAILURE_DEADLINE,
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
            let next_call = pacer.on_address_change(now);
            assert!(
                next_call.at.plus(timeout).since(now) + HEADROOM <= MOVE_DEADLINE,
                "{next_call}"
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
        "the spread starts from one call of each broker"
    );
}

#[test]
fn answered_broker_calls_again_before_its_deadline() {
    for (brokers, call_interval) in [
        (4, DEFAULT_CALL_INTERVAL),
        (30, DEFAULT_CALL_INTERVAL),
        (100, DEFAULT_CALL_INTERVAL),
        (5_000, DEFAULT_CALL_INTERVAL),
        (100, 0),
    ] {
        let mut pacer = CallPacer::new(3, brokers, call_interval);
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
    let next_call = CallPacer::new(1, 100, 0).on_start(Time(0), false);
    assert_eq!(
        (next_call.at, next_call.reason),
        (Time(0), Reason::NothingKnown)
    );
    assert_eq!(
        next_call.to_string(),
        "NothingKnown, calls spread over 2100 ms"
    );
}
