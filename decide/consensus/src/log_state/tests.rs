//! Tests of `log_state`.

use super::*;
use lichenswitch_lease::{FencingToken, LeaseHolder, RoleName};
use omnipaxos::storage::Snapshot as _;

#[test]
fn merged_snapshots_contain_the_resulting_state_and_no_entries() {
    let role = |number: u64| RoleName(format!("d{}", number % 3));
    let holder = |number: u64| LeaseHolder {
        name: format!("n{}", number % 5),
        incarnation: number % 2,
    };
    let entries: Vec<Entry> = (0..400u64)
        .map(|i| match i.wrapping_mul(2_654_435_761) >> 5 {
            k if k % 3 == 0 => LeaseCommand::Release(role(k), FencingToken(k % 60)),
            k if k % 7 == 1 => LeaseCommand::Expire(role(k), FencingToken(i / 9), k % 2),
            k => LeaseCommand::Acquire(role(k), holder(k / 7)),
        })
        .map(|command| Entry {
            command,
            request: 0,
        })
        .collect();
    let mut grants = GrantTable::default();
    entries
        .iter()
        .for_each(|e| drop(grants.apply(Time(0), &e.command)));
    for position in [1, 100, 399] {
        let mut snapshot = Snapshot::create(&entries[..position]);
        let remaining: Vec<&[Entry]> = entries[position..].chunks(70).collect();
        remaining
            .into_iter()
            .for_each(|chunk| snapshot.merge(Snapshot::create(chunk)));
        assert_eq!(snapshot.grants(Time(0)), grants, "{position}");
        assert!(snapshot.later_entries.is_empty());
    }
}
