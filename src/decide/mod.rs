//! Decisions beside the module's: a folder each, without input or output, clock or threads. Events
//! go in, verdicts with their reasons come out; time is an argument.

pub use lichenswitch_consensus as consensus;
pub use lichenswitch_descriptors as descriptors;
pub use lichenswitch_lease as lease;
pub mod fleet;
pub mod membership;
pub use lichenswitch_phases as phases;
