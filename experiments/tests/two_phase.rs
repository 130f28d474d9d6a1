//! Queries of two phases in short scenarios: the planner keeps its bounds with each seed here.

use lichenswitch_experiments::two_phase::{play, run, Figures};

const SEEDS: [u64; 3] = [1, 2, 3];

fn both(seed: u64, name: &str, seconds: f64) -> (Figures, Figures) {
    let (off, on) = (
        play(seed, name, seconds, false).1,
        play(seed, name, seconds, true).1,
    );
    assert_eq!(off.queries, on.queries, "both meet the same queries");
    assert!(off.queries > 20);
    for f in [&off, &on] {
        assert_eq!(
            (f.below_floor, f.falsely_whole, f.lost, f.wrong),
            (0, 0, 0, 0),
            "{name} {seed}: {f:?}"
        );
    }
    (off, on)
}

#[test]
fn late_first_phases_leave_little_work_after_the_target() {
    for seed in SEEDS {
        let (off, on) = both(seed, "late-first", 150.0);
        let (wasted, was) = (on.second_waste_after_aim_ms, off.second_waste_after_aim_ms);
        assert!(
            was > 0.0 && wasted <= 0.1 * was,
            "seed {seed}: {wasted} ms, {was} ms without the planner"
        );
        assert!(wasted <= 0.02 * on.second_work_ms, "seed {seed}");
        assert!(
            on.worth_share >= off.worth_share,
            "seed {seed}: {} {}",
            on.worth_share,
            off.worth_share
        );
    }
}

#[test]
fn planner_costs_less_than_two_thousandths_of_the_value_without_faults() {
    for seed in SEEDS {
        let (off, on) = both(seed, "calm", 40.0);
        assert!(
            (off.worth_share - on.worth_share).abs() <= 0.002,
            "seed {seed}: {off:?} {on:?}"
        );
    }
}

#[test]
fn bounds_save_most_of_the_second_phase_with_the_same_answers() {
    for seed in SEEDS {
        let (off, on) = both(seed, "skewed", 40.0);
        let (all, pruned) = (off.second_parts_per_query, on.second_parts_per_query);
        assert!(pruned <= 0.4 * all, "seed {seed}: {pruned} of {all} parts");
        assert!(on.whole_share >= off.whole_share - 0.01, "seed {seed}");
    }
}

#[test]
fn large_fleet_answers_on_time() {
    let (off, on) = both(1, "large", 10.0);
    assert!(off.on_time_share > 0.99 && on.on_time_share > 0.99);
}

#[test]
fn figures_are_the_same_bytes_for_the_same_seed() {
    let text = |seed| serde_json::to_string(&run(seed, 10.0, Some("late-first"))).unwrap();
    assert_eq!(text(5), text(5));
    assert_ne!(text(5), text(6));
}
