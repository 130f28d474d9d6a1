//! Framing between the processes of a fleet: `rkyv` archives behind a length, a version and
//! checksums.
//!
//! It owns the framing. It promises that what a [`FrameReader`] returns
//! is a frame as it was sent, or nothing; that a process of another version is rejected with an error
//! that names both versions; and that no input makes it panic. It does no I/O.
//!
//! ```
//! use lichenswitch_rpc::{decode, encode, encode_frame, FrameReader};
//! let frame = encode_frame(1, 7, &encode(&"hello".to_owned()).unwrap()).unwrap();
//! let mut reader = FrameReader::new(1);
//! reader.push(&frame);
//! let received = reader.next_frame().unwrap().unwrap();
//! assert_eq!((received.kind, decode::<String>(received.payload).unwrap().as_str()), (7, "hello"));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod archive;
mod frame;

pub use archive::{decode, encode, ArchiveError};
pub use frame::{
    encode_frame, encode_frame_into, Frame, FrameError, FrameReader, DEFAULT_PAYLOAD_LIMIT_BYTES,
    HEADER_BYTES,
};
