//! Faults that tests inject to prove that their checks detect them.

/// Faults to inject into the handling of calls. All are off outside tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Whether an order counts as a repeat if its version number matches, whatever its content.
    pub recognizes_repeats_by_version: bool,
    /// Whether the primary rejects orders on version conflicts without a confirmation round.
    pub rejects_without_confirmation: bool,
}
