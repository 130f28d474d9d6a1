//! Rules that decide from the settings whether a machine may join the group and whether it founds
//! it.

use crate::settings::Settings;
use lichenswitch_control::Eligibility;

/// Returns whether a machine with these settings may be a member of the group, and on which
/// grounds.
pub(super) fn eligibility(settings: &Settings) -> Eligibility {
    let address = settings.listen_addresses.control_plane;
    let is_seed = address.is_some_and(|address| settings.seed_nodes.contains(&address));
    match settings.data_directory.is_some() || settings.is_loss_counted {
        true => Eligibility::Durable,
        false if settings.is_first_start && is_seed => Eligibility::Temporary,
        false => Eligibility::Relay,
    }
}

/// Whether the machine joins the group as soon as it starts.
pub(super) fn should_join_at_start(eligibility: Eligibility, settings: &Settings) -> bool {
    match eligibility {
        Eligibility::Durable => true,
        Eligibility::Temporary => is_founder(settings),
        Eligibility::Relay => false,
    }
}

/// Whether this machine founds the group. A group is founded once in the life of a system, by the
/// first seed in the settings, which is the same on all machines.
pub(super) fn is_founder(settings: &Settings) -> bool {
    let address = settings.listen_addresses.control_plane;
    settings.is_first_start
        && address.is_some_and(|address| settings.seed_nodes.first() == Some(&address))
}
