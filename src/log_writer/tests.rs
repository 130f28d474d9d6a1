//! Tests of `log_writer`.

use super::*;
use std::sync::Mutex;

/// A reader that stands still until it is let go.
struct Stalled(Receiver<()>, Arc<Mutex<Vec<u8>>>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Its other end is gone once it is let go.
        let _ = self.0.recv();
        self.1.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_that_nobody_reads_holds_nobody_up_and_tells_later_what_is_missing() {
    let (stalls, go) = mpsc::channel::<()>();
    let told = Arc::new(Mutex::new(Vec::new()));
    let lines = Lines::to(Stalled(go, told.clone()));
    for i in 0..WAITING + 100 {
        lines.write(format!("{i}\n").into_bytes());
    }
    let lost = lines.counts.lost.load(Ordering::Relaxed);
    // The thread may have taken one line out of the queue already.
    assert!(lost == 99 || lost == 100, "{lost}");
    drop(stalls);
    while lines.counts.written.load(Ordering::Acquire) < lines.counts.given.load(Ordering::Relaxed) {
        thread::yield_now();
    }
    let told = String::from_utf8(told.lock().unwrap().clone()).unwrap();
    assert!(told.starts_with(&format!("0\nlichenswitch: {lost} lines were lost")), "{}", &told[..80]);
    assert!(told.contains("\n2047\n"));
}
