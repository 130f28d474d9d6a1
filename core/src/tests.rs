//! Tests of the core: the module's actions are carried out, and limits and deadlines hold
//! regardless of what it requests.

use super::*;
use lichenswitch_interface::{
    Action, Budget, Class, Discovery, Layout, Limits, ListedServer, Outcome, RetrySafety,
    ServerMode, SlowStart, FIRST_SHARE,
};

const MS: Micros = 1_000;
const MEMORY: usize = 32 << 20;

fn settings(second_step: u32) -> Settings {
    let class = Class {
        latency_target: 1_000 * MS,
        deadline: 4_000 * MS,
        retry_safety: RetrySafety::Safe,
        value: 1.0,
        late_share: 0.1,
        need: 1.0,
        floor: 0.5,
        partial: 0.8,
        second_step,
        first_share: FIRST_SHARE,
        attempts: None,
    };
    Settings {
        classes: vec![class],
        limits: Limits {
            attempts: 4,
            max_held: 6,
            may_cancel: true,
            may_probe: false,
            second_copies: true,
            retry_after: Some(2_000 * MS),
            budget: None::<Budget>,
        },
        layout: Layout {
            cells: 2,
            width: 2,
            shards: 4,
            parts_a_call: 2,
        },
        discovery: Discovery::Push,
        slow_start: SlowStart {
            share: 0.3,
            warm_after: 1,
            fall_multiple: 3.0,
            fall_after: 1_000 * MS,
        },
        resolution: 5 * MS,
        ..Settings::default()
    }
}

/// Core with two servers that hold every shard, and its clock.
struct Harness {
    core: Core<&'static str>,
    now: Time,
}

impl Harness {
    fn new(second_step: u32) -> Harness {
        Harness::with(settings(second_step))
    }

    fn with(settings: Settings) -> Harness {
        let mut core = Core::new(7, settings, Contracts::default(), MEMORY);
        let entry = |id| ListedServer {
            server: ServerId(id),
            cell: id,
            zone: 0,
            mode: ServerMode::Ready,
            started_at: None,
        };
        core.on_server_list(ServerListUpdate::Complete(vec![entry(0), entry(1)]));
        let mut harness = Harness {
            core,
            now: Time(1_000_000 * MS),
        };
        harness.turn();
        harness
    }

    fn turn(&mut self) -> Vec<Command<&'static str>> {
        self.now = self.now.plus(5 * MS);
        self.core.turn(self.now)
    }

    fn take(&mut self, shards: &[u32]) -> Result<QueryId, Refusal> {
        self.take_parts(
            shards
                .iter()
                .map(|&s| (Shard(s), 1.0 / shards.len() as f64))
                .collect(),
        )
    }

    fn take_parts(&mut self, parts: Vec<(Shard, f64)>) -> Result<QueryId, Refusal> {
        self.core.submit(self.now, request(self.now, parts))
    }

    fn end(&mut self, attempt: u64, outcome: Outcome, score: f64) {
        let value = (outcome == Outcome::Ok).then(|| Value {
            score,
            bytes: vec![attempt as u8],
            sorted: None,
        });
        self.core
            .on_attempt_ended(self.now, attempt, outcome, value);
    }
}

fn request(now: Time, parts: Vec<(Shard, f64)>) -> Request<&'static str> {
    Request {
        class: 0,
        deadline: now.plus(2_000 * MS),
        key: 0,
        placement: Placement::default(),
        is_retry: false,
        tenant: u32::MAX,
        team: None,
        parts,
        top: None,
        job: "job",
    }
}

#[test]
fn shared_prefix_precedes_its_parts() {
    let mut harness = Harness::new(0);
    for (prefix, expected) in [(0, 0), (9, 1)] {
        let placement = Placement {
            prefix,
            ..Placement::default()
        };
        harness.turn();
        let request = Request {
            placement,
            ..request(harness.now, vec![(Shard(0), 1.0)])
        };
        harness.core.submit(harness.now, request).unwrap();
        let position =
            |wanted: fn(&Event) -> bool| harness.core.pending_events.iter().position(wanted);
        let prefixes = position(|event| {
            matches!(
                event,
                Event::Placement {
                    placement: Placement { prefix: 9, .. },
                    ..
                }
            )
        });
        assert_eq!(
            prefixes.is_some(),
            expected == 1,
            "{:?}",
            harness.core.pending_events
        );
        assert!(prefixes
            .is_none_or(|at| Some(at) < position(|event| matches!(event, Event::Part { .. }))));
    }
}

