use super::*;

const SECOND: u64 = 1_000_000;

fn at(seconds: u64) -> Time {
    Time(seconds * SECOND)
}

fn member_with(durable_voters: usize) -> GroupView {
    GroupView {
        is_member: true,
        has_left: false,
        durable_voters,
    }
}

const NOT_MEMBER: GroupView = GroupView {
    is_member: false,
    has_left: false,
    durable_voters: 0,
};

#[test]
fn durable_machine_joins_at_once_and_stays() {
    let mut membership = GroupMembership::new(Eligibility::Durable, at(1), 1);
    assert_eq!(
        membership.next_action(at(1), NOT_MEMBER),
        Some(MembershipAction::Join)
    );
    assert_eq!(membership.next_action(at(100), member_with(4)), None);
}

#[test]
fn temporary_member_joins_only_after_three_seconds_without_durable_peer() {
    let mut membership = GroupMembership::new(Eligibility::Temporary, at(1), 1);
    assert_eq!(membership.next_action(at(4), NOT_MEMBER), None);
    assert_eq!(
        membership.next_action(Time(4 * SECOND + 1), NOT_MEMBER),
        Some(MembershipAction::Join)
    );
    membership.on_durable_peer_connected(false);
    assert_eq!(
        (
            membership.next_action(at(100), NOT_MEMBER),
            membership.eligibility()
        ),
        (None, Eligibility::Relay)
    );
}

#[test]
fn temporary_member_leaves_once_durable_voters_tolerate_required_losses() {
    for (fault_tolerance, required_voters) in [(1, 3), (2, 5)] {
        let mut membership = GroupMembership::new(Eligibility::Temporary, at(1), fault_tolerance);
        membership.on_durable_peer_connected(true);
        assert_eq!(
            membership.next_action(at(2), member_with(0)),
            None,
            "it founded the group and holds the state"
        );
        assert_eq!(
            membership.next_action(at(2), member_with(required_voters - 1)),
            None
        );
        assert_eq!(
            membership.next_action(at(2), member_with(required_voters)),
            Some(MembershipAction::Leave)
        );
        let left = GroupView {
            has_left: true,
            ..member_with(required_voters)
        };
        assert_eq!(
            membership.next_action(at(3), left),
            Some(MembershipAction::BecomeRelay)
        );
        assert_eq!(
            (
                membership.next_action(at(9), NOT_MEMBER),
                membership.eligibility()
            ),
            (None, Eligibility::Relay)
        );
    }
}

#[test]
fn temporary_member_leaves_to_fewer_durable_voters_after_timeout() {
    let mut membership = GroupMembership::new(Eligibility::Temporary, at(1), 2);
    assert_eq!(
        (
            membership.next_action(at(2), member_with(1)),
            membership.next_wake()
        ),
        (None, Some(at(7)))
    );
    assert_eq!(membership.next_action(at(6), member_with(1)), None);
    assert_eq!(
        membership.next_action(at(7), member_with(1)),
        Some(MembershipAction::Leave)
    );
    // The durable voter disconnects before this machine has left, so this machine stays a member,
    // and the wait starts anew with the next durable voter.
    assert_eq!(membership.next_action(at(8), member_with(0)), None);
    assert_eq!(membership.next_action(at(9), member_with(2)), None);
}
