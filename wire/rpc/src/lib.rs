//! Frames between the processes of a fleet: rkyv archives behind a length, a version and a
//! checksum.
//!
//! It owns the framing and the table of calls that wait for an answer. It promises: what a
//! [`FrameReader`] gives out is a frame as it was sent, or nothing; a process of another version is
//! refused by name; no bytes make it panic. It touches plain bytes alone.
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
mod calls;
mod frame;

pub use archive::{decode, encode, ArchiveError};
pub use calls::Calls;
pub use frame::{
    encode_frame, encode_frame_into, Frame, FrameError, FrameReader, DEFAULT_PAYLOAD_LIMIT_BYTES,
    HEADER_BYTES,
};
