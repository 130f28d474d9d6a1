//! Server-sent events in a stream that is split anywhere.
//!
//! It finds the ends of events in a stream that a relay forwards unchanged. It promises: events, their
//! ids and the bytes given out are the same however the stream was split; memory is bounded. It works
//! on plain bytes, without I/O.
//!
//! A relay pushes each chunk, forwards [`Scanner::complete`], and drops it with [`Scanner::advance`].
//! What is in [`Scanner::partial`] when the stream breaks off is discarded; the stream is resumed
//! behind [`Scanner::last_event_id`].
//!
//! ```
//! let mut scanner = lichenswitch_event_stream::Scanner::new(1 << 16);
//! let pushed = scanner.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
//! assert_eq!((pushed.events, scanner.complete()), (1, &b"id: 1\ndata: a\n\n"[..]));
//! assert_eq!(scanner.last_event_id(), Some(&b"1"[..]));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod field;
mod scanner;

pub use scanner::{Event, PushOutcome, ScanError, Scanner};
