//! The log: JSON lines on standard error, one an event, with `time`, `level`, `target`, `message`
//! and the fields that the event names.
//!
//! It promises that a reader who stalls holds nobody up: `lichenswitch_log_writer` writes the
//! lines, and those that find no room are lost and counted.

mod json;

use lichenswitch_log_writer::LogWriter;
use log::{LevelFilter, Record};
use std::io::{self, Write};
use std::sync::LazyLock;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Lines that wait to be written, at most.
const LINES_WAITING: usize = 1_024;

static WRITER: LazyLock<LogWriter> =
    LazyLock::new(|| LogWriter::new(io::stderr(), LINES_WAITING, lost_line));

/// Sets the log up. Called once, before the first event.
pub fn start() {
    let mut logger = env_logger::Builder::new();
    logger
        .filter_level(LevelFilter::Info)
        .format(|to, record| to.write_all(&line(record)));
    logger.target(env_logger::Target::Pipe(Box::new(&*WRITER)));
    // A second start of the same process, as in tests, keeps the first logger.
    let _ = logger.try_init();
}

/// Waits until what was said so far is written, but not for long. Called at the end of the process.
pub fn finish() {
    WRITER.finish();
}

fn lost_line(lost: u64) -> String {
    format!("{{\"level\":\"WARN\",\"message\":\"lines of the log were lost\",\"lines\":{lost}}}\n")
}

fn line(record: &Record<'_>) -> Vec<u8> {
    // The time of day serves readers only. Without it a line is still a line.
    let time = OffsetDateTime::now_utc()
        .format(&Rfc3339)
        .unwrap_or_default();
    let mut line = json::Object::default();
    line.text("time", &time);
    line.text("level", record.level().as_str());
    line.text("target", record.target());
    line.text("message", &record.args().to_string());
    // A field that can't be shown is left out; the others stand.
    let _ = record.key_values().visit(&mut line);
    line.into_line()
}

#[cfg(test)]
mod tests;
