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
fn times() -> Times {
    let mut times = Times::default();
    for i in 0..100 {
        times.first.add(Time(i), (100 + i) * MS, 0.0);
        times.second.add(Time(i), (50 + i) * MS, 0.0);
    }
    times
}

fn candidates(pending: [Option<f64>; 5]) -> Vec<Candidate> {
    (0..)
        .zip(pending)
        .map(|(slice, pending)| Candidate { slice, pending })
        .collect()
}

#[test]
fn the_second_phase_shrinks_step_by_step_and_not_below_the_least_share() {
    let all = candidates([Some(0.0); 5]);
    let mut counts = Vec::new();
    for left in [1_000, 145, 100, 20] {
        let shrunk = shrink(&rules(), &mut times(), Time(MS), left * MS, &all, (5, 0));
        counts.push(shrunk.keep.len());
        assert!(shrunk.expected <= 1.0 && shrunk.weakest <= 1.0);
    }
    assert_eq!(counts, [5, 5, 4, 4], "4 of 5 is the least share of 0.8");
    let free = Rules {
        floor: 0.0,
        ..rules()
    };
    let shrunk = shrink(&free, &mut times(), Time(MS), 20 * MS, &all, (5, 0));
    assert_eq!(
        shrunk.keep,
        [] as [u32; 0],
        "none where the rules allow an answer without it"
    );
}

#[test]
fn what_is_pending_at_its_servers_decides_whether_a_part_goes() {
    let mixed = candidates([Some(9.0), Some(0.0), Some(0.0), Some(0.0), Some(0.0)]);
    let shrunk = shrink(&rules(), &mut times(), Time(MS), 200 * MS, &mixed, (5, 0));
    assert_eq!(
        shrunk.keep,
        [1, 2, 3, 4],
        "the best is too late, the others are not"
    );
    let gone = candidates([Some(0.0), None, Some(0.0), None, Some(0.0)]);
    let shrunk = shrink(&rules(), &mut times(), Time(MS), 1_000 * MS, &gone, (5, 0));
    assert_eq!(
        (shrunk.keep.len(), shrunk.weakest),
        (4, 0.0),
        "filled up to the least share"
    );
    assert!(shrunk.expected < 0.2, "but hopeless: {}", shrunk.expected);
}

#[test]
fn a_wide_second_phase_of_likely_parts_is_not_hopeless() {
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
    let shrunk = shrink(&wide, &mut times(), Time(MS), 142 * MS, &all, (100, 0));
    assert_eq!(shrunk.keep.len(), 100);
    assert!(
        shrunk.weakest < 0.99 && shrunk.expected > 0.2,
        "{} {}",
        shrunk.weakest,
        shrunk.expected
    );
}

#[test]
fn granted_slices_count_towards_the_least_share() {
    let two = &candidates([Some(9.0), Some(9.0), None, None, None])[..2];
    let shrunk = shrink(&rules(), &mut times(), Time(MS), 100 * MS, two, (5, 3));
    assert_eq!(shrunk.keep.len(), 1, "3 of 5 are granted, 4 are needed");
}

#[test]
fn waiting_pays_until_the_second_phase_needs_the_time() {
    let mut times = times();
    let missing = [Missing {
        weight: 0.1,
        out: Some(120 * MS),
        pending: 0.0,
    }];
    let early = prospect(
        &rules(),
        &mut times,
        Time(MS),
        Time(1_000 * MS),
        0.9,
        &missing,
    );
    assert!(early.waiting > early.now, "{early:?}");
    let late = prospect(
        &rules(),
        &mut times,
        Time(MS),
        Time(150 * MS),
        0.9,
        &missing,
    );
    assert!(late.now > late.waiting, "{late:?}");
    // Out for longer than any part ever was: it may be lost, and there is little time to find out.
    let lost = [Missing {
        weight: 0.1,
        out: Some(900 * MS),
        pending: 0.0,
    }];
    let soon = prospect(&rules(), &mut times, Time(MS), Time(160 * MS), 0.9, &lost);
    assert!(soon.now >= soon.waiting, "{soon:?}");
    let ample = prospect(&rules(), &mut times, Time(MS), Time(2_000 * MS), 0.9, &lost);
    assert!(ample.waiting > ample.now, "{ample:?}");
    let none = prospect(&rules(), &mut times, Time(MS), Time(1_000 * MS), 0.9, &[]);
    assert_eq!((none.waiting, none.wait), (0.0, 0));
}
