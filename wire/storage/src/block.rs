//! A block: the unit that is written and synced at once, with its header and checksums.

/// Version of the format of the files. Files of another version are set aside.
pub const FORMAT_VERSION: u16 = 1;
/// Blocks begin at multiples of this (bytes): no write touches a sector that holds an earlier
/// block.
pub(crate) const SECTOR_BYTES: usize = 512;
/// Length of a header (bytes).
const HEADER_BYTES: usize = 40;
const MAGIC: [u8; 4] = *b"LSWS";

/// The content of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockKind {
    /// The snapshot that a segment starts with.
    Snapshot,
    /// The start of a segment of a storage that has no snapshot yet.
    NoSnapshot,
    /// Says that the start of the segment has been synced.
    SyncMarker,
    /// Records.
    Records,
    /// Nothing: it was written over a block that must not count. It has the form of a block, so that
    /// the segment is known to be this owner's even if the write was torn.
    Void,
}

impl BlockKind {
    const fn code(self) -> u16 {
        match self {
            Self::Snapshot => 1,
            Self::NoSnapshot => 2,
            Self::SyncMarker => 3,
            Self::Records => 4,
            Self::Void => 5,
        }
    }

    fn from_code(code: u16) -> Option<Self> {
        let kinds = [
            Self::Snapshot,
            Self::NoSnapshot,
            Self::SyncMarker,
            Self::Records,
            Self::Void,
        ];
        kinds.into_iter().find(|kind| kind.code() == code)
    }

    /// Whether a segment starts with it.
    pub(crate) fn starts_segment(self) -> bool {
        matches!(self, Self::Snapshot | Self::NoSnapshot)
    }

    /// Whether it is only written once the start of its segment has been synced.
    pub(crate) fn proves_start_synced(self) -> bool {
        matches!(self, Self::SyncMarker | Self::Records)
    }
}

/// The header of a block: what its payload is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub kind: BlockKind,
    /// Digest of the owner's name.
    pub owner: u64,
    /// Generation of the segment.
    pub generation: u64,
    /// Number of the block within the segment, from 0.
    pub sequence: u32,
}

/// What was read at an offset of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BlockRead<'a> {
    /// Nothing was ever written here.
    Empty,
    /// A whole block of this owner, and the bytes that it takes with its padding.
    Complete {
        header: Header,
        payload: &'a [u8],
        size: usize,
    },
    /// A header of this owner, whose payload is another one or cut off.
    BadPayload(Header),
    /// A header of another owner.
    OtherOwner,
    /// A header of another version of the format.
    OtherFormat(u16),
    /// Something that begins as a header does, or as far as its writing went.
    BadHeader,
    /// Something else.
    Unknown,
}

/// Bytes that a payload takes as a block.
pub(crate) fn size_of(payload: usize) -> usize {
    (HEADER_BYTES + payload).next_multiple_of(SECTOR_BYTES)
}

/// Digest of an owner's name (FNV-1a).
pub(crate) fn owner_digest(owner: &str) -> u64 {
    owner.bytes().fold(0xcbf2_9ce4_8422_2325, |digest, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A block as it is written, its padding included. `None` for a payload that is too long.
pub(crate) fn encode(header: Header, payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok()?;
    let mut out = Vec::with_capacity(size_of(payload.len()));
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    out.extend_from_slice(&header.kind.code().to_le_bytes());
    out.extend_from_slice(&header.owner.to_le_bytes());
    out.extend_from_slice(&header.generation.to_le_bytes());
    out.extend_from_slice(&header.sequence.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&out);
    out.extend_from_slice(&checksum.to_le_bytes());
    debug_assert_eq!(out.len(), HEADER_BYTES);
    out.extend_from_slice(payload);
    out.resize(size_of(payload.len()), 0);
    Some(out)
}

/// Reads what lies at an offset of a segment.
pub(crate) fn read_at(bytes: &[u8], offset: usize, owner: u64) -> BlockRead<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let sector = &rest[..rest.len().min(SECTOR_BYTES)];
    if sector.iter().all(|byte| *byte == 0) {
        return BlockRead::Empty;
    }
    let Some(head) = rest.first_chunk::<HEADER_BYTES>() else {
        return BlockRead::Unknown;
    };
    if head[..4] != MAGIC {
        return if is_partly_written(head) {
            BlockRead::BadHeader
        } else {
            BlockRead::Unknown
        };
    }
    read_header(head, rest, owner)
}

/// Whether this is as much of the magic bytes as a torn write leaves: some of them, and
/// zeros.
fn is_partly_written(head: &[u8; HEADER_BYTES]) -> bool {
    let written = head
        .iter()
        .zip(MAGIC)
        .take_while(|(byte, expected)| *byte == expected)
        .count();
    written > 0 && head[written..].iter().all(|byte| *byte == 0)
}

/// Reads a block whose header begins with the magic bytes.
fn read_header<'a>(head: &[u8; HEADER_BYTES], rest: &'a [u8], owner: u64) -> BlockRead<'a> {
    let version = u16::from_le_bytes([head[4], head[5]]);
    // No version 0 was ever written: it is a header that was cut off.
    if version != FORMAT_VERSION && version != 0 {
        return BlockRead::OtherFormat(version);
    }
    let kind = BlockKind::from_code(u16::from_le_bytes([head[6], head[7]]));
    let (Some(kind), true) = (kind, crc32fast::hash(&head[..36]) == read_u32(head, 36)) else {
        return BlockRead::BadHeader;
    };
    let header = Header {
        kind,
        owner: read_u64(head, 8),
        generation: read_u64(head, 16),
        sequence: read_u32(head, 24),
    };
    if header.owner != owner {
        return BlockRead::OtherOwner;
    }
    let length = read_u32(head, 28) as usize;
    let payload = rest
        .get(..size_of(length))
        .map(|block| &block[HEADER_BYTES..HEADER_BYTES + length]);
    match payload.filter(|payload| crc32fast::hash(payload) == read_u32(head, 32)) {
        Some(payload) => BlockRead::Complete {
            header,
            payload,
            size: size_of(length),
        },
        None => BlockRead::BadPayload(header),
    }
}

fn read_u32(bytes: &[u8; HEADER_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn read_u64(bytes: &[u8; HEADER_BYTES], at: usize) -> u64 {
    u64::from(read_u32(bytes, at)) | u64::from(read_u32(bytes, at + 4)) << 32
}

/// Records as the payload of one block.
pub(crate) fn join_records(records: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::with_capacity(joined_length(records.iter().map(Vec::len)));
    for record in records {
        out.extend_from_slice(
            &u32::try_from(record.len())
                .unwrap_or(u32::MAX)
                .to_le_bytes(),
        );
        out.extend_from_slice(record);
    }
    out
}

/// Length of the payload that holds records of these lengths.
pub(crate) fn joined_length(lengths: impl Iterator<Item = usize>) -> usize {
    lengths.map(|length| length + 4).sum()
}

/// The records of a payload, or `None` where it is none of records.
pub(crate) fn split_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (length, rest) = payload.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        records.push(record.to_vec());
        payload = rest;
    }
    Some(records)
}
