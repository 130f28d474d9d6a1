//! Tests of `http`.

use super::*;
use lichenswitch_testing::{garbage, random_cuts};

const POST: &[u8] = b"POST /a?x=1 HTTP/1.1\r\nHost: h\r\nReq-Id: 7\r\nContent-Length: 3\r\n\r\nabc";
const CHUNKS: &[u8] =
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;e=1\r\nc\r\n0\r\nT: 1\r\n\r\n";

#[test]
fn message_is_complete_only_at_its_last_byte() {
    random_cuts(&[POST, CHUNKS], |bytes| match request(bytes).unwrap() {
        Parsed::Partial(_) => None,
        Parsed::Complete(r, used) => {
            assert_eq!(r.body, b"abc");
            assert_eq!(r.path(), "/a");
            Some(used)
        }
    });
    let answer: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n";
    random_cuts(&[answer], |bytes| {
        match response(bytes, false, 100).unwrap() {
            Parsed::Partial(_) => None,
            Parsed::Complete(r, used) => (r.body == b"{}\n").then_some(used),
        }
    });
}

#[test]
fn garbage_never_panics() {
    // What bad clients send besides: two lengths, a negative one, and half a body.
    let both: &[u8] =
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let below: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc";
    let half: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: 60000000\r\n\r\nabc";
    garbage(&[POST, CHUNKS, both, below, half], |bytes| {
        let _ = request(bytes);
        let _ = response(bytes, true, 50);
    });
}

#[test]
fn what_can_not_be_read_gets_the_status_that_says_so() {
    let status = |head: &str| request(head.as_bytes()).unwrap_err().0;
    assert_eq!(status("NONSENSE\r\n\r\n"), 400);
    assert_eq!(status("GET / HTTP/3.0\r\n\r\n"), 505);
    assert_eq!(
        status("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"),
        413
    );
    assert_eq!(
        status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        400
    );
    assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: \r\n\r\n"), 400);
    assert_eq!(status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
    assert_eq!(
        status("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        400
    );
    assert_eq!(
        status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"),
        501
    );
    assert_eq!(
        status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n"),
        413
    );
    assert_eq!(
        status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n"),
        400
    );
    assert_eq!(
        status(&format!(
            "GET / HTTP/1.1\r\nA: {}",
            "a".repeat(MAX_HEAD_BYTES)
        )),
        431
    );
}

#[test]
fn connections_stay_open_unless_a_side_says_close() {
    let forwarded_headers = |head: &str| match request(head.as_bytes()).unwrap() {
        Parsed::Complete(r, _) => r.keep_alive,
        Parsed::Partial(_) => panic!("partial"),
    };
    assert!(forwarded_headers("GET / HTTP/1.1\r\n\r\n"));
    assert!(!forwarded_headers(
        "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"
    ));
    assert!(!forwarded_headers("GET / HTTP/1.0\r\n\r\n"));
    let waits = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n";
    assert_eq!(request(waits).unwrap(), Parsed::Partial(true));
    let until_end = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(
        response(until_end, false, 9).unwrap(),
        Parsed::Partial(false)
    );
    assert!(
        matches!(response(until_end, true, 9).unwrap(), Parsed::Complete(r, _) if !r.keep_alive)
    );
}

/// Guards against a name that is read as another one: only spaces and tabs around a value are no part of
/// it.
#[test]
fn white_space_outside_ascii_belongs_to_a_value() {
    let bytes = "GET / HTTP/1.1\r\nReq-Owner: \t\u{a0}team\u{3000} \r\n\r\n";
    match request(bytes.as_bytes()).unwrap() {
        Parsed::Complete(request, _) => {
            assert_eq!(request.header("req-owner"), Some("\u{a0}team\u{3000}"));
        }
        Parsed::Partial(_) => panic!("it is complete"),
    }
}

#[test]
fn values_can_not_forge_headers() {
    let bytes = Response::new(200, "text/plain", "x")
        .with("a", "b\r\nc: d")
        .encode(true, false);
    assert!(String::from_utf8(bytes).unwrap().contains("a: bc: d\r\n"));
}

#[test]
fn a_caller_bounds_the_body() {
    let post = |length: usize| format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    assert_eq!(request_up_to(post(6).as_bytes(), 5).unwrap_err().0, 413);
    assert_eq!(
        request_up_to(post(5).as_bytes(), 5).unwrap(),
        Parsed::Partial(false)
    );
    let whole = format!("{}abcde", post(5));
    assert!(
        matches!(request_up_to(whole.as_bytes(), 5).unwrap(), Parsed::Complete(r, _) if r.body == b"abcde")
    );
}

#[test]
fn heads_are_bounded_however_they_come() {
    let long = format!(
        "GET / HTTP/1.1\r\nA: {}\r\n\r\n",
        "a".repeat(MAX_HEAD_BYTES)
    );
    assert_eq!(request(long.as_bytes()).unwrap_err().0, 431);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nA: {}\r\nContent-Length: 0\r\n\r\n",
        "a".repeat(MAX_HEAD_BYTES)
    );
    assert_eq!(response(answer.as_bytes(), false, 9).unwrap_err().0, 502);
}

#[test]
fn a_chunk_without_a_size_ends_no_body() {
    // Guards against request smuggling: httparse takes a line without digits for the size 0, which
    // would end the body there.
    let request_head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for chunks in [
        "\r\n",
        "\r\n\r\n",
        "2\r\nab\r\n\r\n\r\n",
        ";e=1\r\n\r\n",
        " \r\n\r\n",
        "\t\r\n\r\n",
        " 0\r\n\r\n",
    ] {
        let status = request(format!("{request_head}{chunks}").as_bytes())
            .unwrap_err()
            .0;
        assert_eq!(status, 400, "{chunks:?}");
        let answer = format!("{response_head}{chunks}");
        assert_eq!(
            response(answer.as_bytes(), true, 9).unwrap_err().0,
            400,
            "{chunks:?}"
        );
    }
}
