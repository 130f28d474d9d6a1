//! Tests of the frame codec, the settings and the host.

use super::*;
use codec::{decode, frame_length};
use lichenswitch::interface::{
    Outcome, PartId, QueryId, RetrySafety, ServerId, ServerMode, Shard, Time,
};

const CLASSES: &str = r#"[{"deadlineUs": 2500000, "gain": 1.0, "group": "all", "idempotency": "retryable",
    "lateShare": 0.1, "name": "a", "objectiveUs": 800000, "stream": false, "windowUs": 1}]"#;

fn facts(classes: &str) -> String {
    let allowed = r#"{"maxAttempts": 3, "mostHeld": 50, "mayCancel": true, "mayProbe": true,
        "secondCopies": true, "retryAfter": true, "maxRetryAfterUs": 1000000, "surprise": [1]}"#;
    let family = r#"{"partsACall": 16, "sets": 2, "width": 2, "classFetch": [0], "classPartial": [0.8],
        "minShare": [1.0], "needByClass": [1.0]}"#;
    let rules = r#"{"coldShare": 0.25, "coldUs": 15000000, "fallMultiple": 2.5, "fallUs": 2000000,
        "minExtra": 5, "furtherRatio": 0.1, "budgetSpanUs": 10000000}"#;
    format!(
        r#"{{"allowed": {allowed}, "classes": {classes}, "discovery": "automatic", "familyInfo": {family},
        "rules": {rules}, "peersTotal": 3, "zone": 1, "resolutionUs": 1000, "brandNew": {{"a": null}}}}"#
    )
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let mut out = vec![code];
    fields.iter().for_each(|f| out.extend_from_slice(f));
    out.resize(56, 0);
    out
}

fn frame(now: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = ((HEADER + body.len() + tail.len()) as u32)
        .to_le_bytes()
        .to_vec();
    out.extend_from_slice(&(records.len() as u32).to_le_bytes());
    out.extend_from_slice(&now.to_le_bytes());
    out.extend_from_slice(&body);
    out.extend_from_slice(tail);
    out
}

fn le(value: u32) -> [u8; 4] {
    value.to_le_bytes()
}

fn begin(instance: u32, text: &str) -> Vec<u8> {
    record(
        18,
        &[
            &le(instance),
            &7u64.to_le_bytes(),
            &le(0),
            &le(text.len() as u32),
        ],
    )
}

fn request(instance: u32, id: u64, shard: f32, amount: f32, deadline: u64) -> Vec<u8> {
    let fields: [&[u8]; 11] = [
        &le(instance),
        &id.to_le_bytes(),
        &le(0),
        &99u64.to_le_bytes(),
        &shard.to_le_bytes(),
        &[0, 0],
        &[0, 0],
        &amount.to_le_bytes(),
        &5f32.to_le_bytes(),
        &deadline.to_le_bytes(),
        &le(3),
    ];
    record(16, &fields)
}

fn entry(server: u32, cell: u16, since: u64, mode: u8) -> Vec<u8> {
    let mut out = 1f32.to_le_bytes().to_vec();
    out.extend_from_slice(&cell.to_le_bytes());
    out.extend_from_slice(&le(server));
    out.extend_from_slice(&since.to_le_bytes());
    out.extend_from_slice(&[0, 0, mode, 1]);
    out
}

#[test]
fn every_event_is_read_at_its_place() {
    let server = entry(11, 1, 9, 2);
    let records = [
        record(22, &[&[3], &le(0), &le(1)]),
        record(19, &[&le(2), &[1], &[3], &8u64.to_le_bytes()]),
        request(2, 40, -1.0, 1.0, 777),
        request(2, 41, 6.0, 0.25, 777),
        record(17, &[&le(2), &40u64.to_le_bytes()]),
        record(
            24,
            &[
                &le(2),
                &41u64.to_le_bytes(),
                &[5, 0],
                &le(1234),
                &le(11),
                &[1],
                &[2, 0],
            ],
        ),
        record(26, &[&le(2), &le(11), &[4, 0], &le(55)]),
        record(25, &[&le(2), &le(1)]),
        record(23, &[&le(2)]),
        record(21, &[&le(2)]),
    ];
    let (now, read) = decode(&frame(123, &records, &server)).unwrap();
    assert_eq!(now, Time(123));
    let listed = ListedServer {
        server: ServerId(11),
        cell: 1,
        zone: 1,
        mode: ServerMode::Draining,
        started_at: Some(Time(9)),
    };
    let event = |event| Record::Event { instance: 2, event };
    let outcome = Outcome::Reset;
    let expected = vec![
        Record::Snapshot {
            page: 3,
            lines: vec![listed],
        },
        Record::Roster {
            instance: 2,
            scope: Scope::Whole,
            page: 3,
        },
        event(Event::Query {
            query: QueryId(40),
            number: 5,
            class: 0,
            deadline: Time(777),
            key: 99,
            is_retry: false,
            tenant: 3,
        }),
        event(Event::Part {
            part: PartId(41),
            number: 5,
            shard: Shard(6),
            weight: 0.25,
        }),
        event(Event::Hangup(QueryId(40))),
        event(Event::Finished {
            part: PartId(41),
            attempt: 2,
            server: ServerId(11),
            outcome,
            elapsed: 1234,
        }),
        event(Event::Probed {
            server: ServerId(11),
            outcome: Outcome::ConnectFailed,
            elapsed: 55,
        }),
        event(Event::Wake),
        Record::PowerOff { instance: 2 },
        Record::Ignored { instance: 2 },
    ];
    assert_eq!(read, expected);
}

