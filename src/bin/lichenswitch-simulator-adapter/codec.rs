//! Frames of the wire: batches of event records in, replies of action records out.

use lichenswitch::interface::{
    Action, Event, ListedServer, Outcome, PartId, QueryId, ServerId, ServerMode, Shard, Time,
};

/// Bytes of a batch's header.
pub(crate) const HEADER: usize = 16;
const EVENT: usize = 56;
const ACTION: usize = 24;
const ENTRY: usize = 22;
const REPLY_HEADER: usize = 8;
/// Largest frame that is read; far above what a day sends.
pub(crate) const LARGEST: usize = 1 << 30;

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
        who: u32,
        seed: u64,
        facts: Vec<u8>,
    },
    PowerOff {
        who: u32,
    },
    Snapshot {
        page: u8,
        lines: Vec<ListedServer>,
    },
    Roster {
        who: u32,
        scope: Scope,
        page: u8,
    },
    Event {
        who: u32,
        event: Event,
    },
    /// Legal, but nothing that the module acts on.
    Ignored {
        who: u32,
    },
}

/// Length of the frame whose first bytes these are.
pub(crate) fn frame_length(header: &[u8; HEADER]) -> Result<usize, String> {
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length < HEADER {
        return Err(format!(
            "frame length {length} is under the header's {HEADER} bytes"
        ));
    }
    if length > LARGEST {
        return Err(format!("frame length {length} is over {LARGEST} bytes"));
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
    fn tail(&mut self, tail: &'a [u8], unit: usize) -> Result<&'a [u8], String> {
        let (offset, count) = (self.u32() as usize, self.u32() as usize);
        let end = count.checked_mul(unit).and_then(|n| n.checked_add(offset));
        match end {
            Some(end) if end <= tail.len() => Ok(&tail[offset..end]),
            _ => Err(format!(
                "tail reference {offset}+{count} lies outside the tail of {} bytes",
                tail.len()
            )),
        }
    }
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Moot,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn listed(bytes: &[u8]) -> Result<ListedServer, String> {
    let mut f = Fields { bytes, at: 4 };
    let (cell, server, since) = (f.u16(), f.u32(), f.u64());
    f.at = 20;
    let mode = match f.u8() {
        0 => ServerMode::Ready,
        2 => ServerMode::Draining,
        3 => ServerMode::Gone,
        other => return Err(format!("unknown server mode {other}")),
    };
    Ok(ListedServer {
        server: ServerId(server),
        cell: u32::from(cell),
        zone: u32::from(f.u8()),
        mode,
        started: (since > 0).then_some(Time(since)),
    })
}

/// Values that a load report may hold; the module does not act on them.
const REPORT_MOST: u8 = 4;

fn report(count: u8) -> Result<(), String> {
    if count > REPORT_MOST {
        return Err(format!(
            "load report of {count} values, {REPORT_MOST} at most"
        ));
    }
    Ok(())
}

fn number(value: f32, what: &str) -> Result<u32, String> {
    if (0.0..4_294_967_296.0).contains(&value) {
        Ok(value as u32)
    } else {
        Err(format!("{what} {value} is no number of its kind"))
    }
}

fn record(bytes: &[u8], tail: &[u8]) -> Result<Record, String> {
    let mut f = Fields { bytes, at: 1 };
    let code = bytes[0];
    if code == 22 {
        let page = f.u8();
        let lines = f
            .tail(tail, ENTRY)?
            .chunks_exact(ENTRY)
            .map(listed)
            .collect::<Result<_, _>>()?;
        return Ok(Record::Snapshot { page, lines });
    }
    let who = f.u32();
    let event = match code {
        16 => {
            let id = f.u64();
            f.at = 17;
            let key = f.u64();
            let shard = f.f32();
            let (options, class) = (f.u16(), f.u16());
            let (amount, query) = (f.f32(), number(f.f32(), "query number")?);
            let (deadline, tenant) = (Time(f.u64()), f.u32());
            if shard < 0.0 {
                let again = options & 2 != 0;
                Event::Query {
                    query: QueryId(id),
                    number: query,
                    class,
                    deadline,
                    key,
                    again,
                    tenant,
                }
            } else {
                let weight = if amount.is_finite() {
                    f64::from(amount)
                } else {
                    0.0
                };
                let shard = Shard(number(shard, "shard")?);
                Event::Part {
                    part: PartId(id),
                    number: query,
                    shard,
                    weight,
                }
            }
        }
        17 => Event::Hangup(QueryId(f.u64())),
        18 => {
            let seed = f.u64();
            return Ok(Record::Begin {
                who,
                seed,
                facts: f.tail(tail, 1)?.to_vec(),
            });
        }
        19 => {
            let scope = match f.u8() {
                0 => Scope::Changes,
                1 => Scope::Whole,
                2 => Scope::Cached,
                3 => Scope::Failed,
                other => return Err(format!("unknown list scope {other}")),
            };
            return Ok(Record::Roster {
                who,
                scope,
                page: f.u8(),
            });
        }
        20 => {
            f.at = 9;
            f.tail(tail, 1)?;
            return Ok(Record::Ignored { who });
        }
        21 => return Ok(Record::Ignored { who }),
        23 => return Ok(Record::PowerOff { who }),
        24 => {
            let (part, how, elapsed, server) = (f.u64(), f.u16(), f.u32(), f.u32());
            f.at = 24;
            let attempt = f.u16();
            report(f.u8())?;
            Event::Finished {
                part: PartId(part),
                attempt,
                server: ServerId(server),
                outcome: outcome(how)?,
                elapsed: u64::from(elapsed),
            }
        }
        25 => Event::Wake,
        26 => {
            let (server, how, elapsed) = (f.u32(), f.u16(), f.u32());
            report(f.u8())?;
            Event::Probed {
                server: ServerId(server),
                outcome: outcome(how)?,
                elapsed: u64::from(elapsed),
            }
        }
        other => return Err(format!("unknown event code {other}")),
    };
    Ok(Record::Event { who, event })
}

/// Reads one whole batch: its clock and its records.
pub(crate) fn decode(frame: &[u8]) -> Result<(Time, Vec<Record>), String> {
    let header: &[u8; HEADER] = frame
        .first_chunk()
        .ok_or_else(|| format!("frame of {} bytes has no whole header", frame.len()))?;
    if frame_length(header)? != frame.len() {
        return Err(format!(
            "frame of {} bytes states another length",
            frame.len()
        ));
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
    let end =
        end.ok_or_else(|| format!("{count} records do not fit into {} bytes", frame.len()))?;
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
    fn push(&mut self, code: u8, who: u32, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&who.to_le_bytes());
        fields
            .iter()
            .for_each(|f| self.records.extend_from_slice(f));
        self.records.resize(start + ACTION, 0);
        self.count += 1;
    }

    fn text(&mut self, code: u8, who: u32, text: &str) {
        let (at, len) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.push(code, who, &[&at.to_le_bytes(), &len.to_le_bytes()]);
    }

    /// Reports that the module failed.
    pub(crate) fn bug(&mut self, who: u32, text: &str) {
        self.text(89, who, text);
    }

    /// Appends one action of an instance.
    pub(crate) fn action(&mut self, who: u32, action: &Action) {
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
                self.push(80, who, &fields);
            }
            Action::Refuse { query, retry_after } => {
                self.push(81, who, &[&query.0.to_le_bytes(), &micros(*retry_after)]);
            }
            Action::Fail(query) => self.push(82, who, &[&query.0.to_le_bytes()]),
            Action::Cancel { part, attempt } => {
                self.push(83, who, &[&part.0.to_le_bytes(), &attempt.to_le_bytes()]);
            }
            Action::Wake(after) => self.push(84, who, &[&micros(*after), &[0; 4]]),
            Action::Probe(server) => self.push(85, who, &[&server.0.to_le_bytes()]),
            Action::CloseIdle(server) => self.push(86, who, &[&server.0.to_le_bytes()]),
            Action::Log(text) => self.text(88, who, text),
            Action::Subscribe => self.push(90, who, &[&[1]]),
            Action::Answer { query, whole } => {
                self.push(92, who, &[&query.0.to_le_bytes(), &[u8::from(*whole)]]);
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
