//! Tests of `head`.

use super::*;
use lichenswitch_testing::{garbage, random_cuts};

const MOST: usize = 1_024;
const POST: &[u8] =
    b"POST /v1/chat?x=1 HTTP/1.1\r\nHost: h\r\nX-Raw: a\xffb \r\nContent-Length: 3\r\n\r\n";
const CHUNKS: &[u8] = b"POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\nTE: trailers\r\n\r\n";
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: 7\r\n\r\n";

fn request(bytes: &[u8]) -> RequestHead {
    parse_request_head(bytes, MOST).unwrap().unwrap().0
}

fn response(bytes: &str, to_head: bool) -> ResponseHead {
    parse_response_head(bytes.as_bytes(), MOST, to_head)
        .unwrap()
        .unwrap()
        .0
}

#[test]
fn head_is_complete_only_at_its_last_byte() {
    random_cuts(&[POST, CHUNKS], |bytes| {
        Some(parse_request_head(bytes, MOST).unwrap()?.1)
    });
    random_cuts(&[ANSWER], |bytes| {
        Some(parse_response_head(bytes, MOST, false).unwrap()?.1)
    });
}

#[test]
fn garbage_never_panics() {
    garbage(&[POST, CHUNKS, ANSWER], |bytes| {
        let _ = parse_request_head(bytes, 50);
        let _ = parse_request_head(bytes, MOST);
        let _ = parse_response_head(bytes, MOST, bytes.len() % 2 == 0);
    });
}

#[test]
fn request_head_is_parsed_unchanged() {
    let head = request(POST);
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/v1/chat?x=1")
    );
    assert_eq!(
        (head.framing, head.keep_alive, head.expects_continue),
        (Framing::Length(3), true, false)
    );
    assert_eq!(
        head.headers.0[1],
        HeaderField {
            name: "X-Raw".into(),
            value: b"a\xffb".to_vec()
        }
    );
    assert_eq!(head.headers.get("x-raw"), Some(&b"a\xffb"[..]));
    assert_eq!(
        (head.headers.text("x-raw"), head.headers.text("HOST")),
        (None, Some("h"))
    );
    assert_eq!(request(CHUNKS).framing, Framing::Chunked);
    assert_eq!(request(b"GET / HTTP/1.1\r\n\r\n").framing, Framing::None);
}

#[test]
fn a_client_waits_only_where_a_body_is_to_come() {
    let waits = |more: &str| {
        request(format!("POST / HTTP/1.1\r\nExpect: 100-Continue\r\n{more}\r\n").as_bytes())
            .expects_continue
    };
    assert!(waits("Content-Length: 1\r\n") && waits("Transfer-Encoding: chunked\r\n"));
    assert!(!waits("") && !waits("Content-Length: 0\r\n"));
}

#[test]
fn what_has_two_readings_is_refused() {
    let refused = |fields: &str, version: &str| {
        let head = format!("POST / HTTP/{version}\r\n{fields}\r\n");
        let request = parse_request_head(head.as_bytes(), MOST).unwrap_err().0;
        let answer = format!("HTTP/{version} 200 OK\r\n{fields}\r\n");
        assert_eq!(
            parse_response_head(answer.as_bytes(), MOST, false)
                .unwrap_err()
                .0,
            request,
            "{fields}"
        );
        request
    };
    assert_eq!(
        refused("Content-Length: 1\r\nContent-Length: 2\r\n", "1.1"),
        400
    );
    assert_eq!(refused("Content-Length: 1, 2\r\n", "1.1"), 400);
    assert_eq!(refused("Content-Length: +1\r\n", "1.1"), 400);
    assert_eq!(refused("Content-Length: -1\r\n", "1.1"), 400);
    assert_eq!(refused("Content-Length: 0x1\r\n", "1.1"), 400);
    assert_eq!(refused("Content-Length:\r\n", "1.1"), 400);
    assert_eq!(
        refused("Content-Length: 99999999999999999999\r\n", "1.1"),
        413
    );
    assert_eq!(
        refused("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "1.1"),
        400
    );
    assert_eq!(refused("Transfer-Encoding: gzip, chunked\r\n", "1.1"), 501);
    assert_eq!(
        refused("Transfer-Encoding: chunked, chunked\r\n", "1.1"),
        501
    );
    assert_eq!(
        refused(
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            "1.1"
        ),
        501
    );
    assert_eq!(refused("Transfer-Encoding: chunked\r\n", "1.0"), 400);
    let same = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(
        request(same).framing,
        Framing::Length(3),
        "one length, told twice"
    );
    for head in [
        "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
        "POST / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
    ] {
        assert_eq!(
            parse_request_head(head.as_bytes(), MOST).unwrap_err().0,
            400,
            "{head}"
        );
    }
}

#[test]
fn heads_are_bounded_however_they_come() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(MOST));
    for end in [MOST, long.len() - 1, long.len()] {
        assert_eq!(
            parse_request_head(&long.as_bytes()[..end], MOST)
                .unwrap_err()
                .0,
            431,
            "{end}"
        );
    }
    assert_eq!(
        parse_request_head(&long.as_bytes()[..MOST - 1], MOST),
        Ok(None)
    );
    assert!(parse_request_head(long.as_bytes(), long.len())
        .unwrap()
        .is_some());
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(FIELDS + 1));
    assert_eq!(
        parse_request_head(many.as_bytes(), many.len())
            .unwrap_err()
            .0,
        431
    );
    let answer = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "a".repeat(MOST));
    assert_eq!(
        parse_response_head(answer.as_bytes(), MOST, false)
            .unwrap_err()
            .0,
        502
    );
}

#[test]
fn a_response_tells_where_its_body_ends() {
    let framing = |head: &str| response(head, false).framing;
    assert_eq!(
        framing("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
        Framing::Length(5)
    );
    assert_eq!(
        framing("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Framing::Chunked
    );
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n"), Framing::UntilClose);
    for status in [100, 103, 204, 304] {
        let head = response(
            &format!("HTTP/1.1 {status} X\r\nContent-Length: 5\r\n\r\n"),
            false,
        );
        assert_eq!(
            (head.framing, head.is_interim()),
            (Framing::None, status < 200),
            "{status}"
        );
    }
    assert_eq!(
        response("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true).framing,
        Framing::None
    );
    assert_eq!(
        response("HTTP/1.1 200 OK\r\n\r\n", true).framing,
        Framing::None
    );
}

#[test]
fn a_connection_stays_open_only_where_the_next_message_can_be_found() {
    let forwarded_headers = |head: &str| response(head, false).keep_alive;
    assert!(forwarded_headers(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    ));
    assert!(!forwarded_headers(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: x, Close\r\n\r\n"
    ));
    assert!(!forwarded_headers(
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n"
    ));
    assert!(forwarded_headers(
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n"
    ));
    assert!(
        !forwarded_headers("HTTP/1.1 200 OK\r\n\r\n"),
        "its end is the connection's"
    );
    assert!(!forwarded_headers(
        "HTTP/1.1 101 Switching Protocols\r\n\r\n"
    ));
    assert!(
        request(POST).keep_alive
            && !request(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n").keep_alive
    );
}

#[test]
fn what_concerns_one_connection_alone_is_not_passed_on() {
    let head = request(
        b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Own\r\nx-own: 1\r\nKeep-Alive: timeout=5\r\n\
        Upgrade: x\r\nTE: x\r\nAccept: */*\r\nAccept: text/plain\r\n\r\n",
    );
    let names: Vec<&str> = head.headers.end_to_end().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["Host", "Accept", "Accept"]);
}
