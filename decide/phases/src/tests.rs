use super::prune::Key;
use super::prune::Way;
use super::*;

const MS: Micros = 1_000;
const Q: QueryId = QueryId(1);

/// A planner that has learnt: first-phase parts take 100 to 200 ms, second-phase parts 50 to 150
/// ms.
fn planner(rules: Rules) -> Planner {
    let mut planner = Planner::new(vec![Some(rules)]);
    for i in 0..100u64 {
        planner.on_query(Time(i), Q, 0, &[(0, 0.5), (1, 0.5)]);
        planner.on_response(Time(i), (Q, 0), (false, (100 + i) * MS, 0.0), None);
        planner.on_response(Time(i), (Q, 1), (true, (50 + i) * MS, 0.0), None);
        planner.on_end(Q);
    }
    planner
}

/// A query of ten slices of which so many are in after so long; tells the verdicts.
fn first_phase(planner: &mut Planner, came: u32, after: Micros) -> Vec<Verdict> {
    let start = Time(10_000 * MS);
    let parts: Vec<(u32, f64)> = (0..10).map(|s| (s, 0.1)).collect();
    planner.on_query(start, Q, 0, &parts);
    (0..10).for_each(|s| planner.on_sent(start, Q, s, 0.0));
    let mut verdicts = Vec::new();
    for slice in 0..came {
        verdicts.extend(planner.on_response(
            start.plus(after),
            (Q, slice),
            (false, after, 0.0),
            None,
        ));
    }
    verdicts
}

fn firsts(count: u32) -> Vec<First> {
    (0..count)
        .map(|slice| First {
            slice,
            score: f64::from(slice),
            bound: None,
        })
        .collect()
}

fn plan(planner: &mut Planner, at: Micros) -> Plan {
    let now = Time((10_000 + at) * MS);
    planner
        .between(now, Q, Goal::BestScores, firsts(10), |_| Some(0.0))
        .unwrap()
}

