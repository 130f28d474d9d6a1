//! Tenants at control machines: validation, confirmations to routers, and quota leases.

mod control_support;

use control_support::{call, log_of, wait_for, ControlFleet, FakeRouter};
use lichenswitch_fleet::envelopes::encode_tenant_message;
use lichenswitch_messages::{
    ControlToRouter, QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, TenantMessage,
};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";
const UPDATE: &str = "/configuration/update";
const TENANTS: &str = r#"[{"name":"one","apiKeys":["secret-1"]},
    {"name":"two","apiKeys":["secret-2"],"unit":"token_count","ratePerS":30000,"burstSize":0}]"#;

fn configuration(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"service\":\"pool\"}}],\
         \"services\":[{{\"name\":\"pool\"}}],\"tenants\":{tenants}}}"
    )
}

/// A group that has this configuration in force.
fn group(name: &str) -> ControlFleet {
    let mut fleet = ControlFleet::of(name, &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet
            .send_order(REPLACE, 0, &configuration(1, TENANTS))
            .status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    fleet
}

fn request_lease(
    router: &mut FakeRouter,
    id: u64,
    tenant: &str,
    needs: &[u64],
) -> QuotaLeaseResponse {
    let request = QuotaLeaseRequest {
        id,
        tenant: tenant.to_owned(),
        unit: if tenant == "one" {
            QuotaLeaseUnit::Requests
        } else {
            QuotaLeaseUnit::Tokens
        },
        amounts: needs.to_vec(),
        prefetch_amount: 0,
        may_forward: true,
    };
    router.send_tenant_message(&TenantMessage::LeaseRequest(request));
    match router.next_tenant_message(Duration::from_secs(5)) {
        Some(TenantMessage::LeaseResponse(response)) if response.id == id => response,
        other => panic!("no answer to a draw: {other:?}"),
    }
}

#[test]
fn duplicate_tenant_key_is_rejected_by_name_and_configuration_stays() {
    let fleet = group("shared-key");
    let shared = r#"[{"name":"one","apiKeys":["secret-1"]},{"name":"two","apiKeys":["secret-1"]}]"#;
    let refused = fleet.send_order(REPLACE, 1, &configuration(2, shared));
    assert_eq!(refused.status, 400);
    assert!(
        refused.body.contains("apiKeys") && refused.body.contains("one"),
        "{}",
        refused.body
    );
    // Only with what is in force already.
    let upsert = r#"{"version":2,"upserts":{"tenants":[{"name":"three","apiKeys":["secret-2"]}]}}"#;
    assert_eq!(fleet.send_order(UPDATE, 1, upsert).status, 400);
    let negative = r#"[{"name":"one","ratePerS":-1}]"#;
    let refused = fleet.send_order(REPLACE, 1, &configuration(2, negative));
    assert!(
        refused.status == 400 && refused.body.contains("ratePerS"),
        "{}",
        refused.body
    );
    let described = call(
        fleet.machines[0].control_plane,
        "GET",
        "/configuration/describe",
        &[],
        "",
    )
    .unwrap();
    assert!(
        described.status == 200 && described.body.contains("\"version\":1"),
        "{}",
        described.body
    );
    for machine in &fleet.machines {
        assert!(
            !log_of(machine).contains("secret-"),
            "a key stands in a log"
        );
    }
    let status = call(fleet.machines[0].control_plane, "GET", "/status", &[], "").unwrap();
    assert!(
        status.body.contains("\"tenant\":\"two\"") && !status.body.contains("secret-"),
        "{}",
        status.body
    );
}

#[test]
fn router_gets_confirmation_only_from_machine_in_contact() {
    let mut fleet = group("confirm");
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "router");
    let position = router.next_matching(|message| match message {
        ControlToRouter::Configuration { position, .. } => Some(position),
        _ => None,
    });
    // The machine may have joined after the order was accepted, and not be in contact yet.
    router.next_matching(|message| match message {
        ControlToRouter::Heartbeat { in_contact, .. } => in_contact.then_some(()),
        _ => None,
    });
    router.send_tenant_message(&TenantMessage::Confirm { sent_at_us: 77 });
    let confirmed = router.next_tenant_message(Duration::from_secs(5));
    assert_eq!(
        confirmed,
        Some(TenantMessage::Confirmed {
            sent_at_us: 77,
            position: Some(position)
        })
    );
    // Without a majority no machine confirms anything.
    fleet.kill(1);
    fleet.kill(2);
    wait_for("contact to be lost", || {
        let lost = router.next_matching(|message| match message {
            ControlToRouter::Heartbeat { in_contact, .. } => Some(!in_contact),
            _ => None,
        });
        lost.then_some(())
    });
    router.send_tenant_message(&TenantMessage::Confirm { sent_at_us: 78 });
    assert_eq!(router.next_tenant_message(Duration::from_millis(800)), None);
}

