//! Server-sent events, cut anywhere.
//!
//! It owns the search for the ends of events in a stream that a relay passes on unchanged. It
//! promises: events, their ids and the bytes given out are the same wherever the stream was cut;
//! memory is bounded. It touches plain bytes alone.
//!
//! A relay pushes each chunk, writes [`Scanner::whole`] on as far as its connection takes it, and
//! says so with [`Scanner::advance`]. What is in [`Scanner::partial`] when the stream breaks off is
//! thrown away; the stream is resumed behind [`Scanner::last_event_id`].
//!
//! ```
//! let mut scanner = lichenswitch_event_stream::Scanner::new(1 << 16);
//! let pushed = scanner.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
//! assert_eq!((pushed.events, scanner.whole()), (1, &b"id: 1\ndata: a\n\n"[..]));
//! assert_eq!(scanner.last_event_id(), Some(&b"1"[..]));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod field;
mod scanner;

pub use scanner::{Event, Pushed, ScanError, Scanner};
