//! Tests of `body`.

use super::*;
use lichenswitch_testing::garbage;
use quickcheck::{Gen, QuickCheck};

/// Decodes a body that comes in pieces of these sizes, in turn: the body, what is left over, and
/// whether it is complete.
fn decode(
    framing: Framing,
    most: u64,
    bytes: &[u8],
    cuts: &[usize],
) -> Result<(Vec<u8>, Vec<u8>, bool), MalformedMessage> {
    let mut decoder = BodyDecoder::new(framing, most)?;
    let (mut body, mut held, mut at) = (Vec::new(), Vec::new(), 0);
    let mut cuts = cuts.iter().copied().cycle();
    while at < bytes.len() && !decoder.is_complete() {
        let end = (at + cuts.next().unwrap_or(1).max(1)).min(bytes.len());
        held.extend_from_slice(&bytes[at..end]);
        at = end;
        loop {
            let decoded = decoder.decode(&held)?;
            assert!(
                decoded.body.len() <= decoded.consumed,
                "a piece is part of what it took"
            );
            assert_eq!(decoded.complete, decoder.is_complete());
            body.extend_from_slice(decoded.body);
            let consumed = decoded.consumed;
            held.drain(..consumed);
            if consumed == 0 || decoder.is_complete() {
                break;
            }
        }
    }
    held.extend_from_slice(&bytes[at..]);
    Ok((body, held, decoder.is_complete()))
}

fn chunks(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::new();
    pieces
        .iter()
        .for_each(|piece| encode_chunk(piece, &mut out));
    out.extend_from_slice(LAST_CHUNK);
    out
}

/// Pieces of a body, bytes behind it, and sizes of what comes at a time.
type Property = fn(Vec<Vec<u8>>, Vec<u8>, Vec<usize>) -> bool;

fn check(property: Property) {
    let gen = Gen::from_size_and_seed(48, 0x006c_6963_6865_6e73);
    QuickCheck::new().rng(gen).tests(400).quickcheck(property);
}

#[test]
fn what_was_written_in_chunks_is_read_the_same_wherever_it_is_cut() {
    check(|pieces, behind, cuts| {
        let cuts: Vec<usize> = cuts.iter().map(|c| c % 23).collect();
        let (written, body) = (chunks(&pieces), pieces.concat());
        let most = body.len() as u64;
        let (read, left, complete) = decode(
            Framing::Chunked,
            most,
            &[written, behind.clone()].concat(),
            &cuts,
        )
        .unwrap();
        complete && read == body && left == behind
    });
}

#[test]
fn body_with_content_length_ends_there_however_it_is_split() {
    check(|pieces, behind, cuts| {
        let cuts: Vec<usize> = cuts.iter().map(|c| c % 23).collect();
        let body = pieces.concat();
        let (length, all) = (body.len() as u64, [body.clone(), behind.clone()].concat());
        let (read, left, complete) = decode(Framing::Length(length), length, &all, &cuts).unwrap();
        complete && read == body && left == behind
    });
}

#[test]
fn a_body_cut_off_is_never_complete() {
    check(|pieces, _, cuts| {
        let written = chunks(&pieces);
        let cuts: Vec<usize> = cuts.iter().map(|c| c % 23).collect();
        let complete = |end: usize| {
            decode(Framing::Chunked, 1 << 20, &written[..end], &cuts)
                .unwrap()
                .2
        };
        let ends = cuts
            .iter()
            .take(4)
            .map(|c| written.len() - 1 - c.min(&(written.len() - 1)));
        ends.chain([written.len() - 1]).all(|end| !complete(end)) && complete(written.len())
    });
    let written = chunks(&[vec![b'a'; 3], vec![b'b'; 40]]);
    for end in 0..written.len() {
        assert!(
            !decode(Framing::Chunked, 43, &written[..end], &[1])
                .unwrap()
                .2,
            "{end}"
        );
    }
    let mut short = BodyDecoder::new(Framing::Length(3), 9).unwrap();
    short.decode(b"ab").unwrap();
    assert!(short.end().is_err() && !short.is_complete());
    let mut chunked = BodyDecoder::new(Framing::Chunked, 9).unwrap();
    chunked.decode(b"2\r\nab\r\n").unwrap();
    assert!(chunked.end().is_err());
}

