use super::*;
use crate::router::request_reader::{RequestProgress, RequestReader};
use assert_matches::assert_matches;
use lichenswitch_configuration::Limits;

fn request(method: &str) -> ClientRequest {
    let mut input = Buffer::default();
    input.push(format!("{method} / HTTP/1.1\r\nHost: a\r\nAttempt-Id: x\r\n\r\n").as_bytes());
    match RequestReader::new(&Limits::default()).read(&mut input) {
        Ok(RequestProgress::Complete(request)) => *request,
        other => panic!("{other:?}"),
    }
}

/// All parts of a response that comes in these splits; `ended`: the connection closes in order behind
/// them.
fn read(
    method: &str,
    splits: &[&[u8]],
    ended: bool,
) -> Result<(Vec<ResponsePart>, ResponseReader, Vec<u8>), MalformedResponse> {
    let (mut reader, mut input, mut parts) = (
        ResponseReader::new(&request(method)),
        Buffer::default(),
        Vec::new(),
    );
    for (n, bytes) in splits.iter().enumerate() {
        input.push(bytes);
        let last = ended && n + 1 == splits.len();
        while let Some(part) = reader.read(&mut input, last)? {
            parts.push(part);
        }
    }
    let rest = input.bytes().to_vec();
    Ok((parts, reader, rest))
}

fn body(parts: &[ResponsePart]) -> Vec<u8> {
    parts
        .iter()
        .flat_map(|part| {
            if let ResponsePart::Body(bytes) = part {
                bytes.clone()
            } else {
                Vec::new()
            }
        })
        .collect()
}

const COMPLETE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 Fine\r\nAttempt-Id: x\r\nResponse-Seal: a.b\r\n\
    Content-Type: Text/Event-Stream; charset=utf-8\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: max=3, timeout=8\r\n\
    Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nEXTRA";

#[test]
fn response_is_the_same_at_any_split() {
    for split in 0..COMPLETE_RESPONSE.len() {
        let (parts, reader, rest) = read(
            "GET",
            &[&COMPLETE_RESPONSE[..split], &COMPLETE_RESPONSE[split..]],
            false,
        )
        .expect("a response");
        assert_matches!(&parts[0], ResponsePart::Head(head) if head.status == 200 && head.is_event_stream && head.is_sealed);
        assert_eq!(
            (body(&parts).as_slice(), parts.last()),
            (&b"abcde"[..], Some(&ResponsePart::End))
        );
        assert_eq!(rest, b"EXTRA", "what is behind it is left where it is");
        assert!(reader.keeps_connection() && reader.is_framed());
        assert_eq!(reader.idle_time(), Some(Duration::from_secs(8)));
        let ResponsePart::Head(head) = &parts[0] else {
            panic!("a head comes first")
        };
        let text = String::from_utf8(head.encode()).expect("text");
        let lines: Vec<&str> = text.lines().collect();
        let expected_lines = [
            "Attempt-Id: x",
            "Response-Seal: a.b",
            "Content-Type: Text/Event-Stream; charset=utf-8",
        ];
        assert_eq!(
            lines[1..],
            expected_lines,
            "what concerns one connection alone is left out"
        );
    }
}

#[test]
fn response_without_length_completes_only_at_orderly_close() {
    let bytes: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\n\r\nsome";
    let (parts, reader, _) = read("GET", &[bytes], true).expect("a response");
    assert_eq!(
        (body(&parts).as_slice(), parts.last()),
        (&b"some"[..], Some(&ResponsePart::End))
    );
    assert!(!reader.keeps_connection());
    let (parts, ..) = read("GET", &[bytes], false).expect("the beginning of a response");
    assert!(!parts.contains(&ResponsePart::End));
}

#[test]
fn truncated_response_is_malformed() {
    let truncated: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 9\r\n\r\nsome",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n",
        b"HTTP/1.1 200 OK\r\nAttempt-Id",
        b"",
    ];
    for bytes in truncated {
        assert!(
            read("GET", &[bytes], true).is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn invalid_response_is_malformed() {
    let none: [&[u8]; 8] = [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
        b"HTTP/1.1 999 What\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        // It can't be told which request it is for; a request without an id would take it.
        b"HTTP/1.1 200 OK\r\nAttempt-Id: \xff\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nAttempt-Id: y\r\nContent-Length: 0\r\n\r\n",
    ];
    for bytes in none {
        assert!(
            read("GET", &[bytes], false).is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn bodiless_responses_ignore_declared_length() {
    for (method, status) in [("HEAD", 200), ("GET", 204), ("GET", 304)] {
        let bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\n");
        let (parts, reader, _) = read(method, &[bytes.as_bytes()], false).expect("a response");
        assert_matches!(&parts[..], [ResponsePart::Head(head), ResponsePart::End] if !head.has_body);
        assert!(reader.keeps_connection());
    }
}

#[test]
fn connection_header_decides_reuse() {
    for head in [
        "HTTP/1.1 200 OK\r\nConnection: Close\r\n",
        "HTTP/1.0 200 OK\r\n",
    ] {
        let bytes = format!("{head}Content-Length: 0\r\n\r\n");
        let (_, reader, _) = read("GET", &[bytes.as_bytes()], false).expect("a response");
        assert!(!reader.keeps_connection(), "{head}");
    }
}
