//! `two-phase`: queries of two phases with the planner off, as the settings alone have it, and on.

use crate::scale;
use crate::world::{Mix, Scenario, Tally, Trouble, World, MS};
use lichenswitch::decide::phases::{Planner, Rules};
use lichenswitch::interface::{Class, Layout, RetrySafety, Settings, FIRST_SHARE};
use serde::Serialize;
use std::collections::BTreeMap;

/// What came of one scenario with one variant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Queries that arrived.
    pub queries: u64,
    /// Share answered within the aim.
    pub on_time_share: f64,
    /// Share answered whole.
    pub whole_share: f64,
    /// Worth earned over worth asked for.
    pub worth_share: f64,
    /// Work of the second phase.
    pub second_work_ms: f64,
    /// Of it, done after the query's aim.
    pub second_waste_after_aim_ms: f64,
    /// Parts sent in the second phase, copies included, for each query of two phases.
    pub second_parts_per_query: f64,
    /// Answers under the least share.
    pub below_floor: u64,
    /// Answers marked whole that are not.
    pub falsely_whole: u64,
    /// Queries without exactly one final answer in time.
    pub lost: u64,
    /// Sorted answers called whole that are not those of one big server.
    pub wrong: u64,
}

/// All scenarios.
#[derive(Debug, PartialEq, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Virtual seconds of each scenario in which queries arrive; `large` has a tenth of them.
    pub seconds: f64,
    /// Figures by scenario, then by variant.
    pub scenarios: BTreeMap<&'static str, BTreeMap<&'static str, Figures>>,
}

/// The names of the scenarios.
pub const SCENARIOS: [&str; 4] = ["calm", "late-first", "skewed", "large"];

fn class(latency_target: u64, deadline: u64, value: f64, floor: f64, second_step: u32) -> Class {
    Class {
        latency_target: latency_target * MS,
        deadline: deadline * MS,
        repeat: RetrySafety::Safe,
        value,
        late_share: 0.1,
        need: 1.0,
        floor,
        partial: 0.8,
        second_step,
        first_share: FIRST_SHARE,
        attempts: None,
    }
}

/// Reports, of two phases, and searches.
fn classes() -> Vec<Class> {
    vec![
        class(2_500, 7_500, 3.0, 0.8, 5),
        class(1_500, 4_000, 1.0, 1.0, 0),
    ]
}

fn mix(share: f64, parts: u32, work_ms: f64) -> Mix {
    Mix {
        share,
        parts,
        work_ms,
        second: 0.6,
        cv: 0.35,
        top: None,
    }
}

/// The scenario with this name, and its settings.
#[must_use]
#[expect(clippy::too_many_lines, reason = "one arm for each scenario")]
pub fn scenario(name: &str, seconds: f64) -> (Scenario, Settings) {
    let reports = mix(0.3, 6, 94.0);
    let searches = mix(0.7, 4, 74.0);
    let base = Scenario {
        seconds,
        rate: 14.0,
        nodes: 12,
        cores: 2,
        call: 48 * MS,
        mix: vec![reports.clone(), searches.clone()],
        trouble: Trouble::default(),
        way: 700,
    };
    let fleet = |cells, shards| Settings {
        classes: classes(),
        layout: Layout {
            cells,
            width: 2,
            shards,
            parts_a_call: 8,
        },
        ..scale::settings(cells, shards)
    };
    match name {
        "late-first" => {
            // The details are heavy: what the first phase takes is missing in the second.
            let reports = Mix {
                second: 8.0,
                ..reports
            };
            let trouble = Trouble {
                share: 0.25,
                slow_first: 20.0,
                pause_ms: 350.0,
                pause_every_s: 3.0,
            };
            (
                Scenario {
                    trouble,
                    rate: 2.0,
                    mix: vec![reports, searches],
                    ..base
                },
                fleet(12, 24),
            )
        }
        "skewed" => {
            let top = Mix {
                parts: 24,
                work_ms: 20.0,
                top: Some(10),
                ..reports
            };
            let mix = vec![top, searches];
            let mut settings = fleet(12, 24);
            // A sorted answer asks all slices that can have any of its elements.
            settings.classes[0].second_step = 24;
            (
                Scenario {
                    mix,
                    rate: 6.0,
                    call: 10 * MS,
                    ..base
                },
                settings,
            )
        }
        "large" => {
            let mix = vec![mix(0.3, 50, 8.0), mix(0.7, 20, 6.0)];
            (
                Scenario {
                    seconds: seconds / 10.0,
                    rate: 1_000.0,
                    nodes: 400,
                    cores: 4,
                    call: MS,
                    mix,
                    ..base
                },
                {
                    // Two data nodes in each of 200 cells.
                    let mut settings = fleet(200, 200);
                    settings.layout.width = 1;
                    settings
                },
            )
        }
        _ => (base, fleet(12, 24)),
    }
}

