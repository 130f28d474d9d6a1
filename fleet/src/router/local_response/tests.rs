use super::*;

#[test]
fn unavailable_response_has_retry_after() {
    let text =
        |answer: LocalResponse| String::from_utf8(answer.encode(false, false)).expect("text");
    assert!(text(LocalResponse::unavailable(Some(150_000))).contains("retry-after: 0.150\r\n"));
    assert!(text(LocalResponse::unavailable(None)).contains("retry-after: 0.200\r\n"));
    assert!(!text(LocalResponse::status_only(502)).contains("retry-after"));
    assert!(text(LocalResponse::status_only(502)).ends_with("\r\n\r\nBad Gateway"));
}
