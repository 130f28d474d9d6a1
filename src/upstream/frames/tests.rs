//! Tests of `frames`.

use super::*;
use crate::core::FirstStep;
use crate::testing::{garbage, random_cuts};
use std::rc::Rc;

fn dispatch(shard: u32, key: Option<&str>, first: Option<FirstStep>) -> Dispatch<Job> {
    let job = Job {
        id: "9b1f".into(),
        text: "c41e77d0".into(),
        key: key.map(Into::into),
    };
    let (job, first) = (Rc::new(job), first.map(Rc::new));
    Dispatch {
        attempt: 1,
        job,
        class: 0,
        shard: Shard(shard),
        first,
        max_elements: None,
        timeout: 239_500,
        send_by: None,
    }
}

fn written(parts: &[Dispatch<Job>]) -> String {
    let mut output = Vec::new();
    Frames.encode_call(parts, SocketAddr::from(([127, 0, 0, 1], 1)), &mut output);
    let length = u32::from_be_bytes([output[0], output[1], output[2], output[3]]) as usize;
    assert_eq!(length, output.len() - 4);
    String::from_utf8(output.split_off(4)).unwrap()
}

fn answers() -> [Vec<u8>; 2] {
    let (mut ok, mut no) = (Vec::new(), Vec::new());
    write_frame(b'Y', b"9b1f.3 OK 1840277719 -\n5be2a07c", &mut ok);
    write_frame(b'Y', b"9b1f.4 REJECTED - -\n", &mut no);
    [ok, no]
}

#[test]
fn calls_have_the_documented_form() {
    let both = [dispatch(3, Some("k7"), None), dispatch(4, None, None)];
    assert_eq!(
        written(&both),
        "R9b1f.3 3 d=239,k=k7 8\nc41e77d09b1f.4 4 d=239 8\nc41e77d0"
    );
    let first = FirstStep {
        shards: vec![Shard(3), Shard(5), Shard(9)],
        whole: false,
    };
    let second = written(&[dispatch(5, None, Some(first))]);
    assert_eq!(second, "R9b1f.5.get 5 d=239,from=3+5+9,whole=0 8\nc41e77d0");
    assert_eq!(
        Frames.encode_cancel(&"9b1f.3".to_string()).unwrap(),
        b"\x00\x00\x00\x07A9b1f.3"
    );
}

#[test]
fn answers_are_read_however_they_are_cut() {
    let answers = answers();
    let mut results = Vec::new();
    random_cuts(&[&answers[0], &answers[1]], |bytes| {
        let mut input = Buffer::default();
        input.push(bytes);
        let found = Frames.read_answer(&mut input, false, None).unwrap()?;
        results.push((found.outcome, found.value));
        Some(bytes.len() - input.bytes().len())
    });
    let value = Value {
        score: 1_840_277_719.0,
        bytes: b"5be2a07c".to_vec(),
        sorted: None,
    };
    assert!(
        results.contains(&(Outcome::Ok, Some(value)))
            && results.contains(&(Outcome::Rejected, None))
    );
}

#[test]
fn garbage_and_complaints_end_the_connection_and_never_panic() {
    let answers = answers();
    // What bad data nodes send besides: a wrong end, a wrong letter, a wrong length, and 3 GB.
    let invalid: [&[u8]; 4] = [
        b"\0\0\0\x0cYq.3 ? 1 -\nv",
        b"\0\0\0\x06\x01q.3 O",
        b"\0\0\0\x03Yq.3 OK 1 -\n",
        b"\xb2\xd0^\0Yq.3",
    ];
    let messages = [&[&answers[0][..], &answers[1]], &invalid[..]].concat();
    garbage(&messages, |bytes| {
        let mut input = Buffer::default();
        input.push(bytes);
        let _ = Frames.read_answer(&mut input, false, None);
    });
    let long = [&b"\0\0\xff\0Y"[..], &[b'x'; MAX_LINE_BYTES]].concat();
    for bad in [
        &b"\0\0\0\0"[..],
        b"\xff\0\0\0Y",
        b"\0\0\0\x03Nno",
        b"\0\0\0\x01Y",
        b"\0\0\0\x01?",
        b"\0\0\xff\0?",
        &long,
        b"\0\0\0\x0cYq.3 ? 1 -\nv",
        b"\0\0\0\x0cYq.3 OK  -\nv",
        b"\0\0\0\x0fYq.3 OK nan -\nv",
        b"\0\0\0\x0dYq.3 OK 1 -\n\xff",
    ] {
        assert!(read(bad).is_err(), "{bad:?}");
    }
}

fn read(bytes: &[u8]) -> Result<Option<Answer<String>>, AnswerError> {
    let mut input = Buffer::default();
    input.push(bytes);
    Frames.read_answer(&mut input, false, None)
}

#[test]
fn an_unreadable_load_report_does_not_spoil_the_answer() {
    for report in [&b"-"[..], b"{ 1, \xff \0 }", b""] {
        let mut bytes = Vec::new();
        write_frame(b'Y', &[b"q.3 OK 1 ", report, b"\nv"].concat(), &mut bytes);
        let value = Some(Value {
            score: 1.0,
            bytes: b"v".to_vec(),
            sorted: None,
        });
        assert_eq!(read(&bytes).unwrap().unwrap().value, value, "{report:?}");
    }
}
