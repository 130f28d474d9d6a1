//! Tests of `queue`.

use super::*;

#[test]
fn the_oldest_that_may_be_dropped_goes_first_and_what_must_be_kept_stays() {
    let mut queue = Queue::default();
    assert!(queue.push(vec![0], true));
    for i in 1..=MESSAGES as u8 {
        assert!(queue.push(vec![i], i == 2));
    }
    assert_eq!((queue.dropped, queue.waiting.len()), (1, MESSAGES));
    assert_eq!(
        [queue.pop(), queue.pop()],
        [Some(vec![0]), Some(vec![2])],
        "the first but one went"
    );
    queue.forget();
    assert!(queue.is_empty() && queue.bytes == 0 && queue.dropped == 1 + MESSAGES as u64 - 2);
}

#[test]
fn bytes_are_bounded_and_a_full_queue_of_what_must_be_kept_says_no() {
    let mut queue = Queue::default();
    let large = || vec![0; BYTES / 4];
    assert!((0..4).all(|_| queue.push(large(), true)));
    assert!(!queue.push(large(), true) && !queue.push(vec![1], false));
    assert_eq!((queue.waiting.len(), queue.dropped), (4, 1));
    assert!(
        !Queue::default().push(vec![0; BYTES + 1], true),
        "more than all"
    );
}
