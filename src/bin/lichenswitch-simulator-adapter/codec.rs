//! Frames of the wire: batches of event records in, replies of action records out.
//!
//! Numbers are little-endian. A record refers to what has no fixed length by offset and count in the
//! frame's tail.

use lichenswitch::interface::{
    Action, Event, ListedServer, Outcome, PartId, QueryId, ServerId, ServerMode, Shard, Time,
};
use thiserror::Error;

/// Bytes of a batch's header.
pub(crate) const HEADER: usize = 16;
/// Bytes of an event record.
const EVENT: usize = 56;
/// Bytes of an action record.
const ACTION: usize = 24;
/// Bytes of a line of the list of servers.
const ENTRY: usize = 22;
/// Bytes of a reply's header.
const REPLY_HEADER: usize = 8;
/// Largest frame that is read; far above what a day sends.
pub(crate) const LARGEST: usize = 1 << 30;

/// Why a frame can't be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub(crate) enum CodecError {
    #[error("frame length {0} is under the header's {HEADER} bytes")]
    LengthUnderHeader(usize),
    #[error("frame length {0} is over {LARGEST} bytes")]
    LengthOverLimit(usize),
    #[error("frame of {0} bytes has no whole header")]
    ShortHeader(usize),
    #[error("frame of {0} bytes states another length")]
    OtherLength(usize),
    #[error("{count} records do not fit into {bytes} bytes")]
    RecordsBeyondFrame { count: usize, bytes: usize },
    #[error("tail reference {offset}+{count} lies outside the tail of {tail} bytes")]
    TailReference {
        offset: usize,
        count: usize,
        tail: usize,
    },
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    #[error("unknown server mode {0}")]
    UnknownServerMode(u8),
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    #[error("load report of {0} values, {REPORT_MOST} at most")]
    LargeLoadReport(u8),
    #[error("{field} {value} is no number of its kind")]
    Number { field: &'static str, value: f32 },
}

/// Kind of a list report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    Changes,
    Whole,
    Cached,
    Failed,
}

/// One event record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    Begin {
        instance: u32,
        seed: u64,
        facts: Vec<u8>,
    },
    PowerOff {
        instance: u32,
    },
    Snapshot {
        page: u8,
        lines: Vec<ListedServer>,
    },
    Roster {
        instance: u32,
        scope: Scope,
        page: u8,
    },
    Event {
        instance: u32,
        event: Event,
    },
    /// Legal, but nothing that the module acts on.
    Ignored {
        instance: u32,
    },
}

/// Length of the frame whose first bytes these are.
pub(crate) fn frame_length(header: &[u8; HEADER]) -> Result<usize, CodecError> {
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length < HEADER {
        return Err(CodecError::LengthUnderHeader(length));
    }
    if length > LARGEST {
        return Err(CodecError::LengthOverLimit(length));
    }
    Ok(length)
}

struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    fn take<const N: usize>(&mut self) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.bytes[self.at..self.at + N]);
        self.at += N;
        out
    }
    fn u8(&mut self) -> u8 {
        self.take::<1>()[0]
    }
    fn u16(&mut self) -> u16 {
        u16::from_le_bytes(self.take())
    }
    fn u32(&mut self) -> u32 {
        u32::from_le_bytes(self.take())
    }
    fn u64(&mut self) -> u64 {
        u64::from_le_bytes(self.take())
    }
    fn f32(&mut self) -> f32 {
        f32::from_le_bytes(self.take())
    }
    fn tail(&mut self, tail: &'a [u8], unit: usize) -> Result<&'a [u8], CodecError> {
        let (offset, count) = (self.u32() as usize, self.u32() as usize);
        let end = count.checked_mul(unit).and_then(|n| n.checked_add(offset));
        match end {
            Some(end) if end <= tail.len() => Ok(&tail[offset..end]),
            _ => Err(CodecError::TailReference {
                offset,
                count,
                tail: tail.len(),
            }),
        }
    }
}

fn outcome(code: u16) -> Result<Outcome, CodecError> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NeverSent,
        other => return Err(CodecError::UnknownOutcome(other)),
    })
}

