//! Messages, whole and cut.

use super::*;
use std::io::Cursor;

fn response(bytes: &str) -> Result<(Head, Vec<u8>), MessageError> {
    let mut from = Cursor::new(bytes.as_bytes().to_vec());
    let head = read_head(&mut from)?.ok_or(MessageError::Truncated)?;
    let body = read_body(&mut from, &head, true)?;
    Ok((head, body))
}

#[test]
fn body_ends_by_length_by_chunks_or_with_the_connection() {
    let by_length = response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc").expect("whole");
    assert_eq!((by_length.0.status(), by_length.1), (200, b"ab".to_vec()));
    let by_chunks = response(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    );
    assert_eq!(by_chunks.expect("whole").1, b"abc");
    assert_eq!(
        response("HTTP/1.1 200 OK\r\n\r\nabc").expect("whole").1,
        b"abc"
    );
}

#[test]
fn truncated_message_is_an_error() {
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ] {
        assert_eq!(response(cut), Err(MessageError::Truncated), "{cut:?}");
    }
}

#[test]
fn bytes_that_are_no_message_are_an_error() {
    for bytes in [
        "\u{0}\u{1} what is this\r\n\r\n",
        "and so on\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
    ] {
        assert!(
            matches!(response(bytes), Err(MessageError::NotHttp(_))),
            "{bytes:?}"
        );
    }
}

#[test]
fn response_redirects_only_by_307() {
    let head = |status: &str| Head {
        first_line: ["HTTP/1.1".into(), status.into(), "Redirect".into()],
        fields: vec![(
            "Location".into(),
            "http://127.0.0.3:8080/configuration/replace".into(),
        )],
    };
    let found = Response {
        head: head("307"),
        body: Vec::new(),
    }
    .redirect_target();
    let address = SocketAddr::from(([127, 0, 0, 3], 8080));
    assert_eq!(found, Some((address, "/configuration/replace".into())));
    assert_eq!(
        Response {
            head: head("302"),
            body: Vec::new()
        }
        .redirect_target(),
        None
    );
}
