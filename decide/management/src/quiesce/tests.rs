//! Tests of `quiesce`.

use super::*;

#[test]
fn clients_are_notified_then_idle_connections_closed_then_requests_rejected() {
    let at = |ms: u64| stage(Some(Time(7_000_000)), Time(7_000_000 + ms * 1_000));
    assert_eq!(
        [at(0), at(499), at(500)],
        [
            QuiesceStage::Notifying,
            QuiesceStage::Notifying,
            QuiesceStage::ClosingIdle
        ]
    );
    assert_eq!(
        [at(1_699), at(1_700), at(3_600_000)],
        [
            QuiesceStage::ClosingIdle,
            QuiesceStage::Rejecting,
            QuiesceStage::Rejecting
        ]
    );
    assert_eq!(stage(None, Time(1)), QuiesceStage::Serving);
    // The clock of the process that received the call may be slightly ahead of this process's
    // clock.
    assert_eq!(stage(Some(Time(9)), Time(1)), QuiesceStage::Notifying);
}

#[test]
fn after_four_seconds_no_request_is_younger_than_two() {
    // The last accepted request arrived before the rejecting stage, and a check is at most 0.1 s
    // late.
    const { assert!(ACCEPT_PERIOD + 100_000 + 50_000 < 2_000_000) };
    // The front layer detects the change within 0.1 s and routes connections for another 0.2 s.
    const { assert!(NOTICE_PERIOD >= 300_000 + 100_000) };
}
