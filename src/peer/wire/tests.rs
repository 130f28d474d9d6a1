//! Tests of `wire`.

use super::*;
use crate::testing;

fn greeting() -> Greeting {
    let address = "127.0.0.1:9000".parse().unwrap();
    Greeting {
        cluster: "c".into(),
        from: Member {
            name: "n0".into(),
            address,
            zone: "a".into(),
            incarnation: 5,
        },
    }
}

#[test]
fn greetings_and_frames_are_decoded_as_encoded_however_they_are_split() {
    let frames = [
        encode_greeting(&greeting()),
        encode_frame(&Frame::Swim(vec![7; 300])).unwrap(),
        encode_frame(&Frame::Rejected("no".into())).unwrap(),
    ];
    let slices: Vec<&[u8]> = frames.iter().map(Vec::as_slice).collect();
    testing::random_cuts(&slices, |received| {
        split_frame(received).unwrap().map(|m| m.1)
    });
    let (content, _) = split_frame(&frames[0]).unwrap().unwrap();
    assert_eq!(decode_greeting(content, "c"), Ok(greeting()));
    assert!(decode_greeting(content, "d")
        .unwrap_err()
        .to_string()
        .contains("of cluster \"c\", this is \"d\""));
    let mut newer = content.to_vec();
    newer[19] = 2;
    assert!(decode_greeting(&newer, "c")
        .unwrap_err()
        .to_string()
        .contains("speaks version 2, here it is 1"));
    let (content, _) = split_frame(&frames[1]).unwrap().unwrap();
    assert_eq!(decode_frame(content), Ok(Frame::Swim(vec![7; 300])));
    testing::garbage(&slices, |bytes| {
        if let Ok(Some((content, used))) = split_frame(bytes) {
            assert!(used <= bytes.len());
            let _ = (decode_frame(content), decode_greeting(content, "c"));
        }
    });
}

#[test]
fn length_out_of_bounds_is_rejected_before_the_bytes_arrive() {
    assert!(split_frame(&[0, 0, 0]).unwrap().is_none());
    for claim in [0u32, MAX_FRAME_BYTES as u32 + 1, 100 << 20, u32::MAX] {
        assert!(split_frame(&claim.to_be_bytes())
            .unwrap_err()
            .to_string()
            .contains("bytes, 65536 at most"));
    }
    assert!(encode_frame(&Frame::Swim(vec![0; MAX_FRAME_BYTES])).is_none());
}
