//! The judge on journals with planted violations, and on journals that only look like violations.

use assert_matches::assert_matches;
use lichenswitch_emulators::fleet_processes::Role;
use lichenswitch_emulators::model_server::heartbeat::ServerReport;
use lichenswitch_emulators::model_server::{Entry, Event, Fault};
use lichenswitch_emulators::operator::{Fault as OperatorFault, Order, Outcome, Verb};
use lichenswitch_emulators::stream_client::message::Head;
use lichenswitch_emulators::stream_client::StreamFault;
use lichenswitch_soak::bounds::{CONFIG_APPLY, DRAIN_TIMEOUT, GRACE};
use lichenswitch_soak::journal::{
    ClientRequest, FaultKind, InjectedFault, Journal, OrderRecord, ProcessFault, ReadRecord,
    RequestEnd, ServerRecord,
};
use lichenswitch_soak::judge::judge;
use lichenswitch_soak::violation::{PlannedWork, Violation};
use std::time::Duration;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A request of router 1 that its client saw end so.
fn request(sent: u64, ended: u64, end: RequestEnd) -> ClientRequest {
    ClientRequest {
        attempt: "a1".into(),
        machine: 1,
        idempotent: false,
        tenant: None,
        turn: 1,
        sent: ms(sent),
        ended: ms(ended),
        time_limit: ms(9_000),
        end,
        faults: Vec::new(),
        route_acknowledged_at: None,
    }
}

fn fault(kind: FaultKind, role: Role, machine: usize, from: u64, to: u64) -> InjectedFault {
    InjectedFault {
        kind,
        target: (role, machine),
        from: ms(from),
        to: ms(to),
    }
}

fn server(entries: &[(u64, Event)]) -> ServerRecord {
    let entry = |(at, event): &(u64, Event)| Entry {
        at: ms(*at),
        attempt: "a1".into(),
        event: event.clone(),
    };
    let entries = entries.iter().map(entry).collect();
    ServerRecord {
        instance: "i-1".into(),
        started: Duration::ZERO,
        stopped: None,
        entries,
    }
}

/// A server that started to work on the request, and whose caller left then.
fn worked(from: u64, to: u64) -> ServerRecord {
    server(&[
        (from, Event::Arrived(Head::default())),
        (from, Event::Started),
        (to, Event::Aborted),
    ])
}

fn order(number: u64, base: u64, version: u64, sent: u64, outcomes: &[Outcome]) -> OrderRecord {
    let acknowledged = outcomes
        .contains(&Outcome::Acknowledged)
        .then(|| ms(sent + 10));
    let body = format!("{{\"version\":{version},\"number\":{number}}}");
    let order = Order {
        verb: Verb::Replace,
        base,
        body,
    };
    OrderRecord {
        order,
        number,
        version,
        sent: ms(sent),
        acknowledged,
        outcomes: outcomes.into(),
    }
}

fn read(sent: u64, version: u64, order: u64) -> ReadRecord {
    ReadRecord {
        machine: 2,
        sent: ms(sent),
        version,
        order,
    }
}

fn planned_work(journal: &Journal) -> Vec<PlannedWork> {
    let planned_work = |violation: Violation| match violation {
        Violation::RequestLost { planned_work, .. } => planned_work,
        other => panic!("{other}"),
    };
    judge(journal).into_iter().map(planned_work).collect()
}

#[test]
fn request_cut_off_early_in_the_grace_is_lost() {
    let journal = Journal {
        client_requests: vec![request(10_000, 12_000, RequestEnd::Truncated)],
        servers: vec![worked(10_010, 12_000)],
        faults: vec![fault(
            FaultKind::Terminated,
            Role::Router,
            1,
            11_000,
            13_000,
        )],
        ..Journal::default()
    };
    assert_eq!(
        planned_work(&journal),
        [PlannedWork::Termination(ms(1_000))]
    );
}

