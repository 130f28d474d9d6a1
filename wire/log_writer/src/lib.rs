//! The lines of a log, written by a thread of its own.
//!
//! It owns the queue and the thread, and promises that nobody who serves waits for whoever reads
//! the log: where that one stands still, lines are lost and counted, and the reader is told how
//! many once it reads again. Threads and a stream are all it touches.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are written by one call to the system, at most, unless a line alone is longer:
/// `PIPE_BUF` of Linux. What several processes write into one pipe does not mix up to that length.
const MOST_AT_ONCE: usize = 4_096;
/// At the end of the process the last lines are waited for so long, at most.
const FINISH_WAIT: Duration = Duration::from_millis(200);

/// Words the line, its end included, that tells how many were lost.
pub type LostLine = fn(u64) -> String;

/// What waits to be written, and what became of it.
pub struct LogWriter {
    queue: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    given: AtomicU64,
    written: AtomicU64,
    lost: AtomicU64,
}

impl LogWriter {
    /// A writer to `out` with room for so many lines that wait.
    pub fn new(
        out: impl Write + Send + 'static,
        capacity: usize,
        lost_line: LostLine,
    ) -> LogWriter {
        let (queue, waiting) = mpsc::sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        // Without a thread the queue fills, and lines are lost: no reason not to serve.
        let _ = thread::Builder::new()
            .name("log_writer".into())
            .spawn(move || write_all(&waiting, &shared, lost_line, out));
        LogWriter { queue, counts }
    }

    /// Writes a line, its end included, in its turn. Never waits.
    pub fn write_line(&self, line: Vec<u8>) {
        match self.queue.try_send(line) {
            Ok(()) => self.counts.given.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.counts.lost.fetch_add(1, Ordering::Relaxed),
        };
    }

    /// Waits until what was given so far is written, but not for long.
    pub fn finish(&self) {
        let (counts, begun) = (&self.counts, Instant::now());
        let given = counts.given.load(Ordering::Relaxed);
        while counts.written.load(Ordering::Acquire) < given && begun.elapsed() < FINISH_WAIT {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Takes whole lines, for a logger that writes to a stream. Never waits.
impl Write for &LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.write_line(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(
    waiting: &Receiver<Vec<u8>>,
    counts: &Counts,
    lost_line: LostLine,
    mut out: impl Write,
) {
    let mut next = None;
    while let Some(mut lines) = next.take().or_else(|| waiting.recv().ok()) {
        let mut written = 1;
        // One call to the system for many that wait: each is charged.
        for line in waiting.try_iter() {
            if lines.len() + line.len() > MOST_AT_ONCE {
                next = Some(line);
                break;
            }
            lines.extend(line);
            written += 1;
        }
        // Nobody reads the log any more: the lines are lost.
        let _ = out.write_all(&lines);
        let lost = counts.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = out.write_all(lost_line(lost).as_bytes());
        }
        counts.written.fetch_add(written, Ordering::Release);
    }
}

#[cfg(test)]
mod tests;