/// Requests leases of the tenant `two` at all routers in turn, far beyond its quota. Returns the
/// amount granted, and the number of requests that were not granted in full.
fn request_leases_for(routers: &mut [FakeRouter], length: Duration) -> (u64, u64) {
    let (started_at, mut granted, mut denied, mut id) = (Instant::now(), 0, 0, 10);
    while started_at.elapsed() < length {
        for router in routers.iter_mut() {
            id += 1;
            let response = request_lease(router, id, "two", &[700, 300]);
            granted += 700 * (response.granted_bits & 1) + 300 * (response.granted_bits >> 1 & 1);
            denied += u64::from(response.granted_bits != 0b11);
            assert!(response.granted_bits == 0b11 || response.retry_after_us > 0);
        }
    }
    (granted, denied)
}

#[test]
fn leases_stay_within_quota_at_any_machine() {
    let fleet = group("draws");
    let mut routers: Vec<FakeRouter> = fleet
        .machines
        .iter()
        .map(|machine| FakeRouter::connect(machine.internal, "router"))
        .collect();
    // A tenant without a quota is never short.
    assert_eq!(
        request_lease(&mut routers[0], 1, "one", &[1, 1, 1]).granted_bits,
        0b111
    );
    assert_eq!(
        request_lease(&mut routers[0], 2, "nobody", &[1]).granted_bits,
        0
    );
    // Voters that have joined own their shards after a while.
    wait_for("the first grant", || {
        (request_lease(&mut routers[0], 3, "two", &[100]).granted_bits == 1).then_some(())
    });
    wait_for("all to have settled", || {
        let settled = fleet.machines.iter().all(|machine| {
            let status = call(machine.control_plane, "GET", "/status", &[], "").unwrap();
            status.body.contains("\"part\":0.333")
        });
        settled.then_some(())
    });
    // A new owner of a shard starts in debt, which is paid off within two seconds here.
    request_leases_for(&mut routers, Duration::from_secs(2));
    let started_at = Instant::now();
    let (granted, denied) = request_leases_for(&mut routers, Duration::from_secs(3));
    let (rate, took) = (30_000.0, started_at.elapsed().as_secs_f64());
    // Without bounds in the settings there is no overage; what was saved up is a validity's worth
    // at the most.
    assert!(
        denied > 0 && granted as f64 <= rate * (took + 1.0),
        "{granted} in {took} s"
    );
    assert!(granted as f64 >= 0.9 * rate * took, "{granted} in {took} s");
}

#[test]
fn restarted_owner_starts_with_empty_bucket_and_refills_at_rate() {
    let mut fleet = group("draws-restart");
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "router");
    wait_for("the first grant", || {
        (request_lease(&mut router, 1, "two", &[100]).granted_bits == 1).then_some(())
    });
    for index in 0..3 {
        fleet.kill(index);
    }
    for index in 0..3 {
        fleet.start(index, false);
    }
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "router-2");
    let mut id = 100;
    let mut next = |needs: &[u64]| {
        id += 1;
        request_lease(&mut router, id, "two", needs).granted_bits
    };
    assert_eq!(next(&[3_000]), 0, "a bucket was full at the start");
    wait_for("a grant after the start", || {
        (next(&[100]) == 1).then_some(())
    });
}

/// Bytes on an internal connection; `docs/CAPACITY.md` goes by them.
#[test]
fn tenant_messages_are_small() {
    let request_lease = |needs: usize| {
        let (tenant, needs) = ("tenant-name".to_owned(), vec![12_000; needs]);
        TenantMessage::LeaseRequest(QuotaLeaseRequest {
            id: u64::MAX,
            tenant,
            unit: QuotaLeaseUnit::Tokens,
            amounts: needs,
            prefetch_amount: 0,
            may_forward: true,
        })
    };
    let drawn = TenantMessage::LeaseResponse(QuotaLeaseResponse {
        id: u64::MAX,
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 9,
    });
    let size = |message: &TenantMessage| encode_tenant_message(message).unwrap().len();
    let sizes = [
        size(&request_lease(1)),
        size(&request_lease(10)),
        size(&drawn),
        size(&TenantMessage::Confirm { sent_at_us: 1 }),
    ];
    println!("draw of 1, of 10, answer, confirm: {sizes:?} bytes");
    assert!(
        sizes[0] <= 130 && sizes[1] <= 200 && sizes[2] <= 110,
        "{sizes:?}"
    );
}
