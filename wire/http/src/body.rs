//! Bodies as they come: cut anywhere, decoded piece by piece, and bounded.

use super::{Framing, MalformedMessage, MAX_HEAD_BYTES};

/// The end of a body that was written in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes a piece of a body as one chunk. Nothing is written for an empty one, which would end the
/// body.
pub fn encode_chunk(chunk: &[u8], out: &mut Vec<u8>) {
    if chunk.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    out.extend_from_slice(chunk);
    out.extend_from_slice(b"\r\n");
}

/// What was decoded of the bytes that are here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decoded<'a> {
    /// The next piece of the body; it may be empty.
    pub body: &'a [u8],
    /// Bytes that are done with: the next call begins behind them. None: more bytes are needed, or
    /// the body is complete.
    pub consumed: usize,
    /// The body is complete. What is behind `consumed` is no part of it.
    pub complete: bool,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// So many bytes of a body that is as long as was told.
    Rest(u64),
    /// The line with the size of a chunk.
    Size,
    /// So many bytes of a chunk.
    Chunk(u64),
    /// The end of a chunk.
    ChunkEnd,
    /// Trailers, of which so many bytes have come.
    Trailers(usize),
    /// Whatever comes.
    Any,
    /// Nothing.
    Done,
}

/// Decodes a body. It is given the bytes that have come and not been used; it gives out pieces of
/// the body in order, and tells where the body ends.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    next: Next,
    /// Bytes that it may still hold.
    capacity: u64,
}

const TOO_LARGE: MalformedMessage = MalformedMessage(413, "body too large");

impl BodyDecoder {
    /// For a body of at most `most` bytes.
    ///
    /// # Errors
    /// Its length is told to be more than that.
    pub fn new(framing: Framing, most: u64) -> Result<BodyDecoder, MalformedMessage> {
        let next = match framing {
            Framing::None | Framing::Length(0) => Next::Done,
            Framing::Length(length) if length > most => return Err(TOO_LARGE),
            Framing::Length(length) => Next::Rest(length),
            Framing::Chunked => Next::Size,
            Framing::UntilClose => Next::Any,
        };
        Ok(BodyDecoder {
            next,
            capacity: most,
        })
    }

    /// Whether the body is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.next == Next::Done
    }

    /// The other side sends nothing more: that completes a body that nothing else ends.
    ///
    /// # Errors
    /// The body ended before its end.
    pub fn end(&mut self) -> Result<(), MalformedMessage> {
        match self.next {
            Next::Any | Next::Done => self.next = Next::Done,
            _ => return Err(MalformedMessage(400, "body ended before its end")),
        }
        Ok(())
    }

    /// Decodes the next piece. Called again with what is behind `consumed`, until that is nothing.
    ///
    /// # Errors
    /// It can't be read, or is too large.
    pub fn decode<'a>(&mut self, bytes: &'a [u8]) -> Result<Decoded<'a>, MalformedMessage> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            match self.next {
                Next::Rest(left) | Next::Chunk(left) => {
                    let body = self.take(left, rest);
                    return Ok(Decoded {
                        body,
                        consumed: at + body.len(),
                        complete: self.is_complete(),
                    });
                }
                Next::Any => {
                    if rest.len() as u64 > self.capacity {
                        return Err(TOO_LARGE);
                    }
                    self.capacity -= rest.len() as u64;
                    return Ok(Decoded {
                        body: rest,
                        consumed: bytes.len(),
                        complete: false,
                    });
                }
                Next::Done => {
                    return Ok(Decoded {
                        body: &[],
                        consumed: at,
                        complete: true,
                    })
                }
                Next::Size | Next::ChunkEnd | Next::Trailers(_) => match self.skip(rest)? {
                    0 => {
                        return Ok(Decoded {
                            body: &[],
                            consumed: at,
                            complete: false,
                        })
                    }
                    used => at += used,
                },
            }
        }
    }

    /// Takes what is here of so many bytes.
    fn take<'a>(&mut self, left: u64, rest: &'a [u8]) -> &'a [u8] {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
        let left = left - count as u64;
        self.capacity -= count as u64;
        self.next = match self.next {
            Next::Chunk(_) if left == 0 => Next::ChunkEnd,
            Next::Chunk(_) => Next::Chunk(left),
            _ if left == 0 => Next::Done,
            _ => Next::Rest(left),
        };
        &rest[..count]
    }

    /// Takes what stands between pieces; tells how many bytes that were, none where more are
    /// needed.
    fn skip(&mut self, rest: &[u8]) -> Result<usize, MalformedMessage> {
        match self.next {
            Next::Size => self.size(rest),
            Next::ChunkEnd => match rest.get(..2) {
                Some(b"\r\n") => {
                    self.next = Next::Size;
                    Ok(2)
                }
                Some(_) => Err(MalformedMessage(400, "chunk without its end")),
                None => Ok(0),
            },
            Next::Trailers(seen) => self.trailer(seen, rest),
            _ => Ok(0),
        }
    }

    fn size(&mut self, rest: &[u8]) -> Result<usize, MalformedMessage> {
        // A line without a number is no end of a body, though it may be taken for one.
        if rest.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
            return Err(MalformedMessage(400, "bad chunk size"));
        }
        let (used, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(found)) => found,
            // Guards memory: what is no body grows as well.
            Ok(httparse::Status::Partial) if rest.len() > MAX_HEAD_BYTES => {
                return Err(MalformedMessage(400, "line of a chunk too long"));
            }
            Ok(httparse::Status::Partial) => return Ok(0),
            Err(_) => return Err(MalformedMessage(400, "bad chunk size")),
        };
        // Guards memory, as soon as it is known.
        if size > self.capacity {
            return Err(TOO_LARGE);
        }
        self.next = if size == 0 {
            Next::Trailers(0)
        } else {
            Next::Chunk(size)
        };
        Ok(used)
    }

    /// One line of the trailers, which are left out.
    fn trailer(&mut self, seen: usize, rest: &[u8]) -> Result<usize, MalformedMessage> {
        let end = rest.windows(2).position(|w| w == b"\r\n");
        let used = end.map_or(0, |end| end + 2);
        // Guards memory and time against trailers without end.
        if seen + if end.is_some() { used } else { rest.len() } > MAX_HEAD_BYTES {
            return Err(MalformedMessage(431, "trailers too large"));
        }
        match end {
            Some(0) => self.next = Next::Done,
            Some(_) => self.next = Next::Trailers(seen + used),
            None => {}
        }
        Ok(used)
    }
}

#[cfg(test)]
mod tests;