#[test]
fn the_mark_of_a_further_try_is_read() {
    let mut marked = request(2, 40, -1.0, 1.0, 777);
    marked[29] |= 2;
    let (_, read) = decode(&frame(1, &[marked], &[])).unwrap();
    assert!(
        matches!(
            read[..],
            [Record::Event {
                event: Event::Query { is_retry: true, .. },
                ..
            }]
        ),
        "{read:?}"
    );
}

#[test]
fn a_load_report_of_too_many_values_is_refused_with_a_plain_message() {
    let ended = [
        &le(2)[..],
        &41u64.to_le_bytes(),
        &[1, 0],
        &le(9),
        &le(11),
        &[1],
        &[0, 0],
        &[5],
    ];
    let probed = [&le(2)[..], &le(11), &[1, 0], &le(55), &[200]];
    for bad in [record(24, &ended), record(26, &probed)] {
        let text = decode(&frame(1, &[bad], &[])).unwrap_err().to_string();
        assert!(text.contains("load report of"), "{text}");
    }
}

#[test]
fn replies_have_the_documented_bytes() {
    let mut reply = Reply::default();
    let send = Action::Send {
        part: PartId(0x0102_0304_0506),
        server: ServerId(0x0a0b),
        timeout: 70_000,
    };
    reply.action(3, &send);
    reply.action(
        4,
        &Action::Cancel {
            part: PartId(6),
            attempt: 2,
        },
    );
    reply.action(4, &Action::Log("hi".into()));
    reply.bug(5, "oh");
    let hex: String = reply.encode().iter().map(|b| format!("{b:02x}")).collect();
    let expected = [
        "04000000 6c000000",
        "50 03000000 0605040302010000 0b0a0000 70110100 000000",
        "53 04000000 0600000000000000 0200 000000000000000000",
        "58 04000000 00000000 02000000 0000000000000000000000",
        "59 05000000 02000000 02000000 0000000000000000000000",
        "6869 6f68",
    ];
    assert_eq!(hex, expected.concat().replace(' ', ""));
}

#[test]
fn malformed_frames_are_named_in_errors() {
    let text = facts(CLASSES);
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (vec![1, 2, 3], "no whole header"),
        (frame(1, &[], &[])[..15].to_vec(), "no whole header"),
        (
            frame(1, &[record(99, &[&le(1)])], &[]),
            "unknown event code 99",
        ),
        (frame(1, &[begin(1, &text)], b"short"), "outside the tail"),
        (
            frame(
                1,
                &[record(22, &[&[0], &le(0), &le(2)])],
                &entry(1, 0, 0, 0),
            ),
            "outside the tail",
        ),
        (
            frame(
                1,
                &[record(22, &[&[0], &le(0), &le(1)])],
                &entry(1, 0, 0, 9),
            ),
            "unknown server mode 9",
        ),
        (
            frame(1, &[record(19, &[&le(1), &[7], &[0]])], &[]),
            "unknown list scope 7",
        ),
        (
            frame(1, &[record(19, &[&le(1), &[1], &[0]])], &[]),
            "never sent",
        ),
        (
            frame(1, &[record(24, &[&le(1), &[0; 8], &[9, 0]])], &[]),
            "unknown outcome 9",
        ),
        (
            frame(1, &[request(1, 2, f32::NAN, 1.0, 5)], &[]),
            "shard NaN",
        ),
        (frame(1, &[record(25, &[&le(4)])], &[]), "has not begun"),
        (frame(1, &[begin(1, "no json")], b"no json"), "settings:"),
        (frame(1, &[begin(1, "{}")], b"{}"), "missing field"),
    ];
    for (bytes, expected) in cases {
        let message = Host::default()
            .handle_batch(&bytes)
            .expect_err(expected)
            .to_string();
        assert!(
            message.contains(expected),
            "{message:?} does not say {expected:?}"
        );
        assert!(!message.contains('\n'));
    }
    let mut count = frame(1, &[], &[]);
    count[4] = 200;
    assert!(decode(&count)
        .unwrap_err()
        .to_string()
        .contains("do not fit"));
    assert!(frame_length(&[0; HEADER]).is_err());
    assert!(frame_length(&[255; HEADER]).is_err());
}

#[test]
fn input_that_ends_early_gives_no_partial_reply() {
    let whole = frame(1, &[], &[]);
    let mut input = whole.clone();
    input.extend_from_slice(&whole[..9]);
    let mut output = Vec::new();
    assert!(serve(&input[..], &mut output)
        .unwrap_err()
        .to_string()
        .contains("input ends"));
    assert_eq!(output, [0, 0, 0, 0, 8, 0, 0, 0]);
    assert!(serve(&whole[..16], &mut Vec::new()).is_ok());
}

