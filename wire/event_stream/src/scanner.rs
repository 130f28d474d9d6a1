//! The search for the ends of events.

use crate::field::{self, Line};

/// A byte order mark, which may stand at the very beginning of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Capacity that an empty buffer keeps (bytes); what a long event needed beyond it is released.
const MAX_RETAINED_CAPACITY_BYTES: usize = 16 << 10;

/// Why a stream can't be read on. Events that were complete before can still be forwarded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScanError {
    /// An event is longer than the limit.
    #[error("an event of the stream is longer than {limit_bytes} bytes")]
    EventTooLong {
        /// The limit (bytes).
        limit_bytes: usize,
    },
}

/// An event that has become complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// The value of its `id` line, where it has one.
    pub id: Option<&'a [u8]>,
    /// The number of its first line, where that is `versions: N`.
    pub versions: Option<u64>,
}

/// The outcome of a push.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PushOutcome {
    /// Events that have become complete. Comments alone make no event.
    pub events: usize,
    /// Bytes at the start of the buffer that are complete events (and comments), those of earlier
    /// pushes included.
    pub complete_bytes: usize,
}

/// The event that is being read, as far as its lines are complete.
#[derive(Debug, Default)]
struct PartialEvent {
    /// It has a line that is not a comment.
    has_field: bool,
    /// It has a line.
    has_line: bool,
    /// Start and end of the value of its last `id` line in the buffer.
    id: Option<(usize, usize)>,
    versions: Option<u64>,
}

/// Finds the ends of events in a stream.
#[derive(Debug)]
pub struct Scanner {
    limit_bytes: usize,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that are complete events.
    complete_len: usize,
    /// Where the current line begins.
    line_start: usize,
    /// Bytes that were searched for line ends.
    scanned_len: usize,
    partial_event: PartialEvent,
    /// Id of the last complete event that had one.
    last_event_id: Option<Vec<u8>>,
    /// The first line has not ended: a byte order mark may precede it.
    is_at_start: bool,
    /// The last byte was a carriage return: a line feed may still belong to it.
    is_after_carriage_return: bool,
    error: Option<ScanError>,
}

