//! The platform's wire to data nodes: frames of a length, a letter and the rest.

use super::{Answer, Wire};
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
const LONGEST: usize = http::BODY + LINE;

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

/// Letters of frames that data nodes send: answers, to probes too, and complaints.
const LETTERS: &[u8] = b"YGTN";

/// The next frame, if it is whole.
fn next(bytes: &[u8]) -> Result<Option<Frame<'_>>, String> {
    let Some(&[a, b, c, d]) = bytes.first_chunk() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    // Guards memory and the loop: a frame without its letter, or one that never ends.
    if length == 0 || length > LONGEST {
        return Err(format!("frame of {length} bytes"));
    }
    let (content, whole) = match bytes.get(4..4 + length) {
        Some(content) => (content, true),
        None => (&bytes[4..], false),
    };
    let Some((&letter, rest)) = content.split_first() else { return Ok(None) };
    // What can be told from its beginning is not waited for: the rest may never come.
    if !LETTERS.contains(&letter) {
        return Err(format!("frame with the letter {letter}"));
    }
    let line = rest.iter().take(LINE).any(|&b| b == b'\n');
    if letter == b'Y' && !line && (whole || rest.len() >= LINE) {
        return Err("answer without its line".into());
    }
    Ok(whole.then_some(Frame { letter, rest, length: 4 + length }))
}

fn answer(rest: &[u8]) -> Result<Answer<String>, String> {
    let at = rest.iter().position(|&b| b == b'\n').ok_or("answer without its line")?;
    // The load report, the fourth word, is not read: whatever stands there, the answer is good.
    let mut words = rest[..at].splitn(4, |&b| b == b' ').map(|w| std::str::from_utf8(w).unwrap_or_default());
    let part = words.next().filter(|id| !id.is_empty()).ok_or("answer without an id")?.to_string();
    let outcome = match words.next() {
        Some("OK") => Outcome::Ok,
        Some("ERROR") => Outcome::Error,
        Some("REJECTED") => Outcome::Rejected,
        other => return Err(format!("answer that ends {other:?}")),
    };
    if outcome != Outcome::Ok {
        return Ok(Answer { part: Some(part), outcome, value: None, last: false });
    }
    let score = words.next().and_then(|w| w.parse().ok()).filter(|s: &f64| s.is_finite());
    let (score, bytes) = (score.ok_or("answer without a score")?, rest[at + 1..].to_vec());
    // Guards clients: a value that is no text can't be passed on unchanged.
    std::str::from_utf8(&bytes).map_err(|_| "answer whose value is no text")?;
    Ok(Answer { part: Some(part), outcome, value: Some(Value { score, bytes, offer: None }), last: false })
}

impl Wire for Frames {
    type Job = Job;
    type Name = String;
    const OWNER: Owner = Owner::Frames;
    const CEILING: usize = 2 * LONGEST;
    const STALL: Micros = 1_000_000;

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
                // The answer to the greeting.
                b'G' | b'T' => None,
                _ => return Err(format!("it could not use a frame: {}", String::from_utf8_lossy(rest))),
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
        Dispatch { attempt: 1, job, shard: Shard(shard), first, most: None, wait: 239_500 }
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
        let value = Value { score: 1_840_277_719.0, bytes: b"5be2a07c".to_vec(), offer: None };
        assert!(seen.contains(&(Outcome::Ok, Some(value))) && seen.contains(&(Outcome::Rejected, None)));
    }

    #[test]
    fn garbage_and_complaints_end_the_connection_and_never_panic() {
        let answers = answers();
        // What bad data nodes send besides: a wrong end, a wrong letter, a wrong length, and 3 GB.
        let spoilt: [&[u8]; 4] = [
            b"\0\0\0\x0cYq.3 ? 1 -\nv",
            b"\0\0\0\x06\x01q.3 O",
            b"\0\0\0\x03Yq.3 OK 1 -\n",
            b"\xb2\xd0^\0Yq.3",
        ];
        let messages = [&[&answers[0][..], &answers[1]], &spoilt[..]].concat();
        garbage(&messages, |bytes| {
            let mut input = Buffer::default();
            input.push(bytes);
            let _ = Frames.answer(&mut input, false, None);
        });
        let long = [&b"\0\0\xff\0Y"[..], &[b'x'; LINE]].concat();
        for bad in [
            &b"\0\0\0\0"[..],
            b"\xff\0\0\0Y",
            b"\0\0\0\x03Nno",
            b"\0\0\0\x01Y",
            b"\0\0\0\x01?",
            b"\0\0\xff\0?",
            &long,
            b"\0\0\0\x0cYq.3 ? 1 -\nv",
            b"\0\0\0\x0cYq.3 OK  -\nv",
            b"\0\0\0\x0fYq.3 OK nan -\nv",
            b"\0\0\0\x0dYq.3 OK 1 -\n\xff",
        ] {
            assert!(read(bad).is_err(), "{bad:?}");
        }
    }

    fn read(bytes: &[u8]) -> Result<Option<Answer<String>>, String> {
        let mut input = Buffer::default();
        input.push(bytes);
        Frames.answer(&mut input, false, None)
    }

    #[test]
    fn an_unreadable_load_report_does_not_spoil_the_answer() {
        for report in [&b"-"[..], b"{ 1, \xff \0 }", b""] {
            let mut bytes = Vec::new();
            frame(b'Y', &[b"q.3 OK 1 ", report, b"\nv"].concat(), &mut bytes);
            let value = Some(Value { score: 1.0, bytes: b"v".to_vec(), offer: None });
            assert_eq!(read(&bytes).unwrap().unwrap().value, value, "{report:?}");
        }
    }
}
