//! Tests of `wire`.

use super::*;
use crate::testing;

fn sound() -> Greeting {
    let address = "127.0.0.1:9000".parse().unwrap();
    Greeting {
        cluster: "c".into(),
        from: Member {
            name: "n0".into(),
            address,
            zone: "a".into(),
            life: 5,
        },
    }
}

#[test]
fn greetings_and_messages_come_out_as_they_went_in_however_they_are_cut() {
    let messages = [
        greeting(&sound()),
        message(&Word::Fleet(vec![7; 300])).unwrap(),
        message(&Word::Refused("no".into())).unwrap(),
    ];
    let parts: Vec<&[u8]> = messages.iter().map(Vec::as_slice).collect();
    testing::random_cuts(&parts, |held| next(held).unwrap().map(|m| m.1));
    let (content, _) = next(&messages[0]).unwrap().unwrap();
    assert_eq!(read_greeting(content, "c"), Ok(sound()));
    assert!(read_greeting(content, "d")
        .unwrap_err()
        .contains("of cluster \"c\", this is \"d\""));
    let mut newer = content.to_vec();
    newer[19] = 2;
    assert!(read_greeting(&newer, "c")
        .unwrap_err()
        .contains("speaks version 2, here it is 1"));
    let (content, _) = next(&messages[1]).unwrap().unwrap();
    assert_eq!(read(content), Ok(Word::Fleet(vec![7; 300])));
    testing::garbage(&parts, |bytes| {
        if let Ok(Some((content, used))) = next(bytes) {
            assert!(used <= bytes.len());
            let _ = (read(content), read_greeting(content, "c"));
        }
    });
}

#[test]
fn claims_beyond_the_longest_are_refused_before_their_bytes_come() {
    assert!(next(&[0, 0, 0]).unwrap().is_none());
    for claim in [0u32, LONGEST as u32 + 1, 100 << 20, u32::MAX] {
        assert!(next(&claim.to_be_bytes())
            .unwrap_err()
            .contains("bytes, 65536 at most"));
    }
    assert!(message(&Word::Fleet(vec![0; LONGEST])).is_none());
}
