//! Configures the SWIM implementation of the library and inspects its messages.

use super::Member;
use crate::interface::Micros;
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, PeriodicParams, PostcardCodec,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The times and the fan-out of the failure detection protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// Time between probes (microseconds). Each probe goes to another member, in turn.
    pub probe_interval: Micros,
    /// Time without a response after which other members are asked to probe the member
    /// (microseconds). At most half of `probe_interval`; greater values are reduced to that.
    pub probe_timeout: Micros,
    /// Number of other members that are asked to probe.
    pub indirect_probes: usize,
    /// Time within which a suspected member has to refute the suspicion before it is declared dead
    /// (microseconds).
    pub suspicion_timeout: Micros,
}

impl Default for SwimConfig {
    fn default() -> Self {
        SwimConfig {
            probe_interval: 500_000,
            probe_timeout: 150_000,
            indirect_probes: 3,
            suspicion_timeout: 2_000_000,
        }
    }
}

/// Time for which a dead member is remembered, so that delayed messages do not bring it back.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Maximum size of a message (bytes). It has room for some tens of updates.
const MAX_PACKET_BYTES: usize = 1_400;
/// Number of times that each member forwards an update. At three times per [`GOSSIP_INTERVAL`] an
/// update is forwarded for longer than the default suspicion timeout. Therefore a member that
/// returns from a partition learns of a suspicion in time to refute it.
const MAX_TRANSMISSIONS: u8 = 40;
/// Interval at which updates are sent in addition to the probes (microseconds).
const GOSSIP_INTERVAL: Micros = 200_000;
/// Number of members that receive the updates at a time.
const GOSSIP_FANOUT: usize = 3;

pub(super) type Swim = Foca<Member, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// Creates the library's state for a broker that knows no other member yet.
pub(super) fn new_swim(own: &Member, config: SwimConfig, seed: u64) -> Swim {
    let probe_interval = config.probe_interval.max(2);
    let nonzero = |count| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    let library_config = Config {
        probe_period: Duration::from_micros(probe_interval),
        probe_rtt: Duration::from_micros(config.probe_timeout.clamp(1, probe_interval / 2)),
        num_indirect_probes: nonzero(config.indirect_probes),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_micros(config.suspicion_timeout.max(1)),
        remove_down_after: Some(DEAD_MEMBER_RETENTION),
        max_packet_size: nonzero(MAX_PACKET_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        // Gossip in addition to the probes lets a member refute a suspicion well before it expires.
        periodic_gossip: Some(PeriodicParams {
            frequency: Duration::from_micros(GOSSIP_INTERVAL),
            num_members: nonzero(GOSSIP_FANOUT),
        }),
    };
    let rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ own.incarnation);
    Foca::new(own.clone(), library_config, rng, PostcardCodec)
}

/// Returns whether an encoded message is a response to a message of this broker.
pub(super) fn is_acknowledgement(bytes: &[u8]) -> bool {
    let header: Result<Header<Member>, _> = PostcardCodec.decode_header(bytes);
    header.is_ok_and(|header| {
        matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. } | Message::Feed
        )
    })
}
