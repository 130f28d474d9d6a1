//! Parser for the line of an operator's call.

/// Maximum length of a line, including its line ending (bytes).
pub const MAX_LINE_BYTES: usize = 512;
/// Maximum length of a server id (bytes).
pub const MAX_ID_BYTES: usize = 200;
/// Maximum number of characters of an invalid word that an error message quotes.
const MAX_QUOTED_CHARS: usize = 40;

/// A parsed call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process is ready to serve.
    Health,
    /// Asks for the metrics of this process.
    Counters,
    /// Changes the desired state.
    Change(Change),
}

/// A change of the desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Takes the server with this id out of service.
    Cordon(String),
    /// Puts the server with this id back into service.
    Uncordon(String),
    /// Sends clients to other brokers.
    Quiesce,
    /// Serves clients again after a quiesce.
    Resume,
}

/// The reason why a line is not a valid call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The line contains no word.
    #[error("the line is empty; calls are {CALLS}")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not valid UTF-8.
    #[error("the line is no UTF-8 text")]
    NotText,
    /// The first word is not the name of a call.
    #[error("there is no call {0:?}; calls are {CALLS}")]
    UnknownCall(String),
    /// The server id that this call requires is missing.
    #[error("{0} needs the id of a server")]
    MissingId(&'static str),
    /// The call is followed by an unexpected word: the name of the call, then that word.
    #[error("{0} takes nothing more than that, and there is {1:?}")]
    TrailingArgument(&'static str, String),
    /// The server id is longer than [`MAX_ID_BYTES`].
    #[error("an id is longer than {MAX_ID_BYTES} bytes")]
    LongId,
}

const CALLS: &str = "health, counters, cordon ID, uncordon ID, quiesce and resume";

/// Parses a line, with or without its line ending.
///
/// # Errors
/// Returns the reason if the line is not a valid call.
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

/// Returns the first [`MAX_QUOTED_CHARS`] characters of a word, for an error message.
fn quoted(word: &str) -> String {
    word.chars().take(MAX_QUOTED_CHARS).collect()
}

#[cfg(test)]
mod tests;