#[test]
fn the_end_of_the_connection_completes_a_body_that_nothing_else_ends() {
    let mut decoder = BodyDecoder::new(Framing::UntilClose, 5).unwrap();
    assert_eq!(
        decoder.decode(b"abc"),
        Ok(Decoded {
            body: b"abc",
            consumed: 3,
            complete: false
        })
    );
    assert_eq!(
        decoder.decode(b""),
        Ok(Decoded {
            body: b"",
            consumed: 0,
            complete: false
        })
    );
    assert_eq!(decoder.decode(b"def"), Err(TOO_LARGE));
    decoder.end().unwrap();
    assert!(decoder.is_complete());
    let mut none = BodyDecoder::new(Framing::None, 0).unwrap();
    assert!(none.is_complete() && none.end().is_ok());
    assert_eq!(
        none.decode(b"next"),
        Ok(Decoded {
            body: b"",
            consumed: 0,
            complete: true
        })
    );
}

#[test]
fn bodies_are_bounded_as_soon_as_it_is_known() {
    assert_eq!(
        BodyDecoder::new(Framing::Length(6), 5).unwrap_err(),
        TOO_LARGE
    );
    let in_chunks = |bytes: &[u8], of| {
        decode(Framing::Chunked, 5, bytes, &[of])
            .map(|_| ())
            .map_err(|e| e.0)
    };
    let chunked = |bytes: &[u8]| in_chunks(bytes, 1);
    let long = |bytes: &[u8]| in_chunks(bytes, 500);
    assert_eq!(chunked(b"5\r\nabcde\r\n0\r\n\r\n"), Ok(()));
    assert_eq!(chunked(b"6\r\n"), Err(413));
    assert_eq!(chunked(b"3\r\nabc\r\n3\r\n"), Err(413));
    assert_eq!(chunked(b"ffffffffffffffff\r\n"), Err(413));
    assert_eq!(chunked(b"10000000000000000\r\n"), Err(400));
    assert_eq!(
        long(format!("1;{}", "x".repeat(MAX_HEAD_BYTES)).as_bytes()),
        Err(400)
    );
    assert_eq!(
        long(format!("0\r\n{}", "T: x\r\n".repeat(MAX_HEAD_BYTES / 6 + 1)).as_bytes()),
        Err(431)
    );
    assert_eq!(
        long(format!("0\r\n{}", "x".repeat(MAX_HEAD_BYTES + 1)).as_bytes()),
        Err(431)
    );
}

#[test]
fn chunks_have_one_reading() {
    let refused = |bytes: &[u8]| decode(Framing::Chunked, 99, bytes, &[2]).unwrap_err().0;
    assert_eq!(refused(b"xx\r\n"), 400);
    assert_eq!(refused(b"\r\n\r\n"), 400, "no number is not zero");
    assert_eq!(refused(b";a\r\n\r\n"), 400);
    assert_eq!(refused(b" 1\r\na\r\n"), 400);
    assert_eq!(refused(b"1\na\n0\n\n"), 400);
    assert_eq!(refused(b"1\r\nab\r\n"), 400, "longer than it says");
    assert_eq!(refused(b"-1\r\n"), 400);
    let (body, left, complete) = decode(
        Framing::Chunked,
        99,
        b"1;x=1\r\na\r\n00\r\nT: 1\r\nU: 2\r\n\r\nnext",
        &[3],
    )
    .unwrap();
    assert!(body == b"a" && left == b"next" && complete);
}

#[test]
fn an_empty_piece_does_not_end_a_body() {
    let mut out = Vec::new();
    encode_chunk(b"", &mut out);
    assert!(out.is_empty());
    encode_chunk(&[b'x'; 17], &mut out);
    assert_eq!(out, [b"11\r\n".as_slice(), &[b'x'; 17], b"\r\n"].concat());
}

#[test]
fn garbage_never_panics() {
    let whole = chunks(&[vec![b'a'; 3], vec![b'b'; 40]]);
    garbage(&[&whole, b"5\r\nabcde\r\n0\r\nT: 1\r\n\r\n"], |bytes| {
        let _ = decode(Framing::Chunked, 50, bytes, &[1, 7]);
        let _ = decode(Framing::Length(20), 50, bytes, &[5]);
    });
}
