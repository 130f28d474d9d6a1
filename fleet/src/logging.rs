//! The log: JSON lines on standard error, one an event, with `time`, `level`, `target`, `message` and the fields that the event names.
//!
//! It promises that a reader who stalls holds nobody up: a thread of its own writes the lines, and those that find no room are lost and
//! counted.

mod json;
mod writer;

use log::{LevelFilter, Record};
use std::io::Write;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Sets the log up. Called once, before the first event.
pub fn start() {
    let mut logger = env_logger::Builder::new();
    logger.filter_level(LevelFilter::Info).format(|to, record| to.write_all(&line(record)));
    logger.target(env_logger::Target::Pipe(Box::new(writer::Lines)));
    // A second start of the same process, as in tests, keeps the first logger.
    let _ = logger.try_init();
}

/// Waits until what was said so far is written, but not for long. Called at the end of the process.
pub fn finish() {
    writer::finish();
}

fn line(record: &Record<'_>) -> Vec<u8> {
    // The time of day serves readers only. Without it a line is still a line.
    let time = OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default();
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
