//! Tenants at control machines: what is valid, what routers are told is current, and draws on
//! quotas.

mod control_support;

use control_support::{call, log_of, wait_for, FakeRouter, Fleet};
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
fn group(name: &str) -> Fleet {
    let mut fleet = Fleet::of(name, &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.order(REPLACE, 0, &configuration(1, TENANTS)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    fleet
}

fn draw(router: &mut FakeRouter, id: u64, tenant: &str, needs: &[u64]) -> QuotaLeaseResponse {
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
    router.say_of_tenants(&TenantMessage::LeaseRequest(request));
    match router.next_of_tenants(Duration::from_secs(5)) {
        Some(TenantMessage::LeaseResponse(answer)) if answer.id == id => answer,
        other => panic!("no answer to a draw: {other:?}"),
    }
}

#[test]
fn a_key_that_two_tenants_hold_is_refused_by_name_and_the_old_configuration_stays() {
    let fleet = group("shared-key");
    let shared = r#"[{"name":"one","apiKeys":["secret-1"]},{"name":"two","apiKeys":["secret-1"]}]"#;
    let refused = fleet.order(REPLACE, 1, &configuration(2, shared));
    assert_eq!(refused.status, 400);
    assert!(
        refused.body.contains("apiKeys") && refused.body.contains("one"),
        "{}",
        refused.body
    );
    // Only with what is in force already.
    let upsert = r#"{"version":2,"upserts":{"tenants":[{"name":"three","apiKeys":["secret-2"]}]}}"#;
    assert_eq!(fleet.order(UPDATE, 1, upsert).status, 400);
    let negative = r#"[{"name":"one","ratePerS":-1}]"#;
    let refused = fleet.order(REPLACE, 1, &configuration(2, negative));
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
fn a_router_is_told_that_what_it_was_sent_is_current_only_by_a_machine_in_contact() {
    let mut fleet = group("confirm");
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "router");
    let position = router.next_of(|message| match message {
        ControlToRouter::Configuration { position, .. } => Some(position),
        _ => None,
    });
    router.say_of_tenants(&TenantMessage::Confirm { sent_at_us: 77 });
    let confirmed = router.next_of_tenants(Duration::from_secs(5));
    assert_eq!(
        confirmed,
        Some(TenantMessage::Confirmed {
            sent_at_us: 77,
            position: Some(position)
        })
    );
    // Without a majority nobody vouches for anything.
    fleet.kill(1);
    fleet.kill(2);
    wait_for("contact to be lost", || {
        let lost = router.next_of(|message| match message {
            ControlToRouter::Heartbeat { in_contact, .. } => Some(!in_contact),
            _ => None,
        });
        lost.then_some(())
    });
    router.say_of_tenants(&TenantMessage::Confirm { sent_at_us: 78 });
    assert_eq!(router.next_of_tenants(Duration::from_millis(800)), None);
}

/// Draws on the tenant `two` at all routers by turns for a time, far beyond its quota; what was
/// granted, and draws that were not granted in full.
fn draw_for(routers: &mut [FakeRouter], length: Duration) -> (u64, u64) {
    let (began, mut granted, mut denied, mut id) = (Instant::now(), 0, 0, 10);
    while began.elapsed() < length {
        for router in routers.iter_mut() {
            id += 1;
            let answer = draw(router, id, "two", &[700, 300]);
            granted += 700 * (answer.granted_bits & 1) + 300 * (answer.granted_bits >> 1 & 1);
            denied += u64::from(answer.granted_bits != 0b11);
            assert!(answer.granted_bits == 0b11 || answer.retry_after_us > 0);
        }
    }
    (granted, denied)
}

#[test]
fn draws_are_granted_within_the_quota_whichever_machine_is_asked() {
    let fleet = group("draws");
    let mut routers: Vec<FakeRouter> = fleet
        .machines
        .iter()
        .map(|machine| FakeRouter::connect(machine.internal, "router"))
        .collect();
    // A tenant without a quota is never short.
    assert_eq!(
        draw(&mut routers[0], 1, "one", &[1, 1, 1]).granted_bits,
        0b111
    );
    assert_eq!(draw(&mut routers[0], 2, "nobody", &[1]).granted_bits, 0);
    // Voters that have joined take their parts up once they have settled.
    wait_for("the first grant", || {
        (draw(&mut routers[0], 3, "two", &[100]).granted_bits == 1).then_some(())
    });
    wait_for("all to have settled", || {
        let settled = fleet.machines.iter().all(|machine| {
            let status = call(machine.control_plane, "GET", "/status", &[], "").unwrap();
            status.body.contains("\"part\":0.333")
        });
        settled.then_some(())
    });
    // Whoever takes a part up begins in debt: it is paid off within two seconds here.
    draw_for(&mut routers, Duration::from_secs(2));
    let began = Instant::now();
    let (granted, denied) = draw_for(&mut routers, Duration::from_secs(3));
    let (rate, took) = (30_000.0, began.elapsed().as_secs_f64());
    // Without bounds in the settings there is no overage; what was saved up is a validity's worth
    // at the most.
    assert!(
        denied > 0 && granted as f64 <= rate * (took + 1.0),
        "{granted} in {took} s"
    );
    assert!(granted as f64 >= 0.9 * rate * took, "{granted} in {took} s");
}

#[test]
fn who_starts_again_begins_with_nothing_and_goes_on_at_the_rate() {
    let mut fleet = group("draws-restart");
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "router");
    wait_for("the first grant", || {
        (draw(&mut router, 1, "two", &[100]).granted_bits == 1).then_some(())
    });
    for place in 0..3 {
        fleet.kill(place);
    }
    for place in 0..3 {
        fleet.start(place, false);
    }
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "router-2");
    let mut id = 100;
    let mut next = |needs: &[u64]| {
        id += 1;
        draw(&mut router, id, "two", needs).granted_bits
    };
    assert_eq!(next(&[3_000]), 0, "a bucket was full at the start");
    wait_for("a grant after the start", || {
        (next(&[100]) == 1).then_some(())
    });
}

/// Bytes on an internal connection; `docs/CAPACITY.md` goes by them.
#[test]
fn messages_about_tenants_are_small() {
    let draw = |needs: usize| {
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
        size(&draw(1)),
        size(&draw(10)),
        size(&drawn),
        size(&TenantMessage::Confirm { sent_at_us: 1 }),
    ];
    println!("draw of 1, of 10, answer, confirm: {sizes:?} bytes");
    assert!(
        sizes[0] <= 130 && sizes[1] <= 200 && sizes[2] <= 110,
        "{sizes:?}"
    );
}
