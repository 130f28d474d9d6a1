//! Bodies of messages: where they end, and what is in them.
//!
//! It promises that a message has one reading or none: what two programs could read in two ways is an error.

/// Longest line of a chunk's size, and longest trailer section (bytes).
const MAX_LINE: usize = 4 * 1_024;

/// How a message's body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// After so many bytes.
    Length(u64),
    /// With its last chunk.
    Chunked,
    /// With its connection.
    Connection,
}

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// Length and coding are both given, or lengths differ, or one is no number.
    #[error("the length of a body is told in two ways, or in none that can be read")]
    Ambiguous,
    /// A coding other than chunked.
    #[error("a transfer coding other than chunked")]
    Coding,
    /// A chunk has no size, or no end.
    #[error("a chunk is malformed")]
    Chunk,
}

/// The framing that headers tell; `None`: they tell none. Names are in lower case.
pub fn told<'a>(
    headers: impl Iterator<Item = (&'a str, &'a [u8])> + Clone,
) -> Result<Option<Framing>, FramingError> {
    let values = |name: &'static str| {
        headers.clone().filter(move |h| h.0 == name).flat_map(|h| h.1.split(|byte| *byte == b','))
    };
    let mut codings = values("transfer-encoding").map(<[u8]>::trim_ascii);
    let mut lengths = values("content-length").map(<[u8]>::trim_ascii);
    if let Some(coding) = codings.next() {
        // Guards against smuggling: with both, two readers may see two messages.
        if lengths.next().is_some() {
            return Err(FramingError::Ambiguous);
        }
        return match (coding.eq_ignore_ascii_case(b"chunked"), codings.next()) {
            (true, None) => Ok(Some(Framing::Chunked)),
            _ => Err(FramingError::Coding),
        };
    }
    let Some(first) = lengths.next() else { return Ok(None) };
    let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    if !digits || lengths.any(|other| other != first) {
        return Err(FramingError::Ambiguous);
    }
    let length = std::str::from_utf8(first).ok().and_then(|text| text.parse().ok());
    length.map(|length| Some(Framing::Length(length))).ok_or(FramingError::Ambiguous)
}

/// Where a decoder stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes of the body, or of the chunk, are due.
    Bytes(u64),
    /// The line end behind a chunk is due.
    ChunkEnd,
    /// The size of a chunk is due.
    ChunkSize,
    /// The section behind the last chunk is due; so many bytes of it have come.
    Trailers(usize),
    /// Everything that comes belongs to it.
    ToTheEnd,
    Done,
}

/// Reads a body, cut anywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    state: State,
    chunked: bool,
}

/// What a decoder has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decoded<'a> {
    /// Bytes of the body.
    pub bytes: &'a [u8],
    /// How much of the input they and their framing took.
    pub used: usize,
}

impl BodyDecoder {
    /// Of a body that ends like this.
    #[must_use]
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Bytes(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Connection => State::ToTheEnd,
        };
        BodyDecoder { state, chunked: framing == Framing::Chunked }
    }

    /// Whether the body is whole; one that ends with its connection never is by itself.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether it ends with its connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::ToTheEnd
    }

    /// The next bytes of the body; nothing where more input is needed, or the body is whole.
    ///
    /// # Errors
    /// The framing is broken.
    pub fn decode<'a>(&mut self, input: &'a [u8]) -> Result<Option<Decoded<'a>>, FramingError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                State::Done => return Ok((used > 0).then_some(Decoded { bytes: &[], used })),
                State::ToTheEnd | State::Bytes(_) if rest.is_empty() => {
                    return Ok((used > 0).then_some(Decoded { bytes: &[], used }));
                }
                State::ToTheEnd => return Ok(Some(Decoded { bytes: rest, used: used + rest.len() })),
                State::Bytes(due) => {
                    let take = rest.len().min(usize::try_from(due).unwrap_or(usize::MAX));
                    self.state = self.after_bytes(due - take as u64);
                    return Ok(Some(Decoded { bytes: &rest[..take], used: used + take }));
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = State::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok((used > 0).then_some(Decoded { bytes: &[], used })),
                    _ => return Err(FramingError::Chunk),
                },
                // A size without a digit would be read as 0, and so as the end of the body.
                State::ChunkSize if rest.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) => {
                    return Err(FramingError::Chunk);
                }
                State::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        used += length;
                        self.state = if size == 0 { State::Trailers(0) } else { State::Bytes(size) };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_LINE => {
                        return Ok((used > 0).then_some(Decoded { bytes: &[], used }));
                    }
                    _ => return Err(FramingError::Chunk),
                },
                State::Trailers(seen) => {
                    let Some(end) = rest.windows(2).position(|two| two == b"\r\n") else {
                        return match seen + rest.len() <= MAX_LINE {
                            true => Ok((used > 0).then_some(Decoded { bytes: &[], used })),
                            false => Err(FramingError::Chunk),
                        };
                    };
                    used += end + 2;
                    self.state = if end == 0 { State::Done } else { State::Trailers(seen + end + 2) };
                    if seen + end > MAX_LINE {
                        return Err(FramingError::Chunk);
                    }
                }
            }
        }
    }

    fn after_bytes(&self, due: u64) -> State {
        match (due, self.chunked) {
            (0, true) => State::ChunkEnd,
            (0, false) => State::Done,
            (due, _) => State::Bytes(due),
        }
    }
}

#[cfg(test)]
mod tests;
