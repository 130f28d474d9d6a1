//! The seeds of a run, as the command line names them.

use std::num::ParseIntError;
use std::ops::Range;
use std::str::FromStr;

use thiserror::Error;

#[cfg(test)]
mod tests;

/// Seeds from the first one up to `beyond`, which is not among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeedRange {
    /// The first seed.
    pub(crate) first: u64,
    /// The number after the last seed.
    pub(crate) beyond: u64,
}

/// Why a text names no seeds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum SeedRangeError {
    /// The two numbers aren't separated by `..`.
    #[error("a range is FIRST..BEYOND")]
    NoSeparator,
    /// One of the two is no number of 64 bits.
    #[error("`{text}`: {source}")]
    InvalidNumber {
        /// What stands in its place.
        text: String,
        /// Why it is no number.
        source: ParseIntError,
    },
}

impl SeedRange {
    /// Number of seeds; 0 if `beyond` is below the first.
    pub(crate) fn len(self) -> u64 {
        self.beyond.saturating_sub(self.first)
    }

    /// The seeds in ascending order.
    pub(crate) fn seeds(self) -> Range<u64> {
        self.first..self.beyond
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, beyond) = text.split_once("..").ok_or(SeedRangeError::NoSeparator)?;
        Ok(Self {
            first: parse_seed(first)?,
            beyond: parse_seed(beyond)?,
        })
    }
}

fn parse_seed(text: &str) -> Result<u64, SeedRangeError> {
    text.parse()
        .map_err(|source| SeedRangeError::InvalidNumber {
            text: text.to_owned(),
            source,
        })
}
