//! Tests of `budget`.

use super::*;

const MS: Micros = 1_000;

fn rules() -> Rules {
    Rules {
        wanted: 5,
        ..Rules::test()
    }
}

/// First-phase parts take 100 to 200 ms, second-phase parts 50 to 150 ms.
fn latencies() -> PhaseLatencies {
    let mut latencies = PhaseLatencies::default();
    for i in 0..100 {
        latencies.first.add(Time(i), (100 + i) * MS, 0.0);
        latencies.second.add(Time(i), (50 + i) * MS, 0.0);
    }
    latencies
}

fn size(wanted: usize, unneeded: usize) -> SecondPhaseSize {
    SecondPhaseSize { wanted, unneeded }
}

fn candidates(pending: [Option<f64>; 5]) -> Vec<Candidate> {
    (0..)
        .zip(pending)
        .map(|(slice, pending)| Candidate { slice, pending })
        .collect()
}

#[test]
fn second_phase_with_less_time_has_fewer_parts_down_to_the_floor() {
    let all = candidates([Some(0.0); 5]);
    let mut counts = Vec::new();
    for left in [1_000, 145, 100, 20] {
        let fitted = fit_second_phase(
            &rules(),
            &mut latencies(),
            Time(MS),
            left * MS,
            &all,
            size(5, 0),
        );
        counts.push(fitted.slices.len());
        assert!(fitted.expected <= 1.0 && fitted.weakest <= 1.0);
    }
    assert_eq!(counts, [5, 5, 4, 4], "4 of 5 is the floor of 0.8");
    let free = Rules {
        floor: 0.0,
        ..rules()
    };
    let fitted = fit_second_phase(&free, &mut latencies(), Time(MS), 20 * MS, &all, size(5, 0));
    assert_eq!(
        fitted.slices,
        [] as [u32; 0],
        "none where the rules allow an answer without it"
    );
}

#[test]
fn part_for_a_server_with_many_pending_parts_is_not_sent() {
    let mixed = candidates([Some(9.0), Some(0.0), Some(0.0), Some(0.0), Some(0.0)]);
    let fitted = fit_second_phase(
        &rules(),
        &mut latencies(),
        Time(MS),
        200 * MS,
        &mixed,
        size(5, 0),
    );
    assert_eq!(
        fitted.slices,
        [1, 2, 3, 4],
        "the best is too late, the others are not"
    );
    let gone = candidates([Some(0.0), None, Some(0.0), None, Some(0.0)]);
    let fitted = fit_second_phase(
        &rules(),
        &mut latencies(),
        Time(MS),
        1_000 * MS,
        &gone,
        size(5, 0),
    );
    assert_eq!(
        (fitted.slices.len(), fitted.weakest),
        (4, 0.0),
        "filled up to the floor"
    );
    assert!(
        fitted.expected < 0.2,
        "expected value is too high: {}",
        fitted.expected
    );
}

#[test]
fn second_phase_of_many_likely_parts_is_not_given_up() {
    let wide = Rules {
        wanted: 100,
        floor: 1.0,
        ..rules()
    };
    let all: Vec<Candidate> = (0..100)
        .map(|slice| Candidate {
            slice,
            pending: Some(0.0),
        })
        .collect();
    let fitted = fit_second_phase(
        &wide,
        &mut latencies(),
        Time(MS),
        142 * MS,
        &all,
        size(100, 0),
    );
    assert_eq!(fitted.slices.len(), 100);
    assert!(
        fitted.weakest < 0.99 && fitted.expected > 0.2,
        "{} {}",
        fitted.weakest,
        fitted.expected
    );
}

#[test]
fn unneeded_slices_count_towards_the_floor() {
    let two = &candidates([Some(9.0), Some(9.0), None, None, None])[..2];
    let fitted = fit_second_phase(
        &rules(),
        &mut latencies(),
        Time(MS),
        100 * MS,
        two,
        size(5, 3),
    );
    assert_eq!(
        fitted.slices.len(),
        1,
        "3 of 5 are unneeded and 4 are required"
    );
}

#[test]
fn waiting_is_worth_more_until_the_second_phase_needs_the_time() {
    let mut latencies = latencies();
    let missing = [MissingPart {
        weight: 0.1,
        in_flight_for: Some(120 * MS),
        pending: 0.0,
    }];
    let early = prospect(
        &rules(),
        &mut latencies,
        Time(MS),
        Time(1_000 * MS),
        0.9,
        &missing,
    );
    assert!(early.value_of_waiting > early.value_now, "{early:?}");
    let late = prospect(
        &rules(),
        &mut latencies,
        Time(MS),
        Time(150 * MS),
        0.9,
        &missing,
    );
    assert!(late.value_now > late.value_of_waiting, "{late:?}");
    // The part has been in flight longer than any sample. It may be lost, and little time is left
    // to wait for it.
    let lost = [MissingPart {
        weight: 0.1,
        in_flight_for: Some(900 * MS),
        pending: 0.0,
    }];
    let soon = prospect(
        &rules(),
        &mut latencies,
        Time(MS),
        Time(160 * MS),
        0.9,
        &lost,
    );
    assert!(soon.value_now >= soon.value_of_waiting, "{soon:?}");
    let ample = prospect(
        &rules(),
        &mut latencies,
        Time(MS),
        Time(2_000 * MS),
        0.9,
        &lost,
    );
    assert!(ample.value_of_waiting > ample.value_now, "{ample:?}");
    let none = prospect(
        &rules(),
        &mut latencies,
        Time(MS),
        Time(1_000 * MS),
        0.9,
        &[],
    );
    assert_eq!((none.value_of_waiting, none.wait), (0.0, 0));
}
