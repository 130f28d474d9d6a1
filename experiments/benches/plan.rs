//! One plan of the second phase at 200 slices: `cargo bench -p lichenswitch-experiments`.

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use lichenswitch::decide::phases::prune::{Bound, Key, Way};
use lichenswitch::decide::phases::{First, Goal, Planner};
use lichenswitch::interface::{QueryId, Time};
use lichenswitch_experiments::two_phase;
use std::hint::black_box;

const SLICES: u32 = 200;
const NOW: Time = Time(10_000_000);

/// A planner that has learnt, and holds a query whose first phase has ended.
fn planner() -> Planner {
    let (_, settings) = two_phase::scenario("skewed", 1.0);
    let mut planner = Planner::new(two_phase::rules(&settings, true));
    let parts: Vec<(u32, f64)> = (0..SLICES).map(|s| (s, 1.0 / f64::from(SLICES))).collect();
    planner.on_query(NOW, QueryId(1), 0, &parts);
    for slice in 0..SLICES {
        let took = 50_000 + u64::from(slice) * 500;
        planner.on_response(
            NOW.plus(took),
            (QueryId(1), slice),
            (false, took, 0.0),
            None,
        );
        planner.on_response(NOW.plus(took), (QueryId(1), slice), (true, took, 0.0), None);
    }
    planner
}

fn firsts() -> Vec<First> {
    let first = |slice: u32| {
        let score = f64::from(slice * 7_919 % 1_009);
        let bound = Bound {
            slice,
            keys: vec![Key::Number(score)],
            matched: Some(40),
        };
        First {
            slice,
            score,
            bound: Some(bound),
        }
    };
    (0..SLICES).map(first).collect()
}

fn plan(c: &mut Criterion) {
    for (name, goal) in [
        ("top 10 of 200 slices", Goal::Top(10, Way::Down)),
        ("best scores of 200 slices", Goal::BestScores),
    ] {
        c.bench_function(name, |b| {
            b.iter_batched_ref(
                || (planner(), firsts()),
                |(planner, firsts)| {
                    let firsts = std::mem::take(firsts);
                    black_box(
                        planner.between(NOW.plus(200_000), QueryId(1), goal, firsts, |s| {
                            Some(f64::from(s % 5))
                        }),
                    )
                },
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, plan);
criterion_main!(benches);
