//! Every kind of message as it travels between the processes of a fleet, byte for byte.
//!
//! `fixtures/wire_format.hex` was written by the program of commit 6f1ee4c: a name and a frame in
//! hexadecimal digits on each line, the frame with its header. A build that reads or writes other
//! bytes can't work beside one of before. Values are written down here, in the same order.

use lichenswitch_messages::{
    BacklogReport, ConfigurationPosition, ControlToRouter, Envelope, HeartbeatAge, PeerMessage,
    ProcessInstant, QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, RelayedCall,
    RelayedResponse, RouterToControl, ServerBacklog, ServerRecord, ServerState, TenantMessage,
    PROTOCOL_VERSION,
};
use lichenswitch_rpc::{decode, encode, encode_frame, FrameReader, HEADER_BYTES};

use lichenswitch_testing::fixtures::named_lines;

const FIXTURE: &str = include_str!("fixtures/wire_format.hex");

/// Kinds of frames, as both ends of an internal connection know them.
const ENVELOPE_KIND: u16 = 1;
const TENANT_MESSAGE_KIND: u16 = 2;
const BACKLOG_REPORT_KIND: u16 = 3;

/// Anything that a frame holds.
#[derive(Debug, PartialEq)]
enum WireMessage {
    Envelope(Envelope),
    Tenant(TenantMessage),
    Backlog(BacklogReport),
}

impl WireMessage {
    fn frame(&self) -> Vec<u8> {
        let (kind, payload) = match self {
            WireMessage::Envelope(envelope) => (ENVELOPE_KIND, encode(envelope)),
            WireMessage::Tenant(message) => (TENANT_MESSAGE_KIND, encode(message)),
            WireMessage::Backlog(report) => (BACKLOG_REPORT_KIND, encode(report)),
        };
        let payload = payload.expect("a message that can be encoded");
        encode_frame(PROTOCOL_VERSION, kind, &payload).expect("a short frame")
    }

    fn from_frame(bytes: &[u8]) -> WireMessage {
        let mut reader = FrameReader::new(PROTOCOL_VERSION);
        reader.push(bytes);
        let frame = reader
            .next_frame()
            .expect("a frame")
            .expect("a complete frame");
        assert_eq!(frame.payload.len() + HEADER_BYTES, bytes.len(), "one frame");
        let payload = frame.payload;
        match frame.kind {
            ENVELOPE_KIND => WireMessage::Envelope(decode(payload).expect("an envelope")),
            TENANT_MESSAGE_KIND => WireMessage::Tenant(decode(payload).expect("a message")),
            BACKLOG_REPORT_KIND => WireMessage::Backlog(decode(payload).expect("a report")),
            other => panic!("frame of kind {other}"),
        }
    }
}

fn position() -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: 0x0102_0304,
        primary: 0x1112_1314_1516_1718,
        number: 77,
    }
}

fn instant() -> ProcessInstant {
    ProcessInstant {
        process: 0x2122_2324_2526_2728,
        clock_us: 1_234_567_890,
    }
}

fn server(instance: &str, state: ServerState, is_suspect: bool) -> ServerRecord {
    ServerRecord {
        instance: instance.to_owned(),
        service: "models-large".to_owned(),
        address: "10.0.3.7:8443".to_owned(),
        zone: "zone-b".to_owned(),
        capacity_slots: 24,
        state,
        sequence_number: 9_001,
        warm_up_remaining_ms: 2_500,
        is_suspect,
    }
}

fn heartbeat_age(instance: &str, age_ms: u32) -> HeartbeatAge {
    HeartbeatAge {
        instance: instance.to_owned(),
        age_ms,
    }
}

