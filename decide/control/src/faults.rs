//! Faults that tests plant to show that they would be found.

/// Planted faults in the handling of calls; all off outside tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// A repeated order is recognised by its version number, not by its content.
    pub recognizes_repeats_by_version: bool,
    /// The primary rejects orders by its committed state, without a confirmation round.
    pub rejects_without_confirmation: bool,
}
