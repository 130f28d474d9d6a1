//! The broker's decisions beside the module's, each apart from I/O, clocks and threads: events go
//! in, verdicts with their reasons come out; time is an argument.

pub use lichenswitch_consensus as consensus;
pub use lichenswitch_descriptors as descriptors;
pub use lichenswitch_lease as lease;
pub mod discovery;
pub mod failure_detector;
pub use lichenswitch_phases as phases;
