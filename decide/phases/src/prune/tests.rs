//! Tests of `prune`.

use super::*;
use proptest::prelude::*;

fn top_k(k: usize, direction: SortDirection, slices: &[&[f64]], first: usize) -> TopK {
    let mut top_k = TopK::new(k, direction);
    for (slice, all) in (0..).zip(slices) {
        let keys = all
            .iter()
            .take(first)
            .map(|&n| SortKey::Number(n))
            .collect();
        top_k.add_slice(Bound {
            slice,
            keys,
            matched: Some(all.len() as u64),
        });
    }
    top_k
}

#[test]
fn slices_that_cannot_change_the_first_k_are_beaten_with_ties_by_slice() {
    let slices: [&[f64]; 5] = [&[5.0, 1.0], &[9.0, 8.0], &[5.0, 4.0], &[7.0], &[]];
    let top_k = top_k(3, SortDirection::Descending, &slices, 1);
    let contributions = top_k.contributions();
    assert_eq!(
        contributions
            .iter()
            .map(|of| (of.slice, of.contribution))
            .collect::<Vec<_>>(),
        [
            (1, Contribution::Elements(3)),
            (3, Contribution::Exhausted),
            (0, Contribution::Beaten), // Its best is the third element: no other fits.
            (2, Contribution::Beaten), // Its best ties with slice 0 but belongs to a later slice.
            (4, Contribution::Exhausted),
        ]
    );
    assert!(contributions
        .iter()
        .all(|of| top_k.contribution(of.slice) == of.contribution));
}

#[test]
fn missing_or_incomparable_bounds_prove_nothing() {
    for odd in [SortKey::Number(f64::NAN), SortKey::Text("many".into())] {
        let mut top_k = top_k(1, SortDirection::Ascending, &[&[1.0, 2.0], &[3.0, 4.0]], 1);
        top_k.add_slice(Bound {
            slice: 2,
            keys: vec![odd],
            matched: None,
        });
        assert_eq!(top_k.contribution(2), Contribution::Unknown);
        assert_eq!(
            top_k.contribution(1),
            Contribution::Unknown,
            "its bound is unusable for other slices too"
        );
        assert!(top_k
            .contributions()
            .iter()
            .all(|of| of.contribution == Contribution::Unknown));
    }
    let mut top_k = top_k(2, SortDirection::Descending, &[&[3.0, 2.0], &[1.0, 0.0]], 1);
    top_k.add_slice(Bound {
        slice: 2,
        keys: Vec::new(),
        matched: None,
    });
    assert_eq!(
        top_k.contribution(2),
        Contribution::Unknown,
        "the slice returned neither its best element nor a count"
    );
    top_k.add_slice(Bound {
        slice: 3,
        keys: vec![SortKey::Missing],
        matched: Some(9),
    });
    assert_eq!(
        top_k.contribution(3),
        Contribution::Beaten,
        "no value comes after all values"
    );
}

#[test]
fn keys_that_contradict_the_bound_are_rejected() {
    let mut top_k = top_k(
        5,
        SortDirection::Descending,
        &[&[3.0, 2.0, 1.0], &[2.0, 1.0]],
        1,
    );
    let keys = |all: &[f64]| all.iter().map(|&n| SortKey::Number(n)).collect::<Vec<_>>();
    assert_eq!(top_k.add_keys(0, keys(&[3.0, 2.0, 1.0]), Some(3)), Ok(()));
    assert_eq!(
        top_k.add_keys(1, keys(&[4.0, 1.0]), Some(2)),
        Err(WrongBound { slice: 1 })
    );
    assert_eq!(
        top_k.add_keys(1, keys(&[2.0, 2.5]), Some(2)),
        Err(WrongBound { slice: 1 }),
        "not sorted"
    );
}

#[test]
fn new_keys_beat_slices_without_an_answer() {
    let mut top_k = top_k(
        3,
        SortDirection::Ascending,
        &[&[1.0, 1.1, 1.2, 9.0], &[2.0, 3.0], &[4.0, 5.0]],
        1,
    );
    assert_eq!(top_k.contribution(1), Contribution::Elements(2));
    let keys = [1.0, 1.1, 1.2].map(SortKey::Number).to_vec();
    top_k.add_keys(0, keys, Some(4)).unwrap();
    assert_eq!(top_k.contribution(1), Contribution::Beaten);
}

/// Returns the first `k` elements of all slices, as a single server with all elements would.
fn first_k_of_all(slices: &[Vec<u8>], k: usize, direction: SortDirection) -> Vec<(u8, u32)> {
    let mut all: Vec<(u8, u32)> = (0..)
        .zip(slices)
        .flat_map(|(s, keys)| keys.iter().map(move |&k| (k, s)))
        .collect();
    all.sort_by(|a, b| {
        let order = a.0.cmp(&b.0);
        (if direction == SortDirection::Ascending {
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
    fn first_k_after_pruning_match_those_of_all_slices(
        mut slices in prop::collection::vec(prop::collection::vec(0u8..20, 0..8), 1..12),
        k in 1usize..12,
        is_descending: bool,
        has_count: bool,
    ) {
        let direction = if is_descending { SortDirection::Descending } else { SortDirection::Ascending };
        for keys in &mut slices {
            keys.sort_unstable();
            if is_descending { keys.reverse() }
        }
        let key = |&n: &u8| SortKey::Number(f64::from(n));
        let mut top_k = TopK::new(k, direction);
        for (slice, all) in (0..).zip(&slices) {
            let matched = (has_count || all.is_empty()).then_some(all.len() as u64);
            top_k.add_slice(Bound { slice, keys: all.iter().take(1).map(key).collect(), matched });
        }
        let mut found: Vec<Vec<u8>> = slices.iter().map(|s| s.iter().take(1).copied().collect()).collect();
        let mut asked = 0;
        for SliceContribution { slice, .. } in top_k.contributions() {
            // Each new answer may change the contributions of the slices not yet queried.
            let most = match top_k.contribution(slice) {
                Contribution::Elements(most) => most,
                Contribution::Unknown => k,
                Contribution::Beaten | Contribution::Exhausted => continue,
            };
            asked += 1;
            let all = &slices[slice as usize];
            let given: Vec<u8> = all.iter().take(most).copied().collect();
            top_k.add_keys(slice, given.iter().map(key).collect(), Some(all.len() as u64)).unwrap();
            found[slice as usize] = given;
        }
        prop_assert_eq!(first_k_of_all(&found, k, direction), first_k_of_all(&slices, k, direction));
        prop_assert!(asked <= k.min(slices.len()), "never more than k slices");
    }
}
