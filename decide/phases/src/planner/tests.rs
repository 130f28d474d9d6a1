//! Tests of `planner`.

use super::first_phase::WAITING_MARGIN;
use super::*;
use crate::prune::{SortDirection, SortKey};
use crate::verdict::{FirstAnswer, Goal, Plan, PlannedPart};
use lichenswitch_interface::Micros;

const MS: Micros = 1_000;
const QUERY: QueryId = QueryId(1);

/// Returns a planner with samples: first-phase parts take 100 to 200 ms, second-phase parts 50 to
/// 150 ms.
fn planner(rules: Rules) -> Planner {
    let mut planner = Planner::new(vec![Some(rules)]);
    for i in 0..100u64 {
        planner.on_query(Time(i), QUERY, 0, &slices(2));
        planner.on_response(Time(i), part(0, Phase::First), timing((100 + i) * MS), None);
        planner.on_response(Time(i), part(1, Phase::Second), timing((50 + i) * MS), None);
        planner.on_end(QUERY);
    }
    planner
}

/// Starts a query of ten slices, of which `came` slices answer after `after`. Returns the verdicts.
fn first_phase(planner: &mut Planner, came: u32, after: Micros) -> Vec<Verdict> {
    let start = Time(10_000 * MS);
    let parts = slices(10);
    planner.on_query(start, QUERY, 0, &parts);
    (0..10).for_each(|s| planner.on_sent(start, QUERY, s, 0.0));
    let mut verdicts = Vec::new();
    for slice in 0..came {
        verdicts.extend(planner.on_response(
            start.plus(after),
            part(slice, Phase::First),
            timing(after),
            None,
        ));
    }
    verdicts
}

fn part(slice: u32, phase: Phase) -> PartRef {
    PartRef {
        query: QUERY,
        slice,
        phase,
    }
}

fn timing(elapsed: Micros) -> AttemptTiming {
    AttemptTiming {
        elapsed,
        pending: 0.0,
    }
}

fn planned(slice: u32, max_elements: usize) -> PlannedPart {
    PlannedPart {
        slice,
        max_elements: Some(max_elements),
    }
}

/// Returns `count` slices of equal weight.
fn slices(count: u32) -> Vec<WeightedSlice> {
    let weight = 1.0 / f64::from(count);
    (0..count)
        .map(|slice| WeightedSlice { slice, weight })
        .collect()
}

fn answers(count: u32) -> Vec<FirstAnswer> {
    (0..count)
        .map(|slice| FirstAnswer {
            slice,
            score: f64::from(slice),
            bound: None,
        })
        .collect()
}

fn plan(planner: &mut Planner, at: Micros) -> Plan {
    let now = Time((10_000 + at) * MS);
    planner
        .plan_second_phase(now, QUERY, Goal::BestScores, answers(10), |_| Some(0.0))
        .unwrap()
}

#[test]
fn later_first_phase_shrinks_the_second() {
    let (mut counts, mut given_up) = (Vec::new(), Vec::new());
    for at in [500, 700, 900, 990] {
        let mut planner = planner(Rules::test());
        first_phase(&mut planner, 8, 150 * MS);
        let plan = plan(&mut planner, at);
        assert_eq!(plan.parts[0].slice, 9, "the best first");
        assert!(plan.parts.len() >= 4, "never below the floor");
        assert_eq!(plan.parts.len() + plan.left_out.len(), 5);
        counts.push(plan.parts.len());
        given_up.push(plan.give_up);
    }
    assert_eq!(counts, [5, 5, 4, 4]);
    assert_eq!(
        given_up,
        [false, false, true, true],
        "four parts of which each ends in time with a half earn too little"
    );
}

