//! Messages of the largest sizes that the control machines accept.

use lichenswitch_configuration::MAX_DOCUMENT_BYTES;
use lichenswitch_fleet::envelopes::{encode, EnvelopeReader, Incoming};
use lichenswitch_messages::{
    ConfigurationPosition, ControlToRouter, Envelope, PeerMessage, RelayedResponse,
};

const POSITION: ConfigurationPosition = ConfigurationPosition {
    epoch: 1,
    primary: 2,
    number: 3,
};

/// Guards against CONFIG (review/3): a configuration that was accepted and fitted into no message.
#[test]
fn longest_configuration_reaches_routers_relays_and_callers() {
    let document = vec![b'x'; MAX_DOCUMENT_BYTES];
    let messages = [
        Envelope::ToRouter(ControlToRouter::Configuration {
            push: 1,
            position: POSITION,
            document: document.clone(),
        }),
        Envelope::Peer(PeerMessage::Configuration {
            position: POSITION,
            document: document.clone(),
        }),
        Envelope::Peer(PeerMessage::CallResponse {
            id: 1,
            response: RelayedResponse::Response {
                status: 200,
                body: document,
            },
        }),
    ];
    for message in messages {
        let bytes = encode(&message).expect("the message fits");
        let mut reader = EnvelopeReader::default();
        reader.push(&bytes);
        let received = reader.next_message().expect("a valid frame");
        assert!(received == Some(Incoming::Envelope(message)));
    }
}