/// The rules of the planner for the classes of two phases, with the settings that operators get by
/// default.
#[must_use]
pub fn rules(settings: &Settings, prune: bool) -> Vec<Option<Rules>> {
    let of = |class: &Class| {
        (class.second_step > 0).then(|| Rules {
            prune,
            ..Rules::of(class)
        })
    };
    settings.classes.iter().map(of).collect()
}

/// Plays a scenario with the planner on or off. Sorted answers have no form without a planner: off,
/// it asks all slices.
#[must_use]
pub fn play(seed: u64, name: &str, seconds: f64, on: bool) -> (Tally, Figures) {
    let (scenario, mut settings) = scenario(name, seconds);
    let sorted = scenario.mix.iter().any(|m| m.top.is_some());
    let planner = if on || sorted {
        let rules = rules(&settings, on);
        for (class, rules) in settings.classes.iter_mut().zip(&rules) {
            class.first_share = rules.as_ref().map_or(class.first_share, |r| r.first_share);
        }
        Planner::new(rules)
    } else {
        Planner::default()
    };
    let mut world = World::new(seed, scenario, settings, planner);
    world.play();
    let t = world.tally;
    let share = |n: f64, of: f64| if of > 0.0 { n / of } else { 0.0 };
    let queries = t.queries as f64;
    let figures = Figures {
        queries: t.queries,
        on_time_share: share(t.on_time as f64, queries),
        whole_share: share(t.whole as f64, queries),
        worth_share: share(t.earned, t.asked),
        second_work_ms: t.second_work as f64 / 1e3,
        second_waste_after_aim_ms: t.second_after_aim as f64 / 1e3,
        second_parts_per_query: share(t.second_parts as f64, t.two_phase as f64),
        below_floor: t.below_floor,
        falsely_whole: t.falsely_whole,
        lost: t.lost,
        wrong: t.wrong,
    };
    (t, figures)
}

/// Plays all scenarios, or one of them.
#[must_use]
pub fn run(seed: u64, seconds: f64, only: Option<&str>) -> Report {
    let mut scenarios = BTreeMap::new();
    for name in SCENARIOS
        .into_iter()
        .filter(|name| only.is_none_or(|only| only == *name))
    {
        let variants = [("off", false), ("on", true)];
        let played = variants.map(|(variant, on)| (variant, play(seed, name, seconds, on).1));
        scenarios.insert(name, played.into_iter().collect());
    }
    Report {
        seed,
        seconds,
        scenarios,
    }
}

/// The table as text.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut text = format!(
        "{:>11} {:>4} {:>8} {:>8} {:>7} {:>7} {:>12} {:>10} {:>7} {:>6} {:>6} {:>5} {:>5}\n",
        "scenario",
        "",
        "queries",
        "on time",
        "whole",
        "worth",
        "second ms",
        "after aim",
        "parts",
        "floor",
        "false",
        "lost",
        "wrong"
    );
    for (name, variants) in &report.scenarios {
        for (variant, f) in variants {
            text += &format!(
                "{name:>11} {variant:>4} {:>8} {:>8.4} {:>7.4} {:>7.4} {:>12.0} {:>10.0} {:>7.2} {:>6} {:>6} {:>5} {:>5}\n",
                f.queries,
                f.on_time_share,
                f.whole_share,
                f.worth_share,
                f.second_work_ms,
                f.second_waste_after_aim_ms,
                f.second_parts_per_query,
                f.below_floor,
                f.falsely_whole,
                f.lost,
                f.wrong,
            );
        }
    }
    text
}
