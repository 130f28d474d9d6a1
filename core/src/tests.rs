//! Tests of the books: what the module asks for is carried out, and the rules hold whatever it
//! asks.

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

/// A core with two servers that hold every shard, and its clock.
struct Stage {
    core: Core<&'static str>,
    now: Time,
}

impl Stage {
    fn new(second_step: u32) -> Stage {
        Stage::with(settings(second_step))
    }

    fn with(settings: Settings) -> Stage {
        let mut core = Core::new(7, settings, Contracts::default(), MEMORY);
        let line = |id| ListedServer {
            server: ServerId(id),
            cell: id,
            zone: 0,
            mode: ServerMode::Ready,
            started_at: None,
        };
        core.on_server_list(ServerListUpdate::Complete(vec![line(0), line(1)]));
        let mut stage = Stage {
            core,
            now: Time(1_000_000 * MS),
        };
        stage.turn();
        stage
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
    let mut stage = Stage::new(0);
    for (prefix, bound) in [(0, 0), (9, 1)] {
        let placement = Placement {
            prefix,
            ..Placement::default()
        };
        stage.turn();
        let request = Request {
            placement,
            ..request(stage.now, vec![(Shard(0), 1.0)])
        };
        stage.core.submit(stage.now, request).unwrap();
        let position = |wanted: fn(&Event) -> bool| stage.core.inbox.iter().position(wanted);
        let prefixes = position(|event| {
            matches!(
                event,
                Event::Placement {
                    placement: Placement { prefix: 9, .. },
                    ..
                }
            )
        });
        assert_eq!(prefixes.is_some(), bound == 1, "{:?}", stage.core.inbox);
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
    let mut stage = Stage::new(0);
    stage.take(&[0, 1, 2, 3]).unwrap();
    let commands = stage.turn();
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
        "never beyond the client's time"
    );
}

#[test]
fn complete_answer_has_every_part_and_releases_the_query() {
    let mut stage = Stage::new(0);
    stage.take(&[0, 1]).unwrap();
    for send in sends(&stage.turn()) {
        stage.end(send.attempt, Outcome::Ok, 0.0);
        stage.end(send.attempt, Outcome::Error, 0.0); // Only the first end counts.
    }
    let answered = replies(&stage.turn());
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
            stage.core.held_entries,
            stage.core.attempts.len(),
            stage.core.in_flight.len()
        ),
        (0, 0, 0)
    );
    assert_eq!(stage.core.bytes, 0);
}

#[test]
fn a_query_whose_parts_make_no_sense_is_never_taken() {
    let mut stage = Stage::new(0);
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
        let taken = stage.take_parts(parts);
        assert!(matches!(taken, Err(Refusal::Malformed(_))), "{taken:?}");
    }
    assert!(stage.core.held_entries == 0 && stage.core.inbox.is_empty());
    assert!(stage
        .take_parts(vec![
            (Shard(0), 0.33333),
            (Shard(1), 0.33333),
            (Shard(3), 0.33333)
        ])
        .is_ok());
}

#[test]
fn ending_core_admits_only_what_meets_its_target_in_time() {
    let mut stage = Stage::new(0);
    let latency_target = stage.core.settings().classes[0].latency_target;
    assert!(stage.core.accepts_queries(stage.now));
    let end = stage.now.plus(4_000 * MS);
    stage.core.set_end_time(end);
    stage.now = end.minus(latency_target);
    assert!(
        stage.core.accepts_queries(stage.now) && stage.take(&[0]).is_ok(),
        "its client waits for longer"
    );
    assert_eq!(sends(&stage.turn()).len(), 1);
    stage.now = stage.now.plus(MS);
    assert!(!stage.core.accepts_queries(stage.now));
    assert_eq!(stage.take(&[0]), Err(Refusal::Stopping));
    // Nobody answers: the final answer is there by the end all the same.
    stage.now = end;
    assert_eq!(replies(&stage.turn()).len(), 1);
}