fn listed(bytes: &[u8]) -> Result<ListedServer, CodecError> {
    let mut f = Fields { bytes, at: 4 };
    let (cell, server, since) = (f.u16(), f.u32(), f.u64());
    f.at = 20;
    let mode = match f.u8() {
        0 => ServerMode::Ready,
        2 => ServerMode::Draining,
        3 => ServerMode::Gone,
        other => return Err(CodecError::UnknownServerMode(other)),
    };
    Ok(ListedServer {
        server: ServerId(server),
        cell: u32::from(cell),
        zone: u32::from(f.u8()),
        mode,
        started_at: (since > 0).then_some(Time(since)),
    })
}

/// Values that a load report may hold; the module does not act on them.
const REPORT_MOST: u8 = 4;

fn report(count: u8) -> Result<(), CodecError> {
    if count > REPORT_MOST {
        return Err(CodecError::LargeLoadReport(count));
    }
    Ok(())
}

fn number(value: f32, field: &'static str) -> Result<u32, CodecError> {
    if (0.0..4_294_967_296.0).contains(&value) {
        Ok(value as u32)
    } else {
        Err(CodecError::Number { field, value })
    }
}

/// Codes of event records.
mod code {
    pub(super) const REQUEST: u8 = 16;
    pub(super) const HANGUP: u8 = 17;
    pub(super) const BEGIN: u8 = 18;
    pub(super) const ROSTER: u8 = 19;
    pub(super) const TEXT: u8 = 20;
    pub(super) const IGNORED: u8 = 21;
    pub(super) const SNAPSHOT: u8 = 22;
    pub(super) const POWER_OFF: u8 = 23;
    pub(super) const FINISHED: u8 = 24;
    pub(super) const WAKE: u8 = 25;
    pub(super) const PROBED: u8 = 26;
}

/// Option bit of a query that its client marks as a retry.
const RETRY_OPTION: u16 = 2;

fn record(bytes: &[u8], tail: &[u8]) -> Result<Record, CodecError> {
    let mut f = Fields { bytes, at: 1 };
    if bytes[0] == code::SNAPSHOT {
        let page = f.u8();
        let entries = f.tail(tail, ENTRY)?.chunks_exact(ENTRY);
        let lines = entries.map(listed).collect::<Result<_, _>>()?;
        return Ok(Record::Snapshot { page, lines });
    }
    let instance = f.u32();
    let event = match bytes[0] {
        code::REQUEST => request(&mut f)?,
        code::HANGUP => Event::Hangup(QueryId(f.u64())),
        code::BEGIN => {
            let seed = f.u64();
            let facts = f.tail(tail, 1)?.to_vec();
            return Ok(Record::Begin {
                instance,
                seed,
                facts,
            });
        }
        code::ROSTER => {
            let scope = scope(f.u8())?;
            let page = f.u8();
            return Ok(Record::Roster {
                instance,
                scope,
                page,
            });
        }
        code::TEXT => {
            f.at = 9;
            f.tail(tail, 1)?;
            return Ok(Record::Ignored { instance });
        }
        code::IGNORED => return Ok(Record::Ignored { instance }),
        code::POWER_OFF => return Ok(Record::PowerOff { instance }),
        code::FINISHED => finished(&mut f)?,
        code::WAKE => Event::Wake,
        code::PROBED => probed(&mut f)?,
        other => return Err(CodecError::UnknownEventCode(other)),
    };
    Ok(Record::Event { instance, event })
}

/// A query, or a part of one: a query has no shard.
fn request(f: &mut Fields<'_>) -> Result<Event, CodecError> {
    let id = f.u64();
    f.at = 17;
    let key = f.u64();
    let shard = f.f32();
    let (options, class) = (f.u16(), f.u16());
    let (amount, query) = (f.f32(), number(f.f32(), "query number")?);
    let (deadline, tenant) = (Time(f.u64()), f.u32());
    if shard < 0.0 {
        return Ok(Event::Query {
            query: QueryId(id),
            number: query,
            class,
            deadline,
            key,
            is_retry: options & RETRY_OPTION != 0,
            tenant,
        });
    }
    Ok(Event::Part {
        part: PartId(id),
        number: query,
        shard: Shard(number(shard, "shard")?),
        weight: if amount.is_finite() {
            f64::from(amount)
        } else {
            0.0
        },
    })
}

