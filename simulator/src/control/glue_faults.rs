//! Faults of the glue round the replica that tests plant to show that the oracle finds them.

use lichenswitch_control::InjectedFaults;

/// A fault of the glue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GlueFault {
    /// A repeated order is recognized by its version, not by its content.
    RecognizeByVersion,
    /// The history of orders is not part of a snapshot.
    LoseHistory,
    /// Any machine answers `describe`, from its own committed state.
    DescribeWithoutContact,
    /// Any machine rejects an order by its own committed state.
    RejectWithoutContact,
    /// Pushes to routers are reported as current, whether in contact or not.
    ClaimContact,
    /// A machine that hears the primary but lags reports that it is in contact.
    ClaimContactWhileLagging,
}

/// The faults that are planted; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GlueFaults {
    bits: u8,
}

impl GlueFaults {
    /// Adds a fault.
    pub fn plant(&mut self, fault: GlueFault) {
        self.bits |= 1 << fault as u8;
    }

    /// Whether this fault is planted.
    pub(crate) fn has(self, fault: GlueFault) -> bool {
        self.bits & (1 << fault as u8) != 0
    }

    /// Those that are in what is decided about calls.
    pub(super) fn of_calls(self) -> InjectedFaults {
        InjectedFaults {
            recognizes_repeats_by_version: self.has(GlueFault::RecognizeByVersion),
            rejects_without_confirmation: self.has(GlueFault::RejectWithoutContact),
        }
    }
}
