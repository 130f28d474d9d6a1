//! Answers as they come, spoilt ones, and connections that stay mute.

use super::{answer, frame, Limits, Stage, LIMITS};
use crate::interface::Outcome;
use crate::upstream::{MUTE_MAX, MUTE_MIN};
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn answers_end_the_attempts_that_they_name() {
    let mut stage = Stage::new(LIMITS);
    let (one, two) = (stage.send("x"), stage.send("x"));
    let mut stream = stage.accept();
    assert!(frame(&mut stream).starts_with("Rq.1 1 d=1000 1\nx"));
    assert!(frame(&mut stream).starts_with("Rq.2 2 "));
    answer(&mut stream, "q.2 REJECTED - -");
    assert_eq!(stage.ended(), [(two, Outcome::Rejected)]);
    answer(&mut stream, "q.2 OK 1 -");
    answer(&mut stream, "q.1 OK 1 -");
    assert_eq!(
        stage.ended(),
        [(one, Outcome::Ok)],
        "an answer that nobody waits for any more is dropped"
    );
    assert!(stage.pool.attempts.is_empty());
}

/// Guards against parts that run twice: a rejection that a node gives a second time is taken for the
/// answer to the next attempt of its part, which runs.
#[test]
fn second_rejection_does_not_answer_the_next_attempt() {
    let mut stage = Stage::new(LIMITS);
    let first = stage.send_part(7);
    let rejecting_id = stage.pool.attempts[&first];
    let mut rejecting = stage.accept();
    assert!(frame(&mut rejecting).starts_with("Rq.7 "));
    answer(&mut rejecting, "q.7 REJECTED - -");
    assert_eq!(stage.ended(), [(first, Outcome::Rejected)]);
    let second = stage.send_part(7);
    assert_ne!(stage.pool.attempts[&second], rejecting_id);
    answer(&mut rejecting, "q.7 REJECTED - -");
    let mut running = stage.accept();
    assert!(frame(&mut running).starts_with("Rq.7 "));
    answer(&mut running, "q.7 OK 1 -");
    assert_eq!(stage.ended(), [(second, Outcome::Ok)]);
    // The connection with the rejection carries other parts still.
    stage.send_part(8);
    stage.pump();
    assert!(frame(&mut rejecting).starts_with("Rq.8 "));
}

#[test]
fn connection_end_counts_as_reset_only_after_the_whole_frame_was_written() {
    let mut stage = Stage::new(LIMITS);
    // The second is far more than the system's buffers take: its last byte can't be written while
    // nobody reads. Both are sent before the connection is up, so that it carries both however slow
    // the machine is.
    let (sent, unsent) = (stage.send("x"), stage.send(&"y".repeat(32 << 20)));
    let mut stream = stage.accept();
    frame(&mut stream);
    stage.pump();
    drop(stream);
    let mut ended = stage.ended();
    ended.sort_by_key(|e| e.0);
    assert_eq!(
        ended,
        [(sent, Outcome::Reset), (unsent, Outcome::ConnectFailed)]
    );
}

/// Guards against parts that run twice: a connection that is gone says nothing of what was sent on it.
#[test]
fn call_on_a_vanished_connection_counts_as_sent() {
    let mut stage = Stage::new(LIMITS);
    let attempt = stage.send("x");
    let mut stream = stage.accept();
    frame(&mut stream);
    let id = stage.pool.attempts[&attempt];
    stage.net.close(id);
    assert!(!stage.pool.recall(&mut stage.net, attempt));
    stage.pool.close_broken(&mut stage.net, id);
    assert_eq!(stage.ended(), [(attempt, Outcome::Reset)]);
}

#[test]
fn node_complaint_about_a_frame_is_logged() {
    let mut stage = Stage::new(LIMITS);
    let attempt = stage.send("x");
    let mut stream = stage.accept();
    frame(&mut stream);
    stream.write_all(b"\0\0\0\x04Nwhy").unwrap();
    for _ in 0..100 {
        stage
            .net
            .wait(Some(stage.net.clock.now().plus(10_000)))
            .unwrap();
        stage.pump();
        let (ended, log) = stage.pool.take_ended();
        if let [ended] = &ended[..] {
            assert_eq!((ended.attempt, ended.outcome), (attempt, Outcome::Error));
            assert!(log[0].contains("could not use a frame: why"), "{log:?}");
            return;
        }
    }
    panic!("it never ended");
}

