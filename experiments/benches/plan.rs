//! One plan of the second phase at 200 slices: `cargo bench -p lichenswitch-experiments`.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use lichenswitch::decide::phases::prune::{Bound, SortDirection, SortKey};
use lichenswitch::decide::phases::{
    AttemptTiming, FirstAnswer, Goal, PartRef, Phase, Planner, WeightedSlice,
};
use lichenswitch::interface::{QueryId, Time};
use lichenswitch_experiments::two_phase;
use std::hint::black_box;

const SLICES: u32 = 200;
const NOW: Time = Time(10_000_000);

/// A planner that has learnt, and holds a query whose first phase has ended.
fn planner() -> Planner {
    let (_, settings) = two_phase::scenario("skewed", 1.0);
    let mut planner = Planner::new(two_phase::rules(&settings, true));
    let weight = 1.0 / f64::from(SLICES);
    let parts: Vec<WeightedSlice> = (0..SLICES)
        .map(|slice| WeightedSlice { slice, weight })
        .collect();
    planner.on_query(NOW, QueryId(1), 0, &parts);
    for slice in 0..SLICES {
        let took = 50_000 + u64::from(slice) * 500;
        let timing = AttemptTiming {
            elapsed: took,
            pending: 0.0,
        };
        for phase in [Phase::First, Phase::Second] {
            let part = PartRef {
                query: QueryId(1),
                slice,
                phase,
            };
            planner.on_response(NOW.plus(took), part, timing, None);
        }
    }
    planner
}

fn firsts() -> Vec<FirstAnswer> {
    let first = |slice: u32| {
        let score = f64::from(slice * 7_919 % 1_009);
        let bound = Bound {
            slice,
            keys: vec![SortKey::Number(score)],
            matched: Some(40),
        };
        FirstAnswer {
            slice,
            score,
            bound: Some(bound),
        }
    };
    (0..SLICES).map(first).collect()
}

fn plan(c: &mut Criterion) {
    for (name, goal) in [
        (
            "top 10 of 200 slices",
            Goal::Top {
                k: 10,
                direction: SortDirection::Descending,
            },
        ),
        ("best scores of 200 slices", Goal::BestScores),
    ] {
        c.bench_function(name, |b| {
            b.iter_batched_ref(
                || (planner(), firsts()),
                |(planner, firsts)| {
                    let firsts = std::mem::take(firsts);
                    black_box(planner.plan_second_phase(
                        NOW.plus(200_000),
                        QueryId(1),
                        goal,
                        firsts,
                        |s| Some(f64::from(s % 5)),
                    ))
                },
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, plan);
criterion_main!(benches);
