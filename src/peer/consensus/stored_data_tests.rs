//! Fixtures in `tests/stored_data`, written by the build of commit 6f1ee4c: each later build reads
//! them to the same values and writes the same bytes.

use super::*;
use crate::decide::consensus::bootstrap::Bootstrap;
use crate::decide::consensus::genesis::{Announcement, Genesis, VoterIdentity};
use crate::decide::failure_detector::Member;
use crate::decide::lease::LeaseTerms;
use crate::peer::wire::{self, Frame, Greeting};
use foca::{Codec, Header, Message as SwimMessage, PostcardCodec, State};
use lichenswitch_testing::fixtures::{named_lines, to_hex};
use lichenswitch_testing::Folder;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const TERMS: LeaseTerms = LeaseTerms {
    lease: 1_000_000,
    drift: 20_000,
};
const START: Time = Time(50_000_000);

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/stored_data")
        .join(name)
}

/// The lines `NAME HEX` of a fixture.
fn lines(name: &str) -> Vec<(String, Vec<u8>)> {
    let text = fs::read_to_string(fixture(name)).unwrap();
    let owned = |(name, bytes): (&str, Vec<u8>)| (name.to_owned(), bytes);
    named_lines(&text).into_iter().map(owned).collect()
}

/// Compares what is encoded now with a fixture.
fn compare(name: &str, encoded: &[(String, Vec<u8>)]) {
    assert_eq!(encoded, lines(name));
}

fn member(number: u64) -> Member {
    let address = format!("127.0.0.{number}:9000").parse().unwrap();
    Member {
        name: format!("n{number}"),
        address,
        zone: "a".into(),
        incarnation: 5 + number,
    }
}

fn identity(number: u64) -> VoterIdentity {
    VoterIdentity {
        name: format!("n{number}"),
        storage_id: 300 + number,
    }
}

fn genesis() -> Genesis {
    let names: Vec<String> = (0..3).map(|i| identity(i).name).collect();
    let mut bootstrap = Bootstrap::new(identity(0), &names, None);
    for other in 1..3 {
        bootstrap.on_announcement(&Announcement {
            identity: identity(other),
            genesis: None,
        });
    }
    bootstrap.genesis().unwrap().clone()
}

fn consensus_messages() -> Vec<(&'static str, Message)> {
    let (role, token) = (RoleName("compiler".into()), FencingToken(300));
    let holder = LeaseHolder {
        name: "n1".into(),
        incarnation: 1_700_000_000_000_000,
    };
    let announcement = |genesis| {
        Message::Announcement(Announcement {
            identity: identity(1),
            genesis,
        })
    };
    vec![
        ("announcement", announcement(None)),
        ("announcement_begun", announcement(Some(genesis()))),
        ("log", Message::Log(vec![1, 2, 3])),
        ("ask", Message::LeaseRequest(role.clone(), holder, 7)),
        (
            "answer",
            Message::LeaseResponse(role.clone(), 7, Some(token)),
        ),
        (
            "answer_refused",
            Message::LeaseResponse(role.clone(), 7, None),
        ),
        ("hear", Message::ContactRequest(8)),
        ("heard", Message::ContactResponse(8, 0xcbf2_9ce4_8422_2325)),
        ("elsewhere", Message::LeasedElsewhere(role.clone())),
        ("give_back", Message::Release(role, token)),
    ]
}

#[test]
fn consensus_messages_have_the_bytes_of_the_fixture() {
    let messages = consensus_messages();
    let bytes = |m: &Message| outgoing("n1", m).1;
    let encoded: Vec<_> = messages
        .iter()
        .map(|(name, m)| ((*name).to_owned(), bytes(m)))
        .collect();
    compare("consensus_messages.txt", &encoded);
    for ((name, message), (_, bytes)) in messages.iter().zip(lines("consensus_messages.txt")) {
        assert_eq!(
            postcard::from_bytes::<Message>(&bytes).as_ref(),
            Ok(message),
            "{name}"
        );
    }
}

#[test]
fn peer_frames_have_the_bytes_of_the_fixture() {
    let greeting = Greeting {
        cluster: "coast".into(),
        from: member(1),
    };
    let frames = [
        ("fleet", Frame::Swim(vec![7; 3])),
        ("refused", Frame::Rejected("no".into())),
        ("consensus", Frame::Consensus(vec![8, 9])),
    ];
    let mut encoded = vec![("greeting".to_owned(), wire::encode_greeting(&greeting))];
    encoded.extend(
        frames
            .iter()
            .map(|(name, frame)| ((*name).to_owned(), wire::encode_frame(frame).unwrap())),
    );
    compare("peer_frames.txt", &encoded);
    let stored = lines("peer_frames.txt");
    let content = |at: usize| wire::split_frame(&stored[at].1).unwrap().unwrap().0;
    assert_eq!(
        wire::decode_greeting(content(0), "coast").unwrap(),
        greeting
    );
    for (at, (name, frame)) in frames.iter().enumerate() {
        assert_eq!(
            wire::decode_frame(content(at + 1)).unwrap(),
            *frame,
            "{name}"
        );
    }
}

