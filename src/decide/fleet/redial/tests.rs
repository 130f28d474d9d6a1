//! Tests of `redial`.

use super::*;

#[test]
fn waits_double_up_to_a_bound_are_spread_and_end_with_a_success() {
    let mut rng = SeededRng::default();
    let mut all: Vec<Redial> = vec![Redial::default(); 100];
    for failures in 1..=12u32 {
        let usual = (FIRST << (failures - 1).min(20)).min(MOST);
        for redial in &mut all {
            redial.on_failure(Time(0), &mut rng);
            assert!(
                (usual / 2..=usual * 3 / 2).contains(&redial.at().0),
                "{failures}: {redial:?}"
            );
            assert!(!redial.may(Time(usual / 2 - 1)) && redial.may(Time(usual * 3 / 2)));
        }
        let within = |from: u64| {
            all.iter()
                .filter(|r| (from..from + usual / 5).contains(&r.at().0))
                .count()
        };
        assert!(
            (0..5).all(|i| within(usual / 2 + i * usual / 5) < 50),
            "{failures}: they come together"
        );
    }
    all[0].on_success();
    assert!(all[0].may(Time(0)));
}