#[test]
fn first_phase_closes_once_waiting_costs_more_than_it_brings() {
    let mut quick = planner(Rules::test());
    assert_eq!(
        first_phase(&mut quick, 9, 150 * MS),
        [],
        "the last part is due any moment"
    );
    let next = quick.next_wake().expect("another check is scheduled");
    assert!(next <= Time(10_160 * MS));
    // No answer arrives. After more time than any sample took, the part may be lost.
    let mut closed = Vec::new();
    while let (Some(at), true) = (quick.next_wake(), closed.is_empty()) {
        closed = quick.tick(at);
        assert!(at < Time(10_950 * MS));
    }
    let [Verdict::Close {
        query: QUERY,
        reason:
            Reason::WaitingNotWorthwhile {
                now,
                waiting,
                answered_weight,
            },
    }] = closed[..]
    else {
        panic!("{closed:?}")
    };
    assert!(now + WAITING_MARGIN >= waiting && (answered_weight - 0.9).abs() < 1e-9);
    assert_eq!(quick.next_wake(), None, "closed once");
}

#[test]
fn first_phase_below_the_floor_is_never_closed() {
    let mut late = planner(Rules::test());
    assert_eq!(first_phase(&mut late, 7, 150 * MS), []);
    while let Some(at) = late.next_wake() {
        assert_eq!(late.tick(at), []);
    }
    // The eighth answer arrives after the first phase has used its share. The phase closes at once,
    // with exactly the minimum weight.
    let verdict = late.on_response(
        Time(10_950 * MS),
        part(7, Phase::First),
        timing(950 * MS),
        None,
    );
    assert!(
        matches!(
            verdict[..],
            [Verdict::Close {
                query: QUERY,
                reason: Reason::FirstPhaseShareUsed { .. }
            }]
        ),
        "{verdict:?}"
    );
}

#[test]
fn untrained_planner_closes_at_the_share_and_sends_all_parts() {
    let mut fresh = Planner::new(vec![Some(Rules::test()), None]);
    assert!(fresh.is_planned(0) && !fresh.is_planned(1) && !fresh.is_planned(2));
    assert_eq!(first_phase(&mut fresh, 9, 300 * MS), []);
    assert_eq!(fresh.next_wake(), Some(Time(10_310 * MS)));
    let mut verdicts = Vec::new();
    while let (Some(at), true) = (fresh.next_wake(), verdicts.is_empty()) {
        verdicts = fresh.tick(at);
    }
    assert!(
        matches!(
            verdicts[..],
            [Verdict::Close {
                query: QUERY,
                reason: Reason::FirstPhaseShareUsed {
                    elapsed: 900_000,
                    ..
                }
            }]
        ),
        "{verdicts:?}"
    );
    assert_eq!(plan(&mut fresh, 950).parts.len(), 5);
}

#[test]
fn second_phase_below_the_floor_at_the_target_is_given_up() {
    for (came, late_share, expected) in [(3, 0.1, 1), (4, 0.1, 0), (3, 0.5, 0)] {
        let mut planner = planner(Rules {
            late_share,
            ..Rules::test()
        });
        first_phase(&mut planner, 10, 150 * MS);
        let plan = plan(&mut planner, 200);
        for PlannedPart { slice, .. } in &plan.parts[..came] {
            planner.on_response(
                Time(10_300 * MS),
                part(*slice, Phase::Second),
                timing(100 * MS),
                None,
            );
        }
        assert_eq!(
            planner.next_wake(),
            Some(Time(11_000 * MS)),
            "the latency target"
        );
        assert_eq!(planner.tick(Time(10_999 * MS)), []);
        let verdicts = planner.tick(Time(11_000 * MS));
        assert_eq!(
            verdicts.len(),
            expected,
            "{came} in, late share {late_share}: {verdicts:?}"
        );
    }
}

fn bound(slice: u32, best: f64, matched: u64) -> FirstAnswer {
    let keys = vec![SortKey::Number(best)];
    FirstAnswer {
        slice,
        score: 0.0,
        bound: Some(Bound {
            slice,
            keys,
            matched: Some(matched),
        }),
    }
}

