//! How brokers' words look on a connection: a length of four bytes, most significant first, then so
//! many. The first message is a greeting that every version can read: a fixed word and the version,
//! then the rest in that version's form. All others are records, written by `postcard`.

use crate::decide::fleet::Member;
use serde::{Deserialize, Serialize};

/// The version spoken here.
pub(super) const VERSION: u16 = 1;
/// Longest message, without its length. Guards memory: what claims more is no peer.
pub(super) const LONGEST: usize = 64 * 1024;
/// What a greeting begins with.
const WORD: &[u8; 18] = b"lichenswitch-peers";

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Greeting {
    /// The cluster that it belongs to.
    pub cluster: String,
    /// The broker that it is.
    pub from: Member,
}

/// What is said once the greeting is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Word {
    /// Of the fleet: for `decide::fleet`.
    Fleet(Vec<u8>),
    /// The greeting was not taken, and why; the connection ends.
    Refused(String),
    /// Of the consensus: for `peer::consensus`.
    Consensus(Vec<u8>),
}

fn framed(content: &[u8]) -> Vec<u8> {
    let mut out = (content.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(content);
    out
}

/// A greeting as it is sent.
#[must_use]
pub(super) fn greeting(greeting: &Greeting) -> Vec<u8> {
    let rest = postcard::to_stdvec(greeting).unwrap_or_default();
    framed(&[&WORD[..], &VERSION.to_be_bytes(), &rest].concat())
}

/// A message as it is sent; `None`: it is too long to be said.
#[must_use]
pub(super) fn message(word: &Word) -> Option<Vec<u8>> {
    let content = postcard::to_stdvec(word).ok()?;
    (content.len() <= LONGEST).then(|| framed(&content))
}

/// The first whole message of what has come, and the bytes that it took; `None`: it is not whole.
/// Its claim is judged before its bytes are there.
pub(super) fn next(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, String> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > LONGEST {
        return Err(format!("a message of {length} bytes, {LONGEST} at most"));
    }
    Ok(rest.get(..length).map(|content| (content, 4 + length)))
}

/// Reads a greeting to this cluster.
pub(super) fn read_greeting(content: &[u8], cluster: &str) -> Result<Greeting, String> {
    let rest = content
        .strip_prefix(&WORD[..])
        .ok_or("no greeting of a peer")?;
    let (version, rest) = rest
        .split_first_chunk::<2>()
        .ok_or("a greeting without a version")?;
    let version = u16::from_be_bytes(*version);
    if version != VERSION {
        return Err(format!("it speaks version {version}, here it is {VERSION}"));
    }
    let read: Greeting = postcard::from_bytes(rest).map_err(|_| "a greeting that can't be read")?;
    if read.cluster != cluster {
        return Err(format!(
            "it is of cluster {:?}, this is {cluster:?}",
            read.cluster
        ));
    }
    Ok(read)
}

/// Reads a message after the greeting.
pub(super) fn read(content: &[u8]) -> Result<Word, String> {
    postcard::from_bytes(content).map_err(|_| "a message that can't be read".into())
}

#[cfg(test)]
mod tests;
