//! Tests of `http`.

use super::*;

#[test]
fn requests_are_taken_one_by_one_once_complete() {
    let text = "POST /a?b=%20c HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET / HTTP/1.1\r\n\r\n";
    let mut buffer = text.as_bytes()[..47].to_vec();
    assert_eq!(take_request(&mut buffer), Ok(None), "its body is not whole");
    buffer.extend_from_slice(&text.as_bytes()[47..]);
    let first = take_request(&mut buffer).unwrap().unwrap();
    assert_eq!(
        (first.path(), first.parameter("b").as_deref()),
        ("/a", Some(" c"))
    );
    assert_eq!(take_request(&mut buffer).unwrap().unwrap().target, "/");
    assert!(buffer.is_empty() && take_request(&mut b"no http at all\r\n\r\n".to_vec()).is_err());
}

#[test]
fn status_without_standard_reason_phrase_gets_empty_one() {
    assert_eq!(reason_phrase(421), "Misdirected Request");
    assert_eq!(reason_phrase(299), "");
}