#[test]
fn with_too_much_held_a_query_is_turned_away_before_the_module() {
    let mut stage = Stage::new(0);
    let first = stage.take(&[0, 1, 2, 3]).unwrap();
    assert!(stage.core.held_entries == 5 && stage.take(&[0]).is_ok());
    assert_eq!(stage.take(&[0]), Err(Refusal::Busy(Some(1_000 * MS))));
    stage.core.hangup(first);
    assert!(stage.take(&[0]).is_ok());
}

#[test]
fn second_step_asks_the_best_scores_and_names_the_first() {
    let mut stage = Stage::new(2);
    stage.take(&[0, 1, 2]).unwrap();
    let mut expected = Vec::new();
    for send in sends(&stage.turn()) {
        let score = f64::from(10 - send.shard.0);
        expected.push(send.shard);
        stage.end(send.attempt, Outcome::Ok, score);
    }
    assert!(
        replies(&stage.turn()).is_empty(),
        "the first step is no answer"
    );
    let is_second_step = sends(&stage.turn());
    let mut shards: Vec<u32> = is_second_step.iter().map(|d| d.shard.0).collect();
    shards.sort_unstable();
    assert_eq!(shards, [0, 1], "the two best scores");
    for send in &is_second_step {
        let first = send.first.as_ref().unwrap();
        let mut were_in = first.shards.clone();
        were_in.sort();
        assert_eq!(
            (were_in, first.whole),
            (vec![Shard(0), Shard(1), Shard(2)], true)
        );
        stage.end(send.attempt, Outcome::Ok, 0.0);
    }
    let answered = replies(&stage.turn());
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
fn completeness_is_judged_by_the_parts_present() {
    let mut stage = Stage::new(0);
    let query = stage.take(&[0, 1]).unwrap();
    let send = &sends(&stage.turn())[0];
    stage.end(send.attempt, Outcome::Ok, 0.0);
    let mut commands = Vec::new();
    // The module never does this: the guard is what is tested.
    stage.core.answer(Time(1), query, true, &mut commands);
    let answered = replies(&commands);
    assert!(
        matches!(&answered[..], [Reply::Served { whole: false, values, .. }] if values.len() == 1)
    );
    let query = stage.take(&[0, 1]).unwrap();
    stage.turn();
    let mut commands = Vec::new();
    stage.core.answer(Time(1), query, true, &mut commands);
    assert_eq!(
        replies(&commands),
        [Reply::Failed],
        "nothing from less than the floor"
    );
}

#[test]
fn a_query_that_the_module_left_open_is_failed_at_its_deadline() {
    let mut stage = Stage::new(0);
    stage.take(&[0]).unwrap();
    stage.turn();
    assert!(stage.core.next_turn().unwrap() <= stage.now.plus(2_000 * MS));
    let mut commands = Vec::new();
    stage
        .core
        .end_overdue(stage.now.plus(2_000 * MS), &mut commands);
    assert_eq!(replies(&commands), [Reply::Failed]);
    assert_eq!(stage.core.held_entries, 0);
}

#[test]
fn hangup_cancels_attempts_and_sends_no_answer() {
    let mut stage = Stage::new(0);
    let query = stage.take(&[0]).unwrap();
    let send = &sends(&stage.turn())[0];
    stage.core.hangup(query);
    let commands = stage.turn();
    assert!(commands
        .iter()
        .any(|c| matches!(c, Command::Cancel(a) if *a == send.attempt)));
    assert!(replies(&commands).is_empty());
}

#[test]
fn ended_query_recalls_its_attempts_and_leaves_no_state() {
    let mut set = settings(0);
    set.limits.may_cancel = false;
    let mut stage = Stage::with(set);
    let query = stage.take(&[0, 1]).unwrap();
    let mut sent: Vec<u64> = sends(&stage.turn()).iter().map(|s| s.attempt).collect();
    stage.core.hangup(query);
    let mut recalled = stage.core.take_recalls();
    sent.sort_unstable();
    recalled.sort_unstable();
    assert!(
        sent.len() == 2 && recalled == sent,
        "{sent:?}, {recalled:?}"
    );
    recalled
        .iter()
        .for_each(|a| stage.end(*a, Outcome::NeverSent, 0.0));
    let commands = stage.turn();
    assert!(
        commands
            .iter()
            .all(|c| !matches!(c, Command::Cancel(_) | Command::Recall(_))),
        "{commands:?}"
    );
    assert!(
        stage.core.attempts.is_empty()
            && stage.core.in_flight.is_empty()
            && stage.core.load.is_empty()
    );
    assert_eq!((stage.core.held_entries, stage.core.bytes), (0, 0));
}

#[test]
fn a_query_that_is_given_up_is_answered_in_the_same_turn_with_advice() {
    let mut stage = Stage::new(0);
    stage.take(&[0]).unwrap();
    for _ in 0..4 {
        // All holders have failed after two: the module rests before it tries them again.
        stage.now = stage.now.plus(100_000);
        for send in sends(&stage.turn()) {
            stage.end(send.attempt, Outcome::Error, 0.0);
        }
    }
    let commands = stage.turn();
    assert!(
        matches!(&replies(&commands)[..], [Reply::Refused(Some(after))] if *after > 0),
        "{commands:?}"
    );
}

#[test]
fn values_beyond_the_memory_that_is_set_aside_for_them_are_none() {
    let mut stage = Stage::new(0);
    let query = stage.take(&[0, 1]).unwrap();
    let send = sends(&stage.turn());
    let large = |bytes: usize| {
        Some(Value {
            score: 0.0,
            bytes: vec![0; bytes],
            sorted: None,
        })
    };
    stage
        .core
        .on_attempt_ended(stage.now, send[0].attempt, Outcome::Ok, large(MEMORY / 4));
    stage
        .core
        .on_attempt_ended(stage.now, send[1].attempt, Outcome::Ok, large(1));
    assert!(
        replies(&stage.turn()).is_empty(),
        "the second part has to be asked for again"
    );
    stage.core.hangup(query);
    assert_eq!(stage.core.bytes, 0);
}

#[test]
fn what_is_sent_and_cancelled_in_one_turn_stays_at_home() {
    let mut stage = Stage::new(0);
    let query = stage.take(&[0]).unwrap();
    let part = stage.core.queries[&query].parts[0].id;
    let send = Action::Send {
        part,
        server: ServerId(0),
        timeout: 1_000 * MS,
    };
    let mut commands = Vec::new();
    stage.core.execute_actions(
        stage.now,
        vec![send, Action::Cancel { part, attempt: 0 }],
        &mut commands,
    );
    assert!(commands.is_empty(), "{commands:?}");
    assert!(stage.core.attempts.is_empty(), "its outcome is settled");
}

#[test]
fn attempts_that_never_left_do_not_count_to_the_limit() {
    let mut stage = Stage::new(0);
    stage.take(&[0]).unwrap();
    let mut made = 0;
    for round in 0..12 {
        stage.now = stage.now.plus(100_000);
        for send in sends(&stage.turn()) {
            let left = round % 3 == 2;
            made += usize::from(left);
            stage.end(
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
    assert_eq!(made, 4, "eight that never left took none of their places");
    assert!(matches!(&replies(&stage.turn())[..], [Reply::Refused(_)]));
}

/// Clients tell weights to six places: of 87 equal parts the sum is 0.99998, of 200 unequal ones it
/// may be 0.0001 off.
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
        let mut stage = Stage::with(set);
        stage
            .take_parts((0..parts).map(|s| (Shard(s), weight)).collect())
            .unwrap();
        let sent = sends(&stage.turn());
        assert_eq!(
            sent.len(),
            parts as usize,
            "none is given up for a sum of {}",
            f64::from(parts) * weight
        );
        for send in &sent[1..] {
            stage.end(send.attempt, Outcome::Ok, 0.0);
        }
        assert!(
            replies(&stage.turn()).is_empty(),
            "{parts} parts: the last one can still come"
        );
        stage.end(sent[0].attempt, Outcome::Ok, 0.0);
        let bound = replies(&stage.turn());
        assert!(
            matches!(&bound[..], [Reply::Served { whole: true, .. }]),
            "{parts} parts: {bound:?}"
        );
    }
}

#[test]
fn keyed_repeat_may_leave_until_the_first_attempts_window_ends() {
    let mut set = settings(0);
    set.classes[0].retry_safety = RetrySafety::Keyed(500 * MS);
    let mut stage = Stage::with(set);
    stage.take(&[0]).unwrap();
    let first = sends(&stage.turn()).remove(0);
    assert_eq!(first.send_by, None, "nothing has run yet");
    // It never ran: the next one is as good as the first.
    stage.end(first.attempt, Outcome::ConnectFailed, 0.0);
    let is_second_step = sends(&stage.turn()).remove(0);
    let sent = stage.now;
    assert_eq!(is_second_step.send_by, None);
    stage.now = stage.now.plus(50 * MS);
    stage.end(is_second_step.attempt, Outcome::Error, 0.0);
    let third = sends(&stage.turn()).remove(0);
    assert_eq!(third.send_by, Some(sent.plus(500 * MS)));
    // One that did not leave moves nothing.
    stage.end(third.attempt, Outcome::NeverSent, 0.0);
    let fourth = sends(&stage.turn()).remove(0);
    assert_eq!(fourth.send_by, Some(sent.plus(500 * MS)));
}

#[test]
fn classes_come_while_it_runs_with_attempts_and_figures_of_their_own() {
    let mut stage = Stage::new(0);
    let kept = stage.take(&[0]).unwrap();
    let (class, mut more) = (
        stage.core.settings().classes[0].clone(),
        stage.core.settings().classes.clone(),
    );
    more.push(Class {
        attempts: Some(1),
        ..class
    });
    stage.core.set_classes(more);
    let deadline = stage.now.plus(2_000 * MS);
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
    let unknown = stage.core.submit(
        stage.now,
        Request {
            class: 2,
            ..request.clone()
        },
    );
    assert!(matches!(unknown, Err(Refusal::Malformed(_))), "{unknown:?}");
    let is_second_step = stage.core.submit(stage.now, request).unwrap();
    let first = sends(&stage.turn());
    assert_eq!(first.len(), 2, "one part each: {first:?}");
    for send in first {
        stage.end(send.attempt, Outcome::Error, 0.0);
    }
    let commands = stage.turn();
    let refused = commands
        .iter()
        .any(|c| matches!(c, Command::Reply(id, Reply::Refused(_)) if *id == is_second_step));
    assert!(refused, "its class has one attempt: {commands:?}");
    let again = sends(&commands).len();
    assert!(
        again == 1 && stage.core.held_queries() == 1,
        "{kept:?} is sent again: {commands:?}"
    );
    assert_eq!(
        stage
            .core
            .take_counters()
            .iter()
            .map(|t| t.refused)
            .collect::<Vec<_>>(),
        [0, 1]
    );
}

#[test]
fn the_budget_is_replaced_while_it_runs() {
    let mut stage = Stage::new(0);
    let none = Budget {
        window: 1_000 * MS,
        min_retries: 0.0,
        share: 0.0,
    };
    stage.core.set_budget(Some(none));
    assert_eq!(stage.core.settings().limits.budget, Some(none));
    for allowed in [false, true] {
        stage.core.set_budget((!allowed).then_some(none));
        let query = stage.take(&[0]).unwrap();
        let attempt = sends(&stage.turn())[0].attempt;
        stage.end(attempt, Outcome::Error, 0.0);
        assert_eq!(sends(&stage.turn()).len(), usize::from(allowed));
        stage.core.hangup(query);
        stage.turn();
    }
}

#[test]
fn streams_that_run_on_at_a_server_send_others_elsewhere() {
    let mut stage = Stage::new(0);
    for busy in [0, 1, 0] {
        stage.core.set_load(
            ServerId(busy),
            Load {
                streams: 5,
                backlog: 0,
            },
        );
        stage.core.set_load(ServerId(1 - busy), Load::default());
        let query = stage.take(&[0]).unwrap();
        let commands = stage.turn();
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
        stage.end(sends(&commands)[0].attempt, Outcome::Ok, 0.0);
        stage.turn();
        stage.core.hangup(query);
    }
}
