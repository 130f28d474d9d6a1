//! The platform's wire to data nodes: frames of a length, a letter and the payload.

use super::{Answer, AnswerError, Wire};
use crate::core::{Dispatch, Value};
use crate::http;
use crate::interface::{Micros, Outcome, Shard};
use crate::net::buffer::Buffer;
use crate::net::Owner;
use std::net::SocketAddr;

/// What a data node has to know of a query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// The query's id.
    pub id: String,
    /// Its text, which travels unchanged.
    pub text: String,
    /// Its idempotency key, in a keyed class.
    pub key: Option<String>,
}

/// The platform's wire.
pub struct Frames;

/// Longest line before a value.
const MAX_LINE_BYTES: usize = 1024;
/// Longest frame that is read: no client's answer holds a longer value.
const MAX_FRAME_BYTES: usize = http::MAX_BODY_BYTES + MAX_LINE_BYTES;

fn write_frame(frame_type: u8, payload: &[u8], output: &mut Vec<u8>) {
    output.extend_from_slice(&(payload.len() as u32 + 1).to_be_bytes());
    output.push(frame_type);
    output.extend_from_slice(payload);
}

fn join_shards(shards: &[Shard]) -> String {
    shards
        .iter()
        .map(|s| s.0.to_string())
        .collect::<Vec<_>>()
        .join("+")
}

/// The id of a part on the wire.
fn part_name(part: &Dispatch<Job>) -> String {
    let step = if part.first.is_some() { ".get" } else { "" };
    format!("{}.{}{step}", part.job.id, part.shard.0)
}

/// A complete frame.
struct Frame<'a> {
    frame_type: u8,
    payload: &'a [u8],
    /// Bytes that it takes with its length.
    length: usize,
}

/// Letters of frames that data nodes send: answers, to probes too, and complaints.
const NODE_FRAME_TYPES: &[u8] = b"YGTN";

/// The next frame, if it is complete.
fn next_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, AnswerError> {
    let Some(&[a, b, c, d]) = bytes.first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    // Guards memory and the loop: a frame without its letter, or one that never ends.
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(AnswerError::FrameLength(length));
    }
    let (content, is_complete) = match bytes.get(4..4 + length) {
        Some(content) => (content, true),
        None => (&bytes[4..], false),
    };
    let Some((&frame_type, payload)) = content.split_first() else {
        return Ok(None);
    };
    // What can be told from its beginning is not waited for: the payload may never come.
    if !NODE_FRAME_TYPES.contains(&frame_type) {
        return Err(AnswerError::UnknownFrameType(frame_type));
    }
    let has_line = payload.iter().take(MAX_LINE_BYTES).any(|&b| b == b'\n');
    if frame_type == b'Y' && !has_line && (is_complete || payload.len() >= MAX_LINE_BYTES) {
        return Err(AnswerError::MissingLine);
    }
    Ok(is_complete.then_some(Frame {
        frame_type,
        payload,
        length: 4 + length,
    }))
}

fn parse_answer(payload: &[u8]) -> Result<Answer<String>, AnswerError> {
    let at = payload
        .iter()
        .position(|&b| b == b'\n')
        .ok_or(AnswerError::MissingLine)?;
    // The load report, the fourth word, is not read: whatever stands there, the answer is good.
    let mut words = payload[..at]
        .splitn(4, |&b| b == b' ')
        .map(|w| std::str::from_utf8(w).unwrap_or_default());
    let part = words
        .next()
        .filter(|id| !id.is_empty())
        .ok_or(AnswerError::MissingId)?
        .to_string();
    let outcome = match words.next() {
        Some("OK") => Outcome::Ok,
        Some("ERROR") => Outcome::Error,
        Some("REJECTED") => Outcome::Rejected,
        other => return Err(AnswerError::UnknownOutcome(other.map(Into::into))),
    };
    if outcome != Outcome::Ok {
        return Ok(Answer {
            part: Some(part),
            outcome,
            value: None,
            is_last: false,
        });
    }
    let score = words
        .next()
        .and_then(|w| w.parse().ok())
        .filter(|s: &f64| s.is_finite());
    let (score, bytes) = (
        score.ok_or(AnswerError::MissingScore)?,
        payload[at + 1..].to_vec(),
    );
    // Guards clients: a value that is no text can't be passed on unchanged.
    std::str::from_utf8(&bytes).map_err(|_| AnswerError::NotText)?;
    Ok(Answer {
        part: Some(part),
        outcome,
        value: Some(Value {
            score,
            bytes,
            sorted: None,
        }),
        is_last: false,
    })
}

impl Wire for Frames {
    type Job = Job;
    type Name = String;
    const OWNER: Owner = Owner::Frames;
    const MAX_INPUT_BYTES: usize = 2 * MAX_FRAME_BYTES;
    const RESPONSE_TIMEOUT: Micros = 1_000_000;

    /// A probe: its answer tells nothing of the node's health, but that the connection is served.
    fn greeting(&self) -> Option<Vec<u8>> {
        let mut output = Vec::new();
        write_frame(b'G', b"", &mut output);
        Some(output)
    }

    fn answer_name(&self, part: &Dispatch<Job>) -> Option<String> {
        Some(part_name(part))
    }

    fn encode_call(
        &self,
        parts: &[Dispatch<Job>],
        _: SocketAddr,
        output: &mut Vec<u8>,
    ) -> Vec<String> {
        let (mut payload, mut names) = (Vec::new(), Vec::new());
        for part in parts {
            let job = &part.job;
            let mut list = format!("d={}", (part.timeout / 1_000).max(1));
            if let Some(key) = &job.key {
                list += &format!(",k={key}");
            }
            let name = part_name(part);
            if let Some(first) = &part.first {
                list += &format!(
                    ",from={},whole={}",
                    join_shards(&first.shards),
                    u8::from(first.whole)
                );
            }
            payload.extend_from_slice(
                format!("{name} {} {list} {}\n", part.shard.0, job.text.len()).as_bytes(),
            );
            payload.extend_from_slice(job.text.as_bytes());
            names.push(name);
        }
        write_frame(b'R', &payload, output);
        names
    }

    fn encode_cancel(&self, part: &String) -> Option<Vec<u8>> {
        let mut output = Vec::new();
        write_frame(b'A', part.as_bytes(), &mut output);
        Some(output)
    }

    fn read_answer(
        &self,
        input: &mut Buffer,
        _: bool,
        _: Option<&String>,
    ) -> Result<Option<Answer<String>>, AnswerError> {
        loop {
            let Some(Frame {
                frame_type,
                payload,
                length,
            }) = next_frame(input.bytes())?
            else {
                return Ok(None);
            };
            let found = match frame_type {
                b'Y' => Some(parse_answer(payload)?),
                // The answer to the greeting.
                b'G' | b'T' => None,
                _ => {
                    let complaint = String::from_utf8_lossy(payload).into_owned();
                    return Err(AnswerError::Complaint(complaint));
                }
            };
            input.consume(length);
            if found.is_some() {
                return Ok(found);
            }
        }
    }
}

#[cfg(test)]
mod tests;
