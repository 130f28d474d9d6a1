//! Helpers of tests: for those of all parsers random cuts of valid messages and random garbage, by
//! quickcheck from a fixed seed; for those of files a folder that is gone after the test; for those of
//! stored data and messages the bytes of [`fixtures`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fixtures;

use quickcheck::{Arbitrary, Gen};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Seed of all random cuts and garbage.
const SEED: u64 = 0x006c_6963_6865_6e73;
/// Random streams for each call.
const ROUNDS: usize = 200;

fn generator() -> Gen {
    Gen::from_size_and_seed(64, SEED)
}

/// Feeds the messages, one after the other and cut at random, to a parser that tells how many bytes
/// the message took once it is complete; each message must come out once, at its own last byte.
///
/// # Panics
/// Where a message comes out at another byte, more than once or never.
pub fn random_cuts(messages: &[&[u8]], mut parse: impl FnMut(&[u8]) -> Option<usize>) {
    let mut g = generator();
    for _ in 0..ROUNDS {
        let picked: Vec<&[u8]> = (0..4).filter_map(|_| g.choose(messages).copied()).collect();
        let stream = picked.concat();
        let (mut buffered, mut at, mut lengths) = (Vec::new(), 0, Vec::new());
        while at < stream.len() {
            let end = (at + 1 + usize::arbitrary(&mut g) % 40).min(stream.len());
            buffered.extend_from_slice(&stream[at..end]);
            at = end;
            while let Some(used) = parse(&buffered) {
                lengths.push(used);
                buffered.drain(..used);
            }
        }
        assert!(buffered.is_empty(), "bytes left over");
        assert_eq!(lengths, picked.iter().map(|m| m.len()).collect::<Vec<_>>());
    }
}

/// Feeds random bytes, and valid messages with some bytes changed and some cut off.
pub fn garbage(messages: &[&[u8]], mut parse: impl FnMut(&[u8])) {
    let mut g = generator();
    for _ in 0..ROUNDS {
        parse(&Vec::<u8>::arbitrary(&mut g));
        let mut bytes = g.choose(messages).map(|m| m.to_vec()).unwrap_or_default();
        for _ in 0..1 + usize::arbitrary(&mut g) % 4 {
            let at = usize::arbitrary(&mut g) % bytes.len().max(1);
            if let Some(byte) = bytes.get_mut(at) {
                *byte = u8::arbitrary(&mut g);
            }
        }
        bytes.truncate(usize::arbitrary(&mut g) % (bytes.len() + 1));
        parse(&bytes);
    }
}

/// A folder for one test.
pub struct Folder(PathBuf);

impl Folder {
    /// A folder that holds these files.
    ///
    /// # Panics
    /// Where it can't be written.
    #[must_use]
    pub fn new(files: &[(&str, &str)]) -> Folder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("lichenswitch-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder for a test can be made");
        for (name, text) in files {
            std::fs::write(path.join(name), text).expect("a file for a test can be written");
        }
        Folder(path)
    }
    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
