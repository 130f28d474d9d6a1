//! Reading the bytes of one segment.

use crate::block::{self, BlockRead, Header, SECTOR_BYTES};
use crate::finding::{Finding, ForeignReason};

/// The start of a segment: its first block.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SegmentStart {
    /// Nothing was ever written.
    Empty,
    /// A complete snapshot, or a complete start without one.
    Complete { generation: u64 },
    /// Its write was torn, or it has been damaged since.
    Incomplete { generation: Option<u64> },
    /// It belongs to another owner.
    Foreign(ForeignReason),
}

/// The result of the scan of a segment.
#[derive(Debug)]
pub(crate) struct SegmentScan {
    pub start: SegmentStart,
    /// Highest generation that any complete block names.
    pub highest_generation: u64,
    /// Highest generation of which there is a block after the start: it was synced from its start to
    /// there.
    pub proven_generation: u64,
}

/// Scans all of a segment.
pub(crate) fn scan(bytes: &[u8], owner: u64) -> SegmentScan {
    let first = block::read_at(bytes, 0, owner);
    let mut scan = SegmentScan {
        start: SegmentStart::Empty,
        highest_generation: 0,
        proven_generation: 0,
    };
    let mut is_ours = matches!(
        first,
        BlockRead::Complete { .. } | BlockRead::BadPayload(_) | BlockRead::BadHeader
    );
    for (_, header, _) in complete_blocks(bytes, 0, owner) {
        is_ours = true;
        scan.highest_generation = scan.highest_generation.max(header.generation);
        if header.kind.proves_start_synced() {
            scan.proven_generation = scan.proven_generation.max(header.generation);
        }
    }
    scan.start = segment_start(&first, is_ours);
    if let SegmentStart::Incomplete {
        generation: Some(generation),
    } = scan.start
    {
        scan.highest_generation = scan.highest_generation.max(generation);
    }
    scan
}

/// The start of a segment by its first block. A segment with blocks of this owner anywhere is never
/// foreign.
fn segment_start(first: &BlockRead<'_>, is_ours: bool) -> SegmentStart {
    match *first {
        BlockRead::Complete { header, .. }
            if header.kind.starts_segment() && header.sequence == 0 =>
        {
            SegmentStart::Complete {
                generation: header.generation,
            }
        }
        BlockRead::Complete { header, .. } | BlockRead::BadPayload(header) => {
            SegmentStart::Incomplete {
                generation: Some(header.generation),
            }
        }
        BlockRead::OtherOwner if !is_ours => SegmentStart::Foreign(ForeignReason::Owner),
        BlockRead::OtherFormat(version) if !is_ours => {
            SegmentStart::Foreign(ForeignReason::Format(version))
        }
        BlockRead::Unknown if !is_ours => SegmentStart::Foreign(ForeignReason::Unreadable),
        BlockRead::Empty => SegmentStart::Empty,
        _ => SegmentStart::Incomplete { generation: None },
    }
}

/// All complete blocks of this owner from an offset on: offset, header, size.
fn complete_blocks(
    bytes: &[u8],
    from: usize,
    owner: u64,
) -> impl Iterator<Item = (usize, Header, usize)> + '_ {
    let mut offset = from;
    std::iter::from_fn(move || {
        while offset < bytes.len() {
            let at = offset;
            if let BlockRead::Complete { header, size, .. } = block::read_at(bytes, at, owner) {
                offset += size;
                return Some((at, header, size));
            }
            offset += SECTOR_BYTES;
        }
        None
    })
}

/// The blocks of one generation, from its start as far as they follow each other.
#[derive(Debug)]
pub(crate) struct BlockChain {
    pub snapshot: Option<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
    /// Where the next block goes.
    pub offset: usize,
    /// Number of the next block.
    pub sequence: u32,
    /// Where the last complete block begins.
    pub last_offset: usize,
    /// What ended the chain, where it wasn't the end of what was written.
    pub finding: Option<Finding>,
}

/// Reads the blocks of a segment whose start is complete.
pub(crate) fn read_chain(bytes: &[u8], owner: u64, segment: usize, generation: u64) -> BlockChain {
    let mut chain = BlockChain {
        snapshot: None,
        records: Vec::new(),
        offset: 0,
        sequence: 0,
        last_offset: 0,
        finding: None,
    };
    while let BlockRead::Complete {
        header,
        payload,
        size,
    } = block::read_at(bytes, chain.offset, owner)
    {
        if (header.generation, header.sequence) != (generation, chain.sequence)
            || !chain.add(header, payload)
        {
            break;
        }
        (chain.last_offset, chain.offset) = (chain.offset, chain.offset + size);
        chain.sequence += 1;
    }
    chain.finding = chain_end_finding(bytes, owner, segment, generation, &chain);
    chain
}

impl BlockChain {
    /// Adds the payload of the next block; `false` if it doesn't belong here.
    fn add(&mut self, header: Header, payload: &[u8]) -> bool {
        match (header.kind, self.sequence) {
            (block::BlockKind::Snapshot, 0) => self.snapshot = Some(payload.to_vec()),
            (block::BlockKind::NoSnapshot, 0) | (block::BlockKind::SyncMarker, 1) => {}
            (block::BlockKind::Records, 2..) => match block::split_records(payload) {
                Some(records) => self.records.extend(records),
                None => return false,
            },
            _ => return false,
        }
        true
    }
}

/// Why a chain ends where it does; none at the end of what was written.
fn chain_end_finding(
    bytes: &[u8],
    owner: u64,
    segment: usize,
    generation: u64,
    chain: &BlockChain,
) -> Option<Finding> {
    let sequence = chain.sequence;
    let end = block::read_at(bytes, chain.offset, owner);
    let has_later_block = complete_blocks(bytes, chain.offset, owner)
        .any(|(_, header, _)| header.generation == generation);
    let is_unwritten = match &end {
        BlockRead::Empty => true,
        BlockRead::Complete { header, .. } | BlockRead::BadPayload(header) => {
            header.generation != generation
        }
        _ => false,
    };
    match end {
        _ if has_later_block && is_unwritten => Some(Finding::Missing {
            segment,
            generation,
            sequence,
        }),
        _ if has_later_block => Some(Finding::Damaged {
            segment,
            generation,
            sequence,
        }),
        BlockRead::Empty => None,
        BlockRead::BadPayload(header) if header.generation == generation => Some(Finding::Torn {
            segment,
            generation,
            sequence,
        }),
        BlockRead::BadHeader => Some(Finding::Torn {
            segment,
            generation,
            sequence,
        }),
        _ => Some(Finding::Stale {
            segment,
            generation,
        }),
    }
}
