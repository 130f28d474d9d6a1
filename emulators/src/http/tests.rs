//! Tests of `http`.

use super::*;

#[test]
fn requests_are_taken_off_one_by_one_when_they_are_whole() {
    let text = "POST /a?b=%20c HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET / HTTP/1.1\r\n\r\n";
    let mut held = text.as_bytes()[..47].to_vec();
    assert_eq!(next(&mut held), Ok(None), "its body is not whole");
    held.extend_from_slice(&text.as_bytes()[47..]);
    let first = next(&mut held).unwrap().unwrap();
    assert_eq!(
        (first.path(), first.parameter("b").as_deref()),
        ("/a", Some(" c"))
    );
    assert_eq!(next(&mut held).unwrap().unwrap().target, "/");
    assert!(held.is_empty() && next(&mut b"no http at all\r\n\r\n".to_vec()).is_err());
}
