//! Tests of `prune`.

use super::*;
use proptest::prelude::*;

fn race(k: usize, way: Way, slices: &[&[f64]], first: usize) -> Race {
    let mut race = Race::new(k, way);
    for (slice, all) in (0..).zip(slices) {
        let keys = all.iter().take(first).map(|&n| Key::Number(n)).collect();
        race.enter(Bound {
            slice,
            keys,
            matched: Some(all.len() as u64),
        });
    }
    race
}

#[test]
fn slices_that_cannot_change_the_first_k_are_beaten_ties_by_slice() {
    let slices: [&[f64]; 5] = [&[5.0, 1.0], &[9.0, 8.0], &[5.0, 4.0], &[7.0], &[]];
    let race = race(3, Way::Down, &slices, 1);
    let reaches = race.reaches();
    assert_eq!(
        reaches,
        [
            (1, Reach::Elements(3)),
            (3, Reach::Exhausted),
            (0, Reach::Beaten), // Its best is the third: nothing else of it can be.
            (2, Reach::Beaten), // As good, but of a later slice.
            (4, Reach::Exhausted),
        ]
    );
    assert!(reaches
        .iter()
        .all(|&(slice, reach)| race.reach(slice) == reach));
}

#[test]
fn bounds_that_are_missing_or_no_numbers_prove_nothing() {
    for odd in [Key::Number(f64::NAN), Key::Text("many".into())] {
        let mut race = race(1, Way::Up, &[&[1.0, 2.0], &[3.0, 4.0]], 1);
        race.enter(Bound {
            slice: 2,
            keys: vec![odd],
            matched: None,
        });
        assert_eq!(race.reach(2), Reach::Unknown);
        assert_eq!(race.reach(1), Reach::Unknown, "not even of others");
        assert!(race.reaches().iter().all(|r| r.1 == Reach::Unknown));
    }
    let mut race = race(2, Way::Down, &[&[3.0, 2.0], &[1.0, 0.0]], 1);
    race.enter(Bound {
        slice: 2,
        keys: Vec::new(),
        matched: None,
    });
    assert_eq!(
        race.reach(2),
        Reach::Unknown,
        "it told neither its best nor how many"
    );
    race.enter(Bound {
        slice: 3,
        keys: vec![Key::Missing],
        matched: Some(9),
    });
    assert_eq!(
        race.reach(3),
        Reach::Beaten,
        "no value comes after all values"
    );
}

#[test]
fn a_slice_that_gives_more_than_its_bound_is_found_out() {
    let mut race = race(5, Way::Down, &[&[3.0, 2.0, 1.0], &[2.0, 1.0]], 1);
    let keys = |all: &[f64]| all.iter().map(|&n| Key::Number(n)).collect::<Vec<_>>();
    assert_eq!(race.extend(0, keys(&[3.0, 2.0, 1.0]), Some(3)), Ok(()));
    assert_eq!(
        race.extend(1, keys(&[4.0, 1.0]), Some(2)),
        Err(WrongBound { slice: 1 })
    );
    assert_eq!(
        race.extend(1, keys(&[2.0, 2.5]), Some(2)),
        Err(WrongBound { slice: 1 }),
        "not sorted"
    );
}

#[test]
fn what_comes_in_beats_slices_that_are_still_out() {
    let mut race = race(
        3,
        Way::Up,
        &[&[1.0, 1.1, 1.2, 9.0], &[2.0, 3.0], &[4.0, 5.0]],
        1,
    );
    assert_eq!(race.reach(1), Reach::Elements(2));
    let keys = [1.0, 1.1, 1.2].map(Key::Number).to_vec();
    race.extend(0, keys, Some(4)).unwrap();
    assert_eq!(race.reach(1), Reach::Beaten);
}

/// The first `k` of all slices, as one big server would give them.
fn whole(slices: &[Vec<u8>], k: usize, way: Way) -> Vec<(u8, u32)> {
    let mut all: Vec<(u8, u32)> = (0..)
        .zip(slices)
        .flat_map(|(s, keys)| keys.iter().map(move |&k| (k, s)))
        .collect();
    all.sort_by(|a, b| {
        let order = a.0.cmp(&b.0);
        (if way == Way::Up {
            order
        } else {
            order.reverse()
        })
        .then(a.1.cmp(&b.1))
    });
    all.truncate(k);
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn the_pruned_first_k_are_those_of_all_slices(
        mut slices in prop::collection::vec(prop::collection::vec(0u8..20, 0..8), 1..12),
        k in 1usize..12,
        down: bool,
        told: bool,
    ) {
        let way = if down { Way::Down } else { Way::Up };
        for keys in &mut slices {
            keys.sort_unstable();
            if down { keys.reverse() }
        }
        let key = |&n: &u8| Key::Number(f64::from(n));
        let mut race = Race::new(k, way);
        for (slice, all) in (0..).zip(&slices) {
            let matched = (told || all.is_empty()).then_some(all.len() as u64);
            race.enter(Bound { slice, keys: all.iter().take(1).map(key).collect(), matched });
        }
        let mut found: Vec<Vec<u8>> = slices.iter().map(|s| s.iter().take(1).copied().collect()).collect();
        let mut asked = 0;
        for (slice, _) in race.reaches() {
            // Judged again as answers come in.
            let most = match race.reach(slice) {
                Reach::Elements(most) => most,
                Reach::Unknown => k,
                Reach::Beaten | Reach::Exhausted => continue,
            };
            asked += 1;
            let all = &slices[slice as usize];
            let given: Vec<u8> = all.iter().take(most).copied().collect();
            race.extend(slice, given.iter().map(key).collect(), Some(all.len() as u64)).unwrap();
            found[slice as usize] = given;
        }
        prop_assert_eq!(whole(&found, k, way), whole(&slices, k, way));
        prop_assert!(asked <= k.min(slices.len()), "never more than k slices");
    }
}
