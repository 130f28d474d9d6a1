//! Tests of `loopback_block`.

use super::*;
use std::thread;
use std::time::{Duration, Instant};

/// A port that only these tests lock.
const LOCK_PORT: u16 = 6_998;
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn reserved_block_is_free_again_once_dropped() {
    let network = candidate_networks(std::process::id(), 1)
        .next()
        .expect("a candidate");
    let block = LoopbackBlock::reserve(network, LOCK_PORT).expect("a free block");
    assert!(LoopbackBlock::reserve(network, LOCK_PORT).is_err());
    drop(block);
    // A process that another test is starting has a copy of the listener until its program runs.
    let deadline = Instant::now() + TEST_TIMEOUT;
    while LoopbackBlock::reserve(network, LOCK_PORT).is_err() {
        assert!(Instant::now() < deadline, "the block is still reserved");
        thread::yield_now();
    }
}

#[test]
fn candidates_wrap_around_and_leave_out_the_usual_loopback_address() {
    let candidates: Vec<Network> = candidate_networks(NETWORK_COUNT - 1, 3).collect();
    assert_eq!(candidates, [[127, 250, 250], [127, 1, 1], [127, 1, 2]]);
}
