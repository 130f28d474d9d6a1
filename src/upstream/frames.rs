//! The platform's wire to data nodes: frames of a length, a letter and the rest.

use super::{Answer, AnswerError, Wire};
use crate::core::{Dispatch, Value};
use crate::http;
use crate::interface::{Micros, Outcome, Shard};
use crate::net::buffer::Buffer;
use crate::net::Owner;
use std::net::SocketAddr;

/// What a data node has to be told of a query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// The query's id.
    pub id: String,
    /// Its text, which travels unchanged.
    pub text: String,
    /// Its idempotency key, in a keyed class.
    pub key: Option<String>,
}

/// The wire.
pub struct Frames;

/// Longest line before a value.
const LINE: usize = 1024;
/// Longest frame that is read: no client's answer holds a longer value.
const LONGEST: usize = http::MAX_BODY_BYTES + LINE;

fn frame(frame_type: u8, rest: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(rest.len() as u32 + 1).to_be_bytes());
    out.push(frame_type);
    out.extend_from_slice(rest);
}

fn joined(shards: &[Shard]) -> String {
    shards
        .iter()
        .map(|s| s.0.to_string())
        .collect::<Vec<_>>()
        .join("+")
}

/// A frame that is whole.
struct Frame<'a> {
    frame_type: u8,
    rest: &'a [u8],
    /// Bytes that it takes with its length.
    length: usize,
}

/// Letters of frames that data nodes send: answers, to probes too, and complaints.
const NODE_FRAME_TYPES: &[u8] = b"YGTN";

/// The next frame, if it is whole.
fn next(bytes: &[u8]) -> Result<Option<Frame<'_>>, AnswerError> {
    let Some(&[a, b, c, d]) = bytes.first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    // Guards memory and the loop: a frame without its letter, or one that never ends.
    if length == 0 || length > LONGEST {
        return Err(AnswerError::FrameLength(length));
    }
    let (content, whole) = match bytes.get(4..4 + length) {
        Some(content) => (content, true),
        None => (&bytes[4..], false),
    };
    let Some((&frame_type, rest)) = content.split_first() else {
        return Ok(None);
    };
    // What can be told from its beginning is not waited for: the rest may never come.
    if !NODE_FRAME_TYPES.contains(&frame_type) {
        return Err(AnswerError::UnknownFrameType(frame_type));
    }
    let line = rest.iter().take(LINE).any(|&b| b == b'\n');
    if frame_type == b'Y' && !line && (whole || rest.len() >= LINE) {
        return Err(AnswerError::MissingLine);
    }
    Ok(whole.then_some(Frame {
        frame_type,
        rest,
        length: 4 + length,
    }))
}

fn answer(rest: &[u8]) -> Result<Answer<String>, AnswerError> {
    let at = rest
        .iter()
        .position(|&b| b == b'\n')
        .ok_or(AnswerError::MissingLine)?;
    // The load report, the fourth word, is not read: whatever stands there, the answer is good.
    let mut words = rest[..at]
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
            last: false,
        });
    }
    let score = words
        .next()
        .and_then(|w| w.parse().ok())
        .filter(|s: &f64| s.is_finite());
    let (score, bytes) = (
        score.ok_or(AnswerError::MissingScore)?,
        rest[at + 1..].to_vec(),
    );
    // Guards clients: a value that is no text can't be passed on unchanged.
    std::str::from_utf8(&bytes).map_err(|_| AnswerError::NotText)?;
    Ok(Answer {
        part: Some(part),
        outcome,
        value: Some(Value {
            score,
            bytes,
            offer: None,
        }),
        last: false,
    })
}

impl Wire for Frames {
    type Job = Job;
    type Name = String;
    const OWNER: Owner = Owner::Frames;
    const MAX_INPUT_BYTES: usize = 2 * LONGEST;
    const RESPONSE_TIMEOUT: Micros = 1_000_000;

    /// A probe: its answer tells nothing of the node's health, but that the connection is served.
    fn greeting(&self) -> Option<Vec<u8>> {
        let mut out = Vec::new();
        frame(b'G', b"", &mut out);
        Some(out)
    }

    fn call(&self, parts: &[Dispatch<Job>], _: SocketAddr, out: &mut Vec<u8>) -> Vec<String> {
        let (mut rest, mut names) = (Vec::new(), Vec::new());
        for part in parts {
            let job = &part.job;
            let mut list = format!("d={}", (part.wait / 1_000).max(1));
            if let Some(key) = &job.key {
                list += &format!(",k={key}");
            }
            let mut name = format!("{}.{}", job.id, part.shard.0);
            if let Some(first) = &part.first {
                name += ".get";
                list += &format!(
                    ",from={},whole={}",
                    joined(&first.shards),
                    u8::from(first.whole)
                );
            }
            rest.extend_from_slice(
                format!("{name} {} {list} {}\n", part.shard.0, job.text.len()).as_bytes(),
            );
            rest.extend_from_slice(job.text.as_bytes());
            names.push(name);
        }
        frame(b'R', &rest, out);
        names
    }

    fn give_up(&self, part: &String) -> Option<Vec<u8>> {
        let mut out = Vec::new();
        frame(b'A', part.as_bytes(), &mut out);
        Some(out)
    }

    fn answer(
        &self,
        input: &mut Buffer,
        _: bool,
        _: Option<&String>,
    ) -> Result<Option<Answer<String>>, AnswerError> {
        loop {
            let Some(Frame {
                frame_type,
                rest,
                length,
            }) = next(input.bytes())?
            else {
                return Ok(None);
            };
            let found = match frame_type {
                b'Y' => Some(answer(rest)?),
                // The answer to the greeting.
                b'G' | b'T' => None,
                _ => {
                    let complaint = String::from_utf8_lossy(rest).into_owned();
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