/// One server in each state; names on both sides of the length that is stored in place.
fn servers() -> Vec<ServerRecord> {
    vec![
        server("a", ServerState::Ready, false),
        server("instance-with-a-longer-name", ServerState::Draining, true),
        server("c", ServerState::Gone, false),
    ]
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn to_router(message: ControlToRouter) -> WireMessage {
    WireMessage::Envelope(Envelope::ToRouter(message))
}

fn from_router(message: RouterToControl) -> WireMessage {
    WireMessage::Envelope(Envelope::FromRouter(message))
}

fn peer(message: PeerMessage) -> WireMessage {
    WireMessage::Envelope(Envelope::Peer(message))
}

fn router_messages() -> Vec<(&'static str, WireMessage)> {
    let router_hello = |configuration| {
        from_router(RouterToControl::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: "router-1".to_owned(),
            zone: "zone-a".to_owned(),
            process: 0x3132_3334_3536_3738,
            configuration,
        })
    };
    let applied = |configuration| {
        from_router(RouterToControl::Applied {
            push: 41,
            configuration,
        })
    };
    let heartbeat = |in_contact| {
        to_router(ControlToRouter::Heartbeat {
            in_contact,
            control_addresses: names(&["10.0.0.1:7000", "control-2.internal:7000"]),
            router_count: 3,
        })
    };
    let servers = |is_complete| {
        to_router(ControlToRouter::Servers {
            push: 43,
            records: servers(),
            is_complete,
        })
    };
    vec![
        ("router_hello_without_configuration", router_hello(None)),
        (
            "router_hello_with_configuration",
            router_hello(Some(position())),
        ),
        ("router_applied_without_configuration", applied(None)),
        (
            "router_applied_with_configuration",
            applied(Some(position())),
        ),
        ("heartbeat_in_contact", heartbeat(true)),
        ("heartbeat_without_contact", heartbeat(false)),
        (
            "configuration_to_router",
            to_router(ControlToRouter::Configuration {
                push: 42,
                position: position(),
                document: b"{\"version\":3}".to_vec(),
            }),
        ),
        ("servers_to_router", servers(false)),
        ("complete_servers_to_router", servers(true)),
    ]
}

fn relayed_calls() -> Vec<(&'static str, WireMessage)> {
    let call = |call| peer(PeerMessage::Call { id: 51, call });
    let response_to_call = |response_to_call| {
        peer(PeerMessage::CallResponse {
            id: 51,
            response: response_to_call,
        })
    };
    vec![
        (
            "call_with_order",
            call(RelayedCall::Order {
                path: "/configuration/update".to_owned(),
                base_version: 12,
                body: b"{\"version\":13}".to_vec(),
            }),
        ),
        ("call_for_description", call(RelayedCall::Describe)),
        ("call_for_status", call(RelayedCall::Status)),
        (
            "response_to_call",
            response_to_call(RelayedResponse::Response {
                status: 412,
                body: b"{}".to_vec(),
            }),
        ),
        (
            "response_not_primary",
            response_to_call(RelayedResponse::NotPrimary),
        ),
        (
            "response_unknown",
            response_to_call(RelayedResponse::Unknown),
        ),
    ]
}

fn peer_messages() -> Vec<(&'static str, WireMessage)> {
    let hello = |eligible| {
        peer(PeerMessage::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: "control-1".to_owned(),
            address: "10.0.0.1:7000".to_owned(),
            identity: 0x4142_4344_4546_4748,
            eligible,
            known_peers: names(&["10.0.0.2:7000", "10.0.0.3:7000"]),
        })
    };
    let servers = |is_complete| {
        peer(PeerMessage::Servers {
            ack: 61,
            records: servers(),
            is_complete,
        })
    };
    let contact = |in_contact, primary: Option<&str>| {
        peer(PeerMessage::Contact {
            in_contact,
            primary: primary.map(str::to_owned),
            connected_routers: 2,
            known_peers: names(&["10.0.0.2:7000"]),
        })
    };
    vec![
        ("peer_hello_eligible", hello(true)),
        ("peer_hello_not_eligible", hello(false)),
        (
            "replication",
            peer(PeerMessage::Replication(vec![0, 1, 2, 254, 255])),
        ),
        ("servers_to_peer", servers(false)),
        ("complete_servers_to_peer", servers(true)),
        ("servers_ack", peer(PeerMessage::ServersAck { ack: 61 })),
        (
            "servers_heard",
            peer(PeerMessage::HeartbeatDigest(vec![
                heartbeat_age("a", 120),
                heartbeat_age("instance-two", 0),
            ])),
        ),
        (
            "server_table_request",
            peer(PeerMessage::ServerTableRequest),
        ),
        (
            "remembered_servers",
            peer(PeerMessage::CachedServers(self::servers())),
        ),
        ("contact", contact(true, Some("10.0.0.1:7000"))),
        ("no_contact", contact(false, None)),
        (
            "confirmed_without_echo",
            peer(PeerMessage::Confirmed { echo: None }),
        ),
        (
            "confirmed_with_echo",
            peer(PeerMessage::Confirmed {
                echo: Some(instant()),
            }),
        ),
        ("confirmed_ack", peer(PeerMessage::ConfirmedAck(instant()))),
        (
            "configuration_to_peer",
            peer(PeerMessage::Configuration {
                position: position(),
                document: b"{\"version\":3}".to_vec(),
            }),
        ),
    ]
}