#[test]
fn work_in_the_last_sixth_of_the_grace_excuses_requests_sent_early() {
    let late = 11_000 + GRACE.as_millis() as u64 * 9 / 10;
    let terminated = fault(FaultKind::Terminated, Role::Router, 1, 11_000, 20_000);
    let mut journal = Journal {
        client_requests: vec![request(11_500, late, RequestEnd::Truncated)],
        servers: vec![worked(11_510, late)],
        faults: vec![terminated],
        ..Journal::default()
    };
    assert_eq!(planned_work(&journal), []);
    // Beside a change of the configuration the same loss counts, unless it was taken before the
    // SIGTERM.
    journal.orders = vec![order(1, 0, 1, 12_000, &[Outcome::Acknowledged])];
    assert_eq!(planned_work(&journal), [PlannedWork::Configuration]);
    journal.client_requests[0].sent = ms(11_030);
    assert_eq!(planned_work(&journal), [PlannedWork::Configuration]);
    journal.client_requests[0].sent = ms(11_010);
    assert_eq!(planned_work(&journal), []);
    // Sent later than in the first three seconds: no excuse.
    journal.client_requests[0].sent = ms(14_100);
    assert_matches!(planned_work(&journal)[..], [PlannedWork::Termination(_)]);
}

#[test]
fn unplanned_fault_within_contact_before_the_request_excuses_a_loss() {
    let mut journal = Journal {
        client_requests: vec![request(10_000, 11_000, RequestEnd::NoResponse)],
        ..Journal::default()
    };
    assert_eq!(planned_work(&journal), [PlannedWork::Nothing]);
    journal.faults = vec![fault(FaultKind::Killed, Role::Control, 3, 6_000, 7_100)];
    assert_eq!(planned_work(&journal), []);
    journal.faults = vec![fault(FaultKind::Killed, Role::Control, 3, 6_000, 6_900)];
    assert_eq!(planned_work(&journal), [PlannedWork::Nothing]);
}

#[test]
fn request_that_crosses_the_end_of_its_connection_is_not_lost() {
    let mut journal = Journal {
        client_requests: vec![request(10_000, 10_100, RequestEnd::NoResponse)],
        ..Journal::default()
    };
    assert_eq!(planned_work(&journal), []);
    journal.servers = vec![worked(10_010, 10_100)];
    assert_eq!(planned_work(&journal), [PlannedWork::Nothing]);
    journal.servers.clear();
    journal.client_requests[0].ended = ms(10_300);
    assert_eq!(planned_work(&journal), [PlannedWork::Nothing]);
}

#[test]
fn request_ended_by_its_server_or_its_deadline_is_not_lost() {
    let mut journal = Journal {
        client_requests: vec![request(10_000, 12_000, RequestEnd::Truncated)],
        servers: vec![server(&[
            (10_010, Event::Arrived(Head::default())),
            (10_010, Event::FaultApplied(Fault::TruncateAfter(2))),
            (10_010, Event::Started),
        ])],
        ..Journal::default()
    };
    assert_eq!(planned_work(&journal), []);
    // A fault after the whole answer breaks nothing off.
    journal.servers[0].entries[1].event = Event::FaultApplied(Fault::ExtraBytes);
    assert_eq!(planned_work(&journal), [PlannedWork::Nothing]);
    journal.servers[0].stopped = Some(ms(11_990));
    assert_eq!(planned_work(&journal), []);
    journal.servers = vec![worked(10_010, 12_000)];
    journal.client_requests[0].time_limit = ms(2_100);
    assert_eq!(planned_work(&journal), []);
}

#[test]
fn loss_beside_a_configuration_counts_up_to_seven_tenths_of_its_time_limit() {
    let mut journal = Journal {
        client_requests: vec![request(10_000, 16_000, RequestEnd::TimedOut)],
        orders: vec![order(1, 0, 1, 11_000, &[Outcome::Unclear])],
        ..Journal::default()
    };
    assert_eq!(planned_work(&journal), [PlannedWork::Configuration]);
    journal.client_requests[0].ended = ms(16_400);
    assert_eq!(planned_work(&journal), []);
    // An order that was refused is beside nothing.
    journal.orders = vec![order(1, 0, 1, 11_000, &[Outcome::OtherVersion])];
    assert_eq!(planned_work(&journal), [PlannedWork::Nothing]);
}

#[test]
fn loss_after_a_hang_up_counts() {
    let journal = Journal {
        client_requests: vec![request(12_900, 14_000, RequestEnd::Truncated)],
        faults: vec![fault(FaultKind::HungUp, Role::Router, 1, 11_000, 11_000)],
        ..Journal::default()
    };
    assert_eq!(planned_work(&journal), [PlannedWork::HangUp]);
}

