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
    let progress = buffer.drain(&mut out);
    assert!(progress.error.is_none());
    assert_eq!(progress.written_bytes, 4);
    assert_eq!(out, b"\x07abc");
    assert!(buffer.is_empty());
}

/// A writer that takes some bytes and then fails, as a connection does that is reset meanwhile.
struct FailingWriter {
    accepted_bytes: usize,
}

impl Write for FailingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match std::mem::take(&mut self.accepted_bytes) {
            0 => Err(io::ErrorKind::ConnectionReset.into()),
            accepted => Ok(accepted.min(bytes.len())),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against TWICE (review/1): a request counted as never sent though its first bytes had been.
#[test]
fn bytes_written_before_an_error_are_counted() {
    let mut buffer = Buffer::default();
    buffer.push(b"abcdef");
    let progress = buffer.drain(&mut FailingWriter { accepted_bytes: 4 });
    let error = progress.error.map(|e| e.kind());
    assert_eq!(
        (progress.written_bytes, error, buffer.bytes()),
        (4, Some(io::ErrorKind::ConnectionReset), &b"ef"[..])
    );
}
