//! Lines for the operators, on standard error.
//!
//! A thread of its own writes them, so that nobody who serves waits for whoever reads the log: where that one stands still,
//! lines are lost and counted, and clients are served.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait to be written, at most.
const WAITING: usize = 2_048;
/// At the end of the process the last lines are waited for so long, at most.
const LAST: Duration = Duration::from_millis(200);

/// What waits to be written, and what became of it.
struct Lines {
    queue: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    given: AtomicU64,
    written: AtomicU64,
    lost: AtomicU64,
}

impl Lines {
    /// Lines that a thread writes there.
    fn to(out: impl Write + Send + 'static) -> Lines {
        let (queue, waiting) = mpsc::sync_channel(WAITING);
        let counts = Arc::new(Counts::default());
        let told = counts.clone();
        // Without a thread the queue fills, and lines are lost: no reason not to serve.
        let _ =
            thread::Builder::new().name("log_writer".into()).spawn(move || write_all(&waiting, &told, out));
        Lines { queue, counts }
    }

    fn write(&self, line: Vec<u8>) {
        match self.queue.try_send(line) {
            Ok(()) => self.counts.given.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.counts.lost.fetch_add(1, Ordering::Relaxed),
        };
    }

    fn finish(&self) {
        let (counts, begun) = (&self.counts, Instant::now());
        let given = counts.given.load(Ordering::Relaxed);
        while counts.written.load(Ordering::Acquire) < given && begun.elapsed() < LAST {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn write_all(waiting: &Receiver<Vec<u8>>, counts: &Counts, mut out: impl Write) {
    while let Ok(line) = waiting.recv() {
        // Nobody reads the log any more: the line is lost.
        let _ = out.write_all(&line);
        let lost = counts.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(out, "lichenswitch: {lost} lines were lost: nobody read them in time");
        }
        counts.written.fetch_add(1, Ordering::Release);
    }
}

fn lines() -> &'static Lines {
    static LINES: OnceLock<Lines> = OnceLock::new();
    LINES.get_or_init(|| Lines::to(io::stderr()))
}

/// Writes a line, its end included, in its turn. Never waits.
pub fn write(line: Vec<u8>) {
    lines().write(line);
}

/// Waits until what was given so far is written, but not for long.
pub fn finish() {
    lines().finish();
}

/// Takes whole lines, for a logger that writes to a stream.
#[derive(Default)]
pub struct Stream;

impl Write for Stream {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        write(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
