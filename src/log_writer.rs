//! Lines for the operators, on standard error: the broker's writer, and what it says of lines that
//! were lost.

use lichenswitch_log_writer::LogWriter;
use std::io;
use std::sync::LazyLock;

/// Lines that wait to be written, at most.
const LINES_WAITING: usize = 2_048;

/// The writer of this process. Its thread starts with the first use.
pub fn writer() -> &'static LogWriter {
    static WRITER: LazyLock<LogWriter> =
        LazyLock::new(|| LogWriter::new(io::stderr(), LINES_WAITING, lost_line));
    &WRITER
}

fn lost_line(lost: u64) -> String {
    format!("lichenswitch: {lost} lines were lost: nobody read them in time\n")
}

/// Writes a line for the operators.
pub fn log(line: &str) {
    writer().write_line(format!("lichenswitch: {line}\n").into_bytes());
}

#[cfg(test)]
mod tests;