#[test]
fn settings_keep_what_is_needed_and_skip_unknown_keys() {
    let read = settings::parse(facts(CLASSES).as_bytes()).unwrap();
    assert_eq!(read.classes[0].retry_safety, RetrySafety::Safe);
    assert_eq!(read.limits.budget.unwrap().window, 10_000_000);
    assert_eq!((read.zone, read.instances, read.layout.cells), (1, 3, 2));
    let keyed = settings::parse(facts(&CLASSES.replace("retryable", "dedup")).as_bytes()).unwrap();
    assert_eq!(keyed.classes[0].retry_safety, RetrySafety::Keyed(1));
    assert!(settings::parse(facts(&CLASSES.replace("retryable", "maybe")).as_bytes()).is_err());
    assert!(settings::parse(facts("[]").as_bytes()).is_err());
    assert!(settings::parse(
        facts(CLASSES)
            .replace("\"sets\": 2", "\"sets\": 0")
            .as_bytes()
    )
    .is_err());
}

#[test]
fn absent_settings_are_safe_and_absurd_ones_are_rejected() {
    let bare = r#"{"classes": [{"deadlineUs": 9, "gain": 1, "idempotency": "fragile", "objectiveUs": 5}],
        "discovery": "automatic", "familyInfo": {"partsACall": 1, "sets": 1, "width": 1, "classFetch": [0],
        "classPartial": [0], "minShare": [1], "needByClass": [1]}}"#;
    let read = settings::parse(bare.as_bytes()).unwrap();
    let sound = lichenswitch::interface::Settings::default();
    assert_eq!(
        (&read.limits, read.slow_start),
        (&sound.limits, sound.slow_start)
    );
    for (good, bad) in [
        ("\"coldShare\": 0.25", "\"coldShare\": -0.25"),
        ("\"fallMultiple\": 2.5", "\"fallMultiple\": -1"),
        ("\"furtherRatio\": 0.1", "\"furtherRatio\": -0.1"),
        ("\"gain\": 1.0", "\"gain\": 1e999"),
        ("\"lateShare\": 0.1", "\"lateShare\": -3"),
        ("\"maxAttempts\": 3", "\"maxAttempts\": -3"),
    ] {
        let text = facts(CLASSES);
        assert!(text.contains(good));
        let message = settings::parse(text.replace(good, bad).as_bytes())
            .unwrap_err()
            .to_string();
        assert!(message.starts_with("settings: "), "{message}");
    }
}

#[test]
fn close_idle_is_written_as_its_record() {
    let mut reply = Reply::default();
    reply.action(
        3,
        &Action::CloseIdle(lichenswitch::interface::ServerId(0x2c90_11f2)),
    );
    let bytes = reply.encode();
    assert_eq!(bytes[8..17], [86, 3, 0, 0, 0, 0xf2, 0x11, 0x90, 0x2c]);
}

#[test]
fn a_killed_instance_forgets_and_can_begin_again_in_the_same_batch() {
    let text = facts(CLASSES);
    let mut tail = text.clone().into_bytes();
    let at = tail.len() as u32;
    tail.extend(entry(11, 0, 0, 0));
    let page = record(22, &[&[0], &le(at), &le(1)]);
    let roster = record(19, &[&le(1), &[2], &[0]]);
    let mut host = Host::default();
    let ask = [
        request(1, 40, -1.0, 1.0, 9_000_000),
        request(1, 41, 0.0, 1.0, 9_000_000),
    ];
    let first = [
        vec![begin(1, &text), page.clone(), roster.clone()],
        ask.to_vec(),
    ]
    .concat();
    let reply = host.handle_batch(&frame(1_000_000, &first, &tail)).unwrap();
    assert_eq!(reply[8], 80, "the part is delivered");
    let again = [
        ask[0].clone(),
        record(23, &[&le(1)]),
        begin(1, &text),
        page,
        roster,
    ];
    let reply = host.handle_batch(&frame(1_001_000, &again, &tail)).unwrap();
    assert!(
        reply[8..].chunks(24).all(|r| r[0] != 80 && r[0] != 81),
        "nothing is done for what died"
    );
    let killed = host
        .handle_batch(&frame(1_002_000, &[record(23, &[&le(1)])], &[]))
        .unwrap();
    assert_eq!(killed, [0, 0, 0, 0, 8, 0, 0, 0]);
}

#[test]
fn a_panic_in_the_module_becomes_a_fault_and_sends_nothing_else() {
    let mut reply = Reply::default();
    run_guarded(6, &mut reply, |out| {
        out.push(Action::Wake(1));
        panic!("index {} is out of range", 9);
    });
    let bytes = reply.encode();
    assert_eq!((bytes[0], bytes[8], bytes[9]), (1, 89, 6));
    assert!(bytes.ends_with(b"index 9 is out of range"));
}
