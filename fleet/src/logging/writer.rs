//! The thread that writes the log's lines.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait to be written, at most.
const WAITING: usize = 1_024;
/// At the end of the process the last lines are waited for so long, at most.
const LAST: Duration = Duration::from_millis(200);

/// What waits to be written, and what became of it.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    given: AtomicU64,
    written: AtomicU64,
    lost: AtomicU64,
}

fn queue() -> &'static Queue {
    static QUEUE: OnceLock<Queue> = OnceLock::new();
    QUEUE.get_or_init(|| {
        let (lines, waiting) = mpsc::sync_channel(WAITING);
        let counts = Arc::new(Counts::default());
        let told = counts.clone();
        // Without a thread the queue fills, and lines are lost: no reason not to serve.
        let _ = thread::Builder::new().name("log".into()).spawn(move || write_all(&waiting, &told));
        Queue { lines, counts }
    })
}

fn write_all(waiting: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut out = io::stderr();
    while let Ok(mut lines) = waiting.recv() {
        let mut written = 1;
        // One call to the system for all that wait: each is charged.
        for more in waiting.try_iter() {
            lines.extend(more);
            written += 1;
        }
        let lost = counts.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            lines.extend(
                format!(
                    "{{\"level\":\"WARN\",\"message\":\"lines of the log were lost\",\"lines\":{lost}}}\n"
                )
                .bytes(),
            );
        }
        // Nobody reads the log any more: the lines are lost.
        let _ = out.write_all(&lines);
        counts.written.fetch_add(written, Ordering::Release);
    }
}

/// Waits for the last lines.
pub(super) fn finish() {
    let (counts, begun) = (&queue().counts, Instant::now());
    let given = counts.given.load(Ordering::Relaxed);
    while counts.written.load(Ordering::Acquire) < given && begun.elapsed() < LAST {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Takes whole lines from the logger. Never waits.
pub(super) struct Lines;

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let queue = queue();
        match queue.lines.try_send(line.to_vec()) {
            Ok(()) => queue.counts.given.fetch_add(1, Ordering::Relaxed),
            Err(_) => queue.counts.lost.fetch_add(1, Ordering::Relaxed),
        };
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
