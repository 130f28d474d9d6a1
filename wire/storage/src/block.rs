//! A block: the unit that is written and synced whole.

/// Version of the format of the files. Files of another version are set aside.
pub const FORMAT_VERSION: u16 = 1;
/// Blocks begin at multiples of this (bytes): no write touches a sector that holds an earlier
/// block.
pub(crate) const SECTOR_BYTES: usize = 512;
/// Length of a header (bytes).
const HEADER_BYTES: usize = 40;
const MAGIC: [u8; 4] = *b"LSWS";

/// What a block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The image that a segment begins with.
    Snapshot,
    /// The beginning of a segment of a storage that has no image yet.
    NoSnapshot,
    /// Says that the beginning of the segment has been synced.
    Mark,
    /// Records.
    Records,
    /// Nothing: it was put in the place of a block that must not count. It has the look of a block,
    /// so that a segment is known for ours even if its writing was cut off.
    Void,
}

impl Kind {
    const fn code(self) -> u16 {
        match self {
            Self::Snapshot => 1,
            Self::NoSnapshot => 2,
            Self::Mark => 3,
            Self::Records => 4,
            Self::Void => 5,
        }
    }

    fn from_code(code: u16) -> Option<Self> {
        let kinds = [
            Self::Snapshot,
            Self::NoSnapshot,
            Self::Mark,
            Self::Records,
            Self::Void,
        ];
        kinds.into_iter().find(|kind| kind.code() == code)
    }

    /// Whether a segment begins with it.
    pub(crate) fn is_beginning(self) -> bool {
        matches!(self, Self::Snapshot | Self::NoSnapshot)
    }

    /// Whether it is only written once the beginning of its segment has been synced.
    pub(crate) fn proves_beginning(self) -> bool {
        matches!(self, Self::Mark | Self::Records)
    }
}

/// What is said of a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub kind: Kind,
    /// Digest of the owner's word.
    pub owner: u64,
    /// Generation of the segment.
    pub generation: u64,
    /// Number of the block within the segment, from 0.
    pub sequence: u32,
}

/// What lies at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Reading<'a> {
    /// Nothing was ever written here.
    Empty,
    /// A whole block of this owner, and the bytes that it takes with its padding.
    Whole {
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

/// Digest of the owner's word (FNV-1a).
pub(crate) fn owner_digest(word: &str) -> u64 {
    word.bytes().fold(0xcbf2_9ce4_8422_2325, |digest, byte| {
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
pub(crate) fn read_at(bytes: &[u8], offset: usize, owner: u64) -> Reading<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let sector = &rest[..rest.len().min(SECTOR_BYTES)];
    if sector.iter().all(|byte| *byte == 0) {
        return Reading::Empty;
    }
    let Some(head) = rest.first_chunk::<HEADER_BYTES>() else {
        return Reading::Unknown;
    };
    if head[..4] != MAGIC {
        return if is_cut_off(head) {
            Reading::BadHeader
        } else {
            Reading::Unknown
        };
    }
    read_header(head, rest, owner)
}

/// Whether this is as much of the first word as a write that was cut off leaves: some of it, and
/// zeros.
fn is_cut_off(head: &[u8; HEADER_BYTES]) -> bool {
    let written = head
        .iter()
        .zip(MAGIC)
        .take_while(|(byte, expected)| *byte == expected)
        .count();
    written > 0 && head[written..].iter().all(|byte| *byte == 0)
}

/// Reads a block whose header begins with the right word.
fn read_header<'a>(head: &[u8; HEADER_BYTES], rest: &'a [u8], owner: u64) -> Reading<'a> {
    let version = u16::from_le_bytes([head[4], head[5]]);
    // No version 0 was ever written: it is a header that was cut off.
    if version != FORMAT_VERSION && version != 0 {
        return Reading::OtherFormat(version);
    }
    let kind = Kind::from_code(u16::from_le_bytes([head[6], head[7]]));
    let (Some(kind), true) = (kind, crc32fast::hash(&head[..36]) == word(head, 36)) else {
        return Reading::BadHeader;
    };
    let header = Header {
        kind,
        owner: long(head, 8),
        generation: long(head, 16),
        sequence: word(head, 24),
    };
    if header.owner != owner {
        return Reading::OtherOwner;
    }
    let length = word(head, 28) as usize;
    let payload = rest
        .get(..size_of(length))
        .map(|block| &block[HEADER_BYTES..HEADER_BYTES + length]);
    match payload.filter(|payload| crc32fast::hash(payload) == word(head, 32)) {
        Some(payload) => Reading::Whole {
            header,
            payload,
            size: size_of(length),
        },
        None => Reading::BadPayload(header),
    }
}

fn word(bytes: &[u8; HEADER_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn long(bytes: &[u8; HEADER_BYTES], at: usize) -> u64 {
    u64::from(word(bytes, at)) | u64::from(word(bytes, at + 4)) << 32
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