#[test]
fn sorted_answer_asks_and_keeps_only_slices_that_can_contribute() {
    let mut planner = planner(Rules::test());
    first_phase(&mut planner, 10, 150 * MS);
    let firsts: Vec<FirstAnswer> = (0..10).map(|s| bound(s, f64::from(s), 9)).collect();
    let now = Time(10_200 * MS);
    let plan = planner
        .plan_second_phase(
            now,
            QUERY,
            Goal::Top {
                k: 3,
                direction: SortDirection::Ascending,
            },
            firsts,
            |_| Some(0.0),
        )
        .unwrap();
    assert_eq!(
        plan.parts,
        [planned(0, 3), planned(1, 2)],
        "the third best is the third by itself"
    );
    assert_eq!(
        (plan.unneeded.len(), plan.left_out.len(), plan.wanted),
        (8, 0, 10)
    );
    let returned = |keys: [f64; 3]| Bound {
        slice: 0,
        keys: keys.map(SortKey::Number).to_vec(),
        matched: Some(9),
    };
    let beaten = planner.on_response(
        now,
        part(0, Phase::Second),
        timing(MS),
        Some(returned([0.0, 0.1, 0.2])),
    );
    assert_eq!(
        beaten,
        [Verdict::Unneeded {
            query: QUERY,
            slice: 1,
            reason: Reason::Bound { slice: 1, k: 3 }
        }]
    );
    // Without pruning, every slice with further elements is asked for all `k` elements.
    let mut plain = super::tests::planner(Rules {
        prune: false,
        ..Rules::test()
    });
    first_phase(&mut plain, 10, 150 * MS);
    let firsts = (0..10).map(|s| bound(s, f64::from(s), 9)).collect();
    let plan = plain
        .plan_second_phase(
            now,
            QUERY,
            Goal::Top {
                k: 3,
                direction: SortDirection::Ascending,
            },
            firsts,
            |_| Some(0.0),
        )
        .unwrap();
    assert_eq!(plan.parts.len(), 10);
}

#[test]
fn slice_that_contradicts_its_bound_puts_the_answer_in_doubt() {
    let mut planner = planner(Rules::test());
    first_phase(&mut planner, 10, 150 * MS);
    let firsts = (0..10).map(|s| bound(s, f64::from(s), 9)).collect();
    let now = Time(10_200 * MS);
    planner
        .plan_second_phase(
            now,
            QUERY,
            Goal::Top {
                k: 3,
                direction: SortDirection::Ascending,
            },
            firsts,
            |_| Some(0.0),
        )
        .unwrap();
    let returned = Bound {
        slice: 0,
        keys: vec![SortKey::Number(-5.0)],
        matched: Some(9),
    };
    let verdicts = planner.on_response(now, part(0, Phase::Second), timing(MS), Some(returned));
    assert_eq!(
        verdicts,
        [Verdict::MarkIncomplete {
            query: QUERY,
            reason: Reason::WrongBound { slice: 0 }
        }],
        "and nothing is proved by it"
    );
}

#[test]
fn second_phase_without_needed_slices_has_an_empty_plan() {
    let mut planner = planner(Rules::test());
    first_phase(&mut planner, 10, 150 * MS);
    let firsts = (0..10).map(|s| bound(s, 1.0, 1)).collect();
    let plan = planner
        .plan_second_phase(
            Time(10_200 * MS),
            QUERY,
            Goal::Top {
                k: 9,
                direction: SortDirection::Ascending,
            },
            firsts,
            |_| Some(0.0),
        )
        .unwrap();
    assert!(
        plan.parts.is_empty() && !plan.give_up && plan.left_out.is_empty(),
        "{plan:?}"
    );
    assert_eq!(plan.unneeded.len(), 10);
}

#[test]
fn reasons_include_their_figures() {
    let why = Reason::WaitingNotWorthwhile {
        answered_weight: 0.9,
        now: 0.5,
        waiting: 0.25,
    };
    assert_eq!(
        why.to_string(),
        "first phase closed with 0.900 in: expected worth 0.500 now, 0.250 with waiting"
    );
    assert!(Reason::TooLittle {
        expected: 0.1,
        least: 0.2
    }
    .to_string()
    .contains("0.100"));
}
