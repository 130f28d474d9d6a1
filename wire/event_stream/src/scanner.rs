//! The scanner.

use crate::field::{self, Line};

/// A byte order mark, which may stand at the very beginning of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Space that is kept once it has been needed (bytes); what a long event took beyond it is given
/// back.
const KEPT_BYTES: usize = 16 << 10;

/// Why a stream can't be read on. What was whole before can still be passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScanError {
    /// An event is too long.
    #[error("an event of the stream is longer than {limit_bytes} bytes")]
    EventTooLong {
        /// The limit.
        limit_bytes: usize,
    },
}

/// An event that has become whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// The value of its `id` line, where it has one.
    pub id: Option<&'a [u8]>,
    /// The number of its first line, where that is `versions: N`.
    pub versions: Option<u64>,
}

/// What a push has brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pushed {
    /// Events that have become whole. Comments alone make no event.
    pub events: usize,
    /// Bytes at the start of the buffer that are whole events (and comments), those from earlier
    /// pushes included.
    pub whole_bytes: usize,
}

/// The event that is being read, as far as its lines are whole.
#[derive(Debug, Default)]
struct Begun {
    /// It has a line that is no comment.
    has_field: bool,
    /// It has a line.
    has_line: bool,
    /// Where the value of its last `id` line is in the buffer.
    id: Option<(usize, usize)>,
    versions: Option<u64>,
}

/// Finds the ends of events in a stream.
#[derive(Debug)]
pub struct Scanner {
    limit_bytes: usize,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are whole events.
    whole: usize,
    /// Where the present line begins.
    line: usize,
    /// Up to where no line end was found.
    scanned: usize,
    begun: Begun,
    /// Id of the last whole event that had one.
    last_event_id: Option<Vec<u8>>,
    /// Line ends so far were nothing but the first line's: a byte order mark may stand before it.
    at_beginning: bool,
    /// The last line ended in a carriage return that was the last byte.
    after_return: bool,
    error: Option<ScanError>,
}

impl Scanner {
    /// A scanner for one stream whose events have at most so many bytes.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            buffer: Vec::new(),
            whole: 0,
            line: 0,
            scanned: 0,
            begun: Begun::default(),
            last_event_id: None,
            at_beginning: true,
            after_return: false,
            error: None,
        }
    }

    /// Takes a chunk of the stream.
    ///
    /// # Errors
    /// When an event is too long; the events before it are whole all the same. The same error is
    /// given from then on.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Pushed, ScanError> {
        self.push_each(chunk, |_| {})
    }

    /// Takes a chunk of the stream, and tells each event that has become whole with it.
    ///
    /// # Errors
    /// As [`Scanner::push`].
    pub fn push_each(
        &mut self,
        chunk: &[u8],
        mut each: impl FnMut(Event<'_>),
    ) -> Result<Pushed, ScanError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        self.buffer.extend_from_slice(chunk);
        self.take_line_feed();
        let mut events = 0;
        while let Some(length) = memchr::memchr2(b'\n', b'\r', &self.buffer[self.scanned..]) {
            let end = self.scanned + length;
            events += usize::from(self.end_line(end, &mut each)?);
        }
        self.scanned = self.buffer.len();
        self.check_length(self.scanned)?;
        Ok(Pushed {
            events,
            whole_bytes: self.whole,
        })
    }

    /// What may be passed on: whole events.
    #[must_use]
    pub fn whole(&self) -> &[u8] {
        &self.buffer[..self.whole]
    }

    /// What has come of the event that isn't whole yet.
    #[must_use]
    pub fn partial(&self) -> &[u8] {
        &self.buffer[self.whole..]
    }

    /// Drops bytes from the start: they were passed on.
    ///
    /// # Panics
    /// When they are more than were [whole](Self::whole).
    pub fn advance(&mut self, bytes: usize) {
        assert!(bytes <= self.whole, "only whole events are passed on");
        self.buffer.drain(..bytes);
        self.whole -= bytes;
        self.line -= bytes;
        self.scanned -= bytes;
        if let Some((start, end)) = &mut self.begun.id {
            (*start, *end) = (*start - bytes, *end - bytes);
        }
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BYTES {
            self.buffer = Vec::new();
        }
    }

    /// The id of the last whole event that had one: what a stream is resumed behind.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&[u8]> {
        self.last_event_id.as_deref()
    }

    /// Takes the second half of a line end that was cut between its bytes.
    fn take_line_feed(&mut self) {
        if !self.after_return || self.scanned == self.buffer.len() {
            return;
        }
        self.after_return = false;
        if self.buffer[self.scanned] == b'\n' {
            // If the line was the last of an event, its end goes with it.
            self.whole += usize::from(self.whole == self.line);
            self.line += 1;
            self.scanned += 1;
        }
    }

    /// Takes the line that ends here. `true` if it ends an event.
    fn end_line(
        &mut self,
        end: usize,
        each: &mut impl FnMut(Event<'_>),
    ) -> Result<bool, ScanError> {
        let start = self.line;
        self.line = self.after_line_end(end);
        self.scanned = self.line;
        let start = start + self.byte_order_mark(start, end);
        if start < end {
            self.take_field(start, end);
            return Ok(false);
        }
        self.check_length(end)?;
        Ok(self.end_event(each))
    }

    /// Where the next line begins, behind a line end that begins here.
    fn after_line_end(&mut self, end: usize) -> usize {
        if self.buffer[end] == b'\n' {
            return end + 1;
        }
        self.after_return = end + 1 == self.buffer.len();
        end + 1 + usize::from(self.buffer.get(end + 1) == Some(&b'\n'))
    }

    /// Length of the byte order mark at the beginning of the first line.
    fn byte_order_mark(&mut self, start: usize, end: usize) -> usize {
        let first = std::mem::replace(&mut self.at_beginning, false);
        let marked = first && self.buffer[start..end].starts_with(BYTE_ORDER_MARK);
        if marked {
            BYTE_ORDER_MARK.len()
        } else {
            0
        }
    }

    fn take_field(&mut self, start: usize, end: usize) {
        let first = !std::mem::replace(&mut self.begun.has_line, true);
        match field::read(&self.buffer[start..end]) {
            Line::Comment => return,
            // An id with a zero byte is none.
            Line::Id(value) if !value.contains(&0) => {
                self.begun.id = Some((end - value.len(), end))
            }
            Line::Versions(number) if first => self.begun.versions = Some(number),
            _ => {}
        }
        self.begun.has_field = true;
    }

    /// Ends the event that was begun; `true` if there was one.
    fn end_event(&mut self, each: &mut impl FnMut(Event<'_>)) -> bool {
        let begun = std::mem::take(&mut self.begun);
        self.whole = self.line;
        if !begun.has_field {
            return false;
        }
        let id = begun.id.map(|(start, end)| &self.buffer[start..end]);
        if let Some(id) = id {
            let last = self.last_event_id.get_or_insert_default();
            last.clear();
            last.extend_from_slice(id);
        }
        each(Event {
            id,
            versions: begun.versions,
        });
        true
    }

    /// An event is too long if more than the limit comes before its last line end.
    fn check_length(&mut self, end: usize) -> Result<(), ScanError> {
        if end - self.whole <= self.limit_bytes {
            return Ok(());
        }
        let error = ScanError::EventTooLong {
            limit_bytes: self.limit_bytes,
        };
        self.error = Some(error.clone());
        Err(error)
    }
}
