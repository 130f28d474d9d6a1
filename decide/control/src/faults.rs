//! Faults that tests plant to show that they would be found.

/// All off elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// A repeat is known by its version number, not by its content.
    pub known_by_number: bool,
    /// The primary refuses by what it holds as committed, without a round.
    pub refusal_without_contact: bool,
}