fn scope(code: u8) -> Result<Scope, CodecError> {
    Ok(match code {
        0 => Scope::Changes,
        1 => Scope::Whole,
        2 => Scope::Cached,
        3 => Scope::Failed,
        other => return Err(CodecError::UnknownListScope(other)),
    })
}

fn finished(f: &mut Fields<'_>) -> Result<Event, CodecError> {
    let (part, how, elapsed, server) = (f.u64(), f.u16(), f.u32(), f.u32());
    f.at = 24;
    let attempt = f.u16();
    report(f.u8())?;
    Ok(Event::Finished {
        part: PartId(part),
        attempt,
        server: ServerId(server),
        outcome: outcome(how)?,
        elapsed: u64::from(elapsed),
    })
}

fn probed(f: &mut Fields<'_>) -> Result<Event, CodecError> {
    let (server, how, elapsed) = (f.u32(), f.u16(), f.u32());
    report(f.u8())?;
    Ok(Event::Probed {
        server: ServerId(server),
        outcome: outcome(how)?,
        elapsed: u64::from(elapsed),
    })
}

/// Reads one whole batch: its clock and its records.
pub(crate) fn decode(frame: &[u8]) -> Result<(Time, Vec<Record>), CodecError> {
    let header: &[u8; HEADER] = frame
        .first_chunk()
        .ok_or(CodecError::ShortHeader(frame.len()))?;
    if frame_length(header)? != frame.len() {
        return Err(CodecError::OtherLength(frame.len()));
    }
    let mut f = Fields {
        bytes: frame,
        at: 4,
    };
    let (count, clock) = (f.u32() as usize, f.u64());
    let end = count
        .checked_mul(EVENT)
        .and_then(|n| n.checked_add(HEADER))
        .filter(|&end| end <= frame.len());
    let end = end.ok_or(CodecError::RecordsBeyondFrame {
        count,
        bytes: frame.len(),
    })?;
    let (records, tail) = (&frame[HEADER..end], &frame[end..]);
    let records = records
        .chunks_exact(EVENT)
        .map(|r| record(r, tail))
        .collect::<Result<_, _>>()?;
    Ok((Time(clock), records))
}

/// A reply under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

fn micros(value: u64) -> [u8; 4] {
    u32::try_from(value).unwrap_or(u32::MAX).to_le_bytes()
}

impl Reply {
    fn push(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        fields
            .iter()
            .for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    fn text(&mut self, code: u8, instance: u32, text: &str) {
        let (at, len) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.push(code, instance, &[&at.to_le_bytes(), &len.to_le_bytes()]);
    }

    /// Reports that the module failed.
    pub(crate) fn bug(&mut self, instance: u32, text: &str) {
        self.text(89, instance, text);
    }

    /// Appends one action of an instance.
    pub(crate) fn action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                let fields: [&[u8]; 3] = [
                    &part.0.to_le_bytes(),
                    &server.0.to_le_bytes(),
                    &micros(*timeout),
                ];
                self.push(80, instance, &fields);
            }
            Action::Refuse { query, retry_after } => {
                self.push(
                    81,
                    instance,
                    &[&query.0.to_le_bytes(), &micros(*retry_after)],
                );
            }
            Action::Fail(query) => self.push(82, instance, &[&query.0.to_le_bytes()]),
            Action::Cancel { part, attempt } => {
                self.push(
                    83,
                    instance,
                    &[&part.0.to_le_bytes(), &attempt.to_le_bytes()],
                );
            }
            Action::Wake(after) => self.push(84, instance, &[&micros(*after), &[0; 4]]),
            Action::Probe(server) => self.push(85, instance, &[&server.0.to_le_bytes()]),
            Action::CloseIdle(server) => self.push(86, instance, &[&server.0.to_le_bytes()]),
            Action::Log(text) => self.text(88, instance, text),
            Action::Subscribe => self.push(90, instance, &[&[1]]),
            Action::Answer { query, whole } => {
                self.push(92, instance, &[&query.0.to_le_bytes(), &[u8::from(*whole)]]);
            }
        }
    }

    /// The finished frame.
    pub(crate) fn encode(self) -> Vec<u8> {
        let length = (REPLY_HEADER + self.records.len() + self.tail.len()) as u32;
        let mut out = Vec::with_capacity(length as usize);
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&length.to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}