#[test]
fn later_first_phase_shrinks_the_second() {
    let (mut counts, mut given_up) = (Vec::new(), Vec::new());
    for at in [500, 700, 900, 990] {
        let mut planner = planner(Rules::test());
        first_phase(&mut planner, 8, 150 * MS);
        let plan = plan(&mut planner, at);
        assert_eq!(plan.parts[0].0, 9, "the best first");
        assert!(plan.parts.len() >= 4, "never below the least share");
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
    let next = quick.next().expect("it is looked at again");
    assert!(next <= Time(10_160 * MS));
    // Nothing comes: out for longer than any was, it may be lost.
    let mut closed = Vec::new();
    while let (Some(at), true) = (quick.next(), closed.is_empty()) {
        closed = quick.on_time(at);
        assert!(at < Time(10_950 * MS));
    }
    let [Verdict::Close(Q, Reason::Worth { now, waiting, have })] = closed[..] else {
        panic!("{closed:?}")
    };
    assert!(now + WAITING_MARGIN >= waiting && (have - 0.9).abs() < 1e-9);
    assert_eq!(quick.next(), None, "closed once");
}

#[test]
fn below_the_least_share_a_first_phase_is_never_closed_whatever_the_time() {
    let mut late = planner(Rules::test());
    assert_eq!(first_phase(&mut late, 7, 150 * MS), []);
    while let Some(at) = late.next() {
        assert_eq!(late.on_time(at), []);
    }
    // The eighth comes after the first phase has had its share: closed at once, with exactly the
    // least.
    let verdict = late.on_response(Time(10_950 * MS), (Q, 7), (false, 950 * MS, 0.0), None);
    assert!(
        matches!(verdict[..], [Verdict::Close(Q, Reason::FirstShare { .. })]),
        "{verdict:?}"
    );
}

#[test]
fn untrained_planner_closes_at_the_share_and_sends_all_parts() {
    let mut fresh = Planner::new(vec![Some(Rules::test()), None]);
    assert!(fresh.plans(0) && !fresh.plans(1) && !fresh.plans(2));
    assert_eq!(first_phase(&mut fresh, 9, 300 * MS), []);
    assert_eq!(fresh.next(), Some(Time(10_310 * MS)));
    let mut verdicts = Vec::new();
    while let (Some(at), true) = (fresh.next(), verdicts.is_empty()) {
        verdicts = fresh.on_time(at);
    }
    assert!(
        matches!(
            verdicts[..],
            [Verdict::Close(Q, Reason::FirstShare { took: 900_000, .. })]
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
        for (slice, _) in &plan.parts[..came] {
            planner.on_response(Time(10_300 * MS), (Q, *slice), (true, 100 * MS, 0.0), None);
        }
        assert_eq!(planner.next(), Some(Time(11_000 * MS)), "the aim");
        assert_eq!(planner.on_time(Time(10_999 * MS)), []);
        let verdicts = planner.on_time(Time(11_000 * MS));
        assert_eq!(
            verdicts.len(),
            expected,
            "{came} in, late share {late_share}: {verdicts:?}"
        );
    }
}

fn bound(slice: u32, best: f64, matched: u64) -> First {
    let keys = vec![Key::Number(best)];
    First {
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
    let firsts: Vec<First> = (0..10).map(|s| bound(s, f64::from(s), 9)).collect();
    let now = Time(10_200 * MS);
    let plan = planner
        .between(now, Q, Goal::Top(3, Way::Up), firsts, |_| Some(0.0))
        .unwrap();
    assert_eq!(
        plan.parts,
        [(0, Some(3)), (1, Some(2))],
        "the third best is the third by itself"
    );
    assert_eq!(
        (plan.unneeded.len(), plan.left_out.len(), plan.wanted),
        (8, 0, 10)
    );
    let told = |keys: [f64; 3]| Bound {
        slice: 0,
        keys: keys.map(Key::Number).to_vec(),
        matched: Some(9),
    };
    let beaten = planner.on_response(now, (Q, 0), (true, MS, 0.0), Some(told([0.0, 0.1, 0.2])));
    assert_eq!(
        beaten,
        [Verdict::Unneeded(Q, 1, Reason::Bound { slice: 1, k: 3 })]
    );
    // Without pruning all slices with more are asked for all.
    let mut plain = super::tests::planner(Rules {
        prune: false,
        ..Rules::test()
    });
    first_phase(&mut plain, 10, 150 * MS);
    let firsts = (0..10).map(|s| bound(s, f64::from(s), 9)).collect();
    let plan = plain
        .between(now, Q, Goal::Top(3, Way::Up), firsts, |_| Some(0.0))
        .unwrap();
    assert_eq!(plan.parts.len(), 10);
}

#[test]
fn a_slice_that_gives_more_than_its_bound_leaves_the_answer_in_doubt() {
    let mut planner = planner(Rules::test());
    first_phase(&mut planner, 10, 150 * MS);
    let firsts = (0..10).map(|s| bound(s, f64::from(s), 9)).collect();
    let now = Time(10_200 * MS);
    planner
        .between(now, Q, Goal::Top(3, Way::Up), firsts, |_| Some(0.0))
        .unwrap();
    let told = Bound {
        slice: 0,
        keys: vec![Key::Number(-5.0)],
        matched: Some(9),
    };
    let verdicts = planner.on_response(now, (Q, 0), (true, MS, 0.0), Some(told));
    assert_eq!(
        verdicts,
        [Verdict::Doubt(Q, Reason::WrongBound { slice: 0 })],
        "and nothing is proved by it"
    );
}

#[test]
fn a_second_phase_of_no_slices_is_planned_as_such() {
    let mut planner = planner(Rules::test());
    first_phase(&mut planner, 10, 150 * MS);
    let firsts = (0..10).map(|s| bound(s, 1.0, 1)).collect();
    let plan = planner
        .between(Time(10_200 * MS), Q, Goal::Top(9, Way::Up), firsts, |_| {
            Some(0.0)
        })
        .unwrap();
    assert!(
        plan.parts.is_empty() && !plan.give_up && plan.left_out.is_empty(),
        "{plan:?}"
    );
    assert_eq!(plan.unneeded.len(), 10);
}

#[test]
fn reasons_include_their_figures() {
    let why = Reason::Worth {
        have: 0.9,
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
