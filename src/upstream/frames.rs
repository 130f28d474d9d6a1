//! The platform's wire to data nodes: frames of a length, a letter and the rest.

use super::{Answer, Wire};
use crate::core::{Dispatch, Value};
use crate::interface::{Outcome, Shard};
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

/// Longest frame that is read.
const LONGEST: usize = 256 * 1024;

fn frame(letter: u8, rest: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(rest.len() as u32 + 1).to_be_bytes());
    out.push(letter);
    out.extend_from_slice(rest);
}

fn joined(shards: &[Shard]) -> String {
    shards.iter().map(|s| s.0.to_string()).collect::<Vec<_>>().join("+")
}

/// A frame that is whole.
struct Frame<'a> {
    letter: u8,
    rest: &'a [u8],
    /// Bytes that it takes with its length.
    length: usize,
}

/// The next frame, if it is whole.
fn next(bytes: &[u8]) -> Result<Option<Frame<'_>>, String> {
    let Some(&[a, b, c, d]) = bytes.first_chunk() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    // Guards memory and the loop: a frame without its letter, or one that never ends.
    if length == 0 || length > LONGEST {
        return Err(format!("frame of {length} bytes"));
    }
    let Some(content) = bytes.get(4..4 + length) else { return Ok(None) };
    Ok(Some(Frame { letter: content[0], rest: &content[1..], length: 4 + length }))
}

fn answer(rest: &[u8]) -> Result<Answer<String>, String> {
    let at = rest.iter().position(|&b| b == b'\n').ok_or("answer without its line")?;
    let line = std::str::from_utf8(&rest[..at]).map_err(|_| "answer whose line is no text")?;
    let mut words = line.split_ascii_whitespace();
    let part = words.next().ok_or("answer without an id")?.to_string();
    let outcome = match words.next() {
        Some("OK") => Outcome::Ok,
        Some("ERROR") => Outcome::Error,
        Some("REJECTED") => Outcome::Rejected,
        other => return Err(format!("answer that ends {other:?}")),
    };
    let score = words.next().and_then(|w| w.parse().ok()).unwrap_or(0.0);
    let value = (outcome == Outcome::Ok).then(|| Value { score, bytes: rest[at + 1..].to_vec() });
    Ok(Answer { part: Some(part), outcome, value, last: false })
}

impl Wire for Frames {
    type Job = Job;
    type Name = String;
    const OWNER: Owner = Owner::Frames;
    const CEILING: usize = LONGEST + 64 * 1024;

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
                list += &format!(",from={},whole={}", joined(&first.shards), u8::from(first.whole));
            }
            rest.extend_from_slice(format!("{name} {} {list} {}\n", part.shard.0, job.text.len()).as_bytes());
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
    ) -> Result<Option<Answer<String>>, String> {
        loop {
            let Some(Frame { letter, rest, length }) = next(input.bytes())? else { return Ok(None) };
            let found = match letter {
                b'Y' => Some(answer(rest)?),
                // Answers to probes, which are not sent.
                b'G' | b'T' => None,
                b'N' => return Err(format!("it could not use a frame: {}", String::from_utf8_lossy(rest))),
                other => return Err(format!("frame with the letter {other}")),
            };
            input.consume(length);
            if found.is_some() {
                return Ok(found);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::FirstStep;
    use crate::testing::{garbage, random_cuts};
    use std::rc::Rc;

    fn dispatch(shard: u32, key: Option<&str>, first: Option<FirstStep>) -> Dispatch<Job> {
        let job = Job { id: "9b1f".into(), text: "c41e77d0".into(), key: key.map(Into::into) };
        let (job, first) = (Rc::new(job), first.map(Rc::new));
        Dispatch { attempt: 1, job, shard: Shard(shard), first, wait: 239_500 }
    }

    fn written(parts: &[Dispatch<Job>]) -> String {
        let mut out = Vec::new();
        Frames.call(parts, SocketAddr::from(([127, 0, 0, 1], 1)), &mut out);
        let length = u32::from_be_bytes([out[0], out[1], out[2], out[3]]) as usize;
        assert_eq!(length, out.len() - 4);
        String::from_utf8(out.split_off(4)).unwrap()
    }

    fn answers() -> [Vec<u8>; 2] {
        let (mut ok, mut no) = (Vec::new(), Vec::new());
        frame(b'Y', b"9b1f.3 OK 1840277719 -\n5be2a07c", &mut ok);
        frame(b'Y', b"9b1f.4 REJECTED - -\n", &mut no);
        [ok, no]
    }

    #[test]
    fn calls_have_the_documented_form() {
        let both = [dispatch(3, Some("k7"), None), dispatch(4, None, None)];
        assert_eq!(written(&both), "R9b1f.3 3 d=239,k=k7 8\nc41e77d09b1f.4 4 d=239 8\nc41e77d0");
        let first = FirstStep { shards: vec![Shard(3), Shard(5), Shard(9)], whole: false };
        let second = written(&[dispatch(5, None, Some(first))]);
        assert_eq!(second, "R9b1f.5.get 5 d=239,from=3+5+9,whole=0 8\nc41e77d0");
        assert_eq!(Frames.give_up(&"9b1f.3".to_string()).unwrap(), b"\x00\x00\x00\x07A9b1f.3");
    }

    #[test]
    fn answers_are_read_however_they_are_cut() {
        let answers = answers();
        let mut seen = Vec::new();
        random_cuts(&[&answers[0], &answers[1]], |bytes| {
            let mut input = Buffer::default();
            input.push(bytes);
            let found = Frames.answer(&mut input, false, None).unwrap()?;
            seen.push((found.outcome, found.value));
            Some(bytes.len() - input.bytes().len())
        });
        let value = Value { score: 1_840_277_719.0, bytes: b"5be2a07c".to_vec() };
        assert!(seen.contains(&(Outcome::Ok, Some(value))) && seen.contains(&(Outcome::Rejected, None)));
    }

    #[test]
    fn garbage_and_complaints_end_the_connection_and_never_panic() {
        let answers = answers();
        garbage(&[&answers[0], &answers[1]], |bytes| {
            let mut input = Buffer::default();
            input.push(bytes);
            let _ = Frames.answer(&mut input, false, None);
        });
        for bad in [&b"\0\0\0\0"[..], b"\xff\0\0\0Y", b"\0\0\0\x03Nno", b"\0\0\0\x01Y", b"\0\0\0\x01?"] {
            let mut input = Buffer::default();
            input.push(bad);
            assert!(Frames.answer(&mut input, false, None).is_err());
        }
    }
}
