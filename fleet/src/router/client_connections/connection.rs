//! One connection of a client: its phase, the request that is being read, and its timer.

use crate::router::client_request::ClientRequest;
use crate::router::request_reader::RequestReader;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;

/// What a client has done.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// It has sent a whole request.
    RequestReceived(ConnId, Box<ClientRequest>),
    /// It has left, or can't be written to, while its request was not answered.
    Disconnected(ConnId),
    /// It has taken all that was written so far of an answer which goes on.
    OutputDrained(ConnId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// Between requests, or in the midst of one that is still arriving.
    Reading,
    /// Its request is held.
    AwaitingResponse,
    /// An answer is being passed on; whether in chunks.
    Responding { is_chunked: bool },
    /// The last answer is being written.
    Closing,
    /// The last answer is written: reads on to the client's end, so that the answer is not lost to
    /// a reset.
    Lingering,
}

pub(crate) struct ClientConnection {
    pub(crate) phase: ConnectionPhase,
    pub(crate) reader: RequestReader,
    /// When the state began; of a request that is arriving, when its first byte came.
    pub(crate) phase_started_at: Time,
    /// A request is arriving.
    pub(crate) is_receiving: bool,
    /// The connection ends with the answer that is due.
    pub(crate) closes_after_response: bool,
    /// The request that waits is answered without a body.
    pub(crate) is_head_request: bool,
    /// A timer is set that fires then at the latest.
    pub(crate) timer_at: Option<Time>,
}
