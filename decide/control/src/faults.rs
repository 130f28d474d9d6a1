//! Faults that tests plant to show that they would be found.

/// Planted faults in the handling of calls; all off outside tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlantedFaults {
    /// A repeated order is recognised by its version number, not by its content.
    pub known_by_number: bool,
    /// The primary rejects orders by its committed state, without a confirmation round.
    pub refusal_without_contact: bool,
}