#[test]
fn executions_and_responses_that_break_the_protocol_are_found() {
    let mut journal = Journal {
        client_requests: vec![request(10_000, 10_100, RequestEnd::Responded(503))],
        servers: vec![worked(10_010, 10_050)],
        ..Journal::default()
    };
    assert_eq!(
        judge(&journal),
        [Violation::RejectedAndRan("a1".into(), 503)]
    );
    journal.servers.push(worked(10_060, 10_090));
    assert_eq!(judge(&journal), [Violation::RanTwice("a1".into(), 2)]);
    journal.client_requests[0].idempotent = true;
    assert_eq!(judge(&journal), []);
    journal.client_requests[0].faults = vec![StreamFault::EndsEarly];
    assert_eq!(
        judge(&journal),
        [Violation::InvalidResponse(
            "a1".into(),
            StreamFault::EndsEarly
        )]
    );
    journal.client_requests.clear();
    assert_matches!(
        judge(&journal)[..],
        [
            Violation::RunWithoutRequest(_),
            Violation::RunWithoutRequest(_)
        ]
    );
}

#[test]
fn wrong_tenant_and_refused_key_are_found() {
    let arrived_with = |tenant: Option<&str>| {
        let fields = tenant.map(|name| ("Tenant".to_owned(), name.to_owned()));
        server(&[(
            10_010,
            Event::Arrived(Head {
                fields: fields.into_iter().collect(),
                ..Head::default()
            }),
        )])
    };
    let mut journal = Journal {
        client_requests: vec![request(10_000, 10_100, RequestEnd::Responded(200))],
        ..Journal::default()
    };
    journal.client_requests[0].tenant = Some("Šibenik".into());
    for (told, is_right) in [
        (Some("Šibenik"), true),
        (Some("%C5%A0ibenik"), false),
        (None, false),
    ] {
        journal.servers = vec![arrived_with(told)];
        let expected = Violation::WrongTenant {
            attempt: "a1".into(),
            tenant: Some("Šibenik".into()),
            told: told.map(str::to_owned),
        };
        assert_eq!(judge(&journal).contains(&expected), !is_right, "{told:?}");
    }
    journal.servers.clear();
    journal.client_requests[0].end = RequestEnd::Responded(401);
    assert_eq!(judge(&journal), [Violation::KeyRefused("a1".into())]);
    journal.client_requests[0].tenant = None;
    assert_eq!(judge(&journal), []);
}

#[test]
fn request_that_arrives_late_after_a_drain_is_found() {
    let control = "127.0.0.2:8262".parse().expect("an address");
    let late = 1_000 + DRAIN_TIMEOUT.as_millis() as u64 + 100;
    let entries = [
        (
            1_000,
            Event::Acknowledged(ServerReport::Draining(7), control),
        ),
        (late, Event::Arrived(Head::default())),
        (late, Event::Started),
    ];
    let mut journal = Journal {
        client_requests: vec![request(late - 10, late + 100, RequestEnd::Responded(200))],
        servers: vec![server(&entries)],
        ..Journal::default()
    };
    assert_matches!(&judge(&journal)[..], [Violation::ArrivedAfterDrain { late, .. }] if *late == DRAIN_TIMEOUT + ms(100));
    // Its machine was not in touch; another machine's router does not matter.
    journal.faults = vec![fault(FaultKind::Paused, Role::Router, 1, 500, 900)];
    assert_eq!(judge(&journal), []);
    journal.faults = vec![fault(FaultKind::Paused, Role::Router, 2, 500, 900)];
    assert_matches!(judge(&journal)[..], [Violation::ArrivedAfterDrain { .. }]);
    journal.servers[0].entries[1].at = ms(2_900);
    assert_eq!(judge(&journal), []);
}

