//! Tests of `log_writer`.

use super::*;
use std::sync::mpsc::Sender;
use std::sync::Mutex;

const CAPACITY: usize = 2_048;

/// What a stalled reader has read, a write each.
type Writes = Arc<Mutex<Vec<Vec<u8>>>>;

fn lost_line(lost: u64) -> String {
    format!("{lost} lines were lost\n")
}

/// A reader that stands still until it is let go.
struct Stalled {
    go: Receiver<()>,
    /// Told with each write that begins.
    begun: Sender<()>,
    writes: Writes,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.begun.send(());
        // Its other end is gone once it is let go.
        let _ = self.go.recv();
        self.writes.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer whose reader stands still with line `0` in hand; dropping the sender lets it go.
fn stalled() -> (LogWriter, Sender<()>, Writes) {
    let (stalls, go) = mpsc::channel();
    let (begun, is_blocked) = mpsc::channel();
    let writes = Writes::default();
    let writer = LogWriter::new(
        Stalled {
            go,
            begun,
            writes: writes.clone(),
        },
        CAPACITY,
        lost_line,
    );
    writer.write_line(b"0\n".to_vec());
    is_blocked.recv().unwrap();
    (writer, stalls, writes)
}

fn await_written(writer: &LogWriter) {
    let given = writer.counts.given.load(Ordering::Relaxed);
    while writer.counts.written.load(Ordering::Acquire) < given {
        thread::yield_now();
    }
}

#[test]
fn a_log_that_nobody_reads_holds_nobody_up_and_tells_later_what_is_missing() {
    let (writer, stalls, writes) = stalled();
    for i in 1..=CAPACITY + 100 {
        writer.write_line(format!("{i}\n").into_bytes());
    }
    assert_eq!(writer.counts.lost.load(Ordering::Relaxed), 100);
    drop(stalls);
    await_written(&writer);
    let told = String::from_utf8(writes.lock().unwrap().concat()).unwrap();
    let kept: String = (1..=CAPACITY).map(|i| format!("{i}\n")).collect();
    assert_eq!(told, format!("0\n100 lines were lost\n{kept}"));
}

#[test]
fn lines_that_wait_are_written_together_but_never_mix_with_those_of_other_processes() {
    let (writer, stalls, writes) = stalled();
    let mut lines: Vec<String> = (1..=1_000).map(|i| format!("line {i}\n")).collect();
    // A line that is longer than what may be written at once still comes whole, and alone.
    lines.insert(500, format!("{}\n", "x".repeat(2 * MOST_AT_ONCE)));
    for line in &lines {
        writer.write_line(line.clone().into_bytes());
    }
    drop(stalls);
    await_written(&writer);
    let writes = writes.lock().unwrap();
    assert_eq!(
        String::from_utf8(writes.concat()).unwrap(),
        format!("0\n{}", lines.concat())
    );
    assert!(writes.len() < 10, "{} calls to the system", writes.len());
    for write in writes.iter() {
        assert!(write.ends_with(b"\n"), "a line was cut");
        assert!(write.len() <= MOST_AT_ONCE || write.iter().filter(|b| **b == b'\n').count() == 1);
    }
}

#[test]
fn the_end_waits_for_the_last_lines_but_not_for_a_reader_that_stands_still() {
    let (writer, stalls, writes) = stalled();
    let begun = Instant::now();
    writer.finish();
    assert!(
        begun.elapsed() >= FINISH_WAIT && begun.elapsed() < FINISH_WAIT * 10,
        "{:?}",
        begun.elapsed()
    );
    drop(stalls);
    (&writer).write_all(b"last\n").unwrap();
    writer.finish();
    assert!(writes.lock().unwrap().concat().ends_with(b"last\n"));
}
