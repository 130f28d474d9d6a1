//! Tests of `membership_leases`.

use super::*;

const LEASE: Micros = 2_000_000;

#[test]
fn member_joins_renews_and_expires() {
    let mut members = MembershipLeases::new(LEASE);
    assert_eq!(members.next_wake(), None);
    assert!(members.on_renewal(Time(0), 1, "n1", "z"));
    assert!(members.on_renewal(Time(500_000), 2, "n2", "z"));
    assert!(!members.on_renewal(Time(1_000_000), 1, "n1", "z"));
    assert_eq!(
        (members.count(), members.next_wake()),
        (2, Some(Time(2_500_000)))
    );
    assert!(members.tick(Time(2_499_999)).is_empty());
    let expired: Vec<u64> = members
        .tick(Time(2_500_000))
        .iter()
        .map(|member| member.process)
        .collect();
    assert_eq!((expired, members.count()), (vec![2], 1));
    let remaining = members.iter().next().expect("one is left");
    assert_eq!(
        (
            remaining.node.as_str(),
            remaining.joined_at,
            remaining.renewed_at
        ),
        ("n1", Time(0), Time(1_000_000))
    );
    assert!(
        members.on_renewal(Time(3_000_000), 2, "n2", "z"),
        "it joins again"
    );
}

#[test]
fn leaving_twice_removes_member_once() {
    let mut members = MembershipLeases::new(LEASE);
    members.on_renewal(Time(0), 1, "n1", "z");
    assert!(members.on_leave(1));
    assert!(!members.on_leave(1));
    assert_eq!(members.count(), 0);
}

#[test]
fn new_process_of_node_replaces_the_earlier_one() {
    let mut members = MembershipLeases::new(LEASE);
    members.on_renewal(Time(0), 1, "n1", "z");
    members.on_renewal(Time(0), 7, "n2", "z");
    assert!(members.on_renewal(Time(10), 2, "n1", "z"));
    let processes: Vec<u64> = members.iter().map(|member| member.process).collect();
    assert_eq!(processes, [2, 7]);
}

#[test]
fn delayed_renewal_does_not_shorten_lease() {
    let mut members = MembershipLeases::new(LEASE);
    members.on_renewal(Time(1_000), 1, "n1", "z");
    members.on_renewal(Time(500), 1, "n1", "z");
    assert_eq!(members.next_wake(), Some(Time(1_000).plus(LEASE)));
}
