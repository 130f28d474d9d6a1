//! The line of an operator's call.

/// The longest line that is read, its end included (bytes).
pub const MAX_LINE_BYTES: usize = 512;
/// The longest id of a server (bytes).
pub const MAX_ID_BYTES: usize = 200;
/// The most characters of a faulty word that an error repeats.
const MAX_QUOTED_CHARS: usize = 40;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The metrics.
    Counters,
    /// Change the desired state.
    Change(Change),
}

/// A change of the desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Take this server out of service.
    Cordon(String),
    /// Put this server back into service.
    Uncordon(String),
    /// Send clients away.
    Quiesce,
    /// Serve clients again.
    Resume,
}

/// Why a line is not a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It has no word.
    #[error("the line is empty; calls are {CALLS}")]
    Empty,
    /// It is longer than any call.
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// It is not text.
    #[error("the line is no UTF-8 text")]
    NotText,
    /// There is no call of this name.
    #[error("there is no call {0:?}; calls are {CALLS}")]
    UnknownCall(String),
    /// This call needs the id of a server.
    #[error("{0} needs the id of a server")]
    MissingId(&'static str),
    /// This call is followed by a word too many.
    #[error("{0} takes nothing more than that, and there is {1:?}")]
    TrailingArgument(&'static str, String),
    /// The id is too long for one.
    #[error("an id is longer than {MAX_ID_BYTES} bytes")]
    LongId,
}

const CALLS: &str = "health, counters, cordon ID, uncordon ID, quiesce and resume";

/// Parses a line, with or without its end.
///
/// # Errors
/// When it is not a call, with the reason in a sentence.
pub fn parse(line: &[u8]) -> Result<Call, ParseError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(ParseError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| ParseError::NotText)?;
    let mut words = text.split_ascii_whitespace();
    let verb = words.next().ok_or(ParseError::Empty)?;
    let (name, call): (_, fn(String) -> Call) = match verb {
        "health" => ("health", |_| Call::Health),
        "counters" => ("counters", |_| Call::Counters),
        "quiesce" => ("quiesce", |_| Call::Change(Change::Quiesce)),
        "resume" => ("resume", |_| Call::Change(Change::Resume)),
        "cordon" => ("cordon", |id| Call::Change(Change::Cordon(id))),
        "uncordon" => ("uncordon", |id| Call::Change(Change::Uncordon(id))),
        other => return Err(ParseError::UnknownCall(quoted(other))),
    };
    let id = match name {
        "cordon" | "uncordon" => words.next().ok_or(ParseError::MissingId(name))?,
        _ => "",
    };
    if id.len() > MAX_ID_BYTES {
        return Err(ParseError::LongId);
    }
    match words.next() {
        Some(surplus) => Err(ParseError::TrailingArgument(name, quoted(surplus))),
        None => Ok(call(id.into())),
    }
}

/// The beginning of a word, for an error.
fn quoted(word: &str) -> String {
    word.chars().take(MAX_QUOTED_CHARS).collect()
}

#[cfg(test)]
mod tests;
