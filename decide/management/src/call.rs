//! The line of an operator's call.

/// Longest line that is read, its end included (bytes).
pub const LONGEST: usize = 512;
/// Longest id of a server (bytes).
pub const LONGEST_ID: usize = 200;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Counters,
    /// To change the wanted state.
    Change(Change),
}

/// A change of the wanted state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Take this server out.
    Cordon(String),
    /// Use this server again.
    Uncordon(String),
    /// Send clients away.
    Quiesce,
    /// Back to work.
    Resume,
}

/// Why a line is no call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unread {
    /// There is nothing in it.
    #[error("the line is empty; calls are {CALLS}")]
    Empty,
    /// It is longer than any call.
    #[error("the line is longer than {LONGEST} bytes")]
    TooLong,
    /// It is no text.
    #[error("the line is no UTF-8 text")]
    NoText,
    /// There is no such call.
    #[error("there is no call {0:?}; calls are {CALLS}")]
    Unknown(String),
    /// The call names a server, and this one does not.
    #[error("{0} needs the id of a server")]
    NoId(&'static str),
    /// It says more than the call takes.
    #[error("{0} takes nothing more than that, and there is {1:?}")]
    Surplus(&'static str, String),
    /// What should be an id can't be one.
    #[error("an id is longer than {LONGEST_ID} bytes")]
    LongId,
}

const CALLS: &str = "health, counters, cordon ID, uncordon ID, quiesce and resume";

/// Reads a line, with or without its end.
///
/// # Errors
/// When it is no call, with the reason in a sentence.
pub fn read(line: &[u8]) -> Result<Call, Unread> {
    if line.len() > LONGEST {
        return Err(Unread::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| Unread::NoText)?;
    let mut words = text.split_ascii_whitespace();
    let verb = words.next().ok_or(Unread::Empty)?;
    let (name, call): (_, fn(String) -> Call) = match verb {
        "health" => ("health", |_| Call::Health),
        "counters" => ("counters", |_| Call::Counters),
        "quiesce" => ("quiesce", |_| Call::Change(Change::Quiesce)),
        "resume" => ("resume", |_| Call::Change(Change::Resume)),
        "cordon" => ("cordon", |id| Call::Change(Change::Cordon(id))),
        "uncordon" => ("uncordon", |id| Call::Change(Change::Uncordon(id))),
        other => return Err(Unread::Unknown(other.chars().take(40).collect())),
    };
    let id = match name {
        "cordon" | "uncordon" => words.next().ok_or(Unread::NoId(name))?,
        _ => "",
    };
    if id.len() > LONGEST_ID {
        return Err(Unread::LongId);
    }
    match words.next() {
        Some(more) => Err(Unread::Surplus(name, more.chars().take(40).collect())),
        None => Ok(call(id.into())),
    }
}

#[cfg(test)]
mod tests;
