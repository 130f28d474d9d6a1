//! The library's SWIM: its times, its state, and how its messages are told apart.

use super::Member;
use crate::interface::Micros;
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, PeriodicParams, PostcardCodec,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// The period in which a member is probed: another one each time, all in turn (microseconds).
    pub probe_interval: Micros,
    /// After this long without an answer others are asked to probe the member (microseconds); half
    /// of `probe_interval` at most.
    pub probe_timeout: Micros,
    /// How many others are asked.
    pub indirect_probes: usize,
    /// A suspected member that does not refute the suspicion within this is declared dead
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

/// A member that was declared dead is remembered as such for this long, so that old messages do not
/// bring it back.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// The longest message (bytes): some tens of updates fit.
const MAX_PACKET_BYTES: usize = 1_400;
/// How many times each member passes an update on: three times in each [`GOSSIP_INTERVAL`], so for
/// longer than a suspicion lasts by default. Guards a member that was partitioned and returns: it
/// learns of the suspicion in time to refute it.
const MAX_TRANSMISSIONS: u8 = 40;
/// Updates are sent to some members this often, beside the probes (microseconds).
const GOSSIP_INTERVAL: Micros = 200_000;
/// The number of members that updates are sent to at a time.
const GOSSIP_FANOUT: usize = 3;

pub(super) type Swim = Foca<Member, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// The library's state of a broker that knows no other member yet.
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
        // Updates go to some members beside the probes: a suspicion is refuted well before its end.
        periodic_gossip: Some(PeriodicParams {
            frequency: Duration::from_micros(GOSSIP_INTERVAL),
            num_members: nonzero(GOSSIP_FANOUT),
        }),
    };
    let rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ own.incarnation);
    Foca::new(own.clone(), library_config, rng, PostcardCodec)
}

/// Whether a message is the answer to one of this broker.
pub(super) fn is_acknowledgement(bytes: &[u8]) -> bool {
    let header: Result<Header<Member>, _> = PostcardCodec.decode_header(bytes);
    header.is_ok_and(|header| {
        matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. } | Message::Feed
        )
    })
}
