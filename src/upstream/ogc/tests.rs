//! Tests of `ogc`.

use super::*;
use crate::testing::{garbage, random_cuts};

fn answered(bytes: &[u8], expected: ExpectedBody) -> Option<(Outcome, usize)> {
    let mut input = Buffer::default();
    input.push(bytes);
    let found = Features::default()
        .read_answer(&mut input, false, Some(&expected))
        .ok()??;
    Some((found.outcome, bytes.len() - input.bytes().len()))
}

fn reply(status: u16, body: &str) -> Vec<u8> {
    Response::new(status, "application/geo+json", body).encode(true, false)
}

#[test]
fn only_what_was_asked_for_is_an_answer() {
    let list = r#"{"type":"FeatureCollection","features":[{"type":"Feature","id":1}]}"#;
    let more = list.replace("]}", r#"],"links":[{"rel":"next"}]}"#);
    let known = list.replace("]}", r#"],"numberMatched":9}"#);
    let feature = r#"{"type":"Feature","id":1}"#;
    for (status, body, expected, outcome) in [
        (200, list, ExpectedBody::Items(5), Outcome::Ok),
        (200, &more, ExpectedBody::Items(1), Outcome::Ok),
        (200, &more, ExpectedBody::Items(5), Outcome::Error),
        (200, &known, ExpectedBody::Items(5), Outcome::Error),
        (200, feature, ExpectedBody::Items(5), Outcome::Error),
        (200, feature, ExpectedBody::Item, Outcome::Ok),
        (404, "", ExpectedBody::Item, Outcome::Ok),
        (404, "", ExpectedBody::Items(5), Outcome::Error),
        (503, "", ExpectedBody::Item, Outcome::Rejected),
        (500, "", ExpectedBody::Item, Outcome::Error),
        (200, "not json", ExpectedBody::Item, Outcome::Error),
    ] {
        let bytes = reply(status, body);
        let case = format!("{status} {body} {expected:?}");
        assert_eq!(
            answered(&bytes, expected),
            Some((outcome, bytes.len())),
            "{case}"
        );
    }
}

#[test]
fn answers_are_read_however_they_are_cut_and_garbage_never_panics() {
    let (list, none) = (
        reply(200, r#"{"type":"FeatureCollection","features":[]}"#),
        reply(500, ""),
    );
    random_cuts(&[&list, &none], |bytes| {
        answered(bytes, ExpectedBody::Items(5)).map(|a| a.1)
    });
    garbage(&[&list, &none], |bytes| {
        answered(bytes, ExpectedBody::Item);
    });
    let mut input = Buffer::default();
    input.push(&list);
    assert!(
        Features::default()
            .read_answer(&mut input, false, None)
            .is_err(),
        "nobody asked"
    );
}

fn sort(most: usize) -> Sort {
    Sort {
        property: "battery".into(),
        way: SortDirection::Descending,
        most,
    }
}

#[test]
fn sorted_answer_gives_its_keys_and_an_unsorted_one_is_sorted_here() {
    let body = r#"{"type":"FeatureCollection","features":[
            {"type":"Feature","id":1,"properties":{"battery":7}},{"type":"Feature","id":2,"properties":null},
            {"type":"Feature","id":3,"properties":{"battery":9.5}}]}"#;
    let as_is = sorted(body.into(), &sort(9), 3, false)
        .unwrap()
        .sorted
        .unwrap();
    assert_eq!(
        as_is.keys,
        [SortKey::Number(7.0), SortKey::Missing, SortKey::Number(9.5)]
    );
    assert_eq!(as_is.matched, None, "it gave as many as were asked for");
    assert_eq!(
        sorted(body.into(), &sort(9), 4, false)
            .unwrap()
            .sorted
            .unwrap()
            .matched,
        Some(3)
    );
    let here = sorted(body.into(), &sort(2), 1, true).unwrap();
    let text = String::from_utf8(here.bytes).unwrap();
    assert!(
        text.find("\"id\":3") < text.find("\"id\":1") && !text.contains("\"id\":2"),
        "{text}"
    );
    assert_eq!(
        here.sorted.unwrap().matched,
        Some(2),
        "all that can be wanted is here"
    );
    let more = body.replace("]}", r#"],"numberMatched":10001}"#);
    assert!(
        sorted(more.into(), &sort(2), 1, true).is_none(),
        "too many to be sorted here"
    );
}

#[test]
fn a_data_node_that_refuses_the_order_is_asked_for_all_from_then_on() {
    let wire = Features::default();
    let host = SocketAddr::from(([127, 0, 0, 1], 9));
    let expected = ExpectedBody::Sorted {
        sort: Rc::new(sort(5)),
        most: 5,
        node: None,
        all: false,
    };
    let job = Rc::new(Job {
        targets: [(0, "/c/items?bbox=0".to_string())].into(),
        expected,
    });
    let part = Dispatch {
        attempt: 1,
        job,
        class: 0,
        shard: crate::interface::Shard(0),
        first: None,
        max_elements: None,
        timeout: 1,
        send_by: None,
    };
    let mut output = Vec::new();
    let names = wire.encode_call(std::slice::from_ref(&part), host, &mut output);
    assert!(output.starts_with(b"GET /c/items?bbox=0&sortby=-battery&limit=1 HTTP/1.1"));
    let mut input = Buffer::default();
    input.push(&reply(400, "{}"));
    let answer = wire
        .read_answer(&mut input, false, names.first())
        .unwrap()
        .unwrap();
    assert_eq!(answer.outcome, Outcome::Error);
    output.clear();
    wire.encode_call(&[part], host, &mut output);
    assert!(output.starts_with(b"GET /c/items?bbox=0&limit=10000 HTTP/1.1"));
}
