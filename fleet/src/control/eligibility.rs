//! Whether a machine of given settings may be a member of the group, and whether it founds it.

use crate::settings::Settings;
use lichenswitch_control::Eligibility;

/// Why the machine of these settings may be a member of the group, if it may.
pub(super) fn eligibility(settings: &Settings) -> Eligibility {
    let address = settings.listen_addresses.control_plane;
    let is_seed = address.is_some_and(|address| settings.seed_nodes.contains(&address));
    match settings.data_directory.is_some() || settings.is_loss_counted {
        true => Eligibility::Durable,
        false if settings.is_first_start && is_seed => Eligibility::Temporary,
        false => Eligibility::Relay,
    }
}

/// Whether the machine is a member from its start on.
pub(super) fn should_join_at_start(eligibility: Eligibility, settings: &Settings) -> bool {
    match eligibility {
        Eligibility::Durable => true,
        Eligibility::Temporary => is_founder(settings),
        Eligibility::Relay => false,
    }
}

/// Whether this machine founds the group. It is founded once in the life of a system, by the first
/// seed, which all machines name alike.
pub(super) fn is_founder(settings: &Settings) -> bool {
    let address = settings.listen_addresses.control_plane;
    settings.is_first_start
        && address.is_some_and(|address| settings.seed_nodes.first() == Some(&address))
}
