//! What control machines have acknowledged or were told, when one of them ends or is cut off.

mod control_support;

use control_support::{call, configuration, wait_for, FakeRouter, Fleet, PATIENCE};
use lichenswitch_fleet::envelopes::{encode, EnvelopeReader};
use lichenswitch_messages::{
    ControlToRouter, Envelope, PeerMessage, ServerRecord, ServerState, PROTOCOL_VERSION,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

const REPLACE: &str = "/configuration/replace";

/// A control machine, as far as another one sees it.
struct FakePeer {
    stream: TcpStream,
    reader: EnvelopeReader,
}

impl FakePeer {
    /// Connects, and says that it is at this address.
    fn connect(address: SocketAddr, own: &str, identity: u64) -> FakePeer {
        let stream = wait_for("a control machine", || TcpStream::connect(address).ok());
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut peer = FakePeer { stream, reader: EnvelopeReader::default() };
        peer.say(PeerMessage::Hello {
            protocol: PROTOCOL_VERSION,
            node: own.to_owned(),
            address: own.to_owned(),
            identity,
            eligible: false,
            known: Vec::new(),
        });
        peer
    }

    fn say(&mut self, message: PeerMessage) {
        self.stream.write_all(&encode(&Envelope::Peer(message)).unwrap()).unwrap();
    }

    /// The next message of a kind.
    fn next_of<T>(&mut self, mut pick: impl FnMut(PeerMessage) -> Option<T>) -> T {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(Envelope::Peer(message)) = self.reader.next_envelope().unwrap() {
                if let Some(found) = pick(message) {
                    return found;
                }
                continue;
            }
            let mut bytes = [0; 4_096];
            let count = self.stream.read(&mut bytes).unwrap();
            assert!(count > 0, "the control machine has closed the connection");
            self.reader.push(&bytes[..count]);
        }
        panic!("nothing of the kind came");
    }

    /// Waits until it is known as connected: it is sent the whole table then.
    fn await_greeting(&mut self) {
        self.next_of(|message| matches!(message, PeerMessage::Servers { whole: true, .. }).then_some(()));
    }
}

/// The table of servers on the disk of a machine, as far as it is text.
fn table_on_disk(fleet: &Fleet, place: usize) -> String {
    let bytes = std::fs::read(fleet.machines[place].folder.join("data/servers")).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn state_told(records: &[ServerRecord], instance: &str) -> Option<ServerState> {
    records.iter().find(|record| record.instance == instance).map(|record| record.state)
}

#[test]
fn that_a_server_leaves_is_told_on_by_whoever_hears_it() {
    let mut fleet = Fleet::of("told-on", &[true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let machine = &fleet.machines[0];
    // Two machines that the third connects, and that are not connected to each other.
    let mut one = FakePeer::connect(machine.internal, "127.0.0.1:9", 71);
    let mut other = FakePeer::connect(machine.internal, "127.0.0.1:10", 72);
    one.await_greeting();
    other.await_greeting();
    let gone =
        ServerRecord { instance: "i-5".to_owned(), state: ServerState::Gone, ..ServerRecord::default() };
    one.say(PeerMessage::Servers { ack: 7, records: vec![gone], whole: false });
    one.next_of(|message| matches!(message, PeerMessage::ServersMerged { ack: 7 }).then_some(()));
    // What is sent later marks the end of what would have been told on.
    let address = machine.control_plane;
    std::thread::spawn(move || drop(call(address, "POST", "/instances/i-6/deregister", &[], "")));
    let told = other.next_of(|message| match message {
        PeerMessage::Servers { records, .. } => state_told(&records, "i-5")
            .map(Some)
            .or_else(|| state_told(&records, "i-6").is_some().then_some(None)),
        _ => None,
    });
    assert_eq!(told, Some(ServerState::Gone), "the one that said so may be cut off from the others");
}

#[test]
fn who_had_left_before_all_machines_were_killed_stays_gone() {
    let mut fleet = Fleet::of("stays-gone", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let address = fleet.machines[0].control_plane;
    let beat = |sequence| {
        wait_for("a beat", || {
            control_support::beat(address, "i-8", "ready", sequence).ok().filter(|a| a.status == 200)
        })
    };
    beat(4);
    let left = wait_for("its end", || {
        call(address, "POST", "/instances/i-8/deregister", &[], "").ok().filter(|a| a.status == 200)
    });
    assert_eq!(left.status, 200);
    // A server that is gone has no address any more.
    let ended = |table: String| table.contains("i-8") && !table.contains(":8003");
    wait_for("its end on all disks", || {
        (0..3).map(|place| table_on_disk(&fleet, place)).all(ended).then_some(())
    });
    (0..3).for_each(|place| fleet.kill(place));
    (0..3).for_each(|place| fleet.start(place, false));
    // A beat from before its end, which was long on its way.
    beat(3);
    let mut router = FakeRouter::connect(fleet.machines[1].internal, "after");
    let state = router.next_of(|message| match message {
        ControlToRouter::Servers { records, whole, .. } => {
            state_told(&records, "i-8").map(Some).or_else(|| whole.then_some(None))
        }
        _ => None,
    });
    assert_ne!(state, Some(ServerState::Ready));
}
