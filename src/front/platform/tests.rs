//! Tests of `platform`.

use super::*;
use crate::core::Value;
use crate::interface::Shard;

const BODY: &str = r#"{"segments":[{"segment":3,"boost":0.5,"work":9000},{"segment":9,"boost":0.5}],
        "text":"c41e77d0"}"#;

fn front() -> Platform {
    let class = |name: &str, repeat| Class {
        name: name.into(),
        repeat,
        deadline: 4_000_000,
    };
    Platform::new(
        vec![
            class("search", RetrySafety::Safe),
            class("close", RetrySafety::Keyed(9)),
        ],
        vec!["acme".into()],
    )
}

/// A sound query of the keyed class, with some headers replaced.
fn query(changes: &[(&str, &str)], path: &str, body: &str) -> http::Request {
    let mut headers: Vec<(String, String)> = [
        ("req-id", "9b1f"),
        ("req-kind", path.trim_start_matches('/')),
        ("req-deadline-ms", "480"),
        ("req-retry", "1"),
        ("idempotency-key", "k7"),
    ]
    .map(|(n, v)| (n.to_string(), v.to_string()))
    .into();
    for (name, value) in changes {
        headers.retain(|h| h.0 != *name);
        headers.push((name.to_string(), value.to_string()));
    }
    headers.retain(|h| !h.1.is_empty());
    let (method, target, body) = ("POST".into(), path.into(), body.into());
    http::Request {
        method,
        target,
        headers,
        body,
        keep_alive: true,
    }
}

fn status(request: &http::Request) -> u16 {
    match front().read_request(Time(0), request) {
        RequestAction::Reply(response) => response.status,
        RequestAction::Query(..) => 0,
    }
}

#[test]
fn a_query_is_read_as_documented() {
    let RequestAction::Query(taken, ()) =
        front().read_request(Time(1_000_000), &query(&[], "/close", BODY))
    else {
        panic!("not taken");
    };
    assert_eq!(
        (taken.class, taken.deadline, taken.is_retry),
        (1, Time(1_480_000), true)
    );
    assert_eq!(taken.parts, [(Shard(3), 0.5), (Shard(9), 0.5)]);
    let job = Job {
        id: "9b1f".into(),
        text: "c41e77d0".into(),
        key: Some("k7".into()),
    };
    assert_eq!(taken.job, job);
}

#[test]
fn cookie_gives_the_key_and_owner_the_tenant() {
    let affine = BODY.replace("\"work\":9000", "\"affinity\":\"00000000000000ff\"");
    for (cookie, body, key) in [
        ("k=7f3a9c21e0b4d655", BODY, 0x7f3a_9c21_e0b4_d655),
        ("a=b; k=10;c=d", &affine, 16),
        ("kk=10", &affine, 255),
        ("", &affine, 255),
        ("k=", BODY, 0),
        ("k=nothex", BODY, 0),
        ("k=11112222333344445", BODY, 0),
        ("", BODY, 0),
    ] {
        let request = query(&[("cookie", cookie)], "/close", body);
        let RequestAction::Query(taken, ()) = front().read_request(Time(0), &request) else {
            panic!("{cookie}")
        };
        assert_eq!(taken.key, key, "{cookie}");
    }
    for (owner, tenant) in [("acme", 0), ("other", u32::MAX), ("", u32::MAX)] {
        let request = query(&[("req-owner", owner)], "/close", BODY);
        let RequestAction::Query(taken, ()) = front().read_request(Time(0), &request) else {
            panic!("{owner}")
        };
        assert_eq!(taken.tenant, tenant, "{owner}");
    }
}

