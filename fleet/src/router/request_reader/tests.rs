use super::*;
use crate::router::client_request::ForwardingHeaders;

fn reader() -> RequestReader {
    RequestReader::new(&Limits {
        max_header_bytes: 1_024,
        max_body_bytes: 100,
        ..Limits::default()
    })
}

fn read(bytes: &[u8]) -> Result<RequestProgress, MalformedMessage> {
    let mut input = Buffer::default();
    input.push(bytes);
    reader().read(&mut input)
}

fn read_complete(bytes: &[u8]) -> ClientRequest {
    match read(bytes) {
        Ok(RequestProgress::Complete(request)) => *request,
        other => panic!("not whole: {other:?}"),
    }
}

const VALID_REQUEST: &[u8] = b"POST /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: x1\r\nDeadline-Ms: 250\r\n\
    Model: m\r\nToken-Usage: 1,2\r\nPrompt-Prefix: a:1,b:2\r\nTarget-Instance: theirs\r\nKeep-Alive: 5\r\n\
    X-Raw: \xff\xfe\r\nLast-Event-Id: 7\r\nContent-Length: 4\r\n\r\nbody";

#[test]
fn request_is_the_same_at_any_split() {
    let expected = read_complete(VALID_REQUEST);
    assert_eq!(expected.deadline, Some(Duration::from_millis(250)));
    assert_eq!(
        (expected.attempt_id.as_deref(), expected.host.as_str()),
        (Some("x1"), "h.example")
    );
    assert!(expected.keep_alive);
    for cut in 0..VALID_REQUEST.len() {
        let (mut reader, mut input) = (reader(), Buffer::default());
        input.push(&VALID_REQUEST[..cut]);
        assert!(
            matches!(
                reader.read(&mut input),
                Ok(RequestProgress::Incomplete { .. })
            ),
            "cut at {cut}"
        );
        input.push(&VALID_REQUEST[cut..]);
        match reader.read(&mut input) {
            Ok(RequestProgress::Complete(request)) => {
                assert_eq!(*request, expected, "cut at {cut}")
            }
            other => panic!("cut at {cut}: {other:?}"),
        }
    }
}

#[test]
fn encoded_head_has_client_headers_and_own_headers() {
    let request = read_complete(VALID_REQUEST);
    let mut bytes = Vec::new();
    let left = Duration::from_micros(123_900);
    let send = ForwardingHeaders {
        remaining: left,
        target_instance: "i-9",
        priority: 2,
        resume_after: None,
        sender: None,
    };
    request.encode_head(&send, &mut bytes);
    let expected: &[u8] = b"POST /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: x1\r\nModel: m\r\n\
        Token-Usage: 1,2\r\nPrompt-Prefix: a:1,b:2\r\nX-Raw: \xff\xfe\r\nDeadline-Ms: 123\r\nTarget-Instance: i-9\r\n\
        Priority: 2\r\n\
        Last-Event-Id: 7\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(
        String::from_utf8_lossy(&bytes),
        String::from_utf8_lossy(expected)
    );
    let mut resumed = Vec::new();
    request.encode_head(
        &ForwardingHeaders {
            resume_after: Some(b"31"),
            ..send
        },
        &mut resumed,
    );
    let text = String::from_utf8_lossy(&resumed).into_owned();
    assert!(text.contains("Last-Event-Id: 31\r\n") && !text.contains("Last-Event-Id: 7"));
}

#[test]
fn oversized_or_ambiguous_request_is_rejected() {
    let long = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(1_100)
    );
    let cases: [(&[u8], u16); 13] = [
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400),
        (b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\nAttempt-Id: 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400),
        (long.as_bytes(), 431),
    ];
    for (bytes, status) in cases {
        let refused = read(bytes).expect_err("refused");
        assert_eq!(refused.0, status, "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn expect_continue_is_reported_once() {
    let (mut reader, mut input) = (reader(), Buffer::default());
    input.push(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n");
    assert!(matches!(
        reader.read(&mut input),
        Ok(RequestProgress::Incomplete {
            expects_continue: true
        })
    ));
    input.push(b"o");
    assert!(matches!(
        reader.read(&mut input),
        Ok(RequestProgress::Incomplete {
            expects_continue: false
        })
    ));
    input.push(b"k");
    assert!(matches!(
        reader.read(&mut input),
        Ok(RequestProgress::Complete(_))
    ));
}

#[test]
fn bytes_behind_a_request_stay_buffered() {
    let (mut reader, mut input) = (reader(), Buffer::default());
    input.push(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /next");
    assert!(matches!(
        reader.read(&mut input),
        Ok(RequestProgress::Complete(_))
    ));
    assert_eq!(input.bytes(), b"GET /next");
}

#[test]
fn incomplete_heads_and_bodies_count_as_buffered() {
    let mut reader = RequestReader::new(&Limits::default());
    let mut input = Buffer::default();
    let head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
    input.push(&head[..20]);
    assert!(reader.read(&mut input).is_ok());
    assert_eq!(
        (reader.buffered_bytes(), reader.max_input_bytes()),
        (20, 16_384)
    );
    input.push(&head[20..]);
    input.push(b"ab");
    assert!(reader.read(&mut input).is_ok());
    assert_eq!((reader.buffered_bytes(), reader.max_input_bytes()), (2, 0));
    input.push(b"cd");
    assert!(reader.read(&mut input).is_ok());
    assert_eq!(reader.buffered_bytes(), 0);
}
