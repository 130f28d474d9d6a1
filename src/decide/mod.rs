//! The broker's decisions outside the decision module, separate from I/O, clocks and threads. Each
//! state machine takes events and the time as arguments and returns decisions with their reasons.

pub use lichenswitch_consensus as consensus;
pub use lichenswitch_descriptors as descriptors;
pub use lichenswitch_lease as lease;
pub mod discovery;
pub mod failure_detector;
pub use lichenswitch_phases as phases;
