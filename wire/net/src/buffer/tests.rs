//! Tests of `buffer`.

use super::*;

#[test]
fn bytes_leave_in_the_order_in_which_they_came_and_the_ceiling_holds() {
    let mut buffer = Buffer::default();
    let mut source: &[u8] = &[7; 50_000];
    assert!(!buffer.fill(&mut source, 20_000).unwrap());
    assert!(buffer.bytes().len() < 20_000 + CHUNK_BYTES);
    buffer.consume(buffer.bytes().len() - 1);
    buffer.push(b"abc");
    assert_eq!(buffer.bytes(), b"\x07abc");
    let mut out = Vec::new();
    assert_eq!(buffer.drain(&mut out).unwrap(), 4);
    assert_eq!(out, b"\x07abc");
    assert!(buffer.is_empty());
}
