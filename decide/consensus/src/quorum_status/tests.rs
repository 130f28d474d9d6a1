//! Tests of `quorum_status`.

use super::*;

const TERMS: LeaseTerms = LeaseTerms {
    lease: 3_000_000,
    drift: 20_000,
};
const AT_MS: fn(u64) -> Time = |ms| Time(1_000_000_000 + ms * 1_000);

fn contact_with(responding: &[&str], voter_count: usize) -> ContactTracker {
    let mut contact = ContactTracker::new(voter_count, TERMS);
    let request = contact.on_request(AT_MS(0));
    responding
        .iter()
        .for_each(|v| contact.on_response(v, request, 5));
    contact
}

#[test]
fn connected_requires_more_than_half_of_all_voters_each_counted_once() {
    for (responding, voter_count, is_connected) in [
        (&["a", "b"][..], 3, true),
        (&["a", "a", "a"], 3, false),
        (&["a", "b"], 4, false),
        (&["a", "b", "c"], 4, true),
        (&["a", "b", "c"], 7, false),
        (&["a", "b", "c", "d"], 7, true),
    ] {
        let (status, reason) = contact_with(responding, voter_count).status(AT_MS(100));
        assert_eq!(
            status == QuorumStatus::Connected,
            is_connected,
            "{responding:?} of {voter_count}: {reason}"
        );
    }
}

#[test]
fn status_worsens_with_time_since_last_majority_and_recovers_with_a_later_request() {
    let mut contact = contact_with(&["a", "b"], 3);
    let lease = TERMS.holder_duration() / 1_000;
    for (ms, status) in [
        (0, QuorumStatus::Connected),
        (lease - 1, QuorumStatus::Connected),
        (lease + 1, QuorumStatus::Suspect),
        (3 * lease, QuorumStatus::Suspect),
        (3 * 3_100, QuorumStatus::Disconnected),
        (100_000, QuorumStatus::Disconnected),
    ] {
        assert_eq!(contact.status(AT_MS(ms)).0, status, "{ms}");
    }
    assert_eq!(
        contact.status(Time(5)).0,
        QuorumStatus::Suspect,
        "the clock went back"
    );
    // A delayed response counts from the send time of its request. A response to a request that is
    // no longer remembered is ignored.
    let late = contact.on_request(AT_MS(100_000));
    contact.on_response("a", late, 5);
    contact.on_response("c", late, 5);
    assert_eq!(
        contact.status(AT_MS(102_000)),
        (QuorumStatus::Connected, Reason::ReceivedBy(2, 3))
    );
    for ms in 1..=MAX_REMEMBERED_REQUESTS as u64 {
        contact.on_request(AT_MS(102_000 + ms));
    }
    contact.on_response("b", late, 5);
    assert_eq!(contact.status(AT_MS(102_500)).1, Reason::ReceivedBy(2, 3));
    assert_eq!(contact.requests.len(), MAX_REMEMBERED_REQUESTS);
}

#[test]
fn foreign_genesis_status_is_permanent() {
    let mut contact = contact_with(&["a", "b"], 3);
    contact.on_response("c", 1, 6);
    assert_eq!(
        contact.status(AT_MS(1)),
        (QuorumStatus::ForeignGenesis, Reason::OtherGenesis(5, 6))
    );
    let request = contact.on_request(AT_MS(10));
    ["a", "b"]
        .iter()
        .for_each(|v| contact.on_response(v, request, 5));
    assert_eq!(contact.status(AT_MS(11)).0, QuorumStatus::ForeignGenesis);
}
