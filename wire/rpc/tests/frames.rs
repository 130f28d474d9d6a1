//! A reader returns frames as they were sent, or nothing.

use assert_matches::assert_matches;
use lichenswitch_rpc::{
    decode, encode, encode_frame, encode_frame_into, FrameError, FrameReader, HEADER_BYTES,
};
use quickcheck::QuickCheck;

const VERSION: u16 = 3;

/// A value with everything that can be invalid in an archive: variants, text, lists, a flag.
#[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize, Clone, Debug, PartialEq)]
enum Message {
    Empty,
    Text { text: String, flag: bool },
    List(Vec<(u64, Option<String>)>),
}

fn frames_of(payloads: &[(u16, Vec<u8>)]) -> Vec<u8> {
    payloads
        .iter()
        .flat_map(|(kind, payload)| encode_frame(VERSION, *kind, payload).unwrap())
        .collect()
}

/// Pushes chunks and reads all frames.
fn read(chunks: &[&[u8]]) -> (Vec<(u16, Vec<u8>)>, Option<FrameError>) {
    let (mut reader, mut frames) = (FrameReader::with_limit(VERSION, 1 << 16), Vec::new());
    for chunk in chunks {
        reader.push(chunk);
        loop {
            match reader.next_frame() {
                Ok(Some(frame)) => frames.push((frame.kind, frame.payload.to_vec())),
                Ok(None) => break,
                Err(error) => return (frames, Some(error)),
            }
        }
    }
    (frames, None)
}

fn split<'a>(bytes: &'a [u8], boundaries: &[usize]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = boundaries
        .iter()
        .map(|boundary| boundary % (bytes.len() + 1))
        .collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    positions
        .windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

#[test]
fn frames_are_returned_as_sent_whatever_the_chunks() {
    fn property(payloads: Vec<(u16, Vec<u8>)>, boundaries: Vec<usize>) -> bool {
        read(&split(&frames_of(&payloads), &boundaries)) == (payloads, None)
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(Vec<(u16, Vec<u8>)>, Vec<usize>) -> bool);
}

#[test]
fn changed_byte_is_an_error_and_returns_no_other_frame() {
    fn property(
        payloads: Vec<(u16, Vec<u8>)>,
        position: usize,
        change: u8,
        boundaries: Vec<usize>,
    ) -> bool {
        let mut bytes = frames_of(&payloads);
        if bytes.is_empty() || change == 0 {
            return true;
        }
        let position = position % bytes.len();
        bytes[position] ^= change;
        let (frames, error) = read(&split(&bytes, &boundaries));
        payloads.starts_with(&frames) && frames.len() < payloads.len() && error.is_some()
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(_, _, _, _) -> bool);
}

#[test]
fn missing_or_additional_bytes_return_no_other_frame() {
    fn property(
        payloads: Vec<(u16, Vec<u8>)>,
        position: usize,
        removed: usize,
        inserted: Vec<u8>,
    ) -> bool {
        let mut bytes = frames_of(&payloads);
        let start = position % (bytes.len() + 1);
        let end = (start + removed % 64).min(bytes.len());
        bytes.splice(start..end, inserted);
        let (frames, _) = read(&[&bytes]);
        frames.iter().all(|frame| payloads.contains(frame))
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(property as fn(_, _, _, _) -> bool);
}

#[test]
fn random_bytes_return_no_frame() {
    fn property(bytes: Vec<u8>, boundaries: Vec<usize>) -> bool {
        read(&split(&bytes, &boundaries)).0.is_empty()
    }
    QuickCheck::new()
        .tests(50_000)
        .quickcheck(property as fn(Vec<u8>, Vec<usize>) -> bool);
}

#[test]
fn other_version_is_rejected_at_its_sixth_byte() {
    let frame = encode_frame(4, 0, b"").unwrap();
    let mut reader = FrameReader::new(VERSION);
    reader.push(&frame[..5]);
    assert_eq!(reader.next_frame(), Ok(None));
    reader.push(&frame[5..6]);
    let error = reader.next_frame().unwrap_err();
    assert_eq!(error, FrameError::VersionMismatch { ours: 3, theirs: 4 });
    assert_eq!(
        error.to_string(),
        "the other side speaks version 4 of the protocol, this side version 3"
    );
}

#[test]
fn other_protocol_is_rejected_at_its_first_byte() {
    let mut reader = FrameReader::new(VERSION);
    reader.push(b"G");
    assert_eq!(reader.next_frame(), Err(FrameError::UnknownProtocol));
    reader.push(&encode_frame(VERSION, 0, b"").unwrap());
    assert_eq!(reader.next_frame(), Err(FrameError::UnknownProtocol));
    assert_eq!(reader.pending(), 1);
}

#[test]
fn payload_above_the_limit_is_rejected_by_sender_and_receiver() {
    let mut buffer = b"before".to_vec();
    assert_eq!(
        encode_frame_into(&mut buffer, VERSION, 0, &[0; 101], 100),
        Err(FrameError::TooLong {
            bytes: 101,
            limit: 100
        })
    );
    assert_eq!(buffer, b"before");
    let frame = encode_frame(VERSION, 0, &[0; 101]).unwrap();
    let mut reader = FrameReader::with_limit(VERSION, 100);
    reader.push(&frame[..HEADER_BYTES]);
    assert_eq!(
        reader.next_frame(),
        Err(FrameError::TooLong {
            bytes: 101,
            limit: 100
        })
    );
    let longest = encode_frame(
        VERSION,
        0,
        &vec![7; lichenswitch_rpc::DEFAULT_PAYLOAD_LIMIT_BYTES],
    )
    .unwrap();
    let mut reader = FrameReader::new(VERSION);
    reader.push(&longest);
    assert_matches!(reader.next_frame(), Ok(Some(frame)) if frame.payload.len() == 4 << 20);
    assert_matches!(
        encode_frame(VERSION, 0, &vec![7; (4 << 20) + 1]),
        Err(FrameError::TooLong { .. })
    );
}

#[test]
fn values_are_decoded_at_any_alignment() {
    let messages = [
        Message::Empty,
        Message::Text {
            text: "a text that is longer than eight bytes".into(),
            flag: true,
        },
        Message::List(vec![(1, None), (2, Some("two".into()))]),
    ];
    for message in messages {
        let bytes = encode(&message).unwrap();
        for shift in 0..16 {
            let mut shifted = vec![0; shift];
            shifted.extend_from_slice(&bytes);
            assert_eq!(decode::<Message>(&shifted[shift..]).unwrap(), message);
        }
    }
}

#[test]
fn arbitrary_bytes_decode_to_a_value_or_an_error() {
    fn any(bytes: Vec<u8>) -> bool {
        let _ = decode::<Message>(&bytes);
        true
    }
    fn changed(
        text: String,
        list: Vec<(u64, Option<String>)>,
        changes: Vec<(usize, u8)>,
        start: usize,
    ) -> bool {
        for message in [Message::Text { text, flag: false }, Message::List(list)] {
            let mut bytes = encode(&message).unwrap();
            for (position, change) in &changes {
                let position = position % bytes.len();
                bytes[position] ^= change;
            }
            let _ = decode::<Message>(&bytes);
            let _ = decode::<Message>(&bytes[start % bytes.len()..]);
        }
        true
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(any as fn(Vec<u8>) -> bool);
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(changed as fn(_, _, _, _) -> bool);
}
