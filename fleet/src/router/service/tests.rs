use super::*;
use lichenswitch_interface::ServerMode;
use std::sync::Arc;
use std::time::Duration;

const SECOND: Micros = 1_000_000;

struct Stage {
    service: Service,
    now: Time,
    next: u64,
}

impl Stage {
    /// Two servers with so many slots, before this many routers.
    fn new(slots: Option<u32>, routers: u32) -> Stage {
        let line = |id| ListedServer {
            server: ServerId(id),
            cell: id,
            zone: 0,
            mode: ServerMode::Ready,
            started_at: None,
        };
        let capacity = Capacity {
            max_requests: 100,
            max_bytes: 1 << 20,
            max_descriptors: 100,
        };
        let budget = RetryBudget {
            ratio: 0.2,
            slack: 100.0,
            window: Duration::from_secs(10),
        };
        let mut service = Service::new(Rc::from("s"), 1, capacity, budget, vec![line(1), line(2)]);
        service.set_routes(vec![terms()]);
        service.set_router_count(budget, routers);
        service.set_capacity(None, slots, routers);
        Stage {
            service,
            now: Time(SECOND),
            next: 0,
        }
    }

    /// Where a request with a shared beginning is sent, which is answered by a stream that runs on.
    fn stream(&mut self) -> ServerId {
        self.next += 1;
        let request = RequestId(self.next);
        let prompt = Prompt {
            prefix_hash: 77,
            ..Prompt::default()
        };
        let route_request = RouteRequest {
            request_id: request,
            terms: &terms(),
            prompt,
            deadline: self.now.plus(SECOND),
        };
        self.service
            .submit(self.now, &route_request)
            .expect("there is room");
        self.now = self.now.plus(SECOND / 100);
        let sent = self
            .service
            .run_turn(self.now)
            .into_iter()
            .find_map(|command| match command {
                Command::Send(server, parts) => Some((server, parts[0].attempt)),
                _ => None,
            });
        let (server, attempt) = sent.expect("it is sent");
        self.service
            .on_attempt_ended(self.now, attempt, Outcome::Ok);
        self.service.on_stream_started(server);
        server
    }
}

fn terms() -> RouteTerms {
    RouteTerms {
        route: Arc::from("r"),
        is_idempotent: true,
        is_streaming: true,
        is_resumable: true,
        timeout: SECOND,
        target_latency: SECOND,
        rank: 0,
        max_attempts: 2,
    }
}

/// How many of the streams stay at the server of the first.
fn streams_together(slots: Option<u32>, routers: u32) -> usize {
    let mut stage = Stage::new(slots, routers);
    let first = stage.stream();
    1 + (0..40).take_while(|_| stage.stream() == first).count()
}

#[test]
fn streams_of_one_prefix_stay_together_up_to_slot_share() {
    assert_eq!(streams_together(Some(64), 8), 8);
    assert_eq!(streams_together(Some(64), 4), 16);
    // Shares of less than two slots, or none that is told: each stream weighs as much as a request
    // that waits.
    for (slots, routers) in [(Some(64), 72), (Some(1), 1), (None, 1)] {
        assert_eq!(
            streams_together(slots, routers),
            1,
            "{slots:?} slots, {routers} routers"
        );
    }
}

#[test]
fn ended_stream_has_no_weight() {
    let mut stage = Stage::new(None, 1);
    let first = stage.stream();
    stage.service.on_stream_ended(first);
    assert_eq!(stage.stream(), first);
}

#[test]
fn streams_weigh_little_while_most_slots_are_free() {
    let mut stage = Stage::new(Some(64), 72);
    let load_of = |running| {
        Some(ServerLoad {
            running,
            waiting: 0,
            slots: 100,
        })
    };
    stage.service.on_server_load(load_of(10));
    assert_eq!(stage.service.share.streams_per_request(), 10);
    // What a single server tells moves it a little.
    stage.service.on_server_load(load_of(100));
    assert_eq!(stage.service.share.streams_per_request(), 5);
    (0..200).for_each(|_| stage.service.on_server_load(load_of(100)));
    assert_eq!(stage.service.share.streams_per_request(), 1);
    (0..200).for_each(|_| stage.service.on_server_load(load_of(0)));
    assert_eq!(
        stage.service.share.streams_per_request(),
        20,
        "a router with many streams at one server still sees them"
    );
    stage.service.on_server_load(None);
    assert_eq!(stage.service.share.streams_per_request(), 20);
}

fn prompt(shared_tokens: u32) -> Prompt {
    Prompt {
        prefix_hash: 77,
        shared_tokens,
        ..Prompt::default()
    }
}

#[test]
fn backlog_step_grows_with_shared_tokens() {
    let stage = Stage::new(None, 1);
    let step = |shared| stage.service.placement(prompt(shared)).backlog_step;
    assert_eq!(step(0), MIN_BACKLOG_STEP_TOKENS as u32);
    assert_eq!(step(5_000), 5_000 * BACKLOG_PER_SHARED_TOKEN as u32);
    assert_eq!(step(u32::MAX), u32::MAX);
}

#[test]
fn backlog_step_is_at_least_mean_backlog() {
    let mut stage = Stage::new(None, 1);
    stage.service.set_backlog(ServerId(1), 90_000);
    stage.service.set_backlog(ServerId(2), 10_000);
    assert_eq!(stage.service.placement(prompt(0)).backlog_step, 50_000);
    stage.service.set_backlog(ServerId(1), 10_000);
    assert_eq!(stage.service.placement(prompt(0)).backlog_step, 10_000);
    stage.service.forget_backlogs();
    assert_eq!(
        stage.service.placement(prompt(0)).backlog_step,
        MIN_BACKLOG_STEP_TOKENS as u32
    );
    assert_eq!(stage.service.total_backlog, 0);
    assert!(
        stage.service.loads.is_empty(),
        "nothing is held of servers that nothing loads"
    );
}

#[test]
fn request_goes_to_server_with_less_backlog() {
    let mut stage = Stage::new(None, 1);
    let first = stage.stream();
    stage.service.on_stream_ended(first);
    stage.service.set_backlog(first, 1_000_000);
    let second = stage.stream();
    assert_ne!(second, first);
    stage.service.on_stream_ended(second);
    stage.service.forget_backlogs();
    assert_eq!(stage.stream(), first);
}