fn sends(commands: &[Command<&'static str>]) -> Vec<Dispatch<&'static str>> {
    let calls = commands.iter().filter_map(|c| match c {
        Command::Send(_, parts) => Some(parts.clone()),
        _ => None,
    });
    calls.flatten().collect()
}

fn replies(commands: &[Command<&'static str>]) -> Vec<Reply> {
    let reply = |c: &Command<_>| match c {
        Command::Reply(_, reply) => Some(reply.clone()),
        _ => None,
    };
    commands.iter().filter_map(reply).collect()
}

#[test]
fn sends_of_a_turn_to_one_server_share_calls_up_to_the_limit() {
    let mut harness = Harness::new(0);
    harness.take(&[0, 1, 2, 3]).unwrap();
    let commands = harness.turn();
    let calls: Vec<usize> = commands
        .iter()
        .filter_map(|c| match c {
            Command::Send(_, parts) => Some(parts.len()),
            _ => None,
        })
        .collect();
    assert_eq!(calls.iter().sum::<usize>(), 4);
    assert!(calls.iter().all(|&n| n <= 2), "{calls:?}");
    assert!(
        sends(&commands).iter().all(|d| d.timeout <= 2_000 * MS),
        "never beyond the client's deadline"
    );
}

#[test]
fn complete_answer_has_every_part_and_releases_the_query() {
    let mut harness = Harness::new(0);
    harness.take(&[0, 1]).unwrap();
    for send in sends(&harness.turn()) {
        harness.end(send.attempt, Outcome::Ok, 0.0);
        harness.end(send.attempt, Outcome::Error, 0.0); // Only the first end counts.
    }
    let answered = replies(&harness.turn());
    let [Reply::Served {
        whole: true,
        values,
        ..
    }] = &answered[..]
    else {
        panic!("{answered:?}")
    };
    assert_eq!(
        values.iter().map(|v| v.0).collect::<Vec<_>>(),
        [Shard(0), Shard(1)]
    );
    assert_eq!(
        (
            harness.core.held_entries,
            harness.core.attempts.len(),
            harness.core.attempt_ids.len()
        ),
        (0, 0, 0)
    );
    assert_eq!(harness.core.value_bytes, 0);
}

#[test]
fn query_with_invalid_parts_is_refused() {
    let mut harness = Harness::new(0);
    for parts in [
        &[][..],
        &[(0, 0.5), (0, 0.5)],
        &[(0, 0.5), (4, 0.5)],
        &[(0, 0.5), (1, 0.4)],
        &[(0, 1.0), (1, 1.0)],
        &[(0, 1.5), (1, -0.5)],
        &[(0, 1.0), (1, 0.0)],
        &[(0, f64::NAN)],
    ] {
        let parts = parts
            .iter()
            .map(|&(shard, weight)| (Shard(shard), weight))
            .collect();
        let taken = harness.take_parts(parts);
        assert!(matches!(taken, Err(Refusal::Malformed(_))), "{taken:?}");
    }
    assert!(harness.core.held_entries == 0 && harness.core.pending_events.is_empty());
    assert!(harness
        .take_parts(vec![
            (Shard(0), 0.33333),
            (Shard(1), 0.33333),
            (Shard(3), 0.33333)
        ])
        .is_ok());
}

#[test]
fn ending_core_admits_only_what_meets_its_target_in_time() {
    let mut harness = Harness::new(0);
    let latency_target = harness.core.settings().classes[0].latency_target;
    assert!(harness.core.accepts_queries(harness.now));
    let end = harness.now.plus(4_000 * MS);
    harness.core.set_end_time(end);
    harness.now = end.minus(latency_target);
    assert!(
        harness.core.accepts_queries(harness.now) && harness.take(&[0]).is_ok(),
        "its client waits longer than the end time"
    );
    assert_eq!(sends(&harness.turn()).len(), 1);
    harness.now = harness.now.plus(MS);
    assert!(!harness.core.accepts_queries(harness.now));
    assert_eq!(harness.take(&[0]), Err(Refusal::Stopping));
    // Without an answer from a server, the final answer is given by the end time.
    harness.now = end;
    assert_eq!(replies(&harness.turn()).len(), 1);
}

#[test]
fn query_beyond_the_held_limit_is_refused_before_the_module() {
    let mut harness = Harness::new(0);
    let first = harness.take(&[0, 1, 2, 3]).unwrap();
    assert!(harness.core.held_entries == 5 && harness.take(&[0]).is_ok());
    assert_eq!(harness.take(&[0]), Err(Refusal::Busy(Some(1_000 * MS))));
    harness.core.hangup(first);
    assert!(harness.take(&[0]).is_ok());
}

#[test]
fn second_step_queries_the_best_scores_and_carries_the_first_step() {
    let mut harness = Harness::new(2);
    harness.take(&[0, 1, 2]).unwrap();
    let mut expected = Vec::new();
    for send in sends(&harness.turn()) {
        let score = f64::from(10 - send.shard.0);
        expected.push(send.shard);
        harness.end(send.attempt, Outcome::Ok, score);
    }
    assert!(
        replies(&harness.turn()).is_empty(),
        "the first step gives the client no answer"
    );
    let second = sends(&harness.turn());
    let mut shards: Vec<u32> = second.iter().map(|d| d.shard.0).collect();
    shards.sort_unstable();
    assert_eq!(shards, [0, 1], "the two best scores");
    for send in &second {
        let first = send.first.as_ref().unwrap();
        let mut first_shards = first.shards.clone();
        first_shards.sort();
        assert_eq!(
            (first_shards, first.whole),
            (vec![Shard(0), Shard(1), Shard(2)], true)
        );
        harness.end(send.attempt, Outcome::Ok, 0.0);
    }
    let answered = replies(&harness.turn());
    let [Reply::Served {
        whole: true,
        values,
        ..
    }] = &answered[..]
    else {
        panic!("{answered:?}")
    };
    assert_eq!(values.len(), 2, "the values of the second step alone");
}

#[test]
fn completeness_is_computed_from_the_parts_present() {
    let mut harness = Harness::new(0);
    let query = harness.take(&[0, 1]).unwrap();
    let send = &sends(&harness.turn())[0];
    harness.end(send.attempt, Outcome::Ok, 0.0);
    let mut commands = Vec::new();
    // The module never does this; the test covers the core's own check.
    harness.core.answer(Time(1), query, true, &mut commands);
    let answered = replies(&commands);
    assert!(
        matches!(&answered[..], [Reply::Served { whole: false, values, .. }] if values.len() == 1)
    );
    let query = harness.take(&[0, 1]).unwrap();
    harness.turn();
    let mut commands = Vec::new();
    harness.core.answer(Time(1), query, true, &mut commands);
    assert_eq!(
        replies(&commands),
        [Reply::Failed],
        "an answer below the floor fails"
    );
}

#[test]
fn query_left_open_by_the_module_fails_at_its_deadline() {
    let mut harness = Harness::new(0);
    harness.take(&[0]).unwrap();
    harness.turn();
    assert!(harness.core.next_turn().unwrap() <= harness.now.plus(2_000 * MS));
    let mut commands = Vec::new();
    harness
        .core
        .end_overdue(harness.now.plus(2_000 * MS), &mut commands);
    assert_eq!(replies(&commands), [Reply::Failed]);
    assert_eq!(harness.core.held_entries, 0);
}

#[test]
fn hangup_cancels_attempts_and_sends_no_answer() {
    let mut harness = Harness::new(0);
    let query = harness.take(&[0]).unwrap();
    let send = &sends(&harness.turn())[0];
    harness.core.hangup(query);
    let commands = harness.turn();
    assert!(commands
        .iter()
        .any(|c| matches!(c, Command::Cancel(a) if *a == send.attempt)));
    assert!(replies(&commands).is_empty());
}

#[test]
fn ended_query_recalls_its_attempts_and_leaves_no_state() {
    let mut set = settings(0);
    set.limits.may_cancel = false;
    let mut harness = Harness::with(set);
    let query = harness.take(&[0, 1]).unwrap();
    let mut sent: Vec<u64> = sends(&harness.turn()).iter().map(|s| s.attempt).collect();
    harness.core.hangup(query);
    let mut recalled = harness.core.take_recalls();
    sent.sort_unstable();
    recalled.sort_unstable();
    assert!(
        sent.len() == 2 && recalled == sent,
        "{sent:?}, {recalled:?}"
    );
    recalled
        .iter()
        .for_each(|a| harness.end(*a, Outcome::NeverSent, 0.0));
    let commands = harness.turn();
    assert!(
        commands
            .iter()
            .all(|c| !matches!(c, Command::Cancel(_) | Command::Recall(_))),
        "{commands:?}"
    );
    assert!(
        harness.core.attempts.is_empty()
            && harness.core.attempt_ids.is_empty()
            && harness.core.parts_in_flight.is_empty()
    );
    assert_eq!(
        (harness.core.held_entries, harness.core.value_bytes),
        (0, 0)
    );
}

#[test]
fn given_up_query_is_refused_in_the_same_turn_with_advice() {
    let mut harness = Harness::new(0);
    harness.take(&[0]).unwrap();
    for _ in 0..4 {
        // After two failures every replica has failed, and the module pauses before more retries.
        harness.now = harness.now.plus(100_000);
        for send in sends(&harness.turn()) {
            harness.end(send.attempt, Outcome::Error, 0.0);
        }
    }
    let commands = harness.turn();
    assert!(
        matches!(&replies(&commands)[..], [Reply::Refused(Some(after))] if *after > 0),
        "{commands:?}"
    );
}

#[test]
fn value_beyond_the_memory_limit_counts_as_an_error() {
    let mut harness = Harness::new(0);
    let query = harness.take(&[0, 1]).unwrap();
    let send = sends(&harness.turn());
    let large = |bytes: usize| {
        Some(Value {
            score: 0.0,
            bytes: vec![0; bytes],
            sorted: None,
        })
    };
    harness
        .core
        .on_attempt_ended(harness.now, send[0].attempt, Outcome::Ok, large(MEMORY / 4));
    harness
        .core
        .on_attempt_ended(harness.now, send[1].attempt, Outcome::Ok, large(1));
    assert!(
        replies(&harness.turn()).is_empty(),
        "the second part has to be requested again"
    );
    harness.core.hangup(query);
    assert_eq!(harness.core.value_bytes, 0);
}

#[test]
fn attempt_sent_and_cancelled_in_one_turn_is_never_sent() {
    let mut harness = Harness::new(0);
    let query = harness.take(&[0]).unwrap();
    let part = harness.core.queries[&query].parts[0].id;
    let send = Action::Send {
        part,
        server: ServerId(0),
        timeout: 1_000 * MS,
    };
    let mut commands = Vec::new();
    harness.core.execute_actions(
        harness.now,
        vec![send, Action::Cancel { part, attempt: 0 }],
        &mut commands,
    );
    assert!(commands.is_empty(), "{commands:?}");
    assert!(harness.core.attempts.is_empty(), "its outcome is recorded");
}

#[test]
fn unsent_attempts_do_not_count_to_the_limit() {
    let mut harness = Harness::new(0);
    harness.take(&[0]).unwrap();
    let mut made = 0;
    for round in 0..12 {
        harness.now = harness.now.plus(100_000);
        for send in sends(&harness.turn()) {
            let left = round % 3 == 2;
            made += usize::from(left);
            harness.end(
                send.attempt,
                if left {
                    Outcome::Error
                } else {
                    Outcome::NeverSent
                },
                0.0,
            );
        }
    }
    assert_eq!(made, 4, "eight attempts that were never sent do not count");
    assert!(matches!(&replies(&harness.turn())[..], [Reply::Refused(_)]));
}

/// Clients round weights to six places: the weights of 87 equal parts sum to 0.99998, those of 200
/// unequal ones may be off by 0.0001.
#[test]
fn wide_query_with_rounded_weights_is_answered_completely() {
    for (parts, weight, floor) in [
        (87, 0.011_494, 0.8),
        (87, 0.011_494, 1.0),
        (96, 0.010_417, 0.8),
        (200, 0.005, 0.8),
    ] {
        let mut set = settings(0);
        set.layout = Layout {
            shards: parts,
            parts_a_call: 8,
            ..set.layout
        };
        set.limits.max_held = 1_000;
        set.classes[0].floor = floor;
        let mut harness = Harness::with(set);
        harness
            .take_parts((0..parts).map(|s| (Shard(s), weight)).collect())
            .unwrap();
        let sent = sends(&harness.turn());
        assert_eq!(
            sent.len(),
            parts as usize,
            "no part is dropped for a sum of {}",
            f64::from(parts) * weight
        );
        for send in &sent[1..] {
            harness.end(send.attempt, Outcome::Ok, 0.0);
        }
        assert!(
            replies(&harness.turn()).is_empty(),
            "{parts} parts: the last one can still come"
        );
        harness.end(sent[0].attempt, Outcome::Ok, 0.0);
        let answered = replies(&harness.turn());
        assert!(
            matches!(&answered[..], [Reply::Served { whole: true, .. }]),
            "{parts} parts: {answered:?}"
        );
    }
}

#[test]
fn keyed_repeat_may_leave_until_the_first_attempts_window_ends() {
    let mut set = settings(0);
    set.classes[0].retry_safety = RetrySafety::Keyed(500 * MS);
    let mut harness = Harness::with(set);
    harness.take(&[0]).unwrap();
    let first = sends(&harness.turn()).remove(0);
    assert_eq!(first.send_by, None, "nothing has run yet");
    // The attempt never ran, so the next one counts as the first.
    harness.end(first.attempt, Outcome::ConnectFailed, 0.0);
    let second = sends(&harness.turn()).remove(0);
    let sent = harness.now;
    assert_eq!(second.send_by, None);
    harness.now = harness.now.plus(50 * MS);
    harness.end(second.attempt, Outcome::Error, 0.0);
    let third = sends(&harness.turn()).remove(0);
    assert_eq!(third.send_by, Some(sent.plus(500 * MS)));
    // An attempt that was never sent does not change the window.
    harness.end(third.attempt, Outcome::NeverSent, 0.0);
    let fourth = sends(&harness.turn()).remove(0);
    assert_eq!(fourth.send_by, Some(sent.plus(500 * MS)));
}

#[test]
fn added_class_has_its_own_attempt_limit_and_counters() {
    let mut harness = Harness::new(0);
    let kept = harness.take(&[0]).unwrap();
    let (class, mut more) = (
        harness.core.settings().classes[0].clone(),
        harness.core.settings().classes.clone(),
    );
    more.push(Class {
        attempts: Some(1),
        ..class
    });
    harness.core.set_classes(more);
    let deadline = harness.now.plus(2_000 * MS);
    let (parts, tenant, job) = (vec![(Shard(1), 1.0)], u32::MAX, "second");
    let request = Request {
        class: 1,
        deadline,
        key: 0,
        placement: Placement::default(),
        is_retry: false,
        tenant,
        team: None,
        parts,
        top: None,
        job,
    };
    let unknown = harness.core.submit(
        harness.now,
        Request {
            class: 2,
            ..request.clone()
        },
    );
    assert!(matches!(unknown, Err(Refusal::Malformed(_))), "{unknown:?}");
    let second = harness.core.submit(harness.now, request).unwrap();
    let first = sends(&harness.turn());
    assert_eq!(first.len(), 2, "one part each: {first:?}");
    for send in first {
        harness.end(send.attempt, Outcome::Error, 0.0);
    }
    let commands = harness.turn();
    let refused = commands
        .iter()
        .any(|c| matches!(c, Command::Reply(id, Reply::Refused(_)) if *id == second));
    assert!(refused, "its class has one attempt: {commands:?}");
    let again = sends(&commands).len();
    assert!(
        again == 1 && harness.core.held_queries() == 1,
        "{kept:?} is sent again: {commands:?}"
    );
    assert_eq!(
        harness
            .core
            .take_counters()
            .iter()
            .map(|t| t.refused)
            .collect::<Vec<_>>(),
        [0, 1]
    );
}

#[test]
fn new_budget_applies_at_run_time() {
    let mut harness = Harness::new(0);
    let none = Budget {
        window: 1_000 * MS,
        min_retries: 0.0,
        share: 0.0,
    };
    harness.core.set_budget(Some(none));
    assert_eq!(harness.core.settings().limits.budget, Some(none));
    for allowed in [false, true] {
        harness.core.set_budget((!allowed).then_some(none));
        let query = harness.take(&[0]).unwrap();
        let attempt = sends(&harness.turn())[0].attempt;
        harness.end(attempt, Outcome::Error, 0.0);
        assert_eq!(sends(&harness.turn()).len(), usize::from(allowed));
        harness.core.hangup(query);
        harness.turn();
    }
}

#[test]
fn running_streams_at_a_server_direct_queries_elsewhere() {
    let mut harness = Harness::new(0);
    for busy in [0, 1, 0] {
        harness.core.set_load(
            ServerId(busy),
            Load {
                streams: 5,
                backlog: 0,
            },
        );
        harness.core.set_load(ServerId(1 - busy), Load::default());
        let query = harness.take(&[0]).unwrap();
        let commands = harness.turn();
        let at: Vec<ServerId> = commands
            .iter()
            .filter_map(|c| {
                if let Command::Send(s, _) = c {
                    Some(*s)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(at, [ServerId(1 - busy)]);
        harness.end(sends(&commands)[0].attempt, Outcome::Ok, 0.0);
        harness.turn();
        harness.core.hangup(query);
    }
}
