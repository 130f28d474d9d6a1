//! Logging as JSON lines on standard error. Each record is one line with `time`, `level`, `target`,
//! `message` and the keys of the record.
//!
//! A stalled reader of standard error blocks no thread: `lichenswitch_log_writer` writes the lines
//! from a queue. Lines that don't fit in the queue are dropped and counted.

mod json;

use lichenswitch_log_writer::LogWriter;
use log::{LevelFilter, Record};
use std::io::{self, Write};
use std::sync::LazyLock;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Maximum number of lines in the writer's queue. Further lines are dropped.
const MAX_QUEUED_LINES: usize = 1_024;

static WRITER: LazyLock<LogWriter> =
    LazyLock::new(|| LogWriter::new(io::stderr(), MAX_QUEUED_LINES, dropped_lines_notice));

/// Installs the logger, at level `Info`. Called once, before the first record.
pub fn start() {
    let mut logger = env_logger::Builder::new();
    logger
        .filter_level(LevelFilter::Info)
        .format(|out, record| out.write_all(&format_line(record)));
    logger.target(env_logger::Target::Pipe(Box::new(&*WRITER)));
    // A second call in the same process, as in tests, keeps the first logger.
    let _ = logger.try_init();
}

/// Waits until all records so far are written, for a limited time. Called when the process exits.
pub fn finish() {
    WRITER.finish();
}

/// Formats the log line that reports how many lines were dropped.
fn dropped_lines_notice(dropped_count: u64) -> String {
    format!("{{\"level\":\"WARN\",\"message\":\"lines of the log were lost\",\"lines\":{dropped_count}}}\n")
}

/// Formats a record as a JSON line, including the line end.
fn format_line(record: &Record<'_>) -> Vec<u8> {
    // If the time can't be formatted, the line is written with an empty `time`.
    let time = OffsetDateTime::now_utc()
        .format(&Rfc3339)
        .unwrap_or_default();
    let mut line = json::Object::default();
    line.push_string("time", &time);
    line.push_string("level", record.level().as_str());
    line.push_string("target", record.target());
    line.push_string("message", &record.args().to_string());
    // An error here ends the visit: the line is written without the remaining keys.
    let _ = record.key_values().visit(&mut line);
    line.into_line()
}

#[cfg(test)]
mod tests;
