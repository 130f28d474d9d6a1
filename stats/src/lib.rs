//! State containers of the decision module: queries with their parts and attempts, servers with
//! their pending calls, decaying averages, windows and token buckets.
//!
//! They hold state and compute values from it. Decisions and tuned values belong to the caller,
//! which passes them as arguments.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod assignment;
mod decay;
mod part_checks;
mod preference;
mod query;
mod random;
mod server;
mod tenant_quotas;
mod window;

pub use assignment::{PartAssignment, ServerScore};
pub use decay::{remaining_share, DecayingMean, DecayingValue};
pub use part_checks::PartChecks;
pub use preference::Preference;
pub use query::{AttemptState, InFlightAttempt, Part, PartAttempt, Query};
pub use random::{windowed_random, SeededRng};
pub use server::{Call, Server};
pub use tenant_quotas::TenantQuotas;
pub use window::WindowCount;

use lichenswitch_interface::Micros;

/// Returns `time` multiplied by `by`, rounded down.
#[must_use]
pub fn scaled(time: Micros, by: f64) -> Micros {
    (time as f64 * by) as Micros
}

#[cfg(test)]
mod tests;