#[test]
fn contradicting_responses_to_operators_are_found() {
    let taken = [Outcome::Acknowledged];
    let two = Journal {
        orders: vec![
            order(1, 0, 1, 0, &taken),
            order(2, 1, 3, 100, &taken),
            order(3, 1, 4, 200, &taken),
        ],
        ..Journal::default()
    };
    assert_eq!(
        judge(&two),
        [
            Violation::Orders(OperatorFault::TwoOnOneVersion(1)),
            Violation::ConflictingOrders(1, 2, 3)
        ]
    );
    let rejected = Journal {
        orders: vec![order(
            1,
            0,
            1,
            0,
            &[
                Outcome::Acknowledged,
                Outcome::Unclear,
                Outcome::OtherVersion,
            ],
        )],
        ..Journal::default()
    };
    assert_matches!(
        judge(&rejected)[..],
        [Violation::Orders(OperatorFault::RefusedAfterAcknowledged(
            _
        ))]
    );
    let read_though_rejected = Journal {
        orders: vec![order(1, 0, 1, 0, &[Outcome::OtherVersion])],
        reads: vec![read(50, 1, 1)],
        ..Journal::default()
    };
    assert_eq!(
        judge(&read_though_rejected),
        [Violation::RejectedInForce(1)]
    );
    // One of the two had no clear answer, and was in force all the same.
    let both = Journal {
        orders: vec![
            order(1, 0, 1, 0, &[Outcome::Unclear]),
            order(2, 0, 2, 50, &taken),
        ],
        reads: vec![read(40, 1, 1)],
        ..Journal::default()
    };
    assert_eq!(judge(&both), [Violation::ConflictingOrders(0, 1, 2)]);
}

#[test]
fn stale_and_lost_configurations_are_found() {
    let orders = vec![
        order(1, 0, 1, 0, &[Outcome::Acknowledged]),
        order(2, 1, 3, 1_000, &[Outcome::Acknowledged]),
    ];
    let late = 1_010 + CONFIG_APPLY.as_millis() as u64 + 1;
    let during = |read| Journal {
        orders: orders.clone(),
        reads: vec![read],
        ..Journal::default()
    };
    assert_eq!(judge(&during(read(late - 2, 1, 1))), []);
    assert_matches!(
        judge(&during(read(late, 1, 1)))[..],
        [Violation::StaleRead {
            reported: 1,
            known: 3,
            ..
        }]
    );
    let at_end = |read| Journal {
        orders: orders.clone(),
        final_reads: vec![read],
        ..Journal::default()
    };
    assert_eq!(judge(&at_end(read(1_500, 3, 2))), []);
    assert_matches!(
        judge(&at_end(read(1_500, 1, 1)))[..],
        [Violation::ConfigurationLost {
            reported: 1,
            known: 3,
            ..
        }]
    );
    // Asked before the acknowledgement.
    assert_eq!(judge(&at_end(read(1_005, 1, 1))), []);
    // The same version, made by another order.
    assert_matches!(
        judge(&at_end(read(1_500, 3, 9)))[..],
        [Violation::ConfigurationLost { .. }]
    );
}

#[test]
fn process_faults_are_violations() {
    let fault = ProcessFault::Logged(
        (Role::Router, 0),
        "invariant violated: a request was forgotten".into(),
    );
    let journal = Journal {
        process_faults: vec![fault.clone()],
        ..Journal::default()
    };
    assert_eq!(judge(&journal), [Violation::Process(fault)]);
}

#[test]
fn route_that_is_missing_at_a_router_long_after_its_acknowledgement_counts() {
    let not_found = |sent_ms: u64| ClientRequest {
        idempotent: true,
        route_acknowledged_at: Some(ms(5_000)),
        ..request(sent_ms, sent_ms + 5, RequestEnd::Responded(404))
    };
    let late = 5_001 + CONFIG_APPLY.as_millis() as u64;
    let journal = |sent_ms, faults| Journal {
        client_requests: vec![not_found(sent_ms)],
        faults,
        ..Journal::default()
    };
    assert_matches!(
        &judge(&journal(late, Vec::new()))[..],
        [Violation::RouteNotFound { machine: 1, .. }]
    );
    assert!(judge(&journal(late - 2, Vec::new())).is_empty(), "in time");
    let killed = fault(
        FaultKind::Killed,
        Role::Control,
        0,
        late - 1_000,
        late - 500,
    );
    assert!(judge(&journal(late, vec![killed])).is_empty(), "no contact");
    let terminated = fault(FaultKind::Terminated, Role::Control, 0, late - 1_000, late);
    assert!(!judge(&journal(late, vec![terminated])).is_empty());
}
