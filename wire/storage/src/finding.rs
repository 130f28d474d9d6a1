//! What recovery found on the disk beside the state.

use std::path::PathBuf;

/// Why a file doesn't belong to this owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForeignReason {
    /// It names another owner.
    Owner,
    /// It is written in another version of the format.
    Format(u16),
    /// It is no segment in any version. The remains of a segment's very first write, whose first
    /// part was lost, may look so, too.
    Unreadable,
}

/// What recovery found on the disk, besides the state that it returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A torn write: it was cut off before its sync. It was never acknowledged, and is dropped.
    Torn {
        /// Segment, counted from 0.
        segment: usize,
        /// Generation that the write named.
        generation: u64,
        /// Number of the block within the segment.
        sequence: u32,
    },
    /// After the last block there are remains of an older generation, or of a torn write. They are
    /// ignored.
    Stale {
        /// Segment, counted from 0.
        segment: usize,
        /// The generation in force.
        generation: u64,
    },
    /// A file of another owner; it was renamed and not read.
    Foreign {
        /// Segment, counted from 0.
        segment: usize,
        /// Why it isn't this owner's.
        reason: ForeignReason,
        /// Its name now.
        aside: PathBuf,
    },
    /// The file of a segment was not there, though others were. It was created anew.
    MissingSegment {
        /// Segment, counted from 0.
        segment: usize,
        /// Whether it is the one that a newer snapshot would have gone to.
        may_have_been_newest: bool,
    },
    /// A block is not there, though a later one of the same generation is: acknowledged state was
    /// lost.
    Missing {
        /// Segment, counted from 0.
        segment: usize,
        /// Generation of the block.
        generation: u64,
        /// Number of the block within the segment.
        sequence: u32,
    },
    /// A block can't be read, though a later one of the same generation can: acknowledged state was
    /// lost.
    Damaged {
        /// Segment, counted from 0.
        segment: usize,
        /// Generation of the block.
        generation: u64,
        /// Number of the block within the segment.
        sequence: u32,
    },
}

impl Finding {
    /// Whether state that had been acknowledged is lost for certain: what was recovered is older
    /// than it should be.
    #[must_use]
    pub fn loses_state(&self) -> bool {
        matches!(self, Self::Missing { .. } | Self::Damaged { .. })
    }
}