impl Scanner {
    /// A scanner for one stream whose events have at most this many bytes.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            buffer: Vec::new(),
            complete_len: 0,
            line_start: 0,
            scanned_len: 0,
            partial_event: PartialEvent::default(),
            last_event_id: None,
            is_at_start: true,
            is_after_carriage_return: false,
            error: None,
        }
    }

    /// Appends a chunk of the stream.
    ///
    /// # Errors
    /// An event is too long; the events before it are complete. The same error is returned from then
    /// on.
    pub fn push(&mut self, chunk: &[u8]) -> Result<PushOutcome, ScanError> {
        self.push_each(chunk, |_| {})
    }

    /// Appends a chunk of the stream, and calls `on_event` for each event that it completes.
    ///
    /// # Errors
    /// As [`Scanner::push`].
    pub fn push_each(
        &mut self,
        chunk: &[u8],
        mut on_event: impl FnMut(Event<'_>),
    ) -> Result<PushOutcome, ScanError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        self.buffer.extend_from_slice(chunk);
        self.take_split_line_feed();
        let mut events = 0;
        while let Some(length) = memchr::memchr2(b'\n', b'\r', &self.buffer[self.scanned_len..]) {
            let end = self.scanned_len + length;
            events += usize::from(self.end_line(end, &mut on_event)?);
        }
        self.scanned_len = self.buffer.len();
        self.check_length(self.scanned_len)?;
        Ok(PushOutcome {
            events,
            complete_bytes: self.complete_len,
        })
    }

    /// The bytes that may be forwarded: complete events.
    #[must_use]
    pub fn complete(&self) -> &[u8] {
        &self.buffer[..self.complete_len]
    }

    /// The bytes of the event that isn't complete yet.
    #[must_use]
    pub fn partial(&self) -> &[u8] {
        &self.buffer[self.complete_len..]
    }

    /// Drops bytes from the start: they were forwarded.
    ///
    /// # Panics
    /// They are more than were [complete](Self::complete).
    pub fn advance(&mut self, bytes: usize) {
        assert!(
            bytes <= self.complete_len,
            "only complete events are forwarded"
        );
        self.buffer.drain(..bytes);
        self.complete_len -= bytes;
        self.line_start -= bytes;
        self.scanned_len -= bytes;
        if let Some((start, end)) = &mut self.partial_event.id {
            (*start, *end) = (*start - bytes, *end - bytes);
        }
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_RETAINED_CAPACITY_BYTES {
            self.buffer = Vec::new();
        }
    }

    /// The id of the last complete event that had one: the stream is resumed behind it.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&[u8]> {
        self.last_event_id.as_deref()
    }

    /// Takes the line feed of a line ending that was split between its bytes.
    fn take_split_line_feed(&mut self) {
        if !self.is_after_carriage_return || self.scanned_len == self.buffer.len() {
            return;
        }
        self.is_after_carriage_return = false;
        if self.buffer[self.scanned_len] == b'\n' {
            // If the line was the last of an event, the line feed belongs to the event.
            self.complete_len += usize::from(self.complete_len == self.line_start);
            self.line_start += 1;
            self.scanned_len += 1;
        }
    }

    /// Takes the line that ends here; `true` if it completes an event.
    fn end_line(
        &mut self,
        end: usize,
        on_event: &mut impl FnMut(Event<'_>),
    ) -> Result<bool, ScanError> {
        let start = self.line_start;
        self.line_start = self.next_line_start(end);
        self.scanned_len = self.line_start;
        let start = start + self.byte_order_mark_len(start, end);
        if start < end {
            self.take_field(start, end);
            return Ok(false);
        }
        self.check_length(end)?;
        Ok(self.end_event(on_event))
    }

    /// Where the next line begins, behind a line ending that begins here.
    fn next_line_start(&mut self, end: usize) -> usize {
        if self.buffer[end] == b'\n' {
            return end + 1;
        }
        self.is_after_carriage_return = end + 1 == self.buffer.len();
        end + 1 + usize::from(self.buffer.get(end + 1) == Some(&b'\n'))
    }

    /// Length of the byte order mark at the beginning of the first line.
    fn byte_order_mark_len(&mut self, start: usize, end: usize) -> usize {
        let first = std::mem::replace(&mut self.is_at_start, false);
        let marked = first && self.buffer[start..end].starts_with(BYTE_ORDER_MARK);
        if marked {
            BYTE_ORDER_MARK.len()
        } else {
            0
        }
    }

    /// Takes a line that is not empty.
    fn take_field(&mut self, start: usize, end: usize) {
        let first = !std::mem::replace(&mut self.partial_event.has_line, true);
        match field::parse(&self.buffer[start..end]) {
            Line::Comment => return,
            // An id with a zero byte is ignored.
            Line::Id(value) if !value.contains(&0) => {
                self.partial_event.id = Some((end - value.len(), end))
            }
            Line::Versions(number) if first => self.partial_event.versions = Some(number),
            _ => {}
        }
        self.partial_event.has_field = true;
    }

    /// Ends the current event; `true` if there was one.
    fn end_event(&mut self, on_event: &mut impl FnMut(Event<'_>)) -> bool {
        let partial_event = std::mem::take(&mut self.partial_event);
        self.complete_len = self.line_start;
        if !partial_event.has_field {
            return false;
        }
        let id = partial_event
            .id
            .map(|(start, end)| &self.buffer[start..end]);
        if let Some(id) = id {
            let last = self.last_event_id.get_or_insert_default();
            last.clear();
            last.extend_from_slice(id);
        }
        on_event(Event {
            id,
            versions: partial_event.versions,
        });
        true
    }

    /// An event is too long if more than the limit comes before its last line end.
    fn check_length(&mut self, end: usize) -> Result<(), ScanError> {
        if end - self.complete_len <= self.limit_bytes {
            return Ok(());
        }
        let error = ScanError::EventTooLong {
            limit_bytes: self.limit_bytes,
        };
        self.error = Some(error.clone());
        Err(error)
    }
}
