//! What the bytes of one segment say.

use crate::block::{self, Header, Reading, SECTOR_BYTES};
use crate::finding::{Finding, ForeignReason};

/// The beginning of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Beginning {
    /// Nothing was ever written.
    Empty,
    /// A whole image, or a whole beginning without one.
    Whole { generation: u64 },
    /// Its writing was cut off, or it has been damaged since.
    Broken { generation: Option<u64> },
    /// It belongs to somebody else.
    Foreign(ForeignReason),
}

/// What a look over a whole segment tells.
#[derive(Debug)]
pub(crate) struct Survey {
    pub beginning: Beginning,
    /// Highest generation that any whole header names.
    pub highest_generation: u64,
    /// Highest generation of which there is a block behind the beginning: it was synced from its
    /// beginning to there.
    pub proven_generation: u64,
}

/// Looks over all of a segment.
pub(crate) fn survey(bytes: &[u8], owner: u64) -> Survey {
    let first = block::read_at(bytes, 0, owner);
    let mut survey = Survey {
        beginning: Beginning::Empty,
        highest_generation: 0,
        proven_generation: 0,
    };
    let mut ours = matches!(
        first,
        Reading::Whole { .. } | Reading::BadPayload(_) | Reading::BadHeader
    );
    for (_, header, _) in whole_blocks(bytes, 0, owner) {
        ours = true;
        survey.highest_generation = survey.highest_generation.max(header.generation);
        if header.kind.proves_beginning() {
            survey.proven_generation = survey.proven_generation.max(header.generation);
        }
    }
    survey.beginning = beginning(&first, ours);
    if let Beginning::Broken {
        generation: Some(generation),
    } = survey.beginning
    {
        survey.highest_generation = survey.highest_generation.max(generation);
    }
    survey
}

/// What the first block makes of a segment. One that has blocks of ours anywhere is never foreign.
fn beginning(first: &Reading<'_>, ours: bool) -> Beginning {
    match *first {
        Reading::Whole { header, .. } if header.kind.is_beginning() && header.sequence == 0 => {
            Beginning::Whole {
                generation: header.generation,
            }
        }
        Reading::Whole { header, .. } | Reading::BadPayload(header) => Beginning::Broken {
            generation: Some(header.generation),
        },
        Reading::OtherOwner if !ours => Beginning::Foreign(ForeignReason::Owner),
        Reading::OtherFormat(version) if !ours => {
            Beginning::Foreign(ForeignReason::Format(version))
        }
        Reading::Unknown if !ours => Beginning::Foreign(ForeignReason::Unreadable),
        Reading::Empty => Beginning::Empty,
        _ => Beginning::Broken { generation: None },
    }
}

/// All whole blocks of this owner from an offset on: offset, header, size.
fn whole_blocks(
    bytes: &[u8],
    from: usize,
    owner: u64,
) -> impl Iterator<Item = (usize, Header, usize)> + '_ {
    let mut offset = from;
    std::iter::from_fn(move || {
        while offset < bytes.len() {
            let at = offset;
            if let Reading::Whole { header, size, .. } = block::read_at(bytes, at, owner) {
                offset += size;
                return Some((at, header, size));
            }
            offset += SECTOR_BYTES;
        }
        None
    })
}

/// The blocks of one generation, from its beginning as far as they go.
#[derive(Debug)]
pub(crate) struct Chain {
    pub snapshot: Option<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
    /// Where the next block goes.
    pub offset: usize,
    /// Number of the next block.
    pub sequence: u32,
    /// Where the last whole block begins.
    pub last_offset: usize,
    /// What ended the chain, where it wasn't the end of what was written.
    pub finding: Option<Finding>,
}

/// Reads the blocks of a segment whose beginning is whole.
pub(crate) fn read_chain(bytes: &[u8], owner: u64, segment: usize, generation: u64) -> Chain {
    let mut chain = Chain {
        snapshot: None,
        records: Vec::new(),
        offset: 0,
        sequence: 0,
        last_offset: 0,
        finding: None,
    };
    while let Reading::Whole {
        header,
        payload,
        size,
    } = block::read_at(bytes, chain.offset, owner)
    {
        if (header.generation, header.sequence) != (generation, chain.sequence)
            || !chain.take(header, payload)
        {
            break;
        }
        (chain.last_offset, chain.offset) = (chain.offset, chain.offset + size);
        chain.sequence += 1;
    }
    chain.finding = end_of_chain(bytes, owner, segment, generation, &chain);
    chain
}

impl Chain {
    /// Takes the payload of the next block; `false` where it is none that belongs here.
    fn take(&mut self, header: Header, payload: &[u8]) -> bool {
        match (header.kind, self.sequence) {
            (block::Kind::Snapshot, 0) => self.snapshot = Some(payload.to_vec()),
            (block::Kind::NoSnapshot, 0) | (block::Kind::Mark, 1) => {}
            (block::Kind::Records, 2..) => match block::split_records(payload) {
                Some(records) => self.records.extend(records),
                None => return false,
            },
            _ => return false,
        }
        true
    }
}

/// Says why a chain ended where it did.
fn end_of_chain(
    bytes: &[u8],
    owner: u64,
    segment: usize,
    generation: u64,
    chain: &Chain,
) -> Option<Finding> {
    let sequence = chain.sequence;
    let end = block::read_at(bytes, chain.offset, owner);
    let later = whole_blocks(bytes, chain.offset, owner)
        .any(|(_, header, _)| header.generation == generation);
    let never_written = match &end {
        Reading::Empty => true,
        Reading::Whole { header, .. } | Reading::BadPayload(header) => {
            header.generation != generation
        }
        _ => false,
    };
    match end {
        _ if later && never_written => Some(Finding::Missing {
            segment,
            generation,
            sequence,
        }),
        _ if later => Some(Finding::Damaged {
            segment,
            generation,
            sequence,
        }),
        Reading::Empty => None,
        Reading::BadPayload(header) if header.generation == generation => Some(Finding::Torn {
            segment,
            generation,
            sequence,
        }),
        Reading::BadHeader => Some(Finding::Torn {
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