#[test]
fn a_spoilt_answer_fails_its_part_and_ends_its_connection() {
    for bad in [
        &b"\0\0\0\x0cYq.7 OK 1 -\n"[..],
        b"\0\0\0\x0bYq.1 ? 1 -\n",
        b"xxxxx",
        b"\0\0\0\0",
    ] {
        let mut stage = Stage::new(LIMITS);
        let one = stage.send("x");
        let mut stream = stage.accept();
        stream.write_all(bad).unwrap();
        assert_eq!(stage.ended(), [(one, Outcome::Error)], "{bad:?}");
        assert!(stage.pool.links.is_empty());
    }
    // Of two that are out it can't be told which it was for: both are reset.
    let mut stage = Stage::new(LIMITS);
    let sent = [stage.send("x"), stage.send("x")];
    stage.accept().write_all(b"xxxxx").unwrap();
    assert_eq!(stage.ended(), sent.map(|attempt| (attempt, Outcome::Reset)));
}

#[test]
fn incomplete_answer_is_not_waited_for() {
    let mut stage = Stage::new(LIMITS);
    let one = stage.send("x");
    let mut stream = stage.accept();
    stream.write_all(b"\0\0\0\xffYq.1 OK 1 -\nvalue").unwrap();
    let mut ended = Vec::new();
    while ended.is_empty() {
        ended = stage.ended();
    }
    assert_eq!(ended, [(one, Outcome::Error)]);
}

#[test]
fn what_comes_behind_a_good_answer_spoils_neither_it_nor_the_next() {
    for more in [&b"\0\0"[..], b"\0\0\0\x0cYq.1 OK 1 -\n", b"noise\r\n\r\n"] {
        let mut stage = Stage::new(LIMITS);
        let one = stage.send("x");
        let mut stream = stage.accept();
        stream
            .write_all(&[b"\0\0\0\x0cYq.1 OK 1 -\n", more].concat())
            .unwrap();
        assert_eq!(stage.ended(), [(one, Outcome::Ok)], "{more:?}");
        let two = stage.send("x");
        let mut stream = if stage.pool.links.len() == 1 && more.len() == 16 {
            stream
        } else {
            stage.accept()
        };
        answer(&mut stream, "q.2 OK 1 -");
        assert_eq!(stage.ended(), [(two, Outcome::Ok)], "{more:?}");
    }
}

#[test]
fn a_connection_that_fell_silent_gets_nothing_new_until_it_speaks() {
    let mut stage = Stage::with_quick_answers(Limits {
        max_streams: 32,
        ..LIMITS
    });
    let (one, two) = (stage.send("x"), stage.send("x"));
    let mut first = stage.accept();
    std::thread::sleep(std::time::Duration::from_micros(MUTE_MIN));
    stage.pool.withdraw(&mut stage.net, one);
    stage.send("x");
    let mut second = stage.accept();
    assert!(
        frame(&mut second).starts_with("Rq.3 "),
        "another connection carries it"
    );
    answer(&mut first, "q.2 OK 1 -");
    assert_eq!(stage.ended(), [(two, Outcome::Ok)]);
    let four = stage.send("x");
    (0..2).for_each(|_| drop(frame(&mut first)));
    assert_eq!(frame(&mut first), "Aq.1");
    assert!(frame(&mut first).starts_with("Rq.4 "), "it speaks again");
    std::thread::sleep(std::time::Duration::from_micros(2 * MUTE_MAX));
    stage.pool.withdraw(&mut stage.net, four);
    assert_eq!(
        stage.pool.links.len(),
        1,
        "silent with nothing out: it is closed"
    );
}

/// How often a scenario is played again where the machine held the test up in it.
const MAX_REPETITIONS: usize = 20;

#[test]
fn mute_connection_is_given_up_once_another_to_its_node_is_active() {
    assert!(
        (0..MAX_REPETITIONS).any(|_| check_mute_connection_is_given_up()),
        "the machine held up each repetition"
    );
}

/// Returns whether it was checked: not where the machine took so long between the second call and its
/// answer that the second connection became mute too.
fn check_mute_connection_is_given_up() -> bool {
    let mut stage = Stage::with_quick_answers(Limits {
        max_streams: 32,
        ..LIMITS
    });
    let mute_after = Duration::from_micros(MUTE_MIN);
    let one = stage.send("x");
    let _first = stage.accept();
    std::thread::sleep(mute_after);
    let sent_at = Instant::now();
    let (two, three) = (stage.send("x"), stage.send("x"));
    let mut second = stage.accept();
    answer(&mut second, "q.2 OK 1 -");
    let ended = stage.ended();
    if sent_at.elapsed() >= mute_after {
        return false;
    }
    assert_eq!(
        ended,
        [(two, Outcome::Ok)],
        "the first may have been held up as well"
    );
    std::thread::sleep(mute_after);
    answer(&mut second, "q.3 OK 1 -");
    assert_eq!(
        stage.ended(),
        [(three, Outcome::Ok), (one, Outcome::Cancelled)]
    );
    assert_eq!(stage.pool.links.len(), 1);
    true
}
