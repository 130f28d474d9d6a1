use super::*;

fn read(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), FramingError> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut body, mut input) = (Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        while let Some(decoded) = decoder.decode(&input)? {
            body.extend_from_slice(decoded.bytes);
            let used = decoded.used;
            assert!(used > 0, "each step takes something, or the loop would not end");
            input.drain(..used);
        }
    }
    Ok((body, decoder.is_done(), input))
}

#[test]
fn bodies_are_read_the_same_wherever_they_are_cut() {
    let chunked: &[u8] =
        b"4\r\nwiki\r\n6;ext=1\r\npedia \r\nE\r\nin \r\n\r\nchunks.\r\n0\r\nTrailer: x\r\n\r\nNEXT";
    let cases: [(Framing, &[u8], &[u8]); 3] = [
        (Framing::Chunked, chunked, b"wikipedia in \r\n\r\nchunks."),
        (Framing::Length(5), b"12345NEXT", b"12345"),
        (Framing::None, b"NEXT", b""),
    ];
    for (framing, bytes, body) in cases {
        for cut in 0..=bytes.len() {
            let (read, done, rest) = read(framing, &[&bytes[..cut], &bytes[cut..]]).expect("sound");
            assert_eq!(
                (read.as_slice(), done, rest.as_slice()),
                (body, true, &b"NEXT"[..]),
                "{framing:?} cut at {cut}"
            );
        }
        let each: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(read(framing, &each).expect("sound").0, body);
    }
}

#[test]
fn a_body_that_ends_with_its_connection_is_never_done_by_itself() {
    let (body, done, _) = read(Framing::Connection, &[b"some", b"thing"]).expect("sound");
    assert_eq!((body.as_slice(), done), (&b"something"[..], false));
}

#[test]
fn chunks_that_are_malformed_are_errors() {
    for bytes in ["x\r\n", "4\r\nwikiX", "4\r\nwiki\rX", "\r\n\r\n"] {
        assert_eq!(read(Framing::Chunked, &[bytes.as_bytes()]), Err(FramingError::Chunk), "{bytes:?}");
    }
    let long = format!("4;{}\r\n", "x".repeat(MAX_LINE + 1));
    assert_eq!(read(Framing::Chunked, &[&long.as_bytes()[..MAX_LINE + 1]]), Err(FramingError::Chunk));
    let trailers = format!("0\r\n{}", "A: b\r\n".repeat(MAX_LINE));
    assert_eq!(read(Framing::Chunked, &[trailers.as_bytes()]), Err(FramingError::Chunk));
}

#[test]
fn headers_tell_one_framing_or_none() {
    let framing = |headers: &[(&'static str, &'static str)]| {
        told(headers.iter().map(|(name, value)| (*name, value.as_bytes())))
    };
    assert_eq!(framing(&[]), Ok(None));
    assert_eq!(framing(&[("content-length", " 7 ")]), Ok(Some(Framing::Length(7))));
    assert_eq!(framing(&[("content-length", "7, 7"), ("content-length", "7")]), Ok(Some(Framing::Length(7))));
    assert_eq!(framing(&[("transfer-encoding", "Chunked")]), Ok(Some(Framing::Chunked)));
    for ambiguous in ["7, 8", "", "+7", "-1", "7a", "0x7", "99999999999999999999999"] {
        assert_eq!(framing(&[("content-length", ambiguous)]), Err(FramingError::Ambiguous), "{ambiguous:?}");
    }
    let both = [("transfer-encoding", "chunked"), ("content-length", "7")];
    assert_eq!(framing(&both), Err(FramingError::Ambiguous));
    for coding in ["gzip", "gzip, chunked", "chunked, chunked", "identity"] {
        assert_eq!(framing(&[("transfer-encoding", coding)]), Err(FramingError::Coding), "{coding:?}");
    }
}