#[test]
fn bad_input_gets_the_status_that_says_so() {
    for (changes, path, body, expected) in [
        (("req-id", ""), "/close", BODY, 400),
        (("req-id", "a b"), "/close", BODY, 400),
        (("req-deadline-ms", "soon"), "/close", BODY, 400),
        (("req-deadline-ms", "0"), "/close", BODY, 400),
        (
            ("req-deadline-ms", "99999999999999999999"),
            "/close",
            BODY,
            400,
        ),
        (("req-deadline-ms", "+480"), "/close", BODY, 400),
        (("req-deadline-ms", "99999"), "/close", BODY, 0),
        (("idempotency-key", ""), "/close", BODY, 400),
        (("idempotency-key", "a,from=1"), "/close", BODY, 400),
        (("idempotency-key", ""), "/search", BODY, 0),
        (("req-kind", "search"), "/close", BODY, 400),
        (("req-retry", ""), "/nothing", BODY, 404),
        (("req-retry", ""), "/close", "", 400),
        (
            ("req-retry", ""),
            "/close",
            r#"{"segments":[{"segment":-1,"boost":1}],"text":""}"#,
            400,
        ),
        (
            ("req-retry", ""),
            "/close",
            r#"{"segments":[{"segment":0.5,"boost":1}],"text":""}"#,
            400,
        ),
    ] {
        assert_eq!(
            status(&query(&[changes], path, body)),
            expected,
            "{changes:?} {path} {body}"
        );
    }
    let get = http::Request {
        method: "GET".into(),
        ..query(&[], "/close", BODY)
    };
    assert_eq!(status(&get), 405);
}

#[test]
fn an_id_is_taken_once_for_as_long_as_its_query_can_be_open() {
    let mut front = front();
    let mut taken =
        |ms: u64| match front.read_request(Time(ms * 1_000), &query(&[], "/close", BODY)) {
            RequestAction::Reply(response) => response.status,
            RequestAction::Query(..) => 0,
        };
    assert_eq!(
        [taken(9_000), taken(9_001), taken(12_999), taken(13_001)],
        [0, 409, 409, 409]
    );
    assert_eq!(taken(17_002), 0, "ids are forgotten, or memory would grow");
}

#[test]
fn a_query_is_held_no_longer_than_its_class_allows() {
    let long = query(&[("req-deadline-ms", "99999")], "/close", BODY);
    let RequestAction::Query(taken, ()) = front().read_request(Time(0), &long) else {
        panic!("not taken")
    };
    assert_eq!(taken.deadline, Time(4_000_000));
}

#[test]
fn garbage_in_a_body_never_panics() {
    let twice = BODY.replace('9', "3");
    let bad = [
        BODY,
        &twice,
        r#"{"segments":[{"segment":-1,"boost":1e999}],"text":""}"#,
    ]
    .map(str::as_bytes);
    crate::testing::garbage(&bad, |bytes| {
        let request = query(&[], "/close", "");
        front().read_request(
            Time(0),
            &http::Request {
                body: bytes.to_vec(),
                ..request
            },
        );
    });
}

#[test]
fn readiness_lasts_from_the_first_list_to_the_stop() {
    let mut front = front();
    let health = |front: &mut Platform, path: &str| {
        let request = http::Request {
            method: "GET".into(),
            target: path.into(),
            ..Default::default()
        };
        match front.read_request(Time(0), &request) {
            RequestAction::Reply(response) => response.status,
            RequestAction::Query(..) => 0,
        }
    };
    assert_eq!(
        (
            health(&mut front, "/health/ready"),
            health(&mut front, "/health/live")
        ),
        (503, 200)
    );
    front.on_server_list();
    assert_eq!(
        (
            health(&mut front, "/health/ready"),
            health(&mut front, "/health/live")
        ),
        (200, 200)
    );
    front.on_stop();
    assert_eq!(
        (
            health(&mut front, "/health/ready"),
            health(&mut front, "/health/live")
        ),
        (503, 200)
    );
}

#[test]
fn answers_are_worded_as_documented() {
    let values = vec![(
        Shard(3),
        Value {
            score: 1.0,
            bytes: b"5be2".to_vec(),
            sorted: None,
        },
    )];
    let served = front().format_reply(
        (),
        Reply::Served {
            whole: false,
            values,
            missing_shards: Vec::new(),
        },
    );
    assert_eq!(served.status, 200);
    assert_eq!(
        served.body,
        br#"{"all_in":false,"matches":[{"segment":3,"payload":"5be2"}]}"#
    );
    let refused = front().format_reply((), Reply::Refused(Some(734_000)));
    assert_eq!(
        (refused.status, refused.header("retry-after")),
        (503, Some("0.734"))
    );
    assert_eq!(
        front()
            .format_reply((), Reply::Refused(None))
            .header("retry-after"),
        None
    );
    assert_eq!(front().format_reply((), Reply::Failed).status, 504);
    let rate = front().format_refusal(Refusal::Contract(ContractViolation::Rate(500_000)));
    assert_eq!(
        (rate.status, rate.header("retry-after")),
        (429, Some("0.500"))
    );
}
