//! Tests of `send_queue`.

use super::Delivery::{Droppable, Required};
use super::*;

#[test]
fn oldest_droppable_frame_is_dropped_first_and_required_ones_remain() {
    let mut queue = SendQueue::default();
    assert!(queue.push(vec![0], Required));
    for i in 1..=MAX_FRAMES as u8 {
        assert!(queue.push(vec![i], if i == 2 { Required } else { Droppable }));
    }
    assert_eq!((queue.dropped, queue.frames.len()), (1, MAX_FRAMES));
    assert_eq!(
        [queue.pop(), queue.pop()],
        [Some(vec![0]), Some(vec![2])],
        "the first but one went"
    );
    queue.drop_droppable();
    assert!(queue.is_empty() && queue.bytes == 0 && queue.dropped == 1 + MAX_FRAMES as u64 - 2);
}

#[test]
fn bytes_are_bounded_and_a_queue_full_of_required_frames_rejects_more() {
    let mut queue = SendQueue::default();
    let large = || vec![0; MAX_BYTES / 4];
    assert!((0..4).all(|_| queue.push(large(), Required)));
    assert!(!queue.push(large(), Required) && !queue.push(vec![1], Droppable));
    assert_eq!((queue.frames.len(), queue.dropped), (4, 1));
    assert!(
        !SendQueue::default().push(vec![0; MAX_BYTES + 1], Required),
        "more than all"
    );
}