#[test]
fn swim_messages_have_the_bytes_of_the_fixture() {
    let (target, probe_number) = (member(3), 2);
    let origin = target.clone();
    let kinds = [
        ("ping", SwimMessage::Ping(2)),
        ("ack", SwimMessage::Ack(2)),
        (
            "ping_req",
            SwimMessage::PingReq {
                target: target.clone(),
                probe_number,
            },
        ),
        (
            "indirect_ping",
            SwimMessage::IndirectPing {
                origin: origin.clone(),
                probe_number,
            },
        ),
        (
            "indirect_ack",
            SwimMessage::IndirectAck {
                target,
                probe_number,
            },
        ),
        (
            "forwarded_ack",
            SwimMessage::ForwardedAck {
                origin,
                probe_number,
            },
        ),
        ("announce", SwimMessage::Announce),
        ("feed", SwimMessage::Feed),
        ("gossip", SwimMessage::Gossip),
        ("broadcast", SwimMessage::Broadcast),
        ("turn_undead", SwimMessage::TurnUndead),
    ];
    let header = |message: &SwimMessage<Member>| Header {
        src: member(1),
        src_incarnation: 4,
        dst: member(2),
        message: message.clone(),
    };
    let members = [
        (
            "member_alive",
            foca::Member::new(member(4), 1, State::Alive),
        ),
        (
            "member_suspect",
            foca::Member::new(member(4), 2, State::Suspect),
        ),
        ("member_down", foca::Member::new(member(4), 3, State::Down)),
    ];
    let mut encoded = Vec::new();
    for (name, message) in &kinds {
        let mut bytes = Vec::new();
        PostcardCodec
            .encode_header(&header(message), &mut bytes)
            .unwrap();
        encoded.push(((*name).to_owned(), bytes));
    }
    for (name, member) in &members {
        let mut bytes = Vec::new();
        PostcardCodec.encode_member(member, &mut bytes).unwrap();
        encoded.push(((*name).to_owned(), bytes));
    }
    compare("swim_messages.txt", &encoded);
    let stored = lines("swim_messages.txt");
    for ((name, message), (_, bytes)) in kinds.iter().zip(&stored) {
        let read: Header<Member> = PostcardCodec.decode_header(&bytes[..]).unwrap();
        assert_eq!(read, header(message), "{name}");
    }
    for ((name, member), (_, bytes)) in members.iter().zip(&stored[kinds.len()..]) {
        let read: foca::Member<Member> = PostcardCodec.decode_member(&bytes[..]).unwrap();
        assert_eq!(read, *member, "{name}");
    }
}

/// Three voters with folders in virtual time, until the duty is granted and renewed some times;
/// the first message of each kind and length that one sent another.
fn run_voters(root: &Path) -> Vec<(String, Vec<u8>)> {
    let voters: Vec<String> = (0..3).map(|i| format!("n{i}")).collect();
    let mut brokers: Vec<Consensus> = (0..3u64)
        .map(|i| {
            let folder = Some(root.join(format!("n{i}")));
            let rules = ConsensusConfig {
                voters: voters.clone(),
                folder,
                roles: vec!["compiler".into()],
                terms: TERMS,
            };
            Consensus::new(
                START,
                "coast",
                LeaseHolder {
                    name: format!("n{i}"),
                    incarnation: 7 + i,
                },
                rules,
            )
            .unwrap()
        })
        .collect();
    let mut sent = BTreeMap::new();
    for step in 0..1_000u64 {
        let now = START.plus(step * 5_000);
        for from in 0..3usize {
            if brokers[from].next() > now {
                continue;
            }
            let messages = brokers[from].on_time(now);
            let mut waiting: Vec<(usize, String, Vec<u8>)> = messages
                .into_iter()
                .map(|(to, bytes)| (from, to, bytes))
                .collect();
            while let Some((from, to, bytes)) = waiting.pop() {
                let name = format!("kind{}-{:03}", bytes[0], bytes.len());
                sent.entry(name).or_insert_with(|| bytes.clone());
                let to: usize = to[1..].parse().unwrap();
                let answers = brokers[to].on_message(now, &format!("n{from}"), &bytes);
                waiting.extend(answers.into_iter().map(|(next, bytes)| (to, next, bytes)));
            }
        }
    }
    sent.into_iter().collect()
}

#[test]
fn voter_file_and_log_messages_have_the_bytes_of_the_fixture() {
    let folder = Folder::new(&[]);
    let sent = run_voters(folder.path());
    let written = fs::read(folder.path().join("n0/memory")).unwrap();
    compare("log_messages.txt", &sent);
    assert_eq!(written, fs::read(fixture("voter/memory")).unwrap());
}

#[test]
fn voter_file_of_the_fixture_is_read_to_the_same_state() {
    let folder = Folder::new(&[]);
    fs::copy(fixture("voter/memory"), folder.path().join("memory")).unwrap();
    let rules = ConsensusConfig {
        voters: (0..3).map(|i| format!("n{i}")).collect(),
        folder: Some(folder.path().to_owned()),
        roles: Vec::new(),
        terms: TERMS,
    };
    let own = LeaseHolder {
        name: "n0".into(),
        incarnation: 99,
    };
    let mut consensus = Consensus::new(START, "coast", own, rules).unwrap();
    let log = consensus.take_log();
    let Some(voter) = consensus.voting() else {
        panic!("it does not vote: {log:?}")
    };
    let voters: Vec<_> = voter
        .genesis()
        .voters()
        .iter()
        .map(|v| (v.name.as_str(), v.storage_id))
        .collect();
    let holder = voter.grants().holder(&RoleName("compiler".into()));
    let line = "council: votes, genesis fdac13be65e546d4 (n0, n1, n2), 15 entries known";
    assert_eq!(log, [line]);
    let memories = [
        ("n0", 3_802_111_208_849_415),
        ("n1", 3_803_210_720_477_192),
        ("n2", 3_804_310_232_104_969),
    ];
    assert_eq!(voters, memories);
    assert_eq!(
        holder,
        Some((
            &LeaseHolder {
                name: "n1".into(),
                incarnation: 8
            },
            FencingToken(1)
        ))
    );
    assert_eq!(voter.applied(), 15);
    let whole = lines("voter/whole_record.txt");
    assert_eq!(to_hex(&voter.persisted().0), to_hex(&whole[0].1));
}
