//! The log: JSON lines on standard error, one per record, with `time`, `level`, `target`, `message` and
//! the keys of the record.
//!
//! It promises that a stalled reader blocks no thread: `lichenswitch_log_writer` writes the lines, and
//! those that don't fit its queue are dropped and counted.

mod json;

use lichenswitch_log_writer::LogWriter;
use log::{LevelFilter, Record};
use std::io::{self, Write};
use std::sync::LazyLock;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Lines that may be queued to be written.
const MAX_QUEUED_LINES: usize = 1_024;

static WRITER: LazyLock<LogWriter> =
    LazyLock::new(|| LogWriter::new(io::stderr(), MAX_QUEUED_LINES, dropped_lines_notice));

/// Sets up the log. Called once, before the first record.
pub fn start() {
    let mut logger = env_logger::Builder::new();
    logger
        .filter_level(LevelFilter::Info)
        .format(|to, record| to.write_all(&line(record)));
    logger.target(env_logger::Target::Pipe(Box::new(&*WRITER)));
    // A second start of the same process, as in tests, keeps the first logger.
    let _ = logger.try_init();
}

/// Waits until all records so far are written, but not for long. Called at the end of the process.
pub fn finish() {
    WRITER.finish();
}

/// The line that reports dropped lines.
fn dropped_lines_notice(lost: u64) -> String {
    format!("{{\"level\":\"WARN\",\"message\":\"lines of the log were lost\",\"lines\":{lost}}}\n")
}

/// One record as a line.
fn line(record: &Record<'_>) -> Vec<u8> {
    // The time of day serves readers only: a line without it is still useful.
    let time = OffsetDateTime::now_utc()
        .format(&Rfc3339)
        .unwrap_or_default();
    let mut line = json::Object::default();
    line.text("time", &time);
    line.text("level", record.level().as_str());
    line.text("target", record.target());
    line.text("message", &record.args().to_string());
    // A key whose value can't be formatted is left out.
    let _ = record.key_values().visit(&mut line);
    line.into_line()
}

#[cfg(test)]
mod tests;