fn tenant_messages() -> Vec<(&'static str, WireMessage)> {
    let confirmed = |position| {
        WireMessage::Tenant(TenantMessage::Confirmed {
            sent_at_us: 987_654_321,
            position,
        })
    };
    let request = |unit, may_forward| {
        WireMessage::Tenant(TenantMessage::LeaseRequest(QuotaLeaseRequest {
            id: 71,
            tenant: "tenant-one".to_owned(),
            unit,
            amounts: vec![5, 1_000, u64::MAX],
            prefetch_amount: 250,
            may_forward,
        }))
    };
    vec![
        (
            "confirm",
            WireMessage::Tenant(TenantMessage::Confirm {
                sent_at_us: 987_654_321,
            }),
        ),
        ("confirmed_without_position", confirmed(None)),
        ("confirmed_with_position", confirmed(Some(position()))),
        (
            "lease_request_of_requests",
            request(QuotaLeaseUnit::Requests, true),
        ),
        (
            "lease_request_of_tokens",
            request(QuotaLeaseUnit::Tokens, false),
        ),
        (
            "lease_response",
            WireMessage::Tenant(TenantMessage::LeaseResponse(QuotaLeaseResponse {
                id: 71,
                granted_bits: 0b101,
                prefetch_amount: 250,
                retry_after_us: 60_000,
            })),
        ),
    ]
}

fn backlog_reports() -> Vec<(&'static str, WireMessage)> {
    let servers = vec![
        ServerBacklog {
            server: 0xdead_beef,
            tokens: 4_096,
        },
        ServerBacklog {
            server: 7,
            tokens: 0,
        },
    ];
    let report = |is_complete, servers| {
        WireMessage::Backlog(BacklogReport {
            is_complete,
            servers,
        })
    };
    vec![
        ("backlog_report", report(false, servers.clone())),
        ("complete_backlog_report", report(true, servers)),
        ("empty_backlog_report", report(true, Vec::new())),
    ]
}

fn messages() -> Vec<(&'static str, WireMessage)> {
    [
        router_messages(),
        relayed_calls(),
        peer_messages(),
        tenant_messages(),
        backlog_reports(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// The lines of the fixture: names with frames.
fn fixture() -> Vec<(&'static str, Vec<u8>)> {
    named_lines(FIXTURE)
}

#[test]
fn fixture_has_one_line_for_each_message() {
    let messages: Vec<_> = messages().into_iter().map(|(name, _)| name).collect();
    let lines: Vec<_> = fixture().into_iter().map(|(name, _)| name).collect();
    assert_eq!(lines, messages);
}

#[test]
fn every_message_is_encoded_to_the_bytes_of_the_fixture() {
    for ((name, message), (_, bytes)) in messages().into_iter().zip(fixture()) {
        assert_eq!(message.frame(), bytes, "{name}");
    }
}

#[test]
fn every_line_of_the_fixture_is_decoded_to_its_message() {
    for ((name, message), (_, bytes)) in messages().into_iter().zip(fixture()) {
        assert_eq!(WireMessage::from_frame(&bytes), message, "{name}");
    }
}
