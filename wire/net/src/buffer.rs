//! Byte buffers of connections.

use std::io::{self, Read, Write};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// A buffer that has grown beyond this many bytes gives its memory back once it is empty.
const MAX_RETAINED_BYTES: usize = 32 * 1024;

/// A queue of bytes.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// What it holds.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Whether it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Drops the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.is_empty() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > MAX_RETAINED_BYTES {
                self.bytes.shrink_to(CHUNK_BYTES);
            }
        } else if self.start > CHUNK_BYTES {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }

    /// Reads until there is no more, or `max_bytes` bytes are held. `Ok(true)`: the other side has
    /// ended.
    ///
    /// # Errors
    /// What `from` returns, but for an interruption and for having nothing to read now.
    pub fn fill(&mut self, from: &mut impl Read, max_bytes: usize) -> io::Result<bool> {
        let mut chunk = [0; CHUNK_BYTES];
        while self.bytes().len() < max_bytes {
            match from.read(&mut chunk) {
                Ok(0) => return Ok(true),
                Ok(n) => self.push(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Writes as much as `to` takes now.
    pub fn drain(&mut self, to: &mut impl Write) -> DrainProgress {
        let mut written_bytes = 0;
        let error = loop {
            if self.is_empty() {
                break None;
            }
            match to.write(self.bytes()) {
                Ok(0) => break Some(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.consume(count);
                    written_bytes += count;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break None,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => break Some(e),
            }
        };
        DrainProgress {
            written_bytes,
            error,
        }
    }
}

/// What [`Buffer::drain`] has done. An error takes no byte back that was written before it.
#[derive(Debug)]
#[must_use]
pub struct DrainProgress {
    /// Bytes that were written, before the error if there is one.
    pub written_bytes: usize,
    /// What the writer returned, but for an interruption and for taking nothing now; one that takes no
    /// byte at all is [`io::ErrorKind::WriteZero`].
    pub error: Option<io::Error>,
}

#[cfg(test)]
mod tests;
