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

/// All pieces of an answer that comes in these parts; `ended`: the connection ends in order behind
/// them.
fn read(
    method: &str,
    parts: &[&[u8]],
    ended: bool,
) -> Result<(Vec<ResponsePart>, ResponseReader, Vec<u8>), MalformedResponse> {
    let (mut reader, mut input, mut pieces) = (
        ResponseReader::new(&request(method)),
        Buffer::default(),
        Vec::new(),
    );
    for (n, part) in parts.iter().enumerate() {
        input.push(part);
        let last = ended && n + 1 == parts.len();
        while let Some(piece) = reader.read(&mut input, last)? {
            pieces.push(piece);
        }
    }
    let rest = input.bytes().to_vec();
    Ok((pieces, reader, rest))
}

fn body(pieces: &[ResponsePart]) -> Vec<u8> {
    pieces
        .iter()
        .flat_map(|piece| {
            if let ResponsePart::Body(bytes) = piece {
                bytes.clone()
            } else {
                Vec::new()
            }
        })
        .collect()
}

const WHOLE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 Fine\r\nAttempt-Id: x\r\nResponse-Seal: a.b\r\n\
    Content-Type: Text/Event-Stream; charset=utf-8\r\nConnection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: max=3, timeout=8\r\n\
    Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nEXTRA";

#[test]
fn response_is_the_same_at_any_split() {
    for cut in 0..WHOLE.len() {
        let (pieces, reader, rest) =
            read("GET", &[&WHOLE[..cut], &WHOLE[cut..]], false).expect("an answer");
        assert_matches!(&pieces[0], ResponsePart::Head(head) if head.status == 200 && head.is_event_stream && head.is_sealed);
        assert_eq!(
            (body(&pieces).as_slice(), pieces.last()),
            (&b"abcde"[..], Some(&ResponsePart::End))
        );
        assert_eq!(rest, b"EXTRA", "what is behind it is left where it is");
        assert!(reader.keeps_connection() && reader.is_framed());
        assert_eq!(reader.idle_time(), Some(Duration::from_secs(8)));
        let ResponsePart::Head(head) = &pieces[0] else {
            panic!("a head comes first")
        };
        let text = String::from_utf8(head.encode()).expect("text");
        let lines: Vec<&str> = text.lines().collect();
        let kept = [
            "Attempt-Id: x",
            "Response-Seal: a.b",
            "Content-Type: Text/Event-Stream; charset=utf-8",
        ];
        assert_eq!(
            lines[1..],
            kept,
            "what concerns one connection alone is left out"
        );
    }
}

#[test]
fn response_without_length_completes_only_at_orderly_close() {
    let bytes: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\n\r\nsome";
    let (pieces, reader, _) = read("GET", &[bytes], true).expect("an answer");
    assert_eq!(
        (body(&pieces).as_slice(), pieces.last()),
        (&b"some"[..], Some(&ResponsePart::End))
    );
    assert!(!reader.keeps_connection());
    let (pieces, ..) = read("GET", &[bytes], false).expect("the beginning of an answer");
    assert!(!pieces.contains(&ResponsePart::End));
}

#[test]
fn truncated_response_is_malformed() {
    let cut: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 9\r\n\r\nsome",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n",
        b"HTTP/1.1 200 OK\r\nAttempt-Id",
        b"",
    ];
    for bytes in cut {
        assert!(
            read("GET", &[bytes], true).is_err(),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn invalid_response_is_malformed() {
    let none: [&[u8]; 6] = [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
        b"HTTP/1.1 999 What\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
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
        let (pieces, reader, _) = read(method, &[bytes.as_bytes()], false).expect("an answer");
        assert_matches!(&pieces[..], [ResponsePart::Head(head), ResponsePart::End] if !head.has_body);
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
        let (_, reader, _) = read("GET", &[bytes.as_bytes()], false).expect("an answer");
        assert!(!reader.keeps_connection(), "{head}");
    }
}
